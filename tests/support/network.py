"""A simulated network, clock and disk for whole daemons, driven by simpy; every run with one seed
is the same.
"""

import random
import zlib

import simpy

from stagevale.metrics.metrics import Metrics


class Log:
    """Collects what daemons log, with the simulated time."""

    def __init__(self, world, name):
        self.world, self.name = world, name

    def put(self, level, text, *values):
        self.world.lines.append(
            f"{self.world.env.now:9.1f} {self.name} {level} {text % values if values else text}"
        )

    def debug(self, *a):
        self.put("debug", *a)

    def info(self, *a):
        self.put("info", *a)

    def warning(self, *a):
        self.put("warning", *a)

    def error(self, *a):
        self.put("error", *a)

    def exception(self, *a):
        self.put("error", *a)


class Timer:
    __slots__ = ("off",)

    def __init__(self):
        self.off = False

    def cancel(self):
        self.off = True


class SimTransport:
    """One end of a connection."""

    def __init__(self, world, mine, theirs, protocol, silence_ms, local):
        self.world, self.mine, self.theirs, self.protocol = world, mine, theirs, protocol
        self.silence_ms, self.local = silence_ms, local
        self.other, self.closed, self.last_at, self.held = None, False, 0.0, None
        self.unsent_bytes = 0

    def is_closing(self):
        return self.closed

    def get_extra_info(self, name, default=None):
        return default

    def get_write_buffer_size(self):
        return self.unsent_bytes

    def pause_reading(self):
        self.held = self.held or []

    def resume_reading(self):
        held, self.held = self.held or [], None
        for data in held:
            self.protocol.data_received(data)

    def at(self):
        self.last_at = max(
            self.last_at, self.world.env.now + self.world.delay(self.mine, self.theirs)
        )
        return self.last_at - self.world.env.now

    def write(self, data):
        if self.closed or not data:
            return
        if self.world.is_cut(self.mine, self.theirs):
            self.world.later(self.silence_ms, self.lose, OSError("timed out"))
            return
        if self.world.is_held(self.mine, self.theirs):
            self.world.held_back.append((self, self.other.arrive, bytes(data)))
            return
        self.world.count(self.mine, self.theirs, data)
        self.world.later(self.at(), self.other.arrive, bytes(data))

    def arrive(self, data):
        if self.closed:
            # A kernel answers with a reset: the sender may lose what it has not read yet.
            self.world.resets += 1
        if self.closed or not self.world.up(self.mine):
            return
        if self.world.thaw_ms(self.local) > 0:
            self.world.later(self.world.thaw_ms(self.local), self.arrive, data)
            return
        if self.held is not None:
            self.held.append(data)
        else:
            self.protocol.data_received(data)

    def write_eof(self):
        """Ends this direction; the other side may still send."""
        if not self.closed:
            self.world.later(self.at(), self.other.ended)

    def close(self):
        if not self.closed:
            self.closed = True
            if self.world.is_held(self.mine, self.theirs):
                self.world.held_back.append((self, self.other.ended))
            else:
                self.world.later(self.at(), self.other.ended)
            self.world.later(0, self.protocol.connection_lost, None)

    def abort(self):
        if not self.closed:
            self.closed = True
            self.world.later(self.at(), self.other.lose, ConnectionResetError("reset"))
            self.world.later(0, self.protocol.connection_lost, None)

    def ended(self):
        if self.closed or not self.world.up(self.mine):
            return
        if self.world.thaw_ms(self.local) > 0:
            self.world.later(self.world.thaw_ms(self.local), self.ended)
            return
        if not self.protocol.eof_received():
            self.closed = True
            self.protocol.connection_lost(None)
            if not self.other.closed:
                self.world.later(self.at(), self.other.ended)

    def lose(self, failure):
        if not self.closed and self.world.thaw_ms(self.local) > 0:
            self.world.later(self.world.thaw_ms(self.local), self.lose, failure)
        elif not self.closed:
            self.closed = True
            if self.world.up(self.mine):
                self.protocol.connection_lost(failure)


