"""Lines of a configuration record in which its rows stand."""

from __future__ import annotations

import contextlib
import json
import re

_TABLES = {"routes": "routes", "services": "services", "tenants": "accounts"}
_SPACE = re.compile(r"[\s,:]*")
_BYTE = re.compile(r"\(byte (\d+)\)")
_TRUNCATED = "Input data was truncated"
_PATH = re.compile(r"`\$\.(\w+(?:\[\d+\])?)")


class RecordLines:
    """Finds the lines of a record's rows, counted from 1."""

    __slots__ = ("_lines", "_text")

    def __init__(self, *, text: str) -> None:
        self._text = text
        self._lines: dict[str, int] | None = None

    def find(self, field: str) -> int | None:
        """Return the line of a field such as `accounts[3]`."""
        if self._lines is None:
            self._lines = {}
            # What stands before a fault in the syntax keeps its lines.
            with contextlib.suppress(ValueError, IndexError, RecursionError):
                _index(self._text, self._lines)
        return self._lines.get(field)

    def find_error(self, message: str) -> int | None:
        """Return the line that a decoder's message names by byte or path."""
        byte = _BYTE.search(message)
        if byte:
            return self._text.encode()[: int(byte[1])].count(b"\n") + 1
        if _TRUNCATED in message:
            return self._text.rstrip().count("\n") + 1
        path = _PATH.search(message)
        if path is None:
            return None
        table, bracket, rest = path[1].partition("[")
        return self.find(_TABLES.get(table, table) + bracket + rest)


def _index(text: str, lines: dict[str, int]) -> None:
    """Walk the record once; whole rows are passed over by the standard decoder."""
    decoder = json.JSONDecoder()
    line, counted = 1, 0

    def note(field: str, position: int) -> None:
        nonlocal line, counted
        line += text.count("\n", counted, position)
        counted = position
        lines[field] = line

    position = _skip(text, 0) + 1
    while text[position := _skip(text, position)] != "}":
        start = position
        key, position = decoder.raw_decode(text, position)
        if not isinstance(key, str):
            return
        table = _TABLES.get(key, key)
        note(table, start)
        position = _skip(text, position)
        if text[position] != "[":
            _, position = decoder.raw_decode(text, position)
            continue
        position += 1
        index = 0
        while text[position := _skip(text, position)] != "]":
            note(f"{table}[{index}]", position)
            _, position = decoder.raw_decode(text, position)
            index += 1
        position += 1


def _skip(text: str, position: int) -> int:
    found = _SPACE.match(text, position)
    return found.end() if found else position
