"""Tests of the quarantine records, against a store in memory."""

from __future__ import annotations

from typing import Any

from bench._fleet_store import HELD_PREFIX, Formats, MemoryStore
from bench._virtual import run_virtually

from baobabthread.instance.clock import now
from baobabthread.instance.quarantine import QuarantineCoordinator
from baobabthread.instance.quarantinerecords import QuarantineRecords
from baobabthread.instance.store import Append
from baobabthread.routing.quarantine import (
    QUARANTINE_S,
    RELAPSE_WINDOW_S,
    QuarantineEntry,
)

KEY = f"{HELD_PREFIX}f1"


class ReaderSync:
    """Replica synchronization of an instance that reads the store."""

    is_reader = True


def make_records(store: Any) -> tuple[QuarantineRecords, QuarantineCoordinator]:
    coordinator = QuarantineCoordinator(me="a", send=lambda to, message: None)
    replica_sync: Any = ReaderSync()
    return QuarantineRecords(
        coordinator=coordinator,
        replica_sync=replica_sync,
        store=store,
        formats=Formats(),
    ), coordinator


def quarantine_request(coordinator: QuarantineCoordinator) -> None:
    coordinator.quarantine.add("f1", "s", (), now())
    coordinator.unwritten["f1"] = now()


def list_stored(store: MemoryStore) -> list[tuple[str, bool]]:
    """Return the key of each record, and whether it has a value."""
    records = store.topics.get(Formats.status_topic, [])
    return [(record.key, bool(record.value)) for record in records]


def test_store_an_entry_once() -> None:
    async def case() -> None:
        store = MemoryStore()
        records, coordinator = make_records(store)
        quarantine_request(coordinator)
        await records._step()
        assert not coordinator.unwritten
        coordinator.unwritten["f1"] = now()
        await records._step()
        assert list_stored(store) == [(KEY, True)]

    run_virtually(case())


def test_load_stored_entries_at_a_start() -> None:
    async def case() -> None:
        store = MemoryStore()
        records, coordinator = make_records(store)
        quarantine_request(coordinator)
        await records._step()
        again, other = make_records(store)
        await again._step()
        assert other.find("f1") is not None
        assert other.has_complete_list

    run_virtually(case())


def test_store_a_release() -> None:
    async def case() -> None:
        store = MemoryStore()
        records, coordinator = make_records(store)
        quarantine_request(coordinator)
        await records._step()
        coordinator.release("f1")
        await records._step()
        again, other = make_records(store)
        await again._step()
        assert other.find("f1") is None
        assert other.quarantine.previously_quarantined(now() + QUARANTINE_S) == set()

    run_virtually(case())


def test_remove_an_expired_entry() -> None:
    async def case() -> None:
        store = MemoryStore()
        records, coordinator = make_records(store)
        quarantine_request(coordinator)
        await records._step()
        assert coordinator.quarantine.expire(
            now() + QUARANTINE_S + RELAPSE_WINDOW_S + 1.0
        )
        # Reading the store must not restore the expired entry.
        old = QuarantineEntry(
            fingerprint="f1", service="s", times=1, left_s=-RELAPSE_WINDOW_S
        )
        store.write(Formats.status_topic, KEY, old)
        coordinator.unwritten["f1"] = now()
        await records._step()
        assert list_stored(store)[-1] == (KEY, False)
        assert not coordinator.unwritten

    run_virtually(case())


class RacedStore(MemoryStore):
    """A store in which another instance writes just before the first append."""

    def __init__(self) -> None:
        super().__init__()
        self.races = 1

    async def append(self, append: Append, timeout_s: float) -> Any:
        """Append, the first time after another instance's record."""
        if self.races:
            self.races -= 1
            self.write(Formats.status_topic, "rollout", None)
        return await super().append(append, timeout_s)


def test_write_again_after_a_conflict() -> None:
    """The leader of a roll-out writes a status between this instance's read and write.

    If the entry counted as written, it would be lost when all instances stop.
    """

    async def case() -> None:
        store = RacedStore()
        records, coordinator = make_records(store)
        quarantine_request(coordinator)
        await records._step()
        assert coordinator.unwritten
        await records._step()
        assert not coordinator.unwritten
        assert list_stored(store) == [("rollout", False), (KEY, True)]

    run_virtually(case())
