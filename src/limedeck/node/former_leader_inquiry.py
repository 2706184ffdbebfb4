"""Queries leaders of earlier terms whether they still lead."""

from __future__ import annotations

import anyio

from limedeck.api.control_pb2 import ControlMessage, FormerLeader, LeaderRecord, Report
from limedeck.identity import Seconds
from limedeck.node.connections import CONNECTION_ERRORS, connect_to_node
from limedeck.node.control import ControlHost
from limedeck.node.framing import FrameReader, encode_frame
from limedeck.node.logs import get_logger

INQUIRY_INTERVAL: Seconds = 0.2
"""Pause between rounds; short, since keys of unresponsive owners wait for the responses."""
INQUIRY_TIMEOUT: Seconds = 0.8
"""Above `CONNECT_TIMEOUT`; a former leader that is cut off does not respond."""


class FormerLeaderInquiry:
    """Queries leaders of earlier terms whether they still lead, while this node leads."""

    def __init__(self, identity: LeaderRecord, control: ControlHost) -> None:
        self._identity = identity
        self._control = control
        self._log = get_logger("peers")

    async def run(self) -> None:
        """Query each former leader until it responds, while this node leads; until cancelled."""
        while True:
            known = [item for item in self._control.election.former_leaders() if item.node_id]
            for former in known:
                try:
                    await self._inquire(former)
                except CONNECTION_ERRORS as error:
                    problem = type(error).__name__
                    self._log.info("former_leader_silent", node=former.node_id, problem=problem)
            await anyio.sleep(INQUIRY_INTERVAL)

    async def _inquire(self, former: FormerLeader) -> None:
        own_host = self._identity.peer_address.rpartition(":")[0]
        report = Report(
            node_id=self._identity.node_id,
            incarnation=self._identity.incarnation,
            term=self._control.election.term,
        )
        with anyio.fail_after(INQUIRY_TIMEOUT):
            stream = await connect_to_node(former.peer_address, own_host)
            async with stream:
                await stream.send(encode_frame(ControlMessage(report=report)))
                reader = FrameReader(stream, ControlMessage)
                while True:
                    message, _ = await reader.read()
                    if not message.status.leads or message.status.term >= report.term:
                        break
        self._log.info("former_leader_over", node=former.node_id)
        self._control.election.handle_former_leader_ended(former)
