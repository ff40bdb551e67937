"""Records of operators and backend servers in the platform's store."""

from __future__ import annotations

import enum

import msgspec

from baobabthread.core.positions import NO_ORDER, OperatorsPosition, Position
from baobabthread.instance.store import Append, Record
from baobabthread.platform.bounds import (
    MAX_MS,
    MS_PER_S,
    Amount,
    Count,
    Label,
    Milliseconds,
    Name,
    Number,
    Rank,
    Seconds,
    Slots,
    Text,
    UnixMilliseconds,
    Weight,
    check_address,
    check_id,
    clean_label,
    decode_bounded,
    reject_record,
)
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
_REQUEST_KINDS = {
    "idempotent": RequestKind.IDEMPOTENT,
    "streaming": RequestKind.STREAM,
}
_BACKEND_REMEDY = "let only backend servers write to this topic, with all fields"
_ORDER_REMEDY = "order a roll-out in the platform's documented format"
_STATUS_REMEDY = "let only instances write to this topic"
_CONFIGURATION_REMEDY = "publish a configuration in the platform's documented format"


class _Split(msgspec.Struct, frozen=True, kw_only=True):
    service: Name
    weight: Weight = 1.0


class _Route(msgspec.Struct, frozen=True, kw_only=True):
    name: Label = ""
    host: Text
    path_prefix: Text
    kind: Name
    timeout_ms: Milliseconds
    slo_ms: Milliseconds = 0.0
    priority: Rank = 5
    max_attempts: Rank = 1
    sizes: list[Name] = []
    """Model names, smallest model first."""
    service: Name | None = None
    backends: list[_Split] = []
    """Weighted services, not backend servers."""
    public: bool = False
    sticky: bool = False
    """Whether requests list the parts of their prompt."""
    resumable: bool = False
    gap_target_ms: Milliseconds = 0.0
    allowed_regions: list[Name] = []


class _Model(msgspec.Struct, frozen=True, kw_only=True):
    name: Name
    cost: Amount = 0.0


class _Engine(msgspec.Struct, frozen=True, kw_only=True):
    slots: Slots = 0
    kv_capacity_tokens: Count = 0
    """Memory shared by running requests and cached prompt parts."""
    models: list[_Model] = []


class _Service(msgspec.Struct, frozen=True, kw_only=True):
    name: Name
    max_conns: Count = 0
    engine: _Engine | None = None
    cold_s: Seconds = 0.0
    cold_per_s: Amount = 0.0


class _Limits(msgspec.Struct, frozen=True, kw_only=True):
    max_header_bytes: Count = 16_384
    max_body_bytes: Count = 4_194_304
    header_timeout_ms: Milliseconds = 5_000
    idle_timeout_ms: Milliseconds = 15_000


class _Tenant(msgspec.Struct, frozen=True, kw_only=True):
    name: Name
    api_keys: list[Text] = []
    priority: Rank | None = None
    allowed_regions: list[Name] = []


class _Configuration(msgspec.Struct, frozen=True, kw_only=True):
    version: Number
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = _Limits()
    tenants: list[_Tenant] = []


class _ServerState(enum.StrEnum):
    READY = "ready"
    DRAINING = "draining"


class _Server(msgspec.Struct, frozen=True, kw_only=True):
    """Record of a backend server; a record that lacks a field is another writer's."""

    service: Name
    address: Name
    zone: Name
    version: Name
    slots: Slots
    """Requests that it runs concurrently."""
    state: _ServerState
    born: Number = 0
    """Unix time of its start in milliseconds; omitted by deployments whose servers
    never restart under the same id."""
    cold_left_ms: float | str | None = None
    """Remaining warm-up time; text or null, which no server writes, is ignored without
    rejecting the record."""


class _Order(msgspec.Struct, frozen=True, kw_only=True):
    service: Name
    target: Name
    """Version to roll out."""
    deadline_s: Seconds
    """Time limit of the whole roll-out, counted from the order."""


