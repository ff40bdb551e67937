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

LEADERS = 2
"""Instances that are told: the one that leads, and the next one should it be lost."""
STAND_INS = 4
"""Instances that are told while permits run out, the one that leads included: a third
of all may not reach the store."""
RETRY_S = 0.3
"""Time after which a word without an answer is sent once more, if there were answers
before: it may be lost, and among many instances the next one is due late."""
STAND_IN_S = 2.0
"""Time for which they lead as well after they were told of it."""
RENEW_PART = 0.5
"""Part of a permit's time that is left when it is renewed, without news as well."""
NEED_S = 0.9
"""Time before the end of a permit from which on it runs out, at most: words that come
seldom would call for the others each time."""
TELL_S = 0.25
TELL_BY_MEMBER_S = 1 / 200
"""Time between two words, and what each member adds to it: a leader hears two hundred
a second at most, some 1.5 % of a core while a roll-out lasts."""
END_PART = 0.25
"""Part of that time while a version takes over: what fails then must be known before
the old version is stopped."""
MOST_TELL_S = 1.5
REPEAT_S = 2.0
"""Time after which a word is sent again though nothing has changed: it may be lost, or
another instance lead by now."""
VERDICT_TIMES = 3
VERDICT_S = 0.3
"""How often, and how far apart, a conclusion is told to all."""


class TrialWord(msgspec.Struct, frozen=True, kw_only=True, tag="trial.word"):
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


class TrialPermit(msgspec.Struct, frozen=True, kw_only=True, tag="trial.permit"):
    """Let an instance go on with a trial: its word was heard and nothing is wrong."""

    progress: Progress
    sent_at: float
    """The time of the word that it answers."""


class TrialVerdict(msgspec.Struct, frozen=True, kw_only=True, tag="trial.verdict"):
    """Tell all what the leader concludes."""

    progress: Progress


TRIAL_MESSAGES = (TrialWord, TrialPermit, TrialVerdict)

Tell = Callable[[str, msgspec.Struct], None]
TakeVerdict = Callable[[Progress], None]
TakePermit = Callable[[TrialPermit], None]
FindPermit = Callable[[str, int], Progress | None]


class _Verdict(msgspec.Struct):
    progress: Progress
    told: int
    told_at: float


