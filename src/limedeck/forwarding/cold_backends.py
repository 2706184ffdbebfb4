"""Who may send to a back end that is cold, if there is no warm one.

A back end that has just started bears a few requests a second from all nodes together, and falls
over well above that. Nodes do not see each other's requests, and what they know of each other may
be old. So the bound must not rest on what a node believes of others:

- Nothing is sent to a cold back end as long as its service has a warm one. That costs what cold
  back ends can do, a fifth of a warm one's work for some seconds.
- Where all are cold, only a node that leads sends, half of what each bears and one request at a
  time. A node knows by itself whether it leads. Two that both do, one of them without knowing that
  it was replaced, send as much together as the back end bears, and two requests more.
"""

from __future__ import annotations

from limedeck.identity import Seconds

USED_PART = 0.5
"""Of what a cold back end bears, by each node that leads. With 4.2 a second and a bound of 14.3 in
any second, four that lead at once keep to it: each sends 2.1 a second and one more at most."""


class ColdAllowance:
    """What one node may send to cold back ends while it leads."""

    def __init__(self) -> None:
        self._next_at: dict[str, Seconds] = {}

    def try_take(self, backend_id: str, rate: float, now: Seconds) -> bool:
        """Use up one request to a back end, if there is one now.

        Parameters
        ----------
        rate
            Requests a second that the back end bears while it is cold, from all nodes together.
        """
        if now < self._next_at.get(backend_id, now):
            return False
        self._next_at[backend_id] = now + 1.0 / (USED_PART * rate)
        return True

    def forget(self, backend_id: str) -> None:
        """A back end is gone."""
        self._next_at.pop(backend_id, None)
