"""Attempts at backend servers: where to, and what follows from how they end."""

from __future__ import annotations

import msgspec

from baobabthread.core.backends.balance import BackendTable
from baobabthread.core.billing.types import BilledAttempt
from baobabthread.core.configuration.configuration import OnStale, Priority
from baobabthread.core.configuration.directory import Directory
from baobabthread.core.events import (
    Answered,
    AttemptEnded,
    Broken,
    Cancel,
    Deliver,
    Dispatch,
    Refused,
)
from baobabthread.core.limits.limits import Outcome
from baobabthread.core.limits.rates import weigh_tokens
from baobabthread.core.limits.retries import Attempt as FailedAttempt
from baobabthread.core.messages import Effects
from baobabthread.core.models.choices import Choices
from baobabthread.core.problems import (
    BUSY,
    explain_broken,
    explain_cut_off,
    explain_deadline,
    explain_no_backend,
    explain_refused,
)
from baobabthread.core.requests.endings import Endings
from baobabthread.core.requests.intake import MayServe
from baobabthread.core.requests.request import Phase, Request
from baobabthread.core.sessions.named import NamedSessions
from baobabthread.errors import Ran

ENGINE_PRIORITY = {Priority.URGENT: 1, Priority.INTERACTIVE: 4, Priority.BATCH: 8}
LEAVING = "leaving"
CALLER_GONE = "caller_gone"
PROBE_TOKENS = 300
"""Most tokens of a request that may try a server which was ejected."""


