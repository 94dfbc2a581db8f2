"""The judgement of a rollout's step: the leader sums what proxies report and goes on or back."""

import json
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from stagevale.configuration.value import ConfigurationValue
from stagevale.rollouts.outcomes import OutcomeCounts, OutcomeRow
from stagevale.rollouts.rollout import Rollout, RolloutState, Side
from stagevale.runtime.clock import LONG_AGO_MS, MS_PER_S
from stagevale.settings.settings import Bounds, tolerated_disks

# A proxy that has reported nothing for this share of `contactMs` is not known to be well.
SILENCE_SHARE = 0.75


class ZoneCounts(NamedTuple):
    """Outcomes at the endpoints of one zone, of both versions."""

    stable: OutcomeCounts
    new: OutcomeCounts

    def of(self, side: Side) -> OutcomeCounts:
        """The counts of one version."""
        return self.new if side == Side.NEW else self.stable


Zones = Mapping[str, ZoneCounts]


class StepKey(NamedTuple):
    """A step of a rollout."""

    service: str
    version: int
    step: int


class Judge:
    """What the leader has received of proxies' outcomes; a successor receives it anew, since a
    proxy's counts are complete since its start.
    """

    __slots__ = ("bounds", "tolerated", "_rows", "_report_ms", "_step_since_ms")

    def __init__(self, bounds: Bounds, tolerance: Mapping[str, Any]) -> None:
        self.bounds = bounds
        self.tolerated = tolerated_disks(tolerance)
        self._rows: dict[str, list[OutcomeRow]] = {}
        self._report_ms: dict[str, float] = {}
        self._step_since_ms: dict[StepKey, float] = {}

    def record(self, reports: Iterable[Any], now_ms: float) -> None:
        """Takes in what proxies report: address, incarnation, rows."""
        for address, incarnation, rows in reports:
            self._report_ms[address] = now_ms
            if rows:
                self._rows[incarnation] = [
                    OutcomeRow(*row) for row in rows if len(row) == len(OutcomeRow._fields)
                ]

    def counts(self, rollout: Rollout, step: int | None = None) -> dict[str, ZoneCounts]:
        """The outcomes of a rollout by zone, of one step or of all."""
        zones: dict[str, ZoneCounts] = {}
        for rows in self._rows.values():
            for row in rows:
                if row.service != rollout.service or row.version != rollout.version:
                    continue
                if step in (None, row.step):
                    zone = zones.setdefault(row.zone, ZoneCounts(OutcomeCounts(), OutcomeCounts()))
                    zone.of(Side(row.side)).add(row.counts)
        return zones

    def judge(self, rollout: Rollout, proxies: Iterable[str], now_ms: float) -> Rollout | None:
        """The rollout after this moment, or None where nothing changes.

        Args:
            rollout: the rollout.
            proxies: addresses of all proxies, whose reports are needed.
            now_ms: the monotonic time.
        """
        if rollout.state != RolloutState.SHIFTING:
            return None
        since_ms = self._step_since(rollout, now_ms)
        zones = self.counts(rollout, rollout.step)
        reason = self._rollback_reason(rollout, zones)
        if reason:
            return rollout.changed(state=RolloutState.ROLLED_BACK, reason=reason)
        limit_ms = self.bounds.contact_ms * SILENCE_SHARE
        silent = [
            address
            for address in proxies
            if now_ms - self._report_ms.get(address, LONG_AGO_MS) > limit_ms
        ]
        if (
            now_ms - since_ms < rollout.watch_s * MS_PER_S
            or requests_of_new(zones) < rollout.least_requests
            or len(silent) > self.tolerated
        ):
            return None
        if rollout.step + 1 == len(rollout.steps):
            return rollout.changed(state=RolloutState.DONE, reason="all steps were passed")
        return rollout.changed(step=rollout.step + 1, reason="")

    def _step_since(self, rollout: Rollout, now_ms: float) -> float:
        """Since when the rollout's step has been judged here; earlier steps are forgotten."""
        step = StepKey(rollout.service, rollout.version, rollout.step)
        self._step_since_ms = {
            key: since_ms
            for key, since_ms in self._step_since_ms.items()
            if key.service != rollout.service or key == step
        }
        return self._step_since_ms.setdefault(step, now_ms)

    def _rollback_reason(self, rollout: Rollout, zones: Zones) -> str:
        """Why the new version is worse than allowed, or ""; neither few requests nor one zone alone
        decides.
        """
        # The last step leaves the stable version no requests: it is judged by the earlier steps.
        stable = self.counts(rollout) if rollout.steps[rollout.step] == 1.0 else zones
        if excess(zones, stable) <= rollout.failure_share:
            return ""
        if requests_of_new(zones) < rollout.least_requests:
            return ""
        if len(zones) > 1 and self._is_one_zone_only(rollout, zones, stable):
            return ""
        total = OutcomeCounts()
        for zone in zones.values():
            total.add(zone.new)
        return (
            f"step {rollout.step + 1}: {total.failed} failed and {total.late} late of "
            f"{total.requests} at {rollout.new}, {excess(zones, stable):.3f} over {rollout.stable}"
        )

    def _is_one_zone_only(self, rollout: Rollout, zones: Zones, stable: Zones) -> bool:
        """True where only the worst zone is over the limit, or the others say too little yet."""
        worst = max(zones, key=lambda name: zones[name].new.bad)
        rest = {name: zone for name, zone in zones.items() if name != worst}
        stable_rest = {name: zone for name, zone in stable.items() if name != worst}
        if requests_of_new(rest) * 2 >= rollout.least_requests:
            return excess(rest, stable_rest) <= rollout.failure_share
        return requests_of_new(zones) < 2 * rollout.least_requests

    def summary(self, rollout: Rollout) -> dict[str, dict[str, int]]:
        """The step's outcomes for the operator."""
        totals = ZoneCounts(OutcomeCounts(), OutcomeCounts())
        for zone in self.counts(rollout, rollout.step).values():
            totals.stable.add(zone.stable)
            totals.new.add(zone.new)
        return {
            name: {"requests": counts.requests, "failed": counts.failed, "late": counts.late}
            for name, counts in (("from", totals.stable), ("to", totals.new))
        }


