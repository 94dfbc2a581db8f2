"""Beats and leaves of endpoints, and how news of them spreads among the registries."""

import struct
import zlib

from stagevale import wire
from stagevale.ballots import Round
from stagevale.placement import part_of
from stagevale.registrations import DRAINING, GONE, READY, Life, life_from_fields

HEARD_ROW = struct.Struct("!II")


class Intake:
    """Takes what endpoints say of themselves and brings it to the registries that keep their part."""

    __slots__ = ("service", "context", "switchboard", "membership", "heard_ids")

    def __init__(self, service):
        self.service = service
        self.context = service.context
        self.switchboard = service.switchboard
        self.membership = service.membership
        self.heard_ids = {}
        self.switchboard.on(wire.LIVES, self.on_lives)
        self.switchboard.on(wire.HEARD, self.on_heard)

    def beat(self, id, table, answer):
        """A heartbeat; `answer(status, body)` is called once it is taken, or refused."""
        now_ms = self.context.now_ms()
        details, status = table["details"], table["status"]
        incoming = Life(
            id,
            details["service"],
            table["address"],
            details["zone"],
            details["slots"],
            DRAINING if status["state"] == "draining" else READY,
            status["callSeq"],
            0,
            status["callSeq"] if status["coldLeftMs"] > 0 else 0,
            status["coldLeftMs"],
            now_ms,
            details.get("version", ""),
        )
        known = self.service.lives.by_id.get(id)
        if (
            known is not None
            and incoming.cold_seq
            and known.cold_seq
            and self.cold_left_ms(known, now_ms) > 0
            and incoming.cold_ms <= self.cold_left_ms(known, now_ms) + self.service.interval_ms
        ):
            incoming.cold_seq = known.cold_seq
        self.take_in(incoming, answer)

    def cold_left_ms(self, life, now_ms):
        return life.cold_ms - (now_ms - life.heard_ms)

    def leave(self, id, answer):
        """An endpoint's leave; an unknown one is taken as gone already."""
        known = self.service.lives.by_id.get(id)
        if known is None:
            answer(200, {})
            return
        self.take_in(
            Life(
                id,
                known.service,
                known.address,
                known.zone,
                known.slots,
                GONE,
                known.call_seq,
                0,
                0,
                0,
                self.context.now_ms(),
            ),
            answer,
        )

    def take_in(self, incoming, answer):
        now_ms = self.context.now_ms()
        if not self.service.in_contact() and not self.service.young():
            answer(503, {"error": "out of touch with the core"})
            return
        news = self.service.lives.merge(incoming, now_ms)
        if news is None:
            part = part_of(incoming.service)
            self.heard_ids.setdefault(part, {})[incoming.id] = incoming.call_seq
            known = self.service.lives.by_id[incoming.id]
            if known.state == READY or incoming.state == READY:
                answer(200, self.beat_answer(incoming))
                return
            news = known
        self.spread([news], None if news.state == READY else answer)
        if news.state == READY:
            answer(200, self.beat_answer(incoming))

    def beat_answer(self, life):
        """Names a registry of the endpoint's own zone for later beats, where this one is of
        another.
        """
        if life.zone == self.membership.me.zone or "control" not in self.context.settings.listen:
            return {}
        port = self.context.settings.listen["control"][1]
        for member in self.service.registries():
            if member.zone == life.zone and self.membership.reachable(member.address):
                return {"beatTarget": f"{member.machine}:{port}"}
        return {}

    def spread(self, news, answer):
        """Brings news to the group of its part and on to the proxies; `answer` waits for the
        group's majority.
        """
        now_ms = self.context.now_ms()
        self.service.feeding.feed(news)
        by_part = {}
        for life in news:
            by_part.setdefault(part_of(life.service), []).append(life)
        for part, lives in by_part.items():
            group = self.service.group_of(part)
            others = [address for address in group if address != self.switchboard.address]
            rows = wire.pack_rows([life.fields(now_ms) for life in lives])
            held = Round((0, ""), group)
            if self.switchboard.address in group:
                held.count(self.switchboard.address, True, (0, ""))
                self.pass_on(part, lives)
            if answer is None:
                for address in others:
                    self.switchboard.send(address, wire.LIVES, [rows, 0])
                continue

            def answered(peer, reply, failure, held=held):
                if held.over:
                    return
                held.count(peer, failure is None and reply is not None, (0, ""))
                if held.won():
                    held.over = True
                    answer(200, {})
                elif held.lost():
                    held.over = True
                    answer(503, {"error": "the part's group can't be reached"})

            for address in others:
                self.switchboard.call(
                    address,
                    wire.LIVES,
                    [rows, 0],
                    self.service.interval_ms * 0.7,
                    lambda reply, failure, peer=address: answered(peer, reply, failure),
                )

    def pass_on(self, part, lives):
        """A member of a part's group passes news to the registries of its region, and the owner to
        the rest.
        """
        now_ms = self.context.now_ms()
        group = self.service.group_of(part)
        regions = {
            self.service.region_of(address)
            for address in group
            if self.membership.reachable(address)
        }
        mine = self.membership.me.region
        rows = wire.pack_rows([life.fields(now_ms) for life in lives])
        for member in self.service.registries():
            if member.address in group or member.address == self.switchboard.address:
                continue
            if member.region == mine or (
                member.region not in regions and self.service.part_owners.owns(part)
            ):
                self.switchboard.send(member.address, wire.LIVES, [rows, 1])

    def on_lives(self, peer, body, reply):
        self.take_lives(wire.unpack_rows(body[0]), body[1])
        if reply is not None:
            reply(1)

    def take_lives(self, rows, passed_on):
        """Takes in what another registry knows of some lives."""
        now_ms = self.context.now_ms()
        by_part = {}
        news = []
        for row in rows:
            after = self.service.lives.merge(life_from_fields(row, now_ms), now_ms)
            if after is not None:
                news.append(after)
                by_part.setdefault(part_of(after.service), []).append(after)
        if news:
            self.service.feeding.feed(news)
            if not passed_on:
                for part, lives in by_part.items():
                    if self.switchboard.address in self.service.group_of(part):
                        self.pass_on(part, lives)

    def on_heard(self, peer, body, reply):
        """Which unchanged lives another registry has heard."""
        now_ms = self.context.now_ms()
        back = []
        for key, call_seq in HEARD_ROW.iter_unpack(body):
            known = self.service.lives.by_key.get(key)
            if known is None:
                continue
            incoming = Life(
                known.id,
                known.service,
                known.address,
                known.zone,
                known.slots,
                READY,
                call_seq,
                0,
                0,
                0,
                now_ms,
            )
            after = self.service.lives.merge(incoming, now_ms)
            if after is not None:
                back.append(after)
        if back:
            self.spread(back, None)

    def tell_heard(self):
        """Tells the groups which unchanged lives were heard here since the last time."""
        told_to = {}
        for part, ids in self.heard_ids.items():
            for address in self.service.group_of(part):
                if address != self.switchboard.address:
                    told_to.setdefault(address, []).extend(
                        HEARD_ROW.pack(zlib.crc32(id.encode()), seq & 0xFFFFFFFF)
                        for id, seq in ids.items()
                    )
        for address, heard in told_to.items():
            self.switchboard.send(address, wire.HEARD, b"".join(heard))
        self.heard_ids = {}
