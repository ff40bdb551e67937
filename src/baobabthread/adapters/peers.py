"""Messages among entries: HTTP with JSON, batched per peer."""

from __future__ import annotations

import asyncio
import contextlib
import hmac
import ssl
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import msgspec
from aiohttp import web

from baobabthread.errors import UnavailableError

MESSAGES_PATH = "/peer/messages"
REQUESTS_PATH = "/peer/requests"
SEND_TIMEOUT_S = 1.0
MAX_QUEUED = 20_000
MAX_BATCH = 2_000

Deliver = Callable[[str, msgspec.Struct], list[msgspec.Struct]]
Fail = Callable[[str, msgspec.Struct], None]
Locate = Callable[[str], str | None]


class PeerCodec:
    """Encode and decode batches of the tagged messages that the core defines."""

    __slots__ = ("_decoder", "_encoder")

    def __init__(self, *, types: tuple[type[msgspec.Struct], ...]) -> None:
        batch = msgspec.defstruct(
            "Batch", [("sender", str), ("messages", list[_union(types)])]
        )
        self._decoder = msgspec.json.Decoder(batch)
        self._encoder = msgspec.json.Encoder()

    def encode(self, sender: str, messages: list[msgspec.Struct]) -> bytes:
        """Encode one batch."""
        return self._encoder.encode({"sender": sender, "messages": messages})

    def decode(self, body: bytes) -> tuple[str, list[msgspec.Struct]]:
        """Decode one batch or raise msgspec.DecodeError."""
        batch: Any = self._decoder.decode(body)
        return batch.sender, batch.messages


def _union(types: tuple[type[msgspec.Struct], ...]) -> Any:
    union: Any = types[0]
    for other in types[1:]:
        union = union | other
    return union


class PeerOutbox:
    """Send messages to peers, one batch at a time to each, in order."""

    __slots__ = (
        "_codec",
        "_deliver",
        "_fail",
        "_locate",
        "_me",
        "_queues",
        "_scheme",
        "_secret",
        "_session",
        "_tasks",
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
        self._queues: dict[str, deque[msgspec.Struct]] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self.bytes_sent = 0
        self.bytes_received = 0
        self.messages_sent = 0

    def send(self, to: str, message: msgspec.Struct) -> None:
        """Queue one message; it leaves with the next batch."""
        queue = self._queues.get(to)
        if queue is None:
            queue = self._queues[to] = deque()
        # A peer that hangs would let its queue grow until memory is gone: beyond the
        # bound a message fails as if the peer had not answered, which callers handle.
        if len(queue) >= MAX_QUEUED:
            self._fail(to, message)
            return
        queue.append(message)
        if to not in self._tasks:
            task = asyncio.get_running_loop().create_task(self._drain(to, queue))
            self._tasks[to] = task

    async def _drain(self, to: str, queue: deque[msgspec.Struct]) -> None:
        try:
            while queue:
                size = min(len(queue), MAX_BATCH)
                batch = [queue.popleft() for _ in range(size)]
                await self._post(to, batch)
        finally:
            self._tasks.pop(to, None)
            if not queue:
                self._queues.pop(to, None)

    async def _post(self, to: str, batch: list[msgspec.Struct]) -> None:
        replies = await self._exchange(to, batch)
        if replies is None:
            for message in batch:
                self._fail(to, message)
            return
        sender, messages = replies
        for message in messages:
            # What answers a reply has no reply of its own to travel in. Dropped, it
            # would be found missing only after a timeout.
            for answer in self._deliver(sender, message):
                self.send(to, answer)

    async def _exchange(
        self, to: str, batch: list[msgspec.Struct]
    ) -> tuple[str, list[msgspec.Struct]] | None:
        address = self._locate(to)
        if address is None:
            return None
        body = self._codec.encode(self._me, batch)
        self.bytes_sent += len(body)
        self.messages_sent += len(batch)
        try:
            async with self._session.post(
                f"{self._scheme}://{address}{MESSAGES_PATH}",
                data=body,
                headers={"Authorization": f"Bearer {self._secret}"},
                timeout=aiohttp.ClientTimeout(total=SEND_TIMEOUT_S),
            ) as response:
                answer = await response.read()
                self.bytes_received += len(answer)
                if response.status != 200:
                    return None
                return self._codec.decode(answer)
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError):
            return None
        except RuntimeError:
            # The session is closed already: this entry is stopping.
            return None

    async def flush(self, timeout_s: float) -> None:
        """Wait until all queued messages are sent, at most so long."""
        tasks = list(self._tasks.values())
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_s)

    async def close(self) -> None:
        """Stop sending."""
        for task in list(self._tasks.values()):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task


class PeerServer:
    """Receive batches and forwarded requests from peers."""

    __slots__ = ("_codec", "_deliver", "_me", "_secret", "_serve_forwarded")

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

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one HTTP request of a peer."""
        given = request.headers.get("Authorization", "").encode()
        if not hmac.compare_digest(given, self._secret):
            return web.Response(status=401, text="peer secret differs\n")
        if request.path == REQUESTS_PATH:
            return await self._serve_forwarded(request)
        if request.path != MESSAGES_PATH:
            return web.Response(status=404, text="no such path\n")
        try:
            sender, messages = self._codec.decode(await request.read())
        except msgspec.DecodeError as error:
            return web.Response(status=400, text=f"not a batch: {error}\n")
        replies: list[msgspec.Struct] = []
        for message in messages:
            replies.extend(self._deliver(sender, message))
        return web.Response(
            body=self._codec.encode(self._me, replies), content_type="application/json"
        )


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
