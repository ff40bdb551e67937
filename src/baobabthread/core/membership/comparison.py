"""Comparison of two tables of members, of which only what one lacks is sent.

Two entries first tell each other a checksum. Where it differs, one of them lists the
fingerprints that it knows; the other one sends what the list lacks and asks for what it
lacks itself.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from baobabthread.core.membership.fingerprints import (
    list_prints,
    pack_prints,
    unpack_prints,
)
from baobabthread.core.membership.messages import (
    Digest,
    MemberInfo,
    Members,
    Prints,
)
from baobabthread.core.messages import Effects, Send

PER_MESSAGE = 60
"""Members in a message, some 8 KB: more than a datagram holds would never arrive."""


def list_known(known: Sequence[MemberInfo], to: str, digest: Digest) -> Send:
    """Return the fingerprints of known members for an entry that knows others."""
    prints = pack_prints(list_prints(known))
    return Send(to=to, message=Prints(prints=prints, digest=digest))


def answer_prints(
    known: Sequence[MemberInfo], message: Prints, to: str, digest: Digest
) -> Effects:
    """Return what an entry lacks by its fingerprints, and ask for what lacks here."""
    mine = list_prints(known)
    theirs = unpack_prints(message.prints)
    news = [info for number, info in mine.items() if number not in theirs]
    return _send(news, pack_prints(theirs - mine.keys()), to, digest)


def answer_wants(
    known: Sequence[MemberInfo], message: Members, to: str, digest: Digest
) -> Effects:
    """Return the members that an entry asked for."""
    wanted = unpack_prints(message.wants)
    mine = list_prints(known)
    news = [info for number, info in mine.items() if number in wanted]
    return _send(news, b"", to, digest)


def _send(members: list[MemberInfo], wants: bytes, to: str, digest: Digest) -> Effects:
    if not members and not wants:
        return []
    messages = [
        Members(members=members[start : start + PER_MESSAGE], wants=b"", digest=digest)
        for start in range(0, max(1, len(members)), PER_MESSAGE)
    ]
    messages[0] = msgspec.structs.replace(messages[0], wants=wants)
    return [Send(to=to, message=message) for message in messages]
