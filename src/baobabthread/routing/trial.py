"""Evidence for and against a version on trial, counted by all instances together."""

from __future__ import annotations

import enum
import math

import msgspec

from baobabthread.core.rollouts.wealth import Wealth

SLOW_FACTOR = 3.0
"""An answer is slow when it takes so many times what the old version usually takes."""
LATENCY_STEP = 0.05
"""Part by which the usual time of the old version follows each answer."""
ENOUGH_LATENCIES = 8
"""Answers of the old version before which nothing passes for slow."""
PRIOR_SEEN = 20.0
PRIOR_BAD = 1.0
TOLERANCE = 0.05
"""How much higher than the old version's the rate of bad answers may be."""
NEEDED_WEALTH = 1500.0
"""Stakes that a bet must win: about five bad answers in a row. With a fresh stake for
each answer, a good version reaches it once in about 1,500 answers at most."""


WHOLE = ""
"""Stands for all calls together."""


class Concern(enum.StrEnum):
    """Name what can be bad about a version."""

    ERRORS = "errors"
    LATENCY = "latency"


class Count(msgspec.Struct, frozen=True, array_like=True):
    """Count one instance's answers of one version to one kind of request."""

    on_trial: bool
    call: str
    concern: Concern
    seen: int
    bad: int


class Evidence(msgspec.Struct, frozen=True, kw_only=True):
    """Hold all counts of one instance; they only grow."""

    number: int
    """The order that the trial is about."""
    counts: list[Count]


class _Key(msgspec.Struct, frozen=True):
    on_trial: bool
    call: str
    concern: Concern


class _Tally:
    __slots__ = ("bad", "seen")

    def __init__(self) -> None:
        self.seen = 0
        self.bad = 0


class Trial:
    """Bet that the new version is worse than the old one, from shared counts."""

    __slots__ = (
        "_heard",
        "_latencies",
        "_own",
        "_total",
        "_wealth",
        "alarm",
        "number",
    )

    def __init__(self, *, number: int) -> None:
        self.number = number
        self.alarm: str | None = None
        """The figures that proved the version bad."""
        self._own: dict[_Key, _Tally] = {}
        self._total: dict[_Key, _Tally] = {}
        self._heard: dict[str, dict[_Key, Count]] = {}
        self._latencies: dict[str, tuple[float, int]] = {}
        self._wealth: dict[_Key, Wealth] = {}

    def observe(
        self,
        *,
        on_trial: bool,
        call: str,
        kind: str,
        failed: bool,
        latency_s: float | None,
    ) -> None:
        """Take in an answer seen here.

        `kind` names answers that should take about the same time. No latency is given
        where the old version no longer runs beside the new one to compare with.
        """
        self._count_own(_Key(on_trial, call, Concern.ERRORS), bad=failed)
        if failed or latency_s is None:
            return
        slow = self._judge_latency(kind, latency_s, learn=not on_trial)
        if slow is not None:
            self._count_own(_Key(on_trial, call, Concern.LATENCY), bad=slow)

    def evidence(self) -> Evidence:
        """Return this instance's counts for the others."""
        return Evidence(
            number=self.number,
            counts=[
                Count(key.on_trial, key.call, key.concern, tally.seen, tally.bad)
                for key, tally in self._own.items()
            ],
        )

    def merge(self, origin: str, evidence: Evidence) -> None:
        """Take in another instance's counts."""
        if evidence.number != self.number:
            return
        heard = self._heard.setdefault(origin, {})
        for count in evidence.counts:
            key = _Key(count.on_trial, count.call, count.concern)
            known = heard.get(key)
            seen = count.seen - (known.seen if known else 0)
            bad = count.bad - (known.bad if known else 0)
            if seen <= 0:
                continue
            heard[key] = count
            self._weigh(key, seen=seen, bad=max(0, min(bad, seen)))

    @property
    def seen(self) -> int:
        """Give how many answers of the new version were seen by all."""
        whole = self._total.get(_Key(True, WHOLE, Concern.ERRORS))
        return whole.seen if whole is not None else 0

    @property
    def is_suspicious(self) -> bool:
        """Tell whether a bet is ahead of what it seldom exceeds."""
        return any(wealth.suspicion >= 1.0 for wealth in self._wealth.values())

    def _judge_latency(
        self, kind: str, latency_s: float, *, learn: bool
    ) -> bool | None:
        sample = math.log(max(latency_s, 1e-4))
        usual, seen = self._latencies.get(kind, (sample, 0))
        if learn:
            # Of logarithms, so that one answer that was stuck doesn't lift the usual.
            step = max(LATENCY_STEP, 1.0 / (seen + 1))
            self._latencies[kind] = (usual + step * (sample - usual), seen + 1)
        if seen < ENOUGH_LATENCIES:
            return None
        return sample > usual + math.log(SLOW_FACTOR)

    def _count_own(self, key: _Key, *, bad: bool) -> None:
        tally = self._own.setdefault(key, _Tally())
        tally.seen += 1
        tally.bad += bad
        self._weigh(key, seen=1, bad=int(bad))

    def _weigh(self, key: _Key, *, seen: int, bad: int) -> None:
        whole = _Key(key.on_trial, WHOLE, key.concern)
        for each in (key, whole):
            total = self._total.setdefault(each, _Tally())
            total.seen += seen
            total.bad += bad
            if key.on_trial:
                self._bet(each, seen=seen, bad=bad)

    def _bet(self, key: _Key, *, seen: int, bad: int) -> None:
        wealth = self._wealth.setdefault(key, Wealth())
        rate = self._find_usual_rate(key)
        wealth.bet(seen=seen, bad=bad, rate=rate, stake=1.0)
        total = self._total[key]
        if key.concern is Concern.LATENCY and total.bad <= rate * total.seen:
            # Answers are slow in clumps when a server falls out or a burst comes, and
            # a clump wins a bet; a slow version is slow most of the time.
            return
        if self.alarm is None and wealth.value >= NEEDED_WEALTH:
            self.alarm = (
                f"{key.concern} of {key.call or 'all requests'}: {total.bad} of "
                f"{total.seen} bad, usual rate {rate:.3f}"
            )

    def _find_usual_rate(self, key: _Key) -> float:
        old = self._total.get(_Key(False, key.call, key.concern))
        seen = (old.seen if old else 0) + PRIOR_SEEN
        bad = (old.bad if old else 0) + PRIOR_BAD
        rate = bad / seen
        spread = math.sqrt(rate * (1.0 - rate) / seen)
        return min(0.9, rate + spread + TOLERANCE)
