"""Each mechanism can be switched off; what it does is then not done."""

from __future__ import annotations

import asyncio
import subprocess
import sys

import pytest

from baobabthread.instance.placement import Placement, PromptPlaced
from baobabthread.routing.mechanisms import Mechanism
from tests.platform.site import open_site, run


async def ask(off: Mechanism | None, confidence: int = 20) -> list[str]:
    """Return the models that are asked for one answer."""
    switches = frozenset() if off is None else frozenset([off])
    async with open_site("e1", "e2", off=switches) as site:
        for backend in site.backends:
            backend.confidence = {"small": confidence}
        answer = await site.call_model()
        assert answer.is_complete
        seen = [s for backend in site.backends for s in backend.seen]
        return sorted(s.headers["x-model"] for s in seen)


@pytest.mark.parametrize("off", [None, *Mechanism])
def test_answer_without_any_mechanism(off: Mechanism | None) -> None:
    async def case() -> None:
        staged = off is not Mechanism.STAGED_MODELS
        assert await ask(off) == (["large", "small"] if staged else ["large"])

    run(case())


@pytest.mark.parametrize(("off", "count"), [(None, 1), (Mechanism.LOAD_QUERIES, 0)])
def test_tell_of_loads_only_with_them(
    monkeypatch: pytest.MonkeyPatch, off: Mechanism | None, count: int
) -> None:
    told: list[PromptPlaced] = []
    monkeypatch.setattr(
        Placement, "handle_placed", lambda placement, sender, word: told.append(word)
    )
    asyncio.run(ask(off, confidence=100))
    assert len(told) == count


def test_wait_for_a_silent_server_without_patience() -> None:
    """One of two engines runs the request and never answers.

    With patience the other one answers; without it the request ends at its deadline.
    """

    async def case() -> None:
        for off, status in ((None, 200), (Mechanism.ATTEMPT_TIMEOUT, 504)):
            switches = frozenset() if off is None else frozenset([off])
            async with open_site("p1", off=switches) as site:
                site.backends[0].behaviour = "mute"
                await site.add_backend("p2")
                await site.wait_ready()
                statuses = {
                    (await site.call("/safe/x", X_Timeout_Ms="1000")).status
                    for _ in range(4)
                }
                assert status in statuses
                assert (504 in statuses) == (off is Mechanism.ATTEMPT_TIMEOUT)

    run(case())


def test_name_the_mechanisms_that_can_be_switched_off() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "baobabthread.platform", "--without", "luck"],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2
    assert "luck" in done.stderr
    assert "staged-models" in done.stderr
