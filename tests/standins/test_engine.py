"""Tests of the model engine's stand-in and its parts."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from baobabthread.adapters.engines import EngineClient, open_session
from baobabthread.ports.engine import Answer, LoadReport, Refused
from baobabthread.ports.prefixes import BLOCK_WORDS, hash_prefixes
from baobabthread.standins.answers import FLAWED_WORD, write_answer
from baobabthread.standins.batch import Batch, Job
from baobabthread.standins.cache import PrefixCache
from baobabthread.standins.engine import EngineServer


def run(case: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(case, 30))


def make_batch(**settings: Any) -> tuple[Batch, list[str]]:
    starts: list[str] = []
    batch = Batch(
        on_start=lambda job: starts.append(job.request_id),
        on_change=lambda: None,
        **settings,
    )
    return batch, starts


def make_job(name: str, priority: int = 5, total: int = 10, prefill: float = 0) -> Job:
    return Job(
        request_id=name, priority=priority, produced=0, total=total, prefill=prefill
    )


def ask(text: str, **fields: Any) -> bytes:
    messages = [{"role": "user", "content": text}]
    return msgspec.json.encode({"model": "small", "messages": messages, **fields})


def test_urgent_jobs_leave_the_queue_first_then_the_older() -> None:
    batch, starts = make_batch(capacity=1, tokens_per_s=10.0)
    for name, priority in (("a", 5), ("b", 9), ("c", 1), ("d", 5)):
        batch.submit(make_job(name, priority))
    for _ in range(4):
        batch.advance(1.0)
    assert starts == ["a", "c", "d", "b"]


@given(
    st.lists(st.tuples(st.integers(1, 40), st.floats(0, 20)), min_size=1, max_size=9),
    st.integers(1, 4),
)
def test_running_jobs_share_one_rate_and_all_end(
    sizes: list[tuple[int, float]], capacity: int
) -> None:
    batch, _ = make_batch(capacity=capacity, tokens_per_s=100.0)
    jobs = [make_job(str(n), 5, *size) for n, size in enumerate(sizes)]
    for job in jobs:
        batch.submit(job)
    steps = 0
    while not all(job.done for job in jobs):
        steps += 1
        batch.advance(0.05)
        assert len(batch.running) <= capacity
        assert sum(job.produced for job in jobs) <= steps * 5
        assert steps < 1000
    assert [job.produced for job in jobs] == [job.total for job in jobs]


def test_prefix_cache_is_bounded_and_its_events_have_gaps() -> None:
    words = " ".join(str(n) for n in range(4 * BLOCK_WORDS))
    cache = PrefixCache(blocks=4, rng=Random(1), lag_s=0.0, gap=0.5)
    assert cache.use(hash_prefixes("small", words)) == 0
    assert cache.use(hash_prefixes("small", words + " more")) == 4
    assert cache.use(hash_prefixes("large", words)) == 0
    assert cache.use(hash_prefixes("small", words)) == 0
    events = cache.events(0)
    assert {event.kind for event in events} == {"stored", "evicted"}
    assert 0 < len(events) < events[-1].sequence
    cache.lag_s = 3600.0
    assert cache.events(0) == []


@given(st.floats(0, 1), st.floats(0, 1), st.integers(0, 50))
def test_answer_is_good_when_the_version_is_stronger_than_the_prompt_is_hard(
    difficulty: float, strength: float, number: int
) -> None:
    text = f"prompt {number} difficulty={difficulty:.4f}"
    fields = {"version": "small", "prompt": text, "max_tokens": 40}
    first = write_answer(strength=strength, **fields)
    assert first == write_answer(strength=strength, **fields)
    assert first.good == (float(f"{difficulty:.4f}") < strength)
    assert first.good == (first.tokens[0].strip() != FLAWED_WORD)
    assert 0 <= first.signal <= 1


def test_signal_tells_good_from_flawed_until_the_version_turns_bad() -> None:
    def average(bad: float, wanted: bool) -> float:
        answers = [
            write_answer(
                version="small",
                prompt=f"prompt {number}",
                strength=0.6,
                max_tokens=8,
                bad_probability=bad,
            )
            for number in range(300)
        ]
        signals = [answer.signal for answer in answers if answer.good == wanted]
        return sum(signals) / len(signals)

    assert average(0.0, True) > average(0.0, False) + 0.2
    assert average(1.0, False) > average(0.0, True)


def test_overload_waits_then_refuses_without_a_run() -> None:
    async def case() -> None:
        server = EngineServer(name="e1", versions=["small"], capacity=1, max_waiting=2)
        async with server, open_session() as session:
            client = EngineClient(session=session)
            server.set_faults({"freeze": True})

            async def complete(name: str) -> object:
                return await client.complete(
                    server.address, request_id=name, body=ask("hello"), timeout_s=20
                )

            first = [asyncio.create_task(complete(name)) for name in ("a", "b")]
            async with asyncio.timeout(10):
                while len(server.batch.waiting) < 2:
                    assert (await session.get(f"{server.url}/control")).status == 200
            refused = await complete("c")
            assert isinstance(refused, Refused)
            assert (refused.kind, refused.retry_after_s) == ("busy", 0.2)
            assert server.runs.get("c") == 0
            server.set_faults({})
            assert all(isinstance(answer, Answer) for answer in await _gather(first))

    run(case())


async def _gather(tasks: list[asyncio.Task[object]]) -> list[object]:
    return list(await asyncio.gather(*tasks))


def test_client_that_leaves_frees_its_slot() -> None:
    async def case() -> None:
        server = EngineServer(name="e1", versions=["small"], tokens_per_s=0.001)
        async with server, open_session() as session:
            client = EngineClient(session=session)
            left = await client.complete(
                server.address, request_id="a", body=ask("hello"), timeout_s=0.2
            )
            assert not isinstance(left, Answer)
            async with asyncio.timeout(10):
                while server.batch.running:
                    assert (await session.get(f"{server.url}/control")).status == 200
            assert server.runs.get("a") == 1

    run(case())


@pytest.mark.parametrize(("lie", "waiting"), [(False, 1), (True, 0)])
def test_load_report_is_old_and_may_lie(lie: bool, waiting: int) -> None:
    async def case() -> None:
        server = EngineServer(name="e1", versions=["small"], capacity=1)
        async with server, open_session() as session:
            client = EngineClient(session=session)

            async def report(**faults: Any) -> LoadReport:
                server.set_faults(faults)
                found = await client.load(server.address)
                assert isinstance(found, LoadReport)
                return found

            server.batch.frozen = True
            server.batch.submit(make_job("a"))
            assert (await report(report_lag_s=3600)).waiting == 0
            server.set_faults({"report_lag_s": 0, "lie_load": lie})
            server.batch.frozen = True
            server.batch.submit(make_job("b"))
            found = await client.load(server.address)
            assert isinstance(found, LoadReport)
            assert found.waiting == waiting

    run(case())
