"""Results of probes, and events of a node's belief about which back ends it reaches."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from limedeck.identity import Seconds


class ProbeOutcome(enum.Enum):
    """Result of a probe.

    REACHED
        The connection was established and stayed open.
    TURNED_AWAY
        The connection was established and reset at once, as a back end with too many does.
    UNREACHED
        The connection was refused or was not established in time.
    UNKNOWN
        This process was paused meanwhile.
    """

    REACHED = "reached"
    TURNED_AWAY = "turned-away"
    UNREACHED = "unreached"
    UNKNOWN = "unknown"


class PartitionEvidence(enum.Enum):
    """What has shown a partition.

    PROBES
        No back end accepted a connection.
    EXCHANGES
        Connections were accepted, but no request got a response on them, while other nodes got
        responses of the same back ends.
    """

    PROBES = "probes"
    EXCHANGES = "exchanges"


@dataclass(frozen=True, slots=True)
class PartitionBegan:
    """Event: none of the probed back ends was reached, or none of the tried ones responded.

    Parameters
    ----------
    probed
        Ids of these back ends.
    """

    probed: tuple[str, ...]
    evidence: PartitionEvidence = PartitionEvidence.PROBES


@dataclass(frozen=True, slots=True)
class PartitionEnded:
    """Event: a back end was reached again.

    Parameters
    ----------
    lasted
        Seconds since the partition was detected.
    """

    lasted: Seconds


@dataclass(frozen=True, slots=True)
class ExchangesFailing:
    """Event: no back end responds on this node's connections, which are accepted.

    Parameters
    ----------
    backends
        Ids of the back ends that were tried.
    """

    backends: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class BackendUnreached:
    """Event: a back end was not reached, while others were."""

    backend_id: str


@dataclass(frozen=True, slots=True)
class BackendReached:
    """Event: an unreached back end was reached again.

    Parameters
    ----------
    lasted
        Seconds since it was found to be unreached.
    """

    backend_id: str
    lasted: Seconds


ReachabilityEvent = (
    PartitionBegan | PartitionEnded | ExchangesFailing | BackendUnreached | BackendReached
)
