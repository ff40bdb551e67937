"""Draw days of mixed disruptions for a deployment, over all kinds it may meet.

`python -m bench.days SITE KINDS --out DIR` writes one day file for each seed. SITE is
a deployment's file, KINDS the text that lists its kinds of disruption, one a line.
"""

from __future__ import annotations

import json
import random
import re
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import cappa
import msgspec

CATALOGUE = Path(__file__).parent.parent / "deploy" / "disruptions.toml"
SHORT_DAY_S = 10.0
SHORT_CHANCE = 0.35
CLOSING_CHANCE = 0.25
MARK_CHANCE = 0.2
CLOSINGS = ("power_off_all", "kill_all", "wipe_after_ack")
MOST_DISRUPTIONS = 7
LEAST_DISRUPTIONS = 2

Entry = dict[str, Any]


class Kind(msgspec.Struct, frozen=True, kw_only=True):
    """Describe what may be drawn for one kind of disruption."""

    planned: bool = False
    hows: list[str] = []
    marks: list[str] = []
    ranges: dict[str, tuple[float, float]] = {}
    target: str = ""


class Site(msgspec.Struct, frozen=True, kw_only=True):
    """Name what the disruptions of one deployment may aim at."""

    services: list[str]
    classes: list[str]
    length_s: float


def read_catalogue(path: Path = CATALOGUE) -> dict[str, Kind]:
    """Return all kinds of disruption that can be drawn."""
    return msgspec.toml.decode(path.read_bytes(), type=dict[str, Kind])


def read_site(path: Path) -> Site:
    """Return what a deployment's file says of its services and requests."""
    found = tomllib.loads(path.read_text())
    return Site(
        services=[service["name"] for service in found["services"]],
        classes=[each["name"] for each in found["classes"]],
        length_s=found["length_s"],
    )


def read_listed(path: Path) -> set[str]:
    """Return the names of the kinds that a deployment lists, one `name:` a line."""
    return set(re.findall(r"^([a-z_]+):", path.read_text(), flags=re.MULTILINE))


def choose_kinds(
    catalogue: dict[str, Kind], *, listed: set[str], always: list[str]
) -> dict[str, Kind]:
    """Return the kinds to draw from: those listed, and those asked for by name."""
    for name in always:
        if name not in catalogue:
            known = ", ".join(sorted(catalogue))
            raise cappa.Exit(f"unknown kind {name!r}; known are: {known}", code=2)
    return {
        name: kind
        for name, kind in catalogue.items()
        if name in listed or name in always
    }


class DayDraw:
    """Draw one day; the same seed draws the same day."""

    __slots__ = ("_always", "_kinds", "_rng", "_site", "seed")

    def __init__(
        self, *, site: Site, kinds: dict[str, Kind], seed: int, always: list[str]
    ) -> None:
        self._site = site
        self._kinds = kinds
        self._always = always
        self.seed = seed
        self._rng = random.Random(seed)

    def draw(self, *, length_s: float | None = None) -> Entry:
        """Return the day as the tables of its file."""
        if length_s is None:
            is_short = self._rng.random() < SHORT_CHANCE
            length_s = SHORT_DAY_S if is_short else self._site.length_s
        day: Entry = {
            "name": f"drawn-{self.seed}",
            "slot": "trouble",
            "seed": self.seed,
            "length_s": length_s,
        }
        if self._rng.random() < CLOSING_CHANCE:
            day["closing"] = {"kind": self._rng.choice(CLOSINGS), "down_s": 1.0}
        names = list(self._always)
        more = self._rng.randint(LEAST_DISRUPTIONS, MOST_DISRUPTIONS)
        names += self._rng.choices(sorted(self._kinds), k=more)
        entries = [(name, self._draw_entry(name, length_s)) for name in names]
        day["plan"] = [e for name, e in entries if self._kinds[name].planned]
        day["faults"] = [e for name, e in entries if not self._kinds[name].planned]
        return day

    def _draw_entry(self, name: str, length_s: float) -> Entry:
        kind = self._kinds[name]
        entry: Entry = {
            "at": round(self._rng.uniform(0.1, length_s * 0.8), 2),
            "kind": name,
        }
        for figure, (least, most) in sorted(kind.ranges.items()):
            entry[figure] = self._draw_figure(figure, least, most)
        how = self._draw_how(kind)
        if how:
            entry["how"] = how
        if kind.target == "service":
            entry["service"] = self._rng.choice(self._site.services)
        elif kind.target == "class" or (kind.target and self._rng.random() < 0.5):
            entry["class"] = self._rng.choice(self._site.classes)
        return entry

    def _draw_how(self, kind: Kind) -> str:
        words = self._rng.choice(kind.hows).split() if kind.hows else []
        for mark in kind.marks:
            if mark not in words and self._rng.random() < MARK_CHANCE:
                words.append(mark)
        return " ".join(words)

    def _draw_figure(self, figure: str, least: float, most: float) -> float:
        if figure == "count":
            return self._rng.randint(int(least), int(most))
        return round(self._rng.uniform(least, most), 2)


def write_day(day: Entry) -> str:
    """Return a day as the text of its file."""
    lines = []
    for key, value in day.items():
        if isinstance(value, list):
            rows = "".join(f"  {_render(row)},\n" for row in value)
            lines.append(f"{key} = [\n{rows}]")
        else:
            lines.append(f"{key} = {_render(value)}")
    return "\n".join(lines) + "\n"


def _render(value: Any) -> str:
    if isinstance(value, dict):
        inner = ", ".join(f"{key} = {_render(each)}" for key, each in value.items())
        return f"{{ {inner} }}"
    return json.dumps(value)


@cappa.command(name="days", help="Draw days of mixed disruptions for a deployment.")
@dataclass(kw_only=True, slots=True)
class Days:
    """Hold the command line of the drawing."""

    site: Annotated[Path, cappa.Arg(long=False, help="The deployment's file.")]
    kinds: Annotated[Path, cappa.Arg(long=False, help="The list of its kinds.")]
    out: Annotated[Path, cappa.Arg(long=True, help="Folder for the day files.")]
    seed: Annotated[int, cappa.Arg(long=True, help="Seed of the first day.")] = 1
    count: Annotated[int, cappa.Arg(long=True, help="Number of days.")] = 32
    length_s: Annotated[
        float | None,
        cappa.Arg(long=True, help="Length of each day; drawn if left out."),
    ] = None
    always: Annotated[
        list[str], cappa.Arg(long=True, help="A kind that each day holds.")
    ] = field(default_factory=list)


def main() -> int:
    """Write the day files and print their paths."""
    chosen = cappa.parse(Days)
    site = read_site(chosen.site)
    kinds = choose_kinds(
        read_catalogue(), listed=read_listed(chosen.kinds), always=chosen.always
    )
    chosen.out.mkdir(parents=True, exist_ok=True)
    for seed in range(chosen.seed, chosen.seed + chosen.count):
        draw = DayDraw(site=site, kinds=kinds, seed=seed, always=chosen.always)
        path = chosen.out / f"drawn-{seed}.toml"
        path.write_text(write_day(draw.draw(length_s=chosen.length_s)))
        print(path)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
