"""The leader's care for rollouts: it judges their steps, goes on or has them fall back."""

import json
from typing import TYPE_CHECKING, Any

from stagevale.membership.member import PROXY_PROGRAM, MemberState
from stagevale.rollouts.rollout import Rollout, RolloutState

if TYPE_CHECKING:
    from stagevale.configuration.node import ConfigurationNode
    from stagevale.rollouts.judge import Judge

FALLING_BACK = "falling back"


class RolloutManager:
    """Judges rollouts by what proxies report.

    Attributes:
        judge: made and loaded with the first rollout: most systems have none.
    """

    __slots__ = ("node", "judge", "_due")

    def __init__(self, node: "ConfigurationNode") -> None:
        self.node = node
        self.judge: Judge | None = None
        self._due = False

    def _ensure_judge(self) -> "Judge":
        if self.judge is None:
            from stagevale.rollouts.judge import Judge

            settings = self.node.context.settings
            self.judge = Judge(settings.bounds, settings.tolerance)
        return self.judge

    def schedule(self) -> None:
        """Has rollouts looked at before the next command."""
        value = self.node.committed
        self._due = value is not None and bool(value.rollouts)

    def record_outcomes(self, payload: str) -> None:
        """Takes in what proxies report of requests under rollouts, as JSON."""
        self._ensure_judge().record(json.loads(payload), self.node.context.now_ms())

    def start_due_change(self) -> bool:
        """Starts the change that is due; True where one is under way."""
        node, value = self.node, self.node.committed
        if not self._due or value is None:
            return False
        self._due = False
        from stagevale.rollouts.judge import judge_all, log_text

        proxies = node.membership.members(PROXY_PROGRAM, (MemberState.UP,))
        addresses = [member.address for member in proxies]
        judged = judge_all(self._ensure_judge(), value, addresses, node.context.now_ms())
        if judged is None:
            return False
        node.context.log.info("%s: rollouts: %s.", node.log_prefix, log_text(value, judged.value))

        def proposed(committed: bool) -> None:
            if committed and judged.withdraws:
                node.leases.record_withdrawal()
            node.commands.process()

        node.propose(judged.value, proposed)
        return True

    def status(self) -> str:
        """All rollouts, their step's outcomes, and for how long leases on what was withdrawn may
        still be in use, as JSON.
        """
        value = self.node.committed
        texts = value.rollouts if value is not None else {}
        rollouts = [Rollout.from_json(texts[service]) for service in sorted(texts)]
        rows = [self._status_of(rollout) for rollout in rollouts if rollout.is_active]
        return json.dumps({"rollouts": rows})

    def _status_of(self, rollout: Rollout) -> dict[str, Any]:
        left_ms = 0
        if rollout.state == RolloutState.ROLLED_BACK:
            left_ms = self.node.leases.left_ms() - 1
        return {
            **rollout.to_row(),
            "share": rollout.share,
            "leasesLeftMs": left_ms,
            "shown": FALLING_BACK if left_ms > 0 else rollout.state,
            "outcomes": self._ensure_judge().summary(rollout),
        }
