"""Messages between instances about the limits that backend servers state."""

from __future__ import annotations

import msgspec

from baobabthread.core.configuration.configuration import Priority


class GrantRequest(msgspec.Struct, frozen=True, kw_only=True, tag="limits.ask"):
    """Request permission to send one request to a limited server."""

    sequence: int
    server: str
    """Incarnation of the server."""
    per_s: float
    """Its limit as known to the sender."""
    told_age_s: float | None
    """Time since a response stated a limit to the sender; None if none did."""
    priority: Priority
    patience_s: float
    lasts_s: float
    """Time after which the request has certainly ended."""


class GrantReply(msgspec.Struct, frozen=True, kw_only=True, tag="limits.reply"):
    """Grant or deny a request to a limited server."""

    sequence: int
    is_owner: bool = True
    """Whether the sender considers itself the server's owner."""
    per_s: float | None = None
    """The limit; None if the server states none any more."""
    is_granted: bool = False
    wait_s: float = 0.0
    """Time to wait before sending, or before asking again."""


class SendEnded(msgspec.Struct, frozen=True, kw_only=True, tag="limits.ended"):
    """Report to a server's owner that a granted request has arrived or ended."""

    sequence: int
    server: str
    has_response: bool
    per_s: float | None = None
    """The limit that the response states, if any."""


class LimitStated(msgspec.Struct, frozen=True, kw_only=True, tag="limits.stated"):
    """Report to a server's owner that a response states a new limit."""

    server: str
    per_s: float


class LimitReport(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of the servers that the sender owns, for all instances."""

    limits: dict[str, float]
    number: int
    """Increases with each report, so that a repeated one counts as new."""


LIMIT_MESSAGES = (GrantRequest, GrantReply, SendEnded, LimitStated)
