"""Messages about what back ends have, between nodes and the leader."""

from __future__ import annotations

import dataclasses
import functools
import math
import zlib
from collections.abc import Iterable, Sequence

import xxhash

from limedeck.api import control_pb2
from limedeck.errors import PeerProtocolError
from limedeck.forwarding import backend_state, backends
from limedeck.identity import Seconds
from limedeck.ownership import fleet_load

MICROSECONDS = 1e6
MILLISECONDS = 1000.0
COLUMNS = 2
"""Bytes for each back end in the totals."""
LARGEST_BYTE = 255
SHORTEST_TIME: Seconds = 0.001
"""Service time that is written as 1; shorter ones are written as this one."""
TIME_STEP = 1.05
"""Ratio of two neighbouring service times as written; 255 stands for some four minutes."""
MARKS_KEPT = 4096
"""Hashes that are remembered: more than the back ends of a large site."""


@functools.lru_cache(maxsize=MARKS_KEPT)
def backend_hash(backend_id: str) -> int:
    """Return the hash by which messages name a back end."""
    return xxhash.xxh32_intdigest(backend_id.encode())


def known_service_times(directory: backends.BackendDirectory) -> dict[int, Seconds]:
    """Return the service times that this node believes, by hash of the back end's id."""
    return {
        backend_hash(state.backend.backend_id): state.service_time
        for state in directory.all_states()
        if state.service_time is not None
    }


def write_report(directory: backends.BackendDirectory, now: Seconds) -> control_pb2.BackendLoads:
    """Write what this node has to tell the leader since the last report."""
    message = control_pb2.BackendLoads()
    backoffs = dict(directory.backoffs.active(now))
    for state in directory.all_states():
        backend_id = state.backend.backend_id
        backoff = backoffs.get(backend_id)
        sample = state.take_sample()
        if sample is None and backoff is None:
            continue
        sample = sample or backend_state.WorkSample(backend_id, 0, 0, 0.0)
        message.backends.append(backend_hash(sample.backend_id))
        message.outstanding.append(sample.outstanding)
        message.answers.append(sample.answers)
        message.service_times.append(int(sample.service_time * MICROSECONDS))
        message.failures.append(sample.failures)
        remaining = 0.0 if backoff is None else backoff.ends_at - now
        message.backoffs.append(round(remaining * MILLISECONDS))
    return message


def read_report(message: control_pb2.BackendLoads) -> list[fleet_load.BackendReport]:
    """Read what a node tells.

    Raises
    ------
    PeerProtocolError
        The lists are not of equal length.
    """
    columns = (
        message.backends,
        message.outstanding,
        message.answers,
        message.service_times,
        message.failures,
        # Earlier versions do not send this list.
        message.backoffs or [0] * len(message.backends),
    )
    if len({len(column) for column in columns}) > 1:
        raise PeerProtocolError("back ends' loads", "lists of unequal length")
    return [
        fleet_load.BackendReport(
            mark, outstanding, answers, micros / MICROSECONDS, failures, remaining / MILLISECONDS
        )
        for mark, outstanding, answers, micros, failures, remaining in zip(*columns, strict=True)
    ]


class TotalsWriter:
    """What the leader tells all nodes, written once for all of them."""

    def __init__(self) -> None:
        self._marks: tuple[int, ...] = ()
        self._columns = b""
        self._excluded: list[int] = []
        self._listing = 0
        self.sequence = 0

    def write(self, totals: Sequence[fleet_load.BackendTotal]) -> None:
        """Take in new totals; `sequence` rises."""
        marks = tuple(total.backend for total in totals)
        if marks != self._marks:
            self._marks = marks
            self._listing += 1
        outstanding = bytes(min(total.outstanding, LARGEST_BYTE) for total in totals)
        service_times = bytes(_time_code(total.service_time) for total in totals)
        self._columns = zlib.compress(outstanding + service_times)
        self._excluded = [index for index, total in enumerate(totals) if total.excluded]
        self.sequence += 1

    def message_for(self, told: ToldTotals) -> control_pb2.BackendTotals | None:
        """Write what a node lacks, and note that it was told; None if it lacks nothing."""
        if told.sequence == self.sequence:
            return None
        message = control_pb2.BackendTotals(
            listing=self._listing, columns=self._columns, excluded=self._excluded
        )
        if told.listing != self._listing:
            message.backends.extend(self._marks)
        told.sequence = self.sequence
        told.listing = self._listing
        return message


@dataclasses.dataclass(slots=True)
class ToldTotals:
    """What was told on one connection; zeros if nothing yet."""

    sequence: int = 0
    listing: int = 0


class TotalsReader:
    """What a node was told by the leader on one connection."""

    def __init__(self) -> None:
        self._marks: Sequence[int] = ()
        self._listing = 0

    def read(self, message: control_pb2.BackendTotals) -> list[fleet_load.BackendTotal]:
        """Read totals.

        Raises
        ------
        PeerProtocolError
            The message does not fit the list of back ends that it names.
        """
        if message.backends:
            self._marks = tuple(message.backends)
            self._listing = message.listing
        if message.listing != self._listing:
            raise PeerProtocolError("totals of back ends", "a list that was not told")
        count = len(self._marks)
        try:
            columns = zlib.decompressobj().decompress(message.columns, COLUMNS * count + 1)
        except zlib.error as exc:
            raise PeerProtocolError("totals of back ends", str(exc)) from exc
        if len(columns) != COLUMNS * count:
            raise PeerProtocolError("totals of back ends", "lists of unequal length")
        rows = zip(self._marks, columns[:count], columns[count:], strict=True)
        excluded = set(message.excluded)
        return [
            fleet_load.BackendTotal(mark, outstanding, _time_of(code), index in excluded)
            for index, (mark, outstanding, code) in enumerate(rows)
        ]


def apply_totals(
    totals: Iterable[fleet_load.BackendTotal], directory: backends.BackendDirectory, now: Seconds
) -> None:
    """Let a node believe what the leader tells; back ends that it does not list are passed over."""
    marks = {backend_hash(state.backend.backend_id): state for state in directory.all_states()}
    for total in totals:
        state = marks.get(total.backend)
        if state is not None:
            state.record_fleet_load(total.outstanding, total.service_time, now, total.excluded)


def _time_code(time: Seconds) -> int:
    """Write a time as one byte; zero stands for an unknown one."""
    if time <= 0.0:
        return 0
    steps = round(math.log(time / SHORTEST_TIME, TIME_STEP))
    return min(max(steps + 1, 1), LARGEST_BYTE)


def _time_of(code: int) -> Seconds:
    return SHORTEST_TIME * TIME_STEP ** (code - 1) if code else 0.0
