"""Check histories of concurrent requests against a model of one bill per request.

Requests open, end and repeat their keys at three entries while messages are lost,
doubled and overtaken, appends fail or lose their replies, entries suspect each other
and one entry dies. After all has healed, the fold of the stream must hold one bill for
every request that ran, and none for a request that did not, unless its entry was lost
sight of while the bill was open: then the peer can't know, and bills the estimate.
"""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)

from baobabthread.core.billing.bills import BillFold
from baobabthread.core.billing.copies import BillCopies
from baobabthread.core.billing.ledger import Ledger
from baobabthread.core.billing.types import (
    BillOpened,
    BillOutcome,
    BillRecord,
    BillRefused,
    BillRequest,
    LedgerSettings,
    Peer,
    Settlement,
    name_bill,
)
from baobabthread.core.messages import (
    Append,
    Appended,
    AppendFailed,
    Effects,
    LogRecord,
    Send,
    SendFailed,
    Stream,
)
from tests.failures.mutants import Promise, ProofResult, mutant, proof

ENTRIES = ("e1", "e2", "e3")
SETTINGS = LedgerSettings(settle_after_s=3.0, append_timeout_s=4.0)
COST = 3.0
ESTIMATE = 5.0
EXAMPLES = 150
STEPS = 50
HEAL_S = 40.0

entries = st.sampled_from(ENTRIES)
fates = st.sampled_from(["done", "done", "done", "lost", "gone", "no"])
travels = st.sampled_from(["done", "done", "done", "twice", "lost", "gone"])
waits = st.sampled_from([0.02, 0.02, 0.02, 0.05, 0.3, 4.0])


