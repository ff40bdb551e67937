"""Loopback proxies that harm the connections between processes."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct

from baobabthread.standins.loopback import LoopbackNetwork

CHUNK_BYTES = 65_536


class Mode(enum.StrEnum):
    """Name what a proxy does with the bytes of its connections."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    """Bytes vanish both ways, and nobody is told."""
    DEAF = "deaf"
    """Requests arrive; answers vanish."""
    RESET = "reset"


class Proxy:
    """Pass connections on to one address, or harm them."""

    __slots__ = (
        "_links",
        "_network",
        "_server",
        "address",
        "delay_s",
        "mode",
        "target",
    )

    def __init__(self, *, target: str, network: LoopbackNetwork) -> None:
        self.target = target
        self._network = network
        self.mode = Mode.PASS
        self.delay_s = 0.0
        self.address = ""
        self._server: asyncio.Server | None = None
        self._links: set[_Link] = set()

    async def start(self) -> Proxy:
        """Listen at a port of the run's network."""
        host, port = self._network.give_host(1), self._network.give_port()
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = f"{host}:{port}"
        return self

    def set_mode(self, mode: Mode, *, delay_s: float = 0.0) -> None:
        """Harm what is open and what comes from now on."""
        self.mode = mode
        self.delay_s = delay_s
        if mode is Mode.RESET:
            self.reset_all()

    def reset_all(self) -> None:
        """Reset every open connection."""
        for link in list(self._links):
            link.abort()

    def stop_listening(self) -> None:
        """Refuse new connections, and pass on how the open ones end."""
        if self._server is not None:
            self._server.close()

    def close(self) -> None:
        """Stop listening and end what is open."""
        self.stop_listening()
        self.reset_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is Mode.RESET:
            reset(writer)
            return
        link = _Link(self, writer)
        self._links.add(link)
        try:
            await link.carry(reader)
        finally:
            self._links.discard(link)
            link.abort()


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset; a plain close would look like a proper end."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.is_closing():
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class _Link:
    """Hold one connection and its way on; a silent one stays silent for good."""

    def __init__(self, proxy: Proxy, near: asyncio.StreamWriter) -> None:
        self._proxy = proxy
        self._near = near
        self._far: asyncio.StreamWriter | None = None
        self._lost = {False: False, True: False}

    async def carry(self, reader: asyncio.StreamReader) -> None:
        """Open the way on and pass bytes both ways until they end."""
        host, _, port = self._proxy.target.rpartition(":")
        try:
            far_reader, self._far = await asyncio.open_connection(host, int(port))
        except OSError:
            self._near.transport.abort()
            return
        if self._near.is_closing():
            return
        await asyncio.gather(
            self.pump(reader, self._far, is_answer=False),
            self.pump(far_reader, self._near, is_answer=True),
        )

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        """Pass bytes on one way until it ends."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self._swallows(is_answer):
                    continue
                if self._proxy.mode is Mode.DELAY:
                    await asyncio.sleep(self._proxy.delay_s)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            # Passed on as a close, a reset would make half of an unframed body whole.
            self.abort()
            return
        if not self._swallows(is_answer) and not writer.is_closing():
            writer.close()

    def _swallows(self, is_answer: bool) -> bool:
        # Bytes that were lost leave a gap: whatever came after them would be joined to
        # the wrong place, so the connection never carries anything again.
        mode = self._proxy.mode
        if mode is Mode.SILENT or (mode is Mode.DEAF and is_answer):
            self._lost[is_answer] = True
        return self._lost[is_answer]

    def abort(self) -> None:
        """Reset both ends."""
        reset(self._near)
        if self._far is not None:
            reset(self._far)
