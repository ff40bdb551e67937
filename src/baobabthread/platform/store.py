"""Client of the platform's metadata store."""

from __future__ import annotations

import asyncio
import base64
import struct
from collections.abc import Callable, Mapping
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from baobabthread.core.positions import Position
from baobabthread.instance.servers.connections import (
    ConnectionPool,
    DirectConnector,
    IncompleteResponseError,
    NotSentError,
    Response,
    encode_head,
)
from baobabthread.instance.store import (
    Append,
    Appended,
    Conflict,
    Page,
    Record,
    StoreError,
    Tail,
    Trimmed,
)
from baobabthread.instance.timeouts import limit_silence

MAX_RESPONSE_BYTES = 16_000_000
MAX_READ_KB = 1024
STALL_TIMEOUT_S = 0.6
"""Time without data after which a response that has begun counts as broken off."""
RESPONSE_TIMEOUT_S = 6.0
"""Timeout for a response that keeps making progress: a configuration of two thousand
routes takes one second over a 5 Mbit/s link, a few of them in a row several seconds."""
LENGTH_BYTES = 4
OFFSETS_BYTES = 16
ERA_FIELD = "Store-Era"
MAX_ERA_DIGITS = 15
MAX_KEY_BYTES = 255
"""Length limit of a key, which is stored in one byte."""
EMPTY_RECORD = b"\0"
"""Content of a record with neither key nor value."""

T = TypeVar("T")
PARTITION = 0
"""Keyed topics, which keep the newest record of each key, have a single partition."""


class _Item(msgspec.Struct, kw_only=True):
    key: str
    value: str = ""
    """Base64; empty if the key was deleted."""
    offset: int


class _Newest(msgspec.Struct, kw_only=True):
    items: list[_Item]
    has_more: bool = False
    end_offset: int


class _Appended(msgspec.Struct, kw_only=True):
    offset: int = 0
    end_offset: int = 0


class PlatformStore:
    """The platform's `Store`: reads and appends records of keyed topics."""

    __slots__ = ("_address", "_pool", "on_era")

    def __init__(self, *, address: str, connect_s: float) -> None:
        self._address = address
        self.on_era: Callable[[int], None] = lambda era: None
        self._pool = ConnectionPool(
            connector=DirectConnector(address=address, connect_s=connect_s)
        )

    async def newest(self, topic: str, timeout_s: float) -> Page:
        """Return the newest record of each key of a topic."""
        records: list[Record] = []
        after: str | None = None
        end: Position | None = None
        while True:
            query = {"topic": topic, "part": PARTITION}
            if after is not None:
                query["after"] = after
            response = await self._call("GET", "/-/log-newest", query, b"", timeout_s)
            page = _decode(_expect_ok(response), _Newest)
            page_end = Position(response.era, page.end_offset)
            if end is not None and page_end.era != end.era:
                raise StoreError("store was restored between two pages")
            records.extend(
                Record(
                    key=item.key,
                    value=_decode_value(item.value),
                    position=Position(response.era, item.offset),
                )
                for item in page.items
            )
            # Pages are not a consistent snapshot: only records up to the end seen by
            # the first page are surely included, so reading continues from there.
            end = page_end if end is None else min(end, page_end)
            if not page.has_more or not page.items:
                return Page(records=records, end=end)
            after = page.items[-1].key

    async def read(
        self, topic: str, start: Position, *, wait_s: float, timeout_s: float
    ) -> Tail | Trimmed:
        """Return the records from a position on; `Trimmed` if the topic lacks it."""
        query = {
            "topic": topic,
            "part": PARTITION,
            "from": start.offset,
            "max_kb": MAX_READ_KB,
            "wait_ms": int(wait_s * 1000),
        }
        response = await self._call("GET", "/-/log-read", query, b"", timeout_s)
        if response.status == 410:
            return Trimmed()
        return _decode_tail(_expect_ok(response), Position(response.era, start.offset))

    async def append(self, append: Append, timeout_s: float) -> Appended | Conflict:
        """Append one keyed record if the topic ends at the expected offset."""
        key = append.key.encode()
        if len(key) > MAX_KEY_BYTES:
            raise StoreError(f"key longer than {MAX_KEY_BYTES} bytes")
        record = bytes([len(key)]) + key + append.value
        body = struct.pack(">I", len(record)) + record
        query = {
            "topic": append.topic,
            "part": PARTITION,
            "at": append.expected_end.offset,
        }
        response = await self._call("POST", "/-/log-append", query, body, timeout_s)
        if response.status in (409, 412):
            return Conflict()
        end_offset = _decode(_expect_ok(response), _Appended).end_offset
        return Appended(end=Position(response.era, end_offset))

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    async def _call(
        self,
        method: str,
        path: str,
        query: Mapping[str, object],
        body: bytes,
        timeout_s: float,
    ) -> _StoreResponse:
        headers = [("Host", self._address), ("Content-Length", str(len(body)))]
        head = encode_head(method, f"{path}?{urlencode(query)}", headers)
        connection = None
        try:
            async with limit_silence(timeout_s):
                connection = await self._pool.send(head, body)
                response: Response = await self._pool.receive(connection)
            era = _parse_era(response.headers.get(ERA_FIELD))
            self.on_era(era)
            content = await _read_body(response)
            response.finish()
            connection = None
        except (IncompleteResponseError, NotSentError, TimeoutError) as error:
            reason = str(error) or "response timed out"
            raise StoreError(f"{path}: {reason}") from error
        finally:
            if connection is not None:
                self._pool.discard(connection)
        return _StoreResponse(status=response.status, body=content, era=era)


