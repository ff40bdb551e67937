"""Tests of what a keeper knows of an engine: heavy moments with long prompts.

Pattern: prompts that take from a twentieth to half a second to be read one after the
other, placed by many instances, over engines that turn slow or dark. Grounds: 17,000
tokens at the paces of the models on the installations' sheets.
"""

from __future__ import annotations

import random

import pytest

from baobabthread.core.backends.loads import (
    IDLE_S,
    KEPT_TOKENS,
    LONGEST_S,
    SUSPECT_S,
    EngineLoad,
    EngineLoads,
    Part,
    Placed,
    ReadingEnd,
)


def place(
    load: EngineLoad,
    number: int,
    now: float,
    *,
    reading_s: float = 0.4,
    lasts_s: float = 10.0,
    sender: str = "i1",
    parts: tuple[Part, ...] = (),
) -> None:
    placed = Placed(number=number, reading_s=reading_s, lasts_s=lasts_s, parts=parts)
    load.place(sender, placed, now)


def test_wait_for_all_that_was_placed_before() -> None:
    load = EngineLoad()
    assert load.wait_s(0.0) == 0.0
    place(load, 1, 0.0)
    place(load, 1, 0.0, sender="i2")
    assert load.wait_s(0.0) == pytest.approx(0.8)
    assert load.wait_s(0.3) == pytest.approx(0.5)
    load.end("i1", 1, ReadingEnd.BEGUN, 0.4)
    assert load.wait_s(0.4) == pytest.approx(0.4)
    load.end("i2", 1, ReadingEnd.BEGUN, 0.8)
    assert load.wait_s(0.8) == 0.0


def test_show_an_engine_that_is_dark_before_anybody_says_so() -> None:
    """An engine falls dark with one prompt placed there; nobody waits long enough yet.

    Its answer is overdue by more each moment, so everybody else goes elsewhere.
    """
    load = EngineLoad()
    place(load, 1, 0.0, reading_s=0.05)
    assert load.wait_s(0.06) < 0.05
    assert load.wait_s(0.85) == pytest.approx(0.8)


def test_hold_an_engine_for_suspect_that_fell_silent() -> None:
    """One instance gives a silent engine up. Its prompt is gone from the books.

    Without the suspicion the engine would look idle, and draw the next one.
    """
    load = EngineLoad()
    place(load, 1, 0.0, reading_s=0.05)
    load.end("i1", 1, ReadingEnd.SILENT, 1.0)
    assert load.wait_s(1.0) == pytest.approx(SUSPECT_S)
    place(load, 2, 1.5)
    load.end("i1", 2, ReadingEnd.BEGUN, 1.6)
    assert load.wait_s(1.6) == 0.0


def test_bear_lost_word_of_an_answer_that_has_begun() -> None:
    """The datagram that says that an answer has begun is lost.

    Later ones begin, so the engine isn't behind: it must not be shunned for that.
    """
    load = EngineLoad()
    place(load, 1, 0.0, reading_s=0.1)
    place(load, 2, 1.0, reading_s=0.1)
    load.end("i1", 2, ReadingEnd.BEGUN, 1.2)
    assert load.wait_s(1.2) == 0.0


def test_forget_what_an_instance_that_is_gone_has_placed() -> None:
    load = EngineLoad()
    place(load, 1, 0.0, lasts_s=60.0)
    place(load, 1, 0.0, lasts_s=2.0, sender="i2")
    assert load.wait_s(LONGEST_S + 0.1) == 0.0


def test_know_the_leading_parts_that_are_kept() -> None:
    load = EngineLoad()
    first, second, other = (Part(key=k, tokens=100 * k) for k in (1, 2, 3))
    place(load, 1, 0.0, parts=(first, second))
    assert load.count_kept((first, second)) == 300
    assert load.count_kept((first, other)) == 100
    assert load.count_kept((other, second)) == 0


def test_forget_the_parts_that_were_used_longest_ago() -> None:
    load = EngineLoad()
    half = KEPT_TOKENS // 2
    one, two, three = (Part(key=key, tokens=half) for key in (1, 2, 3))
    for number, part in enumerate((one, two, one, three)):
        place(load, number, 0.0, parts=(part,))
    assert load.count_kept((one,)) == half
    assert load.count_kept((two,)) == 0


def test_follow_how_much_an_engine_holds() -> None:
    """Engines of one deployment hold a third less than those of another.

    Parts that they have long dropped would be taken for kept, and prompts sent there
    for them be read from the beginning.
    """
    load = EngineLoad()
    parts = [Part(key, 1_000) for key in range(400)]
    for number, part in enumerate(parts):
        placed = Placed(
            number=number,
            reading_s=0.0,
            lasts_s=1.0,
            parts=(part,),
            memory_tokens=200_000,
        )
        load.place("i1", placed, 0.0)
    kept = [part for part in parts if load.count_kept([part])]
    assert kept == parts[-150:]


def test_forget_engines_that_are_gone() -> None:
    loads = EngineLoads()
    place(loads.find("e1", 0.0), 1, 0.0)
    assert loads.describe("e1", (), 0.0).wait_s == pytest.approx(0.4)
    loads.forget_idle(IDLE_S + 1.0)
    assert loads.describe("e1", (), 0.0).wait_s == 0.0


def simulate(*, engines: int, asked: int, seed: int = 7) -> float:
    """Return the mean wait for 4,000 prompts that come at nine tenths of the pace.

    `asked` engines' loads are asked for before each placement; 1 stands for a guess.
    """
    rng = random.Random(seed)
    loads = [EngineLoad() for _ in range(engines)]
    free_at = [0.0] * engines
    begins: list[tuple[float, int, int]] = []
    now = waited_s = 0.0
    for number in range(4000):
        reading_s = 0.6 if rng.random() < 0.3 else 0.06
        now += rng.expovariate(0.9 * engines / 0.222)
        for at, engine, earlier in sorted(b for b in begins if b[0] <= now):
            loads[engine].end("i", earlier, ReadingEnd.BEGUN, at)
        begins = [b for b in begins if b[0] > now]
        names = rng.sample(range(engines), asked)
        engine = min(names, key=lambda name: loads[name].wait_s(now))
        place(loads[engine], number, now, reading_s=reading_s, sender="i")
        waited_s += max(0.0, free_at[engine] - now)
        free_at[engine] = max(now, free_at[engine]) + reading_s
        begins.append((free_at[engine], engine, number))
    return waited_s / 4000


def test_wait_a_fraction_of_what_a_guess_waits() -> None:
    """Thirty engines at nine tenths of their pace, prompts of unlike models among them.

    Placed blindly a prompt waits for seconds; with eight keepers asked, a few tenths.
    """
    blind_s = simulate(engines=30, asked=1)
    asked_s = simulate(engines=30, asked=8)
    assert asked_s < 0.2 * blind_s
    assert asked_s < 0.25
