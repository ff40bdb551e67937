"""Sessions keep their version while one roll-out follows another, in virtual time."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import msgspec
import pytest
from bench._rollout_members import make_flight
from bench._virtual import run_virtually

from baobabthread.instance.clock import now
from baobabthread.instance.context import RequestContext
from baobabthread.instance.selection import Selection
from baobabthread.instance.sessions import SessionCoordinator
from baobabthread.instance.sessionuse import SessionUse
from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.configuration import RolloutOrder, RolloutState, RolloutStatus
from baobabthread.routing.versions import VersionPlan

BOUNDS = RoutingBounds(exposure_share=0.15, session_s=5.0)
LIMIT_S = 14.0
MAX_CHANGES = 3
"""Requests that may run on another version than the one before in their session."""
SESSIONS = 120
PER_S = 60.0
LONG_S = 8.0
"""Length of one request in twenty, which outlasts a session's idle time."""
ONE_WAY_S = 0.002
HEAR_S = 0.25
"""Longest time after which an instance learns of an order or its end."""


class Member:
    """One instance's choice of versions."""

    def __init__(self, *, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.running = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self.plan = VersionPlan(service="s", bounds=BOUNDS)
        self.plan.update_versions(world.listed)
        self.sessions = SessionCoordinator(
            me=name, send=self.send, find_plan=lambda service: self.plan
        )
        nothing: Any = None
        backends: Any = self
        self.selection = Selection(
            replica=nothing,
            backends=backends,
            estimates=nothing,
            placement=nothing,
            limits=nothing,
            places=nothing,
            assignments=nothing,
            disabled=frozenset(),
        )

    def versions(self, service: str) -> dict[str, int]:
        """Return the listed servers by version."""
        return self.world.listed

    def send(self, to: str, message: msgspec.Struct) -> None:
        """Send a datagram."""
        self.world.deliver(self.name, to, message)

    def apply(self, order: RolloutOrder, *, is_initial: bool = False) -> None:
        """Read an order from the store."""
        self.plan.apply_order(order, now(), served_before_order=not is_initial)
        self.plan.update_target(usable=True, now=now())
        self.sessions.report_in_use(self.plan)

    def tick(self) -> None:
        """Renew the permit and resend reports."""
        self.plan.permit(requested_at=now())
        self.sessions.tick()

    async def serve(self, session: str, lasts_s: float) -> None:
        """Run one request of a session."""
        context = make_flight(session)
        context.decided_under = self.plan.analysis
        if self.plan.needs_owner_decision(session, now()):
            context.session_on_new_version = await self.sessions.decide(
                self.plan, session
            )
        version = self.selection.choose_version(context, self.plan)
        use = SessionUse(context=context, plan=self.plan, sessions=self.sessions)
        self.running += 1
        self.idle.clear()
        self.world.record(session, version or self.world.in_force, lasts_s)
        await asyncio.sleep(lasts_s)
        use.end()
        self.running -= 1
        if not self.running:
            self.idle.set()
        context.release_exposure()

    async def wait_idle(self) -> None:
        """Wait until no request runs."""
        await self.idle.wait()


class World:
    """Instances, callers and orders."""

    def __init__(self, *, members: int, seed: int, long_share: float = 0.05) -> None:
        self.rng = random.Random(seed)
        self.long_share = long_share
        self.listed = {"v1": 4}
        self.in_force = "v1"
        self.order: RolloutOrder | None = None
        self.members: dict[str, Member] = {}
        self.last: dict[str, tuple[str, float]] = {}
        """Version of each session's last request, and the time of its end."""
        self.changes: list[tuple[str, str, str]] = []
        for number in range(members):
            self.add_member(f"i{number}")

    def add_member(self, name: str) -> None:
        """Start an instance."""
        self.members[name] = member = Member(world=self, name=name)
        if self.order is not None:
            member.apply(self.order, is_initial=True)
            if self.in_force == self.order.target:
                member.plan.apply_status(self._make_status(RolloutState.SUCCEEDED), 0.0)
        for other in self.members.values():
            other.sessions.set_members(list(self.members))

    async def restart_members(self) -> None:
        """Stop each instance as planned and start it again, one after the other."""
        for name in list(self.members):
            stopped = self.members.pop(name)
            await stopped.wait_idle()
            stopped.sessions.hand_over([stopped.plan])
            await asyncio.sleep(ONE_WAY_S)
            self.add_member(name)

    def deliver(self, sender: str, to: str, message: msgspec.Struct) -> None:
        """Carry a datagram; one in fifty is lost."""
        if self.rng.random() < 0.98 and to in self.members:
            loop = asyncio.get_running_loop()
            handle = self.members[to].sessions.handle
            loop.call_later(ONE_WAY_S, handle, sender, message)

    def record(self, session: str, version: str, lasts_s: float) -> None:
        """Count a request that changes the version of a session in use."""
        before, ended_at = self.last.get(session, ("", -1e9))
        if before not in ("", version) and now() - ended_at < BOUNDS.session_s:
            self._judge(session, before, version)
        self.last[session] = (version, max(ended_at, now() + lasts_s))

    def _judge(self, session: str, before: str, version: str) -> None:
        order = self.order
        assert order is not None
        elapsed_s = min(m.plan.elapsed(now()) for m in self.members.values())
        moved_early = version == order.target and elapsed_s < LIMIT_S / 2
        went_back = before == order.target and before in self.listed
        if moved_early or went_back:
            self.changes.append((session, before, version))

    def _make_status(self, state: RolloutState) -> RolloutStatus:
        assert self.order is not None
        return RolloutStatus(
            service="s",
            target=self.order.target,
            state=state,
            offset=self.order.offset,
        )

    async def roll_out(self, target: str, state: RolloutState) -> None:
        """Order a version, and end its roll-out."""
        offset = self.order.offset + 1 if self.order is not None else 1
        self.listed = {**self.listed, target: 4}
        self.order = order = RolloutOrder(
            offset=offset, service="s", target=target, time_limit_s=LIMIT_S
        )
        await self._tell(lambda member: member.apply(order))
        if state is RolloutState.SUCCEEDED:
            await asyncio.sleep(LIMIT_S - 2.0)
            await self._tell(lambda member: member.plan.begin_final_phase(now()))
            await asyncio.sleep(1.5)
        else:
            await asyncio.sleep(LIMIT_S / 2)
        gone = self.in_force if state is RolloutState.SUCCEEDED else target
        self.in_force = target if gone != target else self.in_force
        status = self._make_status(state)
        self.listed = {v: count for v, count in self.listed.items() if v != gone}
        await self._tell(lambda member: member.plan.apply_status(status, now()))

    async def _tell(self, action: Any) -> None:
        loop = asyncio.get_running_loop()
        for member in self.members.values():
            loop.call_later(HEAR_S * self.rng.random(), action, member)
        await asyncio.sleep(HEAR_S)

    async def call(self) -> None:
        """Send requests of sessions to any instances."""
        while True:
            await asyncio.sleep(self.rng.expovariate(PER_S))
            member = self.rng.choice(list(self.members.values()))
            is_long = self.rng.random() < self.long_share
            lasts_s = LONG_S if is_long else self.rng.uniform(0.05, 0.3)
            session = f"s{self.rng.randrange(SESSIONS)}"
            task = asyncio.ensure_future(member.serve(session, lasts_s))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def tick(self) -> None:
        """Let time pass at all instances."""
        while True:
            for member in self.members.values():
                member.tick()
            await asyncio.sleep(0.05)

    async def play(
        self,
        series: list[tuple[str, RolloutState]],
        gap_s: float,
        *,
        restarts: bool = False,
    ) -> None:
        """Play roll-outs that follow each other, with instances added between."""
        self.tasks: set[asyncio.Task[None]] = set()
        background = [asyncio.ensure_future(work()) for work in (self.call, self.tick)]
        await asyncio.sleep(8.0)
        for target, state in series:
            await self.roll_out(target, state)
            await asyncio.sleep(gap_s)
            if restarts:
                await self.restart_members()
            else:
                self.add_member(f"added-{target}")
        for task in [*background, *self.tasks]:
            task.cancel()


GOOD, BAD = RolloutState.SUCCEEDED, RolloutState.REVERTED


@pytest.mark.parametrize("gap_s", [0.2, 1.0, 6.0, 30.0])
@pytest.mark.parametrize(
    "states", [(GOOD, GOOD), (GOOD, GOOD, GOOD), (GOOD, BAD, GOOD)]
)
@pytest.mark.parametrize("members", [1, 6, 59])
def test_keep_sessions_through_a_series_of_roll_outs(
    members: int, states: tuple[RolloutState, ...], gap_s: float
) -> None:
    """The next roll-out moved sessions that the last one had brought along."""
    series = [(f"v{number}", state) for number, state in enumerate(states, 2)]
    world = World(members=members, seed=members)
    run_virtually(world.play(series, gap_s))
    assert len(world.changes) <= MAX_CHANGES, world.changes


@pytest.mark.parametrize("members", [2, 6, 59])
def test_keep_sessions_while_all_instances_are_restarted_between(members: int) -> None:
    """An instance that stopped took along which sessions were in use."""
    world = World(members=members, seed=members, long_share=0.0)
    series = [("v2", GOOD), ("v3", GOOD), ("v4", GOOD)]
    run_virtually(world.play(series, 0.2, restarts=True))
    assert len(world.changes) <= MAX_CHANGES, world.changes


def test_take_no_decision_of_an_order_that_was_replaced() -> None:
    """A stream of the version in force broke off and went on at the next canary."""

    async def case() -> None:
        world = World(members=1, seed=1)
        member = world.members["i0"]
        context: RequestContext = make_flight("s1")
        world.listed = {"v1": 4, "v2": 4}
        order = RolloutOrder(offset=1, service="s", target="v2", time_limit_s=LIMIT_S)
        member.apply(order)
        member.tick()
        context.decided_under = member.plan.analysis
        context.session_on_new_version = True
        assert member.selection.choose_version(context, member.plan) == "v2"
        context.record_sent()
        world.order = order
        member.plan.apply_status(world._make_status(GOOD), now())
        world.listed = {"v2": 4, "v3": 4}
        member.apply(
            RolloutOrder(offset=2, service="s", target="v3", time_limit_s=LIMIT_S)
        )
        member.tick()
        assert member.selection.choose_version(context, member.plan) == "v2"

    run_virtually(case())
