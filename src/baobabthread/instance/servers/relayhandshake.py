"""The reply of a peer that is asked to carry a connection."""

from __future__ import annotations

import asyncio
from typing import cast

from baobabthread.instance.servers.connections import NotSentError
from baobabthread.instance.servers.relay import (
    MAX_HEAD_BYTES,
    RelayStatus,
    decode_status,
    encode_connect,
)
from baobabthread.routing.servers.paths import Relay


class RelayError(NotSentError):
    """Raised if a peer does not carry a connection."""

    def __init__(self, relay: Relay, status: RelayStatus | None, reason: str) -> None:
        super().__init__(
            f"not relayed by {relay.name}: {reason}",
            is_refused=status is RelayStatus.REFUSED,
        )
        self.status = status


class RelayHandshake(asyncio.Protocol):
    """Wait for the reply of a relaying peer."""

    def __init__(self, server: str) -> None:
        self._server = server
        self._head = b""
        self.reply: asyncio.Future[RelayStatus | None] = (
            asyncio.get_running_loop().create_future()
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask for the connection."""
        cast(asyncio.Transport, transport).write(encode_connect(self._server))

    def data_received(self, data: bytes) -> None:
        """Read the reply, after which the server has sent nothing yet."""
        self._head += data
        head, end, rest = self._head.partition(b"\r\n\r\n")
        if self.reply.done():
            return
        if rest or len(head) > MAX_HEAD_BYTES:
            self.reply.set_result(None)
        elif end:
            self.reply.set_result(decode_status(head))

    def connection_lost(self, exc: Exception | None) -> None:
        """End without a reply."""
        if not self.reply.done():
            self.reply.set_result(None)
