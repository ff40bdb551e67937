"""Roll-outs and quarantines as a fold of the log's stream `rollouts`."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping, Sequence

import msgspec
from transitions import Machine

from baobabthread.core.configuration.configuration import Rollout
from baobabthread.core.messages import LogRecord
from baobabthread.core.models.selection import Barred, Split


class StepAdvanced(msgspec.Struct, frozen=True, kw_only=True, tag="step"):
    """Record that a roll-out reached a step; the first is step 0."""

    rollout: str
    service: str
    step: int
    fence: int
    """Offset of the conductor's claim."""


class RolloutDone(msgspec.Struct, frozen=True, kw_only=True, tag="done"):
    """Record that the new version has taken over."""

    rollout: str
    service: str
    fence: int


class RolledBack(msgspec.Struct, frozen=True, kw_only=True, tag="rolled_back"):
    """Record that the old version has all the traffic again."""

    rollout: str
    service: str
    fence: int
    reason: str


class Quarantined(msgspec.Struct, frozen=True, kw_only=True, tag="quarantined"):
    """Record that a version turned bad; any entry may append it."""

    service: str
    version: str
    call: str | None = None
    """The one kind of call that is bad, or None for all."""
    reason: str
    generation: int
    """Generation in force; publishing the version anew after it lifts the record."""


RolloutRecord = StepAdvanced | RolloutDone | RolledBack | Quarantined

_DECODER = msgspec.json.Decoder(RolloutRecord)
_ENCODER = msgspec.json.Encoder()


def encode_record(record: RolloutRecord) -> bytes:
    """Return a record's JSON."""
    return _ENCODER.encode(record)


class Phase(enum.StrEnum):
    """Order the life of a roll-out."""

    OFFERED = "offered"
    LOADING = "loading"
    CANARY = "canary"
    STEPPING = "stepping"
    DONE = "done"
    ROLLED_BACK = "rolled_back"


UNFINISHED = [Phase.OFFERED, Phase.LOADING, Phase.CANARY, Phase.STEPPING]


class Trigger(enum.StrEnum):
    """Name what moves a roll-out from phase to phase."""

    LOAD = "load"
    EXPOSE = "expose"
    ADVANCE = "advance"
    FINISH = "finish"
    ROLL_BACK = "roll_back"


