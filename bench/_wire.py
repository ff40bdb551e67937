"""A relay of bytes that can be cut, to part one process from another."""

from __future__ import annotations

import asyncio
import contextlib

from bench._processes import own_host

CHUNK = 65_536


class Wire:
    """Relay connections to a port of this host until it is cut."""

    def __init__(self, *, port: int) -> None:
        """Take the port to relay to."""
        self._to = port
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._passing = asyncio.Event()
        self._passing.set()
        self.port = 0

    async def __aenter__(self) -> Wire:
        self._server = await asyncio.start_server(self._accept, own_host(), 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self._server is not None
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self) -> None:
        """Pass no byte from now on; connections stay open, as when packets are lost."""
        self._passing.clear()

    def heal(self) -> None:
        """Pass bytes again, the held ones first."""
        self._passing.set()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await self._passing.wait()
            await self._join(reader, writer)
        writer.close()

    async def _join(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        far_reader, far_writer = await asyncio.open_connection(own_host(), self._to)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, far_writer))
                group.create_task(self._pump(far_reader, writer))
        except* OSError:
            pass
        finally:
            far_writer.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(CHUNK):
            await self._passing.wait()
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
