"""One call to the platform: its own connection, its own timer, and a last check before the first
byte.
"""

import asyncio

import h11


class PlatformCall(asyncio.Protocol):
    """Sends one report. The duty is confirmed after the connection is open and right before
    anything is written.
    """

    __slots__ = (
        "context",
        "path",
        "text",
        "holder",
        "fence",
        "check",
        "wrote",
        "done",
        "deadline_ms",
        "transport",
        "parser",
        "status",
        "over",
        "timer",
    )

    def __init__(self, context, path, text, holder, fence, check, wrote, done, deadline_ms):
        self.context = context
        self.path = path
        self.text = text
        self.holder = holder
        self.fence = fence
        self.check = check
        self.wrote = wrote
        self.done = done
        self.deadline_ms = deadline_ms
        self.transport = None
        self.parser = h11.Connection(h11.CLIENT)
        self.status = None
        self.over = False
        self.timer = None

    def open(self):
        """Opens the connection; `done(status, failure)` is called exactly once."""
        self.timer = self.context.after(self.deadline_ms, self.finish, None, "no answer in time")
        self.context.connect(
            self.context.settings.platform,
            self,
            lambda failure: self.finish(None, f"no connection to the platform: {failure!r}"),
            self.deadline_ms / 2.0,
            self.deadline_ms,
        )

    def finish(self, status, failure):
        if self.over:
            return
        self.over = True
        self.timer.cancel()
        if self.transport is not None:
            self.transport.abort()
        self.done(status, failure)

    def connection_made(self, transport):
        self.transport = transport
        if self.over:
            transport.abort()
            return
        self.check(self.write, lambda why: self.finish(None, why))

    def write(self):
        if self.over or self.transport.is_closing():
            self.finish(None, "the connection closed before the call")
            return
        body = self.text.encode()
        address = self.context.settings.platform
        out = self.parser.send(
            h11.Request(
                method="POST",
                target=self.path,
                headers=[
                    ("Host", f"{address[0]}:{address[1]}"),
                    ("Duty-Holder", self.holder),
                    ("Fence", str(self.fence)),
                    ("Content-Type", "application/json"),
                    ("Content-Length", str(len(body))),
                    ("Connection", "close"),
                ],
            )
        )
        self.wrote()
        self.transport.write(
            out + self.parser.send(h11.Data(data=body)) + self.parser.send(h11.EndOfMessage())
        )

    def data_received(self, data):
        try:
            self.parser.receive_data(data)
            while not self.over:
                event = self.parser.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.Response):
                    self.status = event.status_code
                elif isinstance(event, h11.EndOfMessage):
                    self.finish(self.status, None)
                elif isinstance(event, h11.ConnectionClosed):
                    self.finish(None, "closed before an answer")
        except h11.ProtocolError as failure:
            self.finish(None, f"no answer in the protocol: {failure}")

    def eof_received(self):
        self.data_received(b"")
        return False

    def connection_lost(self, failure):
        self.finish(None, f"the connection was lost: {failure!r}")
