"""Tests of changes by operators that one instance tells another."""

from __future__ import annotations

from typing import Any

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.configuration import (
    Account,
    Evacuation,
    RequestKind,
    RequestLimits,
    RolloutOrder,
    Route,
    RoutingConfiguration,
    ServiceConfiguration,
    Target,
)
from baobabthread.routing.deltas import (
    MAX_DELTA_BYTES,
    MAX_DELTAS,
    apply_configuration_delta,
    make_configuration_delta,
)
from baobabthread.routing.replica import StateReplica


def make_route(name: str, timeout_s: float, service: str) -> Route:
    return Route(
        name=name,
        host="h",
        path_prefix=f"/{name}/",
        kind=RequestKind.IDEMPOTENT,
        targets=(Target(service=service),),
        timeout_s=timeout_s,
        objective_s=1.0,
        priority=1,
        max_attempts=1,
    )


NAMES = st.sampled_from("abcdef")
ROUTES = st.lists(
    st.builds(make_route, NAMES, st.sampled_from([1.0, 2.0]), NAMES),
    unique_by=lambda route: route.name,
)
ACCOUNTS = st.lists(
    st.builds(Account, name=NAMES, keys=st.lists(NAMES).map(tuple)),
    unique_by=lambda account: account.name,
)
SERVICES = st.lists(
    st.builds(
        ServiceConfiguration,
        name=NAMES,
        max_connections=st.integers(1, 3),
        capacity=st.just(4),
    ),
    unique_by=lambda service: service.name,
)
LIMITS = st.builds(RequestLimits, max_body_bytes=st.sampled_from([1, 2]))


@st.composite
def configurations(draw: Any, version: int) -> RoutingConfiguration:
    return RoutingConfiguration(
        version=version,
        routes=tuple(draw(ROUTES)),
        services=tuple(draw(SERVICES)),
        accounts=tuple(draw(ACCOUNTS)),
        limits=draw(LIMITS),
    )


def arrange(configuration: RoutingConfiguration) -> RoutingConfiguration:
    """Return the same with its parts in order."""
    return msgspec.structs.replace(
        configuration,
        routes=tuple(sorted(configuration.routes, key=lambda r: r.name)),
        services=tuple(sorted(configuration.services, key=lambda s: s.name)),
        accounts=tuple(sorted(configuration.accounts, key=lambda a: a.name)),
    )


@given(configurations(1), configurations(2))
def test_lead_from_any_configuration_to_any_other(
    before: RoutingConfiguration, after: RoutingConfiguration
) -> None:
    change = make_configuration_delta(before, after)
    assert change is not None
    told = msgspec.json.decode(msgspec.json.encode(change), type=type(change))
    found = apply_configuration_delta(before, told)
    assert found is not None
    assert arrange(found) == arrange(after)


@given(configurations(1), configurations(1), configurations(2))
def test_lead_nowhere_else(
    before: RoutingConfiguration,
    other: RoutingConfiguration,
    after: RoutingConfiguration,
) -> None:
    """Two instances hold unlike configurations under one version.

    A difference that was made for the other one would keep a key that was taken away.
    """
    change = make_configuration_delta(before, after)
    assert change is not None
    found = apply_configuration_delta(other, change)
    assert found is None or arrange(found) == arrange(after)
    assert apply_configuration_delta(after, change) is None


def test_tell_nothing_of_parts_that_share_a_name() -> None:
    """Two routes of one path: which one counts is told by their order alone."""
    twice = tuple(make_route("a", timeout_s, "s") for timeout_s in (1.0, 2.0))
    before = RoutingConfiguration(version=1, routes=twice, services=())
    after = RoutingConfiguration(version=2, routes=twice[:1], services=())
    assert make_configuration_delta(before, after) is None


def make_knowledge() -> StateReplica:
    return StateReplica(bounds=RoutingBounds())


def configure(version: int, *keys: str, routes: int = 0) -> RoutingConfiguration:
    return RoutingConfiguration(
        version=version,
        routes=tuple(make_route(f"r{n}", 1.0, "s") for n in range(routes)),
        services=(),
        accounts=(Account(name="metro", keys=keys),),
    )


