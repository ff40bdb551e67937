"""Reports on a canary version, from all instances to the leader of its roll-out.

By gossip, the counts of two hundred instances would reach each of them a dozen times,
at three megabytes a second. They are therefore sent only to the leader and the instance
next in line. The leader's verdicts are sent to all.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from baobabthread.core.positions import OperatorsPosition
from baobabthread.core.rendezvous import rank
from baobabthread.instance.clock import now
from baobabthread.routing.canary import Evidence
from baobabthread.routing.configuration import RolloutState
from baobabthread.routing.exposure import Exposure
from baobabthread.routing.permission import PERMIT_TTL_S
from baobabthread.routing.progress import Progress

LEADER_COUNT = 2
"""Instances that receive reports: the leader, and the next one in case it fails."""
CANDIDATE_COUNT = 4
"""Instances that receive reports while permits are about to expire, including the
leader: a third of all instances may be unable to reach the store."""
RETRY_DELAY_S = 0.3
"""Time after which an unanswered report is sent once more, if earlier ones were
answered: it may be lost, and with many instances the next report is due late."""
STANDBY_TERM_S = 2.0
"""Time for which standbys act as leader after a report that needs a permit."""
RENEWAL_FRACTION = 0.5
"""Remaining fraction of its lifetime at which a permit is renewed without changes."""
MAX_EXPIRY_MARGIN_S = 0.9
"""Longest remaining lifetime at which a permit counts as about to expire: if it were
longer, infrequent reports would involve the standbys each time."""
MIN_REPORT_INTERVAL_S = 0.25
REPORT_INTERVAL_PER_MEMBER_S = 1 / 200
"""Interval between reports, and its increment per member: a leader receives at most two
hundred reports a second, about 1.5 % of a core during a roll-out."""
FINAL_INTERVAL_FRACTION = 0.25
"""Fraction of the interval in the final phase: failures in that phase must be known
before the old version is stopped."""
MAX_REPORT_INTERVAL_S = 1.5
RESEND_INTERVAL_S = 2.0
"""Time after which an unchanged report is sent again: it may be lost, or another
instance may have become the leader."""
VERDICT_SEND_COUNT = 3
VERDICT_INTERVAL_S = 0.3
"""Number of times a verdict is sent to all instances, and the interval between them."""


class CanaryReport(msgspec.Struct, frozen=True, kw_only=True, tag="trial.word"):
    """Report the sender's progress and counts to the leader."""

    origin: str
    """The sender's incarnation."""
    progress: Progress
    evidence: Evidence
    exposure: Exposure = Exposure()
    sent_at: float = 0.0
    """Time on the sender's clock, which a permit returns."""
    needs_permit: bool = False
    """Whether the sender's permit is about to expire or has expired."""


class CanaryPermit(msgspec.Struct, frozen=True, kw_only=True, tag="trial.permit"):
    """Permit an instance to continue with a canary, in reply to its report.

    If the roll-out has ended, the progress states its final state instead.
    """

    progress: Progress
    sent_at: float
    """Time of the report that the permit answers."""


class CanaryVerdict(msgspec.Struct, frozen=True, kw_only=True, tag="trial.verdict"):
    """Send the leader's conclusions to all instances."""

    progress: Progress


CANARY_MESSAGES = (CanaryReport, CanaryPermit, CanaryVerdict)

SendMessage = Callable[[str, msgspec.Struct], None]
HandleVerdict = Callable[[Progress], None]
HandlePermit = Callable[[CanaryPermit], None]
FindPermit = Callable[[str, OperatorsPosition], Progress | None]


class _Verdict(msgspec.Struct):
    progress: Progress
    send_count: int
    sent_at: float


