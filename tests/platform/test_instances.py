"""Several instances: membership, knowledge from peers, stops, roll-outs."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from baobabthread.adapters.codec import PeerCodec
from baobabthread.instance import tasks
from baobabthread.instance.replicasync import REPLICA_MESSAGES, ReplicaQuery
from tests.platform.fakecallers import call
from tests.platform.fakestore import OPERATORS
from tests.platform.site import (
    Site,
    make_configuration,
    open_site,
    route,
    run,
    wait_for,
)


async def resolve(site: Site, index: int = 0) -> list[str]:
    """Return the addresses that an instance tells callers."""
    address = site.settings[index].directory_address
    answer = await call(address, "/-/resolve?name=api.example&zone=a")
    found: dict[str, Any] = json.loads(answer.body)
    assert 0 < found["ttl_s"] <= 5
    return list(found["addresses"])


async def is_ready(site: Site, index: int = 0) -> bool:
    answer = await call(site.settings[index].readiness_address, "/-/readiness")
    return answer.status == 200


def test_list_all_instances_that_serve() -> None:
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


def test_learn_everything_from_a_peer_while_the_store_is_away() -> None:
    """An instance starts while the store refuses all calls.

    It knows nothing of its own. A peer tells it the configuration, the backend servers
    and how old that is, and it serves while that is fresh.
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


def test_let_few_instances_read_the_store() -> None:
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


def test_take_a_large_configuration_over_a_slow_link() -> None:
    """A configuration of many routes takes over a second to arrive.

    An instance that gives the whole answer half a second asks for it for ever and
    refuses the new routes with 404, long after the operators were told that it counts.
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
            # The read that is still under way may make its knowledge too old for keys.
            await asyncio.sleep(1.5)
            await site.wait_ready()
            assert (await site.call("/added/x")).status == 200

    run(case())


def test_go_on_after_a_question_of_an_unknown_peer() -> None:
    """An instance hears a question of one that its list of members doesn't name yet.

    The change that is told to all who asked has nowhere to go; the probes must go on,
    or this instance keeps the members of its first moment for good.
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


def test_keep_running_when_a_step_fails() -> None:
    async def case() -> None:
        done = []

        async def work() -> None:
            done.append(1)
            if len(done) == 1:
                raise ValueError("one step")
            await asyncio.sleep(30)

        task = asyncio.ensure_future(tasks.keep_running(work))
        await wait_for(lambda: len(done) == 2, 2.0)
        task.cancel()

    run(case())


def test_ask_a_store_that_is_away_seldom() -> None:
    """The store refuses everybody for two seconds; readers alone ask it often."""

    async def case() -> None:
        async with open_site("p1") as site:
            for number in (2, 3, 4, 5, 6):
                await site.add_instance(f"i{number}", ip=f"127.0.0.{number}")
            for index in range(6):
                await site.wait_ready(index)
            relay = site.instances[0].peers.replica_sync
            await wait_for(lambda: relay.members == 6)
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


async def ask_many(
    site: Site, count: int, pause_s: float = 0.01, prefix: str = "s"
) -> list[Any]:
    """Send requests of as many sessions."""
    tasks = []
    for number in range(count):
        session = f"{prefix}{number}"
        tasks.append(asyncio.ensure_future(site.call_model(Session=session)))
        await asyncio.sleep(pause_s)
    return [await task for task in tasks]


def test_move_to_a_good_version_in_time() -> None:
    async def case() -> None:
        async with open_site("e1", "e2") as site:
            await site.add_backend("n1", service="engine", version="v2")
            await site.add_backend("n2", service="engine", version="v2")
            put_rollout(site, "v2", 6.0)
            await wait_for(lambda: site.store.status("engine"), 3.0)
            assert site.store.status("engine")["state"] == "running"
            for turn in range(24):
                await ask_many(site, 20, 0.02, prefix=f"turn{turn}-")
                if site.store.status("engine")["state"] != "running":
                    break
            assert site.store.status("engine")["state"] == "succeeded"
            old = [len(b.seen) for b in site.backends[:2]]
            await ask_many(site, 10)
            assert [len(b.seen) for b in site.backends[:2]] == old

    run(case())


def test_keep_sessions_that_were_in_use_before_the_order() -> None:
    """Callers are in the middle of their conversations when the order comes.

    The first part of them that the trial may move has used the old version seconds
    ago; their next requests must find it again in the first half.
    """

    async def case() -> None:
        async with open_site("e1", "e2") as site:
            await ask_many(site, 120, 0.005)
            new = await site.add_backend("n1", service="engine", version="v2")
            put_rollout(site, "v2", 30.0)
            await asyncio.sleep(0.5)
            await ask_many(site, 120, 0.005)
            await asyncio.sleep(0.6)
            await ask_many(site, 120, 0.005)
            assert not new.seen

    run(case())


def test_revert_a_version_that_fails() -> None:
    """The new version answers every request with a failure.

    It gets a small share at first, the failures are counted against the old version's,
    and it is out before the callers have met it often; the status says so.
    """

    async def case() -> None:
        async with open_site("e1", "e2") as site:
            bad = await site.add_backend("n1", service="engine", version="v2")
            bad.behaviour = "fail"
            put_rollout(site, "v2", 8.0)
            for turn in range(20):
                await ask_many(site, 30, 0.01, prefix=f"turn{turn}-")
                if site.store.status("engine").get("state") == "reverted":
                    break
            assert site.store.status("engine")["state"] == "reverted"
            met = len(bad.seen)
            assert met < 25
            await ask_many(site, 20)
            assert len(bad.seen) == met

    run(case())


def test_send_nothing_unproven_from_the_first_moment() -> None:
    """An instance starts in the middle of a roll-out and is called at once.

    Two of three servers run the version on trial. Until the next step of its roll-outs
    the instance chose among all of them alike.
    """

    async def case() -> None:
        async with open_site("e1") as site:
            for number in range(2):
                await site.add_backend(f"n{number}", service="engine", version="v2")
            put_rollout(site, "v2", 60.0)
            await site.wait_ready()
            index = await site.add_instance("i2", ip="127.0.0.2")
            answers = [await site.call_model(index=index) for _ in range(8)]
            assert all(answer.status == 200 for answer in answers)
            assert not any(backend.seen for backend in site.backends[1:])

    run(case())


def test_survive_rubbish_on_each_port() -> None:
    """Bytes that are no message come to every port; the instance serves on."""

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
