"""Spans of time and bounds that the control state machines work with."""

from __future__ import annotations

from dataclasses import dataclass

from limedeck.identity import Seconds


@dataclass(frozen=True)
class ControlTiming:
    """All spans in seconds of a process's own clock.

    Parameters
    ----------
    tick_interval
        How often the host delivers a tick.
    heartbeat_interval
        Between two appends from a leader to a follower that has nothing new.
    election_timeout
        A voter that acknowledged a leader votes for no other for this long.
    election_spread
        Added to the election timeout, in a part that differs by node and term.
    clock_drift
        Greatest difference in rate between a clock and real time, as a fraction.
    backend_lease
        How long after its own clock reading a back end may serve under a grant.
    lease_renewal_interval
        Between two lease exchanges with one back end.
    exchange_timeout
        An exchange without an answer is given up after this.
    release_poll_interval
        Between two exchanges with a back end that is giving up slices.
    warm_period
        How long a planned move's target is given to load a slice ahead.
    record_write_interval
        Least time between two writes of a group's record to the table.
    voter_loss_timeout
        A voter that has not answered for this long is replaced.
    ping_interval, ping_timeout, suspicion_timeout
        Of failure detection between nodes.
    sync_interval
        Between two anti-entropy exchanges of a node.
    config_poll_interval
        Between two reads of the configuration's head by a zone's relay.
    machine_list_interval
        Between two reads of the machine list by a zone's relay.
    rebalance_interval
        Between two looks at the balance of a group.
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
        """How long a leader may act after sending an append that a majority acknowledged."""
        return self.election_timeout * (1 - self.clock_drift) / (1 + self.clock_drift)

    @property
    def longest_backend_lease(self) -> Seconds:
        """A back end's lease as the granter must count it, drift included."""
        return self.backend_lease * (1 + self.clock_drift) / (1 - self.clock_drift)


@dataclass(frozen=True)
class ControlLimits:
    """Bounds on counts.

    Parameters
    ----------
    voters
        Voters of a control group when enough nodes are there; odd.
    concurrent_moves
        Planned moves of a group under way at the same time.
    moves_per_minute
        Planned moves of a group that are started within a minute (churn budget).
    log_entries_kept
        Committed entries kept before they are folded into the snapshot.
    relays_per_zone
        Nodes of a zone that pass updates on to the others.
    piggybacked_members
        Member records that a ping carries.
    """

    voters: int = 3
    concurrent_moves: int = 16
    moves_per_minute: int = 240
    log_entries_kept: int = 128
    relays_per_zone: int = 2
    piggybacked_members: int = 8
