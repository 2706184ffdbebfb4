"""A simulated back end: the stand-in's core with slots, on simulated time."""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from limedeck.api.backend_pb2 import LeaseReply, LeaseRequest
from limedeck.api.peer_pb2 import Backend
from limedeck.identity import GroupId, Incarnation, Seconds
from limedeck_lab.simulation.kernel import DriftingClock, Kernel
from limedeck_lab.simulation.network import Place
from limedeck_lab.simulation.processes import SimulatedProcess
from limedeck_lab.standins.backend import BackendRules, HollowBackend, Refusal, Work

Answer = Refusal | None
"""None: the request was run and this is its whole answer."""


class BackendObserver(Protocol):
    """What is told of every change of what a back end may serve."""

    def serving_changed(self, backend: SimulatedBackend) -> None:
        """A grant changed its ranges or revived its lease, or the process changed state."""

    def executed(self, backend: SimulatedBackend, work: Work) -> None:
        """It did a request's effect."""


@dataclass(frozen=True)
class BackendSize:
    """What a back end can do.

    Parameters
    ----------
    service_seconds
        Mean time that a request occupies a slot.
    """

    slots: int
    queue_limit: int
    service_seconds: Seconds


class SimulatedBackend(SimulatedProcess):
    """One back end."""

    def __init__(
        self,
        kernel: Kernel,
        configured: Backend,
        keyed: bool,
        size: BackendSize,
        clock: DriftingClock,
        generator: random.Random,
        observer: BackendObserver,
        rules: BackendRules,
    ) -> None:
        place = Place(configured.backend_id, configured.zone)
        super().__init__(kernel, place, clock)
        self.configured = configured
        self.keyed = keyed
        self.size = size
        self.rules = rules
        self.executions: Counter[str] = Counter()
        """Of all runs."""
        self.core: HollowBackend
        self.group = GroupId("")
        self._random = generator
        self._observer = observer
        self._waiting: deque[tuple[int, Callable[[Answer], None]]] = deque()
        self._busy_slots = 0

    def start(self) -> None:
        """Start a new run that owns nothing."""
        super().start()
        self.core = HollowBackend(
            self.configured.backend_id,
            Incarnation(self.run_number),
            self.size.slots,
            self.size.queue_limit,
            self.keyed,
            self.rules,
        )
        self.core.executions = self.executions
        self._waiting.clear()
        self._busy_slots = 0
        self._observer.serving_changed(self)

    def kill(self) -> None:
        """End the run."""
        super().kill()
        self._observer.serving_changed(self)

    def freeze(self) -> None:
        """Stop doing anything."""
        super().freeze()
        self._observer.serving_changed(self)

    def thaw(self) -> None:
        """Go on as if nothing had happened."""
        super().thaw()
        self._observer.serving_changed(self)

    def handle_lease(self, request: LeaseRequest) -> LeaseReply:
        """Take in a probe or a grant."""
        now = self.clock.read()
        held = now < self.core.held_until
        version = self.core.owned_version
        reply = self.core.handle_lease(request, now)
        if self.core.owned_version != version or not held:
            self._observer.serving_changed(self)
        return reply

    def may_serve(self) -> list[tuple[int, int]]:
        """Ranges that this run may serve by its own clock, frozen or not."""
        return self.core.owned_ranges(self.clock.read()) if self.is_up else []

    def is_serving(self) -> bool:
        """Whether it runs and its lease holds."""
        return self.is_running and self.clock.read() < self.core.held_until

    def serving_key(self) -> tuple[tuple[int, int], int, bool]:
        """Equal for as long as it serves the same ranges."""
        run = self.run_number
        return (
            (self.core.owned_version, run, self.is_serving()) if self.is_up else ((0, 0), 0, False)
        )

    # ------------------------------------------------------------------ work

    def handle_work(self, work: Work, answer: Callable[[Answer], None]) -> None:
        """Take a request on, or refuse it."""
        number = self.core.admit(work, self.clock.read())
        if isinstance(number, Refusal):
            answer(number)
            return
        self._waiting.append((number, answer))
        self._fill_slots()

    def _fill_slots(self) -> None:
        while self._waiting and self._busy_slots < self.size.slots:
            number, answer = self._waiting.popleft()
            self._busy_slots += 1
            run = self.run_number
            took = self.size.service_seconds * (0.5 + self._random.random())

            def finish(
                run: int = run,
                number: int = number,
                answer: Callable[[Answer], None] = answer,
            ) -> None:
                self.deliver_to_run(run, lambda: self._finish(number, answer))

            self.kernel.after(took, finish)

    def _finish(self, number: int, answer: Callable[[Answer], None]) -> None:
        work = self.core.in_flight[number]
        refusal = self.core.execute(number, self.clock.read())
        if refusal is None:
            self._observer.executed(self, work)
        self.core.finish(number)
        self._busy_slots -= 1
        answer(refusal)
        self._fill_slots()
