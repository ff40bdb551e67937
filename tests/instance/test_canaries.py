"""Tests of word about a version on trial among many instances."""

from __future__ import annotations

import functools
from typing import Any

import msgspec
import pytest

from baobabthread.core.rendezvous import rank
from baobabthread.instance import canaries
from baobabthread.instance.canaries import (
    CANDIDATE_COUNT,
    CanaryCoordinator,
    CanaryPermit,
    CanaryReport,
    CanaryVerdict,
)
from baobabthread.routing.canary import Evidence
from baobabthread.routing.configuration import RolloutState
from baobabthread.routing.progress import Progress


class Clock:
    """Stand still until a test moves it on."""

    def __init__(self) -> None:
        self.time = 100.0

    def __call__(self) -> float:
        return self.time


class Desks:
    """Hold the desks of many instances and carry what they send."""

    def __init__(self, count: int) -> None:
        names = [f"i{number}" for number in range(count)]
        self.sent: list[tuple[str, Any]] = []
        self.lost: set[str] = set()
        self.verdicts: dict[str, Progress] = {}
        self.permits: dict[str, list[float]] = {}
        self.all = {name: self._make(name, names) for name in names}

    def _make(self, name: str, names: list[str]) -> CanaryCoordinator:
        desk = CanaryCoordinator(me=name, send=functools.partial(self._carry, name))
        desk.set_members(names)
        desk.handle_verdict = lambda progress: self.verdicts.update({name: progress})
        return desk

    def rank(self) -> list[str]:
        """Return those that lead or would stand in, the first one first."""
        return rank("s", self.all)[:CANDIDATE_COUNT]

    def _carry(self, sender: str, to: str, message: msgspec.Struct) -> None:
        self.sent.append((to, message))
        if to in self.lost:
            return
        if isinstance(message, CanaryReport):
            self.all[to].handle_report(sender, message)
        elif isinstance(message, CanaryPermit):
            self.permits.setdefault(to, []).append(message.sent_at)
        elif isinstance(message, CanaryVerdict):
            self.all[to].handle_verdict(message.progress)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(canaries, "now", clock)
    return clock


def make_word(origin: str, **more: Any) -> CanaryReport:
    progress = Progress(service="s", number=1, elapsed_s=1.0, share=0.05, old_running=3)
    return CanaryReport(
        origin=origin,
        progress=msgspec.structs.replace(progress, **more),
        evidence=Evidence(number=1, counts=[]),
    )


def test_tell_two_of_two_hundred(clock: Clock) -> None:
    """Each instance counts answers of the new version while a roll-out runs.

    Spread to all, the words of two hundred instances grow with their square.
    """
    desks = Desks(200)
    for _ in range(40):
        for name, desk in desks.all.items():
            desk.send_report(make_word(name, elapsed_s=clock.time))
        clock.time += 0.25
    leader, deputy = desks.all["i0"].leaders("s")
    assert len(desks.all[leader].reports("s", 1)) == 199
    assert len(desks.all[deputy].reports("s", 1)) == 199
    assert len(desks.sent) <= 5 * 2 * 200


def test_tell_again_when_another_leads(clock: Clock) -> None:
    """The leader is lost in the middle of a roll-out; nothing has changed since.

    The next one in line knows all words already, and one that moves up hears them.
    """
    desks = Desks(20)
    names = list(desks.all)
    for name, desk in desks.all.items():
        desk.send_report(make_word(name))
    gone = desks.all["i0"].leaders("s")
    left = [name for name in names if name != gone[0]]
    for name in left:
        desks.all[name].set_members(left)
    assert desks.all[left[0]].leaders("s")[0] == gone[1]
    clock.time += 2.1
    for name in left:
        desks.all[name].send_report(make_word(name))
    third = desks.all[left[0]].leaders("s")[1]
    assert len(desks.all[third].reports("s", 1)) == 18


def test_tell_all_what_the_leader_concludes(clock: Clock) -> None:
    """A bad version is found out, and the first datagram to an instance is lost.

    It would go on to send callers there until gossip arrives, some seconds later.
    """
    desks = Desks(20)
    leader = desks.all["i0"].leaders("s")[0]
    missed = next(name for name in desks.all if name != leader)
    desks.lost.add(missed)
    desks.all[leader].publish_verdict(make_word(leader, alarm="bad").progress)
    assert len(desks.verdicts) == 18
    desks.lost.clear()
    clock.time += 0.35
    desks.all[leader].tick()
    assert desks.verdicts[missed].alarm == "bad"
    sent = len(desks.sent)
    for _ in range(10):
        clock.time += 0.5
        desks.all[leader].publish_verdict(make_word(leader, alarm="bad").progress)
        desks.all[leader].tick()
    assert len(desks.sent) == sent + 19


