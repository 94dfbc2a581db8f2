"""Duties at the platform: one holder at a time, a fence that rises with each, and what is sent chosen first."""
import json

from stagevale import wire
from stagevale.ballots import asBallot
from stagevale.configuration import Keeper
from stagevale.duties.platform import PlatformCall

USAGE_DUTY = "usage_report"
SETTLE_SHARE = 0.3
LATEST_SHARE = 0.6
PAUSE_SHARE = 0.05
CALL_SHARE = 0.4
VACATED = -1e12


class DutyValue:
    """One epoch of the duties' register: who holds the duty, under which fence, and what is chosen to be sent."""

    __slots__ = ("serial", "fence", "holder", "group", "pending", "through", "packed")

    def __init__(self, serial, fence, holder, group, pending, through, packed=None):
        self.serial = serial
        self.fence = fence
        self.holder = holder
        self.group = tuple(group)
        self.pending = tuple((window, text) for window, text in pending)
        self.through = through
        self.packed = packed or wire.squeeze(wire.pack(
            [0, serial, fence, holder, list(self.group), [list(row) for row in self.pending], through]))

    def after(self, fence=None, holder=None, group=None, pending=None, through=None):
        """The next epoch with these things changed."""
        return DutyValue(self.serial + 1,
                         self.fence if fence is None else fence,
                         self.holder if holder is None else holder,
                         self.group if group is None else group,
                         self.pending if pending is None else pending,
                         self.through if through is None else through)


def readDutyValue(packed):
    """A value out of its packed bytes."""
    _, serial, fence, holder, group, pending, through = wire.unpack(wire.unsqueeze(packed), "duties", "a colleague")
    return DutyValue(serial, fence, holder, group, pending, through, packed)


