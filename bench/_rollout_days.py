"""Days with one roll-out, and what is seen of them from outside."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec

from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.configuration import RolloutState

OLD, NEW = "v1", "v2"
ORDER_AT_S = 2.0
"""Time from the start of the traffic to the order."""
ENOUGH_BAD = 50
"""Bad answers from which on a version must soon get nothing more."""
MOST_CHANGES = 3
"""Requests that may meet another version than their session's request before."""
MOST_ROLLBACK_S = 5.0
"""Longest time from so many bad answers to the last request there."""
CONTACT_S = 5.0
"""Time after a trouble from which on a member counts as in touch again."""


class Trouble(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what happens to some members for a while."""

    at_s: float
    for_s: float
    members: tuple[int, ...]

    def hits(self, number: int, since_s: float, until_s: float | None = None) -> bool:
        """Tell whether it meets a member at a moment, or within a time."""
        until_s = since_s if until_s is None else until_s
        is_on = self.at_s <= until_s and since_s < self.at_s + self.for_s
        return is_on and number in self.members


class Cut(Trouble, frozen=True, kw_only=True):
    """Cut some members off."""

    from_peers: bool = False
    """Whether they don't reach the members that aren't cut off with them."""
    apart: bool = False
    """Whether they don't reach each other either."""
    from_store: bool = False


class Kill(Trouble, frozen=True, kw_only=True):
    """Stop some members; they start again knowing nothing."""


class Freeze(Trouble, frozen=True, kw_only=True):
    """Let some members stand still; what arrives meanwhile is read as they wake."""


class Slow(Trouble, frozen=True, kw_only=True):
    """Let messages of some members arrive late."""

    lag_s: float


class Burst(msgspec.Struct, frozen=True, kw_only=True):
    """Let more requests come, of all sessions or of a single one."""

    at_s: float
    for_s: float
    factor: float = 1.0
    hot_share: float = 0.0
    """Part of the requests that belong to one session."""


class Day(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a roll-out and what happens beside it; times are from the traffic on."""

    members: int
    seed: int = 1
    limit_s: float = 24.0
    per_s: float = 267.0
    """Requests a second of all callers."""
    sessions: int = 3300
    bounds: RoutingBounds = RoutingBounds(
        exposure_share=0.0975, exposure_extra=30.0, session_s=8.5
    )
    servers: int = 63
    loss: float = 0.001
    bad_share: float = 0.0
    """Part of the new version's answers that are failures."""
    bad_from_s: float = 0.0
    """When it begins to fail."""
    after_s: float = 2.0
    """Time for which requests are watched after the limit."""
    cuts: tuple[Cut, ...] = ()
    kills: tuple[Kill, ...] = ()
    slow: tuple[Slow, ...] = ()
    freezes: tuple[Freeze, ...] = ()
    bursts: tuple[Burst, ...] = ()

    @property
    def end_s(self) -> float:
        """Give the time of the order's limit."""
        return ORDER_AT_S + self.limit_s

    @property
    def troubles(self) -> tuple[Trouble, ...]:
        """Give all that happens to members."""
        return (*self.cuts, *self.kills, *self.slow, *self.freezes)

    def reaches_store(self, number: int, at_s: float) -> bool:
        """Tell whether a member reaches the store."""
        return not any(cut.from_store and cut.hits(number, at_s) for cut in self.cuts)

    def is_down(self, number: int, at_s: float) -> bool:
        """Tell whether a member is stopped."""
        return any(kill.hits(number, at_s) for kill in self.kills)


class Sent(msgspec.Struct, kw_only=True):
    """Hold what is known outside of one request."""

    session: str
    member: int
    version: str
    at_s: float
    ended_s: float = math.inf
    reason: str = ""
    """Why it got the version that it got last."""


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """Tell of a request on another version than the one before in its session."""

    session: str
    at_s: float
    to: str
    before: int
    """Member that sent the one before."""
    member: int
    reason: str


class Account(msgspec.Struct, kw_only=True):
    """Add up what the rules speak of."""

    state: RolloutState | None = None
    requests: int = 0
    """Those that reached the service between the order and its limit."""
    exposed: int = 0
    """Attempts at the new version in that time, of members in touch with the store."""
    exposed_anywhere: int = 0
    """The same of all members."""
    allowed: float = 0.0
    turned_back: list[Change] = []
    """Requests on the old version though the new one is good and not taken back."""
    moved_early: list[Change] = []
    """Requests on the new version in the first half, of sessions on the old one."""
    after_bad_s: float = 0.0
    """Time from the 50th bad answer to the last request of a member in touch."""
    messages: Counter[str] = msgspec.field(default_factory=Counter)
    store_calls: int = 0

    @property
    def changes(self) -> int:
        """Give the requests that met another version than they should."""
        return len(self.turned_back) + len(self.moved_early)

    def list_broken(self, *, is_good: bool) -> list[str]:
        """Name the rules that were broken; a bad version's sessions may go back."""
        broken = []
        if is_good and self.changes > MOST_CHANGES:
            broken.append(f"{self.changes} sessions changed their version")
        if self.exposed > self.allowed:
            broken.append(f"{self.exposed} exposed of {self.allowed:.0f}")
        if self.after_bad_s > MOST_ROLLBACK_S:
            broken.append(f"sent {self.after_bad_s:.1f} s after enough bad answers")
        return broken


class Watcher:
    """See what callers and servers see, and judge it."""

    def __init__(self, *, day: Day) -> None:
        self.account = Account()
        self._day = day
        self._rng = random.Random(day.seed)
        self._last: dict[str, Sent] = {}
        self._bad = 0
        self._enough_bad_at: float | None = None

    def fails(self, at_s: float) -> bool:
        """Draw whether an answer of the new version is bad, and count it."""
        day = self._day
        if at_s < day.bad_from_s or self._rng.random() >= day.bad_share:
            return False
        self._bad += 1
        if self._bad == ENOUGH_BAD:
            self._enough_bad_at = at_s
        return True

    def note_sent(self, sent: Sent, version: str, at_s: float) -> None:
        """Note an attempt as it reaches a server."""
        is_first = not sent.version
        if is_first:
            sent.at_s = at_s
        self._count(sent, version, at_s, is_first=is_first)
        if version == sent.version:
            return
        sent.version = version
        before = self._last.get(sent.session)
        self._last[sent.session] = sent
        if before is not None and before is not sent:
            self._compare(before, sent, at_s)

    def _compare(self, before: Sent, sent: Sent, at_s: float) -> None:
        day = self._day
        if before.version == sent.version:
            return
        if at_s - before.ended_s >= day.bounds.session_s:
            return
        if any(
            trouble.hits(sent.member, before.at_s - CONTACT_S, at_s)
            for trouble in day.troubles
        ):
            return
        change = Change(
            session=sent.session,
            at_s=round(at_s, 3),
            to=sent.version,
            before=before.member,
            member=sent.member,
            reason=sent.reason,
        )
        if sent.version == NEW and at_s < ORDER_AT_S + day.limit_s / 2:
            self.account.moved_early.append(change)
        elif sent.version == OLD and self.account.state is not RolloutState.REVERTED:
            self.account.turned_back.append(change)

    def _count(self, sent: Sent, version: str, at_s: float, *, is_first: bool) -> None:
        account, bounds = self.account, self._day.bounds
        is_exposed = version == NEW and self._is_in_touch(sent.member, at_s)
        if is_exposed and self._enough_bad_at is not None:
            account.after_bad_s = at_s - self._enough_bad_at
        if not ORDER_AT_S <= at_s < self._day.end_s:
            return
        account.requests += is_first
        account.allowed = (
            bounds.exposure_share * account.requests + bounds.exposure_extra
        )
        account.exposed += is_exposed
        account.exposed_anywhere += version == NEW

    def _is_in_touch(self, number: int, at_s: float) -> bool:
        day = self._day
        troubles: list[Trouble] = [cut for cut in day.cuts if cut.from_store]
        troubles += [*day.kills, *day.freezes]
        return not any(t.hits(number, at_s - CONTACT_S, at_s) for t in troubles)


RATES = {1: 20.0, 6: 57.0, 59: 120.0, 195: 267.0, 400: 300.0}
"""Requests a second by number of members."""
PARTS = (0.02, 0.2, 0.35, 0.6)
"""Parts of the members that something happens to."""


def draw_day(members: int, seed: int) -> Day:
    """Return a day with up to two troubles, a good version or a bad one."""
    rng = random.Random(f"{members}/{seed}")
    limit_s = rng.choice((8.0, 14.0, 24.0))
    per_s = RATES.get(members, members * 2.0)
    day = Day(
        members=members,
        seed=seed,
        limit_s=limit_s,
        per_s=per_s,
        sessions=int(12 * per_s),
        servers=rng.choice((5, 45, 63)),
        loss=rng.choice((0.0, 0.001, 0.01, 0.05)),
        bad_share=rng.choice((0.0, 0.0, 0.1, 0.4)),
        bounds=RoutingBounds(
            exposure_share=rng.choice((0.0975, 0.15)),
            exposure_extra=30.0,
            session_s=rng.choice((5.0, 8.5)),
        ),
    )
    for _ in range(rng.choice((0, 1, 1, 2))):
        day = rng.choice(TROUBLES)(day, rng)
    return day


Add = Callable[[Day, random.Random], Day]
TROUBLES: list[Add] = []
"""What `draw_day` draws from; whatever stands here twice comes twice as often."""


def _often(times: int) -> Callable[[Add], Add]:
    """Let a trouble be drawn so often."""

    def enter(add: Add) -> Add:
        TROUBLES.extend([add] * times)
        return add

    return enter


def _draw_trouble(
    day: Day, rng: random.Random, *, least_s: float, most_s: float
) -> dict[str, Any]:
    """Return when some members are hit, for how long, and which."""
    at_s, for_s = rng.uniform(0.0, day.end_s), rng.uniform(least_s, most_s)
    count = max(1, int(day.members * rng.choice(PARTS)))
    members = tuple(sorted(rng.sample(range(day.members), count)))
    return {"at_s": at_s, "for_s": for_s, "members": members}


@_often(2)
def _add_cut(day: Day, rng: random.Random) -> Day:
    from_peers = rng.random() < 0.6
    cut = Cut(
        **_draw_trouble(day, rng, least_s=0.5, most_s=8.0),
        from_peers=from_peers,
        apart=rng.random() < 0.5,
        from_store=not from_peers or rng.random() < 0.5,
    )
    return msgspec.structs.replace(day, cuts=(*day.cuts, cut))


@_often(1)
def _add_kill(day: Day, rng: random.Random) -> Day:
    kill = Kill(**_draw_trouble(day, rng, least_s=0.3, most_s=2.0))
    return msgspec.structs.replace(day, kills=(*day.kills, kill))


@_often(1)
def _add_slow(day: Day, rng: random.Random) -> Day:
    drawn = _draw_trouble(day, rng, least_s=0.5, most_s=8.0)
    slow = Slow(**drawn, lag_s=rng.choice((0.1, 0.5, 2.0)))
    return msgspec.structs.replace(day, slow=(*day.slow, slow))


@_often(1)
def _add_burst(day: Day, rng: random.Random) -> Day:
    at_s, for_s = rng.uniform(0.0, day.end_s), rng.uniform(0.5, 4.0)
    burst = Burst(at_s=at_s, for_s=for_s, factor=rng.choice((1.4, 2.0, 2.5)))
    return msgspec.structs.replace(day, bursts=(*day.bursts, burst))


@_often(1)
def _add_hot_session(day: Day, rng: random.Random) -> Day:
    at_s, for_s = rng.uniform(0.0, day.end_s), rng.uniform(0.5, 8.0)
    burst = Burst(at_s=at_s, for_s=for_s, hot_share=0.11)
    return msgspec.structs.replace(day, bursts=(*day.bursts, burst))


def draw_views(members: int, seed: int, *, limit_s: float) -> Day:
    """Return a day on which most members see the roll-out in a way of their own."""
    rng = random.Random(f"views/{members}/{seed}/{limit_s}")
    cuts, kills, freezes = [], [], []
    for number in range(members):
        alone = (number,)
        at_s = rng.uniform(0.0, limit_s)
        match rng.choice(("none", "deaf", "alone", "frozen", "restarts")):
            case "deaf":
                for_s = rng.uniform(1.0, 8.0)
                cuts.append(Cut(at_s=at_s, for_s=for_s, members=alone, from_peers=True))
            case "alone":
                cuts.append(Cut(at_s=0.0, for_s=1e6, members=alone, from_peers=True))
            case "frozen":
                for_s = rng.uniform(1.0, 6.0)
                freezes.append(Freeze(at_s=at_s, for_s=for_s, members=alone))
            case "restarts":
                kills += [
                    Kill(at_s=at_s + after_s, for_s=0.3, members=alone)
                    for after_s in (0.0, 2.5, 5.0)
                ]
    burst = Burst(at_s=rng.uniform(0.0, limit_s), for_s=3.0, factor=2.5)
    return Day(
        members=members,
        seed=seed,
        limit_s=limit_s,
        per_s=120.0,
        sessions=1440,
        servers=5,
        bounds=RoutingBounds(exposure_share=0.15, exposure_extra=30.0),
        cuts=tuple(cuts),
        kills=tuple(kills),
        freezes=tuple(freezes),
        bursts=(burst,),
    )
