"""Which version a session uses while one of its attempts runs."""

from __future__ import annotations

from baobabthread.instance.clock import now
from baobabthread.instance.context import RequestContext
from baobabthread.instance.sessions import SessionCoordinator
from baobabthread.routing.versions import VersionPlan


class SessionUse:
    """Record the use of a version by an attempt, and report it to the session's owners.

    A version that a roll-out has brought into force is the old one of the next order,
    which may come while the attempt runs.
    """

    __slots__ = ("_analysis", "_context", "_is_canary", "_plan", "_sessions")

    def __init__(
        self,
        *,
        context: RequestContext,
        plan: VersionPlan,
        sessions: SessionCoordinator,
    ) -> None:
        self._context = context
        self._plan = plan
        self._sessions = sessions
        self._analysis = plan.analysis
        self._is_canary = bool(context.on_new_version) and plan.is_running
        if self._is_canary:
            plan.pins.record_new_started(context.session)
        else:
            plan.record_old_started(context.session, now())
        self._report()

    def end(self) -> None:
        """Record the end of the attempt."""
        if self._plan.analysis is not self._analysis:
            # Another order has come meanwhile.
            self._is_canary = False
        if self._is_canary:
            self._plan.pins.record_new_ended(self._context.session)
        else:
            self._plan.record_old_ended(self._context.session, now())
        self._report()

    def _report(self) -> None:
        if self._context.is_sessionless:
            return
        if self._is_canary:
            self._sessions.report_new(self._plan, self._context.session)
        else:
            self._sessions.report_old(self._plan, self._context.session)
