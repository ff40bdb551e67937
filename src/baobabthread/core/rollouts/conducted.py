"""What one entry holds for each service whose roll-outs it may conduct."""

from __future__ import annotations

import random

from baobabthread.core.models.selection import Selection
from baobabthread.core.rollouts.detectors import Detector
from baobabthread.core.rollouts.leases import Lease
from baobabthread.core.rollouts.orders import Orders
from baobabthread.core.rollouts.quality import DETECTORS


class Conducted:
    """Hold what this entry needs to conduct one service."""

    __slots__ = (
        "alarms",
        "detector",
        "detector_name",
        "lease",
        "name",
        "open_orders",
        "orders",
        "restate_at",
        "selection",
    )

    def __init__(
        self, *, name: str, holder: str, detector: str, rng: random.Random
    ) -> None:
        self.name = name
        self.detector_name = detector
        self.detector: Detector = DETECTORS.get(detector)()
        self.lease = Lease(holder=holder, service=name, random_source=rng)
        self.orders = Orders()
        self.selection = Selection(cascade=(), states={})
        self.restate_at = 0.0
        self.open_orders = 0
        self.alarms = 0
