"""Exchange of permits for rate-bounded back ends: nodes request them, the leader issues them."""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterable
from dataclasses import dataclass

import anyio

from limedeck.api import control_pb2
from limedeck.clock import steady_clock
from limedeck.forwarding.backends import BackendDirectory
from limedeck.forwarding.permits import (
    Permit,
    PermitDenied,
    PermitRequest,
    PermitResponse,
    RateBound,
)
from limedeck.identity import Seconds
from limedeck.node.limit_updates import MAX_RATE
from limedeck.node.message_ages import MILLISECONDS
from limedeck.node.notifier import Notifier
from limedeck.ownership.election import ElectionCore
from limedeck.ownership.leader_permits import NO_LEADER_RESPONSE, LeaderPermitIssuer

RESPONSE_TIMEOUT: Seconds = 0.1
"""A leader that has not responded by then is slow or gone, and the request is refused: one that
cannot be served should not wait."""
MAX_WAITING = 64
"""Maximum number of a node's requests that wait for a response. With that many waiting, there is no
room for more."""
MAX_PAUSE: Seconds = 60.0
"""Longest pause that is accepted from a leader; far above the pause for the lowest rate."""


@dataclass(slots=True, eq=False)
class _WaitingRequest:
    """A permit request that waits for the leader's response."""

    request: PermitRequest
    response_received: anyio.Event
    response: PermitResponse = NO_LEADER_RESPONSE


class PermitExchange:
    """A node's part in the exchange: as a requester of permits and as the leader.

    Attributes
    ----------
    notifier
        Notifies of new permit requests for the leader, and of statements to be sent.
    """

    def __init__(self, directory: BackendDirectory, election: ElectionCore) -> None:
        self._directory = directory
        self._issuer = LeaderPermitIssuer(election)
        self._numbers = itertools.count(1)
        self._waiting: dict[int, _WaitingRequest] = {}
        self._unsent: list[int] = []
        self._is_connected = False
        self.notifier = Notifier()

    # ------------------------------------------------------------------ as a requester

    async def request(self, request: PermitRequest) -> PermitResponse:
        """Request a permit from the leader, or decide if this node leads; denied if none leads."""
        if self._issuer.leads:
            return self._issue(request, steady_clock())
        if not self._is_connected or len(self._waiting) >= MAX_WAITING:
            return NO_LEADER_RESPONSE
        number = next(self._numbers)
        waiting = _WaitingRequest(request, anyio.Event())
        self._waiting[number] = waiting
        self._unsent.append(number)
        self.notifier.notify()
        try:
            with anyio.move_on_after(RESPONSE_TIMEOUT):
                await waiting.response_received.wait()
        finally:
            del self._waiting[number]
        return waiting.response

    def take_requests(self) -> control_pb2.PermitAsks | None:
        """Return the permit requests to be sent to the leader; None if there are none."""
        numbers, self._unsent = self._unsent, []
        requests = [
            control_pb2.PermitAsk(
                number=number,
                backend=waiting.request.bound.backend_id,
                rate=waiting.request.bound.rate,
                patience=round(waiting.request.max_wait * MILLISECONDS),
            )
            for number in numbers
            if (waiting := self._waiting.get(number)) is not None
        ]
        return control_pb2.PermitAsks(asks=requests) if requests else None

    def handle_responses(self, message: control_pb2.PermitAnswers) -> None:
        """Handle the leader's responses."""
        for item in message.answers:
            waiting = self._waiting.get(item.number)
            if waiting is None:
                continue
            pause = min(item.pause / MILLISECONDS, MAX_PAUSE)
            waiting.response = Permit(pause) if item.lent else PermitDenied(pause)
            waiting.response_received.set()

    def handle_connected(self, is_connected: bool) -> None:
        """A connection to a leader has begun or ended; waiting requests will get no response."""
        self._is_connected = is_connected
        self._unsent.clear()
        for waiting in self._waiting.values():
            waiting.response_received.set()

    # ------------------------------------------------------------------ as the leader

    def handle_requests(
        self, message: control_pb2.PermitAsks, now: Seconds
    ) -> control_pb2.PermitAnswers:
        """Decide on another node's permit requests, and return the responses."""
        return control_pb2.PermitAnswers(answers=list(self._responses(message.asks, now)))

    def handle_tick(self, now: Seconds) -> None:
        """Begin or end issuing permits, depending on whether this node leads."""
        self._issuer.handle_tick(now)

    def _responses(
        self, requests: Iterable[control_pb2.PermitAsk], now: Seconds
    ) -> Iterable[control_pb2.PermitAnswer]:
        for item in requests:
            rate = item.rate if 0.0 <= item.rate <= MAX_RATE else 0.0
            request = PermitRequest(RateBound(item.backend, rate), item.patience / MILLISECONDS)
            match self._issue(request, now):
                case Permit(wait):
                    # Rounded up, since no request may be sent before its turn.
                    pause = math.ceil(wait * MILLISECONDS)
                    yield control_pb2.PermitAnswer(number=item.number, lent=True, pause=pause)
                case PermitDenied(pause_left):
                    pause = math.ceil(pause_left * MILLISECONDS)
                    yield control_pb2.PermitAnswer(number=item.number, lent=False, pause=pause)

    def _issue(self, request: PermitRequest, now: Seconds) -> PermitResponse:
        state = self._directory.find(request.bound.backend_id)
        known = self._directory.availability.rate_bound(state, now) if state is not None else None
        return self._issuer.issue(request, known.rate if known else None, now)
