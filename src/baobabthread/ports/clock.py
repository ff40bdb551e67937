"""The port to the clock."""

from __future__ import annotations

from typing import Protocol


class Clock(Protocol):
    """Tell the time."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        ...
