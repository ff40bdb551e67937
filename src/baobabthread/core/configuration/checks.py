"""The checks that a configuration text must pass."""

from __future__ import annotations

import ipaddress
import itertools
import re
from collections.abc import Iterable, Mapping

from baobabthread.core.configuration.types import (
    Configuration,
    Rollout,
    SectionText,
    Service,
    ServiceKind,
    VersionState,
)
from baobabthread.errors import ConfigurationError

MAX_NAMES = 20_000
NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
PORT = re.compile(r"[0-9]{1,5}")
SHA256_HEX = re.compile(r"[0-9a-f]{64}")


def check_merged(merged: Configuration) -> None:
    """Check the names that tables and sections use of each other."""
    _check_services(merged)
    _check_versions(merged)
    _check_accounts(merged)
    _check_backends(merged)
    _check_rollouts(merged)


def check_section(section: SectionText) -> None:
    """Check what one section shows by itself."""
    for table in section.__struct_fields__:
        rows = getattr(section, table)
        if len(rows) > MAX_NAMES:
            raise ConfigurationError(
                f"more than {MAX_NAMES} names", field=table, remedy="remove some"
            )
        for name in rows:
            _check_name(f"{table}.{name[:80]}", name)
    for name, service in section.services.items():
        _check_range(f"services.{name}.quality_target", service.quality_target, 0, 1)
        for call_name, call in service.calls.items():
            _check_name(f"services.{name}.calls.{call_name[:80]}", call_name)
            field = f"services.{name}.calls.{call_name}.deadline_s"
            _check_range(field, call.deadline_s, 0.001, 86_400)
    for name, version in section.versions.items():
        _check_range(f"versions.{name}.cost", version.cost, 0, 1e9)
    for name, account in section.accounts.items():
        _check_hash(f"accounts.{name}.key_sha256", account.key_sha256)
        _check_range(f"accounts.{name}.weight", account.weight, 0.001, 1e6)
        _check_range(f"accounts.{name}.tokens_per_s", account.tokens_per_s, 0, 1e9)
        _check_range(f"accounts.{name}.max_running", account.max_running, 1, 1e6)
    for name, operator in section.operators.items():
        _check_hash(f"operators.{name}.key_sha256", operator.key_sha256)
    for name, backend in section.backends.items():
        _check_range(f"backends.{name}.capacity", backend.capacity, 1, 100_000)
        _check_address(f"backends.{name}.address", backend.address)
    for name, rollout in section.rollouts.items():
        _check_steps(f"rollouts.{name}", rollout)


def _check_name(field: str, name: str) -> None:
    if not NAME.fullmatch(name):
        raise ConfigurationError(
            "not a name",
            field=field,
            remedy="use a-z, 0-9, '.', '_' and '-', 63 characters at most",
        )


def _check_range(field: str, value: float, low: float, high: float) -> None:
    if not low <= value <= high:
        raise ConfigurationError(
            f"{value} is out of range",
            field=field,
            remedy=f"give a number from {low} to {high}",
        )


def _check_hash(field: str, value: str) -> None:
    if not SHA256_HEX.fullmatch(value):
        raise ConfigurationError(
            "not a SHA-256 hash",
            field=field,
            remedy="give the 64 lower-case hex digits of the key's SHA-256",
        )


def _check_address(field: str, value: str) -> None:
    host, _, port = value.rpartition(":")
    known = _is_ip_number(host) and PORT.fullmatch(port)
    if not known or not 0 < int(port) < 65536:
        raise ConfigurationError(
            f"'{value[:80]}' is not an address",
            field=field,
            remedy="give an IP number and a port, such as 127.0.0.1:9001",
        )


def _is_ip_number(host: str) -> bool:
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    return True


def _check_steps(field: str, rollout: Rollout) -> None:
    steps = rollout.steps
    rising = all(a < b for a, b in itertools.pairwise(steps))
    if not steps or not rising or steps[0] <= 0 or steps[-1] != 1.0:
        raise ConfigurationError(
            f"{steps} are not steps",
            field=f"{field}.steps",
            remedy="give rising shares above 0 that end with 1.0",
        )
    _check_range(f"{field}.hold_s", rollout.hold_s, 0, 86_400)


def _check_known(
    field: str, names: Iterable[str], known: Mapping[str, object], what: str
) -> None:
    for name in names:
        if name not in known:
            allowed = ", ".join(sorted(known)[:8]) or "none is defined"
            raise ConfigurationError(
                f"no {what} '{name}'",
                field=field,
                remedy=f"define it or use one of: {allowed}",
            )


def _check_services(merged: Configuration) -> None:
    for name, service in merged.services.items():
        field = f"services.{name}"
        _check_known(
            f"{field}.depends_on", service.depends_on, merged.services, "service"
        )
        _check_known(f"{field}.cascade", service.cascade, merged.versions, "version")
        if service.kind is ServiceKind.MODEL and not service.cascade:
            raise ConfigurationError(
                "a model service needs a cascade",
                field=f"{field}.cascade",
                remedy="list at least one version",
            )
        for version in service.cascade:
            if merged.versions[version].service != name:
                raise ConfigurationError(
                    f"version '{version}' belongs to another service",
                    field=f"{field}.cascade",
                    remedy=f"set versions.{version}.service to '{name}'",
                )
    _check_acyclic(merged.services)


def _check_acyclic(services: Mapping[str, Service]) -> None:
    done: set[str] = set()
    for start in services:
        if start in done:
            continue
        path: dict[str, None] = {start: None}
        stack = [iter(services[start].depends_on)]
        while stack:
            following = next(stack[-1], None)
            if following is None:
                stack.pop()
                done.add(path.popitem()[0])
            elif following in path:
                cycle = " -> ".join([*path, following])
                raise ConfigurationError(
                    f"the services call each other in a cycle: {cycle}",
                    field=f"services.{following}.depends_on",
                    remedy="remove one of these dependencies",
                )
            elif following not in done:
                path[following] = None
                stack.append(iter(services[following].depends_on))


def _check_versions(merged: Configuration) -> None:
    for name, version in merged.versions.items():
        _check_known(
            f"versions.{name}.service", [version.service], merged.services, "service"
        )


def _check_accounts(merged: Configuration) -> None:
    seen: dict[str, str] = {}
    for name, account in merged.accounts.items():
        field = f"accounts.{name}"
        _check_known(f"{field}.services", account.services, merged.services, "service")
        _check_known(f"{field}.versions", account.versions, merged.versions, "version")
        other = seen.setdefault(account.key_sha256, name)
        if other != name:
            raise ConfigurationError(
                f"the key is also that of account '{other}'",
                field=f"{field}.key_sha256",
                remedy="give each account a key of its own",
            )


def _check_backends(merged: Configuration) -> None:
    for name, backend in merged.backends.items():
        field = f"backends.{name}"
        _check_known(f"{field}.service", [backend.service], merged.services, "service")
        _check_known(f"{field}.versions", backend.versions, merged.versions, "version")


def _check_rollouts(merged: Configuration) -> None:
    for name, rollout in merged.rollouts.items():
        field = f"rollouts.{name}"
        _check_known(f"{field}.service", [rollout.service], merged.services, "service")
        _check_known(f"{field}.old", [rollout.old], merged.versions, "version")
        _check_known(f"{field}.new", [rollout.new], merged.versions, "version")
        if merged.versions[rollout.new].state is VersionState.WITHDRAWN:
            raise ConfigurationError(
                f"version '{rollout.new}' is withdrawn",
                field=f"{field}.new",
                remedy="offer the version or remove the roll-out",
            )
