"""Steering: each edge learns from the answers it carries which region answers a service fastest,
and shifts to it.
"""

import math

BUCKETS = 64
BUCKETS_A_DOUBLING = 4
FIRST_MS = 1.0
NEUTRAL = 1.0
ALPHA = 0.08
ENOUGH = 8
STALE_SHARE = 5.0
MARGIN = 0.15
PRICE = 0.1
STEP = 0.12
ROUND_SHARE = 0.125
RENEWED = 0.02


class Histogram:
    """Counts by fixed logarithmic buckets; two of them merge by adding."""

    __slots__ = ("counts",)

    def __init__(self, counts=None):
        self.counts = dict(counts or {})

    def add(self, ms):
        place = (
            0
            if ms <= FIRST_MS
            else min(BUCKETS - 1, 1 + int(math.log2(ms / FIRST_MS) * BUCKETS_A_DOUBLING))
        )
        self.counts[place] = self.counts.get(place, 0) + 1

    def merge(self, other):
        for place, count in other.counts.items():
            self.counts[place] = self.counts.get(place, 0) + count

    def count(self):
        return sum(self.counts.values())

    def quantile(self, share):
        """The value that this share of what was counted does not exceed, at the upper end of its
        bucket.
        """
        wanted, seen = share * self.count(), 0
        for place in sorted(self.counts):
            seen += self.counts[place]
            if seen >= wanted:
                return FIRST_MS * 2.0 ** (place / BUCKETS_A_DOUBLING)
        return 0.0

    def rows(self):
        return sorted(self.counts.items())


class Estimate:
    """What one region's answers of one service take, as this edge has seen it: way apart from queue
    and work.
    """

    __slots__ = ("slowness", "spread", "count", "heard_ms", "expected_sum", "got_sum", "got")

    def __init__(self):
        self.slowness = NEUTRAL
        self.spread = 0.0
        self.count = 0
        self.heard_ms = -1e12
        self.expected_sum = 0.0
        self.got_sum = 0.0
        self.got = Histogram()

    def learn(self, slowness, now_ms, memory_ms):
        """Takes in one answer: how long queue and work took against what the route usually takes.
        An answer weighs the more, the longer there was none.
        """
        self.count += 1
        alpha = max(ALPHA, 1.0 / self.count, min(0.5, (now_ms - self.heard_ms) / memory_ms))
        change = slowness - self.slowness
        self.slowness += alpha * change
        self.spread += alpha * (abs(change) - self.spread)
        self.heard_ms = now_ms

    def fresh(self, now_ms, stale_ms):
        """How much the evidence still says: 1 when just heard, fading to 0."""
        return max(0.0, 1.0 - (now_ms - self.heard_ms) / stale_ms) if self.count >= ENOUGH else 0.0

    def faded(self, now_ms, stale_ms):
        """The slowness to expect now: what was learned, fading to the neutral value as it grows
        old.
        """
        weight = self.fresh(now_ms, stale_ms)
        return weight * self.slowness + (1.0 - weight) * NEUTRAL


