"""Detectors of versions that turn bad while they keep answering."""

from __future__ import annotations

import abc
from collections import deque
from collections.abc import Mapping

import msgspec

from baobabthread.core.models.selection import Damped
from baobabthread.core.rollouts.detectors import DETECTORS, Alarm, Observation
from baobabthread.core.rollouts.latency import SlowGauge
from baobabthread.core.rollouts.tallies import Concern, Tallies, Tally, TallyKey
from baobabthread.core.rollouts.wealth import LEAST_REFERENCE, Reference, Wealth

__all__ = ["DETECTORS", "BettingDetector", "CountingDetector", "WindowDetector"]

RATING_SHARE = 0.1
BATCH = 32
"""Outcomes of one kind that are weighed together while all goes well."""


TOLERANCES: Mapping[Concern, float] = {
    Concern.QUALITY: 0.02,
    Concern.ERRORS: 0.03,
    Concern.LATENCY: 0.1,
}
"""How much higher than usual the rate of bad outcomes may be."""


class CountingDetector(abc.ABC):
    """Share what the detectors have in common: counts, references and latches."""

    def __init__(self) -> None:
        self._tallies = Tallies()
        self._slow = SlowGauge()
        self._references: dict[TallyKey, Reference] = {}
        self._latched: dict[str, Alarm] = {}
        self._uneventful: dict[TallyKey, int] = {}
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
        if bad or concern is Concern.QUALITY:
            self._flush()
            self._weigh_own(key, seen=1, bad=int(bad))
            return
        # Nearly every request ends well and in time. Weighing each one costs as much
        # as all other decisions on it; what goes well is weighed in batches, before
        # anything bad and before anyone asks.
        self._uneventful[key] = self._uneventful.get(key, 0) + 1
        if self._uneventful[key] >= BATCH:
            self._flush()

    def _flush(self) -> None:
        uneventful, self._uneventful = self._uneventful, {}
        for key, seen in uneventful.items():
            self._weigh_own(key, seen=seen, bad=0)

    def _weigh_own(self, key: TallyKey, *, seen: int, bad: int) -> None:
        tally = self._tallies.count(key, seen=seen, bad=bad)
        if tally is not None:
            self._weigh(tally)

    def evidence(self) -> bytes:
        """Return this entry's counts for its peers."""
        self._flush()
        return self._tallies.pack()

    def merge(self, *, origin: str, evidence: bytes, now: float) -> None:
        """Take in a peer's counts.

        Raises `msgspec.DecodeError` for bytes that are no counts.
        """
        self._flush()
        for tally in self._tallies.merge(origin=origin, evidence=evidence):
            self._weigh(tally)

    def alarms(self, now: float) -> list[Alarm]:
        """Return the alarms; each stands until its version is reset."""
        self._flush()
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

    def damped(self) -> list[Damped]:
        """Return nothing: only an alarm takes requests away."""
        return []

    @abc.abstractmethod
    def _weigh(self, tally: Tally) -> None:
        """Judge what was counted."""

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
CALL_ERRORS = 1.0
"""Standard errors by which the reference of one call is raised."""
WHOLE_ERRORS = 0.7
"""The same for all calls together, whose errors partly cancel out."""
HORIZON = 800.0
"""Outcomes of one trial for which the chance holds."""
SUSPICIOUS = 1.0
"""Suspicion from which a version's answers are rated more often."""
VERY_SUSPICIOUS = 3.0
"""Suspicion from which all its answers are rated and its reference stands still."""
HALVED = 20.0
"""Suspicion from which its share of a roll-out is halved."""
RAISED_SHARE = 0.5
KEPT = 0.25
"""Share of its requests that a very suspicious version still gets."""
NEARLY_SURE = 12.0
"""Suspicion from which it gets still less, since few more ratings are needed."""
LEAST_KEPT = 0.1
COMMON_CAUSE = 1.0
"""Suspicion of another version that makes a failure common to both."""


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
            tolerance = TOLERANCES[key.concern]
            for trial in (own, whole):
                errors = CALL_ERRORS if trial is own else WHOLE_ERRORS
                rate = reference.find_rate(tolerance=tolerance, errors=errors)
                wealth = self._wealth.setdefault(trial, Wealth())
                wealth.bet(seen=tally.seen, bad=tally.bad, rate=rate, stake=1.0)
                self._judge(trial, wealth.value)
        # A version under suspicion must not teach that its bad answers are usual.
        if self._find_suspicion(own) < VERY_SUSPICIOUS:
            reference.add(seen=tally.seen, bad=tally.bad)

    def _find_suspicion(self, trial: _Trial) -> float:
        wealth = self._wealth.get(trial)
        return wealth.suspicion if wealth is not None else 0.0

    def _judge(self, trial: _Trial, gain: float) -> None:
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
        return any(self._find_suspicion(each) >= COMMON_CAUSE for each in others)

    def rating_share(self, version: str, call: str) -> float:
        """Return more than the usual share when the version is suspected."""
        suspicion = max(
            self._find_suspicion(_Trial(version, call, Concern.QUALITY)),
            self._find_suspicion(_Trial(version, None, Concern.QUALITY)),
        )
        if suspicion >= VERY_SUSPICIOUS:
            return 1.0
        return RAISED_SHARE if suspicion >= SUSPICIOUS else RATING_SHARE

    def traffic_factor(self, version: str) -> float:
        """Return a half when the version is strongly suspected, 0 after an alarm."""
        if version in self._latched:
            return 0.0
        suspicions = (
            wealth.suspicion
            for trial, wealth in self._wealth.items()
            if trial.version == version
        )
        return 0.5 if max(suspicions, default=0.0) >= HALVED else 1.0

    def damped(self) -> list[Damped]:
        """Return what is suspected so far that fewer callers should meet it."""
        return [
            Damped(
                version=trial.version,
                call=trial.call,
                kept=LEAST_KEPT if wealth.suspicion >= NEARLY_SURE else KEPT,
            )
            for trial, wealth in self._wealth.items()
            if wealth.suspicion >= VERY_SUSPICIOUS and not self._has_common_cause(trial)
        ]


