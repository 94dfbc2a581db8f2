"""The duties at the platform, against a stand-in that fences, refuses, is slow, down or silent;
seen at its sockets.
"""

import asyncio
import functools
import json

import pytest
from support.endpoints import status_of
from support.fleet import Fleet, number_of

PLATFORM = ("10.8.0.1", 80)
DUTIES = '\n[platform]\naddress = "10.8.0.1:80"\nduties = ["usage_report"]\ndutyPerS = 50\n'


class Platform:
    """Keeps every report it read, with when, by whom and under which fence; answers as `mode`
    says.
    """

    def __init__(self, world):
        self.world, self.mode, self.slow_ms, self.alive = world, "well", 20, True
        self.calls, self.highest = [], 0
        world.regions[PLATFORM[0]] = "a"
        self.open()

    def open(self):
        self.world.listeners[PLATFORM] = (self, lambda: PlatformSide(self))

    def shut(self):
        self.world.listeners.pop(PLATFORM, None)

    def taken(self):
        return [call for call in self.calls if call["status"] == 200]

    def counts(self):
        """Counts by window, as first taken; every later sending must have been the very same."""
        windows = {}
        for call in self.taken():
            body = json.loads(call["body"])
            assert windows.setdefault(body["windowNo"], call["body"]) == call["body"], (
                "two reports for one window"
            )
        return {window: json.loads(text)["counts"] for window, text in windows.items()}

    def check(self, lease_ms=3000):
        """The rules: one report a window, one holder a fence, no holder back within the lease after
        another.
        """
        holders = {}
        for call in self.calls:
            assert holders.setdefault(call["fence"], call["holder"]) == call["holder"], (
                "a fence with two holders"
            )
        acts = [(call["atMs"], call["holder"]) for call in self.taken()]
        for at, (later_ms, holder) in enumerate(acts):
            others = [ms for ms, who in acts[:at] if who != holder]
            mine = [ms for ms, who in acts[:at] if who == holder and others and ms < max(others)]
            assert not mine or later_ms - max(mine) > lease_ms, "A, B, A within the lease"
        return self.counts()


class PlatformSide(asyncio.Protocol):
    def __init__(self, platform):
        self.platform, self.buffer = platform, b""

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        platform = self.platform
        self.buffer += data
        head, _, body = self.buffer.partition(b"\r\n\r\n")
        fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
        if b"content-length" not in fields or len(body) < int(fields[b"content-length"]):
            return
        self.buffer = b""
        fence = int(fields[b"fence"])
        status = 429 if platform.mode == "busy" else 409 if fence < platform.highest else 200
        platform.highest = max(platform.highest, fence)
        platform.calls.append(
            {
                "atMs": platform.world.env.now,
                "holder": fields[b"duty-holder"].decode(),
                "fence": fence,
                "body": body.decode(),
                "status": status,
            }
        )
        if platform.mode != "silent":
            platform.world.later(
                platform.slow_ms,
                self.transport.write,
                f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n".encode(),
            )


