"""How a node gets permits for back ends that bear little, and lends them while it leads."""

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
from limedeck.node.limit_updates import HIGHEST_RATE
from limedeck.node.message_ages import MILLISECONDS
from limedeck.node.notifier import Notifier
from limedeck.ownership.election import ElectionCore
from limedeck.ownership.leader_permits import NO_LEADER_RESPONSE, LeaderPermitIssuer

ANSWER_PATIENCE: Seconds = 0.1
"""A leader that has not answered by then is slow or gone, and the request is refused: what cannot
be served is not to wait."""
MOST_WAITING = 64
"""Requests of one node that wait for an answer. With as many waiting there is no room for more."""
MAX_PAUSE: Seconds = 60.0
"""What a leader tells is not believed beyond it; far above the pause for the lowest rate."""


@dataclass(slots=True, eq=False)
class _Waiting:
    """A request that waits for its permit."""

    ask: PermitRequest
    answered: anyio.Event
    answer: PermitResponse = NO_LEADER_RESPONSE


class PermitExchange:
    """One node's side of it: as one that asks, and as the leader.

    Attributes
    ----------
    news
        Given whenever there is something to ask the leader.
    """

    def __init__(self, directory: BackendDirectory, election: ElectionCore) -> None:
        self._directory = directory
        self._lending = LeaderPermitIssuer(election)
        self._numbers = itertools.count(1)
        self._waiting: dict[int, _Waiting] = {}
        self._unsent: list[int] = []
        self._is_connected = False
        self.news = Notifier()

    # ------------------------------------------------------------------ as one that asks

    async def request(self, ask: PermitRequest) -> PermitResponse:
        """Ask the leader, or decide if this node leads; without a leader there are none."""
        if self._lending.leads:
            return self._lend(ask, steady_clock())
        if not self._is_connected or len(self._waiting) >= MOST_WAITING:
            return NO_LEADER_RESPONSE
        number = next(self._numbers)
        waiting = _Waiting(ask, anyio.Event())
        self._waiting[number] = waiting
        self._unsent.append(number)
        self.news.give()
        try:
            with anyio.move_on_after(ANSWER_PATIENCE):
                await waiting.answered.wait()
        finally:
            del self._waiting[number]
        return waiting.answer

    def take_asks(self) -> control_pb2.PermitAsks | None:
        """Return what is to be asked of the leader; None if nothing."""
        numbers, self._unsent = self._unsent, []
        asks = [
            control_pb2.PermitAsk(
                number=number,
                backend=waiting.ask.bound.backend_id,
                rate=waiting.ask.bound.rate,
                patience=round(waiting.ask.max_wait * MILLISECONDS),
            )
            for number in numbers
            if (waiting := self._waiting.get(number)) is not None
        ]
        return control_pb2.PermitAsks(asks=asks) if asks else None

    def handle_answers(self, message: control_pb2.PermitAnswers) -> None:
        """The leader has answered."""
        for item in message.answers:
            waiting = self._waiting.get(item.number)
            if waiting is None:
                continue
            pause = min(item.pause / MILLISECONDS, MAX_PAUSE)
            waiting.answer = Permit(pause) if item.lent else PermitDenied(pause)
            waiting.answered.set()

    def handle_connected(self, is_connected: bool) -> None:
        """A connection to a leader has begun, or has ended with what was asked on it."""
        self._is_connected = is_connected
        self._unsent.clear()
        for waiting in self._waiting.values():
            waiting.answered.set()

    # ------------------------------------------------------------------ as the leader

    def answer(self, message: control_pb2.PermitAsks, now: Seconds) -> control_pb2.PermitAnswers:
        """Answer what another node asks."""
        return control_pb2.PermitAnswers(answers=list(self._answers(message.asks, now)))

    def handle_tick(self, now: Seconds) -> None:
        """Take note of whether this node leads."""
        self._lending.handle_tick(now)

    def _answers(
        self, asks: Iterable[control_pb2.PermitAsk], now: Seconds
    ) -> Iterable[control_pb2.PermitAnswer]:
        for item in asks:
            rate = item.rate if 0.0 <= item.rate <= HIGHEST_RATE else 0.0
            ask = PermitRequest(RateBound(item.backend, rate), item.patience / MILLISECONDS)
            match self._lend(ask, now):
                case Permit(wait):
                    # Rounded up: no turn may come early.
                    pause = math.ceil(wait * MILLISECONDS)
                    yield control_pb2.PermitAnswer(number=item.number, lent=True, pause=pause)
                case PermitDenied(pause_left):
                    pause = math.ceil(pause_left * MILLISECONDS)
                    yield control_pb2.PermitAnswer(number=item.number, lent=False, pause=pause)

    def _lend(self, ask: PermitRequest, now: Seconds) -> PermitResponse:
        state = self._directory.find(ask.bound.backend_id)
        known = self._directory.availability.rate_bound(state, now) if state is not None else None
        return self._lending.issue(ask, known.rate if known else None, now)
