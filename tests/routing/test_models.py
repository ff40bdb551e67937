"""Tests of the choice of models and of the latency model."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabthread.errors import UsageError
from baobabthread.routing.latencies import LatencyModel
from baobabthread.routing.models import MODEL_CHOICES, PendingResponse


def escalate(index: int, confidence: float | None, count: int = 3) -> int | None:
    staged = MODEL_CHOICES.get("staged")
    return staged.escalate(
        PendingResponse(count=count, index=index, confidence=confidence)
    )


@pytest.mark.parametrize(
    ("index", "confidence", "expected"),
    [
        (0, 0.9, None),
        (0, 0.55, 1),
        (0, 0.1, 2),
        (0, None, None),
        (1, 0.9, None),
        (1, 0.3, 2),
        (2, 0.0, None),
    ],
)
def test_escalate_by_confidence(
    index: int, confidence: float | None, expected: int | None
) -> None:
    assert escalate(index, confidence) == expected


def test_no_escalation_beyond_the_last_model() -> None:
    assert escalate(0, 0.0, count=1) is None
    assert escalate(0, 0.55, count=2) == 1
    assert MODEL_CHOICES.get("largest").choose_first(3) == 2


def test_unknown_choice_lists_the_known_ones() -> None:
    with pytest.raises(UsageError, match="no model choice 'cheapest'") as caught:
        MODEL_CHOICES.get("cheapest")
    assert "largest, staged" in caught.value.remedy


def test_latency_model_follows_responses() -> None:
    latencies = LatencyModel()
    for _ in range(100):
        latencies.observe(
            "s",
            "m",
            prompt_tokens=8000,
            shared_tokens=6000,
            first_s=1.0,
            rest_s=2.0,
            tokens=100,
        )
    assert latencies.first_s("s", "m", 8000) == pytest.approx(1.0, rel=0.1)
    assert latencies.first_s("s", "m", 0) < 0.3
    assert latencies.total_s("s", "m", prompt_tokens=8000, tokens=100) == pytest.approx(
        3, rel=0.1
    )


def test_few_stuck_responses_barely_change_the_latency_model() -> None:
    latencies = LatencyModel()
    for number in range(200):
        first_s = 30.0 if number % 20 == 0 else 0.1
        latencies.observe(
            "s",
            None,
            prompt_tokens=0,
            shared_tokens=0,
            first_s=first_s,
            rest_s=0.0,
            tokens=1,
        )
    assert latencies.first_s("s", None, 0) < 0.3


@pytest.mark.parametrize(
    ("confidence", "spare", "expected"),
    [
        (0.5, 1.0, 1),
        (0.5, 0.3, 1),
        (0.5, 0.0, None),
        (0.5, -3.0, None),
        (0.3, 1.0, 2),
        (0.2, 0.0, None),
        (0.38, 0.0, None),
        (0.38, 0.3, 2),
        (0.1, -3.0, 2),
    ],
)
def test_accept_lower_confidence_if_a_larger_model_would_be_late(
    confidence: float, spare: float, expected: int | None
) -> None:
    """Engines are overloaded after a quarter of them was removed at the peak.

    Each doubtful response that is escalated costs ten times the work of a small model
    and comes too late, and the requests that wait for it are late as well.
    """
    response = PendingResponse(count=3, index=0, confidence=confidence, spare=spare)
    assert MODEL_CHOICES.get("staged").escalate(response) == expected


@pytest.mark.parametrize(
    ("confidence", "cost", "expected"),
    [
        (0.3, 0.0, 2),
        (0.3, 0.05, 2),
        (0.3, 0.2, None),
        (0.05, 0.3, 2),
        (0.05, 0.4, None),
        (0.38, 0.2, 1),
        (0.5, 0.2, 1),
        (0.5, 0.5, None),
    ],
)
def test_escalate_less_while_prompts_wait(
    confidence: float, cost: float, expected: int | None
) -> None:
    """Prompts wait at every engine, after a burst or the removal of engines.

    Only the responses that gain most are escalated, so that the wait stays short enough
    for responses to be in time.
    """
    response = PendingResponse(
        count=3, index=0, confidence=confidence, costs=(cost / 10, cost / 4, cost)
    )
    assert MODEL_CHOICES.get("staged").escalate(response) == expected


@settings(max_examples=200)
@given(st.floats(0, 1), st.floats(-1, 1), st.floats(0, 2), st.floats(0, 1))
def test_higher_cost_never_escalates_more(
    confidence: float, spare: float, cost: float, more: float
) -> None:
    def escalate_at(level: float) -> int:
        response = PendingResponse(
            count=3,
            index=0,
            confidence=confidence,
            spare=spare,
            costs=(level / 10, level / 4, level),
        )
        return MODEL_CHOICES.get("staged").escalate(response) or 0

    assert escalate_at(cost + more) <= escalate_at(cost)
