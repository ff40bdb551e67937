"""Evidence of outages of the store."""

from __future__ import annotations

import pytest

from baobabthread.routing.storeoutages import FailedCall, StoreOutages


def record(outages: StoreOutages, at: float, topic: str = "a") -> None:
    """Record a call that was not answered."""
    call = FailedCall(topic=topic, requested_at=at, is_refused=False)
    outages.record_failure(call)


def test_one_refusal_is_an_outage() -> None:
    outages = StoreOutages()
    outages.record_failure(FailedCall(topic="a", requested_at=5.0, is_refused=True))
    assert outages.has_outage_between(4.0, 6.0)
    assert not outages.has_outage_between(6.0, 8.0)


@pytest.mark.parametrize(
    ("calls", "is_outage"),
    [
        ([], False),
        ([("a", 5.0)], False),
        ([("a", 5.0), ("b", 5.1)], False),
        ([("a", 3.0), ("a", 5.0)], False),
        ([("a", 5.0), ("a", 5.9)], True),
    ],
)
def test_a_single_lost_response_is_no_outage(
    calls: list[tuple[str, float]], is_outage: bool
) -> None:
    """One response of each topic was lost on the way, and the store was sound."""
    outages = StoreOutages()
    for topic, at in calls:
        record(outages, at, topic)
    assert outages.has_outage_between(4.0, 6.0) is is_outage


def test_recognize_an_outage_of_many_calls() -> None:
    outages = StoreOutages()
    for number in range(500):
        record(outages, 5.0 + number)
    assert outages.has_outage_between(4.0, 6.0)
