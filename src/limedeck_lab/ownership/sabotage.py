"""Deliberate violations of the product's rules, which prove that the checks detect them."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

from limedeck import versions
from limedeck.forwarding import permits
from limedeck.ownership import (
    barriers,
    election,
    era_fencing,
    owner_liveness,
    service,
    terms,
)
from limedeck.ownership.fences import SEQUENCE_BITS, FenceCounter
from limedeck.ownership.ranges import Phase, RangeState
from limedeck.ownership.timing import OwnershipTiming
from limedeck.store import replica

TWO_OWNERS = "two owners"
WITHOUT_OWNER = "without an owner"
PERMITS = "permits"


@contextmanager
def _no_lease_wait() -> Iterator[None]:
    """Leases are assumed to end 2.2 s early."""
    original = OwnershipTiming.end_of

    def shortened(self: OwnershipTiming, duration: float) -> float:
        return original(dataclasses.replace(self, lease_slack=-2.2), duration)

    with mock.patch.object(OwnershipTiming, "end_of", shortened):
        yield


@contextmanager
def _no_takeover_wait() -> Iterator[None]:
    original = service.ServiceOwnership._take_over

    def patched(self: service.ServiceOwnership, record: Any, now: float) -> None:
        original(self, record, now)
        for item in self.ranges:
            item.held_until = now

    with mock.patch.object(service.ServiceOwnership, "_take_over", patched):
        yield


@contextmanager
def _one_fence() -> Iterator[None]:
    with mock.patch.object(FenceCounter, "next", lambda self: 1 << SEQUENCE_BITS):
        yield


@contextmanager
def _grant_before_release() -> Iterator[None]:
    def patched(self: service.ServiceOwnership, now: float) -> None:
        for found in self.ranges:
            if found.phase is Phase.RELEASING:
                found.phase = Phase.FREE
                found.held_until = now

    with mock.patch.object(service.ServiceOwnership, "_send_releases", patched):
        yield


@contextmanager
def _no_barriers() -> Iterator[None]:
    with mock.patch.object(barriers.Barriers, "require", lambda self, backend_ids: None):
        yield


@contextmanager
def _early_give_up() -> Iterator[None]:
    """Keys of a former incarnation are freed before the later one refuses older orders."""

    def patched(self: service.ServiceOwnership, found: RangeState, now: float) -> bool:
        return now >= found.held_until or self._has_begun_again(found.owner)

    with mock.patch.object(service.ServiceOwnership, "_is_given_up", patched):
        yield


@contextmanager
def _full_rate_unconfirmed() -> Iterator[None]:
    with mock.patch.object(permits, "UNCONFIRMED_PART", 1.0):
        yield


@contextmanager
def _era_ignored() -> Iterator[None]:
    """Versions of the store are compared as if it never returned from a copy."""
    with mock.patch.object(versions, "store_version", lambda era, number: number):
        yield


@contextmanager
def _term_reused() -> Iterator[None]:
    """Terms, and with them fences, are counted on from the copy's record."""
    with mock.patch.object(terms, "next_term", lambda term, era: term + 1):
        yield


@contextmanager
def _record_trusted() -> Iterator[None]:
    """The copy's record of owners is taken for what back ends hold."""

    def complete(self: era_fencing.EraFencing, now: float) -> bool:
        return True

    with mock.patch.object(era_fencing.EraFencing, "is_complete", complete):
        yield


@contextmanager
def _missing_entry_gone() -> Iterator[None]:
    """Back ends that the copy does not list are taken for gone at once."""
    with (
        mock.patch.object(replica, "ROW_RETURN_TIME", 0.0),
        mock.patch.object(service, "ENTRY_RETURN_TIME", 0.0),
    ):
        yield


@contextmanager
def _partitioned_leader_stays() -> Iterator[None]:
    def stays(self: election.ElectionCore, reaching_nodes: int, now: float) -> bool:
        return False

    def blameless(self: owner_liveness.OwnerLiveness, owners: object, now: float) -> bool:
        return False

    with (
        mock.patch.object(election.ElectionCore, "must_yield_to_reaching_nodes", stays),
        mock.patch.object(owner_liveness.OwnerLiveness, "is_leader_at_fault", blameless),
    ):
        yield


@contextmanager
def _partitioned_node_stands() -> Iterator[None]:
    """A node stands for election, and stays the leader, without regard to what it reaches."""

    def may_stand(self: election.ElectionCore, why: object, now: float) -> bool:
        return not self.is_ineligible(now)

    with (
        _partitioned_leader_stays(),
        mock.patch.object(election.ElectionCore, "_may_stand", may_stand),
    ):
        yield


@dataclasses.dataclass(frozen=True)
class Sabotage:
    """A rule that is broken on purpose.

    Parameters
    ----------
    fault
        The fault that exposes the violation; empty if all faults together do.
    violation
        Part of the text with which a run reports the violation.
    """

    patch: Callable[[], Any]
    fault: str = ""
    violation: str = TWO_OWNERS


SABOTAGES = {
    "no-lease-wait": Sabotage(_no_lease_wait),
    "no-takeover-wait": Sabotage(_no_takeover_wait, "holder_of_old_leader"),
    "one-fence": Sabotage(_one_fence, "two_leaders"),
    "grant-before-release": Sabotage(_grant_before_release),
    "no-barriers": Sabotage(_no_barriers, "backend_reborn"),
    "early-give-up": Sabotage(_early_give_up, "owner_of_old_leader_reborn"),
    "era-ignored": Sabotage(_era_ignored, "store_returns_all_killed", WITHOUT_OWNER),
    "term-reused": Sabotage(_term_reused, "store_returns_all_killed"),
    "record-trusted": Sabotage(_record_trusted, "store_returns_all_killed"),
    "missing-entry-gone": Sabotage(_missing_entry_gone, "store_returns_all_killed"),
    "partitioned-leader-stays": Sabotage(
        _partitioned_leader_stays, "most_partitioned", WITHOUT_OWNER
    ),
    "partitioned-node-stands": Sabotage(
        _partitioned_node_stands, "partitioned_twice", WITHOUT_OWNER
    ),
    "full-rate-unconfirmed": Sabotage(_full_rate_unconfirmed, "holder_of_old_leader", PERMITS),
}
