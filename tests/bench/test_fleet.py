"""Tests of two hundred instances that meet, read and lose each other."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from bench._fleet import Fleet, quiet_logs
from bench._fleet_store import Formats
from bench._virtual import run_virtually

from baobabthread.instance.clock import now
from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.crashes import Crash
from baobabthread.routing.quarantine import MAX_ENTRIES

CONTACT_S = 5.0
"""Time after which such an installation takes an instance for one in touch."""
WIDE = RoutingBounds(apply_s=4.0, drain_s=4.0)
"""Bounds of an installation of two hundred instances."""


def play(count: int, case: Callable[[Fleet], Coroutine[Any, Any, None]]) -> None:
    """Start instances, let them meet, and go on with a case."""

    async def main() -> None:
        fleet = Fleet(count=count, bounds=WIDE)
        fleet.store.write_configuration(1)
        for number in range(69):
            fleet.store.write_backend(number, domains=6)
        await fleet.start()
        await case(fleet)

    with quiet_logs():
        run_virtually(main())


async def meet(fleet: Fleet) -> None:
    """Wait until all know all."""
    await asyncio.sleep(4.0)
    fleet.reset_counts()


@pytest.mark.parametrize(("count", "megabytes"), [(23, 0.5), (195, 12.0)])
def test_meet_at_a_start_of_all(count: int, megabytes: float) -> None:
    """All instances start in the same moment and know three seeds.

    All members in one message were more than a datagram holds: 14 seconds later some
    knew 160 of 195, 76 read the store for all others at first, and 95 MB were sent.
    """

    async def case(fleet: Fleet) -> None:
        await asyncio.sleep(0.5)
        assert fleet.readers <= 5
        await asyncio.sleep(3.5)
        assert fleet.least_known == count
        assert fleet.calls <= 2.5 * count + 20
        assert fleet.bytes_sent <= megabytes * 1e6

    play(count, case)


def test_control_does_not_grow_with_members() -> None:
    """What an instance sends while nothing happens is the same among 23 and 195."""
    rates = {}

    async def case(fleet: Fleet) -> None:
        await meet(fleet)
        await asyncio.sleep(4.0)
        count = len(fleet.members)
        rates[count] = fleet.bytes_sent / count / 4.0
        assert fleet.calls <= 2 * 4 * (1 + count / 80) + 8

    play(23, case)
    play(195, case)
    assert rates[195] <= 1.3 * rates[23]
    assert rates[195] <= 2_000


def test_tell_changes_of_backends_to_two_hundred() -> None:
    """Backend servers leave one after the other.

    All instances fetched the whole list from three for each of them, 2 MB a change.
    """

    async def case(fleet: Fleet) -> None:
        await meet(fleet)
        for number in range(5):
            fleet.store.write_backend(number, domains=6, leaving=True)
            await asyncio.sleep(1.0)
        await asyncio.sleep(1.5)
        assert fleet.messages["fetch"] <= 2
        assert fleet.bytes_sent <= 195 * 7 * 3_000
        for member in fleet.up():
            leaving = [r for r in member.knowledge.backends.values() if r.leaving]
            assert len(leaving) == 5

    play(195, case)


def test_learn_of_a_lost_failure_domain() -> None:
    """A failure domain loses power: 33 of 195 instances are silent at once.

    Word of six changes a message told it after more than five seconds, and callers
    were sent there as long. Nobody reads the store more often for it.
    """

    async def case(fleet: Fleet) -> None:
        await meet(fleet)
        lost = [m for m in fleet.members.values() if m.domain == "domain1"]
        for member in lost:
            member.stop()
        await asyncio.sleep(4.0)
        assert fleet.most_known <= 195 - 0.6 * len(lost)
        await asyncio.sleep(2.0)
        assert fleet.most_known == 195 - len(lost)
        assert fleet.oldest_s < 4.0
        assert fleet.calls <= 250

    play(195, case)


def test_know_a_configuration_in_time() -> None:
    """A configuration comes right after the store has dropped its history."""

    async def case(fleet: Fleet) -> None:
        await meet(fleet)
        fleet.store.forget()
        fleet.store.write_configuration(2)
        await asyncio.sleep(2.0)
        end = len(fleet.store.topics[Formats.operators_topic])
        assert all(m.knowledge.operators_end.offset == end for m in fleet.up())
        assert fleet.calls <= 2 * 195

    play(195, case)


def test_ask_a_store_that_is_away_seldom() -> None:
    """The store is silent for four seconds and comes back.

    Two hundred instances that each ask twice a second would take it down again.
    """

    async def case(fleet: Fleet) -> None:
        await meet(fleet)
        fleet.store.is_away = True
        await asyncio.sleep(4.0)
        fleet.store.is_away = False
        assert fleet.calls <= 500
        await asyncio.sleep(2.0)
        assert fleet.oldest_s < 3.0

    play(195, case)


def crash_at(fleet: Fleet, number: int, others: int) -> None:
    """Let a server crash under a bad request and others, each at another instance."""
    members = list(fleet.up())
    fingerprints = [
        "bad" * 5,
        *(f"good{number}x{n}".ljust(16, "0") for n in range(others)),
    ]
    for member, fingerprint in zip(members, fingerprints, strict=False):
        crash = Crash(
            backend=f"i-{number:08x}",
            service="content",
            version="v1",
            is_proven=True,
            fresh=[fingerprint],
            older=[],
        )
        member.link.quarantine.report_crash(crash)


def holds(member: Any) -> bool:
    return bool(member.link.quarantine.quarantine.quarantined(now()))


@pytest.mark.parametrize("lost", [0, 60])
def test_hold_a_request_at_two_hundred(lost: int) -> None:
    """Three engines crash, each with 128 requests from as many instances on it.

    All instances know within a second what was at all three, at a cost that does not
    come near what they have for control: 14 KB a second each. Those that were cut off
    know when they have been back for as long as counts for being in touch.
    """

    async def case(fleet: Fleet) -> None:
        await meet(fleet)
        cut = list(fleet.up())[-lost:] if lost else []
        for member in cut:
            member.is_up = False
        began = time.process_time()
        for number in range(3):
            crash_at(fleet, number, others=127)
            await asyncio.sleep(0.3)
        await asyncio.sleep(0.7)
        assert all(holds(member) for member in fleet.up())
        for member in cut:
            member.is_up = True
        await asyncio.sleep(CONTACT_S)
        assert all(holds(member) for member in fleet.up())
        assert time.process_time() - began < 195 * 0.011 * (1.6 + CONTACT_S)
        kinds = ("crash.seen", "quarantine.are", "quarantine.compare")
        spent = sum(fleet.sent[kind] for kind in kinds)
        assert spent / 195 / (1.6 + CONTACT_S) <= 14_000

    play(195, case)


def test_compare_lists_at_a_bounded_cost() -> None:
    """The longest list is held for long: neighbours compare no more than a number."""

    async def case(fleet: Fleet) -> None:
        await meet(fleet)
        for member in fleet.up():
            for number in range(MAX_ENTRIES):
                member.link.quarantine.quarantine.add(
                    f"f{number}", "content", (), now()
                )
            member.link.quarantine.unwritten.clear()
        fleet.reset_counts()
        await asyncio.sleep(5.0)
        assert fleet.sent["quarantine.are"] == 0
        assert fleet.sent["quarantine.compare"] / 195 / 5.0 <= 400

    play(195, case)


def test_tell_small_changes_instead_of_reading_them() -> None:
    """Operators take a key away, evacuate a domain and take that back.

    Each of two hundred instances read each change from the store: two hundred calls,
    as many copies of the configuration, and 33,000 changes come on a day.
    """

    async def case(fleet: Fleet) -> None:
        await meet(fleet)
        for version in (2, 3):
            fleet.store.write_configuration(version)
            await asyncio.sleep(1.0)
            versions = {
                m.knowledge.table.configuration.version
                for m in fleet.up()
                if m.knowledge.table is not None
            }
            assert versions == {version}
        fleet.store.write_evacuation("domain2")
        await asyncio.sleep(1.0)
        assert all(m.knowledge.evacuations.domains == {"domain2"} for m in fleet.up())
        fleet.store.write_evacuation("domain2", is_on=False)
        await asyncio.sleep(1.0)
        assert not any(m.knowledge.evacuations.domains for m in fleet.up())
        assert fleet.calls <= 60
        assert fleet.bytes_sent / len(fleet.members) <= 2_000 * 4.0 + 4 * 1_000

    play(195, case)


def test_name_nobody_of_a_lost_domain_for_long() -> None:
    """A failure domain of three hundred instances goes dark, and some others restart.

    The last of the lost ones were named to callers for 7.5 s.
    """

    async def case(fleet: Fleet) -> None:
        await meet(fleet)
        for member in fleet.members.values():
            if member.domain == "domain1":
                member.stop()
        await asyncio.sleep(1.0)
        for member in list(fleet.up())[:3]:
            member.stop()
            member.restart()
        await asyncio.sleep(CONTACT_S - 1.0)
        for member in fleet.up():
            membership = member.link.membership
            dark = membership.table.list_dark_domains()
            named = {m.failure_domain for m in membership.alive()} - dark
            assert "domain1" not in named

    play(300, case)