class DutyKeeper(Keeper):
    """A registry's part in the duties: it votes on holder, fence and counts; where it is the holder it reports.

    The owner of this register is the holder of the duty. Winning it writes a fence above every earlier one, and a
    window's counts are in the register before the first call that bears them.
    """

    program = "registry"
    portOffset = 0
    kinds = wire.DUTIES
    prefix = "duties"
    duty = "usage"
    readValue = staticmethod(readDutyValue)

    __slots__ = ("ledger", "trueTime", "sent", "skipped", "collecting", "calling", "pauseMs", "notBeforeMs",
                 "collectAtMs", "actedMs", "barredMs", "lastSent", "asking")

    def __init__(self, context, board, membership, disk, ledger, trueTime):
        super().__init__(context, board, membership, disk)
        bounds = context.settings.bounds
        self.beatMs = bounds.contactMs / 2.0
        self.ledger = ledger
        self.trueTime = trueTime
        self.sent = set()
        self.lastSent = 0
        self.skipped = 0
        self.collecting = False
        self.calling = None
        self.pauseMs = self.leastPauseMs()
        self.notBeforeMs = 0.0
        self.collectAtMs = 0.0
        self.actedMs = -1e12
        self.barredMs = -1e12
        self.asking = False
        board.on(wire.VACANT, self.onVacant)
        board.on(wire.COUNTS_WANTED, self.onCountsWanted)

    # holding

    def patienceMs(self, rank):
        """A holder's silence is borne for nearly two of its rounds; others of the group stand one after the other."""
        return self.beatMs * (1.7 + 0.35 * rank)

    def firstValue(self):
        """Nobody holds the duty, and no window was chosen."""
        return DutyValue(0, 0, "", self.seedStores, (), 0)

    def claimed(self, value):
        """The new holder under a fence that was never given before."""
        return value.after(fence=value.fence + 1, holder=self.context.settings.name)

    def audience(self):
        """Registries; stores have no part in this."""
        return [member for member in self.membership.others() if member.program == self.program]

    def tendSessions(self):
        """Sessions are the configuration part's."""

    def publish(self, value):
        """Only voters need to know; what the others want to know they ask."""

    def elect(self):
        """Stands for the duty, unless the platform has just fenced this daemon off or the group still hears a holder.

        A daemon that merely missed the holder's word, or has just come back, takes nothing from it.
        """
        if self.context.nowMs() < self.barredMs or self.electing is not None or self.asking:
            return
        group = self.group()
        if self.accepted is None or len(group) < 2:
            super().elect()
            return
        self.asking = True
        others = [address for address in group if address != self.board.address]
        silent = set(others)

        def heard(peer, answer, problem):
            if not self.asking:
                return
            silent.discard(peer)
            if problem is None and answer and answer[0] and self.ownerHeardMs > VACATED:
                self.asking = False
                self.believe(asBallot(answer[1]), 0.0)
                self.ownerHeardMs = self.context.nowMs()
            elif not silent:
                self.asking = False
                if self.ballot is None:
                    super(DutyKeeper, self).elect()
        self.askAll(others, wire.WHO_OWNS, [], self.callMs * 0.5, heard)

    def onConfirm(self, peer, body, reply):
        """The holder's question to its voters is a sign of its life too."""
        ballot = asBallot(body[0])
        if ballot >= self.promised and ballot >= self.ownerBallot and self.ballot is None:
            self.ownerBallot = ballot
            self.ownerHeardMs = self.context.nowMs()
        super().onConfirm(peer, body, reply)

    def begin(self, saved):
        super().begin(saved)
        self.work()

    def handOver(self):
        """Before an end in order: gives the duty up and tells the group that it is vacant."""
        held = self.ballot is not None
        super().handOver()
        if held:
            for address in self.group():
                if address != self.board.address:
                    self.board.cast(address, wire.VACANT, [])

    def onVacant(self, peer, body, reply):
        """The holder has left in order: members of the group stand one after the other, without waiting for silence."""
        group = self.group()
        if self.ownerBallot[1].partition("#")[0] != peer or self.board.address not in group or self.stopping:
            return
        ballot = self.ownerBallot
        self.ownerHeardMs = VACATED

        def stand():
            if self.ownerBallot == ballot and self.ballot is None:
                self.elect()
        self.context.after(self.callMs * 0.3 * group.index(self.board.address), stand)

    def holds(self):
        """True while this daemon believes that it holds the duty; `check` makes sure."""
        return (self.ballot is not None and self.chosen is not None and not self.stopping
                and self.chosen.holder == self.context.settings.name)

    def check(self, go, stop):
        """Calls `go` at once after a majority has confirmed the duty, `stop` where that fails or took too long."""
        if not self.holds():
            stop("the duty is held no more")
            return
        askedMs = self.context.nowMs()
        fence = self.chosen.fence

        def confirmed(stands):
            freshMs = self.context.settings.bounds.leaseMs / 4.0
            if stands and self.holds() and self.chosen.fence == fence and self.context.nowMs() - askedMs < freshMs:
                go()
            else:
                stop("the duty isn't confirmed")
        self.confirm(confirmed)

    # choosing

    def work(self):
        """A holder's round: sends what is chosen, and chooses the next window once its counts have settled."""
        self.context.after(self.context.settings.bounds.contactMs / 8.0, self.work)
        if not self.holds():
            self.watch()
            return
        self.send()
        trueMs = self.trueTime.now()
        nowMs = self.context.nowMs()
        if trueMs is None or self.collecting or self.busy or nowMs < self.collectAtMs:
            return
        bounds = self.context.settings.bounds
        window = self.nextWindow()
        if window is None:
            self.collectAtMs = nowMs + bounds.usageDelayS * 100.0
            self.collect(0)
            return
        settledMs = (window + 1) * bounds.reportWindowS * 1000.0 + bounds.usageDelayS * 1000.0 * SETTLE_SHARE
        if trueMs >= settledMs:
            self.collect(window)
        else:
            self.collectAtMs = nowMs + min(settledMs - trueMs, bounds.usageDelayS * 100.0)

    def watch(self):
        """Stands for the duty once its holder has been silent for too long."""
        group = self.group()
        if self.ballot is not None or self.stopping or self.wiped or not self.loaded or not self.inGroup():
            return
        if self.context.nowMs() - self.ownerHeardMs > self.patienceMs(group.index(self.board.address)):
            self.elect()

    def owner(self):
        """The holder as far as it was heard of lately."""
        if self.ballot is not None:
            return self.board.address
        if self.context.nowMs() - self.ownerHeardMs < self.beatMs * 1.6 and self.ownerBallot[0]:
            return self.ownerBallot[1].partition("#")[0]
        return None

    def nextWindow(self):
        """The window to be chosen next; None before the first was ever counted."""
        last = max(self.chosen.through, self.skipped)
        return last + 1 if last else None

    def collect(self, window):
        """Asks every registry for the counts of a window that its proxies have told it."""
        self.collecting = True
        answers, silent = {}, set()
        peers = [member.address for member in self.membership.members("registry")
                 if self.membership.reachable(member.address)]
        cutoffMs = self.context.settings.bounds.contactMs / 5.0

        def answered(peer, answer, problem):
            if problem is None and answer is not None:
                answers[peer] = answer
            else:
                silent.add(peer)
            if len(answers) + len(silent) < len(peers):
                return
            holders = {}
            for address, (_, _, proxies, _) in answers.items():
                for proxy in proxies:
                    holders.setdefault(proxy, []).append(address)
            twice = {address for holding in holders.values() if len(holding) > 1 for address in holding}
            if not twice:
                self.counted(window, answers, {}, len(holders), not silent)
                return
            self.resolveTwice(window, answers, twice, len(holders), not silent)
        for peer in peers:
            self.board.call(peer, wire.COUNTS_WANTED, [window, 0], cutoffMs,
                            lambda answer, problem, peer=peer: answered(peer, answer, problem))

    def resolveTwice(self, window, answers, twice, proxies, whole):
        """Some proxies told two registries: these give their counts proxy by proxy, and the later word counts."""
        rows, waiting = {}, set(twice)

        def answered(peer, answer, problem):
            waiting.discard(peer)
            if problem is None and answer is not None:
                for proxy, uptoMs, text in answer[3]:
                    if proxy not in rows or uptoMs > rows[proxy][0]:
                        rows[proxy] = (uptoMs, text)
                answers[peer] = [answer[0], answer[1], answer[2], "{}"]
            else:
                answers.pop(peer, None)
            if not waiting:
                self.counted(window, answers, rows, proxies, whole)
        for peer in twice:
            self.board.call(peer, wire.COUNTS_WANTED, [window, 1], self.context.settings.bounds.contactMs / 5.0,
                            lambda answer, problem, peer=peer: answered(peer, answer, problem))

    def counted(self, window, answers, rows, proxies, whole):
        """All that can be had of a window's counts is here: they are chosen, unless more is worth waiting for."""
        self.collecting = False
        trueMs = self.trueTime.now()
        if not self.holds() or self.busy or trueMs is None:
            return
        bounds = self.context.settings.bounds
        if window == 0:
            oldest = [answer[0] for answer in answers.values() if answer[0] > 0]
            if oldest:
                self.skipped = min(oldest) - 1
                self.collectAtMs = 0.0
            return
        if window != self.nextWindow():
            return
        counts = {}
        for text in [answer[3] for answer in answers.values()] + [text for _, text in rows.values()]:
            for tenant, number in json.loads(text).items():
                counts[tenant] = counts.get(tenant, 0) + number
        known = len(self.membership.members("proxy"))
        complete = whole and proxies >= known and all(answer[1] for answer in answers.values())
        latestMs = (window + 1) * bounds.reportWindowS * 1000.0 + bounds.usageDelayS * 1000.0 * LATEST_SHARE
        if not complete and trueMs < latestMs:
            self.collectAtMs = self.context.nowMs() + bounds.usageDelayS * 100.0
            return
        self.collectAtMs = 0.0
        if not sum(counts.values()):
            self.skipped = window
            return
        counts = {tenant: counts[tenant] for tenant in sorted(counts) if counts[tenant]}
        text = json.dumps({"windowNo": window, "counts": counts}, separators=(",", ":"))
        pending = tuple(row for row in self.chosen.pending if row[0] not in self.sent) + ((window, text),)
        self.busy = True
        self.context.log.info("duties: window %d is put to the vote%s.", window, "" if complete else ", incomplete")
        self.accept(self.chosen, self.chosen.after(pending=pending, through=window),
                    lambda chosen: self.send() if chosen else None)

    def onCountsWanted(self, peer, body, reply):
        window, whole = body
        reply(self.ledger.answer(window, whole))

    # sending

    def leastPauseMs(self):
        bounds = self.context.settings.bounds
        return max(1000.0 / self.context.settings.dutyPerS, bounds.usageDelayS * 1000.0 * PAUSE_SHARE)

    def due(self):
        """The oldest chosen window that isn't known to have arrived."""
        for window, text in self.chosen.pending:
            if window not in self.sent:
                return window, text
        return None

    def send(self):
        """Sends the oldest window that is due, word for word as it was chosen; one call at a time."""
        nowMs = self.context.nowMs()
        if not self.holds() or self.calling is not None or nowMs < self.notBeforeMs:
            return
        due = self.due()
        if due is None:
            return
        window, text = due
        fence = self.chosen.fence
        if nowMs < self.actedMs + self.context.settings.bounds.leaseMs * 1.25 and self.lastSent != fence:
            self.notBeforeMs = self.actedMs + self.context.settings.bounds.leaseMs * 1.25
            return

        def done(status, problem):
            if self.calling is not call:
                return
            self.calling = None
            self.outcome(window, fence, status, problem)

        def wrote():
            self.actedMs = self.context.nowMs()
            self.lastSent = fence
        call = PlatformCall(self.context, "/usage", text, self.context.settings.name, fence, self.check, wrote, done,
                            self.context.settings.bounds.usageDelayS * 1000.0 * CALL_SHARE)
        self.calling = call
        call.open()

    def outcome(self, window, fence, status, problem):
        """What a call came to; an unclear one is repeated as it was."""
        nowMs = self.context.nowMs()
        bounds = self.context.settings.bounds
        if status is not None and 200 <= status < 300:
            self.sent.add(window)
            self.sent = {kept for kept in self.sent if kept > window - 100}
            self.pauseMs = self.leastPauseMs()
            self.notBeforeMs = nowMs + 1000.0 / self.context.settings.dutyPerS
            self.context.log.info("duties: window %d was taken under fence %d.", window, fence)
            self.context.soon(self.send)
            return
        self.context.log.info("duties: window %d under fence %d: %s.", window, fence,
                              f"the platform answers {status}" if status is not None else problem)
        self.notBeforeMs = nowMs + self.pauseMs
        self.pauseMs = min(self.pauseMs * 1.6, bounds.usageDelayS * 200.0)
        if status == 409:
            self.barredMs = nowMs + bounds.leaseMs * 1.25
            self.stepDown("the platform has seen a higher fence")

    def stand(self):
        """What this registry knows of the duty, for the tools."""
        value = self.chosen or self.accepted
        trueMs = self.trueTime.now()
        bounds = self.context.settings.bounds
        held = self.holds()
        pending = [window for window, _ in value.pending if window not in self.sent] if value else []
        dueMs = bounds.usageDelayS * 1000.0
        overdue = [window for window in pending if trueMs is not None
                   and trueMs > (window + 1 + (0 if held else 2)) * bounds.reportWindowS * 1000.0 + dueMs]
        return {USAGE_DUTY: {"holder": value.holder if value else "", "fence": value.fence if value else 0,
                             "holding": held, "heardMs": int(self.context.nowMs() - self.ownerHeardMs), "borneMs": int(self.patienceMs(8)),
                             "chosenThrough": value.through if value else 0, "pending": pending,
                             "sent": sorted(self.sent)[-10:], "overdue": overdue,
                             "votes": list(value.group) if value else list(self.seedStores)}}
