"""Show that two conductors never order the same engine at the same time.

Callers would see versions loaded and unloaded against each other. Three entries want
to conduct one service; the holder of the lease gives orders to an engine that checks
fencing numbers and to one that does not. At each effect the holder dies, sleeps past
its lease, or loses the log or a reply. A holder orders nothing past its own deadline,
counted from before its append; a successor waits longer than that after its read.
"""

from __future__ import annotations

import math
import random
from typing import Any

import msgspec
import pytest

from baobabthread.core.messages import (
    AppendFailed,
    Effects,
    LogRead,
    LogRecord,
    Stream,
)
from baobabthread.core.rollouts.leasefold import LeaseClaim, LeaseFold, LeaseRenewal
from baobabthread.core.rollouts.leases import Lease, LeaseSettings
from baobabthread.core.rollouts.orders import OrderEngine, Orders
from tests.core.test_orders import ORDER_EXAMPLES
from tests.core.test_orders import (
    test_orders_converge_and_never_starve_a_version as run_order_histories,
)
from tests.failures.matrix import Fault, Scenario, Tick, World, run_matrix
from tests.failures.mutants import Promise, ProofResult, mutant, proof

SETTINGS = LeaseSettings(
    lease_s=3.0,
    renew_s=1.0,
    longest_order_s=1.0,
    margin_s=1.0,
    retry_s=0.5,
    spread_s=0.5,
)
ORDER_S = 0.5
ORDER_TIMEOUT_S = 1.0
ORDER_EVERY_S = 1.5
RESTART_S = 2.0
PAIRS = 600


class Release(msgspec.Struct, frozen=True):
    """Stop a holder gracefully."""


class LeaseNode:
    """Conduct when the lease allows it."""

    streams = (Stream.ROLLOUTS,)

    def __init__(self, *, name: str) -> None:
        # All draw the same numbers, so that candidates claim at the same moment.
        source = random.Random(1)
        self.lease = Lease(
            holder=name, service="content", settings=SETTINGS, random_source=source
        )
        self.ordered_at = 0.0

    def handle(self, event: Any, now: float) -> Effects:
        match event:
            case LogRead():
                return self.lease.on_log_read(event, now)
            case AppendFailed():
                return self.lease.on_append_failed(event, now)
            case Release():
                return self.lease.release(now)
            case Tick():
                return self.lease.tick(now) + self.give_order(now)
        return []

    def give_order(self, now: float) -> Effects:
        due = now >= self.ordered_at + ORDER_EVERY_S
        if not due or not self.lease.may_order(now, ORDER_TIMEOUT_S):
            return []
        self.ordered_at = now
        return [
            OrderEngine(
                backend=backend,
                fence=self.lease.fence,
                generation=1,
                desired=["small"],
                timeout_s=ORDER_TIMEOUT_S,
            )
            for backend in ("checking", "trusting")
        ]


class Engine:
    """Take orders; refuse an older fencing number if it checks."""

    def __init__(self, *, checks: bool) -> None:
        self.checks = checks
        self.fence = 0
        self.orders: list[tuple[float, float, int]] = []
        """Start, end and fencing number of each order that it obeyed."""

    def take(self, fence: int, now: float, for_s: float) -> None:
        if self.checks and fence < self.fence:
            return
        self.fence = max(self.fence, fence)
        self.orders.append((now, now + for_s, fence))


