"""Which version of a service a request goes to while traffic moves between versions.

The share of the new version is a function of the time since the order and of shared
evidence, so that instances agree on it without talk. A session's place in that share
is a hash of its name: it moves at most once, and never back while the share grows.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping

import msgspec

from baobabthread.core.requests.attempts import draw
from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.configuration import (
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)
from baobabthread.routing.trial import Trial

SETTLE_S = 1.0
"""Time after an order in which instances hand over which sessions are in use."""
TRIAL_PART = 0.55
"""Part of the bound on exposure that the new version gets while it is on trial."""
HALF = 0.5
"""Part of the time limit before which no session in use may be moved."""
LEAST_TRIAL_S = 2.5
"""Shortest trial before sessions are moved to the new version."""
STEPS = ((0.0, 0.35), (1.0, 0.7), (2.0, 1.0))
"""Seconds since the end of the trial, and the share from then on: a version that fails
under load only shows it before it has all of the traffic."""
MOST_COMPARED = 0.7
"""Share of the new version up to which latencies are compared."""
SUSPICION_PART = 0.75
"""Part of the time limit until which a suspected version stays on trial."""
SESSION_MARGIN_S = 1.0
"""Time on top of a session's pause for requests that end after they were counted."""
MAX_SESSIONS = 4096
NEVER_S = 1e9


class Progress(msgspec.Struct, frozen=True, kw_only=True):
    """Tell the other instances how far a roll-out has come at this one."""

    service: str
    number: int
    elapsed_s: float
    share: float
    old_running: int
    """Requests that still run on the old version."""
    alarm: str | None = None
    is_suspicious: bool = False
    """Whether the sender's bets against the version are ahead of what is usual."""
    base: str | None = None
    """The version that was in force before the order, as far as the sender knows."""