class Dispatching:
    """Send requests to backend servers; deliver, escalate, resume or retry."""

    __slots__ = (
        "_backends",
        "_choices",
        "_endings",
        "_may_serve",
        "_named",
        "_wall_offset_s",
        "directory",
    )

    def __init__(
        self,
        *,
        backends: BackendTable,
        choices: Choices,
        endings: Endings,
        named: NamedSessions,
        may_serve: MayServe,
        wall_offset_s: float,
    ) -> None:
        self._backends = backends
        self._choices = choices
        self._endings = endings
        self._named = named
        self._may_serve = may_serve
        self._wall_offset_s = wall_offset_s
        self.directory = Directory()

    def begin(self, request: Request, now: float) -> Effects:
        """Choose the versions of a request and make its first attempt."""
        request.phase = Phase.RUNNING
        on_stale: OnStale = request.service.service.on_stale
        if not self._may_serve(on_stale, now):
            # It may have waited while this entry lost touch: what was withdrawn
            # meanwhile would still be sent to.
            return self._endings.refuse(request, explain_cut_off(request), now)
        if not request.arrived.is_model:
            return self._attempt(request, now)
        return self._choose(request, now)

    def _choose(self, request: Request, now: float) -> Effects:
        problem = self._choices.choose(request, self.directory, now)
        if problem is not None:
            return self._endings.refuse(request, problem, now)
        return self._attempt(request, now)

    def _attempt_again(self, request: Request, now: float, delay_s: float) -> Effects:
        """Make a further attempt, on a version that is still in use."""
        # A version withdrawn since the plan was made gets no new attempt. Only a
        # stream that the caller holds a part of goes on: another version would not
        # continue its text.
        if request.resume_from or self._choices.is_in_use(request, self.directory):
            return self._attempt(request, now, delay_s)
        return self._choose(request, now)

    def _attempt(self, request: Request, now: float, delay_s: float = 0.0) -> Effects:
        """Send the request to a backend server, or give up."""
        remaining_s = request.deadline_at - now - delay_s
        if remaining_s <= 0:
            problem = explain_deadline(request, now)
            return self._endings.refuse(request, problem, now)
        backend = self._pick(request, now)
        if backend is None:
            return self._endings.refuse(request, explain_no_backend(request), now)
        request.backend = backend
        request.attempts += 1
        self._backends.started(backend, request.tokens, now)
        relay = request.is_last or request.resume_from > 0
        return [
            Dispatch(
                request_id=request.id,
                backend=backend,
                address=self.directory.configuration.backends[backend].address,
                backend_request_id=_name_for_backend(request),
                version=request.version,
                call=request.arrived.call,
                relay=relay,
                timeout_s=remaining_s,
                priority=ENGINE_PRIORITY[request.priority],
                resume_from=request.resume_from,
                delay_s=delay_s,
                session=self._choices.seal(request) if relay else None,
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
            may_probe=self._may_probe(request),
        )

    def _may_probe(self, request: Request) -> bool:
        # A long request at a server that is still bad would wait all its time there.
        short = request.tokens <= PROBE_TOKENS
        return short and request.call.idempotent and request.attempts == 0

    def attempt_ended(
        self, request: Request, ended: AttemptEnded, now: float
    ) -> Effects:
        """Deliver, escalate, resume, retry or give up."""
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
        work = weigh_tokens(
            prompt=answer.prompt_tokens,
            cached=answer.cached_tokens,
            completion=answer.completion_tokens,
        )
        self._backends.finished(
            ended.backend,
            Outcome.OK,
            ended.latency_s,
            work,
            now,
            expected=request.tokens,
        )
        request.work += work
        request.dispatched = True
        self._count_tokens(request, ended, answer)
        judgement = self._choices.judge(request, answer, ended, now)
        if judgement.accepted:
            return judgement.effects + self._deliver(request, ended, now)
        request.turned_down = request.version or ""
        request.position += 1
        request.excluded.clear()
        return judgement.effects + self._attempt_again(request, now, 0.0)

    def _count_tokens(
        self, request: Request, ended: AttemptEnded, answer: Answered
    ) -> None:
        request.prompt_tokens += answer.prompt_tokens
        request.completion_tokens += answer.completion_tokens
        if request.version is None:
            return
        tokens = answer.prompt_tokens + answer.completion_tokens
        self._charge(request, answer.completion_tokens, tokens)
        request.service.learn(
            call=request.arrived.call,
            version=request.version,
            latency_s=ended.latency_s,
            tokens=answer.completion_tokens,
        )

    def _charge(self, request: Request, generated: int, tokens: int) -> None:
        """Add the price of an attempt to the request's bill."""
        assert request.version is not None
        version = self.directory.get_version(request.version)
        price = version.cost if version is not None else 0.0
        cost = price * generated / 1000
        request.cost += cost
        request.billed.append(
            BilledAttempt(version=request.version, tokens=tokens, cost=cost)
        )

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
        ending = self._endings.end(request, Outcome.OK, ended.latency_s, now)
        return [deliver, *remembered, *ending]

    def _refused(
        self, request: Request, ended: AttemptEnded, refused: Refused, now: float
    ) -> Effects:
        busy = refused.kind == BUSY
        outcome = Outcome.BUSY if busy else Outcome.CANCELLED
        self._backends.finished(
            ended.backend, outcome, ended.latency_s, request.tokens, now
        )
        if refused.kind == LEAVING:
            self._backends.refused_as_leaving(ended.backend, now)
        request.excluded.add(ended.backend)
        delay_s = self._ask_retry(request, Ran.NO, sent=True, now=now)
        if delay_s is not None:
            return self._attempt_again(request, now, delay_s)
        problem = explain_refused(request, refused)
        return self._endings.refuse(request, problem, now)

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
            return self._give_up(request, ended, broken, now)
        self._choices.observe_failure(request, now)
        request.excluded.add(ended.backend)
        request.resume_from = broken.delivered_tokens if request.is_last else 0
        ran = Ran.UNKNOWN if broken.sent else Ran.NO
        delay_s = self._ask_retry(request, ran, sent=broken.sent, now=now)
        if delay_s is None:
            return self._endings.refuse(request, explain_broken(request, broken), now)
        return self._attempt_again(request, now, delay_s)

    def _give_up(
        self, request: Request, ended: AttemptEnded, broken: Broken, now: float
    ) -> Effects:
        """Stop generating what nobody reads, and bill what was generated."""
        if request.version is not None and broken.delivered_tokens:
            request.completion_tokens += broken.delivered_tokens
            self._charge(request, broken.delivered_tokens, broken.delivered_tokens)
        cancel = Cancel(request_id=request.id, backend=ended.backend)
        problem = explain_broken(request, broken)
        return [cancel, *self._endings.refuse(request, problem, now)]

    def _ask_retry(
        self, request: Request, ran: Ran, *, sent: bool, now: float
    ) -> float | None:
        failed = FailedAttempt(
            idempotent=request.call.idempotent,
            ran=ran,
            first_byte_sent=sent,
            number=request.attempts,
            deadline=request.deadline_at,
        )
        return request.service.budget.may_retry(failed, now)


def _name_for_backend(request: Request) -> str:
    key = request.arrived.idempotency_key
    if request.call.idempotent or key is None:
        return request.id
    # Backend servers count runs by this id: with the caller's own id in it, a second
    # run of the same warning would show even if another entry had sent it.
    return f"{request.account}.{key.rpartition('/')[2]}"
