"""Three entries that bill requests, for the matrix of faults."""

from __future__ import annotations

from typing import Any

import msgspec

from baobabthread.core.billing.bills import BillFold
from baobabthread.core.billing.ledger import Ledger
from baobabthread.core.billing.types import (
    BilledAttempt,
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
    Appended,
    AppendFailed,
    Effects,
    LogRecord,
    Received,
    SendFailed,
    Stream,
)
from tests.failures.matrix import FAULT_S, Fault, Scenario, Tick, World

WALL_S = 1_000_000_000.0
ESTIMATE = 5.0
COST = 3.0
RUN_S = 0.3
NOTICE_S = 1.5
STOP_S = 2.0
OUTAGE_S = 9.0
SETTINGS = LedgerSettings(settle_after_s=3.0, append_timeout_s=4.0)
DOMAINS = {"e1": "north", "e2": "north", "e3": "south"}


class Open(msgspec.Struct, frozen=True):
    """Bring an admitted request to an entry's ledger."""

    request: BillRequest


class Close(msgspec.Struct, frozen=True):
    """Tell an entry's ledger that a request was answered."""

    request_id: str


class Peers(msgspec.Struct, frozen=True):
    """Tell an entry which others live."""

    peers: tuple[Peer, ...]


class Stop(msgspec.Struct, frozen=True):
    """Stop an entry gracefully."""


class LedgerNode:
    """Drive the ledger of one incarnation."""

    streams = ()

    def __init__(self, *, name: str) -> None:
        domain = DOMAINS[name.partition(".")[0]]
        self.ledger = Ledger(
            incarnation=name,
            failure_domain=domain,
            settings=SETTINGS,
            wall_offset_s=WALL_S,
        )

    def handle(self, event: Any, now: float) -> Effects:
        ledger = self.ledger
        match event:
            case Open(request=request):
                if ledger.may_admit(now) is None:
                    return ledger.open(request, now)
            case Close(request_id=request_id):
                return ledger.close(request_id, make_settlement(), now)
            case Peers(peers=peers):
                return ledger.set_peers(peers, now)
            case Stop():
                return ledger.hand_over(now)
            case Received(sender=sender, message=message):
                return ledger.on_message(sender, message, now)
            case SendFailed():
                return ledger.on_send_failed(event, now)
            case Appended():
                return ledger.on_appended(event, now)
            case AppendFailed():
                return ledger.on_append_failed(event, now)
            case Tick():
                return ledger.tick(now)
        return []


def make_settlement() -> Settlement:
    attempts = [
        BilledAttempt(version="small", tokens=10, cost=1.0),
        BilledAttempt(version="large", tokens=10, cost=2.0),
    ]
    return Settlement(
        outcome=BillOutcome.ANSWERED, cost=COST, tokens=20, attempts=attempts
    )


