"""Tests of the election's state machine: events in, commands out."""

from __future__ import annotations

from dataclasses import replace

import pytest

from limedeck import staggering, versions
from limedeck.api.control_pb2 import FormerLeader, LeaderRecord
from limedeck.ownership import candidate_priority, terms
from limedeck.ownership.election import (
    UNCONFIRMED_TERMS,
    UNINFORMED_CANDIDATE_DELAY,
    ElectionCore,
)
from limedeck.ownership.election_events import (
    Campaign,
    Confirm,
    LeaderReadResult,
    ReadLeader,
    Role,
    Suspicion,
)
from limedeck.ownership.timing import OwnershipTiming

TIMING = OwnershipTiming()
ME = LeaderRecord(node_id="node-a", incarnation=11, peer_address="127.0.0.1:7001")
OTHER = LeaderRecord(term=4, node_id="node-b", incarnation=22, peer_address="127.0.0.1:7002")


def follower_of_other(now: float = 100.0) -> ElectionCore:
    core = ElectionCore(ME, TIMING, now)
    core.handle_leader_read(LeaderReadResult(OTHER, 40, 0.1), now)
    return core


def next_command(core: ElectionCore, since: float, until: float) -> tuple[object, float]:
    """Tick until the core returns a command."""
    now = since
    while now < until:
        command = core.handle_tick(now)
        if command is not None:
            return command, now
        now += 0.05
    return None, now


def campaign_of(core: ElectionCore, seen: LeaderReadResult, since: float) -> tuple[Campaign, float]:
    """Return the same rows for each read until the core campaigns."""
    now = since
    for _ in range(10):
        command, now = next_command(core, now, now + 3.0)
        if isinstance(command, Campaign):
            return command, now
        assert isinstance(command, ReadLeader)
        core.handle_leader_read(seen, now)
    raise AssertionError("it never campaigned")


def test_node_without_a_record_reads_then_campaigns() -> None:
    core = ElectionCore(ME, TIMING, 0.0)
    command, now = next_command(core, 0.0, 2.0)
    assert command == ReadLeader(Suspicion.NO_RECORD)
    core.handle_leader_read(LeaderReadResult(None, 0, None), now)
    command, now = next_command(core, now, now + 2.0)
    assert isinstance(command, Campaign)
    assert (command.record.term, command.row_version) == (1, 0)
    core.handle_elected(command.record, 7, now)
    assert core.role is Role.LEADER
    command, now = next_command(core, now, now + 2.0)
    assert command == Confirm(1, 7)


@pytest.mark.parametrize("processor", [0.43, 2.15])
def test_restarted_node_reads_the_leader_at_once(processor: float) -> None:
    """On zhbs-gate-large trouble-1, restarted weak nodes first read 0.23 s to 0.48 s later."""
    later = ElectionCore(ME, TIMING, 7.0, processor, first_start=False)
    assert later.handle_tick(7.0) == ReadLeader(Suspicion.NO_RECORD)
    first = ElectionCore(ME, TIMING, 7.0, processor, first_start=True)
    assert first.handle_tick(7.0) is None


def test_leader_with_heartbeats_is_not_suspected() -> None:
    core = follower_of_other()
    for step in range(100):
        now = 100.0 + step * 0.1
        core.handle_heartbeat(4, 0.0, now)
        assert core.handle_tick(now) is None


def test_silent_leader_with_a_recent_confirmation_is_not_replaced() -> None:
    core = follower_of_other()
    command, now = next_command(core, 100.0, 103.0)
    assert command == ReadLeader(Suspicion.SILENT)
    core.handle_leader_read(LeaderReadResult(OTHER, 40, 0.3), now)
    command, later = next_command(core, now, now + 1.0)
    assert isinstance(command, ReadLeader)
    core.handle_leader_read(LeaderReadResult(OTHER, 40, 0.3), later)
    assert core.role is Role.FOLLOWER


