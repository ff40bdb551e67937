"""Fold the stream of claims: the first claim of a key holds it until released."""

from __future__ import annotations

import heapq

import msgspec

from baobabthread.core.claims.keys import ClaimKey
from baobabthread.core.messages import LogRead, LogRecord


class ClaimRecord(msgspec.Struct, frozen=True, kw_only=True, tag="claim"):
    """Claim a free key for one incarnation; the record's id names the claim."""

    account: str
    key: str
    body_hash: str
    owner: str
    minted_s: int
    written_s: float
    """The writer's unix time."""


class ReleaseRecord(msgspec.Struct, frozen=True, kw_only=True, tag="release"):
    """Give up a claim whose request was not dispatched or did not run."""

    claim_id: str
    account: str
    key: str
    minted_s: int
    written_s: float


_DECODER = msgspec.json.Decoder(ClaimRecord | ReleaseRecord)


class Holder(msgspec.Struct, frozen=True, kw_only=True):
    """Tell which claim holds a key."""

    owner: str
    claim_id: str
    body_hash: str


class ClaimFold:
    """Keep the holder of each key that is not yet expired, in bounded memory."""

    __slots__ = ("_heap", "_holders", "_max_keys", "_next", "_skew_s", "_void", "floor")

    def __init__(self, *, max_keys: int, skew_s: float) -> None:
        self.floor: float = 0.0
        """Keys minted at or before this unix time are refused as expired."""
        self._max_keys = max_keys
        self._skew_s = skew_s
        self._holders: dict[ClaimKey, Holder] = {}
        self._void: dict[str, int] = {}
        self._heap: list[tuple[int, str, ClaimKey]] = []
        self._next = 1

    def __len__(self) -> int:
        return len(self._holders)

    def get_holder(self, key: ClaimKey) -> Holder | None:
        """Return the claim that holds a key."""
        return self._holders.get(key)

    def is_void(self, claim_id: str) -> bool:
        """Tell whether a claim was released."""
        return claim_id in self._void

    def start_read(self, read: LogRead, wall_s: float) -> None:
        """Raise the floor over what the log lost before this read."""
        if read.first > self._next:
            # A claim lost to the log's retention would let its key run again. It
            # was written before the first record still held, and its mint time was
            # checked by its writer, so all keys that can be lost are below this.
            written_s = wall_s
            if read.records:
                written_s = _decode(read.records[0], wall_s)
            self.raise_floor(written_s + 2 * self._skew_s)
        self._next = max(self._next, read.head + 1)

    def apply(self, record: LogRecord) -> ClaimKey | None:
        """Apply one record in log order; return the key that it is about."""
        try:
            body = _DECODER.decode(record.body)
        except msgspec.DecodeError:
            return None
        key = ClaimKey(account=body.account, text=body.key)
        if isinstance(body, ReleaseRecord):
            self._release(key, body)
        elif body.minted_s > self.floor:
            self._claim(key, record.id, body)
        return key

    def raise_floor(self, minted_s: float) -> None:
        """Forget all keys minted at or before a time, and refuse them from now on."""
        self.floor = max(self.floor, minted_s)
        while self._heap and self._heap[0][0] <= self.floor:
            _, claim_id, key = heapq.heappop(self._heap)
            self._void.pop(claim_id, None)
            holder = self._holders.get(key)
            if holder is not None and holder.claim_id == claim_id:
                del self._holders[key]

    def _claim(self, key: ClaimKey, claim_id: str, body: ClaimRecord) -> None:
        # A claim that was released may reach the log after its release, when the
        # append was late or repeated. It would hold the key for ever, since its
        # owner gave it up; the release has voided its id.
        if claim_id in self._void or key in self._holders:
            return
        self._holders[key] = Holder(
            owner=body.owner, claim_id=claim_id, body_hash=body.body_hash
        )
        heapq.heappush(self._heap, (body.minted_s, claim_id, key))
        self._bound_memory()

    def _release(self, key: ClaimKey, body: ReleaseRecord) -> None:
        if body.minted_s <= self.floor or body.claim_id in self._void:
            return
        self._void[body.claim_id] = body.minted_s
        heapq.heappush(self._heap, (body.minted_s, body.claim_id, key))
        holder = self._holders.get(key)
        if holder is not None and holder.claim_id == body.claim_id:
            del self._holders[key]
        self._bound_memory()

    def _bound_memory(self) -> None:
        # Forgetting a key would let it run again; raising the floor to its mint
        # time refuses it instead, so the memory is bounded and nothing is doubled.
        while len(self._heap) > self._max_keys:
            self.raise_floor(self._heap[0][0])


def _decode(record: LogRecord, wall_s: float) -> float:
    try:
        return _DECODER.decode(record.body).written_s
    except msgspec.DecodeError:
        return wall_s
