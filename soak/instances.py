"""The real program as a separate process that is stopped, paused, killed, restarted."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

RESTART_S = 0.3
"""Pause between an end and the next start, as on the platform."""
GRACE_S = 3.0
REVOCATION_S = 3.0
RETRY_RATIO = 0.9
RETRY_EXTRA = 52.0
EVACUATION_S = 3.0
APPLY_S = 2.0
COLD_FACTOR = 1.5
COLD_EXTRA = 5.0
SERVER_DOMAINS = ("s0", "s1", "s2")
"""Failure domains of the backend servers; all alike to the instances, in others."""
AREAS = {"z0": "north", "z1": "north", "s0": "north", "s1": "north", "s2": "south"}
"""Areas by failure domain."""
SOURCES = Path(__file__).resolve().parent.parent


class Ports:
    """Hold the ports that are the same at all instances."""

    __slots__ = ("control", "directory", "front", "gossip", "ready")

    def __init__(self, ports: Sequence[int]) -> None:
        self.front, self.ready, self.directory, self.control, self.gossip = ports


class Machine:
    """Run one instance at an address of its own, again and again."""

    def __init__(
        self,
        *,
        index: int,
        ip: str,
        ports: Ports,
        store_address: str,
        seeds: Sequence[str],
        folder: Path,
        counted: Sequence[str] = (),
        has_own_paths: bool = False,
    ) -> None:
        self.index = index
        self.ip = ip
        self.front = f"{ip}:{ports.front}"
        self.directory = f"{ip}:{ports.directory}"
        self.is_ending = False
        """Whether its end was asked for."""
        self._ports = ports
        self._store_address = store_address
        self._seeds = seeds
        self._folder = folder
        self._counted = list(counted)
        self._has_own_paths = has_own_paths
        self._process: asyncio.subprocess.Process | None = None
        self._keeper: asyncio.Task[None] | None = None
        self._back = asyncio.Event()
        self._is_paused = False
        self._was_paused = False
        """Whether it stood still at any time of the present stop."""
        self.own_ends: list[str] = []

    async def start(self) -> None:
        """Start the program and start it again whenever it ends."""
        self._keeper = asyncio.ensure_future(self._keep())
        await self._back.wait()

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process that this object started, if it lives."""
        process = self._process
        if process is not None and process.returncode is None:
            process.send_signal(number)

    def read_peak_mb(self) -> float:
        """Return the most memory that its process has taken; 0 if it is down."""
        process = self._process
        if process is None or process.returncode is not None:
            return 0.0
        with contextlib.suppress(OSError):
            lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
            peaks = [line.split()[1] for line in lines if line.startswith("VmHWM:")]
            return sum(int(kb) for kb in peaks) / 1000
        return 0.0

    async def terminate(self) -> None:
        """Stop it gracefully, or by force after the grace, and wait for the restart."""
        # A second signal doesn't undo that the first one came while it stood still.
        self._was_paused = self._is_paused or (self.is_ending and self._was_paused)
        self.is_ending = True
        self._back.clear()
        process = self._process
        self.send(signal.SIGTERM)
        if process is not None:
            try:
                async with asyncio.timeout(GRACE_S + 0.5):
                    await process.wait()
            except TimeoutError:
                if not self._was_paused:
                    self.own_ends.append(f"i{self.index}: still there after its grace")
                self.send(signal.SIGKILL)
        await self._back.wait()

    async def kill(self) -> None:
        """Kill it and wait for the restart."""
        self.is_ending = True
        self._back.clear()
        self.send(signal.SIGKILL)
        await self._back.wait()

    async def pause(self, seconds: float) -> None:
        """Let it stand still for a while."""
        self._is_paused = self._was_paused = True
        self.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.send(signal.SIGCONT)
        self._is_paused = False

    async def close(self) -> None:
        """End it for good."""
        if self._keeper is not None:
            self._keeper.cancel()
            await asyncio.gather(self._keeper, return_exceptions=True)
        process = self._process
        if process is not None and process.returncode is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
            await process.wait()

    async def _keep(self) -> None:
        path = self._write_settings()
        module = "soak.weakened" if self._counted else "baobabthread.platform"
        if self._has_own_paths:
            module = "soak.ownpaths"
        environment = os.environ | {
            "BAOBABTHREAD_SETTINGS": str(path),
            "PYTHONPATH": f"{SOURCES / 'src'}{os.pathsep}{SOURCES}",
        }
        with (self._folder / f"i{self.index}.log").open("ab") as log:
            while True:
                self.is_ending = False
                self._process = await asyncio.create_subprocess_exec(
                    *(sys.executable, "-m", module, *self._counted),
                    env=environment,
                    stdout=log,
                    stderr=log,
                )
                self._back.set()
                code = await self._process.wait()
                if not self.is_ending:
                    self.own_ends.append(f"i{self.index}: ended by itself, code {code}")
                await asyncio.sleep(RESTART_S)

    def _write_settings(self) -> Path:
        ports = self._ports
        settings = {
            "node_name": f"i{self.index}",
            "ip": self.ip,
            "zone": f"z{self.index % 2}",
            "region": AREAS[f"z{self.index % 2}"],
            "zones": AREAS,
            "listen": {
                "front": self.front,
                "ready": f"{self.ip}:{ports.ready}",
                "directory": self.directory,
                "control": f"{self.ip}:{ports.control}",
            },
            "internal_ports": [ports.gossip, ports.gossip],
            "seeds": [f"{seed}:{ports.control}" for seed in self._seeds],
            "provider": {"address": self._store_address},
            "guarantees": {
                "revoke_ms": REVOCATION_S * 1000,
                "grace_s": GRACE_S,
                "retry_budget_ratio": RETRY_RATIO,
                "retry_budget_extra": RETRY_EXTRA,
                "expose_share": 0.2,
                "session_s": 1,
                "evacuate_ms": EVACUATION_S * 1000,
                "config_apply_ms": APPLY_S * 1000,
                "cold_overage": COLD_FACTOR,
                "cold_slack": COLD_EXTRA,
            },
        }
        path = self._folder / f"i{self.index}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        return path
