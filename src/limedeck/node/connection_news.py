"""What nodes tell each other besides the store's tables and loads, on one connection."""

from __future__ import annotations

from limedeck.api import control_pb2
from limedeck.forwarding.limits import LimitLedger
from limedeck.forwarding.quarantine import QuarantineLedger
from limedeck.identity import Seconds
from limedeck.node.crash_news import CrashNewsPeer
from limedeck.node.limit_news import LimitNewsPeer


class ConnectionNews:
    """How far the node at the other end was told, and what it told: crashes and limits."""

    def __init__(self, quarantine: QuarantineLedger, limits: LimitLedger) -> None:
        self.crashes = CrashNewsPeer(quarantine)
        self.limits = LimitNewsPeer(limits)

    def fill(self, message: control_pb2.Report | control_pb2.Status, now: Seconds) -> None:
        """Add what the other node lacks."""
        self.crashes.fill(message, now)
        self.limits.fill(message, now)

    def take(self, message: control_pb2.Report | control_pb2.Status, now: Seconds) -> None:
        """Take in what the other node tells."""
        self.crashes.take(message.crash_news, now)
        self.limits.take(message, now)
