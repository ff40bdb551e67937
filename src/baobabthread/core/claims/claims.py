"""Run a non-idempotent request at most once, by bound keys and by claimed keys."""

from __future__ import annotations

import heapq
import math
from collections.abc import Sequence

import msgspec

from baobabthread.core.claims.ages import refuse_by_age
from baobabthread.core.claims.answers import AnswerStore
from baobabthread.core.claims.entry import Entry, State
from baobabthread.core.claims.fold import ClaimFold, ClaimRecord, Holder
from baobabthread.core.claims.goneowners import GoneOwners
from baobabthread.core.claims.handover import (
    HandedKey,
    HandOver,
    Outcome,
    split_hand_over,
)
from baobabthread.core.claims.keys import ClaimKey, ParsedKey, parse_key
from baobabthread.core.claims.problems import (
    problem_leaving,
    problem_log_down,
    problem_slow_claim,
    refuse_malformed,
    refuse_reused,
    refuse_unminted,
    refuse_unstored,
)
from baobabthread.core.claims.releases import Releases
from baobabthread.core.claims.types import (
    ClaimRequest,
    ClaimSettings,
    Dispatch,
    Forward,
    Join,
    Refuse,
    Replay,
)
from baobabthread.core.messages import (
    Append,
    AppendFailed,
    Effects,
    LogRead,
    LogRecord,
    Send,
    Stream,
)
from baobabthread.errors import Problem, Ran

_ENCODER = msgspec.json.Encoder()


