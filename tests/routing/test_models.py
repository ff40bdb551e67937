"""Tests of the choice of models and of the pace that they are expected to have."""

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
    ("index", "confidence", "follows"),
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
def test_ask_a_larger_model_by_confidence(
    index: int, confidence: float | None, follows: int | None
) -> None:
    assert escalate(index, confidence) == follows


def test_have_nothing_beyond_the_last_model() -> None:
    assert escalate(0, 0.0, count=1) is None
    assert escalate(0, 0.55, count=2) == 1
    assert MODEL_CHOICES.get("largest").choose_first(3) == 2


def test_name_the_choices_there_are() -> None:
    with pytest.raises(UsageError, match="no model choice 'cheapest'") as caught:
        MODEL_CHOICES.get("cheapest")
    assert "largest, staged" in caught.value.remedy


def test_learn_how_long_answers_take() -> None:
    pace = LatencyModel()
    for _ in range(100):
        pace.observe(
            "s",
            "m",
            prompt_tokens=8000,
            shared_tokens=6000,
            first_s=1.0,
            rest_s=2.0,
            tokens=100,
        )
    assert pace.first_s("s", "m", 8000) == pytest.approx(1.0, rel=0.1)
    assert pace.first_s("s", "m", 0) < 0.3
    assert pace.total_s("s", "m", prompt_tokens=8000, tokens=100) == pytest.approx(
        3, rel=0.1
    )


def test_bear_a_few_stuck_answers() -> None:
    pace = LatencyModel()
    for number in range(200):
        first_s = 30.0 if number % 20 == 0 else 0.1
        pace.observe(
            "s",
            None,
            prompt_tokens=0,
            shared_tokens=0,
            first_s=first_s,
            rest_s=0.0,
            tokens=1,
        )
    assert pace.first_s("s", None, 0) < 0.3


@pytest.mark.parametrize(
    ("confidence", "spare", "chosen"),
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
def test_accept_more_where_a_larger_answer_comes_late(
    confidence: float, spare: float, chosen: int | None
) -> None:
    """Engines are behind: a quarter of them was taken away at the peak.

    Each doubtful answer that is asked of a large model takes ten times the work of a
    small one and comes too late; all others wait for it and are late as well.
    """
    question = PendingResponse(count=3, index=0, confidence=confidence, spare=spare)
    assert MODEL_CHOICES.get("staged").escalate(question) == chosen


@pytest.mark.parametrize(
    ("confidence", "price", "chosen"),
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
def test_ask_larger_models_for_less_while_prompts_wait(
    confidence: float, price: float, chosen: int | None
) -> None:
    """Prompts wait at every engine: a burst, or engines that were taken away.

    The larger model is asked where its answer helps most, and the others get what is
    at hand, so that the wait stays where answers are in time.
    """
    question = PendingResponse(
        count=3, index=0, confidence=confidence, costs=(price / 10, price / 4, price)
    )
    assert MODEL_CHOICES.get("staged").escalate(question) == chosen


@settings(max_examples=200)
@given(st.floats(0, 1), st.floats(-1, 1), st.floats(0, 2), st.floats(0, 1))
def test_never_ask_for_more_at_a_higher_price(
    confidence: float, spare: float, price: float, more: float
) -> None:
    def ask_at(level: float) -> int:
        question = PendingResponse(
            count=3,
            index=0,
            confidence=confidence,
            spare=spare,
            costs=(level / 10, level / 4, level),
        )
        return MODEL_CHOICES.get("staged").escalate(question) or 0

    assert ask_at(price + more) <= ask_at(price)
