"""Fold of the configuration stream: which published texts are accepted."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

from baobabthread.core.configuration.configuration import (
    Configuration,
    SectionText,
    parse_section,
)
from baobabthread.core.configuration.merge import MergedSections, Proposal
from baobabthread.core.configuration.records import (
    Accepted,
    Conflict,
    Decided,
    Decision,
    Duplicate,
    Invalid,
    Pending,
    Publish,
    Relay,
    Restate,
    Restated,
    SectionState,
    Snapshot,
    Verdict,
    decode_body,
    explain,
    join_parts,
    record_size,
)
from baobabthread.core.messages import LogRead, LogRecord
from baobabthread.errors import ConfigurationError

MAX_SECTIONS = 4_096
MAX_SECTION_NAME = 128
REPEAT_WINDOW = 512
"""Offsets for which the fold remembers record ids, to drop repeats."""
RELAY_RECORDS = 1_024
RELAY_BYTES = 4_000_000
PENDING_BYTES = 32_000_000
_BROKEN = (ConfigurationError, ValueError, RecursionError)
"""What a text can raise; the parsers raise plain ValueError for huge numbers."""


class ConfigurationFold:
    """Compute the configuration from the log; equal logs give equal results."""

    __slots__ = (
        "_decided",
        "_first",
        "_has_state",
        "_merged",
        "_parts",
        "_pending",
        "_pending_bytes",
        "_read_offset",
        "_relay",
        "_relay_bytes",
        "_relay_records",
        "_sections",
        "checkpoint_offset",
        "restated_at",
    )

    def __init__(self, *, relay_records: int = RELAY_RECORDS) -> None:
        self._relay_records = relay_records
        self._has_state = False
        self._merged = MergedSections()
        self._sections: dict[str, SectionState] = {}
        self._decided: dict[str, Decided] = {}
        self._read_offset = 0
        self._first = 0
        self._pending: deque[LogRecord] = deque()
        self._pending_bytes = 0
        self._relay: deque[LogRecord] = deque()
        self._relay_bytes = 0
        self._parts: dict[int, Restate] = {}
        self.checkpoint_offset = 0
        """The state offset of the newest whole checkpoint seen in the log."""
        self.restated_at = 0
        """The log offset of the last record of that checkpoint."""

    @property
    def read_offset(self) -> int:
        """Give the offset up to which every record was applied."""
        return self._read_offset

    @property
    def seen_offset(self) -> int:
        """Give the offset after which to read on in the log."""
        if not self.has_gap:
            return self._read_offset
        seen = self._pending[-1].offset if self._pending else 0
        return max(seen, self._first - 1)

    @property
    def has_gap(self) -> bool:
        """Tell whether records are missing that the log no longer holds."""
        return self._first > self._read_offset + 1

    @property
    def configuration(self) -> Configuration | None:
        """Give the configuration; none before log, peer or checkpoint gave one."""
        return self._merged.configuration if self._has_state else None

    @property
    def generation(self) -> int:
        """Give the offset of the last accepted record, 0 when there is none."""
        return self._merged.configuration.generation

    @property
    def sections(self) -> Mapping[str, SectionState]:
        """Give the sections by name, removed ones with an empty text."""
        return self._sections

    def section_generation(self, name: str) -> int:
        """Return the generation of a section, 0 when it never was."""
        section = self._sections.get(name)
        return section.generation if section else 0

    def verdict_of(self, record_id: str) -> Decision | None:
        """Return the decision on a recent record id, or nothing when unknown."""
        decided = self._decided.get(record_id)
        return decided.decision if decided else None

    def read(self, event: LogRead) -> list[Verdict]:
        """Apply what a read of the stream returned, gaps by retention included."""
        if event.first > self._first:
            self._first = event.first
        if event.head == 0:
            self._has_state = True
        return [self.apply(record) for record in event.records]

    def apply(self, record: LogRecord) -> Verdict:
        """Apply one record in log order and return the verdict on it."""
        if record.offset <= self._read_offset:
            return Duplicate()
        if record.offset == self._read_offset + 1:
            verdict = self._fold(record)
            self._apply_pending()
            return verdict
        return self._wait(record)

    def preview(self, publish: Publish) -> Conflict | Invalid | None:
        """Return the refusal that is already certain, without the log.

        A base above the known generation may be valid at a newer reader: nothing
        is returned and the log decides.
        """
        if publish.base > self.section_generation(publish.section):
            return None
        outcome = self._examine(publish, generation=self._read_offset + 1)
        return None if isinstance(outcome, Proposal) else outcome

    def snapshot(self) -> Snapshot:
        """Return the whole state, equal at every entry that read as far."""
        return Snapshot(
            read_offset=self._read_offset,
            generation=self.generation,
            sections=[self._sections[name] for name in sorted(self._sections)],
            decided=sorted(self._decided.values(), key=lambda item: item.offset),
        )

    def restore(self, snapshot: Snapshot) -> bool:
        """Take over a newer state from a peer; return whether anything changed."""
        if not self._is_newer(snapshot):
            return False
        if not self._adopt(snapshot):
            return False
        self._apply_pending()
        return True

    def relay(self, *, after: int) -> Relay:
        """Return what a peer that has read up to `after` still needs."""
        if after >= self._read_offset:
            return Relay()
        if self._relay and self._relay[0].offset <= after + 1:
            return Relay(records=[r for r in self._relay if r.offset > after])
        return Relay(snapshot=self.snapshot())

    def _fold(self, record: LogRecord) -> Verdict:
        verdict = self._judge(record)
        self._read_offset = record.offset
        self._has_state = True
        self._forget_repeats()
        self._keep_for_relay(record)
        return verdict

    def _judge(self, record: LogRecord) -> Verdict:
        if self._is_repeat(record):
            return Duplicate()
        body = decode_body(record)
        if isinstance(body, Restate):
            self._note_part(body, record.offset)
            return Restated(read_offset=body.read_offset)
        if isinstance(body, Invalid):
            decision: Decision = body
        else:
            decision = self._decide(body, offset=record.offset)
        self._decided[record.id] = Decided(
            id=record.id, offset=record.offset, decision=decision
        )
        return decision

    def _is_repeat(self, record: LogRecord) -> bool:
        # An append whose reply was lost is appended again under the same id. Without
        # this an Invalid record that a later one made valid would be accepted when its
        # repeat arrives, after the operator was told that it failed. The window counts
        # offsets and is part of the state, so that all readers drop the same repeats.
        return record.id in self._decided

    def _decide(self, publish: Publish, *, offset: int) -> Decision:
        outcome = self._examine(publish, generation=offset)
        if not isinstance(outcome, Proposal):
            return outcome
        self._merged.accept(outcome)
        self._sections[publish.section] = SectionState(
            name=publish.section,
            generation=offset,
            text=publish.text if outcome.parsed is not None else "",
            operator=publish.operator,
        )
        return Accepted(generation=offset)

    def _examine(
        self, publish: Publish, *, generation: int
    ) -> Proposal | Conflict | Invalid:
        if not self._base_holds(publish):
            current = self._sections.get(publish.section)
            return Conflict(
                generation=current.generation if current else 0,
                operator=current.operator if current else "",
            )
        try:
            self._check_section(publish)
            return self._merged.propose(
                publish.section, _parse(publish.text), generation=generation
            )
        except _BROKEN as error:
            return explain(error)

    def _base_holds(self, publish: Publish) -> bool:
        # Two operators who edit the same generation at once would overwrite each other
        # silently. Every reader sees the same order, so the first wins everywhere.
        return publish.base == self.section_generation(publish.section)

    def _check_section(self, publish: Publish) -> None:
        name = publish.section
        if not name or len(name) > MAX_SECTION_NAME:
            raise ConfigurationError(
                "not the name of a section",
                field="section",
                remedy=f"give 1 to {MAX_SECTION_NAME} characters",
            )
        if name not in self._sections and len(self._sections) >= MAX_SECTIONS:
            raise ConfigurationError(
                f"more than {MAX_SECTIONS} sections, with removed ones",
                field="section",
                remedy="publish under the name of a removed section",
            )

    def _forget_repeats(self) -> None:
        oldest = self._read_offset - REPEAT_WINDOW
        while self._decided:
            first = next(iter(self._decided.values()))
            if first.offset > oldest:
                return
            del self._decided[first.id]

    def _keep_for_relay(self, record: LogRecord) -> None:
        if self._relay and self._relay[-1].offset + 1 != record.offset:
            self._relay.clear()
            self._relay_bytes = 0
        self._relay.append(record)
        self._relay_bytes += record_size(record)
        while self._is_relay_full():
            self._relay_bytes -= record_size(self._relay.popleft())

    def _is_relay_full(self) -> bool:
        too_many = len(self._relay) > self._relay_records
        return too_many or self._relay_bytes > RELAY_BYTES

    def _wait(self, record: LogRecord) -> Verdict:
        seen = self._pending[-1].offset if self._pending else 0
        if record.offset <= seen:
            return Duplicate()
        if seen and record.offset != seen + 1:
            self._pending.clear()
            self._pending_bytes = 0
        self._pending.append(record)
        self._pending_bytes += record_size(record)
        # An entry that waits for a checkpoint must not grow without bound. The newest
        # records stay: a later checkpoint needs only those after its own state.
        while self._pending_bytes > PENDING_BYTES and len(self._pending) > 1:
            self._pending_bytes -= record_size(self._pending.popleft())
        body = decode_body(record)
        if isinstance(body, Restate):
            self._note_part(body, record.offset)
            return Restated(read_offset=body.read_offset)
        return Pending()

    def _note_part(self, part: Restate, offset: int) -> None:
        """Collect the parts of one checkpoint; equal states split into equal parts."""
        held = next(iter(self._parts.values()), None)
        if held and held.read_offset != part.read_offset:
            if part.read_offset < held.read_offset:
                return
            self._parts.clear()
        self._parts[part.part] = part
        if len(self._parts) < part.parts:
            return
        whole = join_parts(list(self._parts.values()))
        self._parts.clear()
        self.checkpoint_offset = max(self.checkpoint_offset, whole.read_offset)
        self.restated_at = offset
        if self._closes_gap(whole):
            self._adopt(whole)
            self._apply_pending()

    def _closes_gap(self, whole: Snapshot) -> bool:
        # A checkpoint whose following records are partly lost would leave out what
        # was accepted in between: a withdrawn version would be offered again.
        if not self._is_newer(whole) or not self._pending:
            return False
        return self._pending[0].offset <= whole.read_offset + 1

    def _is_newer(self, snapshot: Snapshot) -> bool:
        # An old checkpoint or a late answer of a peer must never take an accepted
        # text back; the state only moves to a later offset of the same log.
        if not self._has_state:
            return True
        return snapshot.read_offset > self._read_offset

    def _keeps_own(self, own: SectionState, stated: SectionState) -> bool:
        # The maximum per section holds whatever the offsets say, so that a checkpoint
        # by a faulty writer can't revert a section either.
        return own.generation >= stated.generation

    def _adopt(self, snapshot: Snapshot) -> bool:
        sections = dict(self._sections)
        for stated in snapshot.sections:
            own = sections.get(stated.name)
            if own is None or not self._keeps_own(own, stated):
                sections[stated.name] = stated
        try:
            self._merged.load(
                self._parse_all(sections),
                generation=max(snapshot.generation, self.generation),
            )
        except _BROKEN:
            return False
        self._has_state = True
        self._sections = sections
        self._decided = {item.id: item for item in snapshot.decided}
        self._read_offset = snapshot.read_offset
        self._relay.clear()
        self._relay_bytes = 0
        return True

    def _parse_all(
        self, sections: Mapping[str, SectionState]
    ) -> dict[str, SectionText]:
        """Parse the sections in order of names, unchanged ones not again."""
        result: dict[str, SectionText] = {}
        for name in sorted(sections):
            held = self._merged.sections.get(name)
            unchanged = sections[name] is self._sections.get(name)
            parsed = held if unchanged else _parse(sections[name].text)
            if parsed is not None:
                result[name] = parsed
        return result

    def _apply_pending(self) -> None:
        while self._pending and self._pending[0].offset <= self._read_offset + 1:
            record = self._pending.popleft()
            self._pending_bytes -= record_size(record)
            if record.offset > self._read_offset:
                self._fold(record)


def _parse(text: str) -> SectionText | None:
    """Parse a section; an empty text means that there is none."""
    return parse_section(text) if text.strip() else None
