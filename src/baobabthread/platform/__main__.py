"""Run one instance on the platform."""

from __future__ import annotations

import signal
import sys


def main() -> int:
    """Load the program and run it; return the exit code."""
    # The platform may tell of changed settings while the program still loads. Without
    # this the signal ends the process and costs its callers another start. Nothing is
    # lost by passing it over: settings are read after this, at the start.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from baobabthread.platform import program

    return program.main()


if __name__ == "__main__":
    sys.exit(main())
