"""Two entries and callers that claim keys, for the matrix of faults."""

from __future__ import annotations

from typing import Any

import msgspec

from baobabthread.core.claims.claims import Claims
from baobabthread.core.claims.handover import HandOver, Outcome
from baobabthread.core.claims.keys import ClaimKey
from baobabthread.core.claims.types import (
    ClaimRequest,
    Dispatch,
    Forward,
    Join,
    Refuse,
    Replay,
)
from baobabthread.core.messages import (
    AppendFailed,
    Effects,
    LogRead,
    Received,
    Stream,
)
from baobabthread.errors import Kind, Ran
from tests.failures.matrix import (
    LATE_S,
    TIMEOUT_S,
    Fault,
    Scenario,
    Tick,
    World,
)

WALL_S = 1_000_000_000.0
RUN_S = 0.3
RESTART_S = 1.0
NOTICE_S = 2.0
STOP_S = 2.5
REPEAT_S = 13.0


class Call(msgspec.Struct, frozen=True):
    """Bring a caller's request to an entry."""

    request: ClaimRequest


class Unreachable(msgspec.Struct, frozen=True):
    """Tell a forwarder that the owner gave no answer."""

    request: ClaimRequest
    incarnation: str


class Finished(msgspec.Struct, frozen=True):
    """Tell an entry how a dispatched request ended."""

    request_id: str
    key: ClaimKey
    outcome: Outcome


class Gone(msgspec.Struct, frozen=True):
    """Tell an entry that an incarnation is dead."""

    incarnation: str


class Stop(msgspec.Struct, frozen=True):
    """Stop an entry gracefully."""

    peers: tuple[str, ...]


class Answer(msgspec.Struct, frozen=True):
    """Answer the request that was dispatched."""

    request_id: str
    outcome: Outcome


class ClaimNode:
    """Drive the claims of one incarnation."""

    streams = (Stream.CLAIMS,)

    def __init__(self, *, incarnation: str) -> None:
        self.claims = Claims(incarnation=incarnation, wall_offset_s=WALL_S)
        self.begun: dict[str, float] = {}
        self.dispatched_late: list[str] = []

    def handle(self, event: Any, now: float) -> Effects:
        effects = self._handle(event, now)
        for effect in effects:
            if isinstance(effect, Dispatch):
                waited_s = now - self.begun[effect.request_id]
                if waited_s > 4.0:
                    self.dispatched_late.append(effect.request_id)
        return effects

    def _handle(self, event: Any, now: float) -> Effects:
        match event:
            case Call(request=request):
                self.begun[request.request_id] = now
                return self.claims.begin(request, now)
            case Unreachable(request=request, incarnation=incarnation):
                return self.claims.forward_failed(request, incarnation, now)
            case Finished(request_id=request_id, key=key, outcome=outcome):
                answer = Answer(request_id, outcome)
                return [answer, *self.claims.finished(key, outcome, now)]
            case Gone(incarnation=incarnation):
                self.claims.mark_gone(incarnation)
            case Stop(peers=peers):
                return self.claims.hand_over(peers, now)
            case Received(message=HandOver() as message):
                return self.claims.on_hand_over(message, now)
            case LogRead():
                return self.claims.on_log_read(event, now)
            case AppendFailed():
                return self.claims.on_append_failed(event, now)
            case Tick():
                return self.claims.expire(now)
        return []


