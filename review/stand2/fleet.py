"""A small deployment on loopback: the project's programs, started as the deploy file says, with an
operator, clients and endpoints that follow the users' pages. Only the standard library is used.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = {"north-a": "north", "south-a": "south", "west-a": "west"}
HOST = "alerts.example"
BOUNDS = {
    "seedStalenessS": 3,
    "addrReuseS": 2,
    "contactMs": 4000,
    "ackDeadlineMs": 4000,
    "syncS": 4,
    "drainCutoffMs": 2500,
    "gracePeriodS": 6,
    "lossSlackMs": 200,
    "applyMs": 2500,
    "revertSlackMs": 250,
    "stretchMaxMs": 6000,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retryExtra": 58,
    "coldExcess": 1.5,
    "coldMargin": 5,
    "evacuateMs": 5000,
    "recoveryS": 15,
    "mergeMs": 3000,
    "leaseMs": 3000,
    "ttl_max_s": 5,
}


def now_ms():
    """The steady clock."""
    return time.monotonic() * 1000.0


class Record:
    """What was sent, answered and run, in `record.txt` of the case's folder."""

    def __init__(self, folder):
        self.began_ms = now_ms()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")  # noqa: SIM115

    def say(self, text):
        line = f"{(now_ms() - self.began_ms) / 1000.0:9.3f} {text}"
        print(line, file=self.file, flush=True)

    def close(self):
        self.file.close()


class Answer:
    """An answer of a daemon; status 0 stands for none."""

    def __init__(self, status=0, headers=None, body=b""):
        self.status = status
        self.headers = headers or {}
        self.body = body

    def json(self):
        return json.loads(self.body or b"null")


