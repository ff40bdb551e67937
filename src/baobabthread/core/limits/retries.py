"""Retries within a budget: a share of the requests, never a multiple of them."""

from __future__ import annotations

import random

import msgspec

from baobabthread.errors import Ran


class RetrySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the bounds of the retries of one service."""

    ratio: float = 0.1
    """Retries that each request earns."""
    floor_per_s: float = 0.2
    """Retries a second that are earned without requests."""
    max_balance: float = 20.0
    """Most retries that can be saved up."""
    max_attempts: int = 3
    """Attempts of one request, the first included."""
    base_delay_s: float = 0.02
    max_delay_s: float = 1.0
    hedging: bool = False


class Attempt(msgspec.Struct, frozen=True, kw_only=True):
    """Describe an attempt that did not succeed."""

    idempotent: bool
    ran: Ran
    first_byte_sent: bool
    """Whether any byte of the request left for the backend server."""
    number: int
    """Attempts so far, this one included."""
    deadline: float
    service_s: float = 0.0
    """Least seconds that another attempt takes."""
    retry_after_s: float = 0.0
    """Seconds that the backend server asked to wait."""


class RetryBudget:
    """Decide on the retries of one service."""

    __slots__ = ("_balance", "_earned_at", "_rng", "_settings", "denied", "granted")

    def __init__(
        self, *, rng: random.Random, settings: RetrySettings | None = None
    ) -> None:
        self._rng = rng
        self._settings = settings or RetrySettings()
        self._balance = self._settings.max_balance / 2
        self._earned_at: float | None = None
        self.granted = 0
        self.denied = 0

    @property
    def balance(self) -> float:
        """Give the number of retries that could be granted now."""
        return self._balance

    @property
    def most(self) -> float:
        """Give the number of retries that can be saved up."""
        return self._settings.max_balance

    def count_request(self, now: float) -> None:
        """Earn a share of a retry by a first attempt."""
        self._earn(self._settings.ratio, now)

    def may_retry(self, attempt: Attempt, now: float) -> float | None:
        """Return the seconds to wait before a retry, or nothing if there is none."""
        if not is_repeatable(attempt):
            return None
        if attempt.number >= self._settings.max_attempts:
            return None
        delay = self._choose_delay(attempt)
        if now + delay + attempt.service_s >= attempt.deadline:
            return None
        return delay if self._spend(now) else None

    def try_spend(self, now: float) -> bool:
        """Take a repeat out of the budget; return whether there was one."""
        return self._spend(now)

    def may_hedge(self, *, idempotent: bool, now: float) -> bool:
        """Tell whether a second attempt may run beside the first; off by default."""
        return self._settings.hedging and idempotent and self._spend(now)

    def _choose_delay(self, attempt: Attempt) -> float:
        ceiling = self._settings.base_delay_s * 2.0 ** (attempt.number - 1)
        jitter = self._rng.random() * min(ceiling, self._settings.max_delay_s)
        return attempt.retry_after_s + jitter

    def _earn(self, amount: float, now: float) -> None:
        if self._earned_at is not None and now > self._earned_at:
            amount += (now - self._earned_at) * self._settings.floor_per_s
        self._earned_at = now
        self._balance = min(self._settings.max_balance, self._balance + amount)

    def _spend(self, now: float) -> bool:
        self._earn(0.0, now)
        # Failure: a service slows down, every request is tried three times and the
        # load that keeps it slow is made of retries. A share of the requests can't.
        if self._balance < 1.0:
            self.denied += 1
            return False
        self._balance -= 1.0
        self.granted += 1
        return True


def is_repeatable(attempt: Attempt) -> bool:
    """Tell whether another attempt can't run a non-idempotent request twice."""
    if attempt.idempotent:
        return True
    # Failure: a warning goes out twice because a "not run" was wrong or late. Once a
    # byte has left, only the caller may repeat it, with its own idempotency key.
    return attempt.ran is Ran.NO and not attempt.first_byte_sent
