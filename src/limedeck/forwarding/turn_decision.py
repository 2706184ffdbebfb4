"""Decides whether a request may be sent to a back end that has no free slot.

The load that this answers: callers ask a service for more than its back ends can do, for seconds at
a time, and requests of several routes compete for the same back ends. A back end serves its queue
in the order of arrival, so the order has to be made before requests are sent:

- A queue at a back end is kept short enough for the most urgent of the routes that share it. Less
  urgent requests that can wait do so at their nodes, and go when the queue is short.
- A request that is not expected to be served in time is refused soon, so that its caller returns
  when there is room. One that has come back, or has waited, is served late from what is left: while
  there is hardly a queue, so that those that arrive meanwhile are served in time.
- Requests that can't be served before their callers leave are refused at once.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from limedeck.forwarding.turns import NoTurn, QueueEstimate, SendNow, Turn, TurnAt, TurnRequest
from limedeck.identity import Seconds

URGENT_SHARE = 0.25
"""Part of the queue that a more urgent route can bear which less urgent requests may fill. The
other part is for the urgent requests that arrive while they are being worked off."""
LATE_SHARE = 0.25
"""Part of a request's usual allowance up to which it may queue once it is late: it then takes the
place of requests that can still be served in time."""
MIN_TURN_DELAY: Seconds = 0.03
"""Shortest time after which a waiting request asks again; a fraction of a short request."""
MAX_TURN_DELAY: Seconds = 0.25
"""Longest such time: by then there are new totals from the leader."""
PATIENT_PART = 0.6
"""Part of the first half of its time for which a less urgent request waits for a short queue."""
EARLY_REFUSAL_FRACTION = 0.25
"""Fraction of the objective within which a request is refused if it is not expected to get its turn
in time. Later it waits on: its caller has too little time left for a return."""
MAX_TURN_FRACTION = 0.6
"""Part of its time within which the turn of a client retry has to be expected; it is refused
otherwise. The rest is for the error of the expectation."""
DEADLINE_MARGIN = 1.5
"""A request whose expected time is longer than this multiple of its remaining time is refused: its
caller would wait until its deadline in vain. Above 1, since the work of one route varies: a request
that is expected to take just its remaining time is answered in about half of the cases."""


@dataclass(frozen=True, slots=True)
class RouteDemand:
    """A route whose requests share a back end's queue.

    Parameters
    ----------
    priority
        0 is the highest.
    slack
        Longest time in the queue after which its requests still meet their objective there.
    """

    priority: int
    slack: Seconds


@dataclass(frozen=True, slots=True)
class Allowance:
    """How long the queue may be behind which a request is sent.

    Parameters
    ----------
    longest_wait
        In seconds.
    is_reduced
        Whether it is shorter than the request itself could bear, for the sake of others.
    own_wait
        What the request itself could bear, in seconds.
    """

    longest_wait: Seconds
    is_reduced: bool
    own_wait: Seconds = 0.0


def queue_allowance(own: RouteDemand, sharing: Iterable[RouteDemand]) -> Allowance:
    """Return the longest queue behind which requests of a route may be sent.

    Parameters
    ----------
    sharing
        Routes with a relevant part of the service's requests.
    """
    shared = (URGENT_SHARE * item.slack for item in sharing if item.priority < own.priority)
    longest_wait = max(min((own.slack, *shared)), 0.0)
    return Allowance(longest_wait, longest_wait < own.slack, max(own.slack, 0.0))


def decide(request: TurnRequest, queue: QueueEstimate, allowance: Allowance) -> Turn:
    """Decide about one request; `allowance` is that of `queue_allowance`."""
    if queue.wait is None or request.work is None:
        return NoTurn(MAX_TURN_DELAY) if queue.is_full else SendNow()
    if queue.has_free_slot and not queue.is_full:
        return SendNow()
    if queue.wait + request.work > DEADLINE_MARGIN * request.time_left:
        return NoTurn(queue.wait)
    is_late = request.is_late_after(queue.wait)
    allowance = _allowance_by_age(request, allowance, is_late)
    if not queue.is_full and _has_turn(request, queue, allowance, is_late):
        return SendNow()
    turn_in = max(queue.wait - allowance.longest_wait, 0.0) + queue.backlog_time(is_late)
    if _is_refused(request, turn_in, is_late):
        return NoTurn(turn_in)
    return TurnAt(min(max(turn_in, MIN_TURN_DELAY), MAX_TURN_DELAY), is_late)


def _allowance_by_age(request: TurnRequest, allowance: Allowance, is_late: bool) -> Allowance:
    """Return the allowance of a request that may have waited.

    That of a late request is smaller at first, and grows to the usual one in the first half of its
    time. That of a less urgent one grows to what the request itself can bear: at an owner that is
    busy all the time it would never get its turn otherwise.
    """
    used = min(2.0 * request.waited / (request.waited + request.time_left), 1.0)
    if is_late:
        share = LATE_SHARE + (1.0 - LATE_SHARE) * used
        return Allowance(share * allowance.longest_wait, is_reduced=True)
    if not allowance.is_reduced:
        return allowance
    impatience = max(used - PATIENT_PART, 0.0) / (1.0 - PATIENT_PART)
    growth = impatience * max(allowance.own_wait - allowance.longest_wait, 0.0)
    return Allowance(allowance.longest_wait + growth, True, allowance.own_wait)


def _is_refused(request: TurnRequest, turn_in: Seconds, is_late: bool) -> bool:
    """Whether a request without a turn is refused rather than waits for it.

    A caller is sent back at once or not at all, so that it has time left for its return.
    """
    if request.waited > EARLY_REFUSAL_FRACTION * request.objective:
        return False
    if request.is_client_retry:
        return turn_in + (request.work or 0.0) > MAX_TURN_FRACTION * request.time_left
    return is_late or request.is_late_after(turn_in)


def _has_turn(
    request: TurnRequest, queue: QueueEstimate, allowance: Allowance, is_late: bool
) -> bool:
    """Whether the request is among those for which there is room.

    All nodes see the same totals at about the same time. If each sent what waits there, the queue
    would be as long as if none had waited: so each request that waits is sent with the probability
    with which all of them fit. Late ones get the room that those in time leave.
    """
    if queue.wait is None or queue.wait > allowance.longest_wait:
        return False
    if not allowance.is_reduced or queue.service_time is None:
        return True
    room = queue.room_up_to(allowance.longest_wait, queue.service_time)
    if is_late:
        return request.draw * max(queue.waiting.late, 1) < room - queue.waiting.in_time
    return request.draw * max(queue.waiting.in_time, 1) < room