def test_silent_leader_with_a_stale_confirmation_is_replaced() -> None:
    core = follower_of_other()
    _, now = next_command(core, 100.0, 103.0)
    core.handle_leader_read(LeaderReadResult(OTHER, 40, TIMING.stale_confirmation + 0.1), now)
    command, now = next_command(core, now, now + 0.3)
    assert isinstance(command, Campaign)
    assert (command.record.term, command.row_version) == (5, 40)


def test_node_elected_after_a_denial_leads() -> None:
    """On trouble-1, each elected node stayed a follower, and the term rose four times a second."""
    core = follower_of_other()
    core.handle_denial(4, 99, False)
    command, now = campaign_of(core, LeaderReadResult(OTHER, 40, 0.1), 100.0)
    assert now < 100.6
    core.handle_elected(command.record, 41, now)
    assert core.role is Role.LEADER


def test_denial_by_the_incarnation_in_the_record_is_ignored() -> None:
    core = follower_of_other()
    core.handle_denial(4, OTHER.incarnation, False)
    assert core.handle_tick(100.3) is None


def test_resigned_leader_is_replaced_at_once() -> None:
    core = follower_of_other()
    core.handle_denial(4, OTHER.incarnation, True)
    command, now = campaign_of(core, LeaderReadResult(OTHER, 40, 0.1), 100.0)
    assert command.why is Suspicion.DENIED
    assert now < 100.6


def test_denial_for_an_earlier_term_is_ignored() -> None:
    core = follower_of_other()
    core.handle_denial(3, 99, False)
    assert core.handle_tick(100.3) is None


def test_election_whose_response_was_lost_is_detected_by_reading() -> None:
    core = follower_of_other()
    core.handle_denial(4, 99, False)
    command, now = campaign_of(core, LeaderReadResult(OTHER, 40, 0.1), 100.0)
    assert now < 100.6
    core.handle_store_failure(now)
    command_after, now = next_command(core, now + 0.1, now + 2.0)
    assert isinstance(command_after, ReadLeader)
    core.handle_leader_read(LeaderReadResult(command.record, 41, None), now)
    assert core.role is Role.LEADER


def test_leadership_of_an_earlier_incarnation_is_not_resumed() -> None:
    core = ElectionCore(ME, TIMING, 0.0)
    earlier = LeaderRecord(term=3, node_id="node-a", incarnation=10)
    _, now = next_command(core, 0.0, 1.0)
    core.handle_leader_read(LeaderReadResult(earlier, 9, 0.05), now)
    assert core.role is Role.FOLLOWER
    command, _ = next_command(core, now, now + 1.0)
    assert isinstance(command, Campaign)
    assert command.record.term == 4


def test_leader_that_reads_another_record_becomes_follower() -> None:
    core = ElectionCore(ME, TIMING, 0.0)
    core.handle_elected(LeaderRecord(term=3, node_id="node-a", incarnation=11), 30, 0.0)
    core.handle_leader_read(LeaderReadResult(OTHER, 40, None), 1.0)
    assert core.role is Role.FOLLOWER


def test_renewals_stop_after_max_unconfirmed_time() -> None:
    core = ElectionCore(ME, TIMING, 0.0)
    core.handle_elected(LeaderRecord(term=3, node_id="node-a", incarnation=11), 30, 0.0)
    assert core.may_renew(TIMING.max_unconfirmed_time - 0.1)
    assert not core.may_renew(TIMING.max_unconfirmed_time + 0.1)
    core.handle_confirmed(10.0)
    assert core.may_renew(TIMING.max_unconfirmed_time + 5.0)