class World:
    """Machines by IP, their daemons, the links between them."""

    def __init__(self, seed=1):
        self.env = simpy.Environment()
        self.random = random.Random(seed)
        self.listeners, self.sockets, self.cuts, self.dead, self.disks = {}, {}, set(), set(), {}
        self.transports, self.lines, self.stalled = [], [], set()
        self.regions = {}
        self.one_way = set()
        self.held, self.held_back = set(), []
        self.steps = {}
        self.frozen = {}
        self.crossed = 0
        self.resets = 0

    def count(self, one, other, data):
        """Counts bytes between regions."""
        if self.regions.get(one) != self.regions.get(other):
            self.crossed += len(data)

    def freeze(self, context, ms):
        """Stops a daemon for a while: what would have reached it meanwhile reaches it when it
        thaws.
        """
        self.frozen[context] = self.env.now + ms

    def thaw_ms(self, context):
        return max(0.0, self.frozen.get(context, 0.0) - self.env.now)

    def later(self, delay_ms, call, *args):
        timer = Timer()
        event = self.env.timeout(max(0.0, delay_ms))
        event.callbacks.append(lambda _: None if timer.off else call(*args))
        return timer

    def run(self, ms):
        self.env.run(until=self.env.now + ms)

    def until(self, condition, limit_ms=30000, step_ms=20):
        end = self.env.now + limit_ms
        while self.env.now < end:
            if condition():
                return True
            self.run(step_ms)
        return condition()

    def delay(self, one, other):
        here, there = self.regions.get(one), self.regions.get(other)
        return 0.2 if one == other else 1.0 if here == there else 30.0

    def is_cut(self, one, other):
        """True where nothing that `one` sends reaches `other`."""
        return frozenset((one, other)) in self.cuts or (one, other) in self.one_way

    def cut_one_way(self, ones, others):
        """Nothing that `ones` send reaches `others`; the way back stays open."""
        self.one_way |= {(one, other) for one in ones for other in others if one != other}

    def cut(self, ones, others):
        for one in ones:
            for other in others:
                if one != other:
                    self.cuts.add(frozenset((one, other)))

    def hold(self, ones, others):
        """What `ones` send `others` waits in the senders' kernels until `join`, on connections that
        are up: a cut too short for anybody to give a connection up.
        """
        self.held |= {(one, other) for one in ones for other in others if one != other}

    def is_held(self, one, other):
        return (one, other) in self.held

    def join(self):
        self.cuts.clear()
        self.one_way.clear()
        self.held.clear()
        held_back, self.held_back = self.held_back, []
        for transport, call, *args in held_back:
            self.later(transport.at(), call, *args)

    def up(self, owner):
        return owner not in self.dead

    def kill(self, context):
        """SIGKILL: the daemon's timers stop, its connections reset."""
        context.alive = False
        for address in [a for a, (c, _) in self.listeners.items() if c is context]:
            del self.listeners[address]
        for address in [a for a, (c, _) in self.sockets.items() if c is context]:
            del self.sockets[address]
        for transport in self.transports:
            if transport.local is context and not transport.closed:
                transport.closed = True
                self.later(transport.at(), transport.other.lose, ConnectionResetError("reset"))


class SimContext:
    """The Context of one simulated daemon."""

    def __init__(self, world, settings, name):
        self.world, self.settings, self.alive, self.stopping = world, settings, True, False
        self.random = random.Random(zlib.crc32(f"{name} {world.random.random()}".encode()))
        self.log = Log(world, name)
        self.stopped = False
        self.stall_monitor = None
        self.metrics = Metrics(self.now_ms)

    def stop(self):
        self.stopped = True
        self.world.kill(self)

    def stalled(self):
        return self.stall_monitor is not None and self.stall_monitor.stalled()

    def now_ms(self):
        return self.world.env.now

    def wall_ms(self):
        return 1.7e12 + self.world.env.now + self.world.steps.get(self.settings.ip, 0.0)

    def guarded(self, call, *args):
        thaw_ms = self.world.thaw_ms(self)
        if self.alive and thaw_ms > 0:
            self.world.later(thaw_ms, self.guarded, call, *args)
        elif self.alive:
            call(*args)

    def call_later(self, delay_ms, call, *args):
        return self.world.later(delay_ms, self.guarded, call, *args)

    def call_soon(self, call, *args):
        self.world.later(0, self.guarded, call, *args)

    def listen(self, address, factory, ready=None):
        self.world.listeners[address] = (self, factory)

    def listen_datagrams(self, address, protocol):
        self.world.sockets[address] = (self, protocol)
        self.world.later(0, protocol.connection_made, SimDatagrams(self, address))

    def connect(self, address, protocol, failed, timeout_ms, silence_ms):
        world, mine = self.world, self.settings.ip

        def arrive():
            found = world.listeners.get(address)
            if world.is_cut(mine, address[0]) or world.is_cut(address[0], mine):
                self.call_later(timeout_ms, failed, TimeoutError("timed out"))
                return
            if found is None:
                self.call_later(
                    world.delay(mine, address[0]), failed, ConnectionRefusedError("refused")
                )
                return
            theirs, factory = found
            far = SimTransport(world, address[0], mine, factory(), silence_ms, theirs)
            near = SimTransport(world, mine, address[0], protocol, silence_ms, self)
            far.other, near.other = near, far
            world.transports += [far, near]
            far.protocol.connection_made(far)
            self.call_later(world.delay(mine, address[0]), protocol.connection_made, near)

        self.call_later(world.delay(mine, address[0]), arrive)

    def run_on_disk(self, work, done):
        def step():
            if self.settings.ip in self.world.stalled:
                self.call_later(50, step)
                return
            try:
                result, failure = work(), None
            except Exception as caught:  # noqa: BLE001 - as the disk thread does
                result, failure = None, caught
            self.call_later(1.0, done, result, failure)

        self.call_later(1.0, step)


class SimDatagrams:
    def __init__(self, context, address):
        self.context, self.address = context, address

    def sendto(self, data, address):
        world = self.context.world
        if not self.context.alive or world.is_cut(self.address[0], address[0]):
            return
        world.count(self.address[0], address[0], data)

        def arrive():
            found = world.sockets.get(address)
            if found is not None and found[0].alive and not world.thaw_ms(found[0]):
                found[1].datagram_received(data, self.address)

        world.later(world.delay(self.address[0], address[0]), arrive)
