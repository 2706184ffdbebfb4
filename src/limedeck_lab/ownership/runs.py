"""One seeded run of a simulated deployment, and what it is reported as."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Sequence
from dataclasses import dataclass

from limedeck.forwarding.permits import PERMIT_LIFETIME
from limedeck.identity import Seconds
from limedeck.ownership.timing import OwnershipTiming
from limedeck_lab.ownership.faults import FAULTS
from limedeck_lab.ownership.sabotage import PERMITS, SABOTAGES, TWO_OWNERS
from limedeck_lab.ownership.world import LIMIT, World

PERMIT_WINDOW: Seconds = 4.0
MOST_PERMITS = 1.5 * LIMIT * PERMIT_WINDOW + 5
"""Requests in any such window that the back end which names a limit gets at most."""
SHOWN = 3
"""Double owners that a report names; one fault shows at thousands of moments and keys."""


@dataclass(frozen=True)
class RunPlan:
    """What to run.

    Parameters
    ----------
    seconds
        Of simulated time with faults.
    sabotage
        A name in `SABOTAGES`, or empty.
    """

    seed: int
    seconds: Seconds
    faults: tuple[str, ...] = FAULTS
    nodes: int = 3
    backends: int = 5
    sabotage: str = ""


@dataclass(frozen=True)
class RunReport:
    """What came of a run.

    Parameters
    ----------
    violations
        Promises that were broken, one text each.
    longest_without_owner
        Of any key, in seconds.
    most_permits
        That all nodes together lent in any `PERMIT_WINDOW` and the time that a permit lives.
    permits
        That all nodes together lent.
    wall_seconds
        What the run took.
    """

    plan: RunPlan
    violations: tuple[str, ...]
    faults: dict[str, int]
    longest_without_owner: Seconds
    most_permits: int
    permits: int
    wall_seconds: Seconds

    def as_dict(self) -> dict[str, object]:
        """For a line of JSON."""
        return {
            "seed": self.plan.seed,
            "seconds": self.plan.seconds,
            "nodes": self.plan.nodes,
            "backends": self.plan.backends,
            "sabotage": self.plan.sabotage,
            "violations": list(self.violations),
            "faults": self.faults,
            "longest_without_owner": round(self.longest_without_owner, 2),
            "most_permits": self.most_permits,
            "permits": self.permits,
            "wall_seconds": round(self.wall_seconds, 2),
        }


def run_plan(plan: RunPlan) -> RunReport:
    """Run one plan, in this process."""
    began = time.monotonic()
    with SABOTAGES[plan.sabotage].patch() if plan.sabotage else contextlib.nullcontext():
        world = World(plan.seed, OwnershipTiming(), plan.nodes, plan.backends)
        world.run_with_faults(plan.seconds, plan.faults)
    most_permits = world.most_lent(PERMIT_WINDOW + PERMIT_LIFETIME)
    return RunReport(
        plan,
        tuple(_violations(world, most_permits)),
        dict(sorted(world.begun.items())),
        world.longest_without_owner,
        most_permits,
        len(world.lent_at),
        time.monotonic() - began,
    )


def _violations(world: World, most_permits: int) -> list[str]:
    found = [f"{TWO_OWNERS}: {item}" for item in world.found[:SHOWN]]
    unserved = world.unserved()
    if unserved:
        found.append(f"{len(unserved)} keys without an owner in the end")
    if most_permits > MOST_PERMITS:
        found.append(f"{most_permits} {PERMITS} where {MOST_PERMITS:g} are allowed")
    return found


def summary(reports: Sequence[RunReport]) -> dict[str, object]:
    """Add up the reports of several seeds."""
    return {
        "runs": len(reports),
        "violated_seeds": [item.plan.seed for item in reports if item.violations],
        "longest_without_owner": round(max(item.longest_without_owner for item in reports), 2),
        "most_permits": max(item.most_permits for item in reports),
        "simulated_seconds": sum(item.plan.seconds for item in reports),
        "wall_seconds_of_runs": round(sum(item.wall_seconds for item in reports), 1),
    }
