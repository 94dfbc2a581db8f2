"""Duties at the platform: one holder at a time, a fence that rises with each, and what is sent
chosen first.
"""

import json

from stagevale import wire
from stagevale.duties.platform import PlatformCall
from stagevale.register.node import RegisterNode
from stagevale.register.value import RegisterValue
from stagevale.register.voters import addresses_of

USAGE_DUTY = "usage_report"
SETTLE_SHARE = 0.12
LATEST_SHARE = 0.6
PAUSE_SHARE = 0.05
CALL_SHARE = 0.4


class DutyValue(RegisterValue):
    """One version of the duties' register: who holds the duty, under which fence, and what is
    chosen to be sent.
    """

    __slots__ = ("fence", "holder", "pending", "through")

    def __init__(self, serial, fence, holder, group, pending, through, packed=None):
        super().__init__(serial, group, packed)
        self.fence = fence
        self.holder = holder
        self.pending = tuple((window, text) for window, text in pending)
        self.through = through

    def fields(self):
        return [
            self.serial,
            self.fence,
            self.holder,
            list(self.group),
            [list(row) for row in self.pending],
            self.through,
        ]

    def after(self, **changes):
        """The next version with these things changed."""
        names = ("fence", "holder", "group", "pending", "through")
        held = {name: getattr(self, name) for name in names}
        return DutyValue(self.serial + 1, **{**held, **changes})


def read_duty_value(packed):
    """A value out of its packed bytes."""
    _, serial, fence, holder, group, pending, through = wire.unpack(
        wire.unsqueeze(packed), "duties", "a peer"
    )
    return DutyValue(serial, fence, holder, group, pending, through, packed)


