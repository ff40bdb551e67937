"""Detectors of versions that turn bad while they keep answering."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import Protocol

import msgspec

from baobabthread.core.registry import Registry
from baobabthread.core.tallies import Concern, Tallies, Tally, TallyKey
from baobabthread.core.wealth import LEAST_REFERENCE, Reference, Wealth

RATING_SHARE = 0.1


class Observation(msgspec.Struct, frozen=True, kw_only=True):
    """Report one outcome of a version; what is unknown stays None."""

    version: str
    call: str
    after: str = ""
    """The version turned down just before; empty for the first attempt."""
    good: bool | None = None
    """The rating, when one arrived."""
    error: bool | None = None
    """Whether the attempt failed, when it ended just now."""
    latency_s: float | None = None
    """Time to the first token, or per token: not growing with the answer's length."""


class Alarm(msgspec.Struct, frozen=True, kw_only=True):
    """Report that a version turned bad."""

    version: str
    call: str | None
    """The one kind of call that is bad, or None for all."""
    reason: Concern
    evidence: str
    """The figures, for people."""


class Detector(Protocol):
    """Watch the versions of one service at one entry."""

    def observe(self, observation: Observation, *, now: float) -> None:
        """Take in an outcome seen here."""

    def evidence(self) -> bytes:
        """Return this entry's counts for its peers."""

    def merge(self, *, origin: str, evidence: bytes, now: float) -> None:
        """Take in a peer's counts; `origin` names its incarnation."""

    def alarms(self, now: float) -> list[Alarm]:
        """Return the alarms; each stands until its version is reset."""

    def reset(self, version: str, *, old: str | None = None) -> None:
        """Forget a version that was published anew.

        `old` names the version whose past quality it is compared with.
        """

    def rating_share(self, version: str, call: str) -> float:
        """Return the share of the version's answers to have rated."""

    def traffic_factor(self, version: str) -> float:
        """Return what to multiply the version's share of a roll-out by."""


class DetectorFactory(Protocol):
    """Build a detector for one service."""

    def __call__(self) -> Detector:
        """Return a detector that has seen nothing."""


DETECTORS: Registry[DetectorFactory] = Registry(what="detector")

TOLERANCES: Mapping[Concern, float] = {
    Concern.QUALITY: 0.02,
    Concern.ERRORS: 0.03,
    Concern.LATENCY: 0.1,
}
"""How much higher than usual the rate of bad outcomes may be."""
SLOW_FACTOR = 2.5
"""An answer is slow when it takes so many times the usual."""
LATENCY_MEMORY = 500.0


class SlowGauge:
    """Tell slow answers from usual ones, by a running mean of each call."""

    __slots__ = ("_usual",)

    def __init__(self) -> None:
        self._usual: dict[tuple[str, str], tuple[float, float]] = {}

    def judge(self, version: str, call: str, latency_s: float) -> bool:
        """Return whether an answer was slow, and count it towards the usual."""
        mean, seen = self._usual.get((version, call), (latency_s, 0.0))
        slow = latency_s > SLOW_FACTOR * mean
        seen = min(seen + 1, LATENCY_MEMORY)
        # One stuck answer would lift the mean so far that the next ones pass as usual.
        bounded = min(latency_s, SLOW_FACTOR * mean)
        self._usual[version, call] = (mean + (bounded - mean) / seen, seen)
        return slow

    def forget(self, version: str) -> None:
        """Drop what is usual for a version."""
        kept = {key: usual for key, usual in self._usual.items() if key[0] != version}
        self._usual = kept


