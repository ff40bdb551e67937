"""Show that each request is billed exactly once, whatever fails.

The caller sees its answer, or a refusal before the request ran. Three entries open
each bill at a peer, run the request, close the bill and append it. At each effect an
entry dies, sleeps, or loses the log, its peers or a reply. Afterwards the fold of the
stream must hold one bill for every request that ran, because a copy outlives any one
entry and only the first record of a bill counts.
"""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from baobabthread.core.billing.bills import BillFold
from baobabthread.core.billing.copies import BillCopies
from baobabthread.core.billing.ledger import Ledger
from baobabthread.core.billing.links import Link
from baobabthread.core.billing.types import (
    BillOpened,
    BillOutcome,
    BillRecord,
    BillsTaken,
    CopyBills,
    HandOverBills,
    Settlement,
)
from baobabthread.core.messages import (
    AppendFailed,
    Effects,
    LogRecord,
    Send,
)
from tests.failures.ledger_scenario import (
    COST,
    CountingFold,
    LedgerScenario,
    OutageScenario,
    StopInOutageScenario,
    StopScenario,
    fold_bills,
)
from tests.failures.matrix import Fault, World, run_matrix
from tests.failures.mutants import Promise, ProofResult, mutant, proof

PAIRS = 500


def check_ledger() -> list[str]:
    return run_matrix(LedgerScenario, pairs=0, stop_early=True).violations


def check_pauses() -> list[str]:
    return run_matrix(
        LedgerScenario, pairs=0, stop_early=True, faults=[Fault.PAUSED]
    ).violations


def check_outage() -> list[str]:
    return run_matrix(OutageScenario, pairs=0, stop_early=True).violations


def check_stop() -> list[str]:
    return run_matrix(StopInOutageScenario, pairs=0, stop_early=True).violations


@proof("ledger", Promise.BILLED)
def prove_ledger() -> ProofResult:
    result = run_matrix(LedgerScenario, pairs=PAIRS)
    return ProofResult(cells=result.cells, violations=result.violations)


@proof("ledger in an outage", Promise.BILLED)
def prove_outage() -> ProofResult:
    result = run_matrix(OutageScenario, pairs=0)
    return ProofResult(cells=result.cells, violations=result.violations)


@proof("ledger handed over", Promise.BILLED, Promise.GRACEFUL)
def prove_stop() -> ProofResult:
    calm = run_matrix(StopScenario, pairs=0)
    outage = run_matrix(StopInOutageScenario, pairs=0)
    return ProofResult(
        cells=calm.cells + outage.cells,
        violations=calm.violations + outage.violations,
    )


def test_no_fault_bills_each_request_once() -> None:
    scenario = LedgerScenario()
    world = World(scenario=scenario)
    assert world.run() == []
    fold = fold_bills(world)
    assert fold.fold.totals["account"].bills == 5
    assert fold.fold.totals["account"].cost == 5 * COST
    assert not scenario.degraded


def test_bills_hold_under_every_fault() -> None:
    assert prove_ledger().violations == []


def test_bills_outlast_an_outage_under_every_fault() -> None:
    assert prove_outage().violations == []


def test_hand_over_of_bills_holds_under_every_fault() -> None:
    assert prove_stop().violations == []


def check_window() -> list[str]:
    """Fold the same bill again after many others have come."""
    fold = CountingFold()
    fold.fold = BillFold(window_s=10.0)
    for number, opened_s in enumerate((1.0, 5.0, 30.0, 1.0, 5.0)):
        bill = BillRecord(
            request_id=str(number),
            bill_id=f"bill-{opened_s}",
            account="account",
            service="content",
            outcome=BillOutcome.ANSWERED,
            cost=COST,
            tokens=1,
            opened_s=opened_s,
            settled_by="e1.1",
        )
        body = msgspec.Raw(msgspec.json.encode(bill))
        fold.apply(LogRecord(offset=number + 1, id=bill.bill_id, body=body))
    return [f"{id_} billed {n} times" for id_, n in fold.billed.items() if n != 1]


def test_a_bill_older_than_the_window_is_set_aside() -> None:
    assert check_window() == []


