"""A registry's service: knows endpoints, proxies and the chosen configuration, and spreads them."""

import os

from stagevale import wire
from stagevale.membership.state import AWAITING, LEAVING, STATE_NAMES, UP
from stagevale.placement import PARTS
from stagevale.registrations import GONE, Lives, life_from_fields
from stagevale.registrations.feeding import Feeding
from stagevale.registrations.intake import Intake
from stagevale.registrations.operator_views import OperatorViews
from stagevale.registrations.part_owners import PartOwners
from stagevale.registrations.register_client import RegisterClient
from stagevale.registrations.repair import Repair


class RegistryService:
    """Wires what a registry does and keeps what all of it shares: contact, placement, rounds."""

    __slots__ = (
        "context",
        "switchboard",
        "membership",
        "lives",
        "ping_heard_ms",
        "interval_ms",
        "ports",
        "started_ms",
        "stopping",
        "moves_running",
        "disk",
        "saved_mark",
        "saving",
        "true_time",
        "ledger",
        "duties",
        "rounds",
        "sessions",
        "open_log",
        "intake",
        "part_owners",
        "feeding",
        "repair",
        "register",
        "views",
    )

    def __init__(self, context, switchboard, membership):
        self.context = context
        self.switchboard = switchboard
        self.membership = membership
        self.lives = Lives()
        self.ping_heard_ms = {}
        self.rounds = 0
        self.interval_ms = context.settings.bounds.contact_ms / 4.0
        self.ports = context.settings.inner_ports
        self.started_ms = context.now_ms()
        self.stopping = False
        self.moves_running = set()
        self.disk = None
        self.saved_mark = None
        self.saving = False
        self.sessions = None
        self.open_log = self.session_log
        self.true_time = self.ledger = self.duties = None
        self.intake = Intake(self)
        self.part_owners = PartOwners(self)
        self.feeding = Feeding(self)
        self.repair = Repair(self)
        self.register = RegisterClient(self)
        self.views = OperatorViews(self)
        switchboard.on(wire.HANDOFF, self.on_handoff)
        switchboard.on(wire.USAGE, self.on_usage)
        membership.change_hooks.append(self.placement_changed)

    def start(self):
        self.context.after(self.interval_ms * 0.05, self.tick)
        self.context.after(self.interval_ms * 0.1, self.register.first_value)

    def load_hints(self, disk):
        """Begins from the endpoints that this registry knew when it last ran: hints, until beats
        say more.
        """
        self.disk = disk

        def loaded(record, failure):
            if failure is not None or record is None:
                return
            now_ms = self.context.now_ms()
            for row in wire.unpack(record, "load", "disk")[1]:
                life = life_from_fields(row, now_ms)
                if life.id not in self.lives.by_id:
                    self.lives.merge(life, now_ms)
            self.saved_mark = self.lives.mark_of_all()
            self.feeding.feed(list(self.lives.by_id.values()))
            self.context.log.info("registry: remembers %d endpoints.", len(self.lives.by_id))

        self.context.disk(disk.load, loaded)

    def save_hints(self):
        """Saves what is known of endpoints, where that has changed."""
        mark = self.lives.mark_of_all()
        if self.disk is None or self.saving or mark == self.saved_mark:
            return
        self.saving = True
        now_ms = self.context.now_ms()
        record = wire.pack(
            [
                0,
                [
                    life.fields(now_ms)
                    for life in self.lives.by_id.values()
                    if life.healthy and life.state != GONE
                ],
            ]
        )

        def saved(_, failure):
            self.saving = False
            if failure is None:
                self.saved_mark = mark

        self.context.disk(lambda: self.disk.save(record), saved)

    def registries(self):
        return list(self.membership.members("registry", (0, UP, LEAVING)))

    def group_of(self, part):
        """The members that keep a part: by the placement table, or the shared seeds before there is
        one.
        """
        group = self.membership.state.table.get(part)
        if group:
            return group
        return tuple(f"{ip}:{self.ports[0]}" for ip in self.context.settings.seeds)

    def region_of(self, address):
        member = self.membership.state.members.get(address)
        return member.region if member is not None else ""

    def in_contact(self):
        """True while this registry hears a majority of the core machines, itself counted."""
        now_ms = self.context.now_ms()
        machines = {member.machine for member in self.registries()}
        machines.add(self.membership.me.machine)
        near = {
            address.rpartition(":")[0]
            for address, heard_ms in self.ping_heard_ms.items()
            if now_ms - heard_ms < self.interval_ms * (1.8 if self.near(address) else 2.6)
        }
        near.add(self.membership.me.machine)
        return len(near & machines) * 2 > len(machines)

    def session_log(self):
        """Where session records are kept on this machine's disk."""
        from stagevale.affinity.log import SessionLog
        from stagevale.configuration.disk import Folder

        folder = os.path.join(self.context.settings.data_path, "sessions")
        os.makedirs(folder, exist_ok=True)
        return SessionLog(Folder(folder))

    def core_size(self):
        """How many core machines are thought to live, this one counted."""
        machines = {member.machine for member in self.registries()}
        machines.add(self.membership.me.machine)
        return len(machines)

    def young(self):
        """True for a while after the start, when silence of the others says nothing yet."""
        return self.context.now_ms() - self.started_ms < self.interval_ms * 2

    def live(self, address):
        return self.context.now_ms() - self.ping_heard_ms.get(address, -1e12) < self.interval_ms * (
            1.5 if self.near(address) else 2.3
        )

    def near(self, address):
        """True for a registry of the own region; others ping half as often, since bytes between
        regions are dear.
        """
        return self.region_of(address) == self.membership.me.region

    def tick(self):
        self.context.after(
            self.interval_ms * 0.5 * self.context.random.uniform(0.95, 1.05), self.tick
        )
        now_ms = self.context.now_ms()
        self.rounds += 1
        settings = self.context.settings
        self.lives.forget(
            now_ms - settings.bounds.contact_ms * 10, now_ms - settings.bounds.contact_ms * 60
        )
        serial = self.register.value.serial if self.register.value else -1
        self.feeding.announce_now()
        ping = [
            serial,
            [self.lives.mark_of_all()],
            self.feeding.attached_mark(self.feeding.own_proxies()),
        ]
        if self.true_time is not None:
            ping.append(int(self.context.wall_ms()))
        for member in self.registries():
            if member.address != self.switchboard.address and (
                self.rounds % 2 or member.region == self.membership.me.region
            ):
                self.switchboard.send(member.address, wire.PING, ping)
        if self.rounds % 2:
            self.intake.tell_heard()
            self.part_owners.campaign()
            self.move_parts()
            self.save_hints()
        self.part_owners.declare_unheard()
        contact = self.in_contact() or self.young()
        for subscriber in list(self.feeding.subscribers.values()):
            if now_ms - subscriber.heard_ms > self.interval_ms * 2.2:
                self.feeding.drop(subscriber.address)
                continue
            self.switchboard.send(
                subscriber.address, wire.FEED_PING, self.feed_ping(serial, contact)
            )

    def feed_ping(self, serial, contact):
        """What a feeder says each round: its version, whether it is in touch, and, where duties
        want it, the agreed time.
        """
        true_ms = self.true_time.now() if self.true_time is not None else None
        return [serial, 1 if contact else 0] + ([int(true_ms)] if true_ms is not None else [])

    def on_usage(self, peer, body, reply):
        if self.ledger is not None:
            self.ledger.take(peer, body)

    def placement_changed(self):
        self.context.soon(self.move_parts)

    def move_parts(self):
        """Hands over the parts that pending moves take from this registry."""
        for move in self.membership.state.moves:
            if (
                move.giver != self.switchboard.address
                or move.status != AWAITING
                or move.key() in self.moves_running
            ):
                continue
            self.moves_running.add(move.key())

            def ready(answer, failure, move=move):
                self.moves_running.discard(move.key())
                if failure is None and answer:
                    self.membership.complete_move(move)

            rows = wire.pack_rows(self.lives.rows(move.part, self.context.now_ms()))
            self.switchboard.call(
                move.taker, wire.HANDOFF, [move.part, rows], self.interval_ms, ready
            )
        if self.stopping:
            mine = any(
                self.switchboard.address in group
                for part, group in self.membership.state.table.items()
                if part in PARTS
            )
            if not mine:
                self.membership.exit()

    def on_handoff(self, peer, body, reply):
        self.intake.take_lives(wire.unpack_rows(body[1]), 1)
        reply(1)

    def status(self):
        """What this registry knows, for the tools: members, parts, endpoints, proxies and where
        requests went.
        """
        now_ms = self.context.now_ms()
        membership = self.membership
        return {
            "registry": self.switchboard.address,
            "inContact": self.in_contact(),
            "converged": membership.converged(),
            "leader": membership.leader() or "",
            "serial": self.register.value.serial if self.register.value else -1,
            "version": f"r{self.register.value.version}" if self.register.value else "",
            "evacuated": list(self.register.value.evacuated) if self.register.value else [],
            "votes": list(self.register.value.group) if self.register.value else [],
            "zones": self.context.settings.zones,
            "sessions": self.sessions.status() if self.sessions is not None else {},
            "partners": {
                "rows": len(self.register.partners.rows),
                "mark": self.register.partners.mark,
                "offers": sorted(self.register.value.offers) if self.register.value else [],
            },
            "duties": self.duties.status() if self.duties is not None else {},
            "members": [
                {
                    "address": m.address,
                    "program": m.program,
                    "zone": m.zone,
                    "region": m.region,
                    "state": STATE_NAMES[m.state],
                    "reachable": membership.reachable(m.address),
                }
                for m in membership.state.sorted()
            ],
            "parts": {
                part: {
                    "group": list(self.group_of(part)),
                    "owner": self.part_owners.owners.get(part, ("", 0))[0] or "",
                }
                for part in PARTS
            },
            "endpoints": [
                {
                    "id": life.id,
                    "service": life.service,
                    "address": life.address,
                    "zone": life.zone,
                    "slots": life.slots,
                    "state": ("ready", "draining", "gone")[life.state],
                    "healthy": life.healthy,
                    "coldLeftMs": max(0, int(life.cold_ms - (now_ms - life.heard_ms))),
                }
                for life in self.lives.by_id.values()
            ],
            "proxies": [
                {
                    "address": s.address,
                    "front": s.front,
                    "zone": s.zone,
                    "region": s.region,
                    "ready": bool(s.ready),
                    "report": s.report,
                    "table": s.table,
                    "delays": s.report[5] if len(s.report) > 5 else [],
                }
                for s in self.feeding.subscribers.values()
            ],
        }
