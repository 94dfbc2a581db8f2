"""Partners' offers: one table from any order of arrival, and narrowing that holds before it is
acknowledged.
"""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.endpoints import Endpoint, client_at, good, request
from support.fleet import Fleet

from stagevale.configuration.value import StoredOffer
from stagevale.leases.lease import longest_use_ms
from stagevale.partners.documents import check_offer
from stagevale.partners.table import merge_offers

ZONES = {"a1": "a", "b1": "b", "c1": "c"}
CONFIG = {
    "version": "r1",
    "parentVersion": 0,
    "routes": [
        {
            "name": "own",
            "host": "h.example",
            "pathPrefix": "/own/",
            "variant": "pure",
            "timeoutMs": 2000,
            "service": "s",
            "maxAttempts": 2,
        }
    ],
    "services": [
        {"name": name, "maxConns": 50, "warmupS": 0, "coldPerS": 99} for name in ("s", "t")
    ],
    "tenants": [{"name": "buyer", "apiKeys": ["k1"]}, {"name": "service", "apiKeys": ["k2"]}],
}


def row(prefix, variant="effectful", service="s", host="h.example", **more):
    return {
        "host": host,
        "pathPrefix": prefix,
        "variant": variant,
        "timeoutMs": 1500,
        "targetMs": 500,
        "service": service,
        "maxAttempts": 2,
        **more,
    }


def offer(version, routes, restrictions=(), parent=0):
    return json.dumps(
        {
            "version": f"r{version}",
            "parentVersion": f"r{parent}" if parent else 0,
            "routes": routes,
            "restrictions": list(restrictions),
        }
    )


def restriction(name, prefix, whom, **withholds):
    return {"name": name, "withholds": {"pathPrefix": prefix, **withholds}, "from": whom}


PREFIXES = st.sampled_from(["/own/", "/w/", "/w/x/", "/w/x/y/", "/z/"])
ROUTES = st.lists(
    st.tuples(
        PREFIXES, st.sampled_from(["pure", "effectful"]), st.sampled_from(["s", "t", "gone"])
    ),
    min_size=1,
    max_size=4,
    unique_by=lambda entry: entry[0],
)
WHOM = st.sampled_from(
    [
        {"everybody": True},
        {"regions": ["a"]},
        {"zones": ["b1"]},
        {"tenants": ["service"]},
        {"partners": ["p2"]},
    ]
)
RESTRICTIONS = st.lists(
    st.tuples(PREFIXES, WHOM, st.sampled_from([None, "pure", "effectful"])), max_size=3
)
OFFERS = st.dictionaries(
    st.sampled_from(["p1", "p2", "p3"]), st.tuples(ROUTES, RESTRICTIONS), min_size=1
)


def written(routes, restrictions):
    rows = [row(prefix, variant, service) for prefix, variant, service in routes]
    held = [
        restriction(f"r{number}", prefix, whom, **({"variant": variant} if variant else {}))
        for number, (prefix, whom, variant) in enumerate(restrictions)
    ]
    return offer(1, rows, held)


@given(OFFERS, st.randoms(use_true_random=False))
@settings(max_examples=150, deadline=None, database=None, derandomize=True)
def test_any_order_of_arrival_gives_one_table(offers, luck):
    kept = {name: StoredOffer(1, written(*parts)) for name, parts in offers.items()}
    shuffled = list(kept.items())
    luck.shuffle(shuffled)
    one, other = merge_offers(CONFIG, kept), merge_offers(CONFIG, dict(shuffled))
    assert one.mark == other.mark
    assert [r.to_row() for r in one.routes] == [r.to_row() for r in other.routes]
    assert all(r.reason for r in one.routes)