def test_leader_without_store_is_succeeded_by_a_strong_node() -> None:
    """On zhbs-gate-large trouble-1, two weak nodes led alternately, for three seconds each."""
    processors = [2.15 if number % 13 == 0 else 0.43 for number in range(195)]
    fleet = candidate_priority.describe_fleet(processors)
    row = LeaderReadResult(OTHER, 40, 5.0)
    candidacies_at: list[tuple[float, int]] = []
    for number, processor in enumerate(processors):
        identity = LeaderRecord(node_id=f"node-{number}", incarnation=number + 100)
        core = ElectionCore(identity, TIMING, 0.0, processor)
        core.handle_leader_read(row, 0.0)
        silence = 1.0
        while not isinstance(command := core.handle_tick(silence), Campaign):
            core.handle_heartbeat(OTHER.term, silence, silence, fleet)
            if command is not None:
                core.handle_leader_read(row, silence)
            silence = round(silence + 0.05, 2)
            assert silence < 15.0
        candidacies_at.append((silence, number))
    candidacies_at.sort()
    stood_in_half_a_second = [
        number for at, number in candidacies_at if at < candidacies_at[0][0] + 0.5
    ]
    assert len(stood_in_half_a_second) <= 8
    assert all(number % 13 == 0 for number in stood_in_half_a_second)
    assert candidacies_at[0][0] < TIMING.unconfirmed_leader_timeout + 2.0


def test_equally_weak_nodes_do_not_wait_for_strong_ones() -> None:
    equal = candidate_priority.CandidatePriority(0.43, TIMING.max_weak_node_delay)
    equal.fleet = candidate_priority.describe_fleet([0.43] * 78)
    assert equal.weak_node_delay == 0.0
    assert equal.staggered_delay(0.0) == 0.0
    weak = candidate_priority.CandidatePriority(0.43, TIMING.max_weak_node_delay)
    weak.fleet = candidate_priority.describe_fleet([0.43, 2.15, 2.15])
    assert weak.staggered_delay(0.0) > max(staggering.delay(1.0, 2), 0.0)


def test_leader_without_store_is_replaced_if_its_confirmation_is_stale() -> None:
    core = follower_of_other()
    core.handle_heartbeat(4, TIMING.unconfirmed_leader_timeout + 0.1, 100.2)
    command, _ = campaign_of(core, LeaderReadResult(OTHER, 40, 2.5), 100.2)
    assert command.why is Suspicion.STORE_UNREACHABLE


def test_elected_node_lists_former_leaders_until_they_have_ended() -> None:
    core = follower_of_other()
    core.handle_denial(4, 99, False)
    earlier = LeaderRecord()
    earlier.CopyFrom(OTHER)
    earlier.former.add(node_id="node-c", incarnation=5)
    earlier.former.add(node_id="node-a", incarnation=3)
    command, now = campaign_of(core, LeaderReadResult(earlier, 40, 0.1), 101.0)
    assert [(item.node_id, item.incarnation) for item in command.record.former] == [
        ("node-c", 5),
        ("node-b", 22),
    ]
    core.handle_elected(command.record, 41, now)
    core.handle_former_leader_ended(core.former_leaders()[1])
    assert [item.node_id for item in core.former_leaders()] == ["node-c"]


def test_former_leader_that_led_again_is_listed_again() -> None:
    """In the simulation, it counted as ended because it had ended in an earlier term."""
    core = ElectionCore(ME, TIMING, 0.0)
    first = LeaderRecord(term=3, node_id="node-a", incarnation=11)
    first.former.add(node_id="node-b", incarnation=22, term=2)
    core.handle_elected(first, 30, 0.0)
    core.handle_former_leader_ended(core.former_leaders()[0])
    assert core.former_leaders() == []
    second = LeaderRecord(term=5, node_id="node-a", incarnation=11)
    second.former.add(node_id="node-b", incarnation=22, term=4)
    core.handle_elected(second, 50, 9.0)
    assert [item.term for item in core.former_leaders()] == [4]


def test_election_in_a_superseded_term_is_ignored() -> None:
    core = follower_of_other()
    core.handle_denial(4, 99, False)
    command, now = campaign_of(core, LeaderReadResult(OTHER, 40, 0.1), 101.0)
    core.handle_superseded(6)
    core.handle_elected(command.record, 41, now)
    assert core.role is Role.FOLLOWER


def test_leader_stops_renewing_when_a_later_term_is_known() -> None:
    core = ElectionCore(ME, TIMING, 0.0)
    core.handle_elected(LeaderRecord(term=3, node_id="node-a", incarnation=11), 30, 0.0)
    core.handle_superseded(3)
    assert core.role is Role.LEADER
    core.handle_superseded(4)
    assert not core.may_renew(0.1)


