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
from baobabthread.routing.crashes import Crash, CrashAnalysis, IsCanary, Suspect
from baobabthread.routing.quarantine import FindVersions, Quarantine, QuarantineEntry

OWNER_COUNT = 3
"""Instances that are told of a service's crashes. Where the only one stands still or is
lost as well, the request crashes the next servers; two stand in for it."""
OWNER_STAGGER_S = 0.15
"""Time by which each judge waits longer than the one before it."""
PUBLISH_ATTEMPTS = 3
PUBLISH_INTERVAL_S = 0.15
"""How often, and how far apart, an entry is told to all: datagrams get lost."""
COMPARE_INTERVAL_S = 1.0
NEIGHBOUR_COUNT = 2
"""How often lists are compared, and with how many: 80 bytes a second for each one."""
QUERY_INTERVAL_S = 0.2
"""Time between two questions of an instance that has just started."""
PEER_LIST_TIMEOUT_S = 2.5
"""Time after its start in which it hears the list from a peer; then it reads the store
itself. All of two hundred would otherwise read it at a start of all."""
WRITE_STAGGER_S = 2.0
"""Time by which each judge waits longer than the one before it to write an entry."""


class QuarantineDigest(
    msgspec.Struct, frozen=True, kw_only=True, tag="quarantine.compare"
):
    """Tell what the sender's list is, for one that has another one to answer."""

    digest: int
    asks: bool = False
    """Whether the sender has just started and needs an answer in any case."""


class QuarantineEntries(
    msgspec.Struct, frozen=True, kw_only=True, tag="quarantine.are"
):
    """Tell entries, all of them or the newest."""

    entries: list[QuarantineEntry]
    is_complete: bool = False
    """Whether these are all that the sender knows and it was told what is stored."""
    wants_reply: bool = False


QUARANTINE_MESSAGES = (Crash, QuarantineDigest, QuarantineEntries)

SendMessage = Callable[[str, msgspec.Struct], None]


class _Publication(msgspec.Struct):
    entry: QuarantineEntry
    sent_count: int
    sent_at: float


