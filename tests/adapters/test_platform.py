"""Tests of the platform's clients against the stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Coroutine
from typing import Any

import pytest

from baobabthread.adapters.engines import open_session
from baobabthread.adapters.platform import LogClient, RatingsClient, RosterClient
from baobabthread.ports.log import (
    AppendRefusedError,
    AppendUnknownError,
    NewRecord,
    ReadError,
)
from baobabthread.ports.ratings import RatedAnswer
from baobabthread.ports.roster import Instance, Role
from baobabthread.standins.answers import FLAWED_WORD
from baobabthread.standins.log import LogServer
from baobabthread.standins.ratings import RatingServer
from baobabthread.standins.roster import RosterServer


def run(case: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(case, 30))


@contextlib.asynccontextmanager
async def open_log() -> AsyncIterator[tuple[LogServer, LogClient]]:
    async with LogServer(seed=1) as server, open_session() as session:
        server.set_faults({"rate_per_s": 0})
        yield server, LogClient(session=session, url=server.url)


def make_records(*names: str) -> list[NewRecord]:
    return [NewRecord(id=name, body=b'{"name":"%b"}' % name.encode()) for name in names]


def test_records_come_back_in_order_with_contiguous_offsets() -> None:
    async def case() -> None:
        async with open_log() as (_, log):
            assert await log.append("bills", make_records("a", "b")) == 1
            assert await log.append("bills", make_records("c")) == 3
            assert await log.append("claims", make_records("x")) == 1
            page = await log.read("bills", after=1)
            assert [(row.offset, row.id) for row in page.records] == [
                (2, "b"),
                (3, "c"),
            ]
            assert bytes(page.records[0].body) == b'{"name":"b"}'
            assert (page.head, page.first) == (3, 1)

    run(case())


def test_waiting_read_returns_the_record_that_comes() -> None:
    async def case() -> None:
        async with open_log() as (_, log):
            waiting = asyncio.create_task(log.read("bills", after=0, wait_s=20))
            await asyncio.sleep(0.05)
            assert not waiting.done()
            await log.append("bills", make_records("a"))
            assert [row.id for row in (await waiting).records] == ["a"]

    run(case())


def test_retention_drops_the_oldest_and_says_so() -> None:
    async def case() -> None:
        async with open_log() as (server, log):
            await log.append("bills", make_records(*"abcde"))
            server.set_faults({"retention_records": 2})
            page = await log.read("bills", after=0)
            assert [row.id for row in page.records] == ["d", "e"]
            assert (page.first, page.head) == (4, 5)

    run(case())


@pytest.mark.parametrize(
    ("faults", "error", "kept"),
    [
        ({"outage": True}, AppendRefusedError, 0),
        ({"lose_replies": 1.0}, AppendUnknownError, 1),
        ({"lose_requests": 1.0}, AppendUnknownError, 0),
        ({"delay_ms": 900}, AppendUnknownError, 1),
    ],
)
def test_append_failures_say_whether_the_record_can_be_there(
    faults: dict[str, Any], error: type[Exception], kept: int
) -> None:
    """Tell a definite failure from an ambiguous one.

    The log refuses, or it appends and the reply is lost, or neither arrives, or it
    appends after the caller gave up. The caller sees a refusal only when the record
    is surely not in the log.
    """

    async def case() -> None:
        async with open_log() as (server, log):
            client = LogClient(session=log._session, url=server.url, timeout_s=0.3)
            server.set_faults({"rate_per_s": 0, **faults})
            with pytest.raises(error):
                await client.append("bills", make_records("a"))
            server.set_faults({})
            page = await log.read("bills", after=0, wait_s=20.0 * kept)
            assert len(page.records) == kept

    run(case())


def test_log_refuses_beyond_its_rate_and_a_stopped_one_is_definite() -> None:
    async def case() -> None:
        async with open_log() as (server, log):
            server.set_faults({"rate_per_s": 0.001})
            await log.append("bills", make_records("a"))
            with pytest.raises(AppendRefusedError) as caught:
                await log.append("bills", make_records("b"))
            assert caught.value.retry_after_s > 0
            await server.stop()
            # A kept connection that closes under a request stays ambiguous: only a
            # new one that is refused proves that nothing was appended.
            async with open_session() as session:
                fresh = LogClient(session=session, url=server.url)
                with pytest.raises(AppendRefusedError):
                    await fresh.append("bills", make_records("c"))
                with pytest.raises(ReadError):
                    await fresh.read("bills", after=0)

    run(case())


def test_roster_shows_changes_late() -> None:
    async def case() -> None:
        async with RosterServer() as server, open_session() as session:
            roster = RosterClient(session=session, url=server.url)
            one = Instance(
                name="n1", role=Role.ENTRY, address="127.0.0.1:1", failure_domain="Vake"
            )
            server.set_faults({"lag_s": 3600})
            await roster.put(one)
            assert await roster.list_instances() == []
            server.set_faults({"lag_s": 0})
            assert await roster.list_instances() == [one]
            await roster.remove("n1")
            assert await roster.list_instances() == []

    run(case())


def test_ratings_tell_flawed_answers_and_come_late() -> None:
    async def case() -> None:
        async with RatingServer() as server, open_session() as session:
            ratings = RatingsClient(session=session, url=server.url)
            texts = {"r1": "boat river", "r2": f"boat {FLAWED_WORD} river"}
            answers = [
                RatedAnswer(
                    request_id=name,
                    service="s",
                    call="chat",
                    version="v",
                    prompt="p",
                    answer=text,
                )
                for name, text in texts.items()
            ]
            server.set_faults({"delay_s": 3600})
            await ratings.submit(answers)
            assert (await ratings.read(after=0)).ratings == []
            server.set_faults({"delay_s": 0})
            page = await ratings.read(after=0)
            assert {row.request_id: row.good for row in page.ratings} == {
                "r1": True,
                "r2": False,
            }
            assert (await ratings.read(after=page.next)).ratings == []

    run(case())
