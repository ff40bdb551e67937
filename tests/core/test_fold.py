"""Check the fold, its checkpoints and its publisher one by one."""

from __future__ import annotations

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabthread.core.configuration.checkpoint import (
    CheckpointPlanner,
    CheckpointSettings,
)
from baobabthread.core.configuration.configuration import merge_sections, parse_section
from baobabthread.core.configuration.fold import ConfigurationFold
from baobabthread.core.configuration.publisher import NotAppended, Publisher, Unknown
from baobabthread.core.configuration.records import (
    Accepted,
    Conflict,
    Duplicate,
    Invalid,
    Pending,
    Publish,
    Restate,
    Restated,
    Verdict,
    split_snapshot,
)
from baobabthread.core.messages import AppendFailed, LogRead, LogRecord, Stream
from baobabthread.errors import ConfigurationError
from tests.histories.configuration_model import write_team

TEAM_A = write_team("a", versions=["a-1"])


class Log:
    """Append to a list and give a fold the whole of it."""

    def __init__(self) -> None:
        self.records: list[LogRecord] = []

    def append(self, body: object, *, record_id: str = "") -> LogRecord:
        offset = len(self.records) + 1
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        record = LogRecord(
            offset=offset, id=record_id or f"r{offset}", body=msgspec.Raw(data)
        )
        self.records.append(record)
        return record

    def read(self, *, after: int = 0, first: int = 1) -> LogRead:
        kept = [r for r in self.records if r.offset >= first and r.offset > after]
        return LogRead(
            stream=Stream.CONFIGURATION,
            records=kept,
            head=len(self.records),
            first=first,
        )


def _publish(text: str, *, section: str = "a", base: int = 0) -> Publish:
    return Publish(base=base, section=section, text=text, operator="ann")


def _apply(fold: ConfigurationFold, log: Log, body: object, **kwargs: str) -> Verdict:
    return fold.apply(log.append(body, **kwargs))


def test_accept_conflict_and_remove() -> None:
    fold, log = ConfigurationFold(), Log()
    assert _apply(fold, log, _publish(TEAM_A)) == Accepted(generation=1)
    lost = _apply(fold, log, _publish(TEAM_A))
    assert lost == Conflict(generation=1, operator="ann")
    assert _apply(fold, log, _publish("", base=1)) == Accepted(generation=3)
    assert fold.configuration is not None
    assert fold.configuration.services == {}
    late = _apply(fold, log, _publish(TEAM_A))
    assert late == Conflict(generation=3, operator="ann")


def test_drop_a_repeat_that_became_valid() -> None:
    """An operator is told that the text is invalid and mends the other section.

    The repeat of the first append arrives after that. Accepting it would publish
    what the operator believes to have failed.
    """
    fold, log = ConfigurationFold(), Log()
    user = write_team("b", versions=["b-1"], uses="a")
    first = _apply(fold, log, _publish(user, section="b"), record_id="x")
    assert isinstance(first, Invalid)
    _apply(fold, log, _publish(TEAM_A))
    repeat = _apply(fold, log, _publish(user, section="b"), record_id="x")
    assert isinstance(repeat, Duplicate)
    assert isinstance(fold.verdict_of("x"), Invalid)


@pytest.mark.parametrize(
    "body",
    [
        b"{}",
        b"[",
        b'"x"',
        b"\xff\xfe",
        b'{"type":"publish"}',
        b"[" * 100_000,
        _publish("a = " + "9" * 5_000),
        _publish("a = " + "[" * 5_000),
        _publish("x", section="s" * 500),
        Restate(read_offset=9, generation=9, part=0, parts=1, sections=[], decided=[]),
    ],
)
def test_call_a_broken_body_invalid(body: object) -> None:
    fold, log = ConfigurationFold(), Log()
    assert isinstance(_apply(fold, log, body), Invalid)
    assert _apply(fold, log, _publish(TEAM_A)) == Accepted(generation=2)


def test_begin_from_a_checkpoint_and_only_from_a_whole_one() -> None:
    """The first records have expired when a new entry starts.

    It serves nothing until it meets a checkpoint after which no record is missing.
    One that is followed by a hole would leave out what was accepted in the hole.
    """
    fold, log = ConfigurationFold(), Log()
    _apply(fold, log, _publish(TEAM_A))
    parts = split_snapshot(fold.snapshot())
    _apply(fold, log, _publish(TEAM_A + "\n", base=1))
    for part in parts:
        assert _apply(fold, log, part) == Restated(read_offset=1)

    holed = ConfigurationFold()
    holed.read(log.read(first=3))
    assert holed.configuration is None
    assert holed.has_gap
    assert holed.seen_offset == 3

    whole = ConfigurationFold()
    verdicts = whole.read(log.read(first=2))
    assert isinstance(verdicts[0], Pending)
    assert whole.snapshot() == fold.snapshot()
    assert whole.section_generation("a") == 2
    assert not whole.has_gap


def test_split_a_large_checkpoint() -> None:
    fold, log = ConfigurationFold(), Log()
    for name in "abc":
        text = write_team(name, versions=[f"{name}-1"]) + "#" * 200_000
        _apply(fold, log, _publish(text, section=name))
    parts = split_snapshot(fold.snapshot())
    assert [part.part for part in parts] == [0, 1, 2]
    for part in reversed(parts):
        _apply(fold, log, part)
    new = ConfigurationFold()
    new.read(log.read(first=4))
    assert new.configuration == fold.configuration
    assert fold.checkpoint_offset == 3


