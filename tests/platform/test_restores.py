"""A store that comes back: restored from an older copy, or after an outage."""

from __future__ import annotations

import asyncio

import pytest

from baobabthread.instance.clock import now
from baobabthread.instance.topicreaders import BackendTopicReader
from baobabthread.routing.configuration import RolloutState
from baobabthread.routing.replica import StateReplica
from tests.platform.fakestore import BACKENDS, OPERATORS, STATUS
from tests.platform.site import (
    Site,
    make_configuration,
    open_site,
    route,
    run,
    wait_for,
)

WITHIN_S = 1.0
"""Time from the store's return within which all instances have what it holds."""


def get_version(site: Site, index: int) -> int:
    table = site.instances[index].replica.table
    return 0 if table is None else table.configuration.version


async def wait_version(site: Site, version: int, *, seconds: float = WITHIN_S) -> None:
    """Wait until all instances have a configuration."""
    indices = range(len(site.instances))
    await wait_for(
        lambda: all(get_version(site, i) == version for i in indices), seconds
    )


async def wait_members(site: Site) -> None:
    """Wait until all instances know each other."""
    count = len(site.instances)
    await wait_for(
        lambda: all(i.peers.replica_sync.members == count for i in site.instances)
    )


def add_route(site: Site, version: int) -> None:
    """Publish a configuration with the route `/added/`."""
    routes = [*make_configuration()["routes"]]  # type: ignore[misc]
    site.configure(version, routes=[*routes, route("/added/", "idempotent")])


@pytest.mark.parametrize("count", [1, 3, 6])
@pytest.mark.parametrize(("lost", "written"), [(6, 1), (3, 3), (3, 6)])
def test_apply_changes_at_offsets_that_are_given_out_again(
    count: int, lost: int, written: int
) -> None:
    """Offsets of the restored store lie below, at or beyond those known before."""

    async def case() -> None:
        async with open_site("p1") as site:
            await site.add_instances(count)
            await wait_members(site)
            for version in range(2, 9):
                site.configure(version)
            await wait_version(site, 8)
            site.store.restore(lost={OPERATORS: lost})
            await asyncio.sleep(0.3)
            for version in range(9, 8 + written):
                site.configure(version)
            add_route(site, 8 + written)
            await wait_version(site, 8 + written)
            for index in range(count):
                assert (await site.call("/added/x", index=index)).status == 200

    run(case())


def test_apply_changes_after_two_restores_in_a_row() -> None:
    async def case() -> None:
        async with open_site("p1") as site:
            await site.add_instances(4)
            await wait_members(site)
            for version in range(2, 9):
                site.configure(version)
            await wait_version(site, 8)
            for _ in range(2):
                site.store.restore(lost={OPERATORS: 3})
                await asyncio.sleep(0.4)
            site.configure(9)
            await wait_version(site, 9)

    run(case())


def test_revoke_a_key_after_a_restore() -> None:
    """A key is revoked at an offset that the store had given out before."""

    async def case() -> None:
        async with open_site("p1") as site:
            await site.add_instances(3)
            await wait_members(site)
            for version in range(2, 6):
                site.configure(version)
            await wait_version(site, 5)
            site.store.restore(lost={OPERATORS: 3})
            site.configure(6, tenants=[{"name": "metro", "api_keys": ["other"]}])
            await asyncio.sleep(WITHIN_S)
            for index in range(3):
                assert (await site.call("/safe/x", index=index)).status == 401

    run(case())


@pytest.mark.parametrize("fault", ["", "busy"])
def test_read_a_restored_store_without_a_call_storm(fault: str) -> None:
    """A read beyond the end is answered 410, and must not be repeated at once."""

    async def case() -> None:
        async with open_site("p1") as site:
            await site.add_instances(6)
            await wait_members(site)
            for version in range(2, 9):
                site.configure(version)
            await wait_version(site, 8)
            site.store.fault = fault
            await asyncio.sleep(0.8)
            site.store.fault = ""
            site.store.restore(lost={OPERATORS: 6, BACKENDS: 1})
            site.store.calls.clear()
            await asyncio.sleep(2.0)
            assert len(site.store.calls) <= 60

    run(case())


