"""Exit codes, and how misuse is told."""

import enum
import sys


class ExitCode(enum.IntEnum):
    """What a command's exit code says."""

    OK = 0
    FINDINGS = 1
    MISUSE = 2


def fail(text: str) -> None:
    """Writes one line to standard error."""
    sys.stderr.write(f"stagevale: {text}\n")


def misuse(text: str) -> ExitCode:
    """Tells what was wrong with the command line."""
    fail(text)
    return ExitCode.MISUSE
