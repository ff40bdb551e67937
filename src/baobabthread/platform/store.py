"""Calls to the platform's metadata store."""

from __future__ import annotations

import asyncio
import base64
import struct
from collections.abc import Mapping
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from baobabthread.instance.connections import (
    ConnectionPool,
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

MAX_RESPONSE_BYTES = 16_000_000
MAX_READ_KB = 1024
STALL_TIMEOUT_S = 0.6
"""Silence after which an answer that has begun counts as broken off."""
RESPONSE_TIMEOUT_S = 6.0
"""Longest time for an answer that keeps coming: a configuration of two thousand routes
takes a second over a link of 5 Mbit/s, a few of them in a row several."""
LENGTH_BYTES = 4
OFFSETS_BYTES = 16
EMPTY_RECORD = b"\0"
"""Content of a record without key and value."""

T = TypeVar("T")
PARTITION = 0
"""The only partition of a topic that keeps the newest record of each key."""


class _Item(msgspec.Struct, kw_only=True):
    key: str
    value: str = ""
    """In base64; empty where the key was dropped."""
    offset: int


class _Newest(msgspec.Struct, kw_only=True):
    items: list[_Item]
    has_more: bool = False
    end_offset: int


class _Appended(msgspec.Struct, kw_only=True):
    offset: int = 0
    end_offset: int = 0


class PlatformStore:
    """Read and append records of keyed topics."""

    __slots__ = ("_address", "_pool")

    def __init__(self, *, address: str, connect_s: float) -> None:
        self._address = address
        self._pool = ConnectionPool(address=address, connect_s=connect_s)

    async def newest(self, topic: str, timeout_s: float) -> Page:
        """Return the newest record of each key of a topic."""
        records: list[Record] = []
        after: str | None = None
        end: int | None = None
        while True:
            query = {"topic": topic, "part": PARTITION}
            if after is not None:
                query["after"] = after
            body = await self._get("/-/log-newest", query, timeout_s)
            found = _decode(body, _Newest)
            records.extend(
                Record(
                    key=item.key,
                    value=base64.b64decode(item.value),
                    offset=item.offset,
                )
                for item in found.items
            )
            # Pages are no snapshot: only what the first one saw is surely complete,
            # so reading goes on from there.
            end = found.end_offset if end is None else min(end, found.end_offset)
            if not found.has_more or not found.items:
                return Page(records=records, end=end)
            after = found.items[-1].key

    async def read(
        self, topic: str, start: int, *, wait_s: float, timeout_s: float
    ) -> Tail | Trimmed:
        """Return the records from an offset on, or that they are gone."""
        query = {
            "topic": topic,
            "part": PARTITION,
            "from": start,
            "max_kb": MAX_READ_KB,
            "wait_ms": int(wait_s * 1000),
        }
        response = await self._call("GET", "/-/log-read", query, b"", timeout_s)
        if response.status == 410:
            return Trimmed()
        return _decode_tail(_expect_ok(response), start)

    async def append(self, append: Append, timeout_s: float) -> Appended | Conflict:
        """Append one keyed record where the topic ends as expected."""
        key = append.key.encode()
        record = bytes([len(key)]) + key + append.value
        body = struct.pack(">I", len(record)) + record
        query = {
            "topic": append.topic,
            "part": PARTITION,
            "at": append.expected_end,
        }
        answer = await self._call("POST", "/-/log-append", query, body, timeout_s)
        if answer.status in (409, 412):
            return Conflict()
        return Appended(end=_decode(_expect_ok(answer), _Appended).end_offset)

    def close(self) -> None:
        """Close what is idle."""
        self._pool.close()

    async def _get(
        self, path: str, query: Mapping[str, object], timeout_s: float
    ) -> bytes:
        return _expect_ok(await self._call("GET", path, query, b"", timeout_s))

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
            async with asyncio.timeout(timeout_s):
                connection = await self._pool.send(head, body)
                response: Response = await self._pool.receive(connection)
            answer = await _read_body(response)
            response.finish()
            connection = None
        except (IncompleteResponseError, NotSentError, TimeoutError) as error:
            raise StoreError(f"{path}: {error or 'no answer in time'}") from error
        finally:
            if connection is not None:
                self._pool.discard(connection)
        return _StoreResponse(status=response.status, body=answer)


async def _read_body(response: Response) -> bytes:
    """Return the body of an answer as long as it keeps coming.

    With one bound for the whole answer an instance on a slow link never gets a large
    configuration: it breaks off, asks again and fills its link with the same bytes,
    while it goes on with the configuration before.
    """
    chunks = []
    size = 0
    async with asyncio.timeout(RESPONSE_TIMEOUT_S):
        while True:
            # `wait_for` loses a cancellation that meets the answer: the reader goes on
            # for good, and a process that was told to stop never ends.
            async with asyncio.timeout(STALL_TIMEOUT_S):
                chunk = await response.read_chunk()
            if not chunk:
                break
            chunks.append(chunk)
            size += len(chunk)
            if size > MAX_RESPONSE_BYTES:
                raise IncompleteResponseError("answer too large")
    return b"".join(chunks)


class _StoreResponse(msgspec.Struct, frozen=True, kw_only=True):
    status: int
    body: bytes


def _expect_ok(answer: _StoreResponse) -> bytes:
    if answer.status != 200:
        raise StoreError(f"status {answer.status}")
    return answer.body


def _decode(body: bytes, form: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=form)
    except msgspec.MsgspecError as error:
        raise StoreError(f"answer can't be decoded: {error}") from error


def _decode_tail(body: bytes, start: int) -> Tail:
    if len(body) < OFFSETS_BYTES:
        raise StoreError("answer is shorter than its offsets")
    end, _first = struct.unpack_from(">QQ", body)
    records = []
    position = OFFSETS_BYTES
    offset = start
    while position + LENGTH_BYTES <= len(body):
        (length,) = struct.unpack_from(">I", body, position)
        position += LENGTH_BYTES
        content = body[position : position + length]
        if len(content) < length:
            raise StoreError("answer ends within a record")
        position += length
        # Another writer's record may lack even the length of a key.
        content = content or EMPTY_RECORD
        cut = 1 + content[0]
        records.append(
            Record(
                key=content[1:cut].decode(errors="replace"),
                value=content[cut:],
                offset=offset,
            )
        )
        offset += 1
    return Tail(records=records, next=offset, end=end)
