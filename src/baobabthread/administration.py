"""What operators can ask of a running entry."""

from __future__ import annotations

import time
from typing import Any

import msgspec

from baobabthread.adapters.effects import EffectRunner
from baobabthread.adapters.operators import PublishBody
from baobabthread.adapters.peers import PeerOutbox
from baobabthread.adapters.platform import LogClient
from baobabthread.core.billing.bills import BillFold
from baobabthread.core.configuration.configuration import Configuration
from baobabthread.core.entry import EntryCore
from baobabthread.core.events import PublishEnded, PublishRequested
from baobabthread.core.membership.addresses import Departure
from baobabthread.core.messages import Stream

READ_LIMIT = 1_000


class EntryAdministration:
    """Serve operators from the state of one entry."""

    __slots__ = (
        "_core",
        "_departure",
        "_effects",
        "_incarnation",
        "_log",
        "_name",
        "_outbox",
        "_started_at",
    )

    def __init__(
        self,
        *,
        name: str,
        incarnation: str,
        started_at: float,
        core: EntryCore,
        departure: Departure,
        effects: EffectRunner,
        log: LogClient,
        outbox: PeerOutbox,
    ) -> None:
        """Take the parts of the entry; `started_at` is its start in unix time."""
        self._name = name
        self._incarnation = incarnation
        self._started_at = started_at
        self._core = core
        self._departure = departure
        self._effects = effects
        self._log = log
        self._outbox = outbox

    @property
    def configuration(self) -> Configuration | None:
        """Give the configuration in force."""
        return self._core.control.configuration

    async def publish(self, body: PublishBody, operator: str) -> PublishEnded:
        """Publish a text and return what became of it."""
        fold = self._core.control.fold
        base = body.base
        if base is None:
            base = fold.section_generation(body.section)
        future = self._effects.expect_publish(body.id)
        self._effects.feed(
            PublishRequested(
                id=body.id,
                section=body.section,
                base=base,
                text=body.text,
                operator=operator,
            )
        )
        return await future

    def dump_sections(self) -> Any:
        """Return the sections in force."""
        fold = self._core.control.fold
        return {
            "generation": fold.generation,
            "sections": [section for section in fold.sections.values() if section.text],
        }

    def dump_generations(self) -> Any:
        """Return the generation that each entry has in force."""
        control = self._core.control
        return {
            "generation": control.fold.generation,
            "entries": [
                {
                    "name": member.name,
                    "incarnation": member.incarnation,
                    "state": member.state,
                    "leaving": member.leaving,
                    "generation": member.generation,
                }
                for member in control.membership.members()
            ],
            "behind": control.membership.unconfirmed(control.fold.generation),
        }

    async def dump_bills(self) -> Any:
        """Read the billing stream and return its fold."""
        fold = BillFold()
        after = 0
        while True:
            page = await self._log.read(
                Stream.BILLS, after=after, limit=READ_LIMIT, wait_s=0.0
            )
            for record in page.records:
                fold.apply(record)
            if not page.records:
                break
            after = page.records[-1].offset
        return {
            "accounts": {
                name: {
                    "bills": total.bills,
                    "cost": round(total.cost, 6),
                    "tokens": total.tokens,
                    "unknown": total.unknown,
                }
                for name, total in sorted(fold.totals.items())
            },
            "repeats": fold.repeats,
            "late": fold.late,
        }

    def dump_rollouts(self) -> Any:
        """Return the state of roll-outs and versions."""
        configuration = self._core.directory.configuration
        return {
            "versions": {
                name: {"service": row.service, "state": row.state}
                for name, row in configuration.versions.items()
            },
            "rollouts": self._core.conductors.describe(time.monotonic()),
            "barred": sorted(
                f"{barred.version}/{barred.call or '*'}"
                for barred in self._core.conductors.list_barred()
            ),
        }

    def dump_state(self) -> Any:
        """Return the state of this process."""
        core = self._core
        now = time.monotonic()
        control = core.control
        return {
            "name": self._name,
            "incarnation": self._incarnation,
            "life": self._departure.state,
            "caught_up": core.conductors.caught_up,
            "uptime_s": round(time.time() - self._started_at, 1),
            "generation": control.fold.generation,
            "freshness": control.freshness.state(now),
            "head_age_s": round(control.freshness.head_age(now), 2),
            # By name: on the wire a description is a row without names.
            "members": [
                msgspec.structs.asdict(member)
                for member in control.membership.members()
            ],
            "open_requests": len(core.requests),
            "claims": core.claims.describe(),
            "ledger": core.ledger.describe(),
            "backends": core.backends.health(),
            "peer_bytes_sent": self._outbox.bytes_sent,
            "peer_messages_sent": self._outbox.messages_sent,
        }
