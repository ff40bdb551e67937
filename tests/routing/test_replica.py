"""Tests of the replica of the store's records, its age and merging with peers."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from baobabthread.core.positions import BackendsPosition, OperatorsPosition
from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.configuration import (
    BackendRecord,
    RolloutOrder,
    RoutingConfiguration,
)
from baobabthread.routing.replica import (
    LAPSED_RECORD_GRACE_S,
    MIN_OUTAGE_S,
    BackendChanges,
    StateReplica,
)
from baobabthread.routing.storeoutages import FailedCall

BOUNDS = RoutingBounds(revocation_s=5.0)


def make_replica() -> StateReplica:
    return StateReplica(bounds=BOUNDS)


def make_configuration(version: int) -> RoutingConfiguration:
    return RoutingConfiguration(version=version, routes=(), services=())


def make_backend(
    id: str, *, leaving: bool = False, started_ms: int = 0
) -> BackendRecord:
    return BackendRecord(
        id=id,
        service="s",
        address="127.0.0.1:1",
        failure_domain="a",
        version="v1",
        capacity=4,
        leaving=leaving,
        started_ms=started_ms,
    )


def test_older_configuration_is_ignored() -> None:
    """A late response or a peer that is behind brings an older configuration.

    Applied, it would restore a key that was revoked.
    """
    replica = make_replica()
    assert replica.apply_configuration(make_configuration(5))
    assert not replica.apply_configuration(make_configuration(4))
    assert not replica.apply_configuration(make_configuration(5))
    assert replica.table is not None
    assert replica.table.configuration.version == 5


def test_age_counts_from_the_request() -> None:
    """The store's response takes three seconds, or the machine is suspended.

    A key may have been revoked right after the request, so the age includes that time.
    """
    replica = make_replica()
    replica.record_operators_read(end=OperatorsPosition(offset=1), requested_at=10.0)
    assert replica.operators_age(13.0) == 3.0
    assert replica.is_fresh(14.4)
    assert not replica.is_fresh(14.6)


def test_peer_age_counts_only_with_its_records() -> None:
    """A peer that has read further reports an age that does not cover older records."""
    replica = make_replica()
    replica.record_operators_read(end=OperatorsPosition(offset=1), requested_at=0.0)
    replica.freshness.hear(
        head_age_s=0.5, read_position=OperatorsPosition(offset=2), asked_at=10.0
    )
    assert replica.operators_age(10.0) == 10.0
    peer = make_replica()
    peer.apply_configuration(make_configuration(7))
    peer.record_operators_read(end=OperatorsPosition(offset=2), requested_at=9.0)
    replica.merge(
        peer.snapshot(10.0, known_end=OperatorsPosition(offset=1), known_version=7),
        requested_at=10.0,
        now=10.1,
    )
    assert replica.operators_age(10.0) == 0.5
    assert replica.table is not None
    assert replica.table.configuration.version == 7


def test_snapshot_omits_configuration_that_the_peer_has() -> None:
    peer = make_replica()
    peer.apply_configuration(make_configuration(7))
    peer.record_operators_read(end=OperatorsPosition(offset=2), requested_at=9.0)
    assert (
        peer.snapshot(
            10.0, known_end=OperatorsPosition(offset=2), known_version=7
        ).configuration
        is None
    )
    replica = make_replica()
    replica.merge(
        peer.snapshot(10.0, known_end=OperatorsPosition(offset=2), known_version=7),
        requested_at=10.0,
        now=10.0,
    )
    assert replica.operators_end == OperatorsPosition()
    assert replica.table is None


def test_leaving_backend_server_stays_leaving() -> None:
    replica = make_replica()
    replica.apply_backend(make_backend("b1"))
    assert replica.apply_backend(make_backend("b1", leaving=True))
    assert not replica.apply_backend(make_backend("b1"))
    assert replica.backends["b1"].leaving


def refuse_call(replica: StateReplica, at: float) -> None:
    """Let the store refuse a call of this instance."""
    call = FailedCall(topic="servers", requested_at=at, is_refused=True)
    replica.outages.record_failure(call)


def test_remove_backend_server_at_once_while_store_is_available() -> None:
    replica = make_replica()
    for read_at in (0.0, 1.0, 2.0, 3.0, 4.0):
        replica.record_backends_read(
            end=BackendsPosition(offset=1), requested_at=read_at, now=read_at
        )
    replica.apply_backend(make_backend("b1"))
    replica.remove_backend("b1", 4.1)
    assert not replica.backends


def test_keep_backend_servers_whose_records_lapsed_in_an_outage() -> None:
    """The store was unavailable for ten seconds and every record lapsed.

    Records reappear within two seconds. Removed at once, live servers would get no
    requests; servers that have not reappeared by then are removed.
    """
    replica = make_replica()
    replica.apply_backend(make_backend("b1"))
    replica.apply_backend(make_backend("b2"))
    replica.record_backends_read(
        end=BackendsPosition(offset=1), requested_at=0.0, now=0.0
    )
    refuse_call(replica, 1.0)
    replica.record_backends_read(
        end=BackendsPosition(offset=4), requested_at=10.0, now=10.0
    )
    replica.remove_backend("b1", 10.0)
    replica.remove_backend("b2", 10.0)
    assert set(replica.backends) == {"b1", "b2"}
    replica.apply_backend(make_backend("b2"))
    replica.expire_lapsed(10.0 + LAPSED_RECORD_GRACE_S + 0.1)
    assert set(replica.backends) == {"b2"}


@pytest.mark.parametrize("gap_s", [0.5, MIN_OUTAGE_S + 0.1, 5.0])
def test_a_gap_in_own_reads_delays_no_removal(gap_s: float) -> None:
    """An instance that stood still, or whose reader ended, kept removed servers."""
    replica = make_replica()
    replica.apply_backend(make_backend("b1"))
    replica.apply_backend(make_backend("b2"))
    for read_at in (10.0, 10.5, 10.5 + gap_s):
        replica.begin_backends_read(
            end=BackendsPosition(offset=1), requested_at=read_at, now=read_at
        )
        replica.record_backends_read(
            end=BackendsPosition(offset=1), requested_at=read_at, now=read_at
        )
    assert replica.record_missing("b1", 10.5 + gap_s)
    replica.remove_backend("b2", 10.5 + gap_s)
    assert not replica.backends


def test_a_first_read_delays_no_removal() -> None:
    """An instance that had just started kept servers that were removed since."""
    replica = make_replica()
    end = BackendsPosition(era=7, offset=1)
    replica.begin_era(10.0)
    replica.begin_backends_read(end=end, requested_at=10.0, now=10.0)
    replica.apply_backend(make_backend("b1"))
    replica.record_backends_read(end=end, requested_at=10.0, now=10.0)
    assert replica.record_missing("b1", 10.1)


def test_a_failure_before_the_last_read_is_no_outage() -> None:
    """The store had refused a call, and has been read since."""
    replica = make_replica()
    refuse_call(replica, 9.0)
    end = BackendsPosition(offset=1)
    replica.record_backends_read(end=end, requested_at=10.0, now=10.0)
    assert not replica.begin_backends_read(end=end, requested_at=12.0, now=12.0)


def test_settle_missing_backend_servers_by_a_later_listing_only() -> None:
    """A record returns unseen by an instance that doesn't follow the store."""
    replica = make_replica()
    replica.apply_backend(make_backend("b1"))
    replica.apply_backend(make_backend("b2"))
    end = BackendsPosition(offset=4)
    refuse_call(replica, 8.0)
    replica.begin_backends_read(end=end, requested_at=10.0, now=10.0)
    assert not replica.record_missing("b1", 10.0)
    assert not replica.record_missing("b2", 10.0)
    replica.record_backends_read(end=end, requested_at=10.0, now=10.0)
    assert not replica.must_list_backends(10.0)
    after = 10.0 + LAPSED_RECORD_GRACE_S + 0.1
    assert replica.expire_lapsed(after) == []
    assert replica.must_list_backends(after)
    replica.apply_backend(make_backend("b2"))
    assert replica.record_missing("b1", after)
    assert set(replica.backends) == {"b2"}
    assert not replica.must_list_backends(after)


