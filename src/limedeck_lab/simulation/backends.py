"""A simulated back end: the stand-in's core on simulated time, with slots that run requests."""

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
from limedeck_lab.standins.backend import BackendRules, Refusal, StandInBackend, Work

BackendResponse = Refusal | None
"""A refusal, or None if the request was run and its response is complete."""


class BackendObserver(Protocol):
    """Notified of changes of the ranges that back ends may serve, and of requests that they run."""

    def serving_changed(self, backend: SimulatedBackend) -> None:
        """Handle a changed set of ranges, a renewed lease or a change of the process state."""

    def executed(self, backend: SimulatedBackend, work: Work) -> None:
        """Handle that a back end executed a request."""


@dataclass(frozen=True)
class BackendSize:
    """Capacity of a back end.

    Parameters
    ----------
    service_seconds
        Mean time that a request occupies a slot.
    """

    slots: int
    queue_limit: int
    service_seconds: Seconds


class SimulatedBackend(SimulatedProcess):
    """A back end that runs requests in slots and queues a limited number of others."""

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
        """Executions of each request, by its id, over all runs of the process."""
        self.core: StandInBackend
        self.group = GroupId("")
        self._random = generator
        self._observer = observer
        self._queue: deque[tuple[int, Callable[[BackendResponse], None]]] = deque()
        self._busy_slots = 0

    def start(self) -> None:
        """Start a new run that owns no ranges."""
        super().start()
        self.core = StandInBackend(
            self.configured.backend_id,
            Incarnation(self.run_number),
            self.size.slots,
            self.size.queue_limit,
            self.keyed,
            self.rules,
        )
        self.core.executions = self.executions
        self._queue.clear()
        self._busy_slots = 0
        self._observer.serving_changed(self)

    def kill(self) -> None:
        """End the run."""
        super().kill()
        self._observer.serving_changed(self)

    def freeze(self) -> None:
        """Suspend the process."""
        super().freeze()
        self._observer.serving_changed(self)

    def thaw(self) -> None:
        """Resume the process."""
        super().thaw()
        self._observer.serving_changed(self)

    def handle_lease(self, request: LeaseRequest) -> LeaseReply:
        """Handle a probe or a grant."""
        now = self.clock.read()
        held = now < self.core.held_until
        version = self.core.owned_version
        reply = self.core.handle_lease(request, now)
        if self.core.owned_version != version or not held:
            self._observer.serving_changed(self)
        return reply

    def servable_ranges(self) -> list[tuple[int, int]]:
        """Return the ranges that this run may serve by its own clock, also while frozen."""
        return self.core.owned_ranges(self.clock.read()) if self.is_up else []

    def is_serving(self) -> bool:
        """Whether it runs and its lease holds."""
        return self.is_running and self.clock.read() < self.core.held_until

    def serving_state(self) -> tuple[tuple[int, int], int, bool]:
        """Return a value that stays equal for as long as the back end serves the same ranges."""
        run = self.run_number
        return (
            (self.core.owned_version, run, self.is_serving()) if self.is_up else ((0, 0), 0, False)
        )

    # ------------------------------------------------------------------ work

    def handle_work(self, work: Work, respond: Callable[[BackendResponse], None]) -> None:
        """Queue a request, or refuse it."""
        number = self.core.admit(work, self.clock.read())
        if isinstance(number, Refusal):
            respond(number)
            return
        self._queue.append((number, respond))
        self._fill_slots()

    def _fill_slots(self) -> None:
        while self._queue and self._busy_slots < self.size.slots:
            number, respond = self._queue.popleft()
            self._busy_slots += 1
            run = self.run_number
            service_time = self.size.service_seconds * (0.5 + self._random.random())

            def finish(
                run: int = run,
                number: int = number,
                respond: Callable[[BackendResponse], None] = respond,
            ) -> None:
                self.deliver_to_run(run, lambda: self._finish(number, respond))

            self.kernel.after(service_time, finish)

    def _finish(self, number: int, respond: Callable[[BackendResponse], None]) -> None:
        work = self.core.in_flight[number]
        refusal = self.core.execute(number, self.clock.read())
        if refusal is None:
            self._observer.executed(self, work)
        self.core.finish(number)
        self._busy_slots -= 1
        respond(refusal)
        self._fill_slots()