class TrialDesk:
    """Send word to the leaders, and hold what others sent here."""

    __slots__ = (
        "_alive",
        "_answered",
        "_leaders",
        "_me",
        "_needed_at",
        "_repeated",
        "_sent",
        "_sent_at",
        "_tell",
        "_verdicts",
        "_words",
        "find_permit",
        "take_permit",
        "take_verdict",
    )

    def __init__(self, *, me: str, tell: Tell) -> None:
        self._me = me
        self._tell = tell
        self._alive: list[str] = [me]
        self._leaders: dict[str, list[str]] = {}
        self._sent: dict[str, TrialWord] = {}
        self._sent_at: dict[str, float] = {}
        self._answered: dict[str, float] = {}
        """When the newest word was sent that a permit has answered."""
        self._repeated: dict[str, float] = {}
        """When the word was sent that was sent once more."""
        self._needed_at: dict[str, float] = {}
        """When this instance was last told that permits run out."""
        self._words: dict[str, dict[str, TrialWord]] = {}
        self._verdicts: dict[str, _Verdict] = {}
        self.take_verdict: TakeVerdict = lambda progress: None
        self.take_permit: TakePermit = lambda permit: None
        self.find_permit: FindPermit = lambda service, number: None
        """Return what to permit about an order; nothing where this one can't tell."""

    def handle(self, sender: str, message: msgspec.Struct) -> None:
        """Take in one of `TRIAL_MESSAGES`."""
        match message:
            case TrialWord():
                self.take(sender, message)
            case TrialPermit():
                self.take_permit(message)
            case TrialVerdict():
                self.take_verdict(message.progress)

    def set_members(self, names: Sequence[str]) -> None:
        """Note which instances serve, this one included."""
        self._alive = list(names) or [self._me]
        self._leaders.clear()

    def leaders(self, service: str) -> list[str]:
        """Return who leads the roll-outs of a service, and who would next."""
        return self._rank(service)[:LEADERS]

    def _rank(self, service: str) -> list[str]:
        found = self._leaders.get(service)
        if found is None:
            found = self._leaders[service] = rank(service, self._alive)[:STAND_INS]
        return found

    def _needs_permit(self, left_s: float) -> bool:
        return left_s < min(NEED_S, PERMIT_TTL_S - self._choose_pause() - RETRY_S)

    def leads(self, service: str) -> bool:
        """Tell whether this instance leads the roll-outs of a service."""
        return self.leaders(service)[:1] == [self._me]

    def words(self, service: str, number: int) -> list[TrialWord]:
        """Return the newest word of each other instance about an order."""
        words = self._words.get(service, {})
        return [word for word in words.values() if word.progress.number == number]

    def tell(self, word: TrialWord, *, permit_s: float = PERMIT_TTL_S) -> None:
        """Send word to the leaders when it is due, and news or a permit needs it.

        `permit_s` are the seconds until the present permit runs out.
        """
        needs_permit = self._needs_permit(permit_s)
        word = msgspec.structs.replace(word, needs_permit=needs_permit)
        service = word.progress.service
        moment = now()
        if self._is_unanswered(service, moment):
            self._repeated[service] = moment
        elif self._is_due(word, moment, permit_s):
            self._repeated.pop(service, None)
        else:
            return
        word = msgspec.structs.replace(word, sent_at=moment)
        self._sent[service] = word
        self._sent_at[service] = moment
        most = STAND_INS if word.needs_permit else LEADERS
        for name in self._rank(service)[:most]:
            if name != self._me:
                self._tell(name, word)

    def _is_due(self, word: TrialWord, moment: float, permit_s: float) -> bool:
        passed_s = moment - self._sent_at.get(word.progress.service, -1e9)
        if word.needs_permit:
            return passed_s >= RETRY_S
        pause_s = self._choose_pause()
        if word.progress.is_final:
            pause_s = max(TELL_S, END_PART * pause_s)
        if passed_s < pause_s:
            return False
        is_old = passed_s >= REPEAT_S or permit_s < RENEW_PART * PERMIT_TTL_S
        return is_old or not self._is_known(word)

    def _is_unanswered(self, service: str, moment: float) -> bool:
        """Tell whether the newest word is to be sent once more."""
        sent_at = self._sent_at.get(service)
        answered_at = self._answered.get(service)
        if sent_at is None or answered_at is None or self.leads(service):
            return False
        if answered_at >= sent_at or sent_at == self._repeated.get(service):
            return False
        return moment - sent_at >= RETRY_S

    def note_permit(self, service: str, sent_at: float) -> None:
        """Note which word of this instance was answered."""
        self._answered[service] = max(sent_at, self._answered.get(service, -1e9))

    def acts(self, service: str) -> bool:
        """Tell whether this instance leads, or stands in for the one that does."""
        if self.leads(service):
            return True
        if self._me not in self._rank(service):
            return False
        return now() - self._needed_at.get(service, -1e9) < STAND_IN_S

    def take(self, sender: str, word: TrialWord) -> None:
        """Keep another instance's word, and let it go on if this one leads."""
        self._keep(word)
        service = word.progress.service
        if word.needs_permit:
            self._needed_at[service] = now()
        if not self.acts(service):
            return
        progress = self.find_permit(service, word.progress.number)
        if progress is not None:
            self._tell(sender, TrialPermit(progress=progress, sent_at=word.sent_at))

    def _keep(self, word: TrialWord) -> None:
        service = word.progress.service
        theirs = self._words.setdefault(service, {})
        known = theirs.get(word.origin)
        if known is not None and known.progress.number > word.progress.number:
            return
        theirs[word.origin] = word

    def conclude(self, progress: Progress) -> None:
        """Tell all what this leader concludes, unless it did so before."""
        known = self._verdicts.get(progress.service)
        if known is not None and _is_same(known.progress, progress):
            return
        is_news = progress.alarm or progress.is_suspicious or progress.is_final
        has_ended = progress.state is not RolloutState.RUNNING
        if known is None and not is_news and not has_ended:
            return
        self._verdicts[progress.service] = _Verdict(
            progress=progress, told=0, told_at=-1e9
        )
        self.tick()

    def tick(self) -> None:
        """Tell conclusions again, as datagrams get lost."""
        moment = now()
        for verdict in self._verdicts.values():
            if verdict.told >= VERDICT_TIMES or moment - verdict.told_at < VERDICT_S:
                continue
            verdict.told += 1
            verdict.told_at = moment
            for name in self._alive:
                if name != self._me:
                    self._tell(name, TrialVerdict(progress=verdict.progress))

    def _choose_pause(self) -> float:
        return min(MOST_TELL_S, max(TELL_S, TELL_BY_MEMBER_S * len(self._alive)))

    def _is_known(self, word: TrialWord) -> bool:
        known = self._sent.get(word.progress.service)
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
