"""Publishing of a text through an append whose reply may be lost."""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from baobabthread.core.configuration.fold import ConfigurationFold
from baobabthread.core.configuration.records import Accepted, Conflict, Invalid, Publish
from baobabthread.core.messages import Append, AppendFailed, Effects, Stream

RETRY_S = 0.5
"""Pause before an append that the log refused is tried again."""
MAX_PENDING = 256


class Unknown(msgspec.Struct, frozen=True, kw_only=True, tag="unknown"):
    """Tell that the record may be in the log; its verdict can be asked for later."""

    id: str


class NotAppended(msgspec.Struct, frozen=True, kw_only=True, tag="not_appended"):
    """Tell that the log refused the record, so that nothing was published."""


Outcome: TypeAlias = Accepted | Conflict | Invalid | Unknown | NotAppended


class _Attempt:
    """Follow one record until the fold has a verdict on it."""

    __slots__ = ("ambiguous", "deadline", "id", "publish", "retry_at", "waiting")

    def __init__(self, *, record_id: str, publish: Publish, deadline: float) -> None:
        self.id = record_id
        self.publish = publish
        self.deadline = deadline
        self.ambiguous = False
        self.waiting = True
        self.retry_at = 0.0


class Publisher:
    """Publish texts: append, and after a lost reply look before appending again."""

    __slots__ = ("_attempts", "_fold", "_retry_s")

    def __init__(self, *, fold: ConfigurationFold, retry_s: float = RETRY_S) -> None:
        self._fold = fold
        self._retry_s = retry_s
        self._attempts: dict[str, _Attempt] = {}

    def __len__(self) -> int:
        return len(self._attempts)

    def publish(
        self, *, record_id: str, publish: Publish, now: float, deadline: float
    ) -> Effects | Conflict | Invalid | NotAppended:
        """Start publishing under a fresh id; return a verdict that is certain already.

        Both times are in seconds. After `deadline` the outcome is Unknown, or
        NotAppended when no append can have reached the log.
        """
        decision = self._fold.preview(publish)
        if isinstance(decision, Conflict | Invalid):
            return decision
        if len(self._attempts) >= MAX_PENDING:
            return NotAppended()
        attempt = _Attempt(record_id=record_id, publish=publish, deadline=deadline)
        self._attempts[record_id] = attempt
        return [_append(attempt)]

    def fail(self, event: AppendFailed, *, now: float) -> None:
        """Note a failed append; `settle` decides what follows."""
        attempt = self._attempts.get(event.id)
        if attempt is None:
            return
        attempt.waiting = False
        attempt.ambiguous = attempt.ambiguous or not event.definite
        attempt.retry_at = now + self._retry_s

    def repeat(self, *, head: int, now: float) -> Effects:
        """Return appends to repeat once the log was read up to its head.

        Call it after the fold took in what a read returned.
        """
        if self._fold.read_offset < head:
            return []
        effects: Effects = []
        for attempt in self._attempts.values():
            if self._may_repeat(attempt, now):
                attempt.waiting = True
                effects.append(_append(attempt))
        return effects

    def settle(self, *, record_id: str, now: float) -> Outcome | None:
        """Return the outcome once there is one and forget the record."""
        attempt = self._attempts.get(record_id)
        if attempt is None:
            return None
        outcome = self._outcome(attempt, now)
        if outcome is not None:
            del self._attempts[record_id]
        return outcome

    def _may_repeat(self, attempt: _Attempt, now: float) -> bool:
        # A blind second append after a lost reply could publish a text twice, the
        # second time over another operator's. The fold has read up to the head and
        # has not met the id; should the first copy still arrive, it has the same id
        # and the fold drops whichever copy is second.
        if attempt.waiting or now < attempt.retry_at or now >= attempt.deadline:
            return False
        return self._fold.verdict_of(attempt.id) is None

    def _outcome(self, attempt: _Attempt, now: float) -> Outcome | None:
        decision = self._fold.verdict_of(attempt.id)
        if decision is not None:
            return decision
        if now < attempt.deadline:
            return None
        # An append without a reply is as ambiguous as one whose reply was lost:
        # saying "not published" would be false when it arrives late.
        if attempt.ambiguous or attempt.waiting:
            return Unknown(id=attempt.id)
        return NotAppended()


def _append(attempt: _Attempt) -> Append:
    return Append(
        stream=Stream.CONFIGURATION,
        id=attempt.id,
        body=msgspec.json.encode(attempt.publish),
    )
