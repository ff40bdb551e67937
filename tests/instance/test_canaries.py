"""Tests of the reports on a canary version among many instances."""

from __future__ import annotations

import functools
from typing import Any

import msgspec
import pytest

from baobabthread.core.positions import OperatorsPosition
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

ORDER = OperatorsPosition(offset=1)


class Clock:
    """A clock that only advances when a test sets it."""

    def __init__(self) -> None:
        self.time = 100.0

    def __call__(self) -> float:
        return self.time


class Coordinators:
    """The coordinators of many instances, with message delivery between them."""

    def __init__(self, count: int) -> None:
        names = [f"i{number}" for number in range(count)]
        self.sent: list[tuple[str, Any]] = []
        self.lost: set[str] = set()
        self.verdicts: dict[str, Progress] = {}
        self.permits: dict[str, list[float]] = {}
        self.all = {name: self._make(name, names) for name in names}

    def _make(self, name: str, names: list[str]) -> CanaryCoordinator:
        coordinator = CanaryCoordinator(
            me=name, send=functools.partial(self._deliver, name)
        )
        coordinator.set_members(names)
        coordinator.handle_verdict = lambda progress: self.verdicts.update(
            {name: progress}
        )
        return coordinator

    def rank(self) -> list[str]:
        """Return the leader and its standbys, in order."""
        return rank("s", self.all)[:CANDIDATE_COUNT]

    def _deliver(self, sender: str, to: str, message: msgspec.Struct) -> None:
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


def make_report(origin: str, **more: Any) -> CanaryReport:
    progress = Progress(service="s", offset=1, elapsed_s=1.0, share=0.05, old_running=3)
    return CanaryReport(
        origin=origin,
        progress=msgspec.structs.replace(progress, **more),
        evidence=Evidence(offset=1, counts=[]),
    )


def test_report_to_two_of_two_hundred(clock: Clock) -> None:
    """Each instance counts responses of the new version while a roll-out runs.

    If reports were sent to all, their number would grow with the square of the
    instances.
    """
    coordinators = Coordinators(200)
    for _ in range(40):
        for name, coordinator in coordinators.all.items():
            coordinator.send_report(make_report(name, elapsed_s=clock.time))
        clock.time += 0.25
    leader, standby = coordinators.all["i0"].leaders("s")
    assert len(coordinators.all[leader].reports("s", ORDER)) == 199
    assert len(coordinators.all[standby].reports("s", ORDER)) == 199
    assert len(coordinators.sent) <= 5 * 2 * 200


def test_report_again_when_the_leader_changes(clock: Clock) -> None:
    """The leader fails in the middle of a roll-out, and nothing has changed since.

    The next instance in line already has all reports, and the one that becomes next in
    line must receive them as well.
    """
    coordinators = Coordinators(20)
    names = list(coordinators.all)
    for name, coordinator in coordinators.all.items():
        coordinator.send_report(make_report(name))
    leaders = coordinators.all["i0"].leaders("s")
    remaining = [name for name in names if name != leaders[0]]
    for name in remaining:
        coordinators.all[name].set_members(remaining)
    assert coordinators.all[remaining[0]].leaders("s")[0] == leaders[1]
    clock.time += 2.1
    for name in remaining:
        coordinators.all[name].send_report(make_report(name))
    third = coordinators.all[remaining[0]].leaders("s")[1]
    assert len(coordinators.all[third].reports("s", ORDER)) == 18


def test_send_the_verdict_to_all(clock: Clock) -> None:
    """A bad version is detected, and the first datagram to one instance is lost.

    That instance would keep routing callers to the version until gossip arrives, some
    seconds later.
    """
    coordinators = Coordinators(20)
    leader = coordinators.all["i0"].leaders("s")[0]
    missed = next(name for name in coordinators.all if name != leader)
    coordinators.lost.add(missed)
    coordinators.all[leader].publish_verdict(make_report(leader, alarm="bad").progress)
    assert len(coordinators.verdicts) == 18
    coordinators.lost.clear()
    clock.time += 0.35
    coordinators.all[leader].tick()
    assert coordinators.verdicts[missed].alarm == "bad"
    sent = len(coordinators.sent)
    for _ in range(10):
        clock.time += 0.5
        coordinators.all[leader].publish_verdict(
            make_report(leader, alarm="bad").progress
        )
        coordinators.all[leader].tick()
    assert len(coordinators.sent) == sent + 19


def test_report_at_once_when_the_old_version_is_idle(clock: Clock) -> None:
    """The last request on the old version ends; the roll-out waits for this report."""
    coordinators = Coordinators(20)
    coordinator = coordinators.all["i0"]
    leader = next(name for name in coordinator.leaders("s") if name != "i0")
    coordinator.send_report(make_report("i0", share=1.0))
    clock.time += 0.3
    coordinator.send_report(make_report("i0", share=1.0, old_running=0))
    (report,) = coordinators.all[leader].reports("s", ORDER)
    assert report.progress.old_running == 0


