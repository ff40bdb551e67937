"""Log lines for servers that an instance stops using on a peer's word."""

from __future__ import annotations

import pytest

from baobabthread.instance import peerchanges
from baobabthread.instance.peerchanges import log_backend_changes
from baobabthread.routing.bounds import RoutingBounds
from baobabthread.routing.configuration import BackendRecord
from baobabthread.routing.replica import StateReplica


def make_record(id: str, *, leaving: bool = False) -> BackendRecord:
    return BackendRecord(
        id=id,
        service="s",
        version="v1",
        address="10.0.0.1:80",
        failure_domain="a",
        capacity=4,
        leaving=leaving,
    )


def test_log_what_a_peer_tells_of_servers_that_go(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An instance that follows a reader logged nothing of a server that was gone."""
    lines: list[tuple[str, object, object]] = []
    monkeypatch.setattr(
        peerchanges,
        "log_event",
        lambda event, **fields: lines.append(
            (event, fields["backend"], fields["source"])
        ),
    )
    replica = StateReplica(bounds=RoutingBounds())
    for id in ("stays", "leaves", "goes"):
        replica.apply_backend(make_record(id))
    with log_backend_changes(replica, "reader"):
        replica.remove_backend("goes", 100.0)
        replica.apply_backend(make_record("leaves", leaving=True))
        replica.apply_backend(make_record("new"))
    leaving = replica.backends["leaves"].incarnation
    assert lines == [
        ("backend_leaving", leaving, "reader"),
        ("backend_gone", "goes", "reader"),
    ]