def _parse_era(value: str | None) -> int:
    """Return the era that a response names; 0 if it names none that can be read."""
    if value is None or len(value) > MAX_ERA_DIGITS:
        return 0
    return int(value) if value.isascii() and value.isdigit() else 0


async def _read_body(response: Response) -> bytes:
    """Read the body of a response for as long as it makes progress.

    With only one timeout for the whole response, an instance on a slow link would
    never receive a large configuration: it would abort, retry and fill its link with
    the same bytes while it keeps serving the previous configuration.
    """
    chunks = []
    size = 0
    async with asyncio.timeout(RESPONSE_TIMEOUT_S):
        while True:
            # `wait_for` can swallow a cancellation that coincides with the result: the
            # reader would run on, and a stopping process would never exit.
            async with limit_silence(STALL_TIMEOUT_S):
                chunk = await response.read_chunk()
            if not chunk:
                break
            chunks.append(chunk)
            size += len(chunk)
            if size > MAX_RESPONSE_BYTES:
                raise IncompleteResponseError(
                    f"response exceeds {MAX_RESPONSE_BYTES} bytes"
                )
    return b"".join(chunks)


class _StoreResponse(msgspec.Struct, frozen=True, kw_only=True):
    status: int
    body: bytes
    era: int


def _expect_ok(response: _StoreResponse) -> bytes:
    if response.status != 200:
        raise StoreError(f"unexpected status {response.status}", is_refused=True)
    return response.body


def _decode(body: bytes, message_type: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=message_type)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise StoreError(f"response can't be decoded: {error}") from error


def _decode_value(text: str) -> bytes:
    try:
        return base64.b64decode(text)
    except ValueError as error:
        raise StoreError(f"record can't be decoded: {error}") from error


def _decode_tail(body: bytes, start: Position) -> Tail:
    if len(body) < OFFSETS_BYTES:
        raise StoreError(
            f"response truncated: got {len(body)} of {OFFSETS_BYTES} bytes of offsets"
        )
    end, _first = struct.unpack_from(">QQ", body)
    records = []
    position = OFFSETS_BYTES
    offset = start.offset
    while position + LENGTH_BYTES <= len(body):
        (length,) = struct.unpack_from(">I", body, position)
        position += LENGTH_BYTES
        content = body[position : position + length]
        if len(content) < length:
            raise StoreError(
                f"response truncated: got {len(content)} of {length} bytes of a record"
            )
        position += length
        # A record of another writer may lack even the byte with the key's length.
        content = content or EMPTY_RECORD
        key_end = 1 + content[0]
        records.append(
            Record(
                key=content[1:key_end].decode(errors="replace"),
                value=content[key_end:],
                position=Position(start.era, offset),
            )
        )
        offset += 1
    return Tail(
        records=records,
        next=Position(start.era, offset),
        end=Position(start.era, end),
    )
