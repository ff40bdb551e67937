"""Who waits for a service, in which order, and who is refused."""

from __future__ import annotations

import msgspec

from baobabthread.core.configuration.configuration import Priority
from baobabthread.core.limits.fairness import FairQueue, Waiting

URGENT_RANK = 0
LAST_INTERACTIVE_RANK = 2
HEADROOM = 2.0
"""Times its even part of the capacity that one instance may use: callers don't come
evenly, and backend servers queue by priority themselves."""
MIN_RUNNING = 8
"""Requests that an instance may run in any case: an even part of few slots would make
one instance wait while others leave theirs idle."""
RETRY_JITTER = 0.5
"""Part by which the times given to callers differ: they must not return together."""
MIN_RETRY_S = 0.1
MAX_RETRY_S = 5.0
"""Retry time for which callers in a hurry still come back."""


class Admission(msgspec.Struct, frozen=True, kw_only=True):
    """Tell whether a request may wait, and otherwise when it should come back."""

    admitted: bool
    retry_after_s: float = 0.0


class ServiceQueue:
    """Queue the requests for one service and bound how many run from here."""

    __slots__ = ("_capacity", "_instances", "_queue", "running")

    def __init__(self) -> None:
        self._queue = FairQueue()
        self._capacity = 0
        self._instances = 1
        self.running = 0

    def __len__(self) -> int:
        return len(self._queue)

    def set_capacity(self, capacity: int, instances: int) -> None:
        """Note what the backend servers run at once and how many instances share it."""
        self._capacity = capacity
        self._instances = max(1, instances)

    @property
    def limit(self) -> float:
        """Give how many requests this instance may have running."""
        return max(MIN_RUNNING, HEADROOM * self._capacity / self._instances)

    def offer(self, waiting: Waiting, now: float, jitter: float) -> Admission:
        """Queue a request unless it could not be served in time.

        `spread` is a random number from 0 to 1.
        """
        wait_s = self._queue.estimate_wait(waiting)
        if now + wait_s + waiting.service_s > waiting.deadline:
            return Admission(
                admitted=False, retry_after_s=self._find_retry_after(now, jitter)
            )
        if self._queue.push(waiting, now) is waiting:
            return Admission(
                admitted=False, retry_after_s=self._find_retry_after(now, jitter)
            )
        return Admission(admitted=True)

    def pop(self, now: float) -> Waiting | None:
        """Start the next request, if one may run."""
        if self.running >= self.limit:
            return None
        waiting = self._queue.pop(now)
        if waiting is not None:
            self.running += 1
        return waiting

    def expire(self, now: float) -> list[Waiting]:
        """Take out what can't be served in time any more."""
        return self._queue.expire(now)

    def remove(self, request_id: str) -> None:
        """Take out a request whose caller has gone."""
        self._queue.remove(request_id)

    def finish(self, request_id: str, tokens: int, now: float) -> None:
        """Count the end of a request that ran."""
        self.running = max(0, self.running - 1)
        self._queue.finished(request_id, tokens, now)

    def _find_retry_after(self, now: float, jitter: float) -> float:
        wait_s = min(MAX_RETRY_S, max(MIN_RETRY_S, self._queue.retry_after(now)))
        return wait_s * (1.0 + RETRY_JITTER * jitter)


def classify(rank: int) -> Priority:
    """Return the class of a request by its rank, 0 first."""
    if rank <= URGENT_RANK:
        return Priority.URGENT
    if rank <= LAST_INTERACTIVE_RANK:
        return Priority.INTERACTIVE
    return Priority.BATCH
