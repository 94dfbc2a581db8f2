"""The one object that is passed about in place of globals: clock, loop, random, logger,
settings.
"""

import asyncio
import contextlib
import queue
import random
import socket
import threading
import time

STALL_TICK_SHARE = 0.25


class Context:
    """What a daemon asks of the world. Tests bring their own with the same calls."""

    __slots__ = (
        "settings",
        "loop",
        "random",
        "log",
        "disk_queue",
        "tasks",
        "stopping",
        "stall_watch",
    )

    def __init__(self, settings, loop, log):
        self.settings = settings
        self.loop = loop
        self.random = random.Random()
        self.log = log
        self.disk_queue = None
        self.tasks = set()
        self.stopping = False
        self.stall_watch = None

    def stalled(self):
        """True where this process has just stood still: what it reads now may be old."""
        return self.stall_watch is not None and self.stall_watch.stalled()

    def now_ms(self):
        """The steady clock in milliseconds."""
        return time.monotonic() * 1000.0

    def wall_ms(self):
        """The time of day in milliseconds, as this machine has it; it may be wrong and may jump."""
        return time.time() * 1000.0

    def after(self, delay_ms, call, *args):
        """Runs `call` once after a delay; the answer has `cancel`."""
        return self.loop.call_later(delay_ms / 1000.0, call, *args)

    def soon(self, call, *args):
        """Runs `call` in the next turn of the loop."""
        self.loop.call_soon(call, *args)

    def connect(self, address, protocol, failed, timeout_ms, silence_ms):
        """Opens a connection to (ip, port) for `protocol`; `failed(failure)` is called where that
        doesn't come about.
        """
        task = self.loop.create_task(self.open(address, protocol, timeout_ms, silence_ms))
        self.tasks.add(task)

        def finished(done):
            self.tasks.discard(done)
            if done.cancelled():
                failed(OSError("cancelled"))
            elif done.exception() is not None:
                failed(done.exception())

        task.add_done_callback(finished)
        return task

    async def open(self, address, protocol, timeout_ms, silence_ms):
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            tune_socket(sock, silence_ms)
            await asyncio.wait_for(self.loop.sock_connect(sock, address), timeout_ms / 1000.0)
            await self.loop.create_connection(lambda: protocol, sock=sock)
        except BaseException:
            sock.close()
            raise

    def listen(self, address, factory, ready=None):
        """Listens at (ip, port); each new connection gets the protocol that `factory()` makes."""

        async def start():
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setblocking(False)
            sock.bind(address)
            server = await self.loop.create_server(factory, sock=sock, backlog=512)
            if ready:
                ready(server)

        return self.loop.create_task(start())

    def datagrams(self, address, protocol):
        """Binds `protocol` to datagrams at (ip, port)."""
        return self.loop.create_task(
            self.loop.create_datagram_endpoint(lambda: protocol, local_addr=address)
        )

    def disk(self, work, done):
        """Runs `work()` on the one disk thread, then `done(result, failure)` on the loop."""
        if self.disk_queue is None:
            self.disk_queue = queue.SimpleQueue()
            threading.Thread(target=self.disk_thread, daemon=True, name="disk").start()
        self.disk_queue.put((work, done))

    def disk_thread(self):
        while True:
            work, done = self.disk_queue.get()
            try:
                result, failure = work(), None
            except Exception as caught:
                result, failure = None, caught
            try:
                self.loop.call_soon_threadsafe(done, result, failure)
            except RuntimeError:
                return


class StallWatch:
    """Notices that this process stood still: frozen, starved, or on a machine that was.

    Orders that arrive while it does are read when it goes on, when whoever sent them may long have
    given them up, had them carried out elsewhere, and taken them back.
    """

    __slots__ = ("context", "limit_ms", "last_ms", "until_ms")

    def __init__(self, context, limit_ms):
        self.context = context
        self.limit_ms = limit_ms
        self.last_ms = context.now_ms()
        self.until_ms = self.last_ms

    def start(self):
        self.tick()

    def tick(self):
        now_ms = self.context.now_ms()
        if now_ms - self.last_ms > self.limit_ms:
            self.until_ms = now_ms + self.limit_ms * STALL_TICK_SHARE
        self.last_ms = now_ms
        self.context.after(self.limit_ms * STALL_TICK_SHARE, self.tick)

    def stalled(self):
        """True from the end of a standstill until what had gathered meanwhile has been read."""
        now_ms = self.context.now_ms()
        return now_ms - self.last_ms > self.limit_ms or now_ms < self.until_ms


def tune_socket(sock, silence_ms):
    """Makes a connection notice within `silence_ms` that its other end is gone."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for level, option, value in (
        (socket.IPPROTO_TCP, getattr(socket, "TCP_USER_TIMEOUT", 18), int(silence_ms)),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, max(1, int(silence_ms / 2000))),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    ):
        with contextlib.suppress(OSError):
            sock.setsockopt(level, option, value)
