"""Tests of outcomes of replaced roll-outs that are read from the store."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from bench._fleet_store import Formats, MemoryStore
from bench._virtual import run_virtually

from baobabthread.instance.clock import now
from baobabthread.instance.rollouthistories import RolloutHistories
from baobabthread.instance.services import ServiceState
from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.configuration import RolloutOrder, RolloutState, RolloutStatus

LISTED = {"v1": 4, "v2": 4, "v3": 4}


class Deployment:
    """One instance that missed how the roll-out of v2 ended."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        members: Any = None
        self.service = ServiceState(name="s", bounds=RoutingBounds(), members=members)
        self.plan = self.service.plan
        self.plan.update_versions({"v1": 4})
        services: Any = [self.service]
        self.histories = RolloutHistories(
            store=self.store, formats=Formats(), services=services
        )

    def order(self, offset: int, target: str) -> None:
        """Let the instance read an order."""
        order = RolloutOrder(
            offset=offset, service="s", target=target, time_limit_s=60.0
        )
        self.plan.apply_order(order, now())
        self.histories.wake_up()

    async def write_status(self, offset: int, target: str, state: RolloutState) -> None:
        """Let another instance write a status."""
        status = RolloutStatus(service="s", target=target, state=state, offset=offset)
        page = await self.store.newest(Formats.status_topic, 1.0)
        await self.store.append(Formats().encode_status(status, page.end), 1.0)

    @property
    def base(self) -> str | None:
        """Version that this instance takes for the one in force."""
        return self.plan.lineage.find_base(LISTED)


@asynccontextmanager
async def open_deployment() -> AsyncIterator[Deployment]:
    site = Deployment()
    task = asyncio.ensure_future(site.histories.run())
    try:
        yield site
    finally:
        task.cancel()


def test_read_the_outcome_that_a_killed_leader_told_nobody() -> None:
    """The version before, which is being stopped, was used while it was listed."""

    async def case() -> None:
        async with open_deployment() as site:
            site.order(1, "v2")
            await site.write_status(1, "v2", RolloutState.SUCCEEDED)
            site.order(2, "v3")
            assert site.base == "v1"
            await asyncio.sleep(0.5)
            assert site.base == "v2"

    run_virtually(case())


def test_read_the_outcome_once_the_store_is_back() -> None:
    async def case() -> None:
        async with open_deployment() as site:
            site.order(1, "v2")
            await site.write_status(1, "v2", RolloutState.SUCCEEDED)
            site.store.is_away = True
            site.order(2, "v3")
            await asyncio.sleep(4.0)
            site.store.is_away = False
            await asyncio.sleep(1.4)
            assert site.base == "v2"

    run_virtually(case())


def test_stop_reading_once_the_store_can_tell_no_more() -> None:
    """The next order's status has replaced the one that would tell the outcome."""

    async def case() -> None:
        async with open_deployment() as site:
            site.order(1, "v2")
            site.order(2, "v3")
            await site.write_status(2, "v3", RolloutState.RUNNING)
            await asyncio.sleep(2.0)
            calls = site.store.calls.total()
            await asyncio.sleep(10.0)
            assert site.store.calls.total() == calls
            assert site.base == "v1"

    run_virtually(case())


def test_read_nothing_while_every_outcome_is_known() -> None:
    async def case() -> None:
        async with open_deployment() as site:
            site.order(1, "v2")
            await asyncio.sleep(2.0)
            assert not site.store.calls

    run_virtually(case())
