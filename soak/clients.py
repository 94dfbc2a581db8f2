"""Stand-ins for clients: each goes on using the connections that it has until they are gone."""

import abc
import asyncio
import random

from soak.configuration import HOST, SESSION_HEADER, TENANT_KEYS, TIMEOUT_MS
from soak.deployment import Deployment, Machine
from soak.history import History, Sent
from soak.http_client import ProxyConnection, digest, is_success

PAUSE_S = (0.0, 0.15)
RECONNECT_PAUSE_S = 0.2
# Clients wait a little longer than they say, so that late answers are seen.
PATIENCE_MS = 1200.0
DEEPEST_PIPELINE = 25
UPLOAD_BYTES = (1_000, 300_000)
LARGEST_ANSWER_BYTES = 200_000
MB = 1024 * 1024
LEAVE_AFTER_S = (0.005, 0.3)
SLOW_PIECE_BYTES = 4096
SLOW_PAUSE_S = 0.02


class Client(abc.ABC):
    """One client: draws its requests from its own seed."""

    numbers = 0

    def __init__(
        self, deployment: Deployment, history: History, draw: random.Random, most_upload_mb: int
    ) -> None:
        self.deployment = deployment
        self.history = history
        self.draw = draw
        self.most_upload_mb = most_upload_mb
        self.tenant = draw.choice(list(TENANT_KEYS))
        self.connection: ProxyConnection | None = None
        self.machine: Machine = draw.choice(deployment.edges)
        self.connections = 0
        Client.numbers += 1
        self.name = f"{Client.numbers:x}"
        self.requests = 0

    async def run(self) -> None:
        """Sends requests until it is cancelled."""
        try:
            while True:
                await self.step()
                await asyncio.sleep(self.draw.uniform(*PAUSE_S))
        finally:
            if self.connection is not None:
                self.connection.leave()

    @abc.abstractmethod
    async def step(self) -> None:
        """Sends one request, or some."""

    async def connect(self) -> ProxyConnection | None:
        """The connection that is open, or a new one, to any proxy; None where none comes up."""
        if self.connection is not None and self.connection.usable:
            return self.connection
        self.machine = self.draw.choice(self.deployment.edges)
        self.connection = await ProxyConnection.open(self.machine.listen["front"])
        self.connections += 1
        if self.connection is None:
            await asyncio.sleep(RECONNECT_PAUSE_S)
        return self.connection

    def request(
        self, prefix: str, path: str, method: str = "GET", body: bytes = b"", key: str = ""
    ) -> tuple[Sent, list[tuple[str, str]]]:
        """A request and its headers; recorded as sent from now on."""
        self.requests += 1
        variant = {"/effectful/": "effectful", "/upload-once/": "effectful"}.get(prefix, "pure")
        sent = Sent(
            f"{self.name}-{self.requests:x}",
            self.machine.name,
            "keyed" if key else variant,
            method,
            prefix + path,
            self.tenant,
            key,
            digest(body),
            TIMEOUT_MS[prefix],
            int(self.name, 16) * 100_000 + self.connections,
        )
        headers = [
            ("Host", HOST),
            ("Attempt-Id", sent.attempt_id),
            ("Deadline-Ms", str(TIMEOUT_MS[prefix])),
            ("Authorization", f"Bearer {TENANT_KEYS[self.tenant]}"),
        ]
        if method == "POST":
            headers.append(("Content-Length", str(len(body))))
        if key:
            headers += [(SESSION_HEADER, key.partition("/")[0]), ("Idempotency-Key", key)]
        self.history.sent[sent.attempt_id] = sent
        return sent, headers

    async def finish(self, connection: ProxyConnection, sent: Sent) -> None:
        """Waits for an answer; who gets none in time closes the connection."""
        await connection.wait(sent, (sent.timeout_ms + PATIENCE_MS) / 1000)
        if sent.answered_ms is None and sent.ended_ms is None:
            connection.leave()

    def plain_request(self) -> tuple[Sent, list[tuple[str, str]], bytes]:
        """A request of any ordinary kind."""
        prefix = self.draw.choice(("/probe/", "/effectful/", "/pure/", "/pure/"))
        work = f"work-{self.draw.choice((5, 5, 20, 60, 250, 900))}/x"
        if prefix == "/effectful/":
            body = self.draw.randbytes(self.draw.randint(1, 2000))
            return (*self.request(prefix, work, "POST", body), body)
        return (*self.request(prefix, work), b"")


class KeptClient(Client):
    """One connection for as long as it lasts."""

    async def step(self) -> None:
        """See `Client.step`."""
        connection = await self.connect()
        if connection is None:
            return
        sent, headers, body = self.plain_request()
        await connection.send(sent, headers, body)
        await self.finish(connection, sent)


class SingleClient(KeptClient):
    """A new connection for each request."""

    async def step(self) -> None:
        """See `Client.step`."""
        await super().step()
        if self.connection is not None:
            self.connection.close()


