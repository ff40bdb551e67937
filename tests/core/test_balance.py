"""Test the choice of backend servers."""

import random
from collections import Counter

import pytest

from baobabthread.core.backends.backends import BalanceSettings, Health, LoadReport
from baobabthread.core.backends.balance import BackendTable
from baobabthread.core.backends.balancers import BALANCERS
from baobabthread.core.configuration.configuration import (
    EMPTY,
    Backend,
    Configuration,
    Service,
    ServiceKind,
)
from baobabthread.core.limits.limits import Outcome


def configure(
    count: int = 5, *, balancer: str = "affine", capacity: int = 8
) -> Configuration:
    service = Service(kind=ServiceKind.MODEL, cascade=["v"], balancer=balancer)
    backends = {
        f"b{number}": Backend(
            service="model",
            address=f"127.0.0.1:{9000 + number}",
            failure_domain=f"d{number % 4}",
            capacity=capacity,
            versions=["v"],
        )
        for number in range(count)
    }
    return EMPTY.__class__(
        generation=1,
        services={"model": service},
        versions={},
        accounts={},
        backends=backends,
        rollouts={},
        operators={},
    )


def make_table(count: int = 5, **changes: object) -> BackendTable:
    table = BackendTable(
        failure_domain="d0",
        rng=random.Random(7),
        settings=BalanceSettings(**changes.pop("settings", {})),
    )
    table.rebuild(configure(count, **changes), 0.0)
    return table


def pick(table: BackendTable, **changes: object) -> str | None:
    fields: dict[str, object] = {
        "service": "model",
        "version": "v",
        "prefix_key": None,
        "now": 0.0,
    }
    return table.pick(**{**fields, **changes})


def serve(
    table: BackendTable,
    name: str,
    *,
    now: float,
    s_per_token: float = 0.01,
    outcome: Outcome = Outcome.OK,
    times: int = 1,
) -> None:
    for _ in range(times):
        table.started(name, 100, now)
        table.finished(name, outcome, 100 * s_per_token, 100, now)


def count_picks(table: BackendTable, number: int = 400, **changes: object) -> Counter:
    """Pick and hold requests open, so that own load shows."""
    picked: Counter = Counter()
    for _ in range(number):
        name = pick(table, **changes)
        table.started(name, 100, changes.get("now", 0.0))
        picked[name] += 1
    for name, times in picked.items():
        for _ in range(times):
            table.finished(name, Outcome.CANCELLED, 0.0, 100, 0.0)
    return picked


@pytest.mark.parametrize("balancer", list(BALANCERS))
def test_every_balancer_honours_version_exclusion_and_leaving(balancer):
    table = make_table(4, balancer=balancer)
    table.report(
        "b0", LoadReport(running=0, waiting=0, capacity=8, versions=["w"]), 0.0
    )
    table.leaving("b1", 0.0)
    names = {pick(table, exclude={"b2"}, prefix_key=key) for key in range(50)}
    assert names == {"b3"}
    assert pick(table, exclude={"b2", "b3"}) is None
    assert pick(table, version="w") == "b0"
    assert pick(table, version="none") is None


def test_a_prefix_stays_at_its_server_and_prefixes_spread():
    table = make_table(5)
    homes = {key: pick(table, prefix_key=key) for key in range(500)}
    assert all(pick(table, prefix_key=key) == home for key, home in homes.items())
    assert min(Counter(homes.values()).values()) > 60


def test_only_the_prefixes_of_a_leaving_server_move():
    table = make_table(5)
    before = {key: pick(table, prefix_key=key) for key in range(300)}
    table.leaving("b2", 0.0)
    after = {key: pick(table, prefix_key=key) for key in range(300)}
    moved = {key for key in before if before[key] != after[key]}
    assert moved == {key for key in before if before[key] == "b2"}


def test_a_popular_prefix_spills_when_its_server_is_full():
    table = make_table(5, capacity=4)
    picked = count_picks(table, 30, prefix_key=42)
    assert len(picked) >= 2
    assert max(picked.values()) <= 16


def test_a_server_in_the_same_failure_domain_goes_first_when_loads_are_alike():
    table = make_table(4)
    picked = Counter(pick(table) for _ in range(400))
    assert picked["b0"] > max(picked[name] for name in ("b1", "b2", "b3"))


def test_a_slow_server_gets_less_by_own_measurement_whatever_it_reports():
    table = make_table(5, settings={"eject_slowness": 100.0})
    idle = LoadReport(running=0, waiting=0, capacity=8, versions=["v"])
    for step in range(50):
        now = step * 0.1
        for number in range(5):
            slow = 0.05 if number == 3 else 0.01
            serve(table, f"b{number}", now=now, s_per_token=slow)
            table.report(f"b{number}", idle, now)
    picked = count_picks(table, 100, now=5.0)
    assert picked["b3"] < 0.5 * 100 / 5


