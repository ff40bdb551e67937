"""A small deployment: store, workers and the program as the deploy file starts it."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from baobabthread.standins.loopback import claim_network

from trial.client import get_status
from trial.store import Store
from trial.worker import Behave, Request, Worker

ROOT = Path(__file__).resolve().parent.parent.parent
BEAT_S = 1.2
ZONES = ("kolkata-hall", "durgapur-hall", "haldia-hall", "krishnanagar-hall")
REGION = "gangetic-bengal"
GUARANTEES = {
    "seed_lag_s": 3,
    "reuse_delay_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "sync_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "downgrade_slack_ms": 250,
    "max_skew_ms": 5000,
    "strict_revoke": True,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.9,
    "budget_window_s": 10,
    "retry_budget_extra": 52,
    "expose_share": 0.15,
    "exposure_slack": 30,
    "rollback_ms": 5000,
    "recovery_s": 12,
    "pass_ms": 120,
    "reuse_window_s": 7,
    "session_s": 5,
    "ttl_max_s": 5,
}
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"


class CouldNotRun(Exception):
    """Raised if a case can't be played here."""


class Record:
    """Writes what was sent, answered and run, with times since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()
        self.runs: dict[str, list[str]] = {}
        """Ids of the workers that ran a request, by the request's id."""

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def note_worker(self, what: str, worker: Worker, request: Request) -> None:
        """Note what became of a request at a worker."""
        if what == "run":
            self.runs.setdefault(request.id, []).append(worker.id)
        self.write(f"worker {worker.id} {worker.service} {what} {request.id}")


class Machine:
    """One machine of the system: the program at an address of its own."""

    def __init__(self, *, name: str, zone: str, ip: str) -> None:
        self.name = name
        self.zone = zone
        self.ip = ip
        self.front = self.ready = self.directory = self.control = ""
        self.process: asyncio.subprocess.Process | None = None
        self.settings = Path()
        self.log = Path()
        self.has_been_ended = False
        self.own_ends: list[str] = []

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this machine's process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


