"""The daemons of a run: real processes, started by the deploy file's commands."""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import tomllib

from soak import bounds
from soak.clock import MS_PER_S, now_ms
from soak.history import History, OwnEnd, Span, Termination
from soak.machine_memory import check_memory, peak_mb
from soak.network import Network, find_network
from soak.plan import Size

ROOT = pathlib.Path(__file__).resolve().parents[1]
ZONES = {"north-a": "north", "south-a": "south", "west-a": "west"}
CORE_PROGRAMS = ("store", "registry")
EDGE_PROGRAMS = ("proxy",)
LAST_LOG_LINES = 12
# Whoever a platform has killed starts again after so long.
RESTART_PAUSE_S = 0.3
PROCESS_POLL_S = 0.02


class Machine:
    """One machine: its address, its zone and its programs' processes."""

    def __init__(self, name: str, ip: str, zone: str, programs: tuple[str, ...]) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.programs = programs
        self.listen: dict[str, str] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.ending: set[str] = set()
        self.busy = False

    @property
    def is_core(self) -> bool:
        """True for a machine that keeps state."""
        return self.programs == CORE_PROGRAMS


class Deployment:
    """Core and edge machines over three zones, each a region of its own."""

    def __init__(self, size: Size, history: History, tolerated: int = 1) -> None:
        """Lays out the machines and writes their settings.

        Args:
            size: how many of each kind.
            history: where what happens is noted.
            tolerated: how many core machines may lose their disks at once.
        """
        self.history = history
        self.tolerated = tolerated
        self.network: Network = find_network()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        self.commands = {name: role["run"].split() for name, role in deploy["roles"].items()}
        zones = list(ZONES)
        ports = self.network.ports
        self.core, self.edges = [], []
        for number in range(size.core):
            zone = zones[number % len(zones)]
            ip = self.network.core_ip(number)
            machine = Machine(f"core-{number + 1}", ip, zone, CORE_PROGRAMS)
            machine.listen = {
                "control": f"{ip}:{ports.control}",
                "directory": f"{ip}:{ports.directory}",
            }
            self.core.append(machine)
        for number in range(size.proxies):
            zone = zones[number % len(zones)]
            ip = self.network.edge_ip(number)
            machine = Machine(f"edge-{number + 1}", ip, zone, EDGE_PROGRAMS)
            machine.listen = {"front": f"{ip}:{ports.front}", "ready": f"{ip}:{ports.ready}"}
            self.edges.append(machine)
        for machine in self.machines:
            (self.folder / machine.name / "data").mkdir(parents=True)
            self._write_settings(machine, first_start=True)

    @property
    def machines(self) -> list[Machine]:
        """All machines."""
        return [*self.core, *self.edges]

    # settings

    def _write_settings(self, machine: Machine, first_start: bool) -> None:
        inner = self.network.ports.inner
        tables: dict[str, dict[str, object]] = {
            "daemon": {
                "name": machine.name,
                "machineClass": "core" if machine.is_core else "edge",
                "ip": machine.ip,
                "zone": machine.zone,
                "region": ZONES[machine.zone],
                "counted": machine.is_core,
                "firstStart": first_start,
            },
            "limits": {"memoryMb": bounds.MEMORY_MB, "fileLimit": bounds.FILE_LIMIT},
            "connections": {
                "innerPorts": [inner, inner + 15],
                "seeds": [core.listen["control"] for core in self.core[:3]],
            },
            "listen": dict(machine.listen),
            "zones": dict(ZONES),
            "terms": {"beatMs": int(bounds.BEAT_MS)},
            "tolerance": {"machines": self.tolerated, "zones": 1, "regions": 1},
            "bounds": dict(bounds.SETTINGS_BOUNDS),
        }
        if machine.is_core:
            tables["daemon"]["dataPath"] = str(self.folder / machine.name / "data")
        lines = []
        for name, table in tables.items():
            lines.append(f"[{name}]")
            lines += [f'"{key}" = {json.dumps(value)}' for key, value in table.items()]
        path = self.folder / machine.name / "settings.toml"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")

    def end_first_start(self) -> None:
        """From now on nothing starts for the first time."""
        for machine in self.machines:
            self._write_settings(machine, first_start=False)

    # processes

    def start_all(self) -> None:
        """Starts every daemon.

        Raises:
            MemoryLimitError: the machine hasn't enough memory.
        """
        check_memory(sum(len(machine.programs) for machine in self.machines))
        for machine in self.machines:
            for program in machine.programs:
                self.start(machine, program)
            self.history.spans.append(Span(machine.name, "started", now_ms(), now_ms()))

    def start(self, machine: Machine, program: str) -> None:
        """Starts one daemon."""
        environment = {
            name: value for name, value in os.environ.items() if name in ("PATH", "HOME", "LANG")
        }
        environment["PYTHONPATH"] = os.pathsep.join(path for path in sys.path if path)
        environment["STAGEVALE_CONFIG"] = str(self.folder / machine.name / "settings.toml")
        command = self.commands[program]
        if command[0] == "python3":
            command = [sys.executable, *command[1:]]
        with open(self._log_path(machine, program), "ab") as log:
            machine.processes[program] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        machine.ending.discard(program)
        self.history.say(f"{machine.name}: {program} starts")

    def signal(self, machine: Machine, program: str, number: signal.Signals) -> None:
        """Sends a signal to a daemon, where it runs."""
        process = machine.processes[program]
        if process.poll() is None:
            process.send_signal(number)
        self.history.say(f"{machine.name}: {program} gets {number.name}")

    async def terminate(self, machine: Machine, away_s: float = RESTART_PAUSE_S) -> None:
        """Ends a machine's daemons in order, then starts them again; as a platform does."""
        machine.busy = True
        begin_ms = now_ms()
        self.history.terminations.append(Termination(machine.name, begin_ms))
        for program in machine.programs:
            machine.ending.add(program)
            self.signal(machine, program, signal.SIGTERM)
        until_ms = begin_ms + bounds.GRACE_PERIOD_S * MS_PER_S
        while now_ms() < until_ms and self._running(machine):
            await asyncio.sleep(PROCESS_POLL_S)
        await self._restart(machine, begin_ms, "stopped in order", away_s)

    async def kill(
        self, machine: Machine, away_s: float = RESTART_PAUSE_S, wipe: bool = False
    ) -> None:
        """Kills a machine's daemons, then starts them again, with an empty disk if so asked."""
        machine.busy = True
        await self._restart(machine, now_ms(), "killed", away_s, wipe)

    async def _restart(
        self, machine: Machine, begin_ms: float, what: str, away_s: float, wipe: bool = False
    ) -> None:
        for program in self._running(machine):
            machine.ending.add(program)
            self.signal(machine, program, signal.SIGKILL)
        for program in machine.programs:
            await asyncio.to_thread(machine.processes[program].wait)
        if wipe:
            self._empty_disk(machine)
        await asyncio.sleep(away_s)
        for program in machine.programs:
            self.start(machine, program)
        self.history.spans.append(Span(machine.name, what, begin_ms, now_ms()))
        machine.busy = False

    def _empty_disk(self, machine: Machine) -> None:
        data = self.folder / machine.name / "data"
        shutil.rmtree(data)
        data.mkdir()
        self.history.say(f"{machine.name}: its disk is lost")

    async def freeze(self, machine: Machine, programs: tuple[str, ...], for_s: float) -> None:
        """Stops some of a machine's daemons for a while."""
        machine.busy = True
        begin_ms = now_ms()
        for program in programs:
            self.signal(machine, program, signal.SIGSTOP)
        await asyncio.sleep(for_s)
        for program in programs:
            self.signal(machine, program, signal.SIGCONT)
        self.history.spans.append(Span(machine.name, "frozen", begin_ms, now_ms()))
        machine.busy = False

    def reload(self, machine: Machine) -> None:
        """Has a machine's daemons read their settings again."""
        self.history.reloads.append(Termination(machine.name, now_ms()))
        for program in machine.programs:
            self.signal(machine, program, signal.SIGHUP)

    def _running(self, machine: Machine) -> list[str]:
        return [
            program for program in machine.programs if machine.processes[program].poll() is None
        ]

    def note_own_ends(self) -> None:
        """Notes processes that ended though nobody ended them, and those over their memory."""
        known = {(end.machine, end.program) for end in self.history.own_ends}
        for machine in self.machines:
            for program, process in machine.processes.items():
                if (machine.name, program) in known:
                    continue
                code = process.poll()
                used_mb = peak_mb(process.pid)
                what = ""
                if code is not None and program not in machine.ending:
                    what = f"ended by itself with {code}"
                elif used_mb > bounds.MEMORY_MB:
                    what = f"used {used_mb} MB"
                if what:
                    self.history.own_ends.append(OwnEnd(machine.name, program, what))

    def peaks_mb(self) -> dict[str, int]:
        """The largest memory of any daemon of each program that runs now."""
        peaks: dict[str, int] = {}
        for machine in self.machines:
            for program, process in machine.processes.items():
                peaks[program] = max(peaks.get(program, 0), peak_mb(process.pid))
        return peaks

    # logs and end

    def _log_path(self, machine: Machine, program: str) -> pathlib.Path:
        return self.folder / machine.name / f"{program}.log"

    def last_log_lines(self, machine_name: str) -> list[str]:
        """What a machine's daemons logged last."""
        lines = []
        for machine in self.machines:
            if machine.name != machine_name:
                continue
            for program in machine.programs:
                text = self._log_path(machine, program).read_text(
                    encoding="utf-8", errors="replace"
                )
                rows = text.splitlines()[-LAST_LOG_LINES:]
                lines += [f"{machine.name} {program}: {row}" for row in rows]
        return lines

    def close(self, keep: bool) -> None:
        """Ends every process that was started here; removes its files unless they are to be kept."""
        for machine in self.machines:
            for process in machine.processes.values():
                if process.poll() is None:
                    process.kill()
                process.wait()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)
