"""Tests of what is stored of held requests, against a store in memory."""

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


class Reader:
    """Stand for a relay whose instance reads the store."""

    is_reader = True


def make_records(store: Any) -> tuple[QuarantineRecords, QuarantineCoordinator]:
    desk = QuarantineCoordinator(me="a", send=lambda to, word: None)
    relay: Any = Reader()
    return QuarantineRecords(
        coordinator=desk, replica_sync=relay, store=store, formats=Formats()
    ), desk


def hold(desk: QuarantineCoordinator) -> None:
    desk.quarantine.add("f1", "s", (), now())
    desk.unwritten["f1"] = now()


def list_stored(store: MemoryStore) -> list[tuple[str, bool]]:
    """Return the keys of all records, and whether each has a value."""
    records = store.topics.get(Formats.status_topic, [])
    return [(record.key, bool(record.value)) for record in records]


def test_store_what_is_held_once() -> None:
    async def case() -> None:
        store = MemoryStore()
        records, desk = make_records(store)
        hold(desk)
        await records._step()
        assert not desk.unwritten
        desk.unwritten["f1"] = now()
        await records._step()
        assert list_stored(store) == [(KEY, True)]

    run_virtually(case())


def test_learn_what_is_stored_at_a_start() -> None:
    async def case() -> None:
        store = MemoryStore()
        records, desk = make_records(store)
        hold(desk)
        await records._step()
        again, other = make_records(store)
        await again._step()
        assert other.find("f1") is not None
        assert other.has_complete_list

    run_virtually(case())


def test_store_that_a_request_was_let_go() -> None:
    async def case() -> None:
        store = MemoryStore()
        records, desk = make_records(store)
        hold(desk)
        await records._step()
        desk.release("f1")
        await records._step()
        again, other = make_records(store)
        await again._step()
        assert other.find("f1") is None
        assert other.quarantine.previously_quarantined(now() + QUARANTINE_S) == set()

    run_virtually(case())


def test_remove_what_is_long_over() -> None:
    async def case() -> None:
        store = MemoryStore()
        records, desk = make_records(store)
        hold(desk)
        await records._step()
        assert desk.quarantine.expire(now() + QUARANTINE_S + RELAPSE_WINDOW_S + 1.0)
        # What the store still names as held must not come back by reading it.
        old = QuarantineEntry(
            fingerprint="f1", service="s", times=1, left_s=-RELAPSE_WINDOW_S
        )
        store.write(Formats.status_topic, KEY, old)
        desk.unwritten["f1"] = now()
        await records._step()
        assert list_stored(store)[-1] == (KEY, False)
        assert not desk.unwritten

    run_virtually(case())


class RacedStore(MemoryStore):
    """Let another instance write just before the first append arrives."""

    def __init__(self) -> None:
        super().__init__()
        self.races = 1

    async def append(self, append: Append, timeout_s: float) -> Any:
        """Append behind another instance's record the first time."""
        if self.races:
            self.races -= 1
            self.write(Formats.status_topic, "rollout", None)
        return await super().append(append, timeout_s)


def test_write_again_where_another_instance_wrote_meanwhile() -> None:
    """The leader of a roll-out writes its state between this one's read and write.

    Taken for written, the entry would be lost with the instances.
    """

    async def case() -> None:
        store = RacedStore()
        records, desk = make_records(store)
        hold(desk)
        await records._step()
        assert desk.unwritten
        await records._step()
        assert not desk.unwritten
        assert list_stored(store) == [("rollout", False), (KEY, True)]

    run_virtually(case())