class ClaimScenario(Scenario):
    """Race a free key, spread a bound key, repeat all after healing."""

    duration_s = 19.0
    busy_until_s = 4.0

    def __init__(self) -> None:
        self.runs: dict[str, list[str]] = {}
        """Request ids that ran, by key."""
        self.requests: dict[str, ClaimRequest] = {}
        self.finals: dict[str, list[str]] = {}
        self.problems: dict[str, Refuse] = {}
        self.at: dict[str, str] = {}
        """The entry that each request was sent to."""
        self.forwarded: dict[str, tuple[str, str]] = {}
        """Forwarder and owner of each forwarded request."""
        self.incarnations: list[str] = []
        self.late: list[str] = []

    def start(self, world: World) -> None:
        for entry in ("e1", "e2"):
            self.begin_incarnation(world, f"{entry}.1")
        self.call(world, 1.0, "e1", "free-race", "k1~1000000000")
        self.call(world, 1.0, "e2", "free-race-other", "k1~1000000000")
        self.call(world, 1.2, "e2", "bound-elsewhere", "e1.1/b1~1000000000")
        self.call(world, 1.3, "e1", "bound-again", "e1.1/b1~1000000000")
        self.call(world, 1.6, "e1", "free-alone", "k2~1000000000")
        self.call(world, 1.7, "e1", "refused-there", "busy-k3~1000000000")
        self.call(world, 1.8, "e2", "free-again", "k2~1000000000")
        for number, key in enumerate(("k1", "e1.1/b1", "k2", "busy-k3")):
            for entry in ("e1", "e2"):
                name = f"last-{number}-{entry}"
                time_s = REPEAT_S + number / 4 + (entry == "e2") / 8
                self.call(world, time_s, entry, name, f"{key}~1000000000")

    def begin_incarnation(self, world: World, name: str) -> None:
        self.incarnations.append(name)
        world.add(name, ClaimNode(incarnation=name))

    def find(self, world: World, entry: str) -> str | None:
        alive = [name for name in world.nodes if name.startswith(f"{entry}.")]
        return alive[-1] if alive else None

    def call(
        self, world: World, time_s: float, entry: str, request_id: str, key: str
    ) -> None:
        request = ClaimRequest(
            request_id=request_id, account="account", key=key, body_hash="hash"
        )

        def arrive() -> None:
            name = self.find(world, entry)
            if name is not None:
                self.requests[request_id] = request
                self.at[request_id] = name
                world.deliver(name, Call(request))

        world.at(time_s, arrive)

    def on_effect(self, world: World, name: str, effect: Any) -> None:
        match effect:
            case Dispatch(request_id=request_id, key=key):
                self.run_request(world, name, request_id, key)
            case Forward(request_id=request_id, incarnation=incarnation):
                self.forward(world, name, request_id, incarnation)
            case Answer(request_id=request_id, outcome=outcome):
                self.end(request_id, f"answer {outcome.ran}", name)
            case Replay(request_id=request_id, outcome=outcome):
                self.end(request_id, f"answer {outcome.ran}", name)
            case Refuse(request_id=request_id, problem=problem):
                self.problems[request_id] = effect
                self.end(request_id, f"{problem.kind} ran={problem.ran}", name)
            case Join():
                pass

    def run_request(
        self, world: World, name: str, request_id: str, key: ClaimKey
    ) -> None:
        ran = Ran.YES
        if key.text.startswith("busy") and not self.runs.get(f"refused {key.text}"):
            self.runs[f"refused {key.text}"] = [request_id]
            ran = Ran.NO
        else:
            self.runs.setdefault(key.text, []).append(request_id)
        delay_s = RUN_S
        if world.fault is Fault.REPLY_LATE:
            delay_s = LATE_S
        if world.fault is Fault.REPLY_LOST:
            ran = Ran.UNKNOWN
        outcome = Outcome(ran=ran, body=b"done")
        world.deliver(name, Finished(request_id, key, outcome), delay_s)

    def forward(self, world: World, name: str, request_id: str, owner: str) -> None:
        request = self.requests[request_id]
        lost = Unreachable(request, owner)
        if owner not in world.nodes or world.is_cut_between(name, owner):
            world.deliver(name, lost, 0.01)
            return
        self.forwarded[request_id] = (name, owner)
        delay_s = LATE_S if world.fault is Fault.REORDERED else 0.01
        world.deliver(owner, Call(request), delay_s)
        if world.fault is Fault.DUPLICATED:
            world.deliver(owner, Call(request), 0.1)
        if world.fault in (Fault.REPLY_LOST, Fault.REPLY_LATE):
            world.deliver(name, lost, TIMEOUT_S)

    def end(self, request_id: str, text: str, name: str) -> None:
        """Give the caller its answer; a forwarder passes on one answer only."""
        finals = self.finals.setdefault(request_id, [])
        passed_on = request_id in self.forwarded
        if not finals or not passed_on:
            finals.append(f"{text} by {name}")

    def on_crash(self, world: World, name: str) -> None:
        entry, _, number = name.partition(".")
        following = next_incarnation(entry, int(number))
        world.at(
            world.now + RESTART_S, lambda: self.begin_incarnation(world, following)
        )
        for other in list(world.nodes):
            world.deliver(other, Gone(name), NOTICE_S)
        for request_id, (forwarder, owner) in self.forwarded.items():
            if owner == name and request_id not in self.finals:
                lost = Unreachable(self.requests[request_id], owner)
                world.deliver(forwarder, lost, 0.01)

    def on_race(self, world: World, name: str) -> None:
        for entry in ("e1", "e2"):
            for key in ("k1", "k2", "e1.1/b1"):
                request_id = f"race-{len(self.requests)}-{entry}-{key}"
                self.call(world, world.now, entry, request_id, f"{key}~1000000000")

    def check(self, world: World) -> list[str]:
        found = []
        for key, ids in self.runs.items():
            if len(ids) > 1:
                found.append(f"{key} ran {len(ids)} times: {ids}")
        for node in world.nodes.values():
            if isinstance(node, ClaimNode):
                found += [f"{id_} dispatched late" for id_ in node.dispatched_late]
        for request_id in self.requests:
            found += self.check_request(world, request_id)
        return found

    def check_request(self, world: World, request_id: str) -> list[str]:
        found = []
        finals = self.finals.get(request_id, [])
        request = self.requests[request_id]
        ran = request_id in self.runs.get(request.key, [])
        if len(finals) > 1:
            found.append(f"{request_id} answered twice: {finals}")
        entry_lives = self.at[request_id] in world.nodes
        healed = world.is_healed_at(REPEAT_S)
        lives = entry_lives and not self.has_crash(request_id, world)
        if healed and not finals and lives:
            found.append(f"{request_id} got no answer")
        refused = self.problems.get(request_id)
        if refused is None or refused.problem.ran is not Ran.NO:
            return found
        if ran:
            found.append(f"{request_id} was refused as not run and ran")
        if refused.problem.kind is Kind.OWNER_GONE and request.key in self.runs:
            found.append(f"{request_id}: its key was said to be never run, and ran")
        repeated = request_id.startswith("last") and healed
        if repeated and refused.problem.kind is not Kind.OWNER_GONE:
            found.append(f"{request_id} refused after healing: {refused.problem.kind}")
        return found

    def has_crash(self, request_id: str, world: World) -> bool:
        _, owner = self.forwarded.get(request_id, ("", ""))
        return bool(owner) and owner not in world.nodes


class StopScenario(ClaimScenario):
    """Stop e1 gracefully after it ran bound keys; the peer answers for it."""

    duration_s = 16.0

    def start(self, world: World) -> None:
        for entry in ("e1", "e2"):
            self.begin_incarnation(world, f"{entry}.1")
        for number in range(3):
            key = f"e1.1/b{number}~1000000000"
            self.call(world, 1.0, "e1", f"bound-{number}", key)
        self.call(world, STOP_S - 0.01, "e1", "free", "k1~1000000000")
        world.at(STOP_S, lambda: world.deliver("e1.1", Stop(("e2.1",))))
        for number in range(4):
            key = f"e1.1/b{number}~1000000000"
            self.call(world, 2.8, "e2", f"after-{number}", key)
            self.call(world, 2.9, "e1", f"closed-{number}", key)
        world.at(4.0, lambda: world.crash("e1.1"))
        for number in range(4):
            key = f"e1.1/b{number}~1000000000"
            self.call(world, REPEAT_S, "e2", f"last-{number}", key)


def next_incarnation(entry: str, number: int) -> str:
    """Name the incarnation that follows; a restart never reuses a name."""
    return f"{entry}.{number + 1}"