class Steering:
    """One edge's delays by service and region, and the share of each service's requests that it
    sends to each region.
    """

    __slots__ = (
        "random",
        "region",
        "estimates",
        "shares",
        "moved_ms",
        "stale_ms",
        "round_ms",
        "memory_ms",
        "ways",
    )

    def __init__(self, bounds, region, random, ways):
        self.random = random
        self.region = region
        self.estimates = {}
        self.shares = {}
        self.moved_ms = {}
        self.stale_ms = bounds.contact_ms * STALE_SHARE
        self.round_ms = bounds.contact_ms * ROUND_SHARE
        self.memory_ms = bounds.contact_ms
        self.ways = ways

    def estimate(self, service, region):
        found = self.estimates.get((service, region))
        if found is None:
            found = self.estimates[(service, region)] = Estimate()
        return found

    def way_ms(self, region, fallback_ms):
        """What the way there and back takes, from how long opening connections took."""
        return 0.0 if region == self.region else self.ways.get(region, fallback_ms)

    def answered(self, service, region, work_ms, took_ms, expected_ms, now_ms):
        """Learns from an answer: `took_ms` from sending to the whole answer, of a route that
        usually takes `work_ms`.
        """
        way_ms = min(self.way_ms(region, 0.0), took_ms * 0.8)
        estimate = self.estimate(service, region)
        estimate.learn(min(30.0, (took_ms - way_ms) / max(1.0, work_ms)), now_ms, self.memory_ms)
        estimate.got.add(took_ms)
        estimate.got_sum += took_ms
        estimate.expected_sum += expected_ms if expected_ms is not None else took_ms

    def failed(self, service, region, work_ms, took_ms, now_ms):
        """A request that broke off or ran out of time is an answer as slow as it was held."""
        self.estimate(service, region).learn(
            min(30.0, max(2.0, took_ms / max(1.0, work_ms))), now_ms, self.memory_ms
        )

    def expected_ms(self, service, region, work_ms, now_ms, fallback_ms):
        """What an answer is expected to take from this region now."""
        estimate = self.estimates.get((service, region))
        slowness = estimate.faded(now_ms, self.stale_ms) if estimate is not None else NEUTRAL
        return self.way_ms(region, fallback_ms) + work_ms * slowness

    def price_ms(self, region, target_ms, bulk):
        """What the bytes over a region's border are worth, in time."""
        return 0.0 if region == self.region else target_ms * PRICE * bulk

    def slowness(self, service, region, now_ms):
        """How slow this region's endpoints are taken for, where an endpoint has not been tried."""
        estimate = self.estimates.get((service, region))
        return estimate.faded(now_ms, self.stale_ms) if estimate is not None else NEUTRAL

    def choose(self, service, regions, work_ms, target_ms, bulk, pure, now_ms, fallback_ms):
        """The region for one request, drawn by the shares; now and then a pure one renews what is
        stale.
        """
        shares = self.shares.get(service)
        if shares is None:
            shares = self.shares[service] = {self.region: 1.0}
        if now_ms - self.moved_ms.get(service, -1e12) >= self.round_ms:
            self.moved_ms[service] = now_ms
            self.move(service, shares, regions, work_ms, target_ms, bulk, now_ms, fallback_ms)
        if pure and self.random.random() < RENEWED:
            stale = [
                region
                for region in regions
                if shares.get(region, 0.0) < RENEWED
                and (
                    region == self.region
                    or self.estimate(service, region).fresh(now_ms, self.stale_ms) < 0.5
                )
            ]
            if stale:
                return self.random.choice(stale)
        allowed = {
            region: share for region, share in shares.items() if region in regions and share > 0.0
        }
        if not allowed:
            return (
                min(
                    regions,
                    key=lambda region: self.expected_ms(
                        service, region, work_ms, now_ms, fallback_ms
                    ),
                )
                if regions
                else None
            )
        point = self.random.random() * sum(allowed.values())
        for region, share in allowed.items():
            point -= share
            if point <= 0.0:
                return region
        return region

    def move(self, service, shares, regions, work_ms, target_ms, bulk, now_ms, fallback_ms):
        """Shifts a part of the share towards the region that answers fastest, where that is worth
        the margin. The step rises with the gain and is drawn at random, so that edges that see the
        same do not all go at once.
        """
        costs = {
            region: self.expected_ms(service, region, work_ms, now_ms, fallback_ms)
            + self.price_ms(region, target_ms, bulk)
            for region in set(regions) | set(shares)
        }
        if not regions:
            return
        best = min(regions, key=costs.get)
        for region in list(shares):
            if region == best:
                continue
            gain = costs[region] / max(1.0, costs[best]) - 1.0
            if region not in regions:
                gain = 1.0
            if gain <= MARGIN:
                continue
            moved = min(shares[region], STEP * min(1.0, gain) * self.random.uniform(0.5, 1.5))
            shares[region] -= moved
            shares[best] = shares.get(best, 0.0) + moved
            if shares[region] < 1e-3:
                shares[best] += shares.pop(region)

    def rows(self, now_ms):
        """For operators: service, region, share, mean expected and got, median, 95th percentile,
        count, spread, age.
        """
        rows = []
        for (service, region), estimate in sorted(self.estimates.items()):
            count = estimate.got.count()
            if count == 0:
                continue
            rows.append(
                {
                    "service": service,
                    "region": region,
                    "share": round(self.shares.get(service, {}).get(region, 0.0), 3),
                    "expectedMs": round(estimate.expected_sum / count, 1),
                    "gotMs": round(estimate.got_sum / count, 1),
                    "medianMs": round(estimate.got.quantile(0.5), 1),
                    "p95Ms": round(estimate.got.quantile(0.95), 1),
                    "count": count,
                    "slowness": round(estimate.slowness, 2),
                    "spread": round(estimate.spread, 2),
                    "ageMs": int(now_ms - estimate.heard_ms),
                }
            )
        return rows