def test_strong_node_stands_before_a_weak_one() -> None:
    """On klvs-gateway-grown, a leader with 0.43 of a core could not respond to 77 nodes."""
    waits = {}
    for processor in (0.43, 1.0, 2.15):
        core = ElectionCore(ME, TIMING, 0.0, processor)
        core.handle_leader_read(LeaderReadResult(OTHER, 40, 0.0), 0.0)
        core.handle_heartbeat(OTHER.term, 0.0, 0.0)
        now = 0.0
        while core.handle_tick(now) is None:
            now += 0.01
        waits[processor] = now
    assert waits[2.15] == waits[1.0]
    assert waits[0.43] - waits[1.0] == pytest.approx(0.57 * TIMING.max_weak_node_delay, abs=0.02)


def test_resigned_leader_of_a_large_fleet_is_succeeded_by_a_strong_node() -> None:
    """On zhbs-gate-large scale-1, 152 of 195 nodes campaigned at once, and a weak one won."""
    weak, strong = 0.43, 2.15
    cores = {
        f"node-{number}": ElectionCore(
            LeaderRecord(node_id=f"node-{number}", incarnation=number + 100),
            TIMING,
            0.0,
            strong if number % 13 == 0 else weak,
        )
        for number in range(195)
    }
    row = LeaderReadResult(OTHER, 40, 0.1)
    for core in cores.values():
        core.handle_leader_read(row, 0.0)
        core.handle_denial(OTHER.term, OTHER.incarnation, True)
    resigned = ElectionCore(OTHER, TIMING, 0.0)
    resigned.handle_leader_read(row, 0.0)
    resigned.resign()
    campaigns = 0
    readings = 0
    for step in range(20):
        now = step * 0.05
        if isinstance(resigned.handle_tick(now), ReadLeader):
            resigned.handle_leader_read(row, now)
        if resigned.term > OTHER.term and resigned.record is not None:
            for core in cores.values():
                core.handle_peer_record(resigned.record, resigned.row_version, now)
        asked = {name: core.handle_tick(now) for name, core in cores.items()}
        candidacies = {
            name: command for name, command in asked.items() if isinstance(command, Campaign)
        }
        campaigns += len(candidacies)
        readings += sum(isinstance(command, ReadLeader) for command in asked.values())
        for name, command in asked.items():
            if isinstance(command, Campaign) and command.row_version == row.row_version:
                row = LeaderReadResult(command.record, row.row_version + 1, 0.0)
                cores[name].handle_elected(command.record, row.row_version, now)
            elif command is not None and not isinstance(command, Confirm):
                cores[name].handle_leader_read(row, now)
    leaders = [name for name, core in cores.items() if core.role is Role.LEADER]
    assert len(leaders) == 1
    assert int(leaders[0].removeprefix("node-")) % 13 == 0
    assert campaigns <= 10
    assert readings <= 40
    followed = {core.record.node_id for core in cores.values() if core.record is not None}
    assert followed == {leaders[0]}


def test_older_record_from_a_peer_is_ignored() -> None:
    core = follower_of_other()
    core.handle_peer_record(LeaderRecord(term=3, node_id="node-c", incarnation=9), 39, 100.1)
    core.handle_peer_record(LeaderRecord(term=5, node_id="node-c", incarnation=9), 40, 100.1)
    assert core.record == OTHER
    core.handle_peer_record(LeaderRecord(term=5, node_id="node-c", incarnation=9), 41, 100.1)
    assert core.record is not None
    assert core.record.node_id == "node-c"


def test_own_record_from_a_peer_makes_the_node_lead() -> None:
    """The store's response to its campaign was lost, and another node has read the record."""
    core = follower_of_other()
    mine = LeaderRecord()
    mine.CopyFrom(ME)
    mine.term = 5
    core.handle_peer_record(mine, 41, 100.1)
    assert core.role is Role.LEADER


