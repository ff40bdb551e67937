"""What sessions and a new version get in drawn roll-outs, by number of instances."""

from __future__ import annotations

import msgspec

from baobabthread.routing.configuration import RolloutState
from bench._fleet import quiet_logs
from bench._rollout_days import Account, Day, draw_day
from bench._rollouts import World
from bench.experiment import EXPERIMENTS, Options, Report, Table

QUICK = {6: 20, 59: 6}
FULL = {1: 40, 6: 40, 23: 40, 59: 40, 195: 20, 400: 10}
"""Days that are drawn, by number of members."""


class Row(msgspec.Struct, kw_only=True):
    """Add up the days of one number of members."""

    members: int
    days: int = 0
    good: int = 0
    """Days with a good version."""
    succeeded: int = 0
    """Those of them on which it took over in time."""
    most_changes: int = 0
    """Requests of a day on another version than their session's request before."""
    most_exposed: float = 0.0
    """Largest part of what a version may get that one got."""
    most_rollback_s: float = 0.0
    messages_s: float = 0.0
    """Messages a second and member, over all days."""

    def add(self, day: Day, account: Account) -> None:
        """Take in a day."""
        is_good = day.bad_share == 0.0
        self.days += 1
        self.good += is_good
        self.succeeded += is_good and account.state is RolloutState.SUCCEEDED
        if is_good:
            self.most_changes = max(self.most_changes, account.changes)
        part = account.exposed / account.allowed
        self.most_exposed = round(max(self.most_exposed, part), 3)
        self.most_rollback_s = round(max(self.most_rollback_s, account.after_bad_s), 2)
        each_s = sum(account.messages.values()) / day.members / day.limit_s
        self.messages_s = round(
            self.messages_s + (each_s - self.messages_s) / self.days, 2
        )


@EXPERIMENTS.register("rollouts")
def measure_rollouts(options: Options) -> Report:
    """Draw days with a roll-out and troubles, and check both of its rules."""
    rows, failures = [], []
    for members, days in (QUICK if options.quick else FULL).items():
        row = Row(members=members)
        for seed in range(options.seed, options.seed + days):
            day = draw_day(members, seed)
            with quiet_logs():
                account = World(day).play()
            row.add(day, account)
            broken = account.list_broken(is_good=day.bad_share == 0.0)
            failures += [f"{members} members, seed {seed}: {each}" for each in broken]
        rows.append(row)
    fields = Row.__struct_fields__
    return Report(
        figures={str(row.members): msgspec.structs.asdict(row) for row in rows},
        tables=[
            Table(
                title="Roll-outs with troubles",
                columns=fields,
                rows=[[getattr(row, field) for field in fields] for row in rows],
            )
        ],
        failures=failures,
    )
