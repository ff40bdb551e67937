"""Merge of the sections at the cost of the one that changes."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from baobabthread.core.configuration.configuration import (
    EMPTY,
    Configuration,
    SectionText,
    merge_sections,
)
from baobabthread.errors import ConfigurationError

TABLES = SectionText.__struct_fields__
_NOTHING = SectionText()


class Proposal(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a merged configuration that was checked but does not count yet."""

    section: str
    parsed: SectionText | None
    """The new text of the section; nothing removes it."""
    configuration: Configuration


class MergedSections:
    """Keep the sections merged; a change checks only what it can break.

    Accounts and backend servers come by the thousand, services and versions by the
    hundred. A change that removes no service and no version can't break the accounts
    and backend servers of other sections, so that these are not looked at again.
    """

    __slots__ = ("_keys", "_sections", "configuration")

    def __init__(self) -> None:
        self._sections: dict[str, SectionText] = {}
        self._keys: dict[str, str] = {}
        self.configuration = EMPTY

    @property
    def sections(self) -> Mapping[str, SectionText]:
        """Give the parsed sections by name, removed ones left out."""
        return self._sections

    def load(self, sections: Mapping[str, SectionText], *, generation: int) -> None:
        """Replace everything; raise ConfigurationError and change nothing otherwise."""
        self.configuration = merge_sections(generation=generation, sections=sections)
        self._sections = dict(sections)
        self._keys = {
            account.key_sha256: name
            for name, account in self.configuration.accounts.items()
        }

    def propose(
        self, section: str, parsed: SectionText | None, *, generation: int
    ) -> Proposal:
        """Return the merged result of one changed section or raise its error."""
        try:
            configuration = self._merge_change(section, parsed, generation)
        except ConfigurationError:
            # The whole merge, in order of names, decides on every refusal: its
            # message is the same at entries that came here by different ways.
            configuration = self._merge_all(section, parsed, generation)
        return Proposal(section=section, parsed=parsed, configuration=configuration)

    def accept(self, proposal: Proposal) -> None:
        """Make a proposal the present state."""
        old = self._sections.pop(proposal.section, _NOTHING)
        for account in old.accounts.values():
            del self._keys[account.key_sha256]
        if proposal.parsed is not None:
            self._sections[proposal.section] = proposal.parsed
            for name, account in proposal.parsed.accounts.items():
                self._keys[account.key_sha256] = name
        self.configuration = proposal.configuration

    def _merge_all(
        self, section: str, parsed: SectionText | None, generation: int
    ) -> Configuration:
        sections = dict(self._sections)
        sections.pop(section, None)
        if parsed is not None:
            sections[section] = parsed
        ordered = {name: sections[name] for name in sorted(sections)}
        return merge_sections(generation=generation, sections=ordered)

    def _merge_change(
        self, section: str, parsed: SectionText | None, generation: int
    ) -> Configuration:
        old = self._sections.get(section, _NOTHING)
        new = parsed or _NOTHING
        if self._may_break_others(old, new):
            return self._merge_all(section, parsed, generation)
        tables = {table: self._replace_rows(table, old, new) for table in TABLES}
        merged = Configuration(generation=generation, **tables)
        self._check_keys(old, new)
        _check_change(merged, new)
        return merged

    def _may_break_others(self, old: SectionText, new: SectionText) -> bool:
        # An account may name a service or version of another section: removing it
        # there would leave a name without meaning, which only a whole check finds.
        if old.services.keys() - new.services.keys():
            return True
        return bool(old.versions.keys() - new.versions.keys())

    def _replace_rows(
        self, table: str, old: SectionText, new: SectionText
    ) -> dict[str, Any]:
        rows: dict[str, Any] = getattr(self.configuration, table)
        old_rows: dict[str, Any] = getattr(old, table)
        new_rows: dict[str, Any] = getattr(new, table)
        if old_rows == new_rows:
            return rows
        merged = dict(rows)
        for name in old_rows:
            del merged[name]
        for name, row in new_rows.items():
            if name in merged:
                raise _taken(f"{table}.{name}")
            merged[name] = row
        return merged

    def _check_keys(self, old: SectionText, new: SectionText) -> None:
        # Two accounts with one key would be billed for each other.
        for name, account in new.accounts.items():
            other = self._keys.get(account.key_sha256)
            if other is not None and other not in old.accounts:
                raise _taken(f"accounts.{name}.key_sha256")


def _check_change(merged: Configuration, new: SectionText) -> None:
    """Check the small tables as a whole and the large ones where they changed."""
    shared = SectionText(
        services=merged.services, versions=merged.versions, rollouts=merged.rollouts
    )
    own = SectionText(accounts=new.accounts, backends=new.backends)
    merge_sections(
        generation=merged.generation, sections={"shared": shared, "own": own}
    )


def _taken(field: str) -> ConfigurationError:
    return ConfigurationError(
        "it stands in another section", field=field, remedy="rename it in one of them"
    )
