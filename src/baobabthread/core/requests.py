"""The way of all requests through an entry, from arrival to answer."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from baobabthread.core import claimtypes
from baobabthread.core.balance import BackendTable
from baobabthread.core.billtypes import (
    BilledAttempt,
    BillOpened,
    BillOutcome,
    BillRefused,
    BillRequest,
    Settlement,
)
from baobabthread.core.choices import Choices
from baobabthread.core.claims import Claims
from baobabthread.core.directory import Directory
from baobabthread.core.events import (
    Answered,
    AttemptEnded,
    Broken,
    CallerGone,
    Cancel,
    Deliver,
    Dispatch,
    ForwardRequest,
    Refuse,
    Refused,
    Replay,
    RequestArrived,
)
from baobabthread.core.flows import Waiting
from baobabthread.core.handover import Outcome as KeyOutcome
from baobabthread.core.intake import Intake
from baobabthread.core.keys import ClaimKey
from baobabthread.core.ledger import Ledger
from baobabthread.core.limits import Outcome
from baobabthread.core.messages import Effects
from baobabthread.core.named import NamedSessions
from baobabthread.core.request import Phase, Request
from baobabthread.core.retries import Attempt as FailedAttempt
from baobabthread.core.services import ServiceState
from baobabthread.errors import Kind, Problem, Ran

NO_BACKEND_RETRY_S = 1.0
ENGINE_PRIORITY = {"urgent": 1, "interactive": 4, "batch": 8}
CALLER_GONE = "caller_gone"


class Requests:
    """Take each request through claim, queue, bill and attempts, and answer it once."""

    __slots__ = (
        "_backends",
        "_choices",
        "_claims",
        "_directory",
        "_intake",
        "_ledger",
        "_locate",
        "_named",
        "_open",
        "_services",
        "_wall_offset_s",
        "closed",
    )

    def __init__(
        self,
        *,
        intake: Intake,
        services: dict[str, ServiceState],
        backends: BackendTable,
        claims: Claims,
        choices: Choices,
        ledger: Ledger,
        named: NamedSessions,
        wall_offset_s: float,
        locate: Callable[[str], str | None],
    ) -> None:
        """Take `locate`, which names the entry that runs an incarnation."""
        self._intake = intake
        self._services = services
        self._backends = backends
        self._claims = claims
        self._choices = choices
        self._ledger = ledger
        self._named = named
        self._wall_offset_s = wall_offset_s
        self._locate = locate
        self._directory = Directory()
        self._open: dict[str, Request] = {}
        self.closed = False

    def __len__(self) -> int:
        return len(self._open)

    def reconfigure(self, directory: Directory) -> None:
        """Take over a newly accepted configuration."""
        self._directory = directory
        self._intake.directory = directory

    def arrive(self, arrived: RequestArrived, now: float) -> Effects:
        """Check a request and start it on its way."""
        admitted = self._intake.admit(arrived, now)
        if isinstance(admitted, Problem):
            return [Refuse(request_id=arrived.request_id, problem=admitted)]
        full = self._ledger.may_admit(now)
        if full is not None:
            return [Refuse(request_id=arrived.request_id, problem=full)]
        request = admitted
        self._open[request.id] = request
        key = arrived.idempotency_key
        if request.call.idempotent or key is None:
            return self._begin_idempotent(request, now)
        request.phase = Phase.CLAIM
        claim = claimtypes.ClaimRequest(
            request_id=request.id,
            account=request.account,
            key=key,
            body_hash=request.body_hash,
            deadline_at=request.deadline_at,
        )
        return self.absorb_claims(self._claims.begin(claim, now), now)

    def _begin_idempotent(self, request: Request, now: float) -> Effects:
        arrived = request.arrived
        if arrived.is_model and arrived.session_name and not arrived.session:
            wall_s = now + self._wall_offset_s
            effects = self._named.look_up(request, wall_s, now)
            if effects:
                request.phase = Phase.SESSION
                return effects
        return self._enqueue(request, now)

    def continue_sessions(self, now: float) -> Effects:
        """Go on with requests whose sessions are known, or that waited enough."""
        effects: Effects = []
        wall_s = now + self._wall_offset_s
        due = set(self._named.take_due(now))
        for id_ in [*due, *self._named.waiting]:
            request = self._open.get(id_)
            if request is None or request.phase is not Phase.SESSION:
                self._named.stop_waiting(id_)
            elif id_ in due or self._named.find(request, wall_s) is not None:
                self._named.stop_waiting(id_)
                effects += self._enqueue(request, now)
        return effects

    def absorb_claims(self, effects: Effects, now: float) -> Effects:
        """Turn the effects of claims into the next steps of requests."""
        result: Effects = []
        for effect in effects:
            result += self._absorb_claim(effect, now)
        return result

    def _absorb_claim(self, effect: object, now: float) -> Effects:
        match effect:
            case claimtypes.Dispatch(request_id=id_, key=key):
                request = self._open.get(id_)
                if request is None:
                    return []
                request.claim = key
                return self._enqueue(request, now)
            case claimtypes.Forward(request_id=id_, incarnation=incarnation):
                return self._forward(id_, incarnation, now)
            case claimtypes.Join():
                return []
            case claimtypes.Replay(request_id=id_, outcome=outcome):
                return self._replay(id_, outcome)
            case claimtypes.Refuse(request_id=id_, problem=problem):
                return self._refuse_waiting(id_, problem)
        return [effect]

    def _forward(self, request_id: str, incarnation: str, now: float) -> Effects:
        request = self._open.get(request_id)
        if request is None:
            return []
        owner = self._locate(incarnation)
        # A request that was forwarded here and belongs elsewhere would go round among
        # entries whose lists of members differ: one hop is the most.
        if owner is None or request.arrived.forwarded:
            return self.forward_failed(request_id, incarnation, now)
        return [
            ForwardRequest(request_id=request_id, to=owner, incarnation=incarnation)
        ]

    def forward_failed(self, request_id: str, incarnation: str, now: float) -> Effects:
        """Answer for an entry that could not be reached."""
        request = self._open.get(request_id)
        if request is None:
            return []
        claim = claimtypes.ClaimRequest(
            request_id=request.id,
            account=request.account,
            key=request.arrived.idempotency_key or "",
            body_hash=request.body_hash,
        )
        return self.absorb_claims(
            self._claims.forward_failed(claim, incarnation, now), now
        )

    def forwarded(self, request_id: str) -> Effects:
        """Forget a request that another entry has answered."""
        self._open.pop(request_id, None)
        return []

    def _replay(self, request_id: str, outcome: KeyOutcome) -> Effects:
        request = self._open.pop(request_id, None)
        if request is None:
            return []
        if outcome.problem is not None:
            return [Refuse(request_id=request_id, problem=outcome.problem)]
        return [Replay(request_id=request_id, body=outcome.body, status=outcome.status)]

    def _refuse_waiting(self, request_id: str, problem: Problem) -> Effects:
        self._open.pop(request_id, None)
        return [Refuse(request_id=request_id, problem=problem)]

    def _enqueue(self, request: Request, now: float) -> Effects:
        """Queue a request, or refuse it at once when it would be late anyway."""
        service = request.service
        request.phase = Phase.QUEUE
        waiting = Waiting(
            request_id=request.id,
            account=request.account,
            weight=self._directory.get_account(request.account).weight,
            priority=request.priority,
            tokens=request.tokens,
            deadline=request.deadline_at,
            arrived=now,
        )
        request.estimated_wait_s = service.queue.estimate_wait(waiting)
        late_s = service.shedder.refuse_for(
            wait_s=request.estimated_wait_s,
            service_s=0.0,
            deadline=request.deadline_at,
            now=now,
        )
        if late_s is not None:
            return self._refuse_overload(request, late_s, now)
        pushed_out = service.queue.push(waiting, now)
        effects: Effects = []
        if pushed_out is not None:
            victim = self._open[pushed_out.request_id]
            retry = service.queue.retry_after(now, victim.account)
            effects += self._refuse_overload(victim, retry, now)
        return effects + self.pump(service, now)

    def pump(self, service: ServiceState, now: float) -> Effects:
        """Start queued requests for as long as the limit allows."""
        effects: Effects = []
        while len(service.queue) and service.limit.may_start(now):
            waiting = service.queue.pop(now)
            if waiting is None:
                break
            request = self._open[waiting.request_id]
            account = self._directory.get_account(request.account)
            if service.queue.running(request.account, now) >= account.max_running:
                service.queue.hold(request.account)
            effects += self._start(request, now)
        return effects

    def _start(self, request: Request, now: float) -> Effects:
        service = request.service
        request.phase = Phase.BILL
        request.started_at = now
        service.limit.started()
        service.budget.count_request(now)
        service.shedder.observe(
            estimated_s=request.estimated_wait_s,
            waited_s=now - request.first_seen_at,
        )
        bill = BillRequest(
            request_id=request.id,
            account=request.account,
            service=service.name,
            key=request.bill_key,
            estimate=self._estimate_cost(request),
        )
        return self.absorb_bills(self._ledger.open(bill, now), now)

    def absorb_bills(self, effects: Effects, now: float) -> Effects:
        """Start the requests whose bills are safe."""
        result: Effects = []
        for effect in effects:
            match effect:
                case BillOpened(request_id=id_):
                    request = self._open.get(id_)
                    if request is not None and request.phase is Phase.BILL:
                        result += self._first_attempt(request, now)
                case BillRefused(request_id=id_, problem=problem):
                    request = self._open.get(id_)
                    if request is not None:
                        result += self._end_problem(request, problem, now)
                case _:
                    result.append(effect)
        return result

    def _estimate_cost(self, request: Request) -> float:
        """Return the price of the cheapest version for the expected tokens."""
        if not request.versions:
            return 0.0
        version = self._directory.get_version(request.versions[0])
        return version.cost * request.tokens / 1000 if version is not None else 0.0

    def _first_attempt(self, request: Request, now: float) -> Effects:
        request.phase = Phase.RUNNING
        if request.arrived.is_model:
            problem = self._choices.choose(request, self._directory, now)
            if problem is not None:
                return self._end_problem(request, problem, now)
        return self._attempt(request, now)

    def _attempt(self, request: Request, now: float, delay_s: float = 0.0) -> Effects:
        """Send the request to a backend server, or give up."""
        remaining_s = request.deadline_at - now - delay_s
        if remaining_s <= 0:
            return self._end_problem(request, _explain_deadline(request), now)
        backend = self._pick(request, now)
        if backend is None:
            return self._end_problem(request, _explain_no_backend(request), now)
        request.backend = backend
        request.attempts += 1
        self._backends.started(backend, request.tokens, now)
        session = self._choices.seal(request)
        return [
            Dispatch(
                request_id=request.id,
                backend=backend,
                address=self._directory.configuration.backends[backend].address,
                backend_request_id=_name_for_backend(request),
                version=request.version,
                call=request.arrived.call,
                relay=request.is_last or request.resume_from > 0,
                timeout_s=remaining_s,
                priority=ENGINE_PRIORITY[request.priority],
                resume_from=request.resume_from,
                delay_s=delay_s,
                session=session,
                moved=request.moved,
            )
        ]

    def _pick(self, request: Request, now: float) -> str | None:
        return self._backends.pick(
            service=request.service.name,
            version=request.version,
            prefix_key=request.prefix_key,
            exclude=request.excluded,
            now=now,
            may_probe=request.call.idempotent and request.attempts == 0,
        )

    def attempt_ended(self, ended: AttemptEnded, now: float) -> Effects:
        """Deliver, escalate, resume, retry or give up."""
        request = self._open.get(ended.request_id)
        if request is None:
            return []
        outcome = ended.outcome
        match outcome:
            case Answered():
                return self._answered(request, ended, outcome, now)
            case Refused():
                return self._refused(request, ended, outcome, now)
            case Broken():
                return self._broken(request, ended, outcome, now)

    def _answered(
        self, request: Request, ended: AttemptEnded, answer: Answered, now: float
    ) -> Effects:
        tokens = answer.prompt_tokens + answer.completion_tokens
        self._backends.finished(
            ended.backend, Outcome.OK, ended.latency_s, request.tokens, now
        )
        request.dispatched = True
        request.prompt_tokens += answer.prompt_tokens
        request.completion_tokens += answer.completion_tokens
        if request.version is not None:
            version = self._directory.get_version(request.version)
            price = version.cost if version is not None else 0.0
            cost = price * answer.completion_tokens / 1000
            request.cost += cost
            request.billed.append(
                BilledAttempt(version=request.version, tokens=tokens, cost=cost)
            )
            request.service.learn(
                call=request.arrived.call,
                version=request.version,
                latency_s=ended.latency_s,
                tokens=tokens,
            )
        judgement = self._choices.judge(request, answer, ended, now)
        if judgement.accepted:
            return judgement.effects + self._deliver(request, ended, now)
        request.turned_down = request.version or ""
        request.position += 1
        request.excluded.clear()
        return judgement.effects + self._attempt(request, now)

    def _deliver(self, request: Request, ended: AttemptEnded, now: float) -> Effects:
        deliver = Deliver(
            request_id=request.id,
            version=request.version,
            session=self._choices.seal(request),
            moved=request.moved,
            claim=request.claim,
        )
        remembered: Effects = []
        if request.pin is not None and request.version is not None:
            remembered = self._named.remember(
                request,
                msgspec.structs.replace(request.pin, version=request.version),
                now + self._wall_offset_s,
            )
        return [
            deliver,
            *remembered,
            *self._end(request, Outcome.OK, ended.latency_s, now),
        ]

    def key_answered(self, key: ClaimKey, body: bytes, now: float) -> Effects:
        """Keep the answer of a non-idempotent request for its repeats."""
        outcome = KeyOutcome(ran=Ran.YES, body=body)
        return self.absorb_claims(self._claims.finished(key, outcome, now), now)

    def _refused(
        self, request: Request, ended: AttemptEnded, refused: Refused, now: float
    ) -> Effects:
        busy = refused.kind == "busy"
        outcome = Outcome.BUSY if busy else Outcome.CANCELLED
        self._backends.finished(
            ended.backend, outcome, ended.latency_s, request.tokens, now
        )
        if refused.kind == "leaving":
            self._backends.leaving(ended.backend, now)
        request.excluded.add(ended.backend)
        failed = FailedAttempt(
            idempotent=request.call.idempotent,
            ran=Ran.NO,
            first_byte_sent=True,
            number=request.attempts,
            deadline=request.deadline_at,
            retry_after_s=0.0,
        )
        delay_s = request.service.budget.may_retry(failed, now)
        if delay_s is not None:
            return self._attempt(request, now, delay_s)
        problem = Problem(
            kind=Kind.OVERLOADED if busy else Kind.BACKEND_REFUSED,
            detail=f"the backend server refused the request ({refused.kind})",
            remedy="come back after the time given",
            ran=Ran.NO,
            retry_after_s=refused.retry_after_s or NO_BACKEND_RETRY_S,
            request_id=request.id,
        )
        return self._end_problem(request, problem, now)

    def _broken(
        self, request: Request, ended: AttemptEnded, broken: Broken, now: float
    ) -> Effects:
        gone = broken.reason == CALLER_GONE
        outcome = Outcome.CANCELLED if gone else Outcome.FAILED
        self._backends.finished(
            ended.backend, outcome, ended.latency_s, request.tokens, now
        )
        request.dispatched = request.dispatched or broken.sent
        if gone:
            return [
                Cancel(request_id=request.id, backend=ended.backend),
                *self._end_problem(request, _explain_broken(request, broken), now),
            ]
        self._choices.observe_failure(request, now)
        request.excluded.add(ended.backend)
        request.resume_from = broken.delivered_tokens if request.is_last else 0
        failed = FailedAttempt(
            idempotent=request.call.idempotent,
            ran=Ran.UNKNOWN if broken.sent else Ran.NO,
            first_byte_sent=broken.sent,
            number=request.attempts,
            deadline=request.deadline_at,
        )
        delay_s = request.service.budget.may_retry(failed, now)
        if delay_s is None:
            return self._end_problem(request, _explain_broken(request, broken), now)
        return self._attempt(request, now, delay_s)

    def caller_gone(self, event: CallerGone, now: float) -> Effects:
        """Give up what no caller waits for any more."""
        request = self._open.get(event.request_id)
        if request is None:
            return []
        if request.phase is Phase.QUEUE:
            request.service.queue.remove(request.id)
        if request.phase is Phase.RUNNING and not request.call.idempotent:
            return []
        return self._end_problem(request, _explain_gone(request), now)

    def expire(self, now: float) -> Effects:
        """Refuse at once what can no longer make its deadline."""
        effects = self.continue_sessions(now)
        for service in self._services.values():
            for waiting in service.queue.expire(now):
                request = self._open[waiting.request_id]
                problem = _explain_deadline(request)
                effects += self._end_problem(request, problem, now)
            effects += self.pump(service, now)
        return effects

    def _refuse_overload(
        self, request: Request, retry_after_s: float, now: float
    ) -> Effects:
        problem = Problem(
            kind=Kind.OVERLOADED,
            detail="the request would wait past its deadline",
            remedy="come back after the time given, or send a longer deadline",
            ran=Ran.NO,
            retry_after_s=retry_after_s,
            request_id=request.id,
        )
        return self._end_problem(request, problem, now)

    def _end_problem(self, request: Request, problem: Problem, now: float) -> Effects:
        """Answer with a problem and clear up."""
        effects: Effects = [Refuse(request_id=request.id, problem=problem)]
        if request.claim is not None:
            outcome = KeyOutcome(ran=problem.ran, problem=problem)
            finished = self._claims.finished(request.claim, outcome, now)
            effects += self.absorb_claims(finished, now)
        latency_s = now - request.started_at
        limited = Outcome.BUSY if problem.kind is Kind.OVERLOADED else Outcome.FAILED
        return effects + self._end(request, limited, latency_s, now)

    def _end(
        self, request: Request, outcome: Outcome, latency_s: float, now: float
    ) -> Effects:
        self._open.pop(request.id, None)
        service = request.service
        was_running = request.phase in (Phase.BILL, Phase.RUNNING)
        request.phase = Phase.ENDED
        if not was_running:
            return []
        effects = self._settle(request, outcome, now)
        tokens = request.prompt_tokens + request.completion_tokens
        service.queue.finished(request.id, max(1, tokens), now)
        service.queue.release(request.account)
        service.limit.finished(latency_s, outcome, now, per=float(max(1, tokens)))
        return effects + self.pump(service, now)

    def _settle(self, request: Request, outcome: Outcome, now: float) -> Effects:
        if not request.dispatched:
            return self._ledger.cancel(request.id, now)
        answered = outcome is Outcome.OK
        settlement = Settlement(
            outcome=BillOutcome.ANSWERED if answered else BillOutcome.FAILED,
            cost=request.cost,
            tokens=request.prompt_tokens + request.completion_tokens,
            attempts=request.billed,
        )
        return self._ledger.close(request.id, settlement, now)


def _name_for_backend(request: Request) -> str:
    key = request.arrived.idempotency_key
    if request.call.idempotent or key is None:
        return request.id
    # Backend servers count runs by this id: with the caller's own id in it, a second
    # run of the same warning would show even if another entry had sent it.
    return f"{request.account}.{key.rpartition('/')[2]}"


def _explain_deadline(request: Request) -> Problem:
    return Problem(
        kind=Kind.DEADLINE,
        detail="the deadline has passed before an answer",
        remedy="send a longer deadline, or come back when load is lower",
        ran=_tell_ran(request),
        retry_after_s=request.service.queue.retry_after(request.deadline_at),
        request_id=request.id,
    )


def _explain_no_backend(request: Request) -> Problem:
    what = f"version '{request.version}'" if request.version else "the service"
    return Problem(
        kind=Kind.NO_BACKEND,
        detail=f"no backend server for {what} takes work now",
        remedy="come back after the time given",
        ran=_tell_ran(request),
        retry_after_s=NO_BACKEND_RETRY_S,
        request_id=request.id,
    )


def _explain_broken(request: Request, broken: Broken) -> Problem:
    return Problem(
        kind=Kind.INCOMPLETE if broken.sent else Kind.BACKEND_FAILED,
        detail=f"the backend server gave no whole answer ({broken.reason})",
        remedy="repeat it if it may run twice; else ask what became of it",
        ran=_tell_ran(request),
        retry_after_s=NO_BACKEND_RETRY_S,
        request_id=request.id,
    )


def _explain_gone(request: Request) -> Problem:
    return Problem(
        kind=Kind.BAD_REQUEST,
        detail="the caller closed its connection",
        remedy="send the request again",
        ran=_tell_ran(request),
        request_id=request.id,
    )


def _tell_ran(request: Request) -> Ran:
    return Ran.UNKNOWN if request.dispatched else Ran.NO
