"""Texts of any size for the experiment on the cost of control."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator

import msgspec

CAPACITY = 16
VERSIONS_OF_SERVICE = 4
"""Versions of one model service, at most."""
CALLS = ("draft", "translate", "summarise")
SECTION_BACKENDS = 200
"""Backend servers or client accounts of one section, at most."""


class Size(msgspec.Struct, frozen=True, kw_only=True):
    """Hold how large the system is."""

    members: int = 6
    backends: int = 9
    versions: int = 3
    accounts: int = 10


def name_service(number: int) -> str:
    """Return the name of a model service."""
    return f"service-{number}"


def name_version(number: int) -> str:
    """Return the name of a version."""
    return f"version-{number}"


def name_account(number: int) -> str:
    """Return the name of a client account."""
    return f"account-{number}"


def hash_key(account: str) -> str:
    """Return the hash of an account's key."""
    return hashlib.sha256(account.encode()).hexdigest()


def count_services(size: Size) -> int:
    """Return how many model services a size has."""
    return -(-size.versions // VERSIONS_OF_SERVICE)


def list_versions(size: Size, service: int) -> list[str]:
    """Return the versions of one service."""
    first = service * VERSIONS_OF_SERVICE
    last = min(size.versions, first + VERSIONS_OF_SERVICE)
    return [name_version(number) for number in range(first, last)]


def build_texts(size: Size) -> dict[str, str]:
    """Return the text of each section."""
    texts = {"services": "\n".join(_write_services(size))}
    for kind, count in (("backends", size.backends), ("accounts", size.accounts)):
        write = _write_backend if kind == "backends" else _write_account
        for start in range(0, count, SECTION_BACKENDS):
            numbers = range(start, min(count, start + SECTION_BACKENDS))
            lines = [line for number in numbers for line in write(size, number)]
            texts[f"{kind}-{start // SECTION_BACKENDS}"] = "\n".join(lines)
    return texts


def _write_services(size: Size) -> Iterator[str]:
    for service in range(count_services(size)):
        versions = list_versions(size, service)
        name = name_service(service)
        yield f'[services.{name}]\nkind = "model"'
        yield f"cascade = {list_names(versions)}"
        for call in CALLS:
            yield f"[services.{name}.calls.{call}]\ndeadline_s = 30"
        for place, version in enumerate(versions):
            yield f'[versions.{version}]\nservice = "{name}"'
            yield f'model = "model-{place}"\ncost = {1 + place}'


def _write_backend(size: Size, number: int) -> Iterator[str]:
    service = number % count_services(size)
    host = f"10.{number // 62500}.{number // 250 % 250}.{number % 250 + 1}"
    yield f'[backends.backend-{number}]\nservice = "{name_service(service)}"'
    yield f'address = "{host}:7100"\nfailure_domain = "domain-{number % 8}"'
    yield f"capacity = {CAPACITY}\nchecks_fencing = true"
    yield f"versions = {list_names(list_versions(size, service))}"


def _write_account(size: Size, number: int) -> Iterator[str]:
    services = [name_service(service) for service in range(count_services(size))]
    yield f"[accounts.{name_account(number)}]"
    yield f'key_sha256 = "{hash_key(name_account(number))}"'
    yield f"services = {list_names(services)}"


def list_names(names: list[str]) -> str:
    """Return names as a TOML array."""
    return "[" + ", ".join(f'"{name}"' for name in names) + "]"
