"""Agreement of all instances on the requests that are held back.

Whoever sees a crash tells the few instances that judge the service's crashes; what the
first of them concludes goes to all, and is written to the store by the one that holds
it first. After that neighbours compare their lists once a second, so that an instance
that started, or was cut off, knows within some three seconds. Where nothing is held and
nothing crashes, nothing is sent.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import msgspec

from baobabthread.core.rendezvous import rank
from baobabthread.instance.clock import now
from baobabthread.logs import log_event
from baobabthread.routing.crashes import Crash, CrashLedger, IsOnTrial, Suspect
from baobabthread.routing.quarantine import FindVersions, Held, Quarantine

JUDGES = 3
"""Instances that are told of a service's crashes. Where the only one stands still or is
lost as well, the request crashes the next servers; two stand in for it."""
TURN_S = 0.15
"""Time by which each judge waits longer than the one before it."""
TELL_TIMES = 3
TELL_S = 0.15
"""How often, and how far apart, an entry is told to all: datagrams get lost."""
COMPARE_S = 1.0
NEIGHBOURS = 2
"""How often lists are compared, and with how many: 80 bytes a second for each one."""
ASK_S = 0.2
"""Time between two questions of an instance that has just started."""
ALONE_S = 2.5
"""Time after its start in which it hears the list from a peer; then it reads the store
itself. All of two hundred would otherwise read it at a start of all."""
WRITE_TURN_S = 2.0
"""Time by which each judge waits longer than the one before it to write an entry."""


class CompareHeld(msgspec.Struct, frozen=True, kw_only=True, tag="quarantine.compare"):
    """Tell what the sender's list is, for one that has another one to answer."""

    digest: int
    asks: bool = False
    """Whether the sender has just started and needs an answer in any case."""


class HeldAre(msgspec.Struct, frozen=True, kw_only=True, tag="quarantine.are"):
    """Tell entries, all of them or the newest."""

    entries: list[Held]
    is_complete: bool = False
    """Whether these are all that the sender knows and it was told what is stored."""
    wants_reply: bool = False


QUARANTINE_MESSAGES = (Crash, CompareHeld, HeldAre)

Tell = Callable[[str, msgspec.Struct], None]


class _Telling(msgspec.Struct):
    held: Held
    told: int
    told_at: float


