"""Limits that adapt: concurrency of a service, tokens of an account, shedding."""

from __future__ import annotations

import enum

import msgspec

from baobabthread.core.limits.rates import Elsewhere

MIN_ESTIMATE_S = 0.1
MIN_RETRY_S = 0.05


class Outcome(enum.StrEnum):
    """Tell how an attempt at a backend server ended."""

    OK = "ok"
    BUSY = "busy"
    """The backend server refused it for lack of room."""
    TIMEOUT = "timeout"
    FAILED = "failed"
    CANCELLED = "cancelled"
    """The caller went away; this says nothing about the backend server."""


class LimitSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the bounds of an adaptive limit."""

    initial: float = 16.0
    """Limit until a capacity is known."""
    minimum: float = 1.0
    maximum: float = 1024.0
    slack: float = 1.2
    """Share of the reported capacity per live entry to start from."""
    span: float = 1.25
    """Most times its share of the capacity that one entry may use of its own."""
    even_part: float = 0.25
    """Part of the capacity that entries share evenly; the rest goes by demand."""
    share_step: float = 0.5
    """Step towards a new share at each word of the peers."""
    borrowing: float = 0.7
    """Part of the capacity left unused by other entries that may be borrowed."""
    borrow_life_s: float = 3.0
    """Seconds for which the peers' word on their use counts."""
    tolerance: float = 1.5
    """Times the least latency that is taken as free of queueing."""
    decrease: float = 0.85
    increase: float = 1.0
    """Growth by so many requests for each limit's worth of good answers."""
    window_s: float = 10.0
    """Seconds after which the least latency may rise a step."""
    drift: float = 1.1
    """Most growth of the least latency in a window."""


class AdaptiveLimit:
    """Bound how many requests of one service this entry has running.

    A latency may be given per unit of work (`per`), so that long answers do not pass
    for queueing.
    """

    __slots__ = (
        "_base",
        "_borrowed",
        "_borrowed_at",
        "_capacity",
        "_cut_at",
        "_even",
        "_latency",
        "_least",
        "_settings",
        "_window_at",
        "_window_least",
        "_work",
        "limit",
        "running",
    )

    def __init__(self, *, settings: LimitSettings | None = None) -> None:
        self._settings = settings or LimitSettings()
        self.limit = self._settings.initial
        self.running = 0
        self._base: float | None = None
        self._capacity = 0.0
        self._even = 0.0
        self._borrowed = 0.0
        self._borrowed_at = 0.0
        self._least: float | None = None
        self._latency = 0.0
        self._work = 0.0
        self._window_at = 0.0
        self._window_least: float | None = None
        self._cut_at = 0.0

    def set_capacity(self, capacity: int, entries: int) -> None:
        """Take over what all backend servers can run and how many entries share it."""
        self._capacity = capacity * self._settings.slack
        even = max(1.0, self._capacity / max(1, entries))
        if even != self._even:
            self._even = even
            self._rebase(even)

    def share(self, elsewhere: Elsewhere, waiting: int, now: float) -> None:
        """Take a part of the capacity by demand, and borrow what others leave."""
        if not self._capacity:
            return
        # Failure: callers come to one entry more than to others; it queues and sheds
        # while others have room. A part of the capacity goes where requests wait. The
        # even part stays, so that an entry that was idle can start at once.
        own = self.running + waiting
        total = own + elsewhere.running + elsewhere.waiting
        even = self._settings.even_part
        by_demand = self._capacity * own / total if total else self._even
        wanted = even * self._even + (1.0 - even) * by_demand
        step = self._settings.share_step
        known = self._base or self._even
        self._rebase(known + step * (wanted - known))
        unused = self._capacity - elsewhere.running - self.limit
        # All entries with a queue see the same room as unused: they divide it.
        part = self._settings.borrowing / (1 + elsewhere.backlogged)
        self._borrowed = max(0.0, unused * part)
        self._borrowed_at = now

    def _rebase(self, base: float) -> None:
        """Scale the limit to a new share and keep what was learnt."""
        known = self._base
        self._base = base
        self.limit = self._clamp(self.limit * base / known if known else base)

    def allowed(self, now: float) -> float:
        """Return how many requests may run, borrowed room included."""
        if now - self._borrowed_at > self._settings.borrow_life_s:
            return self.limit
        return self.limit + self._borrowed

    def may_start(self, now: float) -> bool:
        """Tell whether one more request may start."""
        return self.running < self.limit or self.running < self.allowed(now)

    def started(self) -> None:
        """Count a request that starts."""
        self.running += 1

    def finished(
        self, latency_s: float, outcome: Outcome, now: float, *, per: float = 1.0
    ) -> None:
        """Count a request that ended and adapt the limit to how it went."""
        was_full = self.running + 1 >= self.limit
        self.running = max(0, self.running - 1)
        if outcome is Outcome.CANCELLED or outcome is Outcome.FAILED:
            return
        if outcome is not Outcome.OK:
            self._cut(latency_s, now)
            return
        # The ratio of the sums: a queue adds as much to a short answer as to a long
        # one, and a mean of ratios would see it in the short ones only.
        step = min(1.0, 2.0 / max(1.0, self.limit)) if self._work else 1.0
        self._latency += step * (latency_s - self._latency)
        self._work += step * (max(per, 1e-9) - self._work)
        current = self._latency / self._work
        least = self._track_least(current, now)
        if current > least * self._settings.tolerance:
            self._cut(latency_s, now)
        elif was_full:
            self.limit = self._clamp(self.limit + self._settings.increase / self.limit)

    def _cut(self, latency_s: float, now: float) -> None:
        # Failure: one burst of late answers, all started before the first cut, drives
        # the limit to its minimum. One cut for each answer time is enough: only what
        # started after a cut can show its effect.
        if now < self._cut_at:
            return
        self.limit = self._clamp(self.limit * self._settings.decrease)
        self._cut_at = now + latency_s

    def _track_least(self, sample: float, now: float) -> float:
        if self._least is None or sample < self._least:
            self._least = sample
        if self._window_least is None or sample < self._window_least:
            self._window_least = sample
        if now - self._window_at >= self._settings.window_s:
            # Failure: under lasting overload every sample queues, the queue passes for
            # the least latency and the limit grows without end. The least latency
            # follows a real change in small steps, and the span bounds the rest.
            rise = self._least * self._settings.drift
            self._least = min(rise, max(self._least, self._window_least))
            self._window_at = now
            self._window_least = None
        return self._least

    def _clamp(self, limit: float) -> float:
        low, high = self._settings.minimum, self._settings.maximum
        if self._base is not None:
            high = min(high, self._base * self._settings.span)
        return min(high, max(low, limit))


class AccountLimitSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the bounds of an account's bucket."""

    burst_s: float = 5.0
    """Seconds of its rate that an account can save up."""
    smoothing: float = 0.3
    """Step towards a new share at each word of the peers."""


class AccountLimit:
    """Bound one account's tokens a second, shared by all live entries."""

    __slots__ = ("_level", "_rate", "_settings", "_share", "_updated_at")

    def __init__(
        self,
        *,
        tokens_per_s: float,
        now: float,
        settings: AccountLimitSettings | None = None,
    ) -> None:
        self._settings = settings or AccountLimitSettings()
        self._rate = tokens_per_s
        self._share = tokens_per_s
        self._level = tokens_per_s * self._settings.burst_s
        self._updated_at = now

    @property
    def rate(self) -> float:
        """Give the account's whole rate, in tokens a second."""
        return self._rate

    @property
    def tokens_per_s(self) -> float:
        """Give this entry's part of the account's rate."""
        return self._share

    def set_rate(self, tokens_per_s: float) -> None:
        """Take over a new configured rate; 0 sets none."""
        if self._rate > 0.0:
            self._share *= tokens_per_s / self._rate
        else:
            self._share = tokens_per_s
        self._rate = tokens_per_s

    def share(self, elsewhere_per_s: float, entries: int, now: float) -> None:
        """Take over what the account uses at other entries, in tokens a second."""
        self._refill(now)
        least = self._rate / max(1, entries)
        wanted = min(self._rate, max(least, self._rate - elsewhere_per_s))
        # Failure: two entries each see the other idle, both take the whole rate, both
        # then see the other busy, and the parts swing for ever. A step of less than
        # half of the way settles.
        self._share += self._settings.smoothing * (wanted - self._share)

    def admit(self, tokens: int, now: float) -> float:
        """Charge a request; return 0, or the seconds until one can be admitted."""
        if self._rate <= 0.0:
            return 0.0
        self._refill(now)
        if self._level <= 0.0:
            return max(0.05, -self._level / self._share)
        self._level -= tokens
        return 0.0

    def correct(self, difference: int) -> None:
        """Charge the tokens that a request took above its estimate, or give back."""
        if self._rate > 0.0:
            self._level -= difference

    def _refill(self, now: float) -> None:
        full = self._share * self._settings.burst_s
        elapsed = max(0.0, now - self._updated_at)
        self._level = min(full, self._level + elapsed * self._share)
        self._updated_at = max(now, self._updated_at)


class SheddingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the bounds of load shedding."""

    margin: float = 1.0
    """Times the estimated wait that must fit before the deadline."""
    smoothing: float = 0.05
    max_correction: float = 1.5


class Shedder:
    """Refuse at once what would wait past its deadline."""

    __slots__ = ("_correction", "_estimated", "_settings", "_waited")

    def __init__(self, *, settings: SheddingSettings | None = None) -> None:
        self._settings = settings or SheddingSettings()
        self._correction = 1.0
        self._estimated = 0.0
        self._waited = 0.0

    @property
    def correction(self) -> float:
        """Give the factor by which real waits differ from the estimates."""
        return self._correction

    def refuse_for(
        self, *, wait_s: float, service_s: float, deadline: float, now: float
    ) -> float | None:
        """Return the Retry-After in seconds of a refusal, or nothing to admit."""
        wait = wait_s * self._correction * self._settings.margin
        if now + wait + service_s <= deadline:
            return None
        # Failure: callers come back as soon as a request would just fit, find that
        # others had the same thought, and are refused again. Once all that waits now
        # has started, there is room for them.
        return max(wait, MIN_RETRY_S)

    def observe(self, *, estimated_s: float, waited_s: float) -> None:
        """Learn from a request that waited how far the estimates are off."""
        step = self._settings.smoothing
        self._estimated += step * (estimated_s - self._estimated)
        self._waited += step * (waited_s - self._waited)
        if self._estimated < MIN_ESTIMATE_S:
            return
        # The ratio of the sums, not the sum of the ratios: a short wait that was
        # estimated as none would else outweigh all long ones.
        bound = self._settings.max_correction
        ratio = self._waited / self._estimated
        self._correction = min(bound, max(1.0 / bound, ratio))
