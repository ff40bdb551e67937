"""What callers get of responses whose server stops in the head or framing."""

from __future__ import annotations

import asyncio

import pytest
from soak.partitions import Cut

from tests.platform.brokenfakes import BROKEN
from tests.platform.site import open_site, run


@pytest.mark.parametrize("behaviour", BROKEN)
@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x"])
def test_answer_502_where_a_server_stops_in_its_head(path: str, behaviour: str) -> None:
    """Callers got a 200 with an empty or short body, framed as whole."""

    async def case() -> None:
        async with open_site("p1") as site:
            for _ in range(2):
                site.backends[0].behaviour = behaviour
                response = await site.call(path)
                assert response.status == 502
                assert b"answer" not in response.body
                site.backends[0].behaviour = "answer"
                await asyncio.sleep(0.05)
                assert (await site.call(path)).status == 200

    run(case())


@pytest.mark.parametrize("behaviour", BROKEN)
def test_repeat_elsewhere_where_a_server_stops_in_its_head(behaviour: str) -> None:
    """A request that may be repeated is answered by another server."""

    async def case() -> None:
        async with open_site("p1", "p2") as site:
            site.backends[0].behaviour = behaviour
            for _ in range(8):
                response = await site.call("/safe/x")
                assert (response.status, response.body) == (200, b"answer of p2")
            assert site.backends[0].seen

    run(case())


@pytest.mark.parametrize("behaviour", BROKEN)
@pytest.mark.parametrize("path", ["/stream/x", "/once/x"])
def test_end_no_stream_whose_server_stops_in_its_head(
    path: str, behaviour: str
) -> None:
    """The first engine stops in a stream, the second one in the head of the rest."""

    async def case() -> None:
        async with open_site("e1", "e2") as site:
            site.backends[0].behaviour = "stream_cut"
            site.backends[1].behaviour = behaviour
            for _ in range(4):
                response = await site.call_model(path)
                assert not (response.status == 200 and response.is_complete)
                assert response.event_ids in ([], [1])
                assert response.stray_bytes == b"" or response.status != 200

    run(case())


@pytest.mark.parametrize("behaviour", BROKEN)
def test_relay_no_head_that_stops_as_a_whole_one(behaviour: str) -> None:
    """An instance reaches a server that stops in its head through a peer only."""

    async def case() -> None:
        async with open_site("p1", has_own_paths=True) as site:
            await site.add_instances(2, has_own_paths=True)
            site.cut_paths(0, Cut.RESET, "p1")
            response = await site.call("/unsafe/x")
            assert response.status == 200
            site.backends[0].behaviour = behaviour
            response = await site.call("/unsafe/x")
            assert response.status == 502
            assert b"answer" not in response.body

    run(case())
