"""The way of one request: admission, queue, attempts until one final answer."""

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
from baobabthread.instance.backends import BackendLink, Backends
from baobabthread.instance.clock import now
from baobabthread.instance.connections import (
    ConnectionLostError,
    IncompleteResponseError,
    NotSentError,
)
from baobabthread.instance.context import CallerRequest, Reply, RequestContext
from baobabthread.instance.crashes import ActiveRequest, CrashDetector, Departure
from baobabthread.instance.errorresponses import ErrorResponses
from baobabthread.instance.estimates import Estimates
from baobabthread.instance.placement import Placement
from baobabthread.instance.quarantine import QuarantineCoordinator
from baobabthread.instance.requestlog import RequestLog
from baobabthread.instance.responses import ResponseForwarder
from baobabthread.instance.scheduler import MIN_TIME_LEFT_S, RequestScheduler
from baobabthread.instance.selection import Selection
from baobabthread.instance.services import Services, ServiceState
from baobabthread.instance.sessions import SessionCoordinator
from baobabthread.instance.wire import WireFormat
from baobabthread.routing.canary import SentAttempt
from baobabthread.routing.mechanisms import NONE_DISABLED, DisabledMechanisms, Mechanism
from baobabthread.routing.models import MODEL_CHOICES
from baobabthread.routing.replica import StateReplica

MAX_LOST_CONNECTIONS = 3
"""Connections that may end under one request, where its route allows more tries: three
servers that crashed are enough to tell that it is the cause."""
FINAL_RESPONSE_TIMEOUT_S = 0.2
"""Time in which the last answers of an instance that ends are sent."""
MAX_BACKENDS_TRIED = 6
"""Backend servers that a request is offered to, those that refuse it included."""


