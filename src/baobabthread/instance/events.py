"""Cutting a stream's bytes into whole events."""

from __future__ import annotations

import re

import msgspec

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"(?:^|\n)id:[ \t]*([^\r\n]*)")


class WholeEvents(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the bytes of whole events and the id of the last one."""

    data: bytes
    last_id: str | None


class EventCutter:
    """Hold back what is not yet a whole event, and drop what was passed on before.

    A backend server may stop within an event; the next one begins with a whole one. A
    part that had been passed on would join two pieces to one that nobody made.
    """

    __slots__ = ("_passed", "_rest")

    def __init__(self, *, passed: str | None = None) -> None:
        self._passed = _number(passed)
        self._rest = b""

    @property
    def is_clean(self) -> bool:
        """Tell whether nothing is held back."""
        return not self._rest.strip()

    def feed(self, data: bytes) -> WholeEvents:
        """Return the whole events that are complete now."""
        self._rest += data
        out: list[bytes] = []
        last_id = None
        start = 0
        for found in _END.finditer(self._rest):
            event = self._rest[start : found.end()]
            start = found.end()
            id = _find_id(event)
            if self._was_passed(id):
                continue
            out.append(event)
            last_id = id if id is not None else last_id
        self._rest = self._rest[start:]
        return WholeEvents(data=b"".join(out), last_id=last_id)

    def _was_passed(self, id: str | None) -> bool:
        number = _number(id)
        if number is None or self._passed is None:
            return False
        return number <= self._passed


def _find_id(event: bytes) -> str | None:
    found = _ID.search(event)
    return found.group(1).decode(errors="replace").strip() if found else None


def _number(id: str | None) -> int | None:
    return int(id) if id is not None and id.isdigit() else None
