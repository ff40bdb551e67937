"""Reasons for the choice of a version."""

from __future__ import annotations

import enum


class VersionReason(enum.StrEnum):
    """Reason why a request goes to its version of a service."""

    NO_ROLLOUT = "no-rollout"
    CANARY = "on-trial"
    """The session is part of the canary."""
    PROMOTED = "taken-over"
    """The new version receives all requests."""
    ROLLED_BACK = "taken-back"
    """The new version was rolled back."""
    NOT_CANARY = "not-on-trial"
    KEPT = "kept"
    """The session's owner keeps it on the old version or did not reply."""
    NO_PERMIT = "no-permit"
    """Neither permit nor confirmation of the roll-out is current."""
    NO_SERVER = "no-server"
    """No backend server of the new version can take the request."""
    STARTED_ON_OLD = "began-old"
    """An earlier attempt of the request ran on the old version."""
