"""The judgement of a rollout's step: the owner of the register sums what proxies tell and advances
or falls back.
"""

import json

from stagevale.rollouts import (
    DONE,
    FAILURES,
    FALLEN,
    NEW,
    REQUESTS,
    SHIFTING,
    SLOW,
    STABLE,
    Rollout,
)

UNHEARD_SHARE = 0.75


class Judge:
    """What the owner has heard of proxies' outcomes; a successor hears it anew, since sums are
    whole per life.
    """

    __slots__ = ("bounds", "tolerated", "lives", "heard_ms", "since_ms")

    def __init__(self, bounds, tolerance):
        self.bounds = bounds
        self.tolerated = int(tolerance.get("machines", 1))
        self.lives = {}
        self.heard_ms = {}
        self.since_ms = {}

    def take(self, told, now_ms):
        """Takes in what proxies tell: rows of address, life, sums."""
        for address, life, rows in told:
            self.heard_ms[address] = now_ms
            if rows:
                self.lives[life] = [row for row in rows if len(row) == 8]

    def sums(self, rollout, step=None):
        """Per zone of endpoints, [stable, new] sums of this rollout, of one step or of all."""
        zones = {}
        for rows in self.lives.values():
            for service, version, its_step, zone, side, *sums in rows:
                if (
                    service == rollout.service
                    and version == rollout.version
                    and step in (None, its_step)
                ):
                    both = zones.setdefault(zone, ([0, 0, 0], [0, 0, 0]))
                    for at in (REQUESTS, FAILURES, SLOW):
                        both[side][at] += sums[at]
        return zones

    def judge(self, rollout, proxies, now_ms):
        """The rollout after this moment, or None where nothing changes."""
        if rollout.state != SHIFTING:
            return None
        place = rollout.service, rollout.version, rollout.step
        self.since_ms = {
            key: ms
            for key, ms in self.since_ms.items()
            if key[0] != rollout.service or key == place
        }
        since_ms = self.since_ms.setdefault(place, now_ms)
        zones = self.sums(rollout, rollout.step)
        reason = self.over(rollout, zones)
        if reason:
            return rollout.after(state=FALLEN, reason=reason)
        seen = sum(both[NEW][REQUESTS] for both in zones.values())
        unheard = [
            address
            for address in proxies
            if now_ms - self.heard_ms.get(address, -1e12) > self.bounds.contact_ms * UNHEARD_SHARE
        ]
        if (
            now_ms - since_ms < rollout.watch_s * 1000.0
            or seen < rollout.least_requests
            or len(unheard) > self.tolerated
        ):
            return None
        if rollout.step + 1 == len(rollout.steps):
            return rollout.after(state=DONE, reason="all steps were passed")
        return rollout.after(step=rollout.step + 1, reason="")

    def over(self, rollout, zones):
        """Why the new version is worse than can be borne, or ""; neither few requests nor one zone
        alone decides.
        """
        before = self.sums(rollout) if rollout.steps[rollout.step] == 1.0 else zones
        if (
            excess(zones, before) <= rollout.failure_share
            or requests(zones) < rollout.least_requests
        ):
            return ""
        if len(zones) > 1:
            worst = max(zones, key=lambda zone: zones[zone][NEW][FAILURES] + zones[zone][NEW][SLOW])
            rest = {zone: both for zone, both in zones.items() if zone != worst}
            rest_before = {zone: both for zone, both in before.items() if zone != worst}
            if (
                requests(rest) * 2 >= rollout.least_requests
                and excess(rest, rest_before) <= rollout.failure_share
            ):
                return ""
            if (
                requests(rest) * 2 < rollout.least_requests
                and requests(zones) < 2 * rollout.least_requests
            ):
                return ""
        sums = [sum(both[NEW][at] for both in zones.values()) for at in (REQUESTS, FAILURES, SLOW)]
        return (
            f"step {rollout.step + 1}: {sums[FAILURES]} failed and {sums[SLOW]} late of {sums[REQUESTS]} at "
            f"{rollout.new}, {excess(zones, before):.3f} over {rollout.stable}"
        )

    def show(self, rollout):
        """The sums for the operator."""
        total = [[0, 0, 0], [0, 0, 0]]
        for both in self.sums(rollout, rollout.step).values():
            for side in (STABLE, NEW):
                for at in (REQUESTS, FAILURES, SLOW):
                    total[side][at] += both[side][at]
        return {
            name: {"requests": sums[REQUESTS], "failed": sums[FAILURES], "late": sums[SLOW]}
            for name, sums in (("from", total[STABLE]), ("to", total[NEW]))
        }


def requests(zones):
    return sum(both[NEW][REQUESTS] for both in zones.values())


def share(zones, side):
    """The share of failed and late requests on one side; 0 where there were none."""
    asked = sum(both[side][REQUESTS] for both in zones.values())
    return (
        sum(both[side][FAILURES] + both[side][SLOW] for both in zones.values()) / asked
        if asked
        else 0.0
    )


def excess(zones, before):
    """By how much the new version's share of failed and late requests is over the stable one's."""
    return share(zones, NEW) - share(before, STABLE)


def tend(judge, value, proxies, now_ms):
    """The register's next value where some rollout's judgement changes it: (value, a withdrawal
    among it), or None.
    """
    after, withdrawn = dict(value.rollouts), False
    for service, text in value.rollouts.items():
        judged = judge.judge(Rollout(json.loads(text)), proxies, now_ms)
        if judged is not None:
            after[service] = judged.text()
            withdrawn = withdrawn or judged.state == FALLEN
    return (value.after(rollouts=after), withdrawn) if after != value.rollouts else None