def leader_at(now: float) -> ElectionCore:
    """Return a node that has just been elected in its first term."""
    core = ElectionCore(ME, TIMING, now)
    record = LeaderRecord()
    record.CopyFrom(ME)
    record.term = 1
    core.handle_elected(record, 50, now)
    assert core.role is Role.LEADER
    return core


def test_leader_yields_only_after_min_leadership_time() -> None:
    """Otherwise two nodes that reach equally few owners would keep yielding to each other."""
    core = leader_at(10.0)
    core.handle_confirmed(10.0 + TIMING.min_leadership_time - 0.2)
    assert not core.may_yield(10.0 + TIMING.min_leadership_time - 0.1)
    assert core.may_yield(10.0 + TIMING.min_leadership_time)


def test_leader_does_not_yield_without_recent_confirmation() -> None:
    """No other node could be elected, and all leases would end."""
    core = leader_at(10.0)
    core.handle_confirmed(20.0)
    assert core.may_yield(20.0 + TIMING.stale_confirmation - 0.1)
    assert not core.may_yield(20.0 + TIMING.stale_confirmation + 0.1)


def test_leader_that_has_yielded_does_not_stand_during_the_cooldown() -> None:
    core = leader_at(10.0)
    core.yield_leadership(15.0)
    assert core.role is Role.FOLLOWER
    assert core.is_ineligible(15.0)
    now = 15.0
    while now < 15.0 + TIMING.yield_cooldown:
        command = core.handle_tick(now)
        assert not isinstance(command, Campaign)
        if isinstance(command, ReadLeader):
            core.handle_leader_read(LeaderReadResult(core.record, 50, 0.1), now)
            assert core.role is Role.FOLLOWER
        now += 0.05
    core.handle_leader_read(LeaderReadResult(OTHER, 60, 0.1), now)
    assert core.role is Role.FOLLOWER
    assert core.term == OTHER.term


def test_leader_that_has_yielded_may_lead_again_after_the_cooldown() -> None:
    core = leader_at(10.0)
    core.yield_leadership(15.0)
    seen = LeaderReadResult(core.record, 50, 0.1)
    command, now = campaign_of(core, seen, 15.0 + TIMING.yield_cooldown)
    core.handle_elected(command.record, 51, now)
    assert core.role is Role.LEADER
    assert not core.is_ineligible(now)


def leader_in_era_one() -> ElectionCore:
    core = ElectionCore(ME, TIMING, 100.0)
    core.handle_era(1, 100.0)
    absent = versions.start_of(1)
    campaign, now = campaign_of(core, LeaderReadResult(None, absent, None), 100.0)
    core.handle_elected(campaign.record, versions.store_version(1, 50), now)
    return core


def test_a_leader_whose_election_is_lost_is_elected_again_without_a_break() -> None:
    core = leader_in_era_one()
    term, since = core.term, core.leads_since
    core.handle_era(2, 110.0)
    assert core.handle_tick(110.0) == ReadLeader(Suspicion.STORE_RETURNED)
    copy = versions.store_version(2, 3)
    former = LeaderRecord(term=1, node_id="node-b", incarnation=22)
    core.handle_leader_read(LeaderReadResult(former, copy, None), 110.0)
    assert core.role is Role.LEADER
    campaign = core.handle_tick(110.0)
    assert isinstance(campaign, Campaign)
    assert campaign.row_version == copy
    assert campaign.record.term > term
    core.handle_elected(campaign.record, versions.store_version(2, 4), 110.1)
    assert core.leads_since == since
    command, _ = next_command(core, 110.1, 111.0)
    assert command == Confirm(core.term, versions.store_version(2, 4))


def test_of_two_leaders_after_a_return_one_stops() -> None:
    core = leader_in_era_one()
    core.handle_era(2, 110.0)
    core.handle_tick(110.0)
    other = LeaderRecord(term=terms.next_term(9, 2), node_id="node-b", incarnation=22)
    version = versions.store_version(2, 4)
    core.handle_leader_read(LeaderReadResult(other, version, None), 110.0)
    assert core.role is Role.FOLLOWER
    assert not core.may_renew(110.0)
    assert core.record == other