@given(
    OFFERS,
    PREFIXES,
    st.sampled_from(sorted(ZONES)),
    st.sampled_from(["", "buyer", "service", "p2"]),
)
@settings(max_examples=300, deadline=None, database=None, derandomize=True)
def test_no_request_is_taken_on_a_withheld_path_nor_slips_to_a_wider_route(
    offers, prefix, zone, tenant
):
    table = merge_offers(
        CONFIG, {name: StoredOffer(1, written(*parts)) for name, parts in offers.items()}
    )
    path = prefix + "request"
    won = table.find("h.example", path, zone, ZONES[zone], tenant)
    if won is None:
        return
    routes, restrictions = offers[won.partner]
    longest = max(
        (entry for entry in routes if path.startswith(entry[0])), key=lambda entry: len(entry[0])
    )
    assert won.prefix == longest[0]
    assert longest[2] != "gone"
    for held, whom, variant in restrictions:
        bound = (
            whom.get("everybody")
            or ZONES[zone] in whom.get("regions", ())
            or zone in whom.get("zones", ())
            or tenant in whom.get("tenants", ())
            or tenant in whom.get("partners", ())
        )
        assert not (bound and path.startswith(held) and variant in (None, longest[1]))


def test_every_row_says_what_kept_or_dropped_it():
    table = merge_offers(
        CONFIG,
        {
            "bee": StoredOffer(
                4,
                offer(
                    4,
                    [row("/own/"), row("/w/"), row("/w/x/"), row("/n/", service="none")],
                    [
                        restriction("closed", "/w/x/", {"everybody": True}),
                        restriction("not-b", "/w/", {"regions": ["b"]}, variant="effectful"),
                    ],
                ),
            ),
            "cat": StoredOffer(2, offer(2, [row("/w/"), row("/z/")])),
        },
    )
    reasons = {(r.partner, r.prefix): (r.kept, r.reason) for r in table.routes}
    assert reasons[("bee", "/own/")] == (False, "own route own has this host and prefix")
    assert reasons[("bee", "/n/")] == (False, "service none is not in the configuration")
    assert reasons[("bee", "/w/x/")] == (False, "restriction closed: /w/x/ from everybody")
    assert reasons[("bee", "/w/")] == (True, "offered, in part withheld")
    assert reasons[("cat", "/w/")] == (True, "offered; used where bee's is withheld")
    assert table.find("h.example", "/w/1", "a1", "a", "").partner == "bee"
    assert table.find("h.example", "/w/1", "b1", "b", "").partner == "cat"
    assert table.find("h.example", "/w/x/1", "a1", "a", "").partner == "cat"


@pytest.mark.parametrize(
    "text, field",
    [
        ("{", "not JSON"),
        (offer(1, [row("/w/", service="none")]), "routes[0].service"),
        (offer(1, [row("/w/"), row("/w/", service="t")]), "routes[1]"),
        (offer(1, [row("w/")]), "pathPrefix"),
        (
            offer(1, [row("/w/")], [restriction("x", "/w/", {"regions": ["zz"]})]),
            "restrictions[0].from.regions",
        ),
        (
            offer(1, [row("/w/")], [restriction("x", "/w/", {"zones": ["zz"]})]),
            "restrictions[0].from.zones",
        ),
        (
            offer(1, [row("/w/")], [restriction("x", "/w/", {"tenants": ["zz"]})]),
            "restrictions[0].from.tenants",
        ),
        (
            offer(1, [row("/w/")], [restriction("x", "/w/", {"partners": ["zz"]})]),
            "restrictions[0].from.partners",
        ),
        (offer(1, [row("/w/")], [restriction("x", "/w/", {})]), "restrictions[0].from"),
        (
            offer(1, [row("/w/")], [restriction("x", "/q/", {"everybody": True})]),
            "restrictions[0].withholds.pathPrefix",
        ),
        (
            offer(1, [row("/w/")], [restriction("x", "/w/", {"everybody": True}, host="o")]),
            "withholds.host",
        ),
        (
            offer(1, [row("/w/")], [restriction("x", "/w/", {"everybody": True})] * 2),
            "restrictions[1].name",
        ),
        (
            offer(
                1,
                [row("/w/")],
                [{"name": "x", "withholds": {"pat": "/w/"}, "from": {"everybody": True}}],
            ),
            "withholds",
        ),
        (offer("x", [row("/w/")]), "version"),
    ],
)
def test_bad_offers_name_the_field(text, field):
    checked = check_offer("bee", text, CONFIG, {}, ZONES)
    assert checked.is_error()
    assert checked.error.status == 400
    assert field in checked.error.reason


