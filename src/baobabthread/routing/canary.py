"""Statistical analysis of a canary version, from the counts of all instances."""

from __future__ import annotations

import enum
import math
from collections.abc import Mapping

import msgspec

from baobabthread.core.positions import OperatorsPosition
from baobabthread.core.rollouts.wealth import Wealth
from baobabthread.routing.streampace import StreamPace

SLOW_FACTOR = 2.0
"""Multiple of the old version's usual latency above which a response is slow."""
SLOW_PACE_FACTOR = 3.0
"""The same for the gaps between a stream's events, which grow with a server's load."""
STALL_S = 2.0
"""Wait for one of a stream's first events from which on it is slow whatever is usual;
streams that were preempted for lack of memory go on sooner."""
MIN_SLOW_EXCESS_S = 0.02
"""Excess over the usual latency up to which no response is slow. A server's first
response includes connecting, which callers do not notice."""
MIN_EXPECTED_S = 1e-4
"""Lower bound of the latencies that are compared."""
LATENCY_SMOOTHING = 0.05
"""Weight of each response in the moving average of the old version's latency."""
MIN_LATENCIES = 8
"""Responses of the old version that are needed before any response counts as slow."""
PRIOR_SEEN = 20.0
PRIOR_BAD = 1.0
ALARM_WEALTH = 1500.0
"""Stakes that a bet must win to raise the alarm, as after about five bad responses in a
row. As each response adds a new stake, a good version reaches it at most once in about
1,500 responses."""
MIN_BAD = 3
"""Bad responses from which on even odds are enough to call a version worse."""
FEW_BAD_ODDS = 10.0
"""Odds that are required with fewer bad responses than `MIN_BAD`."""
MAX_BASELINE_RATE = 0.9
"""Upper bound of the baseline rate of bad responses."""
MAX_SESSIONS = 20_000
"""Sessions whose first responses are counted in one roll-out."""
ALL_CALLS = ""
"""Key of the counts over all calls."""


class CanaryMetric(enum.StrEnum):
    """Aspect in which a version can be worse than the old one."""

    ERRORS = "errors"
    LATENCY = "latency"
    ENDINGS = "endings"
    """Streams that their server broke off."""
    PACE = "pace"
    """Streams whose events arrive slowly."""
    REFUSALS = "refusals"
    """Sessions whose first response was a refusal of the request, with status 4xx."""


GRADUAL_METRICS = frozenset({CanaryMetric.LATENCY, CanaryMetric.PACE})
"""Metrics that depend on load as well as on the version."""
TOLERANCES = {
    CanaryMetric.ERRORS: 0.05,
    CanaryMetric.LATENCY: 0.03,
    CanaryMetric.ENDINGS: 0.05,
    CanaryMetric.PACE: 0.03,
    CanaryMetric.REFUSALS: 0.05,
}
"""Tolerated excess over the old version's rate of bad responses, for the bets."""
PROMOTION_MARGINS = {
    CanaryMetric.ERRORS: 0.03,
    CanaryMetric.LATENCY: 0.04,
    CanaryMetric.ENDINGS: 0.03,
    CanaryMetric.PACE: 0.04,
    CanaryMetric.REFUSALS: 0.03,
}
"""Tolerated excess when the promotion of a canary is decided."""
FINAL_MARGINS = {
    CanaryMetric.ERRORS: 0.0,
    CanaryMetric.LATENCY: 0.12,
    CanaryMetric.PACE: 0.12,
}
"""Additional excess in the final phase, in which all servers of the version take part:
those that received no canary traffic have no prompts cached. Metrics that are missing
are judged by all responses only."""
BAD_RATE_LIFTS = {
    CanaryMetric.ERRORS: (0.08, 0.25),
    CanaryMetric.LATENCY: (0.2, 0.4),
    CanaryMetric.ENDINGS: (0.08, 0.25),
    CanaryMetric.PACE: (0.2, 0.4),
    CanaryMetric.REFUSALS: (0.08, 0.25),
}
"""Assumed fractions of the otherwise good responses that a bad version spoils."""


