"""Stops of instances: what they still take, and what becomes of what is in flight."""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter

from tests.platform.fakecallers import open_connection
from tests.platform.site import open_site, run, wait_for
from tests.platform.test_instances import is_ready, resolve


def test_leave_without_cutting_a_request() -> None:
    """An instance is told to stop while it answers, and callers still hold its address.

    It is not ready and out of the addresses at once, serves what comes, asks callers to
    close their connections, and ends when nothing is in flight.
    """

    async def case() -> None:
        async with open_site("p1") as site:
            await site.add_instance("i2", ip="127.0.0.2")
            await site.wait_ready(1)
            await wait_for(lambda: len(site.instances[1].peers.membership.alive()) == 2)
            site.backends[0].pause_s = 0.5
            running = asyncio.ensure_future(site.call("/safe/x"))
            await asyncio.sleep(0.1)
            leaving = asyncio.ensure_future(site.instances[0].leave())
            await asyncio.sleep(0.1)
            assert not await is_ready(site, 0)
            assert await resolve(site, 1) == [site.settings[1].callers_address]
            late = await site.call("/safe/y")
            assert late.status == 200
            assert late.headers["connection"].lower() == "close"
            assert (await running).status == 200
            await leaving

    run(case())


def test_take_no_stream_that_the_stop_would_cut() -> None:
    """A caller sends a stream over a kept connection, well after the signal to stop.

    The instance took whatever came in the first seconds, however little time was left.
    """

    async def case() -> None:
        async with open_site("e1") as site:
            engine = site.backends[0]
            engine.events, engine.pause_s = 8, 0.15
            async with open_connection(site.settings[0].callers_address) as ask:
                assert (await ask("/stream/x")).event_ids == list(range(1, 9))
                leaving = asyncio.ensure_future(site.instances[0].leave())
                await asyncio.sleep(1.6)
                answer = await ask("/stream/x")
            assert answer.status == 503
            assert answer.headers["connection"].lower() == "close"
            assert float(answer.headers["retry-after"]) > 0
            assert len(engine.seen) == 1
            await leaving

    run(case())


def test_reckon_with_a_signal_that_came_in_a_standstill() -> None:
    """An instance that stood still hears of its stop late, and is ended on time.

    It took what would last as long as the whole grace from when it woke.
    """

    async def case() -> None:
        async with open_site("p1") as site:
            async with open_connection(site.settings[0].callers_address) as ask:
                assert (await ask("/open/x")).status == 200
                time.sleep(2.1)  # noqa: ASYNC251
                await asyncio.sleep(0.05)
                leaving = asyncio.ensure_future(site.instances[0].leave())
                await asyncio.sleep(0)
                answer = await ask("/open/x")
                assert answer.status == 503
                assert json.loads(answer.body)["kind"] == "leaving"
            await leaving

    run(case())


def test_answer_what_the_stop_overtakes() -> None:
    """A server doesn't answer, and the instance ends before the caller's time is over.

    The connection was closed without a word, also where the request had never run.
    """

    async def case() -> None:
        async with open_site("p1") as site:
            server, forwarder = site.backends[0], site.instances[0].forwarder
            server.behaviour = "mute"
            asking = [
                asyncio.ensure_future(site.call("/safe/x", X_Attempt_Id=f"a{n}"))
                for n in range(20)
            ]
            await wait_for(lambda: forwarder.in_flight == 20 and len(server.seen) == 16)
            await forwarder.shut_down()
            answers = await asyncio.gather(*asking)
            assert Counter(answer.status for answer in answers) == {502: 16, 503: 4}
            for answer in answers:
                assert json.loads(answer.body)["kind"] == "instance_stopped"
                assert ("retry-after" in answer.headers) == (answer.status == 503)

    run(case())
