"""One instance of an endpoint as a proxy uses it."""

from stagevale.discovery.instance import InstanceState

USUAL_WEIGHT = 0.15
OTHERS_MS = 1500.0
USUAL_FADES = 10.0


class Target:
    """One life of an endpoint as this proxy uses it: what is told of it and what was learned by
    use.
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
        "agreed_of",
        "agreed",
        "software",
    )

    def __init__(self, id, service, address, zone, region, slots, software=""):
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
        self.idle = []
        self.open = 0
        self.speed = 1.0
        self.others = 0.0
        self.others_ms = 0.0
        self.usual_others = 0.0
        self.times_told = 0
        self.eject_until_ms = 0.0
        self.failures = 0
        self.cold_sent = []
        self.gone = False
        self.silent_since_ms = 0.0
        self.answered_ms = 0.0
        self.agreed_of = None
        self.agreed = False
        self.software = software

    def took(self, now_ms):
        """Counts a request that is given to the endpoint."""
        if self.outstanding == 0:
            self.silent_since_ms = now_ms
        self.outstanding += 1

    def gave(self, now_ms):
        """Counts a request that the endpoint is done with."""
        self.outstanding -= 1
        self.silent_since_ms = now_ms

    def silent_ms(self, now_ms):
        """For how long the endpoint has had requests and given nothing back."""
        return now_ms - self.silent_since_ms if self.outstanding > 0 else 0.0

    def load(self, now_ms):
        """Requests thought to be at the endpoint now: this proxy's and what others had there, which
        fades to what they usually have there, since a proxy of a large fleet hears of an endpoint
        only every few seconds; and that, more slowly, to none, so that one that was busy is tried
        again.
        """
        age_ms = now_ms - self.others_ms
        fresh = max(0.0, 1.0 - age_ms / OTHERS_MS)
        usual = self.usual_others * max(0.0, 1.0 - age_ms / (OTHERS_MS * USUAL_FADES))
        return self.outstanding + self.others * fresh + usual * (1.0 - fresh)

    def told(self, running, waiting, now_ms):
        """Takes in a `Server-Load`."""
        self.others = max(0.0, running + waiting - self.outstanding)
        self.others_ms = now_ms
        self.times_told += 1
        self.usual_others += max(USUAL_WEIGHT, 1.0 / (self.times_told + 1)) * (
            self.others - self.usual_others
        )

    def failed(self, now_ms, base_ms, warmup_ms, outage):
        """Notes passive evidence against the endpoint: it rests for a while, and may come back
        cold.
        """
        self.failures += 1
        if outage or self.failures >= 3:
            self.eject_until_ms = now_ms + base_ms * min(8, 2 ** max(0, self.failures - 1))
        if outage:
            self.cold_until_ms = max(self.cold_until_ms, self.eject_until_ms + warmup_ms)

    def served(self):
        self.failures = 0
