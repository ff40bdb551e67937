"""The settings, requests and effects of claims."""

from __future__ import annotations

import math

import msgspec

from baobabthread.core.claims.handover import Outcome
from baobabthread.core.claims.keys import ClaimKey
from baobabthread.errors import Problem


class ClaimSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Bound the times and the memory of claims."""

    key_lifetime_s: float = 900.0
    """Age at which a key is refused; less than the log's retention."""
    clock_skew_s: float = 60.0
    """Bound on the difference between two unix clocks."""
    claim_wait_s: float = 3.0
    """How long a claim may take from its append to its dispatch."""
    log_retry_s: float = 0.5
    """How long new claims are refused after the log refused one."""
    release_retry_s: float = 1.0
    answer_lifetime_s: float = 300.0
    max_answer_bytes: int = 262_144
    max_stored_bytes: int = 16_777_216
    max_keys: int = 200_000
    max_unminted: int = 50_000
    """Bound keys without a mint time, kept as long as the incarnation lives."""


class ClaimRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a non-idempotent request that wants to be dispatched."""

    request_id: str
    account: str
    key: str
    body_hash: str
    deadline_at: float = math.inf
    """Monotonic seconds."""


class Dispatch(msgspec.Struct, frozen=True, kw_only=True):
    """Ask the shell to send the request to a backend server, now and once."""

    request_id: str
    key: ClaimKey


class Forward(msgspec.Struct, frozen=True, kw_only=True):
    """Ask the shell to pass the request to the incarnation that may dispatch it."""

    request_id: str
    incarnation: str


class Join(msgspec.Struct, frozen=True, kw_only=True):
    """Tell the shell that the request waits for a running one of its key."""

    request_id: str
    key: ClaimKey


class Replay(msgspec.Struct, frozen=True, kw_only=True):
    """Answer the request with the stored outcome of its key."""

    request_id: str
    outcome: Outcome


class Refuse(msgspec.Struct, frozen=True, kw_only=True):
    """Answer the request with a problem."""

    request_id: str
    problem: Problem
