"""Tests of the check on streamed events."""

from __future__ import annotations

import itertools

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from baobabthread.adapters.streamevents import EventReader
from baobabthread.ports.engine import Broken, Chunk, Crossed, End, StreamItem


def make_event(index: int, finish: str | None = None, request_id: str = "r") -> bytes:
    choice = {"delta": {"content": f'w{index} ,"\n'}, "finish_reason": finish}
    event = {"request_id": request_id, "index": index, "choices": [choice]}
    if finish:
        event |= {"signal": 0.5, "usage": {"completion_tokens": index}}
    return b"data: " + msgspec.json.encode(event) + b"\n\n"


def make_stream(count: int, finish: str = "stop") -> bytes:
    tokens = b"".join(make_event(index) for index in range(count))
    return tokens + make_event(count, finish) + b"data: [DONE]\n\n"


def feed(parts: list[bytes]) -> list[StreamItem]:
    reader = EventReader(request_id="r", following=0)
    items: list[StreamItem] = []
    for part in parts:
        if not reader.ended:
            items += reader.feed(part)
    return items


@given(st.integers(0, 6), st.lists(st.integers(0, 900), max_size=6), st.booleans())
def test_any_split_of_the_bytes_gives_the_same_stream(
    count: int, cuts: list[int], comment: bool
) -> None:
    whole = (b": hello\n\n" if comment else b"") + make_stream(count)
    edges = [0, *sorted(min(cut, len(whole)) for cut in cuts), len(whole)]
    parts = [whole[a:b] for a, b in itertools.pairwise(edges)]
    *chunks, end = feed(parts)
    assert isinstance(end, End)
    assert (end.signal, end.usage.completion_tokens) == (0.5, count)
    following, raw = 0, b""
    for chunk in chunks:
        assert isinstance(chunk, Chunk)
        assert chunk.index == following
        following += chunk.count
        raw += chunk.raw
    assert following == count
    assert raw + end.raw == make_stream(count)


def test_irregular_streams_end_typed_behind_their_good_tokens() -> None:
    good = make_event(0) + make_event(1)
    cases = {
        make_event(3): Broken,
        make_event(1): Broken,
        make_event(2, request_id="q"): Crossed,
        b"data: {broken\n\n": Broken,
        b"data: [DONE]\n\n": Broken,
        make_event(2, "cancelled") + b"data: [DONE]\n\n": Broken,
        make_event(2, "stop") + make_event(2) + b"data: [DONE]\n\n": Broken,
    }
    for tail, kind in cases.items():
        for parts in ([good + tail], [good, tail]):
            items = feed(parts)
            assert type(items[-1]) is kind, tail[:80]
            assert not any(isinstance(item, End) for item in items)
            got = [item for item in items if isinstance(item, Chunk)]
            assert b"".join(chunk.raw for chunk in got) == good


def test_event_that_never_ends_is_broken_before_it_fills_memory() -> None:
    items = feed([make_event(0), b"data: " + b"x" * 600_000, b"x" * 600_000])
    assert [type(item) for item in items] == [Chunk, Broken]
