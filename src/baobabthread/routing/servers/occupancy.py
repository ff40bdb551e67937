"""Load of one backend server, with what all instances have under way there."""

from __future__ import annotations

import enum
import math
from collections.abc import Container

import msgspec

from baobabthread.core.backends.loads import EngineLoad, Part, Placed, ReadingEnd
from baobabthread.routing.servers.pace import MAX_SLOWNESS, Pace

NEWS_S = 0.005
"""Time in which the report of an end arrives, and the next request at the server."""
AVOIDANCE_S = 0.25
"""Time for which a server is avoided after a loss; doubled by each in a row."""
MAX_AVOIDANCE_S = 4.0
MAX_FAILURES = 3
"""Failures in a row, of any instances' requests, that count as a loss: a request that
fails by itself is followed by others that don't."""
FAR_WAIT_S = 0.01
"""Wait that a server in the caller's own failure domain is worth, as bytes between
failure domains have a price."""
CROWDING = 0.25
"""Part by which a plain server's cost grows until it is full: what runs there is caught
if it gets slow, so that equal servers should share it."""
RUN_S = 0.05
"""Time that any prompt takes at an idle engine besides its reading."""
PACE_WEIGHT = 0.1
"""Seconds of waiting for the first part of a stream that a second by which its other
parts come later is worth."""
READING_WEIGHT = 2.0
"""Seconds of waiting that a second of reading a cached prefix again is worth: what is
read again also delays all others there."""


class Ending(enum.StrEnum):
    """What became of a request at the server to which it was assigned."""

    BEGUN = "b"
    """The first part of its response has arrived; it goes on."""
    ANSWERED = "a"
    FAILED = "f"
    """The server answered with a failure."""
    REJECTED = "r"
    """The server had no room for it."""
    SILENT = "s"
    """The server gave no sign of life."""
    LOST = "l"
    """The connection could not be opened, or ended before the response."""
    DROPPED = "d"
    """It was not sent, or nobody waits for it any more."""


class GroupServer(msgspec.Struct, frozen=True, kw_only=True):
    """What a group's owner knows of a server from its record."""

    capacity: int
    """Requests that it runs concurrently."""
    version: str = ""
    failure_domain: str = ""
    memory_tokens: int = 0
    """Tokens that an engine holds in all; 0 if unknown, or at a plain server."""


class Demand(msgspec.Struct, frozen=True, kw_only=True):
    """What a request would take at a server; times are in seconds."""

    work_s: float
    """Time of its whole response at an idle server of usual speed."""
    reading_s: float = 0.0
    """Time to read its prompt if nothing of it is cached; 0 at a plain server."""
    prompt_tokens: int = 0
    memory_tokens: int = 0
    """Tokens that it occupies at an engine until it has ended."""
    parts: tuple[Part, ...] = ()
    """Shared parts of its prompt."""
    failure_domain: str = ""
    """Failure domain of the instance that sends it."""


class _Task(msgspec.Struct):
    demand: Demand
    started_at: float
    expected_s: float
    """Time of its response, or of reading its prompt, at a server of usual speed."""
    due_at: float
    """When its response, or the first part of it, was expected."""
    until: float
    has_begun: bool = False
    is_old: bool = False
    """Whether it was sent before this owner counted it."""


Key = tuple[str, int]
"""Instance that sends a request, and the number of it there."""


class Trust:
    """Whether a server is to be used, after requests were lost there."""

    __slots__ = ("_avoided_until", "_failures", "_losses")

    def __init__(self) -> None:
        self._avoided_until = -math.inf
        self._failures = 0
        """Failures in a row."""
        self._losses = 0
        """Losses in a row, without those of requests that were under way."""

    def record(self, ending: Ending, now: float) -> None:
        """Learn from how a request ended."""
        match ending:
            case Ending.BEGUN | Ending.ANSWERED:
                self._failures = self._losses = 0
            case Ending.FAILED:
                self._failures += 1
                if self._failures >= MAX_FAILURES or self._losses:
                    self._avoid(now)
            case Ending.LOST | Ending.SILENT | Ending.REJECTED:
                self._avoid(now)

    def is_given(self, under_way: int, now: float) -> bool:
        """Return whether another request may be sent there.

        Failure: a server that accepts connections and closes them looks idle, and all
        instances lose requests there one by one. It gets one at a time, until one is
        answered.
        """
        if now < self._avoided_until:
            return False
        return not self._losses or not under_way

    def _avoid(self, now: float) -> None:
        if now < self._avoided_until:
            return
        avoidance_s = AVOIDANCE_S * (1 << min(self._losses, 16))
        self._avoided_until = now + min(MAX_AVOIDANCE_S, avoidance_s)
        self._losses += 1


