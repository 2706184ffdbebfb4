"""Compares what callers are told to wait after a refusal by a rate-bound back end.

Running the module with `python -m` prints the figures in `docs/design/limits.md`. A queue and a
fixed time are not implemented; they are here as the alternatives that were considered.
"""

from __future__ import annotations

import enum
import statistics
from dataclasses import dataclass, field

import pytest

from limedeck.forwarding.commands import Refuse
from limedeck.forwarding.request import RequestCore
from limedeck.model import Route, Target
from tests.unit.permit_world import PermitWorld, SimulatedNode, Steps

LIMIT = 4.2
NODES = 11
SEEDS = (5, 6, 7)
LIMITED_FOR = 20.0
"""Seconds until the limit is lifted."""
SIMULATED_TIME = 32.0
COUNTED_INTERVAL = (2.0, 18.0)
"""Callers that arrive in this interval are counted, in seconds."""
CALLER_WAIT = (0.8, 8.0)
"""Range of the time that a caller waits for its response, in seconds, as users' requests do."""
OBJECTIVE = 0.2
"""Fraction of that time within which a response has its full value."""
MAX_RETRIES = 2
"""Retries of a caller, which waits as told up to a third of the time that it has left."""
MAX_OBEYED_FRACTION = 1.0 / 3.0
SPREAD = 0.3
ROUTE = Route("r", "host", "/", True, 60.0, 1.0, 3, 1, (Target("s", 1),))


class RetryAdvice(enum.Enum):
    """What a refused caller is told."""

    IMPLEMENTED = "as built"
    QUEUE = "its place in the line"
    FIXED = "a fixed time"


@dataclass(frozen=True)
class Outcome:
    """The outcome of one caller's request.

    Parameters
    ----------
    duration
        Seconds from its first arrival to its response; None if it was not served.
    """

    tries: int
    duration: float | None
    caller_wait: float

    @property
    def is_prompt(self) -> bool:
        """Whether it was answered within its objective."""
        return self.duration is not None and self.duration <= OBJECTIVE * self.caller_wait


@dataclass(frozen=True)
class Figures:
    """Fractions of all callers counted, and means over them; `mean` is over the callers served."""

    served: float
    prompt: float
    tries: float
    mean: float


@dataclass
class RetryingCallers(PermitWorld):
    """Callers retry when they are told to, for as long as they wait.

    Parameters
    ----------
    max_pause
        The longest time that they are told to wait, in seconds.
    """

    advice: RetryAdvice = RetryAdvice.IMPLEMENTED
    max_pause: float = 1.0
    outcomes: list[Outcome] = field(default_factory=list)
    last_turn: float = 0.0

    def _request(self, node: SimulatedNode, request_id: bytes) -> Steps:
        first = self.env.now
        caller_wait = self.source.uniform(*CALLER_WAIT)
        deadline = first + caller_wait
        tries = 0
        duration = None
        while duration is None and tries <= MAX_RETRIES:
            tries += 1
            now = self.env.now
            core = RequestCore(
                request_id, ROUTE, node.view, node.directory, None, deadline, now, tries > 1
            )
            refused = yield from self._execute_commands(node, core)
            if refused is None:
                duration = self.env.now - first
                break
            left = deadline - self.env.now
            yield self.env.timeout(min(self._pause(refused), MAX_OBEYED_FRACTION * left))
        if COUNTED_INTERVAL[0] <= first < COUNTED_INTERVAL[1]:
            self.outcomes.append(Outcome(tries, duration, caller_wait))

    def _pause(self, refused: Refuse) -> float:
        if self.advice is RetryAdvice.IMPLEMENTED or self.limit is None:
            return refused.retry_after
        if self.advice is RetryAdvice.FIXED:
            return self.max_pause * self.source.uniform(1.0 - SPREAD, 1.0 + SPREAD)
        now = self.env.now
        self.last_turn = max(self.last_turn, now) + 1.0 / self.limit
        pause = min(self.last_turn - now, self.max_pause)
        self.last_turn = now + pause
        return pause + self.source.uniform(0.0, SPREAD)


def simulate_outcomes(
    seed: int, advice: RetryAdvice, max_pause: float, rate: float
) -> list[Outcome]:
    world = RetryingCallers(seed, NODES, rate, LIMIT, advice=advice, max_pause=max_pause)
    world.elect(world.nodes)

    def lift() -> Steps:
        yield world.env.timeout(LIMITED_FOR)
        world.limit = None

    world.env.process(lift())
    world.env.run(until=SIMULATED_TIME)
    return world.outcomes


def figures(advice: RetryAdvice, max_pause: float, rate: float) -> Figures:
    found = [item for seed in SEEDS for item in simulate_outcomes(seed, advice, max_pause, rate)]
    times = [item.duration for item in found if item.duration is not None]
    return Figures(
        len(times) / len(found),
        sum(item.is_prompt for item in found) / len(found),
        statistics.mean(item.tries for item in found),
        statistics.mean(times),
    )


@pytest.mark.parametrize("rate", [6.0, 12.0])
@pytest.mark.parametrize(
    ("advice", "max_pause"), [(RetryAdvice.QUEUE, 4.0), (RetryAdvice.FIXED, 4.0)]
)
def test_more_callers_are_answered_in_time_than_by_the_alternatives(
    advice: RetryAdvice, max_pause: float, rate: float
) -> None:
    assert (
        figures(RetryAdvice.IMPLEMENTED, 1.0, rate).prompt
        >= figures(advice, max_pause, rate).prompt
    )


def test_the_simulation_is_deterministic() -> None:
    assert simulate_outcomes(5, RetryAdvice.IMPLEMENTED, 1.0, 6.0) == simulate_outcomes(
        5, RetryAdvice.IMPLEMENTED, 1.0, 6.0
    )


def main() -> None:
    """Print the comparison."""
    for rate in (6.0, 12.0, 60.0):
        for advice, max_pause in (
            (RetryAdvice.IMPLEMENTED, 1.0),
            (RetryAdvice.QUEUE, 1.0),
            (RetryAdvice.QUEUE, 4.0),
            (RetryAdvice.FIXED, 2.0),
            (RetryAdvice.FIXED, 4.0),
        ):
            print(rate, advice.value, max_pause, figures(advice, max_pause, rate))


if __name__ == "__main__":
    main()
