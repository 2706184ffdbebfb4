"""Which requests are quarantined, for how long, and what nodes exchange about them."""

from __future__ import annotations

import itertools

import pytest

from limedeck.forwarding import crashes, quarantine, request_content

BAD, OTHER, THIRD = 1, 2, 3
EVALUATION_DELAY = 0.01 + quarantine.MIN_EVALUATION_DELAY


def fingerprints(number: int) -> request_content.RequestFingerprints:
    """Return the fingerprints of a request, all of them the same number."""
    return request_content.RequestFingerprints(number, number, number)


class Fleet:
    """Nodes that exchange all updates through the first one."""

    def __init__(self, count: int = 3) -> None:
        self.nodes = [quarantine.QuarantineLedger(f"n{number}") for number in range(count)]
        self._names = (f"b{number}" for number in itertools.count())
        self._known_versions: dict[tuple[int, int], int] = {}

    def crash(self, lost: dict[int, list[int]], now: float) -> str:
        """A back end crashes with these requests in flight, listed by node."""
        name = next(self._names)
        for number, requests in lost.items():
            for request in requests:
                self.nodes[number].record_lost_request(name, fingerprints(request), now)
        for number in lost:
            self.nodes[number].record_process_exit(name, now + 0.01)
        self.exchange_updates(now + 0.3)
        self.evaluate(now + 0.3)
        self.evaluate(now + EVALUATION_DELAY)
        return name

    def evaluate(self, now: float) -> None:
        """All nodes evaluate what they know."""
        for node in self.nodes:
            node.handle_tick(now)

    def exchange_updates(self, now: float) -> None:
        """All nodes send their updates to the first one, which forwards them to all others."""
        others = range(1, len(self.nodes))
        for sender, receiver in [(item, 0) for item in others] + [(0, item) for item in others]:
            while self._send_updates(sender, receiver, now):
                pass

    def _send_updates(self, sender: int, receiver: int, now: float) -> bool:
        known_version = self._known_versions.get((sender, receiver), 0)
        updates, self._known_versions[sender, receiver] = self.nodes[sender].updates_since(
            known_version, receiver
        )
        self.nodes[receiver].apply(updates, sender, now)
        return self._known_versions[sender, receiver] > known_version

    def refusing(self, request: int, now: float) -> list[bool]:
        """Return for each node whether it refuses a request."""
        return [node.refused_for(request, now) is not None for node in self.nodes]


def crash_repeatedly(fleet: Fleet, request: int = BAD, start: float = 0.0) -> None:
    for number in range(crashes.MIN_CRASHES):
        fleet.crash({number % len(fleet.nodes): [request]}, start + number)


def test_a_request_that_crashed_three_back_ends_at_different_nodes_is_refused_by_all() -> None:
    fleet = Fleet()
    fleet.crash({0: [BAD]}, 0.0)
    fleet.crash({1: [BAD]}, 1.0)
    assert fleet.refusing(BAD, 1.5) == [False] * 3
    fleet.crash({2: [BAD]}, 2.0)
    assert fleet.refusing(BAD, 3.0) == [True] * 3
    assert fleet.refusing(OTHER, 3.0) == [False] * 3


def test_requests_that_were_lost_beside_it_once_or_twice_are_not_refused() -> None:
    fleet = Fleet()
    fleet.crash({0: [BAD, OTHER], 1: [THIRD]}, 0.0)
    fleet.crash({1: [BAD], 2: [OTHER]}, 1.0)
    fleet.crash({2: [BAD, 7, 8, 9]}, 2.0)
    assert fleet.refusing(BAD, 2.5) == [True] * 3
    for request in (OTHER, THIRD, 7, 8, 9):
        assert fleet.refusing(request, 2.5) == [False] * 3


def test_two_requests_always_lost_together_are_distinguished_by_the_next_crash() -> None:
    fleet = Fleet()
    for number in range(3):
        fleet.crash({0: [BAD], 1: [OTHER]}, float(number))
    assert fleet.refusing(BAD, 3.0) == [False] * 3
    fleet.crash({2: [BAD]}, 4.0)
    assert fleet.refusing(BAD, 4.5) == [True] * 3
    assert fleet.refusing(OTHER, 4.5) == [False] * 3


