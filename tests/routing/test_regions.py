"""Tests of allowed regions: where requests may be served and their bodies read."""

from __future__ import annotations

from baobabthread.core.membership.messages import MemberInfo
from baobabthread.routing.configuration import (
    Account,
    RequestKind,
    Route,
    RoutingConfiguration,
)
from baobabthread.routing.directory import list_addresses
from baobabthread.routing.regions import (
    Regions,
    find_allowed_regions,
    find_common_regions,
)

REGIONS = Regions(by_domain={"a": "north", "b": "north", "c": "south", "d": "east"})


def make_route(*regions: str) -> Route:
    return Route(
        name="r",
        host="h",
        path_prefix="/",
        kind=RequestKind.IDEMPOTENT,
        targets=(),
        timeout_s=1.0,
        objective_s=1.0,
        priority=1,
        max_attempts=1,
        allowed_regions=regions,
    )


def make_account(*regions: str) -> Account:
    return Account(name="metro", keys=(), allowed_regions=regions)


def test_route_and_account_both_restrict_regions() -> None:
    assert find_allowed_regions(make_route(), None) is None
    assert find_allowed_regions(make_route(), make_account()) is None
    assert find_allowed_regions(make_route("north"), make_account()) == {"north"}
    assert find_allowed_regions(make_route(), make_account("south")) == {"south"}
    both = find_allowed_regions(
        make_route("north", "east"), make_account("east", "south")
    )
    assert both == {"east"}
    assert (
        find_allowed_regions(make_route("north"), make_account("south")) == frozenset()
    )


def test_domain_of_unknown_region_serves_only_unrestricted_requests() -> None:
    assert REGIONS.may_serve(None, "z")
    assert REGIONS.may_serve(frozenset({"north"}), "b")
    assert not REGIONS.may_serve(frozenset({"north"}), "c")
    assert not REGIONS.may_serve(frozenset({"north"}), "z")
    assert not REGIONS.may_serve(frozenset(), "a")


def test_list_unknown_regions_and_domains() -> None:
    configuration = RoutingConfiguration(
        version=1, routes=(make_route("north", "nrth"),), services=()
    )
    assert REGIONS.list_unknown_regions(configuration) == ["nrth"]
    assert Regions(by_domain={}).list_unknown_regions(configuration) == []
    assert REGIONS.list_unknown_domains(frozenset({"a", "z"})) == ["z"]


def test_find_common_regions() -> None:
    def common(*restrictions: tuple[str, ...]) -> frozenset[str]:
        routes = tuple(make_route(*regions) for regions in restrictions)
        configuration = RoutingConfiguration(version=1, routes=routes, services=())
        return find_common_regions(configuration)

    assert common((), ()) == frozenset()
    assert common((), ("north", "east"), ("north",)) == {"north"}
    assert common(("south",), ("north",)) == {"north", "south"}


def list_domains(
    region: str, domains: str, *, me: str = "a", is_ready: bool = True
) -> str:
    """Return the domains of the instances that callers of a region are sent to."""
    members = [
        MemberInfo(
            name=f"{n}-{domain}",
            address=domain,
            peer_address=domain,
            failure_domain=domain,
            incarnation=domain,
            started_at=0.0,
        )
        for n, domain in enumerate(domains)
    ]
    found = list_addresses(
        me=next(member for member in members if member.failure_domain == me),
        serving=members,
        is_ready=is_ready,
        is_stale=lambda member: False,
        failure_domain="x",
        max_lifetime_s=5.0,
        region=region,
        allowed_regions=frozenset({"south"}),
        regions=REGIONS,
    )
    return "".join(sorted(found.addresses))


def test_list_instances_of_the_callers_region() -> None:
    """An instance in a third region would read bodies that must not leave theirs."""
    assert list_domains("north", "abcd") == "ab"
    assert list_domains("south", "abcd") == "c"
    assert list_domains("south", "abcd", me="c") == "c"
    assert list_domains("west", "abcd") == "c"
    assert list_domains("west", "abd") == "abd"


def test_list_allowed_regions_if_the_only_instance_of_the_region_stops() -> None:
    """The last instance of a region is stopping and is asked for addresses.

    It must not return its own address, as callers would connect to an instance that
    terminates shortly afterwards.
    """
    assert list_domains("north", "acd", is_ready=False) == "c"
    assert list_domains("north", "abcd", is_ready=False) == "b"
