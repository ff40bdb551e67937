"""What an entry knows about each backend server: load, speed and health."""

from __future__ import annotations

import enum
import math
import random

import msgspec
import xxhash

from baobabthread.core.limits.limits import Outcome

MIN_LATENCY_S = 1e-6
UNKNOWN_LATENCY_S = 10.0
"""Taken for a server that has not answered yet, so that its report counts."""

LEAST_DELAY_S = 0.001
"""Delay below which servers count as alike: the rest of an old one would otherwise send
all requests to the other servers."""
ENOUGH_WEIGHT = 0.6
"""Weight of five answers, before which no server passes for slow."""


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a backend server's own word on its load."""

    running: int
    waiting: int
    capacity: int
    versions: list[str] = []
    tokens_per_s: float = 0.0


class BalanceSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the bounds of balancing and ejection."""

    report_lag_s: float = 1.0
    """How old a load report is taken to be."""
    report_life_s: float = 5.0
    """Seconds after which a report no longer counts."""
    report_decay: float = 0.5
    """Halvings of a report's weight for each usual answer time of its age."""
    speed_smoothing: float = 0.2
    speed_half_life_s: float = 20.0
    """Seconds in which what is known of a server's speed loses half of its weight."""
    speed_half_life_requests: float = math.inf
    """Requests to each server of its service, on average, in which it does so."""
    delay_half_life_s: float = 0.5
    """Seconds in which a delay that was met loses half of its weight: a queue of
    prompts is read in a second or so."""
    far_wait_s: float = 0.01
    """Seconds of waiting that a server in the own failure domain is worth, as bytes
    between domains have a price."""
    far_penalty: float = 0.05
    """Part by which a far server's cost counts as higher."""
    affinity_bound: float = 2.0
    """Times the other choice's cost that a cached prefix is worth."""
    eject_failures: int = 5
    """Failures in a row that eject a server."""
    eject_slowness: float = 3.0
    """Times the usual time per token that ejects a server."""
    eject_base_s: float = 2.0
    eject_max_s: float = 60.0
    eject_floor: float = 0.5
    """Least part of a service's servers that stays in use."""
    probe_patience_s: float = 10.0
    """Seconds after which a server that nobody could probe starts again, slowly."""
    slow_start_s: float = 10.0
    leaving_hold_s: float = 15.0
    """Seconds for which a lagging roster can't bring a leaving server back."""
    rejection_base_s: float = 0.025
    """Seconds for which a server that rejected a request comes after all others;
    doubled by each rejection in a row."""
    rejection_max_s: float = 5.0
    rejection_trial_s: float = 0.5
    """Seconds for which one request tries a server that rejected several in a row,
    before others follow: whoever rejects does so at once, an engine that accepts may
    take long for its first part."""
    sample: int = 16
    """Servers looked at for one pick, whatever their number."""


