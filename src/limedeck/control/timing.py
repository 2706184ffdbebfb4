"""Durations and limits of the control state machines."""

from __future__ import annotations

from dataclasses import dataclass

from limedeck.identity import Seconds


@dataclass(frozen=True)
class ControlTiming:
    """Durations, in seconds of the local process's clock.

    Parameters
    ----------
    tick_interval
        Interval between two ticks from the host.
    heartbeat_interval
        Interval between two appends from a leader to a follower that has all entries.
    election_timeout
        Time for which a voter that acknowledged a leader votes for no other.
    election_spread
        Upper limit of the delay added to the election timeout; it differs by node and term.
    clock_drift
        Maximum difference in rate between a clock and real time, as a fraction.
    backend_lease
        Time after a back end's own clock reading for which it may serve under a grant.
    lease_renewal_interval
        Interval between two lease exchanges with one back end.
    exchange_timeout
        Time after which an exchange without a reply is abandoned.
    release_poll_interval
        Interval between two exchanges with a back end that is releasing slices.
    warm_period
        Time for which the target of a planned move may preload a slice before the source
        releases it.
    record_write_interval
        Minimum interval between two writes of a group's record to the table.
    voter_loss_timeout
        Time after which a voter that has not responded is replaced.
    ping_interval, ping_timeout, suspicion_timeout
        Interval between two pings of a node, time after which a ping without an ack makes its
        target suspect, and time after which a suspect or leaving node counts as dead.
    sync_interval
        Interval between two anti-entropy exchanges of a node.
    config_poll_interval
        Interval between two reads of the configuration's latest revision by a zone's relay.
    machine_list_interval
        Interval between two reads of the machine list by a zone's relay.
    rebalance_interval
        Interval between two checks of a group's balance.
    """

    tick_interval: Seconds = 0.05
    heartbeat_interval: Seconds = 0.1
    election_timeout: Seconds = 0.4
    election_spread: Seconds = 0.2
    clock_drift: float = 0.005
    backend_lease: Seconds = 1.8
    lease_renewal_interval: Seconds = 0.4
    exchange_timeout: Seconds = 0.5
    release_poll_interval: Seconds = 0.01
    warm_period: Seconds = 0.3
    record_write_interval: Seconds = 1.0
    voter_loss_timeout: Seconds = 3.0
    ping_interval: Seconds = 0.5
    ping_timeout: Seconds = 0.3
    suspicion_timeout: Seconds = 3.0
    sync_interval: Seconds = 1.0
    config_poll_interval: Seconds = 2.0
    machine_list_interval: Seconds = 2.0
    rebalance_interval: Seconds = 2.0

    @property
    def leadership_lease(self) -> Seconds:
        """Time for which a leader may act after it sent an append that a majority acknowledged."""
        return self.election_timeout * (1 - self.clock_drift) / (1 + self.clock_drift)

    @property
    def longest_backend_lease(self) -> Seconds:
        """Longest time on the leader's clock for which a lease may hold, given the clock drift."""
        return self.backend_lease * (1 + self.clock_drift) / (1 - self.clock_drift)


@dataclass(frozen=True)
class ControlLimits:
    """Limits on counts.

    Parameters
    ----------
    voters
        Number of voters of a control group if there are enough nodes; odd.
    concurrent_moves
        Maximum number of planned moves of a group in progress at the same time.
    moves_per_minute
        Maximum number of planned moves of a group started within a minute (churn budget).
    log_entries_kept
        Number of latest committed entries kept when older ones are merged into the snapshot.
    relays_per_zone
        Number of nodes of a zone that forward updates to the others.
    piggybacked_members
        Maximum number of changed member records in a ping or ack.
    """

    voters: int = 3
    concurrent_moves: int = 16
    moves_per_minute: int = 240
    log_entries_kept: int = 128
    relays_per_zone: int = 2
    piggybacked_members: int = 8