class Yard:
    """A formed fleet with the configuration in force, endpoints in every region, and requests that
    flow at partner routes.
    """

    def __init__(self, seed=1, proxies=3):
        self.fleet = Fleet(seed, proxies)
        self.world = self.fleet.world
        assert self.world.until(
            lambda: len(self.fleet.leaders()) == 1 and self.fleet.formed(12 + proxies), 20000
        )
        assert self.fleet.insist([0], "replace", json.dumps(CONFIG))[0] == 200
        self.arrivals, self.number, self.clients, self.every = [], 0, [], 40
        for place, zone in enumerate(("a1", "b1", "c1")):
            endpoint = Endpoint(self.world, place + 1, self.run, zone)
            life = endpoint.instance()
            self.fleet.registries[place].service.heartbeats.heartbeat(
                life, lambda _status, _body: None
            )
            self.beat(place, endpoint, 2)
        assert self.world.until(
            lambda: all(len(p.targets.by_id) == 3 for p in self.fleet.proxies.values()), 5000
        )

    def beat(self, place, endpoint, seq):
        self.world.later(1500, self.beat, place, endpoint, seq + 1)
        if self.fleet.registries[place].context.alive:
            self.fleet.registries[place].service.heartbeats.heartbeat(
                endpoint.instance(seq=seq), lambda _status, _body: None
            )

    def run(self, endpoint, fields, body):
        self.arrivals.append(
            (self.world.env.now, endpoint.heads[-1].split()[1], fields[b"attempt-id"].decode())
        )
        return good(endpoint, fields, body), 30

    def send(self, proxy, path, more=b"Authorization: Bearer k1\r\n"):
        self.number += 1
        ip = f"10.0.1.{proxy + 1}"
        client = client_at(self.world, ip)
        if client is None:
            return None
        client.transport.write(
            request(path, f"j{self.number}", "POST", b"crate", more=more)
            + request(path, f"p{self.number}", "POST", b"crate", more=more)
        )
        self.clients.append(client)
        return client

    def flow(self, path="/w/x/go"):
        """At-most-once requests, two on each connection, at every proxy, without end."""
        self.world.later(self.every, self.flow, path)
        for proxy in self.fleet.proxies:
            self.send(proxy, path)

    def offer(self, version, routes, restrictions=(), parent=0, at=(0, 1, 2, 3, 4, 5), name="bee"):
        return self.fleet.insist(
            list(at), "offer", f"{name}\n" + offer(version, routes, restrictions, parent), 30000
        )

    def ran(self, since_ms, path="/w/x/"):
        return [
            entry for entry in self.arrivals if entry[0] > since_ms and entry[1].startswith(path)
        ]


CLOSED = restriction("closed", "/w/x/", {"everybody": True})


def cut_proxy(yard):
    yard.world.cut(["10.0.1.1"], [f"10.0.0.{n}" for n in range(1, 7)])


def freeze_proxy(yard):
    yard.world.freeze(yard.fleet.proxies[0].context, 2600)


def restart_proxy(yard):
    yard.world.kill(yard.fleet.proxies[0].context)
    yard.world.later(500, yard.fleet.start_proxy, 0)


def kill_feeder(yard):
    number = int(yard.fleet.proxies[0].feed.feeder.split(":")[0].split(".")[-1]) - 1
    yard.fleet.kill_core(number)


def nothing(yard):
    pass


