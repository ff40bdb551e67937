"""Clients that ignore the limits: what they send, and crowds of them."""

from __future__ import annotations

import asyncio
import contextlib
import random
import select
import socket
import struct
from collections.abc import AsyncIterator, Callable, Iterator

from baobabthread.core.registry import Registry

FIELD_BYTES = 60_000
PIECE_BYTES = 16_384
EMPTY_LINES = b"\r\n" * 4096
REOPEN_S = 0.05
CLOSED_POLL_S = 0.3
CONNECT_TIMEOUT_S = 1.0
LINGER_RESET = struct.pack("ii", 1, 0)
RECEIVE_BUFFER_BYTES = 4096

Script = Callable[[random.Random, bytes], Iterator[bytes]]
"""Return what a client sends, given the complete head of an ordinary request."""
SCRIPTS: Registry[Script] = Registry(what="hostile client")


def _begin(head: bytes) -> bytes:
    """Return the head without the empty line that ends it."""
    return head.removesuffix(b"\r\n")


@SCRIPTS.register("nothing")
def send_nothing(rng: random.Random, head: bytes) -> Iterator[bytes]:
    """Send nothing."""
    return iter(())


@SCRIPTS.register("large head")
def send_large_head(rng: random.Random, head: bytes) -> Iterator[bytes]:
    """Send a head of 120 large fields that does not end."""
    yield _begin(head)
    for number in range(120):
        yield b"X-Large-%d: " % number + b"a" * FIELD_BYTES + b"\r\n"


@SCRIPTS.register("medium head")
def send_medium_head(rng: random.Random, head: bytes) -> Iterator[bytes]:
    """Send a head of three large fields that does not end."""
    yield _begin(head)
    for number in range(3):
        yield b"X-Large-%d: " % number + b"a" * FIELD_BYTES + b"\r\n"


@SCRIPTS.register("short fields")
def send_short_fields(rng: random.Random, head: bytes) -> Iterator[bytes]:
    """Send a head within the limit, of as many fields as it can hold."""
    yield _begin(head) + b"a:\r\n" * 3_800


@SCRIPTS.register("endless line")
def send_endless_line(rng: random.Random, head: bytes) -> Iterator[bytes]:
    """Send a request line without end."""
    yield b"GET /"
    while True:
        yield b"a" * PIECE_BYTES


@SCRIPTS.register("trickled head")
def send_trickled_head(rng: random.Random, head: bytes) -> Iterator[bytes]:
    """Send a head that does not end, a short field at a time."""
    yield _begin(head)
    while True:
        yield b"a: b\r\n"


@SCRIPTS.register("trickled body")
def send_trickled_body(rng: random.Random, head: bytes) -> Iterator[bytes]:
    """Send a body that does not end, a byte at a time."""
    yield _begin(head) + b"Content-Length: 9000\r\n\r\n"
    for _ in range(8_000):
        yield b"a"


@SCRIPTS.register("empty lines")
def send_empty_lines(rng: random.Random, head: bytes) -> Iterator[bytes]:
    """Send empty lines without end in place of a request."""
    while True:
        yield EMPTY_LINES


@SCRIPTS.register("chunk extension")
def send_chunk_extension(rng: random.Random, head: bytes) -> Iterator[bytes]:
    """Send a chunk whose extension does not end."""
    yield _begin(head) + b"Transfer-Encoding: chunked\r\n\r\n5;a="
    while True:
        yield b"b" * PIECE_BYTES


@SCRIPTS.register("short chunks")
def send_short_chunks(rng: random.Random, head: bytes) -> Iterator[bytes]:
    """Send chunks of one byte without end."""
    yield _begin(head) + b"Transfer-Encoding: chunked\r\n\r\n"
    while True:
        yield b"1\r\na\r\n" * 1000


@SCRIPTS.register("trailers")
def send_trailers(rng: random.Random, head: bytes) -> Iterator[bytes]:
    """Send trailers without end."""
    yield _begin(head) + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"
    while True:
        yield b"a: b\r\n" * 1000


