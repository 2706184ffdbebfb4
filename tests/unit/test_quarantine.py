"""Which requests are found to end back ends, for how long they are refused, and what nodes tell."""

from __future__ import annotations

import itertools

import pytest

from limedeck.forwarding import crashes, quarantine, request_content

BAD, OTHER, THIRD = 1, 2, 3
JUDGED = 0.01 + quarantine.GATHERING


def fingerprints(number: int) -> request_content.RequestFingerprints:
    """A request that is known by one number, however widely it is looked at."""
    return request_content.RequestFingerprints(number, number, number)


class Fleet:
    """Nodes that tell each other everything, through the first one."""

    def __init__(self, count: int = 3) -> None:
        self.nodes = [quarantine.QuarantineLedger(f"n{number}") for number in range(count)]
        self._names = (f"b{number}" for number in itertools.count())
        self._told: dict[tuple[int, int], int] = {}

    def crash(self, lost: dict[int, list[int]], now: float) -> str:
        """A back end ends; these requests were under way at it, by node."""
        name = next(self._names)
        for number, requests in lost.items():
            for request in requests:
                self.nodes[number].record_lost_request(name, fingerprints(request), now)
        for number in lost:
            self.nodes[number].record_process_exit(name, now + 0.01)
        self.tell(now + 0.3)
        self.judge(now + 0.3)
        self.judge(now + JUDGED)
        return name

    def judge(self, now: float) -> None:
        """All nodes look at what they know."""
        for node in self.nodes:
            node.handle_tick(now)

    def tell(self, now: float) -> None:
        """All nodes tell the first one what is new, and it tells all others."""
        others = range(1, len(self.nodes))
        for one, other in [(item, 0) for item in others] + [(0, item) for item in others]:
            while self._tell_once(one, other, now):
                pass

    def _tell_once(self, one: int, other: int, now: float) -> bool:
        told = self._told.get((one, other), 0)
        news, self._told[one, other] = self.nodes[one].updates_since(told, other)
        self.nodes[other].apply(news, one, now)
        return self._told[one, other] > told

    def refusing(self, request: int, now: float) -> list[bool]:
        """Which nodes refuse a request."""
        return [node.refused_for(request, now) is not None for node in self.nodes]


def convict(fleet: Fleet, request: int = BAD, start: float = 0.0) -> None:
    for number in range(crashes.MIN_CRASHES):
        fleet.crash({number % len(fleet.nodes): [request]}, start + number)


def test_what_has_ended_three_back_ends_at_different_nodes_is_refused_by_all() -> None:
    fleet = Fleet()
    fleet.crash({0: [BAD]}, 0.0)
    fleet.crash({1: [BAD]}, 1.0)
    assert fleet.refusing(BAD, 1.5) == [False] * 3
    fleet.crash({2: [BAD]}, 2.0)
    assert fleet.refusing(BAD, 3.0) == [True] * 3
    assert fleet.refusing(OTHER, 3.0) == [False] * 3


def test_what_ran_beside_it_once_or_twice_is_not_refused() -> None:
    fleet = Fleet()
    fleet.crash({0: [BAD, OTHER], 1: [THIRD]}, 0.0)
    fleet.crash({1: [BAD], 2: [OTHER]}, 1.0)
    fleet.crash({2: [BAD, 7, 8, 9]}, 2.0)
    assert fleet.refusing(BAD, 2.5) == [True] * 3
    for request in (OTHER, THIRD, 7, 8, 9):
        assert fleet.refusing(request, 2.5) == [False] * 3


def test_two_that_were_always_lost_together_are_told_apart_by_the_next_crash() -> None:
    fleet = Fleet()
    for number in range(3):
        fleet.crash({0: [BAD], 1: [OTHER]}, float(number))
    assert fleet.refusing(BAD, 3.0) == [False] * 3
    fleet.crash({2: [BAD]}, 4.0)
    assert fleet.refusing(BAD, 4.5) == [True] * 3
    assert fleet.refusing(OTHER, 4.5) == [False] * 3


def test_two_that_are_never_apart_nor_served_are_both_refused_in_the_end() -> None:
    fleet = Fleet()
    for number in range(crashes.MIN_CRASHES_IF_TIED):
        assert fleet.refusing(BAD, float(number)) == [False] * 3
        fleet.crash({0: [BAD], 1: [OTHER]}, float(number))
    assert fleet.refusing(BAD, 9.0) == [True] * 3
    assert fleet.refusing(OTHER, 9.0) == [True] * 3


