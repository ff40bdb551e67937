"""Requests for the snapshots of peers."""

from __future__ import annotations

from baobabthread.instance.connections import (
    ConnectionPool,
    IncompleteResponseError,
    encode_head,
)

SNAPSHOT_PATH = "/peer/knowledge"
KNOWN_END_PARAMETER = "known_end"
"""Query parameter: end of the operators' records known to the requesting instance."""
MAX_SNAPSHOT_BYTES = 32_000_000


async def request_snapshot(pool: ConnectionPool, address: str, known_end: int) -> bytes:
    """Return the encoded snapshot of the peer at an address."""
    target = f"{SNAPSHOT_PATH}?{KNOWN_END_PARAMETER}={known_end}"
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
