"""Inter-event gaps of the streams of a service, and the timeouts derived from them."""

from __future__ import annotations

QUANTILE = 0.99
"""Quantile of the gaps that is estimated."""
QUANTILE_STEP = 0.1
"""Relative step by which the estimate follows each gap."""
INITIAL_GAP_S = 0.3
"""Estimate before any gap was observed."""
TIMEOUT_FACTOR = 2.0
"""Multiple of the estimated gap after which a silent engine is abandoned."""
MIN_TIMEOUT_S = 0.7
"""Minimum timeout; a running engine that processes no prompts produces a token every
few milliseconds."""
MAX_TIMEOUT_S = 1.6
"""Maximum timeout, whatever the estimate: callers disconnect soon after it."""


class InterEventGaps:
    """Estimates the long inter-event gaps of each service's streams.

    Engines process other prompts between the tokens of a stream, in long steps. With a
    fixed timeout, a busy engine would be taken for failed and lose its streams to
    another engine, which processes all their prompts again and falls silent as well.
    """

    __slots__ = ("_quantiles_s",)

    def __init__(self) -> None:
        self._quantiles_s: dict[str, float] = {}

    def observe(self, service: str, gap_s: float) -> None:
        """Record a gap, including one that ended in a timeout."""
        quantile_s = self._quantiles_s.get(service, INITIAL_GAP_S)
        weight = QUANTILE if gap_s > quantile_s else QUANTILE - 1.0
        self._quantiles_s[service] = quantile_s * (1.0 + QUANTILE_STEP * weight)

    def timeout_s(self, service: str) -> float:
        """Return the silence within a stream after which its engine is abandoned."""
        quantile_s = self._quantiles_s.get(service, INITIAL_GAP_S)
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, TIMEOUT_FACTOR * quantile_s))
