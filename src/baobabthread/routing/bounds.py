"""Bounds that the deployment sets for routing decisions."""

from __future__ import annotations

import msgspec


class RoutingBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds on what all instances together may do; times are in seconds."""

    revocation_s: float = 5.0
    """Time after which a revoked key must no longer be accepted."""
    retry_ratio: float = 0.9
    """Retries that all instances may send per request of a service."""
    retry_extra: float = 50.0
    """Additional retries allowed per window."""
    retry_window_s: float = 10.0
    """Length of the window over which retries are counted, wherever it begins."""
    exposure_share: float = 0.15
    """Fraction of a service's requests that a faulty version may receive."""
    exposure_extra: float = 0.0
    """Additional requests that a faulty version may receive."""
    session_s: float = 5.0
    """Idle time after which a session's next request may go to another version."""
    grace_s: float = 8.0
    """Time from the stop signal until the process is killed."""
    max_lifetime_s: float = 5.0
    """Longest time for which callers cache addresses."""
    contact_s: float = 3.0
    """Time for which the store must have been available to count as stable."""
    apply_s: float = 2.0
    """Time after which a new configuration must be in force on all instances."""
    drain_s: float = 2.0
    """Time after which a leaving backend server must get no more requests."""
    evacuation_s: float = 5.0
    """Time after which an evacuated failure domain must get no more requests."""
    cold_factor: float = 1.5
    """Multiple of its configured warm-up rate that a cold server may get per second."""
    cold_extra: float = 5.0
    """Additional requests that a cold server may get in that second."""
    limit_factor: float = 1.5
    """Multiple of the limit that a backend server states that it may get."""
    limit_extra: float = 5.0
    """Additional requests that such a server may get in a window."""
    limit_window_s: float = 4.0
    """Length of the window over which they are counted, wherever it begins."""