class QuarantineCoordinator:
    """Judge crashes, tell what is held, and hear it from others."""

    def __init__(self, *, me: str, send: SendMessage) -> None:
        self._me = me
        self._send = send
        self._rng = random.Random(me)
        self._members: list[str] = [me]
        self._neighbours: list[str] = []
        self._owners: dict[str, list[str]] = {}
        self._ledger = CrashAnalysis(find_delay=self._find_delay)
        self._publications: dict[str, _Publication] = {}
        self._compared_at = -1e9
        self._queried_at = -1e9
        self._started_at = now()
        self.quarantine = Quarantine()
        self.unwritten: dict[str, float] = {}
        """Entries that the store may lack, and when this instance writes them."""
        self.has_complete_list = False
        """Whether it was told what is stored, by the store or by a peer that was."""
        self.is_canary: IsCanary = lambda service, version: False
        self.find_versions: FindVersions = lambda service: ()
        self.was_answered: Callable[[str], bool] = lambda fingerprint: False
        self.on_unproven_crash: Callable[[str, str], None] = lambda service, version: (
            None
        )
        """Take in that a version which answered nobody of late crashed."""
        self.on_quarantined: Callable[[str], None] = lambda fingerprint: None

    def set_members(self, names: Sequence[str]) -> None:
        """Note which instances serve, this one included."""
        self._members = list(names) or [self._me]
        self._owners.clear()
        ring = sorted({*self._members, self._me})
        at = ring.index(self._me)
        following = ring[at + 1 :] + ring[:at]
        self._neighbours = following[:NEIGHBOUR_COUNT]

    @property
    def has_entries(self) -> bool:
        """Tell whether any request is held, or was of late."""
        return len(self.quarantine) > 0

    def find(self, fingerprint: str) -> QuarantineEntry | None:
        """Return how a request is held, if it is."""
        return self.quarantine.find(fingerprint, self.find_versions, now())

    @property
    def must_read_store(self) -> bool:
        """Tell whether no peer told in time what is stored."""
        return (
            not self.has_complete_list
            and now() - self._started_at > PEER_LIST_TIMEOUT_S
        )

    # -- crashes --

    def report_crash(self, crash: Crash) -> None:
        """Tell the judges of a crash that was seen here."""
        for name in self._find_owners(crash.service):
            if name == self._me:
                self._ledger.record(crash, now())
            else:
                self._send(name, crash)

    def handle_crash(self, crash: Crash) -> None:
        """Take in a crash that another instance saw."""
        self._ledger.record(crash, now())
        for fingerprint in (*crash.fresh, *crash.older):
            if self.was_answered(fingerprint):
                self._ledger.clear(fingerprint)

    def _find_owners(self, service: str) -> list[str]:
        judges = self._owners.get(service)
        if judges is None:
            judges = rank(f"crashes/{service}", self._members)[:OWNER_COUNT]
            self._owners[service] = judges
        return judges

    def _find_delay(self, service: str) -> float:
        judges = self._find_owners(service)
        place = judges.index(self._me) if self._me in judges else OWNER_COUNT
        return OWNER_STAGGER_S * place

    def _evaluate_crashes(self, moment: float) -> None:
        if not self._ledger.is_due(moment):
            return
        suspects = self._ledger.find_suspects(
            moment,
            quarantined=self.quarantine.quarantined(moment),
            previously_quarantined=self.quarantine.previously_quarantined(moment),
            is_canary=self.is_canary,
        )
        for suspect in suspects:
            self._quarantine_suspect(suspect, moment)
        held = self.quarantine.quarantined(moment)
        for service, version in self._ledger.list_unproven_crashes(moment, held):
            # One judge counts it: a crash that all instances saw is one bad sign.
            if self._find_owners(service)[:1] == [self._me]:
                self.on_unproven_crash(service, version)

    def _quarantine_suspect(self, suspect: Suspect, moment: float) -> None:
        fingerprint = suspect.fingerprint
        held = self.quarantine.add(
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
        self._publish(held)

    # -- the list --

    def release_answered(self, fingerprint: str) -> None:
        """Let a request go that was answered whole though it is held."""
        if self.has_entries and self.find(fingerprint) is not None:
            self.release(fingerprint)

    def release(self, fingerprint: str) -> None:
        """Let a request go that was answered whole though it is held."""
        self._ledger.clear(fingerprint)
        cleared = self.quarantine.release(fingerprint, now())
        if cleared is not None:
            log_event("request_let_go", fingerprint=fingerprint, why="answered")
            self._publish(cleared)

    def handle_entries(self, sender: str, message: QuarantineEntries) -> None:
        """Take over entries, and answer with what the sender lacks."""
        moment = now()
        self.apply_entries(message.entries, source=sender)
        if message.is_complete:
            self.has_complete_list = True
        if not message.wants_reply:
            return
        theirs = {each.fingerprint: each.precedence for each in message.entries}
        lacking = [
            held
            for held in self.quarantine.list(moment)
            if theirs.get(held.fingerprint, (0, False)) < held.precedence
        ]
        if lacking:
            self._send(sender, QuarantineEntries(entries=lacking))

    def handle_digest(self, sender: str, message: QuarantineDigest) -> None:
        """Answer one that has another list."""
        if not message.asks and message.digest == self.quarantine.digest:
            return
        entries = self.quarantine.list(now())
        self._send(
            sender,
            QuarantineEntries(
                entries=entries,
                is_complete=self.has_complete_list,
                wants_reply=not message.asks,
            ),
        )

    def apply_entries(self, entries: Sequence[QuarantineEntry], *, source: str) -> None:
        """Take over entries from a peer or from the store."""
        moment = now()
        for held in entries:
            if not self.quarantine.apply(held, moment):
                continue
            log_event(
                "request_held_heard",
                fingerprint=held.fingerprint,
                times=held.times,
                left_s=held.left_s,
                is_cleared=held.is_cleared,
                source=source,
            )
            self._process_change(held)

    def tick(self) -> None:
        """Judge, tell, compare and ask, as is due."""
        moment = now()
        self._evaluate_crashes(moment)
        self._publish_due(moment)
        if not self.has_complete_list and moment - self._queried_at >= QUERY_INTERVAL_S:
            self._queried_at = moment
            self._query_peer()
        if moment - self._compared_at < COMPARE_INTERVAL_S:
            return
        self._compared_at = moment
        for held in self.quarantine.expire(moment):
            self._schedule_write(held.fingerprint, held.service)
        if len(self.quarantine):
            word = QuarantineDigest(digest=self.quarantine.digest)
            for name in self._neighbours:
                self._send(name, word)

    def _query_peer(self) -> None:
        others = [name for name in self._members if name != self._me]
        if others:
            word = QuarantineDigest(digest=self.quarantine.digest, asks=True)
            self._send(self._rng.choice(others), word)

    def _process_change(self, held: QuarantineEntry) -> None:
        if held.is_cleared:
            self._ledger.clear(held.fingerprint)
        elif self.was_answered(held.fingerprint):
            self.release(held.fingerprint)
            return
        else:
            self.on_quarantined(held.fingerprint)
        self._schedule_write(held.fingerprint, held.service)

    def _publish(self, held: QuarantineEntry) -> None:
        self._publications[held.fingerprint] = _Publication(
            entry=held, sent_count=0, sent_at=-1e9
        )
        # May let it go at once, which is told in its place then.
        self._process_change(held)
        self._publish_due(now())

    def _publish_due(self, moment: float) -> None:
        for fingerprint, telling in list(self._publications.items()):
            if moment - telling.sent_at < PUBLISH_INTERVAL_S:
                continue
            if telling.sent_count >= PUBLISH_ATTEMPTS:
                del self._publications[fingerprint]
                continue
            telling.sent_count += 1
            telling.sent_at = moment
            for name in self._members:
                if name != self._me:
                    self._send(name, QuarantineEntries(entries=[telling.entry]))

    def _schedule_write(self, fingerprint: str, service: str) -> None:
        judges = self._find_owners(service)
        if self._me in judges:
            wait_s = WRITE_STAGGER_S * judges.index(self._me)
            self.unwritten[fingerprint] = now() + wait_s
