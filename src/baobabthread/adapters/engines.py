"""Clients of the backend servers: model engines and plain services."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from typing import TypeVar

import aiohttp
import msgspec
from yarl import URL

from baobabthread.adapters.streamevents import (
    FINISHED,
    NO_USAGE,
    Choice,
    EventReader,
)
from baobabthread.ports.engine import (
    Answer,
    Broken,
    CacheEvents,
    Crossed,
    LoadReport,
    Order,
    OrderDone,
    OrderOutcome,
    OrderStale,
    Outcome,
    Refused,
    StreamItem,
    Usage,
)
from baobabthread.ports.plain import PlainAnswer, PlainOutcome

CONNECT_S = 1.0
CONTROL_S = 2.0
MAX_ANSWER_BYTES = 16_000_000
MAX_URLS = 10_000
T = TypeVar("T")


class _Whole(msgspec.Struct):
    request_id: str
    choices: list[Choice]
    usage: Usage = NO_USAGE
    signal: float = 0.0


class _PlainWhole(msgspec.Struct, gc=False):
    request_id: str


class _Refusal(msgspec.Struct, gc=False):
    kind: str = "refused"
    ran: str = "unknown"
    fence: int = 0


_decode_whole = msgspec.json.Decoder(_Whole).decode
_decode_plain = msgspec.json.Decoder(_PlainWhole).decode
_decode_refusal = msgspec.json.Decoder(_Refusal).decode


def open_session() -> aiohttp.ClientSession:
    """Return a session fit for many short requests to few backend servers."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=15.0),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
    )


class _Client:
    """Share the session, the URLs and the verdict on failures."""

    __slots__ = ("_session", "_urls")

    def __init__(self, *, session: aiohttp.ClientSession) -> None:
        self._session = session
        self._urls: dict[tuple[str, str], URL] = {}

    def _url(self, address: str, path: str) -> URL:
        """Return a parsed URL; parsing one costs more than keeping a few."""
        key = (address, path)
        url = self._urls.get(key)
        if url is None:
            if len(self._urls) >= MAX_URLS:
                self._urls.clear()
            url = self._urls[key] = URL(f"http://{address}{path}")
        return url

    def _post(
        self, url: URL, *, request_id: str, body: bytes, timeout_s: float
    ) -> aiohttp.client._RequestContextManager:
        return self._session.post(
            url,
            data=body,
            headers={
                "Content-Type": "application/json",
                "X-Request-Id": request_id,
                "X-Deadline-Ms": str(int(timeout_s * 1000)),
            },
            timeout=aiohttp.ClientTimeout(
                total=timeout_s, sock_connect=min(CONNECT_S, timeout_s)
            ),
            allow_redirects=False,
        )


class EngineClient(_Client):
    """Ask model engines over HTTP and give them orders."""

    __slots__ = ()

    async def complete(
        self, address: str, *, request_id: str, body: bytes, timeout_s: float
    ) -> Outcome:
        """Return the whole answer or why there is none."""
        url = self._url(address, "/v1/chat/completions")
        first_byte = False
        try:
            async with self._post(
                url, request_id=request_id, body=body, timeout_s=timeout_s
            ) as response:
                first_byte = response.status == 200
                raw = await _read_bounded(response)
                if response.status != 200:
                    return _judge_refusal(response, raw)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return _judge_failure(error, first_byte)
        return _check_whole(raw, request_id)

    async def stream(
        self,
        address: str,
        *,
        request_id: str,
        body: bytes,
        timeout_s: float,
        resume_from: int = 0,
    ) -> AsyncGenerator[StreamItem, None]:
        """Yield chunks, then exactly one item of another type."""
        url = self._url(address, "/v1/chat/completions")
        events = EventReader(request_id=request_id, following=resume_from)
        try:
            async with self._post(
                url, request_id=request_id, body=body, timeout_s=timeout_s
            ) as response:
                if response.status != 200:
                    raw = await _read_bounded(response)
                    yield _judge_refusal(response, raw)
                    return
                async for data in response.content.iter_any():
                    for item in events.feed(data):
                        yield item
                    if events.ended:
                        return
        except (aiohttp.ClientError, OSError, ValueError) as error:
            yield _judge_failure(error, events.started)
            return
        yield Broken(reason="incomplete", sent=True, first_byte=events.started)

    async def load(
        self, address: str, *, timeout_s: float = CONTROL_S
    ) -> LoadReport | Broken:
        """Return the engine's load report."""
        url = self._url(address, "/load")
        return await self._get(url, LoadReport, timeout_s)

    async def order(
        self, address: str, order: Order, *, timeout_s: float = CONTROL_S
    ) -> OrderOutcome:
        """Give an engine its desired set of versions."""
        url = self._url(address, "/orders")
        body = msgspec.json.encode(order)
        try:
            async with self._post(
                url, request_id=order.conductor, body=body, timeout_s=timeout_s
            ) as response:
                raw = await _read_bounded(response)
                if response.status == 200:
                    return msgspec.json.decode(raw, type=OrderDone)
                if response.status == 412:
                    return OrderStale(fence=_decode_refusal(raw).fence)
                return _judge_refusal(response, raw)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return _judge_failure(error, False)

    async def cancel(self, address: str, request_id: str) -> bool:
        """Cancel a request and tell whether the engine heard it."""
        url = URL(f"http://{address}/v1/requests/{request_id}/cancel")
        try:
            async with self._post(
                url, request_id=request_id, body=b"", timeout_s=CONTROL_S
            ) as response:
                await _read_bounded(response)
                return response.status == 200
        except (aiohttp.ClientError, OSError, ValueError):
            return False

    async def cache_events(self, address: str, *, after: int) -> CacheEvents | Broken:
        """Return the engine's cache events behind a sequence number."""
        url = self._url(address, "/cache/events").update_query(after=str(after))
        return await self._get(url, CacheEvents, CONTROL_S)

    async def _get(self, url: URL, kind: type[T], timeout_s: float) -> T | Broken:
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=timeout_s)
        try:
            async with self._session.get(
                url, timeout=timeout, allow_redirects=False
            ) as response:
                raw = await _read_bounded(response)
                if response.status != 200:
                    return Broken(reason=f"status {response.status}", sent=True)
                return msgspec.json.decode(raw, type=kind)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return _judge_failure(error, False)


