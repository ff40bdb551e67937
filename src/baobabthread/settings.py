"""Settings of an entry, checked at the start."""

from __future__ import annotations

import ipaddress
import re
import ssl
from pathlib import Path

import msgspec

from baobabthread.errors import UsageError

NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,30}")
SHA256_HEX = re.compile(r"[0-9a-f]{64}")
SECRET = re.compile(r"[\x21-\x7e]{16,}")
MIN_SECRET_LENGTH = 16
MAX_MEMORY_MB = 10_000_000
MAX_DESCRIPTORS = 10_000_000
MAX_SECONDS = 86_400.0


class Address(msgspec.Struct, frozen=True):
    """Hold an IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


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
    max_header_bytes: int = 16_384
    body_timeout_s: float = 20.0
    """Within which a whole body must have come."""
    idle_timeout_s: float = 30.0
    """Within which a connection must bring its next whole request head."""
    max_memory_mb: int = 0
    """Memory of the process; 0 for that of the machine."""
    max_descriptors: int = 0
    """Descriptors of the process; 0 for as many as the system allows it."""
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
        if not NAME.fullmatch(key_id) or len(secret.encode()) < MIN_SECRET_LENGTH:
            raise UsageError(
                f"--session-keys: key '{key_id[:31]}' needs an id and a secret",
                remedy="write ID:SECRET, the id of a-z, 0-9 and '-', the secret of "
                f"{MIN_SECRET_LENGTH} characters or more",
            )
        if any(key_id == other for other, _ in keys):
            raise UsageError(
                f"--session-keys: two keys have the id '{key_id}'",
                remedy="give each key an id of its own",
            )
        keys.append((key_id, secret.encode()))
    return tuple(keys)


def check_settings(settings: EntrySettings) -> EntrySettings:
    """Return the settings or raise an error that names the remedy."""
    _check_name("--name", settings.name)
    _check_name("--failure-domain", settings.failure_domain)
    _check_platform(settings.platform)
    _check_secrets(settings)
    _check_tls(settings)
    _check_number("--address-lifetime", settings.address_lifetime_s, 0.1, MAX_SECONDS)
    _check_number("--drain-limit", settings.drain_limit_s, 0.1, MAX_SECONDS)
    _check_number("--freshness-bound", settings.freshness_bound_s, 0.1, MAX_SECONDS)
    _check_number("--body-timeout", settings.body_timeout_s, 0.1, MAX_SECONDS)
    _check_number("--idle-timeout", settings.idle_timeout_s, 0.1, MAX_SECONDS)
    _check_number("--max-body", settings.max_body_bytes, 1_000, 100_000_000)
    _check_number("--max-header", settings.max_header_bytes, 1_000, 1_000_000)
    _check_number("--max-memory", settings.max_memory_mb, 0, MAX_MEMORY_MB)
    _check_number("--max-descriptors", settings.max_descriptors, 0, MAX_DESCRIPTORS)
    return settings


def _check_name(option: str, value: str) -> None:
    if not NAME.fullmatch(value):
        raise UsageError(
            f"{option}: '{value[:80]}' is not a name",
            remedy="use a-z, 0-9 and '-', 31 characters at most",
        )


def _check_number(option: str, value: float, low: float, high: float) -> None:
    if not low <= value <= high:
        raise UsageError(
            f"{option}: {value} is out of range",
            remedy=f"give a number from {low:g} to {high:g}",
        )


def _check_platform(url: str) -> None:
    if not url.startswith(("http://", "https://")):
        raise UsageError(
            f"--platform: '{url}' is not a URL",
            remedy="give the platform's base URL, such as http://127.0.0.1:7000",
        )


def _check_secrets(settings: EntrySettings) -> None:
    # It travels in a header: a space or another alphabet would differ after parsing.
    if not SECRET.fullmatch(settings.peer_secret):
        raise UsageError(
            "--peer-secret: too short, or not all visible ASCII characters",
            remedy=f"give {MIN_SECRET_LENGTH} characters or more, alike at all entries",
        )
    hashed = settings.operator_key_sha256
    if hashed and not SHA256_HEX.fullmatch(hashed):
        raise UsageError(
            "--operator-key-sha256: not a SHA-256 hash",
            remedy="give the 64 lower-case hex digits of the key's SHA-256",
        )


def _check_tls(settings: EntrySettings) -> None:
    if (settings.tls_cert is None) != (settings.tls_key is None):
        raise UsageError(
            "--tls-cert and --tls-key go together", remedy="give both or neither"
        )
    files = {
        "--tls-cert": settings.tls_cert,
        "--tls-key": settings.tls_key,
        "--tls-ca": settings.tls_ca,
    }
    for option, path in files.items():
        if path is not None and not path.is_file():
            raise UsageError(
                f"{option}: no file '{path}'", remedy="give a readable PEM file"
            )
    try:
        if settings.tls_cert is not None:
            context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
            context.load_cert_chain(settings.tls_cert, settings.tls_key)
        if settings.tls_ca is not None:
            ssl.create_default_context(cafile=settings.tls_ca)
    except (ssl.SSLError, OSError) as error:
        raise UsageError(
            f"--tls-cert, --tls-key, --tls-ca: {error.strerror or error}",
            remedy="give a PEM certificate with its PEM key, and a PEM authority",
        ) from None
