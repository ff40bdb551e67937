"""What operators have in force: routes, services, client accounts, bounds."""

from __future__ import annotations

import enum

import msgspec

ANY_MODEL = "*"
"""What callers send as the model where this side is to choose one."""


class RequestKind(enum.StrEnum):
    """Tell how often a request may run."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"
    """An answer of events; resumable only where its route says so."""


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """Name a service that serves a route, and its part of the requests."""

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the requests of one host below one path prefix."""

    name: str
    host: str
    path_prefix: str
    """Begins and ends with a slash."""
    kind: RequestKind = msgspec.field(name="repeatability")
    targets: tuple[Target, ...]
    timeout_s: float
    """Longest time until the final answer."""
    objective_s: float
    """Time within which an answer has its full worth; for streams, its first event."""
    priority: int
    """Rank among requests, 0 first."""
    max_attempts: int
    models: tuple[str, ...] = ()
    """Models that may answer, smallest first; empty where the service has no choice."""
    public: bool = False
    """Whether requests need no key of a client account."""
    has_prompts: bool = False
    """Whether requests name the parts of their prompt, so that caches matter."""
    resumable: bool = False
    max_event_gap_s: float = msgspec.field(default=0.0, name="pause_s")
    """Longest pause between events for an answer that is still in time."""
    allowed_regions: tuple[str, ...] = msgspec.field(default=(), name="homes")
    """Areas that its requests must not leave; empty where any will do."""

    @property
    def may_retry(self) -> bool:
        """Tell whether a request may run again after it may have run."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT

    @property
    def is_stream(self) -> bool:
        """Tell whether answers are streams of events."""
        return self.kind is RequestKind.STREAM


class ModelCost(msgspec.Struct, frozen=True, kw_only=True):
    """Name a model of an engine and the price of 1,000 generated tokens."""

    name: str
    cost: float


class ServiceConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a service as operators configured it."""

    name: str
    max_connections: int
    """Connections that one backend server takes from all callers together."""
    capacity: int = 0
    """Requests that one engine runs at once; 0 where only its record tells."""
    memory_tokens: int = 0
    """Tokens that one engine holds, running and kept ones; 0 where nothing tells."""
    models: tuple[ModelCost, ...] = ()
    warmup_s: float = msgspec.field(default=0.0, name="cold_s")
    """Time for which one of its backend servers is cold after a start."""
    warmup_rate: float = msgspec.field(default=0.0, name="cold_rate")
    """Requests a second that a cold one bears; 0 where it makes no difference."""


class RequestLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Bound what a caller may send and how long a connection may be idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    idle_timeout_s: float = 15.0


class Account(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a client account."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    """Rank of its requests, before that of the route."""
    allowed_regions: tuple[str, ...] = msgspec.field(default=(), name="homes")
    """Areas that its requests must not leave; empty where any will do."""


class RoutingConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one accepted configuration in full."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceConfiguration, ...]
    limits: RequestLimits = RequestLimits()
    accounts: tuple[Account, ...] = ()


class BackendRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one start of a backend server."""

    id: str
    service: str
    address: str
    failure_domain: str
    version: str
    capacity: int
    leaving: bool = False
    started_ms: int = 0
    """Unix millisecond of its start; 0 where it tells none and its id is enough."""
    warmup_left_s: float = msgspec.field(default=0.0, name="cold_left_s")
    """How much longer it is cold, from the moment at which this was told."""

    @property
    def incarnation(self) -> str:
        """Name this start of it: a server that starts again under its id is another."""
        return f"{self.id}@{self.started_ms}" if self.started_ms else self.id


class Evacuation(msgspec.Struct, frozen=True, kw_only=True):
    """Ask that a failure domain's backend servers get nothing more, or take it back."""

    number: int
    """Position in the operators' log; a later word replaces an earlier one."""
    failure_domain: str
    is_on: bool


class RolloutOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Ask for a service's traffic to move to another version."""

    number: int
    """Position in the operators' log; a later order replaces an earlier one."""
    service: str
    target: str
    time_limit_s: float


class RolloutState(enum.StrEnum):
    """Order the life of a roll-out."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    REVERTED = "reverted"


class RolloutStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Report how far a roll-out has come."""

    service: str
    target: str
    state: RolloutState
    number: int = 0
    """The order that it is about."""
    elapsed_s: float = 0.0
    """Time since the order when this was written."""