def test_relay_records_or_a_snapshot() -> None:
    fold, log = ConfigurationFold(), Log()
    _apply(fold, log, _publish(TEAM_A))
    peer = ConfigurationFold()
    for record in fold.relay(after=0).records:
        peer.apply(record)
    assert peer.snapshot() == fold.snapshot()
    assert fold.relay(after=1).records == []
    joined = ConfigurationFold()
    assert joined.restore(fold.snapshot())
    _apply(joined, log, _publish(TEAM_A + "\n", base=1))
    relay = joined.relay(after=0)
    assert relay.snapshot is not None
    assert not joined.restore(fold.snapshot())
    assert joined.generation == 2


def test_publish_through_lost_replies() -> None:
    """The append took effect but its reply was lost.

    The publisher appends again only after a read up to the head lacks its record,
    and under the same id, so that the late first copy is harmless.
    """
    fold, log = ConfigurationFold(), Log()
    publisher = Publisher(fold=fold, retry_s=1.0)
    started = publisher.publish(
        record_id="x", publish=_publish(TEAM_A), now=0, deadline=9
    )
    assert isinstance(started, list)
    failure = AppendFailed(stream=Stream.CONFIGURATION, id="x", definite=False)
    publisher.fail(failure, now=0.5)
    assert publisher.repeat(head=1, now=2) == []
    assert publisher.repeat(head=0, now=1) == []
    assert [effect.id for effect in publisher.repeat(head=0, now=2)] == ["x"]
    for _ in range(2):
        _apply(fold, log, _publish(TEAM_A), record_id="x")
    outcome = publisher.settle(record_id="x", now=3)
    assert outcome == Accepted(generation=1)


@pytest.mark.parametrize(
    ("definite", "expected"), [(True, NotAppended()), (False, Unknown(id="x"))]
)
def test_end_without_a_verdict(definite: bool, expected: object) -> None:
    fold = ConfigurationFold()
    publisher = Publisher(fold=fold)
    publisher.publish(record_id="x", publish=_publish(TEAM_A), now=0, deadline=1)
    failure = AppendFailed(stream=Stream.CONFIGURATION, id="x", definite=definite)
    publisher.fail(failure, now=0.5)
    assert publisher.settle(record_id="x", now=0.9) is None
    assert publisher.settle(record_id="x", now=1) == expected


def test_refuse_what_is_certain_without_the_log() -> None:
    fold, log = ConfigurationFold(), Log()
    _apply(fold, log, _publish(TEAM_A))
    publisher = Publisher(fold=fold)
    for text, base in (("x =", 1), (TEAM_A, 0)):
        refused = publisher.publish(
            record_id="x", publish=_publish(text, base=base), now=0, deadline=9
        )
        assert isinstance(refused, Invalid | Conflict)
    ahead = publisher.publish(
        record_id="x", publish=_publish(TEAM_A, base=7), now=0, deadline=9
    )
    assert isinstance(ahead, list)


def test_let_one_of_many_restate() -> None:
    """Thirty entries see at once that a checkpoint is due.

    Each draws a delay; the first one's record reaches the others within a tenth of a
    second, so that few or no others write theirs.
    """
    log = Log()
    folds = [ConfigurationFold() for _ in range(30)]
    plan = CheckpointSettings(every_records=1, spread_s=30.0)
    planners = [
        CheckpointPlanner(
            me=str(index), fold=fold, rng=random.Random(index), now=0.0, settings=plan
        )
        for index, fold in enumerate(folds)
    ]
    log.append(_publish(TEAM_A))
    written = 0
    for step in range(400):
        now = step / 10
        for fold, planner in zip(folds, planners, strict=True):
            event = log.read(after=fold.read_offset)
            fold.read(event)
            planner.note_read(event, now=now)
        for planner in planners:
            for effect in planner.plan(now):
                written += 1
                log.append(effect.body, record_id=effect.id)
        if log.records[-1].offset == 2:
            break
    assert 1 <= written <= 3


NAMES = st.sampled_from(["a", "b", "c"])
TEXTS = st.builds(
    lambda team, versions, uses: write_team(team, versions=versions, uses=uses),
    st.sampled_from(["a", "b", "shared"]),
    st.lists(st.sampled_from(["v1", "v2", "w"]), unique=True),
    st.sampled_from(["", "a", "b", "shared"]),
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(st.tuples(NAMES, st.one_of(st.just(""), TEXTS)), max_size=12))
def test_merge_a_change_as_the_whole(changes: list[tuple[str, str]]) -> None:
    fold, log = ConfigurationFold(), Log()
    texts: dict[str, str] = {}
    for section, text in changes:
        base = fold.section_generation(section)
        verdict = _apply(fold, log, _publish(text, section=section, base=base))
        candidate = {**texts, section: text}
        try:
            whole = merge_sections(
                generation=len(log.records),
                sections={name: parse_section(t) for name, t in candidate.items()},
            )
        except ConfigurationError:
            assert isinstance(verdict, Invalid)
            continue
        assert isinstance(verdict, Accepted)
        assert fold.configuration == whole
        texts = candidate
