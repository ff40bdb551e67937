"""Six entries that run the decisions of the core against modelled servers."""

from __future__ import annotations

import functools
import math
import random
from collections.abc import Callable, Iterable

from baobabthread.core.backends.backends import LoadReport
from baobabthread.core.backends.balance import BackendTable
from baobabthread.core.configuration.configuration import Priority
from baobabthread.core.limits.fairness import FairQueue, UsageDigest, Waiting
from baobabthread.core.limits.limits import AdaptiveLimit, Outcome, Shedder
from baobabthread.core.limits.retries import Attempt, RetryBudget
from baobabthread.errors import Ran
from bench._policies import (
    DOMAINS,
    NO_BUDGET,
    SERVERS,
    SPECS,
    FirstComeQueue,
    Policy,
    Result,
    configure,
)
from bench._servers import BatchServer, Events, Job
from bench._workload import Arrival, Kind

ENTRIES = 6
GOSSIP_INTERVAL_S = 1.0
GOSSIP_LAG_S = 0.3
REPORT_INTERVAL_S = 1.0
REPORT_LAG_S = 1.0
EXPIRY_INTERVAL_S = 0.05
SHORT_TOKENS = 60
"""Most tokens of a request that may probe a server that was ejected."""
LEVELS = {Priority.URGENT: 0, Priority.INTERACTIVE: 4, Priority.BATCH: 8}


class Lane:
    """Hold what one entry keeps for one service."""

    __slots__ = ("budget", "limit", "queue", "shedder")

    def __init__(self, *, policy: Policy, rng: random.Random) -> None:
        self.queue: FairQueue | FirstComeQueue = FairQueue(settings=policy.fairness)
        if not policy.fair:
            self.queue = FirstComeQueue(most=policy.first_come_most)
        self.limit = AdaptiveLimit(settings=policy.limit)
        self.shedder = Shedder()
        settings = None if policy.budget else NO_BUDGET
        self.budget = RetryBudget(rng=rng, settings=settings)


