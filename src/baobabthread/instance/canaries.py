"""Word of a version on trial, from all instances to the one that leads its roll-out.

Spread by gossip, the counts of two hundred instances go to all of them a dozen times
over, three megabytes a second; one that leads and one that would follow it are enough.
What they conclude goes to all.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from baobabthread.core.rendezvous import rank
from baobabthread.instance.clock import now
from baobabthread.routing.canary import Evidence
from baobabthread.routing.configuration import RolloutState
from baobabthread.routing.exposure import Exposure
from baobabthread.routing.permission import PERMIT_TTL_S
from baobabthread.routing.progress import Progress

LEADER_COUNT = 2
"""Instances that are told: the one that leads, and the next one should it be lost."""
CANDIDATE_COUNT = 4
"""Instances that are told while permits run out, the one that leads included: a third
of all may not reach the store."""
RETRY_DELAY_S = 0.3
"""Time after which a word without an answer is sent once more, if there were answers
before: it may be lost, and among many instances the next one is due late."""
STANDBY_TERM_S = 2.0
"""Time for which they lead as well after they were told of it."""
RENEWAL_FRACTION = 0.5
"""Part of a permit's time that is left when it is renewed, without news as well."""
MAX_EXPIRY_MARGIN_S = 0.9
"""Time before the end of a permit from which on it runs out, at most: words that come
seldom would call for the others each time."""
MIN_REPORT_INTERVAL_S = 0.25
REPORT_INTERVAL_PER_MEMBER_S = 1 / 200
"""Time between two words, and what each member adds to it: a leader hears two hundred
a second at most, some 1.5 % of a core while a roll-out lasts."""
FINAL_INTERVAL_FRACTION = 0.25
"""Part of that time while a version takes over: what fails then must be known before
the old version is stopped."""
MAX_REPORT_INTERVAL_S = 1.5
RESEND_INTERVAL_S = 2.0
"""Time after which a word is sent again though nothing has changed: it may be lost, or
another instance lead by now."""
VERDICT_SEND_COUNT = 3
VERDICT_INTERVAL_S = 0.3
"""How often, and how far apart, a conclusion is told to all."""


class CanaryReport(msgspec.Struct, frozen=True, kw_only=True, tag="trial.word"):
    """Tell the leader how far the sender is and what it has counted."""

    origin: str
    """The sender's incarnation."""
    progress: Progress
    evidence: Evidence
    exposure: Exposure = Exposure()
    sent_at: float = 0.0
    """Time on the sender's clock, which a permit brings back."""
    needs_permit: bool = False
    """Whether the sender's permit is about to run out, or has."""


class CanaryPermit(msgspec.Struct, frozen=True, kw_only=True, tag="trial.permit"):
    """Let an instance go on with a trial: its word was heard and nothing is wrong."""

    progress: Progress
    sent_at: float
    """The time of the word that it answers."""


class CanaryVerdict(msgspec.Struct, frozen=True, kw_only=True, tag="trial.verdict"):
    """Tell all what the leader concludes."""

    progress: Progress


CANARY_MESSAGES = (CanaryReport, CanaryPermit, CanaryVerdict)

SendMessage = Callable[[str, msgspec.Struct], None]
HandleVerdict = Callable[[Progress], None]
HandlePermit = Callable[[CanaryPermit], None]
FindPermit = Callable[[str, int], Progress | None]


class _Verdict(msgspec.Struct):
    progress: Progress
    send_count: int
    sent_at: float


