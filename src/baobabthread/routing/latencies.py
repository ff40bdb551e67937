"""How long answers usually take, by service and model."""

from __future__ import annotations

import msgspec

SMOOTHING = 0.05
"""Part by which the usual time follows each answer."""
BASE_TOKENS = 2000
"""Tokens that the start of any answer takes as long as, beside those of its prompt."""
DEFAULT_PROMPT_TOKEN_S = 0.00005
"""Time for each of them that is assumed before any answer."""
UNLOADED_QUANTILE = 0.25
"""Part of the answers that nothing hinders: their time is taken for the work itself."""
QUANTILE_STEP = 0.1
"""Step by which the time of unhindered answers follows each answer."""
DEFAULT_TOKEN_S = 0.005
"""Time for each token that is assumed before any answer."""
MAX_SAMPLE_FACTOR = 4.0
"""Times the usual that one answer counts for at most."""


class _Estimate(msgspec.Struct):
    prompt_token_s: float = DEFAULT_PROMPT_TOKEN_S
    unloaded_token_s: float = DEFAULT_PROMPT_TOKEN_S
    token_s: float = DEFAULT_TOKEN_S
    seen: int = 0


_DEFAULT = _Estimate()


class LatencyModel:
    """Follow the time to the first part of an answer and for each token after it."""

    __slots__ = ("_estimates",)

    def __init__(self) -> None:
        self._estimates: dict[tuple[str, str | None], _Estimate] = {}

    def observe(
        self,
        service: str,
        model: str | None,
        *,
        prompt_tokens: int,
        shared_tokens: int,
        first_s: float,
        rest_s: float,
        tokens: int,
    ) -> None:
        """Take in an answer that came whole."""
        estimate = self._estimates.setdefault((service, model), _Estimate())
        estimate.seen += 1
        step = max(SMOOTHING, 1.0 / estimate.seen)
        sample = first_s / (BASE_TOKENS + prompt_tokens)
        # Most shared parts are kept, so that only the rest of a prompt is read.
        uncached = first_s / (BASE_TOKENS + max(0, prompt_tokens - shared_tokens))
        if uncached > estimate.unloaded_token_s:
            estimate.unloaded_token_s *= 1.0 + QUANTILE_STEP * UNLOADED_QUANTILE
        else:
            estimate.unloaded_token_s *= 1.0 - QUANTILE_STEP * (1.0 - UNLOADED_QUANTILE)
        if estimate.seen > 1 / SMOOTHING:
            sample = min(sample, MAX_SAMPLE_FACTOR * estimate.prompt_token_s)
        estimate.prompt_token_s += step * (sample - estimate.prompt_token_s)
        estimate.token_s += step * (rest_s / max(1, tokens) - estimate.token_s)

    def first_s(self, service: str, model: str | None, prompt_tokens: int) -> float:
        """Return the usual seconds to the first part of an answer to a prompt."""
        estimate = self._estimates.get((service, model), _DEFAULT)
        return estimate.prompt_token_s * (BASE_TOKENS + prompt_tokens)

    def unloaded_first_s(
        self, service: str, model: str | None, prompt_tokens: int
    ) -> float:
        """Return the seconds to the first part where nothing else is in the way."""
        estimate = self._estimates.get((service, model), _DEFAULT)
        return estimate.unloaded_token_s * (BASE_TOKENS + prompt_tokens)

    def prefill_s(self, service: str, model: str | None, tokens: int) -> float:
        """Return the seconds that reading so many tokens of a prompt takes."""
        estimate = self._estimates.get((service, model), _DEFAULT)
        return estimate.unloaded_token_s * tokens

    def total_s(
        self,
        service: str,
        model: str | None,
        *,
        prompt_tokens: int,
        tokens: int,
        min_token_s: float = 0.0,
    ) -> float:
        """Return the usual seconds to the end of an answer, at a pace or slower."""
        estimate = self._estimates.get((service, model), _DEFAULT)
        token_s = max(estimate.token_s, min_token_s)
        return self.first_s(service, model, prompt_tokens) + token_s * tokens