def test_two_requests_always_lost_together_and_never_served_are_both_refused() -> None:
    fleet = Fleet()
    for number in range(crashes.MIN_CRASHES_IF_TIED):
        assert fleet.refusing(BAD, float(number)) == [False] * 3
        fleet.crash({0: [BAD], 1: [OTHER]}, float(number))
    assert fleet.refusing(BAD, 9.0) == [True] * 3
    assert fleet.refusing(OTHER, 9.0) == [True] * 3


def test_a_request_that_may_have_crashed_three_back_ends_waits_for_the_evaluation() -> None:
    ledger = quarantine.QuarantineLedger("n")
    for number in range(3):
        assert ledger.blocked_until(BAD, number * 0.1) is None
        ledger.record_lost_request(f"b{number}", fingerprints(BAD), number * 0.1)
        ledger.record_lost_request(f"b{number}", fingerprints(10 + number), number * 0.1)
        ledger.record_process_exit(f"b{number}", number * 0.1)
    blocked_until = ledger.blocked_until(BAD, 0.3)
    assert blocked_until is not None
    assert blocked_until == pytest.approx(0.2 + quarantine.MAX_EVALUATION_DELAY)
    assert ledger.blocked_until(10, 0.3) is None
    ledger.handle_tick(blocked_until)
    assert ledger.blocked_until(BAD, blocked_until) is None
    assert ledger.refused_for(BAD, blocked_until) is not None


def test_a_request_served_between_two_crashes_is_cleared_of_the_first() -> None:
    fleet = Fleet()
    for number in range(6):
        fleet.crash({0: [BAD, OTHER]}, float(number))
        fleet.nodes[1].record_served(OTHER, number + 0.5)
        fleet.exchange_updates(number + 0.6)
    assert fleet.refusing(BAD, 6.0) == [True] * 3
    assert fleet.refusing(OTHER, 6.0) == [False] * 3


def test_a_crash_that_a_known_request_explains_counts_against_no_other() -> None:
    fleet = Fleet()
    crash_repeatedly(fleet)
    for number in range(6):
        fleet.crash({0: [BAD], 1: [OTHER]}, 4.0 + number)
    assert fleet.refusing(OTHER, 11.0) == [False] * 3


def test_a_lost_connection_to_a_back_end_that_keeps_running_is_no_crash() -> None:
    ledger = quarantine.QuarantineLedger("n")
    for number in range(6):
        ledger.record_lost_request(f"b{number}", fingerprints(BAD), float(number))
        ledger.record_alive(f"b{number}")
        ledger.record_process_exit(f"b{number}", number + 0.5)
    assert ledger.refused_for(BAD, 7.0) is None
    assert not ledger.suspects_any


def test_an_exit_without_lost_requests_leaves_no_evidence() -> None:
    ledger = quarantine.QuarantineLedger("n")
    ledger.record_process_exit("b", 1.0)
    assert not ledger.suspects_any
    assert ledger.version == 0


def test_a_loss_recorded_after_the_crash_was_reported_counts() -> None:
    fleet = Fleet(2)
    for number in range(3):
        name = fleet.crash({0: [OTHER + number]}, float(number))
        fleet.nodes[1].record_lost_request(name, fingerprints(BAD), number + 0.5)
    fleet.exchange_updates(3.0)
    fleet.evaluate(3.5)
    assert fleet.refusing(BAD, 3.5) == [True, True]


def test_a_quarantine_ends_and_one_crash_begins_a_longer_one() -> None:
    fleet = Fleet()
    crash_repeatedly(fleet)
    ended = 3.0 + quarantine.BASE_QUARANTINE_TIME + quarantine.TRIAL_SPREAD
    assert fleet.refusing(BAD, 2.5 + quarantine.BASE_QUARANTINE_TIME - 1.0) == [True] * 3
    assert fleet.refusing(BAD, ended) == [False] * 3
    fleet.crash({1: [BAD]}, ended)
    assert fleet.refusing(BAD, ended + 1.0) == [True] * 3
    again = fleet.nodes[0].refused_for(BAD, ended + 1.0)
    assert again is not None
    assert again > quarantine.BASE_QUARANTINE_TIME * 1.9


