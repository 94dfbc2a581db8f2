"""The thread that a daemon reads and writes its disk on, so that a slow disk stops nothing else."""

import asyncio
import queue
import threading
from collections.abc import Callable
from typing import Any

from stagevale.runtime.context import DiskCallback


class DiskThread:
    """Runs work one after the other; started with the first piece of work."""

    __slots__ = ("loop", "work")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.work: queue.SimpleQueue[tuple[Callable[[], Any], DiskCallback]] | None = None

    def run(self, work: Callable[[], Any], on_done: DiskCallback) -> None:
        """Queues `work()`; `on_done(result, error)` is called on the loop."""
        if self.work is None:
            self.work = queue.SimpleQueue()
            threading.Thread(target=self._run_all, daemon=True, name="disk").start()
        self.work.put((work, on_done))

    def queue_length(self) -> int:
        """How much work waits for the thread."""
        return self.work.qsize() if self.work is not None else 0

    def _run_all(self) -> None:
        assert self.work is not None
        while True:
            work, on_done = self.work.get()
            result, error = None, None
            try:
                result = work()
            except Exception as caught:  # noqa: BLE001 - the thread's edge: the caller gets it
                error = caught
            try:
                self.loop.call_soon_threadsafe(on_done, result, error)
            except RuntimeError:
                # The loop is closed: the daemon has ended.
                return