class PipeliningClient(Client):
    """Keeps several requests under way on one connection, for as long as it lasts."""

    async def step(self) -> None:
        """See `Client.step`."""
        depth = self.draw.randint(2, DEEPEST_PIPELINE)
        under_way: list[Sent] = []
        connection = await self.connect()
        if connection is None:
            return
        while connection.usable:
            sent, headers = self.request("/pure/", f"work-{self.draw.choice((40, 200, 400))}/x")
            await connection.send(sent, headers)
            under_way.append(sent)
            if len(under_way) >= depth:
                await self.finish(connection, under_way.pop(0))
        for sent in under_way:
            await self.finish(connection, sent)


class LargeAnswerClient(Client):
    """Asks for long answers."""

    async def step(self) -> None:
        """See `Client.step`."""
        connection = await self.connect()
        if connection is None:
            return
        size = self.draw.randint(1000, LARGEST_ANSWER_BYTES)
        sent, headers = self.request("/pure/", f"size-{size}/x")
        await connection.send(sent, headers)
        await self.finish(connection, sent)


class UploadingClient(Client):
    """Sends bodies, some of them slowly."""

    async def step(self) -> None:
        """See `Client.step`."""
        connection = await self.connect()
        if connection is None:
            return
        size = self.draw.randint(*UPLOAD_BYTES)
        if self.most_upload_mb and self.draw.random() < 1 / 4:
            size = self.draw.randint(MB, self.most_upload_mb * MB)
        body = self.draw.randbytes(min(size, 1000)) * (size // 1000 + 1)
        prefix = self.draw.choice(("/upload/", "/upload-once/"))
        sent, headers = self.request(prefix, "x", "POST", body)
        slow = len(body) < UPLOAD_BYTES[1] and self.draw.random() < 1 / 2
        await connection.send(
            sent, headers, body, SLOW_PIECE_BYTES if slow else MB, SLOW_PAUSE_S if slow else 0.0
        )
        await self.finish(connection, sent)


class LeavingClient(Client):
    """Closes its connection before the answer has come."""

    async def step(self) -> None:
        """See `Client.step`."""
        connection = await self.connect()
        if connection is None:
            return
        sent, headers = self.request("/pure/", "work-900/x")
        await connection.send(sent, headers)
        await connection.wait(sent, self.draw.uniform(*LEAVE_AFTER_S))
        connection.leave()


class KeyedClient(Client):
    """Sends requests under keys, again at other proxies: after an answer, or while one is due.

    Two of different tenants use the same sessions and keys, for requests that look the same.
    """

    created = 0

    def __init__(
        self, deployment: Deployment, history: History, draw: random.Random, most_upload_mb: int
    ) -> None:
        super().__init__(deployment, history, draw, most_upload_mb)
        tenants = list(TENANT_KEYS)
        pair, position = divmod(KeyedClient.created, len(tenants))
        KeyedClient.created += 1
        self.tenant = tenants[position]
        self.session = f"session-{pair}"
        self.keys_used = 0

    async def step(self) -> None:
        """See `Client.step`."""
        self.keys_used += 1
        key = f"{self.session}/{self.keys_used}"
        same_for_all = random.Random(key)
        body = same_for_all.randbytes(200)
        work = f"work-{same_for_all.choice((5, 60, 300))}/x"
        for _ in range(self.draw.randint(1, 3)):
            connection = await self.connect()
            if connection is None:
                continue
            sent, headers = self.request("/keyed/", work, "POST", body, key)
            await connection.send(sent, headers, body)
            if self.draw.random() < 1 / 3:
                await connection.wait(sent, self.draw.uniform(*LEAVE_AFTER_S))
                connection.leave()
            else:
                await self.finish(connection, sent)
                if self.draw.random() < 1 / 2:
                    connection.close()


MIX: list[type[Client]] = [
    SingleClient,
    KeptClient,
    PipeliningClient,
    KeptClient,
    PipeliningClient,
    KeyedClient,
    UploadingClient,
    LeavingClient,
    LargeAnswerClient,
    SingleClient,
    KeptClient,
    KeyedClient,
]


def make_clients(
    deployment: Deployment, history: History, seed: int, count: int, most_upload_mb: int
) -> list[Client]:
    """The clients of a run, of all kinds in turn."""
    draw = random.Random(f"clients {seed}")
    return [
        MIX[number % len(MIX)](deployment, history, random.Random(draw.random()), most_upload_mb)
        for number in range(count)
    ]


def served_share(history: History, from_ms: float, until_ms: float) -> float:
    """The share of requests sent in a time that was answered with success; 1 where none was."""
    sent = [
        each
        for each in history.sent.values()
        if each.sent_ms is not None and from_ms <= each.sent_ms < until_ms and not each.left
    ]
    if not sent:
        return 1.0
    return sum(is_success(each.status) for each in sent) / len(sent)
