"""Measures a proxy's memory under large uploads at once."""

import asyncio
import random
from typing import NamedTuple

from soak.clients import MB, UploadingClient
from soak.configuration import SERVICES
from soak.deployment import Deployment
from soak.endpoints import EndpointPool
from soak.history import History
from soak.http_client import ProxyConnection
from soak.machine_memory import peak_mb
from soak.operators import Operators
from soak.plan import Plan, Size
from soak.runner import form

PATIENCE_S = 20.0
# `/keyed/` takes the way of sessions, the others differ in what may be repeated.
PREFIXES = ("/upload/", "/upload-once/", "/keyed/")


class UploadFigures(NamedTuple):
    """What uploads at once came to.

    Attributes:
        statuses: of the answers; None for a connection that ended without one.
        peak_mb: the largest memory that the proxy had.
        lives: whether the proxy still runs.
    """

    statuses: list[int | None]
    peak_mb: int
    lives: bool


async def measure_uploads(count: int, size_mb: int, prefix: str, path: str) -> UploadFigures:
    """Sends uploads to one proxy at once.

    Args:
        count: how many.
        size_mb: how large each is, in MiB.
        prefix: of the route, one of `PREFIXES`.
        path: behind it: `early/x` for endpoints that answer before they have read the body,
            `slow-read/x` for such as read it slowly.
    """
    history = History()
    deployment = Deployment(Size(proxies=1, core=3, endpoints=6), history)
    pool = EndpointPool(deployment, history, SERVICES, 1)
    try:
        await form(deployment, pool, Operators(deployment, history, 1), Plan(1, 0.0, Size()))
        body = bytes(size_mb * MB)
        statuses = await asyncio.gather(
            *[_upload(deployment, history, body, prefix, path) for _ in range(count)]
        )
        process = deployment.edges[0].processes["proxy"]
        return UploadFigures(statuses, peak_mb(process.pid), process.poll() is None)
    finally:
        pool.close()
        deployment.close(keep=False)


async def _upload(
    deployment: Deployment, history: History, body: bytes, prefix: str, path: str
) -> int | None:
    client = UploadingClient(deployment, history, random.Random(1), 0)
    connection: ProxyConnection | None = await client.connect()
    if connection is None:
        return None
    key = f"session-{client.name}/1" if prefix == "/keyed/" else ""
    sent, headers = client.request(prefix, path, "POST", body, key)
    sending = asyncio.create_task(connection.send(sent, headers, body, MB))
    await connection.wait(sent, PATIENCE_S)
    sending.cancel()
    connection.leave()
    return sent.status
