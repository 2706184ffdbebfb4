"""What nodes tell each other of the store, which may serve some of them and not others."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from limedeck.api.control_pb2 import Report, Status, StoredConfiguration, TableVersion
from limedeck.errors import PlatformProtocolError
from limedeck.identity import Seconds
from limedeck.model import Configuration
from limedeck.node.logs import get_logger
from limedeck.node.state import NodeState
from limedeck.node.telemetry import Telemetry
from limedeck.node.watchers import TableWatcher


class StoreNews:
    """The newest configuration and table versions that this node knows, from whichever source.

    Parameters
    ----------
    read
        Reads a configuration's stored form.
    """

    def __init__(
        self, state: NodeState, telemetry: Telemetry, read: Callable[[bytes], Configuration]
    ) -> None:
        self.watchers: Sequence[TableWatcher] = ()
        self._state = state
        self._telemetry = telemetry
        self._read = read
        self._stored = StoredConfiguration()
        self._log = get_logger("configuration")

    def adopt(self, value: bytes, source: str) -> None:
        """Put a configuration in force if it is newer than the one that is.

        Raises
        ------
        PlatformProtocolError
            It cannot be read; the one in force stays.
        """
        configuration = self._read(value)
        if not self._state.set_configuration(configuration):
            return
        self._stored = StoredConfiguration(version=configuration.version, value=value)
        self._telemetry.configuration.set(configuration.version)
        self._log.info("configuration", version=configuration.version, source=source)

    def fill_report(self, report: Report, leader_version: int) -> None:
        """Add what the leader may not know."""
        report.tables.extend(self._tables())
        report.configuration_version = self._stored.version
        if self._stored.version > leader_version:
            report.configuration.CopyFrom(self._stored)

    def fill_status(self, status: Status, node_version: int) -> None:
        """Add what a node may not know."""
        status.tables.extend(self._tables())
        status.configuration_version = self._stored.version
        if self._stored.version > node_version:
            status.configuration.CopyFrom(self._stored)

    def take(self, message: Report | Status, now: Seconds) -> None:
        """Take in what another node tells."""
        if message.HasField("configuration"):
            try:
                self.adopt(message.configuration.value, "node")
            except PlatformProtocolError as error:
                self._log.error("configuration_refused", problem=str(error))
        told = {item.table: item.version for item in message.tables}
        for watcher in self.watchers:
            watcher.handle_told(told.get(watcher.table, 0), now)

    def _tables(self) -> list[TableVersion]:
        return [TableVersion(table=item.table, version=item.newest) for item in self.watchers]
