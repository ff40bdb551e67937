"""Backend servers that are cold after a start: few requests, from all together."""

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
MOST = 2.0 * 1.5 + 5.0
"""Requests that one cold server may get in a second, by the default bounds."""


async def press(site: Site, seconds: float, *, every_s: float = 0.01) -> list[int]:
    """Send many requests, whatever becomes of them; return how they ended."""
    answers = await ask_many(site, seconds, every_s=every_s)
    return [answer.status for answer in answers]


async def ask_many(
    site: Site, seconds: float, *, every_s: float
) -> list[CallerResponse]:
    """Send many requests to all instances and return the answers."""
    asking = []
    for number in range(int(seconds / every_s)):
        for index in range(len(site.instances)):
            call = site.call("/safe/x", index=index, X_Attempt_Id=f"{index}-{number}")
            asking.append(asyncio.ensure_future(call))
        await asyncio.sleep(every_s)
    return list(await asyncio.gather(*asking))


def test_send_few_to_a_cold_server_and_the_rest_elsewhere() -> None:
    """A server starts beside a warm one and crashes under more than a few requests."""

    async def case() -> None:
        async with open_site("p1", services=SERVICES) as site:
            cold = await site.add_backend("p2", cold_s=2.0)
            await wait_for(lambda: "p2" in site.instances[0].replica.backends, 2.0)
            statuses = await press(site, 1.5)
            assert set(statuses) == {200}
            assert cold.count_peak_cold_arrivals() <= MOST

    run(case())


def test_keep_the_bound_of_all_instances_together() -> None:
    """Three instances have nothing but a cold server: most requests are refused."""

    async def case() -> None:
        async with open_site(services=SERVICES) as site:
            for number in (2, 3):
                await site.add_instance(f"i{number}", ip=f"127.0.0.{number}")
            cold = await site.add_backend("p1", cold_s=3.0)
            for index in range(3):
                await site.wait_ready(index)
            answers = await ask_many(site, 1.5, every_s=0.03)
            assert cold.count_peak_cold_arrivals() <= MOST
            refused = [answer for answer in answers if answer.status == 503]
            assert refused
            for answer in refused:
                assert json.loads(answer.body)["kind"] == "backends_cold"
                assert float(answer.headers["retry-after"]) > 0

    run(case())


def test_take_its_own_word_that_it_turned_cold() -> None:
    """A server that served turns cold; its answers say so before its record does."""

    async def case() -> None:
        async with open_site("p1", services=SERVICES) as site:
            server = site.backends[0]
            assert (await site.call("/safe/x")).status == 200
            server.become_cold(2.0)
            server.reports_cold = True
            assert (await site.call("/safe/x")).status == 200
            statuses = await press(site, 1.0)
            assert server.count_peak_cold_arrivals() <= MOST
            assert 503 in statuses

    run(case())


def test_bar_a_server_in_the_moment_in_which_it_says_that_it_is_cold(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What came until the next look at all servers went to the cold one as before."""
    monkeypatch.setattr(process, "TICK_S", 30.0)

    async def case() -> None:
        async with open_site("p1", services=SERVICES) as site:
            server = site.backends[0]
            server.become_cold(5.0)
            server.reports_cold = True
            assert (await site.call("/safe/x")).status == 200
            asking = [site.call("/safe/x", X_Attempt_Id=f"a{n}") for n in range(40)]
            statuses = [answer.status for answer in await asyncio.gather(*asking)]
            assert server.count_peak_cold_arrivals() <= MOST
            assert 503 in statuses

    run(case())


def test_hear_from_its_record_that_it_turned_cold() -> None:
    async def case() -> None:
        async with open_site("p1", services=SERVICES) as site:
            server = site.backends[0]
            server.become_cold(3.0)
            site.store.put(BACKENDS, "p1", server.record | {"seq": 2})
            cold = site.instances[0].replica.cold_servers
            await wait_for(lambda: cold.names() == ["p1"], 2.0)
            await press(site, 1.0)
            assert server.count_peak_cold_arrivals() <= MOST

    run(case())


def test_take_the_servers_of_a_domain_that_opens_again_for_cold() -> None:
    """Operators end an evacuation, in which the servers were started anew.

    Their records that say so are read a second later; idle as they are they would get
    all requests until then.
    """

    async def case() -> None:
        async with open_site("p1@b", services=SERVICES) as site:
            server = site.backends[0]
            knowledge = site.instances[0].replica
            site.evacuate("b")
            await wait_for(lambda: knowledge.evacuations.domains, 2.0)
            server.become_cold(2.0)
            site.end_evacuation("b")
            await wait_for(lambda: not knowledge.evacuations.domains, 2.0)
            await press(site, 1.9)
            assert server.cold_arrivals
            assert server.count_peak_cold_arrivals() <= MOST

    run(case())


def test_serve_in_full_once_it_is_warm() -> None:
    async def case() -> None:
        async with open_site(services=SERVICES) as site:
            await site.add_backend("p1", cold_s=0.6)
            await site.wait_ready()
            await asyncio.sleep(0.8)
            assert set(await press(site, 0.5)) == {200}

    run(case())


def test_believe_no_absurd_time() -> None:
    """A server's record says that it stays cold for a year, or for less than nothing.

    It is used again after the longest time that is plausible, and at once.
    """

    async def case() -> None:
        async with open_site("p1", "p2", services=SERVICES) as site:
            for id, left_ms in (("p1", 3e10), ("p2", -5000)):
                backend = next(b for b in site.backends if b.id == id)
                site.store.put(BACKENDS, id, backend.record | {"cold_left_ms": left_ms})
            knowledge = site.instances[0].replica
            await wait_for(lambda: knowledge.cold_servers.names() == ["p1"], 2.0)
            assert knowledge.cold_servers.left_s("p1", 0.0) < 1e9
            assert (await site.call("/safe/x")).status == 200
            site.store.put(
                BACKENDS, "p2", site.backends[1].record | {"cold_left_ms": "soon"}
            )
            await asyncio.sleep(1.5)
            assert len(knowledge.backends) == 2
            assert (await site.call("/safe/x")).status == 200

    run(case())


def test_begin_no_trial_on_cold_servers() -> None:
    """A new version is ordered as its servers start, all of them cold.

    Requests that the trial sent there were refused whenever no window was open, though
    the old version had room.
    """

    async def case() -> None:
        async with open_site("p1", services=SERVICES) as site:
            for number in range(2):
                await site.add_backend(f"n{number}", version="v2", cold_s=2.0)
            order = {"service": "plain", "target": "v2", "deadline_s": 9}
            site.store.put(OPERATORS, "rollout/plain", order)
            assert set(await press(site, 5.0)) == {200}
            new = [b for b in site.backends if b.version == "v2"]
            assert not any(backend.cold_arrivals for backend in new)
            assert any(backend.seen for backend in new)

    run(case())
