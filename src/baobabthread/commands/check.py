"""Command for operators: check a configuration before it is sent."""

from __future__ import annotations

import contextlib
import gc
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import msgspec

from baobabthread.commands.checkedtexts import (
    CheckedTexts,
    InvalidTextError,
    read_checked,
    read_sections,
)
from baobabthread.commands.operate import CA_HELP, Connection, RefusedError
from baobabthread.commands.options import argument, option
from baobabthread.core.configuration.review import bounds, consequences, matching
from baobabthread.core.configuration.review.changes import compare
from baobabthread.core.configuration.review.report import Report
from baobabthread.core.configuration.review.rules import Level, review
from baobabthread.core.configuration.review.view import View
from baobabthread.errors import UsageError

RULE_MODULES = (bounds, consequences, matching)
"""Modules whose import fills the registries."""
WARNED = 1
INVALID = 2


@contextlib.contextmanager
def pause_collector() -> Iterator[None]:
    """Leave garbage alone: all that a check allocates stays until its end."""
    was_on = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_on:
            gc.enable()


@cappa.command(help="Check configuration texts without publishing them.")
@dataclass(kw_only=True, slots=True)
class Check:
    """Check one or several texts, taken together, or one record in JSON."""

    files: Annotated[list[Path], argument("FILE", "Texts that belong together.")]
    against: Annotated[
        str,
        option(
            "against", "Show what differs from this entry's URL or file.", default=""
        ),
    ] = ""
    key: Annotated[
        str, option("operator-key", "The operator's key, for an entry.", default="")
    ] = ""
    tls_ca: Annotated[Path | None, option("tls-ca", CA_HELP, default=None)] = None
    settings: Annotated[
        Path | None,
        option("settings", "An instance's settings file, for a record.", default=None),
    ] = None
    strict: Annotated[bool, option("strict", "Fail on warnings.", default=False)] = (
        False
    )
    json: Annotated[
        bool, option("json", "Print the findings as JSON.", default=False)
    ] = False

    def run(self) -> int:
        """Check, and print all findings at once."""
        with pause_collector():
            report, code = self._check()
            text = report.encode() if self.json else self._render(report)
        print(text)
        return code

    def _check(self) -> tuple[Report, int]:
        try:
            report = self._review()
        except InvalidTextError as error:
            if not self.json:
                raise
            return Report(summary="invalid", findings=[error.finding]), INVALID
        if report.count(Level.ERROR):
            return report, INVALID
        is_refused = self.strict and report.count(Level.WARNING)
        return report, WARNED if is_refused else 0

    def _render(self, report: Report) -> str:
        return report.render(colours=sys.stdout.isatty())

    def _review(self) -> Report:
        is_entry = self.against.startswith(("http://", "https://"))
        in_force = self._ask_entry() if is_entry else {}
        checked = read_checked(self.files, self.settings, in_force=in_force)
        findings = [
            msgspec.structs.replace(finding, file=file, line=line)
            for finding in review(checked.view)
            for file, line in [checked.places.find(finding.field)]
        ]
        changes = None
        if self.against:
            old = self._view_in_force(in_force if is_entry else None, checked)
            changes = compare(old, checked.view)
        return Report(summary=checked.view.summary, findings=findings, changes=changes)

    def _view_in_force(
        self, in_force: dict[str, str] | None, checked: CheckedTexts
    ) -> View:
        if in_force is not None:
            if checked.is_record:
                raise UsageError(
                    "--against: an entry has no records",
                    remedy="give the file of the record in force",
                )
            return read_sections(in_force).view
        known = read_checked([Path(self.against)], self.settings)
        if known.is_record is not checked.is_record:
            raise UsageError(
                f"--against: '{self.against}' is of another kind",
                remedy="compare texts with a text and a record with a record",
            )
        return known.view

    def _ask_entry(self) -> dict[str, str]:
        if not self.key:
            raise UsageError(
                "--operator-key is missing",
                remedy="give --operator-key or set BAOBABTHREAD_OPERATOR_KEY",
            )
        entry = Connection(url=self.against, key=self.key, tls_ca=self.tls_ca)
        try:
            answer = entry.ask("GET", "/admin/configuration")
            return {each["name"]: each["text"] for each in answer["sections"]}
        except RefusedError as error:
            raise UsageError(
                f"--against: {error.message}", remedy=error.remedy
            ) from None
        except (KeyError, TypeError):
            raise UsageError(
                f"--against: {self.against} is not an entry",
                remedy="give the address of an entry",
            ) from None
