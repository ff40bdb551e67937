"""Listening sockets that accept no more connections than their group may have."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import ssl
from collections.abc import Callable, Coroutine
from typing import Any

from baobabthread.serving.groups import ConnectionGroup

BACKLOG = 512
"""Connections that the system completes ahead of their acceptance."""
MAX_ACCEPTS = 16
"""Connections accepted in one turn of the event loop."""
RECEIVE_BUFFER_BYTES = 32_768
"""Bytes that the system keeps for each connection until they are read."""
PAUSE_S = 0.1
"""Pause after the system could not accept a connection."""
HANDSHAKE_TIMEOUT_S = 10.0
"""Time for a TLS handshake."""

MakeProtocol = Callable[[], asyncio.Protocol]


class _Handshake:
    """Connection that is being set up; with TLS, that depends on its client."""

    __slots__ = (
        "awaits_request",
        "head_began_at",
        "held_bytes",
        "idle_since",
        "task",
        "unsent_bytes",
    )

    def __init__(self, work: Coroutine[Any, Any, None]) -> None:
        self.task = asyncio.ensure_future(work)
        self.awaits_request = True
        self.head_began_at: float | None = None
        self.held_bytes = 0
        self.idle_since = 0.0
        self.unsent_bytes = 0

    def drop(self) -> None:
        """Close the connection."""
        self.task.cancel()

    def drop_ahead(self) -> None:
        """Do nothing: there are no requests yet."""


class Listener:
    """Accept the connections of one address."""

    __slots__ = ("_group", "_handshakes", "_make_protocol", "_socket", "_tls")

    def __init__(
        self,
        *,
        address: str,
        group: ConnectionGroup,
        make_protocol: MakeProtocol,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._group = group
        self._make_protocol = make_protocol
        self._tls = tls
        self._handshakes: set[_Handshake] = set()
        self._socket = _bind(address)
        self._resume()

    @property
    def address(self) -> str:
        """The address of the form IP:PORT, with the port that was chosen."""
        host, port = self._socket.getsockname()
        return f"{host}:{port}"

    def close(self) -> None:
        """Accept no more connections; those that are open stay."""
        if self._socket.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
        if self._tls is not None:
            for handshake in list(self._handshakes):
                handshake.drop()

    def _resume(self) -> None:
        if self._socket.fileno() >= 0:
            loop = asyncio.get_running_loop()
            loop.add_reader(self._socket, self._accept_some)

    def _accept_some(self) -> None:
        if self._group.is_full and self._group.evict_one():
            # Its descriptor is free in the next turn of the loop.
            return
        for _ in range(MAX_ACCEPTS):
            is_full = self._group.is_full
            if is_full and self._group.idle:
                return
            try:
                connection, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                self._pause(error)
                return
            if is_full:
                connection.close()
                self._group.log("connection_refused", reason="connections")
            else:
                self._open(connection)

    def _pause(self, error: OSError) -> None:
        """Stop accepting for a while, as the system has no descriptors left."""
        self._group.log("accept_failed", error=error.strerror or str(error))
        self._group.evict_one()
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._socket)
        loop.call_later(PAUSE_S, self._resume)

    def _open(self, connection: socket.socket) -> None:
        connection.setblocking(False)
        handshake = _Handshake(self._connect(connection))
        self._handshakes.add(handshake)
        self._group.add(handshake)

        def finish(task: asyncio.Task[None]) -> None:
            self._handshakes.discard(handshake)
            self._group.remove(handshake)
            if task.cancelled():
                connection.close()

        handshake.task.add_done_callback(finish)

    async def _connect(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(
                self._make_protocol,
                connection,
                ssl=self._tls,
                ssl_handshake_timeout=HANDSHAKE_TIMEOUT_S if self._tls else None,
            )
        except OSError as error:
            connection.close()
            self._group.log("handshake_failed", error=str(error))


def _bind(address: str) -> socket.socket:
    """Return a socket that listens at an address of the form IP:PORT."""
    host, _, port = address.rpartition(":")
    with contextlib.ExitStack() as stack:
        listening = stack.enter_context(socket.socket(socket.AF_INET))
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listening.bind((host, int(port)))
        listening.listen(BACKLOG)
        listening.setblocking(False)
        stack.pop_all()
    return listening
