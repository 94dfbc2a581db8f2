"""Pings between registries, and the repair of what they know differently."""

from stagevale import wire
from stagevale.placement import PARTS


class Repair:
    """Compares marks with other registries and brings over what differs."""

    __slots__ = ("service", "context", "switchboard", "membership")

    def __init__(self, service):
        self.service = service
        self.context = service.context
        self.switchboard = service.switchboard
        self.membership = service.membership
        self.switchboard.on(wire.PING, self.on_ping)
        self.switchboard.on(wire.PART_WANTED, self.on_part_wanted)

    def on_ping(self, peer, body, reply):
        serial, marks, attached_mark, *clock = body
        now_ms = self.context.now_ms()
        if clock and self.service.true_time is not None:
            self.service.true_time.heard(peer, clock[0])
        self.service.ping_heard_ms[peer] = now_ms
        if serial > (self.service.register.value.serial if self.service.register.value else -1):
            self.switchboard.call(
                peer, wire.READ_VALUE, [], self.service.interval_ms, self.service.register.got_value
            )
        if attached_mark != self.service.feeding.attached_mark(
            self.service.feeding.attached.get(peer, ())
        ):
            self.switchboard.call(
                peer,
                wire.ATTACHED_WANTED,
                [],
                self.service.interval_ms,
                lambda answer, failure: (
                    failure is None
                    and answer is not None
                    and self.service.feeding.got_attached(peer, answer)
                ),
            )
        if len(marks) == 1:
            member = self.membership.state.members.get(peer)
            near = member is not None and member.region == self.membership.me.region
            if marks[0] != self.service.lives.mark_of_all() and (
                near or self.context.random.random() < 0.3
            ):
                self.switchboard.send(
                    peer,
                    wire.PING,
                    [
                        serial
                        if self.service.register.value is None
                        else self.service.register.value.serial,
                        [self.service.lives.mark(part) for part in PARTS],
                        self.service.feeding.attached_mark(self.service.feeding.own_proxies()),
                    ],
                )
            return
        wanted = [
            number
            for number, part in enumerate(PARTS)
            if number < len(marks) and marks[number] != self.service.lives.mark(part)
        ]
        if wanted:
            summaries = [self.service.lives.summary(PARTS[number]) for number in wanted]
            self.switchboard.call(
                peer,
                wire.PART_WANTED,
                [wanted, summaries],
                self.service.interval_ms,
                lambda answer, failure: (
                    failure is None and answer is not None and self.got_part(peer, wanted, answer)
                ),
            )

    def on_part_wanted(self, peer, body, reply):
        """Repair: answers with what differs here from another's summary of some parts, and with
        what is wanted of it.
        """
        now_ms = self.context.now_ms()
        rows, keys = [], []
        for number, summary in zip(*body, strict=False):
            differing, wanted = self.service.lives.differing(PARTS[number], summary, now_ms)
            rows += differing
            keys += wanted
        reply([wire.pack_rows(rows), keys])

    def got_part(self, peer, wanted, answer):
        """The answer to a summary: takes in what differs there and sends what is wanted from
        here.
        """
        rows, keys = answer
        now_ms = self.context.now_ms()
        mine = [
            self.service.lives.by_key[key].fields(now_ms)
            for key in keys
            if key in self.service.lives.by_key
        ]
        self.service.intake.take_lives(wire.unpack_rows(rows), 1)
        if mine:
            self.switchboard.send(peer, wire.LIVES, [wire.pack_rows(mine), 1])
