"""Tests of the choice of store readers and the synchronization of replicas."""

from __future__ import annotations

import math
from typing import Any

import msgspec
import pytest

from baobabthread.core.positions import BackendsPosition, OperatorsPosition
from baobabthread.instance import replicasync
from baobabthread.instance.metrics import Metrics
from baobabthread.instance.replicasync import ReplicaQuery, ReplicaReply, ReplicaSync
from baobabthread.instance.storeeras import EraTracker
from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.configuration import BackendRecord
from baobabthread.routing.readers import ReaderAssignment
from baobabthread.routing.replica import (
    LAPSED_RECORD_GRACE_S,
    MIN_OUTAGE_S,
    StateReplica,
)
from baobabthread.routing.storeoutages import FailedCall

NAMES = ["i1", "i2", "i3", "i4", "i5", "i6"]


class Clock:
    """A clock that only advances when a test sets it."""

    def __init__(self) -> None:
        self.time = 100.0

    def __call__(self) -> float:
        return self.time


class Member:
    """One instance's replica synchronization, recording what it sends and fetches."""

    def __init__(self, name: str, names: list[str]) -> None:
        self.replica = StateReplica(bounds=RoutingBounds())
        self.sent: list[tuple[str, Any]] = []
        self.fetched: list[str] = []
        self.sync = ReplicaSync(
            me=name,
            replica=self.replica,
            send=self._send,
            fetch=self.fetched.append,
            eras=EraTracker(metrics=Metrics()),
        )
        self.sync.set_members(names)

    def _send(self, to: str, message: msgspec.Struct) -> None:
        self.sent.append((to, message))

    def read(self, end: int, at: float) -> None:
        """Record that this instance has read both topics itself."""
        self.replica.record_operators_read(
            end=OperatorsPosition(offset=end), requested_at=at
        )
        self.replica.record_backends_read(
            end=BackendsPosition(offset=end), requested_at=at, now=at
        )

    def refuse_call(self, at: float) -> None:
        """Let the store refuse a call of this instance."""
        call = FailedCall(topic="servers", requested_at=at, is_refused=True)
        self.replica.outages.record_failure(call)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(replicasync, "now", clock)
    return clock


def make_members(count: int = 6) -> tuple[list[Member], list[Member]]:
    """Return the readers and the other instances."""
    names = [f"i{number}" for number in range(count)]
    members = [Member(name, names) for name in names]
    readers = [m for m in members if m.sync.is_reader]
    return readers, [m for m in members if not m.sync.is_reader]


@pytest.mark.parametrize(
    ("count", "readers"), [(1, 1), (6, 1), (61, 1), (195, 3), (400, 5)]
)
def test_only_a_few_instances_read_the_store(
    clock: Clock, count: int, readers: int
) -> None:
    assert len(make_members(count)[0]) == readers


def test_reply_renews_the_age_of_the_replica(clock: Clock) -> None:
    readers, others = make_members()
    reader, member = readers[0], others[0]
    reader.read(5, clock.time)
    member.read(5, clock.time - 3)
    member.sync.tick()
    ((_, query),) = member.sent
    clock.time += 0.2
    reader.sync.handle_query("member", query)
    ((_, reply),) = reader.sent
    clock.time += 0.3
    member.sync.handle_reply("reader", reply)
    # Counted from the query: the reply may have waited in a suspended process.
    assert member.replica.operators_age(clock.time) == pytest.approx(0.7, abs=0.002)
    assert not member.sync.must_read_operators()


def test_unsolicited_reply_does_not_renew_the_age(clock: Clock) -> None:
    """A reader's message waits in the socket of a suspended machine for four seconds.

    Its ages look fresh when it is finally read, so a key revoked in the meantime would
    still be accepted.
    """
    _, others = make_members()
    member = others[0]
    member.read(5, clock.time - 10)
    reply = ReplicaReply(
        sequence=0,
        operators_offset=5,
        operators_age_s=0.1,
        backends_offset=5,
        changed_offset=5,
        backends_age_s=0.1,
    )
    member.sync.handle_reply("reader", reply)
    assert member.replica.operators_age(clock.time) == 10.0