class LeaseScenario(Scenario):
    """Let three entries want the same lease for a while."""

    duration_s = 26.0
    busy_until_s = 8.0

    def __init__(self) -> None:
        self.engines = {
            "checking": Engine(checks=True),
            "trusting": Engine(checks=False),
        }

    def start(self, world: World) -> None:
        for entry in ("e1", "e2", "e3"):
            self.begin_incarnation(world, f"{entry}.1")

    def begin_incarnation(self, world: World, name: str) -> None:
        world.add(name, LeaseNode(name=name))

    def on_effect(self, world: World, name: str, effect: Any) -> None:
        node = world.nodes.get(name)
        if not isinstance(effect, OrderEngine) or not isinstance(node, LeaseNode):
            return
        if not checks_before_send(node, effect, world.now):
            return
        delay_s = 0.01
        for_s = ORDER_S
        if world.fault is Fault.REORDERED:
            delay_s = SETTINGS.margin_s * 0.9
        if world.fault is Fault.REPLY_LATE:
            for_s = ORDER_TIMEOUT_S
        engine = self.engines[effect.backend]
        copies = 2 if world.fault is Fault.DUPLICATED else 1
        for copy in range(copies):
            at_s = world.now + delay_s + copy * ORDER_S
            world.at(at_s, lambda: engine.take(effect.fence, world.now, for_s))

    def on_crash(self, world: World, name: str) -> None:
        entry, _, number = name.partition(".")
        following = f"{entry}.{int(number) + 1}"
        world.at(
            world.now + RESTART_S, lambda: self.begin_incarnation(world, following)
        )

    def on_race(self, world: World, name: str) -> None:
        """Stop the holder, so that the others race for its lease."""
        for other in list(world.nodes):
            world.deliver(other, Release())
            break

    def check(self, world: World) -> list[str]:
        found = []
        for name, engine in self.engines.items():
            found += find_overlaps(name, engine)
        if world.is_healed_at(15.0):
            last = max((end for _, end, _ in engine.orders), default=0.0)
            if last < self.duration_s - 2 * ORDER_EVERY_S - 1.0:
                found.append(f"nobody conducts after {last}")
        holders = [
            name
            for name, node in world.nodes.items()
            if isinstance(node, LeaseNode) and node.lease.is_held(world.now)
        ]
        if len(holders) > 1:
            found.append(f"held by {holders}")
        return found


class ReleaseScenario(LeaseScenario):
    """Stop the holder gracefully while it has the lease."""

    def start(self, world: World) -> None:
        super().start(world)
        world.at(3.0, lambda: self.release_holder(world))

    def release_holder(self, world: World) -> None:
        for name, node in world.nodes.items():
            if isinstance(node, LeaseNode) and node.lease.is_held(world.now):
                world.deliver(name, Release())


def checks_before_send(node: LeaseNode, order: OrderEngine, now: float) -> bool:
    """Ask the lease again right before an order is written to its socket."""
    return node.lease.may_order(now, order.timeout_s)


def find_overlaps(name: str, engine: Engine) -> list[str]:
    """Return orders of an older number that ran beside or after a newer one's."""
    found = []
    newest: tuple[float, float, int] = (0.0, 0.0, 0)
    for order in sorted(engine.orders):
        start, _, fence = order
        if fence < newest[2]:
            found.append(
                f"{name}: order of {fence} at {start} after one of {newest[2]}"
            )
        if fence > newest[2] and start < newest[1]:
            found.append(
                f"{name}: orders of {newest[2]} and {fence} overlap at {start}"
            )
        if fence > newest[2] or order[1] > newest[1]:
            newest = order
    return found


def check_leases() -> list[str]:
    return run_matrix(LeaseScenario, pairs=0, stop_early=True).violations


def check_release() -> list[str]:
    return run_matrix(ReleaseScenario, pairs=0, stop_early=True).violations


@proof("leases", Promise.ORDERS)
def prove_leases() -> ProofResult:
    result = run_matrix(LeaseScenario, pairs=PAIRS)
    return ProofResult(cells=result.cells, violations=result.violations)


@proof("leases given up", Promise.ORDERS)
def prove_release() -> ProofResult:
    result = run_matrix(ReleaseScenario, pairs=0)
    return ProofResult(cells=result.cells, violations=result.violations)


def test_no_fault_keeps_one_conductor() -> None:
    scenario = LeaseScenario()
    world = World(scenario=scenario)
    assert world.run() == []
    fences = {fence for _, _, fence in scenario.engines["trusting"].orders}
    assert len(fences) == 1
    assert len(scenario.engines["trusting"].orders) > 10


