"""Synchronization of the state replica, so that only a few instances read the store.

A few readers follow the store. Every other instance periodically queries its reader for
the staleness of the reader's replica and for changes. The reply carries the changes to
the backend servers and, if they are small, to the operators' state; large changes are
read from the store. An instance that gets no reply queries a standby, which then reads
the store, and finally reads everything itself. A failed reader therefore costs about a
second and breaks no guarantee.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

import msgspec

from baobabthread.core.positions import BackendsPosition, OperatorsPosition
from baobabthread.instance.clock import now
from baobabthread.instance.peerchanges import log_backend_changes
from baobabthread.instance.storeeras import EraTracker
from baobabthread.logs import log_event
from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.configuration import BackendRecord
from baobabthread.routing.deltas import OperatorDelta
from baobabthread.routing.readers import (
    ReaderAssignment,
    StalenessLimits,
    derive_staleness_limits,
)
from baobabthread.routing.replica import NEVER_S, StateReplica
from baobabthread.routing.sources import SourceChoice

REPLY_TIMEOUT_S = 0.25
"""Time after which a query counts as unanswered and the next one is sent."""
DELTA_TIMEOUT_S = 0.3
"""Time that a reader has to send a delta after this instance learns that the operators'
state has changed. Readers learn of it at the same time and send it at their next
tick."""
MIN_MISSES_TO_READ = 2
"""Unanswered queries after which a standby reads the store."""
DISCOVERY_TIMEOUT_S = 3.0
"""Time after the start before an instance that has reached no seed assumes that it is
the only one. Otherwise, when all instances start together, each acts as a reader: 195
instances made 900 calls in the half second until they had discovered each other."""
READ_STAGGER_S = 1 / 30
"""Delay between consecutive instances when they start to read the store themselves
because no peer has a fresh replica: together they send 30 calls a second to a store
that does not respond."""
MAX_READ_STAGGER_S = 0.7
"""Longest such delay: with a bound of four seconds, a change that can only be read from
the store is then known within nine tenths of the bound."""
START_COMPARISON_S = 0.5
"""Time after the start within which peers are expected to answer. Until one has, the
store may hold an older configuration than theirs, with keys that were revoked."""
FIRST_CONTACT_S = 0.1
"""Time from the first contact with a peer until the members' versions are known."""
LOST_VERSION_GRACE_S = 0.5
"""Time to fetch a configuration that the store lost before keys are rejected."""
REQUIRED_VERSION_S = 2.0
"""Time for which a peer's word of a newer configuration counts without a new one."""
COMPARISON_INTERVAL_S = 1.0
"""Shortest time between two fetches of states that differ from this one."""
SOURCE_SLACK_S = 0.2
"""Time past the limit that the servers' list of a member may reach before it has read
the store itself, with the time until it looks whether it must."""
SUBSCRIPTION_INTERVALS = 5.0
"""Number of query intervals for which a reader pushes changes to an instance after its
last query."""
MAX_CHANGES_PER_REPLY = 100
"""Largest number of backend servers in one reply, about 20 KB; an instance that is
further behind fetches the full list. A roll-out starts as many servers as already run;
if all instances fetched the full list for it, the reader's link would saturate and they
would fall back to the store."""


class ReplicaQuery(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag="knowledge.ask"
):
    """Request the staleness and the latest changes of a reader's replica."""

    sequence: int
    backends_offset: int = msgspec.field(default=0, name="backends_end")
    operators_offset: int = msgspec.field(default=0, name="operators_end")
    backends_era: int = 0
    operators_era: int = 0
    version: int = 0
    """Version of the sender's configuration."""
    digest: int = 0
    """Digest of the sender's operators' state; 0 if not given."""
    era: int = 0
    """Newest era of the store that the sender knows; 0 if it knows none."""

    @property
    def backends_end(self) -> BackendsPosition:
        """Position up to which the sender knows the backend servers' records."""
        return BackendsPosition(self.backends_era, self.backends_offset)

    @property
    def operators_end(self) -> OperatorsPosition:
        """Position up to which the sender knows the operators' records."""
        return OperatorsPosition(self.operators_era, self.operators_offset)

    def place_in(self, era: int) -> ReplicaQuery:
        """Return the query of an instance that doesn't know eras as one of `era`."""
        return msgspec.structs.replace(self, backends_era=era, operators_era=era)


