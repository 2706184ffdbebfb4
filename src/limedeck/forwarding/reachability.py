"""Which back ends this node reaches, as shown by probes.

Three facts are kept apart: a node that reaches no back end is partitioned; a back end that this
node does not reach while it reaches others is unreached; a back end that no node reaches has
failed. A failed attempt only causes a round of probes, since it may be the fault of the back end,
and a response only shows that an open connection works, while new ones may be refused.
"""

from __future__ import annotations

import enum
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from limedeck.forwarding.hashing import hash_fraction
from limedeck.identity import NEVER, Seconds

PROBES_PER_ROUND = 4
"""Back ends that a round of probes connects to."""
MAX_SUSPECTS_PER_ROUND = 2
"""Suspected back ends in a round; the others show whether the node itself is at fault."""
SILENCE: Seconds = 0.25
"""Time without a response from any back end, while requests are outstanding, that causes probes."""
MIN_ROUND_INTERVAL: Seconds = 0.25
"""Time between two rounds while a back end is unreached, this node is partitioned, or no back end
has responded since the last round; the time in which the end of a partition is detected."""
CALM_ROUND_INTERVAL: Seconds = 1.0
"""Time between two rounds otherwise: an overloaded back end fails many requests."""


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


@dataclass(frozen=True, slots=True)
class PartitionBegan:
    """Event: none of the probed back ends was reached."""

    probed: tuple[str, ...]


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


ReachabilityEvent = PartitionBegan | PartitionEnded | BackendUnreached | BackendReached


class Reachability:
    """One node's belief about which back ends it reaches.

    Attributes
    ----------
    is_partitioned
        Whether this node reaches no back end.
    rounds
        Number of rounds of probes that have ended.
    """

    def __init__(self, node_id: str) -> None:
        self.is_partitioned = False
        self.rounds = 0
        self._seed = node_id.encode()
        self._partitioned_at: Seconds = NEVER
        self._unreached: dict[str, Seconds] = {}
        self._suspects: dict[str, None] = {}
        self._responded_at: Seconds = NEVER
        self._reached_at: Seconds = NEVER
        self._round_ended_at: Seconds = NEVER
        self._pending: set[str] = set()
        self._outcomes: dict[str, ProbeOutcome] = {}

    def is_unreached(self, backend_id: str) -> bool:
        """Whether this node does not reach a back end."""
        return self.is_partitioned or backend_id in self._unreached

    def unreached_since(self, backend_id: str) -> Seconds | None:
        """Return when a back end was found to be unreached; None if it is not."""
        if self.is_partitioned:
            return self._partitioned_at
        return self._unreached.get(backend_id)

    @property
    def unreached_backends(self) -> tuple[str, ...]:
        """Back ends that are unreached while others are reached."""
        return tuple(self._unreached)

    def had_contact_since(self, since: Seconds) -> bool:
        """Whether a back end has responded, or was reached by a probe, since a time."""
        return max(self._responded_at, self._reached_at) >= since

    def record_response(self, now: Seconds) -> None:
        """Record that a back end responded to this node on a connection of its own."""
        self._responded_at = now

    def suspect(self, backend_id: str) -> None:
        """Record that an attempt failed in a way that a broken link could cause."""
        self._suspects[backend_id] = None

    def next_probes(
        self, listed: Collection[str], waiting_since: Seconds | None, now: Seconds
    ) -> list[str]:
        """Return the back ends to probe now, if a round of probes is due.

        Parameters
        ----------
        listed
            The back ends in the store.
        waiting_since
            Since when the oldest outstanding request has been waiting; None if there is none.
        """
        self._unreached = {key: at for key, at in self._unreached.items() if key in listed}
        if self._pending or now < self._round_ended_at + self._round_interval or not listed:
            return []
        if not (self._suspects or self._needs_probes or self.is_silent(waiting_since, now)):
            return []
        chosen = self._choose(sorted(listed))
        self._pending = set(chosen)
        self._outcomes = {}
        return chosen

    @property
    def _needs_probes(self) -> bool:
        return self.is_partitioned or bool(self._unreached)

    @property
    def _round_interval(self) -> Seconds:
        has_response = self._responded_at >= self._round_ended_at
        is_calm = has_response and not self._needs_probes
        return CALM_ROUND_INTERVAL if is_calm else MIN_ROUND_INTERVAL

    def is_silent(self, waiting_since: Seconds | None, now: Seconds) -> bool:
        """Whether no back end has responded for `SILENCE` while requests are outstanding."""
        if waiting_since is None:
            return False
        return now - max(waiting_since, self._responded_at, self._reached_at) >= SILENCE

    def _choose(self, listed: Sequence[str]) -> list[str]:
        suspects = [key for key in (*self._suspects, *self._unreached) if key in listed]
        self._suspects.clear()
        chosen = list(dict.fromkeys(suspects))[:MAX_SUSPECTS_PER_ROUND]
        others = [key for key in listed if key not in self._unreached and key not in chosen]
        start = int(hash_fraction(self._seed + b"%d" % self.rounds) * len(others))
        chosen += (others[start:] + others[:start])[: PROBES_PER_ROUND - len(chosen)]
        return chosen

    def handle_probe(
        self, backend_id: str, outcome: ProbeOutcome, now: Seconds
    ) -> list[ReachabilityEvent]:
        """Handle the result of a probe, and evaluate the round with its last one."""
        if backend_id not in self._pending:
            return []
        self._pending.discard(backend_id)
        self._outcomes[backend_id] = outcome
        events: list[ReachabilityEvent] = []
        if outcome is ProbeOutcome.REACHED:
            events = self._handle_reached(backend_id, now)
        if not self._pending:
            events += self._end_round(now)
        return events

    def _handle_reached(self, backend_id: str, now: Seconds) -> list[ReachabilityEvent]:
        self._reached_at = now
        events: list[ReachabilityEvent] = []
        if self.is_partitioned:
            self.is_partitioned = False
            events.append(PartitionEnded(now - self._partitioned_at))
        since = self._unreached.pop(backend_id, None)
        if since is not None:
            events.append(BackendReached(backend_id, now - since))
        return events

    def _end_round(self, now: Seconds) -> list[ReachabilityEvent]:
        self.rounds += 1
        outcomes = set(self._outcomes.values())
        events: list[ReachabilityEvent] = []
        if ProbeOutcome.REACHED in outcomes:
            events = self._record_unreached(now)
        elif not self.is_partitioned and self._shows_partition(outcomes, now):
            self.is_partitioned = True
            self._partitioned_at = now
            self._unreached.clear()
            events.append(PartitionBegan(tuple(sorted(self._outcomes))))
        self._round_ended_at = now
        return events

    def _record_unreached(self, now: Seconds) -> list[ReachabilityEvent]:
        new = [
            key
            for key, outcome in self._outcomes.items()
            if outcome is ProbeOutcome.UNREACHED and key not in self._unreached
        ]
        self._unreached.update(dict.fromkeys(new, now))
        return [BackendUnreached(key) for key in new]

    def _shows_partition(self, outcomes: set[ProbeOutcome], now: Seconds) -> bool:
        """Whether a round in which no back end was reached shows that none can be.

        Overloaded back ends reset new connections too, but respond on others meanwhile.
        """
        if ProbeOutcome.UNKNOWN in outcomes:
            return False
        if ProbeOutcome.TURNED_AWAY not in outcomes:
            return True
        return now - self._responded_at >= SILENCE