class BillingHistory(RuleBasedStateMachine):
    """Drive three ledgers over a network and a log that can't be trusted."""

    examples = 0
    bills = 0

    def __init__(self) -> None:
        super().__init__()
        type(self).examples += 1
        self.now = 0.0
        self.nodes = {entry: self.make(entry) for entry in ENTRIES}
        self.unheard: set[tuple[str, str]] = set()
        """Pairs of an observer and the entry that it takes for dead."""
        self.dead: set[str] = set()
        self.lost_sight = False
        self.log: list[LogRecord] = []
        self.appends: list[tuple[str, Append]] = []
        self.messages: list[tuple[str, Send]] = []
        self.requests: dict[str, tuple[str, BillRequest]] = {}
        self.running: list[str] = []
        self.ran: dict[str, bool] = {}
        """Requests that ran, and whether no peer held a copy."""
        for entry in ENTRIES:
            self.tell_peers(entry)

    def make(self, entry: str) -> Ledger:
        return Ledger(incarnation=entry, failure_domain=entry, settings=SETTINGS)

    def tell_peers(self, entry: str) -> None:
        peers = [
            Peer(name=other, failure_domain=other)
            for other in ENTRIES
            if other != entry and (entry, other) not in self.unheard
        ]
        self.take(entry, self.nodes[entry].set_peers(peers, self.now))

    def take(self, entry: str, effects: Effects) -> None:
        for effect in effects:
            match effect:
                case Append():
                    self.appends.append((entry, effect))
                case Send():
                    self.messages.append((entry, effect))
                case BillOpened(request_id=request_id, degraded=degraded):
                    assert request_id not in self.ran, f"{request_id} opened twice"
                    self.ran[request_id] = degraded
                    self.running.append(request_id)
                case BillRefused(request_id=request_id):
                    assert request_id not in self.ran, f"{request_id} refused and ran"

    def get_alive(self, entry: str) -> Ledger | None:
        return None if entry in self.dead else self.nodes[entry]

    @rule(entry=entries, key=st.sampled_from(["", "", "key"]))
    def open(self, entry: str, key: str) -> None:
        """Admit a request, now and then with a key that others send too."""
        ledger = self.get_alive(entry)
        if ledger is None or ledger.may_admit(self.now) is not None:
            return
        request = BillRequest(
            request_id=f"r{len(self.requests)}",
            account="account",
            service="content",
            key=key,
            estimate=ESTIMATE,
        )
        self.requests[request.request_id] = (entry, request)
        self.take(entry, ledger.open(request, self.now))

    @precondition(lambda self: self.running)
    @rule(which=st.integers(0, 9))
    def close(self, which: int) -> None:
        """End a running request."""
        request_id = self.running.pop(which % len(self.running))
        entry, _ = self.requests[request_id]
        ledger = self.get_alive(entry)
        if ledger is not None:
            settlement = Settlement(outcome=BillOutcome.ANSWERED, cost=COST, tokens=10)
            self.take(entry, ledger.close(request_id, settlement, self.now))

    @precondition(lambda self: self.messages)
    @rule(which=st.integers(0, 9), fate=travels)
    def travel(self, which: int, fate: str) -> None:
        """Bring a message, twice, or lose it or its reply."""
        sender, send = self.messages.pop(which % len(self.messages))
        target = self.get_alive(send.to)
        if target is not None and fate != "gone":
            for _ in range(2 if fate == "twice" else 1):
                effects = target.on_message(sender, send.message, self.now)
                self.take(send.to, effects)
        owner = self.get_alive(sender)
        if owner is not None and (target is None or fate in ("lost", "gone")):
            failed = SendFailed(to=send.to, message=send.message)
            self.take(sender, owner.on_send_failed(failed, self.now))

    @precondition(lambda self: len(self.messages) > 1)
    @rule()
    def flow(self) -> None:
        """Bring all messages that are on their way, and the replies to them."""
        while self.messages:
            self.travel(0, "done")

    @precondition(lambda self: self.appends)
    @rule(which=st.integers(0, 9), fate=fates)
    def commit(self, which: int, fate: str) -> None:
        """Commit an append in any order, or lose it or its reply."""
        entry, append = self.appends.pop(which % len(self.appends))
        offset = len(self.log) + 1
        if fate in ("done", "lost"):
            body = msgspec.Raw(append.body)
            self.log.append(LogRecord(offset=offset, id=append.id, body=body))
        ledger = self.get_alive(entry)
        if ledger is None:
            return
        if fate == "done":
            done = Appended(stream=Stream.BILLS, id=append.id, offset=offset)
            self.take(entry, ledger.on_appended(done, self.now))
        else:
            failed = AppendFailed(
                stream=Stream.BILLS, id=append.id, definite=fate == "no"
            )
            self.take(entry, ledger.on_append_failed(failed, self.now))

    @rule(one=entries, other=entries, heard=st.booleans(), rarely=st.booleans())
    def suspect(self, one: str, other: str, heard: bool, rarely: bool) -> None:
        """Let an entry take another one for dead, or hear it again."""
        if rarely or one == other or one in self.dead or other in self.dead:
            return
        if heard:
            self.unheard.discard((one, other))
        else:
            self.unheard.add((one, other))
            self.lost_sight = True
        self.tell_peers(one)

    @precondition(lambda self: len(self.requests) > 2 and not self.dead)
    @rule(entry=entries)
    def die(self, entry: str) -> None:
        """End one entry with all that it holds."""
        self.dead.add(entry)
        for other in ENTRIES:
            if other != entry:
                self.unheard.add((other, entry))
                self.tell_peers(other)

    @rule(seconds=waits)
    def wait(self, seconds: float) -> None:
        """Let time pass at all entries."""
        self.now += seconds
        for entry in ENTRIES:
            ledger = self.get_alive(entry)
            if ledger is not None:
                self.take(entry, ledger.tick(self.now))

    def teardown(self) -> None:
        """Heal everything, let it settle, and compare the fold with the model."""
        self.unheard = {pair for pair in self.unheard if pair[1] in self.dead}
        for entry in ENTRIES:
            if entry not in self.dead:
                self.tell_peers(entry)
        end = self.now + HEAL_S
        while self.now < end:
            while self.messages:
                self.travel(0, "done")
            while self.appends:
                self.commit(0, "done")
            while self.running:
                self.close(0)
            self.wait(0.5)
        self.check_fold()

    def check_fold(self) -> None:
        fold = BillFold()
        costs: dict[str, float] = {}
        for record in self.log:
            if fold.apply(record):
                bill = msgspec.json.decode(record.body, type=BillRecord)
                assert bill.bill_id not in costs, f"{bill.bill_id} billed twice"
                costs[bill.bill_id] = bill.cost
        type(self).bills += len(costs)
        ran = {self.name(request_id) for request_id in self.ran}
        for request_id, degraded in self.ran.items():
            owner, _ = self.requests[request_id]
            covered = owner not in self.dead or not degraded
            missing = self.name(request_id) not in costs
            assert not (covered and missing), f"{request_id} ran and was not billed"
        if not self.dead and not self.lost_sight:
            assert set(costs) == ran, f"billed without a run: {set(costs) - ran}"
            assert set(costs.values()) <= {COST}, f"billed {costs}"
        for entry in ENTRIES:
            ledger = self.get_alive(entry)
            assert ledger is None or not ledger.describe()["unsettled"]
            assert ledger is None or not ledger.describe()["copies"]

    def name(self, request_id: str) -> str:
        _, request = self.requests[request_id]
        return name_bill(
            account=request.account, key=request.key, request_id=request_id
        )


def run_histories(phases: tuple[Phase, ...] = tuple(Phase)) -> None:
    run_state_machine_as_test(
        BillingHistory,
        settings=settings(
            max_examples=EXAMPLES,
            stateful_step_count=STEPS,
            derandomize=True,
            phases=phases,
            report_multiple_bugs=False,
            database=None,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


def check_histories() -> list[str]:
    try:
        run_histories(phases=(Phase.generate,))
    except (AssertionError, ExceptionGroup) as error:
        return [str(error)]
    return []


@proof("histories of billing", Promise.BILLED)
def prove_histories() -> ProofResult:
    before = BillingHistory.examples
    violations = check_histories()
    return ProofResult(
        histories=BillingHistory.examples - before, violations=violations
    )


def test_histories_agree_with_one_bill_per_request() -> None:
    run_histories()


@mutant(
    "billing history: nobody settles", promise=Promise.BILLED, check=check_histories
)
def never_settle(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(BillCopies, "take_due", lambda self, now: [])


@mutant(
    "billing history: every record bills", promise=Promise.BILLED, check=check_histories
)
def count_repeats(patch: pytest.MonkeyPatch) -> None:
    def apply(self: BillFold, record: LogRecord) -> Any:
        return True

    patch.setattr(BillFold, "apply", apply)
