"""What differs between two configurations, row by row."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterator, Mapping

import msgspec

from baobabthread.core.configuration.review.view import View
from baobabthread.core.registry import Registry

SECRET_FIELDS = frozenset({"keys", "key_sha256"})
"""Fields whose values are not shown."""
MAX_VALUE_CHARACTERS = 60


class Action(enum.StrEnum):
    """What becomes of a row."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class Effect(msgspec.Struct, frozen=True):
    """What callers notice of a changed row."""

    row: tuple[str, str]
    text: str


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """One row that differs, with its fields and what callers notice."""

    action: Action
    table: str
    name: str
    fields: tuple[str, ...] = ()
    """Changed fields with old and new values, secrets without."""
    effects: tuple[str, ...] = ()


Find = Callable[[View, View], Iterator[Effect]]

CONSEQUENCES: Registry[Find] = Registry(what="consequence")


def compare(old: View, new: View) -> list[Change]:
    """Return the rows that differ, in the order of the tables."""
    effects: dict[tuple[str, str], list[str]] = {}
    for name in CONSEQUENCES:
        for effect in CONSEQUENCES.get(name)(old, new):
            texts = effects.setdefault(effect.row, [])
            if effect.text not in texts:
                texts.append(effect.text)
    changes = _compare_rows(old, new)
    return [
        msgspec.structs.replace(
            change, effects=tuple(effects.get((change.table, change.name), ()))
        )
        for change in changes
    ]


def _compare_rows(old: View, new: View) -> Iterator[Change]:
    for table in dict.fromkeys([*old.tables, *new.tables]):
        before = old.tables.get(table, {})
        after = new.tables.get(table, {})
        yield from _compare_table(table, before, after)


def _compare_table(
    table: str,
    before: Mapping[str, msgspec.Struct],
    after: Mapping[str, msgspec.Struct],
) -> Iterator[Change]:
    for name in before:
        if name not in after:
            yield Change(action=Action.REMOVED, table=table, name=name)
    for name, row in after.items():
        if name not in before:
            yield Change(action=Action.ADDED, table=table, name=name)
        elif before[name] != row:
            yield Change(
                action=Action.CHANGED,
                table=table,
                name=name,
                fields=tuple(_list_fields(before[name], row)),
            )


def _list_fields(before: msgspec.Struct, after: msgspec.Struct) -> Iterator[str]:
    for field in after.__struct_fields__:
        old, new = getattr(before, field), getattr(after, field)
        if old == new:
            continue
        if field in SECRET_FIELDS:
            yield field
        else:
            yield f"{field}: {_show(old)} -> {_show(new)}"


def _show(value: object) -> str:
    text = msgspec.json.encode(value).decode()
    if len(text) <= MAX_VALUE_CHARACTERS:
        return text
    return text[: MAX_VALUE_CHARACTERS - 3] + "..."