def test_a_new_era_restarts_the_grace_for_missing_backend_servers() -> None:
    """The store is restored again before servers could write their records."""
    replica = make_replica()
    replica.apply_backend(make_backend("b1"))
    replica.apply_backend(make_backend("b2"))
    replica.record_backends_read(end=BackendsPosition(), requested_at=9.5, now=9.5)
    end = BackendsPosition(era=1)
    replica.begin_backends_read(end=end, requested_at=10.0, now=10.0)
    replica.record_missing("b1", 10.0)
    replica.remove_backend("b2", 10.0)
    replica.record_backends_read(end=end, requested_at=10.0, now=10.0)
    replica.begin_era(12.0)
    after = 10.0 + LAPSED_RECORD_GRACE_S + 0.1
    assert replica.expire_lapsed(after) == []
    assert not replica.must_list_backends(after)
    after = 12.0 + LAPSED_RECORD_GRACE_S
    assert replica.expire_lapsed(after) == ["b2"]
    assert replica.must_list_backends(after)


def test_merge_backends_only_from_a_peer_that_read_as_far() -> None:
    replica = make_replica()
    for read_at in (0.0, 1.0, 2.0, 3.0, 4.0):
        replica.record_backends_read(
            end=BackendsPosition(offset=9), requested_at=read_at, now=read_at
        )
    replica.apply_backend(make_backend("b1"))
    peer = make_replica()
    peer.apply_backend(make_backend("b2"))
    peer.record_backends_read(end=BackendsPosition(offset=8), requested_at=3.0, now=3.0)
    replica.merge(peer.snapshot(4.0), requested_at=4.0, now=4.0)
    assert set(replica.backends) == {"b1"}
    peer.record_backends_read(
        end=BackendsPosition(offset=10), requested_at=4.0, now=4.0
    )
    replica.merge(peer.snapshot(4.0), requested_at=4.0, now=4.0)
    assert set(replica.backends) == {"b2"}


