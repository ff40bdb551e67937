"""Fair queueing in tokens per client account, below priority classes.

One account has one virtual time over all classes, so that what it sends as urgent or
as batch counts against the same share. Tokens started at other entries move it too.
"""

from __future__ import annotations

import heapq

import msgspec

from baobabthread.core.limits.flows import (
    BATCH,
    CLASS,
    INTERACTIVE,
    URGENT,
    Entry,
    Flow,
    Item,
)
from baobabthread.core.limits.flows import Waiting as Waiting
from baobabthread.core.limits.ranks import Ranks
from baobabthread.core.limits.rates import (
    AccountUsage,
    DrainRate,
    Elsewhere,
    RemoteUsage,
)
from baobabthread.core.limits.rates import UsageDigest as UsageDigest


class FairnessSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the bounds of a queue."""

    max_waiting: int = 4096
    urgent_credit: float = 2_000.0
    """Tokens per unit of weight by which urgent work may exceed the account's share."""
    batch_share: float = 0.1
    """Least share of tokens for batch work while other work waits."""
    batch_margin_s: float = 30.0
    """Most seconds before its last chance at which batch work becomes interactive."""
    batch_margin: float = 0.1
    """The same as a part of the time that the batch work had at first."""
    max_lead: float = 5_000.0
    """Most tokens per unit of weight that an account can be ahead of its share."""
    max_lag: float = 1_000.0
    """Most tokens per unit of weight that an account can have in hand."""
    forget_after_s: float = 60.0
    """Seconds after which an idle account is forgotten."""
    stale_after_s: float = 5.0
    """Seconds after which another entry's digest no longer counts."""
    min_retry_s: float = 0.2
    max_retry_s: float = 60.0


