"""Request processing: admission, queueing and attempts until the final response."""

from __future__ import annotations

import asyncio
import contextlib
import random

from baobabthread.core.backends.loads import ReadingEnd
from baobabthread.core.limits.limits import Outcome
from baobabthread.instance.admission import Admission, Rejection
from baobabthread.instance.attempts import (
    Attempt,
    RejectedError,
    RetryRequested,
    SilenceTimeoutError,
    classify_outcome,
)
from baobabthread.instance.clock import now
from baobabthread.instance.context import CallerRequest, Reply, RequestContext
from baobabthread.instance.crashes import ActiveRequest, CrashDetector, Departure
from baobabthread.instance.errorresponses import (
    LEAVING_KIND,
    RETRY_ELSEWHERE,
    ErrorResponses,
)
from baobabthread.instance.estimates import Estimates
from baobabthread.instance.observations import (
    AttemptObservation,
    BreakChecks,
    BrokenResponse,
)
from baobabthread.instance.quarantine import QuarantineCoordinator
from baobabthread.instance.requestlog import RequestLog
from baobabthread.instance.responses import ResponseForwarder
from baobabthread.instance.scheduler import MIN_TIME_LEFT_S, RequestScheduler
from baobabthread.instance.selection import Selection
from baobabthread.instance.servers.assignments import Assignments
from baobabthread.instance.servers.backends import BackendLink, Backends
from baobabthread.instance.servers.connections import (
    ConnectionLostError,
    IncompleteResponseError,
    MemoryShortageError,
    NotSentError,
)
from baobabthread.instance.servers.dispatch import DispatchCoordinator
from baobabthread.instance.servers.limits import LimitCoordinator
from baobabthread.instance.servers.placement import Placement
from baobabthread.instance.servers.places import PlaceCoordinator
from baobabthread.instance.services import Services, ServiceState
from baobabthread.instance.sessions import SessionCoordinator
from baobabthread.instance.sessionuse import SessionUse
from baobabthread.instance.wire import WireFormat
from baobabthread.routing.canary import SentAttempt
from baobabthread.routing.mechanisms import NONE_DISABLED, DisabledMechanisms, Mechanism
from baobabthread.routing.models import MODEL_CHOICES
from baobabthread.routing.replica import StateReplica
from baobabthread.routing.servers.occupancy import Ending

MAX_LOST_CONNECTIONS = 3
"""Connections that may be lost during one request, even if its route allows more
attempts: three crashed servers are enough to identify it as the cause."""
FINAL_RESPONSE_TIMEOUT_S = 0.2
"""Time to send the final responses when an instance terminates."""
MAX_BACKENDS_TRIED = 6
"""Backend servers that a request is sent to at most, including any that reject it."""


