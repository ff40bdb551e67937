"""Check histories of concurrent callers against a model of one run per key.

Callers send and repeat keys at three entries while appends are committed late, lost or
acknowledged wrongly, reads lag, entries restart and backend servers refuse. The model
is one table: each key ran once at most. Every answer must agree with it: a stored
answer is that run's, "not run" means that this request did not run, and a key that a
stopped entry never ran is never run later.
"""

from __future__ import annotations

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

from baobabthread.core.claims.claims import Claims
from baobabthread.core.claims.handover import HandOver, Outcome
from baobabthread.core.claims.keys import ClaimKey
from baobabthread.core.claims.types import (
    ClaimRequest,
    ClaimSettings,
    Dispatch,
    Forward,
    Join,
    Refuse,
    Replay,
)
from baobabthread.core.messages import (
    Append,
    AppendFailed,
    Effects,
    LogRead,
    LogRecord,
    Send,
    Stream,
)
from baobabthread.errors import Kind, Ran
from tests.failures.mutants import Promise, ProofResult, mutant, proof

WALL_S = 1_000_000_000.0
SETTINGS = ClaimSettings(key_lifetime_s=60.0, max_keys=12, claim_wait_s=3.0)
ENTRIES = ("e1", "e2", "e3")
EXAMPLES = 200
STEPS = 50

entries = st.sampled_from(ENTRIES)
ages = st.sampled_from([0, 0, 0, 50])
fates = st.sampled_from(["done", "done", "done", "lost", "gone", "no"])
ends = st.sampled_from([Ran.YES, Ran.YES, Ran.NO, Ran.UNKNOWN])
waits = st.sampled_from([0.1, 0.1, 1.0, 4.0, 25.0])


class Model:
    """Hold, for each key, the one request that ran and its answer."""

    def __init__(self) -> None:
        self.ran: dict[ClaimKey, str] = {}
        self.never: set[ClaimKey] = set()
        """Keys of which a caller was told that nobody ran or will run them."""

    def run(self, key: ClaimKey, request_id: str) -> None:
        assert key not in self.ran, (
            f"{key.text} ran for {self.ran[key]} and {request_id}"
        )
        assert key not in self.never, f"{key.text} ran after it was said to be not run"
        self.ran[key] = request_id

    def check_replay(self, key: ClaimKey, body: bytes) -> None:
        assert self.ran.get(key, "") == body.decode(), f"{key.text}: not its answer"

    def check_refused(self, key: ClaimKey, refuse: Refuse) -> None:
        if refuse.problem.ran is not Ran.NO:
            return
        ran = self.ran.get(key)
        assert ran != refuse.request_id, f"{ran} ran and was refused as not run"
        if refuse.problem.kind is Kind.OWNER_GONE:
            assert ran is None, f"{key.text} ran and was said to be never run"
            self.never.add(key)


