"""Tests of deltas of the operators' state, exchanged among instances."""

from __future__ import annotations

from typing import Any

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from baobabthread.core.positions import OperatorsPosition
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


def at(offset: int) -> OperatorsPosition:
    return OperatorsPosition(offset=offset)


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


def normalize(configuration: RoutingConfiguration) -> RoutingConfiguration:
    """Return the same configuration with its parts sorted by name."""
    return msgspec.structs.replace(
        configuration,
        routes=tuple(sorted(configuration.routes, key=lambda r: r.name)),
        services=tuple(sorted(configuration.services, key=lambda s: s.name)),
        accounts=tuple(sorted(configuration.accounts, key=lambda a: a.name)),
    )


@given(configurations(1), configurations(2))
def test_delta_leads_from_any_configuration_to_any_other(
    before: RoutingConfiguration, after: RoutingConfiguration
) -> None:
    delta = make_configuration_delta(before, after)
    assert delta is not None
    received = msgspec.json.decode(msgspec.json.encode(delta), type=type(delta))
    applied = apply_configuration_delta(before, received)
    assert applied is not None
    assert normalize(applied) == normalize(after)


@given(configurations(1), configurations(1), configurations(2))
def test_delta_leads_to_no_other_configuration(
    before: RoutingConfiguration,
    other: RoutingConfiguration,
    after: RoutingConfiguration,
) -> None:
    """Two instances have different configurations of the same version.

    A delta made for the other one could keep a key that was revoked.
    """
    delta = make_configuration_delta(before, after)
    assert delta is not None
    applied = apply_configuration_delta(other, delta)
    assert applied is None or normalize(applied) == normalize(after)
    assert apply_configuration_delta(after, delta) is None


def test_no_delta_for_parts_that_share_a_name() -> None:
    """Of two routes with one path only the order decides which one applies."""
    twice = tuple(make_route("a", timeout_s, "s") for timeout_s in (1.0, 2.0))
    before = RoutingConfiguration(version=1, routes=twice, services=())
    after = RoutingConfiguration(version=2, routes=twice[:1], services=())
    assert make_configuration_delta(before, after) is None


def make_replica() -> StateReplica:
    return StateReplica(bounds=RoutingBounds())


def make_configuration(
    version: int, *keys: str, routes: int = 0
) -> RoutingConfiguration:
    return RoutingConfiguration(
        version=version,
        routes=tuple(make_route(f"r{n}", 1.0, "s") for n in range(routes)),
        services=(),
        accounts=(Account(name="metro", keys=keys),),
    )


def read_from_store(replica: StateReplica, end: int, *records: object) -> None:
    """Let an instance read new records from the store."""
    for record in records:
        match record:
            case RoutingConfiguration():
                replica.apply_configuration(record)
            case RolloutOrder():
                replica.apply_order(record)
            case Evacuation():
                replica.apply_evacuation(record)
    replica.record_operators_read(end=at(end), requested_at=float(end))


def test_peer_follows_by_deltas() -> None:
    """A reader reads keys, an order and an evacuation, and brings a peer up to date."""
    reader, other = make_replica(), make_replica()
    for replica in (reader, other):
        read_from_store(replica, 1, make_configuration(1, "k1", "k2"))
    order = RolloutOrder(offset=2, service="s", target="v2", time_limit_s=9.0)
    evacuation = Evacuation(offset=3, failure_domain="a", is_on=True)
    read_from_store(reader, 2, make_configuration(2, "k1"))
    read_from_store(reader, 4, order, evacuation)
    deltas = reader.deltas.list_since(other.operators_end)
    assert [(each.since, each.end) for each in deltas] == [
        (at(1), at(2)),
        (at(2), at(4)),
    ]
    other.apply_deltas(deltas)
    assert other.table is not None
    assert other.table.authenticate("k1")
    assert not other.table.authenticate("k2")
    assert other.orders == {"s": order}
    assert other.evacuations.domains == {"a"}
    assert other.operators_end == other.freshness.folded == at(4)
    assert other.deltas.list_since(at(1)) == deltas


def test_delta_after_a_gap_is_ignored() -> None:
    """One delta is lost on the way, and the next one arrives.

    Applied, its offset would claim that nothing is missing, and the key that the lost
    delta revoked would be accepted indefinitely.
    """
    reader, other = make_replica(), make_replica()
    for replica in (reader, other):
        read_from_store(replica, 1, make_configuration(1, "k1", "k2"))
    read_from_store(reader, 2, make_configuration(2, "k1"))
    read_from_store(reader, 3, Evacuation(offset=2, failure_domain="a", is_on=True))
    other.apply_deltas(reader.deltas.list_since(at(2)))
    assert other.operators_end == other.freshness.folded == at(1)
    other.apply_deltas(reader.deltas.list_since(at(1)))
    assert other.operators_end == at(3)
    other.apply_deltas(reader.deltas.list_since(at(1)))
    assert other.operators_end == at(3)


def test_no_delta_is_applied_before_the_first_configuration() -> None:
    reader, other = make_replica(), make_replica()
    read_from_store(reader, 1, make_configuration(1, "k1"))
    assert reader.deltas.list_since(at(0)) == []
    read_from_store(reader, 2, make_configuration(2, "k1", "k2"))
    other.apply_deltas(reader.deltas.list_since(at(1)))
    assert other.table is None
    assert other.operators_end == at(0)


def test_large_delta_is_not_kept() -> None:
    """Hundreds of routes are added at once; each instance reads them from the store."""
    reader = make_replica()
    read_from_store(reader, 1, make_configuration(1, "k1"))
    read_from_store(
        reader, 2, make_configuration(2, "k1", routes=MAX_DELTA_BYTES // 50)
    )
    assert reader.deltas.list_since(at(1)) == []
    read_from_store(
        reader, 3, make_configuration(3, "k2", routes=MAX_DELTA_BYTES // 50)
    )
    assert reader.deltas.list_since(at(1)) == []
    assert [delta.end for delta in reader.deltas.list_since(at(2))] == [at(3)]


def test_series_of_deltas_fits_a_datagram() -> None:
    """Changes come in quick succession, each of them small enough to be sent.

    A message that is too large isn't sent at all, and its ages would be lost as well.
    """
    reader = make_replica()
    routes = MAX_DELTA_BYTES // 600
    read_from_store(reader, 1, make_configuration(1, "k1"))
    for number in range(2, 8):
        added = make_configuration(number, "k1", routes=routes * (number % 2))
        read_from_store(reader, number, added)
    assert len(reader.deltas.list_since(at(5))) == 2
    assert reader.deltas.list_since(at(1)) == []


def test_keep_only_the_last_deltas() -> None:
    reader = make_replica()
    for number in range(1, MAX_DELTAS + 5):
        read_from_store(reader, number, make_configuration(number, f"k{number}"))
    assert reader.deltas.list_since(at(1)) == []
    assert len(reader.deltas.list_since(at(4))) == MAX_DELTAS
