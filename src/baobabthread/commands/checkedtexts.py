"""Texts and records that `check` reads, with the places of their fields."""

from __future__ import annotations

import functools
from collections.abc import Mapping, Sequence
from pathlib import Path

import msgspec

from baobabthread.commands.operate import read_text
from baobabthread.core.configuration.configuration import (
    SectionText,
    merge_sections,
    parse_section,
)
from baobabthread.core.configuration.review.lines import (
    find_invalid_field,
    find_line,
    find_syntax_line,
    index_lines,
)
from baobabthread.core.configuration.review.rules import Finding, Level
from baobabthread.core.configuration.review.text import view_text
from baobabthread.core.configuration.review.view import View
from baobabthread.errors import ConfigurationError, UsageError
from baobabthread.platform.lines import RecordLines
from baobabthread.platform.records import decode_configuration
from baobabthread.platform.settings import read_settings
from baobabthread.routing.review import view_routing

RECORD_SUFFIX = ".json"
MAX_RECORD_BYTES = 64_000_000
BYTES_PER_MB = 1_000_000
MAX_PARSED_SECTIONS = 1_000
"""Sections kept: those that a change leaves alone are read once for both sides."""


class InvalidTextError(UsageError):
    """Report a text that can't be read, with its place."""

    def __init__(self, finding: Finding) -> None:
        line = f":{finding.line}" if finding.line is not None else ""
        message = f"{finding.file}{line}: {finding.field}: {finding.message}"
        super().__init__(message, remedy=finding.remedy)
        self.finding = finding


class TextPlaces:
    """Finds the file and the line of a field in the texts of several sections."""

    __slots__ = ("_files", "_indexes", "_texts")

    def __init__(self, *, texts: Mapping[str, str]) -> None:
        """Take the texts by file."""
        self._texts = texts
        self._files: dict[str, str] = {}
        self._indexes: dict[str, dict[str, int]] = {}

    def note(self, section: SectionText, *, file: str) -> None:
        """Remember which rows a file has."""
        for table in section.__struct_fields__:
            for name in getattr(section, table):
                self._files[f"{table}.{name}"] = file

    def find(self, field: str) -> tuple[str, int | None]:
        """Return the file and the line; the line is None if it isn't known."""
        row = field
        while row and row not in self._files:
            row = row.rpartition(".")[0]
        file = self._files[row] if row else next(iter(self._texts), "")
        if file and file not in self._indexes:
            self._indexes[file] = index_lines(self._texts[file])
        return file, find_line(self._indexes.get(file, {}), field)


class RecordPlaces:
    """Finds the line of a field in one record."""

    __slots__ = ("_file", "_lines")

    def __init__(self, *, file: str, lines: RecordLines) -> None:
        self._file = file
        self._lines = lines

    def find(self, field: str) -> tuple[str, int | None]:
        """Return the file and the line; the line is None if it isn't known."""
        return self._file, self._lines.find(field)


class CheckedTexts(msgspec.Struct, frozen=True, kw_only=True):
    """A view, and the places of what it shows."""

    view: View
    places: TextPlaces | RecordPlaces

    @property
    def is_record(self) -> bool:
        """Whether it is a record, not texts."""
        return isinstance(self.places, RecordPlaces)


def read_checked(
    files: Sequence[Path],
    settings: Path | None,
    *,
    in_force: Mapping[str, str] | None = None,
) -> CheckedTexts:
    """Read texts, with the other sections in force, or one record.

    Raises `InvalidTextError`, which names file, line and field.
    """
    if any(path.suffix == RECORD_SUFFIX for path in files):
        if len(files) > 1:
            raise UsageError(
                "a record stands alone", remedy="check each record by itself"
            )
        return _read_record(files[0], settings)
    texts = {path.stem: read_text(path) for path in files}
    names = {path.stem: str(path) for path in files}
    if len(names) < len(files):
        raise UsageError(
            "two files have one name", remedy="name each file as its section"
        )
    return read_sections({**(in_force or {}), **texts}, files=names)


def read_sections(
    texts: Mapping[str, str], *, files: Mapping[str, str] | None = None
) -> CheckedTexts:
    """Return the view of sections; raise `InvalidTextError` for an invalid one."""
    names = {name: (files or {}).get(name, f"section {name}") for name in texts}
    places = TextPlaces(texts={names[name]: text for name, text in texts.items()})
    sections = {name: _parse(text, file=names[name]) for name, text in texts.items()}
    for name, section in sections.items():
        places.note(section, file=names[name])
    try:
        merged = merge_sections(generation=0, sections=sections)
    except ConfigurationError as error:
        file, line = places.find(error.field)
        raise InvalidTextError(_describe(error, file=file, line=line)) from None
    return CheckedTexts(view=view_text(merged), places=places)


@functools.lru_cache(maxsize=MAX_PARSED_SECTIONS)
def _parse(text: str, *, file: str) -> SectionText:
    try:
        return parse_section(text)
    except ConfigurationError as error:
        line = find_syntax_line(error.message, text)
        field = error.field
        if line is None:
            if "[...]" in field or field == "text":
                field = find_invalid_field(text) or field
            line = find_line(index_lines(text), field)
        finding = msgspec.structs.replace(
            _describe(error, file=file, line=line), field=field
        )
        raise InvalidTextError(finding) from None


def _read_record(path: Path, settings: Path | None) -> CheckedTexts:
    text = read_text(path, limit=MAX_RECORD_BYTES)
    lines = RecordLines(text=text)
    try:
        configuration = decode_configuration(text.encode())
    except ConfigurationError as error:
        line = lines.find_error(error.message)
        raise InvalidTextError(_describe(error, file=str(path), line=line)) from None
    regions, memory_bytes = None, None
    if settings is not None:
        instance = read_settings(str(settings))
        regions = frozenset(instance.regions.values()) or None
        memory_bytes = instance.memory_mb * BYTES_PER_MB
    view = view_routing(configuration, regions=regions, memory_bytes=memory_bytes)
    return CheckedTexts(view=view, places=RecordPlaces(file=str(path), lines=lines))


def _describe(error: ConfigurationError, *, file: str, line: int | None) -> Finding:
    return Finding(
        level=Level.ERROR,
        rule="invalid",
        field=error.field,
        message=error.message.removeprefix(f"{error.field}: "),
        remedy=error.remedy,
        file=file,
        line=line,
    )
