"""How much all nodes together may send to a back end that bears little.

A back end that names a limit, or that is cold, bears so many requests a second from all nodes. A
node sees its own requests only. If each took a share, the bound would rest on how many nodes each
believes there are, and a share of a small limit is less than the one request with which each would
begin. So each request to such a back end needs a permit, and one node lends them: the leader, which
spaces them by the limit. The bound holds whoever knows what, since nobody else lends:

- A node that does not hear a leader has no permits, and sends nothing there.
- A permit that was not used within `PERMIT_LIFETIME` of being asked for lapses, by the clock of the
  node that asked: it asked before the leader lent it.
- Two nodes may both believe that they lead. At most one lends at the full rate at any time: one
  that the store has confirmed within `CONFIRMED_WITHIN`, and that was elected longer ago than that.
  Had another been elected since, the store would not have confirmed it. Others lend a quarter.

With a limit of L a second, any 4 s hold at most 1.25 L (4 s + `PERMIT_LIFETIME`) + L `LONGEST_LAG`
and one request more of each lender: below 1.5 L 4 s + 5.
"""

from __future__ import annotations

from dataclasses import dataclass

from limedeck.identity import Seconds

PERMIT_LIFETIME: Seconds = 0.5
"""From the asking: above the longest wait for a permit and a slow leader's answer. What lapses is
lost to the back end; at 4 requests a second it is two permits of a node that froze."""
CONFIRMED_WITHIN: Seconds = 1.2
"""Above the interval of confirmations, 0.7 s, and a call to a store that answers within 0.4 s."""
UNCONFIRMED_PART = 0.25
"""Of a limit that a leader lends which may have been replaced. With the full rate of another one it
leaves a sixth of the bound of one and a half times the limit for permits that are used late."""
LONGEST_LAG: Seconds = 0.2
"""Permits that nobody asked for are lent later, for so long: requests come at random, and with one
limit's worth of them 0.4 of the permits would be lost otherwise. An estimate."""
MIN_RATE = 0.25
"""Requests a second that each leader lends for any back end, also one that names zero: without an
answer it could not say that it is well again. One in four seconds; two leaders' are two of the five
that a window allows beside the limit."""
LEAST_PAUSE: Seconds = 0.05
"""A node that was turned away asks no sooner than this again: hundreds of them do."""


@dataclass(frozen=True, slots=True)
class RateBound:
    """What a back end takes from all nodes together.

    Parameters
    ----------
    rate
        Requests a second.
    """

    backend_id: str
    rate: float


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """A node wants to send a request.

    Parameters
    ----------
    bound
        As the asking node believes; the leader may know of a lower one.
    max_wait
        How long the request can wait for its turn, in seconds.
    """

    bound: RateBound
    max_wait: Seconds


@dataclass(frozen=True, slots=True)
class Permit:
    """A request may be sent.

    Parameters
    ----------
    wait
        Its turn comes so long after the decision, in seconds.
    """

    wait: Seconds


@dataclass(frozen=True, slots=True)
class PermitDenied:
    """There is no room now.

    Parameters
    ----------
    pause
        It is of no use to ask again within so long, in seconds.
    """

    pause: Seconds


PermitResponse = Permit | PermitDenied


class PermitIssuer:
    """Spaces the requests of all nodes to back ends that bear little, while this node leads.

    Parameters
    ----------
    began
        When this node began to lead. What was lent before is not known: the first permit for a
        back end comes as long after that as two are apart.
    """

    def __init__(self, began: Seconds) -> None:
        self._began = began
        self._last_turns: dict[str, Seconds] = {}

    def issue(
        self, request: PermitRequest, known: float | None, store_silence: Seconds, now: Seconds
    ) -> PermitResponse:
        """Lend a permit, if its turn comes within the request's patience.

        Parameters
        ----------
        known
            Requests a second that this node believes the back end takes; None: without bound.
        store_silence
            How long the store has not confirmed this leader, in seconds.
        """
        rate = request.bound.rate if known is None else min(request.bound.rate, known)
        interval = 1.0 / max(rate * self._part(store_silence, now), MIN_RATE)
        backend_id = request.bound.backend_id
        last_turn = self._last_turns.get(backend_id, self._began)
        turn = max(last_turn + interval, now - LONGEST_LAG)
        if turn > now + request.max_wait:
            return PermitDenied(max(turn - now - request.max_wait, LEAST_PAUSE))
        self._last_turns[backend_id] = turn
        return Permit(max(turn - now, 0.0))

    def forget_old(self, now: Seconds) -> None:
        """Drop what has no effect any more."""
        settled = now - LONGEST_LAG - 1.0 / MIN_RATE
        for backend_id, turn in list(self._last_turns.items()):
            if turn < settled:
                del self._last_turns[backend_id]

    def _part(self, store_silence: Seconds, now: Seconds) -> float:
        is_alone = store_silence < CONFIRMED_WITHIN <= now - self._began
        return 1.0 if is_alone else UNCONFIRMED_PART
