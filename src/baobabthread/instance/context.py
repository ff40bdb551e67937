"""State of a request while it is processed, and the interface to its caller."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec

from baobabthread.instance.clock import now
from baobabthread.instance.heldbytes import HeldBytes, make_unbounded
from baobabthread.instance.servers.dispatchrequests import Assignment, Refusal
from baobabthread.instance.servers.places import Place
from baobabthread.instance.servers.sendpermits import SendPermit
from baobabthread.instance.wire import RawHeaders
from baobabthread.routing.budget import RetryBudget
from baobabthread.routing.canary import CanaryAnalysis
from baobabthread.routing.configuration import Account, Route
from baobabthread.routing.exposure import ExposureBudget
from baobabthread.routing.fingerprints import fingerprint, fingerprint_parts
from baobabthread.routing.reasons import VersionReason
from baobabthread.routing.regions import find_allowed_regions
from baobabthread.routing.table import Envelope
from baobabthread.routing.transit import Transit


class Reply(Protocol):
    """Reply to one caller."""

    @property
    def has_begun(self) -> bool:
        """Return whether the head of a response was sent to the caller."""

    async def reject(
        self,
        status: int,
        kind: str,
        retry_after_s: float | None,
        detail: str | None = None,
    ) -> None:
        """Send an error response of the instance itself."""

    async def respond(
        self, status: int, headers: Sequence[tuple[str, str]], body: bytes
    ) -> None:
        """Send a whole response."""

    async def begin(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Send the head of a stream."""

    async def write(self, data: bytes) -> None:
        """Send whole events of a stream."""

    async def finish(self) -> None:
        """Complete a stream."""

    def abort(self) -> None:
        """Close the connection so that the response appears truncated."""


class CallerRequest(msgspec.Struct, kw_only=True):
    """A request as received from a caller."""

    method: str
    target: str
    """Path and query as received."""
    host: str
    headers: RawHeaders
    body: bytes
    envelope: Envelope
    arrived_at: float
    held: HeldBytes = msgspec.field(default_factory=make_unbounded)
    """Memory held for it and for its response."""

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition("?")[0]


class AdmittedAtStop(msgspec.Struct, frozen=True, kw_only=True):
    """Why a stopping instance admitted a request; all times in milliseconds."""

    until_end_ms: int
    usual_ms: int
    """Expected time to complete the response."""
    longest_ms: int
    """Expected time to complete the longest possible response."""


