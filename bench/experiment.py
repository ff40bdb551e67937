"""The registry of experiments and what they share: options, tables, figures."""

from __future__ import annotations

import json
import statistics
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec

from baobabthread.core.registry import Registry


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what the command line chose for an experiment."""

    quick: bool = False
    json: Path | None = None
    plot: Path | None = None
    seed: int = 1
    instances: int | None = None
    limit: float | None = None
    parts: bool = False


class Table(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one table of results."""

    title: str
    columns: Sequence[str]
    rows: Sequence[Sequence[Any]]


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what one experiment found."""

    figures: dict[str, Any]
    """Named figures, written by `--json`."""
    tables: Sequence[Table]
    failures: Sequence[str] = ()
    """Invariants that did not hold; any makes the exit code 1."""
    verdict: str = ""
    """Last line of the output if there are no failures."""


Experiment = Callable[[Options], Report]

EXPERIMENTS: Registry[Experiment] = Registry(what="experiment")


def median(values: Sequence[float]) -> float:
    """Return the median of some figures."""
    return statistics.median(values)


def render_table(table: Table) -> str:
    """Lay a table out in aligned columns."""
    cells = [[_render_cell(cell) for cell in row] for row in table.rows]
    lines = [list(table.columns), *cells]
    widths = [max(len(line[i]) for line in lines) for i in range(len(table.columns))]
    body = [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        for line in lines
    ]
    return "\n".join([table.title, *(line.rstrip() for line in body), ""])


def _render_cell(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.4g}"
    return str(value)


def write_figures(path: Path, report: Report) -> None:
    """Write an experiment's figures as JSON."""
    path.write_text(json.dumps(report.figures, indent=2, sort_keys=True) + "\n")