def test_pause_between_reads_of_a_store_that_lost_records_without_a_new_era() -> None:
    """The end of a topic falls though no response names another era."""

    async def case() -> None:
        async with open_site("p1", era=None) as site:
            for version in range(2, 9):
                site.configure(version)
            await wait_version(site, 8)
            site.store.restore(lost={OPERATORS: 6})
            site.store.calls.clear()
            await asyncio.sleep(2.0)
            assert len(site.store.calls) <= 40

    run(case())


def test_learn_servers_that_come_and_go_after_a_restore() -> None:
    """Servers' records are written at offsets that the store had given out before."""

    async def case() -> None:
        async with open_site("p1", "p2", "p3") as site:
            await site.add_instances(3)
            await wait_members(site)
            for number in range(8):
                site.store.put(
                    BACKENDS, "p3", {**site.backends[2].record, "seq": number}
                )
            await asyncio.sleep(1.0)
            site.store.restore(lost={BACKENDS: 8})
            await site.add_backend("p4")
            site.store.put(BACKENDS, "p2", b"")
            await asyncio.sleep(0.2)
            names = {"p1", "p3", "p4"}
            for instance in site.instances:
                await wait_for(lambda i=instance: set(i.replica.backends) == names, 3.5)

    run(case())


def test_keep_servers_whose_records_are_written_again() -> None:
    """All records of servers are missing from the copy and return after 1.5 s."""

    async def case() -> None:
        async with open_site("p1", "p2") as site:
            await site.add_instances(3)
            await wait_members(site)
            lost = site.store.restore(lost={BACKENDS: 2})
            loop = asyncio.get_running_loop()
            loop.call_later(1.5, site.store.write_again, lost)
            ends_at = loop.time() + 2.0
            while loop.time() < ends_at:
                for index in range(3):
                    assert (await site.call("/safe/x", index=index)).status == 200
                await asyncio.sleep(0.05)
            await asyncio.sleep(2.0)
            for index in range(3):
                assert (await site.call("/safe/x", index=index)).status == 200

    run(case())


@pytest.mark.parametrize("away_s", [1.0, 1.6, 2.4])
def test_keep_servers_that_several_instances_found_missing(away_s: float) -> None:
    """After an outage all instances read a copy without servers, one the new records.

    Nothing changes at the one that reads on, so that the others aren't told.
    """

    async def case() -> None:
        async with open_site("p1", "p2") as site:
            await site.add_instances(4)
            await wait_members(site)
            site.store.fault = "busy"
            await asyncio.sleep(away_s)
            lost = site.store.restore(lost={BACKENDS: 2})
            site.store.fault = ""
            asyncio.get_running_loop().call_later(1.2, site.store.write_again, lost)
            await keep_servers(site, 5.0)

    run(case())


async def keep_servers(site: Site, seconds: float) -> None:
    """Check for a while that no instance removes a server."""
    names = {backend.id for backend in site.backends}
    ends_at = now() + seconds
    while now() < ends_at:
        for instance in site.instances:
            assert set(instance.replica.backends) == names
        await asyncio.sleep(0.05)


def test_keep_servers_through_restores_in_series() -> None:
    """Each copy lacks the records that servers wrote after the one before."""

    async def case() -> None:
        async with open_site("p1", "p2") as site:
            await site.add_instances(3)
            await wait_members(site)
            loop = asyncio.get_running_loop()
            lost = site.store.restore(lost={BACKENDS: 2})
            for _ in range(3):
                loop.call_later(1.0, site.store.write_again, lost)
                await keep_servers(site, 1.2)
                lost = site.store.restore(lost={BACKENDS: 2})
            loop.call_later(1.5, site.store.write_again, lost)
            await keep_servers(site, 5.0)

    run(case())


