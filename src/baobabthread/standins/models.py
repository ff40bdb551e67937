"""The versions that an engine has loaded, and the orders that change them."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable

import aiohttp
import msgspec

MAX_ORDERS = 200
RETRY_S = 0.1


class OrderBody(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one order as it came."""

    fence: int
    desired: list[str]
    generation: int = 0
    conductor: str = ""


class Models:
    """Follow orders: unload at once, load as fast as the weight store allows."""

    __slots__ = (
        "_loads",
        "_on_change",
        "_session",
        "checks_fencing",
        "fence",
        "load_s",
        "loaded",
        "loading",
        "orders",
        "weights_url",
    )

    def __init__(
        self,
        *,
        versions: Iterable[str],
        checks_fencing: bool,
        load_s: float,
        weights_url: str,
        on_change: Callable[[], None],
    ) -> None:
        self.loaded = list(versions)
        self.loading: list[str] = []
        self.checks_fencing = checks_fencing
        self.fence = 0
        self.load_s = load_s
        self.weights_url = weights_url
        self.orders: deque[OrderBody] = deque(maxlen=MAX_ORDERS)
        self._on_change = on_change
        self._loads: dict[str, asyncio.Task[None]] = {}
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Give up the loads under way."""
        tasks = list(self._loads.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._loads.clear()
        self.loading.clear()
        session, self._session = self._session, None
        if session is not None:
            await session.close()

    def is_stale(self, order: OrderBody) -> bool:
        """Tell whether a fencing check refuses the order."""
        return self.checks_fencing and order.fence < self.fence

    def follow(self, order: OrderBody) -> None:
        """Take the order's desired set as the aim."""
        self.orders.append(order)
        self.fence = max(self.fence, order.fence)
        self.loaded = [name for name in self.loaded if name in order.desired]
        for name in list(self._loads):
            if name not in order.desired:
                self._loads.pop(name).cancel()
                self.loading.remove(name)
        for name in order.desired:
            if name not in self.loaded and name not in self._loads:
                self.loading.append(name)
                self._loads[name] = asyncio.create_task(self._load(name))
        self._on_change()

    async def wait(self) -> None:
        """Wait until no load is under way."""
        await asyncio.gather(*self._loads.values())

    async def _load(self, version: str) -> None:
        if self.weights_url:
            await self._fetch(version)
        if self.load_s:
            await asyncio.sleep(self.load_s)
        self._loads.pop(version, None)
        self.loading.remove(version)
        self.loaded.append(version)
        self._on_change()

    async def _fetch(self, version: str) -> None:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        url = f"{self.weights_url}/v1/weights/{version}"
        while True:
            try:
                async with self._session.get(url) as response:
                    await response.read()
                    if response.status == 200:
                        return
            except (aiohttp.ClientError, TimeoutError):
                pass
            await asyncio.sleep(RETRY_S)
