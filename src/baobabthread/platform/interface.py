"""HTTP handlers for the platform's readiness checks and address lookups."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from aiohttp import web

from baobabthread.routing.directory import AddressList

READY_PATH = "/-/readiness"
RESOLVE_PATH = "/-/resolve"

FindAddresses = Callable[[str | None, str | None], AddressList]
"""Finds the addresses for a caller's failure domain and region."""


class _Addresses(msgspec.Struct, kw_only=True):
    addresses: list[str]
    """Callers' listeners of instances, as IP:PORT."""
    ttl_s: float


class PlatformInterface:
    """Serves readiness to the platform and instance addresses to callers."""

    __slots__ = ("_find_addresses", "_is_ready")

    def __init__(
        self, *, is_ready: Callable[[], bool], find_addresses: FindAddresses
    ) -> None:
        self._is_ready = is_ready
        self._find_addresses = find_addresses

    async def serve_readiness(self, request: web.BaseRequest) -> web.StreamResponse:
        """Respond with status 200 if this instance accepts callers, else 503."""
        if _get_path(request) != READY_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self._is_ready() else 503)

    async def serve_directory(self, request: web.BaseRequest) -> web.StreamResponse:
        """Respond with the addresses to which a caller may connect."""
        if _get_path(request) != RESOLVE_PATH:
            return web.Response(status=404)
        directory = self._find_addresses(
            request.query.get("zone"), request.query.get("region")
        )
        addresses = _Addresses(
            addresses=directory.addresses, ttl_s=directory.lifetime_s
        )
        return web.Response(
            body=msgspec.json.encode(addresses), content_type="application/json"
        )


def _get_path(request: web.BaseRequest) -> str:
    return request.path
