"""Tests of what an instance knows, how old it is, and what a peer may add."""

from __future__ import annotations

import msgspec
import pytest

from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.configuration import (
    BackendRecord,
    RolloutOrder,
    RoutingConfiguration,
)
from baobabthread.routing.replica import LAPSED_RECORD_GRACE_S, StateReplica

BOUNDS = RoutingBounds(revocation_s=5.0)


def make_knowledge() -> StateReplica:
    return StateReplica(bounds=BOUNDS)


def configure(version: int) -> RoutingConfiguration:
    return RoutingConfiguration(version=version, routes=(), services=())


def backend(id: str, *, leaving: bool = False) -> BackendRecord:
    return BackendRecord(
        id=id,
        service="s",
        address="127.0.0.1:1",
        failure_domain="a",
        version="v1",
        capacity=4,
        leaving=leaving,
    )


def test_never_go_back_to_an_older_configuration() -> None:
    """A late answer or a peer that is behind brings an older configuration.

    A key that was already taken away here would be honoured again.
    """
    knowledge = make_knowledge()
    assert knowledge.apply_configuration(configure(5))
    assert not knowledge.apply_configuration(configure(4))
    assert not knowledge.apply_configuration(configure(5))
    assert knowledge.table is not None
    assert knowledge.table.configuration.version == 5


def test_count_age_from_the_question() -> None:
    """The store's answer was under way for three seconds, or this machine suspended.

    A key may have been taken away right after the question; the age says so.
    """
    knowledge = make_knowledge()
    knowledge.record_operators_read(end=1, requested_at=10.0)
    assert knowledge.operators_age(13.0) == 3.0
    assert knowledge.is_fresh(14.4)
    assert not knowledge.is_fresh(14.6)


def test_take_a_peers_age_only_with_its_records() -> None:
    """A peer has read further: its word is no news of what stands there."""
    knowledge = make_knowledge()
    knowledge.record_operators_read(end=1, requested_at=0.0)
    knowledge.freshness.hear(head_age_s=0.5, read_offset=2, asked_at=10.0)
    assert knowledge.operators_age(10.0) == 10.0
    peer = make_knowledge()
    peer.apply_configuration(configure(7))
    peer.record_operators_read(end=2, requested_at=9.0)
    knowledge.merge(peer.snapshot(10.0, known_end=1), requested_at=10.0, now=10.1)
    assert knowledge.operators_age(10.0) == 0.5
    assert knowledge.table is not None
    assert knowledge.table.configuration.version == 7


def test_leave_the_configuration_out_for_whoever_has_it() -> None:
    peer = make_knowledge()
    peer.apply_configuration(configure(7))
    peer.record_operators_read(end=2, requested_at=9.0)
    assert peer.snapshot(10.0, known_end=2).configuration is None
    knowledge = make_knowledge()
    knowledge.merge(peer.snapshot(10.0, known_end=2), requested_at=10.0, now=10.0)
    assert knowledge.operators_end == 0
    assert knowledge.table is None


def test_keep_a_leaving_backend_server_leaving() -> None:
    knowledge = make_knowledge()
    knowledge.apply_backend(backend("b1"))
    assert knowledge.apply_backend(backend("b1", leaving=True))
    assert not knowledge.apply_backend(backend("b1"))
    assert knowledge.backends["b1"].leaving


def test_drop_a_backend_server_at_once_while_the_store_is_well() -> None:
    knowledge = make_knowledge()
    for moment in (0.0, 1.0, 2.0, 3.0, 4.0):
        knowledge.record_backends_read(end=1, requested_at=moment, now=moment)
    knowledge.apply_backend(backend("b1"))
    knowledge.remove_backend("b1", 4.1)
    assert not knowledge.backends