class ClaimHistory(RuleBasedStateMachine):
    """Drive three entries over a log whose replies can't be trusted."""

    examples = 0

    def __init__(self) -> None:
        super().__init__()
        type(self).examples += 1
        self.now = 0.0
        self.model = Model()
        self.log: list[LogRecord] = []
        self.pending: list[tuple[str, Append]] = []
        self.running: list[tuple[str, Dispatch]] = []
        self.requests: dict[str, ClaimRequest] = {}
        self.keys: list[str] = []
        self.finals: dict[str, int] = {}
        self.number = dict.fromkeys(ENTRIES, 0)
        self.nodes: dict[str, Claims] = {}
        self.cursors: dict[str, int] = {}
        for entry in ENTRIES:
            self.begin(entry)

    def begin(self, entry: str) -> None:
        self.number[entry] += 1
        name = f"{entry}.{self.number[entry]}"
        self.nodes[entry] = Claims(
            incarnation=name, settings=SETTINGS, wall_offset_s=WALL_S
        )
        self.cursors[entry] = 0

    def get_name(self, entry: str) -> str:
        return f"{entry}.{self.number[entry]}"

    def take(self, entry: str, effects: Effects) -> None:
        for effect in effects:
            match effect:
                case Append():
                    self.pending.append((entry, effect))
                case Dispatch(request_id=request_id, key=key):
                    self.model.run(key, request_id)
                    self.running.append((self.get_name(entry), effect))
                case Forward(request_id=request_id, incarnation=incarnation):
                    self.forward(entry, self.requests[request_id], incarnation)
                case Replay(request_id=request_id, outcome=outcome):
                    key = self.get_key(request_id)
                    if outcome.ran is Ran.YES:
                        self.model.check_replay(key, outcome.body)
                    self.end(request_id)
                case Refuse(request_id=request_id):
                    self.model.check_refused(self.get_key(request_id), effect)
                    self.end(request_id)
                case Send(message=HandOver() as message):
                    self.nodes[effect.to].on_hand_over(message, self.now)
                case Join():
                    pass

    def get_key(self, request_id: str) -> ClaimKey:
        request = self.requests[request_id]
        return ClaimKey(account=request.account, text=request.key)

    def end(self, request_id: str) -> None:
        self.finals[request_id] = self.finals.get(request_id, 0) + 1
        assert self.finals[request_id] == 1, f"{request_id} was answered twice"

    def forward(self, entry: str, request: ClaimRequest, incarnation: str) -> None:
        target = incarnation.partition(".")[0]
        if target in ENTRIES and self.get_name(target) == incarnation:
            self.take(target, self.nodes[target].begin(request, self.now))
            return
        node = self.nodes[entry]
        self.take(entry, node.forward_failed(request, incarnation, self.now))

    @rule(bound=st.none() | entries, earlier=st.integers(0, 9), age_s=ages)
    def mint(self, bound: str | None, earlier: int, age_s: int) -> None:
        """Mint a key now or a while ago, free or bound to an incarnation."""
        text = f"k{len(self.keys)}~{int(WALL_S + self.now) - age_s}"
        if bound is not None:
            incarnation = max(1, self.number[bound] - (earlier == 0))
            text = f"{bound}.{incarnation}/{text}"
        self.keys.append(text)

    @precondition(lambda self: self.keys)
    @rule(entry=entries, which=st.integers(0, 2))
    def call(self, entry: str, which: int) -> None:
        """Send one of the newest keys to an entry, for the first time or again."""
        request = ClaimRequest(
            request_id=f"r{len(self.requests)}",
            account="account",
            key=self.keys[-1 - which % len(self.keys)],
            body_hash="hash",
        )
        self.requests[request.request_id] = request
        self.take(entry, self.nodes[entry].begin(request, self.now))

    @precondition(lambda self: self.keys)
    @rule(one=entries, other=entries, which=st.integers(0, 2))
    def race(self, one: str, other: str, which: int) -> None:
        """Send the same key to two entries at once."""
        self.call(one, which)
        self.call(other, which)

    @precondition(lambda self: len(self.pending) + len(self.running) > 2)
    @rule()
    def settle(self) -> None:
        """Commit all pending appends, read them everywhere, end what runs."""
        while self.pending:
            self.commit(0, "done")
        for entry in ENTRIES:
            self.read(entry, len(self.log))
        while self.running:
            self.finish(0, Ran.YES)

    @precondition(lambda self: self.pending)
    @rule(which=st.integers(0, 9), fate=fates)
    def commit(self, which: int, fate: str) -> None:
        """Commit a pending append in any order, or lose it or its reply."""
        entry, append = self.pending.pop(which % len(self.pending))
        if fate in ("done", "lost"):
            body = msgspec.Raw(append.body)
            record = LogRecord(offset=len(self.log) + 1, id=append.id, body=body)
            self.log.append(record)
        alive = append.id.startswith(f"{self.get_name(entry)}:")
        if fate != "done" and alive:
            failed = AppendFailed(
                stream=Stream.CLAIMS, id=append.id, definite=fate == "no"
            )
            self.take(entry, self.nodes[entry].on_append_failed(failed, self.now))

    @rule(entry=entries, count=st.integers(1, 5))
    def read(self, entry: str, count: int) -> None:
        """Read the next records of the stream."""
        cursor = self.cursors[entry]
        records = self.log[cursor : cursor + count]
        self.cursors[entry] = cursor + len(records)
        event = LogRead(
            stream=Stream.CLAIMS, records=records, head=self.cursors[entry], first=1
        )
        self.take(entry, self.nodes[entry].on_log_read(event, self.now))

    @precondition(lambda self: self.running)
    @rule(which=st.integers(0, 9), ran=ends)
    def finish(self, which: int, ran: Ran) -> None:
        """End a dispatched request: answered, refused by the server, or cut."""
        name, dispatch = self.running.pop(which % len(self.running))
        if ran is Ran.NO:
            del self.model.ran[dispatch.key]
        entry = name.partition(".")[0]
        if self.get_name(entry) != name:
            return
        body = dispatch.request_id.encode()
        outcome = Outcome(ran=ran, body=body)
        self.end(dispatch.request_id)
        self.take(entry, self.nodes[entry].finished(dispatch.key, outcome, self.now))

    @rule(entry=entries, graceful=st.booleans(), rarely=st.booleans())
    def restart(self, entry: str, graceful: bool, rarely: bool) -> None:
        """Replace an entry; a graceful stop waits for its requests first."""
        if rarely:
            return
        name = self.get_name(entry)
        if graceful:
            self.drain(name)
        if graceful:
            peers = [other for other in ENTRIES if other != entry]
            self.take(entry, self.nodes[entry].hand_over(peers, self.now))
        for other in ENTRIES:
            if other != entry:
                self.nodes[other].mark_gone(name)
        self.begin(entry)

    def drain(self, name: str) -> None:
        """End what runs at an entry that stops."""
        while any(owner == name for owner, _ in self.running):
            names = [owner for owner, _ in self.running]
            self.finish(names.index(name), Ran.YES)

    @rule(seconds=waits)
    def wait(self, seconds: float) -> None:
        """Let time pass at all entries."""
        self.now += seconds
        for entry in ENTRIES:
            self.take(entry, self.nodes[entry].expire(self.now))


def run_histories(phases: tuple[Phase, ...] = tuple(Phase)) -> None:
    run_state_machine_as_test(
        ClaimHistory,
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


@proof("histories of claims", Promise.ONCE, Promise.NOT_RUN)
def prove_histories() -> ProofResult:
    before = ClaimHistory.examples
    violations = check_histories()
    return ProofResult(histories=ClaimHistory.examples - before, violations=violations)


def check_histories() -> list[str]:
    try:
        run_histories(phases=(Phase.generate,))
    except (AssertionError, ExceptionGroup) as error:
        return [str(error)]
    return []


def test_histories_agree_with_one_run_per_key() -> None:
    run_histories()


@mutant(
    "claims history: the second claim runs", promise=Promise.ONCE, check=check_histories
)
def run_without_holder(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        Claims, "_take_own_claim", lambda self, entry, now: self._dispatch(entry)
    )
