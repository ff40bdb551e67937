"""Who may start: limits, the fair queue, and a bill that is safe."""

from __future__ import annotations

from baobabthread.core.backends.balance import BackendTable
from baobabthread.core.billing.ledger import Ledger
from baobabthread.core.billing.types import BillRequest
from baobabthread.core.configuration.configuration import Account
from baobabthread.core.configuration.directory import Directory
from baobabthread.core.limits.flows import Waiting
from baobabthread.core.limits.limits import AccountLimit
from baobabthread.core.messages import Effects
from baobabthread.core.problems import (
    explain_account_limit,
    explain_deadline,
    explain_no_account,
    explain_overload,
)
from baobabthread.core.requests.endings import Endings
from baobabthread.core.requests.request import Phase, Request
from baobabthread.core.services import ServiceState


class Admissions:
    """Queue requests and start them for as long as there is room."""

    __slots__ = (
        "_backends",
        "_endings",
        "_entries",
        "_ledger",
        "_limits",
        "_open",
        "_services",
        "directory",
    )

    def __init__(
        self,
        *,
        endings: Endings,
        ledger: Ledger,
        limits: dict[str, AccountLimit],
        backends: BackendTable,
        services: dict[str, ServiceState],
        open_requests: dict[str, Request],
    ) -> None:
        self._endings = endings
        self._ledger = ledger
        self._open = open_requests
        self._limits = limits
        self._backends = backends
        self._services = services
        self._entries = 1
        self.directory = Directory()

    def share(self, entries: int, now: float) -> None:
        """Divide the accounts' rates among the live entries, by their use of them."""
        self._entries = entries
        for account, limit in self._limits.items():
            elsewhere = sum(
                service.queue.tokens_per_s_elsewhere(account, now)
                for service in self._services.values()
            )
            limit.share(elsewhere, entries, now)

    def enqueue(self, request: Request, now: float) -> Effects:
        """Queue a request, or refuse it at once when it would be late anyway."""
        service = request.service
        account = self.directory.configuration.accounts.get(request.account)
        if account is None:
            return self._endings.refuse(request, explain_no_account(request), now)
        wait_s = self._charge(request, account, now)
        if wait_s > 0:
            problem = explain_account_limit(request, wait_s)
            return self._endings.refuse(request, problem, now)
        waiting = Waiting(
            request_id=request.id,
            account=request.account,
            weight=account.weight,
            priority=request.priority,
            tokens=request.tokens,
            deadline=request.deadline_at,
            arrived=now,
            service_s=self._backends.expected_s(service.name, request.tokens),
        )
        request.estimated_wait_s = service.queue.estimate_wait(waiting)
        late_s = service.shedder.refuse_for(
            wait_s=request.estimated_wait_s,
            service_s=waiting.service_s,
            deadline=request.deadline_at,
            now=now,
        )
        if late_s is not None:
            problem = explain_overload(request, late_s)
            return self._endings.refuse(request, problem, now)
        return self._push(request, waiting, now)

    def _charge(self, request: Request, account: Account, now: float) -> float:
        """Charge the account's rate; return the seconds to wait when it is used up."""
        if account.tokens_per_s <= 0:
            return 0.0
        limit = self._limits.get(request.account)
        if limit is None:
            limit = AccountLimit(tokens_per_s=account.tokens_per_s, now=now)
            self._limits[request.account] = limit
        limit.set_rate(account.tokens_per_s)
        return limit.admit(request.tokens, now)

    def _push(self, request: Request, waiting: Waiting, now: float) -> Effects:
        service = request.service
        request.phase = Phase.QUEUE
        pushed_out = service.queue.push(waiting, now)
        effects: Effects = []
        if pushed_out is not None:
            victim = self._open[pushed_out.request_id]
            retry_s = service.queue.retry_after(now, victim.account)
            problem = explain_overload(victim, retry_s)
            effects += self._endings.refuse(victim, problem, now)
        return effects + self.pump(service, now)

    def pump(self, service: ServiceState, now: float) -> Effects:
        """Start queued requests for as long as the limit allows."""
        effects: Effects = []
        while len(service.queue) and service.limit.may_start(now):
            waiting = service.queue.pop(now)
            if waiting is None:
                break
            request = self._open[waiting.request_id]
            effects += self._start(request, now)
        return effects

    def expire(self, service: ServiceState, now: float) -> Effects:
        """Refuse at once what can no longer make its deadline."""
        effects: Effects = []
        for waiting in service.queue.expire(now):
            request = self._open[waiting.request_id]
            problem = explain_deadline(request, now)
            effects += self._endings.refuse(request, problem, now)
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
        account = self.directory.configuration.accounts.get(request.account)
        if account is None:
            # Removed while it waited: its service may no longer be its to use.
            return self._endings.refuse(request, explain_no_account(request), now)
        if service.queue.running(request.account, now) >= account.max_running:
            service.queue.hold(request.account)
        bill = BillRequest(
            request_id=request.id,
            account=request.account,
            service=service.name,
            key=request.bill_key,
            estimate=self._estimate_cost(request),
        )
        return self._ledger.open(bill, now)

    def _estimate_cost(self, request: Request) -> float:
        """Return the price of the cheapest version for the expected tokens."""
        if not request.versions:
            return 0.0
        version = self.directory.get_version(request.versions[0])
        return version.cost * request.tokens / 1000 if version is not None else 0.0
