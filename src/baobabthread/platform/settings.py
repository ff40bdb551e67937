"""The settings file that the platform writes before each start."""

from __future__ import annotations

from pathlib import Path

import msgspec

from baobabthread.errors import UsageError
from baobabthread.instance.settings import InstanceSettings
from baobabthread.routing.bounds import RoutingBounds

PATH_VARIABLE = "BAOBABTHREAD_SETTINGS"
MS_PER_S = 1000.0


class _Listen(msgspec.Struct, frozen=True, kw_only=True):
    front: str
    ready: str
    directory: str
    control: str


class _Provider(msgspec.Struct, frozen=True, kw_only=True):
    address: str
    """Address of the store."""


class _Limits(msgspec.Struct, frozen=True, kw_only=True):
    memory_mb: int = 300
    max_fds: int = 4096


class _Guarantees(msgspec.Struct, frozen=True, kw_only=True):
    contact_ms: float = 3000
    config_apply_ms: float = 2000
    drain_ms: float = 2000
    grace_s: float = 8
    revoke_ms: float = 5000
    strict_revoke: bool = True
    retry_budget_ratio: float = 0.1
    retry_budget_extra: float = 10
    budget_window_s: float = 10
    expose_share: float = 0.1
    exposure_slack: float = 0.0
    session_s: float = 5
    ttl_max_s: float = 5
    evacuate_ms: float = 5000
    cold_overage: float = 1.5
    cold_slack: float = 5


class _File(msgspec.Struct, frozen=True, kw_only=True):
    node_name: str
    """Name of the machine; it is the same for each process started on it."""
    ip: str
    zone: str
    """The failure domain."""
    region: str = ""
    zones: dict[str, str] = {}
    """Region by failure domain."""
    listen: _Listen
    internal_ports: list[int]
    """First and last port available for traffic between instances."""
    seeds: list[str] = []
    """Control addresses of other instances, which may have terminated."""
    limits: _Limits = _Limits()
    guarantees: _Guarantees = _Guarantees()
    provider: _Provider


def read_settings(path: str) -> InstanceSettings:
    """Read and check the settings file.

    Raises `UsageError`, which names the file and the field, if it is not usable.
    """
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        raise UsageError(
            f"can't read the settings file {path}: {error.strerror}",
            remedy=f"set {PATH_VARIABLE} to the path of a readable file",
        ) from error
    return parse_settings(text, path)


def parse_settings(text: bytes, path: str) -> InstanceSettings:
    """Decode the text of the settings file; unknown fields are ignored.

    Raises `UsageError`, which names the file and the field, if it is not usable.
    """
    try:
        file = msgspec.json.decode(text, type=_File)
    except msgspec.MsgspecError as error:
        raise UsageError(
            f"settings file {path}: {error}",
            remedy="compare it with deploy/settings.json and docs/OPERATIONS.md",
        ) from error
    if not file.internal_ports:
        raise UsageError(
            f"settings file {path}: `internal_ports` is empty",
            remedy="set it to the first and the last port between instances",
        )
    return _translate(file)


def _translate(file: _File) -> InstanceSettings:
    bounds = file.guarantees
    return InstanceSettings(
        name=file.node_name,
        failure_domain=file.zone,
        region=file.region,
        regions=file.zones,
        ip=file.ip,
        callers_address=file.listen.front,
        readiness_address=file.listen.ready,
        directory_address=file.listen.directory,
        control_address=file.listen.control,
        gossip_port=file.internal_ports[0],
        seeds=tuple(file.seeds),
        store_address=file.provider.address,
        memory_mb=file.limits.memory_mb,
        max_descriptors=file.limits.max_fds,
        bounds=RoutingBounds(
            revocation_s=bounds.revoke_ms / MS_PER_S,
            retry_ratio=bounds.retry_budget_ratio,
            retry_extra=bounds.retry_budget_extra,
            retry_window_s=bounds.budget_window_s,
            exposure_share=bounds.expose_share,
            exposure_extra=bounds.exposure_slack,
            session_s=bounds.session_s,
            grace_s=bounds.grace_s,
            max_lifetime_s=bounds.ttl_max_s,
            contact_s=bounds.contact_ms / MS_PER_S,
            apply_s=bounds.config_apply_ms / MS_PER_S,
            drain_s=bounds.drain_ms / MS_PER_S,
            evacuation_s=bounds.evacuate_ms / MS_PER_S,
            cold_factor=bounds.cold_overage,
            cold_extra=bounds.cold_slack,
        ),
    )