class QuarantineDesk:
    """Judge crashes, tell what is held, and hear it from others."""

    def __init__(self, *, me: str, tell: Tell) -> None:
        self._me = me
        self._tell = tell
        self._rng = random.Random(me)
        self._alive: list[str] = [me]
        self._neighbours: list[str] = []
        self._judges: dict[str, list[str]] = {}
        self._ledger = CrashLedger(find_delay=self._find_delay)
        self._telling: dict[str, _Telling] = {}
        self._compared_at = -1e9
        self._asked_at = -1e9
        self._started_at = now()
        self.quarantine = Quarantine()
        self.unwritten: dict[str, float] = {}
        """Entries that the store may lack, and when this instance writes them."""
        self.knows_all = False
        """Whether it was told what is stored, by the store or by a peer that was."""
        self.is_on_trial: IsOnTrial = lambda service, version: False
        self.find_versions: FindVersions = lambda service: ()
        self.was_answered: Callable[[str], bool] = lambda fingerprint: False
        self.on_unproven: Callable[[str, str], None] = lambda service, version: None
        """Take in that a version which answered nobody of late crashed."""
        self.on_held: Callable[[str], None] = lambda fingerprint: None

    def set_members(self, names: Sequence[str]) -> None:
        """Note which instances serve, this one included."""
        self._alive = list(names) or [self._me]
        self._judges.clear()
        ring = sorted({*self._alive, self._me})
        at = ring.index(self._me)
        following = ring[at + 1 :] + ring[:at]
        self._neighbours = following[:NEIGHBOURS]

    @property
    def holds_any(self) -> bool:
        """Tell whether any request is held, or was of late."""
        return len(self.quarantine) > 0

    def find(self, fingerprint: str) -> Held | None:
        """Return how a request is held, if it is."""
        return self.quarantine.find(fingerprint, self.find_versions, now())

    @property
    def must_read(self) -> bool:
        """Tell whether no peer told in time what is stored."""
        return not self.knows_all and now() - self._started_at > ALONE_S

    # -- crashes --

    def report(self, crash: Crash) -> None:
        """Tell the judges of a crash that was seen here."""
        for name in self._find_judges(crash.service):
            if name == self._me:
                self._ledger.take(crash, now())
            else:
                self._tell(name, crash)

    def take_crash(self, crash: Crash) -> None:
        """Take in a crash that another instance saw."""
        self._ledger.take(crash, now())
        for fingerprint in (*crash.fresh, *crash.older):
            if self.was_answered(fingerprint):
                self._ledger.clear(fingerprint)

    def _find_judges(self, service: str) -> list[str]:
        judges = self._judges.get(service)
        if judges is None:
            judges = rank(f"crashes/{service}", self._alive)[:JUDGES]
            self._judges[service] = judges
        return judges

    def _find_delay(self, service: str) -> float:
        judges = self._find_judges(service)
        place = judges.index(self._me) if self._me in judges else JUDGES
        return TURN_S * place

    def _judge(self, moment: float) -> None:
        if not self._ledger.is_due(moment):
            return
        suspects = self._ledger.judge(
            moment,
            held=self.quarantine.names(moment),
            relapsed=self.quarantine.relapsed(moment),
            is_on_trial=self.is_on_trial,
        )
        for suspect in suspects:
            self._hold(suspect, moment)
        held = self.quarantine.names(moment)
        for service, version in self._ledger.count_unproven(moment, held):
            # One judge counts it: a crash that all instances saw is one bad sign.
            if self._find_judges(service)[:1] == [self._me]:
                self.on_unproven(service, version)

    def _hold(self, suspect: Suspect, moment: float) -> None:
        fingerprint = suspect.fingerprint
        held = self.quarantine.hold(
            fingerprint, suspect.service, suspect.versions, moment
        )
        log_event(
            "request_held",
            level="warning",
            fingerprint=fingerprint,
            service=suspect.service,
            crashed=",".join(suspect.backends),
            times=held.times,
            hold_s=held.left_s,
            only_versions=",".join(suspect.versions),
        )
        self._spread(held)

    # -- the list --

    def note_answered(self, fingerprint: str) -> None:
        """Let a request go that was answered whole though it is held."""
        if self.holds_any and self.find(fingerprint) is not None:
            self.clear(fingerprint)

    def clear(self, fingerprint: str) -> None:
        """Let a request go that was answered whole though it is held."""
        self._ledger.clear(fingerprint)
        cleared = self.quarantine.clear(fingerprint, now())
        if cleared is not None:
            log_event("request_let_go", fingerprint=fingerprint, why="answered")
            self._spread(cleared)

    def take(self, sender: str, word: HeldAre) -> None:
        """Take over entries, and answer with what the sender lacks."""
        moment = now()
        self.learn(word.entries, source=sender)
        if word.is_complete:
            self.knows_all = True
        if not word.wants_reply:
            return
        theirs = {each.fingerprint: each.number for each in word.entries}
        lacking = [
            held
            for held in self.quarantine.list(moment)
            if theirs.get(held.fingerprint, (0, False)) < held.number
        ]
        if lacking:
            self._tell(sender, HeldAre(entries=lacking))

    def compare(self, sender: str, word: CompareHeld) -> None:
        """Answer one that has another list."""
        if not word.asks and word.digest == self.quarantine.digest:
            return
        entries = self.quarantine.list(now())
        self._tell(
            sender,
            HeldAre(
                entries=entries,
                is_complete=self.knows_all,
                wants_reply=not word.asks,
            ),
        )

    def learn(self, entries: Sequence[Held], *, source: str) -> None:
        """Take over entries from a peer or from the store."""
        moment = now()
        for held in entries:
            if not self.quarantine.take(held, moment):
                continue
            log_event(
                "request_held_heard",
                fingerprint=held.fingerprint,
                times=held.times,
                left_s=held.left_s,
                is_cleared=held.is_cleared,
                source=source,
            )
            self._note_news(held)

    def tick(self) -> None:
        """Judge, tell, compare and ask, as is due."""
        moment = now()
        self._judge(moment)
        self._tell_again(moment)
        if not self.knows_all and moment - self._asked_at >= ASK_S:
            self._asked_at = moment
            self._ask()
        if moment - self._compared_at < COMPARE_S:
            return
        self._compared_at = moment
        for held in self.quarantine.expire(moment):
            self._plan_writing(held.fingerprint, held.service)
        if len(self.quarantine):
            word = CompareHeld(digest=self.quarantine.digest)
            for name in self._neighbours:
                self._tell(name, word)

    def _ask(self) -> None:
        others = [name for name in self._alive if name != self._me]
        if others:
            word = CompareHeld(digest=self.quarantine.digest, asks=True)
            self._tell(self._rng.choice(others), word)

    def _note_news(self, held: Held) -> None:
        if held.is_cleared:
            self._ledger.clear(held.fingerprint)
        elif self.was_answered(held.fingerprint):
            self.clear(held.fingerprint)
            return
        else:
            self.on_held(held.fingerprint)
        self._plan_writing(held.fingerprint, held.service)

    def _spread(self, held: Held) -> None:
        self._telling[held.fingerprint] = _Telling(held=held, told=0, told_at=-1e9)
        # May let it go at once, which is told in its place then.
        self._note_news(held)
        self._tell_again(now())

    def _tell_again(self, moment: float) -> None:
        for fingerprint, telling in list(self._telling.items()):
            if moment - telling.told_at < TELL_S:
                continue
            if telling.told >= TELL_TIMES:
                del self._telling[fingerprint]
                continue
            telling.told += 1
            telling.told_at = moment
            for name in self._alive:
                if name != self._me:
                    self._tell(name, HeldAre(entries=[telling.held]))

    def _plan_writing(self, fingerprint: str, service: str) -> None:
        judges = self._find_judges(service)
        if self._me in judges:
            wait_s = WRITE_TURN_S * judges.index(self._me)
            self.unwritten[fingerprint] = now() + wait_s