def test_remove_a_server_that_stays_missing_from_a_restored_store() -> None:
    """A server ended while the store was away; its record is never written again."""

    async def case() -> None:
        async with open_site("p1", "p2") as site:
            await site.add_instances(4)
            await wait_members(site)
            site.store.fault = "busy"
            await asyncio.sleep(1.6)
            lost = site.store.restore(lost={BACKENDS: 2})
            site.store.fault = ""
            site.store.write_again([record for record in lost if record.key == "p1"])
            for instance in site.instances:
                await wait_for(
                    lambda i=instance: set(i.replica.backends) == {"p1"}, 4.5
                )

    run(case())


@pytest.mark.parametrize("index", [0, 1, 2])
def test_read_ignored_records_again_at_each_instance(index: int) -> None:
    """One instance took a running server for removed; the others have no news of it."""

    async def case() -> None:
        async with open_site("p1", "p2") as site:
            await site.add_instances(3)
            await wait_members(site)
            replica = site.instances[index].replica
            site.store.fault = "busy"
            await asyncio.sleep(2.4)
            assert replica.record_missing("p2", now() + 60.0)
            site.store.restore(lost={})
            site.store.fault = ""
            await wait_for(lambda: "p2" in replica.backends, 5.0)

    run(case())


@pytest.mark.parametrize("index", [0, 1, 2])
def test_read_ignored_records_again_on_the_word_of_a_reader(
    monkeypatch: pytest.MonkeyPatch, index: int
) -> None:
    """The instance with a server too few hears a reader before it reads the store."""

    async def case() -> None:
        async with open_site("p1", "p2") as site:
            await site.add_instances(3)
            await wait_members(site)
            replica = site.instances[index].replica
            site.store.fault = "busy"
            await asyncio.sleep(2.4)
            assert replica.record_missing("p2", now() + 60.0)
            site.store.restore(lost={})
            rely_on_peers(monkeypatch, replica)
            site.store.fault = ""
            await wait_for(lambda: "p2" in replica.backends, 5.0)

    run(case())


def rely_on_peers(monkeypatch: pytest.MonkeyPatch, replica: StateReplica) -> None:
    """Let an instance read the servers' records only where peers can't settle them."""
    must_read = BackendTopicReader._must_read.fget
    assert must_read is not None

    def must_settle(reader: BackendTopicReader) -> bool:
        if reader._replica is not replica:
            return must_read(reader)
        return reader._next is None or reader._must_list

    monkeypatch.setattr(BackendTopicReader, "_must_read", property(must_settle))


def test_keep_a_configuration_that_the_copy_lacks() -> None:
    """A route was added and a key revoked in seconds that the copy lacks."""

    async def case() -> None:
        async with open_site("p1") as site:
            await site.add_instances(3)
            await wait_members(site)
            site.configure(2)
            await wait_version(site, 2)
            add_route(site, 3)
            await wait_version(site, 3)
            site.store.restore(lost={OPERATORS: 1})
            await asyncio.sleep(1.5)
            await wait_version(site, 3)
            for index in range(3):
                assert (await site.call("/added/x", index=index)).status == 200

    run(case())


def test_start_with_the_newest_configuration_of_store_and_peers() -> None:
    """An instance starts while the store holds a configuration with a revoked key."""

    async def case() -> None:
        async with open_site("p1") as site:
            await site.add_instances(2)
            await wait_members(site)
            site.configure(2, tenants=[{"name": "metro", "api_keys": ["other"]}])
            await wait_version(site, 2)
            site.store.restore(lost={OPERATORS: 1})
            await asyncio.sleep(0.5)
            index = await site.add_instance("i3", ip="127.0.0.3")
            for _ in range(40):
                response = await site.call("/safe/x", index=index)
                assert response.status in (401, 503)
                await asyncio.sleep(0.02)
            assert response.status == 401

    run(case())


def put_rollout(site: Site, target: str, limit_s: float = 3.0) -> None:
    site.store.put(
        OPERATORS,
        "rollout/plain",
        {"service": "plain", "target": target, "deadline_s": limit_s},
    )


