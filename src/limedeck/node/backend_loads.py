"""Messages between nodes and the leader about the load of back ends."""

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
from limedeck.forwarding.waiting_requests import NONE_WAITING, WaitingCounts
from limedeck.identity import Seconds
from limedeck.ownership import fleet_load

MICROSECONDS = 1e6
MILLISECONDS = 1000.0
BYTES_PER_BACKEND = 2
"""Bytes for each back end in the columns of the totals."""
MAX_BYTE = 255
MIN_SERVICE_TIME: Seconds = 0.001
"""Service time that is encoded as 1; shorter ones are encoded as this one."""
SERVICE_TIME_RATIO = 1.05
"""Ratio of two neighbouring codes' service times; code 255 stands for some four minutes."""
HASH_CACHE_SIZE = 4096
"""Number of hashes that are cached: more than the back ends of a large site."""


@functools.lru_cache(maxsize=HASH_CACHE_SIZE)
def backend_hash(backend_id: str) -> int:
    """Return the hash that identifies a back end in messages."""
    return xxhash.xxh32_intdigest(backend_id.encode())


def known_service_times(directory: backends.BackendDirectory) -> dict[int, Seconds]:
    """Return lasting service times that this node knows, by hash of the back end's id.

    If the leader has sent none, they are the present ones, as far as this node has measured them.
    """
    known = {
        backend_hash(state.backend.backend_id): state.speed.lasting or state.service_time or 0.0
        for state in directory.all_states()
    }
    return {backend: time for backend, time in known.items() if time > 0.0}


def write_report(directory: backends.BackendDirectory, now: Seconds) -> control_pb2.BackendLoads:
    """Write a report of this node's load at back ends since the last report."""
    message = control_pb2.BackendLoads()
    backoffs = dict(directory.backoffs.active(now))
    for state in directory.all_states():
        backend_id = state.backend.backend_id
        backoff = backoffs.get(backend_id)
        sample = state.take_sample(now)
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
        message.waiting.append(sample.waiting.total)
        message.waiting_late.append(sample.waiting.late)
    if not any(message.waiting):
        del message.waiting[:]
        del message.waiting_late[:]
    return message