class ReplicaReply(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag="knowledge.is"
):
    """Report the staleness of the sender's replica and its latest changes."""

    sequence: int
    """Sequence of the query; 0 if unsolicited, in which case the ages are not used."""
    operators_offset: int = msgspec.field(name="operators_end")
    operators_age_s: float
    backends_offset: int = msgspec.field(name="backends_end")
    changed_offset: int = msgspec.field(name="backends_changed_at")
    backends_age_s: float
    since_offset: int = msgspec.field(default=-1, name="since")
    """-1 if the sender has too many changes or doesn't know them."""
    changed: list[BackendRecord] = []
    gone: list[str] = []
    steps: list[OperatorDelta] = []
    """Changes to the operators' state since the receiver's last query."""
    operators_era: int = 0
    backends_era: int = 0
    changed_era: int = 0
    since_era: int = 0
    version: int = 0
    """Version of the sender's configuration."""
    digest: int = 0
    """Digest of the sender's operators' state; 0 if not given."""
    backends_digest: int = 0
    """Digest of the backend servers; 0 if not given, or while some are in doubt."""
    era: int = 0
    """Newest era of the store that the sender knows; 0 if it knows none."""

    @property
    def operators_end(self) -> OperatorsPosition:
        """Position up to which the sender knows the operators' records."""
        return OperatorsPosition(self.operators_era, self.operators_offset)

    @property
    def backends_end(self) -> BackendsPosition:
        """Position up to which the sender knows the backend servers' records."""
        return BackendsPosition(self.backends_era, self.backends_offset)

    @property
    def backends_changed_at(self) -> BackendsPosition:
        """Position of the last read that changed a backend server's record."""
        return BackendsPosition(self.changed_era, self.changed_offset)

    @property
    def since(self) -> BackendsPosition | None:
        """Position since which all changes are included; None if they aren't."""
        if self.since_offset < 0:
            return None
        return BackendsPosition(self.since_era, self.since_offset)

    def place_in(self, era: int) -> ReplicaReply:
        """Return the reply of an instance that doesn't know eras as one of `era`."""
        return msgspec.structs.replace(
            self,
            operators_era=era,
            backends_era=era,
            changed_era=era,
            since_era=era,
            steps=[],
        )


REPLICA_MESSAGES = (ReplicaQuery, ReplicaReply)

SendMessage = Callable[[str, msgspec.Struct], None]
"""Send a message to the named member."""
FetchSnapshot = Callable[[str], None]
"""Fetch a snapshot of the named member's replica."""


class _Subscriber(msgspec.Struct):
    queried_at: float
    backends_end: BackendsPosition
    operators_end: OperatorsPosition


