"""Rate-limited log lines and metrics of each request."""

from __future__ import annotations

from baobabthread.instance.clock import now
from baobabthread.instance.context import CallerRequest, RequestContext
from baobabthread.instance.metrics import Metrics
from baobabthread.loglimits import LineRateLimiter
from baobabthread.logs import log_event, write_event
from baobabthread.routing.configuration import BackendRecord
from baobabthread.routing.quarantine import QuarantineEntry
from baobabthread.routing.reasons import VersionReason
from baobabthread.routing.replica import StateReplica
from baobabthread.routing.versions import VersionPlan

FAILURE_LINES_PER_S = 20.0
"""Log lines per second for rejected and failed requests: enough to log each one in a
quiet hour, few enough that a burst of them costs no noticeable processor time."""
SUCCESS_LINES_PER_S = 2.0
"""Log lines per second for a sample of the successful requests."""
VERSION_CHOICE_LINES_PER_S = 10.0
"""Log lines per second for the versions chosen for session requests in a roll-out."""


class RequestLog:
    """Log and count the outcome of requests, with the facts that decided it."""

    __slots__ = (
        "_choice_limiter",
        "_failure_limiter",
        "_metrics",
        "_replica",
        "_success_limiter",
    )

    def __init__(self, *, replica: StateReplica, metrics: Metrics) -> None:
        self._replica = replica
        self._metrics = metrics
        self._failure_limiter = LineRateLimiter(per_s=FAILURE_LINES_PER_S)
        self._success_limiter = LineRateLimiter(per_s=SUCCESS_LINES_PER_S)
        self._choice_limiter = LineRateLimiter(per_s=VERSION_CHOICE_LINES_PER_S)

    def record_version_choice(self, context: RequestContext, plan: VersionPlan) -> None:
        """Record the version chosen for a session's request in a roll-out."""
        reason = context.version_reason
        if not plan.is_running or context.is_sessionless:
            return
        self._metrics.version_choices.labels(
            service=context.service, reason=str(reason)
        ).inc()
        if reason is VersionReason.NOT_CANARY or not self._choice_limiter.try_acquire():
            return
        assert plan.order is not None
        log_event(
            "session_version_chosen",
            request=context.request.envelope.request_id,
            session=context.session,
            service=context.service,
            number=plan.order.offset,
            era=plan.order.era,
            version=context.version or "",
            reason=reason,
            was_new=plan.pins.is_on_new(context.session),
            attempt=context.attempts + 1,
            exposed=plan.exposure.report().exposed,
            permit_ms=round(1000 * plan.permission.permitted_s(now())),
            confirmed_ms=round(1000 * plan.permission.left_s(now())),
            elapsed_s=round(plan.elapsed(now()), 2),
        )

    def record_response(
        self, context: RequestContext, backend: BackendRecord, status: int
    ) -> None:
        """Record a response that was passed on to the caller."""
        elapsed_s = now() - context.started_at
        self._metrics.record_response(context.route.name, status, elapsed_s)
        if context.attempts > 1:
            self._metrics.retries.inc(context.attempts - 1)
        unusual = status >= 400 or context.attempts > 1
        limiter = self._failure_limiter if unusual else self._success_limiter
        if limiter.try_acquire():
            write_event("request_answered", self._describe(context, status, backend))

    def record_failure(self, context: RequestContext, kind: str, status: int) -> None:
        """Record a request that this instance rejected or failed itself."""
        self._metrics.rejected.labels(kind=kind).inc()
        if self._failure_limiter.try_acquire():
            write_event(
                "request_given_up", self._describe(context, status, None, kind=kind)
            )

    def record_quarantined(
        self, context: RequestContext, entry: QuarantineEntry
    ) -> None:
        """Record a request rejected because it is quarantined for crashing servers."""
        kind = "quarantined_part" if entry.is_of_parts else "quarantined"
        self._metrics.rejected.labels(kind=kind).inc()
        if self._failure_limiter.try_acquire():
            fields = self._describe(
                context,
                0,
                None,
                fingerprint=context.fingerprint,
                held=entry.fingerprint,
                times=entry.times,
                hold_left_s=entry.left_s,
            )
            write_event("request_held_back", fields)

    def record_rejection(self, request: CallerRequest, kind: str, status: int) -> None:
        """Record a request rejected before a route or an account was found."""
        self._metrics.rejected.labels(kind=kind).inc()
        if self._failure_limiter.try_acquire():
            fields = {
                "request": request.envelope.request_id,
                "kind": kind,
                "status": status,
                "host": request.host,
                "path": request.path,
            }
            write_event("request_turned_away", fields | self._describe_replica())

    def record_caller_disconnect(self, context: RequestContext) -> None:
        """Record a caller that disconnected before its response was complete."""
        self._metrics.rejected.labels(kind="caller_gone").inc()
        if self._failure_limiter.try_acquire():
            write_event("caller_gone", self._describe(context, 0, None))

    def record_cut_by_stop(self, context: RequestContext) -> None:
        """Record a request still unanswered when this instance stopped."""
        self._metrics.rejected.labels(kind="cut_by_stop").inc()
        if self._failure_limiter.try_acquire():
            fields = self._describe(context, 0, None, begun=context.reply.has_begun)
            write_event("request_cut_by_stop", fields)

    def record_internal_error(
        self, context: RequestContext, error: BaseException
    ) -> None:
        """Log an unexpected exception in this program."""
        log_event(
            "request_crashed",
            level="error",
            request=context.request.envelope.request_id,
            error=repr(error),
        )

    def _describe(
        self,
        context: RequestContext,
        status: int,
        backend: BackendRecord | None,
        **fields: object,
    ) -> dict[str, object]:
        logged_at = now()
        if context.lost_connections:
            fields.setdefault("fingerprint", context.fingerprint)
            fields.setdefault("parts", ",".join(context.parts))
        if context.admitted_at_stop is not None:
            fields.setdefault("until_end_ms", context.admitted_at_stop.until_end_ms)
            fields.setdefault("usual_ms", context.admitted_at_stop.usual_ms)
            fields.setdefault("longest_ms", context.admitted_at_stop.longest_ms)
        common: dict[str, object] = {
            "request": context.request.envelope.request_id,
            "status": status,
            "route": context.route.name,
            "service": context.service,
            "account": context.account.name if context.account is not None else "",
            "backend": backend.id if backend is not None else "",
            "version": backend.version if backend is not None else "",
            "model": context.model_name or "",
            "confidence": context.confidence if context.confidence is not None else "",
            "prompt": context.request.envelope.prompt_tokens,
            "kept": context.kept_tokens if context.kept_tokens is not None else "",
            "hint": context.request.envelope.expected_tokens,
            "objective_ms": round(context.route.objective_s * 1000),
            "first_ms": round(context.head_s * 1000),
            "relay": context.relay,
            "attempts": context.attempts,
            "runs": context.runs,
            "trail": ",".join(context.timeline),
            "took_ms": round((logged_at - context.started_at) * 1000),
            "left_ms": round((context.deadline - logged_at) * 1000),
        }
        return common | fields | self._describe_replica()

    def _describe_replica(self) -> dict[str, object]:
        table = self._replica.table
        return {
            "configuration": table.configuration.version if table is not None else 0,
            "age_ms": round(min(self._replica.operators_age(now()), 1e6) * 1000),
        }
