"""Figures that the place of use sets for the decisions."""

from __future__ import annotations

import msgspec


class RoutingBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bound what the instances together may do; times are in seconds."""

    revocation_s: float = 5.0
    """Time after which a key that was taken away must not run anything."""
    retry_ratio: float = 0.9
    """Repeats that all instances may send for each request of a service."""
    retry_extra: float = 50.0
    """Repeats that may come on top in one window."""
    retry_window_s: float = 10.0
    """Length of each window, wherever it begins, in which the repeats are counted."""
    exposure_share: float = 0.15
    """Part of a service's requests that a bad version may get."""
    exposure_extra: float = 0.0
    """Requests that a bad version may get on top."""
    session_s: float = 5.0
    """Pause after which a session's next request may go to another version."""
    grace_s: float = 8.0
    """Time from the signal to stop until the process is ended."""
    max_lifetime_s: float = 5.0
    """Longest time for which callers keep addresses."""
    contact_s: float = 3.0
    """Time for which the store must have been well to count as stable."""
    apply_s: float = 2.0
    """Time after which a new configuration must be in force everywhere."""
    drain_s: float = 2.0
    """Time after which a backend server that leaves must get nothing more."""
    evacuation_s: float = 5.0
    """Time after which an evacuated failure domain must get nothing more."""
    cold_factor: float = 1.5
    """Times the rate that a cold backend server bears which it may get in a second."""
    cold_extra: float = 5.0
    """Requests that may come on top in that second."""
