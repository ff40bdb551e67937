"""Transfer of named sessions to the entries that hold them after a change."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from baobabthread.core.membership.messages import MemberInfo
from baobabthread.core.messages import Effects, Send
from baobabthread.core.rendezvous import outranks
from baobabthread.core.sessions.sessions import (
    Holders,
    NamedSession,
    SessionPut,
    SessionTable,
    choose_holders,
    name_session,
)

SESSIONS_PER_STEP = 200


class SessionTransfers:
    """Send the sessions of this entry's table to holders that lack them.

    Without it an entry that joins becomes the owner of sessions that it never heard
    of, answers so, and they begin anew on another version. A change of the members is
    followed up in steps, since a table may hold many sessions.
    """

    __slots__ = ("_holders", "_joined", "_me", "_pending", "_serving", "_table")

    def __init__(self, *, me: str, table: SessionTable) -> None:
        self._me = me
        self._table = table
        self._serving: dict[str, MemberInfo] = {}
        self._joined: set[str] = set()
        self._holders: dict[str, Holders] = {}
        self._pending: deque[str] = deque()

    def observe(self, serving: Iterable[MemberInfo]) -> None:
        """Take in which entries serve now; call it when the members changed."""
        now = {member.name: member for member in serving}
        if now.keys() == self._serving.keys():
            return
        # An unfinished pass may not have looked at those that joined before it.
        joined = now.keys() - self._serving.keys()
        self._joined = joined | self._joined if self._pending else joined
        self._serving = now
        held = {name_session(session): None for session in self._table.all()}
        self._holders = {k: h for k, h in self._holders.items() if k in held}
        self._pending = deque(held)

    def step(self) -> Effects:
        """Return the messages for the next sessions that have to be followed up."""
        effects: Effects = []
        for _ in range(min(SESSIONS_PER_STEP, len(self._pending))):
            session = self._table.find(self._pending.popleft())
            if session is not None:
                effects += self._follow_up(session)
        return effects

    def _follow_up(self, session: NamedSession) -> Effects:
        key = name_session(session)
        before = self._holders.get(key)
        if before is not None and not self._may_change(key, before):
            return []
        after = choose_holders(
            account=session.pin.account,
            service=session.pin.service,
            name=session.name,
            serving=self._serving.values(),
        )
        if after is None:
            return []
        self._holders[key] = after
        if not self._is_sender(before):
            return []
        known = {self._me} | (_list_holders(before) if before else set())
        lacking = _list_holders(after) - known
        return [
            Send(to=n, message=SessionPut(session=session)) for n in sorted(lacking)
        ]

    def _may_change(self, key: str, before: Holders) -> bool:
        """Tell whether a change of members can concern a session; mostly not."""
        holders = _list_holders(before)
        if before.copy is None or not holders <= self._serving.keys():
            return True
        domains = {self._serving[name].failure_domain for name in holders}
        if len(domains) < len(holders):
            return True
        return any(outranks(key, name, before.copy) for name in self._joined)

    def _is_sender(self, before: Holders | None) -> bool:
        # Every entry that remembers the session would send it. One of the former
        # holders is enough while any is there; else whoever has it sends it.
        if before is None:
            return True
        for name in (before.owner, before.copy):
            if name in self._serving:
                return name == self._me
        return True


def _list_holders(holders: Holders) -> set[str]:
    copies = {holders.copy} if holders.copy is not None else set()
    return {holders.owner} | copies
