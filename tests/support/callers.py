"""A stand-in for operators: calls on connections to a registry's `control` port."""

import asyncio
import re

from support.network import SimContext

CALLER_IP = "10.0.9.1"


class Caller(asyncio.Protocol):
    """An operator's connection to one registry."""

    def __init__(self, fleet, number, ip=CALLER_IP, address=None):
        self.world = fleet.world
        self.transport, self.received = None, b""
        registry = fleet.registries[number]
        context = SimContext(self.world, fleet.settings(ip, "a1", "", False), "caller")
        address = address or registry.context.settings.listen["control"]
        context.connect(address, self, print, 1000, 1000)
        assert self.world.until(lambda: self.transport is not None, 1000, 1)

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.received += data

    def eof_received(self):
        return False

    def connection_lost(self, failure):
        self.transport.closed = True

    def send(self, path, method="POST", body=b""):
        head = f"{method} {path} HTTP/1.1\r\nHost: control\r\nContent-Length: {len(body)}\r\n\r\n"
        self.transport.write(head.encode() + body)

    def statuses(self):
        return [int(status) for status in re.findall(rb"HTTP/1.1 (\d+) ", self.received)]

    def call(self, path, method="POST", body=b""):
        """Sends a call and returns the status of its answer."""
        before = len(self.statuses())
        self.send(path, method, body)
        assert self.world.until(lambda: len(self.statuses()) > before, 3000, 1)
        return self.statuses()[-1]