def test_fetch_a_snapshot_for_changes_not_in_the_reply(clock: Clock) -> None:
    readers, others = make_members()
    reader, member = readers[0], others[0]
    member.read(5, clock.time)
    reader.read(5, clock.time)
    reader.sync.handle_query("member", ReplicaQuery(sequence=1))
    reader.sync.tick()
    reader.sent.clear()
    reader.replica.apply_backend(
        BackendRecord(
            id="b1",
            service="s",
            address="-",
            failure_domain="a",
            version="v1",
            capacity=1,
        )
    )
    reader.read(6, clock.time)
    reader.sync.tick()
    ((to, reply),) = reader.sent
    assert to == "member"
    member.sync.handle_reply("reader", reply)
    assert member.fetched == ["reader"]


def test_read_a_new_configuration_from_the_store(clock: Clock) -> None:
    """Operators add a thousand routes, and the reader is on a slow link.

    Twenty instances that fetched the configuration from the reader would have it after
    ten seconds; the change is due within three.
    """
    _, others = make_members()
    member = others[0]
    member.read(5, clock.time)
    assert not member.sync.must_read_operators()
    reply = ReplicaReply(
        sequence=0,
        operators_offset=6,
        operators_age_s=0.1,
        backends_offset=5,
        changed_offset=5,
        backends_age_s=0.1,
    )
    member.sync.handle_reply("reader", reply)
    assert member.sync.must_read_operators()
    assert member.fetched == []
    member.read(6, clock.time)
    assert not member.sync.must_read_operators()


def find_roles(count: int) -> tuple[Member, list[Member], list[Member]]:
    """Return the reader, its standbys and all other instances."""
    readers, others = make_members(count)
    by_name = {member.sync._me: member for member in others}
    assignment = ReaderAssignment(
        me="-", names=[f"i{number}" for number in range(count)]
    )
    standbys = [by_name.pop(name) for name in assignment.standbys]
    return readers[0], standbys, list(by_name.values())


def wait_without_replies(clock: Clock, member: Member) -> float:
    """Send no reply until a member reads the store itself; return the seconds."""
    began = clock.time
    member.read(5, clock.time)
    while not member.sync.must_read_operators():
        clock.time += 0.05
        member.sync.tick()
        assert clock.time < began + 5.0
    return clock.time - began


def test_read_the_store_when_the_reader_is_silent(clock: Clock) -> None:
    """The reader is disconnected right before a change that is due in two seconds.

    A standby reads after two unanswered queries, before any other replica has become
    too old; an instance that gets no reply from the standby either reads a little
    later.
    """
    _, standbys, others = find_roles(6)
    assert wait_without_replies(clock, standbys[0]) < 1.0
    member = others[0]
    assert 1.5 <= wait_without_replies(clock, member) < 1.75
    queried = {to for to, _ in member.sent}
    reader, standbys, _ = find_roles(6)
    assert {reader.sync._me, *(s.sync._me for s in standbys)} <= queried


def test_stagger_reads_when_no_replica_is_fresh(clock: Clock) -> None:
    """The store rejects all readers; 195 instances must not call it all at once."""
    _, _, others = find_roles(195)
    times = sorted(round(wait_without_replies(clock, member), 2) for member in others)
    assert times[-1] - times[0] > 0.5


def test_do_not_read_for_others_before_discovery(clock: Clock) -> None:
    """All instances start together and need half a second to discover each other.

    Each one that took itself for the only instance would read the store twice a second
    on behalf of all others.
    """
    replica = StateReplica(bounds=RoutingBounds())
    sync = ReplicaSync(
        me="i0",
        replica=replica,
        send=lambda to, message: None,
        fetch=lambda name: None,
        eras=EraTracker(metrics=Metrics()),
        has_seeds=True,
    )
    replica.record_operators_read(
        end=OperatorsPosition(offset=5), requested_at=clock.time
    )
    assert not sync.must_read_operators()
    clock.time += 3.0
    assert sync.is_reader


def change_backend(member: Member, number: int, *, leaving: bool = False) -> None:
    """Apply the record of one backend server to a member's replica."""
    record = BackendRecord(
        id=f"b{number}",
        service="s",
        address="-",
        failure_domain="a",
        version="v1",
        capacity=1,
        leaving=leaving,
    )
    member.replica.apply_backend(record)


def test_send_only_the_changed_records(clock: Clock) -> None:
    """Backend servers leave one after the other in a system of two hundred instances.

    If all instances fetched the full list each time, ten changes would take 20 MB.
    """
    readers, others = make_members()
    reader, member = readers[0], others[0]
    for each in (reader, member):
        change_backend(each, 1)
        change_backend(each, 2)
        each.read(5, clock.time)
    change_backend(reader, 1, leaving=True)
    reader.replica.remove_backend("b2", clock.time + 5.0)
    reader.read(7, clock.time)
    member.sync.tick()
    ((_, query),) = member.sent
    reader.sync.handle_query("member", query)
    ((_, reply),) = reader.sent
    assert [record.id for record in reply.changed] == ["b1"]
    assert reply.gone == ["b2"]
    clock.time += 5.0
    member.sync.handle_reply("reader", reply)
    member.replica.expire_lapsed(clock.time)
    assert member.fetched == []
    assert member.replica.backends["b1"].leaving
    assert set(member.replica.backends) == {"b1"}
    assert member.replica.backends_end == BackendsPosition(offset=7)


