"""What sockets add to the cost of control: peers' messages and load reports."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
import msgspec
from aiohttp import web

from baobabthread.adapters.codec import PeerCodec
from baobabthread.adapters.engines import EngineClient
from baobabthread.adapters.peers import PeerOutbox, PeerServer
from baobabthread.core.membership.messages import Acknowledge, Digest, Probe
from baobabthread.core.peermessages import PEER_MESSAGES
from bench._control_members import describe_member

SECRET = "bench-peer-secret-0123"
PADDING = "x" * 1_700
"""Makes a message as long as one with the usual gossip."""
ENDS = 2
"""Both ends of each exchange run in this process."""
LOAD_ANSWER = (
    b'{"running":4,"waiting":0,"capacity":16,"versions":["version-0","version-1"],'
    b'"fence":3,"tokens_per_s":500.0}'
)
LOAD_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
    + str(len(LOAD_ANSWER)).encode()
    + b"\r\n\r\n"
    + LOAD_ANSWER
)


class SocketCosts(msgspec.Struct, frozen=True, kw_only=True):
    """Hold processor times of one entry, in microseconds."""

    kept_us: float
    """A message sent or received on a kept connection."""
    fresh_us: float
    """The same when the connection is opened for it."""
    poll_us: float
    """Asking an engine for its load, the core's part left out."""
    poll_bytes: float
    """Of that question and its answer, with their HTTP heads."""


def make_message(number: int) -> Probe:
    """Return a probe of usual length."""
    member = msgspec.structs.replace(describe_member(1), failure_domain=PADDING)
    return Probe(sequence=number, digest=Digest(sender=member))


def answer(sender: str, message: msgspec.Struct) -> list[msgspec.Struct]:
    """Acknowledge a probe."""
    del sender
    assert isinstance(message, Probe)
    return [
        Acknowledge(sequence=message.sequence, subject="entry-1", digest=message.digest)
    ]


async def refuse(request: web.BaseRequest) -> web.StreamResponse:
    """Answer a forwarded request, which none of these is."""
    del request
    return web.Response(status=404)


@contextlib.asynccontextmanager
async def serve_peer() -> AsyncIterator[str]:
    """Run the server of an entry for its peers."""
    server = PeerServer(
        me="entry-1",
        codec=PeerCodec(types=PEER_MESSAGES),
        secret=SECRET,
        deliver=answer,
        serve_forwarded=refuse,
    )
    runner = web.ServerRunner(web.Server(server.handle))
    await runner.setup()
    try:
        site = web.TCPSite(runner, "127.0.0.1", 0, shutdown_timeout=0.1)
        await site.start()
        host, port = runner.addresses[0][:2]
        yield f"{host}:{port}"
    finally:
        await runner.cleanup()


async def exchange(address: str, count: int, *, fresh: bool) -> float:
    """Return microseconds for each message sent or received by one end."""
    answered = asyncio.Event()

    def take(sender: str, message: msgspec.Struct) -> list[msgspec.Struct]:
        del sender, message
        answered.set()
        return []

    def fail(to: str, message: msgspec.Struct) -> None:
        raise AssertionError(f"{message} did not reach {to}")

    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        outbox = PeerOutbox(
            me="entry-0",
            codec=PeerCodec(types=PEER_MESSAGES),
            session=session,
            secret=SECRET,
            scheme="http",
            locate=lambda to: address,
            deliver=take,
            fail=fail,
        )

        async def send(number: int) -> None:
            answered.clear()
            outbox.send(f"peer-{number if fresh else 0}", make_message(number))
            await answered.wait()

        await send(-1)
        cost = await measure(send, count)
        await outbox.close()
    return cost / ENDS / 2


async def measure(work: Callable[[int], Awaitable[None]], count: int) -> float:
    """Return microseconds of processor time for each call of work."""
    started = time.process_time()
    for number in range(count):
        await work(number)
    return (time.process_time() - started) / count * 1e6


async def poll_loads(count: int) -> tuple[float, float]:
    """Return microseconds and bytes of each load report asked of a bare server."""
    heads: list[int] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                heads.append(len(await reader.readuntil(b"\r\n\r\n")))
                writer.write(LOAD_RESPONSE)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with server, aiohttp.ClientSession() as session:
        engine = EngineClient(session=session)

        async def ask(number: int) -> None:
            del number
            await engine.load(f"127.0.0.1:{port}", timeout_s=1.0)

        await ask(0)
        spent = await measure(ask, count)
    return spent, sum(heads) / len(heads) + len(LOAD_RESPONSE)


async def measure_sockets(count: int) -> SocketCosts:
    """Measure all costs one after the other."""
    async with serve_peer() as address:
        kept = await exchange(address, count, fresh=False)
        fresh = await exchange(address, count // 5, fresh=True)
    poll_us, poll_bytes = await poll_loads(count)
    return SocketCosts(
        kept_us=kept, fresh_us=fresh, poll_us=poll_us, poll_bytes=poll_bytes
    )
