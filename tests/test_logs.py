"""Tests of log lines: one full line of key=value pairs for each event."""

from __future__ import annotations

import logging
import re
from collections.abc import Iterator

import pytest
from absl import logging as absl_logging

from baobabthread.errors import UsageError
from baobabthread.logs import configure_logs, log_event

LINE = re.compile(
    r"time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z level=[a-z]+ event=[a-z_]+( .*)?\n"
)


@pytest.fixture(autouse=True)
def restored() -> Iterator[None]:
    level = absl_logging.get_verbosity()
    yield
    absl_logging.set_verbosity(level)


def read_line(capsys: pytest.CaptureFixture[str]) -> str:
    text = capsys.readouterr().err
    assert LINE.fullmatch(text), text
    return text.rstrip("\n")


def test_event_is_one_line(capsys: pytest.CaptureFixture[str]) -> None:
    configure_logs("info")
    log_event("entry_started", name="e1", port=8001)
    line = read_line(capsys)
    assert line.endswith(" level=info event=entry_started name=e1 port=8001")


def test_direct_call_is_the_same(capsys: pytest.CaptureFixture[str]) -> None:
    configure_logs("info")
    absl_logging.warning("event=standins_ready seed=%d", 3)
    line = read_line(capsys)
    assert line.endswith(" level=warning event=standins_ready seed=3")


def test_first_line_is_an_event(capsys: pytest.CaptureFixture[str]) -> None:
    configure_logs("info")
    log_event("first")
    assert "flag parsing" not in read_line(capsys)


def test_message_of_a_library_is_an_event(capsys: pytest.CaptureFixture[str]) -> None:
    configure_logs("info")
    logging.getLogger("aiohttp.server").error("went \n wrong")
    line = read_line(capsys)
    assert 'event=message logger=aiohttp.server text="went \\n wrong"' in line


def test_exception_stays_on_the_line(capsys: pytest.CaptureFixture[str]) -> None:
    configure_logs("info")
    try:
        raise ValueError("two\nlines")
    except ValueError:
        absl_logging.exception("event=failed")
    line = read_line(capsys)
    assert "event=failed error=" in line
    assert "ValueError: two\\nlines" in line


@pytest.mark.parametrize(
    "value, written",
    [
        ("plain", "plain"),
        (5, "5"),
        (None, "None"),
        ("", '""'),
        ("two words", '"two words"'),
        ('quote"d', '"quote\\"d"'),
        ("a=b", '"a=b"'),
        ("x\nevent=forged", '"x\\nevent=forged"'),
        ("x\u2028y", '"x\\u2028y"'),
        ("\x1b[31m", '"\\u001b[31m"'),
    ],
)
def test_values_cannot_forge_an_event(
    capsys: pytest.CaptureFixture[str], value: object, written: str
) -> None:
    configure_logs("info")
    log_event("asked", text=value)
    assert read_line(capsys).endswith(f" event=asked text={written}")


def test_direct_call_cannot_forge_an_event(capsys: pytest.CaptureFixture[str]) -> None:
    configure_logs("info")
    absl_logging.info("event=asked text=%s", "x\nevent=forged")
    assert read_line(capsys).endswith(" event=asked text=x\\nevent=forged")


@pytest.mark.parametrize(
    "level, shown",
    [
        ("debug", ["debug", "info", "warning", "error"]),
        ("info", ["info", "warning", "error"]),
        ("warning", ["warning", "error"]),
        ("error", ["error"]),
    ],
)
def test_level_bounds_what_is_logged(
    capsys: pytest.CaptureFixture[str], level: str, shown: list[str]
) -> None:
    configure_logs(level)
    for each in ("debug", "info", "warning", "error"):
        log_event("told", level=each)
    lines = capsys.readouterr().err.splitlines()
    assert [line.split()[1] for line in lines] == [f"level={each}" for each in shown]


def test_unknown_level_names_the_known() -> None:
    with pytest.raises(UsageError) as caught:
        configure_logs("loud")
    assert "--log-level" in caught.value.message
    assert "debug, info, warning, error" in caught.value.remedy
