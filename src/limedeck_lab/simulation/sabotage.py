"""Breaks one of the product's rules on purpose, to show that the checks detect it."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

from limedeck.control.consensus import ConsensusCore
from limedeck.control.leases import LeaseTable
from limedeck.identity import BackendId, Seconds
from limedeck.routing import request
from limedeck.routing.outcomes import AttemptHistory, Decision, FailurePhase
from limedeck_lab.standins.backend import BackendRules


def _lapsed_without_wait(table: LeaseTable, backend_id: BackendId, now: Seconds) -> bool:
    lease = table.lease(backend_id)
    return lease is None or not lease.is_responsive(now, table.timing)


def _leads_without_lease(consensus: ConsensusCore, now: Seconds) -> bool:
    return consensus.is_leader


def _retry_always(phase: FailurePhase, history: AttemptHistory) -> Decision:
    if history.time_left:
        return Decision.RETRY
    return Decision.ANSWER_UNKNOWN


@contextmanager
def _no_lease_wait() -> Iterator[None]:
    with mock.patch.object(LeaseTable, "has_lapsed", _lapsed_without_wait):
        yield


@contextmanager
def _stale_leader() -> Iterator[None]:
    with mock.patch.object(ConsensusCore, "holds_leadership", _leads_without_lease):
        yield


@contextmanager
def _retry_unsafe() -> Iterator[None]:
    with mock.patch.object(request, "decide", _retry_always):
        yield


@contextmanager
def _no_patch() -> Iterator[None]:
    yield


PATCHES: dict[str, Callable[[], Any]] = {
    "no-lease-wait": _no_lease_wait,
    "no-fence": _no_patch,
    "grant-by-duration": _no_patch,
    "forgotten-promise": _no_patch,
    "retry-unsafe": _retry_unsafe,
    "stale-leader": _stale_leader,
}
"""Patch of the product for each sabotage; those without one change the lab instead."""

BROKEN_RULES = {
    "no-fence": BackendRules(checks_fences=False),
    "grant-by-duration": BackendRules(holds_until_clock=False),
}


def rules_under(sabotage: str) -> BackendRules:
    """Return the rules that simulated back ends check under a sabotage."""
    return BROKEN_RULES.get(sabotage, BackendRules())


@contextmanager
def apply_sabotage(sabotage: str) -> Iterator[None]:
    """Break a rule for as long as the context lasts; an empty name breaks none."""
    with PATCHES.get(sabotage, _no_patch)():
        yield
