"""What all instances have sent in each roll-out, at those that lead it."""

from __future__ import annotations

from collections.abc import Sequence

from baobabthread.routing.coldness import Population
from baobabthread.routing.exposure import Exposure, Totals
from baobabthread.routing.progress import Progress
from baobabthread.routing.versions import VersionPlan

KNOWN_S = 3.0
"""Time from which on sessions may begin on the new version though some instances have
not told that they know of its servers: they would send those to the old one."""
SEEN_PART = 0.9
"""Part of the instances that must serve for sessions to begin there: those that are cut
off may have them in use."""
HEARD_PART = 0.5
"""Part of the instances that must be heard before a version takes over: each of several
groups that don't hear each other would let it take over by its own sums."""


class TrialSums:
    """Add up by order what instances tell, and how many of them do."""

    __slots__ = (
        "_alive",
        "_begun",
        "_heard",
        "_most_alive",
        "_population",
        "_totals",
    )

    def __init__(self) -> None:
        self._population = Population()
        self._alive = 1
        self._totals: dict[int, Totals] = {}
        self._most_alive: dict[int, int] = {}
        """Most instances that served at once since an order."""
        self._heard: dict[int, int] = {}
        """Other instances that have told of it."""
        self._begun: dict[int, int] = {}
        """Those of them that know servers of the new version."""

    def note_members(self, names: Sequence[str], now: float) -> None:
        """Note which instances serve, this one included."""
        self._alive = max(1, len(names))
        self._population.note(names, now)

    def count(
        self,
        plan: VersionPlan,
        told: Sequence[tuple[Progress, Exposure]],
        now: float,
    ) -> None:
        """Take in the newest word of each other instance."""
        assert plan.order is not None
        counts = [exposure for _, exposure in told]
        number = plan.order.number
        self._heard[number] = len(told)
        self._begun[number] = sum(progress.has_begun for progress, _ in told)
        self._most_alive[number] = max(self._alive, self._most_alive.get(number, 0))
        totals = self.find(plan)
        counts.append(plan.exposure.report())
        totals.note(counts, now, known=plan.known_total)
        plan.known_total = totals.total

    def find(self, plan: VersionPlan) -> Totals:
        """Return the sums of a plan's order."""
        assert plan.order is not None
        totals = self._totals.get(plan.order.number)
        if totals is None:
            totals = self._totals[plan.order.number] = Totals(bounds=plan.bounds)
        return totals

    def admits(self, plan: VersionPlan, now: float) -> bool:
        """Tell whether further sessions may begin on the new version."""
        assert plan.order is not None
        number = plan.order.number
        if self._alive < SEEN_PART * self._most_alive.get(number, 0):
            return False
        has_all = 1 + self._begun.get(number, 0) >= self._alive
        if plan.ready_s(now) < KNOWN_S and not has_all:
            return False
        return self.find(plan).may_admit(
            elapsed_s=plan.elapsed(now),
            left_s=plan.left_s(now),
            trial_share=plan.trial_share,
        )

    def hears_enough(self, plan: VersionPlan, now: float) -> bool:
        """Tell whether enough instances are heard to let the version take over."""
        assert plan.order is not None
        heard = 1 + self._heard.get(plan.order.number, 0)
        return heard >= HEARD_PART * self._population.count(now)

    def find_end_part(self, plan: VersionPlan, now: float) -> float:
        """Return the requests that each instance may decide on until the limit."""
        requests = self.find(plan).find_end_room(
            elapsed_s=plan.elapsed(now), left_s=plan.left_s(now)
        )
        return requests / self._alive
