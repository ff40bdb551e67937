"""Latency model of the responses, by service and model."""

from __future__ import annotations

import msgspec

SMOOTHING = 0.05
"""Weight of each response in the moving averages."""
BASE_TOKENS = 2000
"""Fixed cost of starting any response, in prompt tokens."""
DEFAULT_PROMPT_TOKEN_S = 0.00005
"""Time per prompt token that is assumed before any response."""
UNLOADED_QUANTILE = 0.25
"""Quantile of the times to the first part that is taken as the time without load."""
QUANTILE_STEP = 0.1
"""Relative step by which that quantile follows each response."""
DEFAULT_TOKEN_S = 0.005
"""Time per generated token that is assumed before any response."""
MAX_SAMPLE_FACTOR = 4.0
"""Limit of a single sample, as a multiple of the moving average."""


class _Estimate(msgspec.Struct):
    prompt_token_s: float = DEFAULT_PROMPT_TOKEN_S
    unloaded_token_s: float = DEFAULT_PROMPT_TOKEN_S
    token_s: float = DEFAULT_TOKEN_S
    seen: int = 0


_DEFAULT = _Estimate()


class LatencyModel:
    """Estimates the time to the first part of a response and the time per token."""

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
        """Record a complete response."""
        estimate = self._estimates.setdefault((service, model), _Estimate())
        estimate.seen += 1
        step = max(SMOOTHING, 1.0 / estimate.seen)
        sample = first_s / (BASE_TOKENS + prompt_tokens)
        # Most shared parts are cached, so that only the rest of a prompt is processed.
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
        """Return the expected seconds to the first part of a response."""
        estimate = self._estimates.get((service, model), _DEFAULT)
        return estimate.prompt_token_s * (BASE_TOKENS + prompt_tokens)

    def unloaded_first_s(
        self, service: str, model: str | None, prompt_tokens: int
    ) -> float:
        """Return the expected seconds to the first part of a response without load."""
        estimate = self._estimates.get((service, model), _DEFAULT)
        return estimate.unloaded_token_s * (BASE_TOKENS + prompt_tokens)

    def prefill_s(self, service: str, model: str | None, tokens: int) -> float:
        """Return the seconds to process a number of prompt tokens without load."""
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
        """Return the expected seconds to the end of a response.

        `min_token_s` is a lower bound for the time per generated token.
        """
        estimate = self._estimates.get((service, model), _DEFAULT)
        token_s = max(estimate.token_s, min_token_s)
        return self.first_s(service, model, prompt_tokens) + token_s * tokens
