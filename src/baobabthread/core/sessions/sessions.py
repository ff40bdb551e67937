"""Sessions: which version a request of a session runs on, and who remembers it."""

from __future__ import annotations

import enum
from collections import OrderedDict
from collections.abc import Iterable, Mapping

import msgspec

from baobabthread.core.configuration.configuration import (
    Account,
    Configuration,
    Version,
    VersionState,
)
from baobabthread.core.membership.messages import MemberInfo
from baobabthread.core.rendezvous import choose, rank
from baobabthread.core.sessions.tokens import Pin, SessionKey, SessionKeyRing

__all__ = [
    "Holders",
    "Moved",
    "NamedSession",
    "NoVersion",
    "Pin",
    "Pinned",
    "SessionKey",
    "SessionKeyRing",
    "SessionTable",
    "Started",
    "choose_holders",
    "may_keep",
    "may_start",
    "resolve",
]


class SessionPut(msgspec.Struct, frozen=True, kw_only=True, tag="session.put"):
    """Give a peer a named session to remember, as owner or as copy."""

    session: NamedSession


class SessionGet(msgspec.Struct, frozen=True, kw_only=True, tag="session.get"):
    """Ask a peer for a named session."""

    account: str
    service: str
    name: str


class SessionIs(msgspec.Struct, frozen=True, kw_only=True, tag="session.is"):
    """Answer what a peer remembers of a named session."""

    account: str
    service: str
    name: str
    session: NamedSession | None


