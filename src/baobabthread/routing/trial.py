"""Evidence for and against a version on trial, counted by all instances together."""

from __future__ import annotations

import enum
import math
from collections.abc import Mapping

import msgspec

from baobabthread.core.rollouts.wealth import Wealth

SLOW_FACTOR = 2.0
"""An answer is slow when it takes so many times what the old version usually takes."""
LEAST_SLOWER_S = 0.02
"""Time above the usual within which no answer is slow: the first one of a server waits
for a connection, and callers notice nothing of it."""
LEAST_EXPECTED_S = 1e-4
"""Shortest time that answers are compared by."""
LATENCY_STEP = 0.05
"""Part by which the usual time of the old version follows each answer."""
ENOUGH_LATENCIES = 8
"""Answers of the old version before which nothing passes for slow."""
PRIOR_SEEN = 20.0
PRIOR_BAD = 1.0
NEEDED_WEALTH = 1500.0
"""Stakes that a bet must win: about five bad answers in a row. With a fresh stake for
each answer, a good version reaches it once in about 1,500 answers at most."""
LEAST_BAD = 3
"""Bad answers from which on any doubt counts."""
SURE_ODDS = 10.0
"""Odds from which on a doubt counts with fewer of them."""
HIGHEST_RATE = 0.9
"""Rate of bad answers above which nothing counts as usual."""
WHOLE = ""
"""Stands for all calls together."""


class Concern(enum.StrEnum):
    """Name what can be bad about a version."""

    ERRORS = "errors"
    LATENCY = "latency"


TOLERANCES = {Concern.ERRORS: 0.05, Concern.LATENCY: 0.03}
"""How much higher than the old version's the rate of bad answers may be for bets."""
MARGINS = {Concern.ERRORS: 0.03, Concern.LATENCY: 0.04}
"""The same at the end of a trial."""
FINAL_MARGINS = {Concern.ERRORS: 0.0, Concern.LATENCY: 0.12}
"""What comes on top once all servers of a version take part: those that took none in
the trial have kept no prompts."""
LIFTS = {Concern.ERRORS: (0.08, 0.25), Concern.LATENCY: (0.2, 0.4)}
"""Parts of the other answers that a bad version is taken to spoil."""


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


class Sent(msgspec.Struct, frozen=True, kw_only=True):
    """Describe an attempt whose answer will speak for or against a version."""

    on_trial: bool
    call: str
    kind: str
    """Names answers that should take about the same time."""
    at: float
    expected_s: float
    """Time that its answer takes where nothing is in the way."""


class _Key(msgspec.Struct, frozen=True):
    on_trial: bool
    call: str
    concern: Concern


class _Tally:
    __slots__ = ("bad", "seen")

    def __init__(self, *, seen: int = 0, bad: int = 0) -> None:
        self.seen = seen
        self.bad = bad


class UsualLatencies:
    """Follow what answers of the version in force take, by their kind.

    Kept over all orders: learnt anew by each trial, where requests are few most of its
    answers are over before anybody knows what is slow.
    """

    __slots__ = ("_usual",)

    def __init__(self) -> None:
        self._usual: dict[str, tuple[float, int]] = {}

    def learn(self, sent: Sent, latency_s: float) -> None:
        """Take in an answer of the version in force."""
        usual, seen = self._usual.get(sent.kind, (0.0, 0))
        step = max(LATENCY_STEP, 1.0 / (seen + 1))
        # Of logarithms, so that one answer that was stuck doesn't lift the usual.
        usual += step * (_compare(sent, latency_s) - usual)
        self._usual[sent.kind] = (usual, seen + 1)

    def is_slow(self, sent: Sent, latency_s: float) -> bool | None:
        """Tell whether an answer is slow; nothing while nobody knows what is usual."""
        usual, seen = self._usual.get(sent.kind, (0.0, 0))
        if seen < ENOUGH_LATENCIES:
            return None
        usual_s = max(sent.expected_s, LEAST_EXPECTED_S) * math.exp(usual)
        return latency_s > max(SLOW_FACTOR * usual_s, usual_s + LEAST_SLOWER_S)


