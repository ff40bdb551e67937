"""Freshness of the configuration at an entry that may be cut off."""

from __future__ import annotations

import enum
from collections import deque

import msgspec

from baobabthread.core.configuration.configuration import OnStale
from baobabthread.core.positions import OperatorsPosition

NEVER_S = 1e9
"""Age, in seconds, of a head that nobody ever read."""
MAX_CLAIMS = 64


class FreshnessState(enum.StrEnum):
    """Tell what an entry may conclude about changes that it has not seen."""

    FRESH = "fresh"
    LOG_OUTAGE = "log_outage"
    CUT_OFF = "cut_off"


class Reach(msgspec.Struct, frozen=True, kw_only=True):
    """Count which entries answered within the last bound."""

    heard: int
    """Entries asked in that time that answered."""
    asked: int
    """Entries asked in that time."""
    pool: int
    """Entries among which those asked were drawn."""
    known: int
    """All known entries but this one, unreachable ones included."""

    @property
    def is_majority(self) -> bool:
        """Tell whether this entry hears a majority, itself counted."""
        if self.known == 0:
            return True
        if self.asked == 0:
            return False
        share = self.heard / self.asked
        return 2 * (share * self.pool + 1) > self.known + 1


class FreshnessSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Set how old the knowledge of the log's head may be."""

    bound_s: float = 5.0


class _Claim(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a head read that counts once the fold has come as far."""

    position: OperatorsPosition
    time: float


class Freshness:
    """Track when the state that this entry serves was last known to be the newest."""

    __slots__ = (
        "_best",
        "_claims",
        "_folded",
        "_head_time",
        "_reach",
        "_reach_at",
        "_settings",
    )

    def __init__(self, *, settings: FreshnessSettings | None = None) -> None:
        self._settings = settings or FreshnessSettings()
        self._folded = OperatorsPosition()
        self._head_time = -NEVER_S
        self._best = -NEVER_S
        self._claims: deque[_Claim] = deque(maxlen=MAX_CLAIMS)
        self._reach = Reach(heard=0, asked=0, pool=0, known=1)
        self._reach_at = -NEVER_S

    @property
    def bound_s(self) -> float:
        """Give the age, in seconds, up to which the state counts as fresh."""
        return self._settings.bound_s

    @property
    def folded(self) -> OperatorsPosition:
        """Give the position to which the log is held here: what the age is about."""
        return self._folded

    def read_head(self, *, head: OperatorsPosition, started_at: float) -> None:
        """Note that this entry read the log's head.

        `started_at` is when the read was sent: the head may have moved while its
        reply was under way.
        """
        self._note(_Claim(position=head, time=started_at))

    def hear(
        self, *, head_age_s: float, read_position: OperatorsPosition, asked_at: float
    ) -> None:
        """Note what a peer answered about its own state.

        `asked_at` is when the question was sent. Counting from the answer's arrival
        would make an answer look fresh that waited while this process was paused.
        """
        self._note(_Claim(position=read_position, time=asked_at - head_age_s))

    def fold_to(self, position: OperatorsPosition) -> None:
        """Note how far the fold of the configuration has come."""
        if position <= self._folded:
            return
        self._folded = position
        claims = list(self._claims)
        self._claims.clear()
        for claim in claims:
            self._count(claim)

    def observe(self, reach: Reach, *, now: float) -> None:
        """Note which entries answered lately."""
        self._reach = reach
        self._reach_at = now

    def head_age(self, now: float) -> float:
        """Return the age of the state in seconds, `NEVER_S` when there is none."""
        return min(NEVER_S, max(0.0, now - self._head_time))

    def state(self, now: float) -> FreshnessState:
        """Return what this entry may conclude at this time."""
        if self._is_within_bound(now):
            return FreshnessState.FRESH
        if self._log_is_down(now):
            return FreshnessState.LOG_OUTAGE
        return FreshnessState.CUT_OFF

    def may_serve(self, on_stale: OnStale, now: float) -> bool:
        """Return whether a service with this setting may start a request."""
        if on_stale is OnStale.SERVE:
            return True
        return self.state(now) is not FreshnessState.CUT_OFF

    def _note(self, claim: _Claim) -> None:
        self._best = max(self._best, claim.time)
        if claim.time > self._head_time:
            self._count(claim)

    def _count(self, claim: _Claim) -> None:
        if self._is_folded(claim):
            self._head_time = max(self._head_time, claim.time)
        else:
            self._claims.append(claim)

    def _is_folded(self, claim: _Claim) -> bool:
        # Hearing a peer that read the head is no news of what stands there: an entry
        # that lacks those records would go on offering a withdrawn version and call
        # itself fresh. The time counts once the same records are folded here.
        return claim.position <= self._folded

    def _is_within_bound(self, now: float) -> bool:
        # Without a bound an entry cut off for hours would serve a version withdrawn
        # long ago. With it the window is the bound plus the time to refuse.
        return now - self._head_time <= self._settings.bound_s

    def _log_is_down(self, now: float) -> bool:
        # A majority that nobody of reaches the log means that (almost) nothing can be
        # accepted, so serving on is safe. An entry that hears somebody fresh is only
        # behind, and one that hears a minority may be the only one without the log:
        # both refuse. An old observation, as after a pause, proves nothing.
        if now - self._best <= self._settings.bound_s:
            return False
        if now - self._reach_at > self._settings.bound_s:
            return False
        return self._reach.is_majority
