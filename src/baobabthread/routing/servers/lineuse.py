"""What a group's new owner learns from the instances about accounts and their turns.

Each instance keeps what its own requests asked for and what they got, so that a new
owner doesn't let requests wait in vain until it has seen the paces of their lines.
"""

from __future__ import annotations

import msgspec

from baobabthread.routing.servers.lines import Demanded

MAX_USES = 64
"""Lines of a group that an instance keeps, so that a message with them stays small."""
SHORT_FACTOR = 1.1
"""Multiple of what it gets that a line asks for that is held back."""

LineName = tuple[str, int]
"""Account and class."""


class LineUse(msgspec.Struct, frozen=True, array_like=True):
    """What one instance's requests of an account and class asked for and got."""

    account: str
    level: int
    asked: float
    """Tokens a second."""
    taken: float
    """Tokens a second for which turns came after a wait."""


class LineUses:
    """What an instance's requests of one group asked for and got lately."""

    __slots__ = ("_decided_at", "_uses")

    def __init__(self) -> None:
        self._uses: dict[LineName, tuple[Demanded, Demanded]] = {}
        """What each line asked for and what it got, the latest one last."""
        self._decided_at = 0.0
        """When the owner decided last: nothing is learnt without it."""

    def record(self, line: LineName, *, asked: float, taken: float, now: float) -> None:
        """Count a request that the owner decided on, in tokens."""
        use = self._uses.pop(line, None) or (Demanded(now=now), Demanded(now=now))
        use[0].add(asked, now)
        use[1].add(taken, now)
        self._uses[line] = use
        self._decided_at = now
        if len(self._uses) > MAX_USES:
            del self._uses[next(iter(self._uses))]

    def list_uses(self) -> list[LineUse]:
        """Return what was used when the owner decided last."""
        return [
            LineUse(
                account=account,
                level=level,
                asked=round(asked.estimate_rate(self._decided_at), 1),
                taken=round(taken.estimate_rate(self._decided_at), 1),
            )
            for (account, level), (asked, taken) in self._uses.items()
        ]


class ToldUses:
    """What instances have told a new owner."""

    __slots__ = ("_asked", "_senders", "_taken")

    def __init__(self) -> None:
        self._senders: set[str] = set()
        self._asked: dict[LineName, float] = {}
        self._taken: dict[LineName, float] = {}

    def add(self, sender: str, uses: list[LineUse]) -> bool:
        """Take in what an instance tells; return whether it was not told before."""
        if sender in self._senders:
            return False
        self._senders.add(sender)
        for use in uses:
            line = use.account, use.level
            self._asked[line] = self._asked.get(line, 0.0) + use.asked
            self._taken[line] = self._taken.get(line, 0.0) + use.taken
        return True

    def list_paces(self, instances: int) -> dict[LineName, float]:
        """Return the tokens a second of each line, as far as they can be told.

        Empty until half of the instances have told: fewer tell little of an account.
        """
        if 2 * len(self._senders) < instances:
            return {}
        scale = max(1.0, instances / len(self._senders))
        return {line: scale * taken for line, taken in self._taken.items()}

    def is_short(self, line: LineName) -> bool:
        """Return whether a line asked for more than it got."""
        return self._asked[line] > SHORT_FACTOR * self._taken[line]
