"""Tests of the program's start, as a process of its own."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

START_S = 20.0


def open_for_writing(path: Path) -> int:
    """Wait until the program reads a named pipe; return its other end."""
    ends_at = time.monotonic() + START_S
    while True:
        try:
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:
            if time.monotonic() > ends_at:
                raise
            time.sleep(0.01)


def test_survive_changed_settings_while_it_starts(tmp_path: Path) -> None:
    """The platform says that settings changed while an instance is still starting.

    The signal's default action ends the process, and callers wait for another start.
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


def test_load_nothing_that_the_platform_makes_needless() -> None:
    """Two hundred instances lost power and start again on half a core each.

    Callers wait for the imports of the first one; those of the product's own log, bills
    and claims were an eighth of them.
    """
    needless = ("core.billing", "core.claims", "core.sessions", "configuration.fold")
    code = (
        "import sys, baobabthread.platform.program;"
        "print(*(name for name in sys.modules if name.startswith('baobabthread')))"
    )
    command = [sys.executable, "-c", code]
    loaded = subprocess.run(command, capture_output=True, text=True, check=True)
    names = loaded.stdout.split()
    assert "baobabthread.platform.program" in names
    assert not [name for name in names for part in needless if part in name]
