"""What is logged and counted of each request, within a bound."""

from __future__ import annotations

from baobabthread.instance.clock import now
from baobabthread.instance.context import CallerRequest, RequestContext
from baobabthread.instance.metrics import Metrics
from baobabthread.logs import log_event, write_event
from baobabthread.routing.configuration import BackendRecord
from baobabthread.routing.reasons import VersionReason
from baobabthread.routing.replica import StateReplica
from baobabthread.routing.versions import VersionPlan

FAILURE_LINES_PER_S = 20.0
"""Lines a second on requests that were refused or failed: enough to find each of a
quiet hour, few enough that a storm of them costs no noticeable processor time."""
SUCCESS_LINES_PER_S = 2.0
"""Lines a second on requests that went well, as a sample."""
VERSION_CHOICE_LINES_PER_S = 10.0
"""Lines a second on the version that a request of a session got in a roll-out."""
BURST_S = 5.0


class LineRateLimiter:
    """Bound how many lines of one kind are written."""

    __slots__ = ("_checked_at", "_level", "_rate", "suppressed")

    def __init__(self, *, per_s: float) -> None:
        self._rate = per_s
        self._level = per_s * BURST_S
        self._checked_at = now()
        self.suppressed = 0

    def try_acquire(self) -> bool:
        """Tell whether one more line may be written."""
        moment = now()
        level = self._level + (moment - self._checked_at) * self._rate
        self._level = min(self._rate * BURST_S, level)
        self._checked_at = moment
        if self._level < 1.0:
            self.suppressed += 1
            return False
        self._level -= 1.0
        return True


class RequestLog:
    """Write a line for the end of a request, with what decided it."""

    __slots__ = ("_choices", "_failures", "_knowledge", "_metrics", "_successes")

    def __init__(self, *, knowledge: StateReplica, metrics: Metrics) -> None:
        self._knowledge = knowledge
        self._metrics = metrics
        self._failures = LineRateLimiter(per_s=FAILURE_LINES_PER_S)
        self._successes = LineRateLimiter(per_s=SUCCESS_LINES_PER_S)
        self._choices = LineRateLimiter(per_s=VERSION_CHOICE_LINES_PER_S)

    def record_version_choice(self, flight: RequestContext, plan: VersionPlan) -> None:
        """Note which version a request of a session got in a roll-out, and why."""
        reason = flight.version_reason
        if not plan.is_running or flight.is_sessionless:
            return
        self._metrics.version_choices.labels(
            service=flight.service, reason=str(reason)
        ).inc()
        if reason is VersionReason.NOT_CANARY or not self._choices.try_acquire():
            return
        assert plan.order is not None
        log_event(
            "session_version_chosen",
            request=flight.request.envelope.request_id,
            session=flight.session,
            service=flight.service,
            number=plan.order.number,
            version=flight.version or "",
            reason=reason,
            was_new=plan.pins.is_on_new(flight.session),
            attempt=flight.attempts + 1,
            exposed=plan.exposure.report().exposed,
            permit_ms=round(1000 * plan.permission.permitted_s(now())),
            confirmed_ms=round(1000 * plan.permission.left_s(now())),
            elapsed_s=round(plan.elapsed(now()), 2),
        )

    def record_response(
        self, flight: RequestContext, backend: BackendRecord, status: int
    ) -> None:
        """Note an answer that was passed on."""
        elapsed_s = now() - flight.started_at
        self._metrics.record_response(flight.route.name, status, elapsed_s)
        if flight.attempts > 1:
            self._metrics.retries.inc(flight.attempts - 1)
        unusual = status >= 400 or flight.attempts > 1
        lines = self._failures if unusual else self._successes
        if lines.try_acquire():
            write_event("request_answered", self._describe(flight, status, backend))

    def record_failure(self, flight: RequestContext, kind: str, status: int) -> None:
        """Note a request that ended with a refusal or failure of this side's own."""
        self._metrics.rejected.labels(kind=kind).inc()
        if self._failures.try_acquire():
            write_event(
                "request_given_up", self._describe(flight, status, None, kind=kind)
            )

    def record_quarantined(self, flight: RequestContext) -> None:
        """Note a request that is held back as backend servers crash under it."""
        self._metrics.rejected.labels(kind="quarantined").inc()
        if self._failures.try_acquire():
            fields = self._describe(flight, 0, None, fingerprint=flight.fingerprint)
            write_event("request_held_back", fields)

    def record_rejection(self, request: CallerRequest, kind: str, status: int) -> None:
        """Note a request that never came as far as a route or an account."""
        self._metrics.rejected.labels(kind=kind).inc()
        if self._failures.try_acquire():
            fields = {
                "request": request.envelope.request_id,
                "kind": kind,
                "status": status,
                "host": request.host,
                "path": request.path,
            }
            write_event("request_turned_away", fields | self._describe_replica())

    def record_caller_disconnect(self, flight: RequestContext) -> None:
        """Note a caller that left before its answer was whole."""
        self._metrics.rejected.labels(kind="caller_gone").inc()
        if self._failures.try_acquire():
            write_event("caller_gone", self._describe(flight, 0, None))

    def record_cut_by_stop(self, flight: RequestContext) -> None:
        """Note a request that was not answered when this instance ended."""
        self._metrics.rejected.labels(kind="cut_by_stop").inc()
        if self._failures.try_acquire():
            fields = self._describe(flight, 0, None, begun=flight.reply.has_begun)
            write_event("request_cut_by_stop", fields)

    def record_internal_error(
        self, flight: RequestContext, error: BaseException
    ) -> None:
        """Note an error of this program's own."""
        log_event(
            "request_crashed",
            level="error",
            request=flight.request.envelope.request_id,
            error=repr(error),
        )

    def _describe(
        self,
        flight: RequestContext,
        status: int,
        backend: BackendRecord | None,
        **fields: object,
    ) -> dict[str, object]:
        moment = now()
        if flight.lost_connections:
            fields.setdefault("fingerprint", flight.fingerprint)
        if flight.admitted_at_stop is not None:
            fields.setdefault("until_end_ms", flight.admitted_at_stop.until_end_ms)
            fields.setdefault("usual_ms", flight.admitted_at_stop.usual_ms)
            fields.setdefault("longest_ms", flight.admitted_at_stop.longest_ms)
        described: dict[str, object] = {
            "request": flight.request.envelope.request_id,
            "status": status,
            "route": flight.route.name,
            "service": flight.service,
            "account": flight.account.name if flight.account is not None else "",
            "backend": backend.id if backend is not None else "",
            "version": backend.version if backend is not None else "",
            "model": flight.model_name or "",
            "confidence": flight.confidence if flight.confidence is not None else "",
            "prompt": flight.request.envelope.prompt_tokens,
            "kept": flight.kept_tokens if flight.kept_tokens is not None else "",
            "hint": flight.request.envelope.expected_tokens,
            "objective_ms": round(flight.route.objective_s * 1000),
            "first_ms": round(flight.head_s * 1000),
            "attempts": flight.attempts,
            "runs": flight.runs,
            "trail": ",".join(flight.timeline),
            "took_ms": round((moment - flight.started_at) * 1000),
            "left_ms": round((flight.deadline - moment) * 1000),
        }
        return described | fields | self._describe_replica()

    def _describe_replica(self) -> dict[str, object]:
        table = self._knowledge.table
        return {
            "configuration": table.configuration.version if table is not None else 0,
            "age_ms": round(min(self._knowledge.operators_age(now()), 1e6) * 1000),
        }
