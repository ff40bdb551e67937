"""Where requests were lost, late or answered poorly, by the lines of the instances."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable
from datetime import datetime

import msgspec

WELL = "well"
_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
_ENDS = ("request_answered", "request_given_up", "request_turned_away", "caller_gone")
_KEPT = re.compile(r"kept [\d.]+ (\w+)")
_SILENT = ("no sign of life", "answer lost", "events lost")
FAILURE = 400
"""Status from which an answer is none."""


class Ending(msgspec.Struct, frozen=True, kw_only=True):
    """Hold how one request ended."""

    at_s: float
    """Unix second."""
    route: str
    loss: str
    """What was lost and why; `well` where nothing was."""


class Loss(msgspec.Struct, frozen=True, kw_only=True):
    """Count requests of one route and span of time that lost for one reason."""

    route: str
    from_s: float
    """Seconds from the first line."""
    loss: str
    requests: int
    part: float
    """Part of all requests of that route and span."""


def read_endings(lines: Iterable[str]) -> list[Ending]:
    """Return the ends of requests among lines of logs."""
    found = []
    for line in lines:
        fields = {name: value.strip('"') for name, value in _FIELD.findall(line)}
        if fields.get("event") not in _ENDS or "time" not in fields:
            continue
        found.append(
            Ending(
                at_s=datetime.fromisoformat(fields["time"]).timestamp(),
                route=fields.get("route", "-"),
                loss=find_loss(fields),
            )
        )
    return found


def find_loss(fields: dict[str, str]) -> str:
    """Return what a request lost, by the fields of its line."""
    event, trail = fields["event"], fields.get("trail", "")
    if event == "caller_gone":
        return "caller left: " + _find_delay(trail)
    status = int(fields.get("status", "0"))
    if event != "request_answered":
        word = "refused" if status == 503 else "failed"
        return f"{word}: {fields.get('kind', '-')}"
    if status >= FAILURE:
        return f"failed: backend server said {status}"
    first_ms = float(fields.get("first_ms") or 0) or float(fields.get("took_ms", 0))
    if first_ms > float(fields.get("objective_ms") or "inf"):
        return "late: " + _find_delay(trail)
    kept = _KEPT.search(trail)
    return f"doubtful answer: {kept[1]}" if kept else WELL


def _find_delay(trail: str) -> str:
    if any(word in trail for word in _SILENT):
        return "silent backend server"
    if "unsure" in trail:
        return "a larger model was asked"
    return "other attempts failed" if trail else "waited at one backend server"


def count_losses(endings: Iterable[Ending], *, span_s: float) -> list[Loss]:
    """Return the losses by route and span of time, each span's largest first."""
    endings = list(endings)
    if not endings:
        return []
    start_s = min(ending.at_s for ending in endings)
    totals: Counter[tuple[str, int]] = Counter()
    losses: Counter[tuple[str, int, str]] = Counter()
    for ending in endings:
        span = int((ending.at_s - start_s) / span_s)
        totals[ending.route, span] += 1
        if ending.loss != WELL:
            losses[ending.route, span, ending.loss] += 1
    rows = [
        Loss(
            route=route,
            from_s=span * span_s,
            loss=loss,
            requests=count,
            part=count / totals[route, span],
        )
        for (route, span, loss), count in losses.items()
    ]
    return sorted(rows, key=lambda row: (row.from_s, -row.requests, row.route))
