"""Evidence for and against a version on trial, counted by all instances together."""

from __future__ import annotations

import enum
import math
from collections.abc import Mapping

import msgspec

from baobabthread.core.rollouts.wealth import Wealth

SLOW_FACTOR = 2.0
"""An answer is slow when it takes so many times what the old version usually takes."""
MIN_SLOW_EXCESS_S = 0.02
"""Time above the usual within which no answer is slow: the first one of a server waits
for a connection, and callers notice nothing of it."""
MIN_EXPECTED_S = 1e-4
"""Shortest time that answers are compared by."""
LATENCY_SMOOTHING = 0.05
"""Part by which the usual time of the old version follows each answer."""
MIN_LATENCIES = 8
"""Answers of the old version before which nothing passes for slow."""
PRIOR_SEEN = 20.0
PRIOR_BAD = 1.0
ALARM_WEALTH = 1500.0
"""Stakes that a bet must win: about five bad answers in a row. With a fresh stake for
each answer, a good version reaches it once in about 1,500 answers at most."""
MIN_BAD = 3
"""Bad answers from which on any doubt counts."""
FEW_BAD_ODDS = 10.0
"""Odds from which on a doubt counts with fewer of them."""
MAX_BASELINE_RATE = 0.9
"""Rate of bad answers above which nothing counts as usual."""
ALL_CALLS = ""
"""Stands for all calls together."""


class CanaryMetric(enum.StrEnum):
    """Name what can be bad about a version."""

    ERRORS = "errors"
    LATENCY = "latency"


TOLERANCES = {CanaryMetric.ERRORS: 0.05, CanaryMetric.LATENCY: 0.03}
"""How much higher than the old version's the rate of bad answers may be for bets."""
PROMOTION_MARGINS = {CanaryMetric.ERRORS: 0.03, CanaryMetric.LATENCY: 0.04}
"""The same at the end of a trial."""
FINAL_MARGINS = {CanaryMetric.ERRORS: 0.0, CanaryMetric.LATENCY: 0.12}
"""What comes on top once all servers of a version take part: those that took none in
the trial have kept no prompts."""
BAD_RATE_LIFTS = {CanaryMetric.ERRORS: (0.08, 0.25), CanaryMetric.LATENCY: (0.2, 0.4)}
"""Parts of the other answers that a bad version is taken to spoil."""


class Count(msgspec.Struct, frozen=True, array_like=True):
    """Count one instance's answers of one version to one kind of request."""

    is_canary: bool = msgspec.field(name="on_trial")
    call: str
    metric: CanaryMetric = msgspec.field(name="concern")
    seen: int
    bad: int


class Evidence(msgspec.Struct, frozen=True, kw_only=True):
    """Hold all counts of one instance; they only grow."""

    number: int
    """The order that the trial is about."""
    counts: list[Count]


class SentAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """Describe an attempt whose answer will speak for or against a version."""

    is_canary: bool
    call: str
    kind: str
    """Names answers that should take about the same time."""
    at: float
    expected_s: float
    """Time that its answer takes where nothing is in the way."""


class _Key(msgspec.Struct, frozen=True):
    is_canary: bool
    call: str
    metric: CanaryMetric


class _Tally:
    __slots__ = ("bad", "seen")

    def __init__(self, *, seen: int = 0, bad: int = 0) -> None:
        self.seen = seen
        self.bad = bad


class LatencyBaselines:
    """Follow what answers of the version in force take, by their kind.

    Kept over all orders: learnt anew by each trial, where requests are few most of its
    answers are over before anybody knows what is slow.
    """

    __slots__ = ("_baselines",)

    def __init__(self) -> None:
        self._baselines: dict[str, tuple[float, int]] = {}

    def observe(self, sent: SentAttempt, latency_s: float) -> None:
        """Take in an answer of the version in force."""
        mean, seen = self._baselines.get(sent.kind, (0.0, 0))
        step = max(LATENCY_SMOOTHING, 1.0 / (seen + 1))
        # Of logarithms, so that one answer that was stuck doesn't lift the usual.
        mean += step * (_find_log_ratio(sent, latency_s) - mean)
        self._baselines[sent.kind] = (mean, seen + 1)

    def is_slow(self, sent: SentAttempt, latency_s: float) -> bool | None:
        """Tell whether an answer is slow; nothing while nobody knows what is usual."""
        mean, seen = self._baselines.get(sent.kind, (0.0, 0))
        if seen < MIN_LATENCIES:
            return None
        baseline_s = max(sent.expected_s, MIN_EXPECTED_S) * math.exp(mean)
        return latency_s > max(SLOW_FACTOR * baseline_s, baseline_s + MIN_SLOW_EXCESS_S)


