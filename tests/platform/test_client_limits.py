"""What one client may send, and what it is told beyond that."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from baobabthread.instance import callerlimits
from baobabthread.instance.callerlimits import CallerLimits
from baobabthread.routing.configuration import RequestLimits
from baobabthread.serving import groups
from tests.platform.fakecallers import read_response, render_request
from tests.platform.site import Site, open_site, run, wait_for

LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 10_000,
    "header_timeout_ms": 1_000,
    "idle_timeout_ms": 2_000,
}
ENOUGH_BYTES = 20_000_000
MALFORMED = 200
MAX_LINES = 20
REQUESTS_AHEAD = 10

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@contextlib.asynccontextmanager
async def open_client(site: Site) -> AsyncIterator[Streams]:
    """Open a connection to the callers' address."""
    host, _, port = site.settings[0].callers_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield reader, writer
    finally:
        writer.transport.abort()


def render_head(size: int, path: str = "/safe/x") -> bytes:
    """Return a request whose head has a size in bytes."""
    base = render_request(path, X_Filler="")
    return render_request(path, X_Filler="a" * (size - len(base)))


async def send_until_closed(streams: Streams, first: bytes, piece: bytes) -> None:
    """Send pieces until the other side closes the connection; fail if it doesn't."""
    reader, writer = streams
    with contextlib.suppress(ConnectionError):
        writer.write(first)
        for _ in range(ENOUGH_BYTES // len(piece)):
            writer.write(piece)
            await writer.drain()
            if reader.at_eof():
                return
        raise AssertionError(f"{ENOUGH_BYTES} bytes were taken")


@pytest.mark.parametrize("count", [200, 900])
def test_serve_a_request_with_many_short_fields(count: int) -> None:
    """A head within the limit of bytes got 400, as its fields were counted."""

    async def case() -> None:
        async with open_site("p1", limits=LIMITS) as site:
            fields = {f"X_{number}": "a" for number in range(count)}
            assert (await site.call("/safe/x", **fields)).status == 200
            assert site.backends[0].seen[-1].headers[f"x-{count - 1}"] == "a"

    run(case())


def test_serve_a_head_at_the_limit() -> None:
    async def case() -> None:
        async with (
            open_site("p1", limits=LIMITS) as site,
            open_client(site) as (reader, writer),
        ):
            for _ in range(3):
                writer.write(render_head(LIMITS["max_header_bytes"]))
                assert (await read_response(reader)).status == 200

    run(case())


def test_refuse_a_head_over_the_limit() -> None:
    """A head without end was read on; the client must learn that sizes are bounded."""

    async def case() -> None:
        async with open_site("p1", limits=LIMITS) as site:
            async with open_client(site) as (reader, writer):
                writer.write(render_head(3 * LIMITS["max_header_bytes"])[:-2])
                assert (await read_response(reader)).status == 431
                assert await reader.read() == b""
            assert not site.backends[0].seen

    run(case())


@pytest.mark.parametrize(
    ("first", "piece"),
    [
        (b"", b"\r\n" * 1000),
        (b"GET /", b"a" * 1000),
        (b"GET / HTTP/1.1\r\n", b"a: b\r\n" * 100),
        (
            render_request("/safe/x").removesuffix(b"\r\n")
            + b"Transfer-Encoding: chunked\r\n\r\n5;a=",
            b"b" * 1000,
        ),
        (
            render_request("/safe/x").removesuffix(b"\r\n")
            + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
            b"a: b\r\n" * 100,
        ),
    ],
    ids=["empty lines", "line", "fields", "chunk extension", "trailers"],
)
def test_close_a_connection_that_sends_without_end(first: bytes, piece: bytes) -> None:
    """Bytes that bring no request were read for ever."""

    async def case() -> None:
        async with open_site("p1", limits=LIMITS) as site:
            async with open_client(site) as streams:
                await send_until_closed(streams, first, piece)
            assert not site.backends[0].seen

    run(case())


def test_answer_requests_that_were_sent_ahead() -> None:
    """All are answered in order, though few of them are parsed at once."""

    async def case() -> None:
        async with open_site("p1", limits=LIMITS) as site:
            async with open_client(site) as (reader, writer):
                for number in range(REQUESTS_AHEAD):
                    writer.write(
                        render_request(
                            "/safe/x",
                            method="POST",
                            body=b"a" * 3000,
                            X_Attempt_Id=f"n{number}",
                        )
                    )
                for number in range(REQUESTS_AHEAD):
                    response = await read_response(reader)
                    assert response.status == 200
                    assert response.headers["x-attempt-id"] == f"n{number}"
            assert len(site.backends[0].seen) == REQUESTS_AHEAD
            memory = site.instances[0].connection_memory
            await wait_for(lambda: not memory.held_bytes)

    run(case())


def test_serve_a_request_that_arrives_in_small_pieces() -> None:
    async def case() -> None:
        async with open_site("p1", limits=LIMITS) as site:
            async with open_client(site) as (reader, writer):
                for _ in range(2):
                    request = render_request("/safe/x", method="POST", body=b"abc")
                    for byte in b"\r\n" + request:
                        writer.write(bytes([byte]))
                        await asyncio.sleep(0)
                    assert (await read_response(reader)).status == 200
            assert [seen.body for seen in site.backends[0].seen] == [b"abc"] * 2

    run(case())


def test_go_on_after_a_body_that_nobody_reads() -> None:
    """The rest of a body, sent after its response, must not pass for another head."""

    async def case() -> None:
        async with open_site("p1", limits=LIMITS) as site:
            host, _, port = site.settings[0].directory_address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            body = b"a" * 60_000
            for _ in range(3):
                writer.write(
                    b"GET /-/resolve?name=a HTTP/1.1\r\nHost: a\r\n"
                    b"Content-Length: 60000\r\n\r\n" + body[:1000]
                )
                assert (await read_response(reader)).status == 200
                writer.write(body[1000:])
            writer.transport.abort()

    run(case())


def test_answer_a_malformed_chunk_at_once() -> None:
    """The request was held until the time limit of bodies, a minute later."""

    async def case() -> None:
        async with open_site("p1", limits=LIMITS) as site:
            async with open_client(site) as (reader, writer):
                head = render_request("/safe/x", method="POST").removesuffix(b"\r\n")
                writer.write(head + b"Transfer-Encoding: chunked\r\n\r\n")
                await asyncio.sleep(0.05)
                writer.write(b"zz\r\n")
                async with asyncio.timeout(10):
                    assert (await read_response(reader)).status == 400
                    assert await reader.read() == b""
            assert not site.backends[0].seen

    run(case())


@pytest.mark.parametrize("upgrade", ["websocket", "h2c"])
def test_serve_a_request_that_offers_another_protocol(upgrade: str) -> None:
    """A server may ignore the offer; the request within the limits is answered."""

    async def case() -> None:
        async with open_site("p1", limits=LIMITS) as site:
            response = await site.call("/safe/x", Connection="Upgrade", Upgrade=upgrade)
            assert response.status == 200

    run(case())


@pytest.mark.parametrize(
    "first", [b"", b"GET / HTTP/1.1\r\n", render_request("/safe/x")]
)
def test_close_connections_that_bring_nothing_more(
    first: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A connection without a request, or with a part of one, stayed open for good."""
    monkeypatch.setattr(groups, "NETWORK_DELAY_S", 0.0)
    limits = LIMITS | {"header_timeout_ms": 200, "idle_timeout_ms": 300}

    async def case() -> None:
        async with (
            open_site("p1", limits=limits) as site,
            open_client(site) as (reader, writer),
        ):
            writer.write(first)
            async with asyncio.timeout(10):
                await reader.read()

    run(case())


def test_keep_a_connection_that_a_caller_may_use_again() -> None:
    """A caller reuses a connection that was idle for four fifths of the limit."""

    async def case() -> None:
        limits = LIMITS | {"idle_timeout_ms": 700}
        async with (
            open_site("p1", limits=limits) as site,
            open_client(site) as (reader, writer),
        ):
            for _ in range(3):
                writer.write(render_request("/safe/x"))
                assert (await read_response(reader)).status == 200
                await asyncio.sleep(0.56)

    run(case())


def test_log_malformed_requests_in_few_lines(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each request that could not be parsed wrote a traceback."""
    lines: list[str] = []

    def record(event: str, fields: object) -> None:
        lines.append(event)

    monkeypatch.setattr(groups, "write_event", record)

    async def case() -> None:
        async with open_site("p1", limits=LIMITS) as site:
            for _ in range(MALFORMED):
                async with open_client(site) as (reader, writer):
                    writer.write(b"\x00\x01\x02\r\n\r\n")
                    assert (await read_response(reader)).status == 400

    run(case())
    assert 0 < lines.count("request_malformed") <= MAX_LINES
    assert set(lines) <= {"request_malformed", "connection_closed"}


def test_allow_what_an_earlier_configuration_allowed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A caller that has not learnt of smaller limits got a final refusal."""
    time = 100.0
    monkeypatch.setattr(callerlimits, "now", lambda: time)
    wide = RequestLimits(max_header_bytes=30_000, max_body_bytes=9_000)
    narrow = RequestLimits(max_header_bytes=8_000, max_body_bytes=20_000)
    current: RequestLimits | None = None
    limits = CallerLimits(find_current=lambda: current)
    assert limits.find().max_header_bytes >= 16_384
    current = wide
    assert limits.find() == wide
    current = narrow
    assert limits.find().max_header_bytes == 30_000
    assert limits.find().max_body_bytes == 20_000
    time += 60.0
    assert limits.find() == narrow