def test_orders_never_overlap_under_every_fault() -> None:
    assert prove_leases().violations == []


def test_a_released_lease_is_safe_under_every_fault() -> None:
    assert prove_release().violations == []


@mutant("leases: any claim is valid", promise=Promise.ORDERS, check=check_leases)
def accept_any_claim(patch: pytest.MonkeyPatch) -> None:
    claim = LeaseFold._claim

    def accept(self: LeaseFold, record: LogRecord, body: LeaseClaim) -> bool:
        after = msgspec.structs.replace(body, after=self.last_offset)
        return claim(self, record, after)

    patch.setattr(LeaseFold, "_claim", accept)


@mutant("leases: any renewal is valid", promise=Promise.ORDERS, check=check_leases)
def accept_any_renewal(patch: pytest.MonkeyPatch) -> None:
    def accept(self: LeaseFold, record: LogRecord, body: LeaseRenewal) -> bool:
        self.fence = body.fence
        self.holder = body.holder
        self._note(record)
        return True

    patch.setattr(LeaseFold, "_renew", accept)


@mutant("leases: the deadline is ignored", promise=Promise.ORDERS, check=check_leases)
def ignore_deadline(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Lease, "may_order", lambda self, now, timeout_s: self._is_mine())


@mutant(
    "leases: the lease counts from the read",
    promise=Promise.ORDERS,
    check=check_leases,
)
def count_from_read(patch: pytest.MonkeyPatch) -> None:
    on_log_read = Lease.on_log_read

    def read(self: Lease, event: LogRead, now: float) -> Effects:
        if event.records:
            self._asked_at = now
        return on_log_read(self, event, now)

    patch.setattr(Lease, "on_log_read", read)


@mutant(
    "leases: the successor does not wait", promise=Promise.ORDERS, check=check_leases
)
def claim_at_once(patch: pytest.MonkeyPatch) -> None:
    def set_claim_time(self: Lease, now: float) -> None:
        self._claim_after = now

    patch.setattr(Lease, "_set_claim_time", set_claim_time)


@mutant("leases: no check before the send", promise=Promise.ORDERS, check=check_leases)
def send_unchecked(patch: pytest.MonkeyPatch) -> None:
    patch.setitem(globals(), "checks_before_send", lambda node, order, now: True)


@mutant(
    "leases: a holder orders after its release",
    promise=Promise.ORDERS,
    check=check_release,
)
def order_after_release(patch: pytest.MonkeyPatch) -> None:
    release = Lease.release

    def keep_deadline(self: Lease, now: float) -> Effects:
        deadline = self._deadline
        effects = release(self, now)
        self._deadline = deadline
        return effects

    patch.setattr(Lease, "release", keep_deadline)


def check_orders() -> list[str]:
    try:
        run_order_histories()
    except AssertionError as error:
        return [str(error)]
    return []


@proof("histories of orders", Promise.ORDERS)
def prove_orders() -> ProofResult:
    return ProofResult(histories=ORDER_EXAMPLES, violations=check_orders())


@mutant("orders: unload at once", promise=Promise.ORDERS, check=check_orders)
def unload_at_once(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Orders, "_may_unload", lambda self, engine, version, capacity: True)


@mutant("orders: load all at once", promise=Promise.ORDERS, check=check_orders)
def load_at_once(patch: pytest.MonkeyPatch) -> None:
    def choose(self: Orders, engine: Any, wanted: list[str], others: int) -> Any:
        return frozenset(wanted) - engine.loaded

    patch.setattr(Orders, "_choose_added", choose)


@mutant("orders: nothing is repeated", promise=Promise.ORDERS, check=check_orders)
def never_repeat(patch: pytest.MonkeyPatch) -> None:
    plan = Orders.plan

    def plan_once(self: Orders, lease: Lease, now: float) -> list[OrderEngine]:
        orders = plan(self, lease, now)
        for engine in self._engines.values():
            engine.ordered_at = math.inf if engine.ordered else engine.ordered_at
        return orders

    patch.setattr(Orders, "plan", plan_once)
