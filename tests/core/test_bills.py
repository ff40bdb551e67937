"""Test the fold of the stream of bills."""

from __future__ import annotations

import msgspec

from baobabthread.core.billing.bills import BillFold
from baobabthread.core.billing.types import BillOutcome, BillRecord
from baobabthread.core.messages import LogRecord


def make_record(bill_id: str, *, cost: float = 1.0, opened_s: float = 1.0) -> LogRecord:
    bill = BillRecord(
        request_id="r",
        bill_id=bill_id,
        account="a",
        service="s",
        outcome=BillOutcome.ANSWERED,
        cost=cost,
        tokens=10,
        opened_s=opened_s,
        settled_by="e1.1",
    )
    body = msgspec.Raw(msgspec.json.encode(bill))
    return LogRecord(offset=1, id=bill_id, body=body)


def test_first_record_of_a_bill_counts() -> None:
    fold = BillFold()
    assert fold.apply(make_record("one", cost=1.0))
    assert not fold.apply(make_record("one", cost=5.0))
    assert fold.totals["a"].bills == 1
    assert fold.totals["a"].cost == 1.0
    assert fold.repeats == 1


def test_totals_add_up_by_account() -> None:
    fold = BillFold()
    fold.apply(make_record("one", cost=1.5))
    fold.apply(make_record("two", cost=2.5))
    assert (fold.totals["a"].cost, fold.totals["a"].tokens) == (4.0, 20)


def test_bill_older_than_the_window_is_set_aside() -> None:
    fold = BillFold(window_s=10.0)
    fold.apply(make_record("old", opened_s=1.0))
    fold.apply(make_record("new", opened_s=100.0))
    assert not fold.apply(make_record("old", opened_s=1.0))
    assert [bill.bill_id for bill in fold.late] == ["old"]
    assert fold.totals["a"].bills == 2


def test_unreadable_record_is_passed_over() -> None:
    record = LogRecord(offset=1, id="x", body=msgspec.Raw(b'{"other":1}'))
    assert not BillFold().apply(record)
