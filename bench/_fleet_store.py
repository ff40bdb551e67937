"""A store held in memory that counts the calls, and what stands in it."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

import msgspec

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
from baobabthread.routing.configuration import (
    BackendRecord,
    Evacuation,
    RolloutOrder,
    RolloutStatus,
    RoutingConfiguration,
)
from baobabthread.routing.quarantine import QuarantineEntry

EVACUATION_PREFIX = "evacuation/"
HELD_PREFIX = "held/"
ANSWER_S = 0.004
"""Time for an answer of the store."""
LOOK_S = 0.02
"""Pause between looks at whether a held read has something to tell."""


class _Mark(msgspec.Struct, frozen=True):
    """Say no more than that it stands here."""


MARK = _Mark()


class Formats:
    """Name the topics and decode what this stand-in writes there."""

    operators_topic = "operators"
    backends_topic = "backends"
    status_topic = "status"

    def decode_operator_record(
        self, record: Record
    ) -> RoutingConfiguration | RolloutOrder | Evacuation | None:
        """Decode a configuration or an evacuation."""
        if record.key.startswith(EVACUATION_PREFIX):
            return Evacuation(
                number=record.offset,
                failure_domain=record.key.removeprefix(EVACUATION_PREFIX),
                is_on=bool(record.value),
            )
        return msgspec.json.decode(record.value, type=RoutingConfiguration)

    def decode_backend(self, record: Record) -> BackendRecord:
        """Decode the record of a backend server."""
        return msgspec.json.decode(record.value, type=BackendRecord)

    def decode_status(self, record: Record) -> RolloutStatus | None:
        """Decode how far a roll-out has come."""
        return msgspec.json.decode(record.value, type=RolloutStatus)

    def encode_status(self, status: RolloutStatus, expected_end: int) -> Append:
        """Return the record that says how far a roll-out has come."""
        return Append(
            topic=self.status_topic,
            key=status.service,
            value=msgspec.json.encode(status),
            expected_end=expected_end,
        )

    def decode_quarantined(
        self, record: Record, *, unix_now: float
    ) -> QuarantineEntry | None:
        """Decode a request that is held; nothing for other records there."""
        if not record.key.startswith(HELD_PREFIX) or not record.value:
            return None
        return msgspec.json.decode(record.value, type=QuarantineEntry)

    def encode_quarantined(
        self, entry: QuarantineEntry, expected_end: int, *, unix_now: float
    ) -> Append:
        """Return the record of a request that is held."""
        return msgspec.structs.replace(
            self.encode_release(entry.fingerprint, expected_end),
            value=msgspec.json.encode(entry),
        )

    def encode_release(self, fingerprint: str, expected_end: int) -> Append:
        """Return the record that removes a request that is held no more."""
        return Append(
            topic=self.status_topic,
            key=f"{HELD_PREFIX}{fingerprint}",
            value=b"",
            expected_end=expected_end,
        )


class MemoryStore:
    """Hold records in memory and count the calls."""

    def __init__(self) -> None:
        self.topics: dict[str, list[Record]] = {}
        self.calls: Counter[str] = Counter()
        self.is_away = False
        self.on_era: Callable[[int], None] = lambda era: None
        self._first: dict[str, int] = {}

    def write(self, topic: str, key: str, value: msgspec.Struct | None) -> None:
        """Append a record."""
        records = self.topics.setdefault(topic, [])
        body = msgspec.json.encode(value) if value is not None else b""
        records.append(Record(key=key, value=body, offset=len(records)))

    def write_configuration(self, version: int) -> None:
        """Write a configuration without routes."""
        configuration = RoutingConfiguration(version=version, routes=(), services=())
        self.write(Formats.operators_topic, "config", configuration)

    def write_evacuation(self, failure_domain: str, *, is_on: bool = True) -> None:
        """Evacuate a failure domain, or take that back."""
        key = f"{EVACUATION_PREFIX}{failure_domain}"
        self.write(Formats.operators_topic, key, MARK if is_on else None)

    def write_backend(
        self, number: int, *, domains: int, leaving: bool = False
    ) -> None:
        """Write the record of one backend server."""
        record = BackendRecord(
            id=f"i-{number:08x}",
            service="content",
            address=f"10.9.{number // 200}.{number % 200}:8300",
            failure_domain=f"domain{number % domains}",
            version="v1",
            capacity=32,
            leaving=leaving,
        )
        self.write(Formats.backends_topic, record.id, record)

    def forget(self) -> None:
        """Drop the history of all topics; the newest of each key stays."""
        for topic, records in self.topics.items():
            self._first[topic] = len(records)

    async def newest(self, topic: str, timeout_s: float) -> Page:
        """Return the newest record of each key."""
        await self._answer(f"newest {topic}", timeout_s)
        records = self.topics.get(topic, [])
        newest = {record.key: record for record in records}
        held = [record for record in newest.values() if record.value]
        return Page(records=held, end=len(records))

    async def read(
        self, topic: str, start: int, *, wait_s: float, timeout_s: float
    ) -> Tail | Trimmed:
        """Return the records from an offset on, at once when there are any."""
        await self._answer(f"read {topic}", timeout_s)
        for _ in range(int(wait_s / LOOK_S)):
            if len(self.topics.get(topic, [])) > start:
                break
            await asyncio.sleep(LOOK_S)
        if start < self._first.get(topic, 0):
            return Trimmed()
        records = self.topics.get(topic, [])
        return Tail(records=records[start:], next=len(records), end=len(records))

    async def append(self, append: Append, timeout_s: float) -> Appended | Conflict:
        """Append one record where the topic ends as expected."""
        await self._answer(f"append {append.topic}", timeout_s)
        records = self.topics.setdefault(append.topic, [])
        offset = len(records)
        if offset != append.expected_end:
            return Conflict()
        records.append(Record(key=append.key, value=append.value, offset=offset))
        return Appended(end=len(records))

    async def _answer(self, call: str, timeout_s: float) -> None:
        self.calls[call] += 1
        if self.is_away:
            await asyncio.sleep(timeout_s)
            raise StoreError("no answer in time")
        await asyncio.sleep(ANSWER_S)
