"""What the platform asks an instance: readiness, addresses, figures."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from aiohttp import web

from baobabthread.routing.directory import AddressList

READY_PATH = "/-/readiness"
RESOLVE_PATH = "/-/resolve"

FindAddresses = Callable[[str | None, str | None], AddressList]
"""By the caller's failure domain and area."""


class _Addresses(msgspec.Struct, kw_only=True):
    addresses: list[str]
    """Of callers' listeners, as IP:PORT."""
    ttl_s: float


class PlatformInterface:
    """Answer the platform's and the callers' questions about instances."""

    __slots__ = ("_find_addresses", "_is_ready")

    def __init__(
        self, *, is_ready: Callable[[], bool], find_addresses: FindAddresses
    ) -> None:
        self._is_ready = is_ready
        self._find_addresses = find_addresses

    async def serve_readiness(self, request: web.BaseRequest) -> web.StreamResponse:
        """Tell whether this instance takes callers."""
        if _get_path(request) != READY_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self._is_ready() else 503)

    async def serve_directory(self, request: web.BaseRequest) -> web.StreamResponse:
        """Tell which addresses a caller may connect to."""
        if _get_path(request) != RESOLVE_PATH:
            return web.Response(status=404)
        found = self._find_addresses(
            request.query.get("zone"), request.query.get("region")
        )
        answer = _Addresses(addresses=found.addresses, ttl_s=found.lifetime_s)
        return web.Response(
            body=msgspec.json.encode(answer), content_type="application/json"
        )


def _get_path(request: web.BaseRequest) -> str:
    return request.path
