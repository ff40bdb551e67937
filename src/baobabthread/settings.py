"""Settings of an entry, checked at the start."""

from __future__ import annotations

import ipaddress
import re
from pathlib import Path

import msgspec

from baobabthread.errors import UsageError

NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,30}")
MIN_SECRET_LENGTH = 16


class Address(msgspec.Struct, frozen=True):
    """Hold an IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class EntrySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what one entry needs to know before it starts."""

    name: str
    listen: Address
    peer_listen: Address
    failure_domain: str
    platform: str
    peers: tuple[Address, ...] = ()
    peer_secret: str
    session_keys: tuple[tuple[str, bytes], ...]
    """Key id and key; the first seals, all of them open."""
    operator_key_sha256: str = ""
    tls_cert: Path | None = None
    tls_key: Path | None = None
    tls_ca: Path | None = None
    statsd: Address | None = None
    log_level: str = "info"
    address_lifetime_s: float = 5.0
    drain_limit_s: float = 120.0
    max_body_bytes: int = 4_000_000
    freshness_bound_s: float = 3.0
    seed: int = 0


def parse_address(text: str, *, option: str) -> Address:
    """Parse `IP:PORT` or raise an error that names the option."""
    host, _, port = text.rpartition(":")
    remedy = "give an IP number and a port, such as 127.0.0.1:8001"
    try:
        ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError:
        raise UsageError(
            f"{option}: '{text}' is not an address", remedy=remedy
        ) from None
    if not 0 <= number < 65536:
        raise UsageError(f"{option}: port {number} is out of range", remedy=remedy)
    return Address(host.strip("[]"), number)


def parse_addresses(text: str, *, option: str) -> tuple[Address, ...]:
    """Parse a comma-separated list of addresses."""
    parts = [part.strip() for part in text.split(",") if part.strip()]
    return tuple(parse_address(part, option=option) for part in parts)


def parse_session_keys(text: str) -> tuple[tuple[str, bytes], ...]:
    """Parse `ID:SECRET,ID:SECRET`, the sealing key first."""
    keys: list[tuple[str, bytes]] = []
    for part in text.split(","):
        key_id, _, secret = part.strip().partition(":")
        if not key_id or len(secret) < MIN_SECRET_LENGTH:
            raise UsageError(
                "--session-keys: each key needs an id and a secret",
                remedy=f"write ID:SECRET with {MIN_SECRET_LENGTH} characters or more",
            )
        keys.append((key_id, secret.encode()))
    return tuple(keys)


def check_settings(settings: EntrySettings) -> EntrySettings:
    """Return the settings or raise an error that names the remedy."""
    if not NAME.fullmatch(settings.name):
        raise UsageError(
            f"--name: '{settings.name}' is not a name",
            remedy="use a-z, 0-9 and '-', 31 characters at most",
        )
    if not NAME.fullmatch(settings.failure_domain):
        raise UsageError(
            f"--failure-domain: '{settings.failure_domain}' is not a name",
            remedy="use a-z, 0-9 and '-', 31 characters at most",
        )
    if not settings.platform.startswith(("http://", "https://")):
        raise UsageError(
            f"--platform: '{settings.platform}' is not a URL",
            remedy="give the platform's base URL, such as http://127.0.0.1:7000",
        )
    if len(settings.peer_secret) < MIN_SECRET_LENGTH:
        raise UsageError(
            "--peer-secret: too short",
            remedy=f"give {MIN_SECRET_LENGTH} characters or more, alike at all entries",
        )
    if (settings.tls_cert is None) != (settings.tls_key is None):
        raise UsageError(
            "--tls-cert and --tls-key go together", remedy="give both or neither"
        )
    for path in (settings.tls_cert, settings.tls_key, settings.tls_ca):
        if path is not None and not path.is_file():
            raise UsageError(f"no file '{path}'", remedy="give a readable PEM file")
    if settings.address_lifetime_s <= 0 or settings.drain_limit_s <= 0:
        raise UsageError(
            "--address-lifetime and --drain-limit must be above 0",
            remedy="give seconds, such as 5",
        )
    return settings
