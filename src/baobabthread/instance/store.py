"""The port to the store that keeps what must last."""

from __future__ import annotations

from typing import Protocol

import msgspec

from baobabthread.routing.configuration import (
    BackendRecord,
    Evacuation,
    RolloutOrder,
    RolloutStatus,
    RoutingConfiguration,
)
from baobabthread.routing.quarantine import QuarantineEntry


class StoreError(Exception):
    """Report a call to the store without a usable answer; it may have been done."""


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one keyed record; without a value the key is gone."""

    key: str
    value: bytes
    offset: int


class Page(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the newest record of each key, and where to read on."""

    records: list[Record]
    end: int


class Tail(msgspec.Struct, frozen=True, kw_only=True):
    """Hold records in order, where they end and where the topic ends."""

    records: list[Record]
    next: int
    end: int


class Trimmed(msgspec.Struct, frozen=True):
    """Tell that the records asked for are no longer held."""


class Append(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one keyed record that is appended only where the topic ends as expected.

    Whoever decided on what it had read before somebody else wrote, such as an instance
    that was paused, finds the topic longer and writes nothing.
    """

    topic: str
    key: str
    value: bytes
    expected_end: int


class Appended(msgspec.Struct, frozen=True, kw_only=True):
    """Tell that a record was appended, and where the topic ends now."""

    end: int


class Conflict(msgspec.Struct, frozen=True):
    """Tell that a record was not appended, as the topic has grown since."""


class RecordFormat(Protocol):
    """Name the topics and decode what stands in them.

    Decoders raise `msgspec.MsgspecError` or `BaobabthreadError` for what they can't
    understand.
    """

    operators_topic: str
    backends_topic: str
    status_topic: str

    def decode_operator_record(
        self, record: Record
    ) -> RoutingConfiguration | RolloutOrder | Evacuation | None:
        """Decode what operators wrote; nothing for keys of no interest.

        Without a value a record takes back what stood under its key.
        """

    def decode_backend(self, record: Record) -> BackendRecord:
        """Decode the record of one start of a backend server."""

    def decode_status(self, record: Record) -> RolloutStatus | None:
        """Decode how far a roll-out has come."""

    def encode_status(self, status: RolloutStatus, expected_end: int) -> Append:
        """Return the record that says how far a roll-out has come."""

    def decode_quarantined(
        self, record: Record, *, unix_now: float
    ) -> QuarantineEntry | None:
        """Decode a request that is held; nothing for other records there."""

    def encode_quarantined(
        self, entry: QuarantineEntry, expected_end: int, *, unix_now: float
    ) -> Append:
        """Return the record of a request that is held."""

    def encode_release(self, fingerprint: str, expected_end: int) -> Append:
        """Return the record that removes a request that is held no more."""


class Store(Protocol):
    """Read and append records of keyed topics; each call may raise `StoreError`."""

    async def newest(self, topic: str, timeout_s: float) -> Page:
        """Return the newest record of each key."""

    async def read(
        self, topic: str, start: int, *, wait_s: float, timeout_s: float
    ) -> Tail | Trimmed:
        """Return the records from an offset on, at once when there are any."""

    async def append(self, append: Append, timeout_s: float) -> Appended | Conflict:
        """Append one record."""