@mutant("ledger: run before the copy", promise=Promise.BILLED, check=check_ledger)
def run_before_copy(patch: pytest.MonkeyPatch) -> None:
    place = Ledger._place

    def open_now(self: Ledger, bill: Any, now: float, besides: Any = None) -> Effects:
        effects: Effects = []
        if bill.waiting:
            bill.waiting = False
            effects = [BillOpened(request_id=bill.request_id)]
        return effects + place(self, bill, now, besides)

    patch.setattr(Ledger, "_place", open_now)


@mutant("ledger: nobody settles", promise=Promise.BILLED, check=check_ledger)
def never_settle(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(BillCopies, "take_due", lambda self, now: [])


@mutant(
    "ledger: a failed append is forgotten", promise=Promise.BILLED, check=check_ledger
)
def forget_failed_append(patch: pytest.MonkeyPatch) -> None:
    def fail(self: Ledger, failed: AppendFailed, now: float) -> Effects:
        self._confirm(failed.id, now)
        return []

    patch.setattr(Ledger, "on_append_failed", fail)


@mutant("ledger: every record bills", promise=Promise.BILLED, check=check_ledger)
def count_repeats(patch: pytest.MonkeyPatch) -> None:
    def apply(self: BillFold, record: LogRecord) -> bool:
        return True

    patch.setattr(BillFold, "apply", apply)


@mutant(
    "ledger: the copy is dropped on closing", promise=Promise.BILLED, check=check_outage
)
def drop_copy_early(patch: pytest.MonkeyPatch) -> None:
    close = Ledger.close

    def close_and_drop(
        self: Ledger, request_id: str, settlement: Settlement, now: float
    ) -> Effects:
        effects = close(self, request_id, settlement, now)
        bill = self._bills.get(request_id)
        link = self._links.get(bill.peer) if bill is not None else None
        if bill is not None and link is not None:
            link.drops.append(request_id)
            link.closes.clear()
            link.since = -1.0
        return effects + self.tick(now)

    patch.setattr(Ledger, "close", close_and_drop)


@mutant("ledger: old batches apply", promise=Promise.BILLED, check=check_ledger)
def apply_old_batches(patch: pytest.MonkeyPatch) -> None:
    take = BillCopies.take

    def take_any(self: BillCopies, message: CopyBills, now: float) -> Any:
        owner = self._owners.get(message.owner)
        if owner is not None:
            owner.last_batch = 0
        return take(self, message, now)

    patch.setattr(BillCopies, "take", take_any)


@mutant(
    "ledger: a new link keeps old copies", promise=Promise.BILLED, check=check_pauses
)
def skip_reset(patch: pytest.MonkeyPatch) -> None:
    make_batch = Link.make_batch

    def make(self: Link, **named: Any) -> CopyBills:
        return make_batch(self, **{**named, "keep": None})

    patch.setattr(Link, "make_batch", make)


@mutant(
    "ledger: copies of a gone peer stay gone",
    promise=Promise.BILLED,
    check=check_ledger,
)
def skip_move(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Ledger, "_move_copies", lambda self, gone, now: [])


@mutant(
    "ledger: handed bills are not waited for",
    promise=Promise.GRACEFUL,
    check=check_stop,
)
def forget_handed_bills(patch: pytest.MonkeyPatch) -> None:
    hand_over = Ledger.hand_over

    def give(self: Ledger, now: float) -> Effects:
        effects = hand_over(self, now)
        self._bills.clear()
        return effects

    patch.setattr(Ledger, "hand_over", give)


@mutant(
    "ledger: bills are taken before a copy", promise=Promise.GRACEFUL, check=check_stop
)
def acknowledge_early(patch: pytest.MonkeyPatch) -> None:
    def acknowledge(self: Ledger, sender: str, message: Any, now: float) -> Effects:
        effects = on_message(self, sender, message, now)
        if isinstance(message, HandOverBills):
            taken = BillsTaken(batch=message.batch)
            effects.append(Send(to=sender, message=taken))
        return effects

    on_message = Ledger.on_message
    patch.setattr(Ledger, "on_message", acknowledge)


@mutant("ledger: the window forgets", promise=Promise.BILLED, check=check_window)
def forget_window(patch: pytest.MonkeyPatch) -> None:
    remember = BillFold._remember

    def forget(self: BillFold, bill: BillRecord) -> None:
        remember(self, bill)
        self._newest_s = 0.0

    patch.setattr(BillFold, "_remember", forget)
