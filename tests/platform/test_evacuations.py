"""Evacuation of failure domains, whose backend servers get no new requests."""

from __future__ import annotations

import asyncio
import json
import time

from tests.platform.fakes import FakeBackend
from tests.platform.fakestore import OPERATORS
from tests.platform.site import Site, open_site, run, wait_for


async def wait_evacuated(site: Site, *domains: str, index: int = 0) -> None:
    """Wait until exactly these failure domains are evacuated for an instance."""
    replica = site.instances[index].replica
    await wait_for(lambda: replica.evacuations.domains == frozenset(domains), 2.0)
    await asyncio.sleep(0.15)


def find(site: Site, id: str) -> FakeBackend:
    return next(backend for backend in site.backends if backend.id == id)


def test_send_nothing_new_to_an_evacuated_domain() -> None:
    """Operators are about to cut the power of a failure domain.

    Requests still sent there would be lost with it: first attempts, retries of requests
    that failed elsewhere, and attempts with a larger model.
    """

    async def case() -> None:
        async with open_site("p1", "p2@b", "e1", "e2@b") as site:
            site.evacuate("b")
            await wait_evacuated(site, "b")
            find(site, "p1").behaviour = "fail"
            find(site, "e1").confidence = {"small": 10, "middle": 10}
            for _ in range(4):
                assert (await site.call("/safe/x")).status == 500
                response = await site.call_model()
                assert response.status == 200
                assert b"large" in response.body
            assert not find(site, "p2").seen
            assert not find(site, "e2").seen

    run(case())


def test_resume_a_stream_outside_the_evacuated_domain() -> None:
    """A stream breaks; one of the servers left is in an evacuated domain."""

    async def case() -> None:
        async with open_site("e1", "e2@b", "e3@c") as site:
            site.evacuate("b")
            await wait_evacuated(site, "b")
            find(site, "e1").behaviour = "stream_cut"
            # The retry budget of such a small installation allows no more than this.
            for _ in range(3):
                response = await site.call_model()
                assert (response.status, response.is_complete) == (200, True)
            assert not find(site, "e2").seen

    run(case())


def test_reject_at_once_when_all_servers_are_evacuated() -> None:
    """All servers of a service are evacuated.

    The caller learns at once that its request was not executed and when to retry.
    Queued until its deadline, the request could not be sent elsewhere in time.
    """

    async def case() -> None:
        async with open_site("p1", "p2@b") as site:
            site.evacuate("a")
            site.evacuate("b")
            await wait_evacuated(site, "a", "b")
            sent_at = time.monotonic()
            response = await site.call("/unsafe/x")
            assert time.monotonic() - sent_at < 0.3
            assert response.status == 503
            assert float(response.headers["retry-after"]) > 0
            assert json.loads(response.body)["kind"] == "backends_evacuated"
            assert not any(backend.seen for backend in site.backends)

    run(case())


def test_let_running_requests_finish() -> None:
    """A stream in a domain that gets evacuated completes; no request follows it."""

    async def case() -> None:
        async with open_site("e1@b") as site:
            engine = find(site, "e1")
            engine.events, engine.pause_s = 8, 0.15
            running = asyncio.ensure_future(site.call_model())
            await wait_for(lambda: engine.seen, 2.0)
            site.evacuate("b")
            await wait_evacuated(site, "b")
            response = await running
            assert (response.status, response.is_complete) == (200, True)
            assert (await site.call_model()).status == 503
            assert len(engine.seen) == 1

    run(case())


def test_end_an_evacuation() -> None:
    """An evacuation is withdrawn and ordered again within a second, then withdrawn."""

    async def case() -> None:
        async with open_site("p1@b") as site:
            site.evacuate("b")
            site.end_evacuation("b")
            site.evacuate("b")
            await wait_evacuated(site, "b")
            assert (await site.call("/safe/x")).status == 503
            site.end_evacuation("b")
            await wait_evacuated(site)
            assert (await site.call("/safe/x")).status == 200

    run(case())


def test_ignore_an_evacuation_of_an_unknown_domain() -> None:
    """Operators misspell a failure domain; the servers of all domains stay in use."""

    async def case() -> None:
        async with open_site("p1") as site:
            site.evacuate("nowhere")
            site.store.put(OPERATORS, "evacuate/", b"\xff\x00")
            await wait_evacuated(site, "nowhere", "")
            assert (await site.call("/safe/x")).status == 200

    run(case())


def test_apply_an_evacuation_from_the_first_request_on() -> None:
    """An instance starts while a domain is evacuated."""

    async def case() -> None:
        async with open_site("p1", "p2@b") as site:
            site.evacuate("b")
            await site.add_instance("i2", ip="127.0.0.2")
            await site.wait_ready(1)
            for _ in range(8):
                assert (await site.call("/safe/x", index=1)).status == 200
            assert not find(site, "p2").seen

    run(case())


def test_learn_an_evacuation_from_a_peer_during_a_store_outage() -> None:
    """An instance starts while the store rejects all calls and syncs from a peer."""

    async def case() -> None:
        async with open_site("p1", "p2@b") as site:
            site.evacuate("b")
            await wait_evacuated(site, "b")
            site.store.fault = "busy"
            await site.add_instance("i2", ip="127.0.0.2")
            await site.wait_ready(1)
            assert (await site.call("/safe/x", index=1)).status == 200
            assert not find(site, "p2").seen

    run(case())


def test_learn_the_end_of_an_evacuation_after_the_history_is_trimmed() -> None:
    """The record that ends an evacuation is trimmed before an instance has read it.

    It reads the newest record of each key instead, where the domain is missing.
    """

    async def case() -> None:
        async with open_site("p1@b") as site:
            site.evacuate("b")
            await wait_evacuated(site, "b")
            site.store.fault = "busy"
            await asyncio.sleep(0.6)
            site.end_evacuation("b")
            site.configure(2)
            site.store.first_offsets[OPERATORS] = len(site.store.topics[OPERATORS])
            site.store.fault = ""
            await wait_evacuated(site)
            assert (await site.call("/safe/x")).status == 200

    run(case())
