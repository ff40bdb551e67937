"""Handling of backend servers' responses: forward, discard or retry elsewhere."""

from __future__ import annotations

import msgspec

from baobabthread.core.limits.limits import Outcome
from baobabthread.instance.attempts import Attempt, ResponseHead, RetryRequested
from baobabthread.instance.clock import now
from baobabthread.instance.context import RequestContext
from baobabthread.instance.estimates import Estimates
from baobabthread.instance.events import (
    CompleteEvents,
    EventSplitter,
    EventTooLargeError,
)
from baobabthread.instance.heldbytes import HeldBytes
from baobabthread.instance.requestlog import RequestLog
from baobabthread.instance.selection import Selection, WaitEstimate
from baobabthread.instance.servers.connections import (
    ConnectionLostError,
    EndlessResponseError,
    IncompleteResponseError,
    MemoryShortageError,
)
from baobabthread.instance.services import ServiceState
from baobabthread.instance.wire import WireFormat
from baobabthread.routing.mechanisms import DisabledMechanisms
from baobabthread.routing.models import ModelChoice, PendingResponse
from baobabthread.routing.streamlengths import StreamLengths

LENGTH_MARGIN = 1.5
"""Multiple of the expected duration of a larger model's response that must be left
until the deadline: callers' estimates of the length are often far off, and a response
that is cut at the deadline is of no use."""
MAX_RESPONSE_BYTES = 8_000_000
"""Size limit of a response that is buffered until it is complete."""

PROMISING_STATUSES = (408, 421, 429, 503)
"""Statuses by which callers take a request for not run, now or later."""


