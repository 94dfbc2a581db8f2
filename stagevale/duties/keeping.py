"""Duties at the platform: one holder at a time, a fence that rises with each, and what is sent
chosen first.
"""

import json

from stagevale import wire
from stagevale.ballots import as_ballot
from stagevale.configuration.keeping import Keeper
from stagevale.duties.platform import PlatformCall

USAGE_DUTY = "usage_report"
SETTLE_SHARE = 0.12
LATEST_SHARE = 0.6
PAUSE_SHARE = 0.05
CALL_SHARE = 0.4
VACATED = -1e12


class DutyValue:
    """One version of the duties' register: who holds the duty, under which fence, and what is
    chosen to be sent.
    """

    __slots__ = ("serial", "fence", "holder", "group", "pending", "through", "packed")

    def __init__(self, serial, fence, holder, group, pending, through, packed=None):
        self.serial = serial
        self.fence = fence
        self.holder = holder
        self.group = tuple(group)
        self.pending = tuple((window, text) for window, text in pending)
        self.through = through
        self.packed = packed or wire.squeeze(
            wire.pack(
                [
                    0,
                    serial,
                    fence,
                    holder,
                    list(self.group),
                    [list(row) for row in self.pending],
                    through,
                ]
            )
        )

    def after(self, fence=None, holder=None, group=None, pending=None, through=None):
        """The next version with these things changed."""
        return DutyValue(
            self.serial + 1,
            self.fence if fence is None else fence,
            self.holder if holder is None else holder,
            self.group if group is None else group,
            self.pending if pending is None else pending,
            self.through if through is None else through,
        )


def read_duty_value(packed):
    """A value out of its packed bytes."""
    _, serial, fence, holder, group, pending, through = wire.unpack(
        wire.unsqueeze(packed), "duties", "a peer"
    )
    return DutyValue(serial, fence, holder, group, pending, through, packed)


class DutyKeeper(Keeper):
    """A registry's part in the duties: it votes on holder, fence and counts; where it is the holder
    it reports.

    The owner of this register is the holder of the duty. Winning it writes a fence above every
    earlier one, and a window's counts are in the register before the first call that bears them.
    """

    program = "registry"
    port_offset = 0
    kinds = wire.DUTIES
    prefix = "duties"
    duty = "usage"
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
        "asking",
    )

    def __init__(self, context, board, membership, disk, ledger, true_time):
        super().__init__(context, board, membership, disk)
        bounds = context.settings.bounds
        self.beat_ms = bounds.contact_ms / 2.0
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
        self.asking = False
        board.on(wire.VACANT, self.on_vacant)
        board.on(wire.COUNTS_WANTED, self.on_counts_wanted)

    # holding

    def patience_ms(self, rank):
        """A holder's silence is borne for nearly two of its rounds; others of the group stand one
        after the other.
        """
        return self.beat_ms * (1.7 + 0.35 * rank)

    def first_value(self):
        """Nobody holds the duty, and no window was chosen."""
        return DutyValue(0, 0, "", self.seed_stores, (), 0)

    def taken_over(self, value):
        """The new holder under a fence that was never given before."""
        return value.after(fence=value.fence + 1, holder=self.context.settings.name)

    def audience(self):
        """Registries; stores have no part in this."""
        return [member for member in self.membership.others() if member.program == self.program]

    def tend_sessions(self):
        """Sessions are the configuration part's."""

    def publish(self, value):
        """Only voters need to know; what the others want to know they ask."""

    def elect(self):
        """Stands for the duty, unless the platform has just fenced this daemon off or the group
        still hears a holder.

        A daemon that merely missed the holder's word, or has just come back, takes nothing from it.
        """
        if self.context.now_ms() < self.barred_ms or self.electing is not None or self.asking:
            return
        group = self.group()
        if self.accepted is None or len(group) < 2:
            super().elect()
            return
        self.asking = True
        others = [address for address in group if address != self.board.address]
        silent = set(others)

        def heard(peer, answer, failure):
            if not self.asking:
                return
            silent.discard(peer)
            if failure is None and answer and answer[0] and self.owner_heard_ms > VACATED:
                self.asking = False
                self.believe(as_ballot(answer[1]), 0.0)
                self.owner_heard_ms = self.context.now_ms()
            elif not silent:
                self.asking = False
                if self.ballot is None:
                    super(DutyKeeper, self).elect()

        self.ask_all(others, wire.WHO_OWNS, [], self.call_ms * 0.5, heard)

    def on_confirm(self, peer, body, reply):
        """The holder's question to its voters is a sign of its life too."""
        ballot = as_ballot(body[0])
        if ballot >= self.promised and ballot >= self.owner_ballot and self.ballot is None:
            self.owner_ballot = ballot
            self.owner_heard_ms = self.context.now_ms()
        super().on_confirm(peer, body, reply)

    def begin(self, saved):
        super().begin(saved)
        self.work()

    def hand_over(self):
        """Before an end in order: gives the duty up and tells the group that it is vacant."""
        held = self.ballot is not None
        super().hand_over()
        if held:
            for address in self.group():
                if address != self.board.address:
                    self.board.cast(address, wire.VACANT, [])

    def on_vacant(self, peer, body, reply):
        """The holder has left in order: members of the group stand one after the other, without
        waiting for silence.
        """
        group = self.group()
        if (
            self.owner_ballot[1].partition("#")[0] != peer
            or self.board.address not in group
            or self.stopping
        ):
            return
        ballot = self.owner_ballot
        self.owner_heard_ms = VACATED

        def stand():
            if self.owner_ballot == ballot and self.ballot is None:
                self.elect()

        self.context.after(self.call_ms * 0.3 * group.index(self.board.address), stand)

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
        group = self.group()
        if (
            self.ballot is not None
            or self.stopping
            or self.wiped
            or not self.loaded
            or not self.in_group()
        ):
            return
        if self.context.now_ms() - self.owner_heard_ms > self.patience_ms(
            group.index(self.board.address)
        ):
            self.elect()

    def owner(self):
        """The holder as far as it was heard of lately."""
        if self.ballot is not None:
            return self.board.address
        if (
            self.context.now_ms() - self.owner_heard_ms < self.beat_ms * 1.6
            and self.owner_ballot[0]
        ):
            return self.owner_ballot[1].partition("#")[0]
        return None

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
            self.board.call(
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
            self.board.call(
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
            self.chosen,
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

    def stand(self):
        """What this registry knows of the duty, for the tools."""
        value = self.chosen or self.accepted
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
                "heardMs": int(self.context.now_ms() - self.owner_heard_ms),
                "borneMs": int(self.patience_ms(8)),
                "chosenThrough": value.through if value else 0,
                "pending": pending,
                "sent": sorted(self.sent)[-10:],
                "overdue": overdue,
                "votes": list(value.group) if value else list(self.seed_stores),
            }
        }
