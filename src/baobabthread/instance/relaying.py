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

PATIENCE_S = 0.25
"""Time after which a question counts as unanswered, and the next one is asked."""
NEWS_S = 0.3
"""Time after word of something new in which a reader tells what it is; a reader hears
of it in the same moment and tells it at its next tick."""
ENOUGH_MISSES = 2
"""Unanswered questions after which a standby reads the store."""
ALONE_S = 3.0
"""Time from the start after which an instance that meets no seed takes itself for the
only one. Where all start at once, each would otherwise read for all: 195 instances made
900 calls in the half second until they knew each other."""
TURN_S = 1 / 30
"""Time between two instances in the order at which they read the store themselves when
nobody's word is fresh: all together ask a silent store 30 times a second."""
MOST_TURN_S = 0.7
"""Longest such wait: a change that only the store can tell is then known within nine
tenths of its bound, where that is four seconds."""
SUBSCRIBED_PARTS = 5.0
"""Times the pause between questions for which a reader tells of changes unasked."""
MOST_TOLD = 100
"""Backend servers in one answer, some 20 KB; whoever lacks more fetches them all. A
new version starts as many servers as there are, and fetched by all the list fills the
reader's link until the others read the store themselves."""


class AskKnowledge(msgspec.Struct, frozen=True, kw_only=True, tag="knowledge.ask"):
    """Ask a reader how old its knowledge is."""

    sequence: int
    backends_end: int = 0
    """How far the one who asks knows the backend servers' records."""
    operators_end: int = 0
    """The same of the operators' records."""


class KnowledgeIs(msgspec.Struct, frozen=True, kw_only=True, tag="knowledge.is"):
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


RELAY_MESSAGES = (AskKnowledge, KnowledgeIs)

Tell = Callable[[str, msgspec.Struct], None]
"""Send a message to a member."""
Fetch = Callable[[str], None]
"""Fetch what a member knows."""


class _Subscriber(msgspec.Struct):
    asked_at: float
    backends_end: int
    operators_end: int


