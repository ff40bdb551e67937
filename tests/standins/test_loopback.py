"""Loopback networks that one run owns."""

from __future__ import annotations

import contextlib
import socket

import pytest

from baobabthread.standins import loopback
from baobabthread.standins.loopback import claim_network


def test_give_no_network_twice() -> None:
    """Two runs met at one address, and each answered the other one's requests."""
    with contextlib.ExitStack() as stack:
        hosts = set()
        for _ in range(50):
            network = claim_network()
            stack.callback(network.close)
            hosts.add(network.give_host(1))
        assert len(hosts) == 50


def test_leave_a_network_that_another_run_owns(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    owned = claim_network()
    second, third = owned.give_host(1).split(".")[1:3]
    monkeypatch.setattr(loopback, "SECOND_BYTES", range(int(second), int(second) + 1))
    monkeypatch.setattr(loopback, "THIRD_BYTES", range(int(third), int(third) + 1))
    with pytest.raises(Exception, match="no loopback network is free"):
        claim_network()
    owned.close()
    claim_network().close()


def test_give_no_port_twice() -> None:
    """A server crashed, and another run bound its port before it was back."""
    network = claim_network()
    ports = network.give_ports(100)
    assert len(set(ports)) == 100
    with contextlib.ExitStack() as stack:
        for port in ports:
            sock = stack.enter_context(socket.socket())
            sock.bind((network.give_host(1), port))
    network.close()


@pytest.mark.parametrize("number", [0, 254, 300])
def test_refuse_a_host_that_is_none(number: int) -> None:
    network = claim_network()
    with pytest.raises(ValueError, match="allowed are 1 to 253"):
        network.give_host(number)
    network.close()
