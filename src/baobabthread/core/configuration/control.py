"""Agreement at one entry: configuration, membership and what they decide."""

from __future__ import annotations

import random
from collections.abc import Sequence

import msgspec

from baobabthread.core.configuration.checkpoint import CheckpointPlanner
from baobabthread.core.configuration.configuration import Configuration, OnStale
from baobabthread.core.configuration.fold import ConfigurationFold
from baobabthread.core.configuration.freshness import Freshness, FreshnessSettings
from baobabthread.core.configuration.publisher import (
    NotAppended,
    Outcome,
    Publisher,
    Unknown,
)
from baobabthread.core.configuration.records import (
    Accepted,
    Conflict,
    Invalid,
    Publish,
    Relay,
)
from baobabthread.core.events import PublishEnded, PublishRequested
from baobabthread.core.membership.membership import Membership
from baobabthread.core.membership.messages import (
    FetchRecords,
    MemberInfo,
    MembershipMessage,
)
from baobabthread.core.messages import (
    Appended,
    AppendFailed,
    Effects,
    LogRead,
    Send,
)
from baobabthread.core.positions import OperatorsPosition
from baobabthread.errors import Kind, Problem, Ran

PUBLISH_LIMIT_S = 10.0


class FetchConfiguration(
    msgspec.Struct, frozen=True, kw_only=True, tag="control.fetch"
):
    """Ask a peer for what it has folded after an offset."""

    after: int


class ConfigurationRelay(
    msgspec.Struct, frozen=True, kw_only=True, tag="control.relay"
):
    """Answer with records of the configuration stream or a snapshot."""

    relay: Relay


ControlMessage = FetchConfiguration | ConfigurationRelay


class ConfigurationChanged(msgspec.Struct, frozen=True, kw_only=True):
    """Tell that another configuration is in force here (an effect)."""

    configuration: Configuration


