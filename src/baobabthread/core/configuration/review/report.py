"""Reports of a review: text of 80 columns, and JSON for tools."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

import msgspec

from baobabthread.core.configuration.review.changes import Action, Change
from baobabthread.core.configuration.review.rules import Finding, Level

WIDTH = 80
LABEL_WIDTH = 9
_RESET = "\x1b[0m"
_COLOURS = {
    Level.ERROR: "\x1b[31m",
    Level.WARNING: "\x1b[33m",
    Action.ADDED: "\x1b[32m",
    Action.REMOVED: "\x1b[31m",
    Action.CHANGED: "\x1b[36m",
}


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a check."""

    summary: str
    findings: Sequence[Finding] = ()
    changes: Sequence[Change] | None = None
    """None if there was nothing to compare with."""

    def count(self, level: Level) -> int:
        """Return the number of findings of a level."""
        return sum(finding.level is level for finding in self.findings)

    def encode(self) -> str:
        """Return the report as JSON."""
        document = {
            "summary": self.summary,
            "errors": self.count(Level.ERROR),
            "warnings": self.count(Level.WARNING),
            "findings": self.findings,
            "changes": self.changes,
        }
        return msgspec.json.format(msgspec.json.encode(document)).decode()

    def render(self, *, colours: bool) -> str:
        """Return the report for a person, in lines of 80 columns at most."""
        lines = [self._render_head()]
        for finding in self.findings:
            lines += _render_finding(finding, colours)
        if self.changes is not None:
            lines += _render_changes(self.changes, colours)
        return "\n".join(lines)

    def _render_head(self) -> str:
        errors, warnings = self.count(Level.ERROR), self.count(Level.WARNING)
        if not errors and not warnings:
            return f"ok: {self.summary}"
        state = "errors" if errors else "ok"
        return f"{state}: {self.summary}\nerrors: {errors}, warnings: {warnings}"


def _render_finding(finding: Finding, colours: bool) -> Iterator[str]:
    line = f":{finding.line}" if finding.line is not None else ""
    place = f"{finding.file}{line} " if finding.file else ""
    yield from _label(finding.level, f"{place}{finding.field}", colours)
    yield from _wrap(finding.message)
    yield from _wrap(f"{finding.remedy} [{finding.rule}]")


def _render_changes(changes: Sequence[Change], colours: bool) -> Iterator[str]:
    yield f"differences from the version in force: {len(changes)}"
    for change in changes:
        yield from _label(change.action, f"{change.table}.{change.name}", colours)
        for text in change.fields:
            yield from _wrap(text)
        for text in change.effects:
            yield from _wrap(f"=> {text}")


def _label(label: Level | Action, text: str, colours: bool) -> Iterator[str]:
    first, *more = _wrap(text)
    shown = f"{label:{LABEL_WIDTH}}"
    if colours:
        shown = f"{_COLOURS[label]}{shown}{_RESET}"
    yield shown + first[LABEL_WIDTH:]
    yield from more


def _wrap(text: str) -> list[str]:
    indent = " " * LABEL_WIDTH
    # A text may hold what would steer the terminal.
    if not text.isprintable():
        text = "".join(each if each.isprintable() else "?" for each in text)
    lines = []
    start, room = 0, WIDTH - LABEL_WIDTH
    while len(text) - start > room:
        space = text.rfind(" ", start + 1, start + room + 1)
        end = space if space > 0 else start + room
        lines.append(indent + text[start:end])
        start = end + 1 if space > 0 else end
    return [*lines, indent + text[start:]]