def test_what_may_have_ended_three_waits_until_it_is_judged() -> None:
    ledger = quarantine.QuarantineLedger("n")
    for number in range(3):
        assert ledger.blocked_until(BAD, number * 0.1) is None
        ledger.record_lost_request(f"b{number}", fingerprints(BAD), number * 0.1)
        ledger.record_lost_request(f"b{number}", fingerprints(10 + number), number * 0.1)
        ledger.record_process_exit(f"b{number}", number * 0.1)
    held = ledger.blocked_until(BAD, 0.3)
    assert held is not None
    assert held == pytest.approx(0.2 + quarantine.MAX_JUDGEMENT_DELAY)
    assert ledger.blocked_until(10, 0.3) is None
    ledger.handle_tick(held)
    assert ledger.blocked_until(BAD, held) is None
    assert ledger.refused_for(BAD, held) is not None


def test_what_was_served_between_two_crashes_is_cleared_of_the_first() -> None:
    fleet = Fleet()
    for number in range(6):
        fleet.crash({0: [BAD, OTHER]}, float(number))
        fleet.nodes[1].record_served(OTHER, number + 0.5)
        fleet.tell(number + 0.6)
    assert fleet.refusing(BAD, 6.0) == [True] * 3
    assert fleet.refusing(OTHER, 6.0) == [False] * 3


def test_a_crash_that_a_known_request_explains_speaks_against_no_other() -> None:
    fleet = Fleet()
    convict(fleet)
    for number in range(6):
        fleet.crash({0: [BAD], 1: [OTHER]}, 4.0 + number)
    assert fleet.refusing(OTHER, 11.0) == [False] * 3


def test_a_lost_connection_to_a_back_end_that_goes_on_is_no_crash() -> None:
    ledger = quarantine.QuarantineLedger("n")
    for number in range(6):
        ledger.record_lost_request(f"b{number}", fingerprints(BAD), float(number))
        ledger.record_alive(f"b{number}")
        ledger.record_process_exit(f"b{number}", number + 0.5)
    assert ledger.refused_for(BAD, 7.0) is None
    assert not ledger.suspects_any


def test_a_back_end_that_ends_by_itself_leaves_nothing() -> None:
    ledger = quarantine.QuarantineLedger("n")
    ledger.record_process_exit("b", 1.0)
    assert not ledger.suspects_any
    assert ledger.version == 0


def test_a_loss_that_is_seen_after_the_crash_was_told_counts() -> None:
    fleet = Fleet(2)
    for number in range(3):
        name = fleet.crash({0: [OTHER + number]}, float(number))
        fleet.nodes[1].record_lost_request(name, fingerprints(BAD), number + 0.5)
    fleet.tell(3.0)
    fleet.judge(3.5)
    assert fleet.refusing(BAD, 3.5) == [True, True]


def test_a_quarantine_ends_and_one_crash_begins_a_longer_one() -> None:
    fleet = Fleet()
    convict(fleet)
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
    convict(fleet)
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


def test_a_trial_that_is_answered_ends_the_quarantine_everywhere() -> None:
    fleet = Fleet()
    convict(fleet)
    at = 3.0 + quarantine.BASE_QUARANTINE_TIME + quarantine.TRIAL_SPREAD
    fleet.nodes[2].record_served(BAD, at)
    fleet.tell(at + 0.1)
    assert all(not node.quarantines() for node in fleet.nodes)
    fleet.crash({0: [BAD]}, at + 1.0)
    assert fleet.refusing(BAD, at + 2.0) == [False] * 3


def test_a_node_that_has_just_started_is_told_all_of_it() -> None:
    fleet = Fleet()
    convict(fleet)
    fleet.nodes.append(quarantine.QuarantineLedger("new"))
    fleet.tell(50.0)
    assert fleet.refusing(BAD, 50.0) == [True] * 4


def test_news_is_told_once_and_not_back_to_whom_it_came_from() -> None:
    fleet = Fleet(2)
    fleet.crash({1: [BAD]}, 0.0)
    fleet.tell(1.0)
    news, _ = fleet.nodes[0].updates_since(0, 1)
    assert news == []
    versions = [node.version for node in fleet.nodes]
    fleet.tell(2.0)
    assert [node.version for node in fleet.nodes] == versions


def test_memory_and_messages_are_bounded_under_thousands_of_requests() -> None:
    ledger = quarantine.QuarantineLedger("n")
    for request in range(3_000):
        for life in range(3):
            backend = f"b{request}-{life}"
            ledger.record_lost_request(backend, fingerprints(request), request * 0.01)
            ledger.record_process_exit(backend, request * 0.01)
        ledger.handle_tick(request * 0.01)
    ledger.handle_tick(60.0)
    assert len(ledger.quarantines()) == quarantine.MAX_QUARANTINES
    assert ledger.refused_for(2_999, 50.0) is not None
    items = 0
    told = 0
    while True:
        news, told = ledger.updates_since(told, None)
        if not news:
            break
        assert sum(map(quarantine._fingerprint_count, news)) <= quarantine.MOST_TOLD
        items += len(news)
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
