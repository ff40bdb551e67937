"""Batches among entries over real sockets."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import aiohttp
import msgspec
from aiohttp import web

from baobabthread.adapters.codec import PeerCodec
from baobabthread.adapters.peers import PeerOutbox, PeerServer

SECRET = "peer-secret-peer-secret"


class Ping(msgspec.Struct, frozen=True, tag="ping"):
    """Hold one step of an exchange."""

    step: int


Deliver = Callable[[str, msgspec.Struct], list[msgspec.Struct]]


async def _refuse(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(status=404)


@contextlib.asynccontextmanager
async def run_pair(here: Deliver, there: Deliver) -> AsyncIterator[PeerOutbox]:
    """Run one peer's server and give the other's outbox."""
    codec = PeerCodec(types=(Ping,))
    server = PeerServer(
        me="b", codec=codec, secret=SECRET, deliver=there, serve_forwarded=_refuse
    )
    async with contextlib.AsyncExitStack() as stack:
        runner = web.ServerRunner(web.Server(server.handle))
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0][:2]
        session = await stack.enter_async_context(aiohttp.ClientSession())
        outbox = PeerOutbox(
            me="a",
            codec=codec,
            session=session,
            secret=SECRET,
            scheme="http",
            locate=lambda to: f"{host}:{port}",
            deliver=here,
            fail=lambda to, message: None,
        )
        stack.push_async_callback(outbox.close)
        yield outbox


def test_answer_to_reply_is_sent() -> None:
    """The caller waits a quarter of a second for each bill and then goes on alone.

    An entry posts a batch; the HTTP reply acknowledges it; what the core sends to the
    peer upon that acknowledgement was collected as a reply to a reply and dropped.
    The sender's own timeout hid it: only latency showed the loss.
    """
    received: list[int] = []
    done = asyncio.Event()

    def here(sender: str, message: msgspec.Struct) -> list[msgspec.Struct]:
        assert isinstance(message, Ping)
        return [Ping(message.step + 1)]

    def there(sender: str, message: msgspec.Struct) -> list[msgspec.Struct]:
        assert isinstance(message, Ping)
        received.append(message.step)
        if message.step >= 4:
            done.set()
            return []
        return [Ping(message.step + 1)]

    async def run() -> None:
        async with run_pair(here, there) as outbox:
            outbox.send("b", Ping(0))
            async with asyncio.timeout(10):
                await done.wait()

    asyncio.run(run())
    assert received == [0, 2, 4]


def test_wrong_secret_fails_messages() -> None:
    failed: list[int] = []

    async def run() -> None:
        async with run_pair(lambda s, m: [], lambda s, m: []) as outbox:
            outbox._secret = "another-secret-another"
            outbox._fail = lambda to, message: failed.append(1)
            outbox.send("b", Ping(0))
            await outbox.flush(10)

    asyncio.run(run())
    assert failed == [1]
