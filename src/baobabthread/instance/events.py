"""Splitting of a byte stream into complete server-sent events."""

from __future__ import annotations

import re

import msgspec

MAX_EVENT_BYTES = 1_000_000
"""Size limit of an incomplete event, which is buffered."""
_MAX_END_BYTES = 4
_EVENT_END = re.compile(rb"\r?\n\r?\n")
_NUMBER = re.compile(r"\d{1,18}", re.ASCII)
_ID_FIELD = re.compile(rb"(?:^|\n)id:[ \t]*([^\r\n]*)")


class EventTooLargeError(Exception):
    """Raised if an event exceeds its size limit; it may never end."""


class CompleteEvents(msgspec.Struct, frozen=True, kw_only=True):
    """The bytes of complete events and the id of the last one."""

    data: bytes
    last_id: str | None


class EventSplitter:
    """Buffer incomplete events, and drop events that were forwarded before.

    A backend server may stop within an event, and the next server starts with a
    complete one. If the incomplete part had been forwarded, the caller would join two
    pieces into an event that no server sent.
    """

    __slots__ = ("_buffer", "_last_forwarded")

    def __init__(self, *, last_forwarded_id: str | None = None) -> None:
        self._last_forwarded = _parse_id(last_forwarded_id)
        self._buffer = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """Size of the incomplete event."""
        return len(self._buffer)

    @property
    def is_drained(self) -> bool:
        """Whether the buffer holds no incomplete event."""
        return not self._buffer.strip()

    def feed(self, data: bytes) -> CompleteEvents:
        """Buffer data, and return the events that are complete now.

        Raises `EventTooLargeError` if the incomplete one exceeds its size limit.
        """
        # The end of an event may lie in two pieces, but not further back.
        searched = max(0, len(self._buffer) - _MAX_END_BYTES + 1)
        self._buffer += data
        events: list[bytes] = []
        last_id = None
        start = 0
        for match in _EVENT_END.finditer(self._buffer, searched):
            event = bytes(self._buffer[start : match.end()])
            start = match.end()
            id = _find_id(event)
            if self._was_forwarded(id):
                continue
            events.append(event)
            last_id = id if id is not None else last_id
        del self._buffer[:start]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f"event larger than {MAX_EVENT_BYTES} bytes")
        return CompleteEvents(data=b"".join(events), last_id=last_id)

    def _was_forwarded(self, id: str | None) -> bool:
        number = _parse_id(id)
        if number is None or self._last_forwarded is None:
            return False
        return number <= self._last_forwarded


def _find_id(event: bytes) -> str | None:
    match = _ID_FIELD.search(event)
    return match.group(1).decode(errors="replace").strip() if match else None


def _parse_id(id: str | None) -> int | None:
    """Return the number of an event; None if it has none that can be counted."""
    return int(id) if id is not None and _NUMBER.fullmatch(id) else None
