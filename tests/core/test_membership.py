"""Check membership with a small network in virtual time."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

import msgspec
import pytest

from baobabthread.core.configuration.freshness import (
    Freshness,
    FreshnessSettings,
    FreshnessState,
)
from baobabthread.core.membership.gossip import GossipStore, measure
from baobabthread.core.membership.membership import Membership
from baobabthread.core.membership.messages import (
    FetchRecords,
    GossipPayload,
    Hint,
    MemberInfo,
    MemberState,
)
from baobabthread.core.membership.table import ENOUGH_SILENT, MemberTable
from baobabthread.core.messages import Effects, Send
from baobabthread.core.positions import OperatorsPosition

DELAY_S = 0.001
START_S = 10.0
HEADER_BYTES = 250


class Net:
    """Carry messages between entries, except where they are cut."""

    def __init__(self, size: int) -> None:
        self.now = START_S
        self.members: dict[str, Membership] = {}
        self.freshness: dict[str, Freshness] = {}
        self.side: dict[str, int] = {}
        self.stopped: set[str] = set()
        self.fetches: list[FetchRecords] = []
        self.bytes = 0
        self.messages = 0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        for index in range(size):
            self.start(f"e{index}")

    def start(self, name: str, *, started_at: float = START_S, life: int = 1) -> None:
        me = MemberInfo(
            name=name,
            address=f"{name}:80",
            peer_address=f"{name}:81",
            failure_domain=f"d{len(self.members) % 4}",
            incarnation=f"{name}.{life}",
            started_at=started_at,
        )
        self.freshness[name] = Freshness(settings=FreshnessSettings(bound_s=5.0))
        member = Membership(
            me=me,
            seeds=["e0:81", "e1:81"],
            rng=random.Random(f"{name}{life}"),
            freshness=self.freshness[name],
        )
        self.members[name] = member
        self.side.setdefault(name, 0)
        self.stopped.discard(name)
        self._at(self.now + len(self.members) * 0.01, lambda: self._tick(name, member))

    def run(self, seconds: float, *, log_sides: tuple[int, ...] = (0, 1)) -> None:
        """Run; entries of some sides read the log's head all the time."""
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            self.now, _, action = heapq.heappop(self._heap)
            for name, freshness in self.freshness.items():
                if self.side[name] in log_sides:
                    freshness.read_head(
                        head=OperatorsPosition(offset=0), started_at=self.now
                    )
            action()
        self.now = end

    def do(self, name: str, effects: Effects) -> None:
        for effect in effects:
            if isinstance(effect, FetchRecords):
                self.fetches.append(effect)
            elif isinstance(effect, Send):
                self._send(name, effect)

    def alive(self, name: str) -> list[str]:
        return sorted(member.name for member in self.members[name].alive())

    def _send(self, name: str, send: Send) -> None:
        self.messages += 1
        self.bytes += len(msgspec.json.encode(send.message))
        to = self.members[name].peer_address(send.to).partition(":")[0]
        if to not in self.members or to in self.stopped:
            return
        if self.side[to] != self.side[name]:
            return

        def arrive() -> None:
            message = msgspec.json.decode(
                msgspec.json.encode(send.message), type=type(send.message)
            )
            self.do(to, self.members[to].handle(name, message, self.now))

        self._at(self.now + DELAY_S, arrive)

    def _tick(self, name: str, member: Membership) -> None:
        if self.members[name] is not member:
            return
        if name not in self.stopped:
            self.do(name, member.tick(self.now))
        due = max(member.next_due(self.now), self.now + 0.01)
        self._at(due, lambda: self._tick(name, member))

    def _at(self, time_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (time_s, next(self._order), action))


def _joined(size: int, *, seconds: float = 3.0) -> Net:
    net = Net(size)
    net.run(seconds)
    everyone = sorted(net.members)
    assert all(net.alive(name) == everyone for name in everyone)
    return net


def test_drop_a_killed_entry_within_seconds() -> None:
    net = _joined(6)
    net.stopped.add("e2")
    net.run(3.0)
    assert all("e2" not in net.alive(name) for name in net.members if name != "e2")
    net.run(9.0)
    assert net.members["e0"].lost() == ["e2"]


def test_leave_at_once_and_never_count_as_lost() -> None:
    net = _joined(6)
    net.do("e3", net.members["e3"].leave(net.now))
    net.run(0.01)
    assert all("e3" not in net.alive(name) for name in net.members)
    net.stopped.add("e3")
    net.run(15.0)
    assert net.members["e0"].lost() == []
    assert net.members["e0"].reach(net.now).known == 4


def test_take_a_restart_with_a_clock_set_back() -> None:
    """An entry restarts under its name and its clock is an hour behind.

    The others hold its earlier life to be the newer one. It learns that from the first
    message and takes over the later start, or it would never be listed again.
    """
    net = _joined(4)
    net.stopped.add("e2")
    net.run(10.0)
    net.start("e2", started_at=START_S - 3600, life=2)
    net.run(6.0)
    assert all("e2" in net.alive(name) for name in net.members)
    held = net.members["e0"].table.get("e2")
    assert held is not None
    assert held.incarnation == "e2.2"


def test_serve_in_an_outage_and_refuse_in_a_minority() -> None:
    """Two of six lose the log and the others; later the log goes down for all.

    The two count the four that they don't hear and refuse after the bound, however
    long it lasts. With nobody reaching the log, six that hear each other serve on.
    """
    net = _joined(6)
    net.side.update(e4=1, e5=1)
    for _ in range(30):
        net.run(30.0, log_sides=(0,))
        for name in net.members:
            state = net.freshness[name].state(net.now)
            cut = name in ("e4", "e5")
            assert state is (FreshnessState.CUT_OFF if cut else FreshnessState.FRESH)
    net.side.update(e4=0, e5=0)
    net.run(10.0)
    assert all(len(net.alive(name)) == 6 for name in net.members)
    net.run(20.0, log_sides=())
    states = {f.state(net.now) for f in net.freshness.values()}
    assert states == {FreshnessState.LOG_OUTAGE}