class DutyNode(RegisterNode):
    """A registry's part in the duties: it votes on holder, fence and counts; where it leads, it is
    the holder and reports.

    Its election writes a fence above every earlier one, and a window's counts are in the register
    before the first call that bears them.
    """

    program = "registry"
    port_offset = 0
    kinds = wire.DUTIES
    prefix = "duties"
    subject = "duties"
    read_value = staticmethod(read_duty_value)

    __slots__ = (
        "ledger",
        "true_time",
        "sent",
        "skipped",
        "collecting",
        "calling",
        "pause_ms",
        "not_before_ms",
        "collect_at_ms",
        "acted_ms",
        "barred_ms",
        "last_sent",
    )

    def __init__(self, context, switchboard, membership, storage, ledger, true_time):
        super().__init__(context, switchboard, membership, storage)
        self.beat_ms = context.settings.bounds.contact_ms / 2.0
        self.ledger = ledger
        self.true_time = true_time
        self.sent = set()
        self.last_sent = 0
        self.skipped = 0
        self.collecting = False
        self.calling = None
        self.pause_ms = self.least_pause_ms()
        self.not_before_ms = 0.0
        self.collect_at_ms = 0.0
        self.acted_ms = -1e12
        self.barred_ms = -1e12
        switchboard.on(wire.COUNTS_WANTED, self.on_counts_wanted)

    # holding

    def patience_ms(self, rank):
        """A holder's silence is borne for nearly two of its rounds; others of the group stand one
        after the other.
        """
        return self.beat_ms * (1.7 + 0.35 * rank)

    def first_value(self):
        """Nobody holds the duty, and no window was chosen."""
        return DutyValue(0, 0, "", self.group(), (), 0)

    def taken_over(self, value):
        """The new holder under a fence that was never given before."""
        return value.after(fence=value.fence + 1, holder=self.context.settings.name)

    def audience(self):
        """Registries; stores have no part in this."""
        return [
            member.address for member in self.membership.others() if member.program == self.program
        ]

    def may_campaign(self):
        """Not for a while after the platform has fenced this daemon off."""
        return super().may_campaign() and self.context.now_ms() >= self.barred_ms

    def on_confirm(self, message, answer):
        """The holder's question to its voters is a sign of its life too."""
        heard = message.ballot >= self.acceptor.vote.promised
        if heard and message.ballot >= self.election.leader_ballot and self.ballot is None:
            self.election.heard(message.ballot)
        super().on_confirm(message, answer)

    def begin(self):
        super().begin()
        self.work()

    def execute(self, order):
        """Nobody gives this register orders."""
        order.reply([404, "the duties take no orders"])
        self.context.soon(self.orders.pump)

    def holds(self):
        """True while this daemon believes that it holds the duty; `check` makes sure."""
        return (
            self.ballot is not None
            and self.chosen is not None
            and not self.stopping
            and self.chosen.holder == self.context.settings.name
        )

    def check(self, go, stop):
        """Calls `go` at once after a majority has confirmed the duty, `stop` where that fails or
        took too long.
        """
        if not self.holds():
            stop("the duty is held no more")
            return
        asked_ms = self.context.now_ms()
        fence = self.chosen.fence

        def confirmed(stands):
            fresh_ms = self.context.settings.bounds.lease_ms / 4.0
            if (
                stands
                and self.holds()
                and self.chosen.fence == fence
                and self.context.now_ms() - asked_ms < fresh_ms
            ):
                go()
            else:
                stop("the duty isn't confirmed")

        self.confirm(confirmed)

    # choosing

    def work(self):
        """A holder's round: sends what is chosen, and chooses the next window once its counts have
        settled.
        """
        self.context.after(self.context.settings.bounds.contact_ms / 8.0, self.work)
        if not self.holds():
            self.watch()
            return
        self.send()
        true_ms = self.true_time.now()
        now_ms = self.context.now_ms()
        if true_ms is None or self.collecting or self.busy or now_ms < self.collect_at_ms:
            return
        bounds = self.context.settings.bounds
        window = self.next_window()
        if window is None:
            self.collect_at_ms = now_ms + bounds.usage_delay_s * 100.0
            self.collect(0)
            return
        settled_ms = (
            window + 1
        ) * bounds.report_window_s * 1000.0 + bounds.usage_delay_s * 1000.0 * SETTLE_SHARE
        if true_ms >= settled_ms:
            self.collect(window)
        else:
            self.collect_at_ms = now_ms + min(settled_ms - true_ms, bounds.usage_delay_s * 100.0)

    def watch(self):
        """Stands for the duty once its holder has been silent for too long."""
        if not self.is_voter() or not self.may_campaign():
            return
        rank = self.group().index(self.acceptor.vote.voter)
        if self.election.silent_ms() > self.patience_ms(rank):
            self.election.campaign()

    def next_window(self):
        """The window to be chosen next; None before the first was ever counted."""
        last = max(self.chosen.through, self.skipped)
        return last + 1 if last else None

    def collect(self, window):
        """Asks every registry for the counts of a window that its proxies have told it."""
        self.collecting = True
        answers, silent = {}, set()
        peers = [
            member.address
            for member in self.membership.members("registry")
            if self.membership.reachable(member.address)
        ]
        deadline_ms = self.context.settings.bounds.contact_ms / 5.0

        def answered(peer, answer, failure):
            if failure is None and answer is not None:
                answers[peer] = answer
            else:
                silent.add(peer)
            if len(answers) + len(silent) < len(peers):
                return
            holders = {}
            for address, (_, _, proxies, _) in answers.items():
                for proxy in proxies:
                    holders.setdefault(proxy, []).append(address)
            twice = {
                address for holding in holders.values() if len(holding) > 1 for address in holding
            }
            if not twice:
                self.counted(window, answers, {}, len(holders), not silent)
                return
            self.resolve_twice(window, answers, twice, len(holders), not silent)

        for peer in peers:
            self.switchboard.call(
                peer,
                wire.COUNTS_WANTED,
                [window, 0],
                deadline_ms,
                lambda answer, failure, peer=peer: answered(peer, answer, failure),
            )

    def resolve_twice(self, window, answers, twice, proxies, whole):
        """Some proxies told two registries: these give their counts proxy by proxy, and the later
        word counts.
        """
        rows, waiting = {}, set(twice)

        def answered(peer, answer, failure):
            waiting.discard(peer)
            if failure is None and answer is not None:
                for proxy, upto_ms, text in answer[3]:
                    if proxy not in rows or upto_ms > rows[proxy][0]:
                        rows[proxy] = (upto_ms, text)
                answers[peer] = [answer[0], answer[1], answer[2], "{}"]
            else:
                answers.pop(peer, None)
            if not waiting:
                self.counted(window, answers, rows, proxies, whole)

        for peer in twice:
            self.switchboard.call(
                peer,
                wire.COUNTS_WANTED,
                [window, 1],
                self.context.settings.bounds.contact_ms / 5.0,
                lambda answer, failure, peer=peer: answered(peer, answer, failure),
            )

    def counted(self, window, answers, rows, proxies, whole):
        """All that can be had of a window's counts is here: they are chosen, unless more is worth
        waiting for.
        """
        self.collecting = False
        true_ms = self.true_time.now()
        if not self.holds() or self.busy or true_ms is None:
            return
        bounds = self.context.settings.bounds
        if window == 0:
            oldest = [answer[0] for answer in answers.values() if answer[0] > 0]
            if oldest:
                self.skipped = min(oldest) - 1
                self.collect_at_ms = 0.0
            return
        if window != self.next_window():
            return
        counts = {}
        for text in [answer[3] for answer in answers.values()] + [
            text for _, text in rows.values()
        ]:
            for tenant, number in json.loads(text).items():
                counts[tenant] = counts.get(tenant, 0) + number
        known = len(self.membership.members("proxy"))
        complete = whole and proxies >= known and all(answer[1] for answer in answers.values())
        latest_ms = (
            window + 1
        ) * bounds.report_window_s * 1000.0 + bounds.usage_delay_s * 1000.0 * LATEST_SHARE
        if not complete and true_ms < latest_ms:
            self.collect_at_ms = self.context.now_ms() + bounds.usage_delay_s * 100.0
            return
        self.collect_at_ms = 0.0
        if not sum(counts.values()):
            self.skipped = window
            return
        counts = {tenant: counts[tenant] for tenant in sorted(counts) if counts[tenant]}
        text = json.dumps({"windowNo": window, "counts": counts}, separators=(",", ":"))
        pending = tuple(row for row in self.chosen.pending if row[0] not in self.sent) + (
            (window, text),
        )
        self.busy = True
        self.context.log.info(
            "duties: window %d is put to the vote%s.", window, "" if complete else ", incomplete"
        )
        self.accept(
            self.chosen.after(pending=pending, through=window),
            lambda chosen: self.send() if chosen else None,
        )

    def on_counts_wanted(self, peer, body, reply):
        window, whole = body
        reply(self.ledger.answer(window, whole))

    # sending

    def least_pause_ms(self):
        bounds = self.context.settings.bounds
        return max(
            1000.0 / self.context.settings.duty_per_s, bounds.usage_delay_s * 1000.0 * PAUSE_SHARE
        )

    def due(self):
        """The oldest chosen window that isn't known to have arrived."""
        for window, text in self.chosen.pending:
            if window not in self.sent:
                return window, text
        return None

    def send(self):
        """Sends the oldest window that is due, word for word as it was chosen; one call at a
        time.
        """
        now_ms = self.context.now_ms()
        if not self.holds() or self.calling is not None or now_ms < self.not_before_ms:
            return
        due = self.due()
        if due is None:
            return
        window, text = due
        fence = self.chosen.fence
        if (
            now_ms < self.acted_ms + self.context.settings.bounds.lease_ms * 1.25
            and self.last_sent != fence
        ):
            self.not_before_ms = self.acted_ms + self.context.settings.bounds.lease_ms * 1.25
            return

        def done(status, failure):
            if self.calling is not call:
                return
            self.calling = None
            self.outcome(window, fence, status, failure)

        def wrote():
            self.acted_ms = self.context.now_ms()
            self.last_sent = fence

        call = PlatformCall(
            self.context,
            "/usage",
            text,
            self.context.settings.name,
            fence,
            self.check,
            wrote,
            done,
            self.context.settings.bounds.usage_delay_s * 1000.0 * CALL_SHARE,
        )
        self.calling = call
        call.open()

    def outcome(self, window, fence, status, failure):
        """What a call came to; an unclear one is repeated as it was."""
        now_ms = self.context.now_ms()
        bounds = self.context.settings.bounds
        if status is not None and 200 <= status < 300:
            self.sent.add(window)
            self.sent = {kept for kept in self.sent if kept > window - 100}
            self.pause_ms = self.least_pause_ms()
            self.not_before_ms = now_ms + 1000.0 / self.context.settings.duty_per_s
            self.context.log.info("duties: window %d was taken under fence %d.", window, fence)
            self.context.soon(self.send)
            return
        self.context.log.info(
            "duties: window %d under fence %d: %s.",
            window,
            fence,
            f"the platform answers {status}" if status is not None else failure,
        )
        self.not_before_ms = now_ms + self.pause_ms
        self.pause_ms = min(self.pause_ms * 1.6, bounds.usage_delay_s * 200.0)
        if status == 409:
            self.barred_ms = now_ms + bounds.lease_ms * 1.25
            self.step_down("the platform has seen a higher fence")

    def status(self):
        """What this registry knows of the duty, for the tools."""
        value = self.chosen or self.acceptor.accepted
        true_ms = self.true_time.now()
        bounds = self.context.settings.bounds
        held = self.holds()
        pending = (
            [window for window, _ in value.pending if window not in self.sent] if value else []
        )
        due_ms = bounds.usage_delay_s * 1000.0
        overdue = [
            window
            for window in pending
            if true_ms is not None
            and true_ms
            > (window + 1 + (0 if held else 2)) * bounds.report_window_s * 1000.0 + due_ms
        ]
        return {
            USAGE_DUTY: {
                "holder": value.holder if value else "",
                "fence": value.fence if value else 0,
                "holding": held,
                "heardMs": int(self.election.silent_ms()),
                "borneMs": int(self.patience_ms(8)),
                "chosenThrough": value.through if value else 0,
                "pending": pending,
                "sent": sorted(self.sent)[-10:],
                "overdue": overdue,
                "votes": list(addresses_of(value.group)) if value else list(self.seed_addresses()),
            }
        }
