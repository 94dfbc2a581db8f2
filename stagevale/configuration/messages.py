"""Messages that bring the configuration from the stores to the registries."""

from typing import NamedTuple


class CommittedValue(NamedTuple):
    """The newest configuration value, and to whom the receiver is to pass it on."""

    encoded: bytes
    pass_on_to: tuple[str, ...]