def test_wake_from_a_pause_without_burying_others() -> None:
    """A process is stopped for a minute just after it asked somebody.

    When it wakes, its question is unanswered and every suspicion has run out. It must
    not take that for the death of the others, which it did not listen to.
    """
    net = _joined(6)
    member = net.members["e1"]
    member.tick(net.now + 0.4)
    member.table.suspect("e0", net.now + 0.4)
    member.tick(net.now + 60)
    assert member.lost() == []


def test_fetch_what_a_peer_has() -> None:
    net = _joined(6)
    net.members["e0"].report(generation=7, read_position=OperatorsPosition(offset=9))
    net.do("e0", net.members["e0"].announce(7, net.now))
    net.run(0.5)
    assert {fetch.after for fetch in net.fetches} == {0}
    assert net.members["e1"].unconfirmed(7) == ["e2", "e3", "e4", "e5"]


def test_take_the_roster_as_a_hint() -> None:
    net = _joined(3)
    member = net.members["e0"]
    hints = [
        Hint(name="e1", peer_address="e1:81", leaving=True),
        Hint(name="e9", peer_address="e9:81", leaving=False),
    ]
    member.hint(hints, net.now)
    assert net.alive("e0") == ["e0", "e2"]
    assert member.reach(net.now).known == 3
    member.hint([], net.now)
    assert net.alive("e0") == ["e0", "e1", "e2"]
    assert member.reach(net.now).known == 2


def test_spread_values_within_their_bound() -> None:
    net = _joined(12)
    for name, member in net.members.items():
        for sequence in (2, 1):
            body = msgspec.Raw(msgspec.json.encode(sequence))
            member.publish(
                GossipPayload(topic="t", origin=name, sequence=sequence, body=body)
            )
    net.run(8.0)
    for member in net.members.values():
        values = {(p.origin, p.sequence) for p in member.gossip.topic("t")}
        assert values == {(name, 2) for name in net.members}


def test_bound_the_gossip_store() -> None:
    store = GossipStore(max_bytes=1_000)
    for index in range(100):
        body = msgspec.Raw(b'"' + b"x" * 40 + b'"')
        payload = GossipPayload(topic="t", origin=f"{index}", sequence=1, body=body)
        assert store.put(payload)
        assert not store.put(payload)
    assert sum(map(measure, store.topic("t"))) <= 1_000
    chosen = store.choose(limit_bytes=300, repeats=1)
    assert 0 < sum(map(measure, chosen)) <= 300
    assert not store.put(msgspec.structs.replace(payload, sequence=0))


@pytest.mark.parametrize("size", [6, 60])
def test_keep_the_traffic_of_an_entry_bounded(size: int) -> None:
    net = _joined(size, seconds=12.0)
    for name, member in net.members.items():
        for index in range(40):
            body = msgspec.Raw(b'"' + b"x" * 200 + b'"')
            payload = GossipPayload(
                topic=f"{index}", origin=name, sequence=1, body=body
            )
            member.publish(payload)
    net.bytes = net.messages = 0
    net.run(20.0)
    headers = net.messages * HEADER_BYTES
    assert 2 * (net.bytes + headers) / size / 20 < 14_000


def test_tell_an_age_only_with_the_offset_that_it_is_about() -> None:
    """One entry reads a new configuration, and is probed before its next report.

    It takes a key away. Told the new age beside the offset reported before, the other
    entry, which lacks that configuration, would call itself fresh and honour the key.
    """
    net = Net(2)
    for name, member in net.members.items():
        net.freshness[name].fold_to(OperatorsPosition(offset=2))
        member.report(generation=1, read_position=OperatorsPosition(offset=2))
    net.run(3.0, log_sides=())
    net.freshness["e1"].read_head(head=OperatorsPosition(offset=3), started_at=net.now)
    net.freshness["e1"].fold_to(OperatorsPosition(offset=3))
    net.run(3.0, log_sides=())
    assert net.freshness["e1"].head_age(net.now) < 4.0
    assert net.freshness["e0"].head_age(net.now) > 5.0
    assert net.freshness["e0"].state(net.now) is not FreshnessState.FRESH


def make_table(suspects: dict[str, int], members: int) -> MemberTable:
    """Return a table of domains with so many members each, some of them suspects."""
    table = MemberTable()
    for domain, count in suspects.items():
        for number in range(members):
            state = MemberState.SUSPECT if number < count else MemberState.ALIVE
            table.merge(
                MemberInfo(
                    name=f"{domain}-{number}",
                    address="127.0.0.1:1",
                    peer_address="127.0.0.1:2",
                    failure_domain=domain,
                    incarnation=f"{domain}-{number}.1",
                    started_at=START_S,
                    state=state,
                ),
                START_S,
            )
    return table


def test_take_a_domain_for_dark_once_half_of_it_is_suspected() -> None:
    """A failure domain loses its power: seconds pass until all of it was probed.

    Its other members are named to callers until then, and callers that connect to them
    hang. Single crashes tell nothing of the rest.
    """
    table = make_table({"a": 5, "b": ENOUGH_SILENT - 1, "c": 4, "d": 0}, 10)
    assert table.list_dark_domains() == {"a"}
    endangered = table.list_endangered()
    assert sorted({name[0] for name in endangered}) == ["a", "c"]
    assert len(endangered) == 5 + 6
    assert make_table({"a": 2, "b": 2}, 2).list_dark_domains() == set()
