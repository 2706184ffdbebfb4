"""Sends crash updates to some other nodes while there is no leader to send them to all nodes.

The leader is elected in the store. If it fails while the store is unreachable, there is no leader
until the store returns, and the same request would crash other back ends through each node.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio

from limedeck.api import control_pb2
from limedeck.clock import steady_clock
from limedeck.identity import Seconds
from limedeck.node.connections import CONNECTION_ERRORS, connect_to_node
from limedeck.node.crash_updates import CrashUpdatePeer
from limedeck.node.framing import encode_frame
from limedeck.node.logs import get_logger
from limedeck.node.state import NodeState

ROUND_INTERVAL: Seconds = 0.3
"""Time between two rounds. An update reaches all of 490 nodes in about five rounds, as each node
that received it sends it on to its peers."""
MAX_PEERS = 8
"""Peers that a node knows besides the leader. With this many, drawn at random for each node, hardly
any of 490 nodes is a peer of none."""
PEER_SEND_TIMEOUT: Seconds = 0.5
"""Above the time to connect to a slow machine. Updates are sent to all peers concurrently."""


class CrashGossip:
    """Exchanges crash updates between one node and its peers without a leader.

    Parameters
    ----------
    has_leader
        Whether this node leads or receives messages from a leader.
    own_host
        Source address of the connections to other nodes.
    """

    def __init__(self, state: NodeState, has_leader: Callable[[], bool], own_host: str) -> None:
        self._ledger = state.quarantine
        self._state = state
        self._has_leader = has_leader
        self._own_host = own_host
        self._peers: dict[str, CrashUpdatePeer] = {}
        self._log = get_logger("quarantine")

    async def run(self) -> None:
        """Send updates at intervals while there is no leader, until cancelled."""
        while True:
            await anyio.sleep(ROUND_INTERVAL)
            if self._has_leader():
                self._peers.clear()
                continue
            async with anyio.create_task_group() as tasks:
                for address in self._state.peers:
                    tasks.start_soon(self._send_update, address)

    async def _send_update(self, address: str) -> None:
        peer = self._peers.setdefault(address, CrashUpdatePeer(self._ledger))
        update = peer.next_update(steady_clock())
        if update is None:
            return
        frame = encode_frame(control_pb2.ControlMessage(crash_news=update))
        try:
            with anyio.fail_after(PEER_SEND_TIMEOUT):
                stream = await connect_to_node(address, self._own_host)
                async with stream:
                    await stream.send(frame)
        except CONNECTION_ERRORS as error:
            # All updates are sent again in the next round.
            del self._peers[address]
            problem = type(error).__name__
            self._log.info("crash_news_not_told", peer=address, problem=problem)


def sample_peers(addresses: list[str], random_source: random.Random) -> list[str]:
    """Draw the peers of one node at random."""
    return random_source.sample(addresses, min(MAX_PEERS, len(addresses)))
