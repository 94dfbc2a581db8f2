"""Who owns a part of the endpoints; the owner declares those unhealthy that nobody hears."""

from stagevale import wire
from stagevale.ballots import Round, Voter, as_ballot
from stagevale.placement import PARTS
from stagevale.registrations import GONE, Life

UNHEARD_BEATS = 2.6


class PartOwners:
    """Elections for the parts that this registry keeps, in memory: a part is soft state."""

    __slots__ = (
        "service",
        "context",
        "switchboard",
        "membership",
        "voter",
        "owners",
        "round_no",
        "life",
    )

    def __init__(self, service):
        self.service = service
        self.context = service.context
        self.switchboard = service.switchboard
        self.membership = service.membership
        self.voter = Voter()
        self.owners = {}
        self.round_no = 0
        self.life = f"{service.context.random.getrandbits(32):08x}"
        self.switchboard.on(wire.CAMPAIGN, self.on_campaign)

    def owns(self, part):
        """True where this registry won the duty for a part and the part is still placed on it."""
        return self.owners.get(part, (None, 0))[
            0
        ] == self.switchboard.address and self.switchboard.address in self.service.group_of(part)

    def campaign(self):
        """Runs for the parts of whose group this registry is the first that may, where the duty is
        vacant.
        """
        vacant = []
        for part in PARTS:
            group = self.service.group_of(part)
            if self.switchboard.address not in group or self.service.stopping:
                continue
            owner = self.owners.get(part, (None, 0))[0]
            if owner in group and (
                owner == self.switchboard.address
                or self.membership.reachable(owner)
                and self.service.live(owner)
            ):
                continue
            able = [
                address
                for address in group
                if address == self.switchboard.address
                or (self.membership.reachable(address) and self.service.live(address))
            ]
            if able and able[0] == self.switchboard.address:
                vacant.append(part)
        for part in vacant:
            group = self.service.group_of(part)
            self.round_no = max(self.round_no, self.voter.promised.get(part, (0, ""))[0]) + 1
            ballot = (self.round_no, f"{self.switchboard.address}#{self.life}")
            running = Round(ballot, group)

            def answered(peer, answer, failure, running=running, part=part, ballot=ballot):
                if running.over:
                    return
                if failure is not None or answer is None:
                    running.count(peer, False, (0, ""))
                else:
                    running.count(peer, answer[0], as_ballot(answer[1]))
                    self.round_no = max(self.round_no, answer[1][0])
                if running.won():
                    running.over = True
                    self.owners[part] = (self.switchboard.address, ballot)
                    self.context.log.info("registry: won the duty for %s.", part)
                elif running.lost():
                    running.over = True

            for address in group:
                self.switchboard.call(
                    address,
                    wire.CAMPAIGN,
                    [part, list(ballot)],
                    self.service.interval_ms * 0.6,
                    lambda answer, failure, peer=address, answered=answered: answered(
                        peer, answer, failure
                    ),
                )

    def on_campaign(self, peer, body, reply):
        part, ballot = body[0], as_ballot(body[1])
        promised, highest = self.voter.promise(part, ballot)
        if promised:
            self.owners[part] = (ballot[1].partition("#")[0], ballot)
        reply([promised, list(highest)])

    def declare_unheard(self):
        """The owner of a part declares lives unhealthy that no registry has heard for some
        beats.
        """
        now_ms = self.context.now_ms()
        if (
            not self.service.in_contact()
            or now_ms - self.service.started_ms < self.context.settings.beat_ms * 4
        ):
            return
        limit_ms = self.context.settings.beat_ms * UNHEARD_BEATS
        unheard = []
        for part in PARTS:
            if not self.owns(part):
                continue
            for life in list(self.service.lives.parts.get(part, {}).values()):
                if life.state == GONE or not life.healthy or now_ms - life.heard_ms < limit_ms:
                    continue
                unheard.append(
                    Life(
                        life.id,
                        life.service,
                        life.address,
                        life.zone,
                        life.slots,
                        life.state,
                        life.call_seq,
                        life.call_seq,
                        life.cold_seq,
                        life.cold_ms,
                        life.heard_ms,
                        life.software,
                    )
                )
        news = []
        for life in unheard:
            known = self.service.lives.by_id[life.id]
            heard_ms = known.heard_ms
            after = self.service.lives.merge(life, now_ms)
            self.service.lives.by_id[life.id].heard_ms = heard_ms
            if after is not None:
                news.append(after)
                self.context.log.info("registry: %s of %s is unheard.", life.id, life.service)
        if news:
            self.service.intake.spread(news, None)
