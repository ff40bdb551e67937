"""Configuration in force: routes, services, client accounts and limits."""

from __future__ import annotations

import enum

import msgspec

from baobabthread.core.positions import NO_ORDER, OperatorsPosition

ANY_MODEL = "*"
"""Model name by which callers leave the choice of the model to the router."""


class RequestKind(enum.StrEnum):
    """How often a request may run."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"
    """Response is an event stream; resumable only if its route says so."""


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """Service that serves a route, with its share of the requests."""

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Route for the requests to one host below one path prefix."""

    name: str
    host: str
    path_prefix: str
    """Begins and ends with a slash."""
    kind: RequestKind = msgspec.field(name="repeatability")
    targets: tuple[Target, ...]
    timeout_s: float
    """Longest time until the final response."""
    objective_s: float
    """Time within which a response has its full value; for streams, the first event."""
    priority: int
    """Priority of its requests, 0 is highest."""
    max_attempts: int
    models: tuple[str, ...] = ()
    """Models that may answer, smallest first; empty if the service has only one."""
    public: bool = False
    """Whether requests are accepted without the key of a client account."""
    has_prompts: bool = False
    """Whether requests name the parts of their prompt, for prompt cache affinity."""
    resumable: bool = False
    max_event_gap_s: float = msgspec.field(default=0.0, name="pause_s")
    """Longest gap between two events of a stream that still meets the objective."""
    allowed_regions: tuple[str, ...] = msgspec.field(default=(), name="homes")
    """Regions that its requests must not leave; empty for any region."""

    @property
    def may_retry(self) -> bool:
        """Whether a request may be retried after it may have run."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT

    @property
    def is_stream(self) -> bool:
        """Whether responses are event streams."""
        return self.kind is RequestKind.STREAM


class ModelCost(msgspec.Struct, frozen=True, kw_only=True):
    """Model of an engine, with the cost of 1,000 generated tokens."""

    name: str
    cost: float


class ServiceConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """Service as configured by operators."""

    name: str
    max_connections: int
    """Connections that one backend server accepts in total."""
    capacity: int = 0
    """Requests that one engine runs concurrently; 0 if only its record states it."""
    memory_tokens: int = 0
    """Tokens that one engine holds, both running and cached; 0 if unknown."""
    models: tuple[ModelCost, ...] = ()
    warmup_s: float = msgspec.field(default=0.0, name="cold_s")
    """Warm-up time of one of its backend servers after a start."""
    warmup_rate: float = msgspec.field(default=0.0, name="cold_rate")
    """Requests per second that a cold backend server can serve; 0 for no limit."""


class RequestLimits(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Limits on the sizes of requests, and on the time that callers may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


class Account(msgspec.Struct, frozen=True, kw_only=True):
    """Client account."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    """Priority of its requests; overrides that of the route."""
    allowed_regions: tuple[str, ...] = msgspec.field(default=(), name="homes")
    """Regions that its requests must not leave; empty for any region."""


class RoutingConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """One complete, accepted configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceConfiguration, ...]
    limits: RequestLimits = RequestLimits()
    accounts: tuple[Account, ...] = ()


class BackendRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Record of one start of a backend server."""

    id: str
    service: str
    address: str
    failure_domain: str
    version: str
    capacity: int
    leaving: bool = False
    started_ms: int = 0
    """Unix time of its start in milliseconds; 0 if not given and its id is unique."""
    warmup_left_s: float = msgspec.field(default=0.0, name="cold_left_s")
    """Remaining warm-up time, as of when the record was sent."""

    @property
    def incarnation(self) -> str:
        """Name of this start; a server that restarts under the same id has another."""
        return f"{self.id}@{self.started_ms}" if self.started_ms else self.id


class Evacuation(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Start or end of an evacuation.

    The backend servers of an evacuated failure domain get no new requests.
    """

    offset: int = msgspec.field(name="number")
    failure_domain: str
    is_on: bool
    era: int = 0

    @property
    def number(self) -> OperatorsPosition:
        """Position in the operators' log; a later record replaces an earlier one."""
        return OperatorsPosition(self.era, self.offset)


class RolloutOrder(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Order to move a service's traffic to another version."""

    offset: int = msgspec.field(name="number")
    service: str
    target: str
    time_limit_s: float
    era: int = 0
    written_offset: int = -1
    """Offset and era of its newest record; -1 if that is the first one."""
    written_era: int = 0

    @property
    def number(self) -> OperatorsPosition:
        """Position of its first record; a later order replaces an earlier one."""
        return OperatorsPosition(self.era, self.offset)

    @property
    def written_at(self) -> OperatorsPosition:
        """Position of its newest record: a store that lost it gets it again."""
        if self.written_offset < 0:
            return self.number
        return OperatorsPosition(self.written_era, self.written_offset)

    def renames(self, known: RolloutOrder) -> bool:
        """Return whether this is an order that was known by a number not below it."""
        has_same_content = (self.target, self.time_limit_s) == (
            known.target,
            known.time_limit_s,
        )
        return has_same_content and self.number <= known.number

    def is_meant_by(self, status: RolloutStatus) -> bool:
        """Return whether a status is of this order."""
        if status.target != self.target:
            return False
        number = status.number
        if number is None or number in (self.number, self.written_at):
            return True
        # It came with the order from a copy of the store, or from an earlier build.
        return number < self.written_at and number.is_copy(self.written_at)


class RolloutState(enum.StrEnum):
    """State of a roll-out."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    REVERTED = "reverted"


class RolloutStatus(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Progress of a roll-out."""

    service: str
    target: str
    state: RolloutState
    offset: int = msgspec.field(default=0, name="number")
    elapsed_s: float = 0.0
    """Time from the order until this status was written."""
    era: int = 0
    base: str | None = None
    """Version in force before the order, if known to the writer."""
    base_order: OperatorsPosition = NO_ORDER
    """Newest order that `base` takes account of."""

    @property
    def has_succeeded(self) -> bool:
        """Whether the version is in force."""
        return self.state is RolloutState.SUCCEEDED

    @property
    def number(self) -> OperatorsPosition | None:
        """Number of the order that started the roll-out; None if not given."""
        if not self.offset and not self.era:
            return None
        return OperatorsPosition(self.era, self.offset)