class Trial:
    """Bet that the new version is worse than the old one, from shared counts."""

    __slots__ = (
        "_before",
        "_heard",
        "_is_final",
        "_overdue",
        "_own",
        "_pending",
        "_tickets",
        "_total",
        "_wealth",
        "alarm",
        "latencies",
        "number",
    )

    def __init__(self, *, number: int, latencies: UsualLatencies | None = None) -> None:
        self.number = number
        self.latencies = latencies or UsualLatencies()
        self.alarm: str | None = None
        """The figures that proved the version bad."""
        self._own: dict[_Key, _Tally] = {}
        self._total: dict[_Key, _Tally] = {}
        self._heard: dict[str, dict[_Key, Count]] = {}
        self._wealth: dict[_Key, Wealth] = {}
        self._tickets = 0
        self._pending: dict[int, Sent] = {}
        self._overdue: dict[int, Sent] = {}
        """Attempts that count as slow already and are not answered yet."""
        self._is_final = False
        self._before: dict[_Key, tuple[int, int]] = {}
        """Answers seen, and bad ones, before the new version took over."""

    def begin(self, sent: Sent) -> int:
        """Note an attempt; return the ticket with which to tell of its end."""
        self._tickets += 1
        self._pending[self._tickets] = sent
        return self._tickets

    def end(self, ticket: int, *, failed: bool | None, now: float) -> None:
        """Take in an answer, or nothing where an attempt ends without one.

        What took its time and was given up is slow, whatever it would have answered.
        """
        sent = self._pending.pop(ticket, None)
        overdue = self._overdue.pop(ticket, None)
        sent = sent or overdue
        if sent is None:
            return
        if failed is not None:
            self._count_own(_Key(sent.on_trial, sent.call, Concern.ERRORS), bad=failed)
        if overdue is None and not failed:
            self._count_latency(sent, now - sent.at, is_whole=failed is not None)

    def cancel(self, ticket: int) -> None:
        """Forget an attempt that says nothing about a version."""
        self._pending.pop(ticket, None)
        self._overdue.pop(ticket, None)

    def observe(
        self,
        *,
        on_trial: bool,
        call: str,
        kind: str,
        failed: bool,
        latency_s: float | None,
    ) -> None:
        """Take in an answer whose latency is known, if any is."""
        self._count_own(_Key(on_trial, call, Concern.ERRORS), bad=failed)
        if not failed and latency_s is not None:
            sent = Sent(on_trial=on_trial, call=call, kind=kind, at=0.0, expected_s=1.0)
            self._count_latency(sent, latency_s, is_whole=True)

    def note_overdue(self, now: float) -> None:
        """Count as slow what should have been answered by now.

        A slow version's answers come late; waited for, only its fast ones would be
        known when it takes over.
        """
        for ticket, sent in list(self._pending.items()):
            if self.latencies.is_slow(sent, now - sent.at):
                self._overdue[ticket] = self._pending.pop(ticket)
                self._count_own(
                    _Key(sent.on_trial, sent.call, Concern.LATENCY), bad=True
                )

    def _count_latency(self, sent: Sent, latency_s: float, *, is_whole: bool) -> None:
        is_slow = self.latencies.is_slow(sent, latency_s)
        if not sent.on_trial:
            self.latencies.learn(sent, latency_s)
        if is_slow is None or (not is_whole and not is_slow):
            return
        self._count_own(_Key(sent.on_trial, sent.call, Concern.LATENCY), bad=is_slow)

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

    def describe(self) -> str:
        """Return for the log how many answers of each version were bad."""
        return " ".join(
            f"{'new' if on_trial else 'old'}_{concern}:{tally.bad}/{tally.seen}"
            for concern in Concern
            for on_trial in (True, False)
            for tally in [self._total.get(_Key(on_trial, WHOLE, concern))]
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
        return any(self._is_worse(key) for key in self._total if key.on_trial)

    def begin_final(self) -> None:
        """Judge what comes from now on also by itself: the load is another one."""
        self._is_final = True
        self._before = {key: (t.seen, t.bad) for key, t in self._total.items()}

    def _is_worse(self, key: _Key) -> bool:
        tally = self._total[key]
        seen, bad = self._before.get(key, (0, 0))
        since = _Tally(seen=tally.seen - seen, bad=tally.bad - bad)
        usual = self._find_usual_rate(key, MARGINS, fades=True)
        final = min(HIGHEST_RATE, usual + FINAL_MARGINS[key.concern])
        return any(
            _is_likelier(usual, lift, tally) or _is_likelier(final, lift, since)
            for lift in LIFTS[key.concern]
        )

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
        if self._is_final and key.concern is Concern.LATENCY:
            # With all of the traffic moved, a burst or a lost server would be held
            # against the new version, and nothing runs on the old one beside it.
            return
        wealth = self._wealth.setdefault(key, Wealth())
        rate = self._find_usual_rate(key, TOLERANCES)
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

    def _find_usual_rate(
        self, key: _Key, margins: Mapping[Concern, float], *, fades: bool = False
    ) -> float:
        """Return the highest rate of bad answers that still counts as usual.

        What is assumed of an unknown version may fade as its answers are counted.
        """
        old = self._total.get(_Key(False, key.call, key.concern))
        seen = (old.seen if old else 0) + PRIOR_SEEN
        prior = PRIOR_BAD * PRIOR_SEEN / seen if fades else PRIOR_BAD
        rate = ((old.bad if old else 0) + prior) / seen
        spread = math.sqrt(rate * (1.0 - rate) / seen)
        return min(HIGHEST_RATE, rate + spread + margins[key.concern])


def _compare(sent: Sent, latency_s: float) -> float:
    """Return the logarithm of a latency against what was expected."""
    expected_s = max(sent.expected_s, LEAST_EXPECTED_S)
    return math.log(max(latency_s, LEAST_EXPECTED_S) / expected_s)


def _is_likelier(usual: float, lift: float, tally: _Tally) -> bool:
    """Tell whether so many bad answers are likelier at a lifted rate than the usual."""
    lifted = usual + lift * (1.0 - usual)
    when_bad = math.log(lifted / usual)
    when_good = math.log((1.0 - lifted) / (1.0 - usual))
    odds = tally.bad * when_bad + (tally.seen - tally.bad) * when_good
    return odds > (0.0 if tally.bad >= LEAST_BAD else math.log(SURE_ODDS))