def test_a_copy_does_not_bring_back_a_leader_of_an_earlier_term() -> None:
    core = ElectionCore(ME, TIMING, 100.0)
    core.handle_leader_read(LeaderReadResult(OTHER, versions.store_version(1, 40), 0.1), 100.0)
    earlier = LeaderRecord(term=3, node_id="node-c", incarnation=33)
    core.handle_era(2, 101.0)
    core.handle_leader_read(LeaderReadResult(earlier, versions.store_version(2, 5), None), 101.0)
    assert core.record == OTHER
    assert core.row_version == versions.store_version(2, 5)


# ---------------------------------------------------------------------- lost records

UNREADABLE = LeaderReadResult(None, 45, 0.2, confirmed_term=4, is_unreadable=True)
ABSENT = LeaderReadResult(None, 0, 0.2, confirmed_term=4)


def stale(seen: LeaderReadResult, by: float = 0.1) -> LeaderReadResult:
    """Return the same rows with a confirmation that is too old to prove that the leader lives."""
    return replace(seen, confirmation_age=TIMING.stale_confirmation + by)


def long_stale(seen: LeaderReadResult) -> LeaderReadResult:
    """Return the same rows with a confirmation on which any node stands."""
    return stale(seen, UNINFORMED_CANDIDATE_DELAY + 0.1)


def leader_in_term_five(now: float = 100.0) -> ElectionCore:
    core = follower_of_other(now)
    core.handle_denial(4, OTHER.incarnation, True)
    campaign, now = campaign_of(core, LeaderReadResult(OTHER, 40, 0.1), now)
    core.handle_elected(campaign.record, 41, now)
    return core


# Guards against a service without a leader because another program changed the leader's row.
@pytest.mark.parametrize("seen", [UNREADABLE, ABSENT], ids=["unreadable", "absent"])
def test_leader_whose_record_is_lost_is_elected_again_without_a_break(
    seen: LeaderReadResult,
) -> None:
    core = leader_in_term_five()
    since = core.leads_since
    assert next_command(core, 101.0, 102.0)[0] == Confirm(5, 41)
    # A failed write returns no confirmation, without which the term is not known.
    conflict = replace(seen, confirmation_age=None, confirmed_term=None, is_conflict=True)
    core.handle_leader_read(conflict, 101.0)
    command, now = next_command(core, 101.0, 102.0)
    assert command == ReadLeader(Suspicion.RECORD_LOST)
    core.handle_leader_read(replace(seen, confirmed_term=5), now)
    assert core.is_election_lost
    campaign, now = next_command(core, now, now + 1.0)
    assert isinstance(campaign, Campaign)
    assert campaign.row_version == seen.row_version
    assert campaign.record.term > 5 + UNCONFIRMED_TERMS
    core.handle_elected(campaign.record, 46, now)
    assert core.role is Role.LEADER
    assert not core.is_election_lost
    assert core.leads_since == since


@pytest.mark.parametrize("seen", [UNREADABLE, ABSENT], ids=["unreadable", "absent"])
def test_follower_replaces_a_silent_leader_whose_record_is_lost(seen: LeaderReadResult) -> None:
    core = follower_of_other()
    campaign, _ = campaign_of(core, stale(seen), 100.0)
    assert campaign.row_version == seen.row_version
    assert campaign.record.term > 4 + UNCONFIRMED_TERMS
    assert [item.node_id for item in campaign.record.former] == ["node-b"]


def test_silent_leader_whose_record_is_lost_is_not_replaced_while_it_is_confirmed() -> None:
    core = follower_of_other()
    command, now = next_command(core, 100.0, 103.0)
    assert isinstance(command, ReadLeader)
    core.handle_leader_read(UNREADABLE, now)
    command, _ = next_command(core, now, now + 1.0)
    assert isinstance(command, ReadLeader)


