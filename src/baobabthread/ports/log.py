"""The port to the platform's append-only log."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec

from baobabthread.core.messages import LogRecord
from baobabthread.errors import UnavailableError


class NewRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one record to append."""

    id: str
    body: bytes
    """The record's JSON."""


class LogPage(msgspec.Struct, frozen=True, kw_only=True):
    """Hold records read from one stream and the stream's bounds at that moment."""

    records: list[LogRecord]
    head: int
    first: int
    """The lowest offset that the log still holds."""


class LogError(UnavailableError):
    """Report a log that did not do what it was asked."""

    def __init__(self, message: str, *, retry_after_s: float = 0.0) -> None:
        super().__init__(message, remedy="see whether the platform's log answers")
        self.retry_after_s = retry_after_s


class AppendRefusedError(LogError):
    """Report an append that is definitely not in the log."""

    definite = True


class AppendUnknownError(LogError):
    """Report an append that may be in the log all the same."""

    definite = False


class ReadError(LogError):
    """Report a read that failed."""


class Log(Protocol):
    """Append to and read from streams of records."""

    async def append(self, stream: str, records: Sequence[NewRecord]) -> int:
        """Append a batch and return the offset of its first record."""
        ...

    async def read(
        self, stream: str, *, after: int, limit: int, wait_s: float
    ) -> LogPage:
        """Return records behind an offset, waiting for one if there is none."""
        ...
