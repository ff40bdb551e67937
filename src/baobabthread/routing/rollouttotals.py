"""Totals of what all instances have sent in each roll-out, kept by its leaders."""

from __future__ import annotations

from collections.abc import Sequence

from baobabthread.core.positions import OperatorsPosition
from baobabthread.routing.exposure import Exposure, ExposureTotals
from baobabthread.routing.progress import Progress
from baobabthread.routing.servers.warmup import SenderCount
from baobabthread.routing.versions import VersionPlan

ADMIT_WITHOUT_ALL_S = 3.0
"""Time since the new version got servers after which sessions may begin on it although
some instances do not report them yet: those would send the sessions to the old version.
"""
MIN_SERVING_FRACTION = 0.9
"""Fraction of the most instances that served since the order that must be serving for
sessions to begin on the new version: those that are cut off may have the sessions in
use."""
MIN_REPORTING_FRACTION = 0.5
"""Fraction of the instances that must be reporting before a promotion. Otherwise each
side of a network partition would promote by its own totals."""


class RolloutTotals:
    """Sums the reports of the instances for each order and counts who reports."""

    __slots__ = (
        "_max_serving",
        "_population",
        "_reporting",
        "_serving",
        "_totals",
        "_with_target_servers",
    )

    def __init__(self) -> None:
        self._population = SenderCount()
        self._serving = 1
        self._totals: dict[OperatorsPosition, ExposureTotals] = {}
        self._max_serving: dict[OperatorsPosition, int] = {}
        """Maximum number of instances serving at once since an order."""
        self._reporting: dict[OperatorsPosition, int] = {}
        """Number of other instances that have reported on an order."""
        self._with_target_servers: dict[OperatorsPosition, int] = {}
        """Number of those that know servers of the new version."""

    def update_members(self, names: Sequence[str], now: float) -> None:
        """Update the instances that are serving, including this one."""
        self._serving = max(1, len(names))
        self._population.record(names, now)

    def update(
        self,
        plan: VersionPlan,
        reports: Sequence[tuple[Progress, Exposure]],
        now: float,
    ) -> None:
        """Apply the latest report of each other instance."""
        assert plan.order is not None
        counts = [exposure for _, exposure in reports]
        number = plan.order.number
        self._reporting[number] = len(reports)
        self._with_target_servers[number] = sum(
            progress.has_target_servers for progress, _ in reports
        )
        self._max_serving[number] = max(self._serving, self._max_serving.get(number, 0))
        totals = self.find(plan)
        counts.append(plan.exposure.report())
        totals.record(counts, now, known=plan.known_exposure)
        plan.known_exposure = totals.total

    def find(self, plan: VersionPlan) -> ExposureTotals:
        """Return the totals for the order of a plan."""
        assert plan.order is not None
        totals = self._totals.get(plan.order.number)
        if totals is None:
            totals = self._totals[plan.order.number] = ExposureTotals(
                bounds=plan.bounds
            )
        return totals

    def may_admit(self, plan: VersionPlan, now: float) -> bool:
        """Return whether further sessions may begin on the new version."""
        assert plan.order is not None
        number = plan.order.number
        if self._serving < MIN_SERVING_FRACTION * self._max_serving.get(number, 0):
            return False
        all_have_servers = 1 + self._with_target_servers.get(number, 0) >= self._serving
        if plan.ready_s(now) < ADMIT_WITHOUT_ALL_S and not all_have_servers:
            return False
        return self.find(plan).may_admit(
            elapsed_s=plan.elapsed(now),
            left_s=plan.left_s(now),
            canary_share=plan.canary_share,
        )

    def has_quorum(self, plan: VersionPlan, now: float) -> bool:
        """Return whether enough instances report for the version to be promoted."""
        assert plan.order is not None
        reporting = 1 + self._reporting.get(plan.order.number, 0)
        return reporting >= MIN_REPORTING_FRACTION * self._population.count(now)

    def find_final_quota(self, plan: VersionPlan, now: float) -> float:
        """Return the requests that each instance may admit until the time limit."""
        requests = self.find(plan).find_final_budget(
            elapsed_s=plan.elapsed(now), left_s=plan.left_s(now)
        )
        return requests / self._serving
