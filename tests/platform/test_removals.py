"""Records of backend servers that a store removes while it is sound, or away.

Only the store's own unavailability lets records of running servers lapse. A gap in what
an instance has read of it, whatever its cause, must not delay a removal.
"""

from __future__ import annotations

import asyncio
import itertools
import time

import pytest

from baobabthread.routing.bounds import RoutingBounds
from tests.platform.fakestore import BACKENDS
from tests.platform.site import (
    Site,
    delay_connections,
    open_site,
    run,
    wait_for,
    withhold_calls,
)

DRAIN_S = RoutingBounds().drain_s
AFTER_READ_S = 0.05
"""Time from a read to the removal, which the instances then learn as late as can be."""
READ_ANEW_S = 1.6
"""Time within which instances without a reader have read the store themselves."""
GONE = "p2"
COUNTS = [1, 3, 6]


async def open_members(site: Site, count: int) -> None:
    """Start instances until there are `count` that know each other."""
    await site.add_instances(count)
    await wait_for(
        lambda: all(len(i.peers.membership.alive()) == count for i in site.instances)
    )
    await asyncio.sleep(1.0)


async def remove_after_read(site: Site) -> float:
    """Remove a server's record just after a read of the records; return when."""
    reads = site.store.reads[BACKENDS]
    await wait_for(lambda: site.store.reads[BACKENDS] > reads)
    await asyncio.sleep(AFTER_READ_S)
    site.store.put(BACKENDS, GONE, b"")
    return time.monotonic()


async def check_removal(site: Site, removed_at: float) -> None:
    """Check that no instance uses the server once the bound is over."""
    await asyncio.sleep(removed_at + DRAIN_S - time.monotonic())
    users = [
        i for i, each in enumerate(site.instances) if GONE in each.replica.backends
    ]
    assert not users


def find_reader(site: Site) -> int:
    """Return the index of the instance that reads the store for the others."""
    readers = [each.peers.replica_sync.is_reader for each in site.instances]
    return readers.index(True)


@pytest.mark.parametrize("count", COUNTS)
def test_a_read_that_hangs_delays_no_removal(count: int) -> None:
    """One response of the store is lost just after a record was removed."""

    async def case() -> None:
        async with open_site("p1", GONE) as site:
            await open_members(site, count)
            removed_at = await remove_after_read(site)
            site.store.silent_reads[BACKENDS] = 1
            await check_removal(site, removed_at)

    run(case())


@pytest.mark.parametrize("count", COUNTS[1:])
def test_reads_that_hang_at_one_instance_delay_no_removal(count: int) -> None:
    """Two responses in a row are lost while the store answers all others."""

    async def case() -> None:
        async with open_site("p1", GONE) as site:
            await open_members(site, count)
            removed_at = await remove_after_read(site)
            site.store.silent_reads[BACKENDS] = 2
            await check_removal(site, removed_at)

    run(case())


@pytest.mark.parametrize("count", COUNTS)
@pytest.mark.parametrize("stall_s", [1.2, 1.7])
def test_a_loop_that_stands_still_delays_no_removal(count: int, stall_s: float) -> None:
    """An instance gets no processor time just after a record was removed."""

    async def case() -> None:
        async with open_site("p1", GONE) as site:
            await open_members(site, count)
            removed_at = await remove_after_read(site)
            time.sleep(stall_s)  # noqa: ASYNC251 (the loop is to stand still)
            await check_removal(site, removed_at)

    run(case())


@pytest.mark.parametrize("count", COUNTS[1:])
@pytest.mark.parametrize("busy_s", [0.0, 0.15])
def test_a_reader_that_ends_delays_no_removal(count: int, busy_s: float) -> None:
    """The instance that reads for all others ends just after a record was removed.

    The others, which may be busy at times, read the store once it has been silent.
    """

    async def case() -> None:
        async with open_site("p1", GONE) as site:
            await open_members(site, count)
            reader = find_reader(site)
            removed_at = await remove_after_read(site)
            await site.stacks[reader].aclose()
            del site.instances[reader]
            while time.monotonic() < removed_at + READ_ANEW_S:
                time.sleep(busy_s)  # noqa: ASYNC251 (the loop is to stand still)
                await asyncio.sleep(0.05)
            await check_removal(site, removed_at)

    run(case())


async def restart(site: Site, indexes: list[int]) -> float:
    """Start instances again, and remove a record just after their first read of it."""
    names = [site.settings[index].name for index in indexes]
    for index in reversed(indexes):
        await site.stacks[index].aclose()
        del site.instances[index]
    hosts = itertools.count(len(site.settings) + 1)
    starts = [site.add_instance(name, ip=f"127.0.0.{next(hosts)}") for name in names]
    reads = site.store.reads[BACKENDS]
    starting = asyncio.gather(*starts)
    await wait_for(lambda: site.store.reads[BACKENDS] >= reads + len(indexes))
    await asyncio.sleep(AFTER_READ_S)
    site.store.put(BACKENDS, GONE, b"")
    removed_at = time.monotonic()
    await starting
    return removed_at


@pytest.mark.parametrize("count", COUNTS)
def test_a_start_delays_no_removal(count: int) -> None:
    """All instances start, and a record is removed just after they have read it."""

    async def case() -> None:
        async with open_site("p1", GONE) as site:
            await open_members(site, count)
            removed_at = await restart(site, list(range(count)))
            await check_removal(site, removed_at)

    run(case())


def test_a_restart_of_the_reader_delays_no_removal() -> None:
    """The reader has just started again as a record is removed."""

    async def case() -> None:
        async with open_site("p1", GONE) as site:
            await open_members(site, 3)
            removed_at = await restart(site, [find_reader(site)])
            await check_removal(site, removed_at)

    run(case())


@pytest.mark.parametrize("count", COUNTS)
@pytest.mark.parametrize("fault", ["busy", "silent"])
@pytest.mark.parametrize("away_s", [2.6, 3.4, 5.0])
def test_keep_servers_whose_records_lapsed_at_every_instance(
    count: int, fault: str, away_s: float
) -> None:
    """Instances that a peer told first read the lapsed records as removals."""

    async def case() -> None:
        async with open_site("p1", GONE) as site:
            await open_members(site, count)
            site.store.fault = fault
            await asyncio.sleep(away_s)
            for backend in site.backends:
                site.store.put(BACKENDS, backend.id, b"")
            site.store.fault = ""
            for _ in range(60):
                await asyncio.sleep(0.02)
                assert all(len(i.replica.backends) == 2 for i in site.instances)

    run(case())


def test_write_no_request_that_waited_past_a_removal(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A record is removed while connections for requests are being opened."""

    async def case() -> None:
        async with open_site("p1", "p2") as site:
            replica = site.instances[0].replica
            delay_connections(monkeypatch, 0.2)
            await withhold_calls(site, lambda: replica.record_missing("p1", 1e9))

    run(case())
