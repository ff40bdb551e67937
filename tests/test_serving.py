"""Connections of listeners, and which of them go when there are too many."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest
from aiohttp import web

from baobabthread.serving import groups
from baobabthread.serving.connections import BoundedConnection
from baobabthread.serving.groups import ConnectionGroup, ConnectionMemory
from baobabthread.serving.listeners import Listener
from baobabthread.serving.shares import (
    INSTANCE_LISTENERS,
    SOCKET_FRACTIONS,
    ListenerName,
    derive_connections,
    derive_memory,
)
from baobabthread.standins.loopback import own_network


class FakeConnection:
    """A connection that records what becomes of it."""

    def __init__(self, group: ConnectionGroup, name: str) -> None:
        self._group = group
        self.name = name
        self.held_bytes = 0
        self.idle_since = 0.0
        self.head_began_at: float | None = None
        self.awaits_request = True
        self.unsent_bytes = 0
        self.is_dropped = False
        self.ahead_bytes = 0
        """Bytes of requests that were sent ahead."""

    def drop(self) -> None:
        """Close it."""
        self.is_dropped = True
        self._group.remove(self)

    def drop_ahead(self) -> None:
        """Give up what was sent ahead."""
        ahead_bytes, self.ahead_bytes = self.ahead_bytes, 0
        self._group.memory.resize(self, self.held_bytes - ahead_bytes)


def run(case: Callable[[], None]) -> None:
    """Run a test case in an event loop."""

    async def run_case() -> None:
        case()

    asyncio.run(run_case())


def make_group(limit: int = 100, *, memory_bytes: int = 10_000) -> ConnectionGroup:
    memory = ConnectionMemory(limit_bytes=memory_bytes)
    return ConnectionGroup(name="callers", max_connections=limit, memory=memory)


def add(group: ConnectionGroup, name: str, *, is_busy: bool = False) -> FakeConnection:
    connection = FakeConnection(group, name)
    group.add(connection)
    if is_busy:
        group.mark_busy(connection)
    return connection


def test_close_the_longest_idle_first() -> None:
    """New connections were refused for the sake of old ones that did nothing."""

    def case() -> None:
        group = make_group(3)
        busy = add(group, "busy", is_busy=True)
        served = add(group, "served", is_busy=True)
        silent = add(group, "silent")
        group.mark_idle(served)
        assert group.is_full
        assert group.evict_one()
        assert (silent.is_dropped, served.is_dropped) == (True, False)
        assert group.evict_one()
        assert served.is_dropped
        assert not group.evict_one()
        assert not busy.is_dropped
        assert len(group.connections) == 1

    run(case)


async def answer(request: web.BaseRequest) -> web.StreamResponse:
    """Answer any request."""
    return web.Response()


def test_accept_a_connection_for_one_that_is_closed() -> None:
    """Each connection that was accepted at the limit cost two others."""

    async def case() -> None:
        network = own_network()
        address = f"{network.give_host(1)}:{network.give_port()}"
        group = make_group(2)
        server = web.Server(answer)
        listener = Listener(
            address=address,
            group=group,
            make_protocol=lambda: BoundedConnection(server, group=group),
        )
        host, _, port = address.rpartition(":")
        readers = []
        for _ in range(5):
            readers.append(await asyncio.open_connection(host, int(port)))
            await asyncio.sleep(0.02)
            assert len(group.connections) == min(2, len(readers))
        listener.close()
        for _, writer in readers:
            writer.transport.abort()
        await asyncio.sleep(0.02)
        assert not group.connections

    asyncio.run(case())


def test_keep_a_response_that_is_not_taken_yet_if_possible() -> None:
    def case() -> None:
        group = make_group(2)
        reading, silent = add(group, "reading"), add(group, "silent")
        reading.unsent_bytes = 10
        assert group.evict_one()
        assert (reading.is_dropped, silent.is_dropped) == (False, True)
        assert group.evict_one()
        assert reading.is_dropped

    run(case)


def test_close_no_idle_connection_whose_client_still_reads() -> None:
    """A response on a slow link takes longer than connections may be idle."""

    def case() -> None:
        group = make_group()
        reading, stuck = add(group, "reading"), add(group, "stuck")
        reading.unsent_bytes = stuck.unsent_bytes = 1000
        for _ in range(5):
            for connection in (reading, stuck):
                connection.idle_since -= 1000.0
            group.close_overdue()
            assert not reading.is_dropped
            reading.unsent_bytes -= 200
        assert stuck.is_dropped
        reading.idle_since -= 1000.0
        group.close_overdue()
        assert reading.is_dropped

    run(case)


def test_cut_off_clients_that_take_nothing_of_a_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Responses that are never read held their connections, and their requests."""
    monkeypatch.setattr(groups, "STALL_TIMEOUT_S", 0.2)

    async def case() -> None:
        group = make_group()
        reading, stuck, working = (
            add(group, name, is_busy=True) for name in ("reading", "stuck", "working")
        )
        reading.unsent_bytes = stuck.unsent_bytes = 10
        for left in range(9, -1, -1):
            group.close_overdue()
            await asyncio.sleep(0.05)
            reading.unsent_bytes = left
        group.close_overdue()
        dropped = [each.is_dropped for each in (reading, stuck, working)]
        assert dropped == [False, True, False]

    asyncio.run(case())


