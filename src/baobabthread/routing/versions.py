"""Which version of a service a request goes to while traffic moves between versions.

A version is on trial with a small share of the sessions, chosen by a hash of their
names. One instance decides on each; what it has let onto the new version stays there
until that is taken back, so that the sum of what the version gets is bounded where
sessions are let in. It takes over all at once, just before the time limit: a version
that fails only under load shows it with the last of that sum, not before.
"""

from __future__ import annotations

from collections.abc import Mapping

from baobabthread.core.requests.attempts import draw
from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.configuration import (
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)
from baobabthread.routing.exposure import (
    Bursts,
    EndRoom,
    Exposure,
    ExposureBudget,
    Rate,
    find_trial_share,
)
from baobabthread.routing.lineage import Lineage
from baobabthread.routing.permission import Permission
from baobabthread.routing.pins import SessionPins
from baobabthread.routing.progress import Progress
from baobabthread.routing.trial import Trial

SETTLE_S = 1.0
"""Time after an order in which instances hand over which sessions are in use."""
SESSION_MARGIN_S = 1.0
"""Time on top of a session's pause for requests that end after they were counted."""
CLOSING_PART = 0.15
LEAST_CLOSING_S = 1.5
"""Time before a limit from which on a version may take over, as a part of the limit and
at least: whoever decides on a session is asked for all of them then."""
CLOSING_MARGIN_S = 0.5
"""What instances may differ by in the time since the order."""


