"""Tests of roll-outs: the fold, the choice of versions and the next step."""

from __future__ import annotations

import msgspec
import pytest

from baobabthread.core.configuration.configuration import Rollout, VersionState
from baobabthread.core.messages import LogRecord
from baobabthread.core.models.selection import Barred, Selection, choose_versions
from baobabthread.core.rollouts.conducting import (
    LEAST_OUTCOMES,
    LEAST_PATIENCE_S,
    Advance,
    Done,
    Hold,
    RollBack,
    Situation,
    next_step,
)
from baobabthread.core.rollouts.rollout import (
    Phase,
    PlannedRollout,
    Quarantined,
    RolledBack,
    RolloutDone,
    RolloutFold,
    RolloutRecord,
    StepAdvanced,
    encode_record,
)

PLAN = PlannedRollout(
    id="spring@3",
    plan=Rollout(service="drafts", old="small-1", new="small-2", steps=[0.1, 0.5, 1.0]),
)
VERSIONS = ("small-1", "small-2", "large-1", "spare-1")
STATES = dict.fromkeys(VERSIONS, VersionState.OFFERED)
KEYS = [f"session-{number}" for number in range(4000)]


class Stream:
    """Append records to a fold as the log would deliver them."""

    def __init__(self) -> None:
        self.fold = RolloutFold()
        self.fold.configure(rollouts=[PLAN], published={"small-2": 3}, now=0.0)
        self.records: list[LogRecord] = []

    def append(self, body: RolloutRecord, *, now: float = 0.0) -> bool:
        """Append one record and return whether it changed the fold."""
        offset = len(self.records) + 1
        raw = msgspec.Raw(encode_record(body))
        self.records.append(LogRecord(offset=offset, id=f"r{offset}", body=raw))
        return self.fold.apply(self.records[-1], now=now)

    def step(self, step: int, *, fence: int = 10, now: float = 0.0) -> bool:
        """Append a step of the planned roll-out."""
        record = StepAdvanced(rollout=PLAN.id, service="drafts", step=step, fence=fence)
        return self.append(record, now=now)

    def quarantine(self, version: str, *, generation: int = 5) -> bool:
        """Append a quarantine of a version for all calls."""
        record = Quarantined(
            service="drafts", version=version, reason="quality", generation=generation
        )
        return self.append(record)

    def select(self, *, states: dict[str, VersionState] | None = None) -> Selection:
        """Return what requests are chosen by now."""
        return Selection(
            cascade=("small-1", "large-1"),
            states=states or STATES,
            splits=self.fold.splits("drafts"),
            barred=self.fold.quarantined(),
        )


def choose(selection: Selection, key: str = "k", **options: object) -> list[str]:
    chosen = {"call": "draft", "allowed": (), "key": key, **options}
    return choose_versions(selection, **chosen)  # type: ignore[arg-type]


def test_share_of_keys_follows_the_step_and_is_nested() -> None:
    stream = Stream()
    assert stream.fold.share("drafts", "small-2") == 0.0
    moved: set[str] = set()
    for step, share in ((0, 0.1), (1, 0.5), (2, 1.0)):
        assert stream.step(step)
        selection = stream.select()
        chosen = {key for key in KEYS if choose(selection, key)[0] == "small-2"}
        assert len(chosen) / len(KEYS) == pytest.approx(share, abs=0.025)
        assert moved <= chosen, "a key moved back as the share grew"
        moved = chosen
        assert stream.fold.share("drafts", "small-1") == pytest.approx(1 - share)


def test_a_woken_conductor_does_not_undo_its_successors_roll_back() -> None:
    # The caller would see a rolled-back version answer again. Conductor 10
    # is paused before it appends step 1; conductor 20 claims and rolls back; 10 wakes
    # and appends. Its fence is lower than one already seen, so nothing comes of it.
    stream = Stream()
    assert stream.step(0, fence=10)
    back = RolledBack(rollout=PLAN.id, service="drafts", fence=20, reason="bad")
    assert stream.append(back)
    assert not stream.step(1, fence=10)
    assert not stream.step(1, fence=30)
    assert stream.fold.share("drafts", "small-2") == 0.0
    assert all(choose(stream.select(), key)[0] == "small-1" for key in KEYS[:200])


def test_an_older_fence_is_ignored_and_the_first_record_of_a_step_wins() -> None:
    stream = Stream()
    assert stream.step(0, fence=20, now=1.0)
    assert not stream.step(1, fence=10, now=2.0)
    assert not stream.step(0, fence=21, now=3.0)
    life = stream.fold.life(PLAN.id)
    assert life is not None
    assert (life.step, life.since_s, life.phase) == (0, 1.0, Phase.CANARY)


def test_a_record_applied_again_or_unreadable_changes_nothing() -> None:
    stream = Stream()
    stream.step(0)
    assert not stream.fold.apply(stream.records[0], now=9.0)
    junk = LogRecord(offset=2, id="x", body=msgspec.Raw(b'{"type":"no"}'))
    assert not stream.fold.apply(junk, now=9.0)
    assert stream.fold.offset == 2


