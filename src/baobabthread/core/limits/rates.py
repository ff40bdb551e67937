"""Rates measured from events and counters that other entries report."""

from __future__ import annotations

import math

import msgspec

WINDOW_S = 0.5
SMOOTHING = 0.3
MAX_ORIGINS = 1024
MAX_ACCOUNTS = 20_000
SPENT_MEMORY_S = 5.0
"""Time over which the rate of an account elsewhere is taken."""
PROMPT_TOKENS_PER_TOKEN = 40
"""Prompt tokens that cost an engine about as much as one generated token."""


def weigh_tokens(*, prompt: int, cached: int, completion: int) -> int:
    """Return a request's work in generated tokens, to charge and to compare by."""
    fresh = max(0, prompt - cached)
    return max(1, completion + fresh // PROMPT_TOKENS_PER_TOKEN)


class DrainRate:
    """Measure how many tokens a second start while something waits."""

    __slots__ = ("_began", "_tokens", "tokens_per_s")

    def __init__(self) -> None:
        self.tokens_per_s = 0.0
        self._began: float | None = None
        self._tokens = 0

    def add(self, tokens: int, now: float, *, backlogged: bool) -> None:
        """Count tokens that started; a window without backlog says nothing."""
        if not backlogged:
            self._began = None
            return
        if self._began is None:
            self._began = now
            self._tokens = 0
            return
        self._tokens += tokens
        elapsed = now - self._began
        if elapsed >= WINDOW_S:
            rate = self._tokens / elapsed
            known = self.tokens_per_s > 0.0
            step = SMOOTHING if known else 1.0
            self.tokens_per_s += step * (rate - self.tokens_per_s)
            self._began = now
            self._tokens = 0


class AccountUsage(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Tell what one account uses at one entry."""

    started: int
    """Tokens started so far; only grows, so that a lost digest is no loss."""
    running: int
    in_flight: int
    """Tokens of the requests that run now."""
    urgent: int = 0
    """The part of `started` that was urgent."""


NOTHING = AccountUsage(started=0, running=0, in_flight=0)


class Growth(msgspec.Struct, frozen=True, kw_only=True):
    """Tell what an account started at another entry since its last word."""

    account: str
    tokens: int
    urgent: int


class UsageDigest(msgspec.Struct, frozen=True, kw_only=True):
    """Tell peers what each recently active account uses here."""

    sequence: int
    """Rises with each digest of an entry, so that a late one is dropped."""
    accounts: dict[str, AccountUsage]
    running: int = 0
    waiting: int = 0
    """Requests that wait, batch work left out: it has time."""


class Elsewhere(msgspec.Struct, frozen=True, kw_only=True):
    """Tell what runs and waits at the other entries heard lately."""

    running: int
    waiting: int
    backlogged: int
    """Entries at which something waits."""


class _Origin:
    __slots__ = ("accounts", "heard_at", "running", "sequence", "waiting")

    def __init__(self) -> None:
        self.accounts: dict[str, AccountUsage] = {}
        self.heard_at = 0.0
        self.running = 0
        self.sequence = 0
        self.waiting = 0


class _Spent:
    __slots__ = ("at", "tokens")

    def __init__(self) -> None:
        self.tokens = 0.0
        self.at = 0.0

    def fade(self, now: float) -> float:
        return self.tokens * math.exp((self.at - now) / SPENT_MEMORY_S)


class RemoteUsage:
    """Keep the latest counters of each other entry incarnation."""

    __slots__ = ("_origins", "_spent", "_stale_after_s")

    def __init__(self, *, stale_after_s: float) -> None:
        self._stale_after_s = stale_after_s
        self._origins: dict[str, _Origin] = {}
        self._spent: dict[str, _Spent] = {}

    def merge(self, origin: str, digest: UsageDigest, now: float) -> list[Growth]:
        """Take in one entry's counters; return what is new in them."""
        known = self._origins.get(origin)
        first = known is None
        if known is None:
            self._drop_stale(now)
            if len(self._origins) >= MAX_ORIGINS:
                return []
            known = self._origins[origin] = _Origin()
        # Failure: two digests change places on the way, the counters fall and rise
        # again, and the same tokens count twice. A late digest is dropped whole.
        if digest.sequence <= known.sequence:
            return []
        # Failure: an entry is heard for the first time and all that it ever started
        # counts as new. The first word is only the base to count from.
        grown = [] if first else _compare(known.accounts, digest.accounts)
        for growth in grown:
            self._spend(growth, now)
        known.accounts = digest.accounts
        known.sequence = digest.sequence
        known.running = digest.running
        known.waiting = digest.waiting
        known.heard_at = now
        return grown

    def running(self, account: str, now: float) -> int:
        """Return how many requests of an account run at entries heard lately."""
        total = 0
        for origin in self._origins.values():
            usage = origin.accounts.get(account)
            if usage and now - origin.heard_at <= self._stale_after_s:
                total += usage.running
        return total

    def tokens_per_s(self, account: str, now: float) -> float:
        """Return the rate at which an account starts tokens elsewhere."""
        spent = self._spent.get(account)
        return spent.fade(now) / SPENT_MEMORY_S if spent is not None else 0.0

    def _spend(self, growth: Growth, now: float) -> None:
        spent = self._spent.get(growth.account)
        if spent is None:
            if len(self._spent) >= MAX_ACCOUNTS:
                self._spent.clear()
            spent = self._spent[growth.account] = _Spent()
        spent.tokens = spent.fade(now) + growth.tokens
        spent.at = now

    def total(self, now: float) -> Elsewhere:
        """Return what runs and waits at entries heard lately."""
        fresh = [
            origin
            for origin in self._origins.values()
            if now - origin.heard_at <= self._stale_after_s
        ]
        return Elsewhere(
            running=sum(origin.running for origin in fresh),
            waiting=sum(origin.waiting for origin in fresh),
            backlogged=sum(origin.waiting > 0 for origin in fresh),
        )

    def _drop_stale(self, now: float) -> None:
        limit = 10 * self._stale_after_s
        stale = [
            name
            for name, origin in self._origins.items()
            if now - origin.heard_at > limit
        ]
        for name in stale:
            del self._origins[name]


def _compare(
    before: dict[str, AccountUsage], after: dict[str, AccountUsage]
) -> list[Growth]:
    """Return the growth of each account's counters."""
    grown = []
    for name, usage in after.items():
        base = before.get(name, NOTHING)
        tokens = usage.started - base.started
        if tokens > 0:
            urgent = max(0, usage.urgent - base.urgent)
            grown.append(Growth(account=name, tokens=tokens, urgent=urgent))
    return grown