def test_begin_to_count_with_each_response(monkeypatch: pytest.MonkeyPatch) -> None:
    """The bytes of two responses are as many by chance."""
    monkeypatch.setattr(groups, "STALL_TIMEOUT_S", 0.2)

    async def case() -> None:
        group = make_group()
        connection = add(group, "reading", is_busy=True)
        for _ in range(4):
            connection.unsent_bytes = 10
            group.close_overdue()
            await asyncio.sleep(0.1)
            connection.unsent_bytes = 0
            group.mark_idle(connection)
            group.mark_busy(connection)
        assert not connection.is_dropped

    asyncio.run(case())


def test_wait_for_no_client_that_takes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """One client that never reads would hold up the end of the process."""
    monkeypatch.setattr(groups, "STALL_TIMEOUT_S", 0.2)

    async def case() -> None:
        group = make_group()
        reading, stuck = add(group, "reading"), add(group, "stuck")
        reading.unsent_bytes = stuck.unsent_bytes = 10
        waiting = asyncio.ensure_future(group.wait_sent(30.0))
        for left in range(9, -1, -1):
            await asyncio.sleep(0.05)
            assert not waiting.done()
            reading.unsent_bytes = left
        await asyncio.wait_for(waiting, 5.0)

    asyncio.run(case())


def test_take_memory_from_connections_without_a_whole_request_first() -> None:
    """Nothing counted what all connections hold before their requests are whole."""

    def case() -> None:
        group = make_group()
        memory = group.memory
        busy = add(group, "busy", is_busy=True)
        small, large = add(group, "small"), add(group, "large")
        memory.resize(busy, 5_000)
        memory.resize(small, 1_000)
        memory.resize(large, 4_000)
        assert not large.is_dropped
        memory.resize(small, 2_000)
        assert (large.is_dropped, small.is_dropped) == (True, False)
        assert memory.held_bytes == 7_000

    run(case)


def test_take_requests_sent_ahead_before_unread_responses() -> None:
    """A request that is processed is kept, whatever the others hold."""

    def case() -> None:
        group = make_group()
        memory = group.memory
        ahead = add(group, "ahead", is_busy=True)
        ahead.ahead_bytes = 3_000
        memory.resize(ahead, 6_000)
        unread = add(group, "unread", is_busy=True)
        unread.unsent_bytes = 4_000
        memory.resize(unread, 4_100)
        assert not ahead.ahead_bytes
        assert not unread.is_dropped
        assert memory.held_bytes == 7_100

    run(case)


def test_close_nothing_that_frees_no_memory() -> None:
    """Requests in work filled the memory, and all idle connections were closed."""

    def case() -> None:
        group = make_group()
        idle = add(group, "idle")
        slow = add(group, "slow", is_busy=True)
        slow.unsent_bytes = 100
        unread = add(group, "unread", is_busy=True)
        unread.unsent_bytes = 20_000
        group.memory.resize(unread, 20_100)
        assert unread.is_dropped
        group.memory.resize(slow, 30_000)
        assert not idle.is_dropped
        assert not slow.is_dropped

    run(case)


def test_refuse_requests_when_nothing_can_be_closed() -> None:
    def case() -> None:
        group = make_group()
        busy = add(group, "busy", is_busy=True)
        group.memory.resize(busy, 30_000)
        assert group.memory.is_full
        assert not busy.is_dropped
        group.remove(busy)
        assert not group.memory.is_full

    run(case)


@pytest.mark.parametrize("descriptors", [300, 4_100, 8_192])
def test_leave_descriptors_for_files_and_outgoing_connections(descriptors: int) -> None:
    """Descriptors that clients take are missing for servers, the store and peers."""
    taken = sum(derive_connections(descriptors, name) for name in INSTANCE_LISTENERS)
    taken += derive_connections(descriptors, ListenerName.RELAY)
    assert taken <= 0.85 * (descriptors - 200)
    assert set(SOCKET_FRACTIONS) == set(ListenerName)
    assert derive_memory(300) == 75_000_000
