"""Instances that stop: which requests they still accept, and how others end."""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter

from tests.platform.fakecallers import open_connection
from tests.platform.site import open_site, run, wait_for
from tests.platform.test_instances import is_ready, resolve


def test_stop_without_cutting_a_request() -> None:
    """An instance is told to stop while callers still have its address.

    It is not ready and no longer listed at once, serves requests that still arrive,
    asks callers to close their connections, and stops when no request is in flight.
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


def test_reject_a_stream_that_the_stop_would_cut() -> None:
    """A stream request arrives on a persistent connection, well after the stop signal.

    It must not be accepted merely because it arrives in the first seconds of the stop:
    the time left matters.
    """

    async def case() -> None:
        async with open_site("e1") as site:
            engine = site.backends[0]
            engine.events, engine.pause_s = 8, 0.15
            async with open_connection(site.settings[0].callers_address) as send:
                assert (await send("/stream/x")).event_ids == list(range(1, 9))
                leaving = asyncio.ensure_future(site.instances[0].leave())
                await asyncio.sleep(1.6)
                response = await send("/stream/x")
            assert response.status == 503
            assert response.headers["connection"].lower() == "close"
            assert float(response.headers["retry-after"]) > 0
            assert len(engine.seen) == 1
            await leaving

    run(case())


def test_allow_for_a_stop_signal_that_is_handled_late() -> None:
    """A stalled instance handles its stop signal late but is killed on schedule.

    It must not accept requests as if the whole grace period began when it resumed.
    """

    async def case() -> None:
        async with open_site("p1") as site:
            async with open_connection(site.settings[0].callers_address) as send:
                assert (await send("/open/x")).status == 200
                time.sleep(2.1)  # noqa: ASYNC251
                await asyncio.sleep(0.05)
                leaving = asyncio.ensure_future(site.instances[0].leave())
                await asyncio.sleep(0)
                response = await send("/open/x")
                assert response.status == 503
                assert json.loads(response.body)["kind"] == "leaving"
            await leaving

    run(case())


def test_respond_to_requests_in_flight_when_stopping() -> None:
    """A server does not respond, and the instance stops before the callers' deadline.

    Callers get a response instead of a closed connection, and one that they may retry
    if their request was never sent.
    """

    async def case() -> None:
        async with open_site("p1") as site:
            server, forwarder = site.backends[0], site.instances[0].forwarder
            server.behaviour = "mute"
            calls = [
                asyncio.ensure_future(site.call("/safe/x", X_Attempt_Id=f"a{n}"))
                for n in range(20)
            ]
            await wait_for(lambda: forwarder.in_flight == 20 and len(server.seen) == 16)
            await forwarder.shut_down()
            responses = await asyncio.gather(*calls)
            assert Counter(response.status for response in responses) == {
                502: 16,
                503: 4,
            }
            for response in responses:
                assert json.loads(response.body)["kind"] == "instance_stopped"
                assert ("retry-after" in response.headers) == (response.status == 503)

    run(case())
