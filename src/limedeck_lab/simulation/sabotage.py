"""Breaking one of the product's rules on purpose: the proof that the checks can fail."""

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
def _nothing() -> Iterator[None]:
    yield


PATCHES: dict[str, Callable[[], Any]] = {
    "no-lease-wait": _no_lease_wait,
    "no-fence": _nothing,
    "grant-by-duration": _nothing,
    "forgotten-promise": _nothing,
    "retry-unsafe": _retry_unsafe,
    "stale-leader": _stale_leader,
}
"""What each sabotage changes in the product; the others change the stand-ins."""

BROKEN_RULES = {
    "no-fence": BackendRules(checks_fences=False),
    "grant-by-duration": BackendRules(holds_until_clock=False),
}


def rules_under(sabotage: str) -> BackendRules:
    """What simulated back ends check."""
    return BROKEN_RULES.get(sabotage, BackendRules())


@contextmanager
def applied(sabotage: str) -> Iterator[None]:
    """Break a rule for as long as the context lasts; nothing for an empty name."""
    with PATCHES.get(sabotage, _nothing)():
        yield
