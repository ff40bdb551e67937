"""Requests for the snapshots of peers."""

from __future__ import annotations

import re
from collections.abc import Mapping
from urllib.parse import urlencode

import msgspec

from baobabthread.core.positions import OperatorsPosition
from baobabthread.instance.servers.connections import (
    ConnectionPool,
    IncompleteResponseError,
    encode_head,
)

SNAPSHOT_PATH = "/peer/knowledge"
KNOWN_END_PARAMETER = "known_end"
"""Query parameter: end of the operators' records known to the requesting instance."""
KNOWN_VERSION_PARAMETER = "known_version"
"""Query parameter: version of the requesting instance's configuration."""
_POSITION = re.compile(r"([0-9]{1,15}):([0-9]{1,15})")
MAX_SNAPSHOT_BYTES = 32_000_000


class KnownState(msgspec.Struct, frozen=True, kw_only=True):
    """What the instance that requests a snapshot has of the operators' state."""

    end: OperatorsPosition = OperatorsPosition()
    version: int = 0


def parse_known_state(query: Mapping[str, str]) -> KnownState:
    """Return what a request says of its sender; nothing known if it is unreadable."""
    end = _POSITION.fullmatch(query.get(KNOWN_END_PARAMETER, ""))
    version = query.get(KNOWN_VERSION_PARAMETER, "")
    if end is None or not (version.isascii() and version.isdigit()):
        return KnownState()
    return KnownState(
        end=OperatorsPosition(int(end[1]), int(end[2])), version=int(version)
    )


async def request_snapshot(
    pool: ConnectionPool, address: str, known: KnownState
) -> bytes:
    """Return the encoded snapshot of the peer at an address."""
    query = {
        KNOWN_END_PARAMETER: str(known.end),
        KNOWN_VERSION_PARAMETER: str(known.version),
    }
    target = f"{SNAPSHOT_PATH}?{urlencode(query)}"
    head = encode_head("GET", target, [("Host", address)])
    connection = await pool.send(head, b"")
    try:
        response = await pool.receive(connection)
        body = await response.read(MAX_SNAPSHOT_BYTES)
    except BaseException:
        pool.discard(connection)
        raise
    response.finish()
    if response.status != 200:
        raise IncompleteResponseError(f"peer responded with status {response.status}")
    return body
