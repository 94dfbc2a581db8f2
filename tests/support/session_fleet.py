"""A fleet whose clients pass from site to site with one session, and repeat their keys."""

import json

from support.endpoints import Endpoint, client_at, good, request
from support.fleet import Fleet

AFFINITY = {"header": "Session-Id"}


def route(prefix, variant, **more):
    return {
        "name": prefix,
        "host": "h.example",
        "pathPrefix": prefix,
        "variant": variant,
        "timeoutMs": 3000,
        "targetMs": 1000,
        "service": "s",
        "maxAttempts": 2,
        "affinity": AFFINITY,
        **more,
    }


CONFIG = {
    "version": "r1",
    "parentVersion": 0,
    "routes": [
        route("/e/", "effectful"),
        route("/p/", "pure"),
        route("/home/", "effectful", homeRegions=["a", "b"]),
        route("/plain/", "effectful", affinity=None),
    ],
    "services": [{"name": "s", "maxConns": 90, "warmupS": 0, "coldPerS": 999}],
}


class SessionFleet:
    """A fleet whose clients pass from site to site with one session and repeat their keys."""

    def __init__(self, seed=1, proxies=6, noting=True, more=""):
        self.fleet = Fleet(seed, proxies, more)
        self.world = self.fleet.world
        assert self.world.until(
            lambda: len(self.fleet.leaders()) == 1 and self.fleet.formed(12 + proxies), 25000
        )
        assert self.fleet.insist([0], "replace", json.dumps(CONFIG))[0] == 200
        self.runs, self.clients, self.work_ms, self.rule, self.number = [], [], 60, None, 0
        self.endpoints = []
        for place, zone in enumerate(("a1", "b1", "c1", "a2", "b2", "c2")):
            endpoint = Endpoint(self.world, place + 1, self.run, zone)
            self.endpoints.append(endpoint)
            self.beat(place, endpoint, 1)
        assert self.world.until(self.ready, 20000)
        for proxy in self.fleet.proxies.values():
            proxy.forwarder.sessions.reserves_keys = noting

    def ready(self):
        return all(
            len(p.targets.by_id) == 6
            and len(p.forwarder.snapshot.sessions) == 16
            and not any(before for _, _, before in p.forwarder.snapshot.sessions.values())
            for p in self.fleet.proxies.values()
            if p.context.alive
        )

    def beat(self, place, endpoint, seq):
        self.world.later(1500, self.beat, place, endpoint, seq + 1)
        for number in (place, (place + 1) % 6):
            if self.fleet.registries[number].context.alive:
                self.fleet.registries[number].service.heartbeats.heartbeat(
                    endpoint.instance(seq=seq), lambda _status, _body: None
                )
                return

    def run(self, endpoint, fields, body):
        key = fields.get(b"idempotency-key", b"").decode()
        out = self.rule(endpoint, fields, body) if self.rule else None
        if out is not None:
            return out
        self.runs.append((self.world.env.now, key, endpoint.id))
        return good(endpoint, fields, body, b"run " + str(len(self.runs)).encode()), self.work_ms

    def send(
        self, proxy, key, session="fan", path="/e/x", body=b"crate", more=b"", host="h.example"
    ):
        """Sends a request to a site; the client, or None where there is no site."""
        self.number += 1
        ip = f"10.0.1.{proxy + 1}"
        client = client_at(self.world, ip)
        if client is None:
            return None
        heads = b""
        if session is not None:
            heads += b"Session-Id: " + session.encode() + b"\r\n"
        if key is not None:
            heads += b"Idempotency-Key: " + key.encode() + b"\r\n"
        client.transport.write(
            request(path, f"a{self.number}", "POST" if body else "GET", body, host, heads + more)
        )
        client.id = f"a{self.number}"
        return client

    def ran(self, key):
        return sum(1 for _, ran, _ in self.runs if ran == key)

    def answer(self, client, limit_ms=4000):
        self.world.until(lambda: client.statuses(), limit_ms, 5)
        return client.statuses()[0] if client.statuses() else None
