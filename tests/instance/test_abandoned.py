"""What is given to a request is given back, at whatever step its caller leaves."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import msgspec
import pytest

from baobabthread.core.configuration.configuration import Priority
from baobabthread.instance.servers.connections import Connection
from baobabthread.instance.servers.paths import Paths
from baobabthread.instance.servers.places import PlaceCoordinator
from baobabthread.routing.configuration import BackendRecord
from baobabthread.routing.regions import Regions
from baobabthread.standins.loopback import own_network
from tests.instance.test_limits import SERVER, Peers, acquire, state

STEPS = range(12)
"""Turns of the event loop after which a caller leaves."""


def run(case: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(case, 10))


async def leave_after(task: asyncio.Future[Any], step: int) -> bool:
    """Cancel a task after some turns of the loop; return whether it came to nothing."""
    for _ in range(step):
        await asyncio.sleep(0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await asyncio.sleep(0.02)
    return task.cancelled()


class PlacePeers:
    """Two coordinators of places that exchange messages at once."""

    def __init__(self) -> None:
        self.coordinators = {name: self._make(name) for name in ("a", "b")}
        for coordinator in self.coordinators.values():
            coordinator.set_members(["a", "b"])
            coordinator.update_senders(["a", "b"])

    def _make(self, name: str) -> PlaceCoordinator:
        return PlaceCoordinator(
            me=name,
            incarnation=name,
            send=lambda to, message: self._deliver(name, to, message),
        )

    def _deliver(self, sender: str, to: str, message: msgspec.Struct) -> None:
        handle = self.coordinators[to].handle
        asyncio.get_running_loop().call_soon(handle, sender, message)

    def split(self) -> tuple[PlaceCoordinator, PlaceCoordinator]:
        """Return the server's owner and another instance."""
        owner = next(iter(self.coordinators.values())).find_owner(SERVER)
        (other,) = [name for name in self.coordinators if name != owner]
        return self.coordinators[owner], self.coordinators[other]


@pytest.mark.parametrize("step", STEPS)
def test_free_a_grant_whose_request_is_abandoned(step: int) -> None:
    """The owner counted the request as under way until its time limit."""

    async def case() -> None:
        peers = Peers("a", "b")
        owner, other = peers.split()
        state(other, 100.0, 0.0)
        await asyncio.sleep(0.01)
        if await leave_after(asyncio.ensure_future(acquire(other)), step):
            assert not owner._issuer._granted

    run(case())


@pytest.mark.parametrize("step", STEPS)
def test_free_a_place_whose_request_is_abandoned(step: int) -> None:
    """The owner kept the place until it asked for it again."""

    async def case() -> None:
        peers = PlacePeers()
        owner, other = peers.split()
        work = other.acquire(
            SERVER,
            service="plain",
            capacity=8,
            priority=Priority.URGENT,
            lasts_s=30.0,
        )
        if await leave_after(asyncio.ensure_future(work), step):
            assert not owner._find_ledger(SERVER).held

    run(case())


@pytest.mark.parametrize("step", STEPS)
def test_close_a_connection_whose_request_is_abandoned(step: int) -> None:
    """A connection established just as its caller left stayed open for good."""

    async def case() -> None:
        network = own_network()
        host, port = network.give_host(1), network.give_port()
        record = BackendRecord(
            id="p1",
            service="plain",
            address=f"{host}:{port}",
            failure_domain="a",
            version="v1",
            capacity=8,
        )
        paths = Paths(
            me="i1",
            ip=host,
            failure_domain="a",
            regions=Regions(by_domain={}),
            find_backend=lambda name: record,
            find_obstacle=lambda name: None,
        )
        established = asyncio.Event()

        class WatchedConnection(Connection):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                super().connection_made(transport)
                established.set()

        connection = WatchedConnection(on_bytes=lambda: None)
        loop = asyncio.get_running_loop()
        server = await loop.create_server(asyncio.Protocol, host, port)
        task = asyncio.ensure_future(paths.open(record, lambda: connection))
        async with server:
            await established.wait()
            if await leave_after(task, step):
                assert not connection.is_connected()
            connection.abort()

    run(case())
