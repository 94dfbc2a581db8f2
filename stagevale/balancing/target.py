"""One instance of an endpoint as a proxy uses it."""

from typing import Any

from stagevale.discovery.instance import InstanceState

# How much of a told load is taken into the usual one; more while little is known.
USUAL_WEIGHT = 0.15
# A told load of other proxies fades within this time to the usual one, and that in so many times it
# to none. No bound says how fast an endpoint's load changes.
OTHERS_FADE_MS = 1500.0
USUAL_FADE_FACTOR = 10.0
# Failures in a row after which an endpoint is ejected, and how its rest grows with each.
EJECT_FAILURES = 3
MOST_REST_FACTOR = 8


class Target:
    """What a proxy is told of an instance, and what it learned by using it.

    Attributes:
        id, service, address, zone, region, slots, software: as the instance says.
        state, healthy, gone: as the feed says; gone also by a 421.
        cold_seq, cold_until_ms: of its warm-up; cold_sent: when it was sent requests meanwhile.
        outstanding: requests of this proxy that it has.
        idle, open: connections: those that are free, and how many there are.
        speed: how long it takes, against the usual endpoint; above 1 is slower.
        others, others_ms, usual_others, times_told: requests of other proxies, as it told.
        failures, eject_until_ms: in a row, and until when it is ejected.
        silent_since_ms, answered_ms: of its answers.
        proxies_ranked, is_ours_while_cold: for whom it was decided whether this proxy is among the
            few that use it while it warms up.
    """

    __slots__ = (
        "id",
        "service",
        "address",
        "zone",
        "region",
        "slots",
        "state",
        "healthy",
        "cold_seq",
        "cold_until_ms",
        "outstanding",
        "idle",
        "open",
        "speed",
        "others",
        "others_ms",
        "usual_others",
        "times_told",
        "eject_until_ms",
        "failures",
        "cold_sent",
        "gone",
        "silent_since_ms",
        "answered_ms",
        "proxies_ranked",
        "is_ours_while_cold",
        "software",
    )

    def __init__(
        self,
        id: str,
        service: str,
        address: str,
        zone: str,
        region: str,
        slots: int,
        software: str = "",
    ) -> None:
        self.id = id
        self.service = service
        self.address = address
        self.zone = zone
        self.region = region
        self.slots = max(1, slots)
        self.state = InstanceState.READY
        self.healthy = True
        self.cold_seq = 0
        self.cold_until_ms = 0.0
        self.outstanding = 0
        self.idle: list[Any] = []
        self.open = 0
        self.speed = 1.0
        self.others = 0.0
        self.others_ms = 0.0
        self.usual_others = 0.0
        self.times_told = 0
        self.eject_until_ms = 0.0
        self.failures = 0
        self.cold_sent: list[float] = []
        self.gone = False
        self.silent_since_ms = 0.0
        self.answered_ms = 0.0
        self.proxies_ranked: Any = None
        self.is_ours_while_cold = False
        self.software = software

    @property
    def is_usable(self) -> bool:
        """True for an instance that takes new requests."""
        return self.state == InstanceState.READY and not self.gone and self.healthy

    def took(self, now_ms: float) -> None:
        """Counts a request that is given to the endpoint."""
        if self.outstanding == 0:
            self.silent_since_ms = now_ms
        self.outstanding += 1

    def gave(self, now_ms: float) -> None:
        """Counts a request that the endpoint is done with."""
        self.outstanding -= 1
        self.silent_since_ms = now_ms

    def silent_ms(self, now_ms: float) -> float:
        """For how long the endpoint has had requests and given nothing back."""
        return now_ms - self.silent_since_ms if self.outstanding > 0 else 0.0

    def load(self, now_ms: float) -> float:
        """Requests thought to be at the endpoint now: this proxy's and what others had there, which
        fades to what they usually have there, since a proxy of a large fleet hears of an endpoint
        only every few seconds; and that, more slowly, to none, so that one that was busy is tried
        again.
        """
        age_ms = now_ms - self.others_ms
        fresh = max(0.0, 1.0 - age_ms / OTHERS_FADE_MS)
        usual = self.usual_others * max(0.0, 1.0 - age_ms / (OTHERS_FADE_MS * USUAL_FADE_FACTOR))
        return self.outstanding + self.others * fresh + usual * (1.0 - fresh)

    def told(self, running: int, waiting: int, now_ms: float) -> None:
        """Takes in a `Server-Load`."""
        self.others = max(0.0, running + waiting - self.outstanding)
        self.others_ms = now_ms
        self.times_told += 1
        weight = max(USUAL_WEIGHT, 1.0 / (self.times_told + 1))
        self.usual_others += weight * (self.others - self.usual_others)

    def failed(self, now_ms: float, base_ms: float, warmup_ms: float, outage: bool) -> None:
        """Takes in passive evidence against the endpoint: it is ejected for a while.

        Args:
            now_ms: the monotonic time.
            base_ms: how long it rests after a first failure.
            warmup_ms: how long it may be warming up when it comes back.
            outage: it couldn't be reached at all: one failure will do.
        """
        self.failures += 1
        if outage or self.failures >= EJECT_FAILURES:
            factor = min(MOST_REST_FACTOR, 2 ** max(0, self.failures - 1))
            self.eject_until_ms = now_ms + base_ms * factor
        if outage:
            self.cold_until_ms = max(self.cold_until_ms, self.eject_until_ms + warmup_ms)

    def served(self) -> None:
        """The endpoint has served a request."""
        self.failures = 0
