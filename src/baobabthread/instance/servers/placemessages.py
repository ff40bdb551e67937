"""Messages between instances about places at brittle backend servers."""

from __future__ import annotations

import msgspec

from baobabthread.core.configuration.configuration import Priority


class PlaceRequest(msgspec.Struct, frozen=True, kw_only=True, tag="places.ask"):
    """Request a place at a brittle server for one request."""

    sequence: int
    server: str
    """Incarnation of the server."""
    capacity: int
    """Requests that it runs concurrently."""
    priority: Priority
    lasts_s: float
    """Time after which the request has certainly ended."""
    patience_s: float = 0.0
    """Time for which it waits for a place if none is free."""


class PlaceReply(msgspec.Struct, frozen=True, kw_only=True, tag="places.reply"):
    """Grant or deny a place, and again when a request that waited gets its place."""

    sequence: int
    is_owner: bool = True
    """Whether the sender considers itself the server's owner."""
    is_granted: bool = False
    server: str = ""
    """Incarnation of the server of a granted place."""
    is_waiting: bool = False
    """Whether the request gets a place if one becomes free within its patience."""
    wait_s: float = 0.0
    """Time before asking again."""
    incarnation: str = ""
    """Incarnation of the owner, which knows of no earlier place after a restart."""


class PlaceEnded(msgspec.Struct, frozen=True, kw_only=True, tag="places.ended"):
    """Report to a server's owner that a granted place is free again."""

    sequence: int
    server: str
    earlier: tuple[int, ...] = ()
    """Places that ended before, whose reports may be lost."""


class PlaceHeld(msgspec.Struct, frozen=True, kw_only=True, tag="places.held"):
    """Report a place to a new owner, which has not granted it."""

    sequence: int
    server: str
    lasts_s: float


class PlaceRejected(msgspec.Struct, frozen=True, kw_only=True, tag="places.rejected"):
    """Report to a server's owner that it rejected a request for lack of room."""

    server: str
    capacity: int
    borne: float
    """Rejections within a second that it bears."""


class PlaceCheck(msgspec.Struct, frozen=True, kw_only=True, tag="places.check"):
    """Ask an instance to report again which of its places have ended."""

    server: str
    numbers: list[int]


PLACE_MESSAGES = (
    PlaceRequest,
    PlaceReply,
    PlaceEnded,
    PlaceHeld,
    PlaceRejected,
    PlaceCheck,
)
