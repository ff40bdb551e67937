"""Start of the program, as a process of its own."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

START_S = 20.0


def open_for_writing(path: Path) -> int:
    """Wait until the program opens a named pipe; return the writing end."""
    deadline = time.monotonic() + START_S
    while True:
        try:
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:
            if time.monotonic() > deadline:
                raise
            time.sleep(0.01)


def test_survive_sighup_during_start(tmp_path: Path) -> None:
    """The platform signals changed settings while an instance is still starting.

    The signal's default action would end the process, and callers would wait for
    another start.
    """
    settings = tmp_path / "settings"
    os.mkfifo(settings)
    command = [sys.executable, "-m", "baobabthread.platform", "--settings", settings]
    with subprocess.Popen(command, stderr=subprocess.PIPE) as process:
        pipe = open_for_writing(settings)
        process.send_signal(signal.SIGHUP)
        time.sleep(0.2)
        assert process.poll() is None
        os.close(pipe)
        assert process.wait(START_S) == 2


def test_import_no_modules_that_are_unused_on_the_platform() -> None:
    """After a power failure two hundred instances start on half a core each.

    Callers wait for the first one's imports, of which the modules for the router's own
    log, bills and claims would be an eighth.
    """
    unused = ("core.billing", "core.claims", "core.sessions", "configuration.fold")
    code = (
        "import sys, baobabthread.platform.program;"
        "print(*(name for name in sys.modules if name.startswith('baobabthread')))"
    )
    command = [sys.executable, "-c", code]
    loaded = subprocess.run(command, capture_output=True, text=True, check=True)
    names = loaded.stdout.split()
    assert "baobabthread.platform.program" in names
    assert not [name for name in names for part in unused if part in name]
