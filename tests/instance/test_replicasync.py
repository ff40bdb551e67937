"""Tests of who reads the store and what the others learn from them."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from baobabthread.instance import replicasync
from baobabthread.instance.replicasync import ReplicaQuery, ReplicaReply, ReplicaSync
from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.configuration import BackendRecord
from baobabthread.routing.readers import ReaderAssignment
from baobabthread.routing.replica import (
    LAPSED_RECORD_GRACE_S,
    STORE_OUTAGE_GAP_S,
    StateReplica,
)

NAMES = ["i1", "i2", "i3", "i4", "i5", "i6"]


class Clock:
    """Stand still until a test moves it on."""

    def __init__(self) -> None:
        self.time = 100.0

    def __call__(self) -> float:
        return self.time


class Member:
    """Hold one instance's relay and what it sent and fetched."""

    def __init__(self, name: str, names: list[str]) -> None:
        self.knowledge = StateReplica(bounds=RoutingBounds())
        self.sent: list[tuple[str, Any]] = []
        self.fetched: list[str] = []
        self.relay = ReplicaSync(
            me=name,
            replica=self.knowledge,
            send=self._tell,
            fetch=self.fetched.append,
        )
        self.relay.set_members(names)

    def _tell(self, to: str, message: msgspec.Struct) -> None:
        self.sent.append((to, message))

    def read(self, end: int, at: float) -> None:
        """Note that this instance read both topics itself."""
        self.knowledge.record_operators_read(end=end, requested_at=at)
        self.knowledge.record_backends_read(end=end, requested_at=at, now=at)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(replicasync, "now", clock)
    return clock


def make_members(count: int = 6) -> tuple[list[Member], list[Member]]:
    """Return the readers and the others."""
    names = [f"i{number}" for number in range(count)]
    members = [Member(name, names) for name in names]
    readers = [m for m in members if m.relay.is_reader]
    return readers, [m for m in members if not m.relay.is_reader]


@pytest.mark.parametrize(
    ("count", "readers"), [(1, 1), (6, 1), (61, 1), (195, 3), (400, 5)]
)
def test_let_few_read(clock: Clock, count: int, readers: int) -> None:
    assert len(make_members(count)[0]) == readers


def test_confirm_what_is_known_by_question_and_answer(clock: Clock) -> None:
    readers, others = make_members()
    reader, member = readers[0], others[0]
    reader.read(5, clock.time)
    member.read(5, clock.time - 3)
    member.relay.tick()
    ((_, question),) = member.sent
    clock.time += 0.2
    reader.relay.handle_query("member", question)
    ((_, word),) = reader.sent
    clock.time += 0.3
    member.relay.handle_reply("reader", word)
    # Counted from the question: the answer may have waited in a paused process.
    assert member.knowledge.operators_age(clock.time) == pytest.approx(0.7, abs=0.002)
    assert not member.relay.must_read_operators()


def test_take_no_age_from_a_word_that_nobody_asked_for(clock: Clock) -> None:
    """A reader's word lies in the socket of a suspended machine for four seconds.

    Its ages look fresh when it is read at last; a key taken away meanwhile would be
    honoured.
    """
    _, others = make_members()
    member = others[0]
    member.read(5, clock.time - 10)
    word = ReplicaReply(
        sequence=0,
        operators_end=5,
        operators_age_s=0.1,
        backends_end=5,
        backends_changed_at=5,
        backends_age_s=0.1,
    )
    member.relay.handle_reply("reader", word)
    assert member.knowledge.operators_age(clock.time) == 10.0


