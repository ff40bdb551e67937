"""Places of a service's queue, whatever order requests start, end and leave in."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace
from typing import Any, cast

import pytest

from baobabthread.core.limits.fairness import FairnessSettings
from baobabthread.instance.clock import now
from baobabthread.instance.scheduler import MIN_TIME_LEFT_S, RequestScheduler
from baobabthread.routing.queues import MIN_RUNNING, ServiceQueue

SEEDS = range(200)
STEPS = 300
SHORT_S = MIN_TIME_LEFT_S + 0.002
LONG_S = 60.0


class Harness:
    """A scheduler with one service, and the tasks of its requests."""

    def __init__(self, *, max_waiting: int = 4096) -> None:
        self.queue = ServiceQueue(settings=FairnessSettings(max_waiting=max_waiting))
        self.state = SimpleNamespace(queue=self.queue)
        self.rejected: list[str] = []
        self.started = 0
        self.scheduler = RequestScheduler(
            services=cast(Any, [self.state]),
            estimates=cast(Any, self),
            error_responses=cast(Any, self),
            log=cast(Any, None),
            rng=random.Random(1),
        )
        self.running: dict[str, Any] = {}
        self.tasks: list[asyncio.Task[None]] = []

    def work_ms(self, context: object) -> int:
        """Return the work of each request."""
        return 1

    def first_s(self, context: object) -> float:
        """Return the time to the response of each request."""
        return 0.0

    async def reject(self, context: object, kind: str, after_s: float) -> None:
        """Record a rejection."""
        self.rejected.append(kind)

    def offer(self, *, left_s: float = LONG_S, priority: int = 1) -> asyncio.Task[None]:
        """Queue a request that runs until it is ended or its caller leaves."""
        context: Any = SimpleNamespace(
            account=None, priority=priority, deadline=now() + left_s, work_ms=1
        )
        task = asyncio.ensure_future(self._serve(context))
        self.tasks.append(task)
        return task

    async def _serve(self, context: Any) -> None:
        state: Any = self.state
        ticket = await self.scheduler.wait(context, state)
        if ticket is None:
            return
        self.started += 1
        ended = self.running[ticket] = asyncio.Event()
        try:
            await ended.wait()
        finally:
            del self.running[ticket]
            self.scheduler.finish(ticket, context, state)

    def end_one(self, rng: random.Random) -> None:
        """End a running request."""
        if self.running:
            rng.choice(list(self.running.values())).set()

    def leave_one(self, rng: random.Random) -> None:
        """Let the caller of any request leave."""
        waiting = [task for task in self.tasks if not task.done()]
        if waiting:
            rng.choice(waiting).cancel()

    async def finish(self) -> None:
        """Let all callers leave."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def test_free_the_place_of_a_caller_that_leaves_as_another_request_ends() -> None:
    """The place that it got in the same turn of the loop was lost for good."""

    async def case() -> None:
        harness = Harness()
        for _ in range(MIN_RUNNING):
            harness.offer()
        await asyncio.sleep(0)
        for _ in range(MIN_RUNNING):
            leaving = harness.offer()
            await asyncio.sleep(0)
            next(iter(harness.running.values())).set()
            leaving.cancel()
            await asyncio.sleep(0.001)
        await harness.finish()
        assert (harness.queue.running, len(harness.queue)) == (0, 0)

    asyncio.run(case())


def test_count_no_end_of_a_request_that_was_rejected_as_its_caller_left() -> None:
    """Its place was given back though it had none, so that one too many ran."""

    async def case() -> None:
        harness = Harness()
        for _ in range(MIN_RUNNING):
            harness.offer()
        leaving = harness.offer(left_s=SHORT_S)
        await asyncio.sleep(2 * SHORT_S)
        harness.scheduler.tick()
        leaving.cancel()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert harness.queue.running == MIN_RUNNING
        await harness.finish()

    asyncio.run(case())


def test_reject_a_request_that_is_pushed_out_of_a_full_queue() -> None:
    """It waited until its caller left, as nothing could start it any more."""

    async def case() -> None:
        harness = Harness(max_waiting=2)
        for _ in range(MIN_RUNNING):
            harness.offer()
        patient = [harness.offer(priority=9) for _ in range(2)]
        await asyncio.sleep(0)
        urgent = harness.offer(priority=0)
        await asyncio.sleep(0.01)
        assert [task.done() for task in patient] == [False, True]
        assert not urgent.done()
        assert harness.rejected == ["waited_too_long"]
        await harness.finish()

    asyncio.run(case())


@pytest.mark.parametrize("seed", SEEDS)
def test_give_back_each_place_in_any_order_of_events(seed: int) -> None:
    """No place is lost or doubled, whatever starts, ends, expires or leaves."""

    async def case() -> None:
        rng = random.Random(seed)
        harness = Harness()
        for _ in range(STEPS):
            way = rng.random()
            if way < 0.45:
                harness.offer(left_s=rng.choice((SHORT_S, LONG_S)))
            elif way < 0.65:
                harness.end_one(rng)
            elif way < 0.85:
                harness.leave_one(rng)
            elif way < 0.9:
                harness.scheduler.tick()
            for _ in range(rng.choice((0, 0, 0, 1, 2))):
                await asyncio.sleep(0)
            assert len(harness.running) <= harness.queue.running <= MIN_RUNNING
        await harness.finish()
        assert (harness.queue.running, len(harness.queue)) == (0, 0)
        harness.offer()
        await asyncio.sleep(0)
        assert len(harness.running) == 1
        await harness.finish()

    asyncio.run(case())