def test_a_successor_rebuilds_the_same_state_from_restated_records() -> None:
    stream = Stream()
    stream.step(0)
    stream.step(1)
    stream.quarantine("large-1")
    successor = Stream()
    for record in stream.fold.restate("drafts", fence=40):
        assert successor.append(record)
        assert not stream.append(record), "a restated record changed a known state"
    assert successor.fold.quarantined() == stream.fold.quarantined()
    assert successor.fold.share("drafts", "small-2") == 0.5


def test_a_quarantine_takes_the_version_out_until_it_is_published_anew() -> None:
    stream = Stream()
    stream.step(2)
    assert choose(stream.select()) == ["small-2", "large-1"]
    assert stream.quarantine("small-2", generation=5)
    assert stream.fold.quarantined() == {Barred(version="small-2")}
    assert choose(stream.select()) == ["small-1", "large-1"]
    stream.fold.configure(rollouts=[PLAN], published={"small-2": 6}, now=0.0)
    assert choose(stream.select()) == ["small-2", "large-1"]


def test_a_quarantine_of_one_call_leaves_the_other_calls() -> None:
    selection = Selection(
        cascade=("small-1", "large-1"),
        states=STATES,
        barred=frozenset({Barred(version="small-1", call="translate")}),
    )
    assert choose(selection, call="translate") == ["large-1"]
    assert choose(selection, call="draft") == ["small-1", "large-1"]


def test_quarantines_fall_back_to_an_allowed_version_or_to_none() -> None:
    stream = Stream()
    stream.quarantine("small-1")
    stream.quarantine("large-1")
    assert choose(stream.select()) == ["spare-1"]
    assert choose(stream.select(), allowed={"small-1"}) == []
    assert choose(stream.select(), allowed={"small-1", "small-2"}) == [], (
        "a version whose roll-out has not started answered"
    )


@pytest.mark.parametrize(
    ("state", "new", "pinned"),
    [
        (VersionState.OFFERED, ["small-1", "large-1"], ["small-1"]),
        (VersionState.DRAINING, ["large-1"], ["small-1"]),
        (VersionState.WITHDRAWN, ["large-1"], ["large-1"]),
    ],
)
def test_withdrawal_beats_affinity(
    state: VersionState, new: list[str], pinned: list[str]
) -> None:
    selection = Stream().select(states={**STATES, "small-1": state})
    assert choose(selection) == new
    assert choose(selection, pinned="small-1") == pinned


def test_an_account_never_gets_a_version_it_does_not_allow() -> None:
    stream = Stream()
    stream.step(2)
    assert choose(stream.select(), allowed={"small-1", "large-1"}) == [
        "small-1",
        "large-1",
    ]
    assert choose(stream.select(), pinned="small-2", allowed={"large-1"}) == ["large-1"]


def test_suspicion_lowers_the_share_and_a_done_roll_out_keeps_it() -> None:
    stream = Stream()
    stream.step(1)
    factors = {"small-2": 0.5}
    assert stream.fold.splits("drafts", factors=factors)[0].share == 0.25
    done = RolloutDone(rollout=PLAN.id, service="drafts", fence=10)
    stream.append(done)
    assert stream.fold.splits("drafts", factors=factors)[0].share == 1.0
    assert stream.fold.unfinished() == []


def situation(**options: object) -> Situation:
    usual = {"ready": True, "outcomes": LEAST_OUTCOMES, **options}
    return Situation(**usual)  # type: ignore[arg-type]


def test_a_roll_out_goes_from_loading_to_done() -> None:
    stream = Stream()
    life = stream.fold.life(PLAN.id)
    assert life is not None
    stream.fold.mark_loading(PLAN.id, now=0.0)
    assert life.phase is Phase.LOADING
    waiting = next_step(PLAN, life, situation(ready=False), now=1.0)
    assert waiting == Hold(reason="loading")
    now = 10.0
    for step in range(3):
        assert next_step(PLAN, life, situation(), now=now) == Advance(step=step)
        stream.step(step, now=now)
        assert isinstance(next_step(PLAN, life, situation(), now=now + 1), Hold)
        now += PLAN.plan.hold_s
    assert next_step(PLAN, life, situation(), now=now) == Done()


@pytest.mark.parametrize(
    "fault",
    [
        {"alarm": "bad answers"},
        {"barred": True},
        {"state": VersionState.WITHDRAWN},
    ],
)
def test_a_bad_version_is_rolled_back_at_once(fault: dict[str, object]) -> None:
    stream = Stream()
    stream.step(1, now=5.0)
    life = stream.fold.life(PLAN.id)
    assert life is not None
    assert isinstance(next_step(PLAN, life, situation(**fault), now=5.1), RollBack)


def test_a_step_without_ratings_waits_and_ends_in_a_roll_back() -> None:
    stream = Stream()
    stream.step(0, now=0.0)
    life = stream.fold.life(PLAN.id)
    assert life is not None
    few = situation(outcomes=LEAST_OUTCOMES - 1)
    assert isinstance(next_step(PLAN, life, few, now=PLAN.plan.hold_s), Hold)
    assert isinstance(next_step(PLAN, life, few, now=LEAST_PATIENCE_S), RollBack)