class Count(msgspec.Struct, frozen=True, array_like=True):
    """Counts of one instance for one version, call and metric."""

    is_canary: bool = msgspec.field(name="on_trial")
    call: str
    metric: CanaryMetric = msgspec.field(name="concern")
    seen: int
    bad: int


class Evidence(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """All counts of one instance; they only grow."""

    offset: int = msgspec.field(name="number")
    counts: list[Count]
    era: int = 0

    @property
    def number(self) -> OperatorsPosition:
        """Number of the roll-out order."""
        return OperatorsPosition(self.era, self.offset)


class SentAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """Attempt whose response is evidence for or against a version."""

    is_canary: bool
    call: str
    kind: str
    """Groups responses that are expected to have similar latencies."""
    at: float
    expected_s: float
    """Latency of the response without load."""
    session: str = ""


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
    """Moving averages of the latencies of the version in force, by kind of response.

    They persist across roll-outs. If each canary analysis had to learn them again, most
    responses of a service with few requests would pass before slow ones are recognized.
    """

    __slots__ = ("_baselines",)

    def __init__(self) -> None:
        self._baselines: dict[str, tuple[float, int]] = {}

    def observe(self, sent: SentAttempt, latency_s: float) -> None:
        """Record a response of the version in force."""
        mean, seen = self._baselines.get(sent.kind, (0.0, 0))
        step = max(LATENCY_SMOOTHING, 1.0 / (seen + 1))
        # Averaged as logarithms, so that one stuck response barely raises the mean.
        mean += step * (_find_log_ratio(sent, latency_s) - mean)
        self._baselines[sent.kind] = (mean, seen + 1)

    def is_slow(
        self, sent: SentAttempt, latency_s: float, *, factor: float = SLOW_FACTOR
    ) -> bool | None:
        """Return whether a response is slow, or `None` without enough responses."""
        mean, seen = self._baselines.get(sent.kind, (0.0, 0))
        if seen < MIN_LATENCIES:
            return None
        baseline_s = max(sent.expected_s, MIN_EXPECTED_S) * math.exp(mean)
        return latency_s > max(factor * baseline_s, baseline_s + MIN_SLOW_EXCESS_S)


class CanaryAnalysis:
    """Sequential test of whether the new version is worse than the old one.

    All instances contribute their counts and bet on the sum of them.
    """

    __slots__ = (
        "_before_final",
        "_is_final",
        "_overdue",
        "_own",
        "_pending",
        "_received",
        "_sessions",
        "_streams",
        "_tickets",
        "_total",
        "_wealth",
        "alarm",
        "baselines",
        "number",
    )

    def __init__(
        self, *, number: OperatorsPosition, baselines: LatencyBaselines | None = None
    ) -> None:
        self.number = number
        self.baselines = baselines or LatencyBaselines()
        self.alarm: str | None = None
        """Counts that proved the version bad."""
        self._own: dict[_Key, _Tally] = {}
        self._total: dict[_Key, _Tally] = {}
        self._received: dict[str, dict[_Key, Count]] = {}
        self._wealth: dict[_Key, Wealth] = {}
        self._tickets = 0
        self._pending: dict[int, SentAttempt] = {}
        self._overdue: dict[int, SentAttempt] = {}
        """Unanswered attempts that were already counted as slow."""
        self._streams: dict[int, tuple[SentAttempt, StreamPace]] = {}
        """Streams whose pace is not decided yet."""
        self._sessions: set[tuple[bool, str, str]] = set()
        """Sessions whose first response was counted, by version and call."""
        self._is_final = False
        self._before_final: dict[_Key, tuple[int, int]] = {}
        """Responses seen, and bad ones, before the final phase."""

    def start_attempt(self, sent: SentAttempt) -> int:
        """Register an attempt; return a ticket that identifies it."""
        self._tickets += 1
        self._pending[self._tickets] = sent
        return self._tickets

    def finish_attempt(self, ticket: int, *, failed: bool | None, now: float) -> None:
        """Count the response of an attempt; `failed` is `None` if there was none.

        An attempt that was abandoned after a long wait counts as slow.
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
        """Discard an attempt that is no evidence for or against a version."""
        self._pending.pop(ticket, None)
        self._overdue.pop(ticket, None)
        self._streams.pop(ticket, None)

    def observe_break(self, sent: SentAttempt) -> None:
        """Count an attempt that got no whole response from a server that lives on."""
        self._count_own(_Key(sent.is_canary, sent.call, CanaryMetric.ERRORS), bad=True)

    def observe_ending(self, sent: SentAttempt, *, is_whole: bool) -> None:
        """Count a stream that ended, or that a server that lives on broke off."""
        key = _Key(sent.is_canary, sent.call, CanaryMetric.ENDINGS)
        self._count_own(key, bad=not is_whole)

    def observe_refusal(self, sent: SentAttempt, *, is_refused: bool) -> None:
        """Count whether the first response of a session was a refusal.

        A single caller with wrong requests is refused again and again by any version.
        """
        session = (sent.is_canary, sent.call, sent.session)
        if session in self._sessions or len(self._sessions) >= MAX_SESSIONS:
            return
        self._sessions.add(session)
        key = _Key(sent.is_canary, sent.call, CanaryMetric.REFUSALS)
        self._count_own(key, bad=is_refused)

    def watch_stream(self, ticket: int, sent: SentAttempt, now: float) -> StreamPace:
        """Watch the pace of a stream from its first event on."""
        kind = f"{sent.kind}/{CanaryMetric.PACE}"
        watched = msgspec.structs.replace(sent, kind=kind, expected_s=MIN_EXPECTED_S)
        pace = StreamPace(now=now)
        self._streams[ticket] = (watched, pace)
        return pace

    def judge_pace(self, ticket: int, now: float, *, is_over: bool) -> None:
        """Count a stream as slow as soon as it is, otherwise once it `is_over`."""
        if ticket not in self._streams:
            return
        sent, pace = self._streams[ticket]
        taken_s = pace.find_mean_s(now)
        if taken_s is None and is_over:
            # A stream of few events has no pace, but one of as many takes as long.
            sent = msgspec.structs.replace(sent, kind=f"{sent.kind}/{pace.gap_count}")
            taken_s = pace.find_total_s(now)
        if taken_s is not None:
            is_slow = self.baselines.is_slow(sent, taken_s, factor=SLOW_PACE_FACTOR)
        else:
            is_slow = pace.find_waited_s(now) >= STALL_S
        if not is_over and not is_slow:
            return
        del self._streams[ticket]
        if taken_s is not None and not sent.is_canary:
            self.baselines.observe(sent, taken_s)
        if is_slow is not None:
            key = _Key(sent.is_canary, sent.call, CanaryMetric.PACE)
            self._count_own(key, bad=is_slow)

    def observe_response(
        self,
        *,
        is_canary: bool,
        call: str,
        kind: str,
        failed: bool,
        latency_s: float | None,
    ) -> None:
        """Count a response, with its latency if that is known."""
        self._count_own(_Key(is_canary, call, CanaryMetric.ERRORS), bad=failed)
        if not failed and latency_s is not None:
            sent = SentAttempt(
                is_canary=is_canary, call=call, kind=kind, at=0.0, expected_s=1.0
            )
            self._count_latency(sent, latency_s, is_complete=True)

    def count_overdue(self, now: float) -> None:
        """Count attempts as slow whose responses are overdue.

        Without this, only the fast responses of a slow version would be counted by the
        time it is promoted.
        """
        for ticket, sent in list(self._pending.items()):
            if self.baselines.is_slow(sent, now - sent.at):
                self._overdue[ticket] = self._pending.pop(ticket)
                self._count_own(
                    _Key(sent.is_canary, sent.call, CanaryMetric.LATENCY), bad=True
                )
        for ticket in list(self._streams):
            self.judge_pace(ticket, now, is_over=False)

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
        """Return the counts of this instance, to be sent to the others."""
        return Evidence(
            offset=self.number.offset,
            era=self.number.era,
            counts=[
                Count(key.is_canary, key.call, key.metric, tally.seen, tally.bad)
                for key, tally in self._own.items()
            ],
        )

    def merge(self, origin: str, evidence: Evidence) -> None:
        """Merge the counts of another instance; each response counts once."""
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
        """Responses of the new version seen by all instances."""
        tally = self._total.get(_Key(True, ALL_CALLS, CanaryMetric.ERRORS))
        return tally.seen if tally is not None else 0

    def describe(self) -> str:
        """Return the bad and total responses of each version, for the log."""
        return " ".join(
            f"{'new' if is_canary else 'old'}_{metric}:{tally.bad}/{tally.seen}"
            for metric in CanaryMetric
            for is_canary in (True, False)
            for tally in [self._total.get(_Key(is_canary, ALL_CALLS, metric))]
            if tally is not None
        )

    @property
    def is_suspicious(self) -> bool:
        """Whether a bet exceeds a level that good versions rarely reach."""
        return any(wealth.suspicion >= 1.0 for wealth in self._wealth.values())

    @property
    def looks_worse(self) -> bool:
        """Whether the responses are more likely from a bad version than a good one.

        The bets tolerate clustered failures and need many responses. At promotion there
        is no time for more, and a bad version cannot be rolled back once it succeeded.
        """
        return any(self._is_worse(key) for key in self._total if key.is_canary)

    def begin_final_phase(self) -> None:
        """Evaluate later responses also separately, as the load differs from now on."""
        self._is_final = True
        self._before_final = {key: (t.seen, t.bad) for key, t in self._total.items()}

    def _is_worse(self, key: _Key) -> bool:
        tally = self._total[key]
        seen, bad = self._before_final.get(key, (0, 0))
        since = _Tally(seen=tally.seen - seen, bad=tally.bad - bad)
        baseline = self._find_baseline_rate(key, PROMOTION_MARGINS, prior_decays=True)
        lifts = BAD_RATE_LIFTS[key.metric]
        if any(_is_likelier_bad(baseline, lift, tally) for lift in lifts):
            return True
        if key.metric not in FINAL_MARGINS:
            # Streams that break off end before whole ones that began with them.
            return False
        final = min(MAX_BASELINE_RATE, baseline + FINAL_MARGINS[key.metric])
        return any(_is_likelier_bad(final, lift, since) for lift in lifts)

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
        if self._is_final and key.metric in GRADUAL_METRICS:
            # With all traffic moved, a burst or a lost server would count against the
            # new version, and the old one has no responses left to compare with.
            return
        wealth = self._wealth.setdefault(key, Wealth())
        rate = self._find_baseline_rate(key, TOLERANCES)
        wealth.bet(seen=seen, bad=bad, rate=rate, stake=1.0)
        total = self._total[key]
        if key.metric in GRADUAL_METRICS and total.bad <= rate * total.seen:
            # A lost server or a burst causes clusters of slow responses that would win
            # the bet, whereas a slow version is slow most of the time.
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
        """Return the highest rate of bad responses that still counts as normal.

        With `prior_decays`, the prior loses weight as responses are counted.
        """
        old = self._total.get(_Key(False, key.call, key.metric))
        seen = (old.seen if old else 0) + PRIOR_SEEN
        prior = PRIOR_BAD * PRIOR_SEEN / seen if prior_decays else PRIOR_BAD
        rate = ((old.bad if old else 0) + prior) / seen
        spread = math.sqrt(rate * (1.0 - rate) / seen)
        return min(MAX_BASELINE_RATE, rate + spread + margins[key.metric])


def _find_log_ratio(sent: SentAttempt, latency_s: float) -> float:
    """Return the logarithm of the ratio of a latency to the expected one."""
    expected_s = max(sent.expected_s, MIN_EXPECTED_S)
    return math.log(max(latency_s, MIN_EXPECTED_S) / expected_s)


def _is_likelier_bad(baseline: float, lift: float, tally: _Tally) -> bool:
    """Return whether the counts are likelier at a lifted rate than at the baseline."""
    bad_rate = baseline + lift * (1.0 - baseline)
    bad_weight = math.log(bad_rate / baseline)
    good_weight = math.log((1.0 - bad_rate) / (1.0 - baseline))
    odds = tally.bad * bad_weight + (tally.seen - tally.bad) * good_weight
    return odds > (0.0 if tally.bad >= MIN_BAD else math.log(FEW_BAD_ODDS))
