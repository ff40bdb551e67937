"""Tests of the choice of instances that callers are sent to."""

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


def list_members(
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


def test_instances_of_the_own_domain_come_first() -> None:
    near = [make_member(f"a{n}", "a") for n in range(2)]
    far = [make_member(f"b{n}", "b") for n in range(3)]
    assert list_members([*far, *near]).addresses == [m.address for m in [*near, *far]]


def test_leave_out_stale_instances() -> None:
    members = [make_member(f"a{n}", "a") for n in range(5)]
    assert list_members(members, stale=("a2", "a3")).addresses == ["a0", "a1", "a4"]


def test_list_all_if_most_are_stale() -> None:
    """The store is available again, and one instance is the first to notice.

    If all callers were sent to that instance alone, they would overload it.
    """
    members = [make_member(f"a{n}", "a") for n in range(5)]
    found = list_members(members, stale=("a1", "a2", "a3"))
    assert found.addresses == ["a0", "a1", "a2", "a3", "a4"]


def test_list_instances_that_have_just_started() -> None:
    """All instances restart at once.

    Each one knows most others from their first messages, sent before they had a
    configuration, and receives messages directly from only a few per second. Callers
    that were sent only to those few would overload them.
    """
    members = [make_member(f"a{n}", "a") for n in range(5)]
    assert all(member.generation == 0 for member in members)
    assert len(list_members(members).addresses) == 5


def compute_shares(members: list[MemberInfo]) -> dict[str, float]:
    """Return each instance's share of all requests, with callers in all domains."""
    domains = sorted({member.failure_domain for member in members})
    shares = {member.name: 0.0 for member in members}
    for responder in members:
        for domain in domains:
            found = list_addresses(
                me=responder,
                serving=members,
                is_ready=True,
                is_stale=lambda member: False,
                failure_domain=domain,
                max_lifetime_s=5.0,
            )
            share = 1.0 / len(members) / len(domains) / len(found.addresses)
            for name in found.addresses:
                shares[name] += share
    return shares


def test_callers_spread_over_two_hundred_instances() -> None:
    """Lists filled up with the first instances by name overload those instances.

    The same 32 instances of one domain got six times the requests of half of all.
    """
    members = [make_member(f"{d}{n}", d) for d in "abcdef" for n in range(27, 60)]
    shares = sorted(compute_shares(members).values())
    assert shares[-1] <= 1.2 * shares[len(shares) // 2]


def test_callers_spread_if_their_domain_lost_most_instances() -> None:
    """29 of 32 instances of a domain lose power; its callers reconnect at once.

    The remaining three can't serve them all, so instances of all other domains share
    the load.
    """
    members = [make_member("a0", "a"), make_member("a1", "a"), make_member("a2", "a")]
    members += [make_member(f"{d}{n}", d) for d in "bcdef" for n in range(32)]
    found = list_members(members).addresses
    assert found[:3] == ["a0", "a1", "a2"]
    assert len(found) == 32
    assert len({name[0] for name in found[3:]}) == 5
    shares = sorted(compute_shares(members).values())
    assert shares[-1] <= 3.0 * shares[len(shares) // 2]


def test_list_itself_if_no_other_instance_is_known() -> None:
    assert list_members([make_member("a1", "a")], is_ready=False).addresses == ["a1"]
