"""The records that operators and backend servers keep in the platform's store."""

from __future__ import annotations

import enum
import ipaddress

import msgspec

from baobabthread.errors import ConfigurationError
from baobabthread.instance.store import Append, Record
from baobabthread.routing.configuration import (
    Account,
    BackendRecord,
    Evacuation,
    ModelCost,
    RequestKind,
    RequestLimits,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
    Route,
    RoutingConfiguration,
    ServiceConfiguration,
    Target,
)
from baobabthread.routing.quarantine import QuarantineEntry

CONFIGURATION_KEY = "config"
ROLLOUT_PREFIX = "rollout/"
EVACUATION_PREFIX = "evacuate/"
QUARANTINE_PREFIX = "quarantine/"
MAX_PORT = 65_535
MS_PER_S = 1000.0

_REPEATABILITY_BY_KIND = {
    "idempotent": RequestKind.IDEMPOTENT,
    "streaming": RequestKind.STREAM,
}
_BACKEND_REMEDY = "let only backend servers write there; theirs has all fields"
_CONFIGURATION_REMEDY = (
    "publish a configuration in the form that the platform's pages give"
)


class _Split(msgspec.Struct, frozen=True, kw_only=True):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, frozen=True, kw_only=True):
    name: str = ""
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    slo_ms: float = 0.0
    priority: int = 5
    max_attempts: int = 1
    sizes: list[str] = []
    """Names of models, smallest first."""
    service: str | None = None
    backends: list[_Split] = []
    """Services, not backend servers."""
    public: bool = False
    sticky: bool = False
    """Whether requests name the parts of their prompt."""
    resumable: bool = False
    gap_target_ms: float = 0.0
    allowed_regions: list[str] = []


class _Model(msgspec.Struct, frozen=True, kw_only=True):
    name: str
    cost: float = 0.0


class _Engine(msgspec.Struct, frozen=True, kw_only=True):
    slots: int = 0
    kv_capacity_tokens: int = 0
    """Memory for running requests and kept parts together."""
    models: list[_Model] = []


class _Service(msgspec.Struct, frozen=True, kw_only=True):
    name: str
    max_conns: int = 0
    engine: _Engine | None = None
    cold_s: float = 0.0
    cold_per_s: float = 0.0


