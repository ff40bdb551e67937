"""Synchronization of the state replica, so that only a few instances read the store.

A few readers follow the store. Every other instance periodically queries its reader for
the staleness of the reader's replica and for changes. The reply carries the changes to
the backend servers and, if they are small, to the operators' state; large changes are
read from the store. An instance that gets no reply queries a standby, which then reads
the store, and finally reads everything itself. A failed reader therefore costs about a
second and breaks no guarantee.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from baobabthread.core.rendezvous import rank
from baobabthread.instance.clock import now
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
SUBSCRIPTION_INTERVALS = 5.0
"""Number of query intervals for which a reader pushes changes to an instance after its
last query."""
MAX_CHANGES_PER_REPLY = 100
"""Largest number of backend servers in one reply, about 20 KB; an instance that is
further behind fetches the full list. A roll-out starts as many servers as already run;
if all instances fetched the full list for it, the reader's link would saturate and they
would fall back to the store."""


class ReplicaQuery(msgspec.Struct, frozen=True, kw_only=True, tag="knowledge.ask"):
    """Request the staleness and the latest changes of a reader's replica."""

    sequence: int
    backends_end: int = 0
    """Offset up to which the sender knows the backend servers' records."""
    operators_end: int = 0
    """Offset up to which the sender knows the operators' records."""


class ReplicaReply(msgspec.Struct, frozen=True, kw_only=True, tag="knowledge.is"):
    """Report the staleness of the sender's replica and its latest changes."""

    sequence: int
    """Sequence of the query; 0 if unsolicited, in which case the ages are not used."""
    operators_end: int
    operators_age_s: float
    backends_end: int
    backends_changed_at: int
    """Offset of the last read that changed a backend server's record."""
    backends_age_s: float
    since: int = -1
    """Offset since which all changes are included; -1 if too many or not known."""
    changed: list[BackendRecord] = []
    gone: list[str] = []
    steps: list[OperatorDelta] = []
    """Changes to the operators' state since the offset in the receiver's last query."""


REPLICA_MESSAGES = (ReplicaQuery, ReplicaReply)

SendMessage = Callable[[str, msgspec.Struct], None]
"""Send a message to the named member."""
FetchSnapshot = Callable[[str], None]
"""Fetch a snapshot of the named member's replica."""


class _Subscriber(msgspec.Struct):
    queried_at: float
    backends_end: int
    operators_end: int


