"""Continuous batching: slots that share one rate of tokens, and a waiting queue."""

from __future__ import annotations

import asyncio
import heapq
import time
from collections.abc import Callable

TICK_S = 0.004
PREFILL_WORK = 0.05
"""Work of one uncached prompt token, in generated tokens."""


class Job:
    """Hold one request at an engine, from the queue to its last token."""

    __slots__ = (
        "cancelled",
        "changed",
        "done",
        "own_id",
        "prefill",
        "priority",
        "produced",
        "request_id",
        "started",
        "total",
    )

    def __init__(
        self,
        *,
        request_id: str,
        priority: int,
        produced: int,
        total: int,
        prefill: float,
        own_id: str = "",
    ) -> None:
        self.request_id = request_id
        self.own_id = own_id
        self.priority = priority
        self.produced = produced
        self.total = total
        self.prefill = prefill
        self.started = False
        self.done = False
        self.cancelled = False
        self.changed = asyncio.Event()

    async def wait(self, seen: int) -> int:
        """Return how many tokens there are once that is more than was seen."""
        while self.produced <= seen and not self.done:
            self.changed.clear()
            await self.changed.wait()
        return self.produced

    async def finish(self) -> None:
        """Wait until the job is done."""
        while not self.done:
            self.changed.clear()
            await self.changed.wait()


class Batch:
    """Run jobs in a bounded number of slots that share one rate of tokens."""

    __slots__ = (
        "_credit",
        "_order",
        "_wake",
        "capacity",
        "frozen",
        "on_change",
        "on_start",
        "running",
        "tokens_per_s",
        "waiting",
    )

    def __init__(
        self,
        *,
        capacity: int,
        tokens_per_s: float,
        on_start: Callable[[Job], None],
        on_change: Callable[[], None],
    ) -> None:
        self.capacity = capacity
        self.tokens_per_s = tokens_per_s
        """Rate shared by the running jobs; 0 sets no bound."""
        self.frozen = False
        self.running: list[Job] = []
        self.waiting: list[tuple[int, int, Job]] = []
        self.on_start = on_start
        self.on_change = on_change
        self._order = 0
        self._credit = 0.0
        self._wake = asyncio.Event()

    def submit(self, job: Job) -> None:
        """Enter a job; lower priority numbers go first, then the older."""
        self._order += 1
        heapq.heappush(self.waiting, (job.priority, self._order, job))
        self._fill()
        self.on_change()

    def drop(self, job: Job) -> None:
        """Cancel a job and free its slot."""
        if job.done:
            return
        job.cancelled = True
        self._end(job)
        if job in self.running:
            self.running.remove(job)
        else:
            self.waiting = [item for item in self.waiting if item[2] is not job]
            heapq.heapify(self.waiting)
        self._fill()
        self.on_change()

    def freeze(self, frozen: bool) -> None:
        """Stop all progress, or let it go on."""
        self.frozen = frozen
        self._fill()
        self._wake.set()

    async def run(self) -> None:
        """Give tokens to the running jobs, tick by tick, until cancelled."""
        last = time.monotonic()
        while True:
            if self.frozen or not self.running:
                self._credit = 0.0
                self._wake.clear()
                await self._wake.wait()
                last = time.monotonic()
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            self.advance(now - last)
            last = now

    def advance(self, elapsed_s: float) -> None:
        """Give the running jobs the tokens of so much time."""
        if not self.frozen:
            self._credit += elapsed_s * self.tokens_per_s
            self._share()

    def _fill(self) -> None:
        while self.waiting and len(self.running) < self.capacity and not self.frozen:
            job = heapq.heappop(self.waiting)[2]
            job.started = True
            self.on_start(job)
            if not self.tokens_per_s:
                job.produced = job.total
                self._end(job)
                continue
            self.running.append(job)
            self._wake.set()

    def _share(self) -> None:
        """Spend the credit evenly: first on prefill, then a token at a time."""
        while self.running and self._credit >= 1:
            share = max(1.0, self._credit // len(self.running))
            for job in list(self.running):
                if self._credit < 1:
                    # Who got nothing this time comes first the next time.
                    place = self.running.index(job)
                    self.running = self.running[place:] + self.running[:place]
                    break
                self._advance(job, min(share, self._credit))
            self._fill()

    def _advance(self, job: Job, work: float) -> None:
        prefill = min(job.prefill, work)
        job.prefill -= prefill
        self._credit -= prefill
        tokens = min(int(work - prefill), job.total - job.produced)
        if tokens > 0:
            self._credit -= tokens
            job.produced += tokens
            job.changed.set()
        elif prefill == 0:
            # A share below one token would never be spent: take it as used.
            self._credit -= work
        if job.produced >= job.total:
            self.running.remove(job)
            self._end(job)
            self.on_change()

    def _end(self, job: Job) -> None:
        job.done = True
        job.changed.set()