class CountingDetector:
    """Share what the detectors have in common: counts, references and latches."""

    def __init__(self) -> None:
        self._tallies = Tallies()
        self._slow = SlowGauge()
        self._references: dict[TallyKey, Reference] = {}
        self._latched: dict[str, Alarm] = {}
        self._old: dict[str, str] = {}

    def observe(self, observation: Observation, *, now: float) -> None:
        """Take in an outcome seen here."""
        if observation.good is not None:
            self._count(observation, Concern.QUALITY, bad=not observation.good)
        if observation.error is not None:
            self._count(observation, Concern.ERRORS, bad=observation.error)
        if observation.latency_s is not None:
            slow = self._slow.judge(
                observation.version, observation.call, observation.latency_s
            )
            self._count(observation, Concern.LATENCY, bad=slow)

    def _count(self, observation: Observation, concern: Concern, *, bad: bool) -> None:
        key = TallyKey(
            observation.version, observation.call, observation.after, concern
        )
        tally = self._tallies.count(key, bad=bad)
        if tally is not None:
            self._weigh(tally)

    def evidence(self) -> bytes:
        """Return this entry's counts for its peers."""
        return self._tallies.pack()

    def merge(self, *, origin: str, evidence: bytes, now: float) -> None:
        """Take in a peer's counts.

        Raises `msgspec.DecodeError` for bytes that are no counts.
        """
        for tally in self._tallies.merge(origin=origin, evidence=evidence):
            self._weigh(tally)

    def alarms(self, now: float) -> list[Alarm]:
        """Return the alarms; each stands until its version is reset."""
        return list(self._latched.values())

    def reset(self, version: str, *, old: str | None = None) -> None:
        """Forget a version that was published anew."""
        self._latched.pop(version, None)
        self._slow.forget(version)
        if old is not None:
            self._old[version] = old
        for key in [key for key in self._references if key.version == version]:
            del self._references[key]

    def rating_share(self, version: str, call: str) -> float:
        """Return the usual share."""
        return RATING_SHARE

    def traffic_factor(self, version: str) -> float:
        """Return 1, or 0 after an alarm."""
        return 0.0 if version in self._latched else 1.0

    def _weigh(self, tally: Tally) -> None:
        raise NotImplementedError

    def _find_reference(self, key: TallyKey) -> Reference:
        reference = self._references.get(key)
        if reference is None:
            reference = self._references[key] = self._inherit(key)
        return reference

    def _inherit(self, key: TallyKey) -> Reference:
        """Return a new version's reference: the past of the one it replaces."""
        old = self._old.get(key.version)
        if old is None:
            return Reference()
        known = self._references.get(
            TallyKey(old, key.call, key.after, key.concern), Reference()
        )
        return known.copy(most=INHERITED)

    def _latch(
        self, version: str, call: str | None, reason: Concern, evidence: str
    ) -> None:
        # The evidence falls again once the version gets no more traffic. An alarm that
        # ended with it would bring the bad version back and quarantine it again.
        if version not in self._latched:
            self._latched[version] = Alarm(
                version=version, call=call, reason=reason, evidence=evidence
            )


INHERITED = 400.0
"""Outcomes of the old version that a new one is compared with at first."""


class _Trial(msgspec.Struct, frozen=True):
    """Name one bet: a version, one call of it or all, and what may be bad."""

    version: str
    call: str | None
    concern: Concern


FALSE_ALARMS = 0.01
"""Chance of a false alarm within the horizon, over all trials of the service."""
HORIZON = 2000.0
"""Outcomes of one trial for which the chance holds."""
SUSPICIOUS = 20.0
"""Stakes won from which a version's answers are rated more often."""
VERY_SUSPICIOUS = 200.0
"""Stakes won from which all its answers are rated."""
HALVED = 2000.0
"""Stakes won from which its share of a roll-out is halved."""
RAISED_SHARE = 0.5
COMMON_CAUSE = 20.0
"""Stakes won by another version that make a failure common to both."""


