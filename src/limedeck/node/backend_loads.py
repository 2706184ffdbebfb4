"""Messages about what back ends have, between nodes and the leader."""

from __future__ import annotations

import functools
from collections.abc import Iterable

import xxhash

from limedeck.api import control_pb2
from limedeck.errors import PeerProtocolError
from limedeck.forwarding import backends
from limedeck.identity import Seconds
from limedeck.ownership import fleet_load

MICROSECONDS = 1e6
MARKS_KEPT = 4096
"""Hashes that are remembered: more than the back ends of a large site."""


@functools.lru_cache(maxsize=MARKS_KEPT)
def mark_of(backend_id: str) -> int:
    """Return the hash by which messages name a back end."""
    return xxhash.xxh32_intdigest(backend_id.encode())


def known_service_times(directory: backends.BackendDirectory) -> dict[int, Seconds]:
    """Return the service times that this node believes, by hash of the back end's id."""
    return {
        mark_of(state.backend.backend_id): state.service_time
        for state in directory.all_states()
        if state.service_time is not None
    }


def write_report(directory: backends.BackendDirectory) -> control_pb2.BackendLoads:
    """Write what this node has to tell the leader since the last report."""
    message = control_pb2.BackendLoads()
    for state in directory.all_states():
        sample = state.take_sample()
        if sample is None:
            continue
        message.backends.append(mark_of(sample.backend_id))
        message.outstanding.append(sample.outstanding)
        message.answers.append(sample.answers)
        message.service_times.append(int(sample.service_time * MICROSECONDS))
    return message


def read_report(message: control_pb2.BackendLoads) -> list[fleet_load.BackendReport]:
    """Read what a node tells.

    Raises
    ------
    PeerProtocolError
        The lists are not of equal length.
    """
    columns = (message.backends, message.outstanding, message.answers, message.service_times)
    if len({len(column) for column in columns}) > 1:
        raise PeerProtocolError("back ends' loads", "lists of unequal length")
    return [
        fleet_load.BackendReport(mark, outstanding, answers, micros / MICROSECONDS)
        for mark, outstanding, answers, micros in zip(*columns, strict=True)
    ]


def write_totals(totals: Iterable[fleet_load.BackendTotal]) -> control_pb2.BackendLoads:
    """Write what the leader tells all nodes."""
    message = control_pb2.BackendLoads()
    for total in totals:
        message.backends.append(total.backend)
        message.outstanding.append(total.outstanding)
        message.service_times.append(int(total.service_time * MICROSECONDS))
    return message


def take_totals(
    message: control_pb2.BackendLoads, directory: backends.BackendDirectory, now: Seconds
) -> None:
    """Let a node believe what the leader tells; back ends that it does not list are passed over."""
    marks = {mark_of(state.backend.backend_id): state for state in directory.all_states()}
    told = zip(message.backends, message.outstanding, message.service_times, strict=False)
    for mark, outstanding, micros in told:
        state = marks.get(mark)
        if state is not None:
            state.note_fleet(outstanding, micros / MICROSECONDS, now)
