"""Rules that find limits which contradict each other."""

from __future__ import annotations

import itertools
from collections.abc import Iterator, Mapping

from baobabthread.core.configuration.review.rules import Fault, Level, rule
from baobabthread.core.configuration.review.view import View, index_costs


@rule("time-limit-zero", Level.ERROR)
def find_zero_time_limits(view: View) -> Iterator[Fault]:
    """Find time limits that no response can meet."""
    for route in view.routes:
        if not route.timeout_s > 0:
            yield Fault(
                route.field,
                f"'{route.name}' has a time limit of {route.timeout_s:g} s",
                "give a time above 0",
            )


@rule("time-limit-under-objective")
def find_short_time_limits(view: View) -> Iterator[Fault]:
    """Find time limits below the latency objective."""
    for route in view.routes:
        if route.objective_s is not None and route.timeout_s < route.objective_s:
            yield Fault(
                route.field,
                f"'{route.name}' gives up after {route.timeout_s:g} s, before its "
                f"objective of {route.objective_s:g} s",
                "raise the time limit or lower the objective",
            )


@rule("event-gap-over-time-limit")
def find_long_event_gaps(view: View) -> Iterator[Fault]:
    """Find gaps between events that are longer than the whole stream may take."""
    for route in view.routes:
        if route.max_event_gap_s > route.timeout_s:
            yield Fault(
                route.field,
                f"'{route.name}' allows {route.max_event_gap_s:g} s between events "
                f"of a stream of {route.timeout_s:g} s",
                "lower the gap or raise the time limit",
            )


@rule("attempts-over-time-limit")
def find_attempts_without_time(view: View) -> Iterator[Fault]:
    """Find attempts that don't fit into the time limit, each at its objective."""
    for route in view.routes:
        # An objective that is the whole time limit says nothing of one attempt.
        if route.objective_s is None or route.objective_s >= route.timeout_s:
            continue
        needed_s = route.attempts * route.objective_s
        if route.attempts > 1 and needed_s > route.timeout_s:
            yield Fault(
                route.field,
                f"'{route.name}' has {route.attempts} attempts of "
                f"{route.objective_s:g} s, but {route.timeout_s:g} s in all",
                "allow fewer attempts or more time",
            )


@rule("connections-under-capacity")
def find_few_connections(view: View) -> Iterator[Fault]:
    """Find servers that run more requests than they accept connections."""
    for name, service in view.services.items():
        if 0 < service.connections < service.capacity:
            yield Fault(
                service.field,
                f"'{name}' runs {service.capacity} requests at a server that accepts "
                f"{service.connections} connections",
                "allow as many connections as requests",
            )


@rule("memory-under-capacity")
def find_little_memory(view: View) -> Iterator[Fault]:
    """Find servers whose memory has no token for each request that they run."""
    for name, service in view.services.items():
        if 0 < service.memory_tokens < service.capacity:
            yield Fault(
                service.field,
                f"'{name}' runs {service.capacity} requests in a memory of "
                f"{service.memory_tokens} tokens",
                "lower the capacity or state the memory in tokens",
            )


@rule("body-over-memory")
def find_large_bodies(view: View) -> Iterator[Fault]:
    """Find a limit on bodies above the memory of an instance."""
    if view.memory_bytes is not None and view.max_body_bytes > view.memory_bytes:
        yield Fault(
            "limits",
            f"bodies of {view.max_body_bytes} bytes are allowed, an instance has "
            f"{view.memory_bytes} bytes of memory",
            "lower the limit on bodies",
        )


@rule("cascade-falling")
def find_falling_costs(view: View) -> Iterator[Fault]:
    """Find orders in which a version is followed by a cheaper one."""
    index = index_costs(view)
    orders = [
        (f"{service.field}.cascade", service.cascade, {name})
        for name, service in view.services.items()
    ]
    orders += [
        (route.field, route.models, {target.service for target in route.targets})
        for route in view.routes
    ]
    for field, names, services in orders:
        for first, second in itertools.pairwise(dict.fromkeys(names)):
            if _is_falling(index.get(first, {}), index.get(second, {}), services):
                yield Fault(
                    field,
                    f"'{second}' is cheaper than '{first}', which is tried before it",
                    "list the cheapest first",
                )


def _is_falling(
    first: Mapping[str, float], second: Mapping[str, float], services: set[str]
) -> bool:
    common = services & first.keys() & second.keys()
    return any(first[name] > second[name] for name in common)