@pytest.mark.parametrize("strike", [nothing, cut_proxy, freeze_proxy, restart_proxy, kill_feeder])
def test_nothing_runs_on_a_withheld_path_once_the_narrowing_is_acknowledged(strike):
    yard = Yard(seed=2)
    assert yard.offer(1, [row("/w/"), row("/w/x/")])[0] == 200
    yard.world.run(2500)
    yard.flow()
    yard.world.run(1500)
    assert yard.ran(yard.world.env.now - 500)
    strike(yard)
    yard.world.run(60)
    assert yard.offer(2, [row("/w/"), row("/w/x/")], [CLOSED], 1)[0] == 200
    ack_ms = yard.world.env.now
    yard.world.run(6000)
    assert not yard.ran(ack_ms + 1)
    runs = [id for _, _, id in yard.arrivals]
    assert len(runs) == len(set(runs))
    yard.world.join()
    assert yard.offer(3, [row("/w/"), row("/w/x/")], [], 2)[0] == 200
    yard.world.run(6000)
    assert yard.ran(yard.world.env.now - 1000)


def test_withdrawal_waits_like_any_narrowing_and_own_routes_go_on():
    yard = Yard(seed=3)
    assert yard.offer(1, [row("/w/x/")])[0] == 200
    yard.world.run(2500)
    yard.flow()
    yard.world.run(500)
    cut_proxy(yard)
    start_ms = yard.world.env.now
    assert yard.fleet.insist([0, 1, 2, 3, 4, 5], "withdraw", "bee", 30000)[0] == 200
    ack_ms = yard.world.env.now
    assert ack_ms - start_ms >= longest_use_ms(yard.fleet.proxies[0].context.settings.bounds) * 0.9
    yard.world.run(3000)
    assert not yard.ran(ack_ms + 1)
    clients = [yard.send(0, "/w/x/late"), yard.send(0, "/own/now")]
    yard.world.run(800)
    assert clients[0].statuses()[:1] == ["503"]
    assert b"Retry-After" in clients[0].got
    assert clients[1].statuses() == ["200", "200"]
    assert yard.fleet.insist([1], "withdraw", "nobody")[0] == 404
    assert yard.fleet.insist([1], "readOffer", "bee")[0] == 404


def test_owner_killed_between_accept_and_answer_does_not_shorten_the_wait():
    yard = Yard(seed=4)
    assert yard.offer(1, [row("/w/x/")])[0] == 200
    yard.world.run(2500)
    yard.flow()
    cut_proxy(yard)
    owner = yard.fleet.leaders()[0] - 1
    asked = (owner + 1) % 6
    payload = "bee\n" + offer(2, [row("/z/")], [], 1)
    got = []
    yard.fleet.registries[asked].service.configuration.send_command(
        "offer", payload, lambda status, text: got.append((status, text))
    )
    others = [keeper for number, keeper in yard.fleet.stores.items() if number != owner]
    assert yard.world.until(
        lambda: any(
            k.acceptor.vote.accepted and k.acceptor.vote.accepted.offers.get("bee", (0,))[0] == 2
            for k in others
        ),
        3000,
        1,
    )
    yard.fleet.kill_core(owner)
    alive = [number for number in range(6) if number != owner]
    assert yard.fleet.insist(alive, "offer", payload, 30000)[0] == 200
    ack_ms = yard.world.env.now
    yard.world.run(4000)
    assert not yard.ran(ack_ms + 1)


def test_versions_of_offers_go_like_those_of_configurations():
    yard = Yard(seed=5)
    first = "bee\n" + offer(3, [row("/w/")])
    assert yard.fleet.insist([0], "offer", first)[0] == 200
    assert yard.fleet.insist([4], "offer", first)[0] == 200
    assert yard.fleet.insist([1], "offer", "bee\n" + offer(5, [row("/z/")], [], 2))[0] == 412
    assert yard.fleet.insist([1], "offer", "bee\n" + offer(3, [row("/z/")], [], 3))[0] == 400
    answers = []
    for number, path in ((1, "/one/"), (2, "/two/")):
        yard.fleet.registries[number].service.configuration.send_command(
            "offer",
            "bee\n" + offer(6, [row(path)], [], 3),
            lambda status, _text, path=path: answers.append((path, status)),
        )
    assert yard.world.until(lambda: len(answers) == 2, 9000)
    assert sorted(status for _, status in answers) == [200, 412]
    for number in range(6):
        yard.fleet.kill_core(number)
    for number in range(6):
        yard.fleet.start_core(number, False)
    status, text = yard.fleet.insist(range(6), "readOffer", "bee")
    winner = next(path for path, status in answers if status == 200)
    assert status == 200
    assert json.loads(text)["routes"][0]["pathPrefix"] == winner


