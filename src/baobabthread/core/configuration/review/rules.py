"""Rules of the review: small functions that a registry holds by name."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterator

import msgspec

from baobabthread.core.configuration.review.view import View
from baobabthread.core.registry import Registry


class Level(enum.StrEnum):
    """Tell what must be mended from what may be meant."""

    ERROR = "error"
    WARNING = "warning"


class Fault(msgspec.Struct, frozen=True):
    """Place and description of what a rule found."""

    field: str
    message: str
    remedy: str


class Rule(msgspec.Struct, frozen=True, kw_only=True):
    """One rule with the level of what it finds."""

    level: Level
    find: Callable[[View], Iterator[Fault]]


class Finding(msgspec.Struct, frozen=True, kw_only=True):
    """One fault in a text, with the file and the line if they are known."""

    level: Level
    rule: str
    field: str
    message: str
    remedy: str
    file: str = ""
    line: int | None = None


Find = Callable[[View], Iterator[Fault]]

RULES: Registry[Rule] = Registry(what="rule")


def rule(name: str, level: Level = Level.WARNING) -> Callable[[Find], Find]:
    """Return a decorator that enters a function as a rule."""

    def enter(find: Find) -> Find:
        RULES.register(name)(Rule(level=level, find=find))
        return find

    return enter


def review(view: View) -> list[Finding]:
    """Return what the rules find, errors first."""
    findings = [
        Finding(
            level=RULES.get(name).level,
            rule=name,
            field=fault.field,
            message=fault.message,
            remedy=fault.remedy,
        )
        for name in RULES
        for fault in RULES.get(name).find(view)
    ]
    return sorted(findings, key=lambda each: each.level is not Level.ERROR)
