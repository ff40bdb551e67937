"""One caller's request while it is handled, and the port to its caller."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec

from baobabthread.instance.wire import RawHeaders
from baobabthread.routing.configuration import Account, Route
from baobabthread.routing.exposure import ExposureBudget
from baobabthread.routing.fingerprints import fingerprint
from baobabthread.routing.reasons import VersionReason
from baobabthread.routing.regions import find_allowed_regions
from baobabthread.routing.table import Envelope


class Reply(Protocol):
    """Answer one caller."""

    @property
    def has_begun(self) -> bool:
        """Tell whether the caller has the head of an answer."""

    async def reject(
        self,
        status: int,
        kind: str,
        retry_after_s: float | None,
        detail: str | None = None,
    ) -> None:
        """End with an answer of this side's own."""

    async def respond(
        self, status: int, headers: Sequence[tuple[str, str]], body: bytes
    ) -> None:
        """Pass on a whole answer."""

    async def begin(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Pass on the head of a stream."""

    async def write(self, data: bytes) -> None:
        """Pass on whole events."""

    async def finish(self) -> None:
        """End a stream as complete."""

    def abort(self) -> None:
        """Close the connection so that nothing looks complete."""


class CallerRequest(msgspec.Struct, kw_only=True):
    """Hold a request as it was read."""

    method: str
    target: str
    """Path and query as they came."""
    host: str
    headers: RawHeaders
    body: bytes
    envelope: Envelope
    arrived_at: float

    @property
    def path(self) -> str:
        """Give the path without the query."""
        return self.target.partition("?")[0]


class AdmittedAtStop(msgspec.Struct, frozen=True, kw_only=True):
    """Hold why a request was taken by an instance that was told to stop."""

    until_end_ms: int
    usual_ms: int
    """Time that the answer was expected to take."""
    longest_ms: int
    """Time that it was expected to take at most."""


class RequestContext:
    """Hold what was decided about a request so far."""

    __slots__ = (
        "_fingerprint",
        "account",
        "admitted_at_stop",
        "allowed_regions",
        "attempts",
        "confidence",
        "deadline",
        "excluded",
        "exposure",
        "has_reserved_exposure",
        "head_s",
        "is_canary",
        "is_counted",
        "is_sessionless",
        "kept_tokens",
        "last_event",
        "lost_connections",
        "may_use_new_version",
        "may_use_non_canaries",
        "model",
        "non_canaries",
        "on_new_version",
        "reason",
        "reply",
        "request",
        "route",
        "runs",
        "service",
        "session",
        "session_on_new_version",
        "started_at",
        "timeline",
        "version",
        "version_reason",
        "work_ms",
    )

    def __init__(
        self,
        *,
        request: CallerRequest,
        reply: Reply,
        route: Route,
        account: Account | None,
        service: str,
        deadline: float,
    ) -> None:
        self.request = request
        self.reply = reply
        self.route = route
        self.account = account
        self.service = service
        self.deadline = deadline
        self.allowed_regions = find_allowed_regions(route, account)
        """Areas that it must not leave; None where any will do."""
        self.session = request.envelope.session or request.envelope.request_id
        self.is_sessionless = request.envelope.session is None
        """Whether it belongs to no session, so that any version may answer it."""
        self.started_at = request.arrived_at
        self.attempts = 0
        """Backend servers that it was offered to."""
        self.runs = 0
        """Attempts of which it isn't known that they did not run."""
        self.lost_connections = 0
        """Attempts whose connection ended before the answer."""
        self.excluded: set[str] = set()
        self.is_canary = False
        """Whether the attempt goes to a version on trial."""
        self.non_canaries: frozenset[str] = frozenset()
        """Backend servers of a version on trial that take no part in it."""
        self.model: int | None = None
        """Index of the model to ask; None where the caller or nobody chooses."""
        self.on_new_version: bool | None = None
        """Whether it goes to the new version of a roll-out."""
        self.exposure: ExposureBudget | None = None
        """What its service's version on trial may get."""
        self.has_reserved_exposure = False
        """Whether an attempt at that version is taken out of it and not sent yet."""
        self.is_counted = False
        """Whether it reached a backend server of its service."""
        self.version: str | None = None
        """The version that must run it; None for any."""
        self.version_reason = VersionReason.NO_ROLLOUT
        self.kept_tokens: int | None = None
        """Tokens of its prompt that the engine keeps; None where nobody knows."""
        self.may_use_new_version = True
        """Whether it may go to the new version at all."""
        self.session_on_new_version = False
        """Whether its session is on the new version, by whoever decides on it."""
        self.may_use_non_canaries = False
        """Whether any server of a version on trial may take it."""
        self.last_event = request.envelope.last_event
        """The last event that the caller has."""
        self.confidence: float | None = None
        """What the model of the last attempt says of its answer."""
        self.head_s = 0.0
        """Time until the caller got the head of an answer; 0 before it did."""
        self.admitted_at_stop: AdmittedAtStop | None = None
        self.work_ms = 1
        self.reason = ""
        self.timeline: list[str] = []
        """Backend servers and how each attempt ended, for the log."""
        self._fingerprint: str | None = None

    def release_exposure(self) -> None:
        """Give back what an attempt that was not sent has taken."""
        if self.has_reserved_exposure and self.exposure is not None:
            self.exposure.release()
        self.has_reserved_exposure = False

    def record_sent(self) -> None:
        """Count an attempt that was sent."""
        self.runs += 1
        if self.exposure is None:
            return
        self.exposure.count_attempt()
        if not self.is_counted:
            self.is_counted = True
            self.exposure.count_request()
        if self.has_reserved_exposure:
            self.has_reserved_exposure = False
            self.exposure.spend()

    @property
    def model_name(self) -> str | None:
        """Give the name of the model to ask."""
        return None if self.model is None else self.route.models[self.model]

    @property
    def fingerprint(self) -> str:
        """Give what it shares with other tries of the same request."""
        if self._fingerprint is None:
            request = self.request
            self._fingerprint = fingerprint(
                account=self.account.name if self.account is not None else "",
                method=request.method,
                host=self.route.host,
                target=request.target,
                body=request.body,
            )
        return self._fingerprint

    @property
    def has_attempts_left(self) -> bool:
        """Tell whether its route allows another run."""
        return self.runs < self.route.max_attempts

    @property
    def priority(self) -> int:
        """Give the rank of the request, 0 first."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def prefix(self) -> str | None:
        """Give the part of the prompt that should stay at one backend server."""
        return self.request.envelope.shared_part if self.route.has_prompts else None
