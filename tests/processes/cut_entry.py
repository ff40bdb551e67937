"""Run an entry whose connections to peers can be cut: `python -m` this module.

Loopback packets can't be dropped without rights over the machine, and peers connect to
the address that an entry listens at, so no relay stands between them. The cut is made
where an entry connects: a file lists the pairs of ports that don't reach each other.
"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path
from typing import Any

import aiohttp

from baobabthread.cli import main

CUTS_VARIABLE = "CUTS_FILE"
STEP_S = 0.05


class CutConnector(aiohttp.TCPConnector):
    """Connect to nobody from whom this entry is cut, and break what is connected."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._transports: list[tuple[int, asyncio.Transport]] = []
        self._watching: asyncio.Task[None] | None = None

    async def connect(self, req: Any, *args: Any, **kwargs: Any) -> Any:
        """Return a connection or fail as when the other side can't be reached."""
        port = int(req.url.port)
        if is_cut(port):
            raise aiohttp.ServerTimeoutError(f"cut from port {port}")
        connection = await super().connect(req, *args, **kwargs)
        self._transports.append((port, connection.transport))
        if self._watching is None:
            self._watching = asyncio.ensure_future(self._watch())
        return connection

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            open_ = [each for each in self._transports if not each[1].is_closing()]
            self._transports = list(dict.fromkeys(open_))
            for port, transport in self._transports:
                if is_cut(port):
                    transport.abort()


def is_cut(port: int) -> bool:
    """Tell whether this entry's peer port and another are cut from each other."""
    own = sys.argv[sys.argv.index("--peer-listen") + 1].rpartition(":")[2]
    lines = Path(os.environ[CUTS_VARIABLE]).read_text().split()
    return f"{own}-{port}" in lines or f"{port}-{own}" in lines


if __name__ == "__main__":
    aiohttp.TCPConnector = CutConnector  # type: ignore[misc]
    main()
