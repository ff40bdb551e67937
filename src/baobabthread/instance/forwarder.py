"""The way of one request: admission, queue, attempts, and what its caller gets."""

from __future__ import annotations

import asyncio
import contextlib
import random

import msgspec

from baobabthread.core.fairness import Waiting
from baobabthread.core.limits import Outcome
from baobabthread.core.retries import RetryBudget
from baobabthread.instance.attempts import (
    Attempt,
    Head,
    RefusedError,
    SilentError,
    judge,
)
from baobabthread.instance.backends import BackendLink, Backends, hash_prefix
from baobabthread.instance.clock import now
from baobabthread.instance.connections import BrokenError, NotSentError
from baobabthread.instance.events import EventCutter
from baobabthread.instance.flight import CallerRequest, Flight, Reply
from baobabthread.instance.records import FlightLog
from baobabthread.instance.sessions import SessionDesk
from baobabthread.instance.wire import WireFormat
from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.budget import make_budget
from baobabthread.routing.configuration import UNNAMED_MODEL, Account, Route
from baobabthread.routing.knowledge import Knowledge
from baobabthread.routing.models import MODEL_CHOICES, ModelQuestion
from baobabthread.routing.pace import Pace
from baobabthread.routing.queues import ServiceQueue, classify
from baobabthread.routing.table import RoutingTable
from baobabthread.routing.versions import VersionPlan

MAX_ANSWER_BYTES = 8_000_000
"""Largest answer that is held until it is whole."""
MAX_OFFERS = 6
"""Backend servers that a request is offered to, those that refuse it included."""
LEAST_LEFT_S = 0.02
"""Time left below which no attempt is worth its place at a backend server."""
START_PATIENCE_S = 1.0
"""Time that requests wait for an instance's first knowledge: reading the store takes a
few hundredths of a second, asking a peer instead half a second."""
SOON_S = 0.5
"""Time after which a caller may come back to an instance that is not yet ready."""
LEAVING_RETRY_S = 0.05
"""Time after which a caller may go to another instance: at once."""
LEAVING_FACTOR = 3.0
"""Times the usual length of an answer that must be left: estimates of length are often
far off, and a stream that is cut at the end is worse than one that begins elsewhere."""
LEAVING_MARGIN_S = 0.5
LOW_BALANCE = 2.0
"""Repeats left below which answers must be good at once: none could follow."""
LOW_PART = 0.45
"""The same as a part of the most that can be left: among many instances the budget of
each is small, and asking the largest model every time would overload the engines."""


class ServiceState:
    """Hold what is decided for one service."""

    __slots__ = ("budget", "entries", "plan", "queue")

    def __init__(
        self, *, name: str, bounds: RoutingBounds, entries: int, rng: random.Random
    ) -> None:
        self.queue = ServiceQueue()
        self.plan = VersionPlan(service=name, bounds=bounds)
        self.entries = entries
        self.budget: RetryBudget = make_budget(bounds, entries=entries, rng=rng)


class _Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """Tell how to refuse a request."""

    status: int
    kind: str
    retry_after_s: float | None = None


class _Again(Exception):  # noqa: N818 - a step, not an error
    """Go on with another attempt.

    `outcome` is what the attempt that ended says about its backend server.
    """

    def __init__(self, outcome: Outcome) -> None:
        super().__init__()
        self.outcome = outcome


