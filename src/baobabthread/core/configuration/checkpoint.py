"""Planning of checkpoints, so that the log's retention loses nothing."""

from __future__ import annotations

import random

import msgspec

from baobabthread.core.configuration.fold import ConfigurationFold
from baobabthread.core.configuration.records import split_snapshot
from baobabthread.core.messages import Append, Effects, LogRead, Stream


class CheckpointSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Set when the configuration is restated in its stream."""

    every_records: int = 1_000
    """Records after which a new checkpoint is due."""
    every_s: float = 3_600.0
    """Seconds after which one is due even if nothing was published."""
    margin_records: int = 200
    """Distance to the lowest retained offset at which one is urgent."""
    spread_s: float = 30.0
    """Range over which entries draw the time of a checkpoint that is due."""
    urgent_spread_s: float = 2.0
    rest_s: float = 5.0
    """Least seconds between two checkpoints of one entry."""


class CheckpointPlanner:
    """Decide when this entry restates the configuration."""

    __slots__ = (
        "_due_at",
        "_first",
        "_fold",
        "_head",
        "_last_seen",
        "_me",
        "_rest_until",
        "_rng",
        "_seen_at",
        "_settings",
        "_urgent",
    )

    def __init__(
        self,
        *,
        me: str,
        fold: ConfigurationFold,
        rng: random.Random,
        now: float,
        settings: CheckpointSettings | None = None,
    ) -> None:
        self._me = me
        self._fold = fold
        self._rng = rng
        self._settings = settings or CheckpointSettings()
        self._first = 0
        self._head = 0
        self._due_at: float | None = None
        self._urgent = False
        self._rest_until = now
        self._last_seen = 0
        self._seen_at = now

    def note_read(self, event: LogRead, *, now: float) -> None:
        """Note the range of the log after the fold took in a read."""
        self._first = max(self._first, event.first)
        self._head = max(self._head, event.head)
        if self._fold.checkpoint_offset > self._last_seen:
            self._last_seen = self._fold.checkpoint_offset
            self._seen_at = now
            self._due_at = None

    def plan(self, now: float) -> Effects:
        """Return the appends of a checkpoint when this entry shall write one now."""
        if not self._is_able() or not self._is_due(now):
            self._due_at = None
            return []
        self._draw_time(now)
        if self._due_at is None or now < self._due_at:
            return []
        self._due_at = None
        self._rest_until = now + self._settings.rest_s
        return self._write()

    def next_due(self) -> float | None:
        """Return when `plan` has something to do, in seconds, if that is known."""
        return self._due_at

    def _is_able(self) -> bool:
        # An entry that has not folded all that it knows of would restate a state whose
        # following records may be gone before it lands: useless to a new reader.
        return (
            self._fold.configuration is not None
            and not self._fold.has_gap
            and self._fold.read_offset >= self._head
            and self._fold.read_offset > 0
        )

    def _is_due(self, now: float) -> bool:
        if now < self._rest_until:
            return False
        if self._is_urgent():
            return True
        records = self._fold.read_offset - max(self._fold.restated_at, self._first - 1)
        if records >= self._settings.every_records:
            return True
        changed = self._fold.generation > 0
        return changed and now - self._seen_at >= self._settings.every_s

    def _is_urgent(self) -> bool:
        # Once a record after the newest checkpoint's state has expired, a new entry
        # can't start from the log; were all replaced at once, the text would be lost.
        if self._first <= 1:
            return False
        return self._fold.checkpoint_offset < self._first + self._margin()

    def _margin(self) -> int:
        """Return the margin, less where the log keeps few records."""
        retained = max(0, self._head - self._first)
        return min(self._settings.margin_records, retained // 2)

    def _draw_time(self, now: float) -> None:
        urgent = self._is_urgent()
        if self._due_at is not None and urgent == self._urgent:
            return
        # All entries see the need at once; a drawn delay lets the first one's
        # checkpoint reach the others before they write theirs.
        spread = self._settings.spread_s
        if urgent:
            spread = self._settings.urgent_spread_s
        self._urgent = urgent
        self._due_at = now + self._rng.random() * spread

    def _write(self) -> Effects:
        parts = split_snapshot(self._fold.snapshot())
        return [
            Append(
                stream=Stream.CONFIGURATION,
                id=f"restate/{self._me}/{part.read_offset}/{part.part}",
                body=msgspec.json.encode(part),
            )
            for part in parts
        ]
