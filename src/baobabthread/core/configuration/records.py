"""Records of the configuration stream and the verdicts on them."""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from baobabthread.core.messages import LogRecord
from baobabthread.errors import ConfigurationError

MAX_MESSAGE = 300
PART_BYTES = 256_000
"""Size above which a checkpoint is split into several records."""


class Publish(msgspec.Struct, frozen=True, kw_only=True, tag="publish"):
    """Propose a new text for one section; an empty text removes the section."""

    base: int
    """The section's generation that the operator edited; 0 for a new section."""
    section: str
    text: str
    operator: str


class SectionState(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one section as accepted; a removed one has an empty text."""

    name: str
    generation: int
    text: str
    operator: str


class Accepted(msgspec.Struct, frozen=True, kw_only=True, tag="accepted"):
    """Tell that the text is in the configuration from this generation on."""

    generation: int


class Conflict(msgspec.Struct, frozen=True, kw_only=True, tag="conflict"):
    """Tell that another accepted text stands where this one's base was."""

    generation: int
    """The generation of the section at that moment."""
    operator: str
    """The operator who published it; empty when there is none."""


class Invalid(msgspec.Struct, frozen=True, kw_only=True, tag="invalid"):
    """Tell why the text can't be accepted."""

    field: str
    message: str
    remedy: str


class Duplicate(msgspec.Struct, frozen=True, kw_only=True, tag="duplicate"):
    """Tell that the record was applied before and changes nothing."""


class Restated(msgspec.Struct, frozen=True, kw_only=True, tag="restated"):
    """Tell that the record belongs to a checkpoint."""

    read_offset: int
    """The offset whose state the checkpoint holds."""


class Pending(msgspec.Struct, frozen=True, kw_only=True, tag="pending"):
    """Tell that records before this one are missing, so that it must wait."""


Decision: TypeAlias = Accepted | Conflict | Invalid
Verdict: TypeAlias = Decision | Duplicate | Restated | Pending


class Decided(msgspec.Struct, frozen=True, kw_only=True):
    """Remember the verdict on one record id, so that a repeat is dropped."""

    id: str
    offset: int
    decision: Decision


class Restate(msgspec.Struct, frozen=True, kw_only=True, tag="restate"):
    """Hold one part of a checkpoint: the state after `read_offset`."""

    read_offset: int
    generation: int
    part: int
    parts: int
    sections: list[SectionState]
    decided: list[Decided]


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the whole state of a fold after `read_offset`."""

    read_offset: int
    generation: int
    sections: list[SectionState]
    decided: list[Decided]


class Relay(msgspec.Struct, frozen=True, kw_only=True):
    """Answer a peer: the records after its offset, else a snapshot."""

    records: list[LogRecord] = []
    snapshot: Snapshot | None = None


_BODY = msgspec.json.Decoder(Publish | Restate)


def decode_body(record: LogRecord) -> Publish | Restate | Invalid:
    """Decode a body; a broken one is Invalid, since every reader meets it."""
    try:
        body = _BODY.decode(record.body)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return broken_body(str(error))
    if isinstance(body, Restate) and body.read_offset >= record.offset:
        return broken_body("a checkpoint can't hold what comes after it")
    return body


def broken_body(message: str) -> Invalid:
    """Return the verdict on a body that no entry wrote."""
    return Invalid(
        field="body",
        message=message[:MAX_MESSAGE],
        remedy="publish through an entry's admin address",
    )


def explain(error: Exception) -> Invalid:
    """Return the verdict that an error of the checks stands for."""
    if not isinstance(error, ConfigurationError):
        return Invalid(
            field="text",
            message=str(error)[:MAX_MESSAGE],
            remedy="mend the value that the message names",
        )
    return Invalid(
        field=error.field[:MAX_MESSAGE],
        message=error.message[:MAX_MESSAGE],
        remedy=error.remedy[:MAX_MESSAGE],
    )


def record_size(record: LogRecord) -> int:
    """Return the bytes that a kept record takes."""
    return len(memoryview(record.body)) + len(record.id)


def split_snapshot(snapshot: Snapshot) -> list[Restate]:
    """Split a snapshot into parts; equal snapshots give equal parts."""
    groups: list[list[SectionState]] = [[]]
    size = 0
    for section in snapshot.sections:
        length = len(section.text)
        if groups[-1] and size + length > PART_BYTES:
            groups.append([])
            size = 0
        groups[-1].append(section)
        size += length
    return [
        Restate(
            read_offset=snapshot.read_offset,
            generation=snapshot.generation,
            part=index,
            parts=len(groups),
            sections=group,
            decided=snapshot.decided if index == 0 else [],
        )
        for index, group in enumerate(groups)
    ]


def join_parts(parts: list[Restate]) -> Snapshot:
    """Join all parts of one checkpoint."""
    ordered = sorted(parts, key=lambda part: part.part)
    return Snapshot(
        read_offset=ordered[0].read_offset,
        generation=ordered[0].generation,
        sections=[section for part in ordered for section in part.sections],
        decided=[item for part in ordered for item in part.decided],
    )
