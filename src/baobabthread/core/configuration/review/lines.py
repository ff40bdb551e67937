"""Lines of a TOML text in which its fields stand."""

from __future__ import annotations

import re
import tomllib
import typing

import msgspec

from baobabthread.core.configuration.types import SectionText

_PART = re.compile(
    r"^[ \t]*(?:\[\[?(?P<table>[^\]\n]+)\]|(?P<key>[\w.\"'-]+)[ \t]*=)", re.MULTILINE
)
_SYNTAX = re.compile(r"\(at line (\d+), column \d+\)")
_END = "(at end of document)"
_QUOTES = str.maketrans("", "", "\"' \t")


def index_lines(text: str) -> dict[str, int]:
    """Return the line of each field by its path, counted from 1."""
    lines: dict[str, int] = {}
    table = ""
    line, end = 1, 0
    for match in _PART.finditer(text):
        start = match.start()
        line += text.count("\n", end, start)
        end = start
        if match["table"] is not None:
            table = match["table"].translate(_QUOTES)
            lines.setdefault(table, line)
            lines.setdefault(table.partition(".")[0], line)
        else:
            key = match["key"].translate(_QUOTES)
            lines.setdefault(f"{table}.{key}" if table else key, line)
    return lines


def find_line(lines: dict[str, int], field: str) -> int | None:
    """Return the line of a field or of what it stands in."""
    path = field
    while path:
        if path in lines:
            return lines[path]
        path = path.rpartition(".")[0]
    return None


def find_syntax_line(message: str, text: str) -> int | None:
    """Return the line that a parser's message names."""
    if _END in message:
        return text.rstrip().count("\n") + 1
    found = _SYNTAX.search(message)
    return int(found[1]) if found else None


def find_invalid_field(text: str) -> str | None:
    """Return the path of the first field of a wrong type, with its row's name."""
    try:
        tables = tomllib.loads(text)
    except (ValueError, RecursionError):
        return None
    for field in msgspec.structs.fields(SectionText):
        row_type = typing.get_args(field.type)[1]
        rows = tables.get(field.name, {})
        for name, row in rows.items() if isinstance(rows, dict) else ():
            try:
                msgspec.convert(row, row_type, strict=True)
            except msgspec.ValidationError as error:
                path = str(error).partition(" - at `$")[2].rstrip("`")
                return f"{field.name}.{name}{path}"
    return next((name for name in tables if not hasattr(SectionText, name)), None)
