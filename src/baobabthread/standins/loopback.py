"""Loopback networks of this machine, each owned by one run."""

from __future__ import annotations

import functools
import random
import socket

from baobabthread.errors import UnavailableError

SECOND_BYTES = range(16, 240)
THIRD_BYTES = range(256)
CLAIM_HOST = 254
"""Last byte of the address whose claim port is held by the owner of a network."""
CLAIM_PORT = 9_999
PORTS = range(10_000, 32_000)
"""Below the range from which the system takes ports of outgoing connections."""
MOST_TRIES = 200


class LoopbackNetwork:
    """Own the addresses of one network, and never give a port twice.

    A port that is found free and let go may be taken before it is bound again, and the
    address of a server that ended may be another run's by the next request.
    """

    __slots__ = ("_claim", "_given", "_prefix")

    def __init__(self, *, prefix: str, claim: socket.socket) -> None:
        self._prefix = prefix
        self._claim = claim
        self._given = 0

    def give_host(self, number: int) -> str:
        """Return the IP address of a host of this network."""
        if not 0 < number < CLAIM_HOST:
            raise ValueError(f"host {number}: allowed are 1 to {CLAIM_HOST - 1}")
        return f"{self._prefix}.{number}"

    def give_port(self) -> int:
        """Return a port that nothing uses at any host of this network."""
        if self._given >= len(PORTS):
            raise UnavailableError(
                f"all {len(PORTS)} ports of {self._prefix}.0 were given",
                remedy="claim a network for each run",
            )
        self._given += 1
        return PORTS[self._given - 1]

    def give_ports(self, count: int) -> list[int]:
        """Return as many ports in a row."""
        return [self.give_port() for _ in range(count)]

    def close(self) -> None:
        """Let the network go."""
        self._claim.close()


def claim_network() -> LoopbackNetwork:
    """Claim a network that no other run on this machine owns."""
    rng = random.SystemRandom()
    for _ in range(MOST_TRIES):
        prefix = f"127.{rng.choice(SECOND_BYTES)}.{rng.choice(THIRD_BYTES)}"
        claim = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            claim.bind((f"{prefix}.{CLAIM_HOST}", CLAIM_PORT))
        except OSError:
            claim.close()
            continue
        return LoopbackNetwork(prefix=prefix, claim=claim)
    raise UnavailableError(
        f"no loopback network is free after {MOST_TRIES} tries",
        remedy="end runs that are left over on this machine",
    )


@functools.cache
def own_network() -> LoopbackNetwork:
    """Return the network that this process holds until it ends."""
    return claim_network()
