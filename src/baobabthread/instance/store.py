"""Port to the store, which holds the persistent state."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec

from baobabthread.core.positions import Position
from baobabthread.routing.configuration import (
    BackendRecord,
    Evacuation,
    RolloutOrder,
    RolloutStatus,
    RoutingConfiguration,
)
from baobabthread.routing.quarantine import QuarantineEntry


class StoreError(Exception):
    """A store call got no usable response; it may have taken effect."""

    def __init__(self, message: str, *, is_refused: bool = False) -> None:
        super().__init__(message)
        self.is_refused = is_refused
        """Whether the store itself answered that it can't serve the call."""


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """One keyed record; an empty value deletes the key."""

    key: str
    value: bytes
    position: Position


class Page(msgspec.Struct, frozen=True, kw_only=True):
    """The newest record of each key, and the offset to continue reading from."""

    records: list[Record]
    end: Position


class Tail(msgspec.Struct, frozen=True, kw_only=True):
    """Records in offset order, and the end of the topic."""

    records: list[Record]
    next: Position
    """Position after the last record read."""
    end: Position
    """Position at which the topic ends."""


class Trimmed(msgspec.Struct, frozen=True):
    """The topic has no record at the requested position, nor ends there."""


class Append(msgspec.Struct, frozen=True, kw_only=True):
    """A keyed record that is appended only if the topic ends at `expected_end`.

    This is a compare-and-set: a writer that decided on outdated records, such as an
    instance that was paused, finds that the topic has grown and appends nothing.
    """

    topic: str
    key: str
    value: bytes
    expected_end: Position


class Appended(msgspec.Struct, frozen=True, kw_only=True):
    """A record was appended; the topic now ends at `end`."""

    end: Position


class Conflict(msgspec.Struct, frozen=True):
    """A record was not appended because the topic has grown."""


class RecordFormat(Protocol):
    """Name the topics and translate their records.

    Decoders raise nothing but `ConfigurationError`, for records that can't be decoded.
    What they return is bounded: names are short, and numbers are finite and small
    enough to calculate with.
    """

    operators_topic: str
    backends_topic: str
    status_topic: str

    def decode_operator_record(
        self, record: Record
    ) -> RoutingConfiguration | RolloutOrder | Evacuation | None:
        """Decode an operators' record; return None for keys that are not used here.

        A record with an empty value withdraws the previous one of its key.
        """

    def decode_backend(self, record: Record) -> BackendRecord:
        """Decode the record of one backend server process."""

    def decode_status(self, record: Record) -> RolloutStatus | None:
        """Decode the status of a roll-out; return None for other records."""

    def encode_status(self, status: RolloutStatus, expected_end: Position) -> Append:
        """Return the append that writes the status of a roll-out."""

    def decode_quarantined(
        self, record: Record, *, unix_now: float
    ) -> QuarantineEntry | None:
        """Decode a quarantined request; return None for other records."""

    def encode_quarantined(
        self, entry: QuarantineEntry, expected_end: Position, *, unix_now: float
    ) -> Append:
        """Return the append that writes a quarantined request."""

    def encode_release(self, fingerprint: str, expected_end: Position) -> Append:
        """Return the append that removes a request from quarantine."""


class Store(Protocol):
    """Read and append records of keyed topics; each call may raise `StoreError`."""

    on_era: Callable[[int], None]
    """Called with the era that a response names, whatever its status; 0 if none."""

    async def newest(self, topic: str, timeout_s: float) -> Page:
        """Return the newest record of each key."""

    async def read(
        self, topic: str, start: Position, *, wait_s: float, timeout_s: float
    ) -> Tail | Trimmed:
        """Return the records from a position on.

        Waits up to `wait_s` only while there are none.
        """

    async def append(self, append: Append, timeout_s: float) -> Appended | Conflict:
        """Append one record."""
