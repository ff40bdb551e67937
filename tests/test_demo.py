"""Tests of the demo: the main job in one process, short."""

from __future__ import annotations

import msgspec
import pytest

from baobabthread import cli
from baobabthread.core.billing.types import BillOutcome, BillRecord
from baobabthread.demo import (
    BillCheck,
    DemoReport,
    compare_bills,
    move_addresses,
    read_example,
)
from baobabthread.load.caller import Record, Result
from baobabthread.load.settings import Work
from baobabthread.standins.fleet import Fleet

ZEROS = (
    "lost",
    "cut",
    "wrong",
    "doubled",
    "answered without a bill",
    "billed twice",
    "billed though not run",
)


def test_short_demo_ends_well(capsys: pytest.CaptureFixture[str]) -> None:
    code = cli.run(["demo", "--duration", "3", "--rate", "15"])
    written = capsys.readouterr()
    assert code == 0, written.err
    lines = written.out.splitlines()
    assert lines[-1] == "ok"
    for name in ZEROS:
        row = next(line for line in lines if line.startswith(name))
        figures = row.removeprefix(name).split()
        assert figures, row
        assert set(figures) == {"0"}, row
    assert any(line.split()[-1:] == ["yes"] for line in lines)


@pytest.mark.parametrize("name", ["association", "kalbaishakhi"])
def test_addresses_move_to_the_stand_ins(name: str) -> None:
    text = read_example(name)
    fleet = Fleet(texts=[text], keep_ports=False)
    for number, backend in enumerate(fleet.configuration.backends):
        place = type("Place", (), {"address": f"127.0.0.1:{20_000 + number}"})
        fleet.backends[backend] = place  # type: ignore[assignment]
    moved = move_addresses(text, fleet)
    assert moved.count("127.0.0.1:2000") == 9
    assert "127.0.0.1:71" not in moved


def bill(request_id: str, bill_id: str) -> BillRecord:
    return BillRecord(
        request_id=request_id,
        bill_id=bill_id,
        account="metro",
        service="content",
        outcome=BillOutcome.ANSWERED,
        cost=1.0,
        tokens=10,
        opened_s=0.0,
        settled_by="e1",
    )


def told(request_id: str, result: Result) -> Record:
    return Record(
        own_id=request_id,
        account="metro",
        work=Work.CHAT,
        result=result,
        request_id=request_id,
    )


@pytest.mark.parametrize(
    "records, bills, counts",
    [
        ([], [], (0, 0, 0, 0)),
        ([told("r1", Result.ANSWERED)], [bill("r1", "b1")], (1, 0, 0, 0)),
        ([told("r1", Result.ANSWERED)], [], (0, 1, 0, 0)),
        ([told("r1", Result.ANSWERED)], [bill("r1", "b1")] * 2, (1, 0, 0, 0)),
        (
            [told("r1", Result.ANSWERED)],
            [bill("r1", "b1"), bill("r1", "b2")],
            (2, 0, 1, 0),
        ),
        ([told("r1", Result.REFUSED)], [], (0, 0, 0, 0)),
        ([told("r1", Result.REFUSED)], [bill("r1", "b1")], (1, 0, 0, 1)),
    ],
)
def test_bills_are_compared_with_what_callers_saw(
    records: list[Record], bills: list[BillRecord], counts: tuple[int, ...]
) -> None:
    check = compare_bills(records, bills)
    assert counts == (
        check.bills,
        check.unbilled,
        check.billed_twice,
        check.billed_though_not_run,
    )


@pytest.mark.parametrize("field", ["unbilled", "billed_twice", "billed_though_not_run"])
def test_wrong_bills_fail_the_demo(field: str) -> None:
    counts = dict.fromkeys(
        ("bills", "unbilled", "billed_twice", "billed_though_not_run"), 0
    )
    good = DemoReport(
        loads={}, bills=BillCheck(**counts), withdrawal_s=0.1, stop_was_graceful=True
    )
    assert good.list_violations() == []
    bad = BillCheck(**{**counts, field: 2})
    assert len(msgspec.structs.replace(good, bills=bad).list_violations()) == 1
    cut = msgspec.structs.replace(good, stop_was_graceful=False)
    assert cut.list_violations() == ["the stopped entry was not drained"]