class Relay:
    """Decide who reads the store, and keep the others up to date."""

    __slots__ = (
        "_alive",
        "_asked",
        "_asked_at",
        "_behind_at",
        "_fetch",
        "_heard_end",
        "_joins_until",
        "_knowledge",
        "_me",
        "_misses",
        "_others",
        "_sequence",
        "_sources",
        "_subscribers",
        "_tell",
        "_told",
        "limits",
    )

    def __init__(
        self,
        *,
        me: str,
        knowledge: StateReplica,
        tell: Tell,
        fetch: Fetch,
        bounds: RoutingBounds | None = None,
        has_seeds: bool = False,
    ) -> None:
        self._me = me
        self._knowledge = knowledge
        self._tell = tell
        self._fetch = fetch
        self.limits: StalenessLimits = derive_staleness_limits(
            bounds or RoutingBounds()
        )
        self._alive: list[str] = [me]
        self._sources = ReaderAssignment(me=me, names=self._alive)
        self._others: list[str] = []
        self._asked: dict[int, float] = {}
        self._asked_at = -1e9
        self._heard_end = 0
        self._behind_at: float | None = None
        """When word came of something that is not known here yet."""
        self._misses = 0
        self._sequence = 0
        self._joins_until = now() + ALONE_S if has_seeds else 0.0
        self._subscribers: dict[str, _Subscriber] = {}
        self._told = (0, 0)

    def set_members(self, names: Sequence[str]) -> None:
        """Note which instances serve, this one included."""
        self._alive = list(names) or [self._me]
        self._sources = ReaderAssignment(me=self._me, names=self._alive)
        self._others = []

    @property
    def members(self) -> int:
        """Give how many instances serve, this one included."""
        return len(self._alive)

    @property
    def heard_end(self) -> int:
        """Give the end of the operators' log by anybody's word."""
        return self._heard_end

    @property
    def is_reader(self) -> bool:
        """Tell whether this instance follows the store for others."""
        if len(self._alive) == 1 and now() < self._joins_until:
            return False
        if self._sources.is_reader:
            return True
        return self._sources.is_standby and self._misses >= ENOUGH_MISSES

    @property
    def is_behind(self) -> bool:
        """Tell whether operators wrote something that is not known here yet."""
        return self._heard_end > self._knowledge.operators_end

    def note_news(self, operators_end: int) -> None:
        """Note that operators wrote up to an offset."""
        # A configuration may be some hundred kilobytes. From a reader on a slow link
        # twenty instances would get it after ten seconds; the store's link bears it.
        self._heard_end = max(self._heard_end, operators_end)
        if not self.is_behind:
            self._behind_at = None
        elif self._behind_at is None:
            self._behind_at = now()

    @property
    def _waits_in_vain(self) -> bool:
        """Tell whether a reader had the time to tell what is new, and did not."""
        since = self._behind_at
        return self.is_behind and since is not None and now() - since >= NEWS_S

    def needs_operators(self) -> bool:
        """Tell whether this instance has to read the operators' records itself."""
        if self.is_reader or self._waits_in_vain:
            return True
        return self._knowledge.operators_age(now()) > self._own_limit_s

    def needs_backends(self) -> bool:
        """Tell whether this instance has to read the backend servers' records."""
        if self.is_reader:
            return True
        moment = now()
        if self._knowledge.backends_age(moment) <= self.limits.backends_s:
            return False
        # The operators' records are read first: where the store is away, one call
        # shows it, and without it nothing can be learnt of backend servers either.
        return self._knowledge.operators_age(moment) <= self.limits.operators_s

    def tick(self) -> None:
        """Ask a reader, or tell subscribers of changes, as is due."""
        moment = now()
        self._tell_changes(moment)
        if self._sources.is_reader:
            return
        is_overdue = self._count_overdue(moment)
        if not is_overdue and moment - self._asked_at < self.limits.request_interval_s:
            return
        peer = self._choose_peer(moment)
        if peer is None:
            return
        self._asked_at = moment
        self._sequence += 1
        self._asked[self._sequence] = moment
        question = AskKnowledge(
            sequence=self._sequence,
            backends_end=self._knowledge.backends_end,
            operators_end=self._knowledge.operators_end,
        )
        self._tell(peer, question)

    def answer(self, sender: str, question: AskKnowledge) -> None:
        """Answer a question and remember who asked."""
        subscriber = _Subscriber(
            asked_at=now(),
            backends_end=question.backends_end,
            operators_end=question.operators_end,
        )
        self._subscribers[sender] = subscriber
        self._tell(sender, self._describe(question.sequence, subscriber))

    def take(self, sender: str, word: KnowledgeIs) -> None:
        """Take in what a reader knows."""
        knowledge = self._knowledge
        self._take_steps(sender, word)
        if word.operators_end > knowledge.operators_end:
            # Whoever knows it says that it can't be told: the store has to be asked.
            self._behind_at = -NEVER_S
        asked_at = self._asked.pop(word.sequence, None)
        if asked_at is not None:
            self._note_answer(word)
            knowledge.freshness.hear(
                head_age_s=word.operators_age_s,
                read_offset=word.operators_end,
                asked_at=asked_at,
            )
        self.note_news(word.operators_end)
        is_told = 0 <= word.since <= knowledge.backends_end
        if word.backends_changed_at > knowledge.backends_end:
            if not is_told:
                self._fetch(sender)
                return
            knowledge.apply_backend_changes(
                word.changed,
                word.gone,
                end=word.backends_end,
                changed_at=word.backends_changed_at,
                now=now(),
            )
        if asked_at is not None:
            knowledge.confirm_backends(
                end=word.backends_end, read_at=asked_at - word.backends_age_s
            )

    def _take_steps(self, sender: str, word: KnowledgeIs) -> None:
        """Take over what operators changed, as far as the sender tells it."""
        knowledge = self._knowledge
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
    def _own_limit_s(self) -> float:
        """Give the age from which this instance reads for itself."""
        turn_s = min(MOST_TURN_S, TURN_S * self._sources.position)
        return self.limits.operators_s + turn_s

    def _count_overdue(self, moment: float) -> bool:
        overdue = [s for s, at in self._asked.items() if moment - at > PATIENCE_S]
        for sequence in overdue:
            del self._asked[sequence]
            self._misses += 1
        return bool(overdue)

    def _note_answer(self, word: KnowledgeIs) -> None:
        is_old = word.operators_age_s > self.limits.operators_s
        self._misses = self._misses + 1 if is_old else 0

    def _choose_peer(self, moment: float) -> str | None:
        age_s = self._knowledge.operators_age(moment)
        if age_s <= self.limits.operators_s or self._misses % 2:
            return self._sources.choose_reader(self._misses)
        # The store may turn away all readers and serve the others, or serve only some:
        # whoever is fresh can tell. Each question goes to another member, since asking
        # the readers alone would refuse every key while most instances know them.
        if not self._others:
            self._others = [n for n in rank(self._me, self._alive) if n != self._me]
        if not self._others:
            return None
        return self._others[self._misses // 2 % len(self._others)]

    def _tell_changes(self, moment: float) -> None:
        knowledge = self._knowledge
        state = (knowledge.operators_end, knowledge.backends_changed_at)
        if state == self._told:
            return
        self._told = state
        recent = moment - SUBSCRIBED_PARTS * self.limits.request_interval_s
        self._subscribers = {
            n: s for n, s in self._subscribers.items() if s.asked_at > recent
        }
        if not self.is_reader:
            return
        for name, subscriber in self._subscribers.items():
            self._tell(name, self._describe(0, subscriber))

    def _describe(self, sequence: int, subscriber: _Subscriber) -> KnowledgeIs:
        knowledge = self._knowledge
        moment = now()
        known_end = subscriber.backends_end
        changes = knowledge.list_backend_changes(known_end, moment, limit=MOST_TOLD)
        return KnowledgeIs(
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