class PlainClient(_Client):
    """Call plain services over HTTP."""

    __slots__ = ()

    async def call(
        self,
        address: str,
        call: str,
        *,
        request_id: str,
        body: bytes,
        timeout_s: float,
    ) -> PlainOutcome:
        """Return the whole answer or why there is none."""
        url = self._url(address, f"/calls/{call}")
        first_byte = False
        try:
            async with self._post(
                url, request_id=request_id, body=body, timeout_s=timeout_s
            ) as response:
                first_byte = response.status == 200
                raw = await _read_bounded(response)
                if response.status != 200:
                    return _judge_refusal(response, raw)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return _judge_failure(error, first_byte)
        try:
            found = _decode_plain(raw).request_id
        except msgspec.MsgspecError:
            return Broken(reason="incomplete", sent=True, first_byte=True)
        if found != request_id:
            return Crossed(expected=request_id, found=found)
        return PlainAnswer(request_id=request_id, body=raw)


async def _read_bounded(response: aiohttp.ClientResponse) -> bytes:
    """Return the body; one beyond the bound is an error before it fills memory."""
    length = response.content_length
    if length is not None and length <= MAX_ANSWER_BYTES:
        return await response.read()
    parts: list[bytes] = []
    size = 0
    async for data in response.content.iter_any():
        size += len(data)
        if size > MAX_ANSWER_BYTES:
            raise ValueError("answer too large")
        parts.append(data)
    return b"".join(parts)


def _check_whole(raw: bytes, request_id: str) -> Outcome:
    try:
        whole = _decode_whole(raw)
    except msgspec.MsgspecError:
        return Broken(reason="incomplete", sent=True, first_byte=True)
    if whole.request_id != request_id:
        return Crossed(expected=request_id, found=whole.request_id)
    reason = whole.choices[0].finish_reason if whole.choices else None
    if reason not in FINISHED:
        return Broken(reason=f"finished by {reason}", sent=True, first_byte=True)
    return Answer(
        request_id=request_id, body=raw, signal=whole.signal, usage=whole.usage
    )


def _judge_refusal(response: aiohttp.ClientResponse, raw: bytes) -> Refused | Broken:
    """Believe that a request was not run only when the server itself says so."""
    try:
        refusal = _decode_refusal(raw)
    except msgspec.MsgspecError:
        return Broken(reason=f"status {response.status}", sent=True)
    if refusal.ran != "no":
        return Broken(reason=f"status {response.status} {refusal.kind}", sent=True)
    return Refused(
        kind=refusal.kind,
        status=response.status,
        retry_after_s=read_retry_after(response),
    )


def read_retry_after(response: aiohttp.ClientResponse) -> float | None:
    """Return the seconds of the Retry-After header."""
    text = response.headers.get("Retry-After")
    try:
        return None if text is None else max(0.0, float(text))
    except ValueError:
        return None


def _judge_failure(error: Exception, first_byte: bool) -> Broken:
    """Tell what a failed request may have done.

    Only an error of connecting proves that no byte was sent. A time-out or a dropped
    connection later may hide a request that ran, so it counts as sent: believing
    otherwise would run a non-idempotent request twice.
    """
    connecting = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
    sent = not isinstance(error, connecting)
    return Broken(reason=type(error).__name__, sent=sent, first_byte=first_byte)
