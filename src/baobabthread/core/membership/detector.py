"""Failure detector: one probe a period, helpers, suspicion, death."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import TypeAlias

from baobabthread.core.configuration.freshness import Freshness
from baobabthread.core.membership.messages import (
    Acknowledge,
    Digest,
    MembershipSettings,
    MemberState,
    Probe,
    ProbeRequest,
)
from baobabthread.core.membership.probes import Errand, ProbeLog, Question
from baobabthread.core.membership.table import MemberTable
from baobabthread.core.membership.updates import UpdateQueue
from baobabthread.core.messages import Effects, Send

ENDANGERED_PART = 0.5
"""Part of the probes that go there; the others keep finding who else is gone."""

DigestMaker: TypeAlias = Callable[[str, float], Digest]
"""Make what a message to an entry carries along at a time."""


class Detector:
    """Probe members in turn and judge those that stay silent."""

    __slots__ = (
        "_freshness",
        "_last_tick",
        "_make_digest",
        "_me",
        "_next_period",
        "_probes",
        "_rng",
        "_round",
        "_settings",
        "_table",
        "_updates",
    )

    def __init__(
        self,
        *,
        me: str,
        table: MemberTable,
        updates: UpdateQueue,
        freshness: Freshness,
        make_digest: DigestMaker,
        rng: random.Random,
        settings: MembershipSettings,
    ) -> None:
        self._me = me
        self._table = table
        self._updates = updates
        self._freshness = freshness
        self._make_digest = make_digest
        self._rng = rng
        self._settings = settings
        self._probes = ProbeLog()
        self._round: list[str] = []
        self._next_period = 0.0
        self._last_tick: float | None = None

    def next_due(self) -> float:
        """Return when `tick` has something to do."""
        question = self._probes.current
        if question is None or question.answered:
            return self._next_period
        if question.helped:
            return min(self._next_period, question.asked_at + self._settings.judge_s)
        return min(self._next_period, question.asked_at + self._settings.answer_s)

    def tick(self, now: float) -> Effects:
        """Ask helpers, judge the last probe and start the next one, as is due."""
        self._excuse_pause(now)
        effects = self._ask_helpers(now)
        self._judge_early(now)
        if now < self._next_period:
            return effects
        self._next_period = now + self.choose_period(now)
        self._judge_question(now)
        self._bury(now)
        return effects + self._probe_next(now)

    def probe(self, name: str, now: float) -> Send:
        """Probe an entry out of turn."""
        question = self._probes.ask(name, now)
        return self._send_probe(question, now)

    def acknowledge(self, to: str, sequence: int, subject: str, now: float) -> Send:
        """Answer a probe."""
        message = Acknowledge(
            sequence=sequence, subject=subject, digest=self._make_digest(to, now)
        )
        return Send(to=to, message=message)

    def run_errand(self, asker: str, message: ProbeRequest, now: float) -> Effects:
        """Probe an entry for another one."""
        if message.subject not in self._table:
            return []
        question = self._probes.ask(message.subject, now)
        errand = Errand(asker=asker, sequence=message.sequence)
        self._probes.run_errand(question, errand)
        return [self._send_probe(question, now)]

    def take_answer(self, message: Acknowledge, now: float) -> Effects:
        """Note an answer and pass it on when the probe was an errand."""
        question = self._probes.answer(
            sequence=message.sequence, subject=message.subject
        )
        if question is None:
            return []
        sender = message.digest.sender
        if message.subject == sender.name:
            self._freshness.hear(
                head_age_s=sender.head_age_s,
                read_position=sender.read_position,
                asked_at=question.asked_at,
            )
        errand = self._probes.take_errand(message.sequence)
        if errand is None:
            return []
        return [self.acknowledge(errand.asker, errand.sequence, message.subject, now)]

    def take_failure(self, sequence: int, now: float) -> Effects:
        """Ask helpers at once when the present probe could not be delivered."""
        question = self._probes.current
        if question is None or question.sequence != sequence:
            return []
        return self._ask_helpers(now, at_once=True)

    def list_answers(self, now: float) -> dict[str, bool]:
        """Return who was asked of late, and whether it answered."""
        return self._probes.answers_since(self._evidence_start(now))

    def suspicion_s(self) -> float:
        """Return how long a suspect may take to refute."""
        return self._settings.suspicion_factor * math.log2(len(self._table) + 2)

    def choose_period(self, now: float) -> float:
        """Return the time between two probes, in seconds."""
        # Whoever no longer knows that it is fresh must soon tell an outage of the log
        # from being cut off itself: it asks more entries until it knows.
        if self._freshness.head_age(now) > self._freshness.bound_s / 2:
            return self._settings.stale_period_s
        if self._is_small():
            return self._settings.small_period_s
        if now - self._table.troubled_at < self._settings.alert_s:
            return self._settings.alert_period_s
        return self._settings.period_s

    def _is_small(self) -> bool:
        return len(self._table) <= self._settings.small_size

    def _evidence_start(self, now: float) -> float:
        # Answers from before a cut say nothing about the time after it. Where there
        # are few entries, all were asked again within half the bound; where there
        # are many, the share of answers is an estimate and needs more of them.
        half = self._freshness.bound_s / 2
        if self._is_small():
            return now - half
        last_fresh = now - self._freshness.head_age(now)
        return max(last_fresh + half, now - 4 * half)

    def _excuse_pause(self, now: float) -> None:
        # A process that was paused finds all its questions unanswered and all
        # suspicions run out, though it was itself that did not listen: it would
        # declare everybody dead. It begins a new period and shifts the suspicions.
        last = self._last_tick
        self._last_tick = now
        if last is None or now - last <= self._settings.pause_s:
            return
        self._table.shift_suspicions(now - last)
        self._probes.current = None

    def _judge_early(self, now: float) -> None:
        question = self._probes.current
        if question is None or question.answered:
            return
        if now - question.asked_at < self._settings.judge_s:
            return
        self._judge_question(now)
        # The period that began before the alarm is too long for it.
        self._next_period = min(self._next_period, now + self.choose_period(now))

    def _judge_question(self, now: float) -> None:
        question = self._probes.current
        self._probes.current = None
        if question is None or question.answered:
            return
        if self._table.suspect(question.subject, now):
            self._updates.add(question.subject)

    def _bury(self, now: float) -> None:
        for member in self._table.bury_silent(since=now - self.suspicion_s(), now=now):
            self._updates.add(member.name)

    def _probe_next(self, now: float) -> Effects:
        subject = self._next_subject()
        if subject is None:
            return []
        question = self._probes.ask(subject, now)
        self._probes.current = question
        return [self._send_probe(question, now)]

    def _next_subject(self) -> str | None:
        """Return the next entry of a shuffled round, so that none is left out."""
        endangered = self._table.list_endangered()
        if endangered and self._rng.random() < ENDANGERED_PART:
            return self._rng.choice(endangered)
        for _ in range(2):
            while self._round:
                name = self._round.pop()
                member = self._table.get(name)
                if member is not None and member.state is not MemberState.DEAD:
                    return name
            self._round = [member.name for member in self._table]
            self._rng.shuffle(self._round)
        return None

    def _send_probe(self, question: Question, now: float) -> Send:
        digest = self._make_digest(question.subject, now)
        message = Probe(sequence=question.sequence, digest=digest)
        return Send(to=question.subject, message=message)

    def _ask_helpers(self, now: float, *, at_once: bool = False) -> Effects:
        question = self._probes.current
        if question is None or question.answered or question.helped:
            return []
        if not at_once and now < question.asked_at + self._settings.answer_s:
            return []
        question.helped = True
        names = self._list_helpers(question.subject)
        return [
            Send(
                to=name,
                message=ProbeRequest(
                    sequence=question.sequence,
                    subject=question.subject,
                    digest=self._make_digest(name, now),
                ),
            )
            for name in names
        ]

    def _list_helpers(self, subject: str) -> list[str]:
        # One lost connection between two entries is no death: others that reach the
        # silent one say so, and it stays in the addresses.
        able = (MemberState.ALIVE, MemberState.LEAVING)
        names = [m.name for m in self._table if m.state in able and m.name != subject]
        return self._rng.sample(names, min(self._settings.helpers, len(names)))
