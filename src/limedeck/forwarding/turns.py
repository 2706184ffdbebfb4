"""Turns: whether a request may be sent to a back end now, later, or not at all.

These types are the interface between what is known of back ends (`backend_state`), the decision
(`admission`) and the requests that ask for it (`request`). Each node decides by itself, from the
totals that the leader sends and from its own requests; no message is exchanged for a turn.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

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
    """

    backend_id: str
    load: float
    slots: int
    wait: Seconds | None
    age: Seconds
    source: QueueSource

    @property
    def has_free_slot(self) -> bool:
        """Whether one more request is expected to be processed at once."""
        return self.load < self.slots


@dataclass(frozen=True, slots=True)
class TurnRequest:
    """What a request asks for a turn with.

    Parameters
    ----------
    priority
        Priority of its route; 0 is the highest.
    objective
        Response time up to which a response has its full value, from the caller's first attempt.
    age
        Time since the caller's first attempt, as far as this node can tell.
    time_left
        Time until the caller stops waiting.
    work
        Time that the back end is expected to take for it, without queueing; None if unknown.
    is_client_retry
        Whether the caller has sent the same request before.
    """

    priority: int
    objective: Seconds
    age: Seconds
    time_left: Seconds
    work: Seconds | None
    is_client_retry: bool


@dataclass(frozen=True, slots=True)
class SendNow:
    """The request is sent at once."""


@dataclass(frozen=True, slots=True)
class TurnAt:
    """The request waits at this node and asks again.

    Parameters
    ----------
    delay
        Seconds after which it asks again.
    """

    delay: Seconds


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
