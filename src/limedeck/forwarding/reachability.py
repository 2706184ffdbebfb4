"""Which back ends this node reaches, as shown by probes.

Three facts are kept apart: a node that reaches no back end is partitioned; a back end that this
node does not reach while it reaches others is unreached; a back end that no node reaches has
failed. A failed attempt only causes a round of probes, since it may be the fault of the back end,
and a response only shows that an open connection works, while new ones may be refused.
"""

from __future__ import annotations

import enum
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from limedeck.forwarding.hashing import hash_fraction
from limedeck.identity import NEVER, Seconds

OTHERS_PER_ROUND = 2
"""Back ends in a round of probes that are not suspected: they show whether the node itself is at
fault."""
SIBLINGS_PER_ROUND = 2
"""Back ends in a round that are of the same services as the suspected ones."""
MAX_SUSPECTS_PER_ROUND = 4
"""Suspected back ends in a round."""
SILENCE: Seconds = 0.25
"""Time without a response from any back end, while requests are outstanding, that causes probes."""
MIN_UNREACHED_OF_SERVICE = 2
"""Unreached back ends of a service from which on its others are probed; one may have failed."""
MIN_ROUND_INTERVAL: Seconds = 0.25
"""Time between two rounds while a back end is unreached or this node is partitioned, or after a
round that did not reach all its back ends if none has responded since; the time in which the end of
a partition is detected."""
CALM_ROUND_INTERVAL: Seconds = 1.0
"""Time between two rounds otherwise: an overloaded back end fails many requests."""
OVERDUE_ROUND_INTERVAL: Seconds = 4.0
"""Time in which late responses cause no probes, after a round that they had caused reached all its
back ends: those of an overloaded service are all late."""


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
        self._responses: dict[str, Seconds] = {}
        self._reached_at: Seconds = NEVER
        self._round_ended_at: Seconds = NEVER
        self._overdue_reached_at: Seconds = NEVER
        self._has_overdue = False
        self._has_reached_all = False
        self._found_unreached = False
        self._services: Mapping[str, str] = {}
        self._includes_others = False
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

    def record_response(self, backend_id: str, now: Seconds) -> None:
        """Record that a back end responded to this node on a connection of its own."""
        self._responded_at = now
        self._responses[backend_id] = now

    def suspect(self, backend_id: str) -> None:
        """Record that an attempt failed in a way that a broken link could cause."""
        self._suspects[backend_id] = None

    def suspect_overdue(self, backend_ids: Iterable[str], now: Seconds) -> None:
        """Record that responses of back ends are late."""
        overdue = dict.fromkeys(backend_ids)
        if overdue and now - self._overdue_reached_at >= OVERDUE_ROUND_INTERVAL:
            self._suspects.update(overdue)
            self._has_overdue = True

    def is_round_due(self, waiting_since: Seconds | None, now: Seconds) -> bool:
        """Whether a round of probes is due; see `next_probes`."""
        if self._pending or now < self._round_ended_at + self._round_interval:
            return False
        return bool(self._suspects) or self._needs_probes or self.is_silent(waiting_since, now)

    def next_probes(
        self, listed: Mapping[str, str], waiting_since: Seconds | None, now: Seconds
    ) -> list[str]:
        """Return the back ends to probe now, if a round of probes is due.

        Parameters
        ----------
        listed
            The service of each back end in the store.
        waiting_since
            Since when the oldest outstanding request has been waiting; None if there is none.
        """
        self._unreached = {key: at for key, at in self._unreached.items() if key in listed}
        self._suspects = {key: None for key in self._suspects if key in listed}
        if not listed or not self.is_round_due(waiting_since, now):
            return []
        self._responses = {key: at for key, at in self._responses.items() if key in listed}
        self._services = listed
        needs_others = bool(self._suspects) or self.is_silent(waiting_since, now)
        chosen = self._choose_suspects()
        if needs_others:
            chosen += self._choose_siblings(chosen)
        others = self._choose_others(chosen) if needs_others or self.is_partitioned else []
        self._includes_others = bool(others) or len(chosen) == len(listed)
        chosen += others
        self._pending = set(chosen)
        self._outcomes = {}
        return chosen

    @property
    def _needs_probes(self) -> bool:
        return self.is_partitioned or bool(self._unreached)

    @property
    def _round_interval(self) -> Seconds:
        if self._suspects and self._found_unreached:
            return 0.0
        has_contact = self._has_reached_all or self._responded_at >= self._round_ended_at
        is_calm = has_contact and not self._needs_probes
        return CALM_ROUND_INTERVAL if is_calm else MIN_ROUND_INTERVAL

    def is_silent(self, waiting_since: Seconds | None, now: Seconds) -> bool:
        """Whether no back end has responded for `SILENCE` while requests are outstanding."""
        if waiting_since is None:
            return False
        return now - max(waiting_since, self._responded_at, self._reached_at) >= SILENCE

    def _choose_suspects(self) -> list[str]:
        """Choose back ends that are suspected or unreached, in turn."""
        suspects = list(dict.fromkeys((*self._suspects, *self._unreached)))
        chosen = suspects[:MAX_SUSPECTS_PER_ROUND]
        self._suspects = {key: None for key in self._suspects if key not in chosen}
        # The next round begins with the others.
        self._unreached.update(
            {key: self._unreached.pop(key) for key in chosen if key in self._unreached}
        )
        return chosen

    def _choose_siblings(self, suspects: Collection[str]) -> list[str]:
        """Choose back ends of the suspects' services: if they are unreached too, links are lost."""
        services = {self._services[key] for key in suspects if key in self._services}
        siblings = [
            key
            for key, service in self._services.items()
            if service in services and key not in (*self._unreached, *suspects)
        ]
        siblings.sort(key=lambda key: self._responses.get(key, NEVER))
        return siblings[:SIBLINGS_PER_ROUND]

    def _choose_others(self, suspects: Collection[str]) -> list[str]:
        """Choose back ends that show whether this node is at fault."""
        others = [key for key in sorted(self._services) if key not in (*self._unreached, *suspects)]
        start = int(hash_fraction(self._seed + b"%d" % self.rounds) * len(others))
        others = others[start:] + others[:start]
        if not self.is_partitioned:
            # Those that are most likely reached: otherwise, the loss of a whole service could pass
            # for a partition.
            others.sort(key=lambda key: self._responses.get(key, NEVER), reverse=True)
        return others[:OTHERS_PER_ROUND]

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
            events.append(PartitionBegan(tuple(sorted(self._outcomes))))
        self._round_ended_at = now
        self._has_reached_all = outcomes == {ProbeOutcome.REACHED}
        if self._has_reached_all and self._has_overdue:
            self._overdue_reached_at = now
            self._has_overdue = False
        return events

    def _record_unreached(self, now: Seconds) -> list[ReachabilityEvent]:
        new = [
            key
            for key, outcome in self._outcomes.items()
            if outcome is ProbeOutcome.UNREACHED and key not in self._unreached
        ]
        self._unreached.update(dict.fromkeys(new, now))
        self._found_unreached = bool(new)
        for service in {self._services[key] for key in new if key in self._services}:
            self._suspect_service(service, now)
        return [BackendUnreached(key) for key in new]

    def _suspect_service(self, service: str, now: Seconds) -> None:
        """Suspect the other back ends of a service if several are unreached: links are lost."""
        members = [key for key, item in self._services.items() if item == service]
        if sum(key in self._unreached for key in members) < MIN_UNREACHED_OF_SERVICE:
            return
        for key in members:
            if key not in self._unreached and now - self._responses.get(key, NEVER) >= SILENCE:
                self._suspects[key] = None

    def _shows_partition(self, outcomes: set[ProbeOutcome], now: Seconds) -> bool:
        """Whether a round in which no back end was reached shows that none can be.

        Overloaded back ends reset new connections too, but respond on others meanwhile.
        """
        if ProbeOutcome.UNKNOWN in outcomes or not self._includes_others:
            return False
        if ProbeOutcome.TURNED_AWAY not in outcomes:
            return True
        return now - self._responded_at >= SILENCE
