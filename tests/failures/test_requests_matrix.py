"""Every outcome of every attempt, with every change of the world in between.

The caller asks once and must get one final answer, from a version that it may use and
that is not withdrawn, billed once if anything ran, and told "not run" only if nothing
did. Each cell is one order of outcomes and changes at one entry's whole core.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator
from typing import Any

import msgspec
import pytest

from baobabthread.core.events import (
    Answered,
    AttemptOutcome,
    Broken,
    CallerGone,
    Deliver,
    Dispatch,
    ListedInstance,
    Refuse,
    Refused,
    RosterRead,
)
from baobabthread.core.messages import Append, Stream
from baobabthread.core.models import choices
from baobabthread.core.requests import dispatching, endings
from baobabthread.errors import Ran
from tests.core.lone import SURE, WEAK, Lone, write_text
from tests.failures.mutants import Promise, ProofResult, mutant, proof

OUTCOMES: dict[str, AttemptOutcome] = {
    "sure": SURE,
    "weak": WEAK,
    "busy": Refused(kind="busy"),
    "leaving": Refused(kind="leaving"),
    "not loaded": Refused(kind="version_not_loaded"),
    "not sent": Broken(sent=False),
    "no whole answer": Broken(sent=True),
    "cut after 3": Broken(sent=True, delivered_tokens=3),
    "caller gone": Broken(sent=True, delivered_tokens=2, reason="caller_gone"),
}
KINDS: dict[str, dict[str, Any]] = {
    "chat": {},
    "stream": {"stream": True},
    "one version": {"service": "small"},
    "plain": {"service": "screens", "call": "status", "is_model": False},
    "bound": {
        "service": "screens",
        "call": "reboot",
        "is_model": False,
        "idempotency_key": "e1-1/w1",
    },
    "no key": {"service": "screens", "call": "reboot", "is_model": False},
}
CHANGES = ("nothing", "withdraw", "forbid", "remove", "roster", "gone", "late")
MAX_ATTEMPTS = 6


class Cell:
    """Run one request through one order of outcomes and changes."""

    def __init__(self, kind: str, steps: tuple[tuple[str, str], ...]) -> None:
        self._kind = kind
        self._steps = steps
        self._lone = Lone()
        self._withdrawn = False
        self._forbidden = False
        self._removed = False
        self._left: set[str] = set()
        self._dispatches: list[Dispatch] = []
        self._finals: list[Any] = []
        self._bills: list[dict[str, Any]] = []
        self._ran = False
        self._whole = False
        self.violations: list[str] = []

    def run(self) -> list[str]:
        """Return what did not hold."""
        self._take(self._lone.ask(**KINDS[self._kind]))
        steps = iter(self._steps)
        while not self._finals and len(self._dispatches) <= MAX_ATTEMPTS:
            change, outcome = next(steps, ("nothing", "sure"))
            self._change(change)
            self._end(outcome)
        self._check_end()
        return [f"{self._kind} {self._steps}: {each}" for each in self.violations]

    def _end(self, name: str) -> None:
        if self._finals:
            return
        dispatch = self._dispatches[-1]
        outcome = OUTCOMES[name]
        relayed = isinstance(outcome, Broken) and outcome.delivered_tokens > 0
        if relayed and not dispatch.relay:
            # Nothing of a held answer has reached the caller.
            outcome = msgspec.structs.replace(outcome, delivered_tokens=0)
        self._whole = isinstance(outcome, Answered)
        sent = isinstance(outcome, Broken) and outcome.sent
        self._ran = self._ran or self._whole or sent
        if name == "leaving":
            self._left.add(dispatch.backend)
        self._take(self._lone.end("r1", dispatch.backend, outcome))

    def _change(self, change: str) -> None:
        text = write_text()
        if change == "withdraw":
            self._withdrawn = True
        elif change == "forbid":
            self._forbidden = True
        elif change == "remove":
            self._removed = True
        elif change == "roster":
            self._left.add("engine-1")
            listed = ListedInstance(name="engine-1", address="x", leaving=True)
            self._take(self._lone.handle(RosterRead(entries=[], backends=[listed])))
        elif change == "gone":
            self._take(self._lone.handle(CallerGone(request_id="r1")))
        elif change == "late":
            self._take(self._lone.tick(31.0))
            self._lone.read_head()
        if change in ("withdraw", "forbid", "remove"):
            if self._withdrawn:
                text = text.replace('model = "s"', 'model = "s"\nstate = "withdrawn"')
            if self._forbidden:
                text = text.replace(
                    "[accounts.metro]", '[accounts.metro]\nversions = ["large"]'
                )
            if self._removed:
                text = text.replace("[accounts.metro]", "[accounts.malls]")
            self._lone.publish(text)

    def _take(self, effects: list[Any]) -> None:
        for effect in effects:
            if isinstance(effect, Dispatch):
                self._check_dispatch(effect)
                self._dispatches.append(effect)
            elif isinstance(effect, Deliver):
                self._finals.append(effect)
                if not self._whole:
                    self._fail("an answer was delivered that is not whole")
            elif isinstance(effect, Refuse):
                self._finals.append(effect)
                self._check_refusal(effect)
            elif isinstance(effect, Append) and effect.stream is Stream.BILLS:
                self._bills.append(msgspec.json.decode(effect.body))

    def _check_dispatch(self, dispatch: Dispatch) -> None:
        if dispatch.backend in self._left:
            self._fail("a leaving backend server got work")
        if self._kind in ("bound", "no key") and self._ran:
            self._fail("a non-idempotent request was sent twice")
        if dispatch.resume_from:
            return
        if dispatch.version == "small" and self._withdrawn:
            self._fail("a withdrawn version got a new attempt")
        if dispatch.version == "small" and self._forbidden:
            self._fail("a version ran that the account does not allow")

    def _check_refusal(self, refusal: Refuse) -> None:
        if refusal.problem.ran is Ran.NO and self._ran:
            self._fail("said not run, though it may have run")
        if not refusal.problem.remedy:
            self._fail("no remedy")

    def _check_end(self) -> None:
        if len(self._finals) != 1:
            self._fail(f"{len(self._finals)} final answers")
        billed = len(self._bills)
        if self._ran and billed != 1:
            self._fail(f"{billed} bills for a request that ran")
        if not self._ran and billed:
            self._fail("a bill for a request that did not run")
        if len(self._lone.core.requests):
            self._fail("the request is still open")
        for service in self._lone.core._services.values():
            if service.limit.running or len(service.queue):
                self._fail("room in the limit or the queue was not given back")

    def _fail(self, what: str) -> None:
        self.violations.append(what)


def list_cells() -> Iterator[tuple[str, tuple[tuple[str, str], ...]]]:
    """Yield all orders of two steps, and those of three without changes."""
    step = list(itertools.product(CHANGES, OUTCOMES))
    for kind in KINDS:
        for first in step:
            yield kind, (first,)
        for first, second in itertools.product(step, step):
            if first[0] == "nothing" or second[0] == "nothing":
                yield kind, (first, second)
        for outcomes in itertools.product(OUTCOMES, repeat=3):
            yield kind, tuple(("nothing", each) for each in outcomes)


def check_cells(stride: int = 1) -> ProofResult:
    """Run cells and collect what did not hold."""
    result = ProofResult()
    for kind, steps in itertools.islice(list_cells(), 0, None, stride):
        result.cells += 1
        result.violations += Cell(kind, steps).run()
    return result


def check_some() -> list[str]:
    """Run a part of the cells, for mutants."""
    return check_cells(stride=7).violations


@proof(
    "requests",
    Promise.ALLOWED,
    Promise.WITHDRAWN,
    Promise.BILLED,
    Promise.WHOLE,
    Promise.NOT_RUN,
    Promise.ONCE,
    Promise.LEAVING,
)
def prove_requests() -> ProofResult:
    """Run all cells."""
    return check_cells()


def test_hold_under_every_outcome_and_change() -> None:
    # All cells run with `make proofs`; every third one here keeps the tests short.
    result = check_cells(stride=3)
    assert result.cells > 2_000
    assert result.violations[:5] == []


Patch = pytest.MonkeyPatch
Removal = Callable[[Patch], None]


@mutant("a plan is kept for good", promise=Promise.WITHDRAWN, check=check_some)
def keep_plans(patch: Patch) -> None:
    patch.setattr(choices.Choices, "is_in_use", lambda self, request, directory: True)


@mutant("accounts may use every version", promise=Promise.ALLOWED, check=check_some)
def allow_all(patch: Patch) -> None:
    real = choices.choose_versions

    def choose(selection: Any, **options: Any) -> list[str]:
        return real(selection, **{**options, "allowed": []})

    patch.setattr(choices, "choose_versions", choose)


@mutant("a refusal as leaving is forgotten", promise=Promise.LEAVING, check=check_some)
def forget_leaving(patch: Patch) -> None:
    patch.setattr(dispatching, "LEAVING", "")
    patch.setattr(
        dispatching.Dispatching,
        "_attempt_again",
        lambda self, request, now, delay_s: (
            request.excluded.clear(),
            self._attempt(request, now, delay_s),
        )[1],
    )


@mutant("non-idempotent calls are retried", promise=Promise.ONCE, check=check_some)
def retry_all(patch: Patch) -> None:
    patch.setattr(
        "baobabthread.core.limits.retries.is_repeatable", lambda attempt: True
    )


@mutant("a broken attempt counts as not run", promise=Promise.NOT_RUN, check=check_some)
def deny_runs(patch: Patch) -> None:
    patch.setattr("baobabthread.core.problems._tell_ran", lambda request: Ran.NO)


@mutant("a cut answer is delivered", promise=Promise.WHOLE, check=check_some)
def deliver_cut(patch: Patch) -> None:
    def broken(self: Any, request: Any, ended: Any, broken: Any, now: float) -> Any:
        return self._deliver(request, ended, now)

    patch.setattr(dispatching.Dispatching, "_broken", broken)


@mutant("what ran is not billed", promise=Promise.BILLED, check=check_some)
def cancel_bills(patch: Patch) -> None:
    patch.setattr(
        endings.Endings,
        "_settle",
        lambda self, request, outcome, now: self._ledger.cancel(request.id, now),
    )
