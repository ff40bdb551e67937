"""One instance as a process of its own, and what a crowd makes it hold."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import subprocess
import sys
from collections.abc import AsyncIterator, Coroutine
from pathlib import Path
from typing import Any

from soak.hostile import REOPEN_S, HostileClient, open_crowd

from baobabthread.standins.loopback import own_network
from tests.platform.fakecallers import CallerResponse, call, render_request
from tests.platform.fakes import FakeBackend
from tests.platform.fakestore import BACKENDS, OPERATORS, FakeStore
from tests.platform.site import make_configuration

SOURCES = Path(__file__).resolve().parent.parent.parent
FILE_DESCRIPTORS = 200
"""Descriptors of an instance that are reserved for files."""
BYTES_PER_MB = 1_000_000
SAMPLE_INTERVAL_S = 0.02
CASE_TIMEOUT_S = 90.0
HANG_S = 30.0
"""Time after which an instance that has not answered counts as hung."""
TRY_S = 5.0
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 10_000,
    "header_timeout_ms": 1_000,
    "idle_timeout_ms": 2_000,
}
LISTENERS = ("front", "directory", "control", "ready", "metrics")
HEADS = {
    "front": render_request("/safe/x"),
    "directory": b"GET /-/resolve?name=a HTTP/1.1\r\nHost: a\r\n\r\n",
    "control": b"GET /snapshot HTTP/1.1\r\nHost: a\r\n\r\n",
    "ready": b"GET /-/readiness HTTP/1.1\r\nHost: a\r\n\r\n",
    "metrics": b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n",
}
"""Head of an ordinary request by listener."""


def run(case: Coroutine[Any, Any, None]) -> None:
    """Run one test case, and fail if it never ends."""
    asyncio.run(asyncio.wait_for(case, CASE_TIMEOUT_S))


class InstanceProcess:
    """A running instance, and the most memory and sockets that it has had."""

    def __init__(
        self,
        *,
        process: subprocess.Popen[bytes],
        addresses: dict[str, str],
        log: Path,
        memory_mb: int,
        max_fds: int,
        backend: FakeBackend,
    ) -> None:
        self._process = process
        self._memory_mb = memory_mb
        self._max_fds = max_fds
        self.addresses = addresses
        self.log = log
        self.backend = backend
        self.most_sockets = 0

    async def watch(self) -> None:
        """Record how many sockets and pipes are open, until cancelled."""
        while self.is_alive:
            self.most_sockets = max(self.most_sockets, self._count_sockets())
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    @property
    def is_alive(self) -> bool:
        """Whether the process runs."""
        return self._process.poll() is None

    @property
    def peak_mb(self) -> float:
        """The most memory that the process has taken."""
        lines = Path(f"/proc/{self._process.pid}/status").read_text().splitlines()
        [peak] = [line.split()[1] for line in lines if line.startswith("VmHWM:")]
        return int(peak) * 1024 / BYTES_PER_MB

    def _count_sockets(self) -> int:
        folder = f"/proc/{self._process.pid}/fd"
        count = 0
        with contextlib.suppress(FileNotFoundError, ProcessLookupError):
            for name in os.listdir(folder):
                with contextlib.suppress(OSError):
                    target = os.readlink(f"{folder}/{name}")
                    count += target.startswith(("socket:", "pipe:"))
        return count

    async def call(self, path: str = "/safe/x", **fields: str) -> CallerResponse:
        """Send one request to the callers' address."""
        return await call(self.addresses["front"], path, **fields)

    async def answers(self) -> bool:
        """Return whether an ordinary request is answered, if need be when sent again.

        A caller sends it again after a refusal or on a closed connection.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HANG_S):
                while True:
                    with contextlib.suppress(
                        OSError, TimeoutError, asyncio.IncompleteReadError
                    ):
                        async with asyncio.timeout(TRY_S):
                            if (await self.call()).status == 200:
                                return True
                    await asyncio.sleep(0.2)
        return False

    async def meet(self, clients: list[HostileClient], seconds: float) -> None:
        """Bear a crowd for a while."""
        async with open_crowd(clients):
            await asyncio.sleep(seconds)

    async def check(self) -> None:
        """Check that the process lives within its bounds and answers a request."""
        assert self.is_alive, self.log.read_text()[-2000:]
        assert await self.answers(), self.log.read_text()[-2000:]
        peak_mb, most_sockets = self.peak_mb, self.most_sockets
        assert peak_mb <= self._memory_mb, f"{peak_mb:.0f} MB"
        assert most_sockets <= self._max_fds - FILE_DESCRIPTORS, f"{most_sockets} open"
        assert self.is_alive


def make_crowd(
    instance: InstanceProcess,
    count: int,
    script: str,
    *,
    listener: str = "front",
    pause_s: float = 0.0,
    keeps_s: float | None = None,
    reopen_s: float = REOPEN_S,
    resets: bool = False,
) -> list[HostileClient]:
    """Return clients that all send the same script to one listener."""
    return [
        HostileClient(
            address=instance.addresses[listener],
            script=script,
            head=HEADS[listener],
            seed=number,
            pause_s=pause_s,
            keeps_s=keeps_s,
            reopen_s=reopen_s,
            resets=resets,
        )
        for number in range(count)
    ]


@contextlib.asynccontextmanager
async def open_instance(
    folder: Path, *, memory_mb: int = 120, max_fds: int = 300
) -> AsyncIterator[InstanceProcess]:
    """Start an instance with little memory and few descriptors; end it afterwards."""
    async with contextlib.AsyncExitStack() as stack:
        store = await FakeStore().start()
        stack.callback(store.close)
        store.put(OPERATORS, "config", make_configuration(limits=LIMITS))
        backend = await FakeBackend("p1").start()
        stack.callback(backend.close)
        store.put(BACKENDS, backend.id, backend.record)
        settings = _make_settings(store.address, memory_mb, max_fds)
        path = folder / "settings.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        log = folder / "log"
        listen = settings["listen"]
        assert isinstance(listen, dict)
        metrics_port = own_network().give_port()
        instance = InstanceProcess(
            process=_start(stack, path, log, metrics_port, max_fds),
            addresses=listen | {"metrics": f"{settings['ip']}:{metrics_port}"},
            log=log,
            memory_mb=memory_mb,
            max_fds=max_fds,
            backend=backend,
        )
        assert await instance.answers(), log.read_text()[-2000:]
        watching = asyncio.ensure_future(instance.watch())
        stack.callback(watching.cancel)
        yield instance


def _make_settings(store: str, memory_mb: int, max_fds: int) -> dict[str, object]:
    network = own_network()
    ip = network.give_host(1)
    ports = network.give_ports(5)
    names = ("front", "ready", "directory", "control")
    return {
        "node_name": "i1",
        "ip": ip,
        "zone": "a",
        "region": "north",
        "zones": {"a": "north"},
        "listen": {
            name: f"{ip}:{port}" for name, port in zip(names, ports, strict=False)
        },
        "internal_ports": [ports[4], ports[4]],
        "seeds": [],
        "provider": {"address": store},
        "limits": {"memory_mb": memory_mb, "max_fds": max_fds},
    }


def _start(
    stack: contextlib.AsyncExitStack,
    settings: Path,
    log: Path,
    metrics_port: int,
    max_fds: int,
) -> subprocess.Popen[bytes]:
    output = stack.enter_context(log.open("wb"))
    command = [sys.executable, "-m", "baobabthread.platform"]
    command += ["--settings", str(settings), "--metrics", f"{metrics_port}/metrics"]
    process = subprocess.Popen(
        command,
        stdout=output,
        stderr=output,
        env=os.environ | {"PYTHONPATH": str(SOURCES / "src")},
        preexec_fn=lambda: resource.setrlimit(
            resource.RLIMIT_NOFILE, (max_fds, max_fds)
        ),
    )
    stack.callback(_end, process)
    return process


def _end(process: subprocess.Popen[bytes]) -> None:
    process.kill()
    process.wait()
