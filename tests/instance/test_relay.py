"""Tests of the connections that are carried for partitioned peers."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Callable

import pytest

from baobabthread.instance.servers import relay as module
from baobabthread.instance.servers.connections import (
    NotSentError,
    Obstacle,
    WithheldError,
)
from baobabthread.instance.servers.relay import (
    RelayServer,
    RelayStatus,
    decode_connect,
    decode_status,
    encode_connect,
    encode_status,
)
from baobabthread.standins.loopback import own_network

SERVER = "i-1"


class Route:
    """A relay, and the listening socket of the server behind it."""

    def __init__(self, relay: RelayServer, address: tuple[str, int]) -> None:
        self.relay = relay
        self.address = address
        self.obstacle: Obstacle | None = None
        """Why the server must get nothing new."""
        self.listener = socket.socket()
        network = own_network()
        self.listener.bind((network.give_host(1), network.give_port()))
        self.listener.listen()
        self.listener.setblocking(False)
        self.server_address: tuple[str, int] = self.listener.getsockname()

    async def open(self) -> tuple[socket.socket, socket.socket]:
        """Return the peer's and the server's end of a carried connection."""
        loop = asyncio.get_running_loop()
        near = await self.ask(encode_connect(SERVER))
        far, _ = await loop.sock_accept(self.listener)
        assert await self.read_status(near) is RelayStatus.CONNECTED
        return near, far

    async def ask(self, data: bytes) -> socket.socket:
        near = socket.socket()
        near.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(near, self.address)
        await loop.sock_sendall(near, data)
        return near

    async def read_status(self, near: socket.socket) -> RelayStatus | None:
        loop = asyncio.get_running_loop()
        data = await asyncio.wait_for(loop.sock_recv(near, 4096), 3.0)
        return decode_status(data.partition(b"\r\n\r\n")[0])


@contextlib.asynccontextmanager
async def open_route(
    *, is_member: Callable[[str], bool] = lambda host: True
) -> AsyncIterator[Route]:
    """Open a relay before one listed server."""
    loop = asyncio.get_running_loop()

    async def connect(
        name: str, make: Callable[[], asyncio.Protocol]
    ) -> asyncio.Transport:
        if name != SERVER:
            raise KeyError(name)
        if route.obstacle is not None:
            raise WithheldError(route.obstacle)
        host, port = route.server_address
        try:
            transport, _ = await loop.create_connection(make, host, port)
        except OSError as error:
            is_refused = isinstance(error, ConnectionRefusedError)
            raise NotSentError("refused", is_refused=is_refused) from error
        return transport

    relay = RelayServer(is_member=is_member, open_connection=connect)
    network = own_network()
    address = (network.give_host(1), network.give_port())
    server = await loop.create_server(relay.make_protocol, *address)
    route = Route(relay, address)
    try:
        yield route
    finally:
        relay.close()
        server.close()
        route.listener.close()


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


async def wait_until(condition: Callable[[], bool]) -> None:
    for _ in range(200):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("condition was not met within 2 s")


def test_carry_bytes_both_ways_and_end_as_the_sender_does() -> None:
    """A response without a length ends with its connection."""

    async def case() -> None:
        loop = asyncio.get_running_loop()
        async with open_route() as route:
            near, far = await route.open()
            await loop.sock_sendall(near, b"request")
            assert await loop.sock_recv(far, 100) == b"request"
            await loop.sock_sendall(far, b"response")
            far.close()
            assert await loop.sock_recv(near, 100) == b"response"
            assert await loop.sock_recv(near, 100) == b""
            near.close()
            await wait_until(lambda: not route.relay.open_tunnels)

    asyncio.run(case())


@pytest.mark.parametrize("resetting", ["server", "peer"])
def test_pass_a_reset_on_as_a_reset(resetting: str) -> None:
    """Taken for an end, a reset would make a truncated response look complete."""

    async def case() -> None:
        loop = asyncio.get_running_loop()
        async with open_route() as route:
            near, far = await route.open()
            first, second = (far, near) if resetting == "server" else (near, far)
            reset(first)
            with pytest.raises(ConnectionResetError):
                await asyncio.wait_for(loop.sock_recv(second, 100), 2.0)
            second.close()
            assert not route.relay.open_tunnels

    asyncio.run(case())


@pytest.mark.parametrize(
    ("obstacle", "status"),
    [
        (Obstacle.GONE, RelayStatus.FORBIDDEN),
        (Obstacle.LEAVING, RelayStatus.LEAVING),
        (Obstacle.RESTING, RelayStatus.RESTING),
    ],
)
def test_open_no_connection_to_a_server_that_must_get_nothing(
    obstacle: Obstacle, status: RelayStatus
) -> None:
    """A server told this instance that it leaves or wants rest; a peer asks for it."""

    async def case() -> None:
        async with open_route() as route:
            route.obstacle = obstacle
            near = await route.ask(encode_connect(SERVER))
            assert await route.read_status(near) is status
            assert not route.relay.find_hosts(SERVER)
            near.close()

    asyncio.run(case())


def test_tell_which_peers_have_connections_to_a_server() -> None:
    """What a server says to a relay binds the peers that it carries connections of."""

    async def case() -> None:
        async with open_route() as route:
            near, far = await route.open()
            assert route.relay.find_hosts(SERVER) == {near.getsockname()[0]}
            assert not route.relay.find_hosts("i-2")
            near.close()
            far.close()
            await wait_until(lambda: not route.relay.find_hosts(SERVER))

    asyncio.run(case())


def test_block_a_sender_whose_receiver_does_not_read() -> None:
    """Buffered without bound, one slow caller would use up the peer's memory."""

    async def case() -> None:
        loop = asyncio.get_running_loop()
        async with open_route() as route:
            near, far = await route.open()
            sent = 0
            with contextlib.suppress(TimeoutError):
                while sent < 100_000_000:
                    await asyncio.wait_for(loop.sock_sendall(far, bytes(100_000)), 0.5)
                    sent += 100_000
            assert sent < 100_000_000
            received = 0
            while received < sent:
                received += len(await loop.sock_recv(near, 1_000_000))
            near.close()
            far.close()

    asyncio.run(case())