WINDOW = 50
"""Newest outcomes that the window holds."""
RISE = 0.193
"""Rise of the rate of bad outcomes over its reference that alarms."""
CALL_WINDOW = 30
CALL_RISE = 0.296
"""The same for each call alone."""


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

    def __init__(
        self,
        *,
        size: int = WINDOW,
        rise: float = RISE,
        call_size: int = CALL_WINDOW,
        call_rise: float = CALL_RISE,
        rating_share: float = RATING_SHARE,
    ) -> None:
        super().__init__()
        self._rating_share = rating_share
        self._size = size
        self._rise = rise
        self._call_size = call_size
        self._call_rise = call_rise
        self._windows: dict[_Trial, _Window] = {}

    def reset(self, version: str, *, old: str | None = None) -> None:
        """Forget a version that was published anew."""
        super().reset(version, old=old)
        for trial in [each for each in self._windows if each.version == version]:
            del self._windows[trial]

    def rating_share(self, version: str, call: str) -> float:
        """Return a fixed share."""
        return self._rating_share

    def _weigh(self, tally: Tally) -> None:
        key = tally.key
        reference = self._find_reference(key)
        if reference.seen >= LEAST_REFERENCE:
            rate = reference.find_rate(tolerance=0.0, errors=CALL_ERRORS)
            for call in (key.call, None):
                trial = _Trial(key.version, call, key.concern)
                size = self._size if call is None else self._call_size
                window = self._windows.setdefault(trial, _Window())
                window.add(seen=tally.seen, bad=tally.bad, rate=rate, size=size)
                self._judge(trial, window, size)
        reference.add(seen=tally.seen, bad=tally.bad)

    def _judge(self, trial: _Trial, window: _Window, size: int) -> None:
        if window.seen < size:
            return
        rise = (window.bad - window.usual) / window.seen
        if rise >= (self._rise if trial.call is None else self._call_rise):
            evidence = f"{window.bad} of the last {window.seen} were bad"
            self._latch(trial.version, trial.call, trial.concern, evidence)
