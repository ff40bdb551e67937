"""What callers are told when a request is not answered."""

from __future__ import annotations

from baobabthread.core.events import Broken, Refused
from baobabthread.core.requests.request import Request
from baobabthread.errors import Kind, Problem, Ran

NO_BACKEND_RETRY_S = 1.0
CUT_OFF_RETRY_S = 2.0
BUSY = "busy"


def explain_deadline(request: Request, now: float) -> Problem:
    """Tell that the deadline passed before an answer."""
    return Problem(
        kind=Kind.DEADLINE,
        detail="the deadline has passed before an answer",
        remedy="send a longer deadline, or come back when load is lower",
        ran=_tell_ran(request),
        retry_after_s=request.service.queue.retry_after(now),
        request_id=request.id,
    )


def explain_no_backend(request: Request) -> Problem:
    """Tell that no backend server takes work."""
    what = f"version '{request.version}'" if request.version else "the service"
    return Problem(
        kind=Kind.NO_BACKEND,
        detail=f"no backend server for {what} takes work now",
        remedy="come back after the time given",
        ran=_tell_ran(request),
        retry_after_s=NO_BACKEND_RETRY_S,
        request_id=request.id,
    )


def explain_no_version(request: Request) -> Problem:
    """Tell that the account may use no version that is offered."""
    return Problem(
        kind=Kind.NO_VERSION,
        detail=f"account '{request.account}' may use no version that is offered now",
        remedy="ask the operator to allow or offer a version",
        ran=_tell_ran(request),
        request_id=request.id,
    )


def explain_no_account(request: Request) -> Problem:
    """Tell that the account was removed while the request waited."""
    return Problem(
        kind=Kind.FORBIDDEN,
        detail=f"account '{request.account}' may not use '{request.service.name}' now",
        remedy="ask the operator to add the service to the account",
        ran=_tell_ran(request),
        request_id=request.id,
    )


def explain_cut_off(request: Request) -> Problem:
    """Tell that the entry lost touch while the request waited."""
    return Problem(
        kind=Kind.CUT_OFF,
        detail="this entry is cut off from the log and from most entries",
        remedy="use another address, or come back",
        ran=Ran.NO,
        retry_after_s=CUT_OFF_RETRY_S,
        request_id=request.id,
    )


def explain_overload(request: Request, retry_after_s: float) -> Problem:
    """Tell that the request would wait past its deadline."""
    return Problem(
        kind=Kind.OVERLOADED,
        detail="the request would wait past its deadline",
        remedy="come back after the time given, or send a longer deadline",
        ran=Ran.NO,
        retry_after_s=retry_after_s,
        request_id=request.id,
    )


def explain_account_limit(request: Request, retry_after_s: float) -> Problem:
    """Tell that the account has used its tokens."""
    return Problem(
        kind=Kind.OVERLOADED,
        detail=f"account '{request.account}' has used its tokens per second",
        remedy="come back after the time given, or ask for a higher limit",
        ran=Ran.NO,
        retry_after_s=retry_after_s,
        request_id=request.id,
    )


def explain_refused(request: Request, refused: Refused) -> Problem:
    """Tell that the backend server refused the request and did not run it."""
    busy = refused.kind == BUSY
    return Problem(
        kind=Kind.OVERLOADED if busy else Kind.BACKEND_REFUSED,
        detail=f"the backend server refused the request ({refused.kind})",
        remedy="come back after the time given",
        ran=_tell_ran(request),
        retry_after_s=refused.retry_after_s or NO_BACKEND_RETRY_S,
        request_id=request.id,
    )


def explain_broken(request: Request, broken: Broken) -> Problem:
    """Tell that no whole answer came."""
    return Problem(
        kind=Kind.INCOMPLETE if broken.sent else Kind.BACKEND_FAILED,
        detail=f"the backend server gave no whole answer ({broken.reason})",
        remedy="repeat it if it may run twice; else ask what became of it",
        ran=_tell_ran(request),
        retry_after_s=NO_BACKEND_RETRY_S,
        request_id=request.id,
    )


def explain_gone(request: Request) -> Problem:
    """Tell that the caller closed its connection."""
    return Problem(
        kind=Kind.BAD_REQUEST,
        detail="the caller closed its connection",
        remedy="send the request again",
        ran=_tell_ran(request),
        request_id=request.id,
    )


def _tell_ran(request: Request) -> Ran:
    return Ran.UNKNOWN if request.dispatched else Ran.NO
