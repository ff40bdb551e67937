"""Show that a non-idempotent request runs at most once, whatever fails.

The caller sees its answer, a refusal that says whether the request ran, or a broken
connection. Two entries get the same free key at once, and a bound key comes to its
own entry and to the other; then the caller repeats every key after all has healed.
At each effect a fault strikes: the entry dies, sleeps, or loses the log or its peer.
No key may run twice, because only the first claim in the log, or the one incarnation
that the key names, ever hands out the dispatch.
"""

from __future__ import annotations

import math
from typing import Any

import msgspec
import pytest

from baobabthread.core.claims import handover
from baobabthread.core.claims.claims import Claims
from baobabthread.core.claims.entry import Entry
from baobabthread.core.claims.fold import ClaimFold
from baobabthread.core.claims.handover import HandedTables, Outcome
from baobabthread.core.claims.keys import ClaimKey
from baobabthread.core.claims.types import (
    ClaimRequest,
    ClaimSettings,
    Dispatch,
    Refuse,
)
from baobabthread.core.messages import (
    Append,
    AppendFailed,
    Effects,
    LogRead,
    LogRecord,
    Stream,
)
from baobabthread.errors import Ran
from tests.failures import claims_scenario
from tests.failures.claims_scenario import (
    WALL_S,
    ClaimScenario,
    StopScenario,
)
from tests.failures.matrix import (
    World,
    run_matrix,
)
from tests.failures.mutants import Promise, ProofResult, mutant, proof

PAIRS = 600


def check_claims() -> list[str]:
    return run_matrix(ClaimScenario, pairs=0, stop_early=True).violations


def check_stop() -> list[str]:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(handover, "KEYS_IN_PART", 1)
        return run_matrix(StopScenario, pairs=0, stop_early=True).violations


@proof("claims", Promise.ONCE, Promise.NOT_RUN)
def prove_claims() -> ProofResult:
    result = run_matrix(ClaimScenario, pairs=PAIRS)
    return ProofResult(cells=result.cells, violations=result.violations)


@proof("claims handed over", Promise.ONCE, Promise.GRACEFUL)
def prove_stop() -> ProofResult:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(handover, "KEYS_IN_PART", 1)
        result = run_matrix(StopScenario, pairs=PAIRS)
    return ProofResult(cells=result.cells, violations=result.violations)


def test_no_fault_runs_each_key_once() -> None:
    scenario = ClaimScenario()
    world = World(scenario=scenario)
    assert world.run() == []
    assert {key for key in scenario.runs if "refused" not in key} == {
        "k1~1000000000",
        "k2~1000000000",
        "busy-k3~1000000000",
        "e1.1/b1~1000000000",
    }
    assert set(scenario.finals) == set(scenario.requests)


def test_claims_hold_under_every_fault() -> None:
    result = prove_claims()
    assert result.violations == []


def test_hand_over_holds_under_every_fault() -> None:
    result = prove_stop()
    assert result.violations == []


def check_expiry() -> list[str]:
    """Repeat keys that the bounded memory had to forget, at old and new entries."""
    settings = ClaimSettings(max_keys=2)
    claims = Claims(incarnation="e1.1", settings=settings, wall_offset_s=WALL_S)
    runs: list[str] = []
    log: list[LogRecord] = []

    def send(entry: Claims, name: str, own: str, minted_s: int) -> None:
        key = f"{own}~{minted_s}"
        request = ClaimRequest(request_id=name, account="a", key=key, body_hash="h")
        effects = entry.begin(request, 5.0)
        for effect in effects:
            if isinstance(effect, Append):
                body = msgspec.Raw(effect.body)
                log.append(LogRecord(offset=len(log) + 1, id=effect.id, body=body))
                read = LogRead(stream=Stream.CLAIMS, records=log[-1:], head=len(log))
                effects = entry.on_log_read(read, 5.0)
        for effect in effects:
            if isinstance(effect, Dispatch):
                runs.append(key)
                outcome = Outcome(ran=Ran.YES)
                entry.finished(effect.key, outcome, 5.0)

    for round_ in range(2):
        for number in range(4):
            minted_s = int(WALL_S) - 8 + 2 * number
            send(claims, f"free-{round_}-{number}", f"k{number}", minted_s)
            send(claims, f"bound-{round_}-{number}", f"e1.1/k{number}", minted_s)
    fresh = Claims(incarnation="e2.1", settings=settings, wall_offset_s=WALL_S)
    kept = LogRead(stream=Stream.CLAIMS, records=log[3:], head=len(log), first=4)
    fresh.on_log_read(kept, 5.0)
    send(fresh, "new-entry", "k0", int(WALL_S) - 8)
    return [f"{key} ran twice" for key in set(runs) if runs.count(key) > 1]


def test_forgotten_keys_are_refused() -> None:
    assert check_expiry() == []