class Health(enum.StrEnum):
    """Order the states of a backend server in the eyes of one entry."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBING = "probing"
    STARTING = "starting"
    """Back in use, with a part of its capacity that grows."""
    LEAVING = "leaving"


class RequestCount:
    """Count the requests that this entry sent to all servers of a service."""

    __slots__ = ("sent", "servers")

    def __init__(self) -> None:
        self.sent = 0
        self.servers = 0


class Server:
    """Hold what is known about one backend server."""

    __slots__ = (
        "_busy_at",
        "_busy_average",
        "_latency",
        "_reported",
        "_reported_at",
        "busy_until",
        "capacity",
        "delay_at",
        "delay_s",
        "ejections",
        "failures",
        "far",
        "hash",
        "health",
        "in_flight",
        "name",
        "pending",
        "ramp_s",
        "rejected_at",
        "rejections",
        "s_per_token",
        "service",
        "service_requests",
        "settings",
        "since",
        "speed_at",
        "speed_known_at",
        "speed_weight",
        "tokens",
        "tried_at",
        "until",
        "versions",
    )

    def __init__(
        self,
        *,
        name: str,
        service: str,
        capacity: int,
        settings: BalanceSettings,
        service_requests: RequestCount,
    ) -> None:
        self.name = name
        self.service = service
        self.capacity = capacity
        self.settings = settings
        self.service_requests = service_requests
        self.far = False
        self.hash = xxhash.xxh3_64_intdigest(name.encode())
        self.versions: frozenset[str] = frozenset()
        self.health = Health.HEALTHY
        self.since = 0.0
        self.ramp_s = settings.slow_start_s
        """Time in which the part of its capacity grows that a start allows."""
        self.until = 0.0
        self.in_flight = 0
        self.tokens = 0
        self.pending = 0.0
        """Seconds of work of this entry's own requests before their first parts."""
        self.delay_s = 0.0
        """How much longer than usual first parts took of late."""
        self.delay_at = 0.0
        self.failures = 0
        self.ejections = 0
        self.rejections = 0
        """Rejections in a row, without those of requests that were under way."""
        self.rejected_at = -math.inf
        self.busy_until = -math.inf
        """Until when it is used only if no other server is left."""
        self.tried_at = -math.inf
        """When a request was sent to find out whether it has room again."""
        self.s_per_token = 0.0
        self.speed_at = 0.0
        self.speed_known_at = 0
        """Requests to the service when its speed was last observed."""
        self.speed_weight = 0.0
        self._busy_average = 0.0
        self._busy_at = 0.0
        self._latency = UNKNOWN_LATENCY_S
        self._reported = 0.0
        self._reported_at = -1e9

    def count(self, change: int, tokens: int, now: float) -> None:
        """Count a start or an end of one of this entry's own requests."""
        self._average(now)
        self.in_flight = max(0, self.in_flight + change)
        self.tokens = max(0, self.tokens + change * tokens)

    def observe(self, latency_s: float, tokens: int, now: float) -> None:
        """Learn the time per token from a request that ended well."""
        sample = latency_s / max(1, tokens)
        step = self.settings.speed_smoothing
        self._latency += step * (max(latency_s, MIN_LATENCY_S) - self._latency)
        weight = self._speed_weight(now)
        if weight < step:
            step = 1.0
        self.speed_weight = weight + step * (1.0 - weight)
        self.s_per_token += step / self.speed_weight * (sample - self.s_per_token)
        self.speed_at = now
        self.speed_known_at = self.service_requests.sent

    def record_rejection(self, now: float) -> float:
        """Back off from the server, as it has no room now; return until when."""
        # Many requests under way may be rejected at the same moment.
        if now < self.busy_until:
            return self.busy_until
        settings = self.settings
        back_off_s = settings.rejection_base_s * (1 << min(self.rejections, 16))
        self.rejections += 1
        self.rejected_at = now
        self.busy_until = now + min(settings.rejection_max_s, back_off_s)
        return self.busy_until

    def needs_trial(self, now: float) -> bool:
        """Return whether one request has to show that the server has room again."""
        # A full engine that rejects once may have room a moment later.
        is_rejecting = self.rejections > 1 and self.tried_at <= self.rejected_at
        return is_rejecting and now >= self.busy_until

    def record_acceptance(self, started_at: float) -> None:
        """Record that the server accepted a request that was sent at a time."""
        if started_at > self.rejected_at:
            self.rejections = 0

    def observe_delay(self, delay_s: float, now: float) -> None:
        """Learn how long a request waited before its first part."""
        half = 0.5 * (self.delay(now) + max(0.0, delay_s))
        self.delay_s = half
        self.delay_at = now

    def delay(self, now: float) -> float:
        """Return about how long a request would wait now, by those before it."""
        age = max(0.0, now - self.delay_at)
        delay = self.delay_s * math.exp2(-age / self.settings.delay_half_life_s)
        return delay if delay >= LEAST_DELAY_S else 0.0

    def wait(self, now: float) -> float:
        """Return the seconds after which a new request's own work would begin."""
        return max(self.pending, self.delay(now))

    def report(self, report: LoadReport, now: float) -> None:
        """Keep what others have running there: the reported less this entry's own."""
        self._average(now)
        total = report.running + report.waiting
        self._reported = max(0.0, total - self._busy_average)
        self._reported_at = now

    def load(self, now: float) -> float:
        """Return the estimate of all requests there, others' by lagged report."""
        age = now - self._reported_at
        if age > self.settings.report_life_s:
            return float(self.in_flight)
        # Failure: requests take far less time than a report, all entries send to the
        # server that was idle a second ago, and it queues beside idle ones. A report
        # counts less the more requests have come and gone since.
        turnovers = (age + self.settings.report_lag_s) / self._latency
        trust = math.exp2(-turnovers * self.settings.report_decay)
        return self.in_flight + self._reported * trust

    def cost(self, now: float, usual: float) -> float:
        """Return the expected time per token of one more request, to compare by.

        Own measurements decide on speed. A report can only add load, so a server that
        reports none gains no more than what its own speed bears out.
        """
        # One function on the path of each request: calls cost more than the sums.
        settings = self.settings
        load = self.in_flight + 1.0
        age = now - self._reported_at
        if self._reported and age <= settings.report_life_s:
            turnovers = (age + settings.report_lag_s) / self._latency
            load += self._reported * math.exp2(-turnovers * settings.report_decay)
        capacity: float = self.capacity
        if self.health is Health.STARTING:
            capacity *= self.ramp(now)
        cost = self.speed(now, usual) * (1.0 + 0.5 * load / capacity)
        if load > capacity:
            cost += self.speed(now, usual) * 2.0 * (load - capacity) / capacity
        return cost * (1.0 + settings.far_penalty) if self.far else cost

    def speed(self, now: float, usual: float) -> float:
        """Return its time per token; what was learnt long ago counts less."""
        weight = self._speed_weight(now)
        return usual + weight * (self.s_per_token - usual)

    def slowness(self, now: float, usual: float, *, most: float) -> float:
        """Return its time per token relative to the usual, from 1 to `most`."""
        learnt = min(most, self.s_per_token / usual) if usual else 1.0
        return max(1.0, 1.0 + self._speed_weight(now) * (learnt - 1.0))

    def ramp(self, now: float) -> float:
        """Return the part of its capacity that a returning server may use."""
        if self.health is not Health.STARTING:
            return 1.0
        age = (now - self.since) / self.ramp_s
        return max(0.1, min(1.0, age))

    def _speed_weight(self, now: float) -> float:
        age = max(0.0, now - self.speed_at) / self.settings.speed_half_life_s
        requests = self.service_requests
        sent_to_each = (requests.sent - self.speed_known_at) / requests.servers
        age += sent_to_each / self.settings.speed_half_life_requests
        return self.speed_weight * math.exp2(-age)

    def _average(self, now: float) -> None:
        """Move the average of own requests, which lags as the reports do."""
        elapsed = max(0.0, now - self._busy_at)
        lag = self.settings.report_lag_s
        step = elapsed / (elapsed + lag) if lag > 0.0 else 1.0
        self._busy_average += step * (self.in_flight - self._busy_average)
        self._busy_at = now