class NamedSession(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the version of a session that the caller named itself."""

    name: str
    pin: Pin
    sequence: int = 0
    """Raised by each move, so that the newest of two copies counts."""


class Started(msgspec.Struct, frozen=True, kw_only=True, tag="started"):
    """Tell that the session is new and was given this version."""

    version: str


class Pinned(msgspec.Struct, frozen=True, kw_only=True, tag="pinned"):
    """Tell that the session keeps its version."""

    version: str


class MoveReason(enum.StrEnum):
    """Tell why a session could not keep its version."""

    WITHDRAWN = "withdrawn"
    NOT_ALLOWED = "not_allowed"


class Moved(msgspec.Struct, frozen=True, kw_only=True, tag="moved"):
    """Tell that the session was given another version, which the caller is told."""

    version: str
    old: str
    reason: MoveReason


class NoVersion(msgspec.Struct, frozen=True, kw_only=True, tag="no_version"):
    """Tell that no version may serve the request."""

    reason: str


def may_keep(
    *,
    configuration: Configuration,
    account: Account,
    service: str,
    version: str,
    quarantined: frozenset[str] = frozenset(),
) -> bool:
    """Return whether a running session may stay on a version."""
    known = configuration.versions.get(version)
    if known is None or known.service != service or version in quarantined:
        return False
    return _is_in_use(known) and _is_allowed(account, service, version)


def may_start(
    *,
    configuration: Configuration,
    account: Account,
    service: str,
    version: str,
    quarantined: frozenset[str] = frozenset(),
) -> bool:
    """Return whether a new session may begin on a version."""
    known = configuration.versions.get(version)
    if known is None or known.state is not VersionState.OFFERED:
        return False
    return may_keep(
        configuration=configuration,
        account=account,
        service=service,
        version=version,
        quarantined=quarantined,
    )


def resolve(
    *,
    configuration: Configuration,
    account_name: str,
    service: str,
    session: str,
    pinned: str | None,
    shares: Mapping[str, float],
    quarantined: frozenset[str] = frozenset(),
) -> Started | Pinned | Moved | NoVersion:
    """Decide the version of a session.

    `pinned` is the version of its token or of its owner's memory. `shares` gives the
    weight of each candidate for new sessions, roll-outs included; equal arguments give
    an equal choice at every entry. `quarantined` versions count as withdrawn.
    """
    account = configuration.accounts.get(account_name)
    if account is None or service not in configuration.services:
        return NoVersion(reason="no such account or service")
    if pinned is not None and may_keep(
        configuration=configuration,
        account=account,
        service=service,
        version=pinned,
        quarantined=quarantined,
    ):
        return Pinned(version=pinned)
    chosen = _choose_new(
        configuration, account, account_name, service, session, shares, quarantined
    )
    if chosen is None:
        return NoVersion(reason="no version is offered that the account allows")
    if pinned is None:
        return Started(version=chosen)
    reason = _move_reason(configuration, service, pinned, quarantined)
    return Moved(version=chosen, old=pinned, reason=reason)


def _choose_new(
    configuration: Configuration,
    account: Account,
    account_name: str,
    service: str,
    session: str,
    shares: Mapping[str, float],
    quarantined: frozenset[str],
) -> str | None:
    offered = {
        version: weight
        for version, weight in shares.items()
        if may_start(
            configuration=configuration,
            account=account,
            service=service,
            version=version,
            quarantined=quarantined,
        )
    }
    # A share of 0 keeps sessions away while others are there; it is better than none.
    if offered and not any(weight > 0 for weight in offered.values()):
        offered = dict.fromkeys(offered, 1.0)
    return choose(f"{account_name}/{service}/{session}", offered)


def _is_in_use(version: Version) -> bool:
    # A withdrawn version gets no new request, from a running session neither: its
    # token was sealed before and says nothing about today.
    return version.state is not VersionState.WITHDRAWN


def _is_allowed(account: Account, service: str, version: str) -> bool:
    # A token outlives changes of the account: what it allowed then may be forbidden.
    if service not in account.services:
        return False
    return not account.versions or version in account.versions


def _move_reason(
    configuration: Configuration,
    service: str,
    pinned: str,
    quarantined: frozenset[str],
) -> MoveReason:
    known = configuration.versions.get(pinned)
    if known is None or known.service != service or pinned in quarantined:
        return MoveReason.WITHDRAWN
    if not _is_in_use(known):
        return MoveReason.WITHDRAWN
    return MoveReason.NOT_ALLOWED


class Holders(msgspec.Struct, frozen=True, kw_only=True):
    """Name the entries that remember a named session."""

    owner: str
    copy: str | None
    """Another entry, in another failure domain where there is one."""


def choose_holders(
    *, account: str, service: str, name: str, serving: Iterable[MemberInfo]
) -> Holders | None:
    """Return who remembers a session; equal members give equal holders."""
    members = {member.name: member for member in serving}
    ranked = [members[n] for n in rank(_key(account, service, name), members)]
    if not ranked:
        return None
    owner, others = ranked[0], ranked[1:]
    # The copy is what is left when the owner's failure domain goes down as a whole.
    apart = [m for m in others if m.failure_domain != owner.failure_domain]
    copies = apart or others
    return Holders(owner=owner.name, copy=copies[0].name if copies else None)


class SessionTable:
    """Remember named sessions, the least recently used ones dropped at a bound."""

    __slots__ = ("_limit", "_sessions")

    def __init__(self, *, limit: int = 20_000) -> None:
        self._limit = limit
        self._sessions: OrderedDict[str, NamedSession] = OrderedDict()

    def __len__(self) -> int:
        return len(self._sessions)

    def put(self, session: NamedSession) -> NamedSession:
        """Remember a session unless a newer one is held; return the one that counts."""
        key = name_session(session)
        held = self._sessions.get(key)
        if held is not None and not self._is_newer(session, held):
            self._sessions.move_to_end(key)
            return held
        self._sessions[key] = session
        self._sessions.move_to_end(key)
        while len(self._sessions) > self._limit:
            self._sessions.popitem(last=False)
        return session

    def get(
        self, *, account: str, service: str, name: str, now: float
    ) -> NamedSession | None:
        """Return a session that is not over; `now` in seconds since the epoch."""
        key = _key(account, service, name)
        held = self._sessions.get(key)
        if held is None:
            return None
        if now >= held.pin.expires_at:
            del self._sessions[key]
            return None
        self._sessions.move_to_end(key)
        return held

    def find(self, key: str) -> NamedSession | None:
        """Return a session by the name that `name_session` gives it."""
        return self._sessions.get(key)

    def all(self) -> list[NamedSession]:
        """Return all sessions, to be handed over when this entry stops."""
        return list(self._sessions.values())

    def _is_newer(self, session: NamedSession, held: NamedSession) -> bool:
        # Two entries may start the same session, each with its own share of a roll-out,
        # or a new owner starts again what another one remembers. Whichever copy comes
        # first, all holders end up with the session that began first.
        if session.sequence != held.sequence:
            return session.sequence > held.sequence
        if session.pin.version != held.pin.version:
            return _begin(session) < _begin(held)
        return session.pin.expires_at > held.pin.expires_at


def name_session(session: NamedSession) -> str:
    """Return a text that names a session among all sessions."""
    return _key(session.pin.account, session.pin.service, session.name)


def _key(account: str, service: str, name: str) -> str:
    return f"{len(account)}:{account}{len(service)}:{service}{name}"


def _begin(session: NamedSession) -> str:
    """Return a text that orders sessions by when they began, then by version."""
    pin = session.pin
    return f"{pin.expires_at:020.6f}/{pin.generation:020d}/{pin.version}"