def test_deny_a_sender_that_is_no_member() -> None:
    async def case() -> None:
        async with open_route(is_member=lambda host: False) as route:
            near = await route.ask(encode_connect(SERVER))
            with contextlib.suppress(ConnectionResetError):
                assert await route.read_status(near) is RelayStatus.FORBIDDEN
            near.close()
            assert not route.relay.open_tunnels

    asyncio.run(case())


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (encode_connect("i-other"), RelayStatus.FORBIDDEN),
        (b"GET / HTTP/1.1\r\n\r\n", RelayStatus.FORBIDDEN),
        (b"\xff\xfe\r\n\r\n", RelayStatus.FORBIDDEN),
    ],
)
def test_carry_to_listed_servers_only(
    request_bytes: bytes, status: RelayStatus
) -> None:
    async def case() -> None:
        async with open_route() as route:
            near = await route.ask(request_bytes)
            assert await route.read_status(near) is status
            near.close()
            await wait_until(lambda: not route.relay.open_tunnels)

    asyncio.run(case())


@pytest.mark.parametrize("data", [b"CONNECT", bytes(1000)])
def test_drop_a_sender_that_never_completes_its_request(
    data: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each open connection takes descriptors from the instance's own callers."""
    monkeypatch.setattr(module, "HEAD_TIMEOUT_S", 0.2)

    async def case() -> None:
        async with open_route() as route:
            near = await route.ask(data)
            await wait_until(lambda: not route.relay.open_tunnels)
            near.close()

    asyncio.run(case())


def test_refuse_when_there_is_no_room(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_TUNNELS", 1)

    async def case() -> None:
        async with open_route() as route:
            near, far = await route.open()
            second = await route.ask(encode_connect(SERVER))
            assert await route.read_status(second) is RelayStatus.NO_ROOM
            for each in (near, far, second):
                each.close()

    asyncio.run(case())


def test_carry_no_new_connections_while_stopping() -> None:
    """What a stopping instance carries completes; new requests go elsewhere."""

    async def case() -> None:
        loop = asyncio.get_running_loop()
        async with open_route() as route:
            near, far = await route.open()
            route.relay.is_leaving = True
            second = await route.ask(encode_connect(SERVER))
            assert await route.read_status(second) is RelayStatus.NO_ROOM
            await loop.sock_sendall(far, b"still carried")
            assert await loop.sock_recv(near, 100) == b"still carried"
            waiting = asyncio.ensure_future(route.relay.wait_idle(2.0))
            await asyncio.sleep(0.1)
            assert not waiting.done()
            near.close()
            far.close()
            await asyncio.wait_for(waiting, 1.0)
            second.close()

    asyncio.run(case())


def test_say_that_the_server_refuses() -> None:
    async def case() -> None:
        async with open_route() as route:
            route.listener.close()
            near = await route.ask(encode_connect(SERVER))
            assert await route.read_status(near) is RelayStatus.REFUSED
            near.close()

    asyncio.run(case())


def test_drop_tunnels_that_are_not_used(monkeypatch: pytest.MonkeyPatch) -> None:
    """A peer that lost power never closes its connections."""
    monkeypatch.setattr(module, "IDLE_TIMEOUT_S", 0.1)
    monkeypatch.setattr(module, "SWEEP_INTERVAL_S", 0.05)

    async def case() -> None:
        async with open_route() as route:
            near, far = await route.open()
            sweeping = asyncio.ensure_future(route.relay.run())
            await wait_until(lambda: not route.relay.open_tunnels)
            sweeping.cancel()
            near.close()
            far.close()

    asyncio.run(case())


def test_decode_what_was_encoded() -> None:
    assert decode_connect(encode_connect(SERVER).strip()) == SERVER
    for status in RelayStatus:
        assert decode_status(encode_status(status).strip()) is status
    assert decode_status(b"HTTP/1.1 999 x") is None
    assert decode_status(b"") is None