def test_tell_at_once_when_a_roll_out_has_moved(clock: Clock) -> None:
    """The last request on the old version ends; the roll-out waits for that word."""
    desks = Desks(20)
    desk = desks.all["i0"]
    leader = next(name for name in desk.leaders("s") if name != "i0")
    desk.send_report(make_word("i0", share=1.0))
    clock.time += 0.3
    desk.send_report(make_word("i0", share=1.0, old_running=0))
    (word,) = desks.all[leader].reports("s", 1)
    assert word.progress.old_running == 0


def test_permit_only_what_the_leader_has_heard_and_may_permit(clock: Clock) -> None:
    """The leader hears an instance but can't tell whether the trial was taken back.

    A permit answers a word: one that was lost, or that comes to somebody else, is none.
    """
    desks = Desks(5)
    leader = desks.all["i0"].leaders("s")[0]
    name = next(
        name for name in desks.all if name not in desks.all[leader].leaders("s")
    )
    desks.all[name].send_report(make_word(name))
    assert not desks.permits
    progress = make_word(leader).progress
    for desk in desks.all.values():
        desk.find_permit = lambda service, number: progress if number == 1 else None
    clock.time += 2.1
    desks.all[name].send_report(make_word(name))
    assert desks.permits == {name: [clock.time]}
    desks.lost.add(leader)
    clock.time += 2.1
    desks.all[name].send_report(make_word(name))
    assert len(desks.permits[name]) == 1


def choose_follower(desks: Desks) -> str:
    """Return an instance that neither leads nor would stand in."""
    return next(name for name in desks.all if name not in desks.rank())


def test_send_a_lost_word_once_more(clock: Clock) -> None:
    """Among two hundred the next word is due after a second; the permit would lapse."""
    desks = Desks(200)
    name = choose_follower(desks)
    desk = desks.all[name]
    leader = desk.leaders("s")[0]
    desk.record_permit("s", clock.time)
    clock.time += 1.1
    desks.lost.add(leader)
    desk.send_report(make_word(name, elapsed_s=1.0, old_running=1), permit_left_s=1.4)
    desks.lost.clear()
    sent = len(desks.sent)
    clock.time += 0.25
    desk.send_report(make_word(name, elapsed_s=1.2, old_running=2), permit_left_s=1.2)
    assert len(desks.sent) == sent
    clock.time += 0.1
    desk.send_report(make_word(name, elapsed_s=1.3, old_running=2), permit_left_s=1.1)
    assert [word.origin for word in desks.all[leader].reports("s", 1)] == [name]
    sent = len(desks.sent)
    clock.time += 0.35
    desk.send_report(make_word(name, elapsed_s=1.6, old_running=3), permit_left_s=1.0)
    assert len(desks.sent) == sent


def test_renew_a_permit_without_news(clock: Clock) -> None:
    desks = Desks(200)
    name = choose_follower(desks)
    desk = desks.all[name]
    word = make_word(name)
    desk.send_report(word)
    clock.time += 1.1
    desk.send_report(word, permit_left_s=1.4)
    assert len(desks.sent) == 2
    desk.send_report(word, permit_left_s=1.2)
    assert len(desks.sent) == 4


def test_stand_in_for_a_leader_that_gives_no_permits(clock: Clock) -> None:
    """The leader reaches no store: the permits of all instances ran out at once."""
    desks = Desks(20)
    name = choose_follower(desks)
    leader, *others = desks.rank()
    progress = make_word(leader).progress
    for other in others:
        desks.all[other].find_permit = lambda service, number: progress
    desks.all[name].send_report(make_word(name), permit_left_s=2.0)
    assert not desks.permits
    assert not any(desks.all[other].acts_as_leader("s") for other in others)
    clock.time += 0.4
    desks.all[name].send_report(make_word(name), permit_left_s=0.8)
    assert len(desks.permits[name]) == len(others)
    assert all(desks.all[other].acts_as_leader("s") for other in others)
    clock.time += 2.1
    assert not any(desks.all[other].acts_as_leader("s") for other in others)


def test_tell_all_of_the_end(clock: Clock) -> None:
    desks = Desks(20)
    leader = desks.rank()[0]
    word = make_word(leader, state=RolloutState.REVERTED)
    desks.all[leader].publish_verdict(word.progress)
    assert len(desks.verdicts) == 19
    assert {p.state for p in desks.verdicts.values()} == {RolloutState.REVERTED}
