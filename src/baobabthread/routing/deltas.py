"""What operators changed, as differences that one instance tells another.

A new configuration is mostly the one before with a key or a route more. Read by each
instance from the store it is a call and some tens of kilobytes for each of hundreds;
told as a difference it is a line in a message that is sent anyway.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from typing import TypeVar

import msgspec
import xxhash

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
"""Steps that are kept: those of some seconds of quick changes."""
MAX_DELTA_BYTES = 12_000
"""Longest row of steps that is told. Twenty instances would get longer ones from one
member on a slow link after seconds, and no datagram holds all."""

T = TypeVar("T")


class ConfigurationDelta(msgspec.Struct, frozen=True, kw_only=True):
    """Tell what makes one configuration out of another one."""

    before: int
    """Version to which this is to be applied."""
    after: int
    digest: int = msgspec.field(name="check")
    """Digest of the result: one that differs is read from the store instead."""
    routes: list[Route] = []
    """Those that are new or changed."""
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
    """Left out where they are the same."""


class OperatorDelta(msgspec.Struct, frozen=True, kw_only=True):
    """Tell what changed between two offsets of the operators' log."""

    since: int
    end: int
    configuration: ConfigurationDelta | None = None
    orders: list[RolloutOrder] = []
    evacuations: list[Evacuation] = []


class OperatorState(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what operators want, as it was at one offset of their log."""

    configuration: RoutingConfiguration | None
    orders: dict[str, RolloutOrder]
    evacuations: list[Evacuation]


class DeltaLog:
    """Keep the last steps, so that whoever is a little behind can be told them."""

    __slots__ = ("_deltas",)

    def __init__(self) -> None:
        self._deltas: deque[tuple[OperatorDelta, int]] = deque(maxlen=MAX_DELTAS)
        """With the bytes that each takes."""

    def add(self, delta: OperatorDelta | None) -> None:
        """Keep the step that follows the last one; none breaks the row."""
        size = len(msgspec.json.encode(delta)) if delta is not None else 0
        if delta is None or size > MAX_DELTA_BYTES:
            self._deltas.clear()
        else:
            self._deltas.append((delta, size))

    def list_since(self, offset: int) -> list[OperatorDelta]:
        """Return the steps that lead on from an offset.

        None where they don't reach so far back, or are too long to be told.
        """
        found = [(step, size) for step, size in self._deltas if step.end > offset]
        if not found or found[0][0].since > offset:
            return []
        if sum(size for _, size in found) > MAX_DELTA_BYTES:
            return []
        return [step for step, _ in found]


def make_operator_delta(
    before: OperatorState, after: OperatorState, *, since: int, end: int
) -> OperatorDelta | None:
    """Return what changed between two offsets; nothing where that can't be told."""
    change = None
    if after.configuration is not before.configuration:
        if before.configuration is None or after.configuration is None:
            return None
        change = make_configuration_delta(before.configuration, after.configuration)
        if change is None:
            return None
    orders = [o for name, o in after.orders.items() if before.orders.get(name) != o]
    words = [word for word in after.evacuations if word not in before.evacuations]
    return OperatorDelta(
        since=since, end=end, configuration=change, orders=orders, evacuations=words
    )


def make_configuration_delta(
    before: RoutingConfiguration, after: RoutingConfiguration
) -> ConfigurationDelta | None:
    """Return the difference of two configurations; nothing if it can't be told."""
    if not _has_unique_names(before) or not _has_unique_names(after):
        return None
    routes, routes_gone = _diff(before.routes, after.routes, _route_key)
    accounts, accounts_gone = _diff(before.accounts, after.accounts, _name)
    services, services_gone = _diff(before.services, after.services, _name)
    return ConfigurationDelta(
        before=before.version,
        after=after.version,
        digest=_digest(after),
        routes=routes,
        routes_removed=routes_gone,
        accounts=accounts,
        accounts_removed=accounts_gone,
        services=services,
        services_removed=services_gone,
        limits=after.limits if after.limits != before.limits else None,
    )


def apply_configuration_delta(
    before: RoutingConfiguration, delta: ConfigurationDelta
) -> RoutingConfiguration | None:
    """Return the configuration that a difference leads to, or nothing if it doesn't."""
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
    """Tell whether each part has a name that no other has: then order tells nothing."""
    names: list[list[str]] = [
        [_route_key(route) for route in configuration.routes],
        [account.name for account in configuration.accounts],
        [service.name for service in configuration.services],
    ]
    return all(len(set(each)) == len(each) for each in names)


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
    """Return a number that configurations with the same parts in any order share."""
    total = xxhash.xxh3_64_intdigest(
        msgspec.json.encode((configuration.version, configuration.limits))
    )
    parts = (*configuration.routes, *configuration.accounts, *configuration.services)
    for part in parts:
        total ^= xxhash.xxh3_64_intdigest(msgspec.json.encode(part))
    return total
