"""Which daemons a consensus node knows of: the newest group it has seen, members, seeds."""

from collections.abc import Iterable

from stagevale.consensus.voter_id import addresses_of
from stagevale.membership.membership import Membership
from stagevale.runtime.context import Context


class GroupView:
    """Where others of a consensus group are found. It says whom to ask, never who votes.

    Attributes:
        newest_serial: serial of the newest group seen; negative before the first.
        newest_group: the voters of that group.
    """

    __slots__ = (
        "context",
        "membership",
        "address",
        "program",
        "port_offset",
        "newest_serial",
        "newest_group",
    )

    def __init__(
        self,
        context: Context,
        membership: Membership,
        address: str,
        program: str,
        port_offset: int,
    ) -> None:
        self.context = context
        self.membership = membership
        self.address = address
        self.program = program
        self.port_offset = port_offset
        self.newest_serial = -1
        self.newest_group: tuple[str, ...] = ()

    def record(self, serial: int, group: Iterable[str]) -> None:
        """Takes in a group, where it is newer than the newest seen."""
        if serial > self.newest_serial:
            self.newest_serial = serial
            self.newest_group = tuple(group)

    def seed_addresses(self) -> tuple[str, ...]:
        """The voters of the first start of the whole system, which all get the same seeds."""
        settings = self.context.settings
        port = settings.inner_ports[0] + self.port_offset
        return tuple(f"{ip}:{port}" for ip in settings.seeds)

    def known_addresses(self, own_group: Iterable[str]) -> list[str]:
        """Where others of the group may be found: voters, members, seeds.

        Args:
            own_group: the voters by the value accepted here, for a node that has seen no group.
        """
        found = list(addresses_of(self.newest_group or own_group))
        found += [member.address for member in self.membership.members(self.program)]
        found += self.seed_addresses()
        return [address for address in dict.fromkeys(found) if address != self.address]

    def core_addresses(self) -> set[str]:
        """The gossip addresses of the other core machines that are members."""
        port = self.context.settings.inner_ports[0]
        return {f"{member.machine}:{port}" for member in self.membership.others() if member.is_core}

    def reachable_core(self) -> list[str]:
        """The addresses of all core daemons that are reachable."""
        return [
            member.address
            for member in self.membership.others()
            if member.is_core and self.membership.is_reachable(member.address)
        ]
