"""Deltas of the operators' state, exchanged among instances.

A new configuration usually differs from the previous one by a key or a route. Reading
it from the store costs each of hundreds of instances a call and some tens of kilobytes;
a delta is one line in a message that is sent anyway.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from typing import TypeVar

import msgspec
import xxhash

from baobabthread.core.positions import OperatorsPosition
from baobabthread.routing.configuration import (
    Account,
    Evacuation,
    RequestLimits,
    RolloutOrder,
    Route,
    RoutingConfiguration,
    ServiceConfiguration,
)

MAX_DELTAS = 16
"""Deltas kept, which covers some seconds of rapid changes."""
MAX_DELTA_BYTES = 12_000
"""Maximum total size of the deltas sent to a peer. Larger ones would take seconds to
reach twenty instances from one member on a slow link, and don't fit into a datagram."""

T = TypeVar("T")


class ConfigurationDelta(msgspec.Struct, frozen=True, kw_only=True):
    """Difference between two configurations."""

    before: int
    """Version that the delta applies to."""
    after: int
    digest: int = msgspec.field(name="check")
    """Digest of the result; on a mismatch the store is read instead."""
    routes: list[Route] = []
    """Routes that are new or changed."""
    routes_removed: list[str] = msgspec.field(default_factory=list, name="routes_gone")
    accounts: list[Account] = []
    accounts_removed: list[str] = msgspec.field(
        default_factory=list, name="accounts_gone"
    )
    services: list[ServiceConfiguration] = []
    services_removed: list[str] = msgspec.field(
        default_factory=list, name="services_gone"
    )
    limits: RequestLimits | None = None
    """None if unchanged."""


class OperatorDelta(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Changes between two positions in the operators' log."""

    since_offset: int = msgspec.field(name="since")
    end_offset: int = msgspec.field(name="end")
    configuration: ConfigurationDelta | None = None
    orders: list[RolloutOrder] = []
    evacuations: list[Evacuation] = []
    since_era: int = 0
    end_era: int = 0

    @property
    def since(self) -> OperatorsPosition:
        """Position that the delta leads on from."""
        return OperatorsPosition(self.since_era, self.since_offset)

    @property
    def end(self) -> OperatorsPosition:
        """Position that the delta leads to."""
        return OperatorsPosition(self.end_era, self.end_offset)


class OperatorState(msgspec.Struct, frozen=True, kw_only=True):
    """The operators' state at one position in their log."""

    configuration: RoutingConfiguration | None
    orders: dict[str, RolloutOrder]
    evacuations: list[Evacuation]


class DeltaLog:
    """Recent deltas, to bring peers up to date that are slightly behind."""

    __slots__ = ("_deltas",)

    def __init__(self) -> None:
        self._deltas: deque[tuple[OperatorDelta, int]] = deque(maxlen=MAX_DELTAS)
        """Each with its encoded size in bytes."""

    def add(self, delta: OperatorDelta | None) -> None:
        """Append the next delta; None marks a gap and clears the log."""
        size = len(msgspec.json.encode(delta)) if delta is not None else 0
        if delta is None or size > MAX_DELTA_BYTES:
            self._deltas.clear()
        else:
            self._deltas.append((delta, size))

    def list_since(self, position: OperatorsPosition) -> list[OperatorDelta]:
        """Return the deltas that lead on from a position.

        Empty if the log doesn't reach back that far or the deltas are too large.
        """
        found = [(delta, size) for delta, size in self._deltas if delta.end > position]
        if not found or found[0][0].since > position:
            return []
        if sum(size for _, size in found) > MAX_DELTA_BYTES:
            return []
        return [delta for delta, _ in found]


def make_operator_delta(
    before: OperatorState,
    after: OperatorState,
    *,
    since: OperatorsPosition,
    end: OperatorsPosition,
) -> OperatorDelta | None:
    """Return the delta between two states; None if it can't be expressed."""
    change = None
    if after.configuration is not before.configuration:
        if before.configuration is None or after.configuration is None:
            return None
        change = make_configuration_delta(before.configuration, after.configuration)
        if change is None:
            return None
    orders = [o for name, o in after.orders.items() if before.orders.get(name) != o]
    evacuations = [e for e in after.evacuations if e not in before.evacuations]
    return OperatorDelta(
        since_offset=since.offset,
        since_era=since.era,
        end_offset=end.offset,
        end_era=end.era,
        configuration=change,
        orders=orders,
        evacuations=evacuations,
    )


def make_configuration_delta(
    before: RoutingConfiguration, after: RoutingConfiguration
) -> ConfigurationDelta | None:
    """Return the difference of two configurations; None if it can't be expressed."""
    if not _has_unique_names(before) or not _has_unique_names(after):
        return None
    routes, routes_removed = _diff(before.routes, after.routes, _route_key)
    accounts, accounts_removed = _diff(before.accounts, after.accounts, _name)
    services, services_removed = _diff(before.services, after.services, _name)
    return ConfigurationDelta(
        before=before.version,
        after=after.version,
        digest=_digest(after),
        routes=routes,
        routes_removed=routes_removed,
        accounts=accounts,
        accounts_removed=accounts_removed,
        services=services,
        services_removed=services_removed,
        limits=after.limits if after.limits != before.limits else None,
    )


def apply_configuration_delta(
    before: RoutingConfiguration, delta: ConfigurationDelta
) -> RoutingConfiguration | None:
    """Return the changed configuration; None if the delta doesn't fit `before`."""
    if before.version != delta.before:
        return None
    after = RoutingConfiguration(
        version=delta.after,
        routes=_merge(before.routes, delta.routes, delta.routes_removed, _route_key),
        services=_merge(before.services, delta.services, delta.services_removed, _name),
        limits=delta.limits or before.limits,
        accounts=_merge(before.accounts, delta.accounts, delta.accounts_removed, _name),
    )
    return after if _digest(after) == delta.digest else None


def _route_key(route: Route) -> str:
    return f"{route.host}{route.path_prefix}"


def _name(part: Account | ServiceConfiguration) -> str:
    return part.name


def _has_unique_names(configuration: RoutingConfiguration) -> bool:
    """Return whether all names are unique, so that the order carries no meaning."""
    names: list[list[str]] = [
        [_route_key(route) for route in configuration.routes],
        [account.name for account in configuration.accounts],
        [service.name for service in configuration.services],
    ]
    return all(len(set(group)) == len(group) for group in names)


def _diff(
    before: Iterable[T], after: Iterable[T], key: Callable[[T], str]
) -> tuple[list[T], list[str]]:
    old = {key(part): part for part in before}
    new = {key(part): part for part in after}
    changed = [part for name, part in new.items() if old.get(name) != part]
    return changed, [name for name in old if name not in new]


def _merge(
    before: Iterable[T],
    changed: Sequence[T],
    removed: Iterable[str],
    key: Callable[[T], str],
) -> tuple[T, ...]:
    found = {key(part): part for part in before}
    for name in removed:
        found.pop(name, None)
    found.update({key(part): part for part in changed})
    return tuple(found.values())


def _digest(configuration: RoutingConfiguration) -> int:
    """Return a digest that doesn't depend on the order of routes and the like."""
    total = xxhash.xxh3_64_intdigest(
        msgspec.json.encode((configuration.version, configuration.limits))
    )
    parts = (*configuration.routes, *configuration.accounts, *configuration.services)
    for part in parts:
        total ^= xxhash.xxh3_64_intdigest(msgspec.json.encode(part))
    return total