def test_leader_that_was_replaced_by_one_whose_record_is_lost_stops() -> None:
    core = leader_in_term_five()
    core.handle_leader_read(replace(UNREADABLE, confirmed_term=9), 101.0)
    assert core.role is Role.FOLLOWER
    assert not core.may_renew(101.0)
    campaign, _ = campaign_of(core, long_stale(replace(UNREADABLE, confirmed_term=9)), 101.0)
    assert campaign.record.term > 9 + UNCONFIRMED_TERMS
    assert FormerLeader(term=9) in campaign.record.former


def test_node_that_knows_no_term_takes_it_from_the_confirmation() -> None:
    core = ElectionCore(ME, TIMING, 100.0)
    campaign, now = campaign_of(core, long_stale(UNREADABLE), 100.0)
    assert campaign.record.term > 4 + UNCONFIRMED_TERMS
    core.handle_elected(campaign.record, 46, now)
    assert core.former_leaders() == [FormerLeader(term=4)]
    core.handle_tick(now + TIMING.max_unconfirmed_time + 0.1)
    assert core.former_leaders() == []


# Guards against keys that wait for a lost leader although some node knows who that is.
def test_node_that_knows_the_lost_leader_stands_before_one_that_does_not() -> None:
    seen = stale(UNREADABLE)
    informed, _ = campaign_of(follower_of_other(), seen, 100.0)
    uninformed = ElectionCore(ME, TIMING, 100.0)
    command, now = next_command(uninformed, 100.0, 103.0)
    assert isinstance(command, ReadLeader)
    uninformed.handle_leader_read(seen, now)
    command, _ = next_command(uninformed, now, now + UNINFORMED_CANDIDATE_DELAY - 0.2)
    assert isinstance(command, ReadLeader)
    assert FormerLeader(term=4) not in informed.record.former


# Guards against fences that were in use before: a first term after a lost one.
def test_nobody_stands_while_no_row_shows_a_term_and_no_node_knows_one() -> None:
    core = ElectionCore(ME, TIMING, 100.0)
    seen = LeaderReadResult(None, 45, None, is_unreadable=True, is_term_unreadable=True)
    now = 100.0
    while now < 110.0:
        command, now = next_command(core, now, now + 3.0)
        assert isinstance(command, ReadLeader)
        core.handle_leader_read(seen, now)
        now += 0.05


# Guards against a system without a leader because its first record is lost before a confirmation.
def test_lost_record_of_a_leader_that_was_never_confirmed_is_replaced() -> None:
    core = ElectionCore(ME, TIMING, 100.0)
    seen = LeaderReadResult(None, 45, None, is_unreadable=True)
    campaign, _ = campaign_of(core, seen, 100.0)
    assert campaign.row_version == 45
    assert campaign.record.term > UNCONFIRMED_TERMS
    assert list(campaign.record.former) == [FormerLeader()]


# Guards against two leaders because the record of an earlier one was written back.
def test_leader_whose_record_is_replaced_by_an_earlier_one_is_elected_again() -> None:
    core = leader_in_term_five()
    conflict = LeaderReadResult(OTHER, 45, None, is_conflict=True)
    core.handle_leader_read(conflict, 101.0)
    assert core.role is Role.LEADER
    assert core.is_election_lost
    command, now = next_command(core, 101.0, 102.0)
    assert command == ReadLeader(Suspicion.RECORD_LOST)
    core.handle_leader_read(replace(UNREADABLE, confirmed_term=5), now)
    campaign, _ = next_command(core, now, now + 1.0)
    assert isinstance(campaign, Campaign)
    assert campaign.row_version == UNREADABLE.row_version


def test_record_from_a_peer_ends_the_loss() -> None:
    core = leader_in_term_five()
    core.handle_leader_read(replace(UNREADABLE, confirmed_term=5), 101.0)
    later = LeaderRecord(term=30, node_id="node-c", incarnation=33)
    core.handle_peer_record(later, 50, 101.1)
    assert core.role is Role.FOLLOWER
    assert not core.is_election_lost
    assert core.record == later
