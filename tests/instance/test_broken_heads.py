"""Responses whose server stops at any byte and closes."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from baobabthread.instance.servers.connections import (
    ConnectionPool,
    DirectConnector,
    IncompleteResponseError,
)
from baobabthread.standins.loopback import own_network

REQUEST = b"GET / HTTP/1.1\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
SIGNATURE = b"X-Response-Signature: s1\r\n"
LIMIT_S = 2.0
RESPONSES = {
    "length": OK + SIGNATURE + b"Content-Length: 12\r\n\r\nwhole answer",
    "length first": OK + b"Content-Length: 12\r\n" + SIGNATURE + b"\r\nwhole answer",
    "no body": OK + SIGNATURE + b"Content-Length: 0\r\n\r\n",
    "chunks": OK
    + SIGNATURE
    + b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n7\r\n answer\r\n0\r\n\r\n",
    "chunks first": OK
    + b"Transfer-Encoding: chunked\r\n"
    + SIGNATURE
    + b"\r\n5\r\nwhole\r\n0\r\n\r\n",
    "informational": b"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n"
    + OK
    + SIGNATURE
    + b"Content-Length: 12\r\n\r\nwhole answer",
    "no length": OK + SIGNATURE + b"\r\n",
}
"""Whole responses; that without a length ends its head only."""


class BrokenServer:
    """Server that answers a first request and stops within the second response."""

    def __init__(self) -> None:
        self.response = b""
        self.is_reset = False
        self.address = ""

    async def start(self) -> asyncio.Server:
        """Listen on a free port."""
        host, port = own_network().give_host(1), own_network().give_port()
        self.address = f"{host}:{port}"
        return await asyncio.start_server(self._serve, host, port)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(RESPONSES["length"])
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.response)
            await writer.drain()
            if self.is_reset:
                writer.transport.abort()
        writer.close()


@contextlib.asynccontextmanager
async def open_broken_server() -> AsyncIterator[BrokenServer]:
    """Start a server that breaks off its responses."""
    broken = BrokenServer()
    server = await broken.start()
    try:
        yield broken
    finally:
        server.close()


async def ask(pool: ConnectionPool) -> bytes:
    """Send one request and return the whole body of its response."""
    connection = await pool.send(REQUEST, b"")
    response = await pool.receive(connection)
    body = await response.read(1000)
    response.finish()
    return body


@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("name", RESPONSES)
def test_take_no_response_that_stops_early_for_a_whole_one(
    name: str, is_reset: bool
) -> None:
    """A server stops at a byte of its head or framing and closes its connection."""

    async def case() -> None:
        async with open_broken_server() as broken:
            broken.is_reset = is_reset
            for end in range(len(RESPONSES[name])):
                broken.response = RESPONSES[name][:end]
                connector = DirectConnector(address=broken.address, connect_s=1.0)
                pool = ConnectionPool(connector=connector)
                assert await ask(pool) == b"whole answer"
                with pytest.raises(IncompleteResponseError):
                    async with asyncio.timeout(LIMIT_S):
                        await ask(pool)
                pool.close()

    asyncio.run(case())
