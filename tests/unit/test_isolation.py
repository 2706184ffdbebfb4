"""A node that hears no sound leader sends callers elsewhere."""

from __future__ import annotations

import pytest

from limedeck.forwarding import budget
from limedeck.model import Configuration
from limedeck.node import state


def ready_state() -> state.NodeState:
    node = state.NodeState("z1", "n", budget.RetryAllowance(0.2, 30.0, 10.0))
    node.set_configuration(Configuration(1))
    node.backends_listed = True
    return node


def test_a_node_that_never_heard_a_leader_is_ready_once_it_knows_enough() -> None:
    assert ready_state().is_ready(100.0)


def test_a_node_that_lost_its_leader_is_not_ready_until_it_hears_one() -> None:
    """Found on klvs-gateway scale-2: nodes that were cut off asked former owners for 12 s."""
    node = ready_state()
    node.note_leader(0.3, 3, 10.0)
    assert node.is_ready(10.0 + state.ISOLATION - 0.1)
    assert not node.is_ready(10.0 + state.ISOLATION + 0.1)
    node.note_leader(0.3, 3, 20.0)
    assert node.is_ready(20.1)


@pytest.mark.parametrize("silence", [state.LEADER_STORE_SILENCE + 0.1, 30.0])
def test_a_leader_that_the_store_does_not_confirm_is_no_sound_one(silence: float) -> None:
    node = ready_state()
    node.note_leader(0.3, 3, 10.0)
    for step in range(10):
        node.note_leader(silence, 3, 10.0 + step)
    assert not node.is_ready(19.0)


def test_the_count_of_a_leader_that_may_have_been_replaced_is_not_believed() -> None:
    """Half of the nodes would share the whole of what all may do, and so would the others."""
    node = ready_state()
    for second in range(14):
        node.note_leader(0.3, 6, float(second))
    assert node.retry_sharers(13.0) == 6
    for second in range(14, 40):
        node.note_leader(state.LEADER_STORE_SILENCE + 0.1, 3, float(second))
        assert node.retry_sharers(float(second)) in (0, 6)
    assert node.retry_sharers(39.0) == 0
