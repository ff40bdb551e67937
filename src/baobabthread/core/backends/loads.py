"""What engines have under way and what they keep, as their keeper is told.

Prompts are read one after the other, so a request waits for what stands before it. Each
instance sees only its own requests: among sixty instances that is one of sixty, and a
random engine is as good as the one that looks idle. So one instance keeps the load of
an engine, all tell it what they place there, and ask it before they do.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from collections.abc import Sequence

import msgspec

SUSPECT_S = 2.0
"""Time for which an engine that gave somebody no sign of life counts as far behind;
callers of all instances would otherwise find it out one by one, a second each."""
OVERTAKEN_S = 0.5
"""Time by which a placement may be older than one whose answer has begun. An older one
that is overdue has begun as well: word of it was lost."""
LONGEST_S = 6.0
"""Longest time that a placement counts without word: its instance may be gone."""
KEPT_PART = 0.75
"""Part of an engine's memory that is taken to hold parts of prompts; the rest holds
what runs."""
KEPT_TOKENS = 400_000
"""Tokens of such parts where nothing tells how much an engine holds."""
IDLE_S = 30.0
"""Time without word after which nothing is known of an engine."""


class Part(msgspec.Struct, frozen=True, array_like=True):
    """Name a part of a prompt as one model has read it, behind all parts before it."""

    key: int
    tokens: int


class Placed(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a prompt that an engine is asked to read."""

    number: int
    """Unique among the placements of one instance."""
    reading_s: float
    """Time that its reading takes by itself."""
    lasts_s: float
    """Time after which its caller has gone."""
    parts: tuple[Part, ...] = ()
    memory_tokens: int = 0
    """Tokens that the engine holds in all; 0 where nothing tells."""


class ReadingEnd(enum.StrEnum):
    """Tell how an engine's reading of a prompt ended for whoever placed it."""

    BEGUN = "begun"
    """Its answer has begun."""
    DROPPED = "dropped"
    """Nobody waits for it any more."""
    SILENT = "silent"
    """The engine gave no sign of life, or another server has its address."""


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Tell what a request would meet at an engine."""

    wait_s: float
    """Time until its own prompt would be read."""
    kept_tokens: int
    """Tokens of its prompt that need not be read."""


class _Waiting:
    __slots__ = ("at", "due_at", "reading_s", "until")

    def __init__(self, *, at: float, due_at: float, reading_s: float, until: float):
        self.at = at
        self.due_at = due_at
        self.reading_s = reading_s
        self.until = until


class EngineLoad:
    """Keep what one engine has to read and which parts of prompts it holds."""

    __slots__ = (
        "_kept",
        "_kept_tokens",
        "_most_kept",
        "_progress_at",
        "_waiting",
        "suspect_until",
    )

    def __init__(self) -> None:
        self._waiting: OrderedDict[tuple[str, int], _Waiting] = OrderedDict()
        """By sender and number, in the order of placement."""
        self._progress_at = 0.0
        self._kept: OrderedDict[int, int] = OrderedDict()
        self._kept_tokens = 0
        self._most_kept = KEPT_TOKENS
        self.suspect_until = 0.0

    def place(self, sender: str, placed: Placed, now: float) -> None:
        """Count a prompt that is to be read."""
        self._expire(now)
        if not self._waiting:
            self._progress_at = now
        self._waiting[sender, placed.number] = _Waiting(
            at=now,
            due_at=now + self.wait_s(now) + placed.reading_s,
            reading_s=placed.reading_s,
            until=now + min(LONGEST_S, placed.lasts_s),
        )
        if placed.memory_tokens:
            self._most_kept = int(KEPT_PART * placed.memory_tokens)
        for part in placed.parts:
            self._keep(part)

    def end(self, sender: str, number: int, end: ReadingEnd, now: float) -> None:
        """Take a prompt off, and learn from how its reading ended."""
        if end is ReadingEnd.BEGUN:
            self._begin(sender, number, now)
            return
        self._waiting.pop((sender, number), None)
        if end is ReadingEnd.SILENT:
            self.suspect_until = now + SUSPECT_S

    def _begin(self, sender: str, number: int, now: float) -> None:
        begun = self._waiting.pop((sender, number), None)
        self._progress_at = now
        self.suspect_until = 0.0
        if begun is None:
            return
        overtaken = [
            key
            for key, waiting in self._waiting.items()
            if waiting.at < begun.at - OVERTAKEN_S and waiting.due_at < now
        ]
        for key in overtaken:
            del self._waiting[key]

    def wait_s(self, now: float) -> float:
        """Return the time until another prompt would be read."""
        self._expire(now)
        suspected_s = max(0.0, self.suspect_until - now)
        if not self._waiting:
            return suspected_s
        oldest = next(iter(self._waiting.values()))
        total_s = sum(waiting.reading_s for waiting in self._waiting.values())
        done_s = min(oldest.reading_s, max(0.0, now - self._progress_at))
        # What is overdue shows an engine that is slow or dark before anybody says so.
        late_s = max(0.0, now - oldest.due_at)
        return max(suspected_s, total_s - done_s + late_s)

    def count_kept(self, parts: Sequence[Part]) -> int:
        """Return the tokens of a prompt's leading parts that are kept."""
        tokens = 0
        for part in parts:
            if part.key not in self._kept:
                break
            tokens += part.tokens
        return tokens

    def _keep(self, part: Part) -> None:
        known = self._kept.pop(part.key, 0)
        self._kept[part.key] = part.tokens
        self._kept_tokens += part.tokens - known
        while self._kept_tokens > self._most_kept:
            _, tokens = self._kept.popitem(last=False)
            self._kept_tokens -= tokens

    def _expire(self, now: float) -> None:
        while self._waiting:
            key, oldest = next(iter(self._waiting.items()))
            if oldest.until > now:
                return
            del self._waiting[key]


class EngineLoads:
    """Keep the loads of the engines that this instance is the keeper of."""

    __slots__ = ("_engines", "_heard_at")

    def __init__(self) -> None:
        self._engines: dict[str, EngineLoad] = {}
        self._heard_at: dict[str, float] = {}

    def find(self, engine: str, now: float) -> EngineLoad:
        """Return the load of an engine, an idle one where nothing is known."""
        self._heard_at[engine] = now
        found = self._engines.get(engine)
        if found is None:
            found = self._engines[engine] = EngineLoad()
        return found

    def describe(self, engine: str, parts: Sequence[Part], now: float) -> Load:
        """Tell what a prompt of such parts would meet at an engine."""
        found = self._engines.get(engine)
        if found is None:
            return Load(wait_s=0.0, kept_tokens=0)
        return Load(
            wait_s=round(found.wait_s(now), 3), kept_tokens=found.count_kept(parts)
        )

    def forget_idle(self, now: float) -> None:
        """Forget engines of which nobody has told anything for long."""
        idle = [name for name, at in self._heard_at.items() if now - at > IDLE_S]
        for name in idle:
            del self._heard_at[name]
            del self._engines[name]