def requests_of_new(zones: Zones) -> int:
    """Requests at the new version."""
    return sum(zone.new.requests for zone in zones.values())


def _bad_share(zones: Zones, side: Side) -> float:
    """The share of failed and late requests at one version; 0 where there were none."""
    requests = sum(zone.of(side).requests for zone in zones.values())
    bad = sum(zone.of(side).bad for zone in zones.values())
    return bad / requests if requests else 0.0


def excess(zones: Zones, stable: Zones) -> float:
    """By how much the new version's share of failed and late requests is over the stable one's."""
    return _bad_share(zones, Side.NEW) - _bad_share(stable, Side.STABLE)


class JudgedValue(NamedTuple):
    """A configuration value after judgement, and whether a rollout was rolled back in it."""

    value: ConfigurationValue
    withdraws: bool


def judge_all(
    judge: Judge, value: ConfigurationValue, proxies: Iterable[str], now_ms: float
) -> JudgedValue | None:
    """The next value, where some rollout's judgement changes it; else None."""
    proxies = list(proxies)
    rollouts, withdraws = dict(value.rollouts), False
    for service, text in value.rollouts.items():
        judged = judge.judge(Rollout.from_json(text), proxies, now_ms)
        if judged is not None:
            rollouts[service] = judged.to_json()
            withdraws = withdraws or judged.state == RolloutState.ROLLED_BACK
    if rollouts == value.rollouts:
        return None
    return JudgedValue(value.changed(rollouts=rollouts), withdraws)


def log_text(before: ConfigurationValue, after: ConfigurationValue) -> str:
    """The rollouts that differ between two values, for the log."""
    changed = {
        service: json.loads(text)
        for service, text in after.rollouts.items()
        if text != before.rollouts.get(service)
    }
    return ", ".join(
        f"{service} is {row['state']} at step {row['step'] + 1}" for service, row in changed.items()
    )
