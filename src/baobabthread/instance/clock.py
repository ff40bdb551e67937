"""The clock of all decisions: it counts the time for which a machine is suspended."""

from __future__ import annotations

import time


def now() -> float:
    """Return seconds since the machine started, suspension included.

    An instance that was suspended would otherwise take what it knew before for fresh
    and serve a key that was taken away meanwhile.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
