"""Tells some other nodes of crashes while there is no leader to tell all of them.

A leader is elected in the store. If it is lost while the store is away, there is none for as long
as that lasts, and each node would lose back ends of its own to the same request.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio

from limedeck.api import control_pb2
from limedeck.clock import steady_clock
from limedeck.identity import Seconds
from limedeck.node.crash_updates import CrashUpdatePeer
from limedeck.node.framing import encode_frame
from limedeck.node.logs import get_logger
from limedeck.node.state import NodeState

INTERVAL: Seconds = 0.3
"""Between two rounds. News reach all of 490 nodes in some five rounds, as each that has heard them
tells the nodes that it knows."""
MOST_PEERS = 8
"""Nodes that a node knows besides the leader. With so many, drawn anew at each node, hardly any of
490 is known to none."""
TELL_TIMEOUT: Seconds = 0.5
"""Above the time of a connection to a slow machine; those that are told are told side by side."""


class CrashGossip:
    """One node's part in it.

    Parameters
    ----------
    has_leader
        Whether this node leads or hears a leader.
    own_host
        IP number that connections come from.
    """

    def __init__(self, state: NodeState, has_leader: Callable[[], bool], own_host: str) -> None:
        self._ledger = state.quarantine
        self._state = state
        self._has_leader = has_leader
        self._own_host = own_host
        self._peers: dict[str, CrashUpdatePeer] = {}
        self._log = get_logger("quarantine")

    async def run(self) -> None:
        """Tell again and again while there is no leader, until cancelled."""
        while True:
            await anyio.sleep(INTERVAL)
            if self._has_leader():
                self._peers.clear()
                continue
            async with anyio.create_task_group() as tasks:
                for address in self._state.peers:
                    tasks.start_soon(self._tell, address)

    async def _tell(self, address: str) -> None:
        peer = self._peers.setdefault(address, CrashUpdatePeer(self._ledger))
        news = peer.news(steady_clock())
        if news is None:
            return
        host, _, port = address.rpartition(":")
        frame = encode_frame(control_pb2.ControlMessage(crash_news=news))
        try:
            with anyio.fail_after(TELL_TIMEOUT):
                stream = await anyio.connect_tcp(host, int(port), local_host=self._own_host)
                async with stream:
                    await stream.send(frame)
        except (OSError, TimeoutError, anyio.BrokenResourceError) as error:
            # It is told all of it in the next round.
            del self._peers[address]
            problem = type(error).__name__
            self._log.info("crash_news_not_told", peer=address, problem=problem)


def some_peers(addresses: list[str], source: random.Random) -> list[str]:
    """Draw the nodes that one node is to know."""
    return source.sample(addresses, min(MOST_PEERS, len(addresses)))
