"""Tests of which instances callers are sent to."""

from __future__ import annotations

from baobabthread.core.membership.messages import MemberInfo
from baobabthread.routing.directory import AddressList, list_addresses


def make_member(name: str, domain: str) -> MemberInfo:
    return MemberInfo(
        name=name,
        address=name,
        peer_address=name,
        failure_domain=domain,
        incarnation=name,
        started_at=0.0,
    )


def ask(
    members: list[MemberInfo], *, is_ready: bool = True, stale: tuple[str, ...] = ()
) -> AddressList:
    return list_addresses(
        me=members[0],
        serving=members,
        is_ready=is_ready,
        is_stale=lambda member: member.name in stale,
        failure_domain="a",
        max_lifetime_s=5.0,
    )


def test_name_near_ones_first() -> None:
    near = [make_member(f"a{n}", "a") for n in range(2)]
    far = [make_member(f"b{n}", "b") for n in range(3)]
    assert ask([*far, *near]).addresses == [m.address for m in [*near, *far]]


def test_leave_out_the_stale() -> None:
    members = [make_member(f"a{n}", "a") for n in range(5)]
    assert ask(members, stale=("a2", "a3")).addresses == ["a0", "a1", "a4"]


def test_name_all_where_most_are_stale() -> None:
    """The store was away and is back; one instance has heard so first.

    Callers that were sent to that one alone would overrun it while all others serve.
    """
    members = [make_member(f"a{n}", "a") for n in range(5)]
    found = ask(members, stale=("a1", "a2", "a3"))
    assert found.addresses == ["a0", "a1", "a2", "a3", "a4"]


def test_name_what_has_just_started() -> None:
    """All instances were lost and start again in the same moment.

    Each hears of most others by their first words, before they had any configuration,
    and directly of a few a second. Callers sent to those few alone overrun them.
    """
    members = [make_member(f"a{n}", "a") for n in range(5)]
    assert all(member.generation == 0 for member in members)
    assert len(ask(members).addresses) == 5


def count_requests(members: list[MemberInfo]) -> dict[str, float]:
    """Return the part of all requests at each instance, callers in all domains."""
    domains = sorted({member.failure_domain for member in members})
    met = {member.name: 0.0 for member in members}
    for asked in members:
        for domain in domains:
            found = list_addresses(
                me=asked,
                serving=members,
                is_ready=True,
                is_stale=lambda member: False,
                failure_domain=domain,
                max_lifetime_s=5.0,
            )
            part = 1.0 / len(members) / len(domains) / len(found.addresses)
            for name in found.addresses:
                met[name] += part
    return met


def test_spread_callers_over_two_hundred_instances() -> None:
    """Each answer named the own domain and then the first of all others by name.

    The same 32 instances of one domain got six times the requests of half of all.
    """
    members = [make_member(f"{d}{n}", d) for d in "abcdef" for n in range(27, 60)]
    met = sorted(count_requests(members).values())
    assert met[-1] <= 1.2 * met[len(met) // 2]


def test_spread_callers_of_a_domain_that_lost_most_instances() -> None:
    """29 of 32 instances of a domain lose power; its callers come back at once.

    The three that are left can't carry them: others share, and not one domain alone.
    """
    members = [make_member("a0", "a"), make_member("a1", "a"), make_member("a2", "a")]
    members += [make_member(f"{d}{n}", d) for d in "bcdef" for n in range(32)]
    found = ask(members).addresses
    assert found[:3] == ["a0", "a1", "a2"]
    assert len(found) == 32
    assert len({name[0] for name in found[3:]}) == 5
    met = sorted(count_requests(members).values())
    assert met[-1] <= 3.0 * met[len(met) // 2]


def test_name_itself_where_nobody_else_is_known() -> None:
    assert ask([make_member("a1", "a")], is_ready=False).addresses == ["a1"]
