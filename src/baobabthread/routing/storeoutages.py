"""Evidence that the store was unavailable, from the calls that this instance made."""

from __future__ import annotations

from collections import Counter, deque

import msgspec

MAX_FAILURES = 32
"""Number of recent failures that are kept."""
MIN_UNANSWERED = 2
"""Unanswered calls in a row that make an outage: a single response may be lost."""
LONG_OUTAGE_S = 2.4
"""Time without any knowledge from which on one unanswered call makes an outage."""


class FailedCall(msgspec.Struct, frozen=True, kw_only=True):
    """A call that the store refused or did not answer."""

    topic: str
    requested_at: float
    is_refused: bool
    """Whether the store itself answered that it can't serve the call."""


class StoreOutages:
    """Remember failed calls, to tell an outage of the store from a gap in own reads.

    Knowledge grows old for many reasons: an instance starts or stands still, its reader
    ends, a response is lost. Only the store's failures say that others could not write.
    """

    __slots__ = ("_failures",)

    def __init__(self) -> None:
        self._failures: deque[FailedCall] = deque(maxlen=MAX_FAILURES)

    def record_failure(self, call: FailedCall) -> None:
        """Record a failed call."""
        self._failures.append(call)

    def has_outage_between(self, read_at: float, next_at: float) -> bool:
        """Return whether the store was unavailable between two successive reads."""
        failures = [call for call in self._failures if call.requested_at > read_at]
        if any(call.is_refused for call in failures):
            return True
        is_long = next_at - read_at >= LONG_OUTAGE_S
        unanswered = Counter(call.topic for call in failures)
        least = 1 if is_long else MIN_UNANSWERED
        return any(count >= least for count in unanswered.values())