def read(knowledge: StateReplica, end: int, *words: object) -> None:
    """Let an instance read the store, in which somebody wrote something."""
    for word in words:
        match word:
            case RoutingConfiguration():
                knowledge.apply_configuration(word)
            case RolloutOrder():
                knowledge.apply_order(word)
            case Evacuation():
                knowledge.apply_evacuation(word)
    knowledge.record_operators_read(end=end, requested_at=float(end))


def test_follow_step_by_step() -> None:
    """A reader learns of keys, an order and an evacuation, and tells one behind it."""
    reader, other = make_knowledge(), make_knowledge()
    for knowledge in (reader, other):
        read(knowledge, 1, configure(1, "k1", "k2"))
    order = RolloutOrder(number=2, service="s", target="v2", time_limit_s=9.0)
    evacuation = Evacuation(number=3, failure_domain="a", is_on=True)
    read(reader, 2, configure(2, "k1"))
    read(reader, 4, order, evacuation)
    steps = reader.deltas.list_since(other.operators_end)
    assert [(step.since, step.end) for step in steps] == [(1, 2), (2, 4)]
    other.apply_deltas(steps)
    assert other.table is not None
    assert other.table.authenticate("k1")
    assert not other.table.authenticate("k2")
    assert other.orders == {"s": order}
    assert other.evacuations.domains == {"a"}
    assert other.operators_end == other.freshness.folded == 4
    assert other.deltas.list_since(1) == steps


def test_take_no_step_that_does_not_fit() -> None:
    """One step was lost on the way: the next one proves nothing about it.

    Taken for all that there is, its offset would tell that nothing is missing, and the
    key that the lost step took away would be honoured for good.
    """
    reader, other = make_knowledge(), make_knowledge()
    for knowledge in (reader, other):
        read(knowledge, 1, configure(1, "k1", "k2"))
    read(reader, 2, configure(2, "k1"))
    read(reader, 3, Evacuation(number=2, failure_domain="a", is_on=True))
    other.apply_deltas(reader.deltas.list_since(2))
    assert other.operators_end == other.freshness.folded == 1
    other.apply_deltas(reader.deltas.list_since(1))
    assert other.operators_end == 3
    other.apply_deltas(reader.deltas.list_since(1))
    assert other.operators_end == 3


def test_take_nothing_before_the_first_configuration() -> None:
    reader, other = make_knowledge(), make_knowledge()
    read(reader, 1, configure(1, "k1"))
    assert reader.deltas.list_since(0) == []
    read(reader, 2, configure(2, "k1", "k2"))
    other.apply_deltas(reader.deltas.list_since(1))
    assert other.table is None
    assert other.operators_end == 0


def test_tell_no_step_that_is_too_long() -> None:
    """Hundreds of routes are added at once; each instance reads them itself."""
    reader = make_knowledge()
    read(reader, 1, configure(1, "k1"))
    read(reader, 2, configure(2, "k1", routes=MAX_DELTA_BYTES // 50))
    assert reader.deltas.list_since(1) == []
    read(reader, 3, configure(3, "k2", routes=MAX_DELTA_BYTES // 50))
    assert reader.deltas.list_since(1) == []
    assert [step.end for step in reader.deltas.list_since(2)] == [3]


def test_tell_no_row_of_steps_that_no_datagram_holds() -> None:
    """Changes come in quick succession, each of them short enough to be told.

    A word that is too long isn't sent at all: nobody would hear how old it is either.
    """
    reader = make_knowledge()
    routes = MAX_DELTA_BYTES // 600
    read(reader, 1, configure(1, "k1"))
    for number in range(2, 8):
        added = configure(number, "k1", routes=routes * (number % 2))
        read(reader, number, added)
    assert len(reader.deltas.list_since(5)) == 2
    assert reader.deltas.list_since(1) == []


def test_keep_only_the_last_steps() -> None:
    reader = make_knowledge()
    for number in range(1, MAX_DELTAS + 5):
        read(reader, number, configure(number, f"k{number}"))
    assert reader.deltas.list_since(1) == []
    assert len(reader.deltas.list_since(4)) == MAX_DELTAS