def test_hold_backend_servers_whose_records_lapsed_with_the_store() -> None:
    """The store was away for ten seconds and every record lapsed.

    They return within two seconds. Dropped at once, live servers would get no work;
    what has not returned by then is gone.
    """
    knowledge = make_knowledge()
    knowledge.apply_backend(backend("b1"))
    knowledge.apply_backend(backend("b2"))
    knowledge.record_backends_read(end=1, requested_at=0.0, now=0.0)
    knowledge.record_backends_read(end=4, requested_at=10.0, now=10.0)
    knowledge.remove_backend("b1", 10.0)
    knowledge.remove_backend("b2", 10.0)
    assert set(knowledge.backends) == {"b1", "b2"}
    knowledge.apply_backend(backend("b2"))
    knowledge.expire_lapsed(10.0 + LAPSED_RECORD_GRACE_S + 0.1)
    assert set(knowledge.backends) == {"b2"}


def test_take_over_a_peers_list_only_when_it_read_as_far() -> None:
    knowledge = make_knowledge()
    for moment in (0.0, 1.0, 2.0, 3.0, 4.0):
        knowledge.record_backends_read(end=9, requested_at=moment, now=moment)
    knowledge.apply_backend(backend("b1"))
    peer = make_knowledge()
    peer.apply_backend(backend("b2"))
    peer.record_backends_read(end=8, requested_at=3.0, now=3.0)
    knowledge.merge(peer.snapshot(4.0), requested_at=4.0, now=4.0)
    assert set(knowledge.backends) == {"b1"}
    peer.record_backends_read(end=10, requested_at=4.0, now=4.0)
    knowledge.merge(peer.snapshot(4.0), requested_at=4.0, now=4.0)
    assert set(knowledge.backends) == {"b2"}


def test_take_the_newer_of_two_orders() -> None:
    knowledge = make_knowledge()
    order = RolloutOrder(number=3, service="s", target="v2", time_limit_s=9.0)
    assert knowledge.apply_order(order)
    assert not knowledge.apply_order(order)
    older = RolloutOrder(number=2, service="s", target="v9", time_limit_s=9.0)
    assert not knowledge.apply_order(older)
    assert knowledge.orders["s"].target == "v2"


def start(started_ms: int, *, leaving: bool = False) -> BackendRecord:
    record = backend("s1", leaving=leaving)
    return msgspec.structs.replace(
        record, started_ms=started_ms, address=f"127.0.0.1:{started_ms}"
    )


def test_take_a_server_back_that_starts_again_under_its_id() -> None:
    """A server says that it leaves, ends, and starts again with the same id.

    Its new start holds nothing of the old one: that it leaves included.
    """
    knowledge = make_knowledge()
    knowledge.apply_backend(start(1, leaving=True))
    assert not knowledge.apply_backend(start(1))
    assert knowledge.apply_backend(start(2))
    assert not knowledge.backends["s1"].leaving


def test_never_go_back_to_an_older_start_of_a_server() -> None:
    """A late record of the start before, or a peer that is behind, names the old start.

    Requests would go to an address that another server may have by now. That holds
    also while its record is gone, and beside a record that names no start at all.
    """
    knowledge = make_knowledge()
    knowledge.apply_backend(start(2))
    assert not knowledge.apply_backend(start(1))
    knowledge.replace_backends([start(1, leaving=True)], 10.0)
    assert knowledge.backends["s1"] == start(2)
    knowledge.remove_backend("s1", 10.0)
    assert not knowledge.apply_backend(start(1))
    assert not knowledge.apply_backend(backend("s1"))
    assert not knowledge.backends
    assert knowledge.apply_backend(start(2))


def test_forget_old_starts_within_a_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("baobabthread.routing.starts.MAX_STARTS", 2)
    knowledge = make_knowledge()
    for number in range(4):
        record = msgspec.structs.replace(start(5), id=f"s{number}")
        knowledge.apply_backend(record)
    assert not knowledge.apply_backend(msgspec.structs.replace(start(4), id="s3"))
    assert knowledge.apply_backend(msgspec.structs.replace(start(4), id="s0"))