def test_permit_only_received_reports(clock: Clock) -> None:
    """The leader can't confirm that the canary was not rolled back.

    It sends no permit then, and a permit only answers a report that has reached the
    leader: a lost report, or one sent to another instance, gets none.
    """
    coordinators = Coordinators(5)
    leader = coordinators.all["i0"].leaders("s")[0]
    name = next(
        name
        for name in coordinators.all
        if name not in coordinators.all[leader].leaders("s")
    )
    coordinators.all[name].send_report(make_report(name))
    assert not coordinators.permits
    progress = make_report(leader).progress
    for coordinator in coordinators.all.values():
        coordinator.find_permit = lambda service, number: (
            progress if number == ORDER else None
        )
    clock.time += 2.1
    coordinators.all[name].send_report(make_report(name))
    assert coordinators.permits == {name: [clock.time]}
    coordinators.lost.add(leader)
    clock.time += 2.1
    coordinators.all[name].send_report(make_report(name))
    assert len(coordinators.permits[name]) == 1


def choose_follower(coordinators: Coordinators) -> str:
    """Return an instance that is neither the leader nor a standby."""
    return next(name for name in coordinators.all if name not in coordinators.rank())


def test_send_a_lost_report_once_more(clock: Clock) -> None:
    """One of two hundred instances loses a report, and its permit is about to expire.

    The next report is due after a second, so the permit would expire before it.
    """
    coordinators = Coordinators(200)
    name = choose_follower(coordinators)
    coordinator = coordinators.all[name]
    leader = coordinator.leaders("s")[0]
    coordinator.record_permit("s", clock.time)
    clock.time += 1.1
    coordinators.lost.add(leader)
    coordinator.send_report(
        make_report(name, elapsed_s=1.0, old_running=1), permit_left_s=1.4
    )
    coordinators.lost.clear()
    sent = len(coordinators.sent)
    clock.time += 0.25
    coordinator.send_report(
        make_report(name, elapsed_s=1.2, old_running=2), permit_left_s=1.2
    )
    assert len(coordinators.sent) == sent
    clock.time += 0.1
    coordinator.send_report(
        make_report(name, elapsed_s=1.3, old_running=2), permit_left_s=1.1
    )
    assert [
        report.origin for report in coordinators.all[leader].reports("s", ORDER)
    ] == [name]
    sent = len(coordinators.sent)
    clock.time += 0.35
    coordinator.send_report(
        make_report(name, elapsed_s=1.6, old_running=3), permit_left_s=1.0
    )
    assert len(coordinators.sent) == sent


def test_renew_a_permit_without_changes(clock: Clock) -> None:
    coordinators = Coordinators(200)
    name = choose_follower(coordinators)
    coordinator = coordinators.all[name]
    report = make_report(name)
    coordinator.send_report(report)
    clock.time += 1.1
    coordinator.send_report(report, permit_left_s=1.4)
    assert len(coordinators.sent) == 2
    coordinator.send_report(report, permit_left_s=1.2)
    assert len(coordinators.sent) == 4


def test_standbys_replace_a_leader_without_permits(clock: Clock) -> None:
    """The leader can't reach the store, so the permits of all instances expire at once.

    If no standby sent permits, the canary would pause everywhere.
    """
    coordinators = Coordinators(20)
    name = choose_follower(coordinators)
    leader, *others = coordinators.rank()
    progress = make_report(leader).progress
    for other in others:
        coordinators.all[other].find_permit = lambda service, number: progress
    coordinators.all[name].send_report(make_report(name), permit_left_s=2.0)
    assert not coordinators.permits
    assert not any(coordinators.all[other].acts_as_leader("s") for other in others)
    clock.time += 0.4
    coordinators.all[name].send_report(make_report(name), permit_left_s=0.8)
    assert len(coordinators.permits[name]) == len(others)
    assert all(coordinators.all[other].acts_as_leader("s") for other in others)
    clock.time += 2.1
    assert not any(coordinators.all[other].acts_as_leader("s") for other in others)


def test_send_the_final_state_to_all(clock: Clock) -> None:
    coordinators = Coordinators(20)
    leader = coordinators.rank()[0]
    report = make_report(leader, state=RolloutState.REVERTED)
    coordinators.all[leader].publish_verdict(report.progress)
    assert len(coordinators.verdicts) == 19
    assert {p.state for p in coordinators.verdicts.values()} == {RolloutState.REVERTED}