class Entry:
    """Run one entry's decisions."""

    __slots__ = (
        "_cluster",
        "_events",
        "_lanes",
        "_number",
        "_open",
        "_policy",
        "_rng",
        "table",
    )

    def __init__(self, *, cluster: Cluster, number: int, rng: random.Random) -> None:
        self._cluster = cluster
        self._events = cluster.events
        self._number = number
        self._policy = cluster.policy
        self._rng = rng
        self._open: dict[str, Result] = {}
        self._lanes = {name: Lane(policy=self._policy, rng=rng) for name in SPECS}
        self.table = BackendTable(
            failure_domain=f"d{number % DOMAINS}", rng=rng, settings=cluster.balance
        )
        self.table.rebuild(cluster.configuration, 0.0)
        for name, lane in self._lanes.items():
            capacity = SPECS[name].capacity * SERVERS[name]
            lane.limit.set_capacity(capacity, ENTRIES)

    def lane(self, service: str) -> Lane:
        """Return what is kept for one service."""
        return self._lanes[service]

    def arrive(self, result: Result) -> None:
        """Take in a request from a caller."""
        now = self._events.now
        kind = result.arrival.kind
        lane = self._lanes[kind.service]
        lane.budget.count_request(now)
        result.entry = self._number
        self._open[result.request_id] = result
        waiting = self._describe(result)
        if self._policy.shedding and self._policy.fair:
            result.estimate_s = lane.queue.estimate_wait(waiting)
            refusal = lane.shedder.refuse_for(
                wait_s=result.estimate_s,
                service_s=waiting.service_s,
                deadline=result.deadline,
                now=now,
            )
            if refusal is not None:
                self._end(result, "refused", refusal)
                return
        self._events.after(kind.deadline_s, self._time_out, result)
        self._push(lane, waiting)
        self._dispatch(lane)

    def expire(self) -> None:
        """Refuse what can no longer make its deadline."""
        now = self._events.now
        for lane in self._lanes.values():
            for waiting in lane.queue.expire(now):
                retry = lane.queue.retry_after(now, waiting.account)
                self._end(self._open[waiting.request_id], "expired", retry)

    def gossip(self, peers: Iterable[Entry]) -> None:
        """Send the queues' digests to the peers."""
        now = self._events.now
        for name, lane in self._lanes.items():
            if not isinstance(lane.queue, FairQueue):
                continue
            digest = lane.queue.usage(now)
            for peer in peers:
                if peer is not self:
                    self._events.after(
                        GOSSIP_LAG_S, peer.hear, name, self._number, digest
                    )

    def hear(self, service: str, number: int, digest: UsageDigest) -> None:
        """Take in a peer's digest."""
        lane = self._lanes[service]
        now = self._events.now
        if isinstance(lane.queue, FairQueue):
            lane.queue.merge(f"entry-{number}", digest, now)
            lane.limit.share(lane.queue.elsewhere(now), lane.queue.pressing, now)
            self._dispatch(lane)

    def poll(self) -> None:
        """Ask the servers for their load; the answers are old on arrival."""
        for name, server in self._cluster.servers.items():
            self._events.after(REPORT_LAG_S, self._report, name, server.report())

    def _report(self, name: str, report: LoadReport) -> None:
        self.table.report(name, report, self._events.now)

    def _describe(self, result: Result) -> Waiting:
        kind = result.arrival.kind
        tokens = max(1, int(kind.expected_work()))
        return Waiting(
            request_id=result.request_id,
            account=result.arrival.account,
            weight=1.0,
            priority=result.arrival.priority,
            tokens=tokens,
            deadline=result.deadline,
            arrived=result.arrived_at,
            service_s=self._expect_s(kind),
        )

    def _expect_s(self, kind: Kind) -> float:
        """Return the seconds that a request takes once started."""
        tokens = int(kind.expected_work())
        least = tokens * SPECS[kind.service].step_s
        return self.table.expected_s(kind.service, tokens) or least

    def _push(self, lane: Lane, waiting: Waiting) -> None:
        now = self._events.now
        pushed_out = lane.queue.push(waiting, now)
        if pushed_out is not None:
            retry = lane.queue.retry_after(now, pushed_out.account)
            self._end(self._open[pushed_out.request_id], "refused", retry)

    def _dispatch(self, lane: Lane) -> None:
        now = self._events.now
        while not self._policy.limited or lane.limit.may_start(now):
            waiting = lane.queue.pop(now)
            if waiting is None:
                return
            self._send(lane, self._open[waiting.request_id])

    def _send(self, lane: Lane, result: Result) -> None:
        now = self._events.now
        arrival = result.arrival
        kind = arrival.kind
        if math.isnan(result.started_at):
            result.started_at = now
            waited = now - result.arrived_at
            lane.shedder.observe(estimated_s=result.estimate_s, waited_s=waited)
        result.sent_at = now
        result.attempts += 1
        name = self.table.pick(
            service=kind.service,
            version="v",
            prefix_key=arrival.prefix_key,
            exclude=result.excluded,
            now=now,
            may_probe=kind.idempotent and kind.output_tokens <= SHORT_TOKENS,
        )
        if name is None:
            self._end(result, "failed", 1.0)
            return
        tokens = int(kind.expected_work())
        result.server = name
        self.table.started(name, tokens, now)
        lane.limit.started()
        delay = self._delay_to(name)
        job = Job(
            prompt_tokens=kind.prefix_tokens + arrival.fresh_tokens,
            output_tokens=arrival.output_tokens,
            prefix_key=arrival.prefix_key,
            prefix_tokens=kind.prefix_tokens,
            level=LEVELS[arrival.priority],
            done=lambda outcome: self._events.after(
                delay, self._attempt_done, lane, result, job, outcome
            ),
        )
        result.job = job
        self._events.after(delay, self._cluster.submit, name, job)

    def _attempt_done(
        self, lane: Lane, result: Result, job: Job, outcome: Outcome
    ) -> None:
        if result.job is not job:
            return
        result.cached_tokens = job.cached_tokens
        result.began_at = job.began_at
        self._account_for(lane, result, outcome)
        if outcome is Outcome.OK:
            self._end(result, "ok", 0.0)
        else:
            self._retry(lane, result, outcome)
        self._dispatch(lane)

    def _account_for(self, lane: Lane, result: Result, outcome: Outcome) -> None:
        """Tell limit, table and queue how an attempt ended."""
        now = self._events.now
        latency = now - result.sent_at
        work = result.work
        name = result.server
        assert name is not None
        result.job = None
        lane.limit.finished(latency, outcome, now, per=work)
        self.table.finished(name, outcome, latency, int(work), now)
        done = work if outcome is Outcome.OK else 0.0
        lane.queue.finished(result.request_id, int(done), now)

    def _retry(self, lane: Lane, result: Result, outcome: Outcome) -> None:
        now = self._events.now
        kind = result.arrival.kind
        attempt = Attempt(
            idempotent=kind.idempotent,
            ran=Ran.NO if outcome is Outcome.BUSY else Ran.UNKNOWN,
            first_byte_sent=True,
            number=result.attempts,
            deadline=result.deadline,
            service_s=self._expect_s(kind),
        )
        result.excluded.append(result.server or "")
        delay = lane.budget.may_retry(attempt, now)
        if delay is None:
            self._end(result, "failed", 1.0)
        else:
            self._events.after(delay, self._try_again, lane, result)

    def _try_again(self, lane: Lane, result: Result) -> None:
        if result.outcome == "open":
            self._push(lane, self._describe(result))
            self._dispatch(lane)

    def _time_out(self, result: Result) -> None:
        """Give up a request whose deadline has passed."""
        if result.outcome != "open":
            return
        lane = self._lanes[result.arrival.kind.service]
        job = result.job
        if job is None:
            lane.queue.remove(result.request_id)
        else:
            name = result.server
            assert name is not None
            self._account_for(lane, result, Outcome.TIMEOUT)
            self._events.after(self._delay_to(name), self._cluster.cancel, name, job)
        self._end(result, "timeout", 1.0)
        self._dispatch(lane)

    def _end(self, result: Result, outcome: str, retry_after_s: float) -> None:
        del self._open[result.request_id]
        result.outcome = outcome
        result.ended_at = self._events.now
        result.retry_after_s = retry_after_s
        self._cluster.ended(result)

    def _delay_to(self, name: str) -> float:
        near = self._cluster.domain_of(name) == self._number % DOMAINS
        return 0.0001 if near else self._policy.delay_s


