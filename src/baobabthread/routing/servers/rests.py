"""Backend servers that asked this instance for rest, and until when."""

from __future__ import annotations

import random

import msgspec

from baobabthread.routing.servers.starts import MAX_STARTS

MAX_REST_S = 3600.0
"""Longest rest; a wrong value would otherwise keep a server out of use for good."""
RETURN_SPREAD_S = 0.5
"""Time over which instances return that were asked for rest at the same moment: in one
burst they would be turned away again."""
MIN_REPORTED_RISE_S = 0.25
"""Rise of a rest's end that is reported to peers; responses that cross differ less."""


class _Rest(msgspec.Struct):
    asked_until: float
    spread_s: float
    """Time for which this instance stays away beyond what was asked for."""

    @property
    def until(self) -> float:
        return self.asked_until + self.spread_s


class Rests:
    """Times until which backend servers get no request from this instance.

    They outlive the servers' records, which may lapse and return within a rest.
    """

    __slots__ = ("_rests", "_rng")

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._rests: dict[str, _Rest] = {}

    def record(self, name: str, rest_s: float, now: float) -> bool:
        """Record that a server asks for rest; return whether it should be reported.

        A later response that asks for less does not shorten it.
        """
        rest_s = min(rest_s, MAX_REST_S)
        if rest_s <= 0.0:
            return False
        rest = self._rests.get(name)
        if rest is None or rest.until <= now:
            spread_s = min(RETURN_SPREAD_S, rest_s) * self._rng.random()
            self._rests.pop(name, None)
            self._rests[name] = _Rest(asked_until=now + rest_s, spread_s=spread_s)
            if len(self._rests) > MAX_STARTS:
                del self._rests[next(iter(self._rests))]
            return True
        rise_s = now + rest_s - rest.asked_until
        rest.asked_until = max(rest.asked_until, now + rest_s)
        return rise_s > MIN_REPORTED_RISE_S

    def left_s(self, name: str, now: float) -> float:
        """Return the time for which a server still rests, in seconds."""
        rest = self._rests.get(name)
        return 0.0 if rest is None else max(0.0, rest.until - now)

    def list_resting(self, now: float) -> list[str]:
        """Return the incarnations of the servers that rest."""
        return [name for name, rest in self._rests.items() if now < rest.until]

    def drop_ended(self, now: float) -> list[str]:
        """Drop the servers that have rested and return them."""
        ended = [name for name, rest in self._rests.items() if rest.until <= now]
        for name in ended:
            del self._rests[name]
        return ended
