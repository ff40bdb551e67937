"""Bill each request exactly once, across crashes and outages of the log."""

from __future__ import annotations

from collections.abc import Collection, Sequence

import msgspec

from baobabthread.core.billing.appends import BillAppends
from baobabthread.core.billing.copies import BillCopies
from baobabthread.core.billing.handover import Gifts, Taking
from baobabthread.core.billing.links import Bill, Link, Links
from baobabthread.core.billing.types import (
    BillOpened,
    BillRecord,
    BillRefused,
    BillRequest,
    BillsCopied,
    BillsTaken,
    CopyBills,
    HandOverBills,
    LedgerSettings,
    OpenBill,
    Peer,
    Settlement,
    name_bill,
    problem_alone,
    problem_full,
)
from baobabthread.core.messages import (
    Appended,
    AppendFailed,
    Effects,
    LogRead,
    Send,
    SendFailed,
    Stream,
)
from baobabthread.errors import Problem

MAX_ASKED = 2
"""Peers that are asked to hold a copy before the entry goes on alone."""


class Ledger:
    """Open each bill at a peer, close it, append it, and settle for dead entries."""

    def __init__(
        self,
        *,
        incarnation: str,
        failure_domain: str,
        settings: LedgerSettings | None = None,
        wall_offset_s: float = 0.0,
    ) -> None:
        """Take the unix time at monotonic zero."""
        self._me = incarnation
        self._settings = settings or LedgerSettings()
        self._wall_offset_s = wall_offset_s
        self._links = Links(me=incarnation, failure_domain=failure_domain)
        self._copies = BillCopies(
            me=incarnation,
            max_copies=self._settings.max_copies,
            settle_after_s=self._settings.settle_after_s,
        )
        self._bills: dict[str, Bill] = {}
        self._uncopied: dict[str, Bill] = {}
        self._appends = BillAppends(
            max_appending=self._settings.max_appending,
            retry_s=self._settings.append_retry_s,
            timeout_s=self._settings.append_timeout_s,
        )
        self._batch = 0
        self._gifts = Gifts(
            me=incarnation,
            links=self._links,
            size=self._settings.hand_over_size,
            timeout_s=self._settings.append_timeout_s,
        )
        self._leaving = False
        self.degraded = 0
        """Requests that ran while no peer held a copy of their bill."""

    def __len__(self) -> int:
        return len(self._bills)

    def may_admit(self, now: float) -> Problem | None:
        """Return why no new request may be admitted, or none."""
        del now
        if len(self._bills) < self._settings.max_unsettled:
            return None
        return problem_full()

    def set_peers(self, peers: Sequence[Peer], now: float) -> Effects:
        """Take the live entries besides this one; the others count as gone."""
        self._copies.set_live({peer.name for peer in peers}, now)
        effects: Effects = []
        for link in self._links.set_peers([p for p in peers if not p.is_leaving]):
            effects += self._move_copies(link, now)
        return effects

    def open(self, request: BillRequest, now: float) -> Effects:
        """Open a bill; the request is dispatched on BillOpened."""
        opened = OpenBill(
            request_id=request.request_id,
            bill_id=name_bill(
                account=request.account, key=request.key, request_id=request.request_id
            ),
            account=request.account,
            service=request.service,
            estimate=request.estimate,
            opened_s=now + self._wall_offset_s,
        )
        bill = Bill(opened=opened, waiting=True)
        self._bills[bill.request_id] = bill
        return self._place(bill, now)

    def close(self, request_id: str, settlement: Settlement, now: float) -> Effects:
        """Close a bill with its true cost and append it."""
        bill = self._bills.get(request_id)
        if bill is None or bill.record is not None:
            return []
        opened = bill.opened
        bill.record = BillRecord(
            request_id=opened.request_id,
            bill_id=opened.bill_id,
            account=opened.account,
            service=opened.service,
            outcome=settlement.outcome,
            cost=settlement.cost,
            tokens=settlement.tokens,
            opened_s=opened.opened_s,
            settled_by=self._me,
            attempts=settlement.attempts,
        )
        link = self._links.get(bill.peer)
        if link is not None:
            link.closes.append(bill)
            link.since = min(link.since, now)
        return self._appends.start(bill, now)

    def cancel(self, request_id: str, now: float) -> Effects:
        """Drop the bill of a request that surely did not run."""
        bill = self._bills.get(request_id)
        if bill is None or bill.record is not None:
            return []
        return self._drop(bill, now)

    def on_message(self, sender: str, message: msgspec.Struct, now: float) -> Effects:
        """Take a message of billing from a peer; others give no effect."""
        if isinstance(message, CopyBills):
            return [Send(to=sender, message=self._copies.take(message, now))]
        if isinstance(message, BillsCopied):
            return self._on_copied(sender, message, now)
        if isinstance(message, HandOverBills):
            taking = Taking(sender=sender, batch=message.batch, left=len(message.bills))
            return self._adopt(message.bills, now, taking)
        if isinstance(message, BillsTaken):
            return self._on_taken(message, now)
        return []

    def on_send_failed(self, failed: SendFailed, now: float) -> Effects:
        """Ask another peer when a batch did not arrive or its reply was lost."""
        message = failed.message
        if isinstance(message, HandOverBills):
            return self._gifts.retry(message.batch, now)
        link = self._links.get(failed.to)
        if not isinstance(message, CopyBills) or link is None:
            return []
        if link.batch != message.batch:
            return []
        return self._on_link_failed(link, now)

    def on_appended(self, appended: Appended, now: float) -> Effects:
        """Settle the bill that the log acknowledged."""
        if appended.stream is not Stream.BILLS:
            return []
        self._appends.note_success()
        return self._confirm(appended.id, now) + self._appends.run(now)

    def on_append_failed(self, failed: AppendFailed, now: float) -> Effects:
        """Append again later under the same id; the fold counts it once."""
        if failed.stream is Stream.BILLS:
            self._appends.fail(failed.id, now)
        return []

    def on_log_read(self, read: LogRead, now: float) -> Effects:
        """Settle the bills that the log shows; reading the stream is optional."""
        effects: Effects = []
        if read.stream is Stream.BILLS:
            for record in read.records:
                effects += self._confirm(record.id, now)
        return effects

    def tick(self, now: float) -> Effects:
        """Run timeouts, retries and settlements; call it every 20 to 100 ms."""
        effects = self._check_timeouts(now)
        effects += self._adopt(self._copies.take_due(now), now)
        effects += self._appends.run(now)
        effects += self._copy_uncopied(now)
        if self._leaving:
            effects += self._gifts.give(self._bills.values(), now)
        for link in self._links.get_all():
            if link.is_reset_due(now) and self._is_all_copied():
                keep = [
                    b.request_id for b in self._bills.values() if b.peer == link.name
                ]
                effects.append(self._flush(link, now, keep=keep))
            elif link.is_due(now, self._settings.linger_s):
                effects.append(self._flush(link, now))
        return effects

    def hand_over(self, now: float, *, silent: Collection[str] = ()) -> Effects:
        """Give closed bills to a peer from now on; is_settled tells when to end.

        `silent` names owners that may be dead: they answer nobody just now.
        """
        self._leaving = True
        # A live owner has moved its copies when it heard of the stop. One that was
        # killed right before never will, and before its death is sure this entry is
        # gone: its bills would be lost. Should it live, the fold counts one of both.
        effects = self._adopt(self._copies.take_all_gone(silent), now)
        return effects + self._gifts.give(self._bills.values(), now)

    @property
    def is_settled(self) -> bool:
        """Tell whether no bill depends on this entry and no peer holds a copy."""
        return not self._bills and all(link.is_idle for link in self._links.get_all())

    def describe(self) -> dict[str, int]:
        """Return counts for the state dump."""
        return {
            "unsettled": len(self._bills),
            "closed": len(self._appends),
            "copies": len(self._copies),
            "degraded": self.degraded,
        }

    def _place(self, bill: Bill, now: float, besides: str | None = None) -> Effects:
        """Ask the next peer to hold a copy, or go on without one."""
        link = self._links.choose(now, besides=besides)
        if link is None or bill.asked >= MAX_ASKED:
            return self._go_alone(bill)
        bill.asked += 1
        bill.peer = link.name
        bill.is_copied = False
        link.opens.append(bill)
        if link.batch:
            return []
        return [self._flush(link, now)]

    def _go_alone(self, bill: Bill) -> Effects:
        bill.peer = None
        bill.is_copied = False
        if not bill.waiting:
            self._uncopied[bill.request_id] = bill
            return [] if len(self._links) else bill.note_safe()
        bill.waiting = False
        # With neither a peer nor the log within reach the bill would live in this
        # process alone for as long as that lasts; its death would lose the bill.
        if self._appends.is_down and len(self._links):
            del self._bills[bill.request_id]
            return [BillRefused(request_id=bill.request_id, problem=problem_alone())]
        self.degraded += 1
        self._uncopied[bill.request_id] = bill
        return [BillOpened(request_id=bill.request_id, degraded=True)]

    def _is_all_copied(self) -> bool:
        """Tell whether every bill that may run has its copy."""
        # A peer that was lost sight of may hold the only copy of a bill that is on
        # its way to another peer; dropping it before that one has it could lose it.
        return all(bill.is_copied or bill.waiting for bill in self._bills.values())

    def _flush(self, link: Link, now: float, keep: list[str] | None = None) -> Send:
        self._batch += 1
        message = link.make_batch(owner=self._me, batch=self._batch, now=now, keep=keep)
        return Send(to=link.name, message=message)

    def _on_copied(self, sender: str, message: BillsCopied, now: float) -> Effects:
        link = self._links.get(sender)
        if link is None or link.batch != message.batch:
            return []
        opens, closes, _ = link.take_in_flight()
        effects: Effects = []
        for bill in closes:
            effects += bill.note_safe()
        if message.full:
            effects += self._on_full(link, opens, now)
        else:
            for bill in opens:
                bill.is_copied = True
                if bill.waiting:
                    bill.waiting = False
                    effects.append(BillOpened(request_id=bill.request_id))
        if link.is_due(now, self._settings.linger_s):
            effects.append(self._flush(link, now))
        return effects

    def _on_full(self, link: Link, opens: list[Bill], now: float) -> Effects:
        link.avoid_until = now + self._settings.avoid_s
        effects: Effects = []
        for bill in opens:
            if bill.is_settled:
                continue
            if bill.waiting and bill.asked >= MAX_ASKED:
                self._bills.pop(bill.request_id, None)
                problem = problem_full()
                effects.append(BillRefused(request_id=bill.request_id, problem=problem))
            else:
                effects += self._place(bill, now, besides=link.name)
        return effects

    def _on_link_failed(self, link: Link, now: float) -> Effects:
        """Ask another peer; the failed one may hold copies all the same."""
        opens = link.fail(now, self._settings.avoid_s)
        effects: Effects = []
        for bill in opens:
            if not bill.is_settled:
                effects += self._place(bill, now, besides=link.name)
        return effects

    def _move_copies(self, gone: Link, now: float) -> Effects:
        """Copy the bills that a gone peer held to another one."""
        effects: Effects = []
        for bill in list(self._bills.values()):
            if bill.peer == gone.name:
                bill.asked = 0
                effects += self._place(bill, now, besides=gone.name)
        return effects

    def _copy_uncopied(self, now: float) -> Effects:
        effects: Effects = []
        link = self._links.choose(now)
        if not self._uncopied or link is None or link.avoid_until > now:
            return effects
        bills, self._uncopied = self._uncopied, {}
        for bill in bills.values():
            bill.asked = 0
            effects += self._place(bill, now)
        return effects

    def _confirm(self, bill_id: str, now: float) -> Effects:
        effects: Effects = []
        for bill in self._appends.confirm(bill_id):
            effects += self._drop(bill, now)
        return effects

    def _drop(self, bill: Bill, now: float) -> Effects:
        """Forget a settled bill here and at its peer."""
        self._bills.pop(bill.request_id, None)
        self._uncopied.pop(bill.request_id, None)
        bill.waiting = False
        bill.is_settled = True
        link = self._links.get(bill.peer)
        if link is not None:
            link.drops.append(bill.request_id)
            link.since = min(link.since, now)
        return bill.note_safe()

    def _check_timeouts(self, now: float) -> Effects:
        effects: Effects = []
        for link in list(self._links.get_all()):
            late = now - link.sent_at > self._settings.open_timeout_s
            if link.batch and late:
                effects += self._on_link_failed(link, now)
        effects += self._gifts.retry_late(now)
        return effects

    def _adopt(
        self, records: list[BillRecord], now: float, taking: Taking | None = None
    ) -> Effects:
        """Settle bills of an entry that is gone as if they were this entry's own."""
        effects: Effects = []
        for record in records:
            opened = OpenBill(
                request_id=f"{record.request_id}@{self._me}",
                bill_id=record.bill_id,
                account=record.account,
                service=record.service,
                estimate=record.cost,
                opened_s=record.opened_s,
            )
            bill = Bill(opened=opened, waiting=False)
            bill.taking = taking
            bill.record = msgspec.structs.replace(record, request_id=opened.request_id)
            self._bills[bill.request_id] = bill
            giver = taking.sender if taking is not None else None
            effects += self._place(bill, now, besides=giver)
            effects += self._appends.start(bill, now)
        return effects

    def _on_taken(self, message: BillsTaken, now: float) -> Effects:
        effects: Effects = []
        for bill in self._gifts.take_acknowledged(message.batch):
            self._appends.confirm(bill.bill_id)
            effects += self._drop(bill, now)
        return effects
