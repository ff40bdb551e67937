"""What a detector of bad versions takes in and gives; the registry of detectors."""

from __future__ import annotations

from typing import Protocol

import msgspec

from baobabthread.core.models.selection import Damped
from baobabthread.core.registry import Registry
from baobabthread.core.rollouts.tallies import Concern


class Observation(msgspec.Struct, frozen=True, kw_only=True):
    """Report one outcome of a version; what is unknown stays None."""

    version: str
    call: str
    after: str = ""
    """The version turned down just before; empty for the first attempt."""
    good: bool | None = None
    """The rating, when one arrived."""
    error: bool | None = None
    """Whether the attempt failed, when it ended just now."""
    latency_s: float | None = None
    """Time to the first token, or per token: not growing with the answer's length."""


class Alarm(msgspec.Struct, frozen=True, kw_only=True):
    """Report that a version turned bad."""

    version: str
    call: str | None
    """The one kind of call that is bad, or None for all."""
    reason: Concern
    evidence: str
    """The figures, for people."""


class Detector(Protocol):
    """Watch the versions of one service at one entry."""

    def observe(self, observation: Observation, *, now: float) -> None:
        """Take in an outcome seen here."""

    def evidence(self) -> bytes:
        """Return this entry's counts for its peers."""

    def merge(self, *, origin: str, evidence: bytes, now: float) -> None:
        """Take in a peer's counts; `origin` names its incarnation."""

    def alarms(self, now: float) -> list[Alarm]:
        """Return the alarms; each stands until its version is reset."""

    def reset(self, version: str, *, old: str | None = None) -> None:
        """Forget a version that was published anew.

        `old` names the version whose past quality it is compared with.
        """

    def rating_share(self, version: str, call: str) -> float:
        """Return the share of the version's answers to have rated."""

    def traffic_factor(self, version: str) -> float:
        """Return what to multiply the version's share of a roll-out by."""

    def damped(self) -> list[Damped]:
        """Return the suspected versions that shall get fewer requests."""


class DetectorFactory(Protocol):
    """Build a detector for one service."""

    def __call__(self) -> Detector:
        """Return a detector that has seen nothing."""


DETECTORS: Registry[DetectorFactory] = Registry(what="detector")
