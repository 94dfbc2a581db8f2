"""A small deployment of the project's own programs on loopback addresses, for a case.

Every machine has a loopback address of its own; its daemons are started with the commands of the
deploy file, on the real clock. Figures are those of the site `bmvht-harvest`.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
# The bounds of the site bmvht-harvest, as `fleetbench wire` shows them.
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
    "retryExtra": 62,
    "coldExcess": 1.5,
    "coldMargin": 5,
    "evacuateMs": 5000,
    "recoveryS": 15,
    "ttl_max_s": 5,
}
BEAT_MS = 1500
ZONES = {"port-a": "portland", "stel-a": "stelizabeth", "stann-a": "stann"}
READY_LIMIT_S = 40.0


class CannotRunError(Exception):
    """The case couldn't be played: the machine or the deployment didn't come up."""


def now_ms() -> float:
    return time.monotonic() * 1000.0


class Record:
    """`record.txt`: what was sent, answered and run, with seconds since the case began."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")  # noqa: SIM115 - open for the whole case
        self.began_ms = now_ms()

    def __call__(self, text):
        self.file.write(f"{(now_ms() - self.began_ms) / 1000:9.3f} s  {text}\n")

    def say(self, text):
        self(text)
        print(text, flush=True)

    def close(self):
        self.file.close()


class Machine:
    """One machine: its address, zone and programs."""

    def __init__(self, name, ip, zone, programs, listen):
        self.name, self.ip, self.zone = name, ip, zone
        self.programs, self.listen = programs, listen
        self.processes = {}