class LedgerScenario(Scenario):
    """Bill a few requests at two of three entries, one of them repeated."""

    duration_s = 24.0
    busy_until_s = 4.0

    def __init__(self) -> None:
        self.requests: dict[str, BillRequest] = {}
        self.at: dict[str, str] = {}
        self.ran: set[str] = set()
        self.refused: set[str] = set()
        self.degraded: set[str] = set()
        self.crashed: list[str] = []
        self.away: set[str] = set()
        self.was_away = False
        """A fault made the membership drop an entry that lived."""

    def start(self, world: World) -> None:
        for entry in DOMAINS:
            self.begin_incarnation(world, f"{entry}.1")
        self.call(world, 1.0, "e1", "one")
        self.call(world, 1.0, "e1", "two")
        self.call(world, 1.005, "e1", "three")
        self.call(world, 1.3, "e2", "four")
        self.call(world, 1.4, "e1", "repeated", key="key")
        self.call(world, 1.8, "e2", "repeated-elsewhere", key="key")

    def begin_incarnation(self, world: World, name: str) -> None:
        world.add(name, LedgerNode(name=name))
        self.tell_peers(world)

    def tell_peers(self, world: World) -> None:
        """Tell each entry what the membership says: who lives besides itself."""
        for name in world.nodes:
            peers = tuple(
                Peer(name=other, failure_domain=DOMAINS[other.partition(".")[0]])
                for other in world.nodes
                if other not in (name, *self.away) and name not in self.away
            )
            world.deliver(name, Peers(peers))

    def call(
        self, world: World, time_s: float, entry: str, request_id: str, key: str = ""
    ) -> None:
        request = BillRequest(
            request_id=request_id,
            account="account",
            service="content",
            key=key,
            estimate=ESTIMATE,
        )

        def arrive() -> None:
            names = [name for name in world.nodes if name.startswith(f"{entry}.")]
            if names:
                self.requests[request_id] = request
                self.at[request_id] = names[-1]
                world.deliver(names[-1], Open(request))

        world.at(time_s, arrive)

    def on_effect(self, world: World, name: str, effect: Any) -> None:
        match effect:
            case BillOpened(request_id=request_id, degraded=degraded):
                self.ran.add(request_id)
                if degraded:
                    self.degraded.add(request_id)
                world.deliver(name, Close(request_id), RUN_S)
            case BillRefused(request_id=request_id):
                self.refused.add(request_id)

    def on_crash(self, world: World, name: str) -> None:
        self.crashed.append(name)
        entry, _, number = name.partition(".")
        following = f"{entry}.{int(number) + 1}"
        world.at(world.now + NOTICE_S, lambda: self.begin_incarnation(world, following))

    def on_strike(self, world: World, name: str, fault: Fault) -> None:
        if fault not in (Fault.PAUSED, Fault.CUT_PEERS, Fault.CUT_BOTH):
            return

        def leave() -> None:
            self.away.add(name)
            self.was_away = True
            self.tell_peers(world)

        def come_back() -> None:
            self.away.discard(name)
            self.tell_peers(world)

        world.at(world.now + NOTICE_S, leave)
        world.at(world.now + FAULT_S, come_back)

    def on_race(self, world: World, name: str) -> None:
        request_id = f"race-{len(self.requests)}"
        self.call(world, world.now, "e3", request_id, key="key")

    def check(self, world: World) -> list[str]:
        fold = fold_bills(world)
        found = self.check_bills(fold)
        for request_id, name in self.at.items():
            decided = request_id in self.ran or request_id in self.refused
            if name in world.nodes and not decided and world.is_healed_at(20.0):
                found.append(f"{request_id} was neither run nor refused")
            if request_id in self.ran and request_id in self.refused:
                found.append(f"{request_id} was refused and ran")
        if world.is_healed_at(15.0):
            found += self.check_memory(world)
        return found

    def check_bills(self, fold: CountingFold) -> list[str]:
        wanted = {self.name(request_id) for request_id in self.ran}
        opened = {self.name(request_id) for request_id in self.requests}
        found = [f"{id_} billed {n} times" for id_, n in fold.billed.items() if n != 1]
        found += [f"{id_} billed, never opened" for id_ in set(fold.billed) - opened]
        for request_id in self.ran:
            if self.name(request_id) not in fold.billed and self.is_covered(request_id):
                found.append(f"{request_id} ran and was not billed")
        extra = set(fold.billed) - wanted
        if extra and not self.crashed:
            found.append(f"billed without a run: {sorted(extra)}")
        for id_, cost in fold.costs.items():
            allowed = (COST, ESTIMATE) if self.crashed or self.was_away else (COST,)
            if cost not in allowed:
                found.append(f"{id_} billed {cost}")
        return found

    def check_memory(self, world: World) -> list[str]:
        found = []
        for name, node in world.nodes.items():
            if isinstance(node, LedgerNode):
                counts = node.ledger.describe()
                if counts["unsettled"] or counts["copies"]:
                    found.append(f"{name} still holds {counts}")
        return found

    def is_covered(self, request_id: str) -> bool:
        """Tell whether the promise covers the faults that struck this request."""
        owner_died = self.at[request_id] in self.crashed
        alone = request_id in self.degraded
        return not owner_died or (len(self.crashed) == 1 and not alone)

    def name(self, request_id: str) -> str:
        request = self.requests[request_id]
        return name_bill(
            account=request.account, key=request.key, request_id=request.request_id
        )


class OutageScenario(LedgerScenario):
    """Bill while the log is down, so that bills wait in memory."""

    def start(self, world: World) -> None:
        super().start(world)
        world.strike("e1.1", Fault.LOG_DOWN, for_s=OUTAGE_S)


class StopScenario(LedgerScenario):
    """Stop e1 while its closed bills wait for the log, then end the process."""

    def start(self, world: World) -> None:
        super().start(world)
        world.at(STOP_S, lambda: world.deliver("e1.1", Stop()))
        world.at(STOP_S, lambda: self.end_when_settled(world))

    def end_when_settled(self, world: World) -> None:
        node = world.nodes.get("e1.1")
        if isinstance(node, LedgerNode) and node.ledger.is_settled:
            del world.nodes["e1.1"]
            self.tell_peers(world)
        elif world.now < STOP_S + FAULT_S:
            world.at(world.now + 0.1, lambda: self.end_when_settled(world))


class StopInOutageScenario(StopScenario):
    """Stop e1 while the log is down: its bills go to a peer that keeps them."""

    def start(self, world: World) -> None:
        super().start(world)
        world.strike("e1.1", Fault.LOG_DOWN, for_s=OUTAGE_S)


class CountingFold:
    """Fold the stream and note what each bill cost."""

    def __init__(self) -> None:
        self.fold = BillFold()
        self.billed: dict[str, int] = {}
        self.costs: dict[str, float] = {}

    def apply(self, record: LogRecord) -> None:
        if self.fold.apply(record):
            bill = msgspec.json.decode(record.body, type=BillRecord)
            self.billed[bill.bill_id] = self.billed.get(bill.bill_id, 0) + 1
            self.costs[bill.bill_id] = bill.cost


def fold_bills(world: World) -> CountingFold:
    fold = CountingFold()
    for record in world.log[Stream.BILLS]:
        fold.apply(record)
    return fold