class ReplicaSync:
    """Decide whether this instance reads the store, and keep its replica up to date."""

    __slots__ = (
        "_alive",
        "_assignment",
        "_behind_since",
        "_discovery_until",
        "_fetch",
        "_me",
        "_misses",
        "_notified_state",
        "_others",
        "_pending",
        "_queried_at",
        "_replica",
        "_reported_end",
        "_send",
        "_sequence",
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
        bounds: RoutingBounds | None = None,
        has_seeds: bool = False,
    ) -> None:
        self._me = me
        self._replica = replica
        self._send = send
        self._fetch = fetch
        self.limits: StalenessLimits = derive_staleness_limits(
            bounds or RoutingBounds()
        )
        self._alive: list[str] = [me]
        self._assignment = ReaderAssignment(me=me, names=self._alive)
        self._others: list[str] = []
        self._pending: dict[int, float] = {}
        self._queried_at = -1e9
        self._reported_end = 0
        self._behind_since: float | None = None
        """Time since which a peer has reported operators' records unknown here."""
        self._misses = 0
        self._sequence = 0
        self._discovery_until = now() + DISCOVERY_TIMEOUT_S if has_seeds else 0.0
        self._subscribers: dict[str, _Subscriber] = {}
        self._notified_state = (0, 0)

    def set_members(self, names: Sequence[str]) -> None:
        """Update the names of the serving instances, including this one."""
        self._alive = list(names) or [self._me]
        self._assignment = ReaderAssignment(me=self._me, names=self._alive)
        self._others = []

    @property
    def members(self) -> int:
        """Number of serving instances, including this one."""
        return len(self._alive)

    @property
    def reported_end(self) -> int:
        """Highest end of the operators' log that any peer has reported."""
        return self._reported_end

    @property
    def is_reader(self) -> bool:
        """Whether this instance follows the store on behalf of others."""
        if len(self._alive) == 1 and now() < self._discovery_until:
            return False
        if self._assignment.is_reader:
            return True
        return self._assignment.is_standby and self._misses >= MIN_MISSES_TO_READ

    @property
    def is_behind(self) -> bool:
        """Whether peers know operators' records that this instance does not."""
        return self._reported_end > self._replica.operators_end

    def record_operators_end(self, operators_end: int) -> None:
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
        self._notify_subscribers(now_s)
        if self._assignment.is_reader:
            return
        is_overdue = self._drop_overdue(now_s)
        if not is_overdue and now_s - self._queried_at < self.limits.request_interval_s:
            return
        peer = self._choose_peer(now_s)
        if peer is None:
            return
        self._queried_at = now_s
        self._sequence += 1
        self._pending[self._sequence] = now_s
        query = ReplicaQuery(
            sequence=self._sequence,
            backends_end=self._replica.backends_end,
            operators_end=self._replica.operators_end,
        )
        self._send(peer, query)

    def handle_query(self, sender: str, query: ReplicaQuery) -> None:
        """Reply to a query and subscribe its sender to changes."""
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
        self._apply_deltas(sender, reply)
        if reply.operators_end > replica.operators_end:
            # The sender knows later records but sent no deltas for them, so they have
            # to be read from the store.
            self._behind_since = -NEVER_S
        queried_at = self._pending.pop(reply.sequence, None)
        if queried_at is not None:
            self._record_reply(reply)
            replica.freshness.hear(
                head_age_s=reply.operators_age_s,
                read_offset=reply.operators_end,
                asked_at=queried_at,
            )
        self.record_operators_end(reply.operators_end)
        has_all_changes = 0 <= reply.since <= replica.backends_end
        if reply.backends_changed_at > replica.backends_end:
            if not has_all_changes:
                self._fetch(sender)
                return
            replica.apply_backend_changes(
                reply.changed,
                reply.gone,
                end=reply.backends_end,
                changed_at=reply.backends_changed_at,
                now=now(),
            )
        if queried_at is not None:
            replica.confirm_backends(
                end=reply.backends_end, read_at=queried_at - reply.backends_age_s
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
                offset=replica.operators_end,
                news=True,
                source=sender,
            )

    @property
    def _direct_read_age_s(self) -> float:
        """Staleness above which this instance reads the store itself."""
        delay_s = min(MAX_READ_STAGGER_S, READ_STAGGER_S * self._assignment.position)
        return self.limits.operators_s + delay_s

    def _drop_overdue(self, now_s: float) -> bool:
        overdue = [s for s, at in self._pending.items() if now_s - at > REPLY_TIMEOUT_S]
        for sequence in overdue:
            del self._pending[sequence]
            self._misses += 1
        return bool(overdue)

    def _record_reply(self, reply: ReplicaReply) -> None:
        is_stale = reply.operators_age_s > self.limits.operators_s
        self._misses = self._misses + 1 if is_stale else 0

    def _choose_peer(self, now_s: float) -> str | None:
        age_s = self._replica.operators_age(now_s)
        if age_s <= self.limits.operators_s or self._misses % 2:
            return self._assignment.choose_reader(self._misses)
        # The store may reject all readers while it serves other instances, or serve
        # only some, so any fresh instance is a valid source. Successive queries go to
        # different members: if only the readers were queried, this instance would
        # reject every key while most instances know the keys.
        if not self._others:
            self._others = [n for n in rank(self._me, self._alive) if n != self._me]
        if not self._others:
            return None
        return self._others[self._misses // 2 % len(self._others)]

    def _notify_subscribers(self, now_s: float) -> None:
        replica = self._replica
        state = (replica.operators_end, replica.backends_changed_at)
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
            operators_end=replica.operators_end,
            operators_age_s=round(replica.operators_age(now_s) + 0.0005, 3),
            backends_end=replica.settled_end,
            backends_changed_at=replica.backends_changed_at,
            backends_age_s=round(replica.backends_age(now_s) + 0.0005, 3),
            since=known_end if changes is not None else -1,
            changed=changes.changed if changes is not None else [],
            gone=changes.removed if changes is not None else [],
            steps=replica.deltas.list_since(subscriber.operators_end),
        )
