"""Several instances: membership, replication among peers, store calls, roll-outs."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from baobabthread.adapters.codec import PeerCodec
from baobabthread.instance import tasks
from baobabthread.instance.replicasync import REPLICA_MESSAGES, ReplicaQuery
from tests.platform.fakecallers import call
from tests.platform.fakestore import OPERATORS, STATUS
from tests.platform.site import (
    Site,
    make_configuration,
    open_site,
    route,
    run,
    wait_for,
)


async def resolve(site: Site, index: int = 0) -> list[str]:
    """Return the addresses that an instance's directory lists."""
    address = site.settings[index].directory_address
    response = await call(address, "/-/resolve?name=api.example&zone=a")
    directory: dict[str, Any] = json.loads(response.body)
    assert 0 < directory["ttl_s"] <= 5
    return list(directory["addresses"])


async def is_ready(site: Site, index: int = 0) -> bool:
    response = await call(site.settings[index].readiness_address, "/-/readiness")
    return response.status == 200


def test_resolve_to_all_serving_instances() -> None:
    async def case() -> None:
        async with open_site("p1") as site:
            await site.add_instance("i2", ip="127.0.0.2")
            await site.wait_ready(1)
            both = {s.callers_address for s in site.settings}
            for index in (0, 1):
                for _ in range(100):
                    if set(await resolve(site, index)) == both:
                        break
                    await asyncio.sleep(0.05)
                assert set(await resolve(site, index)) == both

    run(case())


def test_sync_from_a_peer_during_a_store_outage() -> None:
    """An instance starts while the store rejects all calls.

    A peer sends it the configuration, the backend servers and the age of both, and the
    instance serves while they are fresh.
    """

    async def case() -> None:
        async with open_site("p1") as site:
            site.store.fault = "busy"
            index = await site.add_instance("i2", ip="127.0.0.2")
            await wait_for(lambda: site.instances[index].replica.table is not None, 3.0)
            await wait_for(lambda: site.instances[index].replica.backends, 1.0)
            await asyncio.sleep(0.15)
            assert (await site.call("/open/x", index=index, key=None)).status == 200

    run(case())


def test_limit_the_store_calls_of_all_instances() -> None:
    async def case() -> None:
        async with open_site("p1") as site:
            for number in (2, 3, 4):
                await site.add_instance(f"i{number}", ip=f"127.0.0.{number}")
            for index in range(4):
                await site.wait_ready(index)
            await wait_for(
                lambda: all(
                    len(i.peers.membership.alive()) == 4 for i in site.instances
                )
            )
            await asyncio.sleep(1.0)
            site.store.calls.clear()
            await asyncio.sleep(2.0)
            assert len(site.store.calls) <= 26
            assert all(instance.is_ready for instance in site.instances)

    run(case())


def test_read_a_large_configuration_over_a_slow_link() -> None:
    """A configuration of many routes takes more than a second to transfer.

    With a timeout of half a second for the whole response an instance would request it
    again and again and answer 404 for the new routes, long after the operators were
    told that they are in force.
    """

    async def case() -> None:
        async with open_site("p1") as site:
            routes = [*make_configuration()["routes"]]  # type: ignore[misc]
            routes.append(route("/added/", "idempotent"))
            site.store.fault = "trickle"
            site.configure(7, routes=routes)
            await wait_for(
                lambda: site.instances[0].replica.table.configuration.version == 7,
                4.0,
            )
            site.store.fault = ""
            # The read still in progress may leave the replica too old to check keys.
            await asyncio.sleep(1.5)
            await site.wait_ready()
            assert (await site.call("/added/x")).status == 200

    run(case())


def test_survive_a_query_of_an_unknown_peer() -> None:
    """An instance receives a query of a peer that is not in its member list yet.

    Later changes are sent to all subscribers, but this one has no address. If the error
    stopped the membership probes, the instance would keep its initial members forever.
    """

    async def case() -> None:
        async with open_site("p1") as site:
            peers = site.instances[0].peers
            codec = PeerCodec(types=REPLICA_MESSAGES)
            data = codec.encode("stranger", [ReplicaQuery(sequence=1)])
            peers.datagram_received(data, ("127.0.0.1", 9))
            site.configure(3)
            await asyncio.sleep(0.6)
            await site.add_instance("i2", ip="127.0.0.2")
            await wait_for(lambda: len(peers.membership.alive()) == 2)
            await wait_for(lambda: peers.replica_sync.members == 2, 1.0)

    run(case())


def test_restart_a_task_that_fails() -> None:
    async def case() -> None:
        runs = []

        async def work() -> None:
            runs.append(1)
            if len(runs) == 1:
                raise ValueError("one step")
            await asyncio.sleep(30)

        task = asyncio.ensure_future(tasks.keep_running(work))
        await wait_for(lambda: len(runs) == 2, 2.0)
        task.cancel()

    run(case())


def test_limit_the_store_calls_during_an_outage() -> None:
    """The store rejects all calls for seconds; only the readers retry often."""

    async def case() -> None:
        async with open_site("p1") as site:
            for number in (2, 3, 4, 5, 6):
                await site.add_instance(f"i{number}", ip=f"127.0.0.{number}")
            for index in range(6):
                await site.wait_ready(index)
            replica_sync = site.instances[0].peers.replica_sync
            await wait_for(lambda: replica_sync.members == 6)
            site.store.fault = "busy"
            await asyncio.sleep(1.6)
            site.store.calls.clear()
            await asyncio.sleep(2.0)
            assert len(site.store.calls) <= 70
            site.store.fault = ""
            await wait_for(lambda: all(i.is_ready for i in site.instances), 1.5)

    run(case())


