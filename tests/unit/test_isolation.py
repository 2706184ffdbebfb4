"""A node without contact to a confirmed leader is not ready, so callers use other nodes."""

from __future__ import annotations

import pytest

from limedeck.forwarding import budget
from limedeck.forwarding.backend_state import EXIT_COOLDOWN, MAX_EXIT_COOLDOWN_EXTENSION
from limedeck.model import Backend, Configuration
from limedeck.node import state


def ready_state() -> state.NodeState:
    node = state.NodeState("z1", "n", budget.RetryAllowance(0.2, 30.0, 10.0))
    node.set_configuration(Configuration(1))
    node.backends_listed = True
    return node


def test_node_that_never_had_a_leader_is_ready_with_complete_state() -> None:
    assert ready_state().is_ready(100.0)


def test_node_without_leader_contact_is_not_ready_until_it_is_restored() -> None:
    """On klvs-gateway scale-2 nodes that were cut off sent requests to former owners for 12 s."""
    node = ready_state()
    node.record_leader(0.3, 3, 10.0)
    assert node.is_ready(10.0 + state.ISOLATION_TIMEOUT - 0.1)
    assert not node.is_ready(10.0 + state.ISOLATION_TIMEOUT + 0.1)
    node.record_leader(0.3, 3, 20.0)
    assert node.is_ready(20.1)


@pytest.mark.parametrize("silence", [state.LEADER_STORE_SILENCE + 0.1, 30.0])
def test_leader_that_the_store_does_not_confirm_does_not_make_a_node_ready(silence: float) -> None:
    node = ready_state()
    node.record_leader(0.3, 3, 10.0)
    for step in range(10):
        node.record_leader(silence, 3, 10.0 + step)
    assert not node.is_ready(19.0)


def test_node_count_of_a_leader_that_may_have_been_replaced_is_not_used() -> None:
    """Otherwise each half of the nodes shares the whole amount that all nodes may use."""
    node = ready_state()
    for second in range(14):
        node.record_leader(0.3, 6, float(second))
    assert node.retry_sharing_nodes(13.0) == 6
    for second in range(14, 40):
        node.record_leader(state.LEADER_STORE_SILENCE + 0.1, 3, float(second))
        assert node.retry_sharing_nodes(float(second)) in (0, 6)
    assert node.retry_sharing_nodes(39.0) == 0


def node_with_exited_back_end(at: float) -> state.NodeState:
    node = ready_state()
    node.directory.set_cold_rates({"s": 4.2})
    node.directory.put(Backend("a", "s", "127.0.0.1:1", "z1", 2), 0.0)
    found = node.directory.find("a")
    assert found is not None
    found.record_process_exit(at)
    return node


def is_cold(node: state.NodeState, now: float) -> bool:
    found = node.directory.find("a")
    assert found is not None
    return found.is_cold(now)


def record_leader_each_second(
    node: state.NodeState, since: int, until: int, store_away_at: int
) -> None:
    """Record a leader each second that the store has not confirmed since `store_away_at`."""
    for second in range(since, until):
        node.record_leader(max(second - store_away_at, 0.3), 3, float(second))


def test_back_end_that_exited_during_a_store_outage_counts_as_cold_until_it_is_over() -> None:
    """The soak saw 47 requests in a second at a cold back end whose entry could not arrive."""
    node = node_with_exited_back_end(10.0)
    record_leader_each_second(node, 9, 18, store_away_at=8)
    assert is_cold(node, 18.0)
    record_leader_each_second(node, 18, 24, store_away_at=30)
    assert not is_cold(node, 18.0 + EXIT_COOLDOWN)


def test_exit_cooldown_is_not_extended_without_limit_during_a_long_store_outage() -> None:
    node = node_with_exited_back_end(10.0)
    record_leader_each_second(node, 9, 100, store_away_at=8)
    assert is_cold(node, 10.0 + MAX_EXIT_COOLDOWN_EXTENSION)
    assert not is_cold(node, 10.0 + MAX_EXIT_COOLDOWN_EXTENSION + EXIT_COOLDOWN + 0.1)


def test_back_end_listed_again_during_a_store_outage_has_no_exit_cooldown() -> None:
    node = node_with_exited_back_end(10.0)
    node.directory.put(Backend("a", "s", "127.0.0.1:1", "z1", 2), 11.0)
    record_leader_each_second(node, 11, 20, store_away_at=8)
    assert not is_cold(node, 12.0)
