"""Tests of the load tool against a small entry with faults."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from typing import Any

import msgspec
import pytest
from aiohttp import web

from baobabthread.adapters.engines import EngineClient, PlainClient, open_session
from baobabthread.errors import UsageError
from baobabthread.load.report import make_histogram, read_percentiles
from baobabthread.load.table import render_report
from baobabthread.load.tool import LoadAccount, LoadReport, LoadSettings, Work, run_load
from baobabthread.ports.engine import Answer, Chunk, End
from baobabthread.ports.plain import PlainAnswer
from baobabthread.standins.fleet import Fleet

TEXT = """
[services.content]
kind = "model"
cascade = ["small"]
[services.screen]
kind = "plain"
[versions.small]
service = "content"
model = "small"
cost = 2.0
[backends.e1]
service = "content"
address = "127.0.0.1:9001"
failure_domain = "Vake"
versions = ["small"]
[backends.s1]
service = "screen"
address = "127.0.0.1:9002"
failure_domain = "Isani"
"""

Fault = Callable[["Entry", web.Request], Awaitable[web.StreamResponse | None]]


class Entry:
    """Relay requests to the stand-ins, with one fault put before them."""

    def __init__(self, fleet: Fleet, fault: Fault | None = None) -> None:
        self.fleet = fleet
        self.fault = fault
        self.address = ""
        self.count = 0
        self.keys: list[str] = []
        self.sessions: list[str] = []

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator[Entry]:
        app = web.Application()
        app.router.add_get("/v1/addresses", self.answer_addresses)
        app.router.add_post("/v1/{path:.*}", self.answer)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.05)
        async with open_session() as session:
            self.engine = EngineClient(session=session)
            self.plain = PlainClient(session=session)
            await runner.setup()
            await web.TCPSite(runner, "127.0.0.1", 0).start()
            self.address = f"127.0.0.1:{runner.addresses[0][1]}"
            try:
                yield self
            finally:
                await runner.cleanup()

    async def answer_addresses(self, request: web.Request) -> web.Response:
        row = {"address": self.address, "name": "n1", "incarnation": "n1-a"}
        return web.json_response({"addresses": [row], "lifetime_s": 60})

    async def answer(self, request: web.Request) -> web.StreamResponse:
        self.count += 1
        self.keys.append(request.headers.get("Idempotency-Key", ""))
        self.sessions.append(request.headers.get("Baobab-Session", ""))
        if self.fault is not None:
            response = await self.fault(self, request)
            if response is not None:
                return response
        return await self.relay(request)

    async def relay(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        request_id = f"r{self.count}"
        headers = {"X-Request-Id": request_id, "Baobab-Version": "small"}
        if "services" in request.path:
            address = self.fleet.plain("s1").address
            call = request.path.rpartition("/")[2]
            outcome = await self.plain.call(
                address, call, request_id=request_id, body=body, timeout_s=10
            )
            assert isinstance(outcome, PlainAnswer)
            return web.Response(body=outcome.body)
        headers["Baobab-Session"] = "token-1"
        fields = msgspec.json.decode(body)
        body = msgspec.json.encode({**fields, "model": "small"})
        address = self.fleet.engine("e1").address
        if fields["stream"]:
            return await self.relay_stream(request, address, body, headers)
        answer = await self.engine.complete(
            address, request_id=request_id, body=body, timeout_s=10
        )
        assert isinstance(answer, Answer)
        return web.Response(body=answer.body, headers=headers)

    async def relay_stream(
        self, request: web.Request, address: str, body: bytes, headers: dict[str, str]
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        async for item in self.engine.stream(
            address, request_id=headers["X-Request-Id"], body=body, timeout_s=10
        ):
            assert isinstance(item, Chunk | End)
            await response.write(item.raw)
        await response.write_eof()
        return response


def drive(
    *works: Work, fault: Fault | None = None, **settings: Any
) -> tuple[LoadReport, Entry]:
    async def case() -> tuple[LoadReport, Entry]:
        fleet = Fleet(texts=[TEXT], keep_ports=False, seed=5)
        async with fleet, Entry(fleet, fault).open() as entry:
            fields = {
                "entries": [f"http://{entry.address}"],
                "accounts": [LoadAccount(name="metro", key="k1")],
                "model": "content",
                "plain_service": "screen",
                "keyed_call": "dispatch",
                "shares": dict.fromkeys(works, 1.0),
                "callers": 2,
                "max_requests": 12,
                "duration_s": 60.0,
                "session_share": 1.0,
                "costs": {"small": 2.0},
                "backends": [server.address for server in fleet.backends.values()],
                "standin_answers": True,
                "progress": False,
                **settings,
            }
            return await run_load(LoadSettings(**fields)), entry

    run: Coroutine[Any, Any, tuple[LoadReport, Entry]] = case()
    return asyncio.run(asyncio.wait_for(run, 60))


def refuse_odd(ran: str) -> Fault:
    async def fault(entry: Entry, request: web.Request) -> web.Response | None:
        if entry.count % 2 == 0:
            return None
        body = {"kind": "overloaded", "ran": ran, "retry_after_s": 0.001}
        return web.json_response(body, status=429)

    return fault


async def run_and_drop(entry: Entry, request: web.Request) -> web.StreamResponse:
    await entry.relay(request)
    assert request.transport is not None
    request.transport.abort()
    return web.Response()


async def run_twice(entry: Entry, request: web.Request) -> web.StreamResponse:
    await entry.relay(request)
    entry.count += 1000
    return await entry.relay(request)


async def end_early(entry: Entry, request: web.Request) -> web.StreamResponse:
    text = b'data: {"request_id":"r","index":0,"choices":[]}\n\n'
    return web.Response(body=text, headers={"Baobab-Version": "small"})


async def answer_another(entry: Entry, request: web.Request) -> web.StreamResponse:
    answer = {"request_id": "r", "result": {"echo": {"id": "other"}}}
    return web.json_response(answer)


def test_all_sorts_of_requests_are_answered_and_checked() -> None:
    report, entry = drive(*Work, max_requests=60, session_requests=1000)
    assert report.answered == report.requests == 60
    assert report.list_violations() == []
    assert report.effects.checked
    assert set(report.by_work) == {work.value for work in Work}
    assert report.first_token.count == report.by_work["stream"].count > 0
    assert report.cost == pytest.approx(report.tokens * 2.0 / 1000)
    assert "token-1" in entry.sessions
    bound = [key for key in entry.keys if key.startswith("n1-a/metro-")]
    assert len(bound) == report.by_work["bound"].count
    assert "answered" in render_report(report)


def test_open_loop_keeps_its_bounds() -> None:
    report, _ = drive(Work.CHAT, rate_per_s=500.0, max_requests=30)
    assert report.requests + report.not_sent == 30
    assert report.answered == report.requests


def test_refusal_that_was_not_run_is_retried() -> None:
    report, entry = drive(Work.BOUND, fault=refuse_odd("no"), callers=1)
    assert report.answered == 12
    assert report.attempts == entry.count == 24


def test_failure_that_ran_is_not_retried() -> None:
    report, entry = drive(Work.PLAIN, fault=refuse_odd("yes"), callers=1)
    assert (report.failed, report.answered) == (6, 6)
    assert entry.count == 12


def test_unknown_call_is_repeated_under_its_key_only() -> None:
    """Count a lost reply as unknown, however often it is repeated.

    The entry runs the call and drops the connection each time. The caller repeats
    under the same key and never with a new one, so an entry that remembers keys can
    hold the second run back. This one doesn't, and the report shows the double.
    """
    report, entry = drive(Work.BOUND, fault=run_and_drop, callers=1, max_requests=2)
    assert report.unknown == 2
    assert len(set(entry.keys)) == 2
    assert entry.count == 8
    assert report.effects.doubled == 2


def test_unkeyed_unknown_is_not_repeated() -> None:
    report, entry = drive(Work.CHAT, fault=run_and_drop, callers=1, max_requests=3)
    assert (report.unknown, entry.count) == (3, 3)


def test_double_run_behind_one_answer_is_found() -> None:
    report, _ = drive(Work.FREE, fault=run_twice, max_requests=4)
    assert report.answered == 4
    assert report.effects.doubled == 4
    assert "4 doubled" in report.list_violations()


def test_answer_that_nobody_ran_is_found() -> None:
    report, _ = drive(
        Work.PLAIN, fault=answer_another, standin_answers=False, max_requests=3
    )
    assert (report.answered, report.effects.never_ran) == (3, 3)


def test_anothers_answer_is_wrong_and_a_stream_without_its_end_is_cut() -> None:
    report, _ = drive(Work.PLAIN, fault=answer_another, max_requests=3)
    assert (report.answered, report.wrong) == (0, 3)
    report, _ = drive(Work.STREAM, fault=end_early, max_requests=3)
    assert (report.answered, report.cut) == (0, 3)


def test_percentiles_are_read_in_milliseconds() -> None:
    histogram = make_histogram()
    for value in range(1, 1001):
        histogram.record_value(value * 100)
    row = read_percentiles(histogram)
    assert row.count == 1000
    assert row.p50 == pytest.approx(500, rel=0.002)
    assert row.p99 == pytest.approx(990, rel=0.002)
    assert row.max == pytest.approx(1000, rel=0.002)
    assert read_percentiles(make_histogram()).p999 == 0


def test_settings_that_cannot_work_name_the_remedy() -> None:
    account = LoadAccount(name="metro", key="k1")
    for fields in (
        {"entries": [], "accounts": [account], "model": "content"},
        {"entries": ["http://127.0.0.1:1"], "accounts": []},
        {"entries": ["http://127.0.0.1:1"], "accounts": [account]},
    ):
        with pytest.raises(UsageError) as caught:
            LoadSettings(**fields).check()
        assert caught.value.remedy.startswith(("give", "name"))
