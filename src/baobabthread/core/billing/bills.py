"""Fold the stream of bills: the first record of each bill counts, no other."""

from __future__ import annotations

import heapq

import msgspec

from baobabthread.core.billing.types import BillOutcome, BillRecord
from baobabthread.core.messages import LogRecord

_DECODER = msgspec.json.Decoder(BillRecord)


class AccountTotal:
    """Add up what one client account owes."""

    __slots__ = ("bills", "cost", "tokens", "unknown")

    def __init__(self) -> None:
        self.bills = 0
        self.cost = 0.0
        self.tokens = 0
        self.unknown = 0
        """Bills settled for a dead entry by their estimate."""


class BillFold:
    """Bill each request once, however often its record was appended."""

    __slots__ = (
        "_heap",
        "_newest_s",
        "_seen",
        "_window_s",
        "late",
        "repeats",
        "totals",
    )

    def __init__(self, *, window_s: float = 86_400.0) -> None:
        """Take how long a bill's id is remembered, by the bills' own opening times."""
        self._window_s = window_s
        self._seen: set[str] = set()
        self._heap: list[tuple[float, str]] = []
        self._newest_s = 0.0
        self.totals: dict[str, AccountTotal] = {}
        self.repeats = 0
        self.late: list[BillRecord] = []
        """Bills older than the window, which may be repeats: for a person to judge."""

    def apply(self, record: LogRecord) -> bool:
        """Apply one record in log order; tell whether it was billed now."""
        try:
            bill = _DECODER.decode(record.body)
        except msgspec.DecodeError:
            return False
        # The same bill comes twice when an append whose reply was lost is repeated,
        # or when the owner and the peer that took over both settle it. Only the
        # first record in log order counts, which every reader sees alike.
        if bill.bill_id in self._seen:
            self.repeats += 1
            return False
        if bill.opened_s <= self._newest_s - self._window_s:
            self.late.append(bill)
            return False
        self._remember(bill)
        self._add(bill)
        return True

    def _remember(self, bill: BillRecord) -> None:
        self._seen.add(bill.bill_id)
        heapq.heappush(self._heap, (bill.opened_s, bill.bill_id))
        self._newest_s = max(self._newest_s, bill.opened_s)
        while self._heap[0][0] <= self._newest_s - self._window_s:
            self._seen.discard(heapq.heappop(self._heap)[1])

    def _add(self, bill: BillRecord) -> None:
        total = self.totals.setdefault(bill.account, AccountTotal())
        total.bills += 1
        total.cost += bill.cost
        total.tokens += bill.tokens
        if bill.outcome is BillOutcome.UNKNOWN:
            total.unknown += 1