class Forwarder:
    """Take requests and see that each gets one final answer."""

    def __init__(
        self,
        *,
        knowledge: Knowledge,
        backends: Backends,
        wire: WireFormat,
        bounds: RoutingBounds,
        rng: random.Random,
        log: FlightLog,
        desk: SessionDesk,
        model_choice: str = "staged",
    ) -> None:
        self._knowledge = knowledge
        self._backends = backends
        self._wire = wire
        self._bounds = bounds
        self._rng = rng
        self._log = log
        self._desk = desk
        self._models = MODEL_CHOICES.get(model_choice)
        self._pace = Pace()
        self._services: dict[str, ServiceState] = {}
        self._turns: dict[str, asyncio.Future[None]] = {}
        self._sequence = 0
        self._entries = 1
        self._idle: asyncio.Event | None = None
        self._known = asyncio.Event()
        self._refuses_from = 0.0
        self._ends_at: float | None = None
        self.in_flight = 0

    # -- what changes around it --

    def service(self, name: str) -> ServiceState:
        """Return what is decided for a service."""
        state = self._services.get(name)
        if state is None:
            state = ServiceState(
                name=name, bounds=self._bounds, entries=self._entries, rng=self._rng
            )
            state.queue.set_capacity(self._backends.capacity(name), self._entries)
            self._services[name] = state
        return state

    def services(self) -> dict[str, ServiceState]:
        """Return what is decided for each service that was used."""
        return self._services

    def share(self, entries: int) -> None:
        """Divide capacity and repeats among so many instances."""
        self._entries = max(1, entries)
        for name, state in self._services.items():
            state.queue.set_capacity(self._backends.capacity(name), self._entries)
            if state.entries != self._entries:
                state.entries = self._entries
                state.budget = make_budget(
                    self._bounds, entries=self._entries, rng=self._rng
                )

    def tick(self) -> None:
        """Refuse what can't be served in time any more, and start what can."""
        moment = now()
        for state in self._services.values():
            for waiting in state.queue.expire(moment):
                self._settle(waiting.request_id, refused=True)
            self._pump(state)

    # -- one request --

    async def handle(self, request: CallerRequest, reply: Reply) -> None:
        """Answer one request."""
        self.in_flight += 1
        try:
            if not self._known.is_set():
                await self._wait_known()
            found = self._admit(request, reply)
            if isinstance(found, _Verdict):
                self._log.turned_away(request, found.kind, found.status)
                await reply.refuse(found.status, found.kind, found.retry_after_s)
                return
            await self._serve(found)
        finally:
            self.in_flight -= 1
            if not self.in_flight and self._idle is not None:
                self._idle.set()

    def note_known(self) -> None:
        """Note that the configuration and the backend servers are known."""
        self._known.set()

    async def _wait_known(self) -> None:
        """Wait a little for the first knowledge after a start.

        The first instance that is back after all were lost meets every caller within
        its first tenth of a second; refused then, they have no other one to go to.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_PATIENCE_S):
                await self._known.wait()

    def _admit(self, request: CallerRequest, reply: Reply) -> Flight | _Verdict:
        table = self._knowledge.table
        if table is None:
            return _Verdict(status=503, kind="not_configured", retry_after_s=SOON_S)
        fresh = self._knowledge.is_fresh(now())
        route = table.match(request.host, request.path)
        if route is None:
            # An instance that may be behind can't know that there is no such route.
            if not fresh:
                return _Verdict(status=503, kind="stale", retry_after_s=SOON_S)
            return _Verdict(status=404, kind="unknown_route")
        account = self._authenticate(table, route, request, fresh)
        if isinstance(account, _Verdict):
            return account
        if not route.targets:
            return _Verdict(status=503, kind="no_service", retry_after_s=SOON_S)
        limit = route.timeout_s
        if request.envelope.time_left_s is not None:
            limit = min(limit, request.envelope.time_left_s)
        flight = Flight(
            request=request,
            reply=reply,
            route=route,
            account=account,
            service=self._choose_service(route, request),
            deadline=request.arrived_at + limit,
        )
        self.service(flight.service).budget.count_request(now())
        self._begin_model(flight)
        if not self._can_end_before(flight):
            return _Verdict(status=503, kind="leaving", retry_after_s=LEAVING_RETRY_S)
        return flight

    def _can_end_before(self, flight: Flight) -> bool:
        """Tell whether an answer would be whole before this instance ends."""
        if self._ends_at is None or now() < self._refuses_from:
            return True
        envelope = flight.request.envelope
        models = flight.route.models
        whole_s = self._pace.whole_s(
            flight.service,
            models[-1] if flight.model is not None else None,
            prompt=envelope.prompt_tokens,
            tokens=envelope.expected_tokens,
        )
        return now() + LEAVING_FACTOR * whole_s + LEAVING_MARGIN_S < self._ends_at

    async def wait_idle(self, seconds: float) -> None:
        """Wait until nothing is in flight, at most so long."""
        if not self.in_flight:
            return
        self._idle = asyncio.Event()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._idle.wait()

    def leave(self, *, refuses_from: float, ends_at: float) -> None:
        """Take only what will be answered in time from now on."""
        self._refuses_from = refuses_from
        self._ends_at = ends_at

    def _authenticate(
        self, table: RoutingTable, route: Route, request: CallerRequest, fresh: bool
    ) -> Account | _Verdict | None:
        if route.public or not table.needs_keys:
            return None
        if not fresh:
            # The key may have been taken away: whoever can't read the operators' log
            # must not run anything for it.
            return _Verdict(status=503, kind="stale", retry_after_s=SOON_S)
        account = table.authenticate(request.envelope.key)
        return account or _Verdict(status=401, kind="unknown_key")

    def _choose_service(self, route: Route, request: CallerRequest) -> str:
        if len(route.targets) == 1:
            return route.targets[0].service
        weights = [max(0.0, target.weight) for target in route.targets]
        if not sum(weights):
            return route.targets[0].service
        return self._rng.choices(route.targets, weights)[0].service

    def _begin_model(self, flight: Flight) -> None:
        models = flight.route.models
        if not models or flight.request.envelope.model != UNNAMED_MODEL:
            return
        budget = self.service(flight.service).budget
        if budget.balance < min(LOW_BALANCE, LOW_PART * budget.most):
            flight.model = len(models) - 1
        else:
            flight.model = self._models.begin(len(models))

    async def _serve(self, flight: Flight) -> None:
        state = self.service(flight.service)
        self._sequence += 1
        ticket = str(self._sequence)
        if not await self._wait_turn(flight, state, ticket):
            return
        error: BaseException | None = None
        try:
            await self._run(flight, state)
        except BaseException as caught:
            error = caught
            raise
        finally:
            state.queue.finished(ticket, flight.work, now())
            self._pump(state)
            if isinstance(error, asyncio.CancelledError):
                self._log.caller_gone(flight)
            elif error is not None:
                self._log.crashed(flight, error)

    async def _wait_turn(
        self, flight: Flight, state: ServiceState, ticket: str
    ) -> bool:
        """Queue the request; return whether its turn came."""
        moment = now()
        flight.work = self._estimate_work(flight)
        waiting = Waiting(
            request_id=ticket,
            account=flight.account.name if flight.account is not None else "",
            weight=1.0,
            priority=classify(flight.rank),
            tokens=flight.work,
            deadline=flight.deadline,
            arrived=moment,
            service_s=max(LEAST_LEFT_S, self._expect_first(flight)),
        )
        admission = state.queue.offer(waiting, moment, self._rng.random())
        if not admission.admitted:
            await self._refuse(flight, 503, "overloaded", admission.retry_after_s)
            return False
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._turns[ticket] = turn
        self._pump(state)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.cancelled() or not turn.done():
                self._turns.pop(ticket, None)
                state.queue.remove(ticket)
            else:
                state.queue.finished(ticket, 0, now())
            self._log.caller_gone(flight)
            raise
        except TimeoutError:
            await self._refuse(flight, 503, "waited_too_long", SOON_S)
            return False
        return True

    def _expect_first(self, flight: Flight) -> float:
        """Return about the seconds until the first part of an answer."""
        prompt = flight.request.envelope.prompt_tokens
        return self._pace.first_s(flight.service, flight.model_name, prompt)

    def _estimate_reading(self, flight: Flight) -> float:
        """Return the seconds that an engine reads the prompt; 0 at a plain service."""
        if not flight.route.is_stream:
            return 0.0
        envelope = flight.request.envelope
        fresh = envelope.prompt_tokens - envelope.shared_tokens
        return self._pace.unhindered_s(flight.service, flight.model_name, max(0, fresh))

    def _estimate_work(self, flight: Flight) -> int:
        """Return about how many milliseconds a backend server works on it."""
        envelope = flight.request.envelope
        whole_s = self._pace.whole_s(
            flight.service,
            flight.model_name,
            prompt=envelope.prompt_tokens,
            tokens=envelope.expected_tokens,
        )
        return max(1, int(whole_s * 1000))

    def _pump(self, state: ServiceState) -> None:
        while (waiting := state.queue.pop(now())) is not None:
            self._settle(waiting.request_id, refused=False)

    def _settle(self, ticket: str, *, refused: bool) -> None:
        turn = self._turns.pop(ticket, None)
        if turn is None or turn.done():
            return
        if refused:
            turn.set_exception(TimeoutError())
        else:
            turn.set_result(None)

    # -- attempts --

    async def _run(self, flight: Flight, state: ServiceState) -> None:
        if state.plan.is_contested(flight.session, now()):
            flight.may_move = await self._desk.decide(state.plan, flight.session)
        while True:
            if flight.deadline - now() < LEAST_LEFT_S:
                await self._time_out(flight)
                return
            link = self._pick(flight, state, flight.excluded)
            if link is None:
                await self._give_up(flight, "no_backend")
                return
            try:
                await self._attempt(flight, state, link)
                return
            except _Again:
                continue

    def _pick(
        self, flight: Flight, state: ServiceState, excluded: set[str]
    ) -> BackendLink | None:
        version = self._choose_version(flight, state.plan)
        key = flight.prompt_key
        may_probe = flight.route.may_repeat and flight.attempts == 0
        return self._backends.pick(
            flight.service,
            version=version,
            prefix_key=hash_prefix(key) if key is not None else None,
            exclude=excluded,
            may_probe=may_probe,
            shared_s=self._pace.shared_s(
                flight.service, flight.model_name, flight.request.envelope.shared_tokens
            ),
        )

    def _choose_version(self, flight: Flight, plan: VersionPlan) -> str | None:
        """Return the version that must run the request, or None for any."""
        order = plan.order
        if order is None:
            return None
        versions = self._backends.versions(flight.service)
        old = {v: count for v, count in versions.items() if v != order.target}
        wanted = plan.choose(flight.session, now()) and flight.may_move
        if flight.on_new is None or flight.runs == 0 or not wanted:
            flight.on_new = wanted
        if flight.on_new and order.target in versions:
            return order.target
        if old:
            flight.on_new = False
            return max(old, key=lambda v: (old[v], v))
        return None

    async def _attempt(
        self, flight: Flight, state: ServiceState, link: BackendLink
    ) -> None:
        """Try one backend server; raise `_Again` when another one is to be tried."""
        attempt = Attempt(
            flight=flight,
            link=link,
            usual_first_s=self._expect_first(flight),
            may_give_up=lambda: self._may_give_up(flight, state, link),
        )
        old = state.plan.order is not None and not flight.on_new
        flight.work = self._estimate_work(flight)
        occupancy = self._backends.occupy(
            link, work=flight.work, first_s=self._estimate_reading(flight)
        )
        flight.attempts += 1
        if old:
            state.plan.started_old(flight.session, now())
        outcome = Outcome.CANCELLED
        try:
            head = await attempt.open(self._wire)
            occupancy.begin(head.latency_s)
            await self._take_answer(flight, state, attempt, head)
            outcome = Outcome.FAILED if head.is_failure else Outcome.OK
        except _Again as again:
            outcome = again.outcome
            raise
        except (NotSentError, RefusedError, BrokenError, TimeoutError) as error:
            outcome = judge(error)
            flight.trail.append(f"{link.record.id}:{str(error) or 'timeout'}")
            attempt.abort()
            await self._recover(flight, state, link, error)
        finally:
            attempt.abort()
            occupancy.end(outcome, now() - attempt.sent_at)
            if old:
                state.plan.ended_old(flight.session, now())
                self._desk.note_end(state.plan, flight.session)

    async def _recover(
        self,
        flight: Flight,
        state: ServiceState,
        link: BackendLink,
        error: Exception,
    ) -> None:
        """Try again where that is safe and within the budget, otherwise fail."""
        flight.excluded.add(link.record.id)
        surely_not_run = isinstance(error, NotSentError | RefusedError)
        if isinstance(error, TimeoutError):
            await self._time_out(flight)
            return
        may_repeat = flight.route.may_repeat and self._may_run_again(flight)
        if not surely_not_run and not may_repeat:
            await self._give_up(flight, "backend_failed")
            return
        if flight.attempts >= MAX_OFFERS:
            await self._give_up(flight, "backends_refused")
            return
        # What never left for a backend server is no repeat.
        is_paid = isinstance(error, NotSentError | SilentError)
        if not is_paid and not self._spend(state):
            await self._give_up(flight, "retry_budget")
            return
        raise _Again(judge(error))

    def _may_give_up(
        self, flight: Flight, state: ServiceState, link: BackendLink
    ) -> bool:
        """Take a repeat for an attempt that is silent; without one it is waited for.

        Giving up without another try would turn a slow answer into none, and under load
        every answer is slow.
        """
        if not flight.route.may_repeat or not self._may_run_again(flight):
            return False
        if flight.attempts >= MAX_OFFERS:
            return False
        others = flight.excluded | {link.record.id}
        return self._pick(flight, state, others) is not None and self._spend(state)

    def _may_run_again(self, flight: Flight) -> bool:
        return flight.runs < flight.route.max_attempts

    def _spend(self, state: ServiceState) -> bool:
        return state.budget.try_spend(now())

    # -- answers --

    async def _take_answer(
        self, flight: Flight, state: ServiceState, attempt: Attempt, head: Head
    ) -> None:
        self._observe(flight, state, head)
        if head.is_failure and not flight.reply.has_begun:
            await self._take_failure(flight, state, attempt, head)
            return
        if not head.is_success and flight.reply.has_begun:
            raise BrokenError(f"status {head.status} instead of the rest of a stream")
        if head.is_success and not flight.reply.has_begun:
            self._judge_model(flight, state, attempt, head)
        if flight.route.is_stream and head.is_success:
            await self._relay(flight, attempt, head)
            return
        body = await attempt.read_whole(MAX_ANSWER_BYTES)
        if head.is_success:
            self._pace.observe(
                flight.service,
                flight.model_name,
                prompt=0,
                shared=0,
                first_s=now() - attempt.sent_at,
                rest_s=0.0,
                tokens=1,
            )
        await self._pass_on(flight, attempt, head, body)

    async def _take_failure(
        self, flight: Flight, state: ServiceState, attempt: Attempt, head: Head
    ) -> None:
        """Try an answer that says failure elsewhere, or pass it on as it is."""
        body = await attempt.read_whole(MAX_ANSWER_BYTES)
        flight.trail.append(f"{attempt.link.record.id}:status {head.status}")
        again = flight.route.may_repeat and self._may_run_again(flight)
        if again and self._spend(state):
            flight.excluded.add(attempt.link.record.id)
            raise _Again(Outcome.FAILED)
        await self._pass_on(flight, attempt, head, body)

    async def _pass_on(
        self, flight: Flight, attempt: Attempt, head: Head, body: bytes
    ) -> None:
        headers = self._wire.pass_headers(head.response.raw_headers)
        self._log.answered(flight, attempt.link.record, head.status)
        await flight.reply.answer(head.status, headers, body)

    def _observe(self, flight: Flight, state: ServiceState, head: Head) -> None:
        plan = state.plan
        if not plan.is_running or flight.on_new is None:
            return
        plan.trial.observe(
            on_trial=flight.on_new,
            call=flight.route.name,
            kind=f"{flight.route.name}/{flight.model_name}",
            failed=head.is_failure,
            latency_s=head.latency_s,
        )

    def _judge_model(
        self, flight: Flight, state: ServiceState, attempt: Attempt, head: Head
    ) -> None:
        """Drop an answer that its own model doubts, and ask a larger one."""
        if flight.model is None:
            return
        question = ModelQuestion(
            count=len(flight.route.models),
            index=flight.model,
            confidence=head.marks.confidence,
        )
        larger = self._models.escalate(question)
        if larger is None or not self._may_run_again(flight):
            return
        expected_s = self._pace.whole_s(
            flight.service,
            flight.route.models[larger],
            prompt=flight.request.envelope.prompt_tokens,
            tokens=flight.request.envelope.expected_tokens,
        )
        if now() + expected_s > flight.deadline or not self._spend(state):
            return
        flight.trail.append(f"{attempt.link.record.id}:unsure")
        flight.model = larger
        raise _Again(Outcome.CANCELLED)

    async def _relay(self, flight: Flight, attempt: Attempt, head: Head) -> None:
        """Pass a stream on event by event."""
        reply = flight.reply
        if not reply.has_begun:
            await reply.begin(
                head.status, self._wire.pass_headers(head.response.raw_headers)
            )
        cutter = EventCutter(passed=flight.last_event)
        first_at = now()
        while chunk := await attempt.read_some():
            events = cutter.feed(chunk)
            if events.data:
                await reply.write(events.data)
            if events.last_id is not None:
                flight.last_event = events.last_id
        if not cutter.is_clean:
            raise BrokenError("stream ended within an event")
        attempt.finish()
        self._pace.observe(
            flight.service,
            flight.model_name,
            prompt=flight.request.envelope.prompt_tokens,
            shared=flight.request.envelope.shared_tokens,
            first_s=head.latency_s,
            rest_s=now() - first_at,
            tokens=flight.request.envelope.expected_tokens,
        )
        self._log.answered(flight, attempt.link.record, head.status)
        await reply.finish()

    # -- final answers of this side's own --

    async def _time_out(self, flight: Flight) -> None:
        if flight.runs == 0 and not flight.reply.has_begun:
            await self._refuse(flight, 503, "no_time_left", None)
        else:
            await self._fail(flight, 504, "timeout")

    async def _give_up(self, flight: Flight, kind: str) -> None:
        if flight.runs == 0 and not flight.reply.has_begun:
            await self._refuse(flight, 503, kind, SOON_S * (1 + self._rng.random()))
        else:
            await self._fail(flight, 502, kind)

    async def _fail(self, flight: Flight, status: int, kind: str) -> None:
        self._log.failed(flight, kind, status)
        if flight.reply.has_begun:
            flight.reply.abort()
        else:
            await flight.reply.refuse(status, kind, None)

    async def _refuse(
        self, flight: Flight, status: int, kind: str, retry_after_s: float | None
    ) -> None:
        self._log.failed(flight, kind, status)
        await flight.reply.refuse(status, kind, retry_after_s)
