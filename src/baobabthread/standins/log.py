"""The stand-in of the platform's append-only log."""

from __future__ import annotations

import asyncio
import itertools
from collections import deque
from typing import Any, ClassVar

import msgspec
from aiohttp import web

from baobabthread.standins.server import (
    FAULTS,
    Server,
    drop_connection,
    read_body,
    refuse,
    reply_json,
)

MAX_LIMIT = 10_000
MAX_WAIT_S = 30.0
BURST_S = 0.25


@FAULTS.register("log")
class LogFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Hold the settings that a test may switch at the log."""

    outage: bool = False
    delay_ms: float = 0.0
    lose_replies: float = 0.0
    """Probability that an append is done and its reply is lost."""
    lose_requests: float = 0.0
    """Probability that an append is not done and the connection drops."""
    rate_per_s: float = 400.0
    """Appends (batches) a second over all streams; 0 sets no bound."""
    retention_records: int = 200_000
    """Records kept per stream; 0 keeps all."""


class NewRecord(msgspec.Struct, frozen=True):
    """Hold one record of an append."""

    id: str
    body: msgspec.Raw


class AppendBody(msgspec.Struct, frozen=True):
    """Hold the body of an append."""

    records: list[NewRecord]


class StoredRecord(msgspec.Struct, frozen=True):
    """Hold one record with its offset."""

    offset: int
    id: str
    body: msgspec.Raw


class StreamLog:
    """Keep the records of one stream."""

    __slots__ = ("grown", "head", "records")

    def __init__(self) -> None:
        self.head = 0
        self.records: deque[StoredRecord] = deque()
        self.grown = asyncio.Event()

    @property
    def first(self) -> int:
        """Return the lowest retained offset."""
        return self.head - len(self.records) + 1

    def append(self, records: list[NewRecord], *, retention: int) -> int:
        """Append a batch and return its first offset."""
        first = self.head + 1
        for record in records:
            self.head += 1
            # The raw body points into the request: copy it, or that stays in memory.
            body = msgspec.Raw(bytes(record.body))
            self.records.append(StoredRecord(offset=self.head, id=record.id, body=body))
        self.trim(retention)
        self.grown.set()
        self.grown = asyncio.Event()
        return first

    def trim(self, retention: int) -> None:
        """Drop the oldest records beyond the retention."""
        while retention and len(self.records) > retention:
            self.records.popleft()

    def read(self, *, after: int, limit: int) -> list[StoredRecord]:
        """Return records behind an offset, oldest first."""
        start = max(0, after + 1 - self.first)
        return list(itertools.islice(self.records, start, start + limit))


class LogServer(Server):
    """Serve streams of records with offsets, retention and a bounded rate."""

    __slots__ = ("_filled_at", "_tokens", "appends", "streams")

    kind: ClassVar[str] = "log"

    def __init__(self, *, name: str = "log", **settings: Any) -> None:
        super().__init__(name=name, **settings)
        self.streams: dict[str, StreamLog] = {}
        self.appends = 0
        self._tokens = 0.0
        self._filled_at = float("-inf")

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the routes of append and read."""
        router.add_post("/v1/streams/{stream}/records", self._append)
        router.add_get("/v1/streams/{stream}/records", self._read)

    def describe(self) -> dict[str, object]:
        """Return what the control page shows."""
        heads = {name: stream.head for name, stream in self.streams.items()}
        return {**super().describe(), "heads": heads, "appends": self.appends}

    def on_faults(self) -> None:
        """Apply a changed retention at once."""
        for stream in self.streams.values():
            stream.trim(self.faults.retention_records)

    def _stream(self, request: web.Request) -> StreamLog:
        return self.streams.setdefault(request.match_info["stream"], StreamLog())

    async def _append(self, request: web.Request) -> web.Response:
        body = await read_body(request, AppendBody)
        if self.faults.outage:
            return refuse("outage", status=503, retry_after_s=1)
        if not self._take_token():
            return refuse("rate", status=429, retry_after_s=0.05)
        if self.roll(self.faults.lose_requests):
            return drop_connection(request)
        first = await self._append_late(self._stream(request), body.records)
        if self.roll(self.faults.lose_replies):
            return drop_connection(request)
        return reply_json({"first": first, "count": len(body.records)})

    async def _append_late(self, stream: StreamLog, records: list[NewRecord]) -> int:
        """Append after the delay, also when the client has given up meanwhile."""
        if self.faults.delay_ms:
            pause = asyncio.create_task(asyncio.sleep(self.faults.delay_ms / 1000))
            try:
                await asyncio.shield(pause)
            except asyncio.CancelledError:
                pause.add_done_callback(lambda _: self._store(stream, records))
                raise
        return self._store(stream, records)

    def _store(self, stream: StreamLog, records: list[NewRecord]) -> int:
        self.appends += 1
        return stream.append(records, retention=self.faults.retention_records)

    async def _read(self, request: web.Request) -> web.Response:
        try:
            after = max(0, int(request.query.get("after", "0")))
            limit = min(MAX_LIMIT, max(1, int(request.query.get("limit", "1000"))))
            wait_s = min(MAX_WAIT_S, int(request.query.get("wait_ms", "0")) / 1000)
        except ValueError as error:
            return reply_json({"kind": "bad_request", "detail": str(error)}, status=400)
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        stream = self._stream(request)
        if not self.faults.outage and stream.head <= after and wait_s > 0:
            await self._wait(stream, wait_s)
        if self.faults.outage:
            return refuse("outage", status=503, retry_after_s=1)
        records = stream.read(after=after, limit=limit)
        page = {"records": records, "head": stream.head, "first": stream.first}
        return reply_json(page)

    async def _wait(self, stream: StreamLog, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s):
                await stream.grown.wait()
        except TimeoutError:
            return

    def _take_token(self) -> bool:
        rate = self.faults.rate_per_s
        if not rate:
            return True
        now = self.now()
        burst = max(1.0, rate * BURST_S)
        filled = (now - self._filled_at) * rate
        self._tokens = min(burst, self._tokens + filled)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