class FairQueue:
    """Order the waiting requests of one service."""

    __slots__ = (
        "_accounts",
        "_active_weight",
        "_batch_count",
        "_batch_due",
        "_digests",
        "_drain",
        "_entries",
        "_expiry",
        "_promotion",
        "_ranks",
        "_remote",
        "_running",
        "_sequence",
        "_settings",
        "_tokens",
        "_virtual",
    )

    def __init__(self, *, settings: FairnessSettings | None = None) -> None:
        self._settings = settings or FairnessSettings()
        self._accounts: dict[str, Flow] = {}
        self._entries: dict[str, Entry] = {}
        self._running: dict[str, Waiting] = {}
        self._ranks = Ranks()
        self._expiry: list[Item] = []
        self._promotion: list[Item] = []
        self._tokens = [0, 0, 0]
        self._active_weight = 0.0
        self._batch_count = 0
        self._batch_due = 0.0
        self._digests = 0
        self._virtual = 0.0
        self._sequence = 0
        self._drain = DrainRate()
        self._remote = RemoteUsage(stale_after_s=self._settings.stale_after_s)

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def pressing(self) -> int:
        """Give the number of requests that wait, batch work left out."""
        return len(self._entries) - self._batch_count

    def push(self, waiting: Waiting, now: float) -> Waiting | None:
        """Queue a request; return the one that is pushed out for it, if any."""
        pushed_out = None
        account = self._account(waiting, now)
        level = CLASS[waiting.priority]
        if len(self._entries) >= self._settings.max_waiting:
            victim = self._ranks.largest(account, waiting.tokens)
            pushed_out = self._push_out(victim, level if victim is account else -1)
            if pushed_out is None:
                return waiting
        if not account.backlogged:
            account.virtual = max(account.virtual, self._virtual)
            self._active_weight += account.weight
        entry = Entry(waiting=waiting, level=level)
        self._entries[waiting.request_id] = entry
        self._enter(account, entry)
        sequence = self._sequence
        last_start = waiting.deadline - waiting.service_s
        heapq.heappush(self._expiry, (last_start, sequence, entry))
        if level == BATCH:
            margin = self._settings.batch_margin * (last_start - waiting.arrived)
            promote_at = last_start - min(self._settings.batch_margin_s, margin)
            heapq.heappush(self._promotion, (promote_at, sequence, entry))
        self._compact()
        return pushed_out

    def pop(self, now: float) -> Waiting | None:
        """Take the request that is next in turn, or nothing."""
        self._promote(now)
        account, level = self._next()
        if account is None:
            return None
        waiting = account.head(level).waiting
        self._leave(self._entries.pop(waiting.request_id))
        self._charge(account, waiting, now)
        if level == URGENT:
            spent = waiting.tokens / account.weight
            account.urgent = max(account.urgent, self._virtual) + spent
            account.started_urgent += waiting.tokens
        if level != BATCH and self._tokens[BATCH]:
            self._batch_due += waiting.tokens * self._settings.batch_share
        elif level == BATCH:
            self._batch_due = max(0.0, self._batch_due - waiting.tokens)
        return waiting

    def remove(self, request_id: str) -> Waiting | None:
        """Take out a queued request whose caller has gone."""
        entry = self._entries.pop(request_id, None)
        if entry is None:
            return None
        self._leave(entry)
        return entry.waiting

    def expire(self, now: float) -> list[Waiting]:
        """Take out all requests that can no longer make their deadline."""
        expired = []
        heap = self._expiry
        while heap and (heap[0][0] < now or not heap[0][2].queued):
            entry = heapq.heappop(heap)[2]
            if entry.queued:
                del self._entries[entry.waiting.request_id]
                self._leave(entry)
                expired.append(entry.waiting)
        return expired

    def finished(self, request_id: str, tokens: int, now: float) -> None:
        """Correct an account's use by the tokens that a started request took."""
        waiting = self._running.pop(request_id, None)
        if waiting is None:
            return
        account = self._accounts[waiting.account]
        account.running -= 1
        account.in_flight -= waiting.tokens
        account.active_at = now
        difference = tokens - waiting.tokens
        account.started += max(0, difference)
        self._move(account, difference / account.weight)

    def hold(self, account: str) -> None:
        """Pass an account over, until `release`; others go on."""
        state = self._accounts.get(account)
        if state is not None and not state.held:
            state.held = True
            state.stamps = [0, 0, 0]

    def release(self, account: str) -> None:
        """Take up an account again that was held."""
        state = self._accounts.get(account)
        if state is not None and state.held:
            state.held = False
            self._ranks.renew(state)

    def running(self, account: str, now: float) -> int:
        """Return how many requests of an account run here and at other entries."""
        state = self._accounts.get(account)
        here = state.running if state is not None else 0
        return here + self._remote.running(account, now)

    def tokens_per_s_elsewhere(self, account: str, now: float) -> float:
        """Return the rate at which an account starts tokens at other entries."""
        return self._remote.tokens_per_s(account, now)

    def usage(self, now: float) -> UsageDigest:
        """Return the digest for peers and forget accounts that are long idle."""
        accounts = {}
        for account in list(self._accounts.values()):
            idle = not account.running and not account.backlogged
            if idle and now - account.active_at > self._settings.forget_after_s:
                del self._accounts[account.name]
                continue
            accounts[account.name] = AccountUsage(
                started=account.started,
                running=account.running,
                in_flight=account.in_flight,
                urgent=account.started_urgent,
            )
        self._digests += 1
        return UsageDigest(
            sequence=self._digests,
            accounts=accounts,
            running=len(self._running),
            waiting=self.pressing,
        )

    def merge(self, origin: str, digest: UsageDigest, now: float) -> None:
        """Take in what accounts use at another entry incarnation."""
        for growth in self._remote.merge(origin, digest, now):
            account = self._accounts.get(growth.account)
            if account is not None:
                self._move(account, growth.tokens / account.weight)
                urgent = growth.urgent / account.weight
                account.urgent = max(account.urgent, self._virtual) + urgent

    def elsewhere(self, now: float) -> Elsewhere:
        """Return what runs and waits at the other entries."""
        return self._remote.total(now)

    def estimate_wait(self, waiting: Waiting) -> float:
        """Return the seconds that a request would wait if it were pushed now."""
        rate = self._drain.tokens_per_s
        if rate <= 0.0 or not self._entries:
            return 0.0
        level = CLASS[waiting.priority]
        account = self._accounts.get(waiting.account)
        start = max(account.virtual, self._virtual) if account else self._virtual
        own = sum(account.tokens[: level + 1]) if account else 0
        start += own / waiting.weight
        total = float(sum(self._tokens[: level + 1]))
        turn = total / len(self._entries)
        return (
            min(total, own + turn + self._ranks.tokens_before(start, level, account))
            / rate
        )

    def retry_after(self, now: float, account: str | None = None) -> float:
        """Return the seconds after which what is queued now will have started."""
        rate = self._drain.tokens_per_s
        tokens = float(sum(self._tokens))
        state = self._accounts.get(account) if account is not None else None
        if state is not None:
            share = self._active_weight / state.weight
            tokens = min(tokens, self._ahead(state, BATCH) * max(1.0, share))
        wait = tokens / rate if rate > 0.0 else 0.0
        low, high = self._settings.min_retry_s, self._settings.max_retry_s
        return min(high, max(low, wait))

    def _account(self, waiting: Waiting, now: float) -> Flow:
        account = self._accounts.get(waiting.account)
        if account is None:
            account = Flow(
                name=waiting.account, weight=waiting.weight, virtual=self._virtual
            )
            self._accounts[waiting.account] = account
        elif account.weight != waiting.weight:
            if account.backlogged:
                self._active_weight += waiting.weight - account.weight
            account.weight = waiting.weight
        account.active_at = now
        return account

    def _ahead(self, account: Flow, level: int) -> float:
        """Return the account's own tokens that go before a new request."""
        lead = max(0.0, account.virtual - self._virtual) * account.weight
        return sum(account.tokens[: level + 1]) + lead

    def _enter(self, account: Flow, entry: Entry) -> None:
        level = entry.level
        self._sequence += 1
        account.enter(entry, self._sequence)
        self._batch_count += level == BATCH
        self._tokens[level] += entry.waiting.tokens
        if account.counts[level] == 1:
            self._ranks.enter(account, level)
        self._ranks.resize(account)

    def _leave(self, entry: Entry) -> None:
        account = self._accounts[entry.waiting.account]
        account.leave(entry)
        self._batch_count -= entry.level == BATCH
        self._tokens[entry.level] -= entry.waiting.tokens
        if not account.backlogged:
            self._active_weight -= account.weight

    def _next(self) -> tuple[Flow | None, int]:
        """Choose the account and the class that are next in turn."""
        urgent = self._ranks.first(URGENT)
        # Failure: an account marks all of its work urgent and everyone else waits.
        # What it sends ahead may exceed its share by the credit only; beyond it, its
        # urgent work takes its turn among the interactive. Other work of the account
        # doesn't count here, so that a large one's status checks stay urgent.
        if urgent and urgent.urgent <= self._virtual + self._settings.urgent_credit:
            return urgent, URGENT
        batch = self._ranks.first(BATCH)
        # Failure: interactive work never ends and summaries miss the morning. Batch
        # work earns a share of each token started before it, so it can't starve.
        if batch and self._batch_due >= batch.head(BATCH).waiting.tokens:
            return batch, BATCH
        interactive = self._ranks.first(INTERACTIVE)
        chosen, level = interactive, INTERACTIVE
        if urgent and (not interactive or urgent.virtual <= interactive.virtual):
            chosen, level = urgent, URGENT
        if chosen is None:
            chosen, level = batch, BATCH
        if chosen is not None:
            self._virtual = max(self._virtual, chosen.virtual)
        return chosen, level

    def _charge(self, account: Flow, waiting: Waiting, now: float) -> None:
        account.running += 1
        account.in_flight += waiting.tokens
        account.started += waiting.tokens
        account.active_at = now
        self._running[waiting.request_id] = waiting
        self._drain.add(waiting.tokens, now, backlogged=bool(self._entries))
        floor = self._virtual - self._settings.max_lag
        account.virtual = max(account.virtual, floor) + waiting.tokens / account.weight

    def _move(self, account: Flow, difference: float) -> None:
        """Move an account's virtual time, within bounds, and keep the ranks right."""
        ceiling = self._virtual + self._settings.max_lead
        moved = account.virtual + difference
        if difference > 0.0:
            moved = max(account.virtual, min(moved, ceiling))
        account.virtual = moved
        if difference < 0.0:
            self._ranks.renew(account)

    def _promote(self, now: float) -> None:
        """Move batch work that would soon be too late among the interactive."""
        heap = self._promotion
        while heap and (heap[0][0] <= now or not heap[0][2].queued):
            entry = heapq.heappop(heap)[2]
            if not entry.queued:
                continue
            account = self._accounts[entry.waiting.account]
            self._leave(entry)
            if not account.backlogged:
                self._active_weight += account.weight
            entry.queued = True
            entry.level = INTERACTIVE
            self._enter(account, entry)

    def _push_out(self, account: Flow, least: int) -> Waiting | None:
        """Take out the account's last request of its lowest class above `least`."""
        for level in (BATCH, INTERACTIVE, URGENT):
            if level <= least:
                return None
            if account.counts[level]:
                entry = account.last(level)
                del self._entries[entry.waiting.request_id]
                self._leave(entry)
                return entry.waiting
        return None

    def _compact(self) -> None:
        """Drop what was removed from the middle of heaps once it outweighs the rest."""
        bound = 2 * len(self._entries) + 64
        if len(self._expiry) > bound:
            self._expiry = _keep_queued(self._expiry)
        if len(self._promotion) > bound:
            self._promotion = _keep_queued(self._promotion)
        self._ranks.compact(len(self._accounts))


def _keep_queued(heap: list[Item]) -> list[Item]:
    kept = [item for item in heap if item[2].queued]
    heapq.heapify(kept)
    return kept