def put_rollout(site: Site, target: str, limit_s: float) -> None:
    site.store.put(
        OPERATORS,
        "rollout/engine",
        {"service": "engine", "target": target, "deadline_s": limit_s},
    )


async def send_sessions(
    site: Site, count: int, interval_s: float = 0.01, prefix: str = "s"
) -> list[Any]:
    """Send `count` requests, each of a session of its own."""
    calls = []
    for number in range(count):
        session = f"{prefix}{number}"
        calls.append(asyncio.ensure_future(site.call_model(Session=session)))
        await asyncio.sleep(interval_s)
    return [await call for call in calls]


def test_promote_a_good_version_in_time() -> None:
    async def case() -> None:
        async with open_site("e1", "e2") as site:
            await site.add_backend("n1", service="engine", version="v2")
            await site.add_backend("n2", service="engine", version="v2")
            put_rollout(site, "v2", 6.0)
            await wait_for(lambda: site.store.status("engine"), 3.0)
            assert site.store.status("engine")["state"] == "running"
            for batch in range(24):
                await send_sessions(site, 20, 0.02, prefix=f"turn{batch}-")
                if site.store.status("engine")["state"] != "running":
                    break
            assert site.store.status("engine")["state"] == "succeeded"
            old = [len(backend.seen) for backend in site.backends[:2]]
            await send_sessions(site, 10)
            assert [len(backend.seen) for backend in site.backends[:2]] == old

    run(case())


def test_keep_sessions_that_were_in_use_before_the_order() -> None:
    """Sessions are in use when a roll-out is ordered.

    They used the old version seconds ago, so their next requests must go to the old
    version throughout the first half of the roll-out.
    """

    async def case() -> None:
        async with open_site("e1", "e2") as site:
            await send_sessions(site, 120, 0.005)
            new = await site.add_backend("n1", service="engine", version="v2")
            put_rollout(site, "v2", 30.0)
            await asyncio.sleep(0.5)
            await send_sessions(site, 120, 0.005)
            await asyncio.sleep(0.6)
            await send_sessions(site, 120, 0.005)
            assert not new.seen

    run(case())


def test_roll_back_a_version_that_fails() -> None:
    """The new version fails every request.

    It gets a small share of the requests at first and its failures are compared with
    the old version's, so it is rolled back before many callers are affected.
    """

    async def case() -> None:
        async with open_site("e1", "e2") as site:
            bad = await site.add_backend("n1", service="engine", version="v2")
            bad.behaviour = "fail"
            put_rollout(site, "v2", 8.0)
            for batch in range(20):
                await send_sessions(site, 30, 0.01, prefix=f"turn{batch}-")
                if site.store.status("engine").get("state") == "reverted":
                    break
            assert site.store.status("engine")["state"] == "reverted"
            exposed = len(bad.seen)
            assert exposed < 25
            await send_sessions(site, 20)
            assert len(bad.seen) == exposed

    run(case())


def test_avoid_canary_versions_right_after_a_start() -> None:
    """An instance starts in the middle of a roll-out and gets requests at once.

    Two of three servers run the canary version. The instance must not choose among all
    three servers until its roll-out state is first updated.
    """

    async def case() -> None:
        async with open_site("e1") as site:
            for number in range(2):
                await site.add_backend(f"n{number}", service="engine", version="v2")
            put_rollout(site, "v2", 60.0)
            await site.wait_ready()
            index = await site.add_instance("i2", ip="127.0.0.2")
            responses = [await site.call_model(index=index) for _ in range(8)]
            assert all(response.status == 200 for response in responses)
            assert not any(backend.seen for backend in site.backends[1:])

    run(case())


def test_survive_invalid_data_on_each_port() -> None:
    """Invalid data arrives on every port; the instance keeps serving."""

    async def case() -> None:
        async with open_site("p1") as site:
            settings = site.settings[0]
            for address in (
                settings.callers_address,
                settings.readiness_address,
                settings.directory_address,
                settings.control_address,
            ):
                ip, _, port = address.rpartition(":")
                _, writer = await asyncio.open_connection(ip, int(port))
                writer.write(b"\x00\xffrubbish\r\n\r\n")
                await writer.drain()
                writer.close()
            loop = asyncio.get_running_loop()
            transport, _ = await loop.create_datagram_endpoint(
                asyncio.DatagramProtocol,
                remote_addr=("127.0.0.1", settings.gossip_port),
            )
            for data in (
                b"rubbish",
                b'{"sender":"x","messages":[{"type":"nil"}]}',
                b"",
            ):
                transport.sendto(data)
            await asyncio.sleep(0.3)
            transport.close()
            assert (await site.call("/safe/x")).status == 200

    run(case())


def test_write_no_status_of_an_order_that_was_replaced() -> None:
    """A leader that reads late would overwrite the status of the next order."""

    async def case() -> None:
        async with open_site("e1") as site:
            later = {"service": "engine", "target": "v3", "state": "running"}
            later |= {"number": 99, "era": site.store.era, "elapsed_s": 0.1}
            site.store.put(STATUS, "rollout/engine", later)
            put_rollout(site, "v2", 1.0)
            await asyncio.sleep(2.0)
            assert site.store.status("engine")["target"] == "v3"

    run(case())
