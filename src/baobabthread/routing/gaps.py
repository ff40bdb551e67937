"""How long streams of a service pause between events, and when silence means a loss."""

from __future__ import annotations

QUANTILE = 0.99
"""Part of the pauses that the followed one is longer than."""
QUANTILE_STEP = 0.1
"""Step by which it follows each pause."""
INITIAL_GAP_S = 0.3
"""What is assumed before any event."""
TIMEOUT_FACTOR = 2.0
"""Times that pause for which an engine's silence is borne."""
MIN_TIMEOUT_S = 0.7
"""Silence that is always borne; an engine that runs makes a token every few
milliseconds when nothing else is to be read."""
MAX_TIMEOUT_S = 1.6
"""Silence after which an engine is given up whatever it did before: callers leave soon
after it."""


class InterEventGaps:
    """Follow the long pauses of each service's streams.

    Engines read the prompts of others between the tokens of a stream, one long part
    after the other. Taken for dark by a fixed bound, one that is only busy loses its
    streams to the next one, which reads all their prompts again and falls silent too.
    """

    __slots__ = ("_quantiles_s",)

    def __init__(self) -> None:
        self._quantiles_s: dict[str, float] = {}

    def observe(self, service: str, gap_s: float) -> None:
        """Take in a pause, also one that was given up at its end."""
        quantile_s = self._quantiles_s.get(service, INITIAL_GAP_S)
        weight = QUANTILE if gap_s > quantile_s else QUANTILE - 1.0
        self._quantiles_s[service] = quantile_s * (1.0 + QUANTILE_STEP * weight)

    def timeout_s(self, service: str) -> float:
        """Return the silence within a stream after which its engine is given up."""
        quantile_s = self._quantiles_s.get(service, INITIAL_GAP_S)
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, TIMEOUT_FACTOR * quantile_s))
