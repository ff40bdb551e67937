"""Brittle backend servers, which fall over when they have to reject too often."""

from __future__ import annotations

import asyncio
import json
import time

from tests.platform.fakecallers import CallerResponse
from tests.platform.fakes import SLOTS, FakeBackend
from tests.platform.site import Site, open_site, run, wait_for

BORNE = 3
"""Rejections within a second that the servers bear."""
WORK_S = 0.2


def make_brittle(*servers: FakeBackend, room: int = SLOTS) -> None:
    for server in servers:
        server.brittle = BORNE
        server.room = room
        server.pause_s = WORK_S


async def open_instances(site: Site, count: int) -> None:
    """Start more instances and wait until all of them know each other."""
    for number in range(2, count + 1):
        await site.add_instance(f"i{number}", ip=f"127.0.0.{number}")
    for index in range(count):
        await site.wait_ready(index)
    await wait_for(
        lambda: all(len(i.peers.membership.alive()) == count for i in site.instances)
    )


async def tell_all(site: Site) -> None:
    """Let each instance get a response of the brittle service."""
    for index in range(len(site.instances)):
        for _ in range(2):
            await site.call("/safe/x", index=index)


async def crowd(
    site: Site, seconds: float, *, per_s: float, path: str = "/safe/x"
) -> list[CallerResponse]:
    """Send requests to all instances alike and return the responses."""
    calls = []
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    number = 0
    while loop.time() - began_at < seconds:
        due = int((loop.time() - began_at) * per_s)
        while number < due:
            call = site.call(
                path, index=number % len(site.instances), X_Attempt_Id=f"c{number}"
            )
            calls.append(asyncio.ensure_future(call))
            number += 1
        await asyncio.sleep(0.005)
    return list(await asyncio.gather(*calls))


def count_peak_rejections(server: FakeBackend, since: float) -> int:
    """Return the highest number of rejections within a second from a time on."""
    times = [at for at in server.rejected_at if at >= since]
    return max((sum(t <= u < t + 1.0 for u in times) for t in times), default=0)


def test_no_brittle_server_falls_under_a_crowd() -> None:
    """Three instances fill a server, each by what it alone sees of its room."""

    async def case() -> None:
        async with open_site("p1", "p2") as site:
            await open_instances(site, 3)
            make_brittle(*site.backends)
            await tell_all(site)
            await asyncio.sleep(1.2)
            since = time.monotonic()
            capacity_per_s = len(site.backends) * SLOTS / WORK_S
            responses = await crowd(site, 4.0, per_s=2.0 * capacity_per_s)
            assert not any(server.falls for server in site.backends)
            for server in site.backends:
                assert count_peak_rejections(server, since) <= BORNE
                assert server.peak_running >= 0.9 * SLOTS
            served = sum(response.status == 200 for response in responses)
            assert served >= 0.5 * capacity_per_s * 4.0
            rejected = [r for r in responses if r.status == 503]
            kinds = {json.loads(response.body)["kind"] for response in rejected}
            assert "backends_full" in kinds
            assert all(float(r.headers["retry-after"]) > 0 for r in rejected)

    run(case())


def test_adapt_to_less_room_than_the_server_has_slots() -> None:
    """A brittle server may let fewer in than its record says."""

    async def case() -> None:
        async with open_site("p1", "p2") as site:
            await open_instances(site, 2)
            make_brittle(*site.backends, room=SLOTS - 2)
            await tell_all(site)
            await asyncio.sleep(1.2)
            await crowd(site, 4.0, per_s=100.0)
            assert sum(server.falls for server in site.backends) == 0

    run(case())


def test_requests_of_a_fallen_server_do_not_fell_the_next() -> None:
    """All requests that a server drops as it falls look for a place at once."""

    async def case() -> None:
        async with open_site("p1", "p2", "p3") as site:
            await open_instances(site, 3)
            make_brittle(*site.backends)
            await tell_all(site)
            await asyncio.sleep(1.2)
            asking = asyncio.ensure_future(crowd(site, 2.0, per_s=100.0))
            await asyncio.sleep(0.8)
            site.backends[0].crash()
            await asking
            assert not any(server.falls for server in site.backends)

    run(case())


def test_the_loss_of_an_owner_frees_nobody_to_send() -> None:
    """Whoever grants the places of a server is killed under a crowd."""

    async def case() -> None:
        async with open_site("p1", "p2") as site:
            await open_instances(site, 3)
            make_brittle(*site.backends)
            await tell_all(site)
            await asyncio.sleep(1.2)
            asking = asyncio.ensure_future(crowd(site, 3.0, per_s=90.0))
            await asyncio.sleep(0.8)
            for instance in site.instances[1:2]:
                instance.peers.close()
            await asking
            assert sum(server.falls for server in site.backends) == 0

    run(case())


def test_use_servers_freely_once_they_are_brittle_no_more() -> None:
    async def case() -> None:
        async with open_site("p1") as site:
            make_brittle(*site.backends)
            await tell_all(site)
            assert site.instances[0].peers.places.is_brittle("plain")
            site.backends[0].brittle = None
            for _ in range(4):
                assert (await site.call("/safe/x")).status == 200
            assert not site.instances[0].peers.places.is_brittle("plain")

    run(case())


def test_free_the_place_of_a_caller_that_left() -> None:
    """A place that is held for nobody is lost until the request's deadline."""

    async def case() -> None:
        async with open_site("p1") as site:
            make_brittle(*site.backends)
            await tell_all(site)
            site.backends[0].behaviour = "mute"
            calls = [
                asyncio.ensure_future(site.call("/unsafe/x")) for _ in range(SLOTS)
            ]
            await asyncio.sleep(0.2)
            for call in calls:
                call.cancel()
            await asyncio.gather(*calls, return_exceptions=True)
            site.backends[0].behaviour = "answer"
            await asyncio.sleep(0.2)
            responses = await asyncio.gather(
                *(site.call("/unsafe/x") for _ in range(SLOTS))
            )
            assert [response.status for response in responses] == [200] * SLOTS

    run(case())
