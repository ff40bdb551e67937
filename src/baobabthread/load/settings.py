"""What the load tool is asked to do."""

from __future__ import annotations

import enum

import msgspec

from baobabthread.core.configuration.configuration import Priority
from baobabthread.errors import UsageError

MAX_REQUESTS = 5_000_000
MAX_DURATION_S = 86_400.0


class Work(enum.StrEnum):
    """Tell the sorts of requests apart."""

    CHAT = "chat"
    STREAM = "stream"
    PLAIN = "plain"
    BOUND = "bound"
    """A non-idempotent call whose key is bound to one incarnation of one entry."""
    FREE = "free"
    """A non-idempotent call whose key any entry may claim."""


class LoadAccount(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one client account that asks."""

    name: str
    key: str
    weight: float = 1.0
    """Its share of all requests, relative to the other accounts."""


class LoadSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Set whom to ask, for what, how fast and how long."""

    entries: list[str]
    """Base URLs of entries that are asked for the addresses of all."""
    accounts: list[LoadAccount]
    model: str = ""
    """Model service or version; empty asks plain services only."""
    model_call: str = ""
    """Kind of call of the model service."""
    plain_service: str = ""
    plain_call: str = "status"
    keyed_call: str = ""
    """Non-idempotent call of the plain service."""
    shares: dict[Work, float] = msgspec.field(default_factory=lambda: {Work.CHAT: 1.0})
    """How often each sort of request comes, relative to the others."""
    rate_per_s: float = 0.0
    """Open loop at this rate; 0 asks in a closed loop."""
    callers: int = 8
    """Callers, each with its own addresses and session."""
    duration_s: float = 10.0
    max_requests: int = 100_000
    max_in_flight: int = 2_000
    deadline_s: float = 30.0
    grace_s: float = 3.0
    """How long past its deadline a request may stay silent before it is lost."""
    max_attempts: int = 4
    max_tokens: int = 32
    prompt_words: int = 24
    session_share: float = 0.5
    """Share of callers that keep a session."""
    session_requests: int = 50
    """Requests of one session before the next begins."""
    priority: Priority | None = None
    failure_domain: str = ""
    ca_file: str = ""
    """Certificate authority for entries behind TLS."""
    costs: dict[str, float] = {}
    """Price of 1,000 generated tokens by version."""
    backends: list[str] = []
    """Addresses of stand-in backend servers whose runs are counted at the end."""
    standin_answers: bool = False
    """Check each answer's text against the one that stand-in engines give."""
    seed: int = 0
    run: str = ""
    """Name of this run within the callers' own ids; empty takes the time."""
    progress: bool = True
    keep_records: bool = True

    def check(self) -> None:
        """Raise a UsageError for settings that can't be used."""
        if not self.entries:
            raise UsageError("no entry to ask", remedy="give the base URL of one")
        if not self.accounts:
            raise UsageError("no client account", remedy="give one as NAME=KEY")
        if not 0 < self.duration_s <= MAX_DURATION_S:
            raise UsageError(
                f"a duration of {self.duration_s} s",
                remedy=f"give one above 0 and up to {MAX_DURATION_S:.0f} s",
            )
        if not 0 < self.max_requests <= MAX_REQUESTS:
            raise UsageError(
                f"{self.max_requests} requests",
                remedy=f"give a number from 1 to {MAX_REQUESTS}",
            )
        if self.callers < 1 or self.max_in_flight < 1 or self.max_attempts < 1:
            raise UsageError(
                "callers, requests in flight or attempts below 1",
                remedy="give 1 or more of each",
            )
        if self.deadline_s <= 0 or self.rate_per_s < 0:
            raise UsageError(
                "a deadline of 0 or a negative rate", remedy="give positive numbers"
            )
        self._check_shares()

    def _check_shares(self) -> None:
        wanted = {work for work, share in self.shares.items() if share > 0}
        if not wanted or min(self.shares.values()) < 0:
            raise UsageError("no share above 0", remedy="give one of them a share")
        if wanted & {Work.CHAT, Work.STREAM} and not self.model:
            raise UsageError(
                "chat requests without a model", remedy="name a model service"
            )
        if wanted & {Work.PLAIN, Work.BOUND, Work.FREE} and not self.plain_service:
            raise UsageError(
                "calls without a plain service", remedy="name a plain service"
            )
        if wanted & {Work.BOUND, Work.FREE} and not self.keyed_call:
            raise UsageError(
                "keyed calls without a call", remedy="name a non-idempotent call"
            )


def parse_account(text: str) -> LoadAccount:
    """Return the account that `NAME=KEY` or `NAME=KEY=WEIGHT` describes."""
    name, _, rest = text.partition("=")
    key, _, weight = rest.partition("=")
    try:
        number = float(weight or 1)
    except ValueError:
        number = 0.0
    if not name or not key or number <= 0:
        raise UsageError(
            f"'{name}' with its key is not an account",
            remedy="give NAME=KEY or NAME=KEY=WEIGHT with a weight above 0",
        )
    return LoadAccount(name=name, key=key, weight=number)
