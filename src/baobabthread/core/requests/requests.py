"""The way of all requests through an entry, from arrival to answer."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from baobabthread.core.backends.balance import BackendTable
from baobabthread.core.billing.ledger import Ledger
from baobabthread.core.billing.types import BillOpened, BillRefused
from baobabthread.core.claims import types as claimtypes
from baobabthread.core.claims.claims import Claims
from baobabthread.core.claims.handover import Outcome as KeyOutcome
from baobabthread.core.claims.keys import ClaimKey
from baobabthread.core.claims.problems import problem_slow_claim
from baobabthread.core.configuration.directory import Directory
from baobabthread.core.events import (
    AttemptEnded,
    CallerGone,
    ForwardRequest,
    Refuse,
    Replay,
    RequestArrived,
)
from baobabthread.core.limits.limits import AccountLimit
from baobabthread.core.messages import Effects
from baobabthread.core.models.choices import Choices
from baobabthread.core.problems import explain_deadline, explain_gone
from baobabthread.core.requests.admissions import Admissions
from baobabthread.core.requests.dispatching import Dispatching
from baobabthread.core.requests.endings import Endings
from baobabthread.core.requests.intake import Intake, MayServe
from baobabthread.core.requests.request import Phase, Request
from baobabthread.core.services import ServiceState
from baobabthread.core.sessions.named import NamedSessions
from baobabthread.errors import Problem, Ran


class Requests:
    """Take each request through claim, queue, bill and attempts, and answer it once."""

    __slots__ = (
        "_admissions",
        "_claiming",
        "_claims",
        "_dispatching",
        "_endings",
        "_intake",
        "_joined",
        "_ledger",
        "_locate",
        "_named",
        "_open",
        "_services",
        "_wall_offset_s",
    )

    def __init__(
        self,
        *,
        services: dict[str, ServiceState],
        backends: BackendTable,
        claims: Claims,
        choices: Choices,
        ledger: Ledger,
        named: NamedSessions,
        may_serve: MayServe,
        is_caught_up: Callable[[], bool],
        wall_offset_s: float,
        locate: Callable[[str], str | None],
    ) -> None:
        """Take `locate`, which names the entry that runs an incarnation."""
        self._intake = Intake(
            services=services, may_serve=may_serve, is_caught_up=is_caught_up
        )
        self._services = services
        self._claims = claims
        self._ledger = ledger
        self._named = named
        self._wall_offset_s = wall_offset_s
        self._locate = locate
        self._open: dict[str, Request] = {}
        self._claiming: dict[str, Request] = {}
        """Those that wait for a claim or for the running request of their key."""
        self._joined: set[str] = set()
        limits: dict[str, AccountLimit] = {}
        self._endings = Endings(
            claims=claims, ledger=ledger, limits=limits, open_requests=self._open
        )
        self._admissions = Admissions(
            endings=self._endings,
            ledger=ledger,
            limits=limits,
            backends=backends,
            services=services,
            open_requests=self._open,
        )
        self._dispatching = Dispatching(
            backends=backends,
            choices=choices,
            endings=self._endings,
            named=named,
            may_serve=may_serve,
            wall_offset_s=wall_offset_s,
        )

    def __len__(self) -> int:
        return len(self._open)

    def reconfigure(self, directory: Directory) -> None:
        """Take over a newly accepted configuration."""
        self._intake.directory = directory
        self._admissions.directory = directory
        self._dispatching.directory = directory

    def share(self, entries: int, now: float) -> None:
        """Divide what the backend servers can run among the live entries."""
        self._admissions.share(entries, now)
        for service in self._services.values():
            service.limit.share(
                service.queue.elsewhere(now), service.queue.pressing, now
            )

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
        self._claiming[request.id] = request
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
                    return self._drop_claim(key, now)
                request.claim = key
                return self._enqueue(request, now)
            case claimtypes.Forward(request_id=id_, incarnation=incarnation):
                return self._forward(id_, incarnation, now)
            case claimtypes.Join(request_id=id_):
                self._joined.add(id_)
                return []
            case claimtypes.Replay(request_id=id_, outcome=outcome):
                return self._replay(id_, outcome)
            case claimtypes.Refuse(request_id=id_, problem=problem):
                return self._refuse_waiting(id_, problem)
        return [effect]

    def _drop_claim(self, key: ClaimKey, now: float) -> Effects:
        """Free a key whose request was answered before it was claimed."""
        # Left as dispatched, the key would make each repeat wait for a run that never
        # began. Nothing was sent, so a repeat may run.
        outcome = KeyOutcome(ran=Ran.NO, problem=problem_slow_claim())
        return self.absorb_claims(self._claims.finished(key, outcome, now), now)

    def _expire_claims(self, now: float) -> Effects:
        """Refuse at their deadlines those that wait for a claim or another run."""
        effects: Effects = []
        for id_, request in list(self._claiming.items()):
            waits = request.phase is Phase.CLAIM and id_ in self._open
            if waits and now < request.deadline_at:
                continue
            del self._claiming[id_]
            has_joined = id_ in self._joined
            self._joined.discard(id_)
            if waits:
                problem = explain_deadline(request, now)
                if has_joined:
                    problem = msgspec.structs.replace(problem, ran=Ran.UNKNOWN)
                effects += self._refuse_waiting(id_, problem)
        return effects

    def _forward(self, request_id: str, incarnation: str, now: float) -> Effects:
        request = self._open.get(request_id)
        if request is None:
            return []
        owner = self._locate(incarnation)
        # A request that was forwarded here and belongs elsewhere would go round among
        # entries whose lists of members differ: one hop is the most.
        if owner is None or request.arrived.forwarded:
            return self.forward_failed(request_id, incarnation, now)
        # Its deadline is watched by the connection to the owner from here on.
        self._claiming.pop(request_id, None)
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

    def absorb_bills(self, effects: Effects, now: float) -> Effects:
        """Start the requests whose bills are safe."""
        result: Effects = []
        for effect in effects:
            match effect:
                case BillOpened(request_id=id_):
                    request = self._open.get(id_)
                    if request is not None and request.phase is Phase.BILL:
                        result += self._dispatching.begin(request, now)
                case BillRefused(request_id=id_, problem=problem):
                    request = self._open.get(id_)
                    if request is not None:
                        result += self._endings.refuse(request, problem, now)
                case _:
                    result.append(effect)
        return self._settle(result, now)

    def _settle(self, effects: Effects, now: float) -> Effects:
        """Answer repeats of ended keys and start what has room now."""
        settled: Effects = []
        while True:
            for effect in effects:
                settled += self._absorb_claim(effect, now)
            freed = self._endings.take_freed()
            if not freed:
                return settled
            effects = []
            for service in freed:
                effects += self._admissions.pump(service, now)
            effects = self._begin_billed(effects, now)

    def _begin_billed(self, effects: Effects, now: float) -> Effects:
        result: Effects = []
        for effect in effects:
            if isinstance(effect, BillOpened | BillRefused):
                result += self.absorb_bills([effect], now)
            else:
                result.append(effect)
        return result

    def _enqueue(self, request: Request, now: float) -> Effects:
        return self.absorb_bills(self._admissions.enqueue(request, now), now)

    def attempt_ended(self, ended: AttemptEnded, now: float) -> Effects:
        """Take in how an attempt ended."""
        request = self._open.get(ended.request_id)
        if request is None:
            return []
        effects = self._dispatching.attempt_ended(request, ended, now)
        return self._settle(effects, now)

    def key_answered(self, key: ClaimKey, body: bytes, now: float) -> Effects:
        """Keep the answer of a non-idempotent request for its repeats."""
        outcome = KeyOutcome(ran=Ran.YES, body=body)
        return self.absorb_claims(self._claims.finished(key, outcome, now), now)

    def caller_gone(self, event: CallerGone, now: float) -> Effects:
        """Give up what no caller waits for any more."""
        request = self._open.get(event.request_id)
        if request is None:
            return []
        if request.phase is Phase.RUNNING and not request.call.idempotent:
            # Its backend server may be running it; the answer is kept for a repeat.
            return []
        effects = self._endings.refuse(request, explain_gone(request), now)
        return self._settle(effects, now)

    def expire(self, now: float) -> Effects:
        """Refuse at once what can no longer make its deadline."""
        effects = self.continue_sessions(now) + self._expire_claims(now)
        for service in self._services.values():
            expired = self._admissions.expire(service, now)
            expired += self._admissions.pump(service, now)
            effects += self.absorb_bills(expired, now)
        return effects
