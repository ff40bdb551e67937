"""Evacuated failure domains: their backend servers get nothing new from anybody."""

from __future__ import annotations

import asyncio
import json
import time

from tests.platform.fakes import FakeBackend
from tests.platform.fakestore import OPERATORS
from tests.platform.site import Site, open_site, run, wait_for


async def wait_known(site: Site, *domains: str, index: int = 0) -> None:
    """Wait until an instance knows just these failure domains as evacuated."""
    knowledge = site.instances[index].replica
    await wait_for(lambda: knowledge.evacuations.domains == frozenset(domains), 2.0)
    await asyncio.sleep(0.15)


def find(site: Site, id: str) -> FakeBackend:
    return next(backend for backend in site.backends if backend.id == id)


def test_send_nothing_new_to_an_evacuated_domain() -> None:
    """Operators are about to cut the power of a failure domain.

    Whatever still goes there is lost with it: first tries, the second try of a request
    that failed elsewhere, and a larger model's answer.
    """

    async def case() -> None:
        async with open_site("p1", "p2@b", "e1", "e2@b") as site:
            site.evacuate("b")
            await wait_known(site, "b")
            find(site, "p1").behaviour = "fail"
            find(site, "e1").confidence = {"small": 10, "middle": 10}
            for _ in range(4):
                assert (await site.call("/safe/x")).status == 500
                answer = await site.call_model()
                assert answer.status == 200
                assert b"large" in answer.body
            assert not find(site, "p2").seen
            assert not find(site, "e2").seen

    run(case())


def test_resume_a_stream_outside_the_evacuated_domain() -> None:
    """A stream breaks while its only other server lies in an evacuated domain."""

    async def case() -> None:
        async with open_site("e1", "e2@b", "e3@c") as site:
            site.evacuate("b")
            await wait_known(site, "b")
            find(site, "e1").behaviour = "stream_cut"
            # No more than the budget of repeats of so small an installation bears.
            for _ in range(3):
                answer = await site.call_model()
                assert (answer.status, answer.is_complete) == (200, True)
            assert not find(site, "e2").seen

    run(case())


def test_refuse_at_once_what_nothing_else_can_serve() -> None:
    """All servers of a service are evacuated.

    The caller is told at once that nothing has run and when to come back. Held in a
    queue until its time is over, it could not go elsewhere.
    """

    async def case() -> None:
        async with open_site("p1", "p2@b") as site:
            site.evacuate("a")
            site.evacuate("b")
            await wait_known(site, "a", "b")
            began = time.monotonic()
            answer = await site.call("/unsafe/x")
            assert time.monotonic() - began < 0.3
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
            assert json.loads(answer.body)["kind"] == "backends_evacuated"
            assert not any(backend.seen for backend in site.backends)

    run(case())


def test_let_what_runs_go_on() -> None:
    """A stream runs in a domain that is evacuated; it is whole, and nothing follows."""

    async def case() -> None:
        async with open_site("e1@b") as site:
            engine = find(site, "e1")
            engine.events, engine.pause_s = 8, 0.15
            asking = asyncio.ensure_future(site.call_model())
            await wait_for(lambda: engine.seen, 2.0)
            site.evacuate("b")
            await wait_known(site, "b")
            answer = await asking
            assert (answer.status, answer.is_complete) == (200, True)
            assert (await site.call_model()).status == 503
            assert len(engine.seen) == 1

    run(case())


def test_open_a_domain_again() -> None:
    """An evacuation is taken back and given again within a second, and taken back."""

    async def case() -> None:
        async with open_site("p1@b") as site:
            site.evacuate("b")
            site.end_evacuation("b")
            site.evacuate("b")
            await wait_known(site, "b")
            assert (await site.call("/safe/x")).status == 503
            site.end_evacuation("b")
            await wait_known(site)
            assert (await site.call("/safe/x")).status == 200

    run(case())


def test_pass_over_an_evacuation_of_nothing() -> None:
    """Operators misspell a failure domain: the servers of all others go on."""

    async def case() -> None:
        async with open_site("p1") as site:
            site.evacuate("nowhere")
            site.store.put(OPERATORS, "evacuate/", b"\xff\x00")
            await wait_known(site, "nowhere", "")
            assert (await site.call("/safe/x")).status == 200

    run(case())


def test_know_of_it_from_the_first_request_on() -> None:
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


def test_hear_of_it_from_a_peer_while_the_store_is_away() -> None:
    """An instance starts and the store answers nobody: a peer tells it everything."""

    async def case() -> None:
        async with open_site("p1", "p2@b") as site:
            site.evacuate("b")
            await wait_known(site, "b")
            site.store.fault = "busy"
            await site.add_instance("i2", ip="127.0.0.2")
            await site.wait_ready(1)
            assert (await site.call("/safe/x", index=1)).status == 200
            assert not find(site, "p2").seen

    run(case())


def test_hear_that_it_was_taken_back_though_the_history_is_gone() -> None:
    """The record that takes it back is dropped before this instance has read it.

    It reads the list of all records instead, in which the domain is missing.
    """

    async def case() -> None:
        async with open_site("p1@b") as site:
            site.evacuate("b")
            await wait_known(site, "b")
            site.store.fault = "busy"
            await asyncio.sleep(0.6)
            site.end_evacuation("b")
            site.configure(2)
            site.store.first_offsets[OPERATORS] = len(site.store.topics[OPERATORS])
            site.store.fault = ""
            await wait_known(site)
            assert (await site.call("/safe/x")).status == 200

    run(case())
