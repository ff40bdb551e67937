"""Counts of answers and ratings, shared by the entries through gossip."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from baobabthread.core.models.calibration import (
    Cell,
    CellCounts,
    CellKey,
    pack_cell,
    unpack_cell,
)

MAX_CELLS = 4000
MAX_ORIGINS = 1000
MAX_REQUESTS = 300.0
"""Requests that one entry remembers for the mix before it halves them."""
MAX_SERVED = 4000.0
"""Served answers that one entry remembers before it halves them."""
FORGET_ORIGIN_S = 3600.0
"""An origin that has been silent for longer is left out: its entry is gone."""


class MixKey(msgspec.Struct, frozen=True, array_like=True):
    """Name one kind of request: its call and the versions allowed to it."""

    call: str
    versions: tuple[str, ...]


class MixCount(msgspec.Struct, frozen=True, array_like=True):
    """Hold how many requests of one kind an entry saw, on the wire."""

    key: MixKey
    requests: int


class ServedCount(msgspec.Struct, frozen=True, array_like=True):
    """Hold how good an entry's served answers were expected and found to be."""

    answers: float = 0.0
    expected: float = 0.0
    """Sum of their chances of being good."""
    weight: float = 0.0
    """Answers that the rated ones among them stand for."""
    surprise: float = 0.0
    """Sum over those of weight times (good less the chance)."""

    def add(self, other: ServedCount) -> ServedCount:
        """Return the sum of both."""
        return ServedCount(
            self.answers + other.answers,
            self.expected + other.expected,
            self.weight + other.weight,
            self.surprise + other.surprise,
        )

    def halve(self) -> ServedCount:
        """Return half of each count."""
        return ServedCount(
            self.answers / 2, self.expected / 2, self.weight / 2, self.surprise / 2
        )

    @property
    def quality(self) -> float:
        """Give the share of good answers, as expected and corrected by ratings."""
        return self.expected / self.answers + self.surprise / (self.weight + 1)


class Evidence(msgspec.Struct, frozen=True, array_like=True):
    """Hold all that one entry counted for one service."""

    sequence: int
    cells: list[CellCounts]
    mix: list[MixCount]
    served: ServedCount


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Evidence)


class _Origin:
    __slots__ = ("cells", "evidence", "heard_s")

    def __init__(self, *, now: float) -> None:
        self.evidence = Evidence(0, [], [], ServedCount())
        self.cells: dict[CellKey, CellCounts] = {}
        self.heard_s = now