def test_nodes_try_a_request_at_different_times_and_one_at_a_time() -> None:
    fleet = Fleet(40)
    crash_repeatedly(fleet)
    opened = [
        [not refused for refused in fleet.refusing(BAD, 125.0 + step)].count(True)
        for step in range(30)
    ]
    assert opened[0] <= 8
    assert opened[-1] >= 32
    ledger = fleet.nodes[0]
    at = 3.0 + quarantine.BASE_QUARANTINE_TIME + quarantine.TRIAL_SPREAD
    assert ledger.refused_for(BAD, at) is None
    ledger.record_sent(BAD, at)
    assert ledger.refused_for(BAD, at + 1.0) is not None
    assert ledger.refused_for(BAD, at + quarantine.TRIAL_INTERVAL) is None


def test_a_trial_that_is_served_ends_the_quarantine_at_all_nodes() -> None:
    fleet = Fleet()
    crash_repeatedly(fleet)
    at = 3.0 + quarantine.BASE_QUARANTINE_TIME + quarantine.TRIAL_SPREAD
    fleet.nodes[2].record_served(BAD, at)
    fleet.exchange_updates(at + 0.1)
    assert all(not node.quarantines() for node in fleet.nodes)
    fleet.crash({0: [BAD]}, at + 1.0)
    assert fleet.refusing(BAD, at + 2.0) == [False] * 3


def test_a_node_that_has_just_started_receives_all_quarantines() -> None:
    fleet = Fleet()
    crash_repeatedly(fleet)
    fleet.nodes.append(quarantine.QuarantineLedger("new"))
    fleet.exchange_updates(50.0)
    assert fleet.refusing(BAD, 50.0) == [True] * 4


def test_updates_are_sent_once_and_not_back_to_their_source() -> None:
    fleet = Fleet(2)
    fleet.crash({1: [BAD]}, 0.0)
    fleet.exchange_updates(1.0)
    updates, _ = fleet.nodes[0].updates_since(0, 1)
    assert updates == []
    versions = [node.version for node in fleet.nodes]
    fleet.exchange_updates(2.0)
    assert [node.version for node in fleet.nodes] == versions


def test_memory_and_messages_are_bounded_under_thousands_of_requests() -> None:
    ledger = quarantine.QuarantineLedger("n")
    for request in range(3_000):
        for incarnation in range(3):
            backend = f"b{request}-{incarnation}"
            ledger.record_lost_request(backend, fingerprints(request), request * 0.01)
            ledger.record_process_exit(backend, request * 0.01)
        ledger.handle_tick(request * 0.01)
    ledger.handle_tick(60.0)
    assert len(ledger.quarantines()) == quarantine.MAX_QUARANTINES
    assert ledger.refused_for(2_999, 50.0) is not None
    items = 0
    known_version = 0
    while True:
        updates, known_version = ledger.updates_since(known_version, None)
        if not updates:
            break
        assert (
            sum(map(quarantine._fingerprint_count, updates)) <= quarantine.MAX_UPDATE_FINGERPRINTS
        )
        items += len(updates)
    assert items <= quarantine.MAX_QUARANTINES + crashes.MAX_CRASHES + crashes.MAX_SERVED


def test_requests_lost_in_one_crash_are_bounded_and_the_likely_ones_are_kept() -> None:
    ledger = quarantine.QuarantineLedger("n")
    for number in range(3):
        for request in range(1_000 * (number + 1), 1_000 * (number + 1) + 60):
            ledger.record_lost_request(f"b{number}", fingerprints(request), float(number))
        ledger.record_lost_request(f"b{number}", fingerprints(BAD), float(number))
        ledger.record_process_exit(f"b{number}", float(number))
    ledger.handle_tick(3.0)
    assert ledger.refused_for(BAD, 3.0) is not None


def test_old_evidence_is_forgotten() -> None:
    fleet = Fleet(1)
    fleet.crash({0: [BAD]}, 0.0)
    fleet.crash({0: [BAD]}, 1.0)
    fleet.nodes[0].handle_tick(1.0 + crashes.EVIDENCE_LIFETIME + 1.0)
    fleet.crash({0: [BAD]}, 400.0)
    assert fleet.refusing(BAD, 401.0) == [False]
