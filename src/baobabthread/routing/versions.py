"""Which version of a service a request goes to while traffic moves between versions.

A version is on trial with a small share of the sessions, chosen by a hash of their
names, so that instances agree without talk and no session moves back. It takes over all
at once, just before the time limit: what it may get until then is bounded as a sum, and
a version that fails only under load shows it with the last of that sum, not before.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from baobabthread.core.requests.attempts import draw
from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.configuration import (
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)
from baobabthread.routing.exposure import (
    MOVE_FACTOR,
    STAY_PART,
    Bursts,
    ExposureBudget,
    Rate,
    find_trial_share,
)
from baobabthread.routing.lineage import Lineage
from baobabthread.routing.trial import Trial

SETTLE_S = 1.0
"""Time after an order in which instances hand over which sessions are in use."""
PERMIT_S = 2.5
"""Time for which a trial goes on without another word of the one that leads it."""
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
    is_final: bool = False
    """Whether the new version takes over all requests."""
    base: str | None = None
    """The version that was in force before the order, as far as the sender knows."""


class VersionPlan:
    """Choose between the versions of one service."""

    __slots__ = (
        "_final_at",
        "_moved",
        "_old_running",
        "_permitted_until",
        "_ready_at",
        "_seen",
        "_seen_new",
        "_servers",
        "_started_at",
        "_used",
        "bounds",
        "bursts",
        "exposure",
        "lineage",
        "order",
        "rate",
        "saw_before",
        "service",
        "state",
        "trial",
        "trial_share",
    )

    def __init__(self, *, service: str, bounds: RoutingBounds) -> None:
        self.service = service
        self.bounds = bounds
        self.order: RolloutOrder | None = None
        self.state = RolloutState.SUCCEEDED
        self.lineage = Lineage()
        self.trial = Trial(number=-1)
        self._started_at = 0.0
        self._servers = 1
        self.trial_share = 0.0
        """Share of the sessions that the newest order's version gets on trial."""
        self.bursts = Bursts(trial_share=0.0, servers=1)
        self._ready_at: float | None = None
        self._permitted_until = -NEVER_S
        self._final_at: float | None = None
        """When the instance that leads let the new version take over."""
        self.exposure = ExposureBudget()
        self.rate = Rate()
        """Requests a second that this instance sends to the service."""
        self._old_running = 0
        self._seen: dict[str, float] = {}
        """Sessions whose requests went to the old version from here, and when last;
        also before any order, which may come in the middle of a conversation."""
        self._used: dict[str, float] = {}
        """The same for the sessions that this instance decides on, from anywhere."""
        self._moved: dict[str, float] = {}
        """Those of them that went to the new version, and when they first did."""
        self._seen_new: dict[str, float] = {}
        """Sessions whose requests went to the new version from here, and when last."""
        self.saw_before = True
        """Whether this instance served before the order, so that it was told of the
        sessions in use; one that started later can't decide on any."""

    def take_order(
        self, order: RolloutOrder, now: float, *, saw_before: bool = True
    ) -> bool:
        """Begin with an order; return whether it is news."""
        if self.order is not None and order.number <= self.order.number:
            return False
        if self.order is not None:
            has_succeeded = self.state is RolloutState.SUCCEEDED
            self.lineage.close(self.order.target, has_succeeded=has_succeeded)
        self.lineage.open(order.target)
        self.order = order
        self.saw_before = saw_before
        self.state = RolloutState.RUNNING
        self.trial = Trial(number=order.number, latencies=self.trial.latencies)
        self.trial_share = find_trial_share(self.bounds, order.time_limit_s)
        self.bursts = Bursts(trial_share=self.trial_share, servers=self._servers)
        self._started_at = now
        self._ready_at = None
        self._permitted_until = -NEVER_S
        self._final_at = None
        self.exposure = ExposureBudget()
        self.rate = Rate()
        self._used.clear()
        self._moved.clear()
        self._seen_new.clear()
        return True

    def is_unproven(self, version: str) -> bool:
        """Tell whether a version is on trial, or was taken back.

        Failure: word of crashes that comes after a version was taken back was held
        against the requests, and good ones were refused for minutes.
        """
        if version in self.lineage.rejected:
            return True
        is_target = self.order is not None and self.order.target == version
        return is_target and self.state is not RolloutState.SUCCEEDED

    def note_versions(self, listed: Mapping[str, int]) -> None:
        """Learn which version is in force before any order."""
        if self.order is None:
            self.lineage.note_listed(listed)

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
        self.lineage.learn(progress.base)
        if progress.alarm is not None and self.trial.alarm is None:
            self.trial.alarm = progress.alarm

    def take_verdict(self, progress: Progress, now: float) -> None:
        """Take in what the instance concludes that hears of all answers."""
        self.take_progress(progress, now)
        is_ours = self.order is not None and progress.number == self.order.number
        if is_ours and progress.is_final:
            self.begin_final(now)

    def note_target(self, *, usable: bool, now: float, servers: int = 1) -> None:
        """Note whether backend servers of the new version may take work, how many."""
        if servers != self._servers:
            self._servers = servers
            self.bursts = Bursts(trial_share=self.trial_share, servers=servers)
        if usable and self._ready_at is None:
            self._ready_at = now
        elif not usable:
            self._ready_at = None

    @property
    def has_begun(self) -> bool:
        """Tell whether backend servers of the new version may take work."""
        return self._ready_at is not None

    @property
    def is_running(self) -> bool:
        """Tell whether a roll-out is under way."""
        return self.order is not None and self.state is RolloutState.RUNNING

    @property
    def is_reverted(self) -> bool:
        """Tell whether the newest order's version was taken back."""
        return self.state is RolloutState.REVERTED

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
        if self._final_at is not None:
            return 1.0
        if self.elapsed(now) < SETTLE_S or not self.is_permitted(now):
            return 0.0
        return self.trial_share

    def is_permitted(self, now: float) -> bool:
        """Tell whether the one that leads lets the trial go on here."""
        return self.permitted_s(now) > 0.0

    def permitted_s(self, now: float) -> float:
        """Return the seconds until the trial pauses here without another permit."""
        return max(0.0, self._permitted_until - now)

    def part_left(self) -> float:
        """Return the attempts at the new version that are left to this instance."""
        return self.exposure.left(STAY_PART * self.bounds.exposure_share)

    def permit(self, *, asked_at: float) -> None:
        """Go on with the trial: the one that leads knows all that was known then here.

        Failure: an instance that is cut from the others, but not from the store, goes
        on with a version that they have taken back, and nobody hears what it sees.
        """
        self._permitted_until = max(self._permitted_until, asked_at + PERMIT_S)

    @property
    def is_final(self) -> bool:
        """Tell whether the new version takes over all requests, or has done so."""
        return self._final_at is not None or (
            self.order is not None and self.state is RolloutState.SUCCEEDED
        )

    def begin_final(self, now: float) -> None:
        """Let the new version take over everything from now on."""
        if self._final_at is None:
            self._final_at = now
            self.trial.begin_final()
            self.exposure.begin_final(self.rate.per_s() * self.left_s(now))

    def try_expose(self, session: str | None, now: float) -> bool:
        """Take an attempt at the new version out of what it may get, if any is left."""
        if not self.is_running or self.left_s(now) <= 0.0:
            self.exposure.reserve()
            return True
        most = STAY_PART * self.bounds.exposure_share
        if session is None:
            return self.exposure.try_reserve(self.trial_share)
        if self.has_moved(session):
            return self.exposure.try_reserve(most)
        return self.exposure.try_reserve(min(most, MOVE_FACTOR * self.trial_share))

    def has_moved(self, session: str) -> bool:
        """Tell whether a session is known to have gone to the new version before."""
        return session in self._moved or session in self._seen_new

    def note_moved(self, session: str, now: float) -> None:
        """Note that a session has gone to the new version."""
        self._seen_new[session] = now
        if len(self._seen_new) > MAX_SESSIONS:
            recent = now - self._pause_s
            self._seen_new = {s: at for s, at in self._seen_new.items() if at > recent}

    def ready_s(self, now: float) -> float:
        """Return the seconds since servers of the new version may take work."""
        return now - self._ready_at if self._ready_at is not None else 0.0

    def left_s(self, now: float) -> float:
        """Return the seconds that are left of the order's time limit."""
        assert self.order is not None
        return max(0.0, self.order.time_limit_s - self.elapsed(now))

    def choose(self, session: str, now: float) -> bool:
        """Return whether a request of a session goes to the new version.

        Where `is_contested` holds, the instance that decides on the session must agree.
        """
        share = self.share(now)
        return share >= 1.0 or (share > 0.0 and self._is_in(session, share))

    def choose_free(self, request: str, now: float) -> bool:
        """Return whether a request without a session goes to the new version."""
        share = self.share(now)
        if 0.0 < share < 1.0:
            is_on = self.bursts.is_on(self.elapsed(now))
            return is_on and self._is_in(request, self.bursts.share)
        return share >= 1.0

    @property
    def is_on_trial(self) -> bool:
        """Tell whether the new version gets no more than its part for the trial."""
        return self.is_running and not self.is_final

    def is_contested(self, session: str, now: float) -> bool:
        """Tell whether a session that may be in use would move before the half."""
        return self.share(now) > 0.0 and self.may_move_early(session)

    def may_move_early(self, session: str) -> bool:
        """Tell whether the trial may move a session, now or once it has settled."""
        if not self.is_running or self._final_at is not None:
            return False
        return self._is_in(session, self.trial_share)

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
        share = self.trial_share
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
            is_final=self.is_final,
            base=self.lineage.base,
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
        return self.bounds.session_s + SESSION_MARGIN_S

    def _forget(self, now: float) -> None:
        recent = now - self._pause_s
        self._seen = {s: at for s, at in self._seen.items() if at > recent}