class VersionPlan:
    """Choose between the versions of one service."""

    __slots__ = (
        "_bounds",
        "_moved",
        "_old_running",
        "_ready_at",
        "_seen",
        "_started_at",
        "_suspected",
        "_trial_end",
        "_used",
        "base",
        "order",
        "rejected",
        "saw_before",
        "service",
        "state",
        "trial",
    )

    def __init__(self, *, service: str, bounds: RoutingBounds) -> None:
        self.service = service
        self._bounds = bounds
        self.order: RolloutOrder | None = None
        self.state = RolloutState.SUCCEEDED
        self.base: str | None = None
        """The version in force beside the target of the order, once it is known."""
        self.rejected: set[str] = set()
        """Targets of earlier orders that were taken back."""
        self.trial = Trial(number=-1)
        self._started_at = 0.0
        self._ready_at: float | None = None
        self._trial_end: float | None = None
        self._suspected = False
        """Whether the instance that hears of all answers suspects the version."""
        self._old_running = 0
        self._seen: dict[str, float] = {}
        """Sessions whose requests went to the old version from here, and when last;
        also before any order, which may come in the middle of a conversation."""
        self._used: dict[str, float] = {}
        """The same for the sessions that this instance decides on, from anywhere."""
        self._moved: dict[str, float] = {}
        """Those of them that went to the new version, and when they first did."""
        self.saw_before = True
        """Whether this instance served before the order, so that it was told of the
        sessions in use; one that started later can't decide on any."""

    def take_order(
        self, order: RolloutOrder, now: float, *, saw_before: bool = True
    ) -> bool:
        """Begin with an order; return whether it is news."""
        if self.order is not None and order.number <= self.order.number:
            return False
        self._close_order()
        self.rejected.discard(order.target)
        self.order = order
        self.saw_before = saw_before
        self.state = RolloutState.RUNNING
        self.trial = Trial(number=order.number)
        self._started_at = now
        self._ready_at = None
        self._trial_end = None
        self._suspected = False
        self._used.clear()
        self._moved.clear()
        return True

    def _close_order(self) -> None:
        """Keep what the order before has left in force."""
        if self.order is None:
            return
        if self.state is RolloutState.SUCCEEDED:
            self.base = self.order.target
        else:
            self.rejected.add(self.order.target)

    def note_versions(self, listed: Mapping[str, int]) -> None:
        """Learn which version is in force while just one is listed."""
        if self.order is None and len(listed) == 1:
            self.base = next(iter(listed))

    def find_base(self, listed: Mapping[str, int]) -> str | None:
        """Return the version in force beside the target, among those listed.

        Failure: the servers of a target that was taken back stay listed for seconds.
        Taken for the version in force, it gets all that isn't on trial, and its
        failures pass for the usual ones of the version that is.
        """
        target = self.order.target if self.order is not None else None
        found = [v for v in listed if v != target and v not in self.rejected]
        if self.base in found:
            return self.base
        # Nobody told of it: the one with most servers has been there for longest, and
        # of two alike the one that was named first.
        return min(found, key=lambda v: (-listed[v], _split(v)), default=None)

    def take_status(self, status: RolloutStatus, now: float) -> None:
        """Take over what the store or the conductor says of the present order."""
        if self.order is None or status.target != self.order.target:
            return
        if status.number not in (0, self.order.number):
            return
        if self.state is RolloutState.RUNNING:
            self.state = status.state
            # A restarted instance begins to count at its start; the record knows more.
            self._started_at = min(self._started_at, now - status.elapsed_s)

    def take_progress(self, progress: Progress, now: float) -> None:
        """Take in how far another instance is."""
        if self.order is None or progress.number != self.order.number:
            return
        self._started_at = min(self._started_at, now - progress.elapsed_s)
        if self.base is None and progress.base != self.order.target:
            self.base = progress.base
        if progress.alarm is not None and self.trial.alarm is None:
            self.trial.alarm = progress.alarm

    def take_verdict(self, progress: Progress, now: float) -> None:
        """Take in what the instance concludes that hears of all answers."""
        self.take_progress(progress, now)
        if self.order is not None and progress.number == self.order.number:
            self._suspected = progress.is_suspicious

    def compares(self, now: float) -> bool:
        """Tell whether enough still runs on the old version to compare latencies with.

        Once nearly all traffic has moved, a burst or a lost server would be held
        against the new version, as nothing shows that the old one suffers as well.
        """
        return self.share(now) <= MOST_COMPARED

    def note_target(self, *, usable: bool, now: float) -> None:
        """Note whether backend servers of the new version may take work."""
        if usable and self._ready_at is None:
            self._ready_at = now
        elif not usable:
            self._ready_at = None
            self._trial_end = None

    @property
    def has_begun(self) -> bool:
        """Tell whether backend servers of the new version may take work."""
        return self._ready_at is not None

    @property
    def is_reverted(self) -> bool:
        """Tell whether the newest order's version was taken back."""
        return self.state is RolloutState.REVERTED

    @property
    def is_running(self) -> bool:
        """Tell whether a roll-out is under way."""
        return self.order is not None and self.state is RolloutState.RUNNING

    def elapsed(self, now: float) -> float:
        """Return the seconds since the order."""
        return max(0.0, now - self._started_at)

    def share(self, now: float) -> float:
        """Return the part of the sessions that goes to the new version."""
        order = self.order
        if order is None or self.state is RolloutState.REVERTED:
            return 0.0
        if self.state is RolloutState.SUCCEEDED:
            return 1.0
        if self.trial.alarm is not None or self._ready_at is None:
            return 0.0
        if self.elapsed(now) < SETTLE_S:
            return 0.0
        if not self._is_trial_over(now):
            return self._trial_share
        assert self._trial_end is not None
        since = now - self._trial_end
        return max(share for after, share in STEPS if since >= after)

    @property
    def _trial_share(self) -> float:
        return self._bounds.exposure_share * TRIAL_PART

    def _is_trial_over(self, now: float) -> bool:
        if self._trial_end is not None:
            return True
        assert self.order is not None and self._ready_at is not None
        elapsed = self.elapsed(now)
        limit = self.order.time_limit_s
        if elapsed < limit * HALF or now - self._ready_at < LEAST_TRIAL_S:
            return False
        is_suspicious = self.trial.is_suspicious or self._suspected
        if is_suspicious and elapsed < limit * SUSPICION_PART:
            return False
        self._trial_end = now
        return True

    def choose(self, session: str, now: float) -> bool:
        """Return whether a request of a session goes to the new version.

        Where `is_contested` holds, the instance that decides on the session must agree.
        """
        share = self.share(now)
        return share >= 1.0 or (share > 0.0 and self._is_in(session, share))

    def is_contested(self, session: str, now: float) -> bool:
        """Tell whether a session that may be in use would move before the half."""
        return self.share(now) > 0.0 and self.may_move_early(session)

    def may_move_early(self, session: str) -> bool:
        """Tell whether the trial may move a session, now or once it has settled."""
        if not self.is_running or self._trial_end is not None:
            return False
        return self._is_in(session, self._trial_share)

    def decide(self, session: str, now: float) -> bool:
        """Return for all instances whether a contested session moves.

        One instance decides on each session, so that two requests in the same moment
        get the same answer. A session in use stays where it is for the first half: its
        caller would get another version in the middle of a conversation.
        """
        if session in self._moved:
            return True
        if not self.is_contested(session, now):
            return False
        if now - self._used.get(session, -NEVER_S) < self._pause_s:
            self._used[session] = now
            return False
        self._moved[session] = now
        return True

    def take_uses(self, ages: Mapping[str, float], now: float) -> None:
        """Note sessions on the old version and the seconds since their last request."""
        for session, age_s in ages.items():
            used_at = now - age_s
            self._used[session] = max(self._used.get(session, -NEVER_S), used_at)
            # Whoever asked did not get the answer and stayed on the old version.
            if used_at > self._moved.get(session, NEVER_S):
                del self._moved[session]

    def list_uses(self, now: float) -> dict[str, float]:
        """Return the sessions seen here whose turn may come, and how long ago."""
        if self.order is None:
            return {}
        self._forget(now)
        share = self._trial_share
        return {
            session: round(now - at, 2)
            for session, at in self._seen.items()
            if self._is_in(session, share)
        }

    def started_old(self, session: str, now: float) -> None:
        """Count a request of a session that goes to the old version."""
        self._old_running += 1
        self._note_old(session, now)

    def ended_old(self, session: str, now: float) -> None:
        """Count the end of a request on the old version."""
        self._old_running = max(0, self._old_running - 1)
        self._note_old(session, now)

    def progress(self, now: float) -> Progress | None:
        """Return what to tell the others, while a roll-out is under way."""
        if self.order is None or self.state is not RolloutState.RUNNING:
            return None
        return Progress(
            service=self.service,
            number=self.order.number,
            elapsed_s=round(self.elapsed(now), 2),
            share=self.share(now),
            old_running=self._old_running,
            alarm=self.trial.alarm,
            is_suspicious=self.trial.is_suspicious,
            base=self.base,
        )

    def _is_in(self, session: str, share: float) -> bool:
        assert self.order is not None
        return draw(f"{self.service}/{self.order.number}", session) < share

    def _note_old(self, session: str, now: float) -> None:
        self._seen[session] = now
        if len(self._seen) > MAX_SESSIONS:
            self._forget(now)

    @property
    def _pause_s(self) -> float:
        return self._bounds.session_s + SESSION_MARGIN_S

    def _forget(self, now: float) -> None:
        recent = now - self._pause_s
        self._seen = {s: at for s, at in self._seen.items() if at > recent}


