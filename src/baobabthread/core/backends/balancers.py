"""The rules that choose a server of a pool; a registry holds them by name."""

from __future__ import annotations

import random
from collections.abc import Collection, Container, Mapping
from typing import Protocol

from baobabthread.core.backends.backends import BalanceSettings, Server
from baobabthread.core.backends.loads import Load
from baobabthread.core.backends.pools import Pool
from baobabthread.core.registry import Registry

TRIES = 4
"""Draws for a random server before the rest is searched."""
DEFAULT = "affine"


class View:
    """Give a balancer what it may look at for one pick."""

    __slots__ = (
        "candidates",
        "exclude",
        "least",
        "loads",
        "now",
        "pool",
        "prefix_key",
        "rng",
        "settings",
        "shared_s",
        "shared_tokens",
        "usual",
    )

    def __init__(
        self,
        *,
        pool: Pool,
        prefix_key: int | None,
        exclude: Container[str],
        now: float,
        rng: random.Random,
        usual: float,
        settings: BalanceSettings,
        shared_s: float = 0.0,
        shared_tokens: int = 0,
        loads: Mapping[str, Load],
        candidates: Collection[str],
    ) -> None:
        self.shared_s = shared_s
        """Seconds of work that a server saves which has the prefix in its cache."""
        self.shared_tokens = shared_tokens
        """Tokens of the prefix."""
        self.loads = loads
        """What keepers say of some servers; empty where nobody was asked."""
        self.candidates = candidates
        """Servers whose keepers were asked; empty where nobody was."""
        self.pool = pool
        self.prefix_key = prefix_key
        self.exclude = exclude
        self.now = now
        self.rng = rng
        self.usual = usual
        self.settings = settings
        self.least = 0.0
        """The cost of the server that `cheaper` returned."""

    def draw(self) -> Server | None:
        """Return a random server that is not excluded."""
        usable = self.pool.usable
        if not usable:
            return None
        for _ in range(TRIES):
            server = usable[int(self.rng.random() * len(usable))]
            if server.name not in self.exclude:
                return server
        return next((s for s in usable if s.name not in self.exclude), None)

    def cost(self, server: Server) -> float:
        """Return the expected cost of one more request at a server."""
        return server.cost(self.now, self.usual)

    def cheaper(self) -> Server | None:
        """Return the better of two random servers."""
        one, other = self.draw(), self.draw()
        if one is None or other is None:
            return one
        self.least = self.cost(one)
        if one is other:
            return one
        cost = self.cost(other)
        if self.least <= cost:
            return one
        self.least = cost
        return other


class Balancer(Protocol):
    """Choose one server of a pool."""

    def __call__(self, view: View) -> Server | None:
        """Return the chosen server or nothing."""


BALANCERS: Registry[Balancer] = Registry(what="balancer")


@BALANCERS.register("affine")
def pick_affine(view: View) -> Server | None:
    """Keep a prefix at its server unless another one is much cheaper."""
    other = view.cheaper()
    if view.prefix_key is None or other is None:
        return other
    bound = view.least * view.settings.affinity_bound
    for server in view.pool.preferred(view.prefix_key):
        if server.name in view.exclude:
            continue
        # A cached prefix outweighs some load, which passes, but no slow server.
        cost = view.cost(server)
        if cost > bound:
            continue
        slowness = server.speed(view.now, view.usual) / view.usual
        if slowness <= 1.0 or cost * slowness <= bound:
            return server
    return other


@BALANCERS.register("round-robin")
def pick_next(view: View) -> Server | None:
    """Take the servers in turn."""
    usable = view.pool.usable
    for _ in range(len(usable)):
        view.pool.turn += 1
        server = usable[view.pool.turn % len(usable)]
        if server.name not in view.exclude:
            return server
    return None


@BALANCERS.register("least-loaded")
def pick_least_loaded(view: View) -> Server | None:
    """Take the server with the least load by report and own requests."""
    usable = view.pool.usable
    if len(usable) > view.settings.sample:
        usable = view.rng.sample(usable, view.settings.sample)
    allowed = [s for s in usable if s.name not in view.exclude]
    if not allowed:
        return view.draw()
    return min(allowed, key=lambda s: s.load(view.now) / s.capacity)


@BALANCERS.register("two-choices")
def pick_of_two(view: View) -> Server | None:
    """Take the cheaper of two random servers."""
    return view.cheaper()