class _Status(msgspec.Struct, frozen=True, kw_only=True):
    service: Name
    target: Name
    state: RolloutState
    number: Number = 0
    """Offset of the order in its era."""
    era: Number = 0
    elapsed_s: Amount = 0.0
    """Written again after a restore, it is the time since an order of years ago."""
    base: Name | None = None
    """Version in force before the order."""
    base_number: Number = NO_ORDER.offset
    """Offset of the newest order that `base` takes account of, in its era."""
    base_era: Number = 0


class _Quarantined(msgspec.Struct, frozen=True, kw_only=True):
    service: Name
    times: Count
    until_ms: UnixMilliseconds
    """Unix time in milliseconds."""
    cleared: bool = False
    versions: tuple[Name, ...] = ()
    tentative: bool = False


class PlatformRecordFormat:
    """The platform's `RecordFormat`."""

    __slots__ = ()

    operators_topic = "keyed.op"
    backends_topic = "keyed.servers"
    status_topic = "keyed.status"

    def decode_operator_record(
        self, record: Record
    ) -> RoutingConfiguration | RolloutOrder | Evacuation | None:
        """Decode an operators' record; return None for keys that are not used here."""
        if record.key.startswith(EVACUATION_PREFIX):
            return Evacuation(
                offset=record.position.offset,
                era=record.position.era,
                failure_domain=record.key.removeprefix(EVACUATION_PREFIX),
                is_on=bool(record.value),
            )
        if not record.value:
            return None
        if record.key == CONFIGURATION_KEY:
            return decode_configuration(record.value)
        if record.key.startswith(ROLLOUT_PREFIX):
            return decode_rollout_order(record.position, record.value)
        return None

    def decode_backend(self, record: Record) -> BackendRecord:
        """Decode the record of one backend server process."""
        return decode_backend(record.key, record.value)

    def decode_status(self, record: Record) -> RolloutStatus | None:
        """Decode the status of a roll-out; return None for other records."""
        if not record.key.startswith(ROLLOUT_PREFIX):
            return None
        return decode_status(record.value)

    def encode_status(self, status: RolloutStatus, expected_end: Position) -> Append:
        """Return the append that writes the status of a roll-out."""
        return Append(
            topic=self.status_topic,
            key=f"{ROLLOUT_PREFIX}{status.service}",
            value=encode_status(status),
            expected_end=expected_end,
        )

    def decode_quarantined(
        self, record: Record, *, unix_now: float
    ) -> QuarantineEntry | None:
        """Decode a quarantined request; return None for other records."""
        if not record.key.startswith(QUARANTINE_PREFIX) or not record.value:
            return None
        entry = decode_bounded(
            record.value, _Quarantined, key=record.key, remedy=_STATUS_REMEDY
        )
        return QuarantineEntry(
            fingerprint=record.key.removeprefix(QUARANTINE_PREFIX),
            service=entry.service,
            times=entry.times,
            left_s=entry.until_ms / MS_PER_S - unix_now,
            is_cleared=entry.cleared,
            versions=entry.versions,
            is_tentative=entry.tentative,
        )

    def encode_quarantined(
        self, entry: QuarantineEntry, expected_end: Position, *, unix_now: float
    ) -> Append:
        """Return the append that writes a quarantined request."""
        record = _Quarantined(
            service=entry.service,
            times=entry.times,
            until_ms=round((unix_now + entry.left_s) * MS_PER_S),
            cleared=entry.is_cleared,
            versions=entry.versions,
            tentative=entry.is_tentative,
        )
        return msgspec.structs.replace(
            self.encode_release(entry.fingerprint, expected_end),
            value=msgspec.json.encode(record),
        )

    def encode_release(self, fingerprint: str, expected_end: Position) -> Append:
        """Return the append that removes a request from quarantine."""
        return Append(
            topic=self.status_topic,
            key=f"{QUARANTINE_PREFIX}{fingerprint}",
            value=b"",
            expected_end=expected_end,
        )


