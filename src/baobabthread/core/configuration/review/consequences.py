"""What each kind of change does to callers."""

from __future__ import annotations

from collections.abc import Iterator

from baobabthread.core.configuration.review.changes import CONSEQUENCES, Effect
from baobabthread.core.configuration.review.view import Account, Route, View


@CONSEQUENCES.register("keys")
def find_lost_keys(old: View, new: View) -> Iterator[Effect]:
    """Find keys that are taken away, given or handed to another account."""
    before, after = _list_holders(old), _list_holders(new)
    accounts = {account.name for account in new.accounts}
    for account in old.accounts:
        lost = sum(key not in after for key in account.keys)
        if lost:
            end = "" if account.name in accounts else "; the account ends"
            yield Effect(
                account.row, f"{_count(lost, 'key')} taken away: requests get 401{end}"
            )
    for account in new.accounts:
        given = sum(key not in before for key in account.keys)
        if given:
            yield Effect(account.row, f"{_count(given, 'key')} accepted from now on")
        for holder in sorted(
            {before[key] for key in account.keys if key in before} - {account.name}
        ):
            yield Effect(account.row, f"a key of '{holder}' counts for it from now on")


def _list_holders(view: View) -> dict[str, str]:
    return {key: account.name for account in view.accounts for key in account.keys}


@CONSEQUENCES.register("access")
def find_lost_access(old: View, new: View) -> Iterator[Effect]:
    """Find services and versions that an account may no longer use, or now may."""
    before = {account.row: account for account in old.accounts}
    for account in new.accounts:
        known = before.get(account.row)
        if known is not None and known != account:
            yield from _compare_access(known, account)


def _compare_access(before: Account, after: Account) -> Iterator[Effect]:
    for name in _list_missing(before.services, after.services):
        yield Effect(after.row, f"requests for '{name}' get 403")
    for name in _list_missing(after.services, before.services):
        yield Effect(after.row, f"may use '{name}' from now on")
    if before.versions != after.versions:
        allowed = ", ".join(after.versions) or "all of its services"
        yield Effect(after.row, f"answers come from versions: {allowed}")
    if before.regions != after.regions:
        allowed = ", ".join(after.regions) or "any"
        yield Effect(after.row, f"requests stay in regions: {allowed}")


def _list_missing(
    names: tuple[str, ...] | None, others: tuple[str, ...] | None
) -> list[str]:
    return sorted(set(names or ()) - set(others or ()))


@CONSEQUENCES.register("routes")
def find_moved_routes(old: View, new: View) -> Iterator[Effect]:
    """Find what can no longer be asked for, and what goes to another service."""
    before = {(route.row, route.name): route for route in old.routes}
    after = {(route.row, route.name): route for route in new.routes}
    for key, route in before.items():
        if key not in after:
            yield Effect(route.row, f"requests for '{route.name}' get 404")
    for key, route in after.items():
        known = before.get(key)
        if known is None:
            yield Effect(route.row, f"'{route.name}' can be asked for")
        elif known != route:
            yield from _compare_routes(known, route)


def _compare_routes(before: Route, after: Route) -> Iterator[Effect]:
    name = after.name
    if (before.host, before.prefix) != (after.host, after.prefix):
        yield Effect(
            after.row,
            f"'{name}' moves from {before.host}{before.prefix} to "
            f"{after.host}{after.prefix}: requests to the old path lose it",
        )
    if _list_receivers(before) != _list_receivers(after):
        yield Effect(
            after.row,
            f"'{name}' moves from {_name_receivers(before)} to "
            f"{_name_receivers(after)}",
        )
    if after.timeout_s < before.timeout_s:
        yield Effect(
            after.row,
            f"'{name}' is given up after {after.timeout_s:g} s, before "
            f"{before.timeout_s:g} s",
        )
    if before.regions != after.regions:
        allowed = ", ".join(after.regions) or "any"
        yield Effect(after.row, f"requests stay in regions: {allowed}")


def _list_receivers(route: Route) -> set[str]:
    # Where no target has any weight, the first one gets all requests.
    weighty = {target.service for target in route.targets if target.weight > 0}
    return weighty or {target.service for target in route.targets[:1]}


def _name_receivers(route: Route) -> str:
    return ", ".join(f"'{name}'" for name in sorted(_list_receivers(route))) or "none"


@CONSEQUENCES.register("models")
def find_route_models(old: View, new: View) -> Iterator[Effect]:
    """Find models that begin or end to answer a route."""
    before = {(route.row, route.name): route for route in old.routes}
    for route in new.routes:
        known = before.get((route.row, route.name))
        if known is None or known.models == route.models:
            continue
        for name in _list_missing(route.models, known.models):
            yield Effect(route.row, f"model '{name}' begins to answer")
        for name in _list_missing(known.models, route.models):
            yield Effect(route.row, f"model '{name}' answers no longer")


@CONSEQUENCES.register("versions")
def find_version_lives(old: View, new: View) -> Iterator[Effect]:
    """Find versions that begin, drain or end."""
    for name, version in new.versions.items():
        known = old.versions.get(name)
        if version.is_offered and (known is None or not known.is_offered):
            yield Effect(version.row, f"begins: it may answer for '{version.service}'")
        elif known is not None and known.is_offered and not version.is_offered:
            end = (
                "ends at once"
                if version.is_withdrawn
                else "answers only the sessions that have it"
            )
            yield Effect(version.row, end)
        elif known is not None and version.is_withdrawn and not known.is_withdrawn:
            yield Effect(version.row, "ends at once")
        if known is not None and version.cost > known.cost:
            yield Effect(version.row, f"costs {version.cost:g}, before {known.cost:g}")
    for name, version in old.versions.items():
        if name not in new.versions:
            yield Effect(version.row, "ends: requests that name it are refused")


@CONSEQUENCES.register("cascades")
def find_cascade_changes(old: View, new: View) -> Iterator[Effect]:
    """Find versions that begin or end to be tried, and who is tried first."""
    for name, service in new.services.items():
        known = old.services.get(name)
        if known is None or known.cascade == service.cascade:
            continue
        for version in _list_missing(service.cascade, known.cascade):
            yield Effect(service.row, f"version '{version}' begins to be tried")
        for version in _list_missing(known.cascade, service.cascade):
            yield Effect(service.row, f"version '{version}' is tried no longer")
        if service.cascade and known.cascade[:1] != service.cascade[:1]:
            yield Effect(service.row, f"'{service.cascade[0]}' is asked first")


@CONSEQUENCES.register("rollouts")
def find_rollouts(old: View, new: View) -> Iterator[Effect]:
    """Find roll-outs that begin or are given up."""
    before = {rollout.row: rollout for rollout in old.rollouts}
    after = {rollout.row: rollout for rollout in new.rollouts}
    for row, rollout in after.items():
        if row not in before:
            yield Effect(
                row,
                f"requests of '{rollout.service}' move from '{rollout.old}' to "
                f"'{rollout.new}' step by step",
            )
    for row, rollout in before.items():
        if row not in after:
            yield Effect(row, f"the roll-out to '{rollout.new}' stands here no longer")


def _count(number: int, what: str) -> str:
    return f"{number} {what}" if number == 1 else f"{number} {what}s"
