"""A store that comes back from a copy some seconds old."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from tests.platform.fakestore import STATUS, FakeStore, LostRecord

from soak.site import Site

RESTORED = "store restored"
OLDEST_S = 3.0
"""Greatest age of the copy."""
AWAY_S = 0.8
"""Longest time for which the store is away before it is restored."""
WRITTEN_AGAIN_S = 0.9
"""Longest time until operators and backend servers have written again."""
CHANGES = 8
"""Configurations that the copy of a press lacks."""
CHANGE_PAUSE_S = 0.1


async def restore_store(
    site: Site, age_s: float = 0.0, *, lost: Mapping[str, int] | None = None
) -> list[LostRecord]:
    """Restore the store from a copy of that age; return the records that it lacks.

    With `lost` the copy lacks so many of the newest records instead.
    """
    site.store.fault = "busy"
    await asyncio.sleep(site.rng.uniform(0.05, AWAY_S))
    dropped = site.store.restore(age_s=age_s + AWAY_S, lost=lost)
    site.store.fault = ""
    return dropped


async def write_again(site: Site, lost: list[LostRecord]) -> None:
    """Write the newest of each lost record again, unless there is a newer one."""
    ends = {topic: len(records) for topic, records in site.store.topics.items()}
    await asyncio.sleep(site.rng.uniform(0.0, WRITTEN_AGAIN_S))
    newest = list_newest(lost)
    site.rng.shuffle(newest)
    write_missing(site.store, newest, ends)


def list_newest(lost: list[LostRecord]) -> list[LostRecord]:
    """Return the newest of each lost record that is written by its owner again."""
    newest = {(record.topic, record.key): record for record in lost}
    return [record for record in newest.values() if record.topic != STATUS]


def write_missing(
    store: FakeStore, records: list[LostRecord], ends: Mapping[str, int]
) -> None:
    """Write records again whose keys were not written since the topics had `ends`."""
    for record in records:
        written = store.topics[record.topic][ends[record.topic] :]
        if record.key not in (key for key, _ in written):
            store.put(record.topic, record.key, record.value)


async def change_often(site: Site) -> None:
    """Publish so many configurations that a copy without them is far behind."""
    for _ in range(CHANGES):
        site.add_route()
        await asyncio.sleep(CHANGE_PAUSE_S)
