"""Error responses of the instance itself: rejections and failures.

Status 503 means that a request has not run and may be sent again, 502 and 504 that it
may have run.
"""

from __future__ import annotations

import random

import msgspec

from baobabthread.instance.context import RequestContext
from baobabthread.instance.requestlog import RequestLog
from baobabthread.routing.quarantine import QuarantineEntry

RETRY_AFTER_S = 0.5
"""Time after which a caller may retry at an instance that can't serve it now."""

RETRY_ELSEWHERE_AFTER_S = 0.05
"""Time after which a caller may retry at another instance: almost at once."""
STOPPED_KIND = "instance_stopped"
QUARANTINED_KIND = "quarantined"
MIN_QUARANTINE_S = 1.0
QUARANTINE_REASON = (
    "Backend servers ended while this request, with the same path, query and body, was "
    "on them, and no other request explains it."
)
QUARANTINE_PART_REASON = (
    "Backend servers ended while requests were on them whose prompts shared parts with "
    "this one, and no other request explains it."
)
LEAVING_KIND = "leaving"
NOT_RUN = "It has not been run this time."
MAY_HAVE_RUN = "It may have been run in part."
QUARANTINE_PART_ADVICE = (
    "Send it again without these parts, or in {left_s} s. Other requests are served."
)
QUARANTINE_ADVICE = (
    "Do not send it again unchanged; change it, or send it again in {left_s} s. Other "
    "requests are served."
)


class RetryTime(msgspec.Struct, frozen=True, kw_only=True):
    """When a caller may retry: after a time, and up to as much later at random."""

    after_s: float
    spread_s: float


DEFAULT_RETRY_TIME = RetryTime(after_s=RETRY_AFTER_S, spread_s=RETRY_AFTER_S)
RETRY_ELSEWHERE = RetryTime(after_s=RETRY_ELSEWHERE_AFTER_S, spread_s=0.0)


class ErrorResponses:
    """Send the final response of requests that a backend server did not answer."""

    __slots__ = ("_log", "_rng")

    def __init__(self, *, log: RequestLog, rng: random.Random) -> None:
        self._log = log
        self._rng = rng

    async def time_out(self, context: RequestContext) -> None:
        """End a request whose deadline has passed."""
        if self._has_not_run(context):
            await self.reject(context, "no_time_left", None)
        else:
            await self._fail(context, 504, "timeout")

    async def give_up(
        self, context: RequestContext, kind: str, retry: RetryTime | None = None
    ) -> None:
        """End a request for which no attempt is left."""
        if self._has_not_run(context):
            retry = retry or DEFAULT_RETRY_TIME
            after_s = retry.after_s + retry.spread_s * self._rng.random()
            await self.reject(context, kind, after_s)
        else:
            await self._fail(context, 502, kind)

    async def abort_on_stop(self, context: RequestContext) -> None:
        """End a request that is still running when this instance stops."""
        self._log.record_cut_by_stop(context)
        if context.reply.has_begun:
            context.reply.abort()
        elif self._has_not_run(context):
            await context.reply.reject(503, STOPPED_KIND, RETRY_ELSEWHERE_AFTER_S)
        else:
            await context.reply.reject(502, STOPPED_KIND, None)

    async def reject_quarantined(
        self, context: RequestContext, entry: QuarantineEntry
    ) -> None:
        """Reject a quarantined request, with advice for the caller."""
        left_s = max(MIN_QUARANTINE_S, entry.left_s)
        self._log.record_quarantined(context, entry)
        if context.reply.has_begun:
            context.reply.abort()
            return
        has_not_run = self._has_not_run(context)
        status, execution = (503, NOT_RUN) if has_not_run else (502, MAY_HAVE_RUN)
        reason, advice = QUARANTINE_REASON, QUARANTINE_ADVICE
        if entry.is_of_parts:
            reason, advice = QUARANTINE_PART_REASON, QUARANTINE_PART_ADVICE
        detail = f"{reason} {execution} {advice.format(left_s=round(left_s))}"
        await context.reply.reject(status, QUARANTINED_KIND, left_s, detail)

    async def reject(
        self, context: RequestContext, kind: str, retry_after_s: float | None
    ) -> None:
        """Reject a request that has not run and will not."""
        self._log.record_failure(context, kind, 503)
        await context.reply.reject(503, kind, retry_after_s)

    async def _fail(self, context: RequestContext, status: int, kind: str) -> None:
        self._log.record_failure(context, kind, status)
        if context.reply.has_begun:
            context.reply.abort()
        else:
            await context.reply.reject(status, kind, None)

    def _has_not_run(self, context: RequestContext) -> bool:
        # Status 503 guarantees that the request has not run: callers then retry even
        # requests that must not take effect twice, such as sending a warning.
        return context.runs == 0 and not context.reply.has_begun
