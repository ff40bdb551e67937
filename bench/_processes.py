"""Processes of an experiment: entries and stand-ins, their CPU time, their end."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import os
import signal
import sys
from collections.abc import Mapping
from pathlib import Path

import aiohttp

from baobabthread.errors import UnavailableError
from baobabthread.standins.loopback import own_network

READY_S = 20.0
STEP_S = 0.05
STOP_S = 30.0
OPERATOR_KEY = "bench-operator-key"
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
UTIME, STIME = 11, 12
"""Places of both times behind the command's name in /proc/PID/stat."""

SHARED = {
    "BAOBABTHREAD_PEER_SECRET": "bench-peer-secret-0123",
    "BAOBABTHREAD_SESSION_KEYS": "bench:0123456789abcdef0123",
    "BAOBABTHREAD_OPERATOR_KEY_SHA256": hashlib.sha256(
        OPERATOR_KEY.encode()
    ).hexdigest(),
    "BAOBABTHREAD_LOG_LEVEL": "error",
}


def own_host() -> str:
    """Return the IP address at which the processes of this run listen."""
    return own_network().give_host(1)


class Process:
    """Run one program of the experiment."""

    def __init__(self, *, name: str, process: asyncio.subprocess.Process) -> None:
        self.name = name
        self._process = process

    @property
    def pid(self) -> int:
        """Give the process's id."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Tell whether it has not ended."""
        return self._process.returncode is None

    def read_cpu_s(self) -> float:
        """Return the CPU time that it has used, in seconds."""
        text = Path(f"/proc/{self.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[UTIME]) + int(fields[STIME])) / TICKS_PER_S

    def read_memory_mb(self) -> float:
        """Return its resident memory in MB."""
        for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def send(self, number: signal.Signals) -> None:
        """Send it a signal."""
        if self.is_running:
            os.kill(self.pid, number)

    async def wait(self, limit_s: float = STOP_S) -> int:
        """Wait for its end and return its exit code."""
        return await asyncio.wait_for(self._process.wait(), limit_s)

    async def stop(self) -> None:
        """End it at once."""
        self.send(signal.SIGKILL)
        await self._process.wait()


class Processes:
    """Own all processes of one experiment and end them with it."""

    def __init__(self, *, logs: Path | None = None) -> None:
        """Take the folder that keeps what the programs print, if any."""
        self._logs = logs
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Processes:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._stack.aclose()

    async def start(
        self,
        name: str,
        arguments: list[str],
        *,
        environment: Mapping[str, str] | None = None,
    ) -> Process:
        """Start a Python program."""
        path = Path(os.devnull) if self._logs is None else self._logs / f"{name}.log"
        with path.open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                env={**os.environ, **SHARED, **(environment or {})},
                stdout=output,
                stderr=asyncio.subprocess.STDOUT,
            )
        started = Process(name=name, process=process)
        self._stack.push_async_callback(started.stop)
        return started

    async def start_standins(self, texts: list[Path], *, port: int) -> Process:
        """Start the platform and the backend servers that the texts name."""
        arguments = ["-m", "baobabthread", "standin", *map(str, texts)]
        arguments += ["--listen", f"{own_host()}:{port}"]
        process = await self.start("standin", arguments)
        await wait_for_port(port)
        return process

    async def start_entry(
        self,
        name: str,
        *,
        port: int,
        peer_port: int,
        platform_port: int,
        peers: list[int],
        failure_domain: str,
        environment: Mapping[str, str] | None = None,
        module: str = "baobabthread",
    ) -> Process:
        """Start an entry and wait until it listens."""
        arguments = ["-m", module, "serve", "--name", name]
        arguments += ["--listen", f"{own_host()}:{port}"]
        arguments += ["--peer-listen", f"{own_host()}:{peer_port}"]
        arguments += ["--platform", f"http://{own_host()}:{platform_port}"]
        arguments += ["--peers", ",".join(f"{own_host()}:{peer}" for peer in peers)]
        arguments += ["--failure-domain", failure_domain]
        process = await self.start(name, arguments, environment=environment)
        await wait_for_port(port)
        return process


async def wait_for_port(port: int) -> None:
    """Wait until something listens at a port."""
    deadline = asyncio.get_running_loop().time() + READY_S
    while True:
        try:
            _, writer = await asyncio.open_connection(own_host(), port)
        except OSError:
            if asyncio.get_running_loop().time() > deadline:
                raise UnavailableError(
                    f"nothing listens at port {port}",
                    remedy="start the program by hand and read its log",
                ) from None
            await asyncio.sleep(STEP_S)
        else:
            writer.close()
            return


async def publish(
    session: aiohttp.ClientSession, port: int, section: str, text: str
) -> int:
    """Publish a section and return its generation."""
    body = {"id": f"{section}-{os.urandom(6).hex()}", "section": section, "text": text}
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    url = f"http://{own_host()}:{port}/admin/publish"
    async with session.post(url, json=body, headers=headers) as response:
        answer = await response.json(content_type=None)
        if response.status != 200:
            raise UnavailableError(str(answer), remedy="read the answer's remedy")
        return int(answer["generation"])


async def read_generation(session: aiohttp.ClientSession, port: int) -> int:
    """Return the generation in force at an entry."""
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    url = f"http://{own_host()}:{port}/admin/generations"
    async with session.get(url, headers=headers) as response:
        answer = await response.json(content_type=None)
        return int(answer["generation"])


async def wait_in_force(
    session: aiohttp.ClientSession, ports: list[int], generation: int
) -> None:
    """Wait until all entries have a generation in force."""
    deadline = asyncio.get_running_loop().time() + READY_S
    while True:
        found = [await read_generation(session, port) for port in ports]
        if min(found) >= generation:
            return
        if asyncio.get_running_loop().time() > deadline:
            raise UnavailableError(
                f"generation {generation} is not in force: {found}",
                remedy="look at the entries' logs",
            )
        await asyncio.sleep(STEP_S)
