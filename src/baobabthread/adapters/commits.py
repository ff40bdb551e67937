"""Group commit: many records of one stream in one append."""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable

from baobabthread.core.messages import Append, Appended, AppendFailed, Stream
from baobabthread.logs import log_event
from baobabthread.ports.log import Log, LogError, NewRecord

MAX_BATCH = 500
MIN_PAUSE_S = 0.05
MAX_PAUSE_S = 1.0
GATHER_S = {Stream.BILLS: 0.05, Stream.CLAIMS: 0.002}
"""How long a batch waits for more records: the log takes few appends a second.

A claim holds its caller up and waits little; a bill has its copy at a peer.
"""
DEFAULT_GATHER_S = 0.005

Feed = Callable[[Appended | AppendFailed], None]


class GroupCommit:
    """Append the records of one stream, one batch in flight at a time."""

    __slots__ = (
        "_feed",
        "_gather_s",
        "_log",
        "_queue",
        "_refused_until",
        "_stream",
        "_task",
        "appends",
    )

    def __init__(
        self, *, stream: Stream, log: Log, feed: Feed, gather_s: float | None = None
    ) -> None:
        self._stream = stream
        self._log = log
        self._feed = feed
        if gather_s is None:
            gather_s = GATHER_S.get(stream, DEFAULT_GATHER_S)
        self._gather_s = gather_s
        self._queue: deque[Append] = deque()
        self._task: asyncio.Task[None] | None = None
        self._refused_until = 0.0
        self.appends = 0

    @property
    def waiting(self) -> int:
        """Count the records that no append has taken yet."""
        return len(self._queue)

    def add(self, append: Append) -> None:
        """Queue one record; while the log refuses, it fails at once."""
        loop = asyncio.get_running_loop()
        if loop.time() < self._refused_until:
            # A record that waits here for the log's return is neither in the log nor
            # surely not: its operator or caller would be told "unknown" for nothing.
            loop.call_soon(self._fail, [append], True)
            return
        self._queue.append(append)
        if self._task is None:
            self._task = loop.create_task(self._drain())

    async def _drain(self) -> None:
        try:
            while self._queue:
                await asyncio.sleep(self._gather_s)
                size = min(len(self._queue), MAX_BATCH)
                await self._append([self._queue.popleft() for _ in range(size)])
        finally:
            self._task = None

    async def _append(self, batch: list[Append]) -> None:
        records = [NewRecord(id=append.id, body=append.body) for append in batch]
        try:
            first = await self._log.append(self._stream, records)
        except LogError as error:
            definite = getattr(error, "definite", False)
            # Without a pause a log that refuses at once would be asked thousands of
            # times a second, and its outage would last longer.
            pause = min(max(error.retry_after_s, MIN_PAUSE_S), MAX_PAUSE_S)
            if definite:
                self._refused_until = asyncio.get_running_loop().time() + pause
                batch += self._queue
                self._queue.clear()
            self._report_failure(batch, error, definite=definite)
            if not definite:
                await asyncio.sleep(pause)
            return
        self.appends += 1
        for position, append in enumerate(batch):
            self._feed(
                Appended(stream=self._stream, id=append.id, offset=first + position)
            )

    def _report_failure(
        self, batch: list[Append], error: LogError, *, definite: bool
    ) -> None:
        log_event(
            "append_failed",
            level="warning",
            stream=self._stream,
            records=len(batch),
            definite=definite,
            reason=error.message,
        )
        self._fail(batch, definite)

    def _fail(self, batch: list[Append], definite: bool) -> None:
        for append in batch:
            self._feed(
                AppendFailed(stream=self._stream, id=append.id, definite=definite)
            )

    async def flush(self, timeout_s: float) -> None:
        """Wait until the queue is empty, at most so long."""
        if self._task is not None:
            await asyncio.wait([self._task], timeout=timeout_s)

    async def close(self) -> None:
        """Stop appending."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
