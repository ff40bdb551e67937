"""Tests of cutting a stream into whole events."""

from __future__ import annotations

import pytest

from baobabthread.instance.events import EventSplitter

STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 6))


@pytest.mark.parametrize("size", [1, 2, 3, 7, 20, 1000])
def test_pass_on_whole_events_only(size: int) -> None:
    cutter = EventSplitter()
    passed = b""
    for start in range(0, len(STREAM), size):
        found = cutter.feed(STREAM[start : start + size]).data
        assert found == b"" or found.endswith(b"\n\n")
        passed += found
    assert passed == STREAM
    assert cutter.is_drained


def test_hold_back_the_beginning_of_an_event() -> None:
    cutter = EventSplitter()
    found = cutter.feed(STREAM[:30])
    assert (found.data, found.last_id) == (STREAM[:21], "1")
    assert not cutter.is_drained


def test_drop_what_the_caller_already_has() -> None:
    """Another engine begins the stream anew instead of behind the last event."""
    cutter = EventSplitter(last_forwarded_id="3")
    found = cutter.feed(STREAM)
    assert found.data.startswith(b"id: 4\n")
    assert found.last_id == "5"


def test_take_lines_that_end_in_either_way() -> None:
    cutter = EventSplitter()
    found = cutter.feed(b"x-weight-versions: 2\r\nid: 7\r\ndata: a\r\n\r\n")
    assert found.last_id == "7"
