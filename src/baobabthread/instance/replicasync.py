"""Knowledge passed on among instances, so that few of them read the store.

A few readers follow the store. Every other instance asks its reader now and then how
old its knowledge is and whether it has changed. The answer brings what changed of the
backend servers and, where that is little, of the operators' will; large changes are
read from the store. An instance that gets no answer asks a standby, which then reads,
and at last reads everything itself, so that a dead reader costs a second and no rule.
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
"""Time after which a question counts as unanswered, and the next one is asked."""
DELTA_TIMEOUT_S = 0.3
"""Time after word of something new in which a reader tells what it is; a reader hears
of it in the same moment and tells it at its next tick."""
MIN_MISSES_TO_READ = 2
"""Unanswered questions after which a standby reads the store."""
DISCOVERY_TIMEOUT_S = 3.0
"""Time from the start after which an instance that meets no seed takes itself for the
only one. Where all start at once, each would otherwise read for all: 195 instances made
900 calls in the half second until they knew each other."""
READ_STAGGER_S = 1 / 30
"""Time between two instances in the order at which they read the store themselves when
nobody's word is fresh: all together ask a silent store 30 times a second."""
MAX_READ_STAGGER_S = 0.7
"""Longest such wait: a change that only the store can tell is then known within nine
tenths of its bound, where that is four seconds."""
SUBSCRIPTION_INTERVALS = 5.0
"""Times the pause between questions for which a reader tells of changes unasked."""
MAX_CHANGES_PER_REPLY = 100
"""Backend servers in one answer, some 20 KB; whoever lacks more fetches them all. A
new version starts as many servers as there are, and fetched by all the list fills the
reader's link until the others read the store themselves."""


class ReplicaQuery(msgspec.Struct, frozen=True, kw_only=True, tag="knowledge.ask"):
    """Ask a reader how old its knowledge is."""

    sequence: int
    backends_end: int = 0
    """How far the one who asks knows the backend servers' records."""
    operators_end: int = 0
    """The same of the operators' records."""


class ReplicaReply(msgspec.Struct, frozen=True, kw_only=True, tag="knowledge.is"):
    """Tell how old the sender's knowledge is, and what changed last."""

    sequence: int
    """The question; 0 where there was none, so that the ages prove nothing."""
    operators_end: int
    operators_age_s: float
    backends_end: int
    backends_changed_at: int
    """Offset up to which reading last changed anything."""
    backends_age_s: float
    since: int = -1
    """Offset from which on all changes are told here; -1 where there are too many."""
    changed: list[BackendRecord] = []
    gone: list[str] = []
    steps: list[OperatorDelta] = []
    """What operators changed since the offset that the receiver named last."""


REPLICA_MESSAGES = (ReplicaQuery, ReplicaReply)

SendMessage = Callable[[str, msgspec.Struct], None]
"""Send a message to a member."""
FetchSnapshot = Callable[[str], None]
"""Fetch what a member knows."""


class _Subscriber(msgspec.Struct):
    queried_at: float
    backends_end: int
    operators_end: int


