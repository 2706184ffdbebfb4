"""Timing of elections and leases."""

from __future__ import annotations

from dataclasses import dataclass, replace

from limedeck.identity import Seconds


@dataclass(frozen=True, slots=True)
class OwnershipTiming:
    """Times of elections, leases and orders, in seconds unless noted.

    Parameters
    ----------
    lease
        Duration of a grant from its arrival.
    min_grant_time
        Shortest duration of a grant; longer than a renewal takes to be confirmed.
    clock_error
        Largest part by which a back end's clock may be slow.
    lease_slack
        Safety margin added to every wait for the end of a lease.
    renewal_interval
        Interval between two grants of the same keys.
    max_renewal_intervals
        Largest number of intervals between two grants of a range whose owner has several ranges.
        The rest of its lease leaves time for several more orders.
    order_timeout
        Time without a response after which an order counts as lost.
    refused_release_retry_delay
        Delay before a refused release is sent again. The back end has most likely stopped and its
        address belongs to another process, so that only the end of its lease frees its keys.
    max_weak_node_delay
        Delay by which a node with no processor at all would stand for election later than the
        strongest one. The work of a leader grows with the number of nodes that follow it.
    owner_timeout
        Time without a response to any order after which a back end loses its keys.
    unresponsive_timeout
        Time after which nodes stop sending requests to an owner that has responded neither to
        orders nor, as other nodes report, to requests. Spans two orders without a response.
    follower_reconnect_time
        Time within which nodes connect to a new leader.
    max_report_delay
        Longest delay until nodes report a response.
    avoidance_time
        Time for which a back end that lost its keys by `owner_timeout` gets none.
    heartbeat_interval
        Interval between heartbeats of the leader to all nodes.
    leader_timeout
        Time without a heartbeat after which a leader is suspected to have failed.
    confirm_interval
        Interval between two confirmations of the leader in the store.
    stale_confirmation
        Age above which a confirmation no longer proves that the leader is alive.
    max_unconfirmed_time
        Time without a confirmation by the store after which a leader renews no more grants.
    unconfirmed_leader_timeout
        Time without a confirmation by the store, as the leader reports it, after which it may be
        replaced by a node that reaches the store.
    min_leadership_time
        Time for which a node must have led before it yields leadership. A successor that reaches
        no more owners detects unresponsive ones and frees their keys before it may yield in turn.
    yield_cooldown
        Time for which a leader that has yielded does not stand for election; longer than another
        node takes to be elected and to grant all keys again.
    partitioned_candidate_delay
        Delay by which a node that reaches no back end stands for election later than the others.
        By then, a node that reaches some has been elected if there is one.
    discovery_quiet_time
        Time without a new back end after which keys are assigned for the first time.
    max_discovery_time
        Time since the first back end was listed after which keys are assigned in any case.
    balance_interval
        Interval between two checks of how evenly load is spread.
    """

    lease: Seconds = 2.0
    min_grant_time: Seconds = 0.5
    clock_error: float = 0.02
    lease_slack: Seconds = 0.1
    renewal_interval: Seconds = 0.5
    max_renewal_intervals: int = 2
    order_timeout: Seconds = 0.25
    refused_release_retry_delay: Seconds = 1.0
    max_weak_node_delay: Seconds = 0.4
    owner_timeout: Seconds = 1.1
    unresponsive_timeout: Seconds = 0.6
    follower_reconnect_time: Seconds = 1.0
    max_report_delay: Seconds = 0.3
    avoidance_time: Seconds = 3.0
    heartbeat_interval: Seconds = 0.3
    leader_timeout: Seconds = 0.9
    confirm_interval: Seconds = 0.7
    stale_confirmation: Seconds = 1.4
    max_unconfirmed_time: Seconds = 20.0
    unconfirmed_leader_timeout: Seconds = 2.0
    min_leadership_time: Seconds = 2.5
    yield_cooldown: Seconds = 5.0
    partitioned_candidate_delay: Seconds = 2.0
    discovery_quiet_time: Seconds = 0.8
    max_discovery_time: Seconds = 5.0
    balance_interval: Seconds = 0.5

    @property
    def longest_lease(self) -> Seconds:
        """Time after which a grant of a full lease has certainly ended, if it arrived in time."""
        return self.end_of(self.lease)

    def end_of(self, duration: Seconds) -> Seconds:
        """Return the time after which a grant of this duration has certainly ended."""
        return duration * (1.0 + self.clock_error) + self.lease_slack

    def max_duration_within(self, time: Seconds) -> Seconds:
        """Return the longest duration of a grant that has certainly ended after `time`.

        This is the inverse of `end_of`.
        """
        return (time - self.lease_slack) / (1.0 + self.clock_error)


RENEWALS_PER_LEASE = 4


def timing_for_longest_lease(longest_lease: Seconds) -> OwnershipTiming:
    """Return the timing for back ends that accept no lease longer than `longest_lease`."""
    usual = OwnershipTiming()
    if longest_lease >= usual.lease:
        return usual
    renewal = longest_lease / RENEWALS_PER_LEASE
    return replace(usual, lease=longest_lease, renewal_interval=renewal)