class Claims:
    """Decide for each key who may dispatch it, and hand the dispatch out once."""

    def __init__(
        self,
        *,
        incarnation: str,
        settings: ClaimSettings | None = None,
        wall_offset_s: float = 0.0,
    ) -> None:
        """Take the unix time at monotonic zero, so a stepped clock changes nothing."""
        self._me = incarnation
        self._settings = settings or ClaimSettings()
        self._wall_offset_s = wall_offset_s
        self._fold = ClaimFold(
            max_keys=self._settings.max_keys, skew_s=self._settings.clock_skew_s
        )
        self._entries: dict[ClaimKey, Entry] = {}
        self._expiry: list[tuple[int, str, str]] = []
        self._unminted = 0
        self._claims: dict[str, Entry] = {}
        self._releases = Releases(retry_s=self._settings.release_retry_s)
        self._answers = AnswerStore(
            lifetime_s=self._settings.answer_lifetime_s,
            max_answer_bytes=self._settings.max_answer_bytes,
            max_stored_bytes=self._settings.max_stored_bytes,
        )
        self._gone = GoneOwners()
        self._log_down_until = -math.inf
        self._sequence = 0
        self._closed = False

    def begin(self, request: ClaimRequest, now: float) -> Effects:
        """Decide what to do with a request."""
        parsed = parse_key(request.key)
        if parsed is None:
            return [refuse_malformed(request)]
        refusal = refuse_by_age(
            request,
            parsed,
            wall_s=self._get_wall(now),
            floor_s=self._fold.floor,
            settings=self._settings,
        )
        if refusal is not None:
            return [refusal]
        key = ClaimKey(account=request.account, text=request.key)
        entry = self._entries.get(key)
        if entry is not None:
            return [self._repeat(entry, request)]
        if parsed.incarnation is None:
            return self._begin_free(key, request, parsed, now)
        if parsed.incarnation != self._me:
            return [self._pass_on(key, request, parsed.incarnation)]
        return self._begin_bound(key, request, parsed)

    def on_append_failed(self, failed: AppendFailed, now: float) -> Effects:
        """Refuse a claim that is surely not in the log; else wait for the read."""
        if not failed.definite:
            return []
        self._log_down_until = now + self._settings.log_retry_s
        entry = self._claims.pop(failed.id, None)
        if entry is None:
            return []
        self._forget(entry)
        return self._refuse_all(entry, problem_log_down(self._settings.log_retry_s))

    def on_log_read(self, read: LogRead, now: float) -> Effects:
        """Take records of the stream of claims, in order and without a gap."""
        if read.stream is not Stream.CLAIMS:
            return []
        self._fold.start_read(read, self._get_wall(now))
        effects: Effects = []
        for record in read.records:
            effects += self._take_record(record, now)
        return effects

    def finished(self, key: ClaimKey, outcome: Outcome, now: float) -> Effects:
        """Store the outcome of a dispatched key and answer those that joined."""
        entry = self._entries.get(key)
        if entry is None or entry.state is not State.DISPATCHED:
            return []
        waiting, entry.waiting = entry.waiting, []
        effects: Effects = [Replay(request_id=id_, outcome=outcome) for id_ in waiting]
        if outcome.ran is Ran.NO:
            # It surely had no effect, so a repeat may run: the key is free again.
            self._forget(entry)
            return effects + self._release(entry, now)
        entry.state = State.FINISHED
        self._answers.store(key, outcome, now)
        return effects

    def abandon(self, key: ClaimKey, now: float) -> Effects:
        """Give up a key whose request was not dispatched."""
        entry = self._entries.get(key)
        if entry is None or entry.state is not State.CLAIMING:
            return []
        return self._give_up(entry, problem_slow_claim(), now)

    def forward_failed(
        self, request: ClaimRequest, incarnation: str, now: float
    ) -> Effects:
        """Answer for an incarnation that could not be reached or is not known."""
        del now
        key = ClaimKey(account=request.account, text=request.key)
        return [self._gone.answer(key, request, incarnation)]

    def mark_gone(self, incarnation: str) -> None:
        """Note that an incarnation is dead or has stopped."""
        self._gone.mark(incarnation)

    def mark_returned(self, incarnation: str) -> None:
        """Note that an incarnation held dead has answered again."""
        # It was only cut off or paused, and may still dispatch its keys: answering
        # for it would keep "unknown" for good where its owner can tell. Passing on
        # is safe, because nobody but the owner dispatches.
        self._gone.unmark(incarnation)

    def expire(self, now: float) -> Effects:
        """Give up slow claims, repeat releases, forget what has expired."""
        effects: Effects = []
        limit = now - self._settings.claim_wait_s
        slow = [e for e in self._claims.values() if e.claimed_at < limit]
        for entry in slow:
            effects += self._give_up(entry, problem_slow_claim(), now)
        effects += self._releases.repeat(now)
        self._raise_floor(self._get_wall(now) - self._settings.key_lifetime_s)
        self._answers.expire(now)
        return effects

    def hand_over(self, peers: Sequence[str], now: float) -> Effects:
        """Dispatch nothing from now on and give the table of keys to peers."""
        self._closed = True
        effects: Effects = []
        for entry in list(self._claims.values()):
            effects += self._give_up(entry, problem_leaving(), now)
        keys = [
            HandedKey(
                account=entry.key.account,
                key=entry.key.text,
                body_hash=entry.body_hash,
                outcome=self._answers.get(entry.key),
            )
            for entry in self._entries.values()
        ]
        messages = split_hand_over(
            incarnation=self._me, floor=self._fold.floor, keys=keys
        )
        effects += [Send(to=p, message=m) for p in peers for m in messages]
        return effects

    def on_hand_over(self, message: HandOver, now: float) -> Effects:
        """Take a part of a stopped incarnation's table."""
        del now
        self._gone.take(message)
        return []

    def describe(self) -> dict[str, int]:
        """Return counts for the state dump."""
        return {
            "keys": len(self._entries),
            "claims_pending": len(self._claims),
            "releases_pending": len(self._releases),
            "keys_in_log": len(self._fold),
            "stored_bytes": self._answers.stored_bytes,
        }

    def _get_wall(self, now: float) -> float:
        return now + self._wall_offset_s

    def _repeat(self, entry: Entry, request: ClaimRequest) -> Join | Replay | Refuse:
        if entry.body_hash != request.body_hash:
            return refuse_reused(request)
        if entry.state is not State.FINISHED:
            entry.waiting.append(request.request_id)
            return Join(request_id=request.request_id, key=entry.key)
        outcome = self._answers.get(entry.key)
        if outcome is None:
            return refuse_unstored(request)
        return Replay(request_id=request.request_id, outcome=outcome)

    def _begin_bound(
        self, key: ClaimKey, request: ClaimRequest, parsed: ParsedKey
    ) -> Effects:
        if self._closed:
            return [Refuse(request_id=request.request_id, problem=problem_leaving())]
        if parsed.minted_s is None and self._unminted >= self._settings.max_unminted:
            return [refuse_unminted(request)]
        entry = self._add(key, request, parsed.minted_s)
        return self._dispatch(entry)

    def _begin_free(
        self, key: ClaimKey, request: ClaimRequest, parsed: ParsedKey, now: float
    ) -> Effects:
        holder = self._fold.get_holder(key)
        if holder is not None:
            if holder.body_hash != request.body_hash:
                return [refuse_reused(request)]
            passed_on = self._pass_on(key, request, holder.owner)
            return [passed_on, *self._free_key(key, holder, parsed, now)]
        if self._closed:
            return [Refuse(request_id=request.request_id, problem=problem_leaving())]
        if now < self._log_down_until:
            problem = problem_log_down(self._settings.log_retry_s)
            return [Refuse(request_id=request.request_id, problem=problem)]
        entry = self._add(key, request, parsed.minted_s)
        return [self._append_claim(entry, now)]

    def _free_key(
        self, key: ClaimKey, holder: Holder, parsed: ParsedKey, now: float
    ) -> Effects:
        """Release the claim of a stopped owner that never ran the key."""
        # The owner gave the claim up, but it may have ended before its own release
        # reached the log; the key would stay claimed by nobody until it expires.
        if not self._gone.has_never_run(key, holder.owner, parsed.minted_s):
            return []
        if self._releases.is_pending(holder.claim_id):
            return []
        return [self._append_release(key, holder.claim_id, parsed.minted_s, now)]

    def _append_claim(self, entry: Entry, now: float) -> Append:
        self._sequence += 1
        claim_id = f"{self._me}:{self._sequence}"
        entry.claim_id = claim_id
        entry.claimed_at = now
        self._claims[claim_id] = entry
        record = ClaimRecord(
            account=entry.key.account,
            key=entry.key.text,
            body_hash=entry.body_hash,
            owner=self._me,
            minted_s=entry.minted_s or 0,
            written_s=self._get_wall(now),
        )
        return Append(stream=Stream.CLAIMS, id=claim_id, body=_ENCODER.encode(record))

    def _take_record(self, record: LogRecord, now: float) -> Effects:
        key = self._fold.apply(record)
        self._releases.on_read(record)
        entry = self._claims.pop(record.id, None)
        if entry is None or key is None:
            return []
        return self._take_own_claim(entry, now)

    def _take_own_claim(self, entry: Entry, now: float) -> Effects:
        holder = self._fold.get_holder(entry.key)
        # An acknowledged append says nothing of claims before it: only the claim
        # that the log shows first may dispatch, so two claimants never both do.
        if holder is None or holder.claim_id != entry.claim_id:
            self._forget(entry)
            return self._lose(entry, holder.owner if holder else self._me)
        # A claimant that was paused wakes with an old read. Its callers were told
        # something else meanwhile; giving the claim up keeps "not run" true.
        late = now - entry.claimed_at > self._settings.claim_wait_s
        if late or now > entry.request.deadline_at:
            return self._give_up(entry, problem_slow_claim(), now)
        return self._dispatch(entry)

    def _lose(self, entry: Entry, owner: str) -> Effects:
        ids = [entry.request.request_id, *entry.waiting]
        if owner == self._me:
            # Its own earlier claim, given up, whose release is not yet in the log.
            return self._refuse_all(entry, problem_slow_claim())
        requests = [msgspec.structs.replace(entry.request, request_id=i) for i in ids]
        return [self._pass_on(entry.key, request, owner) for request in requests]

    def _dispatch(self, entry: Entry) -> Effects:
        # The state moves before the effect is handed out: a repeat that arrives
        # while the shell still holds the effect joins it and never dispatches.
        entry.state = State.DISPATCHED
        return [Dispatch(request_id=entry.request.request_id, key=entry.key)]

    def _pass_on(
        self, key: ClaimKey, request: ClaimRequest, owner: str
    ) -> Forward | Replay | Refuse:
        if owner == self._me:
            # Its own claim without an entry: given up, the release is on its way.
            return Refuse(request_id=request.request_id, problem=problem_slow_claim())
        if self._gone.is_known(owner):
            return self._gone.answer(key, request, owner)
        return Forward(request_id=request.request_id, incarnation=owner)

    def _give_up(self, entry: Entry, problem: Problem, now: float) -> Effects:
        if entry.claim_id is not None:
            self._claims.pop(entry.claim_id, None)
        self._forget(entry)
        return self._refuse_all(entry, problem) + self._release(entry, now)

    def _release(self, entry: Entry, now: float) -> Effects:
        if entry.claim_id is None:
            return []
        return [self._append_release(entry.key, entry.claim_id, entry.minted_s, now)]

    def _append_release(
        self, key: ClaimKey, claim_id: str, minted_s: int | None, now: float
    ) -> Append:
        return self._releases.start(
            claim_id=claim_id,
            key=key,
            minted_s=minted_s or 0,
            wall_s=self._get_wall(now),
            now=now,
        )

    def _refuse_all(self, entry: Entry, problem: Problem) -> Effects:
        ids = [entry.request.request_id, *entry.waiting]
        entry.waiting = []
        return [Refuse(request_id=id_, problem=problem) for id_ in ids]

    def _add(self, key: ClaimKey, request: ClaimRequest, minted_s: int | None) -> Entry:
        entry = Entry(key=key, request=request, minted_s=minted_s)
        self._entries[key] = entry
        if minted_s is None:
            self._unminted += 1
        else:
            heapq.heappush(self._expiry, (minted_s, key.account, key.text))
            if len(self._expiry) > self._settings.max_keys:
                self._raise_floor(self._expiry[0][0])
        return entry

    def _forget(self, entry: Entry) -> None:
        if self._entries.get(entry.key) is entry:
            del self._entries[entry.key]
            if entry.minted_s is None:
                self._unminted -= 1

    def _raise_floor(self, minted_s: float) -> None:
        self._fold.raise_floor(minted_s)
        kept: list[tuple[int, str, str]] = []
        while self._expiry and self._expiry[0][0] <= self._fold.floor:
            item = heapq.heappop(self._expiry)
            entry = self._entries.get(ClaimKey(account=item[1], text=item[2]))
            if entry is None:
                continue
            if entry.state is State.FINISHED:
                self._forget(entry)
            else:
                kept.append(item)
        for item in kept:
            heapq.heappush(self._expiry, item)
