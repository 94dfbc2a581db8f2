"""What a check has found."""

from typing import NamedTuple


class Finding(NamedTuple):
    """A fault, where it is, and what to do about it."""

    where: str
    fault: str
    remedy: str

    def to_row(self) -> dict[str, str]:
        """The finding as the command prints it in JSON."""
        return self._asdict()
