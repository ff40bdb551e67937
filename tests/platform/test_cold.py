"""Limits on the requests to cold backend servers, across all instances."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from baobabthread.instance import process
from tests.platform.fakecallers import CallerResponse
from tests.platform.fakestore import BACKENDS, OPERATORS
from tests.platform.site import Site, open_site, run, wait_for

SERVICES: list[dict[str, Any]] = [
    {
        "name": "plain",
        "health_path": "/health",
        "max_conns": 96,
        "cold_s": 2.0,
        "cold_per_s": 2.0,
    },
    {
        "name": "engine",
        "health_path": "/health",
        "max_conns": 96,
        "cold_s": 2.0,
        "cold_per_s": 2.0,
    },
]
MAX_COLD_PER_S = 2.0 * 1.5 + 5.0
"""Requests per second that one cold server may receive with the default bounds."""


async def generate_load(
    site: Site, seconds: float, *, interval_s: float = 0.01
) -> list[int]:
    """Send many requests to all instances; return the statuses of the responses."""
    responses = await send_many(site, seconds, interval_s=interval_s)
    return [response.status for response in responses]


async def send_many(
    site: Site, seconds: float, *, interval_s: float
) -> list[CallerResponse]:
    """Send many requests to all instances and return the responses."""
    calls = []
    for number in range(int(seconds / interval_s)):
        for index in range(len(site.instances)):
            call = site.call("/safe/x", index=index, X_Attempt_Id=f"{index}-{number}")
            calls.append(asyncio.ensure_future(call))
        await asyncio.sleep(interval_s)
    return list(await asyncio.gather(*calls))


def test_limit_requests_to_a_cold_server() -> None:
    """A cold server would crash under load; a warm one beside it takes the rest."""

    async def case() -> None:
        async with open_site("p1", services=SERVICES) as site:
            cold = await site.add_backend("p2", cold_s=2.0)
            await wait_for(lambda: "p2" in site.instances[0].replica.backends, 2.0)
            statuses = await generate_load(site, 1.5)
            assert set(statuses) == {200}
            assert cold.count_peak_cold_arrivals() <= MAX_COLD_PER_S

    run(case())


def test_share_the_limit_among_all_instances() -> None:
    """With only a cold server behind three instances, most requests are rejected."""

    async def case() -> None:
        async with open_site(services=SERVICES) as site:
            for number in (2, 3):
                await site.add_instance(f"i{number}", ip=f"127.0.0.{number}")
            cold = await site.add_backend("p1", cold_s=3.0)
            for index in range(3):
                await site.wait_ready(index)
            responses = await send_many(site, 1.5, interval_s=0.03)
            assert cold.count_peak_cold_arrivals() <= MAX_COLD_PER_S
            rejected = [response for response in responses if response.status == 503]
            assert rejected
            for response in rejected:
                assert json.loads(response.body)["kind"] == "backends_cold"
                assert float(response.headers["retry-after"]) > 0

    run(case())


def test_detect_a_cold_server_by_its_responses() -> None:
    """A warm server becomes cold; its responses report it before its record does."""

    async def case() -> None:
        async with open_site("p1", services=SERVICES) as site:
            server = site.backends[0]
            assert (await site.call("/safe/x")).status == 200
            server.become_cold(2.0)
            server.reports_cold = True
            assert (await site.call("/safe/x")).status == 200
            statuses = await generate_load(site, 1.0)
            assert server.count_peak_cold_arrivals() <= MAX_COLD_PER_S
            assert 503 in statuses

    run(case())


def test_limit_a_server_as_soon_as_it_reports_that_it_is_cold(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The limit applies to the next request, not only after the next tick.

    Otherwise all requests until the next periodic check would go to the cold server.
    """
    monkeypatch.setattr(process, "TICK_INTERVAL_S", 30.0)

    async def case() -> None:
        async with open_site("p1", services=SERVICES) as site:
            server = site.backends[0]
            server.become_cold(5.0)
            server.reports_cold = True
            assert (await site.call("/safe/x")).status == 200
            calls = [site.call("/safe/x", X_Attempt_Id=f"a{n}") for n in range(40)]
            statuses = [response.status for response in await asyncio.gather(*calls)]
            assert server.count_peak_cold_arrivals() <= MAX_COLD_PER_S
            assert 503 in statuses

    run(case())


