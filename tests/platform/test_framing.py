"""Responses without a length or chunks, which end with their connection."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.platform.fakes import CrashMoment, FakeBackend, Framing
from tests.platform.fakestore import BACKENDS
from tests.platform.site import Site, open_site, run

BAD_PART = "bad0"
CRASHING_PROMPT = {"X_Prompt_Prefix": f"aa:50,{BAD_PART}:30,cc:20"}


def crash_in_streams(backend: FakeBackend, moment: CrashMoment) -> None:
    """Let a backend server crash within streams that end with their connection."""
    backend.framing = Framing.CLOSE
    backend.crash_part = BAD_PART
    backend.crash_moment = moment


def heal(site: Site) -> None:
    """Let no further backend server crash."""
    for backend in site.backends:
        backend.crash_part = ""
        backend.behaviour = "answer"


async def open_stream(site: Site, path: str) -> tuple[int, bool, list[int], bytes]:
    """Return status, completeness, event ids and stray bytes of a stream."""
    response = await site.call_model(path, **CRASHING_PROMPT)
    return (
        response.status,
        response.is_complete,
        response.event_ids,
        response.stray_bytes,
    )


@pytest.mark.parametrize("path", ["/stream/x", "/once/x"])
def test_pass_on_a_stream_that_ends_with_its_connection(path: str) -> None:
    async def case() -> None:
        async with open_site("e1") as site:
            site.backends[0].framing = Framing.CLOSE
            for _ in range(3):
                assert await open_stream(site, path) == (200, True, [1, 2, 3], b"")

    run(case())


@pytest.mark.parametrize(
    "moment",
    [CrashMoment.AFTER_HEAD, CrashMoment.BETWEEN_EVENTS, CrashMoment.INSIDE_EVENT],
)
def test_resume_a_stream_whose_server_crashed(moment: CrashMoment) -> None:
    """The end of a crashed server's connection is taken for the end of its stream."""

    async def case() -> None:
        async with open_site("e1", "e2") as site:
            for backend in site.backends:
                crash_in_streams(backend, moment)
                backend.on_crash = lambda crashed: heal(site)
            assert await open_stream(site, "/stream/x") == (200, True, [1, 2, 3], b"")
            assert sum(backend.is_down for backend in site.backends) == 1

    run(case())


@pytest.mark.parametrize(
    "moment",
    [CrashMoment.AFTER_HEAD, CrashMoment.BETWEEN_EVENTS, CrashMoment.INSIDE_EVENT],
)
def test_break_off_a_stream_that_must_not_be_resumed(moment: CrashMoment) -> None:
    """A stream that may run only once ends as complete though its server crashed."""

    async def case() -> None:
        async with open_site("e1", "e2") as site:
            for backend in site.backends:
                crash_in_streams(backend, moment)
            _, is_complete, _, stray = await open_stream(site, "/once/x")
            assert not is_complete
            assert stray == b""
            assert sum(backend.is_down for backend in site.backends) == 1

    run(case())


@pytest.mark.parametrize(
    ("path", "status"), [("/safe/x", 200), ("/open/x", 200), ("/unsafe/x", 502)]
)
def test_pass_on_no_part_of_a_body(path: str, status: int) -> None:
    """A part of a body passes for the whole as its server crashes in the middle."""

    async def case() -> None:
        async with open_site("p1", "p2") as site:
            for backend in site.backends:
                backend.behaviour = "unframed_crash"
                backend.on_crash = lambda crashed: heal(site)
            method = "POST" if path == "/unsafe/x" else "GET"
            response = await site.call(path, method=method)
            assert response.status == status
            assert b"half" not in response.body

    run(case())


def test_end_a_whole_body_soon() -> None:
    """The check of the server after a body without a length delays its response."""

    async def case() -> None:
        async with open_site("p1") as site:
            site.backends[0].behaviour = "unframed"
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            for _ in range(5):
                response = await site.call("/safe/x")
                assert (response.status, response.body) == (200, b"whole body")
            assert loop.time() - started_at < 1.0

    run(case())


def leave(site: Site, backend: FakeBackend) -> None:
    """Let a server that is known to leave listen no more."""
    site.instances[0].replica.record_departure(backend.id)
    backend.close()


WHOLE = (200, True, [1, 2, 3], b"")