def _split(version: str) -> list[tuple[int, str]]:
    """Return a version's name in the order in which people count: v9 before v10."""
    return [
        (int(part), "") if part.isdigit() else (0, part)
        for part in re.split(r"(\d+)", version)
    ]


def judge_rollout(
    plan: VersionPlan, others: Iterable[Progress], members: int, now: float
) -> RolloutState:
    """Return what the conductor writes of a roll-out now.

    `others` are the other instances' latest words, `members` their number.
    """
    if plan.order is None or plan.state is not RolloutState.RUNNING:
        return plan.state
    if plan.trial.alarm is not None:
        return RolloutState.REVERTED
    own = plan.progress(now)
    assert own is not None
    words = [p for p in others if p.number == plan.order.number]
    if any(word.alarm is not None for word in words):
        return RolloutState.REVERTED
    if own.share < 1.0:
        return RolloutState.RUNNING
    # The old version is stopped at once when this is written: whoever still runs
    # something there would see it cut.
    moved = [w for w in words if w.share >= 1.0 and w.old_running == 0]
    if own.old_running == 0 and len(moved) >= members:
        return RolloutState.SUCCEEDED
    late = plan.elapsed(now) >= plan.order.time_limit_s * LATEST_PART
    return RolloutState.SUCCEEDED if late else RolloutState.RUNNING


LATEST_PART = 0.88
"""Part of the time limit after which the move is ended though some requests run on:
their streams can be resumed, a missed limit can't be made good."""