class Cluster:
    """Hold the entries, the servers and what became of all requests."""

    __slots__ = (
        "_rng",
        "balance",
        "configuration",
        "entries",
        "events",
        "policy",
        "results",
        "servers",
    )

    def __init__(self, *, policy: Policy, seed: int) -> None:
        self.policy = policy
        self.balance = policy.balance
        self.events = Events()
        self.results: list[Result] = []
        self._rng = random.Random(f"callers-{seed}")
        self.configuration = configure(policy.balancer)
        self.servers = {
            name: BatchServer(name=name, spec=SPECS[b.service], events=self.events)
            for name, b in self.configuration.backends.items()
        }
        self.entries = [
            Entry(cluster=self, number=n, rng=random.Random(f"entry-{n}-{seed}"))
            for n in range(ENTRIES)
        ]
        self._start_timers()

    def run(self, arrivals: Iterable[Arrival], *, until: float) -> list[Result]:
        """Run a workload and return the results of all tries."""
        for arrival in arrivals:
            self.events.after(arrival.at, self.send, arrival, 0)
        self.events.run(until)
        return self.results

    def send(self, arrival: Arrival, tries: int) -> None:
        """Send a request as its caller does."""
        result = Result(arrival=arrival, now=self.events.now, tries=tries)
        self.entries[arrival.entry].arrive(result)

    def ended(self, result: Result) -> None:
        """Keep a result; the caller may send the request again."""
        self.results.append(result)
        if result.outcome == "ok" or result.tries >= self.policy.caller_retries:
            return
        if not result.arrival.kind.idempotent and result.outcome != "refused":
            return
        wait = result.retry_after_s + self._rng.random()
        self.events.after(wait, self.send, result.arrival, result.tries + 1)

    def submit(self, name: str, job: Job) -> None:
        """Hand a job to a server unless it was cancelled on the way."""
        if job.state == "new":
            self.servers[name].submit(job)

    def cancel(self, name: str, job: Job) -> None:
        """Cancel a job at a server."""
        if job.state in ("new", "waiting", "running"):
            self.servers[name].cancel(job)

    def domain_of(self, name: str) -> int:
        """Return the number of a server's failure domain."""
        return int(self.configuration.backends[name].failure_domain[1:])

    def _start_timers(self) -> None:
        for number, entry in enumerate(self.entries):
            phase = number / ENTRIES
            self._every(REPORT_INTERVAL_S, phase, entry.poll)
            self._every(EXPIRY_INTERVAL_S, phase * EXPIRY_INTERVAL_S, entry.expire)
            if self.policy.gossip:
                gossip = functools.partial(entry.gossip, self.entries)
                self._every(GOSSIP_INTERVAL_S, phase, gossip)

    def _every(
        self, interval_s: float, phase_s: float, action: Callable[[], None]
    ) -> None:
        self.events.after(phase_s, self.events.every, interval_s, action)
