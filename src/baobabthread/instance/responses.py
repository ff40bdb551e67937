"""What becomes of a backend server's answer: passed on, dropped, or tried elsewhere."""

from __future__ import annotations

import msgspec

from baobabthread.core.limits.limits import Outcome
from baobabthread.instance.attempts import Attempt, ResponseHead, RetryRequested
from baobabthread.instance.clock import now
from baobabthread.instance.connections import IncompleteResponseError
from baobabthread.instance.context import RequestContext
from baobabthread.instance.estimates import Estimates
from baobabthread.instance.events import EventSplitter
from baobabthread.instance.requestlog import RequestLog
from baobabthread.instance.selection import Selection, WaitEstimate
from baobabthread.instance.services import ServiceState
from baobabthread.instance.wire import WireFormat
from baobabthread.routing.mechanisms import DisabledMechanisms
from baobabthread.routing.models import ModelChoice, PendingResponse

LENGTH_MARGIN = 1.5
"""Times the expected length of a larger model's answer that must be left: callers'
estimates are often far off, and an answer that is cut at its deadline is worth none."""
MAX_RESPONSE_BYTES = 8_000_000
"""Largest answer that is held until it is whole."""


class ResponseForwarder:
    """Pass answers on, whole or event by event."""

    __slots__ = ("_disabled", "_estimates", "_log", "_models", "_selection", "_wire")

    def __init__(
        self,
        *,
        wire: WireFormat,
        estimates: Estimates,
        models: ModelChoice,
        selection: Selection,
        disabled: DisabledMechanisms,
        log: RequestLog,
    ) -> None:
        self._wire = wire
        self._estimates = estimates
        self._models = models
        self._disabled = disabled
        self._selection = selection
        self._log = log

    async def handle(
        self,
        flight: RequestContext,
        state: ServiceState,
        attempt: Attempt,
        head: ResponseHead,
    ) -> None:
        """Pass an answer on.

        Raises `Again` where another one is to be tried, `BrokenError` where it breaks.
        """
        if not flight.reply.has_begun:
            if head.is_failure:
                await self._handle_failure(flight, state, attempt, head)
                return
            if head.is_success:
                flight.confidence = head.marks.confidence
                await self._escalate_if_unsure(flight, state, attempt, head)
        elif not head.is_success:
            raise IncompleteResponseError(
                f"status {head.status} instead of the rest of a stream"
            )
        if flight.route.is_stream and head.is_success:
            await self._stream(flight, attempt, head)
            return
        body = await attempt.read_body(MAX_RESPONSE_BYTES)
        if head.is_success:
            self._estimates.observe_response(flight, now() - attempt.sent_at)
        await self._forward(flight, attempt, head, body)

    async def _handle_failure(
        self,
        flight: RequestContext,
        state: ServiceState,
        attempt: Attempt,
        head: ResponseHead,
    ) -> None:
        """Try an answer that says failure elsewhere, or pass it on as it is."""
        body = await attempt.read_body(MAX_RESPONSE_BYTES)
        flight.timeline.append(f"{attempt.link.record.id}:status {head.status}")
        may_repeat = flight.route.may_retry and flight.has_attempts_left
        # With no other server left the caller is better off with this one's own words.
        has_other = may_repeat and self._selection.has_alternative(flight, attempt.link)
        if has_other and state.spend_retry():
            flight.excluded.add(attempt.link.name)
            raise RetryRequested(Outcome.FAILED)
        await self._forward(flight, attempt, head, body)

    async def _forward(
        self, flight: RequestContext, attempt: Attempt, head: ResponseHead, body: bytes
    ) -> None:
        headers = self._wire.filter_response_headers(head.response.raw_headers)
        self._log.record_response(flight, attempt.link.record, head.status)
        await flight.reply.respond(head.status, headers, body)

    async def _escalate_if_unsure(
        self,
        flight: RequestContext,
        state: ServiceState,
        attempt: Attempt,
        head: ResponseHead,
    ) -> None:
        """Drop an answer that its own model doubts, and ask a larger one."""
        if flight.model is None:
            return
        question = PendingResponse(
            count=len(flight.route.models),
            index=flight.model,
            confidence=head.marks.confidence,
        )
        if self._models.escalate(question) is None or not flight.has_attempts_left:
            return
        question = await self._estimate_escalation(flight, head, question)
        larger = self._models.escalate(question)
        reason = self._find_obstacle(flight, state, larger)
        if larger is None or reason is not None:
            described = (
                f"kept {head.marks.confidence:.2f} {reason} {question.describe()}"
            )
            flight.timeline.append(f"{attempt.link.record.id}:{described}")
            return
        doubt = f"unsure {head.marks.confidence:.2f}"
        flight.timeline.append(f"{attempt.link.record.id}:{doubt}")
        flight.model = larger
        raise RetryRequested(Outcome.CANCELLED)

    def _find_obstacle(
        self, flight: RequestContext, state: ServiceState, larger: int | None
    ) -> str | None:
        """Return why no larger model is asked; take a repeat where one is."""
        if larger is None:
            return "price"
        expected_s = self._estimates.total_s(flight, flight.route.models[larger])
        if now() + LENGTH_MARGIN * expected_s > flight.deadline:
            return "deadline"
        return None if state.spend_retry() else "budget"

    async def _estimate_escalation(
        self, flight: RequestContext, head: ResponseHead, question: PendingResponse
    ) -> PendingResponse:
        """Add what a larger model's answer would wait for and leave of the objective.

        Where no keeper of engines answers, it is expected to wait as long as this
        attempt did beyond its own reading.
        """
        largest = flight.route.models[-1]
        prospect = await self._selection.estimate_wait(flight, largest)
        if prospect is None:
            waited_s = max(0.0, head.latency_s - self._estimates.reading_s(flight))
            reading_s = self._estimates.reading_s(flight, largest)
            prospect = WaitEstimate(wait_s=waited_s, reading_s=reading_s)
        passed_s = now() - flight.started_at
        objective_s = max(flight.route.objective_s, 1e-3)
        first_s = prospect.wait_s + prospect.reading_s
        return msgspec.structs.replace(
            question,
            spare=1.0 - (passed_s + first_s) / objective_s,
            costs=self._estimates.estimate_costs(
                flight, prospect.wait_s, prospect.reading_s, self._disabled
            ),
        )

    async def _stream(
        self, flight: RequestContext, attempt: Attempt, head: ResponseHead
    ) -> None:
        """Pass a stream on event by event."""
        reply = flight.reply
        if not reply.has_begun:
            headers = self._wire.filter_response_headers(head.response.raw_headers)
            flight.head_s = now() - flight.started_at
            await reply.begin(head.status, headers)
        cutter = EventSplitter(last_forwarded_id=flight.last_event)
        first_at = now()
        while chunk := await self._read_stream_chunk(flight, attempt):
            events = cutter.feed(chunk)
            if events.data:
                await reply.write(events.data)
            if events.last_id is not None:
                flight.last_event = events.last_id
        if not cutter.is_drained:
            raise IncompleteResponseError("stream ended within an event")
        attempt.finish()
        self._estimates.observe_stream(flight, head.latency_s, now() - first_at)
        self._log.record_response(flight, attempt.link.record, head.status)
        await reply.finish()

    async def _read_stream_chunk(
        self, flight: RequestContext, attempt: Attempt
    ) -> bytes:
        """Return the next bytes of a stream, and learn how long they took."""
        began = now()
        try:
            return await attempt.read_chunk()
        finally:
            self._estimates.observe_event_gap(flight, now() - began)