def test_newer_order_replaces_older_one() -> None:
    replica = make_replica()
    order = RolloutOrder(offset=3, service="s", target="v2", time_limit_s=9.0)
    assert replica.apply_order(order)
    assert not replica.apply_order(order)
    older = RolloutOrder(offset=2, service="s", target="v9", time_limit_s=9.0)
    assert not replica.apply_order(older)
    assert replica.orders["s"].target == "v2"


def make_start(started_ms: int, *, leaving: bool = False) -> BackendRecord:
    record = make_backend("s1", leaving=leaving)
    return msgspec.structs.replace(
        record, started_ms=started_ms, address=f"127.0.0.1:{started_ms}"
    )


def test_server_may_restart_under_the_same_id() -> None:
    """A server announces that it leaves, terminates, and restarts with the same id.

    The new start inherits nothing from the old one, in particular not that it leaves.
    """
    replica = make_replica()
    replica.apply_backend(make_start(1, leaving=True))
    assert not replica.apply_backend(make_start(1))
    assert replica.apply_backend(make_start(2))
    assert not replica.backends["s1"].leaving


def test_older_start_of_a_server_is_ignored() -> None:
    """A late record, or a peer that is behind, names an earlier start of a server.

    Requests would go to an address that another server may use by now. The newest start
    is remembered after its record is removed, and takes precedence over records without
    a start time.
    """
    replica = make_replica()
    replica.apply_backend(make_start(2))
    assert not replica.apply_backend(make_start(1))
    replica.replace_backends([make_start(1, leaving=True)], 10.0)
    assert replica.backends["s1"] == make_start(2)
    replica.remove_backend("s1", 10.0)
    assert not replica.apply_backend(make_start(1))
    assert not replica.apply_backend(make_backend("s1"))
    assert not replica.backends
    assert replica.apply_backend(make_start(2))


def test_remembered_starts_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("baobabthread.routing.servers.starts.MAX_STARTS", 2)
    replica = make_replica()
    for number in range(4):
        record = msgspec.structs.replace(make_start(5), id=f"s{number}")
        replica.apply_backend(record)
    assert not replica.apply_backend(msgspec.structs.replace(make_start(4), id="s3"))
    assert replica.apply_backend(msgspec.structs.replace(make_start(4), id="s0"))


def test_a_lapsed_record_does_not_bring_a_leaving_server_back() -> None:
    """A leaving server's record lapses or is unreadable, and returns as written before.

    What was known of it must not go with the record.
    """
    replica = make_replica()
    replica.apply_backend(make_backend("b1", leaving=True))
    replica.apply_backend(make_backend("b2", leaving=True))
    replica.remove_backend("b1", 100.0)
    replica.discard_backend("b2")
    assert not replica.backends
    for id in ("b1", "b2"):
        replica.apply_backend(make_backend(id))
        assert replica.backends[id].leaving


def test_a_departure_binds_one_start_only() -> None:
    """A server that said that it leaves starts anew under the same id."""
    replica = make_replica()
    replica.apply_backend(make_backend("b1", started_ms=1))
    assert replica.record_departure("b1@1")
    assert not replica.record_departure("b1@1")
    assert replica.backends["b1"].leaving
    replica.apply_backend(make_backend("b1", started_ms=2))
    assert not replica.backends["b1"].leaving


