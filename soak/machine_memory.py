"""Keeps a run within half of the machine's memory."""

import pathlib

from soak.errors import MemoryLimitError

MEMORY_TABLE = pathlib.Path("/proc/meminfo")
USABLE_SHARE = 0.5
KB_PER_MB = 1024
# What a daemon takes at first; what a run really takes is looked at all the while.
DAEMON_MB = 45


def _table_mb() -> dict[str, int]:
    """The machine's memory by the kernel's names, in MB."""
    rows = MEMORY_TABLE.read_text(encoding="ascii").splitlines()
    return {row.partition(":")[0]: int(row.split()[1]) // KB_PER_MB for row in rows}


def check_memory(daemons_to_start: int = 0) -> None:
    """Checks that the machine stays under half of its memory.

    Args:
        daemons_to_start: how many processes are about to be started.

    Raises:
        MemoryLimitError: it doesn't, or wouldn't.
    """
    table = _table_mb()
    used_mb = table["MemTotal"] - table["MemAvailable"] + daemons_to_start * DAEMON_MB
    limit_mb = int(table["MemTotal"] * USABLE_SHARE)
    if used_mb > limit_mb:
        raise MemoryLimitError(
            f"{used_mb} MB with {daemons_to_start} more daemons; half of this machine is {limit_mb} MB"
        )


def peak_mb(process_id: int) -> int:
    """The largest resident memory that a process has had, in MB; 0 where it is gone."""
    try:
        text = pathlib.Path(f"/proc/{process_id}/status").read_text(encoding="ascii")
    except OSError:
        return 0
    for row in text.splitlines():
        if row.startswith("VmHWM:"):
            return int(row.split()[1]) // KB_PER_MB
    return 0
