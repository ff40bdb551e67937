"""Check histories of concurrent operators against a replay of the log.

Operators publish through several entries while replies get lost, records arrive
late or twice, old records expire and entries restart with nothing. An accepted
text never reverts and each base has one winner.
"""

from __future__ import annotations

import enum
from collections.abc import Callable

import msgspec
import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from baobabthread.core.configuration.fold import ConfigurationFold
from baobabthread.core.configuration.publisher import Publisher
from baobabthread.core.configuration.records import (
    Accepted,
    Conflict,
    Invalid,
    Publish,
    split_snapshot,
)
from baobabthread.core.messages import (
    Append,
    AppendFailed,
    LogRead,
    LogRecord,
    Stream,
)
from tests.failures.mutants import Promise, ProofResult, mutant, proof
from tests.histories.configuration_model import Model, write_team

ENTRIES = st.integers(0, 2)
SECTIONS = st.sampled_from(["a", "b"])
USES = st.sampled_from(["", "a", "b"])
DEADLINE_S = 1e6
MANY = 100


class Fate(enum.Enum):
    """Choose what the log does with an append; the value counts its copies."""

    REFUSED = 0
    REPLY_LOST = 1
    DUPLICATED = 2
    LATE = 3


FATES = st.sampled_from(Fate)


class ConfigurationHistory(RuleBasedStateMachine):
    """Interleave operators, entries and an unreliable log."""

    @initialize()
    def begin(self) -> None:
        self.records: list[LogRecord] = []
        self.first = 1
        self.now = 0.0
        self.wire: list[Append] = []
        self.told: dict[str, object] = {}
        self.seen = [0, 0, 0]
        self.folds = [ConfigurationFold() for _ in range(3)]
        self.publishers = [Publisher(fold=fold, retry_s=0) for fold in self.folds]
        self.open: list[set[str]] = [set(), set(), set()]

    @rule(entry=ENTRIES, section=SECTIONS, uses=USES, fate=FATES, reads=st.booleans())
    def publish(
        self, entry: int, section: str, uses: str, fate: Fate, reads: bool
    ) -> None:
        """Let an operator publish on what its entry shows it."""
        if reads:
            self.read(entry, MANY)
        self.now += 1
        text = write_team(section, versions=[f"{section}-{self.now:.0f}"], uses=uses)
        base = self.folds[entry].section_generation(section)
        record_id = f"{entry}/{self.now}"
        started = self.publishers[entry].publish(
            record_id=record_id,
            publish=Publish(base=base, section=section, text=text, operator="o"),
            now=self.now,
            deadline=DEADLINE_S,
        )
        if isinstance(started, list):
            self.open[entry].add(record_id)
            self.wire += started
            self.commit(-1, fate)
        else:
            self.told[record_id] = started

    @precondition(lambda self: self.wire)
    @rule(index=st.integers(0, 9), fate=FATES)
    def commit(self, index: int, fate: Fate) -> None:
        """Let an append take effect late, twice or never, and lose its reply."""
        if fate is Fate.LATE or not self.wire:
            return
        append = self.wire.pop(index % len(self.wire))
        for _ in range(fate.value):
            offset = len(self.records) + 1
            body = msgspec.Raw(append.body)
            self.records.append(LogRecord(offset=offset, id=append.id, body=body))
        failed = AppendFailed(
            stream=append.stream, id=append.id, definite=fate is Fate.REFUSED
        )
        for publisher in self.publishers:
            publisher.fail(failed, now=self.now)

    @rule(entry=ENTRIES, limit=st.sampled_from([1, 2, MANY]))
    def read(self, entry: int, limit: int) -> None:
        """Let an entry read some records and repeat what it lacks."""
        self.now += 1
        fold = self.folds[entry]
        after = max(fold.seen_offset, self.first - 1)
        event = LogRead(
            stream=Stream.CONFIGURATION,
            records=self.records[after : after + limit],
            head=len(self.records),
            first=self.first,
        )
        fold.read(event)
        publisher = self.publishers[entry]
        self.wire += publisher.repeat(head=event.head, now=self.now)
        for record_id in list(self.open[entry]):
            outcome = publisher.settle(record_id=record_id, now=self.now)
            if outcome is not None:
                self.open[entry].discard(record_id)
                self.told[record_id] = outcome

    @rule(entry=ENTRIES)
    def restate(self, entry: int) -> None:
        """Let an entry write a checkpoint, however old its state is."""
        fold = self.folds[entry]
        if fold.configuration is None or fold.read_offset == 0:
            return
        for part in split_snapshot(fold.snapshot()):
            offset = len(self.records) + 1
            body = msgspec.Raw(msgspec.json.encode(part))
            self.records.append(LogRecord(offset=offset, id=f"r{offset}", body=body))

    @rule(kept=st.integers(0, 6))
    def expire(self, kept: int) -> None:
        """Let old records expire."""
        self.first = max(self.first, len(self.records) - kept + 1)

    @rule(giver=ENTRIES, taker=ENTRIES, whole=st.booleans())
    def relay(self, giver: int, taker: int, whole: bool) -> None:
        """Let an entry take what another one has, also when that is older."""
        fold = self.folds[giver]
        if whole and fold.configuration is not None:
            self.folds[taker].restore(fold.snapshot())
        for record in fold.relay(after=self.folds[taker].read_offset).records:
            self.folds[taker].apply(record)

    @rule(entry=ENTRIES)
    def replace(self, entry: int) -> None:
        """Let an entry start anew with nothing."""
        self.folds[entry] = ConfigurationFold()
        self.publishers[entry] = Publisher(fold=self.folds[entry], retry_s=0)
        self.open[entry] = set()
        self.seen[entry] = 0

    @invariant()
    def agree(self) -> None:
        """Hold every entry against the replay of the whole log."""
        if not hasattr(self, "records"):
            return
        model = Model(self.records)
        for index, fold in enumerate(self.folds):
            assert fold.read_offset >= self.seen[index]
            self.seen[index] = fold.read_offset
            generations = {s.name: s.generation for s in fold.sections.values()}
            assert generations == model.states[fold.read_offset]
            newest = max(generations.values(), default=0)
            assert fold.generation == newest
        for record_id, outcome in self.told.items():
            accepted = model.accepted.get(record_id)
            if isinstance(outcome, Accepted):
                assert accepted == outcome.generation
            elif isinstance(outcome, Conflict | Invalid):
                assert accepted is None