@DETECTORS.register("betting")
class BettingDetector(CountingDetector):
    """Bet against each version's usual rates and alarm when the bets win.

    The bets of all calls of a version share one wealth, and each call has its own, so
    that a slight drop everywhere and a deep one in one call both show early.
    """

    def __init__(self) -> None:
        super().__init__()
        self._wealth: dict[_Trial, Wealth] = {}

    def reset(self, version: str, *, old: str | None = None) -> None:
        """Forget a version that was published anew."""
        super().reset(version, old=old)
        for trial in [each for each in self._wealth if each.version == version]:
            del self._wealth[trial]

    def _weigh(self, tally: Tally) -> None:
        key = tally.key
        reference = self._find_reference(key)
        own = _Trial(key.version, key.call, key.concern)
        whole = _Trial(key.version, None, key.concern)
        if reference.seen >= LEAST_REFERENCE:
            rate = reference.find_rate(tolerance=TOLERANCES[key.concern])
            for trial in (own, whole):
                wealth = self._wealth.setdefault(trial, Wealth())
                wealth.bet(seen=tally.seen, bad=tally.bad, rate=rate, stake=1.0)
                self._judge(trial)
        # A version under suspicion must not teach that its bad answers are usual.
        if self._find_gain(own) < VERY_SUSPICIOUS:
            reference.add(seen=tally.seen, bad=tally.bad)

    def _find_gain(self, trial: _Trial) -> float:
        """Return how many stakes a bet has won."""
        wealth = self._wealth.get(trial)
        return wealth.value if wealth is not None else 0.0

    def _judge(self, trial: _Trial) -> None:
        gain = self._find_gain(trial)
        needed = max(1, len(self._wealth)) * HORIZON / FALSE_ALARMS
        if gain < needed or self._has_common_cause(trial):
            return
        evidence = f"the bet won {gain:.3g} stakes of {needed:.3g} needed"
        self._latch(trial.version, trial.call, trial.concern, evidence)

    def _has_common_cause(self, trial: _Trial) -> bool:
        # Overload and lost backend servers make all versions slow or failing at once;
        # quarantining them one by one would take the service down. Ratings are of
        # the answer itself, so a bad rating is never the pool's fault.
        if trial.concern is Concern.QUALITY:
            return False
        others = [
            each
            for each in self._wealth
            if each.version != trial.version and each.concern is trial.concern
        ]
        if not others:
            return True
        return any(self._find_gain(each) >= COMMON_CAUSE for each in others)

    def rating_share(self, version: str, call: str) -> float:
        """Return more than the usual share when the version is suspected."""
        gain = max(
            self._find_gain(_Trial(version, call, Concern.QUALITY)),
            self._find_gain(_Trial(version, None, Concern.QUALITY)),
        )
        if gain >= VERY_SUSPICIOUS:
            return 1.0
        return RAISED_SHARE if gain >= SUSPICIOUS else RATING_SHARE

    def traffic_factor(self, version: str) -> float:
        """Return a half when the version is strongly suspected, 0 after an alarm."""
        if version in self._latched:
            return 0.0
        gains = (
            self._find_gain(trial)
            for trial in self._wealth
            if trial.version == version and trial.call is None
        )
        return 0.5 if max(gains, default=0.0) >= HALVED else 1.0


WINDOW = 150
"""Newest outcomes that the window holds."""
RISE = 0.12
"""Rise of the rate of bad outcomes over its reference that alarms."""


class _Window:
    __slots__ = ("bad", "outcomes", "seen", "usual")

    def __init__(self) -> None:
        self.outcomes: deque[tuple[int, int, float]] = deque()
        self.seen = 0
        self.bad = 0
        self.usual = 0.0

    def add(self, *, seen: int, bad: int, rate: float, size: int) -> None:
        self.outcomes.append((seen, bad, rate * seen))
        self.seen += seen
        self.bad += bad
        self.usual += rate * seen
        while self.outcomes and self.seen - self.outcomes[0][0] >= size:
            old_seen, old_bad, old_usual = self.outcomes.popleft()
            self.seen -= old_seen
            self.bad -= old_bad
            self.usual -= old_usual


@DETECTORS.register("window")
class WindowDetector(CountingDetector):
    """Compare the rate over a fixed window with the usual one: the baseline."""

    def __init__(self, *, size: int = WINDOW, rise: float = RISE) -> None:
        super().__init__()
        self._size = size
        self._rise = rise
        self._windows: dict[_Trial, _Window] = {}

    def reset(self, version: str, *, old: str | None = None) -> None:
        """Forget a version that was published anew."""
        super().reset(version, old=old)
        for trial in [each for each in self._windows if each.version == version]:
            del self._windows[trial]

    def _weigh(self, tally: Tally) -> None:
        key = tally.key
        reference = self._find_reference(key)
        if reference.seen >= LEAST_REFERENCE:
            rate = reference.find_rate(tolerance=0.0)
            for call in (key.call, None):
                trial = _Trial(key.version, call, key.concern)
                window = self._windows.setdefault(trial, _Window())
                window.add(seen=tally.seen, bad=tally.bad, rate=rate, size=self._size)
                self._judge(trial, window)
        reference.add(seen=tally.seen, bad=tally.bad)

    def _judge(self, trial: _Trial, window: _Window) -> None:
        if window.seen < self._size:
            return
        rise = (window.bad - window.usual) / window.seen
        if rise >= self._rise:
            evidence = f"{window.bad} of the last {window.seen} were bad"
            self._latch(trial.version, trial.call, trial.concern, evidence)