class CanaryCoordinator:
    """Send reports to the leaders and keep the reports received from others."""

    __slots__ = (
        "_alive",
        "_candidates",
        "_me",
        "_permit_needed_at",
        "_permitted_at",
        "_reports",
        "_resent_at",
        "_send",
        "_sent_at",
        "_sent_reports",
        "_verdicts",
        "find_permit",
        "handle_permit",
        "handle_verdict",
    )

    def __init__(self, *, me: str, send: SendMessage) -> None:
        self._me = me
        self._send = send
        self._alive: list[str] = [me]
        self._candidates: dict[str, list[str]] = {}
        self._sent_reports: dict[str, CanaryReport] = {}
        self._sent_at: dict[str, float] = {}
        self._permitted_at: dict[str, float] = {}
        """Send time of the newest report answered with a permit, by service."""
        self._resent_at: dict[str, float] = {}
        """Time at which the last report was sent once more, by service."""
        self._permit_needed_at: dict[str, float] = {}
        """Time of the last received report that needs a permit, by service."""
        self._reports: dict[str, dict[str, CanaryReport]] = {}
        self._verdicts: dict[str, _Verdict] = {}
        self.handle_verdict: HandleVerdict = lambda progress: None
        self.handle_permit: HandlePermit = lambda permit: None
        self.find_permit: FindPermit = lambda service, number: None
        """Return the progress to permit for a service's order; None if unconfirmed."""

    def handle(self, sender: str, message: msgspec.Struct) -> None:
        """Handle one of `CANARY_MESSAGES`."""
        match message:
            case CanaryReport():
                self.handle_report(sender, message)
            case CanaryPermit():
                self.handle_permit(message)
            case CanaryVerdict():
                self.handle_verdict(message.progress)

    def set_members(self, names: Sequence[str]) -> None:
        """Update the names of the serving instances, including this one."""
        self._alive = list(names) or [self._me]
        self._candidates.clear()

    def leaders(self, service: str) -> list[str]:
        """Return the leader of a service's roll-outs and the instance next in line."""
        return self._list_candidates(service)[:LEADER_COUNT]

    def find_rank(self, service: str) -> int | None:
        """Return this instance's rank among the candidates for the lead, 0 first."""
        candidates = self._list_candidates(service)
        return candidates.index(self._me) if self._me in candidates else None

    def _list_candidates(self, service: str) -> list[str]:
        candidates = self._candidates.get(service)
        if candidates is None:
            candidates = self._candidates[service] = rank(service, self._alive)[
                :CANDIDATE_COUNT
            ]
        return candidates

    def _needs_permit(self, left_s: float) -> bool:
        return left_s < min(
            MAX_EXPIRY_MARGIN_S, PERMIT_TTL_S - self._choose_interval() - RETRY_DELAY_S
        )

    def is_leader(self, service: str) -> bool:
        """Return whether this instance leads the roll-outs of a service."""
        return self.leaders(service)[:1] == [self._me]

    def reports(self, service: str, number: OperatorsPosition) -> list[CanaryReport]:
        """Return the newest report of each other instance on an order."""
        by_origin = self._reports.get(service, {})
        return [
            report for report in by_origin.values() if report.progress.number == number
        ]

    def send_report(
        self, report: CanaryReport, *, permit_left_s: float = PERMIT_TTL_S
    ) -> None:
        """Send a report to the leaders if it is due.

        A report is due when something has changed or a permit has to be renewed.
        `permit_left_s` is the time in seconds until the current permit expires.
        """
        needs_permit = self._needs_permit(permit_left_s)
        report = msgspec.structs.replace(report, needs_permit=needs_permit)
        service = report.progress.service
        now_s = now()
        if self._needs_resend(service, now_s):
            self._resent_at[service] = now_s
        elif self._is_due(report, now_s, permit_left_s):
            self._resent_at.pop(service, None)
        else:
            return
        report = msgspec.structs.replace(report, sent_at=now_s)
        self._sent_reports[service] = report
        self._sent_at[service] = now_s
        count = CANDIDATE_COUNT if report.needs_permit else LEADER_COUNT
        for name in self._list_candidates(service)[:count]:
            if name != self._me:
                self._send(name, report)

    def _is_due(self, report: CanaryReport, now_s: float, permit_left_s: float) -> bool:
        elapsed_s = now_s - self._sent_at.get(report.progress.service, -1e9)
        if report.needs_permit:
            return elapsed_s >= RETRY_DELAY_S
        interval_s = self._choose_interval()
        if report.progress.is_final:
            interval_s = max(
                MIN_REPORT_INTERVAL_S, FINAL_INTERVAL_FRACTION * interval_s
            )
        if elapsed_s < interval_s:
            return False
        is_renewal_due = (
            elapsed_s >= RESEND_INTERVAL_S
            or permit_left_s < RENEWAL_FRACTION * PERMIT_TTL_S
        )
        return is_renewal_due or not self._is_unchanged(report)

    def _needs_resend(self, service: str, now_s: float) -> bool:
        """Return whether the newest report has to be sent once more."""
        sent_at = self._sent_at.get(service)
        permitted_at = self._permitted_at.get(service)
        if sent_at is None or permitted_at is None or self.is_leader(service):
            return False
        if permitted_at >= sent_at or sent_at == self._resent_at.get(service):
            return False
        return now_s - sent_at >= RETRY_DELAY_S

    def record_permit(self, service: str, sent_at: float) -> None:
        """Record the send time of a report that was answered with a permit."""
        self._permitted_at[service] = max(
            sent_at, self._permitted_at.get(service, -1e9)
        )

    def acts_as_leader(self, service: str) -> bool:
        """Return whether this instance is the leader or acts as its standby."""
        if self.is_leader(service):
            return True
        if self._me not in self._list_candidates(service):
            return False
        return now() - self._permit_needed_at.get(service, -1e9) < STANDBY_TERM_S

    def handle_report(self, sender: str, report: CanaryReport) -> None:
        """Store another instance's report, and send a permit if acting as leader."""
        self._store_report(report)
        service = report.progress.service
        if report.needs_permit:
            self._permit_needed_at[service] = now()
        if not self.acts_as_leader(service):
            return
        progress = self.find_permit(service, report.progress.number)
        if progress is not None:
            self._send(sender, CanaryPermit(progress=progress, sent_at=report.sent_at))

    def _store_report(self, report: CanaryReport) -> None:
        service = report.progress.service
        by_origin = self._reports.setdefault(service, {})
        previous = by_origin.get(report.origin)
        if previous is not None and previous.progress.number > report.progress.number:
            return
        by_origin[report.origin] = report

    def publish_verdict(self, progress: Progress) -> None:
        """Send this leader's conclusions to all instances.

        Nothing is sent if they are unchanged, or before there is any conclusion.
        """
        previous = self._verdicts.get(progress.service)
        if previous is not None and _is_equivalent(previous.progress, progress):
            return
        is_notable = progress.alarm or progress.is_suspicious or progress.is_final
        has_ended = progress.state is not RolloutState.RUNNING
        if previous is None and not is_notable and not has_ended:
            return
        self._verdicts[progress.service] = _Verdict(
            progress=progress, send_count=0, sent_at=-1e9
        )
        self.tick()

    def tick(self) -> None:
        """Send verdicts again, since datagrams may be lost."""
        now_s = now()
        for verdict in self._verdicts.values():
            if (
                verdict.send_count >= VERDICT_SEND_COUNT
                or now_s - verdict.sent_at < VERDICT_INTERVAL_S
            ):
                continue
            verdict.send_count += 1
            verdict.sent_at = now_s
            for name in self._alive:
                if name != self._me:
                    self._send(name, CanaryVerdict(progress=verdict.progress))

    def _choose_interval(self) -> float:
        return min(
            MAX_REPORT_INTERVAL_S,
            max(MIN_REPORT_INTERVAL_S, REPORT_INTERVAL_PER_MEMBER_S * len(self._alive)),
        )

    def _is_unchanged(self, report: CanaryReport) -> bool:
        previous = self._sent_reports.get(report.progress.service)
        if previous is None:
            return False
        same_migration = _has_migrated(previous.progress) == _has_migrated(
            report.progress
        )
        same_progress = _is_equivalent(previous.progress, report.progress)
        same_counts = (previous.evidence, previous.exposure) == (
            report.evidence,
            report.exposure,
        )
        return same_progress and same_migration and same_counts


def _is_equivalent(one: Progress, other: Progress) -> bool:
    return _comparison_key(one) == _comparison_key(other)


def _comparison_key(progress: Progress) -> tuple[object, ...]:
    return (
        progress.number,
        progress.share,
        progress.alarm,
        progress.is_suspicious,
        progress.is_final,
        progress.state,
    )


def _has_migrated(progress: Progress) -> bool:
    return progress.share >= 1.0 and progress.old_running == 0
