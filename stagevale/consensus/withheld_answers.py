"""Answers that wait until what they promise is on as many disks as the tolerance asks for."""

from collections.abc import Callable

from stagevale.consensus.commands import Command, CommandAnswer, CommandReply, unavailable
from stagevale.runtime.context import Context

REASON = "not yet on enough disks"


class WithheldAnswers:
    """A leader's answers from a value that is committed, but would not outlive the loss of as many
    disks as may be lost: while the group has not reached its size, or has lost disks.
    """

    __slots__ = ("context", "is_safe", "_waiting")

    def __init__(self, context: Context, is_safe: Callable[[], bool]) -> None:
        self.context = context
        self.is_safe = is_safe
        self._waiting: list[CommandAnswer] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def give(self, command: Command, answer: CommandReply) -> None:
        """Answers a command now or, where that would promise too much, once it doesn't; past the
        caller's time with a 503, which promises nothing.
        """
        if self.is_safe():
            command.reply(answer)
            return
        self._waiting.append(CommandAnswer(command, answer))
        left_ms = command.expires_ms - self.context.now_ms()
        self.context.call_later(max(0.0, left_ms), self._reject_expired)

    def release(self) -> None:
        """Another value was committed: the group may be large enough now."""
        if self._waiting and self.is_safe():
            for command, answer in self._take_all():
                command.reply(answer)

    def reject(self) -> None:
        """The leadership has ended: the next leader is asked again."""
        for command, _answer in self._take_all():
            command.reply(unavailable("outcome unknown"))

    def _take_all(self) -> list[CommandAnswer]:
        waiting, self._waiting = self._waiting, []
        return waiting

    def _reject_expired(self) -> None:
        now_ms = self.context.now_ms()
        expired = [each for each in self._waiting if each.command.expires_ms <= now_ms]
        self._waiting = [each for each in self._waiting if each.command.expires_ms > now_ms]
        for command, _answer in expired:
            command.reply(unavailable(REASON))
