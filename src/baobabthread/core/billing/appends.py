"""Append closed bills until the log has acknowledged each of them."""

from __future__ import annotations

import math
from collections import deque

import msgspec

from baobabthread.core.billing.links import Bill
from baobabthread.core.messages import Append, Effects, Stream

_ENCODER = msgspec.json.Encoder()


class BillAppends:
    """Hold closed bills by id; appending one again is harmless."""

    __slots__ = (
        "_appending",
        "_closed",
        "_down_until",
        "_max_appending",
        "_retry_s",
        "_timeout_s",
        "_waiting",
        "is_down",
    )

    def __init__(self, *, max_appending: int, retry_s: float, timeout_s: float) -> None:
        self._max_appending = max_appending
        self._retry_s = retry_s
        self._timeout_s = timeout_s
        self._closed: dict[str, list[Bill]] = {}
        self._waiting: deque[str] = deque()
        self._appending: dict[str, float] = {}
        self._down_until = -math.inf
        self.is_down = False
        """The last append known of failed."""

    def __len__(self) -> int:
        return len(self._closed)

    def start(self, bill: Bill, now: float) -> Effects:
        """Append a closed bill, or let it share the append of its id."""
        same = self._closed.setdefault(bill.bill_id, [])
        same.append(bill)
        if len(same) > 1:
            return []
        self._waiting.append(bill.bill_id)
        return self.run(now)

    def run(self, now: float) -> Effects:
        """Append what waits; after a failure one probe at a time."""
        self._requeue_stuck(now)
        if now < self._down_until:
            return []
        limit = 1 if self.is_down else self._max_appending
        effects: Effects = []
        while self._waiting and len(self._appending) < limit:
            bill_id = self._waiting.popleft()
            bills = self._closed.get(bill_id)
            if not bills or bill_id in self._appending:
                continue
            self._appending[bill_id] = now
            body = _ENCODER.encode(bills[0].record)
            effects.append(Append(stream=Stream.BILLS, id=bill_id, body=body))
        return effects

    def confirm(self, bill_id: str) -> list[Bill]:
        """Forget a bill that the log holds; return all of that id."""
        self._appending.pop(bill_id, None)
        return self._closed.pop(bill_id, [])

    def note_success(self) -> None:
        """Note that the log takes appends."""
        self.is_down = False
        self._down_until = -math.inf

    def fail(self, bill_id: str, now: float) -> None:
        """Queue an append again under the same id."""
        # The failed append may be in the log all the same. The fold counts the
        # first record of an id, so a second one can't bill twice.
        if self._appending.pop(bill_id, None) is not None:
            self._waiting.append(bill_id)
        self.is_down = True
        self._down_until = now + self._retry_s

    def _requeue_stuck(self, now: float) -> None:
        """Queue appends again of which nothing was heard."""
        while self._appending:
            bill_id, sent_at = next(iter(self._appending.items()))
            if sent_at + self._timeout_s > now:
                return
            del self._appending[bill_id]
            self._waiting.append(bill_id)
