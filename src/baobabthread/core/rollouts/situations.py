"""What a conductor knows of its engines and of a roll-out's new version."""

from __future__ import annotations

from collections import Counter

import msgspec

from baobabthread.core.configuration.configuration import (
    EMPTY,
    Configuration,
    VersionState,
)
from baobabthread.core.rollouts.conducting import Situation
from baobabthread.core.rollouts.detectors import Detector
from baobabthread.core.rollouts.orders import Target
from baobabthread.core.rollouts.rollout import Phase, PlannedRollout, RolloutFold

READY_SHARE = 0.5
"""Share of a service's capacity that must have the new version loaded."""


class RolloutStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a roll-out to operators."""

    rollout: str
    service: str
    old: str
    new: str
    phase: Phase
    step: int
    share: float
    conductor: str
    fence: int
    held_here: bool


class Situations:
    """Gather load reports and ratings, and see each roll-out in their light."""

    __slots__ = ("_fold", "_rated_before", "configuration", "loaded", "rated")

    def __init__(self, *, fold: RolloutFold) -> None:
        self._fold = fold
        self._rated_before: dict[str, int] = {}
        self.configuration: Configuration = EMPTY
        self.loaded: dict[str, frozenset[str]] = {}
        """Versions that each backend server last reported."""
        self.rated: Counter[str] = Counter()
        """Ratings of each version, at all entries, since the start."""

    def list_steps(self) -> dict[str, int]:
        """Return the step in force of each unfinished roll-out."""
        lives = ((p.id, self._fold.life(p.id)) for p in self._fold.unfinished())
        return {id_: life.step for id_, life in lives if life is not None}

    def note_steps(self, before: dict[str, int]) -> None:
        """Count the ratings of a step from its beginning."""
        for planned in self._fold.unfinished():
            life = self._fold.life(planned.id)
            if life is not None and before.get(planned.id) != life.step:
                self._rated_before[planned.id] = self.rated[planned.plan.new]

    def look(
        self, planned: PlannedRollout, *, detector: Detector, now: float
    ) -> Situation:
        """Return what a conductor sees of a roll-out's new version."""
        plan = planned.plan
        alarms = [alarm for alarm in detector.alarms(now) if alarm.version == plan.new]
        before = self._rated_before.get(planned.id, 0)
        return Situation(
            ready=self._is_ready(plan.service, plan.new),
            state=self.configuration.versions[plan.new].state,
            barred=any(b.version == plan.new for b in self._fold.quarantined()),
            alarm=f"{alarms[0].reason}: {alarms[0].evidence}" if alarms else None,
            suspected=detector.traffic_factor(plan.new) < 1.0,
            outcomes=self.rated[plan.new] - before,
        )

    def _is_ready(self, service: str, version: str) -> bool:
        backends = {
            name: backend.capacity
            for name, backend in self.configuration.backends.items()
            if backend.service == service
        }
        loaded = sum(
            capacity
            for name, capacity in backends.items()
            if version in self.loaded.get(name, ())
        )
        return loaded >= READY_SHARE * sum(backends.values()) > 0

    def find_target(self, service: str, *, everywhere: bool) -> Target:
        """Return which versions each engine shall have."""
        versions = self.configuration.versions
        added = [
            planned.plan.new
            for planned in self._fold.planned(service)
            if not self._is_rolled_back(planned)
        ]
        desired = {}
        for name, backend in self.configuration.backends.items():
            if backend.service != service:
                continue
            wanted = dict.fromkeys([*backend.versions, *added])
            desired[name] = [
                version
                for version in wanted
                if versions[version].state is not VersionState.WITHDRAWN
            ]
        # The engines are the second barrier to a withdrawn version. Unloading it while
        # an entry still sends to it would only turn its requests into refusals.
        withdrawn = [
            name
            for name, version in versions.items()
            if everywhere and version.state is VersionState.WITHDRAWN
        ]
        return Target(
            generation=self.configuration.generation,
            desired=desired,
            withdrawn=withdrawn,
        )

    def _is_rolled_back(self, planned: PlannedRollout) -> bool:
        life = self._fold.life(planned.id)
        return life is not None and life.phase is Phase.ROLLED_BACK
