"""Tests of the drawing of days with mixed disruptions."""

from __future__ import annotations

import tomllib
from pathlib import Path

import cappa
import pytest
from bench.days import (
    SHORT_DAY_S,
    DayDraw,
    Site,
    choose_kinds,
    read_catalogue,
    read_listed,
    write_day,
)

SITE = Site(services=["plain", "engine"], classes=["report", "status"], length_s=34.0)


def draw(seed: int, *, always: tuple[str, ...] = ()) -> DayDraw:
    return DayDraw(site=SITE, kinds=read_catalogue(), seed=seed, always=list(always))


def test_draw_the_same_day_from_the_same_seed() -> None:
    assert draw(5).draw() == draw(5).draw()
    assert draw(5).draw() != draw(6).draw()


def test_draw_every_kind_and_every_variant() -> None:
    kinds = read_catalogue()
    drawn: dict[str, set[str]] = {name: set() for name in kinds}
    for seed in range(2000):
        day = draw(seed).draw()
        for entry in [*day["plan"], *day["faults"]]:
            drawn[entry["kind"]].add(entry.get("how", ""))
    for name, kind in kinds.items():
        assert drawn[name] >= set(kind.hows or [""]), name


def test_draw_short_days_and_long_ones() -> None:
    lengths = {draw(seed).draw()["length_s"] for seed in range(50)}
    assert lengths == {SHORT_DAY_S, SITE.length_s}
    assert draw(1).draw(length_s=12.0)["length_s"] == 12.0


@pytest.mark.parametrize("seed", range(20))
def test_put_planned_work_apart_and_aim_at_what_there_is(seed: int) -> None:
    kinds = read_catalogue()
    day = draw(seed, always=("rollout_bad",)).draw()
    assert "rollout_bad" in {entry["kind"] for entry in day["plan"]}
    assert all(kinds[entry["kind"]].planned for entry in day["plan"])
    assert not any(kinds[entry["kind"]].planned for entry in day["faults"])
    for entry in [*day["plan"], *day["faults"]]:
        assert entry.get("service", "plain") in SITE.services
        assert entry.get("class", "report") in SITE.classes
        assert 0.0 < entry["at"] < day["length_s"]


def test_write_days_that_can_be_read(tmp_path: Path) -> None:
    day = draw(3, always=("burst", "rollout_bad")).draw()
    assert tomllib.loads(write_day(day)) == day


def test_draw_only_listed_kinds_and_those_asked_for(tmp_path: Path) -> None:
    text = tmp_path / "kinds"
    text.write_text("Each entry has a time.\n\nburst: x times\nhup: share (.3)\n")
    listed = read_listed(text)
    assert listed == {"burst", "hup"}
    chosen = choose_kinds(read_catalogue(), listed=listed, always=["poison"])
    assert set(chosen) == {"burst", "hup", "poison"}


def test_name_the_kinds_that_are_known_when_one_is_not() -> None:
    with pytest.raises(cappa.Exit) as raised:
        choose_kinds(read_catalogue(), listed=set(), always=["flood"])
    assert "unknown kind 'flood'" in str(raised.value.message)
    assert "burst" in str(raised.value.message)