class _Limits(msgspec.Struct, frozen=True, kw_only=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    idle_timeout_ms: float = 15_000


class _Tenant(msgspec.Struct, frozen=True, kw_only=True):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    allowed_regions: list[str] = []


class _Configuration(msgspec.Struct, frozen=True, kw_only=True):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = _Limits()
    tenants: list[_Tenant] = []


class _ServerState(enum.StrEnum):
    READY = "ready"
    DRAINING = "draining"


class _Server(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what a backend server writes; whatever lacks a field is not from one."""

    service: str
    address: str
    zone: str
    version: str
    slots: int
    """Requests that it runs at once."""
    state: _ServerState
    born: int = 0
    """Unix millisecond of its start; deployments whose servers never return under
    their id leave it out."""
    cold_left_ms: float | str | None = None
    """Text or nothing, which no server writes, costs it only what it says of this."""


class _Order(msgspec.Struct, frozen=True, kw_only=True):
    service: str
    target: str
    """A version."""
    deadline_s: float
    """Time limit of the whole move, from the order."""


class _Status(msgspec.Struct, frozen=True, kw_only=True):
    service: str
    target: str
    state: RolloutState
    number: int = 0
    elapsed_s: float = 0.0


class _Quarantined(msgspec.Struct, frozen=True, kw_only=True):
    service: str
    times: int
    until_ms: float
    """Unix millisecond."""
    cleared: bool = False
    versions: tuple[str, ...] = ()


class PlatformRecordFormat:
    """Name the platform's topics and decode what stands in them."""

    __slots__ = ()

    operators_topic = "keyed.op"
    backends_topic = "keyed.servers"
    status_topic = "keyed.status"

    def decode_operator_record(
        self, record: Record
    ) -> RoutingConfiguration | RolloutOrder | Evacuation | None:
        """Decode what operators wrote; nothing for keys of no interest."""
        if record.key.startswith(EVACUATION_PREFIX):
            return Evacuation(
                number=record.offset,
                failure_domain=record.key.removeprefix(EVACUATION_PREFIX),
                is_on=bool(record.value),
            )
        if not record.value:
            return None
        if record.key == CONFIGURATION_KEY:
            return decode_configuration(record.value)
        if record.key.startswith(ROLLOUT_PREFIX):
            return decode_rollout_order(record.offset, record.value)
        return None

    def decode_backend(self, record: Record) -> BackendRecord:
        """Decode the record of one start of a backend server."""
        return decode_backend(record.key, record.value)

    def decode_status(self, record: Record) -> RolloutStatus | None:
        """Decode how far a roll-out has come."""
        if not record.key.startswith(ROLLOUT_PREFIX):
            return None
        return decode_status(record.value)

    def encode_status(self, status: RolloutStatus, expected_end: int) -> Append:
        """Return the record that says how far a roll-out has come."""
        return Append(
            topic=self.status_topic,
            key=f"{ROLLOUT_PREFIX}{status.service}",
            value=encode_status(status),
            expected_end=expected_end,
        )

    def decode_quarantined(
        self, record: Record, *, unix_now: float
    ) -> QuarantineEntry | None:
        """Decode a request that is held; nothing for other records there."""
        if not record.key.startswith(QUARANTINE_PREFIX) or not record.value:
            return None
        found = msgspec.json.decode(record.value, type=_Quarantined)
        return QuarantineEntry(
            fingerprint=record.key.removeprefix(QUARANTINE_PREFIX),
            service=found.service,
            times=found.times,
            left_s=found.until_ms / MS_PER_S - unix_now,
            is_cleared=found.cleared,
            versions=found.versions,
        )

    def encode_quarantined(
        self, entry: QuarantineEntry, expected_end: int, *, unix_now: float
    ) -> Append:
        """Return the record of a request that is held."""
        record = _Quarantined(
            service=entry.service,
            times=entry.times,
            until_ms=round((unix_now + entry.left_s) * MS_PER_S),
            cleared=entry.is_cleared,
            versions=entry.versions,
        )
        return msgspec.structs.replace(
            self.encode_release(entry.fingerprint, expected_end),
            value=msgspec.json.encode(record),
        )

    def encode_release(self, fingerprint: str, expected_end: int) -> Append:
        """Return the record that removes a request that is held no more."""
        return Append(
            topic=self.status_topic,
            key=f"{QUARANTINE_PREFIX}{fingerprint}",
            value=b"",
            expected_end=expected_end,
        )


def decode_configuration(value: bytes) -> RoutingConfiguration:
    """Decode a configuration.

    Raises `ConfigurationError` where it can't be understood.
    """
    try:
        found = msgspec.json.decode(value, type=_Configuration)
    except msgspec.MsgspecError as error:
        raise ConfigurationError(
            str(error), field=CONFIGURATION_KEY, remedy=_CONFIGURATION_REMEDY
        ) from error
    return RoutingConfiguration(
        version=found.version,
        routes=tuple(_translate_route(route) for route in found.routes),
        services=tuple(_translate_service(service) for service in found.services),
        limits=RequestLimits(
            max_header_bytes=found.limits.max_header_bytes,
            max_body_bytes=found.limits.max_body_bytes,
            idle_timeout_s=found.limits.idle_timeout_ms / MS_PER_S,
        ),
        accounts=tuple(
            Account(
                name=t.name,
                keys=tuple(t.api_keys),
                priority=t.priority,
                allowed_regions=tuple(t.allowed_regions),
            )
            for t in found.tenants
        ),
    )


def _translate_route(route: _Route) -> Route:
    targets = tuple(
        Target(service=split.service, weight=split.weight) for split in route.backends
    )
    if not targets and route.service is not None:
        targets = (Target(service=route.service),)
    return Route(
        name=route.name or f"{route.host}{route.path_prefix}",
        host=route.host,
        path_prefix=route.path_prefix,
        # A kind that this side doesn't know must not run twice.
        kind=_REPEATABILITY_BY_KIND.get(route.kind, RequestKind.NON_IDEMPOTENT),
        targets=targets,
        timeout_s=route.timeout_ms / MS_PER_S,
        objective_s=(route.slo_ms or route.timeout_ms) / MS_PER_S,
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        models=tuple(route.sizes),
        public=route.public,
        has_prompts=route.sticky,
        resumable=route.resumable,
        max_event_gap_s=route.gap_target_ms / MS_PER_S,
        allowed_regions=tuple(route.allowed_regions),
    )


def _translate_service(service: _Service) -> ServiceConfiguration:
    engine = service.engine or _Engine()
    return ServiceConfiguration(
        name=service.name,
        max_connections=service.max_conns,
        capacity=engine.slots,
        memory_tokens=engine.kv_capacity_tokens,
        models=tuple(ModelCost(name=m.name, cost=m.cost) for m in engine.models),
        warmup_s=service.cold_s,
        warmup_rate=service.cold_per_s,
    )


def decode_backend(id: str, value: bytes) -> BackendRecord:
    """Decode the record of one start of a backend server.

    Raises `ConfigurationError` where it names no backend server that could be used.
    """
    try:
        found = msgspec.json.decode(value, type=_Server)
        _check_address(found.address)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise ConfigurationError(
            str(error), field=id, remedy=_BACKEND_REMEDY
        ) from error
    return BackendRecord(
        id=id,
        service=found.service,
        address=found.address,
        failure_domain=found.zone,
        version=found.version,
        capacity=max(1, found.slots),
        leaving=found.state is _ServerState.DRAINING,
        started_ms=max(0, found.born),
        warmup_left_s=_parse_cold_left_s(found.cold_left_ms),
    )


def _parse_cold_left_s(left_ms: float | str | None) -> float:
    return left_ms / MS_PER_S if isinstance(left_ms, float) else 0.0


def _check_address(address: str) -> None:
    """Raise `ValueError` unless this is an IP address and a port."""
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host)
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{port!r} is no port")


def decode_rollout_order(number: int, value: bytes) -> RolloutOrder:
    """Decode an order to move a service to another version."""
    found = msgspec.json.decode(value, type=_Order)
    return RolloutOrder(
        number=number,
        service=found.service,
        target=found.target,
        time_limit_s=found.deadline_s,
    )


def encode_status(status: RolloutStatus) -> bytes:
    """Encode how far a roll-out has come."""
    return msgspec.json.encode(
        _Status(
            service=status.service,
            target=status.target,
            state=status.state,
            number=status.number,
            elapsed_s=round(status.elapsed_s, 2),
        )
    )


def decode_status(value: bytes) -> RolloutStatus:
    """Decode how far a roll-out has come."""
    found = msgspec.json.decode(value, type=_Status)
    return RolloutStatus(
        service=found.service,
        target=found.target,
        state=found.state,
        number=found.number,
        elapsed_s=found.elapsed_s,
    )
