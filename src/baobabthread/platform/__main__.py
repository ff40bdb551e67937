"""Entry point of an instance on the platform."""

from __future__ import annotations

import signal
import sys


def main() -> int:
    """Import and run the program; return the exit code."""
    # The platform may send SIGHUP, for changed settings, while modules are still being
    # imported. The default action would end the process and make callers wait for
    # another start. Ignoring it loses nothing, since settings are read later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from baobabthread.platform import program

    return program.main()


if __name__ == "__main__":
    sys.exit(main())
