"""Keep the outcomes of finished keys for a bounded time, in bounded memory."""

from __future__ import annotations

from collections import deque

from baobabthread.core.claims.handover import Outcome
from baobabthread.core.claims.keys import ClaimKey


class AnswerStore:
    """Hold outcomes by key, oldest dropped first."""

    __slots__ = (
        "_lifetime_s",
        "_max_answer_bytes",
        "_max_stored_bytes",
        "_order",
        "_outcomes",
        "stored_bytes",
    )

    def __init__(
        self, *, lifetime_s: float, max_answer_bytes: int, max_stored_bytes: int
    ) -> None:
        self.stored_bytes = 0
        self._lifetime_s = lifetime_s
        self._max_answer_bytes = max_answer_bytes
        self._max_stored_bytes = max_stored_bytes
        self._outcomes: dict[ClaimKey, Outcome] = {}
        self._order: deque[tuple[float, ClaimKey]] = deque()

    def store(self, key: ClaimKey, outcome: Outcome, now: float) -> None:
        """Keep an outcome unless it is too large."""
        if len(outcome.body) > self._max_answer_bytes:
            return
        self._outcomes[key] = outcome
        self._order.append((now, key))
        self.stored_bytes += len(outcome.body)
        self.expire(now)

    def get(self, key: ClaimKey) -> Outcome | None:
        """Return the outcome of a key if it is still kept."""
        return self._outcomes.get(key)

    def expire(self, now: float) -> None:
        """Drop what is too old, and the oldest beyond the bound of bytes."""
        oldest = now - self._lifetime_s
        while self._order and (
            self._order[0][0] < oldest or self.stored_bytes > self._max_stored_bytes
        ):
            _, key = self._order.popleft()
            outcome = self._outcomes.pop(key)
            self.stored_bytes -= len(outcome.body)
