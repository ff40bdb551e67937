"""What instances take for evidence on the version of a backend server."""

from __future__ import annotations

import asyncio

import pytest

import tests.platform.brokenfakes  # noqa: F401 (registers its behaviours)
from tests.platform.fakes import CrashMoment
from tests.platform.site import Site, open_site, run, wait_for


def describe(site: Site, service: str) -> str:
    """Return the bad and total responses by aspect."""
    return site.instances[0].services.get(service).plan.analysis.describe()


@pytest.mark.parametrize(
    "behaviour", ["cut", "cut in the field", "cut chunk size", "unsigned"]
)
def test_count_a_response_that_its_server_breaks_off(behaviour: str) -> None:
    """A truncated response counted as a good one once its head was in."""

    async def case() -> None:
        async with open_site("p1") as site:
            assert (await site.call("/unsafe/x")).status == 200
            site.backends[0].behaviour = behaviour
            response = await site.call("/unsafe/x")
            assert response.status == 502
            if behaviour == "cut in the field":
                # The first one was lost on a kept connection, which tells nothing.
                assert (await site.call("/unsafe/x")).status == 502
            await wait_for(lambda: "old_errors:1/2" in describe(site, "plain"))

    run(case())


def test_count_a_stream_that_its_server_breaks_off() -> None:
    async def case() -> None:
        async with open_site("e1") as site:
            await site.call_model("/once/x")
            site.backends[0].behaviour = "stream_cut"
            response = await site.call_model("/once/x")
            assert not response.is_complete
            await wait_for(lambda: "old_endings:1/2" in describe(site, "engine"))
            assert "old_errors:0/2" in describe(site, "engine")

    run(case())


def test_count_no_stream_that_ends_with_its_server() -> None:
    """A server that crashes is no evidence against its version."""

    async def case() -> None:
        async with open_site("e1", "e2") as site:
            for backend in site.backends:
                backend.crash_part = "aa"
                backend.crash_moment = CrashMoment.BETWEEN_EVENTS
            response = await site.call_model("/once/x")
            assert not response.is_complete
            await asyncio.sleep(0.3)
            assert "endings" not in describe(site, "engine")

    run(case())


def test_count_a_refusal_once_for_each_session() -> None:
    """A version that refused sound requests passed for a good one."""

    async def case() -> None:
        async with open_site("p1") as site:
            site.backends[0].behaviour = "refuse"
            for session in ("a", "a", "a", "b"):
                response = await site.call("/unsafe/x", Session=session)
                assert response.status == 400
            assert "old_refusals:2/2" in describe(site, "plain")
            assert "old_errors:0/4" in describe(site, "plain")

    run(case())


def test_count_several_responses_that_end_at_once_as_one() -> None:
    """A reset of a link breaks off all that run, whatever their versions."""

    async def case() -> None:
        async with open_site("e1") as site:
            site.backends[0].pause_s = 0.1
            site.backends[0].behaviour = "stream_cut"
            await asyncio.gather(*(site.call_model("/once/x") for _ in range(6)))
            await wait_for(lambda: "old_endings:1/1" in describe(site, "engine"))
            await asyncio.sleep(0.2)
            assert "old_endings:1/1" in describe(site, "engine")

    run(case())


@pytest.mark.parametrize("per_s", [5, 20, 50, 100, 200])
@pytest.mark.parametrize(
    ("path", "metric"), [("/unsafe/x", "errors"), ("/once/x", "endings")]
)
def test_count_all_responses_that_are_broken_off(
    path: str, metric: str, per_s: int
) -> None:
    """The busier an instance, the better passed a version that broke off answers."""

    async def case() -> None:
        service = "plain" if metric == "errors" else "engine"
        call_service = Site.call if metric == "errors" else Site.call_model
        async with open_site() as site:
            for name in ("a", "b"):
                await site.add_backend(name, service=service)
            await site.wait_ready()
            for backend in site.backends:
                backend.pause_s = 0.02
                backend.behaviour = "cut every third"
            calls = []
            for _ in range(min(240, 4 * per_s)):
                calls.append(asyncio.ensure_future(call_service(site, path)))
                await asyncio.sleep(1.0 / per_s)
            await asyncio.gather(*calls)
            await asyncio.sleep(0.3)
            cut = sum(backend.cut_count for backend in site.backends)
            counted = describe(site, service).partition(f"old_{metric}:")[2]
            bad, seen = map(int, counted.split()[0].split("/"))
            assert cut >= 5
            assert bad >= 0.9 * cut
            assert bad / seen >= 0.9 * cut / len(calls)

    run(case())


def test_count_responses_that_one_event_ended_once() -> None:
    """A reset of all connections takes back no version, however many run."""

    async def case() -> None:
        async with open_site("p1", "p2") as site:
            for backend in site.backends:
                backend.pause_s = 0.3
            calls = [asyncio.ensure_future(site.call("/unsafe/x")) for _ in range(40)]
            await wait_for(lambda: sum(b.running for b in site.backends) >= 20)
            for backend in site.backends:
                backend.end_connections()
            await asyncio.gather(*calls)
            await asyncio.sleep(0.3)
            assert "old_errors:1/" in describe(site, "plain")

    run(case())
