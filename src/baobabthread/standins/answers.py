"""What a model answers: a function of the version, the prompt and the seed."""

from __future__ import annotations

import math
import re
import statistics

import msgspec
import xxhash

FLAWED_WORD = "flawed"
"""The word by which the rating service knows an answer that isn't good enough."""

DEFAULT_STRENGTH = 0.9
SIGNAL_SLOPE = 5.0
SIGNAL_NOISE = 0.9
BAD_MARGIN = 0.5
MIN_TOKENS = 8
SPREAD_TOKENS = 25

GIVEN_DIFFICULTY = re.compile(r"difficulty=(0(?:\.\d+)?|1(?:\.0+)?)")
NORMAL = statistics.NormalDist()
WORDS = (
    *("river", "boat", "metro", "hall", "screen", "notice", "morning", "rain"),
    *("field", "school", "north", "wind", "tide", "report", "slot", "month"),
    *("road", "board", "mall", "shore", "warning", "draft", "gate", "window"),
)


class Text(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """Hold the whole answer to one prompt."""

    tokens: list[str]
    good: bool
    signal: float


def draw_fraction(*parts: object) -> float:
    """Return a number in (0, 1) that is a hash of the parts."""
    text = "\x00".join(str(part) for part in parts)
    return (xxhash.xxh3_64_intdigest(text.encode()) + 0.5) / 2**64


def measure_difficulty(prompt: str) -> float:
    """Return the difficulty that the prompt names, else a hash of it."""
    given = GIVEN_DIFFICULTY.search(prompt)
    if given:
        return float(given.group(1))
    return draw_fraction("difficulty", prompt)


def write_answer(
    *,
    version: str,
    prompt: str,
    strength: float,
    max_tokens: int,
    bad_probability: float = 0.0,
    seed: int = 0,
) -> Text:
    """Return the answer that any engine of the version gives to the prompt."""
    difficulty = measure_difficulty(prompt)
    turned_bad = draw_fraction(seed, "bad", version, prompt) < bad_probability
    good = difficulty < strength and not turned_bad
    margin = BAD_MARGIN if turned_bad else strength - difficulty
    noise = NORMAL.inv_cdf(draw_fraction(seed, "signal", version, prompt))
    signal = 1 / (1 + math.exp(-SIGNAL_SLOPE * margin - SIGNAL_NOISE * noise))
    length = MIN_TOKENS + int(SPREAD_TOKENS * draw_fraction(version, prompt))
    length = max(1, min(max_tokens, length))
    start = xxhash.xxh3_64_intdigest(f"{version}\x00{prompt}".encode())
    # The marker comes first so that an answer of one token can be rated too.
    first = "" if good else FLAWED_WORD
    words = [WORDS[(start + 7 * k) % len(WORDS)] for k in range(length)]
    if first:
        words[0] = first
    return Text(
        tokens=[f"{word} " for word in words], good=good, signal=round(signal, 6)
    )


def spread_strengths(cascade: list[str]) -> dict[str, float]:
    """Return a strength for each version that grows with its position."""
    if len(cascade) == 1:
        return {cascade[0]: DEFAULT_STRENGTH}
    step = 0.38 / max(1, len(cascade) - 1)
    return {name: 0.6 + step * place for place, name in enumerate(cascade)}
