"""The end of a request: its answer, its bill, its place in the limits."""

from __future__ import annotations

from baobabthread.core.billing.ledger import Ledger
from baobabthread.core.billing.types import BillOutcome, Settlement
from baobabthread.core.claims.claims import Claims
from baobabthread.core.claims.handover import Outcome as KeyOutcome
from baobabthread.core.events import Refuse
from baobabthread.core.limits.limits import AccountLimit, Outcome
from baobabthread.core.messages import Effects
from baobabthread.core.requests.request import Phase, Request
from baobabthread.core.services import ServiceState
from baobabthread.errors import Kind, Problem

STARTED = (Phase.BILL, Phase.RUNNING)


class Endings:
    """End each open request once and remember which services have room again."""

    __slots__ = ("_claims", "_freed", "_ledger", "_limits", "_open")

    def __init__(
        self,
        *,
        claims: Claims,
        ledger: Ledger,
        limits: dict[str, AccountLimit],
        open_requests: dict[str, Request],
    ) -> None:
        self._claims = claims
        self._ledger = ledger
        self._limits = limits
        self._open = open_requests
        self._freed: dict[str, ServiceState] = {}

    def take_freed(self) -> list[ServiceState]:
        """Return the services whose queues may move on."""
        freed = list(self._freed.values())
        self._freed.clear()
        return freed

    def refuse(self, request: Request, problem: Problem, now: float) -> Effects:
        """End a request with a problem."""
        effects: Effects = [Refuse(request_id=request.id, problem=problem)]
        if request.claim is not None:
            outcome = KeyOutcome(ran=problem.ran, problem=problem)
            effects += self._claims.finished(request.claim, outcome, now)
        limited = Outcome.FAILED
        if problem.kind is Kind.OVERLOADED:
            limited = Outcome.BUSY
        return effects + self.end(request, limited, now - request.started_at, now)

    def end(
        self, request: Request, outcome: Outcome, latency_s: float, now: float
    ) -> Effects:
        """Forget a request and settle what it holds."""
        if self._open.pop(request.id, None) is None:
            return []
        service = request.service
        phase, request.phase = request.phase, Phase.ENDED
        if phase is Phase.QUEUE:
            service.queue.remove(request.id)
        if phase not in STARTED:
            return []
        tokens = max(1, request.work)
        limit = self._limits.get(request.account)
        if limit is not None:
            limit.correct(tokens - request.tokens)
        service.queue.finished(request.id, tokens, now)
        service.queue.release(request.account)
        service.limit.finished(latency_s, outcome, now, per=float(tokens))
        self._freed[service.name] = service
        return self._settle(request, outcome, now)

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