def test_learn_departures_from_a_peer_that_has_read_less() -> None:
    """A peer's list is older than the replica, but the peer was told of a departure."""
    replica, peer = make_replica(), make_replica()
    for each in (replica, peer):
        each.apply_backend(make_backend("b1"))
    replica.record_backends_read(
        end=BackendsPosition(offset=9), requested_at=1.0, now=1.0
    )
    peer.record_backends_read(end=BackendsPosition(offset=8), requested_at=1.0, now=1.0)
    peer.record_departure("b1")
    replica.merge(peer.snapshot(2.0), requested_at=2.0, now=2.0)
    assert replica.backends["b1"].leaving


STEPS = (
    "ready",
    "leaving",
    "told",
    "removed",
    "unreadable",
    "older peer",
    "outage",
    "lapsed",
)


@given(st.lists(st.sampled_from(STEPS), max_size=30))
def test_never_use_a_server_again_that_leaves(steps: list[str]) -> None:
    """Records, responses and peers' lists come in any order, with outages between."""
    replica = make_replica()
    now, is_leaving = 0.0, False
    older = make_replica()
    older.apply_backend(make_backend("b1"))
    for step in steps:
        now += 1.0
        match step:
            case "ready" | "leaving":
                replica.apply_backend(make_backend("b1", leaving=step == "leaving"))
            case "told":
                replica.record_departure("b1")
            case "removed":
                replica.remove_backend("b1", now)
            case "unreadable":
                replica.discard_backend("b1")
            case "older peer":
                replica.merge(older.snapshot(now), requested_at=now, now=now)
            case "outage":
                now += 10.0
                replica.record_backends_read(
                    end=BackendsPosition(offset=0), requested_at=now, now=now
                )
            case "lapsed":
                replica.expire_lapsed(now + 9.0)
        is_leaving = is_leaving or step in ("leaving", "told")
        record = replica.backends.get("b1")
        assert record is None or record.leaving is is_leaving


def test_digest_backend_servers_regardless_of_their_history() -> None:
    """Equal servers have one digest, whatever came and went before, or leaves."""
    replica, peer = make_replica(), make_replica()
    empty = replica.digest_backends()
    for id in ("b1", "b2", "b3"):
        replica.apply_backend(make_backend(id))
    for id in ("b3", "b1"):
        peer.apply_backend(make_backend(id, leaving=id == "b1"))
    for each in (replica, peer):
        each.record_backends_read(
            end=BackendsPosition(offset=3), requested_at=9.0, now=9.0
        )
    assert replica.digest_backends() != peer.digest_backends()
    replica.discard_backend("b2")
    assert replica.digest_backends() == 0
    replica.record_backends_read(
        end=BackendsPosition(offset=3), requested_at=9.1, now=9.1
    )
    assert replica.digest_backends() == peer.digest_backends() != empty


def lapse(replica: StateReplica) -> None:
    """Remove `b2` after the grace that follows an outage."""
    refuse_call(replica, 12.0)
    replica.confirm_backends(end=BackendsPosition(offset=3), read_at=14.0, now=14.0)
    replica.remove_backend("b2", 14.1)
    assert replica.digest_backends() == 0
    assert replica.expire_lapsed(14.0 + LAPSED_RECORD_GRACE_S) == ["b2"]


OWN_CHANGES: dict[str, Callable[[StateReplica], object]] = {
    "leaving server": lambda r: r.record_departure(r.backends["b2"].incarnation),
    "cold server": lambda r: r.record_warmup(r.backends["b2"], 60.0, 10.0),
    "lapsed server": lapse,
}


@pytest.mark.parametrize("change", OWN_CHANGES)
def test_settle_own_changes_when_a_reader_confirms_the_rest(change: str) -> None:
    """An instance that no longer reads the store finds no server it lacks."""
    replica = make_replica()
    for id in ("b1", "b2"):
        replica.apply_backend(make_backend(id))
    end = BackendsPosition(offset=3)
    replica.record_backends_read(end=end, requested_at=9.0, now=9.0)
    OWN_CHANGES[change](replica)
    assert replica.digest_backends() == 0
    end = BackendsPosition(offset=4)
    replica.confirm_backends(end=end, read_at=20.0, now=20.0)
    assert replica.digest_backends() != 0
    assert replica.settled_end == end
    assert replica.list_backend_changes(
        BackendsPosition(offset=3), 20.0, limit=9
    ) != BackendChanges(changed=[], removed=[])
