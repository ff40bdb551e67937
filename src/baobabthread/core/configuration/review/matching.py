"""Rules that find entries which can never match."""

from __future__ import annotations

from collections.abc import Iterator

from baobabthread.core.configuration.review.rules import Fault, Level, rule
from baobabthread.core.configuration.review.view import Route, View, index_costs


@rule("route-hidden", Level.ERROR)
def find_hidden_routes(view: View) -> Iterator[Fault]:
    """Find routes behind a later one of the same host and path."""
    last = {_key(route): route for route in view.routes if route.host is not None}
    for route in view.routes:
        winner = last.get(_key(route), route)
        if route.host is not None and winner is not route:
            yield Fault(
                route.field,
                f"'{route.name}' never matches: {winner.field} has its host and path",
                "remove one of them or give it a path of its own",
            )


def _key(route: Route) -> tuple[str, str]:
    return (route.host or "").lower(), route.prefix


@rule("route-unmatched")
def find_unmatched_routes(view: View) -> Iterator[Fault]:
    """Find routes whose host or path no request can have."""
    for route in view.routes:
        if route.host is None:
            continue
        if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
            yield Fault(
                route.field,
                f"'{route.name}' never matches: its path '{route.prefix}' does not "
                "begin and end with a slash",
                "write the path as /name/",
            )
        _, colon, port = route.host.rpartition(":")
        if not route.host or (colon and port.isdigit()):
            yield Fault(
                route.field,
                f"'{route.name}' never matches: hosts are compared without a port",
                "give the host's name alone",
            )


@rule("service-hidden", Level.ERROR)
def find_hidden_services(view: View) -> Iterator[Fault]:
    """Find services behind a later one of the same name."""
    for field, name in view.repeated:
        yield Fault(
            field,
            f"'{name}' is never used: a later service has its name",
            "remove one of them",
        )


@rule("key-shared", Level.ERROR)
def find_shared_keys(view: View) -> Iterator[Fault]:
    """Find keys that two accounts hold."""
    holders: dict[str, str] = {}
    for account in view.accounts:
        for key in account.keys:
            holder = holders.setdefault(key, account.name)
            if holder != account.name:
                yield Fault(
                    account.field,
                    f"a key of '{account.name}' is also held by '{holder}': it "
                    "counts for one of them only",
                    "give each account keys of its own",
                )


@rule("target-weightless")
def find_weightless_targets(view: View) -> Iterator[Fault]:
    """Find targets that get no request because of their weight."""
    for route in view.routes:
        has_weight = any(target.weight > 0 for target in route.targets)
        # Where no target has any weight, the first one gets all requests.
        for target in route.targets[0 if has_weight else 1 :]:
            if target.weight <= 0:
                yield Fault(
                    route.field,
                    f"'{route.name}' sends nothing to '{target.service}': its weight "
                    f"is {target.weight:g}",
                    "remove the target or give it a weight above 0",
                )


@rule("target-missing", Level.ERROR)
def find_missing_targets(view: View) -> Iterator[Fault]:
    """Find routes without a target, or with one that is not defined."""
    for route in view.routes:
        if not route.targets:
            yield Fault(
                route.field, f"'{route.name}' has no target", "name a service for it"
            )
        for target in route.targets:
            if target.service not in view.services:
                yield Fault(
                    route.field,
                    f"'{route.name}' has the target '{target.service}', which is not "
                    "defined",
                    "define the service or name another",
                )


@rule("target-without-servers")
def find_targets_without_servers(view: View) -> Iterator[Fault]:
    """Find routes to services that no server runs."""
    for route in view.routes:
        for target in route.targets:
            service = view.services.get(target.service)
            if service is not None and service.servers == 0:
                yield Fault(
                    route.field,
                    f"no server runs '{target.service}'",
                    "add a server of this service or remove the target",
                )


@rule("version-without-servers")
def find_versions_without_servers(view: View) -> Iterator[Fault]:
    """Find versions of a cascade that no server shall have loaded."""
    arriving = {rollout.new for rollout in view.rollouts}
    for service in view.services.values():
        for name in dict.fromkeys(service.cascade):
            version = view.versions.get(name)
            is_idle = version is not None and version.servers == 0
            if is_idle and service.servers and name not in arriving:
                yield Fault(
                    f"{service.field}.cascade",
                    f"no server has the version '{name}' loaded",
                    "list it at a server or take it out of the cascade",
                )


