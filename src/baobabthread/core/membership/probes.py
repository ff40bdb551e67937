"""Probes under way: who was asked, who answered, and on whose behalf."""

from __future__ import annotations

from collections import deque

import msgspec

MAX_ASKED = 64


class Question(msgspec.Struct, kw_only=True):
    """Follow one probe until its answer or the end of its period."""

    sequence: int
    subject: str
    asked_at: float
    helped: bool = False
    """Whether other entries were asked to try it too."""
    answered: bool = False


class Errand(msgspec.Struct, frozen=True, kw_only=True):
    """Remember for whom this entry probes another one."""

    asker: str
    sequence: int
    """The number that the asker gave to its own probe."""


class ProbeLog:
    """Keep the last probes of this entry and their answers."""

    __slots__ = ("_asked", "_errands", "_sequence", "current")

    def __init__(self) -> None:
        self._asked: deque[Question] = deque(maxlen=MAX_ASKED)
        self._errands: dict[int, Errand] = {}
        self._sequence = 0
        self.current: Question | None = None
        """The probe that decides about its subject at the end of the period."""

    def ask(self, subject: str, now: float) -> Question:
        """Note a new probe and give it a number."""
        self._sequence += 1
        question = Question(sequence=self._sequence, subject=subject, asked_at=now)
        self._asked.append(question)
        return question

    def run_errand(self, question: Question, errand: Errand) -> None:
        """Note that a probe is made for another entry."""
        self._errands[question.sequence] = errand
        while len(self._errands) > MAX_ASKED:
            del self._errands[next(iter(self._errands))]

    def answer(self, *, sequence: int, subject: str) -> Question | None:
        """Note an answer; return its question, or nothing when none was asked."""
        for question in reversed(self._asked):
            if question.sequence == sequence and question.subject == subject:
                question.answered = True
                return question
        return None

    def take_errand(self, sequence: int) -> Errand | None:
        """Return for whom a probe was made, once."""
        return self._errands.pop(sequence, None)

    def answers_since(self, since: float) -> dict[str, bool]:
        """Return who was asked from a time on, and whether it answered."""
        answers: dict[str, bool] = {}
        for question in self._asked:
            if question.asked_at >= since:
                answered = answers.get(question.subject, False)
                answers[question.subject] = answered or question.answered
        return answers