def test_begin_a_rollout_ordered_at_a_known_offset() -> None:
    """An order after the restore has an offset below that of the last order."""

    async def case() -> None:
        async with open_site("p1") as site:
            await site.add_instances(3)
            await wait_members(site)
            for version in range(2, 6):
                site.configure(version)
            put_rollout(site, "v1", 0.5)
            await wait_for(lambda: site.store.status("plain").get("state") is not None)
            await asyncio.sleep(1.0)
            site.store.restore(lost={OPERATORS: 5})
            put_rollout(site, "v2")
            for instance in site.instances:
                await wait_for(
                    lambda i=instance: i.replica.orders["plain"].target == "v2",
                    WITHIN_S,
                )
            await wait_for(
                lambda: site.store.status("plain").get("target") == "v2", 2.0
            )

    run(case())


def test_write_a_lost_status_again() -> None:
    """A verdict that the operators may have read is missing from the copy."""

    async def case() -> None:
        async with open_site("p1") as site:
            await site.add_instances(3)
            await wait_members(site)
            put_rollout(site, "v2", 1.0)
            await wait_for(
                lambda: site.store.status("plain").get("state") == "reverted"
            )
            await asyncio.sleep(0.5)
            for lost in (1, 2):
                site.store.restore(lost={STATUS: lost})
                await wait_for(
                    lambda: site.store.status("plain").get("state") == "reverted", 1.5
                )

    run(case())


def test_apply_evacuations_after_a_restore() -> None:
    """Evacuations begin and end at offsets that the store had given out before."""

    async def case() -> None:
        async with open_site("p1", "p2@b", "p3@c") as site:
            await site.add_instances(3)
            await wait_members(site)
            site.evacuate("b")
            for version in range(2, 6):
                site.configure(version)
            await wait_version(site, 5)
            site.store.restore(lost={OPERATORS: 4})
            await asyncio.sleep(0.5)
            site.end_evacuation("b")
            site.evacuate("c")
            expected = frozenset("c")
            for instance in site.instances:
                await wait_for(
                    lambda i=instance: i.replica.evacuations.domains == expected,
                    WITHIN_S,
                )

    run(case())


def test_keep_an_evacuation_that_the_copy_lacks() -> None:
    """The copy was made before the evacuation began."""

    async def case() -> None:
        async with open_site("p1", "p2@b") as site:
            await site.add_instances(2)
            await wait_members(site)
            site.evacuate("b")
            await asyncio.sleep(0.5)
            site.store.restore(lost={OPERATORS: 1})
            await asyncio.sleep(1.5)
            for instance in site.instances:
                assert instance.replica.evacuations.domains == frozenset("b")

    run(case())


def test_keep_the_end_of_an_evacuation_that_the_copy_lacks() -> None:
    """The copy was made before the evacuation ended."""

    async def case() -> None:
        async with open_site("p1", "p2@b") as site:
            await site.add_instances(2)
            await wait_members(site)
            site.evacuate("b")
            await asyncio.sleep(0.5)
            site.end_evacuation("b")
            await asyncio.sleep(0.5)
            site.store.restore(lost={OPERATORS: 1})
            await asyncio.sleep(1.5)
            for instance in site.instances:
                assert not instance.replica.evacuations.domains

    run(case())


@pytest.mark.parametrize("lost", [0, 2])
def test_end_an_evacuation_before_the_first_read_of_an_era(lost: int) -> None:
    """All instances find the evacuation missing, which none of them saw end."""

    async def case() -> None:
        async with open_site("p1", "p2@b", "p3@c") as site:
            await site.add_instances(3)
            await wait_members(site)
            site.evacuate("b")
            for version in range(2, 6):
                site.configure(version)
            await wait_version(site, 5)
            site.store.fault = "busy"
            await asyncio.sleep(0.8)
            site.store.restore(lost={OPERATORS: lost})
            site.end_evacuation("b")
            site.store.fault = ""
            for instance in site.instances:
                await wait_for(
                    lambda i=instance: not i.replica.evacuations.domains, WITHIN_S
                )

    run(case())