class SharedEvidence:
    """Add up what this entry counted and what it heard from the others."""

    def __init__(self) -> None:
        self._own: dict[CellKey, Cell] = {}
        self._mix: dict[MixKey, float] = {}
        self._requests = 0.0
        """Sum over the mix."""
        self._origins: dict[str, _Origin] = {}
        self._heard: dict[CellKey, Cell] = {}
        """Sums over all origins, kept up to date as their counts change."""
        self._sequence = 0
        self._served = ServedCount()
        self.last_rating_s: float | None = None

    def find_total(self, key: CellKey) -> Cell:
        """Return the counts of all entries for one cell."""
        total = Cell()
        for cells in (self._heard, self._own):
            cell = cells.get(key)
            if cell is not None:
                total.add(cell)
        return total

    def count_rated(self, key: CellKey) -> float:
        """Return how many ratings of one cell all entries remember."""
        cells = (self._heard.get(key), self._own.get(key))
        return sum(sum(cell.rated) for cell in cells if cell is not None)

    def count_all_rated(self) -> float:
        """Return how many ratings all entries remember."""
        return _count_rated(self._heard) + _count_rated(self._own)

    def count_request(self, key: MixKey) -> None:
        """Count one request towards the mix."""
        if key not in self._mix and len(self._mix) >= MAX_CELLS:
            return
        self._mix[key] = self._mix.get(key, 0.0) + 1
        self._requests += 1
        if self._requests > MAX_REQUESTS:
            halves = {key: count / 2 for key, count in self._mix.items()}
            self._mix = {key: count for key, count in halves.items() if count > 0.1}
            self._requests = sum(self._mix.values())

    def count_answer(self, key: CellKey, *, bin_index: int, tokens: int) -> None:
        """Count one answer of this entry."""
        cell = self._find_own(key)
        if cell is not None:
            cell.add_answer(bin_index=bin_index, tokens=tokens)

    def count_rating(
        self, key: CellKey, *, bin_index: int, good: bool, now: float
    ) -> None:
        """Count one rating of an answer of this entry."""
        self.last_rating_s = now
        cell = self._find_own(key)
        if cell is not None:
            cell.add_rating(bin_index=bin_index, good=good)

    def count_served(self, *, expected: float) -> None:
        """Count one answer that a caller gets, and its chance of being good."""
        self._served = self._served.add(ServedCount(1.0, expected, 0.0, 0.0))
        if self._served.answers > MAX_SERVED:
            self._served = self._served.halve()

    def count_surprise(self, *, weight: float, difference: float) -> None:
        """Count a rating of a served answer that stands for `weight` answers."""
        added = ServedCount(0.0, 0.0, weight, weight * difference)
        self._served = self._served.add(added)

    def add_served(self) -> ServedCount:
        """Return the served answers of all entries."""
        total = self._served
        for origin in self._origins.values():
            total = total.add(origin.evidence.served)
        return total

    def _find_own(self, key: CellKey) -> Cell | None:
        cell = self._own.get(key)
        if cell is None and len(self._own) < MAX_CELLS:
            cell = self._own[key] = Cell()
        return cell

    def pack(self) -> bytes:
        """Return this entry's counts for its peers."""
        self._sequence += 1
        cells = [pack_cell(key, cell) for key, cell in self._own.items()]
        mix = [MixCount(key, round(count)) for key, count in self._mix.items()]
        return _ENCODER.encode(Evidence(self._sequence, cells, mix, self._served))

    def merge(self, *, origin: str, evidence: bytes, now: float) -> bool:
        """Take in a peer's counts and say whether they were news.

        Raises `msgspec.DecodeError` for bytes that are no evidence.
        """
        received = _DECODER.decode(evidence)
        known = self._origins.get(origin)
        # Gossip arrives twice and out of order; counts decay, so a maximum would keep
        # the past. Each origin numbers its counts and only a newer set replaces them.
        if known is not None and received.sequence <= known.evidence.sequence:
            return False
        if known is None:
            if len(self._origins) >= MAX_ORIGINS:
                return False
            known = self._origins[origin] = _Origin(now=now)
        if self._replace(known, received):
            self.last_rating_s = now
        known.evidence = received
        known.heard_s = now
        return True

    def _replace(self, origin: _Origin, received: Evidence) -> bool:
        """Put an origin's counts in place and tell whether it has new ratings."""
        rated = False
        for counts in received.cells[:MAX_CELLS]:
            key = CellKey(call=counts.call, version=counts.version, after=counts.after)
            old = origin.cells.get(key)
            if old == counts:
                continue
            total = self._heard.setdefault(key, Cell())
            new_cell = unpack_cell(counts)
            old_cell = unpack_cell(old) if old is not None else Cell()
            total.add(new_cell)
            total.add(old_cell, sign=-1.0)
            rated = rated or new_cell.rated != old_cell.rated
            origin.cells[key] = counts
        return rated

    def forget_silent(self, *, now: float) -> None:
        """Drop the counts of origins whose entries are long gone."""
        for name, origin in list(self._origins.items()):
            if now - origin.heard_s > FORGET_ORIGIN_S:
                for key, counts in origin.cells.items():
                    self._heard[key].add(unpack_cell(counts), sign=-1.0)
                del self._origins[name]

    def add_mix(self) -> dict[MixKey, float]:
        """Return how many requests of each kind all entries saw lately."""
        result = dict(self._mix)
        for origin in self._origins.values():
            for count in origin.evidence.mix:
                result[count.key] = result.get(count.key, 0.0) + count.requests
        return result


def _count_rated(cells: Mapping[CellKey, Cell]) -> float:
    return sum(sum(cell.rated) for cell in cells.values())
