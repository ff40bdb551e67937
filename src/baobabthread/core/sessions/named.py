"""Sessions that callers name themselves: who remembers their versions."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from baobabthread.core.membership.messages import MemberInfo
from baobabthread.core.messages import Effects, Send
from baobabthread.core.requests.request import Request
from baobabthread.core.sessions.sessions import (
    Holders,
    NamedSession,
    SessionGet,
    SessionIs,
    SessionPut,
    SessionTable,
    choose_holders,
)
from baobabthread.core.sessions.tokens import Pin
from baobabthread.core.sessions.transfers import SessionTransfers

LOOK_UP_S = 0.1
"""How long a request waits for the entry that remembers its session."""

SessionMessage = SessionPut | SessionGet | SessionIs


class NamedSessions:
    """Remember named sessions here, and ask or tell the entries that hold them."""

    __slots__ = ("_me", "_serving", "_table", "_transfers", "_waiting")

    def __init__(self, *, me: str, serving: Callable[[], Iterable[MemberInfo]]) -> None:
        """Take `serving`, which gives the entries that serve now."""
        self._me = me
        self._serving = serving
        self._table = SessionTable()
        self._transfers = SessionTransfers(me=me, table=self._table)
        self._waiting: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._table)

    def find(self, request: Request, wall_s: float) -> Pin | None:
        """Return what is remembered here of a request's session."""
        held = self._table.get(
            account=request.account,
            service=request.service.name,
            name=request.arrived.session_name or "",
            now=wall_s,
        )
        return held.pin if held is not None else None

    def look_up(self, request: Request, wall_s: float, now: float) -> Effects:
        """Ask who remembers the session; no effect means that nobody else does."""
        if self.find(request, wall_s) is not None:
            return []
        others = self._list_other_holders(request)
        if not others:
            return []
        self._waiting[request.id] = now + LOOK_UP_S
        question = SessionGet(
            account=request.account,
            service=request.service.name,
            name=request.arrived.session_name or "",
        )
        return [Send(to=name, message=question) for name in others]

    def take_due(self, now: float) -> list[str]:
        """Return the requests that have waited long enough for an owner."""
        # An owner that is slow or cut off must not hold a request back: the choice
        # by hash that follows is the same at every entry.
        due = [id_ for id_, at in self._waiting.items() if at <= now]
        for id_ in due:
            del self._waiting[id_]
        return due

    def stop_waiting(self, request_id: str) -> bool:
        """Note that a request goes on; tell whether it was waiting."""
        return self._waiting.pop(request_id, None) is not None

    @property
    def waiting(self) -> list[str]:
        """Give the requests that wait for an owner."""
        return list(self._waiting)

    def remember(self, request: Request, pin: Pin, wall_s: float) -> Effects:
        """Keep a session's version here, at its owner and at the copy."""
        name = request.arrived.session_name
        if not name:
            return []
        held = self._table.get(
            account=request.account, service=request.service.name, name=name, now=wall_s
        )
        if held is not None and held.pin.version == pin.version:
            return []
        sequence = held.sequence + 1 if held is not None else 0
        session = self._table.put(NamedSession(name=name, pin=pin, sequence=sequence))
        message = SessionPut(session=session)
        others = self._list_other_holders(request)
        return [Send(to=name, message=message) for name in others]

    def note_members(self) -> None:
        """Follow a change of who serves."""
        self._transfers.observe(self._serving())

    def tick(self) -> Effects:
        """Send sessions to holders that lack them, some at a time."""
        return self._transfers.step()

    def handle(self, sender: str, message: SessionMessage, wall_s: float) -> Effects:
        """Take in or answer what peers say about sessions."""
        match message:
            case SessionPut(session=session):
                self._table.put(session)
            case SessionGet(account=account, service=service, name=name):
                held = self._table.get(
                    account=account, service=service, name=name, now=wall_s
                )
                answer = SessionIs(
                    account=account, service=service, name=name, session=held
                )
                return [Send(to=sender, message=answer)]
            case SessionIs(session=session) if session is not None:
                self._table.put(session)
        return []

    def hand_over(self) -> Effects:
        """Give each session to those who hold it once this entry is gone."""
        others = [member for member in self._serving() if member.name != self._me]
        effects: Effects = []
        for session in self._table.all():
            holders = choose_holders(
                account=session.pin.account,
                service=session.pin.service,
                name=session.name,
                serving=others,
            )
            message = SessionPut(session=session)
            effects += [Send(to=name, message=message) for name in _list(holders)]
        return effects

    def _list_other_holders(self, request: Request) -> list[str]:
        holders = choose_holders(
            account=request.account,
            service=request.service.name,
            name=request.arrived.session_name or "",
            serving=self._serving(),
        )
        return [name for name in _list(holders) if name != self._me]


def _list(holders: Holders | None) -> list[str]:
    if holders is None:
        return []
    return [holders.owner] if holders.copy is None else [holders.owner, holders.copy]