class Days:
    """A fleet with duties, a platform, and requests that begin at a steady pace at every proxy."""

    def __init__(self, seed=1, proxies=3, every_ms=200):
        self.fleet = Fleet(seed, proxies, DUTIES)
        self.world = self.fleet.world
        self.platform = Platform(self.world)
        self.truth, self.every_ms, self.busy = {}, every_ms, True
        assert self.world.until(
            lambda: self.holder() is not None and self.fleet.formed(12 + proxies), 20000
        )
        assert self.world.until(
            lambda: all(proxy.forwarder.usage.offset_ms for proxy in self.fleet.proxies.values()),
            9000,
        )
        self.world.later(self.to_mid_step_ms(), self.requests)

    def to_mid_step_ms(self):
        """Requests begin half a step off the windows' edges: the core's agreed time is some
        milliseconds off, and a request on an edge would belong to either window.
        """
        wall_ms = 1.7e12 + self.world.env.now
        return (self.every_ms / 2 - wall_ms) % self.every_ms

    def requests(self):
        """Every proxy that runs begins one request for each of two tenants."""
        if self.busy:
            self.world.later(self.every_ms, self.requests)
        for proxy in self.fleet.proxies.values():
            if proxy.context.alive:
                for tenant in ("co-op", "trust"):
                    proxy.forwarder.usage.count(tenant, self.world.env.now)
                    window = int((1.7e12 + self.world.env.now) // 5000)
                    counts = self.truth.setdefault(window, {})
                    counts[tenant] = counts.get(tenant, 0) + 1

    def holder(self):
        holding = [
            n
            for n, registry in self.fleet.registries.items()
            if registry.context.alive and registry.singleton.holds_role()
        ]
        return holding[-1] if holding else None

    def duty(self):
        return self.fleet.registries[self.holder()].singleton

    def window(self):
        return int((1.7e12 + self.world.env.now) // 5000)

    def near(self, counts, share=0.05, windows=None):
        """Asserts that all windows that are long over were reported, no further than `share` from
        the truth.
        """
        done = [window for window in sorted(self.truth) if window < self.window() - 2]
        assert len(done) > 1
        for window in done if windows is None else windows:
            assert window in counts, f"window {window} is missing"
            for tenant, number in self.truth[window].items():
                assert abs(counts[window].get(tenant, 0) - number) <= max(3, share * number), (
                    window,
                    counts[window],
                )

    def kill_machine(self, number):
        self.fleet.kill_core(number)
        self.world.later(1500, self.fleet.start_core, number, False)


def test_calm_days_cost_one_call_a_window_and_count_right():
    days = Days()
    days.world.run(40000)
    counts = days.platform.check()
    days.near(counts, 0.01)
    assert len(days.platform.calls) == len(counts)
    assert {call["fence"] for call in days.platform.calls} == {days.duty().committed.fencing_token}


def test_a_window_that_ended_before_everything_lost_power_is_reported():
    """Its counts are in memories only until it is committed; it used to be committed three seconds after
    its end.
    """
    days = Days()
    days.world.run(10000)
    days.world.run(5000 - (1.7e12 + days.world.env.now) % 5000 + 2500)
    days.busy, ended = False, days.window() - 1
    days.fleet.lose_power(pause_ms=1000)
    days.world.run(15000)
    days.near(days.platform.check(), windows=[ended])


def kill(days, number):
    days.kill_machine(number)


def freeze(days, number):
    days.world.freeze(days.fleet.registries[number].context, 6000)
    days.world.freeze(days.fleet.stores[number].context, 6000)


def cut_off(days, number):
    ip = f"10.0.0.{number + 1}"
    days.world.cut([ip], [f"10.0.0.{n}" for n in range(1, 7)])
    days.world.later(7000, days.world.join)


def leave_in_order(days, number):
    days.fleet.registries[number].stop()
    days.world.later(4000, days.fleet.start_registry, number)


STEPS = {
    "before choosing": lambda days: days.duty().collector.collecting,
    "while choosing": lambda days: days.duty().busy,
    "committed, not sent": lambda days: (
        days.duty().sender.call is not None and not days.duty().busy
    ),
    "sent, not answered": lambda days: (
        days.platform.calls and days.platform.calls[-1]["atMs"] >= days.world.env.now - 2
    ),
}


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("strike", [kill, freeze, cut_off, leave_in_order])
def test_holder_lost_at_every_step_leaves_one_report_a_window(step, strike):
    days = Days(seed=3)
    days.world.run(9000)
    assert days.world.until(lambda: days.holder() is not None and STEPS[step](days), 15000, 1)
    first, fence = days.holder(), days.duty().committed.fencing_token
    strike(days, first)
    days.world.run(30000)
    counts = days.platform.check()
    days.near(counts)
    assert days.duty().committed.fencing_token > fence
    assert days.holder() != first or strike is leave_in_order


def test_slow_call_that_arrives_after_the_successors_is_fenced_off():
    days = Days(seed=4)
    days.world.run(9000)
    held = days.world.delay
    first = days.holder()
    ip = f"10.0.0.{first + 1}"
    assert days.world.until(
        lambda: days.holder() is not None and days.duty().sender.call is not None, 15000, 1
    )
    days.world.delay = lambda one, other: (
        9000.0 if (one, other) == (ip, PLATFORM[0]) else held(one, other)
    )
    days.world.run(300)
    days.kill_machine(first)
    days.world.run(30000)
    days.near(days.platform.check())
    late = [call for call in days.platform.calls if call["status"] == 409]
    assert late or all(call["holder"] != f"node-{ip}" for call in days.platform.calls[-3:])


def test_two_candidates_at_once_never_share_a_fence():
    days = Days(seed=5)
    days.world.run(6000)
    first = days.holder()
    days.fleet.kill_core(first)
    for _ in range(4):
        for _number, registry in days.fleet.registries.items():
            if registry.context.alive:
                registry.singleton.election.campaign()
        days.world.run(1500)
    days.world.run(15000)
    days.platform.check()
    owners = [
        registry.singleton
        for registry in days.fleet.registries.values()
        if registry.context.alive and registry.singleton.holds_role()
    ]
    assert len(owners) == 1


@pytest.mark.parametrize("mode", ["busy", "silent", "slow", "shut"])
def test_platform_in_trouble_gets_the_same_reports_in_order_afterwards(mode):
    days = Days(seed=6)
    days.world.run(9000)
    if mode == "shut":
        days.platform.shut()
    elif mode == "slow":
        days.platform.slow_ms = 5000
    else:
        days.platform.mode = mode
    before = len(days.platform.calls)
    days.world.run(12000)
    assert len(days.platform.calls) - before < 12
    days.platform.mode, days.platform.slow_ms = "well", 20
    days.platform.open()
    days.world.run(16000)
    days.near(days.platform.check())
    firsts = list(
        dict.fromkeys(json.loads(call["body"])["windowNo"] for call in days.platform.taken())
    )
    assert firsts == sorted(firsts)


def test_all_restarted_keep_fence_and_windows():
    days = Days(seed=7)
    days.world.run(16000)
    fence = days.duty().committed.fencing_token
    through = days.duty().committed.last_window
    for number in range(6):
        days.fleet.kill_core(number)
    days.world.run(500)
    for number in range(6):
        days.fleet.start_core(number, False)
    assert days.world.until(lambda: days.holder() is not None, 15000)
    assert days.duty().committed.fencing_token > fence
    assert days.duty().committed.last_window >= through
    days.world.run(25000)
    days.near(days.platform.check())


def test_disks_lost_within_tolerance_never_bring_a_fence_again():
    days = Days(seed=8)
    days.world.run(9000)
    fences = [days.duty().committed.fencing_token]
    group = days.duty().committed.group
    lost = [number_of(voter) for voter in group[:2]]
    for number in range(6):
        days.fleet.kill_core(number)
    for number in lost:
        days.fleet.wipe(number)
    for number in range(6):
        days.fleet.start_core(number, False)
    assert days.world.until(lambda: days.holder() is not None, 20000)
    assert days.duty().committed.fencing_token > max(fences)
    days.world.run(20000)
    days.platform.check()


@pytest.mark.parametrize("step", STEPS)
def test_disks_lost_while_all_others_lose_power_leave_fence_and_windows(step):
    """The closing event of a day: the holder's disk and another voter's are lost, and every other
    machine loses power at the same moment.
    """
    days = Days(seed=30 + list(STEPS).index(step))
    days.world.run(9000)
    assert days.world.until(lambda: days.holder() is not None and STEPS[step](days), 12000, 1)
    holder = days.holder()
    committed = days.duty().committed
    voters = [number_of(voter) for voter in committed.group]
    lost = [holder, next(number for number in voters if number != holder)]

    days.fleet.lose_power(wiped=lost)

    assert days.world.until(lambda: days.holder() is not None, 25000)
    assert days.duty().committed.fencing_token > committed.fencing_token
    assert days.duty().committed.last_window >= committed.last_window
    days.world.run(20000)
    days.platform.check()
    windows = [json.loads(call["body"])["windowNo"] for call in days.platform.taken()]
    assert max(windows) >= days.window() - 3, "reports go on after the restart"


def test_core_without_majority_does_nothing_at_the_platform():
    days = Days(seed=9)
    days.world.run(9000)
    group = [int(address.split(":")[0].split(".")[-1]) for address in days.duty().committed.group]
    first = days.holder() + 1
    few = [first, next(number for number in group if number != first)]
    many = [number for number in range(1, 7) if number not in few]
    days.world.cut([f"10.0.0.{n}" for n in few], [f"10.0.0.{n}" for n in many])
    days.world.run(2500)
    cut_ms = days.world.env.now
    days.world.run(20000)
    names = {f"node-10.0.0.{number}" for number in few}
    assert not [
        call for call in days.platform.calls if call["atMs"] > cut_ms and call["holder"] in names
    ]
    assert [call for call in days.platform.taken() if call["atMs"] > cut_ms]
    days.platform.check()


def test_clocks_stepped_by_hours_change_no_window():
    days = Days(seed=10)
    days.world.run(9000)
    days.world.steps = {"10.0.0.1": 7.2e6, "10.0.0.4": -3.6e6, "10.0.1.1": 9e6}
    days.world.run(25000)
    counts = days.platform.check()
    days.near(counts, 0.01)
    assert set(counts) <= set(days.truth)


def test_proxy_restarted_within_a_window_neither_loses_nor_doubles():
    days = Days(seed=11)
    days.world.run(9000)
    for _ in range(3):
        proxy = days.fleet.proxies[1]
        days.world.kill(proxy.context)
        days.world.run(300)
        days.fleet.start_proxy(1)
        days.world.run(4000)
    days.world.run(16000)
    counts = days.platform.check()
    days.near(counts, 0.12)
    for window, numbers in counts.items():
        assert all(
            number <= days.truth[window].get(tenant, 0) for tenant, number in numbers.items()
        )


def test_change_of_feeder_within_a_window_counts_once():
    days = Days(seed=12)
    days.world.run(9000)
    for number in (0, 1, 2):
        feeder = int(days.fleet.proxies[number].feed.feeder.split(":")[0].split(".")[-1]) - 1
        days.fleet.proxies[number].feed.drop_feeder("the test wants another")
        avoided = days.fleet.registries[feeder].rpc.address
        days.fleet.proxies[number].feed.choice.avoid(avoided, 1e12)
        days.world.run(1500)
    days.world.run(16000)
    days.near(days.platform.check(), 0.01)


def is_replaced(days, leaver):
    """True once both groups are complete without a machine."""
    owners = [k for k in days.fleet.stores.values() if k.context.alive and k.ballot and k.committed]
    groups = [
        duty.committed.group
        for duty in owners[:1] + ([days.duty()] if days.holder() is not None else [])
    ]
    return len(groups) == 2 and all(
        len(group) >= 5 and not any(leaver in address for address in group) for group in groups
    )


def test_core_machine_replaced_twice_running():
    """A machine leaves for good, without a word, and an empty one comes at another address; then
    another does.
    """
    days = Days(seed=13)
    days.world.run(9000)
    for gone, comer in ((days.holder(), 6), (1 if days.holder() != 1 else 2, 7)):
        days.fleet.kill_core(gone)
        days.world.run(2000)
        days.fleet.start_core(comer, False)
        leaver = f"10.0.0.{gone + 1}:"
        assert days.world.until(functools.partial(is_replaced, days, leaver), 40000)
    assert days.fleet.insist([3], "evacuate", "b1") is not None
    alive = [n for n, keeper in days.fleet.stores.items() if keeper.context.alive]
    group = days.fleet.stores[alive[0]].group()
    voters = [n for n in alive if any(f"10.0.0.{n + 1}:" in address for address in group)]
    for number in voters[:2]:
        days.fleet.kill_core(number)
    rest = [n for n in alive if n not in voters[:2]]
    assert days.fleet.insist(rest, "evacuate", "c1")[0] == 200
    days.world.run(20000)
    days.platform.check()


def test_stand_shows_the_duty():
    days = Days(seed=14)
    days.world.run(16000)
    days.platform.shut()
    days.world.run(22000)
    stand = status_of(days.fleet.registries[days.holder()])["duties"]["usage_report"]
    assert stand["holder"] == f"node-10.0.0.{days.holder() + 1}"
    assert stand["holding"]
    assert stand["fence"] >= 1
    assert stand["overdue"]
    assert stand["pending"]
    assert stand["sent"]
    from stagevale.diagnostics.system_check import status_findings

    whole = status_of(days.fleet.registries[days.holder()])
    assert any("overdue" in finding.fault for finding in status_findings("here", whole))
    days.platform.open()
    days.world.run(8000)
    assert not any(
        "overdue" in finding.fault
        for finding in status_findings("here", status_of(days.fleet.registries[days.holder()]))
    )


def test_unused_duties_cost_nothing():
    fleet = Fleet(1, 2)
    fleet.world.run(5000)
    assert all(
        registry.singleton is None and registry.service.usage is None
        for registry in fleet.registries.values()
    )
    assert all(proxy.forwarder.usage is None for proxy in fleet.proxies.values())
    assert not [name for name in fleet.world.disks if name.startswith("duties")]