@mutant(
    "claims: dispatch before the read-back", promise=Promise.ONCE, check=check_claims
)
def skip_read_back(patch: pytest.MonkeyPatch) -> None:
    append_claim = Claims._append_claim

    def dispatch(self: Claims, entry: Entry, now: float) -> Any:
        append = append_claim(self, entry, now)
        self._claims.clear()
        self.__dict__.setdefault("pending", []).extend(self._dispatch(entry))
        return append

    begin = Claims.begin

    def begin_now(self: Claims, request: ClaimRequest, now: float) -> Effects:
        effects = begin(self, request, now)
        return [*effects, *self.__dict__.pop("pending", [])]

    patch.setattr(Claims, "_append_claim", dispatch)
    patch.setattr(Claims, "begin", begin_now)


@mutant("claims: the second claim runs too", promise=Promise.ONCE, check=check_claims)
def ignore_holder(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        Claims, "_take_own_claim", lambda self, entry, _: self._dispatch(entry)
    )


@mutant("claims: release does not void", promise=Promise.NOT_RUN, check=check_claims)
def ignore_void(patch: pytest.MonkeyPatch) -> None:
    claim = ClaimFold._claim

    def apply(self: ClaimFold, key: ClaimKey, claim_id: str, body: Any) -> None:
        self._void.clear()
        claim(self, key, claim_id, body)

    patch.setattr(ClaimFold, "_claim", apply)


@mutant("claims: a repeat does not join", promise=Promise.ONCE, check=check_claims)
def run_repeats(patch: pytest.MonkeyPatch) -> None:
    def repeat(self: Claims, entry: Entry, request: ClaimRequest) -> Dispatch:
        return Dispatch(request_id=request.request_id, key=entry.key)

    patch.setattr(Claims, "_repeat", repeat)


@mutant("claims: a bound key runs anywhere", promise=Promise.ONCE, check=check_claims)
def run_foreign_keys(patch: pytest.MonkeyPatch) -> None:
    def pass_on(
        self: Claims, key: ClaimKey, request: ClaimRequest, owner: str
    ) -> Dispatch:
        return Dispatch(request_id=request.request_id, key=key)

    patch.setattr(Claims, "_pass_on", pass_on)


@mutant("claims: a restart keeps its name", promise=Promise.ONCE, check=check_claims)
def reuse_incarnation(patch: pytest.MonkeyPatch) -> None:
    def same(entry: str, number: int) -> str:
        return f"{entry}.{number}"

    patch.setattr(claims_scenario, "next_incarnation", same)


@mutant("claims: a late claimant runs", promise=Promise.ONCE, check=check_claims)
def ignore_lateness(patch: pytest.MonkeyPatch) -> None:
    take = Claims._take_own_claim

    def take_late(self: Claims, entry: Entry, now: float) -> Effects:
        entry.claimed_at = now
        return take(self, entry, now)

    patch.setattr(Claims, "_take_own_claim", take_late)


@mutant("claims: a given-up claim runs", promise=Promise.NOT_RUN, check=check_claims)
def keep_given_up(patch: pytest.MonkeyPatch) -> None:
    give_up = Claims._give_up

    def keep(self: Claims, entry: Entry, problem: Any, now: float) -> Effects:
        effects = give_up(self, entry, problem, now)
        if entry.claim_id is not None:
            entry.claimed_at = math.inf
            self._claims[entry.claim_id] = entry
        return [e for e in effects if isinstance(e, Refuse)]

    patch.setattr(Claims, "_give_up", keep)


@mutant(
    "claims: a lost reply counts as a refusal", promise=Promise.ONCE, check=check_claims
)
def trust_lost_replies(patch: pytest.MonkeyPatch) -> None:
    on_append_failed = Claims.on_append_failed

    def fail(self: Claims, failed: AppendFailed, now: float) -> Effects:
        definite = msgspec.structs.replace(failed, definite=True)
        return on_append_failed(self, definite, now)

    patch.setattr(Claims, "on_append_failed", fail)


@mutant("claims: half a table answers no", promise=Promise.NOT_RUN, check=check_stop)
def trust_half_tables(patch: pytest.MonkeyPatch) -> None:
    def is_whole(self: HandedTables, incarnation: str) -> bool:
        return incarnation in self._tables

    patch.setattr(HandedTables, "is_whole", is_whole)


@mutant("claims: a stopped entry runs keys", promise=Promise.NOT_RUN, check=check_stop)
def keep_running(patch: pytest.MonkeyPatch) -> None:
    hand_over = Claims.hand_over

    def give(self: Claims, peers: Any, now: float) -> Effects:
        effects = hand_over(self, peers, now)
        self._closed = False
        return effects

    patch.setattr(Claims, "hand_over", give)


@mutant("claims: forgotten keys run", promise=Promise.ONCE, check=check_expiry)
def forget_without_floor(patch: pytest.MonkeyPatch) -> None:
    raise_floor = ClaimFold.raise_floor

    def forget(self: ClaimFold, minted_s: float) -> None:
        before = self.floor
        raise_floor(self, minted_s)
        self.floor = before

    patch.setattr(ClaimFold, "raise_floor", forget)


@mutant("claims: lost records are ignored", promise=Promise.ONCE, check=check_expiry)
def ignore_lost_records(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ClaimFold, "start_read", lambda self, read, wall_s: None)