async def open_streams(site: Site, count: int) -> list[asyncio.Task[Any]]:
    """Begin streams that may run once and last 0.6 s."""
    backend = site.backends[0]
    backend.pause_s = 0.2
    streams = [open_stream(site, "/once/x") for _ in range(count)]
    tasks = [asyncio.ensure_future(stream) for stream in streams]
    await asyncio.sleep(0.1)
    return tasks


async def teach_length(site: Site, path: str) -> None:
    """Let an instance see streams of a route end at a server that lives on."""
    site.backends[0].framing = Framing.CLOSE
    for _ in range(3):
        assert await open_stream(site, path) == WHOLE


@pytest.mark.parametrize("path", ["/stream/x", "/once/x"])
def test_pass_on_a_stream_that_a_leaving_server_finishes(path: str) -> None:
    """A server stops to listen before its last streams end; they were cut."""

    async def case() -> None:
        async with open_site("e1") as site:
            backend = site.backends[0]
            await teach_length(site, path)
            backend.pause_s = 0.2
            stream = asyncio.ensure_future(open_stream(site, path))
            await asyncio.sleep(0.1)
            leave(site, backend)
            assert await stream == WHOLE

    run(case())


def test_pass_on_streams_that_a_leaving_server_finishes_together() -> None:
    """They passed for streams of a server that had crashed."""

    async def case() -> None:
        async with open_site("e1") as site:
            await teach_length(site, "/once/x")
            streams = await open_streams(site, 3)
            leave(site, site.backends[0])
            assert await asyncio.gather(*streams) == [WHOLE] * 3

    run(case())


def test_pass_on_a_stream_that_another_one_outlives() -> None:
    """A server that still sends has not crashed, whatever the length."""

    async def case() -> None:
        async with open_site("e1") as site:
            site.backends[0].framing = Framing.CLOSE
            [first] = await open_streams(site, 1)
            await asyncio.sleep(0.3)
            [second] = await open_streams(site, 1)
            leave(site, site.backends[0])
            assert await first == WHOLE
            assert not (await second)[1]

    run(case())


def test_pass_on_a_stream_whose_server_then_removes_its_record() -> None:
    """A server that has crashed removes no record; its last stream was cut."""

    async def case() -> None:
        async with open_site("e1") as site:
            backend = site.backends[0]
            backend.framing = Framing.CLOSE
            [stream] = await open_streams(site, 1)
            leave(site, backend)
            await asyncio.sleep(0.7)
            site.store.put(BACKENDS, backend.id, b"")
            assert await stream == WHOLE

    run(case())


@pytest.mark.parametrize("has_history", [True, False])
@pytest.mark.parametrize("moment", [CrashMoment.AFTER_HEAD, CrashMoment.BETWEEN_EVENTS])
def test_break_off_the_only_stream_of_a_leaving_server_that_dies(
    moment: CrashMoment, has_history: bool
) -> None:
    """One event of three passed for the whole stream."""

    async def case() -> None:
        async with open_site("e1") as site:
            backend = site.backends[0]
            if has_history:
                await teach_length(site, "/once/x")
            crash_in_streams(backend, moment)
            backend.crash_s = 0.3
            stream = asyncio.ensure_future(open_stream(site, "/once/x"))
            await asyncio.sleep(0.1)
            leave(site, backend)
            _, is_complete, _, stray = await stream
            assert not is_complete
            assert stray == b""

    run(case())


def test_break_off_a_stream_without_any_sign_that_it_is_whole() -> None:
    """A caller must not take a part for the whole, at the price of a whole cut."""

    async def case() -> None:
        async with open_site("e1") as site:
            site.backends[0].framing = Framing.CLOSE
            [stream] = await open_streams(site, 1)
            leave(site, site.backends[0])
            assert not (await stream)[1]

    run(case())


def test_break_off_streams_whose_server_crashes_as_it_leaves() -> None:
    """All streams of a server end at the same moment, which none of them should."""

    async def case() -> None:
        async with open_site("e1") as site:
            backend = site.backends[0]
            backend.framing = Framing.CLOSE
            backend.pause_s = 0.2
            streams = [
                asyncio.ensure_future(open_stream(site, "/once/x")) for _ in range(3)
            ]
            await asyncio.sleep(0.3)
            leave(site, backend)
            backend.crash()
            for stream in streams:
                _, is_complete, _, stray = await stream
                assert not is_complete
                assert stray == b""

    run(case())