class RequestContext:
    """A request and the decisions made about it so far."""

    __slots__ = (
        "_fingerprint",
        "_parts",
        "account",
        "admitted_at_stop",
        "allowed_regions",
        "assignment",
        "attempts",
        "confidence",
        "deadline",
        "decided_under",
        "denied_by",
        "excluded",
        "exposure",
        "has_reserved_exposure",
        "has_waited",
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
        "permit",
        "place",
        "reason",
        "refusal",
        "relay",
        "reply",
        "request",
        "retry_charge",
        "route",
        "runs",
        "service",
        "session",
        "session_on_new_version",
        "started_at",
        "timeline",
        "trial",
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
        """Regions in which it must be served; None for any."""
        self.session = request.envelope.session or request.envelope.request_id
        self.is_sessionless = request.envelope.session is None
        """Whether it belongs to no session, so that any version may run it."""
        self.started_at = request.arrived_at
        self.attempts = 0
        """Number of attempts made, including those that were rejected or never sent."""
        self.runs = 0
        """Number of attempts that may have run."""
        self.retry_charge: Transit | None = None
        """Charge for the next attempt, until that attempt takes it over."""
        self.permit: SendPermit | None = None
        """Permission to send the next attempt to a limited server, until it begins."""
        self.place: Place | None = None
        """Place at a brittle server for the next attempt, until it begins."""
        self.assignment: Assignment | None = None
        """Assigned server of the next attempt, until it begins."""
        self.has_waited = False
        """Whether it has waited for the server of the next attempt."""
        self.refusal: Refusal | None = None
        """The owner's word that no server can serve it in time."""
        self.denied_by: str | None = None
        """Incarnation of the server whose limit or room denied the next attempt."""
        self.lost_connections = 0
        """Number of attempts whose connection ended before the response."""
        self.excluded: set[str] = set()
        self.is_canary = False
        """Whether the attempt uses a canary version."""
        self.non_canaries: frozenset[str] = frozenset()
        """Backend servers that run a canary version but aren't canaries."""
        self.model: int | None = None
        """Index of the model to use; None if the caller chooses or none applies."""
        self.on_new_version: bool | None = None
        """Whether it uses the new version of a roll-out; None if not decided yet."""
        self.exposure: ExposureBudget | None = None
        """Exposure budget of its service's canary version."""
        self.has_reserved_exposure = False
        """Whether an attempt that was not sent yet is reserved in the budget."""
        self.is_counted = False
        """Whether the exposure budget has counted it as a request."""
        self.version: str | None = None
        """Version that must run it; None for any."""
        self.version_reason = VersionReason.NO_ROLLOUT
        self.kept_tokens: int | None = None
        """Tokens of its prompt that the engine has cached; None if unknown."""
        self.may_use_new_version = True
        """Whether it may use the new version at all."""
        self.session_on_new_version = False
        self.decided_under: CanaryAnalysis | None = None
        """Analysis of the order under which the version was chosen."""
        """Whether its session is on the new version, as the session's owner decided."""
        self.may_use_non_canaries = False
        """Whether it may use any server of a canary version."""
        self.last_event = request.envelope.last_event
        """Id of the last event sent to the caller."""
        self.confidence: float | None = None
        """Confidence that the model of the last attempt states for its response."""
        self.head_s = 0.0
        """Seconds until the caller got the head of a response; 0 before that."""
        self.admitted_at_stop: AdmittedAtStop | None = None
        self.work_ms = 1
        self.relay = ""
        """Peer that carried the last attempt; empty if its path was direct."""
        self.reason = ""
        self.timeline: list[str] = []
        """Backend server and result of each attempt, for the log."""
        self.trial: str | None = None
        """Quarantined features that it puts on trial."""
        self._fingerprint: str | None = None
        self._parts: tuple[str, ...] | None = None

    def release_exposure(self) -> None:
        """Release the exposure reserved for an attempt that was not sent."""
        if self.has_reserved_exposure and self.exposure is not None:
            self.exposure.release()
        self.has_reserved_exposure = False

    def charge_retry(self, budget: RetryBudget) -> bool:
        """Charge the next attempt to a budget; return whether a retry was left."""
        self.retry_charge = budget.try_spend(now())
        return self.retry_charge is not None

    def take_retry_charge(self) -> Transit | None:
        """Return the charge for the attempt that begins; None for the first one."""
        charge, self.retry_charge = self.retry_charge, None
        return charge

    def take_permit(self) -> SendPermit | None:
        """Return the permission for the attempt that begins, if it needs one."""
        permit, self.permit = self.permit, None
        return permit

    def take_place(self) -> Place | None:
        """Return the place for the attempt that begins, if its server is brittle."""
        place, self.place = self.place, None
        return place

    def take_assignment(self) -> Assignment | None:
        """Return the assigned server of the attempt that begins."""
        assignment, self.assignment = self.assignment, None
        return assignment

    def settle_unsent(self) -> None:
        """Settle what was charged and granted for an attempt that was not made."""
        if self.retry_charge is not None:
            self.retry_charge.settle(now())
        if self.permit is not None:
            self.permit.settle(responded=False)
        if self.place is not None:
            self.place.end()
        if self.assignment is not None:
            self.assignment.drop()

    def record_sent(self) -> None:
        """Record that an attempt was sent."""
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
        """Name of the model to use."""
        return None if self.model is None else self.route.models[self.model]

    @property
    def fingerprint(self) -> str:
        """Fingerprint that it shares with retries of the same request."""
        if self._fingerprint is None:
            request = self.request
            self._fingerprint = fingerprint(
                account=self.account.name if self.account is not None else "",
                method=request.method,
                host=self.route.host,
                target=request.target,
                body=request.body,
                prompt=request.envelope.prompt_parts,
            )
        return self._fingerprint

    @property
    def parts(self) -> tuple[str, ...]:
        """Fingerprints of the parts of its prompt that other requests may share."""
        if self._parts is None:
            self._parts = fingerprint_parts(self.request.envelope.prompt_parts)
        return self._parts

    @property
    def features(self) -> tuple[str, ...]:
        """Fingerprints of all that may make it crash a backend server."""
        return (self.fingerprint, *self.parts)

    @property
    def has_attempts_left(self) -> bool:
        """Return whether its route allows another attempt."""
        return self.runs < self.route.max_attempts

    @property
    def priority(self) -> int:
        """Priority of the request; 0 is the highest."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def prefix(self) -> str | None:
        """Prompt prefix by which similar requests share a backend server."""
        return self.request.envelope.shared_part if self.route.has_prompts else None
