"""How long answers usually take, by service and model."""

from __future__ import annotations

import msgspec

STEP = 0.05
"""Part by which the usual time follows each answer."""
FIRST_S = 0.05
"""Time to the first part that is assumed before any answer: of the order of a short
prompt at an idle engine."""
TOKEN_S = 0.005
"""Time for each token that is assumed before any answer."""
CLIP = 4.0
"""Times the usual that one answer counts for at most."""


class _Usual(msgspec.Struct):
    first_s: float = FIRST_S
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
        first_s: float,
        rest_s: float,
        tokens: int,
    ) -> None:
        """Take in an answer that came whole."""
        usual = self._usual.setdefault((service, model), _Usual())
        usual.seen += 1
        step = max(STEP, 1.0 / usual.seen)
        if usual.seen > 1 / STEP:
            first_s = min(first_s, CLIP * usual.first_s)
        usual.first_s += step * (first_s - usual.first_s)
        usual.token_s += step * (rest_s / max(1, tokens) - usual.token_s)

    def first_s(self, service: str, model: str | None) -> float:
        """Return the usual seconds to the first part."""
        return self._usual.get((service, model), _UNKNOWN).first_s

    def whole_s(self, service: str, model: str | None, tokens: int) -> float:
        """Return the usual seconds to the end of an answer."""
        usual = self._usual.get((service, model), _UNKNOWN)
        return usual.first_s + usual.token_s * tokens