class VersionPlan:
    """Choose between the versions of one service."""

    __slots__ = (
        "_final_at",
        "_old_running",
        "_ready_at",
        "_servers",
        "_started_at",
        "bounds",
        "bursts",
        "end_room",
        "exposure",
        "known_total",
        "lineage",
        "order",
        "permission",
        "pins",
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
        self.permission = Permission()
        self._final_at: float | None = None
        """When the instance that leads let the new version take over."""
        self.end_room = EndRoom()
        self.exposure = ExposureBudget()
        self.known_total = Exposure()
        """What all have sent at least, by anybody's word."""
        self.rate = Rate()
        """Requests a second that this instance sends to the service."""
        self._old_running = 0
        self.pins = SessionPins(pause_s=bounds.session_s + SESSION_MARGIN_S)
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
        self.permission = Permission()
        if saw_before:
            self.permission.confirm(asked_at=now)
        self._final_at = None
        self.end_room = EndRoom()
        self.exposure = ExposureBudget()
        self.known_total = Exposure()
        self.rate = Rate()
        self.pins.begin()
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
        self.known_total = self.known_total.join(progress.total)
        if progress.alarm is not None and self.trial.alarm is None:
            self.trial.alarm = progress.alarm

    def take_verdict(self, progress: Progress, now: float) -> None:
        """Take in what the instance concludes that hears of all answers."""
        self.take_progress(progress, now)
        is_ours = self.order is not None and progress.number == self.order.number
        if is_ours and progress.is_final:
            self.begin_final(now, part=progress.end_part)
        if is_ours and self.is_running:
            self.state = progress.state

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
            return 1.0 if self.permission.left_s(now) > 0.0 else 0.0
        if self.elapsed(now) < SETTLE_S or self.permission.permitted_s(now) <= 0.0:
            return 0.0
        return self.trial_share

    def permit(self, *, asked_at: float, admits: bool = True) -> None:
        """Go on with the trial: the one that leads knows all that was known then here.

        Failure: an instance that is cut from the others, but not from the store, goes
        on with a version that they have taken back, and nobody hears what it sees.
        """
        self.permission.permit(asked_at=asked_at, admits=admits)

    def may_stay(self, now: float) -> bool:
        """Tell whether requests of sessions on the new version may still go there."""
        if not self.is_running or self.trial.alarm is not None:
            return False
        return self._ready_at is not None and self.permission.left_s(now) > 0.0

    def is_closing(self, now: float) -> bool:
        """Tell whether the new version may take over in a moment, or has done so."""
        most_s = self.closing_s + CLOSING_MARGIN_S
        return self.is_running and (self.is_final or self.left_s(now) <= most_s)

    @property
    def closing_s(self) -> float:
        """Give the time before the limit from which on it may take over."""
        assert self.order is not None
        return max(LEAST_CLOSING_S, CLOSING_PART * self.order.time_limit_s)

    @property
    def is_final(self) -> bool:
        """Tell whether the new version takes over all requests, or has done so."""
        return self._final_at is not None or (
            self.order is not None and self.state is RolloutState.SUCCEEDED
        )

    def begin_final(self, now: float, *, part: float | None = None) -> None:
        """Let the new version take over; `part` bounds what is decided on here."""
        if self._final_at is None:
            self._final_at = now
            self.end_room = EndRoom(part=part)
            self.trial.begin_final()
            self.exposure.begin_final(self.rate.per_s() * self.left_s(now))

    def try_expose(self, session: str | None, now: float) -> bool:
        """Take an attempt at the new version out of what it may get, if any is left.

        Sessions were let in before; what follows is only counted.
        """
        if session is None and self.is_running and self.left_s(now) > 0.0:
            return self.exposure.try_reserve(self.trial_share)
        self.exposure.reserve()
        return True

    def ready_s(self, now: float) -> float:
        """Return the seconds since servers of the new version may take work."""
        return now - self._ready_at if self._ready_at is not None else 0.0

    def left_s(self, now: float) -> float:
        """Return the seconds that are left of the order's time limit."""
        assert self.order is not None
        return max(0.0, self.order.time_limit_s - self.elapsed(now))

    def choose(self, session: str, now: float) -> bool:
        """Return whether a session that begins now is one for the new version.

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
        """Tell whether whoever decides on a session must be asked for its version."""
        if not self.is_running or not self.has_begun:
            return False
        return self.is_closing(now) or self.may_move_early(session)

    def may_move_early(self, session: str) -> bool:
        """Tell whether the trial may move a session, now or once it has settled."""
        is_early = self.is_running and self._final_at is None
        return is_early and self.is_chosen(session)

    def is_chosen(self, session: str) -> bool:
        """Tell whether a session is one of those that the trial may move."""
        return self._is_in(session, self.trial_share)

    def knows_uses(self, now: float) -> bool:
        """Tell whether this instance has heard all along which sessions are in use."""
        heard_s = now - self.permission.renewed_at
        return self.saw_before and heard_s >= self.pins.pause_s

    def may_have_moved(self, session: str) -> bool:
        """Tell whether a session may be on the new version by now."""
        return self.is_final or self.may_move_early(session)

    def decide(self, session: str, now: float) -> bool:
        """Return for all instances whether a contested session moves.

        One instance decides on each session, so that two requests in the same moment
        get the same answer. A session in use stays where it is for the first half: its
        caller would get another version in the middle of a conversation.
        """
        if not self.is_running or self.trial.alarm is not None:
            return self.state is RolloutState.SUCCEEDED
        if self.pins.is_admitted(session):
            if self.is_final:
                self.end_room.count()
            return True
        if self.is_final:
            return self._admit_at_end(session, now)
        if not self.permission.may_admit(now) or not self.choose(session, now):
            return False
        if self.pins.is_in_use(session, now):
            self.pins.keep(session, now)
            return False
        self.pins.admit(session)
        return True

    def _admit_at_end(self, session: str, now: float) -> bool:
        assert self.order is not None
        drawn = draw(f"{self.service}/{self.order.number}/end", session)
        if self.left_s(now) > 0.0 and not self.end_room.has_room(drawn):
            return False
        self.end_room.count()
        self.pins.admit(session)
        return True

    def is_past_half(self, now: float) -> bool:
        """Tell whether sessions in use may change to the new version as well."""
        assert self.order is not None
        return self.left_s(now) < self.order.time_limit_s / 2 - SESSION_MARGIN_S

    def list_uses(self, now: float) -> dict[str, float]:
        """Return the sessions seen here whose turn may come, and how long ago."""
        if self.order is None:
            return {}
        seen = self.pins.list_old(now).items()
        return {s: round(now - at, 2) for s, at in seen if self.is_chosen(s)}

    def started_old(self, session: str, now: float) -> None:
        """Count a request of a session that goes to the old version."""
        self._old_running += 1
        self.pins.start_old(session, now)

    def ended_old(self, session: str, now: float) -> None:
        """Count the end of a request on the old version."""
        self._old_running = max(0, self._old_running - 1)
        self.pins.end_old(session, now)

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
            has_begun=self.has_begun,
            total=self.known_total,
            end_part=self.end_room.part,
        )

    def _is_in(self, session: str, share: float) -> bool:
        assert self.order is not None
        return draw(f"{self.service}/{self.order.number}", session) < share
