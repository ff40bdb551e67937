"""Put every fault at every step of publishing, folding, relaying and restating.

Two operators publish at once while the log loses replies, goes down or is cut off
and its old records expire. An operator is told the truth about each text, and
every entry that ever read up to an offset is in the state that the whole log gives.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from baobabthread.core.configuration.checkpoint import (
    CheckpointPlanner,
)
from baobabthread.core.configuration.fold import ConfigurationFold
from baobabthread.core.configuration.freshness import (
    Freshness,
)
from baobabthread.core.configuration.publisher import NotAppended, Publisher
from baobabthread.core.configuration.records import (
    Publish,
    SectionState,
    Snapshot,
)
from baobabthread.core.messages import (
    LogRecord,
)
from tests.failures.configuration_scenario import (
    Publishing,
    Replacing,
)
from tests.failures.matrix import (
    run_matrix,
)
from tests.failures.mutants import Promise, ProofResult, mutant, proof
from tests.histories.configuration_model import write_team


@proof("configuration", Promise.CONFIGURATION, Promise.WITHDRAWN)
def prove_configuration() -> ProofResult:
    """Publish under every fault, then replace all entries under every fault."""
    results = [run_matrix(Publishing, pairs=150), run_matrix(Replacing, pairs=50)]
    return ProofResult(
        cells=sum(result.cells for result in results),
        violations=[text for result in results for text in result.violations],
    )


def test_hold_under_every_fault() -> None:
    result = prove_configuration()
    assert result.violations == []
    assert result.cells > 1_000


def _find_in_publishing() -> list[str]:
    return run_matrix(Publishing, pairs=150, stop_early=True).violations


def _find_in_replacing() -> list[str]:
    return run_matrix(Replacing, pairs=150, stop_early=True).violations


def _always(value: bool) -> Callable[..., bool]:
    return lambda *args, **kwargs: value


@mutant(
    "two winners for one base",
    promise=Promise.CONFIGURATION,
    check=_find_in_publishing,
)
def accept_any_base(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ConfigurationFold, "_base_holds", _always(True))


@mutant(
    "repeated records judged again",
    promise=Promise.CONFIGURATION,
    check=_find_in_publishing,
)
def judge_repeats(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ConfigurationFold, "_is_repeat", _always(False))


@mutant(
    "older states restored",
    promise=Promise.CONFIGURATION,
    check=_find_in_publishing,
)
def restore_older(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ConfigurationFold, "_is_newer", _always(True))
    patch.setattr(ConfigurationFold, "_keeps_own", _always(False))


@mutant(
    "no checkpoints before records expire",
    promise=Promise.CONFIGURATION,
    check=_find_in_replacing,
)
def never_restate(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(CheckpointPlanner, "_is_due", _always(False))


@mutant(
    "no bound of freshness",
    promise=Promise.WITHDRAWN,
    check=_find_in_publishing,
)
def call_anything_fresh(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Freshness, "_is_within_bound", _always(True))


@mutant(
    "a lost reply taken for a refusal",
    promise=Promise.CONFIGURATION,
    check=_find_in_publishing,
)
def say_not_appended(patch: pytest.MonkeyPatch) -> None:
    def decide(self: Publisher, attempt: Any, now: float) -> Any:
        decision = self._fold.verdict_of(attempt.id)
        return decision or (NotAppended() if now > attempt.deadline - 8 else None)

    patch.setattr(Publisher, "_outcome", decide)


def test_keep_the_maximum_whatever_a_checkpoint_says() -> None:
    """A checkpoint by a faulty writer claims a later offset but older sections.

    Without the maximum per section, entries that adopt it would take an accepted
    text back.
    """
    fold = ConfigurationFold()
    text = write_team("a", versions=["a-1"])
    body = msgspec.json.encode(Publish(base=0, section="a", text=text, operator="o"))
    fold.apply(LogRecord(offset=1, id="r1", body=msgspec.Raw(body)))
    old = SectionState(name="a", generation=0, text="", operator="x")
    fold.restore(Snapshot(read_offset=9, generation=0, sections=[old], decided=[]))
    assert fold.section_generation("a") == 1
    assert fold.configuration is not None
    assert "a" in fold.configuration.services
