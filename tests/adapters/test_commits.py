"""Group commit against a log that refuses or loses its reply."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any

import pytest

from baobabthread.adapters.commits import MIN_PAUSE_S, GroupCommit
from baobabthread.core.messages import Append, Appended, AppendFailed, Stream
from baobabthread.ports.log import AppendRefusedError, AppendUnknownError, NewRecord


class Log:
    """Fail as often as told, then take records."""

    def __init__(self, failures: list[Exception]) -> None:
        self.failures = failures
        self.batches: list[list[str]] = []

    async def append(self, stream: str, records: Sequence[NewRecord]) -> int:
        self.batches.append([record.id for record in records])
        if self.failures:
            raise self.failures.pop(0)
        return 7


def open_commit(log: Log, events: list[Any]) -> GroupCommit:
    return GroupCommit(
        stream=Stream.BILLS,
        log=log,  # type: ignore[arg-type]
        feed=events.append,
        gather_s=0.0,
    )


def make_append(id_: str) -> Append:
    return Append(stream=Stream.BILLS, id=id_, body=b"{}")


async def wait_for(events: list[Any], count: int) -> None:
    async with asyncio.timeout(10):
        while len(events) < count:  # noqa: ASYNC110
            await asyncio.sleep(0.005)


def test_records_of_one_moment_share_an_append() -> None:
    log = Log([])
    events: list[Any] = []

    async def run() -> None:
        commit = open_commit(log, events)
        for id_ in ("a", "b", "c"):
            commit.add(make_append(id_))
        await wait_for(events, 3)
        await commit.close()

    asyncio.run(run())
    assert log.batches == [["a", "b", "c"]]
    assert [(event.id, event.offset) for event in events] == [
        ("a", 7),
        ("b", 8),
        ("c", 9),
    ]


def test_refusing_log_fails_what_waits_at_once() -> None:
    """An operator is told "unknown" though the log refused every append.

    The log refuses the first record. The second came meanwhile and waited here for the
    log's return; at its deadline nobody could say whether it would still be appended.
    While the log refuses, what comes fails at once and definitely, without asking.
    """
    log = Log([AppendRefusedError("down")])
    events: list[Any] = []

    async def run() -> None:
        commit = open_commit(log, events)
        commit.add(make_append("a"))
        await wait_for(events, 1)
        commit.add(make_append("b"))
        await wait_for(events, 2)
        assert commit.waiting == 0
        await asyncio.sleep(2 * MIN_PAUSE_S)
        commit.add(make_append("c"))
        await wait_for(events, 3)
        await commit.close()

    asyncio.run(run())
    assert log.batches == [["a"], ["c"]]
    assert [type(event) for event in events] == [AppendFailed, AppendFailed, Appended]
    assert events[0].definite
    assert events[1].definite


@pytest.mark.parametrize("error", [AppendUnknownError("reply lost")])
def test_lost_reply_is_not_definite(error: Exception) -> None:
    log = Log([error])
    events: list[Any] = []

    async def run() -> None:
        commit = open_commit(log, events)
        commit.add(make_append("a"))
        await wait_for(events, 1)
        await commit.close()

    asyncio.run(run())
    assert isinstance(events[0], AppendFailed)
    assert not events[0].definite
