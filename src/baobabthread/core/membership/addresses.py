"""Addresses given to callers, and the departure of an entry that stops."""

from __future__ import annotations

import enum
from collections.abc import Iterable

import msgspec
from transitions import Machine

from baobabthread.core.membership.messages import MemberInfo
from baobabthread.core.rendezvous import rank


class AddressSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Set how many addresses callers get and how long they may keep them."""

    lifetime_s: float = 10.0
    margin_s: float = 2.0
    """Time that a leaving entry serves on after the last answer has run out."""
    limit: int = 8


class Address(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one address for callers."""

    name: str
    address: str
    failure_domain: str
    incarnation: str


class AddressAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer which entries a caller may connect to, best first."""

    lifetime_s: float
    """Seconds for which the caller may keep this answer."""
    addresses: list[Address]


def answer_addresses(
    *,
    me: MemberInfo,
    serving: Iterable[MemberInfo],
    caller: str,
    failure_domain: str | None,
    settings: AddressSettings,
) -> AddressAnswer:
    """Return the live entries for a caller: near ones first, spread over callers."""
    by_name = {member.name: member for member in serving}
    if not by_name:
        # With an empty answer a caller has nowhere to go, though this entry has just
        # answered it; even a leaving entry serves until the lifetime has passed.
        by_name = {me.name: me}
    ranked = [by_name[name] for name in rank(caller, by_name)]
    near = failure_domain or me.failure_domain
    ranked.sort(key=lambda member: member.failure_domain != near)
    return AddressAnswer(
        lifetime_s=settings.lifetime_s,
        addresses=[_address(member) for member in _mix(ranked, settings.limit)],
    )


def _mix(ranked: list[MemberInfo], limit: int) -> list[MemberInfo]:
    """Return the first ones, the last of which lies in another failure domain."""
    chosen = ranked[:limit]
    if not chosen or limit < 2:
        return chosen
    # Addresses of one failure domain only would strand the caller when it fails.
    if len({member.failure_domain for member in chosen}) == 1:
        home = chosen[0].failure_domain
        others = [m for m in ranked[limit:] if m.failure_domain != home]
        chosen[-1:] = others[:1] or chosen[-1:]
    return chosen


def _address(member: MemberInfo) -> Address:
    return Address(
        name=member.name,
        address=member.address,
        failure_domain=member.failure_domain,
        incarnation=member.incarnation,
    )


class DepartureState(enum.StrEnum):
    """Order the life of an entry."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    STOPPED = "stopped"


class Departure:
    """Time a graceful stop, so that no caller is cut or sent to a closed door."""

    __slots__ = ("_left_at", "_life", "_settings")

    def __init__(self, *, settings: AddressSettings) -> None:
        self._settings = settings
        self._left_at = 0.0
        self._life = Machine(
            states=[str(state) for state in DepartureState],
            transitions=[[name, str(old), str(new)] for name, old, new in _STEPS],
            initial=str(DepartureState.STARTING),
            auto_transitions=False,
        )

    @property
    def state(self) -> DepartureState:
        """Give where in its life the entry is."""
        return DepartureState(self._life.state)

    @property
    def is_listed(self) -> bool:
        """Tell whether callers may be given this entry's address."""
        return self.state is DepartureState.SERVING

    @property
    def accepts(self) -> bool:
        """Tell whether new requests are served."""
        return self.state in (DepartureState.SERVING, DepartureState.LEAVING)

    def open(self) -> None:
        """Begin to serve."""
        self._life.serve()

    def leave(self, now: float) -> None:
        """Take this entry out of the addresses at once; it goes on serving."""
        if self.state in (DepartureState.LEAVING, DepartureState.STOPPED):
            return
        self._left_at = now
        self._life.depart()

    def closes_at(self) -> float:
        """Return when the last answer that named this entry has surely run out."""
        # A caller may have been given this address a moment before it left, by an
        # entry that had not heard of it: closing at once would refuse that caller.
        return self._left_at + self._settings.lifetime_s + self._settings.margin_s

    def is_drained(self, *, in_flight: int, now: float) -> bool:
        """Tell whether the entry may stop; `in_flight` counts unfinished requests."""
        if self.state is not DepartureState.LEAVING:
            return self.state is DepartureState.STOPPED
        return in_flight == 0 and now >= self.closes_at()

    def stop(self) -> None:
        """Mark the entry stopped, after it was drained or its patience ended."""
        if self.state is not DepartureState.STOPPED:
            self._life.stop()


_STEPS = [
    ("serve", DepartureState.STARTING, DepartureState.SERVING),
    ("depart", DepartureState.STARTING, DepartureState.LEAVING),
    ("depart", DepartureState.SERVING, DepartureState.LEAVING),
    ("stop", DepartureState.LEAVING, DepartureState.STOPPED),
    ("stop", DepartureState.STARTING, DepartureState.STOPPED),
]
