"""A request with a key costs its key, not its session; and what replicas know of a key is kept."""

import pytest
from support.disk import MemoryLog
from support.endpoints import good
from support.session_fleet import SessionFleet

from stagevale.balancing import snapshot
from stagevale.rpc import codec
from stagevale.sessions import session_store
from stagevale.sessions.records import AttemptId, KeyRecord, KeyState, SessionRecord

BODY_BYTES = 600


def big_answers(day):
    """Endpoints answer with so many bytes that a record of many answers stands out."""

    def rule(endpoint, fields, body):
        day.runs.append((day.world.env.now, fields[b"idempotency-key"].decode(), endpoint.id))
        return good(endpoint, fields, body, b"x" * BODY_BYTES), day.work_ms

    day.rule = rule


def bytes_on_disk(day):
    """What the registries' logs of sessions and keys have been given so far."""
    logs = [
        log
        for name, log in day.world.disks.items()
        if name.startswith(("sessions ", "keys ")) and isinstance(log, MemoryLog)
    ]
    return sum(len(codec.encode([0, row])) for log in logs for row in log.rows)


def play(day, first, count):
    """One session's requests under new keys, at two proxies in turn; (bytes on disk, bytes sent)."""
    disk, sent = bytes_on_disk(day), day.world.crossed
    for number in range(first, first + count):
        assert day.answer(day.send(number % 2, f"k{number}")) == "200"
    return bytes_on_disk(day) - disk, day.world.crossed - sent


# Each row on disk and each reply held all keys of the session, until a registry did nothing else.
def test_a_keys_cost_does_not_grow_with_the_keys_of_its_session():
    day = SessionFleet(seed=141)
    big_answers(day)
    play(day, 0, 4)
    early = play(day, 4, 10)
    play(day, 14, 40)
    late = play(day, 54, 10)
    for before, after in zip(early, late, strict=True):
        assert after < 1.2 * before
    assert len(day.runs) == len({key for _, key, _ in day.runs}) == 64


# A proxy that doesn't hold what a session's other proxies did must not run a key again.
@pytest.mark.parametrize("other", [1, 2, 5])
def test_a_key_that_another_proxy_has_answered_is_not_run_again(other):
    day = SessionFleet(seed=142)
    for number in range(5):
        assert day.answer(day.send(0, f"k{number}")) == "200"
    for number in range(5):
        assert day.answer(day.send(other, f"k{number}")) == "200"
        assert day.answer(day.send(0, f"k{number}")) == "200"
    assert len(day.runs) == 5


# Records were dropped with the next lease only, so that those of a lasting lease stayed for good.
def test_keys_are_dropped_when_their_time_is_over(monkeypatch):
    monkeypatch.setattr(snapshot, "DEFAULT_KEEP_S", 5)
    day = SessionFleet(seed=143)
    assert day.answer(day.send(0, "k1")) == "200"
    replicas = [registry.service.sessions for registry in day.fleet.registries.values()]

    def known():
        return [
            key
            for replica in replicas
            if replica is not None
            for group in replica.groups.values()
            for record in group.records.values()
            for key in record.keys
        ]

    assert "k1" in known()
    day.world.run(7000)
    assert "k1" not in known()


# Answers were kept without a bound, until a registry had no memory left.
def test_beyond_the_bound_of_stored_answers_new_keys_are_refused_and_promises_kept(monkeypatch):
    monkeypatch.setattr(snapshot, "DEFAULT_KEEP_S", 6)
    monkeypatch.setattr(session_store, "KEYS_SHARE", 5000 / (300 * 1024 * 1024))
    day = SessionFleet(seed=144)
    big_answers(day)
    keys = [f"k{number}" for number in range(12)]
    statuses = {key: day.answer(day.send(0, key)) for key in keys}
    assert set(statuses.values()) == {"200", "503"}
    runs = len(day.runs)
    for key, status in statuses.items():
        if status == "200":
            assert day.answer(day.send(1, key)) == "200"
    assert len(day.runs) == runs
    day.world.run(7000)
    assert day.answer(day.send(1, "later")) == "200"


def record(state, number, sequence=1):
    attempt = AttemptId(number, f"p{number}", sequence)
    return KeyRecord(attempt, state, "d", f"p{number}", None, 9e9)


# A later attempt that failed, and so didn't run, took the place of the one that had run.
@pytest.mark.parametrize("ran", [KeyState.RESERVED, KeyState.UNKNOWN, KeyState.ANSWERED])
def test_an_attempt_that_did_not_run_never_goes_over_another_that_may_have(ran):
    for first, second in ((0, 1), (1, 0)):
        records = (record(ran, 1), record(KeyState.NOT_RUN, 2))
        session = SessionRecord()
        session.merge_key("k", records[first])
        session.merge_key("k", records[second])
        assert session.keys["k"].state == ran


# The answer of a key was lost beside a later reservation that never had a majority.
def test_an_answer_goes_over_a_later_reservation():
    for first, second in ((0, 1), (1, 0)):
        records = (record(KeyState.ANSWERED, 1), record(KeyState.RESERVED, 2))
        session = SessionRecord()
        session.merge_key("k", records[first])
        session.merge_key("k", records[second])
        assert session.keys["k"].state == KeyState.ANSWERED


def test_an_attempt_that_did_not_run_is_freed():
    session = SessionRecord()
    session.merge_key("k", record(KeyState.RESERVED, 1))
    session.merge_key("k", record(KeyState.NOT_RUN, 1))
    assert session.keys["k"].state == KeyState.NOT_RUN
    session.merge_key("k", record(KeyState.RESERVED, 2))
    assert session.keys["k"].state == KeyState.RESERVED