class Ejector:
    """Take failing servers out of use and bring them back with care."""

    __slots__ = ("_rng", "_settings")

    def __init__(self, *, rng: random.Random, settings: BalanceSettings) -> None:
        self._rng = rng
        self._settings = settings

    def judge(
        self, server: Server, outcome: Outcome, *, usual: float, now: float
    ) -> bool:
        """Take an outcome into account; return whether the server's health changed."""
        if outcome is Outcome.CANCELLED or outcome is Outcome.BUSY:
            return False
        if server.health is Health.LEAVING:
            return False
        if outcome is not Outcome.OK:
            return self._fail(server, now)
        server.failures = 0
        if server.health is Health.PROBING or server.health is Health.EJECTED:
            return self._restore(server, usual, now)
        if server.speed_weight >= ENOUGH_WEIGHT and self._is_slow(server, usual):
            return self._eject(server, now)
        if server.health is Health.STARTING and server.ramp(now) >= 1.0:
            server.health = Health.HEALTHY
            server.ejections = 0
            return True
        return False

    def _is_slow(self, server: Server, usual: float) -> bool:
        slow = self._settings.eject_slowness
        return 0.0 < usual * slow < server.s_per_token

    def _fail(self, server: Server, now: float) -> bool:
        server.failures += 1
        if server.health is Health.PROBING:
            return self._eject(server, now)
        if server.health is Health.EJECTED:
            return False
        if server.failures >= self._settings.eject_failures:
            return self._eject(server, now)
        return False

    def _eject(self, server: Server, now: float) -> bool:
        # Failure: all entries eject a server at once, return together and knock it
        # over again. The time out grows, and jitter spreads the entries' probes.
        time_out = self._settings.eject_base_s * (1 << min(server.ejections, 16))
        time_out = min(self._settings.eject_max_s, time_out)
        server.ejections += 1
        server.failures = 0
        server.health = Health.EJECTED
        server.since = now
        server.until = now + time_out * (0.75 + 0.5 * self._rng.random())
        return True

    def _restore(self, server: Server, usual: float, now: float) -> bool:
        if self._is_slow(server, usual):
            return self._eject(server, now)
        server.health = Health.STARTING
        server.since = now
        server.ramp_s = self._settings.slow_start_s
        return True
