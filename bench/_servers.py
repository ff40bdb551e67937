"""A discrete-event model of backend servers that batch continuously."""

from __future__ import annotations

import heapq
import math
import random
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import msgspec

from baobabthread.core.backends.backends import LoadReport
from baobabthread.core.limits.limits import Outcome


class Events:
    """Run callbacks in the order of their virtual time."""

    __slots__ = ("_heap", "_sequence", "now")

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = 0

    def after(self, delay_s: float, action: Callable[..., None], *args: Any) -> None:
        """Run a callback after some seconds."""
        self._sequence += 1
        item = (self.now + delay_s, self._sequence, action, args)
        heapq.heappush(self._heap, item)

    def every(self, interval_s: float, action: Callable[[], None]) -> None:
        """Run a callback at intervals for ever."""

        def repeat() -> None:
            action()
            self.after(interval_s, repeat)

        self.after(interval_s, repeat)

    def run(self, until: float) -> None:
        """Run all callbacks up to a time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self._heap)
            action(*args)
        self.now = until


class ServerSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Describe how fast a kind of backend server works."""

    capacity: int
    step_s: float
    """Seconds of one step that gives each running request a token."""
    step_s_per_request: float
    """Seconds that each running request adds to a step."""
    prefill_ratio: float = 40.0
    """Prompt tokens that cost as much as one generated token."""
    cache_tokens: int = 0
    """Size of the prefix cache."""
    max_waiting: int = 256
    """Jobs beyond those running; more are refused as busy."""
    cancels: bool = True
    """Whether a job whose caller has gone is stopped; else its work goes on."""

    def tokens_per_s(self) -> float:
        """Return what a full server works off, in generated tokens a second."""
        step = self.step_s + self.step_s_per_request * self.capacity
        return self.capacity / step


MODEL = ServerSpec(
    capacity=8, step_s=0.02, step_s_per_request=0.001, cache_tokens=24_000
)
PLAIN = ServerSpec(capacity=8, step_s=0.001, step_s_per_request=0.0, cancels=False)


class Job:
    """Hold one attempt at a backend server."""

    __slots__ = (
        "began_at",
        "cached_tokens",
        "done",
        "level",
        "output_tokens",
        "prefix_key",
        "prefix_tokens",
        "prompt_tokens",
        "state",
    )

    def __init__(
        self,
        *,
        prompt_tokens: int,
        output_tokens: int,
        prefix_key: int | None,
        prefix_tokens: int,
        level: int,
        done: Callable[[Outcome], None],
    ) -> None:
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.prefix_key = prefix_key
        self.prefix_tokens = prefix_tokens
        self.level = level
        self.done = done
        self.cached_tokens = 0
        self.state = "new"
        self.began_at = math.nan


class BatchServer:
    """Serve jobs side by side: all that run advance by one token a step."""

    __slots__ = (
        "_advanced_at",
        "_cache",
        "_cache_used",
        "_events",
        "_finishing",
        "_progress",
        "_rng",
        "_running",
        "_sequence",
        "_spec",
        "_speed",
        "_stamp",
        "_waiting",
        "_waiting_count",
        "cut_share",
        "failing",
        "lies",
        "name",
        "worked",
    )

    def __init__(self, *, name: str, spec: ServerSpec, events: Events) -> None:
        self.name = name
        self.lies = False
        self.failing = False
        self.cut_share = 0.0
        """Share of the answers that fail at their end, when the work is done."""
        self.worked = 0.0
        """Tokens' worth of work done, also for requests that were cancelled."""
        self._spec = spec
        self._events = events
        self._rng = random.Random(name)
        self._speed = 1.0
        self._progress = 0.0
        self._advanced_at = 0.0
        self._running = 0
        self._waiting_count = 0
        self._sequence = 0
        self._stamp = 0
        self._finishing: list[tuple[float, int, Job]] = []
        self._waiting: list[tuple[int, int, Job]] = []
        self._cache: OrderedDict[int, int] = OrderedDict()
        self._cache_used = 0

    def set_speed(self, speed: float) -> None:
        """Change the speed, 1 being the usual one."""
        self._advance()
        self._speed = speed
        self._schedule()

    def submit(self, job: Job) -> None:
        """Take in a job, or refuse it."""
        if self.failing:
            self._events.after(0.001, job.done, Outcome.FAILED)
            return
        if self._waiting_count >= self._spec.max_waiting:
            self._events.after(0.0, job.done, Outcome.BUSY)
            return
        self._sequence += 1
        job.state = "waiting"
        self._waiting_count += 1
        heapq.heappush(self._waiting, (job.level, self._sequence, job))
        self._admit()

    def cancel(self, job: Job) -> None:
        """Stop a job whose caller has gone, if the server can; its slot is free."""
        if not self._spec.cancels and job.state != "new":
            return
        if job.state == "waiting":
            self._waiting_count -= 1
        elif job.state == "running":
            self._advance()
            self._running -= 1
        job.state = "cancelled"
        self._admit()

    def report(self) -> LoadReport:
        """Return the load as the server tells it, which may be a lie."""
        running = 0 if self.lies else self._running
        waiting = 0 if self.lies else self._waiting_count
        return LoadReport(
            running=running,
            waiting=waiting,
            capacity=self._spec.capacity,
            versions=["v"],
        )

    def _advance(self) -> None:
        elapsed = self._events.now - self._advanced_at
        self._advanced_at = self._events.now
        progress = elapsed * self._rate()
        self._progress += progress
        self.worked += progress * self._running

    def _rate(self) -> float:
        """Return the tokens a second that each running job gets."""
        spec = self._spec
        return self._speed / (spec.step_s + spec.step_s_per_request * self._running)

    def _admit(self) -> None:
        self._advance()
        while self._running < self._spec.capacity and self._waiting_count:
            job = heapq.heappop(self._waiting)[2]
            if job.state != "waiting":
                continue
            self._waiting_count -= 1
            self._running += 1
            job.state = "running"
            job.began_at = self._events.now
            self._sequence += 1
            ends = self._progress + self._work(job)
            heapq.heappush(self._finishing, (ends, self._sequence, job))
        self._schedule()

    def _work(self, job: Job) -> float:
        """Return the job's work in generated tokens, less what the cache saves."""
        key = job.prefix_key
        if key is not None:
            job.cached_tokens = self._cache.pop(key, 0)
            self._cache[key] = job.prefix_tokens
            self._cache_used += job.prefix_tokens - job.cached_tokens
            while self._cache_used > self._spec.cache_tokens and self._cache:
                self._cache_used -= self._cache.popitem(last=False)[1]
        fresh = job.prompt_tokens - job.cached_tokens
        return job.output_tokens + fresh / self._spec.prefill_ratio

    def _schedule(self) -> None:
        heap = self._finishing
        while heap and heap[0][2].state != "running":
            heapq.heappop(heap)
        self._stamp += 1
        if heap:
            wait = max(0.0, heap[0][0] - self._progress) / self._rate()
            self._events.after(wait, self._finish, self._stamp)

    def _finish(self, stamp: int) -> None:
        if stamp != self._stamp:
            return
        self._advance()
        job = heapq.heappop(self._finishing)[2]
        job.state = "done"
        self._running -= 1
        cut = self._rng.random() < self.cut_share
        job.done(Outcome.FAILED if cut else Outcome.OK)
        self._admit()
