"""Cutting a stream's bytes into whole events."""

from __future__ import annotations

import re

import msgspec

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID_FIELD = re.compile(rb"(?:^|\n)id:[ \t]*([^\r\n]*)")


class CompleteEvents(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the bytes of whole events and the id of the last one."""

    data: bytes
    last_id: str | None


class EventSplitter:
    """Hold back what is not yet a whole event, and drop what was passed on before.

    A backend server may stop within an event; the next one begins with a whole one. A
    part that had been passed on would join two pieces to one that nobody made.
    """

    __slots__ = ("_buffer", "_last_forwarded")

    def __init__(self, *, last_forwarded_id: str | None = None) -> None:
        self._last_forwarded = _parse_id(last_forwarded_id)
        self._buffer = b""

    @property
    def is_drained(self) -> bool:
        """Tell whether nothing is held back."""
        return not self._buffer.strip()

    def feed(self, data: bytes) -> CompleteEvents:
        """Return the whole events that are complete now."""
        self._buffer += data
        out: list[bytes] = []
        last_id = None
        start = 0
        for found in _EVENT_END.finditer(self._buffer):
            event = self._buffer[start : found.end()]
            start = found.end()
            id = _find_id(event)
            if self._was_forwarded(id):
                continue
            out.append(event)
            last_id = id if id is not None else last_id
        self._buffer = self._buffer[start:]
        return CompleteEvents(data=b"".join(out), last_id=last_id)

    def _was_forwarded(self, id: str | None) -> bool:
        number = _parse_id(id)
        if number is None or self._last_forwarded is None:
            return False
        return number <= self._last_forwarded


def _find_id(event: bytes) -> str | None:
    found = _ID_FIELD.search(event)
    return found.group(1).decode(errors="replace").strip() if found else None


def _parse_id(id: str | None) -> int | None:
    return int(id) if id is not None and id.isdigit() else None
