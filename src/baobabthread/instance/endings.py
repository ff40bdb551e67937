"""Final answers of this side's own: refusals that are true, and failures."""

from __future__ import annotations

import random

from baobabthread.instance.context import RequestContext
from baobabthread.instance.requestlog import RequestLog
from baobabthread.routing.quarantine import QuarantineEntry

SOON_S = 0.5
"""Time after which a caller may come back to an instance that has nothing to offer."""

ELSEWHERE_S = 0.05
"""Time after which a caller may go to another instance: at once."""
STOPPED_KIND = "instance_stopped"
HELD_KIND = "quarantined"
LEAST_HOLD_S = 1.0
WHY_HELD = (
    "Backend servers ended while this request, with the same path, query and body, was "
    "on them, and no other request explains it."
)
NOT_RUN_NOW = "It has not been run this time."
MAY_HAVE_RUN = "It may have been run in part."
WHAT_TO_DO = (
    "Do not send it again unchanged; change it, or send it again in {left_s} s. Other "
    "requests are served."
)


class Endings:
    """End requests that get no answer of a backend server."""

    __slots__ = ("_log", "_rng")

    def __init__(self, *, log: RequestLog, rng: random.Random) -> None:
        self._log = log
        self._rng = rng

    async def time_out(self, flight: RequestContext) -> None:
        """End a request whose time is over."""
        if self._surely_not_run(flight):
            await self.refuse(flight, "no_time_left", None)
        else:
            await self._fail(flight, 504, "timeout")

    async def give_up(self, flight: RequestContext, kind: str) -> None:
        """End a request for which nothing is left to try."""
        if self._surely_not_run(flight):
            await self.refuse(flight, kind, SOON_S * (1 + self._rng.random()))
        else:
            await self._fail(flight, 502, kind)

    async def cut(self, flight: RequestContext) -> None:
        """End a request that this instance's own end overtakes."""
        self._log.record_cut_by_stop(flight)
        if flight.reply.has_begun:
            flight.reply.abort()
        elif self._surely_not_run(flight):
            await flight.reply.reject(503, STOPPED_KIND, ELSEWHERE_S)
        else:
            await flight.reply.reject(502, STOPPED_KIND, None)

    async def hold_back(self, flight: RequestContext, held: QuarantineEntry) -> None:
        """End a request under which backend servers crash, and say what to do."""
        left_s = max(LEAST_HOLD_S, held.left_s)
        self._log.record_quarantined(flight)
        if flight.reply.has_begun:
            flight.reply.abort()
            return
        not_run = self._surely_not_run(flight)
        status, what = (503, NOT_RUN_NOW) if not_run else (502, MAY_HAVE_RUN)
        detail = f"{WHY_HELD} {what} {WHAT_TO_DO.format(left_s=round(left_s))}"
        await flight.reply.reject(status, HELD_KIND, left_s, detail)

    async def refuse(
        self, flight: RequestContext, kind: str, retry_after_s: float | None
    ) -> None:
        """Refuse a request that has not run and never will."""
        self._log.record_failure(flight, kind, 503)
        await flight.reply.reject(503, kind, retry_after_s)

    async def _fail(self, flight: RequestContext, status: int, kind: str) -> None:
        self._log.record_failure(flight, kind, status)
        if flight.reply.has_begun:
            flight.reply.abort()
        else:
            await flight.reply.reject(status, kind, None)

    def _surely_not_run(self, flight: RequestContext) -> bool:
        # 503 promises that the request has not run: callers then send a warning again
        # that may not go out twice.
        return flight.runs == 0 and not flight.reply.has_begun