def test_a_lagged_report_is_corrected_by_own_starts():
    table = make_table(2, balancer="least-loaded")
    empty = LoadReport(running=0, waiting=0, capacity=8, versions=["v"])
    busy = LoadReport(running=4, waiting=0, capacity=8, versions=["v"])
    table.report("b0", empty, 10.0)
    table.report("b1", busy, 10.0)
    picked = Counter()
    for _ in range(10):
        name = pick(table, now=10.1)
        table.started(name, 100, 10.1)
        picked[name] += 1
    assert picked["b0"] == 7
    assert picked["b1"] == 3


def test_a_report_counts_little_once_all_that_it_counted_has_gone():
    table = make_table(2, balancer="least-loaded")
    for name in ("b0", "b1"):
        serve(table, name, now=9.0, s_per_token=0.0005, times=60)
    busy = LoadReport(running=6, waiting=0, capacity=8, versions=["v"])
    table.report("b0", busy, 10.0)
    table.started("b1", 100, 10.0)
    assert pick(table, now=10.0) == "b0"


def test_an_old_report_no_longer_counts():
    table = make_table(2, balancer="least-loaded")
    busy = LoadReport(running=50, waiting=0, capacity=8, versions=["v"])
    table.report("b0", busy, 0.0)
    assert pick(table, now=1.0) == "b1"
    table.started("b1", 100, 6.0)
    assert pick(table, now=6.0) == "b0"


def test_failures_in_a_row_eject_a_server_and_a_probe_brings_it_back_slowly():
    table = make_table(5)
    serve(table, "b1", now=0.0, outcome=Outcome.FAILED, times=5)
    assert table.health()["b1"] is Health.EJECTED
    assert all(pick(table, now=0.1) != "b1" for _ in range(100))
    assert pick(table, now=4.0, may_probe=False) != "b1"
    assert pick(table, now=4.0, may_probe=True) == "b1"
    table.started("b1", 100, 4.0)
    assert pick(table, now=4.0, may_probe=True) != "b1"
    table.finished("b1", Outcome.OK, 1.0, 100, 5.0)
    assert table.health()["b1"] is Health.STARTING
    early = count_picks(table, 40, now=5.0)
    later = count_picks(table, 40, now=14.0)
    assert early["b1"] <= 3 < later["b1"]


def test_a_failed_probe_ejects_for_longer():
    table = make_table(5)
    serve(table, "b1", now=0.0, outcome=Outcome.FAILED, times=5)
    pick(table, now=4.0)
    serve(table, "b1", now=4.0, outcome=Outcome.FAILED)
    assert table.health()["b1"] is Health.EJECTED
    assert pick(table, now=6.5, may_probe=True) != "b1"


def test_at_most_half_of_a_service_is_ejected():
    table = make_table(4)
    for number in range(3):
        serve(
            table,
            f"b{number}",
            now=number * 0.1,
            outcome=Outcome.FAILED,
            times=5,
        )
    names = {pick(table, now=0.5) for _ in range(200)}
    assert names == {"b2", "b3"}


def test_with_all_servers_bad_the_work_spreads_over_all():
    table = make_table(4)
    for number in range(4):
        serve(table, f"b{number}", now=0.0, outcome=Outcome.TIMEOUT, times=5)
    names = {pick(table, now=0.5) for _ in range(200)}
    assert names == {"b0", "b1", "b2", "b3"}


def test_a_server_without_probes_comes_back_after_a_while():
    table = make_table(5)
    serve(table, "b1", now=0.0, outcome=Outcome.FAILED, times=5)
    names = set()
    for step in range(400):
        names.add(pick(table, now=step * 0.05))
    assert "b1" in names


def test_a_lagging_roster_does_not_bring_back_a_leaving_server():
    table = make_table(2)
    table.leaving("b0", 0.0)
    assert not table.returned("b0", 1.0)
    table.rebuild(configure(2), 2.0)
    assert {pick(table, now=2.0) for _ in range(20)} == {"b1"}
    assert table.returned("b0", 20.0)
    assert "b0" in {pick(table, now=31.0) for _ in range(50)}


def test_a_new_configuration_keeps_the_live_state():
    table = make_table(5)
    serve(table, "b1", now=0.0, outcome=Outcome.FAILED, times=5)
    table.started("b2", 100, 0.0)
    table.rebuild(configure(6), 0.5)
    assert table.health()["b1"] is Health.EJECTED
    assert table.health()["b5"] is Health.HEALTHY
    assert {s.name: s.in_flight for s in table}["b2"] == 1


def test_a_large_pool_is_sampled_and_keeps_its_prefixes():
    table = make_table(2_000)
    homes = {key: pick(table, prefix_key=key) for key in range(300)}
    assert all(pick(table, prefix_key=key) == home for key, home in homes.items())
    table.leaving("b17", 0.0)
    moved = [key for key in homes if pick(table, prefix_key=key) != homes[key]]
    assert len(moved) <= 3