class CanaryCoordinator:
    """Send word to the leaders, and hold what others sent here."""

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
        """When the newest word was sent that a permit has answered."""
        self._resent_at: dict[str, float] = {}
        """When the word was sent that was sent once more."""
        self._permit_needed_at: dict[str, float] = {}
        """When this instance was last told that permits run out."""
        self._reports: dict[str, dict[str, CanaryReport]] = {}
        self._verdicts: dict[str, _Verdict] = {}
        self.handle_verdict: HandleVerdict = lambda progress: None
        self.handle_permit: HandlePermit = lambda permit: None
        self.find_permit: FindPermit = lambda service, number: None
        """Return what to permit about an order; nothing where this one can't tell."""

    def handle(self, sender: str, message: msgspec.Struct) -> None:
        """Take in one of `CANARY_MESSAGES`."""
        match message:
            case CanaryReport():
                self.handle_report(sender, message)
            case CanaryPermit():
                self.handle_permit(message)
            case CanaryVerdict():
                self.handle_verdict(message.progress)

    def set_members(self, names: Sequence[str]) -> None:
        """Note which instances serve, this one included."""
        self._alive = list(names) or [self._me]
        self._candidates.clear()

    def leaders(self, service: str) -> list[str]:
        """Return who leads the roll-outs of a service, and who would next."""
        return self._list_candidates(service)[:LEADER_COUNT]

    def _list_candidates(self, service: str) -> list[str]:
        found = self._candidates.get(service)
        if found is None:
            found = self._candidates[service] = rank(service, self._alive)[
                :CANDIDATE_COUNT
            ]
        return found

    def _needs_permit(self, left_s: float) -> bool:
        return left_s < min(
            MAX_EXPIRY_MARGIN_S, PERMIT_TTL_S - self._choose_interval() - RETRY_DELAY_S
        )

    def is_leader(self, service: str) -> bool:
        """Tell whether this instance leads the roll-outs of a service."""
        return self.leaders(service)[:1] == [self._me]

    def reports(self, service: str, number: int) -> list[CanaryReport]:
        """Return the newest word of each other instance about an order."""
        words = self._reports.get(service, {})
        return [word for word in words.values() if word.progress.number == number]

    def send_report(
        self, report: CanaryReport, *, permit_left_s: float = PERMIT_TTL_S
    ) -> None:
        """Send word to the leaders when it is due, and news or a permit needs it.

        `permit_s` are the seconds until the present permit runs out.
        """
        needs_permit = self._needs_permit(permit_left_s)
        report = msgspec.structs.replace(report, needs_permit=needs_permit)
        service = report.progress.service
        moment = now()
        if self._needs_resend(service, moment):
            self._resent_at[service] = moment
        elif self._is_due(report, moment, permit_left_s):
            self._resent_at.pop(service, None)
        else:
            return
        report = msgspec.structs.replace(report, sent_at=moment)
        self._sent_reports[service] = report
        self._sent_at[service] = moment
        most = CANDIDATE_COUNT if report.needs_permit else LEADER_COUNT
        for name in self._list_candidates(service)[:most]:
            if name != self._me:
                self._send(name, report)

    def _is_due(self, word: CanaryReport, moment: float, permit_s: float) -> bool:
        passed_s = moment - self._sent_at.get(word.progress.service, -1e9)
        if word.needs_permit:
            return passed_s >= RETRY_DELAY_S
        pause_s = self._choose_interval()
        if word.progress.is_final:
            pause_s = max(MIN_REPORT_INTERVAL_S, FINAL_INTERVAL_FRACTION * pause_s)
        if passed_s < pause_s:
            return False
        is_old = (
            passed_s >= RESEND_INTERVAL_S or permit_s < RENEWAL_FRACTION * PERMIT_TTL_S
        )
        return is_old or not self._is_unchanged(word)

    def _needs_resend(self, service: str, moment: float) -> bool:
        """Tell whether the newest word is to be sent once more."""
        sent_at = self._sent_at.get(service)
        answered_at = self._permitted_at.get(service)
        if sent_at is None or answered_at is None or self.is_leader(service):
            return False
        if answered_at >= sent_at or sent_at == self._resent_at.get(service):
            return False
        return moment - sent_at >= RETRY_DELAY_S

    def record_permit(self, service: str, sent_at: float) -> None:
        """Note which word of this instance was answered."""
        self._permitted_at[service] = max(
            sent_at, self._permitted_at.get(service, -1e9)
        )

    def acts_as_leader(self, service: str) -> bool:
        """Tell whether this instance leads, or stands in for the one that does."""
        if self.is_leader(service):
            return True
        if self._me not in self._list_candidates(service):
            return False
        return now() - self._permit_needed_at.get(service, -1e9) < STANDBY_TERM_S

    def handle_report(self, sender: str, report: CanaryReport) -> None:
        """Keep another instance's word, and let it go on if this one leads."""
        self._store_report(report)
        service = report.progress.service
        if report.needs_permit:
            self._permit_needed_at[service] = now()
        if not self.acts_as_leader(service):
            return
        progress = self.find_permit(service, report.progress.number)
        if progress is not None:
            self._send(sender, CanaryPermit(progress=progress, sent_at=report.sent_at))

    def _store_report(self, word: CanaryReport) -> None:
        service = word.progress.service
        theirs = self._reports.setdefault(service, {})
        known = theirs.get(word.origin)
        if known is not None and known.progress.number > word.progress.number:
            return
        theirs[word.origin] = word

    def publish_verdict(self, progress: Progress) -> None:
        """Tell all what this leader concludes, unless it did so before."""
        known = self._verdicts.get(progress.service)
        if known is not None and _is_same(known.progress, progress):
            return
        is_news = progress.alarm or progress.is_suspicious or progress.is_final
        has_ended = progress.state is not RolloutState.RUNNING
        if known is None and not is_news and not has_ended:
            return
        self._verdicts[progress.service] = _Verdict(
            progress=progress, send_count=0, sent_at=-1e9
        )
        self.tick()

    def tick(self) -> None:
        """Tell conclusions again, as datagrams get lost."""
        moment = now()
        for verdict in self._verdicts.values():
            if (
                verdict.send_count >= VERDICT_SEND_COUNT
                or moment - verdict.sent_at < VERDICT_INTERVAL_S
            ):
                continue
            verdict.send_count += 1
            verdict.sent_at = moment
            for name in self._alive:
                if name != self._me:
                    self._send(name, CanaryVerdict(progress=verdict.progress))

    def _choose_interval(self) -> float:
        return min(
            MAX_REPORT_INTERVAL_S,
            max(MIN_REPORT_INTERVAL_S, REPORT_INTERVAL_PER_MEMBER_S * len(self._alive)),
        )

    def _is_unchanged(self, word: CanaryReport) -> bool:
        known = self._sent_reports.get(word.progress.service)
        if known is None:
            return False
        moved = _has_moved(known.progress) == _has_moved(word.progress)
        same = _is_same(known.progress, word.progress)
        counted = (known.evidence, known.exposure) == (word.evidence, word.exposure)
        return same and moved and counted


def _is_same(one: Progress, other: Progress) -> bool:
    return _describe(one) == _describe(other)


def _describe(progress: Progress) -> tuple[object, ...]:
    return (
        progress.number,
        progress.share,
        progress.alarm,
        progress.is_suspicious,
        progress.is_final,
        progress.state,
    )


def _has_moved(progress: Progress) -> bool:
    return progress.share >= 1.0 and progress.old_running == 0
