"""Typed errors that render their own message, remedy and exit code."""

from __future__ import annotations

import enum

import msgspec


class Ran(enum.StrEnum):
    """Say whether a request may have had an effect on a backend server."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class Kind(enum.StrEnum):
    """Name what went wrong with a request, stable for callers to match on."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_CALL = "unknown_call"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SECTION = "unknown_section"
    NOT_FOUND = "not_found"
    TOO_LARGE = "too_large"
    CONFLICT = "conflict"
    INVALID_CONFIGURATION = "invalid_configuration"
    KEY_EXPIRED = "key_expired"
    KEY_REUSED = "key_reused"
    NO_VERSION = "no_version"
    NO_BACKEND = "no_backend"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    NOT_CONFIGURED = "not_configured"
    CUT_OFF = "cut_off"
    LOG_UNAVAILABLE = "log_unavailable"
    BILLING_FULL = "billing_full"
    LEAVING = "leaving"
    OWNER_GONE = "owner_gone"
    BACKEND_FAILED = "backend_failed"
    BACKEND_REFUSED = "backend_refused"
    INCOMPLETE = "incomplete"
    INTERNAL = "internal"


STATUS: dict[Kind, int] = {
    Kind.BAD_REQUEST: 400,
    Kind.UNAUTHENTICATED: 401,
    Kind.FORBIDDEN: 403,
    Kind.UNKNOWN_SERVICE: 404,
    Kind.UNKNOWN_CALL: 404,
    Kind.UNKNOWN_MODEL: 404,
    Kind.UNKNOWN_SECTION: 404,
    Kind.NOT_FOUND: 404,
    Kind.TOO_LARGE: 413,
    Kind.CONFLICT: 409,
    Kind.INVALID_CONFIGURATION: 422,
    Kind.KEY_EXPIRED: 422,
    Kind.KEY_REUSED: 422,
    Kind.NO_VERSION: 403,
    Kind.NO_BACKEND: 503,
    Kind.OVERLOADED: 429,
    Kind.DEADLINE: 504,
    Kind.NOT_CONFIGURED: 503,
    Kind.CUT_OFF: 503,
    Kind.LOG_UNAVAILABLE: 503,
    Kind.BILLING_FULL: 503,
    Kind.LEAVING: 503,
    Kind.OWNER_GONE: 502,
    Kind.BACKEND_FAILED: 502,
    Kind.BACKEND_REFUSED: 503,
    Kind.INCOMPLETE: 502,
    Kind.INTERNAL: 500,
}


class Problem(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Describe one refused or failed request (RFC 9457 problem details)."""

    kind: Kind
    detail: str
    remedy: str
    ran: Ran
    retry_after_s: float | None = None
    request_id: str | None = None

    @property
    def status(self) -> int:
        """Give the HTTP status for this kind."""
        return STATUS[self.kind]


class BaobabthreadError(Exception):
    """Carry a message and a remedy to the person at the command line."""

    exit_code = 1

    def __init__(self, message: str, *, remedy: str) -> None:
        super().__init__(message)
        self.message = message
        self.remedy = remedy

    def render(self) -> str:
        """Return the text shown to the user."""
        return f"Error: {self.message}\nRemedy: {self.remedy}"


class UsageError(BaobabthreadError):
    """Report a setting or argument that can't be used."""

    exit_code = 2


class ConfigurationError(BaobabthreadError):
    """Report a configuration text that can't be accepted."""

    exit_code = 2

    def __init__(self, message: str, *, field: str, remedy: str) -> None:
        super().__init__(f"{field}: {message}", remedy=remedy)
        self.field = field


class UnavailableError(BaobabthreadError):
    """Report an outside system that did not answer."""

    exit_code = 3


class RequestError(BaobabthreadError):
    """Stop handling one request and answer it with a problem."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.detail, remedy=problem.remedy)
        self.problem = problem