@SCRIPTS.register("large body")
def send_large_body(rng: random.Random, head: bytes) -> Iterator[bytes]:
    """Send a body far over the limit, also after it is refused."""
    yield _begin(head) + b"Content-Length: 900000000\r\n\r\n"
    while True:
        yield b"a" * PIECE_BYTES


@SCRIPTS.register("unread requests")
def send_unread_requests(rng: random.Random, head: bytes) -> Iterator[bytes]:
    """Send requests with heads of 10 KB without end."""
    request = _begin(head) + b"X-Large: " + b"a" * 10_000 + b"\r\n\r\n"
    while True:
        yield request


@SCRIPTS.register("unread short requests")
def send_unread_short_requests(rng: random.Random, head: bytes) -> Iterator[bytes]:
    """Send small requests without end."""
    while True:
        yield head * 20


@SCRIPTS.register("one request")
def send_one_request(rng: random.Random, head: bytes) -> Iterator[bytes]:
    """Send one request and nothing after it."""
    yield head


@SCRIPTS.register("random bytes")
def send_random_bytes(rng: random.Random, head: bytes) -> Iterator[bytes]:
    """Send bytes that are no request."""
    while True:
        yield rng.randbytes(1000)


@SCRIPTS.register("connect")
def send_connect(rng: random.Random, head: bytes) -> Iterator[bytes]:
    """Ask for a tunnel and send on."""
    yield b"CONNECT a.example:1 HTTP/1.1\r\nHost: a.example:1\r\n\r\n"
    while True:
        yield b"a" * PIECE_BYTES


@SCRIPTS.register("upgrade")
def send_upgrade(rng: random.Random, head: bytes) -> Iterator[bytes]:
    """Ask for another protocol and send on."""
    yield _begin(head) + b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n"
    while True:
        yield b"a" * PIECE_BYTES


class HostileClient:
    """One client that sends a script again and again and reads nothing."""

    __slots__ = (
        "_address",
        "_head",
        "_keeps_s",
        "_pause_s",
        "_reopen_s",
        "_resets",
        "_rng",
        "_script",
    )

    def __init__(
        self,
        *,
        address: str,
        script: str,
        head: bytes,
        seed: int = 0,
        pause_s: float = 0.0,
        keeps_s: float | None = None,
        reopen_s: float = REOPEN_S,
        resets: bool = False,
    ) -> None:
        """Pause between pieces; keep a connection for `keeps_s`, None until closed."""
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._script = SCRIPTS.get(script)
        self._head = head
        self._rng = random.Random(seed)
        self._pause_s = pause_s
        self._keeps_s = keeps_s
        self._reopen_s = reopen_s
        self._resets = resets

    async def run(self) -> None:
        """Connect and send until cancelled."""
        while True:
            with contextlib.suppress(OSError, TimeoutError):
                await self._play_once()
            await asyncio.sleep(self._reopen_s)

    async def _play_once(self) -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as connection:
            connection.setblocking(False)
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            if self._resets:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.sock_connect(connection, self._address)
            async with asyncio.timeout(self._keeps_s):
                for piece in self._script(self._rng, self._head):
                    await loop.sock_sendall(connection, piece)
                    await asyncio.sleep(self._pause_s)
                await _wait_closed(connection)


async def _wait_closed(connection: socket.socket) -> None:
    """Wait until the other side has closed a connection, without reading from it."""
    poll = select.poll()
    poll.register(connection, select.POLLRDHUP)
    while not poll.poll(0):  # noqa: ASYNC110
        await asyncio.sleep(CLOSED_POLL_S)


@contextlib.asynccontextmanager
async def open_crowd(clients: list[HostileClient]) -> AsyncIterator[None]:
    """Let clients send while the block runs."""
    tasks = [asyncio.ensure_future(client.run()) for client in clients]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
