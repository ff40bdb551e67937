"""Tests of the report over the journal."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest
from bench.report import compare, read_journal

from baobabthread.errors import UsageError


def write_entry(folder: Path, number: int, worth: float, **more: Any) -> None:
    day = {
        "name": "quiet-1",
        "G": worth,
        "rules": {},
        "parts": [["whole day", 0.75, worth]],
        "prices": [["calls", 100.0, 0.02 / number], ["machines", 1.0, 0.03]],
    }
    entry = {
        "id": str(number),
        "at": [f"day {number}", "later"],
        "cmd": "score",
        "site": "town",
        "panel": "p",
        "score": worth,
        "days": [day],
    }
    path = folder / f"{number}.json"
    path.write_bytes(msgspec.json.encode(entry | more))


def test_compare_the_first_and_the_newest_score(tmp_path: Path) -> None:
    write_entry(tmp_path, 1, 0.5)
    write_entry(tmp_path, 2, 0.1, cmd="run", score=None)
    write_entry(tmp_path, 3, 0.2, panel="other")
    write_entry(tmp_path, 4, 0.7)
    days, prices = compare(read_journal(tmp_path))
    assert days.rows[0] == ("quiet-1", 0.5, 0.7, 0.2, "none")
    assert prices.rows[0] == ("machines", 0.03, 0.03)
    assert prices.rows[1] == ("calls", 0.02, 0.005)


def test_say_where_there_is_no_journal(tmp_path: Path) -> None:
    with pytest.raises(UsageError, match="no journal"):
        read_journal(tmp_path)
