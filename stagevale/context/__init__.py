"""The one object that is passed about in place of globals: clock, loop, random, logger, settings."""
import asyncio
import queue
import random
import socket
import threading
import time


class Context:
    """What a daemon asks of the world. Tests bring their own with the same calls."""

    __slots__ = ("settings", "loop", "random", "log", "diskQueue", "tasks", "stopping")

    def __init__(self, settings, loop, log):
        self.settings = settings
        self.loop = loop
        self.random = random.Random()
        self.log = log
        self.diskQueue = None
        self.tasks = set()
        self.stopping = False

    def nowMs(self):
        """The steady clock in milliseconds."""
        return time.monotonic() * 1000.0

    def wallMs(self):
        """The time of day in milliseconds, as this machine has it; it may be wrong and may jump."""
        return time.time() * 1000.0

    def after(self, delayMs, call, *args):
        """Runs `call` once after a delay; the answer has `cancel`."""
        return self.loop.call_later(delayMs / 1000.0, call, *args)

    def soon(self, call, *args):
        """Runs `call` in the next turn of the loop."""
        self.loop.call_soon(call, *args)

    def connect(self, address, protocol, failed, timeoutMs, silenceMs):
        """Opens a stream to (ip, port) for `protocol`; `failed(problem)` is called where that doesn't come about."""
        task = self.loop.create_task(self.open(address, protocol, timeoutMs, silenceMs))
        self.tasks.add(task)

        def finished(done):
            self.tasks.discard(done)
            if done.cancelled():
                failed(OSError("cancelled"))
            elif done.exception() is not None:
                failed(done.exception())
        task.add_done_callback(finished)
        return task

    async def open(self, address, protocol, timeoutMs, silenceMs):
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            tuneSocket(sock, silenceMs)
            await asyncio.wait_for(self.loop.sock_connect(sock, address), timeoutMs / 1000.0)
            await self.loop.create_connection(lambda: protocol, sock=sock)
        except BaseException:
            sock.close()
            raise

    def listen(self, address, factory, ready=None):
        """Listens at (ip, port); each new stream gets the protocol that `factory()` makes."""
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
        return self.loop.create_task(self.loop.create_datagram_endpoint(lambda: protocol, local_addr=address))

    def disk(self, work, done):
        """Runs `work()` on the one disk thread, then `done(result, problem)` on the loop."""
        if self.diskQueue is None:
            self.diskQueue = queue.SimpleQueue()
            threading.Thread(target=self.diskThread, daemon=True, name="disk").start()
        self.diskQueue.put((work, done))

    def diskThread(self):
        while True:
            work, done = self.diskQueue.get()
            try:
                result, problem = work(), None
            except Exception as caught:
                result, problem = None, caught
            try:
                self.loop.call_soon_threadsafe(done, result, problem)
            except RuntimeError:
                return


def tuneSocket(sock, silenceMs):
    """Makes a stream notice within `silenceMs` that its other end is gone."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for level, option, value in (
            (socket.IPPROTO_TCP, getattr(socket, "TCP_USER_TIMEOUT", 18), int(silenceMs)),
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, max(1, int(silenceMs / 2000))),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)):
        try:
            sock.setsockopt(level, option, value)
        except OSError:
            pass
