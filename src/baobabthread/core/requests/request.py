"""The state of one request at the entry that handles it."""

from __future__ import annotations

import enum

from baobabthread.core.billing.types import BilledAttempt
from baobabthread.core.claims.keys import ClaimKey
from baobabthread.core.configuration.configuration import Call, Priority
from baobabthread.core.events import RequestArrived
from baobabthread.core.services import ServiceState
from baobabthread.core.sessions.tokens import Pin


class Phase(enum.Enum):
    """Order the phases of a request."""

    SESSION = "session"
    """Waits for the entry that remembers its named session."""
    CLAIM = "claim"
    """Waits for the log, for the running request of its key, or for another entry."""
    QUEUE = "queue"
    BILL = "bill"
    """Waits for a peer's copy of its bill."""
    RUNNING = "running"
    ENDED = "ended"


class Request:
    """Hold what the entry knows of a request until it has been answered."""

    __slots__ = (
        "account",
        "arrived",
        "attempts",
        "backend",
        "bill_key",
        "billed",
        "body_hash",
        "call",
        "claim",
        "completion_tokens",
        "cost",
        "deadline_at",
        "dispatched",
        "estimated_wait_s",
        "excluded",
        "first_seen_at",
        "keep_plan",
        "moved",
        "phase",
        "pin",
        "plan",
        "position",
        "prefix_key",
        "priority",
        "prompt_tokens",
        "resume_from",
        "sealed",
        "sealed_for",
        "service",
        "started_at",
        "tokens",
        "turned_down",
        "versions",
        "work",
    )

    def __init__(
        self,
        *,
        arrived: RequestArrived,
        account: str,
        service: ServiceState,
        call: Call,
        now: float,
        tokens: int,
    ) -> None:
        self.arrived = arrived
        self.account = account
        self.service = service
        self.call = call
        self.first_seen_at = now
        self.started_at = now
        self.deadline_at = now + (arrived.deadline_s or call.deadline_s)
        self.priority: Priority = arrived.priority or call.priority
        self.phase = Phase.QUEUE
        self.tokens = tokens
        """Estimate of its tokens, by which it is queued and charged."""
        self.claim: ClaimKey | None = None
        self.bill_key = ""
        self.billed: list[BilledAttempt] = []
        self.body_hash = ""
        self.versions: tuple[str, ...] = ()
        """Versions that may answer it, in cascade order."""
        self.plan: list[str] = []
        self.position = 0
        self.keep_plan = False
        """Whether a session or the caller chose its version."""
        self.pin: Pin | None = None
        self.sealed: str | None = None
        """The session's token for the version `sealed_for`; making one costs."""
        self.sealed_for = ""
        self.moved = False
        self.turned_down = ""
        self.prefix_key: int | None = None
        self.attempts = 0
        self.backend = ""
        self.excluded: set[str] = set()
        self.dispatched = False
        """Whether any byte of it may have reached a backend server."""
        self.resume_from = 0
        self.cost = 0.0
        self.prompt_tokens = 0
        self.completion_tokens = 0
        self.work = 0
        """What all its attempts took, in generated tokens."""
        self.estimated_wait_s = 0.0

    @property
    def id(self) -> str:
        """Give the request's id."""
        return self.arrived.request_id

    @property
    def version(self) -> str | None:
        """Give the version that is to answer; plain services have none."""
        return self.plan[self.position] if self.plan else None

    @property
    def is_last(self) -> bool:
        """Tell whether no other version may follow."""
        return self.position + 1 >= len(self.plan)