class Forwarder:
    """Process requests so that each gets exactly one final response."""

    def __init__(
        self,
        *,
        replica: StateReplica,
        backends: Backends,
        services: Services,
        wire: WireFormat,
        rng: random.Random,
        log: RequestLog,
        sessions: SessionCoordinator,
        placement: Placement,
        limits: LimitCoordinator,
        places: PlaceCoordinator,
        dispatch: DispatchCoordinator,
        failure_domain: str,
        crashes: CrashDetector,
        quarantine: QuarantineCoordinator,
        disabled: DisabledMechanisms = NONE_DISABLED,
    ) -> None:
        self._backends = backends
        self._services = services
        self._wire = wire
        self._log = log
        self._sessions = sessions
        self._crashes = crashes
        self._quarantine = quarantine
        self._disabled = disabled
        models = MODEL_CHOICES.get(
            "largest" if Mechanism.STAGED_MODELS in disabled else "staged"
        )
        self._estimates = Estimates()
        self._assignments = Assignments(
            backends=backends,
            dispatch=dispatch,
            estimates=self._estimates,
            failure_domain=failure_domain,
            disabled=disabled,
            rng=rng,
        )
        self.selection = Selection(
            replica=replica,
            backends=backends,
            estimates=self._estimates,
            placement=placement,
            limits=limits,
            places=places,
            assignments=self._assignments,
            disabled=disabled,
        )
        self._error_responses = ErrorResponses(log=log, rng=rng)
        self._responses = ResponseForwarder(
            wire=wire,
            estimates=self._estimates,
            models=models,
            selection=self.selection,
            disabled=disabled,
            log=log,
        )
        self.admission = Admission(
            replica=replica,
            services=services,
            estimates=self._estimates,
            models=models,
            rng=rng,
        )
        self.scheduler = RequestScheduler(
            services=services,
            estimates=self._estimates,
            error_responses=self._error_responses,
            log=log,
            rng=rng,
        )
        self._breaks = BreakChecks()
        self._idle: asyncio.Event | None = None
        self._is_shutting_down = False
        """Whether requests in flight are being aborted."""
        self._running: set[asyncio.Task[object]] = set()
        """Tasks of requests in flight."""

    async def handle(self, request: CallerRequest, reply: Reply) -> None:
        """Process one request and reply to its caller."""
        task = asyncio.current_task()
        assert task is not None
        self._running.add(task)
        try:
            await self.admission.wait_ready()
            admitted = self.admission.admit(request, reply)
            if isinstance(admitted, Rejection):
                self._log.record_rejection(request, admitted.kind, admitted.status)
                await reply.reject(
                    admitted.status, admitted.kind, admitted.retry_after_s
                )
                return
            try:
                if not await self._reject_quarantined(admitted):
                    await self._serve(admitted)
            finally:
                self._end_trial(admitted)
        finally:
            self._running.discard(task)
            if not self._running and self._idle is not None:
                self._idle.set()

    @property
    def in_flight(self) -> int:
        """Number of requests in flight."""
        return len(self._running)

    async def wait_idle(self, timeout_s: float) -> None:
        """Wait until no request is in flight, or until the timeout in seconds."""
        if not self.in_flight:
            return
        self._idle = asyncio.Event()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()

    async def shut_down(self) -> None:
        """Abort requests in flight; each response states whether it may have run."""
        self._is_shutting_down = True
        for task in list(self._running):
            task.cancel()
        await self.wait_idle(FINAL_RESPONSE_TIMEOUT_S)
        self._breaks.close()

    async def _serve(self, context: RequestContext) -> None:
        try:
            await self._queue_and_run(context)
        except asyncio.CancelledError:
            if not self._is_shutting_down:
                self._log.record_caller_disconnect(context)
                raise
            task = asyncio.current_task()
            assert task is not None
            task.uncancel()
            await self._error_responses.abort_on_stop(context)
        except ConnectionError:
            self._log.record_caller_disconnect(context)
            raise
        except Exception as error:
            self._log.record_internal_error(context, error)
            raise

    async def _queue_and_run(self, context: RequestContext) -> None:
        state = self._services.get(context.service)
        ticket = await self.scheduler.wait(context, state)
        if ticket is None:
            return
        try:
            await self._run_attempts(context, state)
        finally:
            context.release_exposure()
            context.settle_unsent()
            self.scheduler.finish(ticket, context, state)

    async def _reject_quarantined(self, context: RequestContext) -> bool:
        """Reject a request if it is quarantined; return whether it is.

        This is checked on arrival, before each attempt and after each failure: requests
        may get quarantined while they wait or run, and every attempt costs a server.
        """
        if not self._quarantine.has_entries:
            return False
        features = context.features
        entry = self._quarantine.match(features, on_trial=context.trial)
        if entry is None:
            return False
        is_untried = context.attempts == 0 and context.trial is None
        if is_untried and self._quarantine.begin_trial(entry, features):
            context.trial = entry.fingerprint
            return False
        await self._error_responses.reject_quarantined(context, entry)
        return True

    def _end_trial(self, context: RequestContext) -> None:
        if context.trial is not None:
            self._quarantine.end_trial(context.trial)
            context.trial = None

    async def _run_attempts(self, context: RequestContext, state: ServiceState) -> None:
        context.decided_under = state.plan.analysis
        if not context.is_sessionless and state.plan.needs_owner_decision(
            context.session, now()
        ):
            context.session_on_new_version = await self._sessions.decide(
                state.plan, context.session
            )
        while True:
            if context.deadline - now() < MIN_TIME_LEFT_S:
                await self._error_responses.time_out(context)
                return
            if await self._reject_quarantined(context):
                return
            link = await self.selection.select(context, state.plan)
            self._log.record_version_choice(context, state.plan)
            if link is None:
                await self._reject_unavailable(context)
                return
            if context.has_waited and await self._reject_after_wait(context):
                return
            try:
                await self._attempt(context, state, link)
                return
            except RetryRequested:
                continue

    async def _reject_after_wait(self, context: RequestContext) -> bool:
        """Reject a request that must not be sent any more; return whether it was.

        While it waited for a server, it may have been quarantined, or this instance may
        have begun to stop.
        """
        if await self._reject_quarantined(context):
            return True
        if context.reply.has_begun or self.admission.can_finish(context):
            return False
        await self._error_responses.give_up(context, LEAVING_KIND, RETRY_ELSEWHERE)
        return True

    async def _reject_unavailable(self, context: RequestContext) -> None:
        """Reject a request for which no backend server is available."""
        await self._error_responses.give_up(
            context,
            self.selection.explain_unavailable(context),
            self.selection.find_retry_time(context),
        )

    async def _attempt(
        self, context: RequestContext, state: ServiceState, link: BackendLink
    ) -> None:
        """Run one attempt; raise `RetryRequested` if another one is to follow."""
        observation = self._start_observation(context, state)
        attempt = Attempt(
            context=context,
            link=link,
            observation=observation,
            usual_first_s=self._estimates.first_s(context),
            event_timeout_s=self._estimates.event_timeout_s(context),
            may_give_up=lambda: self._may_give_up(context, state, link),
        )
        context.work_ms = self._estimates.work_ms(context)
        occupancy = self._backends.occupy(
            link, work_ms=context.work_ms, first_s=self._estimates.reading_s(context)
        )
        self._assignments.report_chosen(context, link)
        prompt = self.selection.place(context, link)
        assignment = context.take_assignment()
        reading_end = ReadingEnd.DROPPED
        context.attempts += 1
        use = SessionUse(context=context, plan=state.plan, sessions=self._sessions)
        active_request = ActiveRequest(context=context, abort=attempt.abort)
        self._crashes.enter(active_request, link)
        departure = Departure.CANCELLED
        outcome = Outcome.CANCELLED
        try:
            head = await attempt.open(self._wire)
            if head.is_failure:
                observation.record_answer(failed=True)
            active_request.record_begin()
            occupancy.begin(head.latency_s)
            if prompt is not None:
                prompt.end(ReadingEnd.BEGUN)
            if assignment is not None and context.route.is_stream:
                assignment.begin()
            await self._responses.handle(context, state, attempt, head)
            outcome = Outcome.FAILED if head.is_failure else Outcome.OK
            departure = Departure.ANSWERED if head.is_success else Departure.FAILED
        except RetryRequested as retry:
            # The response of a smaller model is dropped though its server is sound.
            observation.record_answer(failed=False)
            outcome = retry.outcome
            raise
        except (
            NotSentError,
            RejectedError,
            IncompleteResponseError,
            TimeoutError,
        ) as error:
            outcome = classify_outcome(error)
            departure = _find_departure(error)
            if isinstance(error, SilenceTimeoutError | TimeoutError):
                observation.record_answer(failed=None)
            elif attempt.was_broken_off(error):
                in_stream = context.route.is_stream and context.reply.has_begun
                broken = BrokenResponse(
                    observation=observation,
                    link=link,
                    sent_at=attempt.sent_at,
                    in_stream=in_stream,
                )
                self._breaks.start(broken)
            if _is_unavailable(error):
                reading_end = ReadingEnd.SILENT
            context.timeline.append(f"{link.record.id}:{str(error) or 'timeout'}")
            attempt.abort()
            # Reported first, as the following may wait for a slow caller.
            self._crashes.leave(active_request, link, departure)
            await self._retry_or_fail(context, state, link, error)
        finally:
            attempt.abort()
            observation.close()
            self._crashes.leave(active_request, link, departure)
            occupancy.end(outcome, now() - attempt.sent_at)
            if prompt is not None:
                prompt.end(reading_end)
            if assignment is not None:
                assignment.end(_find_ending(outcome, departure, reading_end))
            use.end()

    def _start_observation(
        self, context: RequestContext, state: ServiceState
    ) -> AttemptObservation:
        """Record an attempt for the analysis of a canary version.

        Without a roll-out it contributes to the usual latency of the current version.
        """
        sent = SentAttempt(
            is_canary=bool(context.on_new_version) and state.plan.is_running,
            call=context.route.name,
            kind=f"{context.route.name}/{context.model_name}",
            at=now(),
            expected_s=self._estimates.unloaded_first_s(context),
            session=context.session,
        )
        return AttemptObservation(analysis=state.plan.analysis, sent=sent)

    async def _retry_or_fail(
        self,
        context: RequestContext,
        state: ServiceState,
        link: BackendLink,
        error: Exception,
    ) -> None:
        """Request a retry if that is safe and within the budget, otherwise fail."""
        context.excluded.add(link.name)
        if isinstance(error, TimeoutError):
            await self._error_responses.time_out(context)
            return
        certainly_not_run = isinstance(error, NotSentError | RejectedError)
        if not certainly_not_run:
            self._end_trial(context)
        if await self._reject_quarantined(context):
            return
        context.lost_connections += isinstance(error, ConnectionLostError)
        may_retry = context.route.may_retry and context.has_attempts_left
        if not certainly_not_run and not may_retry:
            await self._error_responses.give_up(context, "backend_failed")
            return
        if isinstance(error, MemoryShortageError):
            await self._error_responses.give_up(context, "no_memory")
            return
        if context.attempts >= MAX_BACKENDS_TRIED:
            await self._error_responses.give_up(context, "backends_refused")
            return
        if context.lost_connections >= MAX_LOST_CONNECTIONS:
            await self._error_responses.give_up(context, "connections_lost")
            return
        # The next server would be the next one to crash.
        is_suspected = self._quarantine.watch.is_suspected(context.parts)
        if context.lost_connections and is_suspected:
            await self._error_responses.give_up(context, "suspected_part")
            return
        if not self.selection.may_wait_for_rest(context):
            await self._reject_unavailable(context)
            return
        # Retries of attempts that were never sent are free, and those of abandoned ones
        # are already charged.
        needs_no_charge = isinstance(error, NotSentError | SilenceTimeoutError)
        if not needs_no_charge and not context.charge_retry(state.budget):
            await self._error_responses.give_up(context, "retry_budget")
            return
        raise RetryRequested(classify_outcome(error))

    def _may_give_up(
        self, context: RequestContext, state: ServiceState, link: BackendLink
    ) -> bool:
        """Return whether a silent attempt may be abandoned; charge the retry budget.

        Abandoning it without a retry would turn a slow response into none, and under
        load every response is slow.
        """
        if not context.route.may_retry or not context.has_attempts_left:
            return False
        if Mechanism.ATTEMPT_TIMEOUT in self._disabled:
            return False
        if context.attempts >= MAX_BACKENDS_TRIED:
            return False
        return self.selection.has_alternative(context, link) and context.charge_retry(
            state.budget
        )


def _find_ending(
    outcome: Outcome, departure: Departure, reading_end: ReadingEnd
) -> Ending:
    """Return what became of a request at its server, for the server's owner."""
    if reading_end is ReadingEnd.SILENT:
        return Ending.SILENT
    if departure is Departure.LOST:
        return Ending.LOST
    return _ENDINGS.get(outcome, Ending.DROPPED)


_ENDINGS = {
    Outcome.OK: Ending.ANSWERED,
    Outcome.FAILED: Ending.FAILED,
    Outcome.BUSY: Ending.REJECTED,
}


def _find_departure(error: Exception) -> Departure:
    """Return how a request left a backend server that did not answer it."""
    if isinstance(error, NotSentError | RejectedError):
        return Departure.NEVER_SENT
    is_lost = isinstance(error, ConnectionLostError)
    return Departure.LOST if is_lost else Departure.CANCELLED


def _is_unavailable(error: Exception) -> bool:
    """Return whether an error shows that the backend server is unavailable."""
    if isinstance(error, RejectedError):
        return error.is_other_server
    return isinstance(error, SilenceTimeoutError)
