"""The clock of a run: monotonic milliseconds, the same for everything that is judged."""

import time

MS_PER_S = 1000.0


def now_ms() -> float:
    """Milliseconds on the monotonic clock."""
    return time.monotonic() * MS_PER_S
