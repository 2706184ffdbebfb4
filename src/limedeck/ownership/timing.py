"""Times of election and leases."""

from __future__ import annotations

from dataclasses import dataclass, replace

from limedeck.identity import Seconds


@dataclass(frozen=True, slots=True)
class OwnershipTiming:
    """All in seconds.

    Parameters
    ----------
    lease
        Time that a grant runs from its arrival.
    shortest_grant
        The shortest time that a grant runs: above the time in which its renewal is answered.
    clock_error
        Part by which a back end's clock may be slow.
    lease_slack
        Added to every wait for the end of a lease.
    renewal_interval
        Between two grants of the same keys.
    most_renewal_intervals
        A range of an owner with several is renewed after so many intervals at most; what is left of
        its lease allows several more orders.
    order_timeout
        An order without an answer for so long counts as lost.
    refused_release_pause
        A release that was refused is sent again after so long: most likely the back end has gone
        and its address belongs to another process, and only the end of its lease will free keys.
    weakness_delay
        A machine without any processor would stand for election so much later than one with a
        whole core: a leader does more the more nodes follow it.
    holder_silence
        A back end that answered no order for so long loses its keys.
    loss_silence
        Requests are not sent any more to an owner that has answered neither orders nor, as other
        nodes tell, requests for so long: above two orders without an answer.
    following
        Nodes follow a new leader after so long.
    report_delay
        Nodes tell of an answer so much later at most.
    avoidance
        A back end that lost its keys because it was silent gets none for so long.
    heartbeat_interval
        From the leader to all nodes.
    leader_silence
        A leader that was not heard for so long is suspected.
    confirm_interval
        Between two confirmations of the leader in the store.
    stale_confirmation
        A confirmation older than this is no sign of a leader.
    leader_patience
        A leader that the store has not confirmed for so long renews nothing more.
    cut_leader_patience
        A leader that says it misses the store for so long may be replaced by one that does not.
    yield_after
        A leader has been in office so long before it yields to another: its successor, if it fares
        no better, finds silent owners and frees their keys before it may yield in turn.
    yield_rest
        A leader that has yielded does not stand for election for so long; an estimate, above the
        time in which another is elected and has granted all keys anew.
    settling
        Keys are assigned for the first time once no new back end was seen for so long.
    longest_settling
        They are assigned so long after the first back end was seen, calm or not.
    balance_interval
        Between two looks at how evenly load is spread.
    """

    lease: Seconds = 2.0
    shortest_grant: Seconds = 0.5
    clock_error: float = 0.02
    lease_slack: Seconds = 0.1
    renewal_interval: Seconds = 0.5
    most_renewal_intervals: int = 2
    order_timeout: Seconds = 0.25
    refused_release_pause: Seconds = 1.0
    weakness_delay: Seconds = 0.4
    holder_silence: Seconds = 1.1
    loss_silence: Seconds = 0.6
    following: Seconds = 1.0
    report_delay: Seconds = 0.3
    avoidance: Seconds = 3.0
    heartbeat_interval: Seconds = 0.3
    leader_silence: Seconds = 0.9
    confirm_interval: Seconds = 0.7
    stale_confirmation: Seconds = 1.4
    leader_patience: Seconds = 20.0
    cut_leader_patience: Seconds = 2.0
    yield_after: Seconds = 2.5
    yield_rest: Seconds = 5.0
    settling: Seconds = 0.8
    longest_settling: Seconds = 5.0
    balance_interval: Seconds = 0.5

    @property
    def longest_lease(self) -> Seconds:
        """Time after sending a grant when it has surely ended, if it was not taken late."""
        return self.end_of(self.lease)

    def end_of(self, duration: Seconds) -> Seconds:
        """Time after which a grant that runs for `duration` has surely ended."""
        return duration * (1.0 + self.clock_error) + self.lease_slack

    def duration_within(self, time: Seconds) -> Seconds:
        """How long a grant may run that is to have ended surely after `time`, as `end_of` tells."""
        return (time - self.lease_slack) / (1.0 + self.clock_error)


RENEWALS_IN_A_LEASE = 4


def timing_for_longest_lease(longest_lease: Seconds) -> OwnershipTiming:
    """Return the times for back ends that take no lease above `longest_lease`, in seconds."""
    usual = OwnershipTiming()
    if longest_lease >= usual.lease:
        return usual
    renewal = longest_lease / RENEWALS_IN_A_LEASE
    return replace(usual, lease=longest_lease, renewal_interval=renewal)
