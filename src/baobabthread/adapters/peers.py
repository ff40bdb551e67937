"""Messages among entries: HTTP with JSON, in batches over kept connections."""

from __future__ import annotations

import asyncio
import hmac
import ssl
from collections import deque
from collections.abc import Awaitable, Callable

import aiohttp
import msgspec
from aiohttp import web

from baobabthread.adapters.codec import PeerCodec
from baobabthread.errors import UnavailableError
from baobabthread.logs import log_event

MESSAGES_PATH = "/peer/messages"
REQUESTS_PATH = "/peer/requests"
SEND_TIMEOUT_S = 1.0
MAX_QUEUED = 20_000
MAX_BATCH = 2_000
MAX_FRAME_BYTES = 64_000_000
IDLE_S = 15.0
"""How long a connection without messages is kept."""
FLUSH_STEP_S = 0.01

Deliver = Callable[[str, msgspec.Struct], list[msgspec.Struct]]
Fail = Callable[[str, msgspec.Struct], None]
Locate = Callable[[str], str | None]


class _Link:
    """Hold the connection to one peer and what waits to be sent on it."""

    __slots__ = ("queue", "task", "wake")

    def __init__(self) -> None:
        self.queue: deque[msgspec.Struct] = deque()
        self.wake = asyncio.Event()
        self.task: asyncio.Task[None] | None = None