def test_fetch_what_changed(clock: Clock) -> None:
    readers, others = make_members()
    reader, member = readers[0], others[0]
    member.read(5, clock.time)
    reader.read(5, clock.time)
    reader.relay.handle_query("member", ReplicaQuery(sequence=1))
    reader.relay.tick()
    reader.sent.clear()
    reader.knowledge.apply_backend(
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
    reader.relay.tick()
    ((to, word),) = reader.sent
    assert to == "member"
    member.relay.handle_reply("reader", word)
    assert member.fetched == ["reader"]


def test_read_a_new_configuration_from_the_store(clock: Clock) -> None:
    """Operators add a thousand routes, and the reader sits on a slow link.

    Twenty instances that fetched it there would have it after ten seconds; the change
    is due within three.
    """
    _, others = make_members()
    member = others[0]
    member.read(5, clock.time)
    assert not member.relay.must_read_operators()
    word = ReplicaReply(
        sequence=0,
        operators_end=6,
        operators_age_s=0.1,
        backends_end=5,
        backends_changed_at=5,
        backends_age_s=0.1,
    )
    member.relay.handle_reply("reader", word)
    assert member.relay.must_read_operators()
    assert member.fetched == []
    member.read(6, clock.time)
    assert not member.relay.must_read_operators()


def find_roles(count: int) -> tuple[Member, list[Member], list[Member]]:
    """Return the reader, those that stand by for it, and all others."""
    readers, others = make_members(count)
    by_name = {member.relay._me: member for member in others}
    sources = ReaderAssignment(me="-", names=[f"i{number}" for number in range(count)])
    standbys = [by_name.pop(name) for name in sources.standbys]
    return readers[0], standbys, list(by_name.values())


def stay_silent(clock: Clock, member: Member) -> float:
    """Answer nothing until a member reads itself; return after how long."""
    began = clock.time
    member.read(5, clock.time)
    while not member.relay.must_read_operators():
        clock.time += 0.05
        member.relay.tick()
        assert clock.time < began + 5.0
    return clock.time - began


def test_read_the_store_when_the_reader_is_silent(clock: Clock) -> None:
    """The reader is cut off right before a change that is due in two seconds.

    A standby reads as soon as two questions went unanswered, before anybody else's
    knowledge has grown too old; who hears nothing of it either reads a little later.
    """
    _, standbys, others = find_roles(6)
    assert stay_silent(clock, standbys[0]) < 1.0
    member = others[0]
    assert 1.5 <= stay_silent(clock, member) < 1.75
    asked = {to for to, _ in member.sent}
    reader, standbys, _ = find_roles(6)
    assert {reader.relay._me, *(s.relay._me for s in standbys)} <= asked


def test_take_turns_when_nobody_is_fresh(clock: Clock) -> None:
    """The store turns all readers away; two hundred instances must not ask at once."""
    _, _, others = find_roles(195)
    times = sorted(round(stay_silent(clock, member), 2) for member in others)
    assert times[-1] - times[0] > 0.5


def test_know_nobody_yet(clock: Clock) -> None:
    """All instances start in the same moment and know nobody for half a second.

    Each that took itself for the only one would read twice a second for all others.
    """
    knowledge = StateReplica(bounds=RoutingBounds())
    relay = ReplicaSync(
        me="i0",
        replica=knowledge,
        send=lambda to, message: None,
        fetch=lambda name: None,
        has_seeds=True,
    )
    knowledge.record_operators_read(end=5, requested_at=clock.time)
    assert not relay.must_read_operators()
    clock.time += 3.0
    assert relay.is_reader


def change_backend(member: Member, number: int, *, leaving: bool = False) -> None:
    """Let a reader read the record of one backend server."""
    record = BackendRecord(
        id=f"b{number}",
        service="s",
        address="-",
        failure_domain="a",
        version="v1",
        capacity=1,
        leaving=leaving,
    )
    member.knowledge.apply_backend(record)


def test_tell_changes_one_by_one(clock: Clock) -> None:
    """Backend servers leave one after the other before two hundred instances.

    With the whole list fetched by all for each, ten changes were 20 MB.
    """
    readers, others = make_members()
    reader, member = readers[0], others[0]
    for each in (reader, member):
        change_backend(each, 1)
        change_backend(each, 2)
        each.read(5, clock.time)
    change_backend(reader, 1, leaving=True)
    reader.knowledge.remove_backend("b2", clock.time + 5.0)
    reader.read(7, clock.time)
    member.relay.tick()
    ((_, question),) = member.sent
    reader.relay.handle_query("member", question)
    ((_, word),) = reader.sent
    assert [record.id for record in word.changed] == ["b1"]
    assert word.gone == ["b2"]
    clock.time += 5.0
    member.relay.handle_reply("reader", word)
    member.knowledge.expire_lapsed(clock.time)
    assert member.fetched == []
    assert member.knowledge.backends["b1"].leaving
    assert set(member.knowledge.backends) == {"b1"}
    assert member.knowledge.backends_end == 7


def ask(member: Member, reader: Member) -> ReplicaReply:
    """Let a member ask a reader and take in the answer; return it."""
    member.sent.clear()
    reader.sent.clear()
    member.relay._queried_at = -1e9
    member.relay.tick()
    ((_, question),) = member.sent
    reader.relay.handle_query("member", question)
    ((_, word),) = reader.sent
    assert isinstance(word, ReplicaReply)
    member.relay.handle_reply("reader", word)
    return word


@pytest.mark.parametrize("by_list", [False, True])
def test_tell_of_a_server_that_is_dropped_late(clock: Clock, by_list: bool) -> None:
    """A server crashes and its record lapses while the reader's reads are slow.

    The reader keeps it for two seconds, as records lapse with a store that is away, and
    tells others that it has read as far. Dropped then, it changed at an offset that all
    of them know: nobody was told, and all but the reader sent work there for good.
    """
    readers, others = make_members()
    reader, member = readers[0], others[0]
    for each in (reader, member):
        change_backend(each, 1)
        change_backend(each, 2)
        each.read(5, clock.time)
    clock.time += STORE_OUTAGE_GAP_S + 0.5
    reader.read(5, clock.time)
    reader.knowledge.remove_backend("b2", clock.time)
    reader.read(7, clock.time)
    if by_list:
        snapshot = reader.knowledge.snapshot(clock.time)
        member.knowledge.merge(snapshot, requested_at=clock.time, now=clock.time)
    else:
        ask(member, reader)
    assert "b2" in reader.knowledge.backends
    assert "b2" in member.knowledge.backends
    clock.time += LAPSED_RECORD_GRACE_S + 0.1
    reader.knowledge.expire_lapsed(clock.time)
    reader.read(7, clock.time)
    ask(member, reader)
    assert set(reader.knowledge.backends) == {"b1"}
    member.knowledge.expire_lapsed(clock.time + LAPSED_RECORD_GRACE_S + 0.1)
    assert set(member.knowledge.backends) == {"b1"}
    assert member.fetched == []
    assert ask(member, reader).gone == []


def test_pass_on_what_came_while_a_drop_was_open(clock: Clock) -> None:
    """Another server changes while one is kept; a third instance asks the second."""
    readers, others = make_members()
    reader, member, third = readers[0], others[0], others[1]
    for each in (reader, member, third):
        change_backend(each, 1)
        change_backend(each, 2)
        each.read(5, clock.time)
    clock.time += STORE_OUTAGE_GAP_S + 0.5
    reader.read(5, clock.time)
    reader.knowledge.remove_backend("b2", clock.time)
    change_backend(reader, 1, leaving=True)
    reader.read(7, clock.time)
    ask(member, reader)
    assert member.knowledge.backends["b1"].leaving
    ask(third, member)
    assert third.knowledge.backends["b1"].leaving


def test_fetch_all_from_who_can_not_tell_each_change(clock: Clock) -> None:
    """A reader that has just started knows the list, and not what came before it."""
    readers, others = make_members()
    reader, member = readers[0], others[0]
    member.read(5, clock.time)
    change_backend(reader, 1)
    reader.read(9, clock.time)
    member.relay.tick()
    ((_, question),) = member.sent
    reader.relay.handle_query("member", question)
    ((_, word),) = reader.sent
    member.relay.handle_reply("reader", word)
    assert member.fetched == ["reader"]
    assert member.knowledge.backends_end == 5


def test_ask_others_when_the_readers_are_stale(clock: Clock) -> None:
    """The store turns both readers away and serves the other instances.

    An instance that is turned away too, and asks the readers alone, would refuse every
    key though most instances know them.
    """
    _, others = make_members()
    member = others[0]
    member.read(5, clock.time)
    asked = set()
    for _ in range(120):
        clock.time += 0.05
        member.relay.tick()
        for to, question in member.sent:
            asked.add(to)
            stale = ReplicaReply(
                sequence=question.sequence,
                operators_end=5,
                operators_age_s=clock.time - 100.0,
                backends_end=5,
                backends_changed_at=5,
                backends_age_s=clock.time - 100.0,
            )
            member.relay.handle_reply(to, stale)
        member.sent.clear()
    assert len(asked) == 5
