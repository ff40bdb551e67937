"""One account's requests of a class that wait, their pace, and who is to come back."""

from __future__ import annotations

import math
from typing import Generic, TypeVar

PACE_HALF_LIFE_S = 1.0
"""Time in which what was seen of a pace loses half of its weight."""
DEMAND_HALF_LIFE_S = 3.0
"""Time in which what an account asked for loses half of its weight."""
ASSUMED_S = 0.5
"""Time for which an assumed pace counts as if it had been seen."""
MAX_RETRY_S = 5.0
MIN_RETRY_S = 0.1
MAX_RETURNS = 256
"""Times to come back that a line may have outstanding."""
RETURN_KEPT_S = 0.5
"""Time for which a time to come back is kept for its caller."""

Member = TypeVar("Member")


class Pace:
    """Rate at which turns come while some wait for them, in tokens a second."""

    __slots__ = ("_at", "_first", "_first_s", "_tokens", "_waited_s", "assumed")

    def __init__(self, *, assumed: float, now: float) -> None:
        self.assumed = assumed
        """Rate while nothing is seen."""
        self._tokens = assumed * ASSUMED_S
        self._waited_s = ASSUMED_S
        self._first = self._tokens
        """What is left of the tokens assumed at first, and of their time."""
        self._first_s = self._waited_s
        self._at = now

    def assume(self, rate: float) -> None:
        """Replace the rate that was assumed at first."""
        tokens = rate * self._first_s
        self._tokens = max(0.0, self._tokens + tokens - self._first)
        self._first = tokens

    def pass_time(self, now: float, *, is_waiting: bool) -> None:
        """Count the time since the last call, in which some waited or nobody did."""
        passed_s = max(0.0, now - self._at)
        if not passed_s:
            return
        self._at = now
        kept = math.exp2(-passed_s / PACE_HALF_LIFE_S)
        self._tokens *= kept
        self._waited_s *= kept
        self._first *= kept
        self._first_s *= kept
        if is_waiting:
            self._waited_s += passed_s
        else:
            # Nothing is seen then, and a slow pace must not refuse all for ever.
            self._tokens += (1.0 - kept) * self.assumed * ASSUMED_S
            self._waited_s += (1.0 - kept) * ASSUMED_S

    def add(self, tokens: float) -> None:
        """Count a turn."""
        self._tokens += tokens

    @property
    def rate(self) -> float:
        """Tokens a second."""
        return max(1.0, self._tokens / self._waited_s)


class Demanded:
    """Rate at which an account asks, in tokens a second."""

    __slots__ = ("_at", "_tokens")

    def __init__(self, *, now: float) -> None:
        self._tokens = 0.0
        self._at = now

    def add(self, tokens: float, now: float) -> None:
        """Count a request, served or not."""
        self._tokens = self._fade(now) + tokens
        self._at = now

    def estimate_rate(self, now: float) -> float:
        """Return the tokens a second that were asked for lately."""
        return self._fade(now) * math.log(2.0) / DEMAND_HALF_LIFE_S

    def _fade(self, now: float) -> float:
        passed_s = max(0.0, now - self._at)
        return self._tokens * math.exp2(-passed_s / DEMAND_HALF_LIFE_S)


class Line(Generic[Member]):
    """The waiting requests of one account and class, in order of arrival."""

    __slots__ = ("members", "pace", "returns", "tokens")

    def __init__(self, *, pace: Pace) -> None:
        self.pace = pace
        self.members: dict[object, Member] = {}
        self.tokens = 0
        self.returns: list[float] = []
        """Times at which callers were told to come back, rising."""

    def enter(self, key: object, member: Member, tokens: int, now: float) -> None:
        """Add a request."""
        self.pass_time(now)
        self.members[key] = member
        self.tokens += tokens

    def leave(self, key: object, tokens: int) -> None:
        """Remove a request."""
        if self.members.pop(key, None) is not None:
            self.tokens -= tokens

    def pass_time(self, now: float) -> None:
        """Count the time since the last call."""
        self.pace.pass_time(now, is_waiting=bool(self.members))

    def estimate_wait(self, tokens: int, least_rate: float = 0.0) -> float:
        """Return the seconds until the turn of one more request.

        The line is entitled to `least_rate` tokens a second.
        """
        return (self.tokens + 0.5 * tokens) / max(least_rate, self.pace.rate)

    def estimate_last_wait(self, tokens: int, least_rate: float = 0.0) -> float:
        """Return the seconds until the turn of the last request."""
        return self.estimate_wait(-tokens, least_rate)

    # -- those who are to come back --

    def add_return(self, tokens: int, least_s: float, now: float) -> float | None:
        """Return the seconds after which a refused caller should come back.

        None if there is no time left for it within the longest wait.
        """
        at = now + max(MIN_RETRY_S, least_s)
        if self.returns:
            at = max(at, self.returns[-1] + tokens / self.pace.rate)
        if at > now + MAX_RETRY_S or len(self.returns) >= MAX_RETURNS:
            return None
        self.returns.append(at)
        return at - now

    def is_due(self, now: float) -> bool:
        """Return whether a caller was told to come back about now."""
        while self.returns and self.returns[0] < now - RETURN_KEPT_S:
            self.returns.pop(0)
        return bool(self.returns) and self.returns[0] <= now

    def is_idle(self, now: float) -> bool:
        """Return whether nobody waits or is to come back."""
        self.is_due(now)
        return not self.members and not self.returns