class Forwarder:
    """Take requests and see that each gets one final answer."""

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
        self.selection = Selection(
            replica=replica,
            backends=backends,
            estimates=self._estimates,
            placement=placement,
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
        self.turns = RequestScheduler(
            services=services,
            estimates=self._estimates,
            error_responses=self._error_responses,
            log=log,
            rng=rng,
        )
        self._idle: asyncio.Event | None = None
        self._is_shutting_down = False
        """Whether what is in flight is cut as the process ends."""
        self._running: set[asyncio.Task[object]] = set()
        """Tasks of the requests in flight."""

    async def handle(self, request: CallerRequest, reply: Reply) -> None:
        """Answer one request."""
        task = asyncio.current_task()
        assert task is not None
        self._running.add(task)
        try:
            await self.admission.wait_ready()
            found = self.admission.admit(request, reply)
            if isinstance(found, Rejection):
                self._log.record_rejection(request, found.kind, found.status)
                await reply.reject(found.status, found.kind, found.retry_after_s)
                return
            if not await self._reject_quarantined(found):
                await self._serve(found)
        finally:
            self._running.discard(task)
            if not self._running and self._idle is not None:
                self._idle.set()

    @property
    def in_flight(self) -> int:
        """Give how many requests are in hand."""
        return len(self._running)

    async def wait_idle(self, timeout_s: float) -> None:
        """Wait until nothing is in flight, at most so long."""
        if not self.in_flight:
            return
        self._idle = asyncio.Event()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()

    async def shut_down(self) -> None:
        """End what is still in flight, each with an answer that says what is true."""
        self._is_shutting_down = True
        for task in list(self._running):
            task.cancel()
        await self.wait_idle(FINAL_RESPONSE_TIMEOUT_S)

    async def _serve(self, flight: RequestContext) -> None:
        try:
            await self._queue_and_run(flight)
        except asyncio.CancelledError:
            if not self._is_shutting_down:
                self._log.record_caller_disconnect(flight)
                raise
            task = asyncio.current_task()
            assert task is not None
            task.uncancel()
            await self._error_responses.abort_on_stop(flight)
        except ConnectionError:
            self._log.record_caller_disconnect(flight)
            raise
        except Exception as error:
            self._log.record_internal_error(flight, error)
            raise

    async def _queue_and_run(self, flight: RequestContext) -> None:
        state = self._services.get(flight.service)
        ticket = await self.turns.wait(flight, state)
        if ticket is None:
            return
        try:
            await self._run_attempts(flight, state)
        finally:
            flight.release_exposure()
            self.turns.finish(ticket, flight, state)

    async def _reject_quarantined(self, flight: RequestContext) -> bool:
        """End a request under which backend servers crash; tell whether it was one.

        Asked when it comes, before each attempt and after one that failed: it may be
        held while it waits or runs, and each attempt more costs a server.
        """
        if not self._quarantine.has_entries:
            return False
        held = self._quarantine.find(flight.fingerprint)
        if held is None:
            return False
        await self._error_responses.reject_quarantined(flight, held)
        return True

    async def _run_attempts(self, flight: RequestContext, state: ServiceState) -> None:
        if not flight.is_sessionless and state.plan.needs_owner_decision(
            flight.session, now()
        ):
            flight.session_on_new_version = await self._sessions.decide(
                state.plan, flight.session
            )
        while True:
            if flight.deadline - now() < MIN_TIME_LEFT_S:
                await self._error_responses.time_out(flight)
                return
            if await self._reject_quarantined(flight):
                return
            link = await self.selection.select(flight, state.plan)
            self._log.record_version_choice(flight, state.plan)
            if link is None:
                await self._error_responses.give_up(
                    flight, self.selection.explain_unavailable(flight)
                )
                return
            try:
                await self._attempt(flight, state, link)
                return
            except RetryRequested:
                continue

    async def _attempt(
        self, flight: RequestContext, state: ServiceState, link: BackendLink
    ) -> None:
        """Try one backend server; raise `Again` when another one is to be tried."""
        attempt = Attempt(
            context=flight,
            link=link,
            usual_first_s=self._estimates.first_s(flight),
            event_timeout_s=self._estimates.event_timeout_s(flight),
            may_give_up=lambda: self._may_give_up(flight, state, link),
        )
        flight.work_ms = self._estimates.work_ms(flight)
        occupancy = self._backends.occupy(
            link, work_ms=flight.work_ms, first_s=self._estimates.reading_s(flight)
        )
        prompt = self.selection.place(flight, link)
        reading_end = ReadingEnd.DROPPED
        flight.attempts += 1
        on_old = not flight.on_new_version
        if on_old:
            state.plan.record_old_started(flight.session, now())
        self._report_session_use(flight, state)
        presence = ActiveRequest(context=flight, abort=attempt.abort)
        self._crashes.enter(presence, link)
        departure = Departure.CANCELLED
        outcome = Outcome.CANCELLED
        trial = state.plan.analysis
        ticket = self._start_observation(flight, state)
        try:
            head = await attempt.open(self._wire)
            trial.finish_attempt(ticket, failed=head.is_failure, now=now())
            presence.record_begin()
            occupancy.begin(head.latency_s)
            if prompt is not None:
                prompt.end(ReadingEnd.BEGUN)
            await self._responses.handle(flight, state, attempt, head)
            outcome = Outcome.FAILED if head.is_failure else Outcome.OK
            departure = Departure.ANSWERED
        except RetryRequested as again:
            outcome = again.outcome
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
                trial.finish_attempt(ticket, failed=None, now=now())
            if _is_unavailable(error):
                reading_end = ReadingEnd.SILENT
            flight.timeline.append(f"{link.record.id}:{str(error) or 'timeout'}")
            attempt.abort()
            # Told of at once: what follows may wait for a slow caller.
            self._crashes.leave(presence, link, departure)
            await self._retry_or_fail(flight, state, link, error)
        finally:
            attempt.abort()
            trial.cancel_attempt(ticket)
            self._crashes.leave(presence, link, departure)
            occupancy.end(outcome, now() - attempt.sent_at)
            if prompt is not None:
                prompt.end(reading_end)
            if on_old:
                state.plan.record_old_ended(flight.session, now())
            self._report_session_use(flight, state)

    def _start_observation(self, flight: RequestContext, state: ServiceState) -> int:
        """Note an attempt whose answer speaks for a version or against it.

        Without a trial it tells what answers of the version in force usually take.
        """
        return state.plan.analysis.start_attempt(
            SentAttempt(
                is_canary=bool(flight.on_new_version) and state.plan.is_running,
                call=flight.route.name,
                kind=f"{flight.route.name}/{flight.model_name}",
                at=now(),
                expected_s=self._estimates.unloaded_first_s(flight),
            )
        )

    def _report_session_use(self, flight: RequestContext, state: ServiceState) -> None:
        """Tell who decides on its session which version a request is on."""
        if flight.is_sessionless:
            return
        if flight.on_new_version:
            self._sessions.report_new(state.plan, flight.session)
        else:
            self._sessions.report_old(state.plan, flight.session)

    async def _retry_or_fail(
        self,
        flight: RequestContext,
        state: ServiceState,
        link: BackendLink,
        error: Exception,
    ) -> None:
        """Try again where that is safe and within the budget, otherwise fail."""
        flight.excluded.add(link.name)
        if isinstance(error, TimeoutError):
            await self._error_responses.time_out(flight)
            return
        if await self._reject_quarantined(flight):
            return
        flight.lost_connections += isinstance(error, ConnectionLostError)
        surely_not_run = isinstance(error, NotSentError | RejectedError)
        may_repeat = flight.route.may_retry and flight.has_attempts_left
        if not surely_not_run and not may_repeat:
            await self._error_responses.give_up(flight, "backend_failed")
            return
        if flight.attempts >= MAX_BACKENDS_TRIED:
            await self._error_responses.give_up(flight, "backends_refused")
            return
        if flight.lost_connections >= MAX_LOST_CONNECTIONS:
            await self._error_responses.give_up(flight, "connections_lost")
            return
        # What never left for a backend server is no repeat.
        is_paid = isinstance(error, NotSentError | SilenceTimeoutError)
        if not is_paid and not state.spend_retry():
            await self._error_responses.give_up(flight, "retry_budget")
            return
        raise RetryRequested(classify_outcome(error))

    def _may_give_up(
        self, flight: RequestContext, state: ServiceState, link: BackendLink
    ) -> bool:
        """Take a repeat for an attempt that is silent; without one it is waited for.

        Giving up without another try would turn a slow answer into none, and under load
        every answer is slow.
        """
        if not flight.route.may_retry or not flight.has_attempts_left:
            return False
        if Mechanism.ATTEMPT_TIMEOUT in self._disabled:
            return False
        if flight.attempts >= MAX_BACKENDS_TRIED:
            return False
        return self.selection.has_alternative(flight, link) and state.spend_retry()


def _find_departure(error: Exception) -> Departure:
    """Return how a request left a backend server that did not answer it."""
    if isinstance(error, NotSentError | RejectedError):
        return Departure.NEVER_SENT
    is_lost = isinstance(error, ConnectionLostError)
    return Departure.LOST if is_lost else Departure.CANCELLED


def _is_unavailable(error: Exception) -> bool:
    """Tell whether an attempt's end says that its backend server isn't there."""
    if isinstance(error, RejectedError):
        return error.is_other_server
    return isinstance(error, SilenceTimeoutError)
