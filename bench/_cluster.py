"""Six entries and the stand-ins as processes, and what an experiment does to them."""

from __future__ import annotations

import asyncio
import contextlib
import importlib.resources
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

from baobabthread.adapters.platform import LogClient
from baobabthread.core.billing.types import BillRecord
from baobabthread.core.configuration.configuration import parse_section
from baobabthread.core.messages import Stream
from baobabthread.errors import UnavailableError
from baobabthread.ports.log import LogError
from baobabthread.standins.loopback import own_network
from bench._processes import (
    OPERATOR_KEY,
    Process,
    Processes,
    own_host,
    publish,
    wait_in_force,
)
from bench._wire import Wire

SECTIONS = ("association", "kalbaishakhi")
DOMAINS = ("didube", "saburtalo", "vake", "isani")
ENTRIES = 6
SEEDS = 3
"""Peers that a starting entry is told of."""
READY_S = 20.0
STEP_S = 0.05
PAGE = 1_000
HEADERS = {"Authorization": f"Bearer {OPERATOR_KEY}"}


class Entry(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one entry that runs as a process."""

    name: str
    port: int
    peer_port: int
    process: Process

    @property
    def url(self) -> str:
        """Give the base URL for callers."""
        return f"http://{own_host()}:{self.port}"


class Cluster:
    """Own the processes of one experiment."""

    def __init__(
        self,
        *,
        folder: Path,
        entries: int = ENTRIES,
        environment: Mapping[str, str] | None = None,
        module: str = "baobabthread",
        has_wires: bool = False,
    ) -> None:
        """Take a folder for texts and logs, and the module that runs an entry.

        With wires each entry reaches the platform through a relay that can be cut.
        """
        self._folder = folder
        self._count = entries
        self._environment = dict(environment or {})
        self._module = module
        self._has_wires = has_wires
        self._stack = contextlib.AsyncExitStack()
        self._started = 0
        self.texts: dict[str, str] = {}
        self.backends: dict[str, str] = {}
        self.entries: dict[str, Entry] = {}
        self.wires: dict[str, Wire] = {}

    async def __aenter__(self) -> Cluster:
        async with contextlib.AsyncExitStack() as stack:
            self._stack = stack
            self.processes = await stack.enter_async_context(
                Processes(logs=self._folder)
            )
            self.session = await stack.enter_async_context(open_session())
            await self._start_standins()
            names = [self.next_name() for _ in range(self._count)]
            self._seeds = own_network().give_ports(self._count)
            async with asyncio.TaskGroup() as group:
                for name, port in zip(names, self._seeds, strict=True):
                    group.create_task(self.start_entry(name, peer_port=port))
            for section, text in self.texts.items():
                await self.publish(section, text)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._stack.aclose()

    @property
    def platform_url(self) -> str:
        """Give the platform's base URL."""
        return f"http://{own_host()}:{self.platform_port}"

    def next_name(self) -> str:
        """Return a name that no entry had."""
        self._started += 1
        return f"e{self._started}"

    async def start_entry(
        self,
        name: str,
        *,
        peer_port: int | None = None,
        platform_port: int | None = None,
    ) -> Entry:
        """Start an entry in the next failure domain."""
        ports = own_network().give_ports(2)
        domain = DOMAINS[(int(name.removeprefix("e")) - 1) % len(DOMAINS)]
        known = [entry.peer_port for entry in self.entries.values()]
        peer = peer_port or ports[1]
        if self._has_wires:
            wire = Wire(port=self.platform_port)
            self.wires[name] = await self._stack.enter_async_context(wire)
            platform_port = wire.port
        process = await self.processes.start_entry(
            name,
            port=ports[0],
            peer_port=peer,
            platform_port=platform_port or self.platform_port,
            peers=known[:SEEDS] or self._seeds[:SEEDS],
            failure_domain=domain,
            environment=self._environment,
            module=self._module,
        )
        entry = Entry(name=name, port=ports[0], peer_port=peer, process=process)
        self.entries[name] = entry
        return entry

    async def publish(self, section: str, text: str) -> int:
        """Publish a text, wait until it is in force everywhere."""
        entries = list(self.entries.values())
        generation = await publish(self.session, entries[0].port, section, text)
        ports = [entry.port for entry in entries]
        await wait_in_force(self.session, ports, generation)
        self.texts[section] = text
        return generation

    async def wait_ready(self, entry: Entry) -> None:
        """Wait until an entry serves."""
        async with asyncio.timeout(READY_S):
            while True:
                if await self._read_status(f"{entry.url}/healthz") == 200:
                    return
                await asyncio.sleep(STEP_S)

    async def set_log_faults(self, **faults: Any) -> None:
        """Replace the faults of the log."""
        await self.put(f"{self.platform_url}/control/log/faults", faults)

    async def slow_backends(self, *, speed: float, delay_ms: float) -> None:
        """Slow engines by a factor and delay plain calls, so that work is in flight."""
        for name, address in self.backends.items():
            is_engine = name.startswith(("content", "bulletins"))
            faults = {"speed": speed} if is_engine else {"delay_ms": delay_ms}
            await self.put(f"http://{address}/control/faults", faults)

    async def put(self, url: str, body: object) -> None:
        """Put something at a stand-in's control page."""
        async with self.session.put(url, json=body) as response:
            if response.status != 200:
                raise UnavailableError(
                    f"{url} answered {response.status}", remedy="ask it by hand"
                )

    async def dump(self, entry: Entry, path: str = "/state") -> Any:
        """Return a dump of an entry."""
        async with self.session.get(entry.url + path, headers=HEADERS) as response:
            return await response.json(content_type=None)

    async def wait_settled(self, limit_s: float) -> dict[str, int]:
        """Wait until no bill is open; return those that are, by entry."""
        deadline = asyncio.get_running_loop().time() + limit_s
        while True:
            left = {}
            for name, entry in self.entries.items():
                ledger = (await self.dump(entry))["ledger"]
                left[name] = ledger["unsettled"] + ledger["copies"]
            open_ = {name: count for name, count in left.items() if count}
            if not open_ or asyncio.get_running_loop().time() > deadline:
                return open_
            await asyncio.sleep(STEP_S)

    async def read_bills(self) -> list[BillRecord]:
        """Read the stream of bills."""
        log = LogClient(session=self.session, url=self.platform_url)
        bills: list[BillRecord] = []
        after = 0
        while True:
            try:
                page = await log.read(Stream.BILLS, after=after, limit=PAGE, wait_s=0.0)
            except LogError as error:
                raise UnavailableError(
                    f"the bills can't be read: {error}", remedy="clear the log's faults"
                ) from error
            if not page.records:
                return bills
            bills += [
                msgspec.json.decode(record.body, type=BillRecord)
                for record in page.records
            ]
            after = page.records[-1].offset

    async def _start_standins(self) -> None:
        self.platform_port = own_network().give_port()
        paths = []
        for section in SECTIONS:
            text = self._move(read_example(section))
            self.texts[section] = text
            path = self._folder / f"{section}.toml"
            path.write_text(text)
            paths.append(path)
        await self.processes.start_standins(paths, port=self.platform_port)

    def _move(self, text: str) -> str:
        """Return a text with its backend servers at free ports."""
        backends = parse_section(text).backends
        ports = own_network().give_ports(len(backends))
        for (name, backend), port in zip(backends.items(), ports, strict=True):
            address = f"{own_host()}:{port}"
            text = text.replace(f'"{backend.address}"', f'"{address}"')
            self.backends[name] = address
        return text

    async def _read_status(self, url: str) -> int:
        try:
            async with self.session.get(url) as response:
                await response.read()
                return response.status
        except aiohttp.ClientError:
            return 0


def read_example(section: str) -> str:
    """Return the text of a packaged example."""
    files = importlib.resources.files("baobabthread")
    return files.joinpath(f"examples/{section}.toml").read_text(encoding="utf-8")


def open_session() -> aiohttp.ClientSession:
    """Return the session of whoever watches the cluster."""
    timeout = aiohttp.ClientTimeout(total=30.0)
    connector = aiohttp.TCPConnector(limit=0)
    return aiohttp.ClientSession(timeout=timeout, connector=connector)
