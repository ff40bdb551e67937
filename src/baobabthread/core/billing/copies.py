"""Hold copies of other entries' bills until their owner has settled them."""

from __future__ import annotations

from collections.abc import Collection

from baobabthread.core.billing.types import (
    BillOutcome,
    BillRecord,
    BillsCopied,
    CopyBills,
    OpenBill,
)


class _Owner:
    __slots__ = ("bills", "gone_at", "last_batch")

    def __init__(self) -> None:
        self.bills: dict[str, OpenBill | BillRecord] = {}
        self.last_batch = 0
        self.gone_at: float | None = None


class BillCopies:
    """Keep copies by owner; give up those of an owner that stays dead."""

    __slots__ = ("_count", "_live", "_max_copies", "_me", "_owners", "_settle_after_s")

    def __init__(self, *, me: str, max_copies: int, settle_after_s: float) -> None:
        self._me = me
        self._max_copies = max_copies
        self._settle_after_s = settle_after_s
        self._owners: dict[str, _Owner] = {}
        self._count = 0
        self._live: set[str] = set()

    def __len__(self) -> int:
        return self._count

    def take(self, message: CopyBills, now: float) -> BillsCopied:
        """Apply a batch and return its acknowledgement."""
        owner = self._owners.get(message.owner)
        if owner is None:
            owner = self._owners[message.owner] = _Owner()
            # A batch may arrive after its owner's death was reported; without this
            # its bills would wait for a report that does not come again.
            owner.gone_at = None if message.owner in self._live else now
        # A batch that comes twice or late would bring back a copy that a newer one
        # dropped; long after, it would be settled as if its owner had left it open.
        if message.batch <= owner.last_batch:
            return BillsCopied(batch=message.batch)
        owner.last_batch = message.batch
        bills = owner.bills
        before = len(bills)
        if message.keep is not None:
            for request_id in bills.keys() - set(message.keep):
                del bills[request_id]
        for request_id in message.drops:
            bills.pop(request_id, None)
        for record in message.closes:
            bills[record.request_id] = record
        full = self._count + len(message.opens) > self._max_copies
        if not full:
            for opened in message.opens:
                bills.setdefault(opened.request_id, opened)
        self._count += len(bills) - before
        return BillsCopied(batch=message.batch, full=full and bool(message.opens))

    def set_live(self, names: set[str], now: float) -> None:
        """Note which entries live; the owners besides them count as dead."""
        self._live = names
        for name, owner in self._owners.items():
            if name in names:
                owner.gone_at = None
            elif owner.gone_at is None:
                owner.gone_at = now

    def take_due(self, now: float) -> list[BillRecord]:
        """Remove and return the bills of owners that are dead for long enough."""
        # An owner that is only slow or paused settles its bills itself, at their
        # true cost; the bound makes a settlement by estimate rare. If both settle,
        # the fold counts the first.
        limit = now - self._settle_after_s
        return self._take(limit) + self._take_closed()

    def _take_closed(self) -> list[BillRecord]:
        """Remove and return the closed bills of owners that are dead."""
        # Their cost is true, so nothing is gained by waiting; and should this entry
        # die as well before the bound, they would be lost with it.
        records: list[BillRecord] = []
        for owner in self._owners.values():
            if owner.gone_at is None:
                continue
            closed = [b for b in owner.bills.values() if isinstance(b, BillRecord)]
            for bill in closed:
                del owner.bills[bill.request_id]
            self._count -= len(closed)
            records += closed
        return records

    def take_all_gone(self, silent: Collection[str] = ()) -> list[BillRecord]:
        """Remove and return the bills of all owners that are dead or silent."""
        return self._take(float("inf"), silent)

    def _take(self, limit: float, silent: Collection[str] = ()) -> list[BillRecord]:
        due = [
            name
            for name, owner in self._owners.items()
            if name in silent or (owner.gone_at is not None and owner.gone_at <= limit)
        ]
        records: list[BillRecord] = []
        for name in due:
            bills = self._owners.pop(name).bills
            self._count -= len(bills)
            records += [
                settle_open(bill, settled_by=self._me) for bill in bills.values()
            ]
        return records


def settle_open(bill: OpenBill | BillRecord, *, settled_by: str) -> BillRecord:
    """Return the record of a bill whose owner did not close it."""
    if isinstance(bill, BillRecord):
        return bill
    return BillRecord(
        request_id=bill.request_id,
        bill_id=bill.bill_id,
        account=bill.account,
        service=bill.service,
        outcome=BillOutcome.UNKNOWN,
        cost=bill.estimate,
        tokens=0,
        opened_s=bill.opened_s,
        settled_by=settled_by,
    )