class Site:
    """Starts everything, and ends all of it."""

    def __init__(self, *, folder: Path, machines: int = 2) -> None:
        self.record = Record(folder / "record.txt")
        self.network = claim_network()
        self.store = Store()
        self.workers: list[Worker] = []
        self.version = 0
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.machines = [
            Machine(
                name=f"front-{ZONES[n % len(ZONES)]}-{n + 1}",
                zone=ZONES[n % len(ZONES)],
                ip=self.network.give_host(n + 2),
            )
            for n in range(machines)
        ]
        self._beats: asyncio.Task[None] | None = None
        self._ports = self.network.give_ports(5)
        self._command = _read_command()

    # -- operator --

    def configure(self, **tables: object) -> int:
        """Write a configuration; return its version."""
        self.version += 3
        self.store.put("keyed.op", "config", {"version": self.version, **tables})
        self.record.write(f"operator configuration {self.version}")
        return self.version

    # -- workers --

    async def add_worker(
        self, service: str, behave: Behave, *, zone: int = 0, version: str = "v1",
        slots: int = 64,
    ) -> Worker:
        """Start a worker and enter it into the store."""
        worker = Worker(
            service=service,
            zone=ZONES[zone % len(ZONES)],
            behave=behave,
            note=self.record.note_worker,
            version=version,
            slots=slots,
        )
        await worker.start(self.network.give_host(1), self.network.give_port())
        self.workers.append(worker)
        self.publish(worker)
        return worker

    def publish(self, worker: Worker) -> None:
        """Write a worker's entry."""
        self.store.put("keyed.servers", worker.id, worker.make_record())

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(BEAT_S)
            for worker in self.workers:
                if not worker.is_gone:
                    self.publish(worker)

    # -- machines --

    async def start(self) -> None:
        """Start the machines and wait until all of them are ready."""
        self._beats = asyncio.ensure_future(self._beat())
        for machine in self.machines:
            await self._prepare(machine)
        for machine in self.machines:
            await self.start_machine(machine)
        await self.wait_ready(self.machines)

    async def _prepare(self, machine: Machine) -> None:
        host, port = self.network.give_host(1), self.network.give_port()
        await self.store.listen(host, port, machine.name)
        front, ready, directory, control, inner = self._ports
        machine.front = f"{machine.ip}:{front}"
        machine.ready = f"{machine.ip}:{ready}"
        machine.directory = f"{machine.ip}:{directory}"
        machine.control = f"{machine.ip}:{control}"
        machine.settings = self.folder / f"{machine.name}.yaml"
        machine.log = self.folder / f"{machine.name}.log"
        fields = {
            "node_name": machine.name,
            "role": "entry",
            "machine_class": "front",
            "serves": ["front", "control", "directory"],
            "ip": machine.ip,
            "zone": machine.zone,
            "region": REGION,
            "zones": dict.fromkeys(ZONES, REGION),
            "listen": {
                "front": machine.front,
                "ready": machine.ready,
                "control": machine.control,
                "directory": machine.directory,
            },
            "internal_ports": [inner, inner + 15],
            "seeds": [f"{m.ip}:{control}" for m in self.machines[:3]],
            "bootstrap": True,
            "limits": {
                "cpu_share": 0.537,
                "vcpus": 2,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "heartbeat_ms": 1200,
            "guarantees": GUARANTEES,
            "provider": {
                "address": f"{host}:{port}",
                "form": "log",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "parts": 8,
                "append_ms": 4.0,
                "keep_s": 300,
                "ttl_min_ms": 1000,
            },
        }
        machine.settings.write_text(json.dumps(fields), encoding="utf-8")

    async def start_machine(self, machine: Machine) -> None:
        """Start the program on a machine, as the deploy file says."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "BAOBABTHREAD_SETTINGS": str(machine.settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "SSL_CERT_FILE": "/dev/null",
        }
        machine.has_been_ended = False
        with machine.log.open("ab") as log:
            machine.process = await asyncio.create_subprocess_exec(
                *self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write(f"machine {machine.name} started")

    async def wait_ready(self, machines: list[Machine], most_s: float = 15) -> None:
        """Wait until machines are ready; raise `CouldNotRun` if they never are."""
        until = time.monotonic() + most_s
        for machine in machines:
            while await get_status(machine.ready, "/-/readiness") != 200:
                if time.monotonic() > until:
                    raise CouldNotRun(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)

    async def close(self) -> None:
        """End all that was started."""
        if self._beats is not None:
            self._beats.cancel()
        for machine in self.machines:
            process = machine.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        for worker in self.workers:
            worker.stop()
        self.store.close()
        self.network.close()
        if os.environ.get("KEEP"):
            print(f"logs in {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder)


def _read_command() -> list[str]:
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
    return str(deploy["roles"]["entry"]["run"]).split(" ")


def make_route(prefix: str, kind: str, service: str, **more: object) -> dict[str, object]:
    """Return a route of a configuration."""
    return {
        "name": prefix.strip("/"),
        "host": "ficu95.example",
        "path_prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout_ms": 8000,
        "slo_ms": 1000,
        "priority": 2,
        "max_attempts": 1,
        **more,
    }


def make_tables(routes: list[dict[str, object]], *services: str) -> dict[str, object]:
    """Return the tables of a configuration without tenants."""
    return {
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/health", "max_conns": 96}
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 15000,
        },
    }


def run_case(play, folder: Path) -> None:  # noqa: ANN001
    """Play a case; exit with 1 if it returns what was broken, 0 if it held."""
    try:
        broken = asyncio.run(asyncio.wait_for(play(folder), 110))
    except (CouldNotRun, OSError, TimeoutError) as error:
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    for line in broken:
        print(line)
    print("BROKEN" if broken else "held")
    sys.exit(1 if broken else 0)
