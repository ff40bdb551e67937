"""Division of a service's backend servers into groups, each with one owner."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Mapping

import xxhash

MAX_GROUP = 32
"""Servers of a group at most: enough that their load evens out within it, and few
enough requests for one instance."""
MIN_CROWD = 2.0
"""Instances for each server from which on its group's owner assigns requests: below,
each instance sees enough of the load by itself."""
MIN_REMAINING_CROWD = 1.3
"""Instances for each server below which its group's owner no longer does."""


def count_groups(servers: int) -> int:
    """Return the number of groups for a number of servers, a power of two.

    Groups then only ever split in halves, and most requests keep their owner.
    """
    count = 1
    while servers > count * MAX_GROUP:
        count *= 2
    return count


def divide(service: str, servers: Iterable[str]) -> Mapping[str, frozenset[str]]:
    """Return the servers of a service by the name of their group."""
    names = list(servers)
    count = count_groups(len(names))
    groups: dict[str, set[str]] = {f"{service}/{i}": set() for i in range(count)}
    for name in names:
        index = xxhash.xxh3_64_intdigest(name.encode()) % count
        groups[f"{service}/{index}"].add(name)
    return {group: frozenset(members) for group, members in groups.items() if members}


def choose_group(
    groups: Mapping[str, frozenset[str]],
    usable: Collection[str],
    prefix_key: int | None,
    rng: random.Random,
) -> str | None:
    """Return the group to ask for a server, by its part of the usable servers.

    A prompt's prefix chooses its own group, whose servers have it cached.
    """
    counts = {
        group: sum(name in usable for name in members)
        for group, members in groups.items()
    }
    total = sum(counts.values())
    if not total:
        return None
    drawn = rng.random() if prefix_key is None else (prefix_key % 4096) / 4096
    for group, count in counts.items():
        drawn -= count / total
        if count and drawn < 0.0:
            return group
    return max(counts, key=lambda group: counts[group])


def is_crowded(instances: int, servers: int, *, was_crowded: bool = False) -> bool:
    """Return whether many instances choose among few servers.

    What was crowded stays so for longer: while instances differ on it, those that
    choose by themselves and those that ask see only parts of the load.
    """
    crowd = MIN_REMAINING_CROWD if was_crowded else MIN_CROWD
    return instances >= max(2.0, crowd * servers)
