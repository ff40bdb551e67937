"""Why a request of a session got its version of a service."""

from __future__ import annotations

import enum


class VersionReason(enum.StrEnum):
    """Name why a request goes to the version that it goes to."""

    NO_ROLLOUT = "no-rollout"
    CANARY = "on-trial"
    """Its session takes part in the trial of the new version."""
    PROMOTED = "taken-over"
    """The new version takes over all requests, or has done so."""
    ROLLED_BACK = "taken-back"
    """The new version failed its trial."""
    NOT_CANARY = "not-on-trial"
    KEPT = "kept"
    """Whoever decides on its session says that it stays, or did not answer."""
    NO_PERMIT = "no-permit"
    """Nobody has confirmed for a while that the roll-out goes on."""
    NO_SERVER = "no-server"
    """No backend server of the new version can take it."""
    STARTED_ON_OLD = "began-old"
    """An attempt of the same request ran on the old version."""