class ReplicaSync:
    """Decide who reads the store, and keep the others up to date."""

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
        """When word came of something that is not known here yet."""
        self._misses = 0
        self._sequence = 0
        self._discovery_until = now() + DISCOVERY_TIMEOUT_S if has_seeds else 0.0
        self._subscribers: dict[str, _Subscriber] = {}
        self._notified_state = (0, 0)

    def set_members(self, names: Sequence[str]) -> None:
        """Note which instances serve, this one included."""
        self._alive = list(names) or [self._me]
        self._assignment = ReaderAssignment(me=self._me, names=self._alive)
        self._others = []

    @property
    def members(self) -> int:
        """Give how many instances serve, this one included."""
        return len(self._alive)

    @property
    def reported_end(self) -> int:
        """Give the end of the operators' log by anybody's word."""
        return self._reported_end

    @property
    def is_reader(self) -> bool:
        """Tell whether this instance follows the store for others."""
        if len(self._alive) == 1 and now() < self._discovery_until:
            return False
        if self._assignment.is_reader:
            return True
        return self._assignment.is_standby and self._misses >= MIN_MISSES_TO_READ

    @property
    def is_behind(self) -> bool:
        """Tell whether operators wrote something that is not known here yet."""
        return self._reported_end > self._replica.operators_end

    def record_operators_end(self, operators_end: int) -> None:
        """Note that operators wrote up to an offset."""
        # A configuration may be some hundred kilobytes. From a reader on a slow link
        # twenty instances would get it after ten seconds; the store's link bears it.
        self._reported_end = max(self._reported_end, operators_end)
        if not self.is_behind:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now()

    @property
    def _is_delta_overdue(self) -> bool:
        """Tell whether a reader had the time to tell what is new, and did not."""
        since = self._behind_since
        return self.is_behind and since is not None and now() - since >= DELTA_TIMEOUT_S

    def must_read_operators(self) -> bool:
        """Tell whether this instance has to read the operators' records itself."""
        if self.is_reader or self._is_delta_overdue:
            return True
        return self._replica.operators_age(now()) > self._direct_read_age_s

    def must_read_backends(self) -> bool:
        """Tell whether this instance has to read the backend servers' records."""
        if self.is_reader:
            return True
        moment = now()
        if self._replica.backends_age(moment) <= self.limits.backends_s:
            return False
        # The operators' records are read first: where the store is away, one call
        # shows it, and without it nothing can be learnt of backend servers either.
        return self._replica.operators_age(moment) <= self.limits.operators_s

    def tick(self) -> None:
        """Ask a reader, or tell subscribers of changes, as is due."""
        moment = now()
        self._notify_subscribers(moment)
        if self._assignment.is_reader:
            return
        is_overdue = self._drop_overdue(moment)
        if (
            not is_overdue
            and moment - self._queried_at < self.limits.request_interval_s
        ):
            return
        peer = self._choose_peer(moment)
        if peer is None:
            return
        self._queried_at = moment
        self._sequence += 1
        self._pending[self._sequence] = moment
        question = ReplicaQuery(
            sequence=self._sequence,
            backends_end=self._replica.backends_end,
            operators_end=self._replica.operators_end,
        )
        self._send(peer, question)

    def handle_query(self, sender: str, query: ReplicaQuery) -> None:
        """Answer a question and remember who asked."""
        subscriber = _Subscriber(
            queried_at=now(),
            backends_end=query.backends_end,
            operators_end=query.operators_end,
        )
        self._subscribers[sender] = subscriber
        self._send(sender, self._make_reply(query.sequence, subscriber))

    def handle_reply(self, sender: str, reply: ReplicaReply) -> None:
        """Take in what a reader knows."""
        knowledge = self._replica
        self._apply_deltas(sender, reply)
        if reply.operators_end > knowledge.operators_end:
            # Whoever knows it says that it can't be told: the store has to be asked.
            self._behind_since = -NEVER_S
        asked_at = self._pending.pop(reply.sequence, None)
        if asked_at is not None:
            self._record_reply(reply)
            knowledge.freshness.hear(
                head_age_s=reply.operators_age_s,
                read_offset=reply.operators_end,
                asked_at=asked_at,
            )
        self.record_operators_end(reply.operators_end)
        is_told = 0 <= reply.since <= knowledge.backends_end
        if reply.backends_changed_at > knowledge.backends_end:
            if not is_told:
                self._fetch(sender)
                return
            knowledge.apply_backend_changes(
                reply.changed,
                reply.gone,
                end=reply.backends_end,
                changed_at=reply.backends_changed_at,
                now=now(),
            )
        if asked_at is not None:
            knowledge.confirm_backends(
                end=reply.backends_end, read_at=asked_at - reply.backends_age_s
            )

    def _apply_deltas(self, sender: str, word: ReplicaReply) -> None:
        """Take over what operators changed, as far as the sender tells it."""
        knowledge = self._replica
        before = knowledge.table
        knowledge.apply_deltas(word.steps)
        if knowledge.table is not None and knowledge.table is not before:
            log_event(
                "configuration_read",
                version=knowledge.table.configuration.version,
                offset=knowledge.operators_end,
                news=True,
                source=sender,
            )

    @property
    def _direct_read_age_s(self) -> float:
        """Give the age from which this instance reads for itself."""
        turn_s = min(MAX_READ_STAGGER_S, READ_STAGGER_S * self._assignment.position)
        return self.limits.operators_s + turn_s

    def _drop_overdue(self, moment: float) -> bool:
        overdue = [
            s for s, at in self._pending.items() if moment - at > REPLY_TIMEOUT_S
        ]
        for sequence in overdue:
            del self._pending[sequence]
            self._misses += 1
        return bool(overdue)

    def _record_reply(self, word: ReplicaReply) -> None:
        is_old = word.operators_age_s > self.limits.operators_s
        self._misses = self._misses + 1 if is_old else 0

    def _choose_peer(self, moment: float) -> str | None:
        age_s = self._replica.operators_age(moment)
        if age_s <= self.limits.operators_s or self._misses % 2:
            return self._assignment.choose_reader(self._misses)
        # The store may turn away all readers and serve the others, or serve only some:
        # whoever is fresh can tell. Each question goes to another member, since asking
        # the readers alone would refuse every key while most instances know them.
        if not self._others:
            self._others = [n for n in rank(self._me, self._alive) if n != self._me]
        if not self._others:
            return None
        return self._others[self._misses // 2 % len(self._others)]

    def _notify_subscribers(self, moment: float) -> None:
        knowledge = self._replica
        state = (knowledge.operators_end, knowledge.backends_changed_at)
        if state == self._notified_state:
            return
        self._notified_state = state
        recent = moment - SUBSCRIPTION_INTERVALS * self.limits.request_interval_s
        self._subscribers = {
            n: s for n, s in self._subscribers.items() if s.queried_at > recent
        }
        if not self.is_reader:
            return
        for name, subscriber in self._subscribers.items():
            self._send(name, self._make_reply(0, subscriber))

    def _make_reply(self, sequence: int, subscriber: _Subscriber) -> ReplicaReply:
        knowledge = self._replica
        moment = now()
        known_end = subscriber.backends_end
        changes = knowledge.list_backend_changes(
            known_end, moment, limit=MAX_CHANGES_PER_REPLY
        )
        return ReplicaReply(
            sequence=sequence,
            operators_end=knowledge.operators_end,
            operators_age_s=round(knowledge.operators_age(moment) + 0.0005, 3),
            backends_end=knowledge.settled_end,
            backends_changed_at=knowledge.backends_changed_at,
            backends_age_s=round(knowledge.backends_age(moment) + 0.0005, 3),
            since=known_end if changes is not None else -1,
            changed=changes.changed if changes is not None else [],
            gone=changes.removed if changes is not None else [],
            steps=knowledge.deltas.list_since(subscriber.operators_end),
        )
