"""The typed form of the operators' text."""

from __future__ import annotations

import enum

import msgspec


class ServiceKind(enum.StrEnum):
    """Tell a model service from a plain one."""

    MODEL = "model"
    PLAIN = "plain"


class OnStale(enum.StrEnum):
    """Choose what a service does at an entry that may be cut off."""

    SERVE = "serve"
    REFUSE = "refuse"


class Priority(enum.StrEnum):
    """Order the classes of requests, most urgent first."""

    URGENT = "urgent"
    INTERACTIVE = "interactive"
    BATCH = "batch"


class VersionState(enum.StrEnum):
    """Order the life of a version: offered, draining, withdrawn."""

    OFFERED = "offered"
    DRAINING = "draining"
    WITHDRAWN = "withdrawn"


class Call(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Describe one call of a service."""

    idempotent: bool = True
    priority: Priority = Priority.INTERACTIVE
    deadline_s: float = 30.0


class Service(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Describe one service and what it depends on."""

    kind: ServiceKind
    depends_on: list[str] = []
    """Names of the services that this one calls."""
    calls: dict[str, Call] = {}
    cascade: list[str] = []
    """Versions in the order in which they are tried, cheapest first."""
    quality_target: float = 0.9
    """Wanted share of answers that are good enough, 0 to 1."""
    on_stale: OnStale = OnStale.REFUSE
    cascade_rule: str = "calibrated"
    balancer: str = "affine"
    detector: str = "betting"


class Version(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Describe one version of a model."""

    service: str
    model: str
    cost: float
    """Price of 1,000 generated tokens, in the operator's unit."""
    state: VersionState = VersionState.OFFERED
    cleared: int = 0
    """Quarantines recorded at generations below this one are lifted."""


class Account(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Describe one client account."""

    key_sha256: str
    services: list[str]
    versions: list[str] = []
    """Versions that the account allows; empty allows those of its services."""
    weight: float = 1.0
    tokens_per_s: float = 0.0
    """Upper bound on its use; 0 sets none."""
    max_running: int = 256


class Backend(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Describe one backend server."""

    service: str
    address: str
    failure_domain: str
    capacity: int = 8
    checks_fencing: bool = False
    versions: list[str] = []
    """Versions that it shall have loaded; roll-outs may change it."""


class Rollout(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Describe one move of traffic from a version to another."""

    service: str
    old: str
    new: str
    steps: tuple[float, ...] = (0.05, 0.25, 1.0)
    hold_s: float = 30.0
    """How long each step stays before the next."""


class Operator(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Describe one operator and the sections that it may publish."""

    key_sha256: str
    sections: list[str]


class SectionText(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Hold the typed form of one section's text."""

    services: dict[str, Service] = {}
    versions: dict[str, Version] = {}
    accounts: dict[str, Account] = {}
    backends: dict[str, Backend] = {}
    rollouts: dict[str, Rollout] = {}
    operators: dict[str, Operator] = {}


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the merged, checked result of all sections."""

    generation: int
    services: dict[str, Service]
    versions: dict[str, Version]
    accounts: dict[str, Account]
    backends: dict[str, Backend]
    rollouts: dict[str, Rollout]
    operators: dict[str, Operator]


EMPTY = Configuration(
    generation=0,
    services={},
    versions={},
    accounts={},
    backends={},
    rollouts={},
    operators={},
)
