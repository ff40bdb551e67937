"""Tests of the one-file binary; `.ci/run` builds it first."""

from __future__ import annotations

import os
import re
import signal
import subprocess
import sys
import time
import urllib.request
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.shell import LIMIT_S, PEER_SECRET, TEXT, ShellThread

BINARY = Path(__file__).parents[1] / "dist" / "baobabthread"
STARTED = re.compile(r"event=entry_started .*?\baddress=(\S+)")
EXIT_LIMIT_S = 60
CHILDREN_MINOR_FAULTS = 10
"""Field of /proc/PID/stat, counted from 0: page faults of children that ended."""

# Only a run by hand may go without the file: where a check is automatic, a missing
# binary is a failure of the build that must show.
pytestmark = pytest.mark.skipif(
    not BINARY.exists() and "CI" not in os.environ,
    reason="no dist/baobabthread; `make binary` builds it",
)


class Place:
    """Name the folders that a process of the binary could write to."""

    def __init__(self, base: Path) -> None:
        self.root = base / "root"
        self.others = [base / name for name in ("home", "tmp", "work")]
        for folder in (self.root, *self.others):
            folder.mkdir()
        home, temporary, self.work = self.others
        self.environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(home),
            "TMPDIR": str(temporary),
            "SHIV_ROOT": str(self.root),
        }

    def start(self, *arguments: str, **options: Any) -> subprocess.Popen[str]:
        return subprocess.Popen(
            [sys.executable, str(BINARY), *arguments],
            cwd=self.work,
            env=self.environment,
            text=True,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            **options,
        )

    def run(self, *arguments: str) -> tuple[int, str, str]:
        process = self.start(*arguments)
        out, errors = process.communicate(timeout=EXIT_LIMIT_S)
        return process.returncode, out, errors

    def list_strays(self) -> list[Path]:
        return [path for folder in self.others for path in folder.rglob("*")]


@pytest.fixture(scope="module")
def place(tmp_path_factory: pytest.TempPathFactory) -> Place:
    return Place(tmp_path_factory.mktemp("binary"))


@pytest.fixture
def serving(place: Place) -> Iterator[tuple[subprocess.Popen[str], str]]:
    with ShellThread() as thread:
        process = place.start(
            "serve",
            "--name=binary",
            "--listen=127.0.0.1:0",
            "--peer-listen=127.0.0.1:0",
            f"--peers={thread.shell.entries[0].peer_address}",
            f"--platform={thread.shell.fleet.url}",
            f"--peer-secret={PEER_SECRET}",
            "--session-keys=k1:session-key-of-tests",
            "--address-lifetime=0.1",
        )
        try:
            assert process.stderr is not None
            for line in process.stderr:
                found = STARTED.search(line)
                if found:
                    break
            else:
                pytest.fail("the entry did not start")
            yield process, found[1]
        finally:
            if process.poll() is None:
                process.kill()
            process.communicate(timeout=EXIT_LIMIT_S)


def test_version_is_shown(place: Place) -> None:
    code, out, errors = place.run("version")
    assert (code, errors) == (0, "")
    assert out.startswith("baobabthread ")


def test_texts_are_checked(place: Place, tmp_path: Path) -> None:
    good = tmp_path / "good.toml"
    good.write_text(TEXT, encoding="utf-8")
    bad = tmp_path / "bad.toml"
    bad.write_text("[a", encoding="utf-8")
    code, out, _ = place.run("check", str(good))
    assert code == 0
    assert out.startswith("ok: 3 services")
    code, _, errors = place.run("check", str(bad))
    assert code == 2
    assert "Remedy: " in errors


def test_examples_are_in_the_file(place: Place) -> None:
    place.run("version")
    names = {path.name for path in place.root.rglob("examples/*.toml")}
    assert names == {"association.toml", "kalbaishakhi.toml"}


def test_it_unpacks_only_into_the_named_folder(place: Place) -> None:
    code, _, errors = place.run("version")
    assert code == 0, errors
    assert any(place.root.rglob("baobabthread/cli.py"))
    assert place.list_strays() == []


def test_it_can_be_run_as_a_program(place: Place) -> None:
    assert os.access(BINARY, os.X_OK)
    with BINARY.open("rb") as file:
        assert file.readline() == b"#!/usr/bin/env python3.11\n"


def count_children(pid: int) -> int:
    """Count the children that run, and tell of any that has ended."""
    running = sum(
        len(path.read_text().split())
        for path in Path(f"/proc/{pid}/task").glob("*/children")
    )
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    # The list after the name begins with field 3 of the page, index 2.
    return running + int(fields[CHILDREN_MINOR_FAULTS - 2])


def test_a_child_would_be_seen() -> None:
    code = (
        "import subprocess, sys; subprocess.run(['true']);"
        "print('ended', flush=True); sys.stdin.read()"
    )
    parent = subprocess.Popen(
        [sys.executable, "-c", code],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert parent.stdout is not None
        assert parent.stdout.readline() == "ended\n"
        assert count_children(parent.pid) > 0
    finally:
        parent.communicate(timeout=EXIT_LIMIT_S)


def test_serving_forks_no_child_and_stops_gracefully(
    place: Place, serving: tuple[subprocess.Popen[str], str]
) -> None:
    """An entry of the binary serves, is looked at, and is told to stop.

    While it serves it has no child and had none. At SIGTERM it leaves, drains and
    ends with exit code 0; it has written nothing outside its folder.
    """
    process, address = serving
    deadline = time.monotonic() + LIMIT_S
    text = ""
    while text != "ok\n" and time.monotonic() < deadline:
        assert count_children(process.pid) == 0
        try:
            with urllib.request.urlopen(f"http://{address}/healthz") as answer:
                text = answer.read().decode()
        except urllib.error.HTTPError:
            time.sleep(0.05)
    assert text == "ok\n"
    assert list(Path(f"/proc/{process.pid}/task").glob("*/children"))
    assert count_children(process.pid) == 0
    process.send_signal(signal.SIGTERM)
    _, errors = process.communicate(timeout=EXIT_LIMIT_S)
    assert process.returncode == 0, errors
    assert "event=entry_leaving" in errors
    assert place.list_strays() == []