@rule("version-repeated")
def find_repeated_versions(view: View) -> Iterator[Fault]:
    """Find versions that stand twice in one order: the second is never tried."""
    orders = [
        (f"{service.field}.cascade", service.cascade)
        for service in view.services.values()
    ]
    orders += [(route.field, route.models) for route in view.routes]
    for field, names in orders:
        seen: set[str] = set()
        for name in names:
            if name in seen:
                yield Fault(
                    field, f"'{name}' stands here twice", "remove one of the two"
                )
            seen.add(name)


@rule("version-unserved")
def find_unserved_versions(view: View) -> Iterator[Fault]:
    """Find models of a route that none of its targets has."""
    owners = index_costs(view)
    for route in view.routes:
        targets = {target.service for target in route.targets}
        has_models = any(
            name in view.services and view.services[name].costs for name in targets
        )
        for name in dict.fromkeys(route.models) if has_models else ():
            if targets.isdisjoint(owners.get(name, ())):
                yield Fault(
                    route.field,
                    f"no target of '{route.name}' has the model '{name}'",
                    "name a model of its service or remove it",
                )


@rule("version-withdrawn")
def find_withdrawn_versions(view: View) -> Iterator[Fault]:
    """Find withdrawn versions that a cascade or an account still names."""
    withdrawn = {name for name, row in view.versions.items() if row.is_withdrawn}
    orders = [
        (f"{service.field}.cascade", service.cascade)
        for service in view.services.values()
    ]
    orders += [(f"{each.field}.versions", each.versions) for each in view.accounts]
    for field, names in orders:
        for name in dict.fromkeys(names):
            if name in withdrawn:
                yield Fault(
                    field,
                    f"'{name}' is withdrawn and never chosen",
                    "take it out or offer it again",
                )


@rule("account-foreign-version")
def find_foreign_versions(view: View) -> Iterator[Fault]:
    """Find versions that an account allows but whose service it may not use."""
    for account in view.accounts:
        if account.services is None:
            continue
        services = set(account.services)
        for name in account.versions:
            version = view.versions.get(name)
            if version is not None and version.service not in services:
                yield Fault(
                    f"{account.field}.versions",
                    f"'{account.name}' may not use '{version.service}', the service "
                    f"of '{name}'",
                    "allow the service or remove the version",
                )


@rule("account-without-use")
def find_useless_accounts(view: View) -> Iterator[Fault]:
    """Find accounts that no request can be accepted for."""
    is_open = any(not route.regions for route in view.routes)
    regions = {region for route in view.routes for region in route.regions}
    for account in view.accounts:
        if account.services is not None and not account.services:
            yield Fault(
                f"{account.field}.services",
                f"'{account.name}' may use no service",
                "allow a service or remove the account",
            )
            continue
        is_bound = bool(view.routes and account.regions) and not is_open
        if is_bound and regions.isdisjoint(account.regions):
            yield Fault(
                account.field,
                f"no route may serve '{account.name}' in its regions",
                "give a route and the account a region in common",
            )


@rule("region-without-servers")
def find_regions_without_servers(view: View) -> Iterator[Fault]:
    """Find allowed regions in which no server stands."""
    if view.regions is None:
        return
    rows = [(row.field, row.name, row.regions) for row in view.routes]
    rows += [(row.field, row.name, row.regions) for row in view.accounts]
    for field, name, regions in rows:
        for region in dict.fromkeys(regions):
            if region not in view.regions:
                yield Fault(
                    field,
                    f"'{name}' allows the region '{region}', where no server stands",
                    "name a region that failure domains lie in",
                )


@rule("rollout-foreign")
def find_foreign_rollouts(view: View) -> Iterator[Fault]:
    """Find roll-outs to the same version or between services."""
    for rollout in view.rollouts:
        if rollout.old == rollout.new:
            yield Fault(
                f"{rollout.field}.new",
                "the roll-out goes from a version to itself",
                "name another version",
            )
        for side in ("old", "new"):
            name = getattr(rollout, side)
            version = view.versions.get(name)
            if version is not None and version.service != rollout.service:
                yield Fault(
                    f"{rollout.field}.{side}",
                    f"'{name}' is a version of '{version.service}', not of "
                    f"'{rollout.service}'",
                    "name a version of the roll-out's service",
                )
