"""One seeded run of a simulated deployment, and its report."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Sequence
from dataclasses import dataclass

from limedeck.forwarding.permits import PERMIT_LIFETIME
from limedeck.identity import Seconds
from limedeck.ownership.timing import OwnershipTiming
from limedeck_lab.ownership.faults import FAULTS
from limedeck_lab.ownership.sabotage import PERMITS, SABOTAGES, TWO_OWNERS, WITHOUT_OWNER
from limedeck_lab.ownership.world import RATE_LIMIT, World

PERMIT_WINDOW: Seconds = 4.0
MAX_PERMITS = 1.5 * RATE_LIMIT * PERMIT_WINDOW + 5
"""Upper bound on requests to the rate-bound back end within any such window."""
MAX_REPORTED_DOUBLE_OWNERS = 3
"""Limits the double owners in a report: one fault can show at thousands of times and keys."""


@dataclass(frozen=True)
class RunPlan:
    """Parameters of a run.

    Parameters
    ----------
    seconds
        Simulated time during which faults happen.
    sabotage
        A name in `SABOTAGES`, or empty.
    max_without_owner
        Longest time that a key may have no owner, in seconds; None: no bound.
    """

    seed: int
    seconds: Seconds
    faults: tuple[str, ...] = FAULTS
    nodes: int = 3
    backends: int = 5
    sabotage: str = ""
    max_without_owner: Seconds | None = None


@dataclass(frozen=True)
class RunReport:
    """Result of a run.

    Parameters
    ----------
    violations
        Broken guarantees, one text each.
    longest_without_owner
        Longest time that any key had no owner.
    most_permits
        Most permits that all nodes together issued within any `PERMIT_WINDOW` plus the lifetime of
        a permit.
    permits
        Permits that all nodes together issued.
    wall_seconds
        Real time that the run took.
    """

    plan: RunPlan
    violations: tuple[str, ...]
    faults: dict[str, int]
    longest_without_owner: Seconds
    most_permits: int
    permits: int
    wall_seconds: Seconds

    def as_dict(self) -> dict[str, object]:
        """Return the report as a dictionary for JSON."""
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
    most_permits = world.max_permits_issued(PERMIT_WINDOW + PERMIT_LIFETIME)
    return RunReport(
        plan,
        tuple(_violations(plan, world, most_permits)),
        dict(sorted(world.fault_counts.items())),
        world.longest_without_owner,
        most_permits,
        len(world.permits_issued_at),
        time.monotonic() - began,
    )


def _violations(plan: RunPlan, world: World, most_permits: int) -> list[str]:
    found = [f"{TWO_OWNERS}: {item}" for item in world.found[:MAX_REPORTED_DOUBLE_OWNERS]]
    unserved = world.unserved()
    if unserved:
        found.append(f"{len(unserved)} keys without an owner in the end")
    longest = world.longest_without_owner
    if plan.max_without_owner is not None and longest > plan.max_without_owner:
        found.append(
            f"a key {WITHOUT_OWNER} for {longest:.2f} s, allowed {plan.max_without_owner:g} s"
        )
    if most_permits > MAX_PERMITS:
        found.append(f"{most_permits} {PERMITS} where {MAX_PERMITS:g} are allowed")
    return found


def summary(reports: Sequence[RunReport]) -> dict[str, object]:
    """Summarize the reports of several seeds."""
    return {
        "runs": len(reports),
        "violated_seeds": [item.plan.seed for item in reports if item.violations],
        "longest_without_owner": round(max(item.longest_without_owner for item in reports), 2),
        "most_permits": max(item.most_permits for item in reports),
        "simulated_seconds": sum(item.plan.seconds for item in reports),
        "wall_seconds_of_runs": round(sum(item.wall_seconds for item in reports), 1),
    }