def decode_configuration(value: bytes) -> RoutingConfiguration:
    """Decode a configuration.

    Raises `ConfigurationError` if it can't be decoded.
    """
    decoded = decode_bounded(
        value, _Configuration, key=CONFIGURATION_KEY, remedy=_CONFIGURATION_REMEDY
    )
    return RoutingConfiguration(
        version=decoded.version,
        routes=tuple(_translate_route(route) for route in decoded.routes),
        services=tuple(_translate_service(service) for service in decoded.services),
        limits=RequestLimits(
            max_header_bytes=decoded.limits.max_header_bytes,
            max_body_bytes=decoded.limits.max_body_bytes,
            header_timeout_s=decoded.limits.header_timeout_ms / MS_PER_S,
            idle_timeout_s=decoded.limits.idle_timeout_ms / MS_PER_S,
        ),
        accounts=tuple(
            Account(
                name=tenant.name,
                keys=tuple(tenant.api_keys),
                priority=tenant.priority,
                allowed_regions=tuple(tenant.allowed_regions),
            )
            for tenant in decoded.tenants
        ),
    )


def _translate_route(route: _Route) -> Route:
    targets = tuple(
        Target(service=split.service, weight=split.weight) for split in route.backends
    )
    if not targets and route.service is not None:
        targets = (Target(service=route.service),)
    return Route(
        name=clean_label(route.name) or f"{route.host}{route.path_prefix}",
        host=route.host,
        path_prefix=route.path_prefix,
        # Requests of an unknown kind must not run twice.
        kind=_REQUEST_KINDS.get(route.kind, RequestKind.NON_IDEMPOTENT),
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
        capacity=max(0, engine.slots),
        memory_tokens=engine.kv_capacity_tokens,
        models=tuple(
            ModelCost(name=model.name, cost=model.cost) for model in engine.models
        ),
        warmup_s=service.cold_s,
        warmup_rate=service.cold_per_s,
    )


def decode_backend(id: str, value: bytes) -> BackendRecord:
    """Decode the record of one backend server process.

    Raises `ConfigurationError` if it describes no usable backend server.
    """
    server = decode_bounded(value, _Server, key=id, remedy=_BACKEND_REMEDY)
    try:
        check_id(id)
        check_address(server.address)
    except ValueError as error:
        raise reject_record(error, key=id, remedy=_BACKEND_REMEDY) from error
    return BackendRecord(
        id=id,
        service=server.service,
        address=server.address,
        failure_domain=server.zone,
        version=server.version,
        capacity=max(1, server.slots),
        leaving=server.state is _ServerState.DRAINING,
        started_ms=max(0, server.born),
        warmup_left_s=_parse_warmup_left_s(server.cold_left_ms),
    )


def _parse_warmup_left_s(left_ms: float | str | None) -> float:
    if not isinstance(left_ms, float):
        return 0.0
    return min(MAX_MS, max(0.0, left_ms)) / MS_PER_S


def decode_rollout_order(position: Position, value: bytes) -> RolloutOrder:
    """Decode an order to roll out another version of a service.

    Raises `ConfigurationError` if it can't be decoded.
    """
    order = decode_bounded(value, _Order, key=ROLLOUT_PREFIX, remedy=_ORDER_REMEDY)
    return RolloutOrder(
        offset=position.offset,
        era=position.era,
        service=order.service,
        target=order.target,
        time_limit_s=order.deadline_s,
    )


def encode_status(status: RolloutStatus) -> bytes:
    """Encode the status of a roll-out."""
    return msgspec.json.encode(
        _Status(
            service=status.service,
            target=status.target,
            state=status.state,
            number=status.offset,
            era=status.era,
            elapsed_s=round(status.elapsed_s, 2),
            base=status.base,
            base_number=status.base_order.offset,
            base_era=status.base_order.era,
        )
    )


def decode_status(value: bytes) -> RolloutStatus:
    """Decode the status of a roll-out.

    Raises `ConfigurationError` if it can't be decoded.
    """
    status = decode_bounded(value, _Status, key=ROLLOUT_PREFIX, remedy=_STATUS_REMEDY)
    return RolloutStatus(
        service=status.service,
        target=status.target,
        state=status.state,
        offset=status.number,
        era=status.era,
        elapsed_s=status.elapsed_s,
        base=status.base,
        base_order=OperatorsPosition(status.base_era, status.base_number),
    )