class ResponseForwarder:
    """Forward responses to callers, whole or event by event."""

    __slots__ = (
        "_disabled",
        "_estimates",
        "_lengths",
        "_log",
        "_models",
        "_selection",
        "_wire",
    )

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
        self._lengths = StreamLengths()
        self._disabled = disabled
        self._selection = selection
        self._log = log

    async def handle(
        self,
        context: RequestContext,
        state: ServiceState,
        attempt: Attempt,
        head: ResponseHead,
    ) -> None:
        """Forward a response.

        Raises `RetryRequested` if another attempt is to follow, and
        `IncompleteResponseError` if the response is truncated or invalid.
        """
        if not context.reply.has_begun:
            # A server that did not run a request says so in another field.
            if head.status in PROMISING_STATUSES and not context.route.may_retry:
                raise IncompleteResponseError(
                    f"status {head.status} of a request that may have run"
                )
            if head.is_failure:
                await self._handle_failure(context, state, attempt, head)
                return
            if head.is_success:
                context.confidence = head.metadata.confidence
                await self._escalate_if_unsure(context, state, attempt, head)
        elif not head.is_success:
            raise IncompleteResponseError(
                f"status {head.status} instead of the rest of the stream"
            )
        if context.route.is_stream and head.is_success:
            await self._stream(context, attempt, head)
            return
        body = await attempt.read_body(MAX_RESPONSE_BYTES)
        attempt.observation.record_answer(failed=False, refused=head.is_refusal)
        if head.is_success:
            self._estimates.observe_response(context, now() - attempt.sent_at)
        await self._forward(context, attempt, head, body)

    async def _handle_failure(
        self,
        context: RequestContext,
        state: ServiceState,
        attempt: Attempt,
        head: ResponseHead,
    ) -> None:
        """Retry a failed request elsewhere, or forward the failure unchanged."""
        body = await attempt.read_body(MAX_RESPONSE_BYTES)
        context.timeline.append(f"{attempt.link.record.id}:status {head.status}")
        may_retry = context.route.may_retry and context.has_attempts_left
        # If no other server is left, this server's own error is more useful to the
        # caller than one of this instance.
        has_alternative = may_retry and self._selection.has_alternative(
            context, attempt.link
        )
        if has_alternative and context.charge_retry(state.budget):
            context.excluded.add(attempt.link.name)
            context.request.held.shrink(len(body))
            raise RetryRequested(Outcome.FAILED)
        await self._forward(context, attempt, head, body)

    async def _forward(
        self, context: RequestContext, attempt: Attempt, head: ResponseHead, body: bytes
    ) -> None:
        headers = self._wire.filter_response_headers(
            head.status, head.response.raw_headers
        )
        self._log.record_response(context, attempt.link.record, head.status)
        await context.reply.respond(head.status, headers, body)

    async def _escalate_if_unsure(
        self,
        context: RequestContext,
        state: ServiceState,
        attempt: Attempt,
        head: ResponseHead,
    ) -> None:
        """Discard a response of low confidence and request a larger model."""
        if context.model is None:
            return
        pending = PendingResponse(
            count=len(context.route.models),
            index=context.model,
            confidence=head.metadata.confidence,
        )
        if self._models.escalate(pending) is None or not context.has_attempts_left:
            return
        pending = await self._estimate_escalation(context, head, pending)
        larger = self._models.escalate(pending)
        reason = self._find_obstacle(context, state, larger)
        if larger is None or reason is not None:
            described = (
                f"kept {head.metadata.confidence:.2f} {reason} {pending.describe()}"
            )
            context.timeline.append(f"{attempt.link.record.id}:{described}")
            return
        doubt = f"unsure {head.metadata.confidence:.2f}"
        context.timeline.append(f"{attempt.link.record.id}:{doubt}")
        context.model = larger
        raise RetryRequested(Outcome.CANCELLED)

    def _find_obstacle(
        self, context: RequestContext, state: ServiceState, larger: int | None
    ) -> str | None:
        """Return why no larger model is used, or None and charge the retry budget."""
        if larger is None:
            return "price"
        expected_s = self._estimates.total_s(context, context.route.models[larger])
        if now() + LENGTH_MARGIN * expected_s > context.deadline:
            return "deadline"
        return None if context.charge_retry(state.budget) else "budget"

    async def _estimate_escalation(
        self, context: RequestContext, head: ResponseHead, pending: PendingResponse
    ) -> PendingResponse:
        """Add the remaining fraction of the latency objective and each model's cost.

        If no owner of an engine replies, the wait is expected to be as long as that of
        this attempt, without the time to read its prompt.
        """
        largest = context.route.models[-1]
        estimate = await self._selection.estimate_wait(context, largest)
        if estimate is None:
            waited_s = max(0.0, head.latency_s - self._estimates.reading_s(context))
            reading_s = self._estimates.reading_s(context, largest)
            estimate = WaitEstimate(wait_s=waited_s, reading_s=reading_s)
        elapsed_s = now() - context.started_at
        objective_s = max(context.route.objective_s, 1e-3)
        first_s = estimate.wait_s + estimate.reading_s
        return msgspec.structs.replace(
            pending,
            spare=1.0 - (elapsed_s + first_s) / objective_s,
            costs=self._estimates.estimate_costs(
                context, estimate.wait_s, estimate.reading_s, self._disabled
            ),
        )

    async def _stream(
        self, context: RequestContext, attempt: Attempt, head: ResponseHead
    ) -> None:
        """Forward a stream event by event."""
        reply = context.reply
        if not reply.has_begun:
            headers = self._wire.filter_response_headers(
                head.status, head.response.raw_headers
            )
            context.head_s = now() - context.started_at
            await reply.begin(head.status, headers)
        splitter = EventSplitter(last_forwarded_id=context.last_event)
        first_at = now()
        observation = attempt.observation
        has_begun = False
        while chunk := await self._read_stream_chunk(context, attempt):
            if not has_begun:
                has_begun = True
                observation.begin_stream()
            events = _split(splitter, chunk, context.request.held)
            if events.data:
                await reply.write(events.data)
            if events.last_id is not None:
                context.last_event = events.last_id
        if not splitter.is_drained:
            raise _find_break(attempt)
        tokens = context.request.envelope.output_tokens
        route, last_event = context.route.name, context.last_event
        is_last = self._lengths.is_last(route, tokens, last_event)
        await attempt.confirm_end(is_last_event=is_last)
        attempt.finish()
        self._lengths.observe(route, tokens, last_event)
        observation.end_stream()
        self._estimates.observe_stream(context, head.latency_s, now() - first_at)
        self._log.record_response(context, attempt.link.record, head.status)
        await reply.finish()

    async def _read_stream_chunk(
        self, context: RequestContext, attempt: Attempt
    ) -> bytes:
        """Return the next bytes of a stream, and record how long they took."""
        started_at = now()
        attempt.observation.begin_wait()
        try:
            chunk = await attempt.read_chunk()
        finally:
            self._estimates.observe_event_gap(context, now() - started_at)
        if chunk:
            attempt.observation.record_event()
        return chunk


def _split(splitter: EventSplitter, chunk: bytes, held: HeldBytes) -> CompleteEvents:
    """Return the events that are complete now, and count the rest as held."""
    before = splitter.buffered_bytes
    try:
        events = splitter.feed(chunk)
    except EventTooLargeError as error:
        raise EndlessResponseError(str(error)) from error
    if not held.try_grow(splitter.buffered_bytes - before):
        raise MemoryShortageError("no memory left for an event")
    return events


def _find_break(attempt: Attempt) -> IncompleteResponseError:
    """Return the error for a stream that ended within an event."""
    if attempt.ends_with_connection:
        return ConnectionLostError("connection ended within an event")
    return IncompleteResponseError("stream ended within an event")