class Deployment:
    """Core machines and edge machines, one of each in every zone."""

    def __init__(self, record, zones=None, bounds=None):
        self.record = record
        self.zones = zones or ZONES
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        self.commands = {name: role["run"].split() for name, role in deploy["roles"].items()}
        self.network, self.ports = _free_network(60)
        self.core, self.edges = [], []
        for number, zone in enumerate(self.zones):
            ip = f"{self.network}.{10 + number}"
            listen = {name: f"{ip}:{self.ports[name]}" for name in ("control", "directory")}
            self.core.append(Machine(f"core-{zone}-1", ip, zone, ("store", "registry"), listen))
            ip = f"{self.network}.{20 + number}"
            listen = {name: f"{ip}:{self.ports[name]}" for name in ("front", "ready")}
            self.edges.append(Machine(f"edge-{zone}-1", ip, zone, ("proxy",), listen))
        for machine in self.core + self.edges:
            self._write_settings(machine)

    # addresses

    def endpoint_ip(self, number):
        return f"{self.network}.{40 + number}"

    def controls(self, zone=None):
        """Control addresses, those of a zone first."""
        machines = sorted(self.core, key=lambda machine: machine.zone != zone)
        return [machine.listen["control"] for machine in machines]

    def directories(self, zone=None):
        machines = sorted(self.core, key=lambda machine: machine.zone != zone)
        return [machine.listen["directory"] for machine in machines]

    # settings and processes

    def _write_settings(self, machine):
        folder = self.folder / machine.name
        folder.mkdir()
        is_core = machine.programs[0] == "store"
        lines = ["[daemon]"]
        daemon = {
            "name": machine.name,
            "machineClass": "core" if is_core else "edge",
            "ip": machine.ip,
            "zone": machine.zone,
            "region": self.zones[machine.zone],
            "counted": is_core,
            "firstStart": True,
        }
        if is_core:
            (folder / "data").mkdir()
            daemon["dataPath"] = str(folder / "data")
        lines += [f"{name} = {json.dumps(value)}" for name, value in daemon.items()]
        lines += ["[limits]", "memoryMb = 300", "fileLimit = 4100"]
        inner = self.ports["inner"]
        seeds = json.dumps([core.listen["control"] for core in self.core])
        lines += ["[connections]", f"innerPorts = [{inner}, {inner + 15}]", f"seeds = {seeds}"]
        lines += ["[listen]"]
        lines += [f"{name} = {json.dumps(address)}" for name, address in machine.listen.items()]
        lines += ["[zones]", *[f'"{zone}" = {json.dumps(r)}' for zone, r in self.zones.items()]]
        lines += ["[terms]", f"beatMs = {BEAT_MS}"]
        lines += ["[tolerance]", "machines = 1", "zones = 1", "regions = 1"]
        lines += ["[bounds]", *[f"{name} = {value}" for name, value in self.bounds.items()]]
        (folder / "settings.toml").write_text("\n".join(lines) + "\n", encoding="utf-8")

    def forget_first_start(self):
        """`firstBoot` is true on the very first start only."""
        for machine in self.core + self.edges:
            path = self.folder / machine.name / "settings.toml"
            text = path.read_text(encoding="utf-8")
            path.write_text(text.replace("firstStart = true", "firstStart = false"), "utf-8")

    def start(self, machine, program):
        environment = {
            name: value for name, value in os.environ.items() if name in ("PATH", "HOME", "LANG")
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["STAGEVALE_CONFIG"] = str(self.folder / machine.name / "settings.toml")
        command = self.commands[program]
        if command[0] == "python3":
            command = [sys.executable, *command[1:]]
        with open(self.folder / machine.name / f"{program}.log", "ab") as log:
            machine.processes[program] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record(f"{machine.name}: {program} starts")

    def start_all(self):
        for machine in self.core + self.edges:
            for program in machine.programs:
                self.start(machine, program)

    def signal(self, machine, program, number):
        process = machine.processes[program]
        if process.poll() is None:
            process.send_signal(number)
        self.record(f"{machine.name}: {program} gets {signal.Signals(number).name}")

    def kill(self, machine, program):
        self.signal(machine, program, signal.SIGKILL)
        machine.processes[program].wait()

    def leader(self):
        """The core machine whose store was elected last, by what the stores log."""
        newest, machine_of_newest = -1, None
        for machine in self.core:
            text = (self.folder / machine.name / "store.log").read_text(encoding="utf-8")
            for term in re.findall(
                r"elected leader of the configuration register, term (\d+)", text
            ):
                if int(term) > newest:
                    newest, machine_of_newest = int(term), machine
        if machine_of_newest is None:
            raise CannotRunError("no store leads")
        return machine_of_newest

    def ended_by_themselves(self):
        """Programs that have ended though nobody ended them."""
        return [
            f"{machine.name} {program}"
            for machine in self.core + self.edges
            for program, process in machine.processes.items()
            if process.poll() is not None
        ]

    def close(self):
        """Ends every process that was started here; keeps nothing but the record."""
        for machine in self.core + self.edges:
            for process in machine.processes.values():
                if process.poll() is None:
                    process.kill()
                process.wait()
        if os.environ.get("KEEP"):
            print(f"kept: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # the operator

    async def operate(self, method, path, body=None, wanted=(200,), limit_s=READY_LIMIT_S):
        """A call of the operator, sent again to the next daemon until it is taken."""
        until_ms = now_ms() + limit_s * 1000
        turn = 0
        while now_ms() < until_ms:
            address = self.controls()[turn % len(self.core)]
            turn += 1
            status, answer = await call(address, method, path, body)
            self.record(f"operator: {method} {path} at {address}: {status}")
            if status in wanted:
                return status, answer
            await asyncio.sleep(0.2)
        raise CannotRunError(f"{method} {path} wasn't taken")

    async def ready(self, machine):
        status, _ = await call(machine.listen["ready"], "GET", "/v1/readiness")
        return status == 200

    async def wait_until(self, what, condition, limit_s=READY_LIMIT_S):
        until_ms = now_ms() + limit_s * 1000
        while not await condition():
            if now_ms() > until_ms:
                raise CannotRunError(f"not reached: {what}")
            await asyncio.sleep(0.1)

    async def form(self, config):
        """Starts everything and waits until the core agrees, with all members up."""
        self.start_all()
        await self.operate("POST", "/v1/config/replace", json.dumps(config))
        members = 2 * len(self.core) + len(self.edges)

        seen = {}

        async def formed():
            for machine in self.core:
                status, text = await call(machine.listen["control"], "GET", "/v1/stand")
                if status != 200:
                    return False
                stand = seen[machine.name] = json.loads(text)
                up = [row for row in stand["members"] if row["state"] == "up"]
                if len(up) != members or not stand["inContact"]:
                    return False
                if len(stand["votes"]) < len(self.core):
                    return False
            parts = [stand["parts"].values() for stand in seen.values()]
            return all(any(part["owner"] for part in each) for each in zip(*parts, strict=True))

        try:
            await self.wait_until("all members are up", formed)
        except CannotRunError:
            for name, stand in seen.items():
                states = [(row["address"], row["state"]) for row in stand["members"]]
                self.record(
                    f"{name}: in contact {stand['inContact']}, converged {stand['converged']}, "
                    f"votes {stand['votes']}, members {states}, "
                    f"owners {[part['owner'] for part in stand['parts'].values()]}"
                )
            raise

    async def all_ready(self):
        for machine in self.edges:
            if not await self.ready(machine):
                return False
        return True


def _free_network(hosts):
    """A loopback network and ports on it that nothing uses."""
    for _ in range(50):
        network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        base = random.randint(20000, 31000)
        ports = {
            "control": base,
            "directory": base + 1,
            "front": base + 2,
            "ready": base + 3,
            "endpoint": base + 4,
            "inner": base + 10,
        }
        try:
            for host in range(10, 10 + hosts):
                for port in range(base, base + 26):
                    with socket.socket() as probe:
                        probe.bind((f"{network}.{host}", port))
        except OSError:
            continue
        return network, ports
    raise CannotRunError("no free ports")


async def call(address, method, path, body=None, limit_s=1.0):
    """One HTTP call with a JSON body; status None where no answer came in time."""
    try:
        return await asyncio.wait_for(_call(address, method, path, body), limit_s)
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return None, b""


async def _call(address, method, path, body):
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        data = (body or "").encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
        )
        writer.write(head.encode() + data)
        status, fields, answer = await read_answer(reader)
        return status, answer
    finally:
        writer.close()


async def read_answer(reader):
    """One HTTP answer with a length."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].split(b"\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(b":")
        fields[name.strip().lower()] = value.strip()
    status = int(first.split(b" ")[1])
    length = int(fields.get(b"content-length", b"0"))
    body = await reader.readexactly(length) if length else b""
    return status, fields, body


def play(case, folder):
    """Runs a case: `await case(record, deployment_factory, trouble)` says whether the rule broke.

    Exits with 1 if it broke, 0 if it held, 2 if the case couldn't run.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # Whoever ends a case early has its processes ended too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(pathlib.Path(folder) / "record.txt")
    record.say(f"trouble: {'yes' if trouble else 'no'}")
    deployments = []

    def deploy(**more):
        deployments.append(Deployment(record, **more))
        return deployments[-1]

    code = 2
    try:
        broke = asyncio.run(asyncio.wait_for(case(record, deploy, trouble), 110))
        record.say("the rule was broken" if broke else "the rule held")
        code = 1 if broke else 0
    except (TimeoutError, CannotRunError) as error:
        record.say(f"the case couldn't run: {error!r}")
    finally:
        for deployment in deployments:
            deployment.close()
        record.close()
    return code
