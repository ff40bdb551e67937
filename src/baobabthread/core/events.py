"""Typed events and effects of a request's path through one entry."""

from __future__ import annotations

import msgspec

from baobabthread.core.claims.keys import ClaimKey
from baobabthread.core.configuration.configuration import Priority
from baobabthread.core.messages import LogRecord
from baobabthread.errors import Problem


class RequestArrived(msgspec.Struct, kw_only=True):
    """Report one request of a caller, parsed but not yet checked."""

    request_id: str
    service: str
    """Service, or for model calls the service or version that the body names."""
    call: str
    is_model: bool
    key_sha256: str
    body: bytes
    deadline_s: float | None = None
    priority: Priority | None = None
    idempotency_key: str | None = None
    session: str | None = None
    session_name: str | None = None
    stream: bool = False
    prompt: str = ""
    prefix: str = ""
    """The first message, by which prefix caches are shared."""
    max_tokens: int = 0
    forwarded: bool = False


class CallerGone(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the caller closed its connection."""

    request_id: str


class Answered(msgspec.Struct, frozen=True, kw_only=True, tag="answered"):
    """Report a whole answer of one attempt."""

    signal: float | None = None
    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0
    text: str = ""


class Refused(msgspec.Struct, frozen=True, kw_only=True, tag="refused"):
    """Report that a backend server refused an attempt without running it."""

    kind: str
    retry_after_s: float | None = None


class Broken(msgspec.Struct, frozen=True, kw_only=True, tag="broken"):
    """Report an attempt without a whole answer."""

    sent: bool
    """Whether a byte of the request may have reached the backend server."""
    delivered_tokens: int = 0
    """How many tokens the caller already holds; the answer resumes after them."""
    reason: str = ""


AttemptOutcome = Answered | Refused | Broken


class AttemptEnded(msgspec.Struct, frozen=True, kw_only=True):
    """Report the end of one attempt at a backend server."""

    request_id: str
    backend: str
    outcome: AttemptOutcome
    latency_s: float
    first_token_s: float | None = None


class Dispatch(msgspec.Struct, frozen=True, kw_only=True):
    """Ask the shell to send the request to a backend server."""

    request_id: str
    backend: str
    address: str
    backend_request_id: str
    version: str | None
    call: str
    relay: bool
    """Stream to the caller at once; else hold the answer until it is accepted."""
    timeout_s: float
    priority: int = 5
    resume_from: int = 0
    delay_s: float = 0.0
    """Wait this long first (jittered backoff of a retry)."""
    session: str | None = None
    moved: bool = False


class Deliver(msgspec.Struct, frozen=True, kw_only=True):
    """Ask the shell to give the last attempt's answer to the caller."""

    request_id: str
    version: str | None
    session: str | None
    moved: bool = False
    """Whether the session had to leave its version."""
    claim: ClaimKey | None = None
    """The key whose repeats are to get this answer."""


class Refuse(msgspec.Struct, frozen=True, kw_only=True):
    """Ask the shell to end the request with a problem."""

    request_id: str
    problem: Problem


class ForwardRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Ask the shell to pass the request to the entry that owns its key."""

    request_id: str
    to: str
    incarnation: str


class Replay(msgspec.Struct, frozen=True, kw_only=True):
    """Ask the shell to answer with a stored answer."""

    request_id: str
    body: bytes
    status: int
    version: str | None = None


class Cancel(msgspec.Struct, frozen=True, kw_only=True):
    """Ask the shell to stop the running attempt at its backend server."""

    request_id: str
    backend: str


class SubmitRating(msgspec.Struct, frozen=True, kw_only=True):
    """Ask the shell to have the last attempt's answer rated."""

    request_id: str
    service: str
    call: str
    version: str
    prompt: str


class LoadReported(msgspec.Struct, frozen=True, kw_only=True):
    """Report what a backend server says of its load."""

    backend: str
    running: int
    waiting: int
    capacity: int
    versions: list[str]
    tokens_per_s: float = 0.0


class OrderEnded(msgspec.Struct, frozen=True, kw_only=True):
    """Report how an order to an engine ended."""

    backend: str
    fence: int
    stale: bool
    """Whether the engine refused it for its fencing number."""


class ListedInstance(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one instance of the platform's list."""

    name: str
    address: str
    leaving: bool


class RosterRead(msgspec.Struct, frozen=True, kw_only=True):
    """Report the platform's list of instances."""

    entries: list[ListedInstance]
    backends: list[ListedInstance]


class Rated(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the verdict on one answer."""

    request_id: str
    service: str
    call: str
    version: str
    good: bool


class RatingsRead(msgspec.Struct, frozen=True, kw_only=True):
    """Report ratings of answers given some time ago."""

    ratings: list[Rated]


class PublishRequested(msgspec.Struct, frozen=True, kw_only=True):
    """Report an operator's new text for a section."""

    id: str
    section: str
    base: int
    text: str
    operator: str


class PublishEnded(msgspec.Struct, frozen=True, kw_only=True):
    """Tell the operator what became of the text."""

    id: str
    generation: int = 0
    problem: Problem | None = None


class RecordsRelayed(msgspec.Struct, frozen=True, kw_only=True):
    """Report records of the configuration stream that a peer relayed."""

    records: list[LogRecord]
    head: int


class Tick(msgspec.Struct, frozen=True):
    """Report that time has passed."""
