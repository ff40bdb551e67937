"""The records, peer messages, settings and effects of billing."""

from __future__ import annotations

import enum

import msgspec

from baobabthread.errors import Kind, Problem, Ran


class BillOutcome(enum.StrEnum):
    """Say how a billed request ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    UNKNOWN = "unknown"
    """Its entry died; the cost is the estimate that it gave on opening."""


class BilledAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one attempt of the cascade inside a bill."""

    version: str
    tokens: int
    cost: float


class BillRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a request that is about to be dispatched."""

    request_id: str
    account: str
    service: str
    key: str = ""
    """The caller's idempotency key, empty if it sent none."""
    estimate: float = 0.0


class Settlement(msgspec.Struct, frozen=True, kw_only=True):
    """Tell how a request ended and what it costs."""

    outcome: BillOutcome
    cost: float
    tokens: int
    attempts: list[BilledAttempt] = []


class OpenBill(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Copy an open bill to a peer."""

    request_id: str
    bill_id: str
    account: str
    service: str
    estimate: float
    opened_s: float


class BillRecord(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Hold one bill as it stands in the log; the record's id is the bill's id."""

    request_id: str
    bill_id: str
    account: str
    service: str
    outcome: BillOutcome
    cost: float
    tokens: int
    opened_s: float
    """Unix time at the entry that opened the bill."""
    settled_by: str
    attempts: list[BilledAttempt] = []


class CopyBills(msgspec.Struct, frozen=True, kw_only=True, tag="copy_bills"):
    """Open, close and drop copies of bills at a peer, in one batch."""

    owner: str
    batch: int
    opens: list[OpenBill]
    closes: list[BillRecord]
    drops: list[str]
    """Request ids."""
    keep: list[str] | None = None
    """Drop all copies of this owner besides these first; none drops nothing."""


class BillsCopied(msgspec.Struct, frozen=True, kw_only=True, tag="bills_copied"):
    """Acknowledge a batch of copies."""

    batch: int
    full: bool = False
    """The peer's memory is full: it took the closes and drops but no opens."""


class HandOverBills(msgspec.Struct, frozen=True, kw_only=True, tag="hand_over_bills"):
    """Give bills for good to a peer, which appends them."""

    owner: str
    batch: int
    bills: list[BillRecord]


class BillsTaken(msgspec.Struct, frozen=True, kw_only=True, tag="bills_taken"):
    """Acknowledge bills that were given for good."""

    batch: int


class BillOpened(msgspec.Struct, frozen=True, kw_only=True):
    """Tell the shell that a request may be dispatched now."""

    request_id: str
    degraded: bool = False
    """No peer holds a copy: the bill is lost if this entry dies before its append."""


class BillRefused(msgspec.Struct, frozen=True, kw_only=True):
    """Tell the shell that a request can't be billed safely; it was not run."""

    request_id: str
    problem: Problem


class Peer(msgspec.Struct, frozen=True, kw_only=True):
    """Name one live incarnation of another entry."""

    name: str
    failure_domain: str
    is_leaving: bool = False
    """It settles its own bills but takes no more copies."""


class LedgerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Bound the times and the memory of billing."""

    open_timeout_s: float = 0.25
    """How long a peer may take to acknowledge a copy before another is asked."""
    avoid_s: float = 3.0
    """How long a peer that failed is asked last."""
    linger_s: float = 0.05
    """How long closes and drops wait for a batch of opens to travel with."""
    settle_after_s: float = 30.0
    """How long an owner must be reported dead before its bills are settled."""
    append_retry_s: float = 1.0
    append_timeout_s: float = 10.0
    max_appending: int = 500
    max_unsettled: int = 20_000
    max_copies: int = 60_000
    hand_over_size: int = 200


def name_bill(*, account: str, key: str, request_id: str) -> str:
    """Return the id of a bill, the same for every repeat of a caller's key."""
    if key:
        return f"{account}/key/{key}"
    return f"{account}/request/{request_id}"


def problem_full() -> Problem:
    """Say that no more bills may wait in memory."""
    return Problem(
        kind=Kind.BILLING_FULL,
        detail="too many bills wait for the platform's log",
        remedy="repeat the request later or at another address of GET /v1/addresses",
        ran=Ran.NO,
        retry_after_s=1.0,
    )


def problem_alone() -> Problem:
    """Say that the bill would be kept by this entry alone."""
    return Problem(
        kind=Kind.BILLING_FULL,
        detail="neither the platform's log nor another entry can hold the bill",
        remedy="repeat the request at another address of GET /v1/addresses",
        ran=Ran.NO,
        retry_after_s=1.0,
    )
