"""The configuration leader's care for session groups."""

import functools
import json
from typing import TYPE_CHECKING

from stagevale.configuration.value import ConfigurationValue, SessionGroup
from stagevale.consensus.reconfiguration import GONE_SHARE
from stagevale.membership.member import REGISTRY_PROGRAM, Member, MemberState
from stagevale.quorum.rules import majority
from stagevale.rpc.errors import RequestError
from stagevale.rpc.kinds import MessageKind
from stagevale.rpc.message import message_body
from stagevale.sessions.groups import group_names, next_groups
from stagevale.sessions.messages import SyncRequest
from stagevale.settings.settings import replicas_to_outlive

if TYPE_CHECKING:
    from stagevale.configuration.node import ConfigurationNode

# Groups that have learned within this share of a request time-out are committed together.
COMMIT_BATCH_SHARE = 0.25
# Cheaper than reading the configuration: a route that asks for affinity has this key.
AFFINITY_KEY = '"affinity"'


class SessionGroupManager:
    """Makes and repairs session groups as part of the configuration value; a change of a group is
    completed, once a majority of its new members has learned the records, before the next change.
    """

    __slots__ = ("node", "_away_since_ms", "_learned", "_commit_planned")

    def __init__(self, node: "ConfigurationNode") -> None:
        self.node = node
        self._away_since_ms: dict[str, float] = {}
        self._learned: set[tuple[str, int]] = set()
        self._commit_planned = False

    def run(self) -> None:
        """Starts the next change of the groups, or asks changed ones whether they have learned."""
        node = self.node
        value = node.committed
        if node.busy or node.commands.pending or value is None:
            return
        if not (value.sessions or AFFINITY_KEY in value.config):
            return
        registries = [
            member
            for member in node.membership.members(
                REGISTRY_PROGRAM, (MemberState.JOINING, MemberState.UP)
            )
            if node.membership.is_reachable(member.address)
        ]
        gone = self._gone(value, registries)
        size = replicas_to_outlive(node.context.settings.tolerance)
        groups = next_groups(value.sessions, _wanted_groups(value), registries, gone, size)
        if groups is not None:
            node.propose(value.changed(sessions=groups), lambda _committed: node.commands.process())
            return
        for name, group in value.sessions.items():
            if group.former_members:
                self._ask_whether_learned(name, group)

    def _gone(self, value: ConfigurationValue, registries: list[Member]) -> set[str]:
        """Members that shut down, or have been away for long: others take their place."""
        node = self.node
        now_ms = node.context.now_ms()
        live = {member.address for member in registries}
        members = {address for group in value.sessions.values() for address in group.members}
        self._away_since_ms = {
            address: self._away_since_ms.get(address, now_ms) for address in members - live
        }
        limit_ms = node.context.settings.bounds.contact_ms * GONE_SHARE
        gone = {
            address
            for address, since_ms in self._away_since_ms.items()
            if now_ms - since_ms > limit_ms
        }
        leaving = node.membership.members(
            REGISTRY_PROGRAM, (MemberState.LEAVING, MemberState.EXITING)
        )
        return gone | {member.address for member in leaving}

    def _ask_whether_learned(self, name: str, group: SessionGroup) -> None:
        """Asks a changed group's members whether they have learned its records."""
        node = self.node
        learned: set[str] = set()

        def replied(peer: str, has_learned: int | None, _error: RequestError | None) -> None:
            if has_learned:
                learned.add(peer)
            # Not just once: a proposal may be under way when the majority is complete.
            if len(learned) >= majority(len(group.members)):
                self._on_learned(name, group.version)

        for peer in group.members:
            node.rpc.request(
                peer,
                MessageKind.SESSION_SYNC_STATUS,
                message_body(SyncRequest(name, group.version)),
                int,
                functools.partial(replied, peer),
                node.request_timeout_ms,
            )

    def _on_learned(self, name: str, version: int) -> None:
        node = self.node
        if node.busy or node.committed is None:
            return
        self._learned.add((name, version))
        if not self._commit_planned:
            self._commit_planned = True
            node.context.call_later(
                node.request_timeout_ms * COMMIT_BATCH_SHARE, self._commit_learned
            )

    def _commit_learned(self) -> None:
        """All groups that have learned meanwhile are completed in one change."""
        node = self.node
        self._commit_planned = False
        value = node.committed
        if node.busy or value is None:
            return
        groups = {
            name: group._replace(former_members=())
            if (name, group.version) in self._learned
            else group
            for name, group in value.sessions.items()
        }
        if groups != value.sessions:
            self._learned.clear()
            node.propose(value.changed(sessions=groups), lambda _committed: node.commands.process())


def _wanted_groups(value: ConfigurationValue) -> list[str]:
    """The names of the groups that the configuration's routes ask for."""
    routes = json.loads(value.config)["routes"] if value.config else []
    homes = {
        tuple(sorted(route.get("homeRegions") or ())) for route in routes if route.get("affinity")
    }
    return [name for each in sorted(homes) for name in group_names(each)]
