"""Tests of the stand-ins that a configuration names."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import pytest

from baobabthread.adapters.engines import EngineClient, open_session
from baobabthread.adapters.platform import LogClient, RosterClient
from baobabthread.errors import UsageError
from baobabthread.ports.engine import LoadReport, Order, OrderDone
from baobabthread.ports.log import AppendRefusedError, NewRecord
from baobabthread.standins.fleet import Fleet, choose_strengths

TEXT = """
[services.content]
kind = "model"
cascade = ["small-1", "large-1"]
[services.screen]
kind = "plain"
[versions.small-1]
service = "content"
model = "small"
cost = 1.0
[versions.small-2]
service = "content"
model = "small"
cost = 1.0
[versions.large-1]
service = "content"
model = "large"
cost = 9.0
[rollouts.next]
service = "content"
old = "small-1"
new = "small-2"
[backends.e1]
service = "content"
address = "127.0.0.1:9001"
failure_domain = "Vake"
capacity = 3
versions = ["small-1", "large-1"]
[backends.s1]
service = "screen"
address = "127.0.0.1:9002"
failure_domain = "Isani"
"""


def run(case: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(case, 30))


def make_fleet() -> Fleet:
    return Fleet(texts=[TEXT], keep_ports=False, seed=3)


def test_fleet_lists_and_serves_what_the_configuration_names() -> None:
    async def case() -> None:
        async with make_fleet() as fleet, open_session() as session:
            roster = RosterClient(session=session, url=fleet.roster_url)
            listed = {row.name: row for row in await roster.list_instances()}
            assert listed["e1"].address == fleet.backends["e1"].address
            assert listed["s1"].failure_domain == "Isani"
            report = await EngineClient(session=session).load(listed["e1"].address)
            assert isinstance(report, LoadReport)
            assert report.capacity == 3
            assert report.versions == ["small-1", "large-1"]

    run(case())


def test_one_control_address_switches_the_faults_of_all_parts() -> None:
    async def case() -> None:
        async with make_fleet() as fleet, open_session() as session:
            log = LogClient(session=session, url=fleet.log_url)
            url = f"{fleet.url}/control/faults"
            faults = {"log": {"outage": True}}
            async with session.put(url, json=faults) as response:
                assert response.status == 200
            with pytest.raises(AppendRefusedError):
                await log.append("bills", [NewRecord(id="a", body=b"1")])
            wrong = {"log": {"no_such": 1}}
            async with session.put(url, json=wrong) as response:
                assert response.status == 400
                assert "no_such" in await response.text()
            assert fleet.platform.log.faults.outage
            async with session.put(url, json={}) as response:
                assert response.status == 200
            assert await log.append("bills", [NewRecord(id="a", body=b"1")]) == 1

    run(case())


def test_loading_a_version_waits_for_the_weight_store() -> None:
    async def case() -> None:
        async with make_fleet() as fleet, open_session() as session:
            engine = fleet.engine("e1")
            client = EngineClient(session=session)
            fleet.platform.weights.set_faults({"outage": True})
            order = Order(
                fence=1, desired=["small-1", "small-2"], generation=1, conductor="c"
            )
            outcome = await client.order(engine.address, order)
            assert outcome == OrderDone(loaded=["small-1"], loading=["small-2"])
            fleet.platform.weights.set_faults({"rate": 0})
            async with asyncio.timeout(20):
                await engine.models.wait()
            assert engine.models.loaded == ["small-1", "small-2"]
            assert fleet.platform.weights.loads == 1

    run(case())


def test_strengths_grow_along_the_cascade_and_pass_to_the_next_version() -> None:
    strengths = choose_strengths(make_fleet().configuration)
    assert strengths["small-1"] < strengths["large-1"]
    assert strengths["small-2"] == strengths["small-1"]


def test_taken_port_is_a_usage_error_and_leaves_nothing_open() -> None:
    async def case() -> None:
        async with make_fleet() as other:
            fleet = Fleet(port=other.platform.port)
            with pytest.raises(UsageError, match="platform"):
                await fleet.start()
            assert not fleet.platform.running
            url = f"{other.url}/control"
            async with open_session() as session, session.get(url) as response:
                assert response.status == 200

    run(case())
