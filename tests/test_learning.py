"""A member of a session group that has lost its disk learns page by page, and keeps what has come."""

from hypothesis import given, settings
from hypothesis import strategies as st
from support.endpoints import good
from support.session_fleet import SessionFleet

from stagevale.rpc import codec
from stagevale.rpc.errors import MessageError
from stagevale.rpc.kinds import MessageKind
from stagevale.sessions.record_pages import (
    FIRST_PAGE,
    PAGE_BYTES,
    PAGE_ITEMS,
    PageCursor,
    page_of,
)
from stagevale.sessions.records import AttemptId, KeyRecord, KeyState, LeaseVersion, SessionRecord

KEEP_MS = 60000.0
KEYS = 90
SESSIONS = 3
BODY_BYTES = 2400
# What a page has beside the bodies of its answers, and one body that goes over its bound.
PAGE_FRAME_BYTES = PAGE_BYTES + BODY_BYTES + PAGE_ITEMS * 1024


def record_with(keys, size=0):
    answer = [200, b"", [], b"x" * size, 1] if size else None
    attempt = AttemptId(1, "10.0.1.1:7200#1", 1)
    notes = {
        key: KeyRecord(attempt, KeyState.ANSWERED, "print", "by", answer, KEEP_MS) for key in keys
    }
    return SessionRecord(LeaseVersion(1, "10.0.1.1:7200#1"), {}, notes)


def pages_of(records, change=lambda _number: None):
    """All pages, and what they have together; `change` is called after each."""
    cursor, pages = FIRST_PAGE, []
    while cursor is not None:
        page = page_of(records, cursor, 0.0)
        pages.append(page)
        change(len(pages))
        cursor = page.following
    found = {(name, key) for page in pages for name, row in page.records.items() for key in row[3]}
    return pages, found


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.integers(0, 40), max_size=12), st.integers(0, 9000))
def test_pages_have_every_session_and_key_once(sizes, body_bytes):
    records = {
        f"s{n}": record_with([f"k{k}" for k in range(size)], body_bytes)
        for n, size in enumerate(sizes)
    }
    pages, found = pages_of(records)
    assert found == {(name, key) for name, record in records.items() for key in record.keys}
    assert {name for page in pages for name in page.records} == set(records)
    keys = [len(row[3]) for page in pages for row in page.records.values()]
    assert sum(keys) == len(found)
    assert max((len(page.records) for page in pages), default=0) <= PAGE_ITEMS


# Keys that expire or come while pages are handed over must not move others out of every page.
def test_keys_that_come_and_go_between_pages_hide_no_other():
    records = {f"s{n}": record_with([f"k{k:03}" for k in range(40)]) for n in range(4)}
    stable = {(name, f"k{k:03}") for name in records for k in range(1, 40, 2)}

    def change(number):
        for record in records.values():
            record.keys.pop(f"k{2 * (number % 20):03}", None)
        records.setdefault(f"new-{number}", record_with([])) if number < 6 else None
        records["s0"].keys[f"a{number}"] = records["s0"].keys["k001"]

    _pages, found = pages_of(records, change)
    assert stable <= found


def test_a_cursor_behind_the_end_is_an_empty_last_page():
    assert page_of({"s": record_with(["k"])}, PageCursor(7, "x"), 0.0) == ({}, None)