class ServerLoad:
    """What all instances have under way at one server, and how fast it is."""

    __slots__ = (
        "_begun_at",
        "_failed_until",
        "_pace",
        "_prompts",
        "_tasks",
        "_trust",
        "_work_s",
        "memory_used",
        "server",
    )

    def __init__(self, *, server: GroupServer) -> None:
        self.server = server
        self.memory_used = 0
        """Tokens that the requests under way occupy."""
        self._tasks: dict[Key, _Task] = {}
        self._prompts = EngineLoad()
        self._pace = Pace()
        self._trust = Trust()
        self._work_s = 0.0
        """Work of all requests under way."""
        self._begun_at = -math.inf
        """When the first part of a response arrived last."""
        self._failed_until: list[float] = []
        """When requests would have ended that failed."""

    def __len__(self) -> int:
        return len(self._tasks)

    def __contains__(self, key: Key) -> bool:
        return key in self._tasks

    @property
    def excess(self) -> int:
        """Requests under way beyond what it runs."""
        return max(0, len(self._tasks) - self.server.capacity)

    # -- what is under way --

    def start(
        self,
        key: Key,
        demand: Demand,
        *,
        lasts_s: float,
        now: float,
        has_begun: bool = False,
        is_old: bool = False,
    ) -> None:
        """Count a request that is sent to the server.

        `is_old` is one that was sent earlier, of which nothing is learnt; the first
        part of its response may have arrived (`has_begun`).
        """
        self.drop(key)
        reading_s = self._find_reading_s(demand)
        due_s = self.estimate_s(demand, now)
        slowness = self.slowness(now)
        self._tasks[key] = _Task(
            demand=demand,
            started_at=now,
            expected_s=reading_s + RUN_S if demand.reading_s else due_s / slowness,
            due_at=now + due_s,
            until=now + lasts_s,
            has_begun=has_begun,
            is_old=is_old,
        )
        self.memory_used += demand.memory_tokens
        self._work_s += demand.work_s
        if demand.reading_s and not has_begun:
            sender, number = key
            placed = Placed(
                number=number,
                # The time that the engine takes for it now, with what runs there.
                reading_s=(reading_s + RUN_S) * slowness,
                lasts_s=lasts_s,
                parts=demand.parts,
                memory_tokens=self.server.memory_tokens,
            )
            self._prompts.place(sender, placed, now)

    def begin(self, key: Key, now: float) -> None:
        """Record that the first part of a response has arrived."""
        task = self._tasks.get(key)
        if task is None or task.has_begun:
            return
        task.has_begun = True
        self._trust.record(Ending.BEGUN, now)
        if task.demand.reading_s:
            self._prompts.end(*key, ReadingEnd.BEGUN, now)
            self._learn(task, now)
            self._begun_at = now

    def end(self, key: Key, ending: Ending, now: float) -> None:
        """Remove a request that has ended, and learn from how it did."""
        task = self._tasks.get(key)
        if task is None:
            return
        self._trust.record(ending, now)
        if ending is Ending.ANSWERED and not task.demand.reading_s:
            self._learn(task, now)
        if ending is Ending.FAILED and now < task.due_at:
            # A server that fails fast must not draw more requests by it.
            self._failed_until.append(task.due_at)
        if ending is Ending.SILENT:
            self._prompts.end(*key, ReadingEnd.SILENT, now)
        self.drop(key)

    def drop(self, key: Key) -> None:
        """Remove a request of whose end nothing is known."""
        task = self._tasks.pop(key, None)
        if task is None:
            return
        self.memory_used -= task.demand.memory_tokens
        self._work_s -= task.demand.work_s
        if task.demand.reading_s and not task.has_begun:
            self._prompts.end(*key, ReadingEnd.DROPPED, task.started_at)

    def expire(self, now: float) -> list[Key]:
        """Remove and return the requests whose callers have certainly gone."""
        expired = [key for key, task in self._tasks.items() if task.until < now]
        for key in expired:
            self.drop(key)
        return expired

    def list_overdue(
        self, now: float, factor: float, min_s: float, suspects: Container[str] = ()
    ) -> list[Key]:
        """Return the requests that take much longer than expected.

        Those of instances that are suspects are overdue at once.
        """
        return [
            key
            for key, task in self._tasks.items()
            if key[0] in suspects
            or now - task.started_at > max(min_s, factor * task.demand.work_s)
        ]

    # -- what a request would meet --

    def has_place(self, extra: int, now: float) -> bool:
        """Return whether one more could run at once, or `extra` be at hand there."""
        self._failed_until = [at for at in self._failed_until if at > now]
        free = self.server.capacity - len(self._tasks) - len(self._failed_until)
        return free > 0 or (extra > 0 and free + extra * self._count_spare(now) > 0)

    def count_room(self, extra: int, now: float) -> int:
        """Return how many requests it has at once, with `extra` at hand there."""
        return self.server.capacity + extra * self._count_spare(now)

    def has_room(self, demand: Demand, extra: int, now: float) -> bool:
        """Return whether a request could run at once, or as one of `extra` more."""
        if not self.has_place(extra, now):
            return False
        total = self.server.memory_tokens
        return not total or self.memory_used + demand.memory_tokens <= total

    def is_trusted(self, now: float) -> bool:
        """Return whether requests were not lost there of late."""
        return self._trust.is_given(len(self._tasks), now)

    def count_kept(self, demand: Demand) -> int:
        """Return the tokens of a prompt that need not be read."""
        return self._prompts.count_kept(demand.parts)

    def wait_s(self, now: float) -> float:
        """Return the time until another prompt would be read."""
        return self._prompts.wait_s(now)

    def estimate_s(self, demand: Demand, now: float) -> float:
        """Return the time until a request's response, or the first part of a stream."""
        slowness = self.slowness(now)
        crowd = (len(self._tasks) + 1) / max(1, self.server.capacity)
        queue_s = max(0.0, crowd - 1.0) * demand.work_s
        if not demand.reading_s:
            return slowness * (demand.work_s + queue_s)
        reading_s = slowness * (self._find_reading_s(demand) + RUN_S)
        return self._prompts.wait_s(now) + reading_s + queue_s

    def rate(self, demand: Demand, now: float) -> float:
        """Return what a server costs a request, in seconds, to compare servers by."""
        cost_s = self.estimate_s(demand, now)
        crowd = (len(self._tasks) + 1) / max(1, self.server.capacity)
        if not demand.reading_s:
            cost_s *= 1.0 + CROWDING * crowd
        else:
            reading_s = self._find_reading_s(demand)
            cost_s += (READING_WEIGHT - 1.0) * reading_s
            # Each token slows with what runs.
            cost_s += PACE_WEIGHT * max(0.0, demand.work_s - demand.reading_s) * crowd
        if demand.failure_domain != self.server.failure_domain:
            cost_s += FAR_WAIT_S
        return cost_s

    def slowness(self, now: float) -> float:
        """Return how many times as long as usual its responses take."""
        usual = self._pace.usual(now)
        overdue = []
        for task in self._tasks.values():
            if task.has_begun:
                continue
            ratio = self._find_ratio(task, now)
            if ratio <= usual:
                break
            overdue.append(min(MAX_SLOWNESS, ratio))
            if task.demand.reading_s:
                # The others wait for this one.
                break
        return self._pace.compute(overdue, now)

    def usual_slowness(self, now: float) -> float:
        """Return how many times as long its responses took in the last seconds."""
        return self._pace.usual(now)

    def _count_spare(self, now: float) -> int:
        """Return how many requests more than it runs keep a server busy.

        They start there while the news of ends is on its way: as many as hardly ever
        end in that time.
        """
        count = len(self._tasks)
        if not count:
            return 1
        work_s = self._work_s / count * self.slowness(now)
        ends = self.server.capacity * NEWS_S / max(NEWS_S, work_s)
        return math.ceil(ends + 2.0 * math.sqrt(ends))

    def _find_reading_s(self, demand: Demand) -> float:
        if not demand.reading_s:
            return 0.0
        kept = self._prompts.count_kept(demand.parts)
        missing = 1.0 - min(1.0, kept / max(1, demand.prompt_tokens))
        return demand.reading_s * missing

    def _learn(self, task: _Task, now: float) -> None:
        if task.is_old:
            return
        self._pace.learn(self._find_ratio(task, now), now)

    def _find_ratio(self, task: _Task, now: float) -> float:
        """Return the time of a response as a multiple of the expected one."""
        since = task.started_at
        if task.demand.reading_s:
            # Prompts are read one after the other.
            since = max(since, self._begun_at)
        return (now - since) / max(1e-3, task.expected_s)
