"""Who may send to a back end that is cold, if there is no warm one.

A back end that has just started bears a few requests a second from all nodes together, and falls
over well above that. Nodes do not see each other's requests, and what they know of each other may
be old. So nothing is sent to a cold back end as long as its service has a warm one: that keeps
any bound, whatever nodes believe, and costs what cold back ends can do, a fifth of a warm one's
work for some seconds. Only where all are cold, nodes take turns by lot: in each second, each node
may send each of them one request with a chance that gives all nodes together a quarter of what it
bears.
"""

from __future__ import annotations

from limedeck.forwarding.spread import spread_of
from limedeck.identity import Seconds

TURN: Seconds = 1.0
"""Length of a turn; nodes' turns begin at different times, since their clocks do."""
USED_PART = 0.25
"""Of what a cold back end bears. Turns drawn by lot cluster, and nodes may believe that they are
half as many as they are: with 4.2 requests in any two turns then, more than the 14 that a bound of
4.2 a second with its slack allows come once in 50,000 times."""


class ColdTurns:
    """One node's turns at the cold back ends of all services.

    Parameters
    ----------
    node_id
        Nodes draw different lots.
    """

    def __init__(self, node_id: str) -> None:
        self._node_id = node_id
        self._used: dict[str, int] = {}

    def try_take(self, backend_id: str, rate: float, node_count: int, now: Seconds) -> bool:
        """Use up this node's turn at a back end, if it has one now.

        Parameters
        ----------
        rate
            Requests a second that the back end bears while it is cold, from all nodes together.
        node_count
            Nodes that draw.
        """
        turn = int(now / TURN)
        chance = USED_PART * rate * TURN / max(node_count, 1)
        lot = spread_of(f"{self._node_id}/{backend_id}/{turn}".encode())
        if lot >= chance or self._used.get(backend_id) == turn:
            return False
        self._used[backend_id] = turn
        return True

    def forget(self, backend_id: str) -> None:
        """A back end is gone."""
        self._used.pop(backend_id, None)
