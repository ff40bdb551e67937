"""One roll-out among many instances in virtual time, seen by callers and servers."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Hashable, Iterator

import msgspec

from baobabthread.core.membership.messages import GossipPayload
from baobabthread.instance.clock import now
from baobabthread.routing.configuration import RolloutOrder, RolloutState
from bench._fleet_store import Formats, MemoryStore
from bench._rollout_days import (
    NEW,
    OLD,
    ORDER_AT_S,
    Account,
    Cut,
    Day,
    Kill,
    Sent,
    Watcher,
)
from bench._rollout_members import SERVICE, Member
from bench._virtual import run_virtually

ONE_WAY_S = 0.0005
DETECT_S = 1.5
"""Time after which members drop one that is silent."""
RETURN_S = 0.5
"""Time after which they take it up again."""
LOOK_S = 0.25
"""Time between two looks at who serves, while troubles begin or end."""
LARGER_MODEL = 0.35
"""Part of the requests that are asked again of a larger model."""
USUAL_S = 0.15
MOST_S = 3.0
"""Usual and longest time of an answer."""


class World:
    """Carry messages and requests, and judge what is seen from outside."""

    def __init__(self, day: Day) -> None:
        self.day = day
        self.rng = random.Random(day.seed)
        self.store = MemoryStore()
        self.watcher = Watcher(day=day)
        self.has_order = asyncio.Event()
        self.order = RolloutOrder(
            offset=1,
            service=SERVICE,
            target=NEW,
            time_limit_s=day.limit_s,
        )
        self.members = [Member(world=self, number=n) for n in range(day.members)]
        self._by_name = {member.name: member for member in self.members}
        self._payloads: dict[str, dict[str, tuple[float, GossipPayload]]] = {}
        self._cuts_of: dict[int, list[Cut]] = {}
        """Cuts from peers, by member."""
        for cut in day.cuts:
            for member in cut.members if cut.from_peers else ():
                self._cuts_of.setdefault(member, []).append(cut)
        self._weights = [1.0 / (1 + n) ** 0.3 for n in range(day.sessions)]
        self._began = 0.0
        self._serving: set[asyncio.Task[None]] = set()

    @property
    def account(self) -> Account:
        """Give what was seen so far."""
        return self.watcher.account

    @property
    def elapsed_s(self) -> float:
        """Give the time since the traffic began."""
        return now() - self._began

    # -- what members reach --

    def reaches_store(self, number: int) -> bool:
        """Tell whether a member reaches the store."""
        if self._wakes_after_s(number) > 0.0:
            return False
        return self.day.reaches_store(number, self.elapsed_s)

    def _find_group(self, number: int, at_s: float) -> Hashable:
        """Return what is the same for members that reach each other."""
        return tuple(
            (cut.at_s, cut.members, number if cut.apart else -1)
            for cut in self._cuts_of.get(number, ())
            if cut.hits(number, at_s)
        )

    def _reaches(self, one: int, other: int, at_s: float) -> bool:
        return self._find_group(one, at_s) == self._find_group(other, at_s)

    def _wakes_after_s(self, number: int) -> float:
        """Return how much longer a member stands still."""
        now_s = self.elapsed_s
        return max(
            (
                f.at_s + f.for_s - now_s
                for f in self.day.freezes
                if f.hits(number, now_s)
            ),
            default=0.0,
        )

    async def wait_store(self, number: int) -> None:
        """Wait until a member reaches the store."""
        for cut in sorted(self.day.cuts, key=lambda cut: cut.at_s):
            if cut.from_store and cut.hits(number, self.elapsed_s):
                await asyncio.sleep(cut.at_s + cut.for_s - self.elapsed_s)

    def list_versions(self) -> list[str]:
        """Return the versions that servers run."""
        if not self.has_order.is_set():
            return [OLD]
        is_over = self.account.state is RolloutState.SUCCEEDED
        return [NEW] if is_over else [OLD, NEW]

    def _lag_s(self, *numbers: int) -> float:
        return sum(
            slow.lag_s * self.rng.random()
            for slow in self.day.slow
            for number in numbers
            if slow.hits(number, self.elapsed_s)
        )

    def deliver(self, sender: Member, name: str, message: msgspec.Struct) -> None:
        """Carry a datagram, unless it gets lost."""
        self.account.messages[type(message).__name__] += 1
        to = self._by_name.get(name)
        if to is None or not self._reaches(sender.number, to.number, self.elapsed_s):
            return
        if self._wakes_after_s(sender.number) or self.rng.random() < self.day.loss:
            return
        delay_s = ONE_WAY_S + self._lag_s(sender.number, to.number)
        delay_s += self._wakes_after_s(to.number)
        asyncio.get_running_loop().call_later(
            delay_s, self._hand_over, to, sender.name, message
        )

    def _hand_over(self, to: Member, sender: str, message: msgspec.Struct) -> None:
        if to.is_up:
            to.take(sender, message)

    def publish(self, incarnation: str, topic: str, value: msgspec.Struct) -> None:
        """Spread a value by gossip."""
        payload = GossipPayload(
            topic=topic,
            origin=incarnation,
            sequence=0,
            body=msgspec.Raw(msgspec.json.encode(value)),
        )
        spread_s = 0.3 * math.log2(1 + self.day.members)
        held = self._payloads.setdefault(topic, {})
        held[incarnation] = (now() + spread_s, payload)

    def heard(self, incarnation: str, topic: str) -> Iterator[GossipPayload]:
        """Return what gossip has brought to a member."""
        me = int(incarnation.split("-")[1])
        for origin, (due, payload) in self._payloads.get(topic, {}).items():
            other = int(origin.split("-")[1])
            if (
                other != me
                and now() >= due
                and self._reaches(me, other, self.elapsed_s)
            ):
                yield payload

    async def _watch_members(self) -> None:
        """Let members drop and take up others some time after each trouble."""
        moments = {0.0}
        for trouble in (*self.day.cuts, *self.day.kills, *self.day.freezes):
            ended_s = trouble.at_s + trouble.for_s
            moments |= {trouble.at_s + DETECT_S, ended_s, ended_s + RETURN_S}
        # Many troubles of single members fall together: each look is at all of them.
        steps = sorted({math.ceil(at_s / LOOK_S) for at_s in moments if at_s < 1e3})
        for step in steps:
            await asyncio.sleep(step * LOOK_S + 0.001 - self.elapsed_s)
            self._update_members()

    def _update_members(self) -> None:
        looks = [self.elapsed_s - back_s for back_s in (0.0, RETURN_S, DETECT_S)]
        groups = [
            [self._find_group(m.number, at) for at in looks] for m in self.members
        ]
        down = [[self._is_silent(m.number, at) for at in looks] for m in self.members]
        for member in self.members:
            if not member.is_up:
                continue
            mine = groups[member.number]
            names = [
                other.name
                for other in self.members
                if other is member
                or _is_seen(mine, groups[other.number], down[other.number])
            ]
            if names != member.peers.membership.names:
                member.peers.set_members(names)

    def _is_silent(self, number: int, at_s: float) -> bool:
        troubles = (*self.day.kills, *self.day.freezes)
        return any(trouble.hits(number, at_s) for trouble in troubles)

    # -- callers --

    def play(self) -> Account:
        """Play the day in virtual time."""
        run_virtually(self._play())
        return self.account

    async def _play(self) -> None:
        self._began = now()
        for member in self.members:
            member.start()
        tasks = [
            asyncio.ensure_future(self._watch_members()),
            asyncio.ensure_future(self._watch_state()),
            *(asyncio.ensure_future(self._kill(kill)) for kill in self.day.kills),
        ]
        await self._call()
        await asyncio.gather(*self._serving)
        for task in tasks:
            task.cancel()
        for member in self.members:
            member.stop()
        self.account.store_calls = sum(self.store.calls.values())

    async def _kill(self, kill: Kill) -> None:
        await asyncio.sleep(kill.at_s)
        for number in kill.members:
            self.members[number].stop()
        await asyncio.sleep(kill.for_s)
        for number in kill.members:
            self.members[number].start()

    async def _watch_state(self) -> None:
        await asyncio.sleep(ORDER_AT_S)
        self.has_order.set()
        while True:
            for record in self.store.topics.get(Formats.status_topic, ()):
                status = Formats().decode_status(record)
                if status is not None and self.account.state is not status.state:
                    self.account.state = status.state
            await asyncio.sleep(0.005)

    async def _call(self) -> None:
        day, rng = self.day, self.rng
        while self.elapsed_s < day.end_s + day.after_s:
            bursts = [
                b for b in day.bursts if b.at_s <= self.elapsed_s < b.at_s + b.for_s
            ]
            factor = math.prod(b.factor for b in bursts)
            await asyncio.sleep(rng.expovariate(day.per_s * factor))
            hot = sum(b.hot_share for b in bursts)
            number = (
                0
                if rng.random() < hot
                else rng.choices(range(day.sessions), self._weights)[0]
            )
            self._send(f"s{number}")

    def _send(self, session: str) -> None:
        up = [m for m in self.members if m.is_up and m.knowledge.table is not None]
        if not up:
            return
        member = self.rng.choice(up)
        sent = Sent(session=session, member=member.number, version="", at_s=0.0)
        attempts = 2 if self.rng.random() < LARGER_MODEL else 1
        lasts_s = min(MOST_S, USUAL_S * self.rng.lognormvariate(0.0, 0.8))
        task = asyncio.ensure_future(self._reach(member, sent, attempts, lasts_s))
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)

    async def _reach(
        self, member: Member, sent: Sent, attempts: int, lasts_s: float
    ) -> None:
        await asyncio.sleep(self._wakes_after_s(member.number))
        if member.is_up and member.knowledge.table is not None:
            await member.serve(sent, attempts=attempts, lasts_s=lasts_s)


def _is_seen(
    mine: list[Hashable], others: list[Hashable], is_silent: list[bool]
) -> bool:
    """Tell whether a member takes another one for one that serves.

    It drops one that has been silent for long enough, and takes it up again a while
    after its return.
    """
    gone = [
        group != other or silent
        for group, other, silent in zip(mine, others, is_silent, strict=True)
    ]
    return not all(gone) if gone[0] else not gone[1]
