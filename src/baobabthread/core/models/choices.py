"""Which versions answer a request: sessions, cascade, what an answer is worth."""

from __future__ import annotations

import msgspec

from baobabthread.core.configuration.directory import Directory
from baobabthread.core.events import Answered, AttemptEnded, SubmitRating
from baobabthread.core.messages import Effects
from baobabthread.core.models.selection import choose_versions
from baobabthread.core.problems import explain_no_account, explain_no_version
from baobabthread.core.requests.attempts import Attempt, Offer, Rating
from baobabthread.core.requests.request import Request
from baobabthread.core.rollouts.conductors import Conductors
from baobabthread.core.rollouts.detectors import Observation
from baobabthread.core.services import ServiceState
from baobabthread.core.sessions.named import NamedSessions
from baobabthread.core.sessions.tokens import Pin, SessionKeyRing
from baobabthread.errors import Problem

SESSION_LIFETIME_S = 24 * 3600.0


class Judgement(msgspec.Struct, frozen=True, kw_only=True):
    """Tell what an answer is worth and what to do about it."""

    accepted: bool
    effects: Effects


class Choices:
    """Plan the versions of a request and judge their answers."""

    __slots__ = ("_conductors", "_keys", "_named", "_wall_offset_s")

    def __init__(
        self,
        *,
        keys: SessionKeyRing,
        wall_offset_s: float,
        conductors: Conductors,
        named: NamedSessions,
    ) -> None:
        """Take the unix time at monotonic zero."""
        self._keys = keys
        self._wall_offset_s = wall_offset_s
        self._conductors = conductors
        self._named = named

    def choose(
        self, request: Request, directory: Directory, now: float
    ) -> Problem | None:
        """Plan the versions to try, or return why there is none."""
        service = request.service.name
        call = request.arrived.call
        account = directory.configuration.accounts.get(request.account)
        if account is None or service not in account.services:
            return explain_no_account(request)
        allowed = account.versions
        if request.keep_plan:
            if allowed and request.arrived.service not in allowed:
                return explain_no_version(request)
            allowed = [request.arrived.service]
        pin = self._find_pin(request, now)
        versions = choose_versions(
            self._conductors.get_selection(service),
            call=call,
            allowed=allowed,
            key=request.arrived.session_name or request.id,
            pinned=pin.version if pin is not None else None,
        )
        if not versions:
            return explain_no_version(request)
        request.versions = tuple(versions)
        request.position = 0
        if pin is not None and versions == [pin.version]:
            request.plan = versions
        else:
            request.moved = pin is not None
            request.plan = request.service.rule.plan(
                key=request.id, call=call, versions=request.versions, now=now
            )
        request.sealed = None
        if pin is not None and self._lasts(pin, now) and request.arrived.session:
            request.sealed = request.arrived.session
            request.sealed_for = pin.version
        request.pin = Pin(
            account=request.account,
            service=service,
            version=request.plan[0],
            generation=directory.configuration.generation,
            expires_at=now + self._wall_offset_s + SESSION_LIFETIME_S,
        )
        return None

    def _lasts(self, pin: Pin, now: float) -> bool:
        """Tell whether a session has enough time left to keep its token."""
        left_s = pin.expires_at - now - self._wall_offset_s
        return left_s > SESSION_LIFETIME_S / 2

    def is_in_use(self, request: Request, directory: Directory) -> bool:
        """Tell whether the planned version may still get this account's request."""
        if request.version is None:
            return True
        account = directory.configuration.accounts.get(request.account)
        if account is None or request.service.name not in account.services:
            return False
        if account.versions and request.version not in account.versions:
            return False
        return choose_versions(
            self._conductors.get_selection(request.service.name),
            call=request.arrived.call,
            allowed=[request.version],
            key=request.id,
            pinned=request.version,
        ) == [request.version]

    def _find_pin(self, request: Request, now: float) -> Pin | None:
        if request.arrived.session:
            return self._open_session(request, now)
        if request.arrived.session_name:
            return self._named.find(request, now + self._wall_offset_s)
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

    def seal(self, request: Request) -> str | None:
        """Return the token that keeps the caller's session on its version."""
        pin = request.pin
        version = request.version
        if pin is None or version is None:
            return None
        if request.sealed is not None and request.sealed_for == version:
            return request.sealed
        if pin.version != version:
            pin = Pin(
                account=pin.account,
                service=pin.service,
                version=version,
                generation=pin.generation,
                expires_at=pin.expires_at,
            )
        request.sealed = self._keys.seal(pin)
        request.sealed_for = version
        return request.sealed

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
            Offer(
                key=request.id,
                call=request.arrived.call,
                versions=request.versions,
                version=version,
                after=request.turned_down,
                signal=answer.signal,
                is_last=request.is_last,
                remaining_s=request.deadline_at - now,
                expected_next_s=expected_s,
            )
        )
        self._observe(request, ended, now)
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
        least_share = self._conductors.get_detector(request.service.name).rating_share(
            version, request.arrived.call
        )
        if rule.wants_rating(attempt, now=now, least_share=least_share):
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

    def _observe(self, request: Request, ended: AttemptEnded, now: float) -> None:
        assert request.version is not None
        self._conductors.observe(
            request.service.name,
            Observation(
                version=request.version,
                call=request.arrived.call,
                after=request.turned_down,
                error=False,
                latency_s=ended.first_token_s,
            ),
            now,
        )

    def observe_failure(self, request: Request, now: float) -> None:
        """Count an attempt that brought no whole answer against its version."""
        if request.version is None:
            return
        self._conductors.observe(
            request.service.name,
            Observation(
                version=request.version,
                call=request.arrived.call,
                after=request.turned_down,
                error=True,
            ),
            now,
        )

    def learn(self, service: ServiceState, rating: Rating, now: float) -> None:
        """Take in one rating; only the entry that asked for it counts it."""
        if not service.rule.learn(rating, now=now):
            return
        observation = Observation(
            version=rating.version, call=rating.call, good=rating.good
        )
        self._conductors.observe(service.name, observation, now)
