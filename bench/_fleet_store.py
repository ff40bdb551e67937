"""A store held in memory that counts the calls, and what stands in it."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

import msgspec

from baobabthread.core.positions import Position
from baobabthread.instance.clock import now
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
                offset=record.position.offset,
                era=record.position.era,
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

    def encode_status(self, status: RolloutStatus, expected_end: Position) -> Append:
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
        self, entry: QuarantineEntry, expected_end: Position, *, unix_now: float
    ) -> Append:
        """Return the record of a request that is held."""
        return msgspec.structs.replace(
            self.encode_release(entry.fingerprint, expected_end),
            value=msgspec.json.encode(entry),
        )

    def encode_release(self, fingerprint: str, expected_end: Position) -> Append:
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
        self.era = 1
        self.on_era: Callable[[int], None] = lambda era: None
        self._first: dict[str, int] = {}
        self._written_at: dict[str, list[float]] = {}

    def write(self, topic: str, key: str, value: msgspec.Struct | None) -> None:
        """Append a record."""
        self._append(topic, key, msgspec.json.encode(value) if value else b"")

    def _append(self, topic: str, key: str, value: bytes) -> None:
        records = self.topics.setdefault(topic, [])
        position = Position(self.era, len(records))
        records.append(Record(key=key, value=value, position=position))
        self._written_at.setdefault(topic, []).append(now())

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

    def restore(self, age_s: float) -> list[tuple[str, Record]]:
        """Go on from a copy of that age, in a new era; return the lost records."""
        self.era += 1
        since = now() - age_s
        lost = []
        for topic, records in self.topics.items():
            times = self._written_at[topic]
            end = sum(written_at < since for written_at in times)
            lost += [(topic, record) for record in records[end:]]
            del records[end:], times[end:]
            self._first[topic] = min(self._first.get(topic, 0), end)
            records[:] = [
                msgspec.structs.replace(
                    record, position=Position(self.era, record.position.offset)
                )
                for record in records
            ]
        return lost

    def write_again(self, lost: list[tuple[str, Record]]) -> None:
        """Write what operators and backend servers wrote and a restore lost."""
        for topic, record in lost:
            if topic != Formats.status_topic:
                self._append(topic, record.key, record.value)

    def _find_end(self, topic: str) -> Position:
        return Position(self.era, len(self.topics.get(topic, [])))

    async def newest(self, topic: str, timeout_s: float) -> Page:
        """Return the newest record of each key."""
        await self._answer(f"newest {topic}", timeout_s)
        records = self.topics.get(topic, [])
        newest = {record.key: record for record in records}
        held = [record for record in newest.values() if record.value]
        return Page(records=held, end=self._find_end(topic))

    async def read(
        self, topic: str, start: Position, *, wait_s: float, timeout_s: float
    ) -> Tail | Trimmed:
        """Return the records from a position on, at once when there are any."""
        await self._answer(f"read {topic}", timeout_s)
        for _ in range(int(wait_s / LOOK_S)):
            if len(self.topics.get(topic, [])) != start.offset:
                break
            await asyncio.sleep(LOOK_S)
        end = self._find_end(topic)
        if not self._first.get(topic, 0) <= start.offset <= end.offset:
            return Trimmed()
        records = self.topics.get(topic, [])
        return Tail(records=records[start.offset :], next=end, end=end)

    async def append(self, append: Append, timeout_s: float) -> Appended | Conflict:
        """Append one record where the topic ends as expected."""
        await self._answer(f"append {append.topic}", timeout_s)
        if self._find_end(append.topic).offset != append.expected_end.offset:
            return Conflict()
        self._append(append.topic, append.key, append.value)
        return Appended(end=self._find_end(append.topic))

    async def _answer(self, call: str, timeout_s: float) -> None:
        self.calls[call] += 1
        if self.is_away:
            await asyncio.sleep(timeout_s)
            raise StoreError("no answer in time")
        await asyncio.sleep(ANSWER_S)


class StoreLink:
    """Let one instance reach the store, or not."""

    def __init__(self, *, store: MemoryStore) -> None:
        self._store = store
        self.is_refused = False
        self.on_era: Callable[[int], None] = lambda era: None

    async def newest(self, topic: str, timeout_s: float) -> Page:
        """Return the newest record of each key."""
        await self._check()
        page = await self._store.newest(topic, timeout_s)
        self.on_era(page.end.era)
        return page

    async def read(
        self, topic: str, start: Position, *, wait_s: float, timeout_s: float
    ) -> Tail | Trimmed:
        """Return the records from a position on, at once when there are any."""
        await self._check()
        tail = await self._store.read(topic, start, wait_s=wait_s, timeout_s=timeout_s)
        self.on_era(self._store.era)
        return tail

    async def append(self, append: Append, timeout_s: float) -> Appended | Conflict:
        """Append one record where the topic ends as expected."""
        await self._check()
        outcome = await self._store.append(append, timeout_s)
        self.on_era(self._store.era)
        return outcome

    async def _check(self) -> None:
        if self.is_refused:
            await asyncio.sleep(ANSWER_S)
            raise StoreError("connection reset")