class PeerOutbox:
    """Send messages to peers in order, over one kept connection to each.

    A connection is a WebSocket that carries JSON arrays: a request and response for
    each batch cost several times the CPU time of the batch itself.
    """

    __slots__ = (
        "_codec",
        "_deliver",
        "_fail",
        "_links",
        "_locate",
        "_me",
        "_scheme",
        "_secret",
        "_session",
        "bytes_received",
        "bytes_sent",
        "messages_sent",
    )

    def __init__(
        self,
        *,
        me: str,
        codec: PeerCodec,
        session: aiohttp.ClientSession,
        secret: str,
        scheme: str,
        locate: Locate,
        deliver: Deliver,
        fail: Fail,
    ) -> None:
        self._me = me
        self._codec = codec
        self._session = session
        self._secret = secret
        self._scheme = scheme
        self._locate = locate
        self._deliver = deliver
        self._fail = fail
        self._links: dict[str, _Link] = {}
        self.bytes_sent = 0
        self.bytes_received = 0
        self.messages_sent = 0

    @property
    def connections(self) -> int:
        """Count the kept connections."""
        return len(self._links)

    def send(self, to: str, message: msgspec.Struct) -> None:
        """Queue one message; all of one turn of the loop leave together."""
        link = self._links.get(to)
        if link is None:
            link = self._links[to] = _Link()
            link.task = asyncio.get_running_loop().create_task(self._run(to, link))
        # A peer that hangs would let its queue grow until memory is gone: beyond the
        # bound a message fails as if the peer had not answered, which callers handle.
        if len(link.queue) >= MAX_QUEUED:
            self._fail(to, message)
            return
        link.queue.append(message)
        link.wake.set()

    async def _run(self, to: str, link: _Link) -> None:
        """Connect, send what waits, and give up on the first failure."""
        try:
            socket = await self._connect(to)
            if socket is None:
                return
            async with socket:
                reader = asyncio.get_running_loop().create_task(self._read(to, socket))
                try:
                    await self._write(link, socket, reader)
                finally:
                    reader.cancel()
        except (aiohttp.ClientError, TimeoutError, OSError, RuntimeError):
            # Whether the last batch arrived is unknown; the protocols repeat what
            # must arrive and take repeats, so that reporting a failure is safe.
            return
        finally:
            self._end(to, link)

    async def _connect(self, to: str) -> aiohttp.ClientWebSocketResponse | None:
        address = self._locate(to)
        if address is None:
            return None
        async with asyncio.timeout(SEND_TIMEOUT_S):
            return await self._session.ws_connect(
                f"{self._scheme}://{address}{MESSAGES_PATH}",
                headers={"Authorization": f"Bearer {self._secret}"},
                max_msg_size=MAX_FRAME_BYTES,
            )

    async def _write(
        self,
        link: _Link,
        socket: aiohttp.ClientWebSocketResponse,
        reader: asyncio.Task[None],
    ) -> None:
        while not reader.done():
            link.wake.clear()
            if not link.queue:
                try:
                    async with asyncio.timeout(IDLE_S):
                        await link.wake.wait()
                except TimeoutError:
                    return
                continue
            size = min(len(link.queue), MAX_BATCH)
            batch = [link.queue[place] for place in range(size)]
            body = self._codec.encode(self._me, batch)
            # A peer that is paused takes no bytes; without the bound its messages
            # would neither leave nor fail for as long as it sleeps.
            async with asyncio.timeout(SEND_TIMEOUT_S):
                await socket.send_bytes(body)
            for _ in range(size):
                link.queue.popleft()
            self.bytes_sent += len(body)
            self.messages_sent += size

    async def _read(self, to: str, socket: aiohttp.ClientWebSocketResponse) -> None:
        """Take in what the peer answers, until it closes."""
        async for frame in socket:
            self.bytes_received += len(frame.data)
            sender, messages = self._codec.decode(frame.data)
            for message in messages:
                # What answers an answer has no reply of its own to travel in. Dropped,
                # it would be found missing only after a timeout.
                for answer in self._deliver(sender, message):
                    self.send(to, answer)
        link = self._links.get(to)
        if link is not None:
            link.wake.set()

    def _end(self, to: str, link: _Link) -> None:
        if self._links.get(to) is link:
            del self._links[to]
        for message in link.queue:
            self._fail(to, message)

    async def flush(self, timeout_s: float) -> None:
        """Wait until all queued messages are sent, at most so long."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while any(link.queue for link in self._links.values()):
            if loop.time() >= deadline:
                return
            await asyncio.sleep(FLUSH_STEP_S)

    async def close(self) -> None:
        """Stop sending."""
        tasks = [link.task for link in self._links.values() if link.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class PeerServer:
    """Receive batches and forwarded requests from peers."""

    __slots__ = ("_codec", "_deliver", "_me", "_secret", "_serve_forwarded", "_sockets")

    def __init__(
        self,
        *,
        me: str,
        codec: PeerCodec,
        secret: str,
        deliver: Deliver,
        serve_forwarded: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    ) -> None:
        self._me = me
        self._codec = codec
        self._secret = f"Bearer {secret}".encode()
        self._deliver = deliver
        self._serve_forwarded = serve_forwarded
        self._sockets: set[web.WebSocketResponse] = set()

    async def close(self) -> None:
        """Close what peers keep open; else the end of the process waits for it."""
        sockets = list(self._sockets)
        await asyncio.gather(*(s.close() for s in sockets), return_exceptions=True)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one HTTP request of a peer."""
        header = request.headers.get("Authorization", "")
        given = header.encode(errors="surrogateescape")
        if not hmac.compare_digest(given, self._secret):
            return web.Response(status=401, text="peer secret differs\n")
        if request.path == REQUESTS_PATH:
            return await self._serve_forwarded(request)
        if request.path != MESSAGES_PATH:
            return web.Response(status=404, text="no such path\n")
        return await self._exchange(request)

    async def _exchange(self, request: web.BaseRequest) -> web.StreamResponse:
        socket = web.WebSocketResponse(max_msg_size=MAX_FRAME_BYTES, compress=False)
        await socket.prepare(request)
        self._sockets.add(socket)
        try:
            await self._take_frames(socket)
        finally:
            self._sockets.discard(socket)
        return socket

    async def _take_frames(self, socket: web.WebSocketResponse) -> None:
        async for frame in socket:
            try:
                sender, messages = self._codec.decode(frame.data)
            except (msgspec.DecodeError, TypeError) as error:
                log_event("peer_batch_broken", level="warning", reason=error)
                await socket.close()
                break
            replies: list[msgspec.Struct] = []
            for message in messages:
                replies.extend(self._deliver(sender, message))
            if replies:
                await socket.send_bytes(self._codec.encode(self._me, replies))


def build_server_tls(
    cert: str | None, key: str | None, ca: str | None = None
) -> ssl.SSLContext | None:
    """Build the context of a TLS server; with a CA, peers need certificates."""
    if cert is None or key is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    try:
        context.load_cert_chain(cert, key)
        if ca is not None:
            context.load_verify_locations(ca)
    except (ssl.SSLError, OSError) as error:
        raise UnavailableError(
            f"the TLS files can't be used: {error}",
            remedy="give a PEM certificate with its PEM key",
        ) from None
    return context


def build_client_tls(ca: str | None) -> ssl.SSLContext | None:
    """Build the context that checks peers' certificates against a CA."""
    if ca is None:
        return None
    return ssl.create_default_context(ssl.Purpose.SERVER_AUTH, cafile=ca)
