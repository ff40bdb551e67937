"""Final answers of this side's own: refusals that are true, and failures."""

from __future__ import annotations

import random

from baobabthread.instance.flight import Flight
from baobabthread.instance.records import FlightLog

SOON_S = 0.5
"""Time after which a caller may come back to an instance that has nothing to offer."""


class Endings:
    """End requests that get no answer of a backend server."""

    __slots__ = ("_log", "_rng")

    def __init__(self, *, log: FlightLog, rng: random.Random) -> None:
        self._log = log
        self._rng = rng

    async def time_out(self, flight: Flight) -> None:
        """End a request whose time is over."""
        if self._surely_not_run(flight):
            await self.refuse(flight, "no_time_left", None)
        else:
            await self._fail(flight, 504, "timeout")

    async def give_up(self, flight: Flight, kind: str) -> None:
        """End a request for which nothing is left to try."""
        if self._surely_not_run(flight):
            await self.refuse(flight, kind, SOON_S * (1 + self._rng.random()))
        else:
            await self._fail(flight, 502, kind)

    async def refuse(
        self, flight: Flight, kind: str, retry_after_s: float | None
    ) -> None:
        """Refuse a request that has not run and never will."""
        self._log.failed(flight, kind, 503)
        await flight.reply.refuse(503, kind, retry_after_s)

    async def _fail(self, flight: Flight, status: int, kind: str) -> None:
        self._log.failed(flight, kind, status)
        if flight.reply.has_begun:
            flight.reply.abort()
        else:
            await flight.reply.refuse(status, kind, None)

    def _surely_not_run(self, flight: Flight) -> bool:
        # 503 promises that the request has not run: callers then send a warning again
        # that may not go out twice.
        return flight.runs == 0 and not flight.reply.has_begun
