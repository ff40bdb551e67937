"""What callers and backend servers saw during one run, and which faults were on."""

from __future__ import annotations

import enum
import math
import time

import msgspec


def now() -> float:
    """Return seconds on the clock by which everything here is noted."""
    return time.monotonic()


class Kind(enum.StrEnum):
    """Name the kinds of requests that callers send."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    OPEN = "open"
    STREAM = "stream"
    ONCE = "once"

    @property
    def may_repeat(self) -> bool:
        """Tell whether a request may run more than once."""
        return self in (Kind.SAFE, Kind.OPEN, Kind.STREAM)

    @property
    def is_stream(self) -> bool:
        """Tell whether answers are events."""
        return self in (Kind.STREAM, Kind.ONCE)


class Call(msgspec.Struct, kw_only=True):
    """Hold one request as its caller saw it."""

    id: str
    kind: Kind
    instance: int
    key: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    """0 where no answer came."""
    signed: bool = False
    own_id: bool = False
    whole: bool = False
    body: bytes = b""
    event_ids: list[int] = []
    stray: bytes = b""
    """Begin of what is no whole event of a stream."""
    wrote_all: bool = False
    """Whether every byte of the request was handed to the system."""
    kept: bool = False
    """Whether it went out on a connection that had carried another one."""
    mark: str = ""
    """Names what every server crashes under; requests with the same one are alike."""
    part: str = ""
    """Part of its prompt under which every server crashes; no two of them are alike."""


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one request as a backend server saw it."""

    id: str
    backend: str
    service: str
    version: str
    at: float
    executed: bool
    """False where the backend server said that it did not run it."""
    sound: bool
    """Whether it answers whole and in order."""
    account: str
    leaked: bool
    """Whether the caller's key was passed on."""
    failure_domain: str = ""
    is_cold: bool = False
    """Whether the backend server had told that it is cold."""
    crashes: bool = False
    """Whether the backend server crashes under it."""
    limit: float | None = None
    """Requests a second that its answer names as the server's limit."""
    leaving: bool = False
    """Whether its answer says that the server leaves."""
    rest_s: float | None = None
    """Rest in seconds that its answer asks for."""
    running: int = 1
    """Requests that the backend server then ran, this one included."""


class Fault(msgspec.Struct, kw_only=True):
    """Hold one fault; `instance` is None where it may touch all of them."""

    name: str
    began_at: float
    ended_at: float = 0.0
    instance: int | None = None


class Evacuated(msgspec.Struct, kw_only=True):
    """Hold from when to when a failure domain was evacuated, by the store's word."""

    failure_domain: str
    from_s: float
    to_s: float = math.inf


class Homes(msgspec.Struct, frozen=True, kw_only=True):
    """Hold from when on a kind of requests had these homes."""

    kind: Kind
    from_s: float
    areas: tuple[str, ...]
    """None at all where the requests may be served anywhere."""


class Brittle(msgspec.Struct, kw_only=True):
    """Hold when a service said that its servers are brittle, and their falls."""

    service: str
    servers: int
    from_s: float
    to_s: float = math.inf
    falls: list[str] = []
    """Servers that fell over because they had to reject too often."""


class Crowded(msgspec.Struct, kw_only=True):
    """Hold when a crowd asked for a service whose servers run few requests at once."""

    service: str
    slots: int
    """Requests that each of its servers runs at once."""
    from_s: float
    to_s: float = math.inf


class EndlessResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Hold how much a backend server sent of a response without end."""

    backend: str
    behaviour: str
    sent_bytes: int


class Rejecting(msgspec.Struct, kw_only=True):
    """Hold from when to when a backend server rejected all requests."""

    backend: str
    service: str
    from_s: float
    to_s: float = math.inf


class Withdrawal(msgspec.Struct, frozen=True, kw_only=True):
    """Hold when the store had taken in that a server leaves or is gone."""

    backend: str
    at: float


class History(msgspec.Struct, kw_only=True):
    """Hold all that happened in one run."""

    seed: int
    calls: list[Call] = []
    runs: list[Run] = []
    faults: list[Fault] = []
    revoked: dict[str, float] = {}
    """Keys and when the store had taken in their removal."""
    own_ends: list[str] = []
    """Processes that ended by themselves."""
    calm_from: float = 0.0
    """When the last fault had ended and the time to recover was over."""
    evacuated: list[Evacuated] = []
    homes: list[Homes] = []
    brittle: list[Brittle] = []
    rejecting: list[Rejecting] = []
    crowded: list[Crowded] = []
    withdrawals: list[Withdrawal] = []
    endless: list[EndlessResponse] = []
    peak_mb: dict[int, float] = {}
    """Most memory that instances took, as seen after such responses."""
    areas: dict[str, str] = {}
    """Areas by failure domain."""
    evacuation_s: float = 3.0
    apply_s: float = 2.0
    most_cold: float = 8.0
    """Requests that a cold server may get within a second."""
    account_of: dict[str, str] = {}
    last_event: int = 0
    """Id of the last event of each whole stream."""
    revocation_s: float = 3.0
    time_limit_s: float = 2.0
    """Longest time for which a request is kept waiting."""
    retry_ratio: float = 0.9
    retry_extra: float = 52.0

    def runs_by_id(self) -> dict[str, list[Run]]:
        """Return what ran, and what did not, for each request."""
        found: dict[str, list[Run]] = {}
        for run in self.runs:
            found.setdefault(run.id, []).append(run)
        return found

    def disturbed(self, instance: int, start: float, end: float) -> list[str]:
        """Return the faults that may have touched an instance in that time."""
        return [
            fault.name
            for fault in self.faults
            if fault.began_at <= end
            and (fault.ended_at or end) >= start
            and fault.instance in (None, instance)
        ]
