"""The operators' text: parse its sections and merge them into a configuration."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from typing import TypeVar

import msgspec

from baobabthread.core.configuration.checks import check_merged, check_section
from baobabthread.core.configuration.types import (
    EMPTY,
    Account,
    Backend,
    Call,
    Configuration,
    OnStale,
    Operator,
    Priority,
    Rollout,
    SectionText,
    Service,
    ServiceKind,
    Version,
    VersionState,
)
from baobabthread.errors import ConfigurationError

__all__ = [
    "EMPTY",
    "MAX_TEXT_BYTES",
    "Account",
    "Backend",
    "Call",
    "Configuration",
    "OnStale",
    "Operator",
    "Priority",
    "Rollout",
    "SectionText",
    "Service",
    "ServiceKind",
    "Version",
    "VersionState",
    "merge_sections",
    "parse_section",
]

MAX_TEXT_BYTES = 1_000_000

T = TypeVar("T")


def parse_section(text: str) -> SectionText:
    """Parse one section's TOML text and check what can be checked alone."""
    if len(text.encode()) > MAX_TEXT_BYTES:
        raise ConfigurationError(
            f"the text is longer than {MAX_TEXT_BYTES} bytes",
            field="text",
            remedy="split it into sections of less than that",
        )
    try:
        table = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        # Not only TOMLDecodeError: a number of thousands of digits is a ValueError.
        raise ConfigurationError(
            f"not valid TOML ({error})", field="text", remedy="mend the syntax there"
        ) from None
    try:
        section = msgspec.convert(table, SectionText, strict=True)
    except msgspec.ValidationError as error:
        message, field = _split_path(str(error))
        raise ConfigurationError(
            message, field=field, remedy="see docs/operators/publishing.md"
        ) from None
    check_section(section)
    return section


def merge_sections(
    *, generation: int, sections: Mapping[str, SectionText]
) -> Configuration:
    """Merge sections into one configuration and check names across them."""
    merged = Configuration(
        generation=generation,
        services=_union(sections, "services"),
        versions=_union(sections, "versions"),
        accounts=_union(sections, "accounts"),
        backends=_union(sections, "backends"),
        rollouts=_union(sections, "rollouts"),
        operators=_union(sections, "operators"),
    )
    check_merged(merged)
    return merged


def _split_path(text: str) -> tuple[str, str]:
    """Split msgspec's message into its text and the path of the field."""
    message, _, path = text.partition(" - at `$.")
    return message, path.rstrip("`") or "text"


def _union(sections: Mapping[str, SectionText], table: str) -> dict[str, T]:
    result: dict[str, T] = {}
    for section in sections.values():
        rows: dict[str, T] = getattr(section, table)
        for name, row in rows.items():
            if name in result:
                raise ConfigurationError(
                    "the name stands in two sections",
                    field=f"{table}.{name}",
                    remedy="rename it in one of them",
                )
            result[name] = row
    return result
