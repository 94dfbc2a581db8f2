"""Measures requests with keys at a steady rate: what is served, refused and kept, as time goes on."""

import asyncio
import collections
import random
from typing import NamedTuple

from soak.clients import MB, Client, KeyedClient
from soak.clock import MS_PER_S, now_ms
from soak.configuration import SERVICES
from soak.deployment import Deployment
from soak.endpoints import EndpointPool
from soak.history import History, Sent
from soak.http_client import ProxyConnection, is_success
from soak.machine_memory import check_memory
from soak.operators import Operators
from soak.plan import Plan, Size
from soak.runner import form

REASON_CHARACTERS = 60
SESSION_FOLDERS = ("sessions", "session-keys")


class Window(NamedTuple):
    """What one stretch of time came to.

    Attributes:
        end_s: when it ended, in seconds from the first request.
        served, sent: how many requests.
        refusals: how often each status and reason came.
        peaks_mb: the largest memory of each program's daemons so far.
        files, files_mb: what the registries' session logs are on disk, all together.
    """

    end_s: float
    served: int
    sent: int
    refusals: dict[str, int]
    peaks_mb: dict[str, int]
    files: int
    files_mb: float


class Load(NamedTuple):
    """Requests with keys: how many a second, over how many sessions, with which answers."""

    per_s: float
    sessions: int
    answer_bytes: int
    seconds: float
    window_s: float


async def measure_keyed(load: Load) -> list[Window]:
    """Sends requests with new keys at a steady rate, each at any proxy, and counts by window."""
    history = History()
    deployment = Deployment(Size(proxies=3, core=3, endpoints=9), history)
    pool = EndpointPool(deployment, history, SERVICES, 1)
    try:
        await form(deployment, pool, Operators(deployment, history, 1), Plan(1, 0.0, Size()))
        draw = random.Random(1)
        senders = [KeyedClient(deployment, history, draw, 0) for _ in range(load.sessions)]
        tasks: set[asyncio.Task[None]] = set()
        windows = []
        began_ms = counted_ms = now_ms()
        number = 0
        while now_ms() - began_ms < load.seconds * MS_PER_S:
            sender = senders[number % len(senders)]
            task = asyncio.create_task(_send(sender, number, load.answer_bytes))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            number += 1
            due_ms = began_ms + number * MS_PER_S / load.per_s
            await asyncio.sleep(max(0.0, due_ms - now_ms()) / MS_PER_S)
            if now_ms() - counted_ms > load.window_s * MS_PER_S:
                check_memory()
                windows.append(_window(deployment, history, counted_ms, began_ms))
                counted_ms = now_ms()
        return windows
    finally:
        pool.close()
        deployment.close(keep=False)


async def _send(sender: Client, number: int, answer_bytes: int) -> None:
    """One request under a new key, on a connection of its own, at any proxy."""
    machine = sender.draw.choice(sender.deployment.edges)
    connection = await ProxyConnection.open(machine.listen["front"])
    if connection is None:
        return
    key = f"session-{sender.name}/{number}"
    body = b"kg=18"
    sent, headers = sender.request("/keyed/", f"size-{answer_bytes}/x", "POST", body, key)
    await connection.send(sent, headers, body)
    await connection.wait(sent, sent.timeout_ms / MS_PER_S)
    connection.leave()


def _window(deployment: Deployment, history: History, from_ms: float, began_ms: float) -> Window:
    sent = [
        each
        for each in history.sent.values()
        if each.sent_ms is not None and each.sent_ms >= from_ms
    ]
    served = [each for each in sent if is_success(each.status)]
    refusals = collections.Counter(
        _reason(each) for each in sent if each.status is not None and not is_success(each.status)
    )
    files = [
        path
        for machine in deployment.core
        for folder in SESSION_FOLDERS
        for path in (deployment.folder / machine.name / "data" / folder).glob("*")
    ]
    size = sum(path.stat().st_size for path in files if path.exists())
    return Window(
        (now_ms() - began_ms) / MS_PER_S,
        len(served),
        len(sent),
        dict(refusals),
        deployment.peaks_mb(),
        len(files),
        size / MB,
    )


def _reason(sent: Sent) -> str:
    text = sent.answer.body[:REASON_CHARACTERS].decode("latin-1") if sent.answer else ""
    return f"{sent.status} {text}"