HISTORY = settings(
    derandomize=True,
    max_examples=300,
    stateful_step_count=40,
    deadline=None,
    database=None,
    phases=[Phase.generate],
)


def _find_violations() -> list[str]:
    try:
        run_state_machine_as_test(ConfigurationHistory, settings=HISTORY)
    except AssertionError as error:
        return [str(error) or "an entry differs from the replay of the log"]
    return []


@proof("histories of publishing", Promise.CONFIGURATION)
def prove_histories() -> ProofResult:
    """Replay histories of concurrent operators."""
    return ProofResult(histories=HISTORY.max_examples, violations=_find_violations())


def test_agree_in_every_history() -> None:
    run_state_machine_as_test(ConfigurationHistory, settings=HISTORY)


def _always(value: bool) -> Callable[..., bool]:
    return lambda *args, **kwargs: value


@mutant("any base wins", promise=Promise.CONFIGURATION, check=_find_violations)
def accept_any_base(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ConfigurationFold, "_base_holds", _always(True))


@mutant("repeats count again", promise=Promise.CONFIGURATION, check=_find_violations)
def judge_repeats(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ConfigurationFold, "_is_repeat", _always(False))


@mutant("peers revert a state", promise=Promise.CONFIGURATION, check=_find_violations)
def restore_older(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ConfigurationFold, "_is_newer", _always(True))
