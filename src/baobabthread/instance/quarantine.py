"""Shared quarantine of requests and prompt parts that crash backend servers.

An instance that detects a crash reports it to the few instances that own the service's
crashes. They ask all instances for answers to requests that were present at several
crashes, which clears innocent ones. The first owner to reach a conclusion publishes it
to all instances and writes it to the store. Neighbours then compare their lists once a
second, so that an instance that has just started, or was partitioned, is up to date
within about three seconds. Nothing is sent while nothing is quarantined and no server
crashes.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Sequence

import msgspec

from baobabthread.core.rendezvous import rank
from baobabthread.instance.clock import now
from baobabthread.instance.probation import Trials
from baobabthread.instance.suspicion import (
    NEVER,
    REPLY_DELAY_S,
    SUSPICION_MESSAGES,
    FeaturesAnswered,
    SuspectsQuery,
    SuspectWatch,
    Suspicion,
)
from baobabthread.logs import log_event
from baobabthread.routing.crashes import (
    CountBackends,
    Crash,
    CrashAnalysis,
    IsCanary,
    Suspect,
    SuspectedFeature,
)
from baobabthread.routing.fingerprints import is_part, join_features, split_features
from baobabthread.routing.quarantine import FindVersions, Quarantine, QuarantineEntry

OWNER_COUNT = 3
"""Instances that receive a service's crashes: one owner and two standbys. With a single
owner that is stalled or lost, the request would go on to crash more servers."""
OWNER_STAGGER_S = 0.15
"""Additional delay before each further owner evaluates crashes."""
PUBLISH_ATTEMPTS = 3
PUBLISH_INTERVAL_S = 0.15
"""How often, and at which interval, an entry is sent to all: datagrams may get lost."""
EVALUATION_INTERVAL_S = 0.1
"""Shortest time between two evaluations, which many crashes and answers call for."""
REPORT_INTERVAL_S = 0.05
"""Time after which a crash is reported once more."""
COMPARE_INTERVAL_S = 1.0
NEIGHBOUR_COUNT = 2
"""Interval and number of neighbours of list comparisons: 80 bytes/s per neighbour."""
QUERY_INTERVAL_S = 0.2
"""Interval between queries of an instance that has just started."""
PEER_LIST_TIMEOUT_S = 2.5
"""Time after the start to wait for a peer's list before reading the store. Without it,
a simultaneous start of two hundred instances would make all of them read the store."""
WRITE_STAGGER_S = 2.0
"""Additional delay before each further owner writes an entry to the store."""


class QuarantineDigest(
    msgspec.Struct, frozen=True, kw_only=True, tag="quarantine.compare"
):
    """Announce the digest of the sender's list; peers with another list reply."""

    digest: int
    asks: bool = False
    """Whether the sender has just started and needs a reply in any case."""


class QuarantineEntries(
    msgspec.Struct, frozen=True, kw_only=True, tag="quarantine.are"
):
    """Carry the complete list of the sender, or entries that the receiver may lack."""

    entries: list[QuarantineEntry]
    is_complete: bool = False
    """Whether these are all entries of a sender whose list includes the stored ones."""
    wants_reply: bool = False


QUARANTINE_MESSAGES = (
    Crash,
    QuarantineDigest,
    QuarantineEntries,
    *SUSPICION_MESSAGES,
)

SendMessage = Callable[[str, msgspec.Struct], None]


class _Report(msgspec.Struct, frozen=True):
    crash: Crash
    sent_at: float


class _Publication(msgspec.Struct):
    entry: QuarantineEntry
    sent_count: int
    sent_at: float


