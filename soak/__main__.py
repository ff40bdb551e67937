"""Play seeded runs: `python -m soak --first 1 --seeds 50`."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass, field
from typing import Annotated

import cappa

from soak.play import Outcome, Plan, play


@cappa.command(name="soak", help="Play seeded runs and check every promise.")
@dataclass(kw_only=True, slots=True)
class Soak:
    """Hold the command line."""

    first: Annotated[int, cappa.Arg(long=True, help="The first seed.")] = 1
    seeds: Annotated[int, cappa.Arg(long=True, help="How many seeds to play.")] = 1
    seconds: Annotated[
        float, cappa.Arg(long=True, help="Seconds in which faults begin.")
    ] = 12.0
    instances: Annotated[
        int, cappa.Arg(long=True, help="Processes of the program in each run.")
    ] = 3
    callers: Annotated[int, cappa.Arg(long=True, help="Callers in each run.")] = 12
    jobs: Annotated[int, cappa.Arg(long=True, help="Runs at the same time.")] = 2
    weaken: Annotated[
        str | None,
        cappa.Arg(long=True, help="Take this safeguard out; a check must find it."),
    ] = None
    press: Annotated[
        str | None,
        cappa.Arg(long=True, help="Press this safeguard until it must have decided."),
    ] = None
    faults: Annotated[
        list[str],
        cappa.Arg(long=True, help="Draw from these faults only; may be repeated."),
    ] = field(default_factory=list)


def main() -> int:
    """Play the runs; return 1 where a promise was broken."""
    chosen = cappa.parse(Soak)
    outcomes = asyncio.run(_play_all(chosen))
    broken = [outcome for outcome in outcomes if outcome.breaches]
    print(f"{len(outcomes)} seeds played, {len(broken)} with a broken promise")
    return 1 if broken else 0


async def _play_all(chosen: Soak) -> list[Outcome]:
    places = asyncio.Semaphore(chosen.jobs)

    async def play_one(seed: int) -> Outcome:
        async with places:
            outcome = await play(
                Plan(
                    seed=seed,
                    seconds=chosen.seconds,
                    instances=chosen.instances,
                    callers=chosen.callers,
                    weaken=chosen.weaken,
                    press=chosen.press,
                    faults=tuple(chosen.faults),
                )
            )
            _print(outcome)
            return outcome

    seeds = range(chosen.first, chosen.first + chosen.seeds)
    return list(await asyncio.gather(*(play_one(seed) for seed in seeds)))


def _print(outcome: Outcome) -> None:
    word = "BROKEN" if outcome.breaches else "kept"
    served = f"{outcome.served} of {outcome.calls} served"
    faults = ", ".join(outcome.faults)
    seed = outcome.plan.seed
    print(f"seed {seed}: {word}, {served}, faults: {faults}", flush=True)
    if outcome.pressed is not None:
        met = f"{outcome.pressed.count} of {outcome.pressed.enough} requests"
        print(f"  pressed: {met}, decided {outcome.decided} times")
    for breach in outcome.breaches[:8]:
        print(f"  {breach.promise}: {breach.detail}")
    if outcome.logs:
        print(f"  logs: {outcome.logs}")


if __name__ == "__main__":
    sys.exit(main())
