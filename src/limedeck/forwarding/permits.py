"""Permits, which keep the requests of all nodes to a rate-bounded back end within its bound.

A back end that states a limit, or that is cold, takes so many requests a second from all nodes. A
node knows its own requests only. If each node took a share, the bound would depend on how many
nodes each one assumes there are, and a share of a small limit is less than the one request with
which each node would begin. So each request to such a back end needs a permit, and only the leader
issues them, spaced by the limit. The bound holds whatever each node knows, since no other node
issues permits:

- A node without a leader gets no permits, and sends nothing to such back ends.
- A permit that is not used within `PERMIT_LIFETIME` of its request expires, by the clock of the
  requesting node, which sent the request before the leader issued the permit.
- Two nodes may both assume that they lead. At most one of them issues permits at the full rate at
  any time: one that the store has confirmed within `FULL_RATE_CONFIRMATION_AGE`, and that was
  elected longer ago than that. Had another node been elected since, the store would not have
  confirmed it. Other leaders issue a quarter.

With a limit of L a second, any 4 s hold at most 1.25 L (4 s + `PERMIT_LIFETIME`) + L `MAX_TURN_LAG`
and one request more of each issuer: below 1.5 L 4 s + 5.
"""

from __future__ import annotations

from dataclasses import dataclass

from limedeck.identity import Seconds

PERMIT_LIFETIME: Seconds = 0.5
"""Counted from the request; longer than the longest wait for a permit and a slow leader's response.
Permits that expire are lost to the back end; at 4 requests a second, two for a node that froze."""
FULL_RATE_CONFIRMATION_AGE: Seconds = 1.2
"""A leader issues permits at the full rate only if its last confirmation by the store is younger.
Longer than the confirmation interval, 0.7 s, and a call to a store that responds within 0.4 s."""
UNCONFIRMED_PART = 0.25
"""Part of a limit that a leader issues if it may have been replaced. With the full rate of another
leader this leaves a sixth of the bound of one and a half times the limit for permits used late."""
MAX_TURN_LAG: Seconds = 0.2
"""How long after their turn unrequested permits are still issued. Requests come at random: if they
come at the rate of the limit, 0.4 of the permits would be lost otherwise."""
MIN_RATE = 0.25
"""Requests a second for which each leader issues permits at least, even for a limit of zero:
without requests a back end could not state that it has recovered. One in four seconds; those of two
leaders are two of the five that a window allows beside the limit."""
MIN_PAUSE: Seconds = 0.05
"""Shortest time before a node whose request was denied sends another: hundreds of nodes do."""


@dataclass(frozen=True, slots=True)
class RateBound:
    """How many requests a back end takes from all nodes together.

    Parameters
    ----------
    rate
        Requests a second.
    """

    backend_id: str
    rate: float


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """A node's request for a permit to send one request to a back end.

    Parameters
    ----------
    bound
        As known to the requesting node; the leader may know a lower one.
    max_wait
        How long the request may wait for its turn, in seconds.
    """

    bound: RateBound
    max_wait: Seconds


@dataclass(frozen=True, slots=True)
class Permit:
    """Permission to send one request.

    Parameters
    ----------
    wait
        Seconds from the decision to the turn of the request.
    """

    wait: Seconds


@dataclass(frozen=True, slots=True)
class PermitDenied:
    """Denial: no turn is available within the longest wait.

    Parameters
    ----------
    pause
        Seconds within which another request would be denied as well.
    """

    pause: Seconds


PermitResponse = Permit | PermitDenied


class PermitIssuer:
    """Issues permits for rate-bounded back ends to all nodes, while this node leads.

    Parameters
    ----------
    began
        When this node began to lead. Permits issued before by others are not known: the first
        permit for a back end is issued one interval later.
    """

    def __init__(self, began: Seconds) -> None:
        self._began = began
        self._last_turns: dict[str, Seconds] = {}

    def issue(
        self, request: PermitRequest, known: float | None, store_silence: Seconds, now: Seconds
    ) -> PermitResponse:
        """Issue a permit if its turn comes within the longest wait of the request.

        Parameters
        ----------
        known
            The back end's rate bound as known to this node, in requests a second; None: no bound.
        store_silence
            Seconds since the store last confirmed this leader.
        """
        rate = request.bound.rate if known is None else min(request.bound.rate, known)
        interval = 1.0 / max(rate * self._rate_fraction(store_silence, now), MIN_RATE)
        backend_id = request.bound.backend_id
        last_turn = self._last_turns.get(backend_id, self._began)
        turn = max(last_turn + interval, now - MAX_TURN_LAG)
        if turn > now + request.max_wait:
            return PermitDenied(max(turn - now - request.max_wait, MIN_PAUSE))
        self._last_turns[backend_id] = turn
        return Permit(max(turn - now, 0.0))

    def drop_expired(self, now: Seconds) -> None:
        """Drop turns that no longer affect any permit."""
        settled = now - MAX_TURN_LAG - 1.0 / MIN_RATE
        for backend_id, turn in list(self._last_turns.items()):
            if turn < settled:
                del self._last_turns[backend_id]

    def _rate_fraction(self, store_silence: Seconds, now: Seconds) -> float:
        is_sole_leader = store_silence < FULL_RATE_CONFIRMATION_AGE <= now - self._began
        return 1.0 if is_sole_leader else UNCONFIRMED_PART
