"""Which versions answer a request: sessions, cascade, what an answer is worth."""

from __future__ import annotations

import msgspec

from baobabthread.core.attempts import Attempt, Rating
from baobabthread.core.directory import Directory
from baobabthread.core.events import Answered, AttemptEnded, SubmitRating
from baobabthread.core.messages import Effects
from baobabthread.core.request import Request
from baobabthread.core.services import ServiceState
from baobabthread.core.session_tokens import Pin, SessionKeyRing
from baobabthread.core.sessions import Moved, NoVersion, resolve
from baobabthread.errors import Kind, Problem, Ran

SESSION_LIFETIME_S = 24 * 3600.0


class Judgement(msgspec.Struct, frozen=True, kw_only=True):
    """Tell what an answer is worth and what to do about it."""

    accepted: bool
    effects: Effects


class Choices:
    """Plan the versions of a request and judge their answers."""

    __slots__ = ("_keys", "_wall_offset_s", "quarantined")

    def __init__(self, *, keys: SessionKeyRing, wall_offset_s: float) -> None:
        """Take the unix time at monotonic zero."""
        self._keys = keys
        self._wall_offset_s = wall_offset_s
        self.quarantined: frozenset[str] = frozenset()

    def choose(
        self, request: Request, directory: Directory, now: float
    ) -> Problem | None:
        """Plan the versions to try, or return why there is none."""
        allowed = [
            version
            for version in directory.list_allowed(request.account, request.service.name)
            if version not in self.quarantined
        ]
        if request.keep_plan:
            allowed = [each for each in request.versions if each in allowed]
        if not allowed:
            return _explain_no_version(request)
        pinned = self._open_session(request, now)
        if pinned is not None:
            return self._keep_session(request, directory, pinned, now)
        cascade = request.service.service.cascade
        versions = [each for each in allowed if each in cascade] or allowed
        request.versions = tuple(versions)
        request.plan = request.service.rule.plan(
            key=request.id,
            call=request.arrived.call,
            versions=request.versions,
            now=now,
        )
        request.position = 0
        self._pin(request, directory, now)
        return None

    def _open_session(self, request: Request, now: float) -> Pin | None:
        token = request.arrived.session
        if not token:
            return None
        pin = self._keys.open(token, now=now + self._wall_offset_s)
        if pin is None:
            return None
        if pin.account != request.account or pin.service != request.service.name:
            return None
        return pin

    def _keep_session(
        self, request: Request, directory: Directory, pin: Pin, now: float
    ) -> Problem | None:
        cascade = request.service.service.cascade
        decided = resolve(
            configuration=directory.configuration,
            account_name=request.account,
            service=request.service.name,
            session=request.arrived.session or "",
            pinned=pin.version,
            shares=dict.fromkeys(cascade, 1.0),
            quarantined=self.quarantined,
        )
        if isinstance(decided, NoVersion):
            return _explain_no_version(request)
        request.moved = isinstance(decided, Moved)
        request.versions = (decided.version,)
        request.plan = [decided.version]
        request.position = 0
        request.keep_plan = True
        self._pin(request, directory, now)
        return None

    def _pin(self, request: Request, directory: Directory, now: float) -> None:
        request.pin = Pin(
            account=request.account,
            service=request.service.name,
            version=request.plan[-1],
            generation=directory.configuration.generation,
            expires_at=now + self._wall_offset_s + SESSION_LIFETIME_S,
        )

    def seal(self, request: Request) -> str | None:
        """Return the token that keeps the caller's session on its version."""
        pin = request.pin
        version = request.version
        if pin is None or version is None:
            return None
        if pin.version != version:
            pin = Pin(
                account=pin.account,
                service=pin.service,
                version=version,
                generation=pin.generation,
                expires_at=pin.expires_at,
            )
        return self._keys.seal(pin)

    def judge(
        self, request: Request, answer: Answered, ended: AttemptEnded, now: float
    ) -> Judgement:
        """Tell whether to deliver the answer or to try the next version."""
        version = request.version
        if version is None:
            return Judgement(accepted=True, effects=[])
        rule = request.service.rule
        following = None if request.is_last else request.plan[request.position + 1]
        expected_s = request.service.expect_latency(following) if following else 0.0
        accepted = rule.accept(
            key=request.id,
            call=request.arrived.call,
            versions=request.versions,
            version=version,
            after=request.turned_down,
            signal=answer.signal,
            is_last=request.is_last,
            remaining_s=request.deadline_at - now,
            expected_next_s=expected_s,
            now=now,
        )
        attempt = Attempt(
            key=request.id,
            call=request.arrived.call,
            version=version,
            after=request.turned_down,
            signal=answer.signal,
            tokens=answer.completion_tokens,
            served=accepted,
        )
        effects: Effects = []
        if rule.wants_rating(attempt, now=now):
            effects.append(
                SubmitRating(
                    request_id=request.id,
                    service=request.service.name,
                    call=request.arrived.call,
                    version=version,
                    prompt=request.arrived.prompt,
                )
            )
        return Judgement(accepted=accepted, effects=effects)

    def learn(self, service: ServiceState, rating: Rating, now: float) -> None:
        """Take in one rating."""
        service.rule.learn(rating, now=now)


def _explain_no_version(request: Request) -> Problem:
    return Problem(
        kind=Kind.NO_VERSION,
        detail=f"account '{request.account}' may use no version that is offered now",
        remedy="ask the operator to allow or offer a version",
        ran=Ran.NO,
        request_id=request.id,
    )
