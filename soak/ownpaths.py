"""Run an instance that reaches the backend servers over paths of its own."""

from __future__ import annotations

import signal
import sys


def main() -> int:
    """Serve, with a safeguard that is counted if arguments name one."""
    # SIGHUP may come while modules are being imported, as it may at the program.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from baobabthread.instance import process
    from baobabthread.platform import __main__ as program
    from soak import weakened
    from soak.partitions import OwnPaths

    process.Paths = OwnPaths  # type: ignore
    return weakened.main() if sys.argv[1:] else program.main()


if __name__ == "__main__":
    sys.exit(main())