class QuarantineCoordinator:
    """Evaluate crashes and keep the quarantine consistent among instances."""

    def __init__(self, *, me: str, send: SendMessage) -> None:
        self._me = me
        self._send = send
        self._rng = random.Random(me)
        self._members: list[str] = [me]
        self._neighbours: list[str] = []
        self._owners: dict[str, list[str]] = {}
        self._analysis = CrashAnalysis(
            find_delay=self._find_delay,
            count_backends=lambda service, crashed: self.count_backends(
                service, crashed
            ),
        )
        self._evaluate_at = float("inf")
        """When crashes are evaluated again, as replies have arrived by then."""
        self._evaluated_at = -1e9
        self._trials = Trials()
        self._reports: list[_Report] = []
        """Reports of crashes that were sent only once."""
        self._publications: dict[str, _Publication] = {}
        self._compared_at = -1e9
        self._queried_at = -1e9
        self._started_at = now()
        self.quarantine = Quarantine()
        self.unwritten: dict[str, float] = {}
        """Fingerprints of entries that the store may lack, and when to write them."""
        self.has_complete_list = False
        """Whether the stored entries are known, from the store or an informed peer."""
        self.is_canary: IsCanary = lambda service, version: False
        self.find_versions: FindVersions = lambda service: ()
        self.count_backends: CountBackends = lambda service, crashed: 0
        self.watch = SuspectWatch(send_to_owners=self._send_to_owners)
        self.on_unproven_crash: Callable[[str, str], None] = lambda service, version: (
            None
        )
        """Called with the service and the unproven version of a server that crashed."""
        self.on_quarantined: Callable[[QuarantineEntry], None] = lambda entry: None

    def set_members(self, names: Sequence[str]) -> None:
        """Set the instances that serve, including this one."""
        self._members = list(names) or [self._me]
        self._owners.clear()
        ring = sorted({*self._members, self._me})
        index = ring.index(self._me)
        following = ring[index + 1 :] + ring[:index]
        self._neighbours = following[:NEIGHBOUR_COUNT]

    @property
    def has_entries(self) -> bool:
        """Return whether any request is or was recently quarantined."""
        return len(self.quarantine) > 0

    def find(self, fingerprint: str) -> QuarantineEntry | None:
        """Return the entry with these features that is in force now."""
        return self.quarantine.find(fingerprint, self.find_versions, now())

    def match(
        self, features: Collection[str], *, on_trial: str | None = None
    ) -> QuarantineEntry | None:
        """Return an entry that applies to a request, except for the one on trial."""
        return self.quarantine.match(
            features, self.find_versions, now(), except_for=on_trial
        )

    def begin_trial(self, entry: QuarantineEntry, features: Collection[str]) -> bool:
        """Begin to let one request through; return whether it may be sent."""
        if not self.quarantine.is_on_probation(entry.fingerprint, now()):
            return False
        if self._find_owners(entry.service)[:1] != [self._me]:
            return False
        # If other entries applied as well, a crash would not tell which one is right.
        if self.match(features, on_trial=entry.fingerprint) is not None:
            return False
        if not self._trials.begin(entry.service, entry.fingerprint):
            return False
        log_event("quarantine_trial", fingerprint=entry.fingerprint, times=entry.times)
        return True

    def end_trial(self, fingerprint: str) -> None:
        """End a trial whose request has ended."""
        self._trials.end(fingerprint)

    @property
    def must_read_store(self) -> bool:
        """Return whether no peer has sent the complete list in time."""
        return (
            not self.has_complete_list
            and now() - self._started_at > PEER_LIST_TIMEOUT_S
        )

    # -- crashes --

    def report_crash(self, crash: Crash) -> None:
        """Send a crash detected by this instance to the owners."""
        if self._me in self._find_owners(crash.service):
            self._analysis.record(crash, now())
        self._send_report(crash)
        self._reports.append(_Report(crash=crash, sent_at=now()))

    def _send_report(self, crash: Crash) -> None:
        for name in self._find_owners(crash.service):
            if name != self._me:
                self._send(name, crash)

    def _repeat_reports(self, timestamp: float) -> None:
        """Send reports once more, as a lost one hides the cause of a crash."""
        due = [r for r in self._reports if timestamp - r.sent_at >= REPORT_INTERVAL_S]
        for report in due:
            self._reports.remove(report)
            self._send_report(report.crash.age(timestamp - report.sent_at))

    def handle_crash(self, crash: Crash) -> None:
        """Record a crash that another instance detected."""
        self._analysis.record(crash, now())
        for feature in (*crash.fresh, *crash.older, *crash.parts):
            began_at = self.watch.find_answered(feature)
            if began_at > NEVER:
                self._analysis.clear(feature, began_at)

    def handle_answered(self, message: FeaturesAnswered) -> None:
        """Record that another instance has seen suspected features answered."""
        timestamp = now()
        for feature, began_s in message.began_s.items():
            self._analysis.clear(feature, timestamp - began_s)

    def _send_to_owners(self, service: str, message: msgspec.Struct) -> None:
        for name in self._find_owners(service):
            if name != self._me:
                self._send(name, message)
            elif isinstance(message, FeaturesAnswered):
                self.handle_answered(message)

    def _find_owners(self, service: str) -> list[str]:
        owners = self._owners.get(service)
        if owners is None:
            owners = rank(f"crashes/{service}", self._members)[:OWNER_COUNT]
            self._owners[service] = owners
        return owners

    def _find_delay(self, service: str) -> float:
        owners = self._find_owners(service)
        position = owners.index(self._me) if self._me in owners else OWNER_COUNT
        return OWNER_STAGGER_S * position

    def _evaluate_crashes(self, timestamp: float) -> None:
        if not self._analysis.is_due(timestamp) and timestamp < self._evaluate_at:
            return
        if timestamp - self._evaluated_at < EVALUATION_INTERVAL_S:
            return
        self._evaluated_at = timestamp
        self._evaluate_at = float("inf")
        suspects = self._analysis.find_suspects(
            timestamp,
            quarantined=self.quarantine.quarantined(timestamp),
            previously_quarantined=self.quarantine.previously_quarantined(timestamp),
            is_canary=self.is_canary,
            tentative=self.quarantine.tentative(),
            imposed_at=self.quarantine.imposed_at(),
        )
        self._query_answers(timestamp)
        for suspect in suspects:
            if self._is_confirmed(suspect):
                self._quarantine_suspect(suspect, timestamp)
            else:
                self._evaluate_at = timestamp + REPLY_DELAY_S
        self._drop_answered_features(timestamp)
        quarantined = self.quarantine.quarantined(timestamp)
        for service, version in self._analysis.list_unproven_crashes(
            timestamp, quarantined
        ):
            # Only the first owner counts it: a crash that several instances report to
            # all owners is still a single failure.
            if self._find_owners(service)[:1] == [self._me]:
                self.on_unproven_crash(service, version)

    def _drop_answered_features(self, timestamp: float) -> None:
        """Reduce entries to the features that were not answered since the crashes.

        Parts that always came together are quarantined together; once one of them is
        answered without the others, only these can be the cause.
        """
        for entry in self.quarantine.list(timestamp):
            since = timestamp - entry.first_crash_s
            left = {
                feature
                for feature in entry.features
                if not self._analysis.was_cleared(feature, since)
            }
            if entry.is_cleared or not left or left == entry.features:
                continue
            name = join_features(left)
            if self.quarantine.get(name, timestamp) is not None:
                continue
            reduced = msgspec.structs.replace(entry, fingerprint=name)
            log_event(
                "request_held",
                level="warning",
                fingerprint=name,
                service=entry.service,
                instead_of=entry.fingerprint,
                times=entry.times,
                hold_s=entry.left_s,
            )
            self.quarantine.apply(reduced, timestamp)
            self._publish(reduced)

    def _is_confirmed(self, suspect: Suspect) -> bool:
        """Return whether no instance knows of an answer that clears a suspect."""
        name = suspect.fingerprint
        # What was quarantined before was confirmed then, and each crash costs a server.
        if not is_part(name) or self.quarantine.get(name, now()) is not None:
            return True
        return self.watch.judge(split_features(name)) is Suspicion.CONFIRMED

    def _query_answers(self, timestamp: float) -> None:
        """Ask all instances for answers with newly suspected features."""
        suspected = self.watch.select_unasked(
            self._analysis.list_suspected(
                timestamp, self.quarantine.quarantined(timestamp)
            )
        )
        by_service: dict[str, list[SuspectedFeature]] = {}
        for each in suspected:
            by_service.setdefault(each.service, []).append(each)
        for service, features in by_service.items():
            if self._me not in self._find_owners(service):
                continue
            query = SuspectsQuery(
                service=service,
                features=[each.feature for each in features],
                first_crash_s=[timestamp - each.first_crash_at for each in features],
                repeated=[each.is_repeated for each in features],
            )
            for name in self._members:
                if name != self._me:
                    self._send(name, query)
            self.watch.handle_query(query)

    def _quarantine_suspect(self, suspect: Suspect, timestamp: float) -> None:
        if suspect.likely:
            # First, as it would otherwise count as reduced from the other one.
            likely = msgspec.structs.replace(
                suspect, fingerprint=suspect.likely, likely="", is_tentative=True
            )
            self._quarantine_suspect(likely, timestamp)
        fingerprint = suspect.fingerprint
        entry = self.quarantine.add(
            fingerprint,
            suspect.service,
            suspect.versions,
            timestamp,
            is_tentative=suspect.is_tentative,
            is_simultaneous=suspect.is_simultaneous,
            first_crash_at=suspect.first_crash_at,
        )
        log_event(
            "request_held",
            level="warning",
            fingerprint=fingerprint,
            service=suspect.service,
            crashed=",".join(suspect.backends),
            times=entry.times,
            hold_s=entry.left_s,
            only_versions=",".join(suspect.versions),
            is_tentative=suspect.is_tentative,
            is_simultaneous=suspect.is_simultaneous,
        )
        self._publish(entry)

    # -- the list --

    def record_answered(self, features: Sequence[str], began_at: float) -> None:
        """Record that a request was answered, and release what applies to it."""
        self.watch.record_answered(features, began_at)
        if not self.has_entries:
            return
        entry = self.match(features)
        while entry is not None and began_at > now() - entry.first_crash_s:
            self._trials.end_answered(entry.fingerprint)
            self.release(entry.fingerprint)
            entry = self.match(features)

    def release(self, fingerprint: str) -> None:
        """Release a request or parts and publish the release."""
        released = self.quarantine.release(fingerprint, now())
        if released is not None:
            self._clear(released)
            log_event("request_let_go", fingerprint=fingerprint, why="answered")
            self._publish(released)

    def _clear(self, entry: QuarantineEntry) -> None:
        for feature in entry.features:
            self._analysis.clear(feature, now())

    def _was_answered(self, entry: QuarantineEntry) -> bool:
        """Return whether all features were answered here since the first crash."""
        since = now() - entry.first_crash_s
        return all(self.watch.find_answered(each) > since for each in entry.features)

    def handle_entries(self, sender: str, message: QuarantineEntries) -> None:
        """Apply entries, and reply with those that the sender lacks."""
        timestamp = now()
        self.apply_entries(message.entries, source=sender)
        if message.is_complete:
            self.has_complete_list = True
        if not message.wants_reply:
            return
        known = {each.fingerprint: each.precedence for each in message.entries}
        missing = [
            entry
            for entry in self.quarantine.list(timestamp)
            if known.get(entry.fingerprint, (0, False)) < entry.precedence
        ]
        if missing:
            self._send(sender, QuarantineEntries(entries=missing))

    def handle_digest(self, sender: str, message: QuarantineDigest) -> None:
        """Reply to a peer that starts or whose list differs."""
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
        """Apply entries from a peer or from the store."""
        timestamp = now()
        for entry in entries:
            if not self.quarantine.apply(entry, timestamp):
                continue
            log_event(
                "request_held_heard",
                fingerprint=entry.fingerprint,
                times=entry.times,
                left_s=entry.left_s,
                is_tentative=entry.is_tentative,
                is_cleared=entry.is_cleared,
                source=source,
            )
            self._process_change(entry)

    def tick(self) -> None:
        """Run all periodic work that is due."""
        timestamp = now()
        self._repeat_reports(timestamp)
        self._evaluate_crashes(timestamp)
        self._publish_due(timestamp)
        if (
            not self.has_complete_list
            and timestamp - self._queried_at >= QUERY_INTERVAL_S
        ):
            self._queried_at = timestamp
            self._query_peer()
        if timestamp - self._compared_at < COMPARE_INTERVAL_S:
            return
        self._compared_at = timestamp
        self.watch.expire()
        for entry in self.quarantine.expire(timestamp):
            self._schedule_write(entry.fingerprint, entry.service)
        if len(self.quarantine):
            message = QuarantineDigest(digest=self.quarantine.digest)
            for name in self._neighbours:
                self._send(name, message)

    def _query_peer(self) -> None:
        others = [name for name in self._members if name != self._me]
        if others:
            message = QuarantineDigest(digest=self.quarantine.digest, asks=True)
            self._send(self._rng.choice(others), message)

    def _process_change(self, entry: QuarantineEntry) -> None:
        if entry.is_cleared:
            self._clear(entry)
        elif self._was_answered(entry):
            self.release(entry.fingerprint)
            return
        else:
            self.on_quarantined(entry)
        self._schedule_write(entry.fingerprint, entry.service)

    def _publish(self, entry: QuarantineEntry) -> None:
        self._publications[entry.fingerprint] = _Publication(
            entry=entry, sent_count=0, sent_at=-1e9
        )
        # This may release the request at once; the release is then published instead of
        # the entry.
        self._process_change(entry)
        self._publish_due(now())

    def _publish_due(self, timestamp: float) -> None:
        for fingerprint, publication in list(self._publications.items()):
            if timestamp - publication.sent_at < PUBLISH_INTERVAL_S:
                continue
            if publication.sent_count >= PUBLISH_ATTEMPTS:
                del self._publications[fingerprint]
                continue
            publication.sent_count += 1
            publication.sent_at = timestamp
            for name in self._members:
                if name != self._me:
                    self._send(name, QuarantineEntries(entries=[publication.entry]))

    def schedule_all_writes(self) -> None:
        """Let the owners write all entries that a restored store may have lost."""
        for entry in self.quarantine.list(now()):
            self._schedule_write(entry.fingerprint, entry.service)

    def _schedule_write(self, fingerprint: str, service: str) -> None:
        owners = self._find_owners(service)
        if self._me in owners:
            delay_s = WRITE_STAGGER_S * owners.index(self._me)
            self.unwritten[fingerprint] = now() + delay_s
