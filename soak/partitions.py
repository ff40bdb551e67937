"""Paths of single instances to backend servers, which partitions interrupt."""

from __future__ import annotations

import asyncio
import enum
import socket
from collections.abc import Callable
from typing import Any

import msgspec

from baobabthread.instance.servers.paths import Paths
from baobabthread.routing.configuration import BackendRecord
from baobabthread.standins.loopback import LoopbackNetwork
from soak.proxies import Mode, Proxy

PARTITION = "partition"
"""Begins the names of faults that cut instances off from all backend servers."""
FILLERS = 3
"""Connections that fill the accept queue of a socket with the smallest backlog."""
PATH_HOSTS = 100
"""Added to the last byte of an instance's address, gives the host of its paths."""


def find_path_host(ip: str) -> str:
    """Return the host at which the paths of the instance at an address listen."""
    network, _, number = ip.rpartition(".")
    return f"{network}.{int(number) + PATH_HOSTS}"


class OwnPaths(Paths):
    """Connect to the host of the instance's paths, at the port of the server.

    Records name one address of a server to all instances, as these learn them from
    each other.
    """

    async def _connect(
        self, record: BackendRecord, make: Callable[[], Any], **more: Any
    ) -> Any:
        port = record.address.rpartition(":")[2]
        address = f"{find_path_host(self._ip)}:{port}"
        record = msgspec.structs.replace(record, address=address)
        return await super()._connect(record, make, **more)


class Cut(enum.StrEnum):
    """Name what a partition does to the connections of a path."""

    REFUSED = "refused"
    """Open connections live on, and new ones are refused."""
    RESET = "reset"
    """Open connections are reset, and new ones are refused."""
    HANGING = "hanging"
    """Open connections are silent, and new ones are never established."""


class BackendPath(Proxy):
    """Path of the instance at one address to one backend server."""

    __slots__ = ("_blocked", "_fillers", "_host", "_port", "cut")

    def __init__(self, *, ip: str, target: str, network: LoopbackNetwork) -> None:
        super().__init__(target=target, network=network)
        self.cut: Cut | None = None
        self._host = find_path_host(ip)
        self._port = int(target.rpartition(":")[2])
        self._blocked: socket.socket | None = None
        self._fillers: list[socket.socket] = []

    async def start(self) -> BackendPath:
        """Listen at the port of the server."""
        self._server = await asyncio.start_server(self._serve, self._host, self._port)
        self.address = f"{self._host}:{self._port}"
        return self

    def interrupt(self, cut: Cut) -> None:
        """Interrupt the path until it is healed."""
        self.cut = cut
        if self._server is not None:
            self._server.close()
            self._server = None
        if cut is Cut.RESET:
            # Also resets what was accepted before and is not served yet.
            self.set_mode(Mode.RESET)
        if cut is Cut.HANGING:
            self.set_mode(Mode.SILENT)
            self._block()

    async def heal(self) -> None:
        """Carry new connections again."""
        if self.cut is None:
            return
        self.cut = None
        self._unblock()
        self.set_mode(Mode.PASS)
        self._server = await asyncio.start_server(self._serve, self._host, self._port)

    def close(self) -> None:
        """Stop listening and end what is open."""
        self._unblock()
        super().close()

    def _block(self) -> None:
        """Drop the opening packets of new connections, as a full accept queue does."""
        self._blocked = socket.socket()
        self._blocked.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._blocked.bind((self._host, self._port))
        self._blocked.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self._host, self._port))
            self._fillers.append(filler)

    def _unblock(self) -> None:
        if self._blocked is not None:
            self._blocked.close()
            self._blocked = None
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
