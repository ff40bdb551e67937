"""The clock of all decisions, which includes the time of a machine's suspension."""

from __future__ import annotations

import time


def now() -> float:
    """Return the seconds since the machine started, including suspension.

    Otherwise an instance that was suspended would treat its replica as fresh and accept
    a key that was revoked in the meantime.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
