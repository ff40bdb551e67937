"""The events of one streamed answer, checked as their bytes come in."""

from __future__ import annotations

import msgspec

from baobabthread.ports.engine import Broken, Chunk, Crossed, End, StreamItem, Usage

MAX_EVENT_BYTES = 1_000_000
FINISHED = ("stop", "length", "tool_calls", "content_filter")
"""Reasons that end a whole answer; any other one, such as a cancel, cuts it."""

EVENT_END = b"\n\n"
DATA = b"data: "
END_MARK = b"data: [DONE]"
LAST_MARK = EVENT_END + END_MARK
NEXT_DATA = EVENT_END + DATA
NO_USAGE = Usage()


class Choice(msgspec.Struct, gc=False):
    """Hold the part of a choice that tells whether the answer ended."""

    finish_reason: str | None = None


class Event(msgspec.Struct, gc=False):
    """Hold the parts of an event that are checked."""

    request_id: str
    index: int
    choices: list[Choice]
    usage: Usage | None = None
    signal: float | None = None

    @property
    def finish_reason(self) -> str | None:
        """Return why the answer ended, none while it goes on."""
        return self.choices[0].finish_reason if self.choices else None


_decode_event = msgspec.json.Decoder(Event).decode
_decode_events = msgspec.json.Decoder(list[Event]).decode


class EventReader:
    """Check ids and indexes of a stream's events, and see that its end arrives."""

    __slots__ = ("_buffer", "_last", "ended", "following", "request_id", "started")

    def __init__(self, *, request_id: str, following: int) -> None:
        self.request_id = request_id
        self.following = following
        """The index that the next token must have."""
        self.started = False
        self.ended = False
        self._buffer = b""
        self._last: tuple[Event, bytes] | None = None

    def feed(self, data: bytes) -> list[StreamItem]:
        """Return what the bytes complete; tokens read together stay together."""
        self.started = True
        if self._buffer:
            data = self._buffer + data
        cut = data.rfind(EVENT_END)
        self._buffer = data if cut < 0 else data[cut + len(EVENT_END) :]
        if len(self._buffer) > MAX_EVENT_BYTES:
            # Without this bound an event that never ends would fill the memory.
            return [self._end(_break("event too large"))]
        if cut < 0:
            return []
        whole = data[:cut]
        items = self._take_regular(whole)
        return self._take_each(whole) if items is None else items

    def _take_regular(self, whole: bytes) -> list[StreamItem] | None:
        """Take the usual case with one decode; return none if it is another one.

        Token events follow each other, and a last event with the end mark may close
        them. Decoding them one by one costs the larger part of relaying a stream.
        """
        done = whole.endswith(LAST_MARK)
        part = whole[: -len(LAST_MARK)] if done else whole
        if self._last is not None or not part.startswith(DATA):
            return None
        try:
            rows = part[len(DATA) :].replace(NEXT_DATA, b",")
            events = _decode_events(b"[" + rows + b"]")
        except msgspec.MsgspecError:
            return None
        count = self._count_tokens(events)
        if count is None or (count == len(events)) is done:
            return None
        first = self.following
        self.following += count
        if not done:
            return [Chunk(index=first, count=count, raw=whole + EVENT_END)]
        cut = part.rfind(EVENT_END) + len(EVENT_END) if count else 0
        self._last = (events[-1], part[cut:])
        items: list[StreamItem] = []
        if count:
            items.append(Chunk(index=first, count=count, raw=part[:cut]))
        items.append(self._end(self._finish()))
        return items

    def _count_tokens(self, events: list[Event]) -> int | None:
        """Return how many events are tokens; none if one is out of order."""
        request_id, following = self.request_id, self.following
        last = len(events) - 1
        for place, event in enumerate(events):
            if event.request_id != request_id or event.index != following + place:
                return None
            if event.choices and event.choices[0].finish_reason is not None:
                return place if place == last else None
        return len(events)

    def _take_each(self, whole: bytes) -> list[StreamItem]:
        """Take events one by one, up to what ends the stream."""
        first = self.following
        tokens: list[bytes] = []
        end: StreamItem | None = None
        for event in whole.split(EVENT_END):
            end = self._take(event, tokens)
            if end is not None:
                break
        items: list[StreamItem] = []
        if tokens:
            raw = EVENT_END.join(tokens) + EVENT_END
            items.append(Chunk(index=first, count=len(tokens), raw=raw))
        if end is not None:
            items.append(self._end(end))
        return items

    def _take(self, raw: bytes, tokens: list[bytes]) -> StreamItem | None:
        """Add a token's event to the list, or return what ends the stream."""
        if raw == END_MARK:
            return self._finish()
        if not raw.startswith(DATA):
            # Comments and other fields of an event stream carry no tokens.
            return None
        try:
            event = _decode_event(raw[len(DATA) :])
        except msgspec.MsgspecError:
            return _break("not an event")
        if event.request_id != self.request_id:
            return Crossed(expected=self.request_id, found=event.request_id)
        if event.index != self.following or self._last is not None:
            return _break("a token is missing or repeated")
        if event.finish_reason is not None:
            self._last = (event, raw)
            return None
        tokens.append(raw)
        self.following += 1
        return None

    def _finish(self) -> StreamItem:
        if self._last is None:
            return _break("incomplete")
        event, raw = self._last
        if event.finish_reason not in FINISHED:
            return _break(f"finished by {event.finish_reason}")
        return End(
            signal=event.signal or 0.0,
            usage=event.usage or NO_USAGE,
            raw=raw + LAST_MARK + EVENT_END,
        )

    def _end(self, item: StreamItem) -> StreamItem:
        self.ended = True
        return item


def _break(reason: str) -> Broken:
    return Broken(reason=reason, sent=True, first_byte=True)
