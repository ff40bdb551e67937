"""How long answers usually take, by service and model."""

from __future__ import annotations

import msgspec

STEP = 0.05
"""Part by which the usual time follows each answer."""
BASE_TOKENS = 2000
"""Tokens that the start of any answer takes as long as, beside those of its prompt."""
PROMPT_TOKEN_S = 0.00005
"""Time for each of them that is assumed before any answer."""
UNHINDERED_PART = 0.25
"""Part of the answers that nothing hinders: their time is taken for the work itself."""
QUANTILE_STEP = 0.1
"""Step by which the time of unhindered answers follows each answer."""
TOKEN_S = 0.005
"""Time for each token that is assumed before any answer."""
CLIP = 4.0
"""Times the usual that one answer counts for at most."""


class _Usual(msgspec.Struct):
    prompt_token_s: float = PROMPT_TOKEN_S
    unhindered_s: float = PROMPT_TOKEN_S
    token_s: float = TOKEN_S
    seen: int = 0


_UNKNOWN = _Usual()


class Pace:
    """Follow the time to the first part of an answer and for each token after it."""

    __slots__ = ("_usual",)

    def __init__(self) -> None:
        self._usual: dict[tuple[str, str | None], _Usual] = {}

    def observe(
        self,
        service: str,
        model: str | None,
        *,
        prompt: int,
        shared: int,
        first_s: float,
        rest_s: float,
        tokens: int,
    ) -> None:
        """Take in an answer that came whole."""
        usual = self._usual.setdefault((service, model), _Usual())
        usual.seen += 1
        step = max(STEP, 1.0 / usual.seen)
        sample = first_s / (BASE_TOKENS + prompt)
        # Most shared parts are kept, so that only the rest of a prompt is read.
        fresh = first_s / (BASE_TOKENS + max(0, prompt - shared))
        if fresh > usual.unhindered_s:
            usual.unhindered_s *= 1.0 + QUANTILE_STEP * UNHINDERED_PART
        else:
            usual.unhindered_s *= 1.0 - QUANTILE_STEP * (1.0 - UNHINDERED_PART)
        if usual.seen > 1 / STEP:
            sample = min(sample, CLIP * usual.prompt_token_s)
        usual.prompt_token_s += step * (sample - usual.prompt_token_s)
        usual.token_s += step * (rest_s / max(1, tokens) - usual.token_s)

    def first_s(self, service: str, model: str | None, prompt: int) -> float:
        """Return the usual seconds to the first part of an answer to a prompt."""
        usual = self._usual.get((service, model), _UNKNOWN)
        return usual.prompt_token_s * (BASE_TOKENS + prompt)

    def unhindered_s(self, service: str, model: str | None, prompt: int) -> float:
        """Return the seconds to the first part where nothing else is in the way."""
        usual = self._usual.get((service, model), _UNKNOWN)
        return usual.unhindered_s * (BASE_TOKENS + prompt)

    def shared_s(self, service: str, model: str | None, tokens: int) -> float:
        """Return the seconds that reading so many tokens of a prompt takes."""
        usual = self._usual.get((service, model), _UNKNOWN)
        return usual.unhindered_s * tokens

    def whole_s(
        self,
        service: str,
        model: str | None,
        *,
        prompt: int,
        tokens: int,
        least_token_s: float = 0.0,
    ) -> float:
        """Return the usual seconds to the end of an answer, at a pace or slower."""
        usual = self._usual.get((service, model), _UNKNOWN)
        token_s = max(usual.token_s, least_token_s)
        return self.first_s(service, model, prompt) + token_s * tokens
