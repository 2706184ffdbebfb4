"""Exchange of updates on one connection, apart from tables of the store and loads."""

from __future__ import annotations

from limedeck.api import control_pb2
from limedeck.forwarding.backends import BackendDirectory
from limedeck.forwarding.quarantine import QuarantineLedger
from limedeck.identity import Seconds
from limedeck.node.crash_updates import CrashUpdatePeer
from limedeck.node.leaving_updates import LeavingUpdatePeer
from limedeck.node.limit_updates import LimitUpdatePeer


class ConnectionUpdates:
    """Crashes and statements exchanged with the node at the other end of a connection."""

    def __init__(self, quarantine: QuarantineLedger, directory: BackendDirectory) -> None:
        self.crashes = CrashUpdatePeer(quarantine)
        self._statement_peers = (
            LimitUpdatePeer(directory.limits),
            LeavingUpdatePeer(directory.leaving),
        )

    @property
    def has_urgent_updates(self) -> bool:
        """Whether the other node lacks a statement; statements are sent immediately."""
        return any(peer.has_updates for peer in self._statement_peers)

    def fill(self, message: control_pb2.Report | control_pb2.Status, now: Seconds) -> None:
        """Add the crashes and statements that the other node lacks."""
        self.crashes.fill(message, now)
        for peer in self._statement_peers:
            peer.fill(message, now)

    def apply(self, message: control_pb2.Report | control_pb2.Status, now: Seconds) -> None:
        """Record the crashes and statements that the other node sent."""
        self.crashes.apply(message.crash_news, now)
        for peer in self._statement_peers:
            peer.apply(message, now)
