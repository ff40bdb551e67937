"""Lookup of routes, services and client accounts in the configuration in force."""

from __future__ import annotations

import msgspec

from baobabthread.routing.configuration import (
    Account,
    Route,
    RoutingConfiguration,
    ServiceConfiguration,
)
from baobabthread.routing.regions import find_common_regions


class RoutingTable:
    """Finds the route and the client account of a request."""

    __slots__ = ("_accounts", "_hosts", "common_regions", "configuration", "services")

    def __init__(self, *, configuration: RoutingConfiguration) -> None:
        self.configuration = configuration
        self.common_regions = find_common_regions(configuration)
        """Regions in which all callers' bodies may be read; empty for any region."""
        self.services: dict[str, ServiceConfiguration] = {
            service.name: service for service in configuration.services
        }
        self._accounts: dict[str, Account] = {
            key: account for account in configuration.accounts for key in account.keys
        }
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            prefixes = self._hosts.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route

    @property
    def needs_keys(self) -> bool:
        """Whether requests need the key of a client account."""
        return bool(self.configuration.accounts)

    def match(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching path prefix."""
        prefixes = self._hosts.get(_strip_port(host).lower())
        if not prefixes:
            return None
        # Prefixes end with a slash, so only the path's own slashes can end one.
        end = len(path)
        while end > 0:
            end = path.rfind("/", 0, end) + 1
            if end == 0:
                return None
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end -= 1
        return None

    def authenticate(self, key: str | None) -> Account | None:
        """Return the client account of a key, None if there is none."""
        return None if key is None else self._accounts.get(key)


def _strip_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host


class Envelope(msgspec.Struct, kw_only=True):
    """Decoded headers of a request."""

    request_id: str
    key: str | None = None
    """Key of a client account."""
    time_left_s: float | None = None
    model: str | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    """Maximum number of tokens in the response."""
    expected_tokens: int = 0
    """The caller's estimate of the response's tokens; 0 if it gave none."""
    prompt_parts: tuple[PromptPart, ...] = ()
    last_event: str | None = None
    """The last event that the caller received of an earlier stream."""

    session: str | None = None
    """Name of the session; its requests should stay on the same version."""

    @property
    def shared_part(self) -> str | None:
        """The last part of the prompt that other requests may share.

        The very last part is specific to this request, so that no cache holds it.
        """
        return self.prompt_parts[-2].id if len(self.prompt_parts) > 1 else None

    @property
    def shared_tokens(self) -> int:
        """Number of tokens of the prompt that a cache may hold."""
        return sum(part.tokens for part in self.prompt_parts[:-1])


class PromptPart(msgspec.Struct, frozen=True, kw_only=True):
    """One part of a prompt; requests that share it also share its cache entry."""

    id: str
    tokens: int