def query_reader(member: Member, reader: Member) -> ReplicaReply:
    """Let a member query a reader and apply the reply; return the reply."""
    member.sent.clear()
    reader.sent.clear()
    member.sync._queried_at = -1e9
    member.sync.tick()
    ((_, query),) = member.sent
    reader.sync.handle_query("member", query)
    ((_, reply),) = reader.sent
    assert isinstance(reply, ReplicaReply)
    member.sync.handle_reply("reader", reply)
    return reply


@pytest.mark.parametrize("by_snapshot", [False, True])
def test_pass_on_a_delayed_removal(clock: Clock, by_snapshot: bool) -> None:
    """A server crashes and its record lapses while the store is away.

    The reader keeps the server for two seconds, since records also lapse when the store
    is unavailable, and reports the end that it has read. If the later removal counted
    at an offset that the other instances already know, none of them would receive it,
    and all but the reader would keep sending requests to the server.
    """
    readers, others = make_members()
    reader, member = readers[0], others[0]
    for each in (reader, member):
        change_backend(each, 1)
        change_backend(each, 2)
        each.read(5, clock.time)
    reader.refuse_call(clock.time + 0.5)
    clock.time += MIN_OUTAGE_S + 0.5
    reader.read(5, clock.time)
    reader.replica.remove_backend("b2", clock.time)
    reader.read(7, clock.time)
    if by_snapshot:
        snapshot = reader.replica.snapshot(clock.time)
        member.replica.merge(snapshot, requested_at=clock.time, now=clock.time)
    else:
        query_reader(member, reader)
    assert "b2" in reader.replica.backends
    assert "b2" in member.replica.backends
    clock.time += LAPSED_RECORD_GRACE_S + 0.1
    reader.replica.expire_lapsed(clock.time)
    reader.read(7, clock.time)
    query_reader(member, reader)
    assert set(reader.replica.backends) == {"b1"}
    member.replica.expire_lapsed(clock.time + LAPSED_RECORD_GRACE_S + 0.1)
    assert set(member.replica.backends) == {"b1"}
    assert member.fetched == []
    assert query_reader(member, reader).gone == []


def test_list_the_store_where_a_reader_knows_other_servers(clock: Clock) -> None:
    """A server's record lapsed and returned; a member that started then missed it."""
    readers, others = make_members()
    reader, member = readers[0], others[0]
    for each in (reader, member):
        change_backend(each, 1)
        each.read(5, clock.time)
    change_backend(reader, 2)
    reader.replica.record_backends_read(
        end=BackendsPosition(offset=5), requested_at=clock.time, now=clock.time
    )
    member.read(6, clock.time)
    reader.read(6, clock.time)
    assert query_reader(member, reader).changed == []
    assert member.replica.must_list_backends(clock.time)
    member.replica.list_backends_at = math.inf
    query_reader(member, reader)
    assert not member.replica.must_list_backends(clock.time)


def test_pass_on_a_change_while_a_removal_is_pending(clock: Clock) -> None:
    """Another server changes in the meantime; a third instance queries the second."""
    readers, others = make_members()
    reader, member, third = readers[0], others[0], others[1]
    for each in (reader, member, third):
        change_backend(each, 1)
        change_backend(each, 2)
        each.read(5, clock.time)
    reader.refuse_call(clock.time + 0.5)
    clock.time += MIN_OUTAGE_S + 0.5
    reader.read(5, clock.time)
    reader.replica.remove_backend("b2", clock.time)
    change_backend(reader, 1, leaving=True)
    reader.read(7, clock.time)
    query_reader(member, reader)
    assert member.replica.backends["b1"].leaving
    query_reader(third, member)
    assert third.replica.backends["b1"].leaving


