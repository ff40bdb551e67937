"""Tests of splitting a stream into complete events."""

from __future__ import annotations

import pytest

from baobabthread.instance.events import EventSplitter

STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 6))


@pytest.mark.parametrize("size", [1, 2, 3, 7, 20, 1000])
def test_forward_complete_events_only(size: int) -> None:
    splitter = EventSplitter()
    forwarded = b""
    for start in range(0, len(STREAM), size):
        events = splitter.feed(STREAM[start : start + size]).data
        assert events == b"" or events.endswith(b"\n\n")
        forwarded += events
    assert forwarded == STREAM
    assert splitter.is_drained


def test_buffer_an_incomplete_event() -> None:
    splitter = EventSplitter()
    events = splitter.feed(STREAM[:30])
    assert (events.data, events.last_id) == (STREAM[:21], "1")
    assert not splitter.is_drained


def test_drop_events_that_the_caller_already_has() -> None:
    """Another engine restarts the stream instead of resuming after the last event."""
    splitter = EventSplitter(last_forwarded_id="3")
    events = splitter.feed(STREAM)
    assert events.data.startswith(b"id: 4\n")
    assert events.last_id == "5"


def test_accept_both_line_endings() -> None:
    splitter = EventSplitter()
    events = splitter.feed(b"x-weight-versions: 2\r\nid: 7\r\ndata: a\r\n\r\n")
    assert events.last_id == "7"
