"""Instances that stop: which requests they still accept, and how others end."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from collections import Counter

import pytest

from baobabthread.instance import process
from baobabthread.routing.stopping import StopPlan
from baobabthread.serving.connections import BoundedConnection
from baobabthread.serving.groups import ConnectionGroup
from baobabthread.serving.shares import ListenerName
from tests.platform.fakecallers import open_connection, render_request
from tests.platform.site import Site, open_site, run, wait_for
from tests.platform.test_instances import is_ready, resolve

LISTENER = ListenerName.CALLERS


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


async def read_slowly(address: str, group: ConnectionGroup) -> SlowReader:
    """Send a request whose response the system takes no more than a part of."""
    ip, _, port = address.rpartition(":")
    own = socket.socket()
    own.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    own.setblocking(False)
    await asyncio.get_running_loop().sock_connect(own, (ip, int(port)))
    reader, writer = await asyncio.open_connection(sock=own, limit=512)

    def list_open() -> list[BoundedConnection]:
        return [c for c in group.connections if isinstance(c, BoundedConnection)]

    await wait_for(list_open)
    for connection in list_open():
        transport = connection._raw_transport
        assert transport is not None
        other = transport.get_extra_info("socket")
        other.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    writer.write(render_request("/safe/x"))
    return SlowReader(reader, writer)


class SlowReader:
    """A caller that takes its response in small pieces."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self.writer = writer

    async def read(self, pause_s: float) -> int:
        """Return how many bytes of the body arrive until the connection ends."""
        head = await self._reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        received = 0
        while data := await self._reader.read(2048):
            received += len(data)
            await asyncio.sleep(pause_s)
        return received


def end_process(site: Site) -> None:
    """Close the callers' connections as the end of the process does."""
    for connection in list(site.instances[0].connections[LISTENER].connections):
        connection.drop()


def test_end_after_a_slow_caller_has_its_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The instance has answered all requests, but not sent all of a response."""

    def plan(*, now: float, **more: float) -> StopPlan:
        return StopPlan(
            began_at=now,
            serves_all_until=now,
            accepts_until=now + 0.1,
            takes_until=now + 0.1,
            ends_at=now + 20.0,
        )

    async def case() -> None:
        async with open_site("p1") as site:
            instance = site.instances[0]
            group = instance.connections[LISTENER]
            site.backends[0].behaviour = "large"
            site.backends[0].large_bytes = 50_000
            caller = await read_slowly(site.settings[0].callers_address, group)
            await wait_for(lambda: any(each.unsent_bytes for each in group.connections))
            await wait_for(lambda: not instance.forwarder.in_flight)
            monkeypatch.setattr(process, "plan_stop", plan)
            leaving = asyncio.ensure_future(instance.leave())
            leaving.add_done_callback(lambda task: end_process(site))
            await asyncio.sleep(0.5)
            assert await caller.read(0.01) == 50_000
            caller.writer.close()
            await leaving

    run(case())


def test_end_in_time_though_a_caller_reads_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A caller that never reads its response must not keep the process."""

    def plan(*, now: float, **more: float) -> StopPlan:
        return StopPlan(
            began_at=now,
            serves_all_until=now,
            accepts_until=now + 0.1,
            takes_until=now + 0.1,
            ends_at=now + 1.0,
        )

    async def case() -> None:
        async with open_site("p1") as site:
            group = site.instances[0].connections[LISTENER]
            site.backends[0].behaviour = "large"
            site.backends[0].large_bytes = 50_000
            caller = await read_slowly(site.settings[0].callers_address, group)
            await wait_for(lambda: any(each.unsent_bytes for each in group.connections))
            monkeypatch.setattr(process, "plan_stop", plan)
            await asyncio.wait_for(site.instances[0].leave(), 5.0)
            caller.writer.close()

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
