"""Why a request of a session got its version of a service."""

from __future__ import annotations

import enum


class VersionReason(enum.StrEnum):
    """Name why a request goes to the version that it goes to."""

    NO_ROLLOUT = "no-rollout"
    ON_TRIAL = "on-trial"
    """Its session takes part in the trial of the new version."""
    TAKEN_OVER = "taken-over"
    """The new version takes over all requests, or has done so."""
    TAKEN_BACK = "taken-back"
    """The new version failed its trial."""
    NOT_ON_TRIAL = "not-on-trial"
    KEPT = "kept"
    """Whoever decides on its session says that it stays, or did not answer."""
    NO_PERMIT = "no-permit"
    """Nobody has confirmed for a while that the roll-out goes on."""
    NO_SERVER = "no-server"
    """No backend server of the new version can take it."""
    BEGAN_OLD = "began-old"
    """An attempt of the same request ran on the old version."""