class Control:
    """Keep the configuration of this entry equal to that of all others."""

    __slots__ = (
        "_planner",
        "_publishing",
        "fold",
        "freshness",
        "head",
        "membership",
        "publisher",
    )

    def __init__(
        self,
        *,
        me: MemberInfo,
        seeds: Sequence[str],
        rng: random.Random,
        now: float,
        freshness_bound_s: float,
    ) -> None:
        self.fold = ConfigurationFold()
        self.publisher = Publisher(fold=self.fold)
        self.freshness = Freshness(
            settings=FreshnessSettings(bound_s=freshness_bound_s)
        )
        self.membership = Membership(
            me=me, seeds=seeds, rng=rng, freshness=self.freshness
        )
        self._planner = CheckpointPlanner(
            me=me.incarnation, fold=self.fold, rng=rng, now=now
        )
        self._publishing: dict[str, float] = {}
        self.head = 0

    @property
    def configuration(self) -> Configuration | None:
        """Give the configuration in force here."""
        return self.fold.configuration

    def may_serve(self, on_stale: OnStale, now: float) -> bool:
        """Tell whether a service may take a request at this entry."""
        return self.freshness.may_serve(on_stale, now)

    def tick(self, now: float) -> Effects:
        """Do what is due."""
        effects = self._send_fetches(self.membership.tick(now))
        effects += self._planner.plan(now)
        effects += self.publisher.repeat(head=self.head, now=now)
        effects += self._settle(now)
        return effects

    def on_log_read(self, event: LogRead, now: float) -> Effects:
        """Fold what the log holds."""
        before = self.fold.generation
        self.fold.read(event)
        self.head = max(self.head, event.head)
        self.freshness.read_head(
            head=OperatorsPosition(offset=event.head), started_at=event.started_at
        )
        self._planner.note_read(event, now=now)
        return self._after_fold(before, now)

    def on_appended(self, event: Appended) -> Effects:
        """Ignore an acknowledgement: only the fold decides."""
        del event
        return []

    def on_append_failed(self, event: AppendFailed, now: float) -> Effects:
        """Note an append that was not acknowledged."""
        self.publisher.fail(event, now=now)
        return []

    def publish(self, event: PublishRequested, now: float) -> Effects:
        """Start publishing a text."""
        decided = self.fold.verdict_of(event.id)
        if decided is not None:
            return [self._end_repeat(event, decided)]
        publish = Publish(
            base=event.base,
            section=event.section,
            text=event.text,
            operator=event.operator,
        )
        started = self.publisher.publish(
            record_id=event.id,
            publish=publish,
            now=now,
            deadline=now + PUBLISH_LIMIT_S,
        )
        if isinstance(started, list):
            self._publishing[event.id] = now
            return started
        return [_end(event.id, started)]

    def _end_repeat(
        self, event: PublishRequested, decided: Accepted | Conflict | Invalid
    ) -> PublishEnded:
        """Answer a publish whose id is in the log already."""
        section = self.fold.sections.get(event.section)
        if (
            isinstance(decided, Accepted)
            and section is not None
            and section.generation == decided.generation
            and section.text == event.text
        ):
            return _end(event.id, decided)
        # The fold drops a second record of an id. The verdict on the first one would
        # pass for that on this text: "accepted", though the text is nowhere in force.
        problem = Problem(
            kind=Kind.CONFLICT,
            detail=f"id '{event.id}' was published before",
            remedy="look at 'show', then publish under a fresh id",
            ran=Ran.NO,
        )
        return PublishEnded(id=event.id, problem=problem)

    def handle(self, sender: str, message: ControlMessage, now: float) -> Effects:
        """Serve or take in records that entries relay to each other."""
        if isinstance(message, FetchConfiguration):
            relay = ConfigurationRelay(relay=self.fold.relay(after=message.after))
            return [Send(to=sender, message=relay)]
        before = self.fold.generation
        relay_body = message.relay
        if relay_body.snapshot is not None:
            self.fold.restore(relay_body.snapshot)
        for record in relay_body.records:
            self.fold.apply(record)
        return self._after_fold(before, now)

    def handle_membership(
        self, sender: str, message: MembershipMessage, now: float
    ) -> Effects:
        """Take in a message about members."""
        return self._send_fetches(self.membership.handle(sender, message, now))

    def _after_fold(self, before: int, now: float) -> Effects:
        self.freshness.fold_to(OperatorsPosition(offset=self.fold.read_offset))
        self.membership.report(
            generation=self.fold.generation,
            read_position=self.freshness.folded,
        )
        effects = self._settle(now)
        configuration = self.fold.configuration
        if configuration is None or self.fold.generation == before:
            return effects
        effects.append(ConfigurationChanged(configuration=configuration))
        effects += self.membership.announce(self.fold.generation, now)
        return effects

    def _send_fetches(self, effects: Effects) -> Effects:
        return [
            Send(to=effect.peer, message=FetchConfiguration(after=effect.after))
            if isinstance(effect, FetchRecords)
            else effect
            for effect in effects
        ]

    def _settle(self, now: float) -> Effects:
        effects: Effects = []
        for record_id in list(self._publishing):
            outcome = self.publisher.settle(record_id=record_id, now=now)
            if outcome is not None:
                del self._publishing[record_id]
                effects.append(_end(record_id, outcome))
        return effects


def _end(record_id: str, outcome: Outcome) -> PublishEnded:
    if isinstance(outcome, Accepted):
        return PublishEnded(id=record_id, generation=outcome.generation)
    return PublishEnded(id=record_id, problem=_explain(outcome))


def _explain(outcome: Conflict | Invalid | Unknown | NotAppended) -> Problem:
    if isinstance(outcome, Conflict):
        return Problem(
            kind=Kind.CONFLICT,
            detail=f"generation {outcome.generation} by '{outcome.operator}' stands",
            remedy=f"edit the text of generation {outcome.generation}, publish again",
            ran=Ran.NO,
        )
    if isinstance(outcome, Invalid):
        return Problem(
            kind=Kind.INVALID_CONFIGURATION,
            detail=f"{outcome.field}: {outcome.message}",
            remedy=outcome.remedy,
            ran=Ran.NO,
        )
    if isinstance(outcome, Unknown):
        return Problem(
            kind=Kind.LOG_UNAVAILABLE,
            detail=f"the log did not confirm record {outcome.id}",
            remedy="look at 'show' before you publish again",
            ran=Ran.UNKNOWN,
            retry_after_s=1.0,
        )
    return Problem(
        kind=Kind.LOG_UNAVAILABLE,
        detail="the log does not take records now; nothing was published",
        remedy="publish again when the log answers",
        ran=Ran.NO,
        retry_after_s=1.0,
    )
