"""Tests of the predicted last event of streams."""

from __future__ import annotations

import math

import pytest

from baobabthread.routing.streamlengths import MIN_STREAMS, StreamLengths

TOKENS = [280, 80, 411, 7, 1000]


def teach(lengths: StreamLengths, *, per_event: float, tokens: list[int]) -> None:
    """Record whole streams of a route with so many tokens in each event."""
    for asked in tokens:
        lengths.observe("r", asked, str(math.ceil(asked / per_event)))


@pytest.mark.parametrize("per_event", [1, 4, 5, 7])
def test_predict_the_last_event_from_the_tokens_of_each(per_event: int) -> None:
    lengths = StreamLengths()
    teach(lengths, per_event=per_event, tokens=TOKENS)
    last = math.ceil(280 / per_event)
    assert lengths.is_last("r", 280, str(last))
    assert not lengths.is_last("r", 280, str(last - 1))
    assert not lengths.is_last("r", 280, "1")


def test_predict_nothing_from_few_streams() -> None:
    lengths = StreamLengths()
    teach(lengths, per_event=4, tokens=[80] * (MIN_STREAMS - 1))
    assert not lengths.is_last("r", 80, "20")


def test_predict_nothing_where_lengths_vary() -> None:
    lengths = StreamLengths()
    for last in (12, 20, 7, 19, 3, 11):
        lengths.observe("r", 80, str(last))
        assert not lengths.is_last("r", 80, str(last))


def test_predict_nothing_for_other_routes_or_events_without_a_number() -> None:
    lengths = StreamLengths()
    teach(lengths, per_event=4, tokens=TOKENS)
    lengths.observe("r", 80, None)
    assert not lengths.is_last("other", 80, "20")
    for event in (None, "", "x", "-1", "0"):
        assert not lengths.is_last("r", 80, event)


def test_predict_only_what_follows_from_the_streams_seen() -> None:
    """Few short streams leave several numbers of tokens in each event possible."""
    lengths = StreamLengths()
    teach(lengths, per_event=4, tokens=[7, 7, 7])
    assert lengths.is_last("r", 7, "2")
    assert not lengths.is_last("r", 280, "70")
