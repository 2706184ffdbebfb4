"""The slice map, its deltas, and measures of slice maps and ranges."""

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from limedeck.api.peer_pb2 import AssignmentChange
from limedeck.errors import InvariantViolation
from limedeck.keyspace.hashing import KEYSPACE_END, equal_slice_starts, key_position
from limedeck.keyspace.slices import RangeLookup, SliceMap, change_of, slice_map_from
from limedeck.measures import UnavailableTime, churn, intersect, overlap, subtract, uncovered

POSITIONS = st.integers(min_value=0, max_value=KEYSPACE_END - 1)
OWNERS = st.sampled_from(["a", "b", "c", ""])
MAPS = st.dictionaries(POSITIONS, OWNERS, max_size=12).flatmap(
    lambda owners: st.just({**owners, 0: owners.get(0, "a")})
)


def test_key_positions_are_those_of_xxh3() -> None:
    assert key_position("") == 0x2D06800538D394C2


@given(MAPS, POSITIONS)
def test_the_located_slice_contains_the_position(owners: dict[int, str], position: int) -> None:
    slices = slice_map_from(change_of(owners.items()))
    found = slices.locate(position)
    assert found.start <= position < found.end
    assert found.owner == owners[found.start]
    assert found in list(slices)


@given(MAPS)
def test_slices_cover_the_key_space_without_gap_or_overlap(owners: dict[int, str]) -> None:
    slices = slice_map_from(change_of(owners.items()))
    ranges = [(item.start, item.end) for item in slices]
    assert uncovered(ranges) == []
    assert overlap(ranges) is None
    assert sum(item.share for item in slices) == pytest.approx(1.0)


@given(MAPS, MAPS)
def test_a_delta_turns_one_map_into_another(old: dict[int, str], new: dict[int, str]) -> None:
    slices = slice_map_from(change_of(old.items()))
    delta = change_of(new.items())
    delta.removed_starts.extend(start for start in old if start not in new)
    slices.apply(delta)
    wanted = slice_map_from(change_of(new.items()))
    assert slices == wanted
    assert {item: slices.slices_of(item) for item in slices.owners()} == {
        item: wanted.slices_of(item) for item in wanted.owners()
    }


def test_a_delta_that_uncovers_the_start_of_the_key_space_is_refused() -> None:
    slices = slice_map_from(change_of([(0, "a"), (10, "b")]))
    with pytest.raises(InvariantViolation):
        slices.apply(AssignmentChange(removed_starts=[0]))


def test_an_empty_map_locates_nothing() -> None:
    with pytest.raises(LookupError):
        SliceMap().locate(1)


@given(st.lists(st.tuples(POSITIONS, POSITIONS), max_size=8), POSITIONS)
def test_range_lookup_agrees_with_a_scan(pairs: list[tuple[int, int]], position: int) -> None:
    boundaries = sorted({boundary for pair in pairs for boundary in pair})
    ranges = list(zip(boundaries[::2], boundaries[1::2], strict=False))
    assert (position in RangeLookup(ranges)) == any(a <= position < b for a, b in ranges)


@given(MAPS, MAPS)
def test_churn_is_the_fraction_that_changed_owner(old: dict[int, str], new: dict[int, str]) -> None:
    before = slice_map_from(change_of(old.items()))
    after = slice_map_from(change_of(new.items()))
    boundaries = sorted({*old, *new, KEYSPACE_END})
    moved = sum(
        end - start
        for start, end in pairwise(boundaries)
        if before.locate(start).owner != after.locate(start).owner
    )
    assert churn(before, after) == pytest.approx(moved / KEYSPACE_END)


def test_ranges_are_intersected_and_subtracted() -> None:
    left = [(0, 10), (20, 30), (40, 50)]
    right = [(5, 25), (28, 45)]
    assert intersect(left, right) == [(5, 10), (20, 25), (28, 30), (40, 45)]
    assert subtract(left, right) == [(0, 5), (25, 28), (45, 50)]


def test_unserved_time_is_counted_for_each_part_of_the_key_space() -> None:
    watch = UnavailableTime()
    half, quarter = KEYSPACE_END // 2, KEYSPACE_END // 4
    watch.observe([(0, half)], 1.0)
    watch.observe([(0, quarter)], 3.0)
    watch.observe([], 6.0)
    assert watch.worst == pytest.approx(5.0)
    assert watch.total == pytest.approx(0.25 * 2 + 0.25 * 5)
    assert watch.open_since == {}


def test_equal_slice_starts_divide_the_key_space_evenly() -> None:
    assert equal_slice_starts(4) == [0, KEYSPACE_END // 4, KEYSPACE_END // 2, 3 * KEYSPACE_END // 4]
