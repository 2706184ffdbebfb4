"""When callers that a back end in need has no room for are told to come back: ways compared.

The figures in `docs/design/limits.md` are what this module prints when it is run with `python -m`.
A line and a fixed time are not built; they stand here as what was weighed.
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
WATCHED = 32.0
COUNTED = (2.0, 18.0)
"""Callers who come in this time are counted, in seconds."""
PATIENCE = (0.8, 8.0)
"""How long a caller waits for its answer, in seconds: the users' kinds of requests."""
OBJECTIVE = 0.2
"""Part of that time within which an answer has its full worth."""
RETURNS = 2
"""A caller comes back so often, and waits as told up to a third of the time that it has left."""
OBEYED = 1.0 / 3.0
SPREAD = 0.3
ROUTE = Route("r", "host", "/", True, 60.0, 1.0, 3, 1, (Target("s", 1),))


class Way(enum.Enum):
    """What a caller that is turned away is told."""

    BUILT = "as built"
    LINE = "its place in the line"
    FIXED = "a fixed time"


@dataclass(frozen=True)
class Outcome:
    """What became of one caller's request.

    Parameters
    ----------
    took
        Seconds from its first arrival to its answer; None if it was not served.
    """

    tries: int
    took: float | None
    patience: float

    @property
    def is_prompt(self) -> bool:
        """Whether it was answered within its objective."""
        return self.took is not None and self.took <= OBJECTIVE * self.patience


@dataclass(frozen=True)
class Figures:
    """Parts of all callers that were counted, and means over them; `mean` of who was served."""

    served: float
    prompt: float
    tries: float
    mean: float


@dataclass
class ReturningCallers(PermitWorld):
    """Callers come back when they are told to, for as long as they wait.

    Parameters
    ----------
    longest
        They are told no longer time, in seconds.
    """

    way: Way = Way.BUILT
    longest: float = 1.0
    outcomes: list[Outcome] = field(default_factory=list)
    promised_until: float = 0.0

    def _request(self, node: SimulatedNode, request_id: bytes) -> Steps:
        first = self.env.now
        patience = self.source.uniform(*PATIENCE)
        deadline = first + patience
        tries = 0
        took = None
        while took is None and tries <= RETURNS:
            tries += 1
            now = self.env.now
            core = RequestCore(
                request_id, ROUTE, node.view, node.directory, None, deadline, now, tries > 1
            )
            refused = yield from self._play(node, core)
            if refused is None:
                took = self.env.now - first
                break
            left = deadline - self.env.now
            yield self.env.timeout(min(self._pause(refused), OBEYED * left))
        if COUNTED[0] <= first < COUNTED[1]:
            self.outcomes.append(Outcome(tries, took, patience))

    def _pause(self, refused: Refuse) -> float:
        if self.way is Way.BUILT or self.limit is None:
            return refused.retry_after
        if self.way is Way.FIXED:
            return self.longest * self.source.uniform(1.0 - SPREAD, 1.0 + SPREAD)
        now = self.env.now
        self.promised_until = max(self.promised_until, now) + 1.0 / self.limit
        pause = min(self.promised_until - now, self.longest)
        self.promised_until = now + pause
        return pause + self.source.uniform(0.0, SPREAD)


def outcomes_of(seed: int, way: Way, longest: float, rate: float) -> list[Outcome]:
    world = ReturningCallers(seed, NODES, rate, LIMIT, way=way, longest=longest)
    world.elect(world.nodes)

    def lift() -> Steps:
        yield world.env.timeout(LIMITED_FOR)
        world.limit = None

    world.env.process(lift())
    world.env.run(until=WATCHED)
    return world.outcomes


def figures(way: Way, longest: float, rate: float) -> Figures:
    found = [item for seed in SEEDS for item in outcomes_of(seed, way, longest, rate)]
    times = [item.took for item in found if item.took is not None]
    return Figures(
        len(times) / len(found),
        sum(item.is_prompt for item in found) / len(found),
        statistics.mean(item.tries for item in found),
        statistics.mean(times),
    )


@pytest.mark.parametrize("rate", [6.0, 12.0])
@pytest.mark.parametrize(("way", "longest"), [(Way.LINE, 4.0), (Way.FIXED, 4.0)])
def test_more_callers_are_answered_in_time_than_by_a_line(
    way: Way, longest: float, rate: float
) -> None:
    assert figures(Way.BUILT, 1.0, rate).prompt >= figures(way, longest, rate).prompt


def test_the_same_callers_come_each_time() -> None:
    assert outcomes_of(5, Way.BUILT, 1.0, 6.0) == outcomes_of(5, Way.BUILT, 1.0, 6.0)


def main() -> None:
    """Print the comparison."""
    for rate in (6.0, 12.0, 60.0):
        for way, longest in (
            (Way.BUILT, 1.0),
            (Way.LINE, 1.0),
            (Way.LINE, 4.0),
            (Way.FIXED, 2.0),
            (Way.FIXED, 4.0),
        ):
            print(rate, way.value, longest, figures(way, longest, rate))


if __name__ == "__main__":
    main()