class LossOfADisk(SessionFleet):
    """A session with many large answers; then one registry of its group loses its disk.

    Attributes:
        group: the name of the session's group.
        lost: the number of the registry that lost its disk.
        others: the numbers of the group's other members.
    """

    def __init__(self, seed):
        super().__init__(seed)

        def rule(endpoint, fields, body):
            self.runs.append((self.world.env.now, fields[b"idempotency-key"].decode(), endpoint.id))
            return good(endpoint, fields, body, b"x" * BODY_BYTES), self.work_ms

        self.rule = rule
        for number in range(KEYS):
            assert self.answer(self.send(0, f"k{number}")) == "200"
        self.group = max(self.replica(0).groups, key=self.most_keys)
        members = [n for n in range(6) if self.keys_at(n) == KEYS]
        self.lost, *self.others = members

    def replica(self, number):
        return self.fleet.registries[number].service.sessions

    def keys_at(self, number, name=None):
        """How many keys of the session's group a registry has."""
        replica = self.replica(number)
        group = replica.groups.get(name or self.group) if replica is not None else None
        return sum(len(record.keys) for record in group.records.values()) if group else 0

    def most_keys(self, name):
        return max(self.keys_at(number, name) for number in range(6))

    def lose_disk(self):
        self.fleet.kill_core(self.lost)
        self.fleet.wipe(self.lost)
        self.world.run(500)
        self.fleet.start_core(self.lost, False)

    def watch(self, number, kind=MessageKind.SESSION_SYNC):
        """Notes the requests for records that come to a registry, and its replies' sizes."""
        requests, sizes = [], []
        handlers = self.fleet.registries[number].rpc.handlers
        handler = handlers[kind]

        def handle(peer, body, reply):
            if body[0] == self.group:
                requests.append(tuple(body[2:]))

            def reply_and_note(answer):
                sizes.append(len(codec.encode([kind, 1, answer])))
                reply(answer)

            handler(peer, body, reply_and_note)

        handlers[kind] = handle
        return requests, sizes

    def has_learned(self):
        replica = self.replica(self.lost)
        group = replica.groups.get(self.group) if replica is not None else None
        return group is not None and group.version > 0 and group.is_complete(group.version)


# review/8: all records of a group went in one reply, encoded at once; from some hundred keys on none
# came in time, and all was asked for again, for good.
def test_a_member_that_lost_its_disk_learns_in_bounded_pages():
    day = LossOfADisk(601)
    watched = [day.watch(number) for number in day.others]
    day.lose_disk()
    assert day.world.until(day.has_learned, 20000)
    assert day.keys_at(day.lost) == KEYS
    assert max(size for _, sizes in watched for size in sizes) <= PAGE_FRAME_BYTES
    # It speaks for the session from now on: with another member gone a repeat is answered.
    day.fleet.kill_core(day.others[0])
    day.world.run(4000)
    assert day.answer(day.send(0, "k3")) == "200"
    assert day.ran("k3") == 1


# What had come was thrown away with the first request that timed out.
def test_a_lost_page_is_asked_for_again_and_those_before_it_are_not():
    day = LossOfADisk(602)
    source = day.others[0]
    requests, _sizes = day.watch(source)
    day.lose_disk()
    assert day.world.until(lambda: len(set(requests)) >= 4, 20000)
    # Nothing more reaches the other members, and nothing comes back, for a while.
    ips = [f"10.0.0.{number + 1}" for number in range(6)]
    mine = ips[day.lost]
    day.world.cut([mine], [ip for ip in ips if ip != mine])
    day.world.run(1500)
    before = set(requests)
    requests.clear()
    day.world.join()
    assert day.world.until(day.has_learned, 20000)
    # The page that was lost may be among them.
    assert len(before & set(requests)) <= 1


# A member of the release before knows no pages: it closes a connection on which it is asked for one.
def test_records_of_the_release_before_are_learned_whole():
    day = LossOfADisk(603)

    def handle_as_before(handler):
        def handle(peer, body, reply):
            if len(body) != 2:
                raise MessageError("SyncRequest: want 2 fields")
            handler(peer, body, reply)

        return handle

    for number in day.others:
        handlers = day.fleet.registries[number].rpc.handlers
        handlers[MessageKind.SESSION_SYNC] = handle_as_before(handlers[MessageKind.SESSION_SYNC])
    day.lose_disk()
    assert day.world.until(day.has_learned, 20000)
    assert day.keys_at(day.lost) == KEYS
