"""Tests of the table of what requests lost, by lines of the instances' logs."""

from __future__ import annotations

from pathlib import Path

import pytest

from baobabthread import cli
from baobabthread.losses import count_losses, read_endings

LINE = (
    "time=2026-01-01T00:00:{second:02}.000Z level=info event={event} request=a"
    ' route=r status={status} trail="{trail}" first_ms={first} took_ms=900'
    " objective_ms=500 kind=overloaded"
)


def write(
    second: int = 0,
    *,
    event: str = "request_answered",
    status: int = 200,
    trail: str = "",
    first: int = 100,
) -> str:
    return LINE.format(
        second=second, event=event, status=status, trail=trail, first=first
    )


@pytest.mark.parametrize(
    ("line", "loss"),
    [
        (write(), "well"),
        (write(first=0), "late: waited at one backend server"),
        (write(first=501, trail="e1:no sign of life"), "late: silent backend server"),
        (write(first=501, trail="e1:unsure 0.10"), "late: a larger model was asked"),
        (write(trail="e1:kept 0.20 price price 0.4"), "doubtful answer: price"),
        (write(status=500), "failed: backend server said 500"),
        (write(event="request_given_up", status=503), "refused: overloaded"),
        (write(event="request_given_up", status=502), "failed: overloaded"),
        (
            write(event="caller_gone", trail="e1:events lost"),
            "caller left: silent backend server",
        ),
    ],
)
def test_find_the_reason(line: str, loss: str) -> None:
    (ending,) = read_endings([line])
    assert (ending.route, ending.loss) == ("r", loss)


def test_count_by_route_and_moment() -> None:
    lines = [write(0), write(2, status=500), write(12, status=500), "no event"]
    rows = count_losses(read_endings(lines), span_s=10.0)
    assert [(row.from_s, row.requests, row.part) for row in rows] == [
        (0.0, 1, 0.5),
        (10.0, 1, 1.0),
    ]
    assert count_losses([], span_s=10.0) == []


def test_print_the_table(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    log = tmp_path / "entry.log"
    log.write_text(f"{write()}\n{write(status=500)}\n")
    assert cli.run(["losses", str(log)]) == 0
    text = capsys.readouterr().out
    assert "2 requests in 1 files" in text
    assert "50.0%  failed: backend server said 500" in text


def test_say_which_log_is_missing(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert cli.run(["losses", str(tmp_path / "none")]) == 2
    assert "can't read" in capsys.readouterr().err
