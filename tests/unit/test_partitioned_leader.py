"""Leaders and candidates that reach no back end."""

from __future__ import annotations

import pytest

from limedeck.api.control_pb2 import LeaderRecord
from limedeck.identity import Seconds
from limedeck.ownership.election import ElectionCore
from limedeck.ownership.election_events import (
    Campaign,
    Confirm,
    ElectionCommand,
    LeaderReadResult,
    ReadLeader,
    Role,
)
from limedeck.ownership.owner_liveness import OwnerLiveness
from limedeck.ownership.timing import OwnershipTiming

TIMING = OwnershipTiming()
ME = LeaderRecord(node_id="me", incarnation=1, peer_address="127.0.0.1:1")
OTHER = LeaderRecord(node_id="other", incarnation=2, peer_address="127.0.0.1:2", term=4)
TICK: Seconds = 0.05


def follower() -> ElectionCore:
    core = ElectionCore(ME, TIMING, 0.0)
    core.handle_leader_read(LeaderReadResult(OTHER, 40, 0.1), 1.0)
    core.handle_heartbeat(4, 0.1, 1.0)
    return core


def leader() -> ElectionCore:
    core = ElectionCore(ME, TIMING, 0.0)
    record = LeaderRecord()
    record.CopyFrom(ME)
    record.term = 1
    core.handle_elected(record, 10, 1.0)
    assert core.role is Role.LEADER
    return core


def run_until(core: ElectionCore, start: Seconds, end: Seconds) -> list[ElectionCommand]:
    """Tick; each read of the store shows the same leader again."""
    commands = []
    now = start
    while now < end:
        command = core.handle_tick(now)
        if command is not None:
            commands.append(command)
        if isinstance(command, ReadLeader):
            core.handle_leader_read(LeaderReadResult(core.record, core.row_version, 5.0), now)
        elif isinstance(command, Confirm):
            core.handle_confirmed(now)
        elif isinstance(command, Campaign):
            return commands
        now += TICK
    return commands


def test_partitioned_candidate_lets_others_stand_first() -> None:
    core = follower()
    core.is_partitioned = True
    core.handle_denial(4, 99, True)
    early = run_until(core, 1.1, 1.1 + TIMING.partitioned_candidate_delay - TICK)
    assert any(isinstance(item, ReadLeader) for item in early)
    assert not any(isinstance(item, Campaign) for item in early)


def test_partitioned_candidate_stands_if_nobody_else_does() -> None:
    core = follower()
    core.is_partitioned = True
    core.handle_denial(4, 99, True)
    commands = run_until(core, 1.1, 6.0)
    assert isinstance(commands[-1], Campaign)


def test_partitioned_candidate_lets_others_stand_first_when_the_store_returns() -> None:
    core = follower()
    core.is_partitioned = True
    core.handle_denial(4, 99, True)
    now = 1.1
    while now < 8.0:
        if core.handle_tick(now) is not None:
            core.handle_store_failure(now)
        now += TICK
    early = run_until(core, now, now + TIMING.partitioned_candidate_delay - 5 * TICK)
    assert any(isinstance(item, ReadLeader) for item in early)
    assert not any(isinstance(item, Campaign) for item in early)


def test_candidate_whose_partition_has_ended_stands_at_once() -> None:
    core = follower()
    core.is_partitioned = True
    core.handle_denial(4, 99, True)
    run_until(core, 1.1, 1.6)
    core.is_partitioned = False
    commands = run_until(core, 1.6, 2.6)
    assert isinstance(commands[-1], Campaign)


def test_campaign_that_was_dropped_is_prepared_anew() -> None:
    core = follower()
    core.handle_denial(4, 99, True)
    assert isinstance(run_until(core, 1.1, 3.0)[-1], Campaign)
    core.handle_campaign_dropped()
    core.is_partitioned = True
    assert not any(isinstance(item, Campaign) for item in run_until(core, 3.0, 4.0))


@pytest.mark.parametrize(
    ("partitioned", "reaching", "silence", "expected"),
    [
        (True, 1, 0.1, True),
        (True, 0, 0.1, False),
        (False, 4, 0.1, False),
        (True, 4, TIMING.stale_confirmation, False),
    ],
)
def test_leader_yields_only_to_a_node_that_reaches_back_ends_and_can_be_elected(
    partitioned: bool, reaching: int, silence: Seconds, expected: bool
) -> None:
    core = leader()
    core.is_partitioned = partitioned
    core.handle_confirmed(10.0)
    assert core.must_yield_to_reaching_nodes(reaching, 10.0 + silence) is expected


def test_leader_that_yielded_may_be_elected_again_once_it_reaches_back_ends() -> None:
    core = leader()
    core.is_partitioned = True
    core.yield_leadership(2.0)
    assert core.role is Role.FOLLOWER
    assert core.has_resigned(2.0)
    core.is_partitioned = False
    assert not core.is_ineligible(2.1)
    later = LeaderRecord()
    later.CopyFrom(OTHER)
    core.handle_leader_read(LeaderReadResult(later, 50, 0.1), 2.2)
    assert not core.has_resigned(2.3)


def test_partitioned_leader_takes_no_keys_from_owners_that_do_not_respond() -> None:
    liveness = OwnerLiveness(TIMING, 0.0)
    liveness.record_order_sent("b", 5.0)
    late = 5.0 + TIMING.owner_timeout + 1.0
    assert liveness.is_presumed_failed("b", late)
    liveness.set_partitioned(True)
    assert not liveness.is_presumed_failed("b", late)
    assert not liveness.is_unreachable("b", late)


def test_leader_in_doubt_takes_no_keys_and_time_outs_go_on() -> None:
    liveness = OwnerLiveness(TIMING, 0.0)
    liveness.record_order_sent("b", 5.0)
    late = 5.0 + TIMING.owner_timeout + 0.1
    liveness.set_partitioned(False, is_in_doubt=True)
    assert not liveness.is_presumed_failed("b", late)
    assert not liveness.is_unreachable("b", late)
    liveness.set_partitioned(False)
    assert liveness.is_presumed_failed("b", late)
    assert liveness.is_unreachable("b", late)


def test_time_outs_of_owners_begin_anew_after_a_partition() -> None:
    liveness = OwnerLiveness(TIMING, 0.0)
    liveness.record_order_sent("b", 5.0)
    liveness.set_partitioned(True)
    liveness.set_partitioned(False)
    assert not liveness.is_presumed_failed("b", 20.0)
    liveness.record_order_sent("b", 20.0)
    assert liveness.is_presumed_failed("b", 20.0 + TIMING.owner_timeout + 0.1)