class ReplicaSync:
    """Decide whether this instance reads the store, and keep its replica up to date."""

    __slots__ = (
        "_alive",
        "_behind_since",
        "_compare_at",
        "_compared_at",
        "_compared_backends",
        "_discovery_until",
        "_eras",
        "_fetch",
        "_me",
        "_notified_state",
        "_pending",
        "_queried_at",
        "_replica",
        "_reported_end",
        "_required",
        "_send",
        "_sequence",
        "_sources",
        "_subscribers",
        "limits",
    )

    def __init__(
        self,
        *,
        me: str,
        replica: StateReplica,
        send: SendMessage,
        fetch: FetchSnapshot,
        eras: EraTracker,
        bounds: RoutingBounds | None = None,
        has_seeds: bool = False,
    ) -> None:
        self._me = me
        self._replica = replica
        self._send = send
        self._fetch = fetch
        self._eras = eras
        eras.subscribe(self._announce_era)
        self.limits: StalenessLimits = derive_staleness_limits(
            bounds or RoutingBounds()
        )
        self._alive: list[str] = [me]
        self._sources = SourceChoice(me=me)
        self._pending: dict[int, float] = {}
        self._queried_at = -1e9
        self._reported_end = OperatorsPosition()
        self._behind_since: float | None = None
        """Time since which a peer has reported operators' records unknown here."""
        self._sequence = 0
        self._discovery_until = now() + DISCOVERY_TIMEOUT_S if has_seeds else 0.0
        self._subscribers: dict[str, _Subscriber] = {}
        self._notified_state: tuple[object, ...] = ()
        self._required = (0, 0.0)
        """Version that a peer has and the store lost, and until when that counts."""
        self._compared_backends = (0, 0)
        """Digests of a peer's and the own backend servers that were looked into."""
        self._compare_at = 0.0
        """Time from which differences to a peer's state are looked into again."""
        self._compared_at = now() + START_COMPARISON_S if has_seeds else 0.0
        """When this instance may rely on the store alone."""
        replica.is_compared = not has_seeds

    def set_members(self, names: Sequence[str]) -> None:
        """Update the names of the serving instances, including this one."""
        self._alive = list(names) or [self._me]
        self._sources.set_members(self._alive)
        if len(self._alive) > 1:
            self._compared_at = min(self._compared_at, now() + FIRST_CONTACT_S)

    @property
    def members(self) -> int:
        """Number of serving instances, including this one."""
        return len(self._alive)

    @property
    def _assignment(self) -> ReaderAssignment:
        return self._sources.assignment

    @property
    def reported_end(self) -> OperatorsPosition:
        """Highest end of the operators' log that any peer has reported."""
        return self._reported_end

    @property
    def is_reader(self) -> bool:
        """Whether this instance follows the store on behalf of others."""
        if len(self._alive) == 1 and now() < self._discovery_until:
            return False
        if self._assignment.is_reader:
            return True
        misses = self._sources.misses
        return self._assignment.is_standby and misses >= MIN_MISSES_TO_READ

    @property
    def is_behind(self) -> bool:
        """Whether peers know operators' records that this instance does not."""
        return self._reported_end > self._replica.operators_end

    def record_operators_end(self, operators_end: OperatorsPosition) -> None:
        """Record the end of the operators' log as reported by a peer."""
        # A configuration may be several hundred kilobytes. Twenty instances that fetch
        # it from a reader on a slow link would have it only after ten seconds, so it is
        # read from the store, whose link has the capacity.
        self._reported_end = max(self._reported_end, operators_end)
        if not self.is_behind:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now()

    @property
    def _is_delta_overdue(self) -> bool:
        """Whether the readers have not sent a pending delta in time."""
        since = self._behind_since
        return self.is_behind and since is not None and now() - since >= DELTA_TIMEOUT_S

    def must_read_operators(self) -> bool:
        """Return whether this instance has to read the operators' records itself."""
        if self.is_reader or self._is_delta_overdue:
            return True
        return self._replica.operators_age(now()) > self._direct_read_age_s

    def must_read_backends(self) -> bool:
        """Return whether this instance has to read the backend servers' records."""
        if self.is_reader:
            return True
        now_s = now()
        if self._replica.backends_age(now_s) <= self.limits.backends_s:
            return False
        # The operators' records are read first: if the store is unavailable, one call
        # is enough to find out, and the backend servers' records can't be read either.
        return self._replica.operators_age(now_s) <= self.limits.operators_s

    def tick(self) -> None:
        """Query a reader or notify subscribers of changes, as due."""
        now_s = now()
        self._update_trust(now_s)
        self._notify_subscribers(now_s)
        # The store may refuse a reader, which then depends on peers like the others.
        if self._assignment.is_reader and not self._is_stale(now_s):
            return
        is_overdue = self._drop_overdue(now_s)
        if not is_overdue and now_s - self._queried_at < self._choose_interval(now_s):
            return
        peer = self._sources.choose(is_stale=self._is_stale(now_s))
        if peer is None:
            return
        self._queried_at = now_s
        self._sequence += 1
        self._pending[self._sequence] = now_s
        self._send(peer, self._make_query(self._sequence))

    def _choose_interval(self, now_s: float) -> float:
        """Return the time between two queries."""
        interval_s = self.limits.request_interval_s
        if not self._sources.is_known and self._is_stale(now_s):
            # A member that knows no more is as good as one that does not answer.
            return min(interval_s, REPLY_TIMEOUT_S)
        return interval_s

    def _is_stale(self, now_s: float) -> bool:
        """Return whether the replica is older than reports of a reader keep it."""
        replica = self._replica
        return (
            replica.operators_age(now_s) > self.limits.operators_s
            or replica.backends_age(now_s) > self.limits.backends_s
        )

    def _make_query(self, sequence: int) -> ReplicaQuery:
        return ReplicaQuery(
            sequence=sequence,
            backends_offset=self._replica.backends_end.offset,
            backends_era=self._replica.backends_end.era,
            operators_offset=self._replica.operators_end.offset,
            operators_era=self._replica.operators_end.era,
            version=self._replica.version,
            digest=self._replica.digest_operators(),
            era=self._eras.current,
        )

    def _announce_era(self) -> None:
        """Tell the readers of a new era, who tell their subscribers."""
        self._replica.begin_era(now())
        for name in (*self._assignment.readers, *self._assignment.standbys):
            if name != self._me:
                self._send(name, self._make_query(0))

    # -- configurations that the store lost --

    def compare_version(
        self, peer: str, version: int, operators_end: OperatorsPosition
    ) -> None:
        """Fetch the configuration of a peer that the store no longer holds.

        The store was restored from a copy without it: this instance has read as far as
        the peer, but lacks its version.
        """
        if version <= self._replica.version:
            return
        if operators_end > self._replica.operators_end:
            return
        now_s = now()
        self._required = (version, now_s + REQUIRED_VERSION_S)
        self._update_trust(now_s)
        self._fetch(peer)

    def _compare_digest(
        self, peer: str, digest: int, operators_end: OperatorsPosition
    ) -> None:
        """Fetch the state of a peer that has read as far and knows other things.

        Orders and evacuations that the store lost are known to those who read them.
        """
        if not digest or digest == self._replica.digest_operators():
            return
        now_s = now()
        if operators_end != self._replica.operators_end or now_s < self._compare_at:
            return
        self._compare_at = now_s + COMPARISON_INTERVAL_S
        self._fetch(peer)

    def _update_trust(self, now_s: float) -> None:
        """Update from when on peers are taken to have a newer configuration."""
        replica = self._replica
        version, until = self._required
        if replica.version < version and now_s < until:
            replica.distrusted_from = min(
                replica.distrusted_from, now_s + LOST_VERSION_GRACE_S
            )
            return
        replica.distrusted_from = math.inf
        if not replica.is_compared and now_s >= self._compared_at:
            replica.is_compared = True
            replica.on_update()

    def handle_query(self, sender: str, query: ReplicaQuery) -> None:
        """Reply to a query and subscribe its sender to changes."""
        self._eras.observe(query.era, source=sender)
        if not query.era:
            query = query.place_in(self._eras.current)
        self.compare_version(sender, query.version, query.operators_end)
        self._compare_digest(sender, query.digest, query.operators_end)
        subscriber = _Subscriber(
            queried_at=now(),
            backends_end=query.backends_end,
            operators_end=query.operators_end,
        )
        self._subscribers[sender] = subscriber
        self._send(sender, self._make_reply(query.sequence, subscriber))

    def handle_reply(self, sender: str, reply: ReplicaReply) -> None:
        """Apply a reader's reply to the replica."""
        replica = self._replica
        self._eras.observe(reply.era, source=sender)
        if not reply.era:
            reply = reply.place_in(self._eras.current)
        self._apply_deltas(sender, reply)
        if reply.operators_end > replica.operators_end:
            # The sender knows later records but sent no deltas for them, so they have
            # to be read from the store.
            self._behind_since = -NEVER_S
        queried_at = self._pending.pop(reply.sequence, None)
        if queried_at is not None:
            self._record_reply(sender, reply)
            replica.freshness.hear(
                head_age_s=reply.operators_age_s,
                read_position=reply.operators_end,
                asked_at=queried_at,
            )
        self.record_operators_end(reply.operators_end)
        self.compare_version(sender, reply.version, reply.operators_end)
        self._compare_digest(sender, reply.digest, reply.operators_end)
        has_all_changes = (
            reply.since is not None and reply.since <= replica.backends_end
        )
        if reply.backends_changed_at > replica.backends_end:
            if not has_all_changes:
                self._fetch(sender)
                return
            with log_backend_changes(replica, sender):
                replica.apply_backend_changes(
                    reply.changed,
                    reply.gone,
                    end=reply.backends_end,
                    changed_at=reply.backends_changed_at,
                    now=now(),
                )
        if queried_at is not None:
            replica.confirm_backends(
                end=reply.backends_end,
                read_at=queried_at - reply.backends_age_s,
                now=now(),
            )
        self._compare_backends(reply)

    def _compare_backends(self, reply: ReplicaReply) -> None:
        """List the store's servers if a peer that has read as far knows other ones."""
        replica = self._replica
        digests = (reply.backends_digest, replica.digest_backends())
        if not all(digests) or digests[0] == digests[1]:
            return
        if reply.backends_end != replica.backends_end:
            return
        # A listing that settles nothing is not repeated.
        if digests != self._compared_backends:
            self._compared_backends = digests
            replica.list_backends_at = now()
            log_event(
                "backends_differ",
                offset=reply.backends_end.offset,
                era=reply.backends_end.era,
                known=len(replica.backends),
            )

    def _apply_deltas(self, sender: str, reply: ReplicaReply) -> None:
        """Apply the deltas of the operators' state that the reply contains."""
        replica = self._replica
        before = replica.table
        replica.apply_deltas(reply.steps)
        if replica.table is not None and replica.table is not before:
            log_event(
                "configuration_read",
                version=replica.table.configuration.version,
                offset=replica.operators_end.offset,
                era=replica.operators_end.era,
                news=True,
                source=sender,
            )

    @property
    def _direct_read_age_s(self) -> float:
        """Staleness above which this instance reads the store itself."""
        return self.limits.operators_s + self.read_delay_s

    @property
    def read_delay_s(self) -> float:
        """Delay of reads that many instances have to make at the same time."""
        return min(MAX_READ_STAGGER_S, READ_STAGGER_S * self._assignment.position)

    def _drop_overdue(self, now_s: float) -> bool:
        overdue = [s for s, at in self._pending.items() if now_s - at > REPLY_TIMEOUT_S]
        for sequence in overdue:
            del self._pending[sequence]
            self._sources.record_silence()
        return bool(overdue)

    def _record_reply(self, sender: str, reply: ReplicaReply) -> None:
        is_stale = reply.operators_age_s > self.limits.operators_s
        max_backends_age_s = self.limits.backends_s + SOURCE_SLACK_S
        self._sources.record_reply(
            sender,
            is_stale=is_stale,
            is_fresh=not is_stale and reply.backends_age_s <= max_backends_age_s,
            now=now(),
            pause_s=self.limits.request_interval_s,
        )

    def _notify_subscribers(self, now_s: float) -> None:
        replica = self._replica
        state = (
            replica.operators_end,
            replica.backends_changed_at,
            replica.version,
            self._eras.current,
        )
        if state == self._notified_state:
            return
        self._notified_state = state
        cutoff = now_s - SUBSCRIPTION_INTERVALS * self.limits.request_interval_s
        self._subscribers = {
            n: s for n, s in self._subscribers.items() if s.queried_at > cutoff
        }
        if not self.is_reader:
            return
        for name, subscriber in self._subscribers.items():
            self._send(name, self._make_reply(0, subscriber))

    def _make_reply(self, sequence: int, subscriber: _Subscriber) -> ReplicaReply:
        replica = self._replica
        now_s = now()
        known_end = subscriber.backends_end
        changes = replica.list_backend_changes(
            known_end, now_s, limit=MAX_CHANGES_PER_REPLY
        )
        return ReplicaReply(
            sequence=sequence,
            operators_offset=replica.operators_end.offset,
            operators_era=replica.operators_end.era,
            operators_age_s=round(replica.operators_age(now_s) + 0.0005, 3),
            backends_offset=replica.settled_end.offset,
            backends_era=replica.settled_end.era,
            changed_offset=replica.backends_changed_at.offset,
            changed_era=replica.backends_changed_at.era,
            backends_age_s=round(replica.backends_age(now_s) + 0.0005, 3),
            since_offset=known_end.offset if changes is not None else -1,
            since_era=known_end.era,
            changed=changes.changed if changes is not None else [],
            gone=changes.removed if changes is not None else [],
            steps=replica.deltas.list_since(subscriber.operators_end),
            version=replica.version,
            digest=replica.digest_operators(),
            backends_digest=replica.digest_backends(),
            era=self._eras.current,
        )