class CanaryAnalysis:
    """Bet that the new version is worse than the old one, from shared counts."""

    __slots__ = (
        "_before_final",
        "_is_final",
        "_overdue",
        "_own",
        "_pending",
        "_received",
        "_tickets",
        "_total",
        "_wealth",
        "alarm",
        "baselines",
        "number",
    )

    def __init__(
        self, *, number: int, baselines: LatencyBaselines | None = None
    ) -> None:
        self.number = number
        self.baselines = baselines or LatencyBaselines()
        self.alarm: str | None = None
        """The figures that proved the version bad."""
        self._own: dict[_Key, _Tally] = {}
        self._total: dict[_Key, _Tally] = {}
        self._received: dict[str, dict[_Key, Count]] = {}
        self._wealth: dict[_Key, Wealth] = {}
        self._tickets = 0
        self._pending: dict[int, SentAttempt] = {}
        self._overdue: dict[int, SentAttempt] = {}
        """Attempts that count as slow already and are not answered yet."""
        self._is_final = False
        self._before_final: dict[_Key, tuple[int, int]] = {}
        """Answers seen, and bad ones, before the new version took over."""

    def start_attempt(self, sent: SentAttempt) -> int:
        """Note an attempt; return the ticket with which to tell of its end."""
        self._tickets += 1
        self._pending[self._tickets] = sent
        return self._tickets

    def finish_attempt(self, ticket: int, *, failed: bool | None, now: float) -> None:
        """Take in an answer, or nothing where an attempt ends without one.

        What took its time and was given up is slow, whatever it would have answered.
        """
        sent = self._pending.pop(ticket, None)
        overdue = self._overdue.pop(ticket, None)
        sent = sent or overdue
        if sent is None:
            return
        if failed is not None:
            self._count_own(
                _Key(sent.is_canary, sent.call, CanaryMetric.ERRORS), bad=failed
            )
        if overdue is None and not failed:
            self._count_latency(sent, now - sent.at, is_complete=failed is not None)

    def cancel_attempt(self, ticket: int) -> None:
        """Forget an attempt that says nothing about a version."""
        self._pending.pop(ticket, None)
        self._overdue.pop(ticket, None)

    def observe_response(
        self,
        *,
        is_canary: bool,
        call: str,
        kind: str,
        failed: bool,
        latency_s: float | None,
    ) -> None:
        """Take in an answer whose latency is known, if any is."""
        self._count_own(_Key(is_canary, call, CanaryMetric.ERRORS), bad=failed)
        if not failed and latency_s is not None:
            sent = SentAttempt(
                is_canary=is_canary, call=call, kind=kind, at=0.0, expected_s=1.0
            )
            self._count_latency(sent, latency_s, is_complete=True)

    def count_overdue(self, now: float) -> None:
        """Count as slow what should have been answered by now.

        A slow version's answers come late; waited for, only its fast ones would be
        known when it takes over.
        """
        for ticket, sent in list(self._pending.items()):
            if self.baselines.is_slow(sent, now - sent.at):
                self._overdue[ticket] = self._pending.pop(ticket)
                self._count_own(
                    _Key(sent.is_canary, sent.call, CanaryMetric.LATENCY), bad=True
                )

    def _count_latency(
        self, sent: SentAttempt, latency_s: float, *, is_complete: bool
    ) -> None:
        is_slow = self.baselines.is_slow(sent, latency_s)
        if not sent.is_canary:
            self.baselines.observe(sent, latency_s)
        if is_slow is None or (not is_complete and not is_slow):
            return
        self._count_own(
            _Key(sent.is_canary, sent.call, CanaryMetric.LATENCY), bad=is_slow
        )

    def evidence(self) -> Evidence:
        """Return this instance's counts for the others."""
        return Evidence(
            number=self.number,
            counts=[
                Count(key.is_canary, key.call, key.metric, tally.seen, tally.bad)
                for key, tally in self._own.items()
            ],
        )

    def merge(self, origin: str, evidence: Evidence) -> None:
        """Take in another instance's counts."""
        if evidence.number != self.number:
            return
        received = self._received.setdefault(origin, {})
        for count in evidence.counts:
            key = _Key(count.is_canary, count.call, count.metric)
            known = received.get(key)
            seen = count.seen - (known.seen if known else 0)
            bad = count.bad - (known.bad if known else 0)
            if seen <= 0:
                continue
            received[key] = count
            self._add(key, seen=seen, bad=max(0, min(bad, seen)))

    @property
    def seen(self) -> int:
        """Give how many answers of the new version were seen by all."""
        tally = self._total.get(_Key(True, ALL_CALLS, CanaryMetric.ERRORS))
        return tally.seen if tally is not None else 0

    def describe(self) -> str:
        """Return for the log how many answers of each version were bad."""
        return " ".join(
            f"{'new' if is_canary else 'old'}_{metric}:{tally.bad}/{tally.seen}"
            for metric in CanaryMetric
            for is_canary in (True, False)
            for tally in [self._total.get(_Key(is_canary, ALL_CALLS, metric))]
            if tally is not None
        )

    @property
    def is_suspicious(self) -> bool:
        """Tell whether a bet is ahead of what it seldom exceeds."""
        return any(wealth.suspicion >= 1.0 for wealth in self._wealth.values())

    @property
    def looks_worse(self) -> bool:
        """Tell whether its answers are sooner a bad version's than a good one's.

        The bets bear clumps of failures and need many answers. At the end of a trial no
        more can be waited for, and a bad version that takes over can't be taken back.
        """
        return any(self._is_worse(key) for key in self._total if key.is_canary)

    def begin_final_phase(self) -> None:
        """Judge what comes from now on also by itself: the load is another one."""
        self._is_final = True
        self._before_final = {key: (t.seen, t.bad) for key, t in self._total.items()}

    def _is_worse(self, key: _Key) -> bool:
        tally = self._total[key]
        seen, bad = self._before_final.get(key, (0, 0))
        since = _Tally(seen=tally.seen - seen, bad=tally.bad - bad)
        baseline = self._find_baseline_rate(key, PROMOTION_MARGINS, prior_decays=True)
        final = min(MAX_BASELINE_RATE, baseline + FINAL_MARGINS[key.metric])
        return any(
            _is_likelier_bad(baseline, lift, tally)
            or _is_likelier_bad(final, lift, since)
            for lift in BAD_RATE_LIFTS[key.metric]
        )

    def _count_own(self, key: _Key, *, bad: bool) -> None:
        tally = self._own.setdefault(key, _Tally())
        tally.seen += 1
        tally.bad += bad
        self._add(key, seen=1, bad=int(bad))

    def _add(self, key: _Key, *, seen: int, bad: int) -> None:
        all_calls = _Key(key.is_canary, ALL_CALLS, key.metric)
        for counted in (key, all_calls):
            total = self._total.setdefault(counted, _Tally())
            total.seen += seen
            total.bad += bad
            if key.is_canary:
                self._bet(counted, seen=seen, bad=bad)

    def _bet(self, key: _Key, *, seen: int, bad: int) -> None:
        if self._is_final and key.metric is CanaryMetric.LATENCY:
            # With all of the traffic moved, a burst or a lost server would be held
            # against the new version, and nothing runs on the old one beside it.
            return
        wealth = self._wealth.setdefault(key, Wealth())
        rate = self._find_baseline_rate(key, TOLERANCES)
        wealth.bet(seen=seen, bad=bad, rate=rate, stake=1.0)
        total = self._total[key]
        if key.metric is CanaryMetric.LATENCY and total.bad <= rate * total.seen:
            # Answers are slow in clumps when a server falls out or a burst comes, and
            # a clump wins a bet; a slow version is slow most of the time.
            return
        if self.alarm is None and wealth.value >= ALARM_WEALTH:
            self.alarm = (
                f"{key.metric} of {key.call or 'all requests'}: {total.bad} of "
                f"{total.seen} bad, usual rate {rate:.3f}"
            )

    def _find_baseline_rate(
        self,
        key: _Key,
        margins: Mapping[CanaryMetric, float],
        *,
        prior_decays: bool = False,
    ) -> float:
        """Return the highest rate of bad answers that still counts as usual.

        What is assumed of an unknown version may fade as its answers are counted.
        """
        old = self._total.get(_Key(False, key.call, key.metric))
        seen = (old.seen if old else 0) + PRIOR_SEEN
        prior = PRIOR_BAD * PRIOR_SEEN / seen if prior_decays else PRIOR_BAD
        rate = ((old.bad if old else 0) + prior) / seen
        spread = math.sqrt(rate * (1.0 - rate) / seen)
        return min(MAX_BASELINE_RATE, rate + spread + margins[key.metric])


def _find_log_ratio(sent: SentAttempt, latency_s: float) -> float:
    """Return the logarithm of a latency against what was expected."""
    expected_s = max(sent.expected_s, MIN_EXPECTED_S)
    return math.log(max(latency_s, MIN_EXPECTED_S) / expected_s)


def _is_likelier_bad(baseline: float, lift: float, tally: _Tally) -> bool:
    """Tell whether so many bad answers are likelier at a lifted rate than the usual."""
    bad_rate = baseline + lift * (1.0 - baseline)
    bad_weight = math.log(bad_rate / baseline)
    good_weight = math.log((1.0 - bad_rate) / (1.0 - baseline))
    odds = tally.bad * bad_weight + (tally.seen - tally.bad) * good_weight
    return odds > (0.0 if tally.bad >= MIN_BAD else math.log(FEW_BAD_ODDS))
