"""Every damage to a streamed answer, at every event and every cut of its bytes.

The caller must never be told that a stream is whole when a token is missing, repeated,
another request's, or when its end never came; and what is passed on before the damage
must be a prefix of the true answer.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator
from typing import Any

import msgspec
import pytest

from baobabthread.adapters import streamevents
from baobabthread.adapters.streamevents import EventReader
from baobabthread.ports.engine import Broken, Chunk, Crossed, End
from tests.failures.mutants import Promise, ProofResult, mutant, proof

TOKENS = 5
DONE = b"data: [DONE]\n\n"


def write_event(index: int, *, request_id: str = "r1", finish: bool = False) -> bytes:
    """Return one event of the stream."""
    body: dict[str, Any] = {
        "request_id": request_id,
        "index": index,
        "choices": [{"index": 0, "delta": {}, "finish_reason": None}],
    }
    if finish:
        body["choices"][0]["finish_reason"] = "stop"
        body["usage"] = {"prompt_tokens": 1, "completion_tokens": TOKENS}
        body["signal"] = 0.5
    return b"data: " + msgspec.json.encode(body) + b"\n\n"


WHOLE = [
    *(write_event(index) for index in range(TOKENS)),
    write_event(TOKENS, finish=True),
    DONE,
]

Damage = Callable[[int], list[bytes]]
DAMAGES: dict[str, Damage] = {
    "cut": lambda at: WHOLE[:at],
    "missing": lambda at: WHOLE[:at] + WHOLE[at + 1 :],
    "repeated": lambda at: WHOLE[: at + 1] + WHOLE[at:],
    "swapped": lambda at: [
        *WHOLE[:at],
        *reversed(WHOLE[at : at + 2]),
        *WHOLE[at + 2 :],
    ],
    "crossed": lambda at: [
        *WHOLE[:at],
        write_event(at, request_id="r2"),
        *WHOLE[at + 1 :],
    ],
    "broken": lambda at: [*WHOLE[:at], b"data: {\n\n", *WHOLE[at + 1 :]],
    "torn": lambda at: [*WHOLE[:at], WHOLE[at][: len(WHOLE[at]) // 2]],
}


def list_cells() -> Iterator[tuple[str, int, int]]:
    """Yield each damage, its place, and how many bytes come at a time."""
    sizes = (1, 7, 64, 1_000_000)
    yield from itertools.product(DAMAGES, range(len(WHOLE)), sizes)


def run_cell(damage: str, at: int, size: int) -> list[str]:
    """Return what did not hold for one damaged stream."""
    events = DAMAGES[damage](at)
    data = b"".join(events)
    if data == b"".join(WHOLE):
        return []
    reader = EventReader(request_id="r1", following=0)
    passed = b""
    ends: list[Any] = []
    for start in range(0, len(data), size):
        if ends:
            break
        for item in reader.feed(data[start : start + size]):
            if isinstance(item, Chunk):
                passed += item.raw
            else:
                ends.append(item)
    where = f"{damage} at {at}, {size} bytes at a time"
    violations = []
    if any(isinstance(end, End) for end in ends) and _is_harmful(damage, at):
        violations.append(f"{where}: passed for whole")
    if not b"".join(WHOLE).startswith(passed):
        violations.append(f"{where}: passed on what is not a prefix")
    if damage == "crossed" and at < TOKENS and not _has(ends, Crossed, Broken):
        violations.append(f"{where}: another request's answer went unnoticed")
    return violations


def _has(ends: list[Any], *kinds: type) -> bool:
    return any(isinstance(end, kinds) for end in ends)


def _is_harmful(damage: str, at: int) -> bool:
    """Tell whether the damage concerns what comes before the end mark's arrival."""
    return not (damage == "repeated" and at == len(WHOLE) - 1)


@proof("streams", Promise.WHOLE)
def prove_streams() -> ProofResult:
    """Run all cells."""
    result = ProofResult()
    for damage, at, size in list_cells():
        result.cells += 1
        result.violations += run_cell(damage, at, size)
    return result


def check_streams() -> list[str]:
    """Run all cells, for mutants."""
    return prove_streams().violations


def test_no_damage_passes_for_whole() -> None:
    result = prove_streams()
    assert result.cells > 150
    assert result.violations == []


def test_undamaged_stream_is_whole_however_it_is_cut() -> None:
    for size in (1, 7, 64, 1_000_000):
        data = b"".join(WHOLE)
        reader = EventReader(request_id="r1", following=0)
        items = [
            item
            for start in range(0, len(data), size)
            for item in reader.feed(data[start : start + size])
        ]
        assert isinstance(items[-1], End)
        chunks = [item for item in items if isinstance(item, Chunk)]
        assert b"".join(chunk.raw for chunk in chunks) == b"".join(WHOLE[:TOKENS])


Patch = pytest.MonkeyPatch


@mutant("ids of events are not compared", promise=Promise.WHOLE, check=check_streams)
def ignore_ids(patch: Patch) -> None:
    real = streamevents._decode_event
    real_many = streamevents._decode_events

    def rename(event: Any) -> Any:
        event.request_id = "r1"
        return event

    patch.setattr(streamevents, "_decode_event", lambda raw: rename(real(raw)))
    patch.setattr(
        streamevents,
        "_decode_events",
        lambda raw: [rename(event) for event in real_many(raw)],
    )


@mutant("tokens are not counted", promise=Promise.WHOLE, check=check_streams)
def ignore_indexes(patch: Patch) -> None:
    class AnyIndex(int):
        def __eq__(self, other: object) -> bool:
            return True

        def __ne__(self, other: object) -> bool:
            return False

        __hash__ = int.__hash__

    real = streamevents._decode_event
    patch.setattr(EventReader, "_take_regular", lambda self, whole: None)

    def forgive(raw: bytes) -> Any:
        event = real(raw)
        event.index = AnyIndex(event.index)
        return event

    patch.setattr(streamevents, "_decode_event", forgive)