class Move(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one transition of the life cycle."""

    trigger: Trigger
    sources: Sequence[Phase]
    dest: Phase


MOVES = (
    Move(trigger=Trigger.LOAD, sources=UNFINISHED[:1], dest=Phase.LOADING),
    Move(trigger=Trigger.EXPOSE, sources=UNFINISHED[:2], dest=Phase.CANARY),
    Move(trigger=Trigger.ADVANCE, sources=UNFINISHED, dest=Phase.STEPPING),
    Move(trigger=Trigger.FINISH, sources=UNFINISHED, dest=Phase.DONE),
    Move(trigger=Trigger.ROLL_BACK, sources=UNFINISHED, dest=Phase.ROLLED_BACK),
)


class RolloutLife:
    """Hold how far one roll-out has come."""

    __slots__ = ("_machine", "since_s", "step")

    def __init__(self, *, now: float) -> None:
        self.step = -1
        """The step in force; -1 before the first."""
        self.since_s = now
        """When this entry learnt of the present step."""
        self._machine = Machine(
            states=Phase, initial=Phase.OFFERED, auto_transitions=False
        )
        for move in MOVES:
            self._machine.add_transition(
                trigger=move.trigger.value, source=list(move.sources), dest=move.dest
            )

    @property
    def phase(self) -> Phase:
        """Give the present phase."""
        return Phase(self._machine.state)

    @property
    def is_final(self) -> bool:
        """Tell whether nothing more will happen."""
        return self.phase in (Phase.DONE, Phase.ROLLED_BACK)

    def move(self, trigger: Trigger, *, now: float) -> None:
        """Move to the trigger's next phase.

        Raises `transitions.MachineError` when the present phase doesn't allow it.
        """
        self._machine.trigger(trigger.value)
        self.since_s = now

    def advance(self, step: int, *, now: float) -> None:
        """Enter a later step."""
        self.step = step
        self.move(Trigger.ADVANCE if step else Trigger.EXPOSE, now=now)


class PlannedRollout(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a published roll-out under an id that a later one doesn't share."""

    id: str
    """Its name and a mark of its plan, such as `spring@1f3c09ab`."""
    plan: Rollout


class RolloutFold:
    """Follow the stream `rollouts`; every entry folds the same records alike."""

    def __init__(self) -> None:
        self._lives: dict[str, RolloutLife] = {}
        self._fences: dict[str, int] = {}
        self._planned: list[PlannedRollout] = []
        self._quarantines: dict[tuple[str, str | None], Quarantined] = {}
        self._published: Mapping[str, int] = {}
        self.offset = 0
        """Offset of the last record applied."""

    def configure(
        self,
        *,
        rollouts: Iterable[PlannedRollout],
        published: Mapping[str, int],
        now: float,
    ) -> None:
        """Take over the published roll-outs, in the order of publication.

        `published` gives for each version the generation that last changed its text.
        """
        self._planned = list(rollouts)
        self._published = dict(published)
        for planned in self._planned:
            self._find_life(planned.id, now)

    def apply(self, record: LogRecord, *, now: float) -> bool:
        """Take in one record and tell whether it changed anything.

        Records are applied in the order of their offsets, each once; a record that
        can't be decoded changes nothing.
        """
        if record.offset <= self.offset:
            return False
        self.offset = record.offset
        try:
            body = _DECODER.decode(record.body)
        except msgspec.DecodeError:
            return False
        if isinstance(body, Quarantined):
            return self._quarantine(body)
        # A conductor that was paused past its lease wakes and still appends. Without
        # the fence its old step would undo the successor's roll-back; the successor's
        # claim has a higher offset, so whatever the old one appends later is ignored.
        if body.fence < self._fences.get(body.service, 0):
            return False
        self._fences[body.service] = body.fence
        return self._move(body, now)

    def _move(self, body: StepAdvanced | RolloutDone | RolledBack, now: float) -> bool:
        life = self._find_life(body.rollout, now)
        if life.is_final:
            return False
        match body:
            case StepAdvanced():
                if body.step <= life.step:
                    return False
                life.advance(body.step, now=now)
            case RolloutDone():
                life.move(Trigger.FINISH, now=now)
            case RolledBack():
                life.move(Trigger.ROLL_BACK, now=now)
        return True

    def _quarantine(self, body: Quarantined) -> bool:
        key = (body.version, body.call)
        known = self._quarantines.get(key)
        if known is not None and known.generation >= body.generation:
            return False
        self._quarantines[key] = body
        return True

    def _find_life(self, rollout: str, now: float) -> RolloutLife:
        life = self._lives.get(rollout)
        if life is None:
            life = self._lives[rollout] = RolloutLife(now=now)
        return life

    def mark_loading(self, rollout: str, *, now: float) -> None:
        """Note that the conductor here has ordered the new version's load."""
        life = self._find_life(rollout, now)
        if life.phase is Phase.OFFERED:
            life.move(Trigger.LOAD, now=now)

    def life(self, rollout: str) -> RolloutLife | None:
        """Return how far a roll-out has come, None when it isn't known."""
        return self._lives.get(rollout)

    def planned(self, service: str) -> Sequence[PlannedRollout]:
        """Return a service's published roll-outs."""
        return [each for each in self._planned if each.plan.service == service]

    def unfinished(self) -> list[PlannedRollout]:
        """Return the roll-outs that a conductor still has to move."""
        return [each for each in self._planned if not self._lives[each.id].is_final]

    def fence(self, service: str) -> int:
        """Return the highest fencing number seen in a service's records."""
        return self._fences.get(service, 0)

    def splits(
        self, service: str, *, factors: Mapping[str, float] | None = None
    ) -> list[Split]:
        """Return the service's splits of traffic for `choose_versions`.

        `factors` lowers the share of new versions that a detector suspects.
        """
        result = []
        for planned in self.planned(service):
            share = self._find_share(planned)
            if factors and not self._lives[planned.id].is_final:
                share *= factors.get(planned.plan.new, 1.0)
            result.append(
                Split(
                    rollout=planned.id,
                    old=planned.plan.old,
                    new=planned.plan.new,
                    share=share,
                )
            )
        return result

    def _find_share(self, planned: PlannedRollout) -> float:
        life = self._lives[planned.id]
        if life.phase is Phase.DONE:
            return 1.0
        if life.phase is Phase.ROLLED_BACK or life.step < 0:
            return 0.0
        steps = planned.plan.steps
        return steps[min(life.step, len(steps) - 1)]

    def share(self, service: str, version: str) -> float:
        """Return a version's share of the place that a roll-out gives or takes.

        Versions that no roll-out names have all of their own place.
        """
        share = 1.0
        for split in self.splits(service):
            if split.new == version:
                share = split.share
            elif split.old == version:
                share *= 1 - split.share
        return share

    def quarantined(self) -> frozenset[Barred]:
        """Return the versions, or calls of them, that get no new request."""
        return frozenset(
            Barred(version=record.version, call=record.call)
            for record in self._quarantines.values()
            if self._published.get(record.version, 0) <= record.generation
        )

    def restate(self, service: str, *, fence: int) -> list[RolloutRecord]:
        """Return records that rebuild a service's state, for before they expire.

        Restated records change nothing where the state is known.
        """
        records: list[RolloutRecord] = []
        for planned in self.planned(service):
            life = self._lives[planned.id]
            if life.step >= 0:
                records.append(
                    StepAdvanced(
                        rollout=planned.id, service=service, step=life.step, fence=fence
                    )
                )
            if life.phase is Phase.DONE:
                records.append(
                    RolloutDone(rollout=planned.id, service=service, fence=fence)
                )
            if life.phase is Phase.ROLLED_BACK:
                records.append(
                    RolledBack(
                        rollout=planned.id,
                        service=service,
                        fence=fence,
                        reason="restated",
                    )
                )
        barred = self.quarantined()
        records += [
            each
            for each in self._quarantines.values()
            if each.service == service
            and Barred(version=each.version, call=each.call) in barred
        ]
        return records
