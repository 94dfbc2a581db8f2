"""The leader's care for the groups of registries that keep session records."""

import json

from stagevale import wire
from stagevale.ballots import majority
from stagevale.membership.state import EXITING, JOINING, LEAVING, UP
from stagevale.register.reconfiguration import GONE_SHARE

SETTLE_SHARE = 0.25


class SessionGroups:
    """Makes and mends session groups as entries of the configuration register; a change of a group
    is settled, once a majority of its new members has learned, before the next change.
    """

    __slots__ = ("node", "lost_since_ms", "settled", "settle_planned")

    def __init__(self, node):
        self.node = node
        self.lost_since_ms = {}
        self.settled = set()
        self.settle_planned = False

    def tend(self):
        """Starts the next change of the groups, or asks changed ones whether they have learned."""
        node = self.node
        value = node.chosen
        if node.busy or node.orders.waiting or value is None:
            return
        if not (value.sessions or '"affinity"' in value.config):
            return
        from stagevale import affinity

        registries = [
            member
            for member in node.membership.members("registry", (JOINING, UP))
            if node.membership.reachable(member.address)
        ]
        departed = self.departed(registries)
        after = affinity.tend(value.sessions, self.wanted(value), registries, departed)
        if after is not None:
            node.accept(value.after(sessions=after), lambda chosen: node.orders.pump())
            return
        for name, (version, group, before) in value.sessions.items():
            if before:
                self.ask_learned(name, version, group)

    def wanted(self, value):
        """The names of the groups that the configuration's routes ask for."""
        from stagevale import affinity

        routes = json.loads(value.config)["routes"] if value.config else []
        homes = {
            tuple(sorted(route.get("homeRegions") or ()))
            for route in routes
            if route.get("affinity")
        }
        return [name for each in sorted(homes) for name in affinity.group_names(each)]

    def departed(self, registries):
        """Members that leave in order, or have been away for long: others take their place."""
        node = self.node
        now_ms = node.context.now_ms()
        living = {member.address for member in registries}
        members = {address for _, group, _ in node.chosen.sessions.values() for address in group}
        self.lost_since_ms = {
            address: self.lost_since_ms.get(address, now_ms) for address in members - living
        }
        limit_ms = node.context.settings.bounds.contact_ms * GONE_SHARE
        gone = {address for address, ms in self.lost_since_ms.items() if now_ms - ms > limit_ms}
        leaving = node.membership.members("registry", (LEAVING, EXITING))
        return gone | {member.address for member in leaving}

    def ask_learned(self, name, version, group):
        """Asks a changed group's members whether they have learned its records."""
        node = self.node
        ready = set()

        def answered(peer, answer, failure):
            if failure is None and answer:
                ready.add(peer)
            if len(ready) < majority(len(group)) or node.busy or node.chosen is None:
                return
            self.settled.add((name, version))
            if not self.settle_planned:
                self.settle_planned = True
                node.context.after(node.call_ms * SETTLE_SHARE, self.settle)

        for peer in group:
            node.switchboard.call(
                peer,
                wire.SESSION_READY,
                [name, version],
                node.call_ms,
                lambda answer, failure, peer=peer: answered(peer, answer, failure),
            )

    def settle(self):
        """All groups that have learned meanwhile are settled in one change."""
        node = self.node
        self.settle_planned = False
        value = node.chosen
        if node.busy or value is None:
            return
        after = {
            name: (row[0], row[1], () if (name, row[0]) in self.settled else row[2])
            for name, row in value.sessions.items()
        }
        if after != value.sessions:
            self.settled.clear()
            node.accept(value.after(sessions=after), lambda chosen: node.orders.pump())
