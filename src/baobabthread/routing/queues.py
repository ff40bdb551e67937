"""Queues of the requests waiting for a service, with admission and rejection."""

from __future__ import annotations

import msgspec

from baobabthread.core.configuration.configuration import Priority
from baobabthread.core.limits.fairness import FairnessSettings, FairQueue, Waiting

URGENT_RANK = 0
LAST_INTERACTIVE_RANK = 2
HEADROOM = 2.0
"""Multiple of its equal share of the capacity that an instance may use: callers are not
spread evenly, and backend servers queue by priority themselves."""
MIN_RUNNING = 8
"""Requests that an instance may always run: with equal shares of few slots, one would
wait while others leave theirs idle."""
RETRY_JITTER = 0.5
"""Maximum relative jitter of retry times, so that callers do not return together."""
MIN_RETRY_S = 0.1
MAX_RETRY_S = 5.0
"""Upper bound of retry times before jitter, after which callers with urgent requests
still return."""


class Admission(msgspec.Struct, frozen=True, kw_only=True):
    """Whether a request may wait, and otherwise when to retry it."""

    admitted: bool
    retry_after_s: float = 0.0
    pushed_out: str | None = None
    """Request that was queued before and has to make room for this one."""


class ServiceQueue:
    """Queues requests for one service and limits how many run from this instance."""

    __slots__ = ("_capacity", "_instances", "_queue", "running")

    def __init__(self, *, settings: FairnessSettings | None = None) -> None:
        self._queue = FairQueue(settings=settings)
        self._capacity = 0
        self._instances = 1
        self.running = 0

    def __len__(self) -> int:
        return len(self._queue)

    def set_capacity(self, capacity: int, instances: int) -> None:
        """Set the concurrency of the backend servers and the instances sharing it."""
        self._capacity = capacity
        self._instances = max(1, instances)

    @property
    def limit(self) -> float:
        """Number of requests that this instance may run at once."""
        return max(MIN_RUNNING, HEADROOM * self._capacity / self._instances)

    def offer(self, waiting: Waiting, now: float, jitter: float) -> Admission:
        """Queue a request unless it cannot be served in time.

        `jitter` is a random number from 0 to 1 that spreads the retry times.
        """
        wait_s = self._queue.estimate_wait(waiting)
        if now + wait_s + waiting.service_s > waiting.deadline:
            return Admission(
                admitted=False, retry_after_s=self._find_retry_after(now, jitter)
            )
        pushed_out = self._queue.push(waiting, now)
        if pushed_out is None:
            return Admission(admitted=True)
        return Admission(
            admitted=pushed_out is not waiting,
            retry_after_s=self._find_retry_after(now, jitter),
            pushed_out=pushed_out.request_id,
        )

    def pop(self, now: float) -> Waiting | None:
        """Return the next request and count it as running, if one may run."""
        if self.running >= self.limit:
            return None
        waiting = self._queue.pop(now)
        if waiting is not None:
            self.running += 1
        return waiting

    def expire(self, now: float) -> list[Waiting]:
        """Remove and return the requests that can no longer be served in time."""
        return self._queue.expire(now)

    def remove(self, request_id: str) -> None:
        """Remove a request whose caller has disconnected."""
        self._queue.remove(request_id)

    def finish(self, request_id: str, tokens: int, now: float) -> None:
        """Record the end of a running request."""
        self.running = max(0, self.running - 1)
        self._queue.finished(request_id, tokens, now)

    def _find_retry_after(self, now: float, jitter: float) -> float:
        wait_s = min(MAX_RETRY_S, max(MIN_RETRY_S, self._queue.retry_after(now)))
        return wait_s * (1.0 + RETRY_JITTER * jitter)


def classify(rank: int) -> Priority:
    """Return the priority class for a rank, 0 being the most urgent."""
    if rank <= URGENT_RANK:
        return Priority.URGENT
    if rank <= LAST_INTERACTIVE_RANK:
        return Priority.INTERACTIVE
    return Priority.BATCH