def test_ignore_a_removed_server_that_the_copy_lists() -> None:
    """A server's record was removed in seconds that the copy lacks."""

    async def case() -> None:
        async with open_site("p1", "p2") as site:
            await site.add_instances(3)
            await wait_members(site)
            site.store.put(BACKENDS, "p2", b"")
            for instance in site.instances:
                await wait_for(lambda i=instance: "p2" not in i.replica.backends, 3.5)
            site.store.restore(lost={BACKENDS: 1})
            for _ in range(20):
                await asyncio.sleep(0.05)
                assert not any("p2" in i.replica.backends for i in site.instances)
            site.store.put(BACKENDS, "p2", site.backends[1].record)
            for instance in site.instances:
                await wait_for(lambda i=instance: "p2" in i.replica.backends, 2.0)

    run(case())


def test_use_a_server_whose_record_returned_before_it_was_read() -> None:
    """Servers are away for longer than records are kept, and write again only once."""

    async def case() -> None:
        async with open_site("p1") as site:
            await wait_members(site)
            site.store.put(BACKENDS, "p1", b"")
            replica = site.instances[0].replica
            await wait_for(lambda: not replica.backends, 3.5)
            site.store.fault = "busy"
            await asyncio.sleep(0.5)
            site.store.restore(lost={BACKENDS: 1})
            site.store.fault = ""
            await wait_for(lambda: "p1" in replica.backends, 5.0)

    run(case())


def test_keep_servers_whose_records_lapsed_while_the_store_was_away() -> None:
    """The first read after an outage lists no server; all write again soon after."""

    async def case() -> None:
        async with open_site("p1", "p2") as site:
            site.store.fault = "busy"
            await asyncio.sleep(2.0)
            for backend in site.backends:
                site.store.put(BACKENDS, backend.id, b"")
            site.store.fault = ""
            await asyncio.sleep(1.0)
            assert set(site.instances[0].replica.backends) == {"p1", "p2"}
            for backend in site.backends:
                site.store.put(BACKENDS, backend.id, backend.record)
            await asyncio.sleep(2.5)
            assert set(site.instances[0].replica.backends) == {"p1", "p2"}

    run(case())


def test_let_no_other_leader_go_on_without_a_lost_verdict() -> None:
    """The store lost that a version was rolled back; one instance doesn't know it."""

    async def case() -> None:
        async with open_site("p1") as site:
            await site.add_instances(3)
            await wait_members(site)
            put_rollout(site, "v2", 1.0)
            await wait_for(
                lambda: site.store.status("plain").get("state") == "reverted"
            )
            await asyncio.sleep(0.3)
            ignorant = site.instances[0].services.get("plain").plan
            ignorant.state = RolloutState.RUNNING
            site.store.restore(lost={STATUS: 1})
            for _ in range(60):
                await asyncio.sleep(0.05)
                assert site.store.status("plain").get("state") != "succeeded"
            assert site.store.status("plain").get("state") == "reverted"
            assert ignorant.is_reverted

    run(case())


def test_write_a_lost_quarantine_again() -> None:
    """A request that crashes servers was quarantined in seconds that the copy lacks."""

    async def case() -> None:
        async with open_site("p1") as site:
            await site.add_instances(2)
            await wait_members(site)
            for instance in site.instances:
                coordinator = instance.peers.quarantine
                coordinator.quarantine.add("f1", "plain", (), now())
                coordinator.unwritten["f1"] = now()
            key = "quarantine/f1"
            await wait_for(lambda: key in site.store.newest(STATUS), 2.0)
            await asyncio.sleep(1.0)
            site.store.restore(lost={STATUS: len(site.store.topics[STATUS])})
            assert key not in site.store.newest(STATUS)
            await wait_for(lambda: key in site.store.newest(STATUS), 3.0)

    run(case())