def test_the_table_reads_alike_on_every_daemon_and_a_lost_service_drops_its_rows():
    yard = Yard(seed=6)
    assert yard.offer(1, [row("/w/", service="t"), row("/z/")])[0] == 200
    assert yard.offer(1, [row("/w/")], name="ant")[0] == 200
    yard.world.run(4000)
    marks = {proxy.forwarder.snapshot.partners.mark for proxy in yard.fleet.proxies.values()}
    marks |= {
        registry.service.configuration.partners.mark for registry in yard.fleet.registries.values()
    }
    assert len(marks) == 1
    shown = []
    yard.fleet.registries[0].api.partners.show(lambda status, body: shown.append((status, body)))
    yard.fleet.registries[1].api.partners.explain(
        {"host": ["h.example"], "path": ["/w/1"], "zone": ["b1"]},
        lambda status, body: shown.append((status, body)),
    )
    assert yard.world.until(lambda: len(shown) == 2, 3000)
    assert shown[0][0] == 200
    assert {r["mark"] for r in shown[0][1]["proxies"]} <= marks
    assert shown[1][1]["won"] == "partner ant, /w/"
    assert len(shown[1][1]["weighed"]) == 2
    less = {**CONFIG, "version": "r2", "parentVersion": "r1", "services": CONFIG["services"][:1]}
    assert yard.fleet.insist([0], "replace", json.dumps(less))[0] == 200
    yard.world.run(2000)
    rows = {
        (r.partner, r.prefix): r for r in yard.fleet.proxies[0].forwarder.snapshot.partners.routes
    }
    assert not rows[("bee", "/w/")].kept
    assert "service t is not" in rows[("bee", "/w/")].reason
    assert rows[("bee", "/z/")].kept


def test_a_registry_without_a_majority_says_so():
    yard = Yard(seed=7)
    assert yard.offer(1, [row("/w/")])[0] == 200
    yard.world.cut(["10.0.0.6"], [f"10.0.0.{n}" for n in range(1, 6)])
    yard.world.run(3000)
    shown = []
    yard.fleet.registries[5].api.partners.show(lambda status, body: shown.append((status, body)))
    assert yard.world.until(lambda: shown, 9000)
    assert shown[0][0] == 503
    assert "majority" in shown[0][1]["error"]


def test_without_offers_nothing_is_asked_and_nothing_is_stored():
    fleet = Fleet(8, 2)
    assert fleet.world.until(lambda: fleet.leaders() and fleet.formed(14), 20000)
    assert fleet.insist([0], "replace", json.dumps(CONFIG))[0] == 200
    fleet.world.run(3000)
    assert all(proxy.forwarder.lease.last_number == 0 for proxy in fleet.proxies.values())
    assert not any(
        registry.service.configuration.partners.routes for registry in fleet.registries.values()
    )


def test_an_offer_of_the_wrong_shape_names_the_place_and_is_not_called_unreadable():
    """The check's own failure is a ValueError too, so that it was told as `not JSON` with the
    library's words around it.
    """
    table = {"version": "r1", "routes": [], "restrictions": [{"name": "n", "host": "h"}]}
    wrong = check_offer("coop", json.dumps(table), {"services": []}, {}, {}).error
    assert wrong.status == 400
    assert "withholds: is required" in wrong.reason
    assert "not JSON" not in wrong.reason
    assert "DataError" not in wrong.reason
    assert "not JSON" in check_offer("coop", "{", {"services": []}, {}, {}).error.reason
