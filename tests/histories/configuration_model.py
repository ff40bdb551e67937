"""Sequential model of the configuration: one loop over the whole log."""

from __future__ import annotations

import msgspec

from baobabthread.core.configuration.configuration import merge_sections, parse_section
from baobabthread.core.configuration.records import Publish
from baobabthread.core.messages import LogRecord
from baobabthread.errors import ConfigurationError


class Model:
    """Replay a log and keep every state that a reader may be in."""

    def __init__(self, records: list[LogRecord]) -> None:
        self.accepted: dict[str, int] = {}
        self.states: list[dict[str, int]] = [{}]
        """Generation of each section after each offset."""
        self.ids = {record.id for record in records}
        self._texts: dict[str, str] = {}
        seen: set[str] = set()
        for record in records:
            state = dict(self.states[-1])
            body = msgspec.json.decode(record.body)
            if body["type"] == "publish" and record.id not in seen:
                seen.add(record.id)
                publish = msgspec.convert(body, Publish)
                if self._holds(publish, state, record.offset):
                    state[publish.section] = record.offset
                    self.accepted[record.id] = record.offset
            self.states.append(state)

    def _holds(self, publish: Publish, state: dict[str, int], offset: int) -> bool:
        if publish.base != state.get(publish.section, 0):
            return False
        texts = {**self._texts, publish.section: publish.text}
        try:
            parsed = {name: parse_section(text) for name, text in texts.items()}
            merge_sections(generation=offset, sections=parsed)
        except ConfigurationError:
            return False
        self._texts = texts
        return True


def write_team(team: str, *, versions: list[str], uses: str = "") -> str:
    """Return the text of a section with one service and some versions."""
    lines = [f"[services.{team}]", 'kind = "model"', f"cascade = {versions!r}"]
    for version in versions:
        lines += [f"[versions.{version}]", f'service = "{team}"']
        lines += ['model = "m"', "cost = 1.0"]
    if uses:
        lines += [f"[accounts.{team}]", f'key_sha256 = "{team.encode().hex():0>64}"']
        lines += [f'services = ["{uses}"]']
    return "\n".join(lines)
