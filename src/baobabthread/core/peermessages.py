"""All messages that entries send each other, by the protocol that takes them."""

from __future__ import annotations

import msgspec

from baobabthread.core.billing.types import (
    BillsCopied,
    BillsTaken,
    CopyBills,
    HandOverBills,
)
from baobabthread.core.claims.handover import HandOver
from baobabthread.core.configuration.control import (
    ConfigurationRelay,
    FetchConfiguration,
)
from baobabthread.core.membership.messages import MEMBERSHIP_MESSAGES
from baobabthread.core.sessions.sessions import SessionGet, SessionIs, SessionPut

CONTROL_MESSAGES = (FetchConfiguration, ConfigurationRelay)
BILLING_MESSAGES = (CopyBills, BillsCopied, HandOverBills, BillsTaken)
SESSION_MESSAGES = (SessionPut, SessionGet, SessionIs)
PEER_MESSAGES: tuple[type[msgspec.Struct], ...] = (
    *MEMBERSHIP_MESSAGES,
    *CONTROL_MESSAGES,
    *BILLING_MESSAGES,
    *SESSION_MESSAGES,
    HandOver,
)
