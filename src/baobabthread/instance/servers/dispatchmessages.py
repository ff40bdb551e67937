"""Messages between instances about requests that a group's owner assigns.

Their fields have short outer names: with hundreds of instances these messages are most
of what instances send each other.
"""

from __future__ import annotations

import enum
import math

import msgspec

from baobabthread.core.backends.loads import Part
from baobabthread.core.configuration.configuration import Priority
from baobabthread.routing.servers.lineuse import LineUse
from baobabthread.routing.servers.occupancy import Demand, Ending
from baobabthread.routing.servers.turns import Ask, Turn


def _short(name: str) -> str:
    """Return the outer name of a field."""
    return _OUTER_NAMES.get(name, name)


_OUTER_NAMES = {
    "group": "g",
    "number": "n",
    "account": "a",
    "priority": "p",
    "lasts_s": "l",
    "patience_s": "pa",
    "work_s": "w",
    "reading_s": "r",
    "prompt_tokens": "pt",
    "memory_tokens": "mt",
    "parts": "ps",
    "failure_domain": "f",
    "version": "v",
    "excluded": "x",
    "only": "o",
    "server": "s",
    "kept_tokens": "k",
    "wait_s": "ws",
    "state": "st",
    "earlier": "e",
    "incarnation": "i",
    "is_estimate": "q",
    "retry_after_s": "ra",
    "numbers": "ns",
    "is_owner": "ow",
    "held": "h",
    "has_begun": "b",
    "uses": "u",
}


class _Message(msgspec.Struct, frozen=True, omit_defaults=True, rename=_short):
    """Base of these messages: fields with their defaults are left out."""


class Answer(enum.StrEnum):
    """An owner's answer to an ask."""

    ASSIGNED = "a"
    QUEUED = "q"
    REFUSED = "r"
    NOT_OWNER = "n"


class DispatchAsk(_Message, frozen=True, kw_only=True, tag="d.ask"):
    """Ask the owner of a group for a server for one request; times in seconds."""

    group: str
    number: int
    work_s: float
    lasts_s: float
    patience_s: float | None = None
    """Time for which it waits for its turn at most."""
    priority: int = 1
    account: str = ""
    failure_domain: str = ""
    version: str | None = None
    excluded: tuple[str, ...] = ()
    only: tuple[str, ...] = ()
    reading_s: float = 0.0
    prompt_tokens: int = 0
    memory_tokens: int = 0
    parts: tuple[Part, ...] = ()
    is_estimate: bool = False
    """Whether nothing is to be assigned: only what the request would meet is asked."""


class DispatchReply(_Message, frozen=True, kw_only=True, tag="d.re"):
    """Answer an ask, at once and again when a request that waited gets its server."""

    number: int
    state: Answer
    server: str = ""
    kept_tokens: int = 0
    wait_s: float = 0.0
    retry_after_s: float = 0.0
    incarnation: str = ""
    """Incarnation of the owner, which knows of no earlier request after a restart."""


class DispatchReport(_Message, frozen=True, kw_only=True, tag="d.end"):
    """Report to a group's owner what became of a request."""

    group: str
    number: int
    state: Ending
    earlier: tuple[int, ...] = ()
    """Requests that ended before: those reports may be lost."""


class HeldRequest(_Message, frozen=True, kw_only=True):
    """A request under way that the owner did not assign."""

    number: int
    server: str
    work_s: float
    lasts_s: float
    reading_s: float = 0.0
    prompt_tokens: int = 0
    memory_tokens: int = 0
    parts: tuple[Part, ...] = ()
    failure_domain: str = ""
    has_begun: bool = False
    """Whether the first part of its response has arrived."""


class DispatchHeld(_Message, frozen=True, kw_only=True, tag="d.held"):
    """Tell a group's owner of requests that it did not assign."""

    group: str
    held: list[HeldRequest]
    uses: list[LineUse] = []
    """What the instance knows of accounts, for a new owner."""


class DispatchCheck(_Message, frozen=True, kw_only=True, tag="d.check"):
    """Ask an instance which of its requests are still under way."""

    group: str
    numbers: list[int]


class DispatchStatus(_Message, frozen=True, kw_only=True, tag="d.are"):
    """Reply to a check with the requests that are still under way."""

    group: str
    numbers: list[int]
    """All requests that were asked for."""
    held: list[int]
    """Those of them that are under way."""


def make_demand(message: DispatchAsk | HeldRequest) -> Demand:
    """Return what the request of a message would take at a server."""
    return Demand(
        work_s=message.work_s,
        reading_s=message.reading_s,
        prompt_tokens=message.prompt_tokens,
        memory_tokens=message.memory_tokens,
        parts=message.parts,
        failure_domain=message.failure_domain,
    )


def make_ask(message: DispatchAsk) -> Ask:
    """Return what a message asks a group's owner for."""
    return Ask(
        demand=make_demand(message),
        turn=Turn(
            account=message.account,
            priority=list(Priority)[message.priority],
            lasts_s=message.lasts_s,
            patience_s=math.inf if message.patience_s is None else message.patience_s,
        ),
        version=message.version,
        excluded=message.excluded,
        only=message.only,
    )


DISPATCH_MESSAGES = (
    DispatchAsk,
    DispatchReply,
    DispatchReport,
    DispatchHeld,
    DispatchCheck,
    DispatchStatus,
)