def read_report(message: control_pb2.BackendLoads) -> list[fleet_load.BackendReport]:
    """Read a node's report.

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
        message.waiting or [0] * len(message.backends),
        message.waiting_late or [0] * len(message.backends),
    )
    if len({len(column) for column in columns}) > 1:
        raise PeerProtocolError("loads of back ends", "lists of unequal length")
    return [
        fleet_load.BackendReport(
            backend,
            outstanding,
            answers,
            micros / MICROSECONDS,
            failures,
            remaining / MILLISECONDS,
            _waiting_counts(waiting, late),
        )
        for backend, outstanding, answers, micros, failures, remaining, waiting, late in zip(
            *columns, strict=True
        )
    ]


class TotalsWriter:
    """Writes the totals that the leader sends, once for all nodes."""

    def __init__(self) -> None:
        self._hashes: tuple[int, ...] = ()
        self._columns = b""
        self._speeds = b""
        self._excluded: list[int] = []
        self._waiting: dict[int, WaitingCounts] = {}
        self._listing = 0
        self.sequence = 0

    def write(self, totals: Sequence[fleet_load.BackendTotal]) -> None:
        """Encode new totals, and increase `sequence`."""
        hashes = tuple(total.backend for total in totals)
        if hashes != self._hashes:
            self._hashes = hashes
            self._listing += 1
        outstanding = bytes(min(total.outstanding, MAX_BYTE) for total in totals)
        service_times = bytes(_encode_service_time(total.service_time) for total in totals)
        self._columns = zlib.compress(outstanding + service_times)
        lasting = bytes(_encode_service_time(total.lasting_time) for total in totals)
        slowness = bytes(
            0 if total.slowness == 1.0 else _encode_service_time(total.slowness) for total in totals
        )
        self._speeds = zlib.compress(lasting + slowness) if any(lasting) else b""
        self._excluded = [index for index, total in enumerate(totals) if total.excluded]
        self._waiting = {
            index: total.waiting for index, total in enumerate(totals) if total.waiting
        }
        self.sequence += 1

    def message_for(self, sent: SentTotals) -> control_pb2.BackendTotals | None:
        """Return the totals that a node lacks and record them in `sent`; None if it lacks none."""
        if sent.sequence == self.sequence:
            return None
        message = control_pb2.BackendTotals(
            listing=self._listing,
            columns=self._columns,
            excluded=self._excluded,
            awaited=self._waiting.keys(),
            waiting=[item.total for item in self._waiting.values()],
            waiting_late=[item.late for item in self._waiting.values()],
            speeds=self._speeds,
        )
        if sent.listing != self._listing:
            message.backends.extend(self._hashes)
        sent.sequence = self.sequence
        sent.listing = self._listing
        return message


@dataclasses.dataclass(slots=True)
class SentTotals:
    """Versions of the totals last sent on one connection; zeros if none were."""

    sequence: int = 0
    listing: int = 0


class TotalsReader:
    """Reads the totals that the leader sends on one connection."""

    def __init__(self) -> None:
        self._hashes: Sequence[int] = ()
        self._listing = 0

    def read(self, message: control_pb2.BackendTotals) -> list[fleet_load.BackendTotal]:
        """Read totals.

        Raises
        ------
        PeerProtocolError
            The message does not fit the list of back ends that it names.
        """
        if message.backends:
            self._hashes = tuple(message.backends)
            self._listing = message.listing
        if message.listing != self._listing:
            raise PeerProtocolError("totals of back ends", "unknown list of back ends")
        count = len(self._hashes)
        waiting = _read_waiting(message)
        columns = _decompress(message.columns, BYTES_PER_BACKEND * count)
        length = BYTES_PER_BACKEND * count
        # Earlier versions do not send these columns.
        speeds = _decompress(message.speeds, length) if message.speeds else bytes(length)
        rows = zip(
            self._hashes,
            columns[:count],
            columns[count:],
            speeds[:count],
            speeds[count:],
            strict=True,
        )
        excluded = set(message.excluded)
        return [
            fleet_load.BackendTotal(
                backend,
                outstanding,
                _decode_service_time(code),
                index in excluded,
                waiting=waiting.get(index, NONE_WAITING),
                lasting_time=_decode_service_time(lasting),
                slowness=_decode_service_time(slowness) or 1.0,
            )
            for index, (backend, outstanding, code, lasting, slowness) in enumerate(rows)
        ]


def apply_totals(
    totals: Iterable[fleet_load.BackendTotal], directory: backends.BackendDirectory, now: Seconds
) -> None:
    """Apply the leader's totals to a node's directory, skipping back ends that it does not list."""
    states = {backend_hash(state.backend.backend_id): state for state in directory.all_states()}
    for total in totals:
        state = states.get(total.backend)
        if state is not None:
            state.record_fleet_load(
                total.outstanding, total.service_time, now, total.excluded, total.waiting
            )
            state.speed.record(total.lasting_time, total.slowness, now)


def _read_waiting(message: control_pb2.BackendTotals) -> dict[int, WaitingCounts]:
    """Read the waiting requests by their back end's position in the list."""
    if not len(message.awaited) == len(message.waiting) == len(message.waiting_late):
        raise PeerProtocolError("totals of back ends", "waiting requests without a back end")
    return {
        index: _waiting_counts(waiting, late)
        for index, waiting, late in zip(
            message.awaited, message.waiting, message.waiting_late, strict=True
        )
    }


def _waiting_counts(waiting: int, late: int) -> WaitingCounts:
    return WaitingCounts(max(waiting - late, 0), late)


def _decompress(column: bytes, length: int) -> bytes:
    """Decompress columns of this length.

    Raises
    ------
    PeerProtocolError
        They are not of this length, or not compressed data.
    """
    try:
        plain = zlib.decompressobj().decompress(column, length + 1)
    except zlib.error as exc:
        raise PeerProtocolError("totals of back ends", str(exc)) from exc
    if len(plain) != length:
        raise PeerProtocolError("totals of back ends", "columns do not fit the list of back ends")
    return plain


def _encode_service_time(time: Seconds) -> int:
    """Encode a service time as one byte; zero stands for an unknown one."""
    if time <= 0.0:
        return 0
    steps = round(math.log(time / MIN_SERVICE_TIME, SERVICE_TIME_RATIO))
    return min(max(steps + 1, 1), MAX_BYTE)


def _decode_service_time(code: int) -> Seconds:
    return MIN_SERVICE_TIME * SERVICE_TIME_RATIO ** (code - 1) if code else 0.0
