"""Which back ends this node reaches, as shown by probes.

Three facts are kept apart: a node that reaches no back end is partitioned; a back end that this
node does not reach while it reaches others is unreached; a back end that no node reaches has
failed. A failed attempt only causes a round of probes, since it may be the fault of the back end,
and a response only shows that an open connection works, while new ones may be refused. Where
connections are accepted and no request gets a response, `exchange_evidence` decides instead, and
only a response ends the partition.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from limedeck.forwarding import probe_choice
from limedeck.forwarding.exchange_evidence import SILENCE, ExchangeEvidence, LinkBelief
from limedeck.forwarding.reachability_events import (
    BackendReached,
    BackendUnreached,
    ExchangesFailing,
    PartitionBegan,
    PartitionEnded,
    PartitionEvidence,
    ProbeOutcome,
    ReachabilityEvent,
)
from limedeck.identity import NEVER, Seconds

MAX_SUSPECTS_PER_ROUND = 4
"""Suspected back ends in a round."""
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


class Reachability:
    """One node's belief about which back ends it reaches.

    Attributes
    ----------
    is_partitioned
        Whether this node reaches no back end.
    rounds
        Number of rounds of probes that have ended.
    exchanges
        What failed requests show where connections are accepted.
    """

    def __init__(self, node_id: str) -> None:
        self.is_partitioned = False
        self.rounds = 0
        self.exchanges = ExchangeEvidence()
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
        self._has_been_turned_away = False
        self._services: Mapping[str, str] = {}
        self._includes_others = False
        self._pending: set[str] = set()
        self._outcomes: dict[str, ProbeOutcome] = {}

    def is_unreached(self, backend_id: str) -> bool:
        """Whether this node does not reach a back end."""
        return self.is_partitioned or backend_id in self._unreached

    def has_broken_link(self, backend_id: str) -> bool:
        """Whether requests sent to a back end on own connections are taken not to arrive."""
        return self.is_unreached(backend_id) or self.is_doubted

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

    def has_responded_since(self, since: Seconds) -> bool:
        """Whether a back end has responded on a connection of this node since a time."""
        return self._responded_at >= since

    @property
    def is_doubted(self) -> bool:
        """Whether requests on connections of this node get no responses, as far as is known."""
        return self.exchanges.belief is not LinkBelief.WORKING

    def is_in_doubt(self, now: Seconds) -> bool:
        """Whether requests fail, no back end responds, and the cause is not decided yet."""
        if self.is_partitioned or self._responded_at >= now - SILENCE:
            return False
        return self.exchanges.is_undecided(now) or self.exchanges.awaits_probes(
            self._reached_at, now
        )

    def record_response(self, backend_id: str, now: Seconds) -> list[ReachabilityEvent]:
        """Record that a back end responded to this node on a connection of its own."""
        self._responded_at = now
        self._responses[backend_id] = now
        was_cut_off = self.exchanges.belief is LinkBelief.CUT_OFF
        self.exchanges.record_response(now)
        return self._end_partition(now) if was_cut_off else []

    def evaluate_exchanges(
        self, overdue: Collection[str], listed: Mapping[str, str], now: Seconds
    ) -> list[ReachabilityEvent]:
        """Decide whether failed requests raise a suspicion; see `ExchangeEvidence.evaluate`."""
        if self.is_partitioned:
            return []
        reached_at = self._reached_at
        if not self.exchanges.evaluate(overdue, listed, self._responses, reached_at, now):
            return []
        return [ExchangesFailing(self.exchanges.failing_backends)]

    def record_served_by_other(self, now: Seconds) -> list[ReachabilityEvent]:
        """Record that a back end responded to this node through another node."""
        if self.is_partitioned or not self.exchanges.record_served_by_other(now):
            return []
        self.is_partitioned = True
        self._partitioned_at = now
        failing = self.exchanges.failing_backends
        return [PartitionBegan(failing, PartitionEvidence.EXCHANGES)]

    def suspect(self, backend_id: str) -> None:
        """Record that an attempt failed in a way that a broken link could cause."""
        self._suspects[backend_id] = None

    def suspect_overdue(self, backend_ids: Iterable[str], now: Seconds) -> None:
        """Record that responses of back ends are late."""
        overdue = dict.fromkeys(backend_ids)
        if overdue and now - self._overdue_reached_at >= OVERDUE_ROUND_INTERVAL:
            self._suspects.update(overdue)
            self._has_overdue = True

    @property
    def has_pending_probes(self) -> bool:
        """Whether a round of probes is in progress or was asked for."""
        return bool(self._pending or self._suspects)

    def is_round_due(self, waiting_since: Seconds | None, now: Seconds) -> bool:
        """Whether a round of probes is due; see `next_probes`."""
        if self._pending or now < self._round_ended_at + self._round_interval(now):
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
            chosen += probe_choice.choose_siblings(chosen, self._unreached, listed, self._responses)
        others: list[str] = []
        if needs_others or self.is_partitioned:
            # Those that are most likely reached: otherwise, the loss of a whole service could pass
            # for a partition.
            responses = {} if self.is_partitioned else self._responses
            salt = self._seed + b"%d" % self.rounds
            excluded = (*self._unreached, *chosen)
            others = probe_choice.choose_others(excluded, listed, responses, salt)
        self._includes_others = bool(others) or len(chosen) == len(listed)
        chosen += others
        self._pending = set(chosen)
        self._outcomes = {}
        return chosen

    @property
    def _needs_probes(self) -> bool:
        return self.is_partitioned or bool(self._unreached)

    def _round_interval(self, now: Seconds) -> Seconds:
        if self._suspects and self._found_unreached:
            return 0.0
        if self.exchanges.needs_probes(self._reached_at, now):
            return MIN_ROUND_INTERVAL
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
        if self.is_partitioned and self._has_been_turned_away and not self.is_doubted:
            self.exchanges.require_response(now)
        if self.exchanges.belief is LinkBelief.CUT_OFF and not self.exchanges.has_no_link_trials(
            now
        ):
            return []
        self._reached_at = now
        events = self._end_partition(now)
        since = self._unreached.pop(backend_id, None)
        if since is not None:
            events.append(BackendReached(backend_id, now - since))
        return events

    def _end_partition(self, now: Seconds) -> list[ReachabilityEvent]:
        if not self.is_partitioned:
            return []
        self.is_partitioned = False
        self.exchanges.clear()
        return [PartitionEnded(now - self._partitioned_at)]

    def _end_round(self, now: Seconds) -> list[ReachabilityEvent]:
        self.rounds += 1
        outcomes = set(self._outcomes.values())
        events: list[ReachabilityEvent] = []
        if ProbeOutcome.REACHED in outcomes:
            events = self._record_unreached(now)
        elif not self.is_partitioned and self._shows_partition(outcomes, now):
            self.is_partitioned = True
            self._partitioned_at = now
            self._has_been_turned_away = False
            self.exchanges.clear()
            events.append(PartitionBegan(tuple(sorted(self._outcomes))))
        self._has_been_turned_away |= ProbeOutcome.TURNED_AWAY in outcomes
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
