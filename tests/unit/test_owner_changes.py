"""Owners sent as changes: each node ends with the leader's map, whatever it knew before."""

from __future__ import annotations

import random

import pytest

from limedeck import errors
from limedeck.forwarding import owners
from limedeck.node import owner_changes

KEYS = 200


def map_of(version: int, *owned: tuple[int, int, str]) -> owners.OwnerMap:
    return owners.OwnerMap(version, tuple(owners.OwnedRange(*item) for item in owned))


def as_keys(item: owners.OwnerMap) -> list[str]:
    return [item.owner(key) for key in range(KEYS)]


def test_one_move_is_sent_as_one_range() -> None:
    published = owner_changes.PublishedOwners()
    sent: dict[str, owners.OwnerMap] = {}
    first = map_of(1, (0, 99, "a"), (100, 199, "b"))
    published.publish("s", first)
    assert published.updates_since(sent)[0].base_version == 0
    published.publish("s", map_of(2, (0, 9, "a"), (10, 19, ""), (20, 99, "a"), (100, 199, "b")))
    message = published.updates_since(sent)[0]
    assert [(r.first, r.last, r.owner) for r in message.ranges] == [(10, 19, "")]
    assert as_keys(owner_changes.read_owners(message, first)) == as_keys(sent["s"])
    assert published.updates_since(sent) == []


def test_changes_since_a_version_that_a_node_does_not_know_are_refused() -> None:
    published = owner_changes.PublishedOwners()
    sent = {"s": map_of(1, (0, 99, "a"), (100, 199, "b"))}
    published.publish("s", map_of(2, (0, 98, "a"), (99, 199, "b")))
    message = published.updates_since(sent)[0]
    with pytest.raises(errors.PeerProtocolError):
        owner_changes.read_owners(message, map_of(5, (0, 199, "z")))


def test_a_change_of_all_owners_is_sent_as_a_complete_map() -> None:
    published = owner_changes.PublishedOwners()
    sent = {"s": map_of(1, (0, 99, "a"), (100, 199, "b"))}
    published.publish("s", map_of(2, (0, 199, "c")))
    assert published.updates_since(sent)[0].base_version == 0


def test_the_end_of_a_lost_owners_lease_is_converted_to_the_readers_clock() -> None:
    published = owner_changes.PublishedOwners()
    sent: dict[str, owners.OwnerMap] = {}
    published.publish("s", map_of(1, (0, 99, "a"), (100, 199, "b")))
    known = owner_changes.read_owners(published.updates_since(sent)[0], owners.OwnerMap(), 5.0)
    lost = owners.OwnedRange(0, 99, "", free_at=50.0)
    published.publish("s", owners.OwnerMap(2, (lost, owners.OwnedRange(100, 199, "b"))))
    message = published.updates_since(sent)[0]
    assert len(message.ranges) == 1
    found = owner_changes.read_owners(message, known, 5.0)
    assert (found.owner(7), found.free_at(7)) == ("", 55.0)
    assert (found.owner(107), found.free_at(107)) == ("b", None)


def random_map(source: random.Random, version: int) -> owners.OwnerMap:
    edges = sorted(source.sample(range(1, KEYS), source.randrange(0, 12)))
    firsts = [0, *edges]
    lasts = [edge - 1 for edge in edges] + [KEYS - 1]
    names = ["", "a", "b", "c"]
    ranges = tuple(
        owners.OwnedRange(first, last, source.choice(names))
        for first, last in zip(firsts, lasts, strict=True)
    )
    return owners.OwnerMap(version, owners.merge_adjacent(ranges))


@pytest.mark.parametrize("seed", range(30))
def test_nodes_that_miss_versions_reach_the_newest(seed: int) -> None:
    source = random.Random(seed)
    published = owner_changes.PublishedOwners()
    known = [owners.OwnerMap() for _ in range(3)]
    sent: list[dict[str, owners.OwnerMap]] = [{} for _ in range(3)]
    for version in range(1, 40):
        newest = random_map(source, version)
        published.publish("s", newest)
        for index in range(3):
            if source.random() < 0.4:
                continue
            if source.random() < 0.1:
                sent[index] = {}
            for message in published.updates_since(sent[index]):
                known[index] = owner_changes.read_owners(message, known[index])
            assert as_keys(known[index]) == as_keys(newest)
