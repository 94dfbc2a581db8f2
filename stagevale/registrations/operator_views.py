"""What operators and tools ask a registry to show: sessions, rollouts, partner routes."""

import json

from stagevale import wire
from stagevale.placement import part_of
from stagevale.registrations import READY


class OperatorViews:
    """Answers questions that need more than one piece of state."""

    __slots__ = ("service", "context", "switchboard", "membership")

    def __init__(self, service):
        self.service = service
        self.context = service.context
        self.switchboard = service.switchboard
        self.membership = service.membership

    def show_session(self, session, answer):
        """The record of a session, as a majority of its group has it."""
        from stagevale.affinity import STATES, Record, group_name, record_from
        from stagevale.ballots import majority

        names = {
            group_name(
                name.partition("|")[0].split(",") if name.partition("|")[0] else (),
                session.encode(),
            )
            for name in (
                self.service.register.value.sessions if self.service.register.value else {}
            )
        }
        waiting, found, silent = {}, {}, []
        for name in names:
            if name in self.service.register.value.sessions:
                waiting[name] = set(self.service.register.value.sessions[name][1])
        if not waiting:
            answer(404, {"error": "no route asks for affinity"})
            return

        def heard(name, peer, reply, failure):
            waiting[name].discard(peer)
            if failure is None and reply and reply[0]:
                found.setdefault(name, []).append(reply[1])
            if any(waiting.values()):
                return
            rows = []
            for name in sorted(waiting):
                got = found.get(name, [])
                if len(got) < majority(len(self.service.register.value.sessions[name][1])):
                    silent.append(name)
                    continue
                record = Record()
                for fields in got:
                    if fields is not None:
                        record.join(record_from(fields, self.context.now_ms()))
                if record.number or record.requests:
                    rows.append(
                        {
                            "group": name,
                            "version": record.number,
                            "holder": record.holder.partition("#")[0],
                            "endpoints": record.pins,
                            "requests": [
                                {
                                    "key": key,
                                    "state": STATES[entry.state],
                                    "by": entry.by.partition("#")[0],
                                    "keptForS": int(
                                        (entry.expires_ms - self.context.now_ms()) / 1000
                                    ),
                                }
                                for key, entry in sorted(record.requests.items())
                            ],
                        }
                    )
            if silent:
                answer(503, {"error": f"no majority of the groups {', '.join(silent)} answers"})
            elif not rows:
                answer(404, {"error": "no record of this session"})
            else:
                answer(200, {"session": session, "records": rows})

        for name, peers in list(waiting.items()):
            for peer in list(peers):
                self.switchboard.call(
                    peer,
                    wire.SESSION_LOOK,
                    [name, self.service.register.value.sessions[name][0], session],
                    self.service.interval_ms,
                    lambda reply, failure, name=name, peer=peer: heard(name, peer, reply, failure),
                )

    def start_rollout(self, service, text, answer):
        """An operator's rollout, passed on once endpoints of both versions are known."""
        from stagevale.rollouts.checking import read_rollout

        checked = read_rollout(text)
        if checked.is_error():
            answer(checked.error.status, checked.error.reason)
            return
        software = self.software_of(service)
        for field in ("from", "to"):
            if software and checked.ok[field] not in software:
                answer(
                    400,
                    f"{field}: no endpoint of {service} runs {checked.ok[field]}; known are "
                    f"{', '.join(sorted(software))}",
                )
                return
        self.service.register.order("startRollout", f"{service}\n{text}", answer)

    def software_of(self, service):
        """Healthy endpoints and their slots by software version."""
        found = {}
        for life in self.service.lives.parts.get(part_of(service), {}).values():
            if life.service == service and life.state == READY and life.healthy:
                endpoints, slots = found.get(life.software, (0, 0))
                found[life.software] = endpoints + 1, slots + life.slots
        return found

    def show_rollouts(self, service, answer):
        """All rollouts, or one, as the owner of the register confirms them; with warnings before
        they hurt.
        """

        def shown(status, text):
            if status != 200:
                answer(status, {"error": text})
                return
            rows = [row for row in json.loads(text)["rollouts"] if service in ("", row["service"])]
            if service and not rows:
                answer(404, {"error": f"no rollout of {service}"})
                return
            for row in rows:
                software = self.software_of(row["service"])
                row["endpoints"] = {
                    name: {"endpoints": count, "slots": slots}
                    for name, (count, slots) in sorted(software.items())
                }
                row["warnings"] = self.rollout_warnings(row, software)
            answer(200, rows[0] if service else {"rollouts": rows})

        self.service.register.order("readRollouts", "", shown)

    def rollout_warnings(self, row, software):
        """What would hurt at a fallback: too few endpoints of the stable version to carry what the
        new one carries.
        """
        all_slots = sum(slots for _, slots in software.values())
        stable_slots = sum(
            slots
            for name, (_, slots) in software.items()
            if name != row["to"] and name not in row["withheld"]
        )
        warnings = []
        if stable_slots == 0:
            warnings.append(
                f"no healthy endpoint runs {row['from']}: after a fallback requests are refused with 503"
            )
        elif stable_slots * 2 < all_slots:
            warnings.append(
                f"{row['from']} has {stable_slots} of {all_slots} slots: a fallback would crowd them"
            )
        if row["to"] not in software:
            warnings.append(
                f"no healthy endpoint runs {row['to']}: its share goes to {row['from']}"
            )
        return warnings

    def partner_table(self, answer):
        """The merged table, after a majority has confirmed that it is the newest; 503 where none
        does.
        """

        def confirmed(status, text):
            if status != 200:
                answer(503, {"error": f"no majority of the stores confirms the table: {text}"})
            elif (
                self.service.register.value is None
                or int(text) > self.service.register.value.serial
            ):
                self.service.register.pull_value(
                    lambda read: (
                        self.show_table(answer)
                        if read
                        else answer(503, {"error": "the newest table can't be read"})
                    )
                )
            else:
                self.show_table(answer)

        self.service.register.order("serial", "", confirmed)

    def show_table(self, answer):
        answer(
            200,
            {
                "serial": self.service.register.value.serial,
                "mark": self.service.register.partners.mark,
                "registry": self.switchboard.address,
                "rows": [row.fields() for row in self.service.register.partners.rows],
                "proxies": [
                    {
                        "address": s.address,
                        "serial": s.table[0] if s.table else None,
                        "mark": s.table[1] if s.table else None,
                    }
                    for s in self.service.feeding.subscribers.values()
                ],
            },
        )

    def explain(self, asked, answer):
        """Which rows were weighed for a host and path, and which won."""
        host, path, zone, tenant = (
            asked.get(name, [""])[0] for name in ("host", "path", "zone", "tenant")
        )
        zones = self.context.settings.zones
        if not host or not path.startswith("/"):
            answer(400, {"error": "host: want a name; path: want one that begins with a slash"})
            return
        if zone and zone not in zones:
            answer(400, {"error": f"zone: {zone} is not known"})
            return

        def shown(status, body):
            if status != 200:
                answer(status, body)
                return
            config = (
                json.loads(self.service.register.value.config)
                if self.service.register.value.config
                else {}
            )
            own = [
                route
                for route in config.get("routes", ())
                if route["host"].lower() == host.lower() and path.startswith(route["pathPrefix"])
            ]
            own.sort(key=lambda route: -len(route["pathPrefix"]))
            words = self.service.register.partners.weigh(
                host.lower(), path, zone, zones.get(zone, ""), tenant
            )
            row = (
                None
                if own
                else self.service.register.partners.find(
                    host.lower(), path, zone, zones.get(zone, ""), tenant
                )
            )
            answer(
                200,
                {
                    "serial": self.service.register.value.serial,
                    "mark": self.service.register.partners.mark,
                    "own": [route.get("name") or route["pathPrefix"] for route in own],
                    "weighed": [{**each.fields(), "against": against} for each, against in words],
                    "won": f"own route {own[0].get('name') or own[0]['pathPrefix']}"
                    if own
                    else f"partner {row.partner}, {row.prefix}"
                    if row
                    else "",
                },
            )

        self.partner_table(shown)
