"""The journal of played days as tables and a picture: each day and part."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec

from baobabthread.errors import UsageError
from bench.experiment import EXPERIMENTS, Options, Report, Table

JOURNAL = Path("journal")
LARGEST_PRICES = 8
"""Prices that the table of parts shows."""
SCORE = "score"


class PlayedDay(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one day as the journal has it."""

    name: str
    worth: float = msgspec.field(name="G", default=0.0)
    rules: dict[str, msgspec.Raw] = {}
    """Broken ones."""
    parts: list[tuple[str, float, float]] = []
    """Name, weight and worth."""
    prices: list[tuple[str, float | None, float | None]] = []
    """Name, quantity and what it takes off the worth; nothing where it has none."""


class Entry(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one entry of the journal."""

    id: str
    at: list[str]
    cmd: str = ""
    why: str | None = ""
    site: str | None = None
    panel: str | None = None
    """Names the set of days, so that only the same ones are compared."""
    score: float | None = None
    days: list[PlayedDay] = []


def read_journal(folder: Path) -> list[Entry]:
    """Return all entries, the oldest first.

    Raises `UsageError` where there is no journal.
    """
    paths = sorted(folder.glob("*.json"))
    if not paths:
        raise UsageError(
            f"no journal in {folder}", remedy="run it in the repository's root"
        )
    return [msgspec.json.decode(path.read_bytes(), type=Entry) for path in paths]


def compare(entries: Sequence[Entry]) -> list[Table]:
    """Return a table of days and one of prices for each site that was scored."""
    tables = []
    scores = [entry for entry in entries if entry.cmd == SCORE]
    scored = [entry for entry in scores if entry.score is not None]
    for site in sorted({entry.site for entry in scored if entry.site}):
        last = [entry for entry in scored if entry.site == site][-1]
        same = [e for e in scored if e.site == site and e.panel == last.panel]
        tables.append(_compare_days(same[0], last))
        tables.append(_compare_prices(same[0], last))
    return tables


def _compare_days(before: Entry, after: Entry) -> Table:
    known = {day.name: day for day in before.days}
    rows: list[Sequence[Any]] = [
        (
            day.name,
            _round(known[day.name].worth),
            _round(day.worth),
            _round(day.worth - known[day.name].worth),
            " ".join(sorted(day.rules)) or "none",
        )
        for day in after.days
        if day.name in known
    ]
    rows.append(("score", _round(before.score), _round(after.score), "", ""))
    return Table(
        title=f"{after.site}: worth by day, {before.at[0]} and {after.at[0]}",
        columns=("day", "before", "after", "gain", "broken rules"),
        rows=rows,
    )


def _compare_prices(before: Entry, after: Entry) -> Table:
    then, now = _average_prices(before), _average_prices(after)
    names = sorted(now, key=lambda name: -max(now[name], then.get(name, 0.0)))
    rows = [
        (name, _round(then.get(name, 0.0), 4), _round(now[name], 4))
        for name in names[:LARGEST_PRICES]
    ]
    return Table(
        title=f"{after.site}: mean price by part",
        columns=("part", "before", "after"),
        rows=rows,
    )


def _average_prices(entry: Entry) -> dict[str, float]:
    totals: dict[str, float] = {}
    for day in entry.days:
        for name, _, price in day.prices:
            totals[name] = totals.get(name, 0.0) + (price or 0.0) / len(entry.days)
    return totals


def _round(value: float | None, digits: int = 3) -> float:
    return round(value or 0.0, digits)


@EXPERIMENTS.register("report")
def report_journal(options: Options) -> Report:
    """Compare the first and the newest score of each site."""
    tables = compare(read_journal(JOURNAL))
    if options.plot is not None:
        _draw(tables, options.plot)
    figures = {
        f"{table.title}/{row[0]}": row[2] for table in tables for row in table.rows
    }
    return Report(figures=figures, tables=tables)


def _draw(tables: Sequence[Table], path: Path) -> None:
    from matplotlib import pyplot

    count = max(1, len(tables))
    figure, axes = pyplot.subplots(count, 1, figsize=(9, 3 * count), squeeze=False)
    for axis, table in zip(axes[:, 0], tables, strict=False):
        names = [row[0] for row in table.rows]
        places = range(len(names))
        axis.bar([p - 0.2 for p in places], [r[1] for r in table.rows], 0.4)
        axis.bar([p + 0.2 for p in places], [r[2] for r in table.rows], 0.4)
        axis.set_xticks(list(places), names, rotation=15, fontsize=7)
        axis.set_title(f"{table.title} (before, after)", fontsize=9)
    figure.tight_layout()
    figure.savefig(path)