async def _read_message(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return head[0], headers, body


async def http(address, method, path, body=b"", headers=None, timeout_s=1.0, source=None):
    """One call on a connection of its own."""

    async def call():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(
            host, int(port), local_addr=(source, 0) if source else None
        )
        try:
            rows = {"Host": address, "Content-Length": str(len(body)), **(headers or {})}
            if body:
                rows.setdefault("Content-Type", "application/json")
            text = "".join(f"{name}: {value}\r\n" for name, value in rows.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode() + body)
            first, fields, content = await _read_message(reader)
            return Answer(int(first.split()[1]), fields, content)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(call(), timeout_s)
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return Answer()


class Machine:
    """One machine: an address, a zone, and the processes of its roles."""

    def __init__(self, name, ip, zone, programs):
        self.name, self.ip, self.zone, self.programs = name, ip, zone, programs
        self.listen = {}
        self.processes = {}


class Fleet:
    """Core machines (registry and store) and edge machines (proxy) over three regions."""

    def __init__(self, record, core=3, edges=2, tolerance=None, platform=None, bounds=None):
        self.record = record
        self.platform = platform
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.tolerance = tolerance or {"machines": 1, "zones": 1, "regions": 1}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        self.commands = {name: role["run"].split() for name, role in deploy["roles"].items()}
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.ports = random.randint(10000, 29000) // 40 * 40
        zones = list(ZONES)
        self.core, self.edges = [], []
        for number in range(core):
            machine = Machine(
                f"core-{number + 1}",
                f"{self.net}.{10 + number}",
                zones[number % 3],
                ("store", "registry"),
            )
            machine.listen = {
                "control": f"{machine.ip}:{self.ports}",
                "directory": f"{machine.ip}:{self.ports + 1}",
            }
            self.core.append(machine)
        for number in range(edges):
            machine = Machine(
                f"edge-{number + 1}", f"{self.net}.{40 + number}", zones[number % 3], ("proxy",)
            )
            machine.listen = {
                "front": f"{machine.ip}:{self.ports + 2}",
                "ready": f"{machine.ip}:{self.ports + 3}",
            }
            self.edges.append(machine)
        for machine in self.machines:
            (self.folder / machine.name / "data").mkdir(parents=True)
            self.write_settings(machine, True)

    @property
    def machines(self):
        return [*self.core, *self.edges]

    def write_settings(self, machine, first_start):
        is_core = machine in self.core or machine.programs != ("proxy",)
        tables = {
            "daemon": {
                "name": machine.name,
                "machineClass": "core" if is_core else "edge",
                "ip": machine.ip,
                "zone": machine.zone,
                "region": ZONES[machine.zone],
                "counted": is_core,
                "firstStart": first_start,
            },
            "limits": {"memoryMb": 296, "fileLimit": 4096},
            "connections": {
                "innerPorts": [self.ports + 10, self.ports + 25],
                "seeds": [core.listen["control"] for core in self.core[:3]],
            },
            "listen": machine.listen,
            "zones": ZONES,
            "terms": {"beatMs": 1500},
            "tolerance": self.tolerance,
            "bounds": self.bounds,
        }
        if is_core:
            tables["daemon"]["dataPath"] = str(self.folder / machine.name / "data")
        if self.platform:
            tables["platform"] = self.platform
        lines = []
        for name, table in tables.items():
            lines.append(f"[{name}]")
            lines += [f'"{key}" = {json.dumps(value)}' for key, value in table.items()]
        path = self.folder / machine.name / "settings.toml"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")

    # processes

    async def start(self, machine, program):
        environment = {
            name: value for name, value in os.environ.items() if name in ("PATH", "HOME", "LANG")
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["STAGEVALE_CONFIG"] = str(self.folder / machine.name / "settings.toml")
        command = self.commands[program]
        command = [sys.executable if part == "python3" else part for part in command]
        with open(self.folder / machine.name / f"{program}.log", "ab") as log:
            machine.processes[program] = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.say(f"platform: {machine.name} {program} starts")

    async def start_all(self):
        for machine in self.machines:
            for program in machine.programs:
                await self.start(machine, program)

    def signal(self, machine, number, programs=None):
        for program in programs or machine.programs:
            process = machine.processes[program]
            if process.returncode is None:
                process.send_signal(number)
        self.record.say(f"platform: {machine.name} {programs or ''} gets {number.name}")

    async def ended(self, machine):
        for process in machine.processes.values():
            await process.wait()

    async def kill(self, machine):
        self.signal(machine, signal.SIGKILL)
        await self.ended(machine)

    async def restart(self, machine, wipe=False):
        """Starts a machine whose processes have ended, as it was or with an empty disk."""
        if wipe:
            data = self.folder / machine.name / "data"
            shutil.rmtree(data)
            data.mkdir()
            self.record.say(f"platform: {machine.name} comes back with an empty disk")
        self.write_settings(machine, False)
        for program in machine.programs:
            await self.start(machine, program)

    def log_of(self, machine, program):
        path = self.folder / machine.name / f"{program}.log"
        return path.read_text(encoding="utf-8", errors="replace")

    async def close(self):
        for machine in self.machines:
            for process in machine.processes.values():
                if process.returncode is None:
                    process.send_signal(signal.SIGKILL)
                await process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)

    # operator

    async def order(self, method, path, body=b"", limit_s=20.0, cores=None):
        """An order of the operator, sent again at any daemon until it has a clear answer."""
        end_ms = now_ms() + limit_s * 1000.0
        pause_s = 0.1
        answer = Answer()
        while now_ms() < end_ms:
            machine = random.choice(cores or self.core)
            answer = await http(machine.listen["control"], method, path, body)
            self.record.say(
                f"operator: {method} {path} at {machine.name}: {answer.status} {answer.body[:90]!r}"
            )
            if answer.status == 200 or answer.status in (400, 409, 412, 413, 422):
                return answer
            await asyncio.sleep(pause_s)
            pause_s = min(1.0, pause_s * 1.5)
        return answer

    async def wait_ready(self, limit_s=40.0):
        """Waits until every edge machine says that it is ready."""
        end_ms = now_ms() + limit_s * 1000.0
        for machine in self.edges:
            while True:
                answer = await http(machine.listen["ready"], "GET", "/v1/readiness")
                if answer.status == 200:
                    break
                if now_ms() > end_ms:
                    return False
                await asyncio.sleep(0.2)
        self.record.say("platform: every edge machine is ready")
        return True


def route(name, prefix, service, **more):
    """A route of a configuration, with what alert-signup has on the users' page."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "variant": "effectful",
        "timeoutMs": 4000,
        "targetMs": 1200,
        "priority": 1,
        "maxAttempts": 2,
        "homeRegions": [],
        "service": service,
        **more,
    }


def configuration(version, parent, routes, services, **more):
    """A whole configuration."""
    return json.dumps(
        {
            "version": f"r{version}",
            "parentVersion": f"r{parent}" if parent else 0,
            "routes": routes,
            "services": [
                {
                    "name": name,
                    "healthPath": "/health",
                    "maxConns": 110,
                    "protocol": "h1",
                    "tls": False,
                    "warmupS": 0,
                    "coldPerS": 999,
                }
                for name in services
            ],
            "limits": {
                "headerMaxBytes": 16384,
                "bodyMaxBytes": 67108864,
                "headerReadMs": 3000,
                "idleMs": 15000,
            },
            **more,
        }
    ).encode()


class Run:
    """A request that an endpoint began."""

    def __init__(self, endpoint, attempt, key, path, body, begin_ms):
        self.endpoint, self.attempt, self.key = endpoint, attempt, key
        self.path, self.body, self.begin_ms = path, body, begin_ms


class Endpoint:
    """A sound endpoint: beats, serves `slots` requests at once, turns others away."""

    def __init__(self, fleet, name, ip, service, zone, runs, work_ms=290.0, slots=12):
        self.fleet, self.name, self.service, self.zone = fleet, name, service, zone
        self.ip, self.runs, self.work_ms, self.slots = ip, runs, work_ms, slots
        self.id = f"i-{random.getrandbits(32):08x}"
        self.call_seq = 0
        self.running = 0
        self.state = "ready"
        self.server = None
        self.tasks = []
        self.beat_target = None
        self.usual_headers = {}

    async def start(self):
        with socket.socket() as free:
            free.bind((self.ip, 0))
            self.port = free.getsockname()[1]
        self.server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.tasks.append(asyncio.create_task(self._beat_forever()))

    def close(self):
        for task in self.tasks:
            task.cancel()
        if self.server is not None:
            self.server.close()

    async def _beat_forever(self):
        while True:
            await self.beat()
            await asyncio.sleep(1.5 * random.uniform(0.9, 1.1))

    async def beat(self):
        """One heartbeat, at further daemons until one acknowledges it."""
        cores = random.sample(self.fleet.core, len(self.fleet.core))
        addresses = [core.listen["control"] for core in cores]
        if self.beat_target:
            addresses.insert(0, self.beat_target)
        for address in addresses[:3]:
            self.call_seq += 1
            body = {
                "address": f"{self.ip}:{self.port}",
                "details": {
                    "service": self.service,
                    "version": "v1",
                    "zone": self.zone,
                    "slots": self.slots,
                },
                "status": {"state": self.state, "callSeq": self.call_seq, "coldLeftMs": 0},
            }
            path = f"/v1/instances/{self.id}/heartbeat"
            answer = await http(address, "POST", path, json.dumps(body).encode())
            if 200 <= answer.status < 300:
                try:
                    self.beat_target = answer.json().get("beatTarget")
                except (ValueError, AttributeError):
                    self.beat_target = None
                return True
            self.beat_target = None
        return False

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers, body = await _read_message(reader)
                method, path, _ = first.split(" ", 2)
                writer.write(await self._answer(method, path, headers, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, path, headers, body):
        if path == "/health":
            return _encode(200, {"Instance": self.id}, b"")
        attempt = headers.get("attempt-id", "")
        own = {
            **self.usual_headers,
            "Attempt-Id": attempt,
            "Server-Load": f"{self.running},0,{self.slots}",
        }
        if headers.get("expect-instance", self.id) != self.id:
            return _encode(421, own, b"")
        if self.running >= self.slots:
            return _encode(503, {**own, "Not-Run": "1"}, b"")
        key = headers.get("idempotency-key", "")
        run = Run(self.name, attempt, key, path, body, now_ms())
        self.runs.append(run)
        self.fleet.record.say(
            f"{self.name}: RUNS {method} {path} attempt {attempt} key {key} body {body[:40]!r}"
        )
        self.running += 1
        try:
            await asyncio.sleep(self.work_ms / 1000.0)
        finally:
            self.running -= 1
        seal = f"{self.id}.{len(self.runs)}.{random.getrandbits(32):08x}"
        return _encode(200, {**own, "Server-Seal": seal}, f"run by {self.name}".encode())


def _encode(status, headers, body):
    rows = {**headers, "Content-Length": str(len(body))}
    text = "".join(f"{name}: {value}\r\n" for name, value in rows.items())
    return f"HTTP/1.1 {status} X\r\n{text}\r\n".encode() + body


async def serve_endpoints(fleet, service, runs, count=4, work_ms=290.0, slots=12):
    """Endpoints of a service, over all zones, each on an address of its own."""
    endpoints = []
    for number in range(count):
        zone = list(ZONES)[number % 3]
        ip = f"{fleet.net}.{100 + number}"
        name = f"{service}-{number + 1}"
        endpoint = Endpoint(fleet, name, ip, service, zone, runs, work_ms, slots)
        await endpoint.start()
        endpoints.append(endpoint)
    return endpoints


async def send(fleet, edge, path, key="", session="", body=b"", deadline_ms=4000, more=None):
    """One try of a client at an edge machine."""
    attempt = f"{random.getrandbits(64):016x}"
    headers = {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": str(deadline_ms)}
    if key:
        headers["Idempotency-Key"] = key
    if session:
        headers["Session-Id"] = session
    headers.update(more or {})
    fleet.record.say(f"client: sends POST {path} to {edge.name} attempt {attempt} key {key}")
    answer = await http(
        edge.listen["front"], "POST", path, body, headers, deadline_ms / 1000.0 + 1.0
    )
    fleet.record.say(
        f"client: attempt {attempt} key {key} at {edge.name}: {answer.status} "
        f"{answer.headers.get('server-seal', '')} {answer.body[:80]!r}"
    )
    return answer
