"""The list of tests that may fail for a known fault."""

from __future__ import annotations

import subprocess
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
COMMAND = "python -m soak --first 8 --seeds 1, seed 8"
ENTRY = f"tests/a/test_b.py::test_c[d e-f]; {COMMAND}; streams were cut; issue 3"


def read(path: Path, text: str) -> subprocess.CompletedProcess[str]:
    """Run the check on a list with this text."""
    path.write_text(text, encoding="utf-8")
    return subprocess.run(
        ["bash", str(ROOT / ".ci" / "known-red"), str(path)],
        capture_output=True,
        text=True,
        check=False,
    )


def test_name_the_tests_of_any_number_of_entries(tmp_path: Path) -> None:
    """A limit of three kept a test that had failed off the list."""
    done = read(tmp_path / "list", "\n".join([ENTRY] * 7) + "\n\n")
    assert done.returncode == 0
    assert done.stdout.splitlines() == ["tests/a/test_b.py::test_c[d e-f]"] * 7


def test_name_nothing_where_nothing_is_listed(tmp_path: Path) -> None:
    done = read(tmp_path / "list", "")
    assert (done.returncode, done.stdout) == (0, "")


@pytest.mark.parametrize(
    "entry",
    [
        ENTRY.replace("tests/a/test_b.py::test_c[d e-f]; ", ""),
        ENTRY.replace(f"{COMMAND}; ", ""),
        ENTRY.replace(COMMAND, "python -m soak"),
        ENTRY.replace("streams were cut; ", ""),
        ENTRY.replace("; issue 3", ""),
        ENTRY.replace("issue 3", "issue"),
    ],
)
def test_refuse_an_entry_that_lacks_a_part(tmp_path: Path, entry: str) -> None:
    done = read(tmp_path / "list", f"{ENTRY}\n{entry}\n")
    assert done.returncode == 1
    assert "list:2: not" in done.stderr


def test_list_only_whole_entries() -> None:
    done = subprocess.run(
        ["bash", ".ci/known-red", "KNOWN-RED.txt"], cwd=ROOT, check=False
    )
    assert done.returncode == 0