def test_fetch_a_snapshot_from_a_reader_without_history(clock: Clock) -> None:
    """A reader that has just started knows the list but not the changes before it."""
    readers, others = make_members()
    reader, member = readers[0], others[0]
    member.read(5, clock.time)
    change_backend(reader, 1)
    reader.read(9, clock.time)
    member.sync.tick()
    ((_, query),) = member.sent
    reader.sync.handle_query("member", query)
    ((_, reply),) = reader.sent
    member.sync.handle_reply("reader", reply)
    assert member.fetched == ["reader"]
    assert member.replica.backends_end == BackendsPosition(offset=5)


def test_query_other_members_when_the_readers_are_stale(clock: Clock) -> None:
    """The store rejects the readers and serves the other instances.

    An instance that is rejected as well and queried only the readers would reject every
    key although most instances know the keys.
    """
    _, others = make_members()
    member = others[0]
    member.read(5, clock.time)
    queried = set()
    for _ in range(120):
        clock.time += 0.05
        member.sync.tick()
        for to, query in member.sent:
            queried.add(to)
            stale = ReplicaReply(
                sequence=query.sequence,
                operators_offset=5,
                operators_age_s=clock.time - 100.0,
                backends_offset=5,
                changed_offset=5,
                backends_age_s=clock.time - 100.0,
            )
            member.sync.handle_reply(to, stale)
        member.sent.clear()
    assert len(queried) == 5


def make_backends_reply(
    query: ReplicaQuery, age_s: float, *, operators_age_s: float = 0.1
) -> ReplicaReply:
    """Return the reply of a member whose list of servers has an age."""
    return ReplicaReply(
        sequence=query.sequence,
        operators_offset=5,
        operators_age_s=operators_age_s,
        backends_offset=5,
        changed_offset=5,
        backends_age_s=age_s,
    )


def test_query_other_members_when_only_the_servers_are_stale(clock: Clock) -> None:
    """The store refuses the reader, and a member, only since its last configuration.

    Members that asked nobody else until the operators' state was old, too, learned of a
    new server a second after the others, which read the store themselves.
    """
    _, _, others = find_roles(6)
    member, fresh = others[0], others[1].sync._me
    member.read(5, clock.time)
    began = clock.time
    limit_s = member.sync.limits.backends_s
    clock.time += limit_s
    while member.replica.backends_age(clock.time) > 0.1:
        clock.time += 0.05
        member.replica.record_operators_read(
            end=OperatorsPosition(offset=5), requested_at=clock.time
        )
        member.sync.tick()
        for to, query in member.sent:
            age_s = 0.0 if to == fresh else clock.time - began
            member.sync.handle_reply(to, make_backends_reply(query, age_s))
        member.sent.clear()
        assert clock.time - began <= limit_s + 6 * replicasync.REPLY_TIMEOUT_S


def test_query_the_member_that_was_fresh_again(clock: Clock) -> None:
    """A member that found a fresh one asks it first when it is stale once more.

    A search through all members for each change takes longer than servers may leave.
    """
    _, _, others = find_roles(6)
    member, fresh = others[0], others[1].sync._me
    member.read(5, clock.time)
    member.sync.handle_reply(fresh, _answer_next(member, fresh))
    clock.time += member.sync.limits.backends_s + 0.1
    member.sync.tick()
    assert [to for to, _ in member.sent] == [fresh]


def _answer_next(member: Member, name: str) -> ReplicaReply:
    """Let a member send its next query; return the fresh reply of another to it."""
    member.sync.tick()
    _, query = member.sent.pop()
    return make_backends_reply(query, 0.1)


def test_stale_reader_queries_others(clock: Clock) -> None:
    """The store refuses the reader, which queried nobody: its members stay behind."""
    reader, _, _ = find_roles(6)
    reader.read(5, clock.time)
    reader.sync.tick()
    assert not reader.sent
    clock.time += reader.sync.limits.backends_s + 0.1
    reader.sync.tick()
    assert len(reader.sent) == 1


def test_count_stale_replies_no_faster_than_usual_queries(clock: Clock) -> None:
    """A standby asks others faster while it is stale, and reads the store no sooner.

    All instances are stale when the store is away; standbys would ask it more often.
    """
    _, standbys, _ = find_roles(6)
    member = standbys[0]
    member.read(5, clock.time)
    began = clock.time
    clock.time += member.sync.limits.operators_s + 0.1
    first_at = clock.time
    while not member.sync.is_reader:
        member.sync.tick()
        for to, query in member.sent:
            age_s = clock.time - began
            reply = make_backends_reply(query, age_s, operators_age_s=age_s)
            member.sync.handle_reply(to, reply)
        member.sent.clear()
        clock.time += 0.01
    assert clock.time - first_at >= member.sync.limits.request_interval_s
