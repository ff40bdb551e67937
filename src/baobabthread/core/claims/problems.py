"""The problems that claims answer with; each says whether the request ran."""

from __future__ import annotations

from baobabthread.core.claims.types import ClaimRequest, Refuse
from baobabthread.errors import Kind, Problem, Ran

BOUND_REMEDY = (
    "repeat it with a bound key, INCARNATION/your-own-id~<unix seconds>, at the "
    "address of that incarnation; GET /v1/addresses lists them"
)


def problem_log_down(retry_after_s: float) -> Problem:
    """Say that a free key needs the log."""
    return Problem(
        kind=Kind.LOG_UNAVAILABLE,
        detail="a free key needs the platform's log, which can't be reached",
        remedy=BOUND_REMEDY,
        ran=Ran.NO,
        retry_after_s=retry_after_s,
    )


def problem_slow_claim() -> Problem:
    """Say that a claim was given up before its dispatch."""
    return Problem(
        kind=Kind.LOG_UNAVAILABLE,
        detail="the key could not be claimed in time",
        remedy=f"repeat it with the same key, or {BOUND_REMEDY}",
        ran=Ran.NO,
        retry_after_s=1.0,
    )


def problem_leaving() -> Problem:
    """Say that this incarnation dispatches nothing more."""
    return Problem(
        kind=Kind.LEAVING,
        detail="this entry is stopping",
        remedy="repeat it at another address of GET /v1/addresses, with a new key",
        ran=Ran.NO,
    )


def refuse_malformed(request: ClaimRequest) -> Refuse:
    """Refuse a key that is malformed or lacks its mint time."""
    problem = Problem(
        kind=Kind.BAD_REQUEST,
        detail="the idempotency key is malformed or has no valid mint time",
        remedy="send own-id~<unix seconds of now> or INCARNATION/own-id~<seconds>",
        ran=Ran.NO,
    )
    return Refuse(request_id=request.request_id, problem=problem)


def refuse_expired(request: ClaimRequest) -> Refuse:
    """Refuse a key that is older than the memory of keys."""
    problem = Problem(
        kind=Kind.KEY_EXPIRED,
        detail="the idempotency key is too old to know whether it ran before",
        remedy="find out whether it took effect before you send it with a new key",
        ran=Ran.UNKNOWN,
    )
    return Refuse(request_id=request.request_id, problem=problem)


def refuse_reused(request: ClaimRequest) -> Refuse:
    """Refuse a key that came with another body."""
    problem = Problem(
        kind=Kind.KEY_REUSED,
        detail="the idempotency key was used for another body",
        remedy="mint a key of its own for each request",
        ran=Ran.NO,
    )
    return Refuse(request_id=request.request_id, problem=problem)


def refuse_unstored(request: ClaimRequest) -> Refuse:
    """Say that the request ran and its answer is gone."""
    problem = Problem(
        kind=Kind.KEY_EXPIRED,
        detail="the request ran; its answer is no longer stored",
        remedy="don't repeat it: it took effect",
        ran=Ran.YES,
    )
    return Refuse(request_id=request.request_id, problem=problem)


def refuse_unminted(request: ClaimRequest) -> Refuse:
    """Refuse one more bound key that would never expire."""
    problem = Problem(
        kind=Kind.OVERLOADED,
        detail="this incarnation keeps no more bound keys without a mint time",
        remedy="end the key in ~<unix seconds>, or bind it to another incarnation",
        ran=Ran.NO,
    )
    return Refuse(request_id=request.request_id, problem=problem)


def refuse_gone(request: ClaimRequest, ran: Ran) -> Refuse:
    """Say what is known of a key whose incarnation is gone."""
    remedies = {
        Ran.NO: "repeat it with a new key at another address of GET /v1/addresses",
        Ran.UNKNOWN: "find out whether it took effect before you send a new key",
    }
    problem = Problem(
        kind=Kind.OWNER_GONE,
        detail="the incarnation that alone may run this key is gone",
        remedy=remedies[ran],
        ran=ran,
    )
    return Refuse(request_id=request.request_id, problem=problem)
