"""Knowledge passed on among instances, so that few of them read the store.

A few readers follow the store. Every other instance asks its reader a few times a
second how old its knowledge is and whether it has changed. It fetches changes of
backend servers from the reader and reads new configurations from the store. An instance
that gets no answer reads everything itself, so that a dead reader costs a second and no
rule.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import msgspec

from baobabthread.core.rendezvous import rank
from baobabthread.instance.clock import now
from baobabthread.routing.knowledge import Knowledge

LEAST_READERS = 2
"""Readers of a small installation, so that one may fall out unnoticed."""
MEMBERS_PER_READER = 40
"""Members for each reader: each call to the store has its price, and a reader then
answers a hundred small questions a second, about 1.5 % of a core."""
ASK_PERIOD_S = 0.4
PATIENCE_S = 0.25
"""Time after which a question counts as unanswered, and the next reader is asked."""
OPERATORS_LIMIT_S = 1.5
"""Age of the operators' records from which an instance reads the store itself. A reader
that is well is a second behind at most and is asked each 0.4 s; one that was cut off at
the moment of a change is found out by this age, with time left to apply the change."""
BACKENDS_LIMIT_S = 1.3
"""The same for the backend servers' records."""
SUBSCRIBED_S = 2.0
"""Time for which a reader tells an instance of changes without being asked."""


class AskKnowledge(msgspec.Struct, frozen=True, kw_only=True, tag="knowledge.ask"):
    """Ask a reader how old its knowledge is."""

    sequence: int


class KnowledgeIs(msgspec.Struct, frozen=True, kw_only=True, tag="knowledge.is"):
    """Tell how old the sender's knowledge is, and where it last changed."""

    sequence: int
    """The question; 0 where there was none, so that the ages prove nothing."""
    operators_end: int
    operators_age_s: float
    backends_end: int
    backends_changed_at: int
    """Offset up to which reading last changed anything."""
    backends_age_s: float


RELAY_MESSAGES = (AskKnowledge, KnowledgeIs)

Tell = Callable[[str, msgspec.Struct], None]
"""Send a message to a member."""
Fetch = Callable[[str], None]
"""Fetch what a member knows."""


class Relay:
    """Decide who reads the store, and keep the others up to date."""

    __slots__ = (
        "_alive",
        "_asked",
        "_asked_at",
        "_fetch",
        "_heard_end",
        "_knowledge",
        "_me",
        "_misses",
        "_sequence",
        "_subscribers",
        "_tell",
        "_told",
    )

    def __init__(
        self, *, me: str, knowledge: Knowledge, tell: Tell, fetch: Fetch
    ) -> None:
        self._me = me
        self._knowledge = knowledge
        self._tell = tell
        self._fetch = fetch
        self._alive: list[str] = [me]
        self._asked: dict[int, float] = {}
        self._asked_at = -1e9
        self._heard_end = 0
        self._misses = 0
        self._sequence = 0
        self._subscribers: dict[str, float] = {}
        self._told = (0, 0)

    def set_members(self, names: list[str]) -> None:
        """Note which instances serve, this one included."""
        self._alive = names or [self._me]

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
        return self._me in self._readers()

    @property
    def is_behind(self) -> bool:
        """Tell whether operators wrote something that is not known here yet."""
        return self._heard_end > self._knowledge.operators_end

    def note_news(self, operators_end: int) -> None:
        """Note that operators wrote up to an offset."""
        # A configuration may be some hundred kilobytes. From a reader on a slow link
        # twenty instances would get it after ten seconds; the store's link bears it.
        self._heard_end = max(self._heard_end, operators_end)

    def needs_operators(self) -> bool:
        """Tell whether this instance has to read the operators' records itself."""
        age = self._knowledge.operators_age(now())
        return self.is_reader or self.is_behind or age > OPERATORS_LIMIT_S

    def needs_backends(self) -> bool:
        """Tell whether this instance has to read the backend servers' records."""
        age = self._knowledge.backends_age(now())
        return self.is_reader or age > BACKENDS_LIMIT_S

    def tick(self) -> None:
        """Ask a reader, or tell subscribers of changes, as is due."""
        moment = now()
        self._tell_changes(moment)
        if self.is_reader or moment - self._asked_at < ASK_PERIOD_S:
            return
        self._asked_at = moment
        overdue = [s for s, at in self._asked.items() if moment - at > PATIENCE_S]
        for sequence in overdue:
            del self._asked[sequence]
            self._misses += 1
        self._sequence += 1
        self._asked[self._sequence] = moment
        self._tell(self._choose_peer(moment), AskKnowledge(sequence=self._sequence))

    def answer(self, sender: str, question: AskKnowledge) -> None:
        """Answer a question and remember who asked."""
        self._subscribers[sender] = now()
        self._tell(sender, self._describe(question.sequence))

    def take(self, sender: str, word: KnowledgeIs) -> None:
        """Take in what a reader knows."""
        knowledge = self._knowledge
        asked_at = self._asked.pop(word.sequence, None)
        if asked_at is not None:
            self._note_answer(word)
            knowledge.freshness.hear(
                head_age_s=word.operators_age_s,
                read_offset=word.operators_end,
                asked_at=asked_at,
            )
        self.note_news(word.operators_end)
        if word.backends_changed_at > knowledge.backends_end:
            self._fetch(sender)
        elif asked_at is not None:
            knowledge.confirm_backends(
                end=word.backends_end, read_at=asked_at - word.backends_age_s
            )

    def _readers(self) -> list[str]:
        count = math.ceil(len(self._alive) / MEMBERS_PER_READER)
        return rank("readers", self._alive)[: max(LEAST_READERS, count)]

    def _note_answer(self, word: KnowledgeIs) -> None:
        is_old = word.operators_age_s > OPERATORS_LIMIT_S
        self._misses = self._misses + 1 if is_old else 0

    def _choose_peer(self, moment: float) -> str:
        readers = rank(self._me, self._readers())
        if self._knowledge.operators_age(moment) <= OPERATORS_LIMIT_S:
            return readers[self._misses % len(readers)]
        # The store may turn away all readers and serve the others, or serve only some:
        # whoever is fresh can tell. Each question goes to another member, since asking
        # the readers alone would refuse every key while most instances know them.
        others = [name for name in rank(self._me, self._alive) if name != self._me]
        return others[self._misses % len(others)] if others else self._me

    def _tell_changes(self, moment: float) -> None:
        knowledge = self._knowledge
        state = (knowledge.operators_end, knowledge.backends_changed_at)
        if state == self._told:
            return
        self._told = state
        recent = moment - SUBSCRIBED_S
        self._subscribers = {n: t for n, t in self._subscribers.items() if t > recent}
        if not self.is_reader:
            return
        for name in self._subscribers:
            self._tell(name, self._describe(0))

    def _describe(self, sequence: int) -> KnowledgeIs:
        knowledge = self._knowledge
        moment = now()
        return KnowledgeIs(
            sequence=sequence,
            operators_end=knowledge.operators_end,
            operators_age_s=knowledge.operators_age(moment),
            backends_end=knowledge.backends_end,
            backends_changed_at=knowledge.backends_changed_at,
            backends_age_s=knowledge.backends_age(moment),
        )
