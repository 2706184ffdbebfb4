"""Turns: whether a request may be sent to a back end now, later, or not at all.

These types are the interface between what is known of back ends (`backend_state`), the decision
(`admission`) and the requests that ask for it (`request`). Each node decides by itself, from the
totals that the leader sends and from its own requests; no message is exchanged for a turn.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from limedeck.forwarding.waiting_requests import NONE_WAITING, WaitingCounts
from limedeck.identity import Seconds


class QueueSource(enum.Enum):
    """Where the newest data on other nodes' requests at a back end came from."""

    RESPONSE = "response"
    LEADER = "leader"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class QueueEstimate:
    """One node's estimate of the queue at a back end; written by `BackendState` alone.

    Parameters
    ----------
    load
        Requests of all nodes that are there.
    slots
        Requests that it processes at once.
    wait
        Time until one more request would begin to be processed; None if its speed is unknown.
    age
        Age of the data on other nodes' requests, in seconds; infinite without any.
    is_full
        Whether it is expected to reject one more request.
    waiting
        Requests of all nodes that wait for their turn there.
    service_time
        Mean time that it takes for one request; None if unknown.
    """

    backend_id: str
    load: float
    slots: int
    wait: Seconds | None
    age: Seconds
    source: QueueSource
    is_full: bool = False
    waiting: WaitingCounts = NONE_WAITING
    service_time: Seconds | None = None

    @property
    def has_free_slot(self) -> bool:
        """Whether one more request is expected to be processed at once."""
        return self.load < self.slots

    def backlog_time(self, with_late: bool) -> Seconds:
        """Return the time in which it could work off the requests that wait at nodes."""
        waiting = self.waiting.total if with_late else self.waiting.in_time
        return waiting * (self.service_time or 0.0) / self.slots

    def room_up_to(self, longest_wait: Seconds, service_time: Seconds) -> float:
        """Return how many more requests it may have until the queue is that long."""
        return self.slots * (1.0 + longest_wait / service_time) - self.load


@dataclass(frozen=True, slots=True)
class TurnRequest:
    """What a request asks for a turn with.

    Parameters
    ----------
    objective
        Response time up to which a response has its full value, from the caller's first attempt.
    age
        Time since the caller's first attempt, as far as this node can tell.
    time_left
        Time until the caller stops waiting.
    work
        Time that the back end is expected to take for it, without queueing; None if unknown.
    waited
        Time since it arrived at this node.
    is_client_retry
        Whether the caller has sent the same request before. Callers return once or twice only.
    draw
        A number from 0 to 1, of its own for each update of the totals.
    """

    objective: Seconds
    age: Seconds
    time_left: Seconds
    work: Seconds | None
    waited: Seconds = 0.0
    is_client_retry: bool = False
    draw: float = 0.0

    def is_late_after(self, wait: Seconds) -> bool:
        """Whether it would miss its objective if it was served after this time in the queue."""
        return self.age + wait + (self.work or 0.0) > self.objective


@dataclass(frozen=True, slots=True)
class SendNow:
    """The request is sent at once."""


@dataclass(frozen=True, slots=True)
class TurnAt:
    """The request waits at this node and asks again.

    Parameters
    ----------
    is_late
        Whether it is served only in what is left by requests that can be served in time.
    delay
        Seconds after which it asks again.
    """

    delay: Seconds
    is_late: bool = False


@dataclass(frozen=True, slots=True)
class NoTurn:
    """The request is refused.

    Parameters
    ----------
    room_in
        Seconds until there is expected to be room for it.
    """

    room_in: Seconds


Turn = SendNow | TurnAt | NoTurn