def test_detect_a_cold_server_by_its_record() -> None:
    async def case() -> None:
        async with open_site("p1", services=SERVICES) as site:
            server = site.backends[0]
            server.become_cold(3.0)
            site.store.put(BACKENDS, "p1", server.record | {"seq": 2})
            cold = site.instances[0].replica.cold_servers
            await wait_for(lambda: cold.names() == ["p1"], 2.0)
            await generate_load(site, 1.0)
            assert server.count_peak_cold_arrivals() <= MAX_COLD_PER_S

    run(case())


def test_assume_servers_cold_after_an_evacuation() -> None:
    """Operators end an evacuation during which the servers were restarted.

    Their records that report the warm-up are read up to a second later. Until then the
    servers, which are idle, would receive all requests.
    """

    async def case() -> None:
        async with open_site("p1@b", services=SERVICES) as site:
            server = site.backends[0]
            replica = site.instances[0].replica
            site.evacuate("b")
            await wait_for(lambda: replica.evacuations.domains, 2.0)
            server.become_cold(2.0)
            site.end_evacuation("b")
            await wait_for(lambda: not replica.evacuations.domains, 2.0)
            await generate_load(site, 1.9)
            assert server.cold_arrivals
            assert server.count_peak_cold_arrivals() <= MAX_COLD_PER_S

    run(case())


def test_lift_the_limit_after_the_warm_up() -> None:
    async def case() -> None:
        async with open_site(services=SERVICES) as site:
            await site.add_backend("p1", cold_s=0.6)
            await site.wait_ready()
            await asyncio.sleep(0.8)
            assert set(await generate_load(site, 0.5)) == {200}

    run(case())


def test_bound_implausible_warm_up_times() -> None:
    """Records report a warm-up of a year, a negative one, or text.

    The year is cut to the longest plausible time; the others do not delay use.
    """

    async def case() -> None:
        async with open_site("p1", "p2", services=SERVICES) as site:
            for id, left_ms in (("p1", 3e10), ("p2", -5000)):
                backend = next(b for b in site.backends if b.id == id)
                site.store.put(BACKENDS, id, backend.record | {"cold_left_ms": left_ms})
            replica = site.instances[0].replica
            await wait_for(lambda: replica.cold_servers.names() == ["p1"], 2.0)
            assert replica.cold_servers.left_s("p1", 0.0) < 1e9
            assert (await site.call("/safe/x")).status == 200
            site.store.put(
                BACKENDS, "p2", site.backends[1].record | {"cold_left_ms": "soon"}
            )
            await asyncio.sleep(1.5)
            assert len(replica.backends) == 2
            assert (await site.call("/safe/x")).status == 200

    run(case())


def test_start_no_canary_on_cold_servers() -> None:
    """A roll-out is ordered while all servers of the new version are cold.

    Canary requests would be rejected whenever the cold servers' limit is reached,
    although the old version has free capacity.
    """

    async def case() -> None:
        async with open_site("p1", services=SERVICES) as site:
            for number in range(2):
                await site.add_backend(f"n{number}", version="v2", cold_s=2.0)
            order = {"service": "plain", "target": "v2", "deadline_s": 9}
            site.store.put(OPERATORS, "rollout/plain", order)
            assert set(await generate_load(site, 5.0)) == {200}
            new = [b for b in site.backends if b.version == "v2"]
            assert not any(backend.cold_arrivals for backend in new)
            assert any(backend.seen for backend in new)

    run(case())
