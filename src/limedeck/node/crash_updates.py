"""Exchanges updates about crashed back ends, and the requests that crashed them, between nodes."""

from __future__ import annotations

from collections.abc import Iterable

from limedeck.api import control_pb2
from limedeck.forwarding import quarantine, quarantine_updates, request_content
from limedeck.identity import Seconds
from limedeck.node import message_ages


class CrashUpdatePeer:
    """Tracks which updates were sent to the node at the other end of a connection."""

    def __init__(self, ledger: quarantine.QuarantineLedger) -> None:
        self._ledger = ledger
        self._sent_version = 0

    def fill(self, message: control_pb2.Report | control_pb2.Status, now: Seconds) -> None:
        """Add the updates that the other node lacks, up to the limit for one message."""
        updates = self.next_update(now)
        if updates is not None:
            message.crash_news.CopyFrom(updates)

    def next_update(self, now: Seconds) -> control_pb2.CrashNews | None:
        """Return the updates that the other node lacks, marked as sent; None if it lacks none."""
        updates, self._sent_version = self._ledger.updates_since(self._sent_version, self)
        return encode_updates(updates, now) if updates else None

    def apply(self, message: control_pb2.CrashNews, now: Seconds) -> None:
        """Apply the updates that the other node sent."""
        self._ledger.apply(decode_updates(message, now), self, now)


def encode_updates(
    updates: Iterable[quarantine_updates.QuarantineUpdate], now: Seconds
) -> control_pb2.CrashNews:
    """Encode updates, with ages instead of times, since the clocks of nodes are unrelated."""
    message = control_pb2.CrashNews()
    for item in updates:
        match item:
            case quarantine_updates.CrashUpdate():
                message.crashes.add(
                    backend=item.backend_id,
                    age=message_ages.age_of(item.at, now),
                    lost=[_encode_fingerprints(request) for request in sorted(item.requests)],
                )
            case quarantine_updates.ServedUpdate():
                message.served.add(request=item.request, age=message_ages.age_of(item.at, now))
            case quarantine_updates.Quarantine():
                message.quarantined.add(
                    request=item.request,
                    level=item.level,
                    age=message_ages.age_of(item.began, now),
                    ends_in=round((item.ends - now) * message_ages.MILLISECONDS),
                )
    return message


def decode_updates(
    message: control_pb2.CrashNews, now: Seconds
) -> list[quarantine_updates.QuarantineUpdate]:
    """Decode updates; served requests come last, so that they clear those listed beside them."""
    updates: list[quarantine_updates.QuarantineUpdate] = [
        quarantine_updates.CrashUpdate(
            crash.backend,
            message_ages.time_of(crash.age, now),
            frozenset(
                _decode_fingerprints(request)
                for request in crash.lost[: quarantine.MAX_LOST_REQUESTS]
            ),
        )
        for crash in message.crashes
    ]
    updates += [
        quarantine_updates.Quarantine(
            item.request,
            item.level,
            message_ages.time_of(item.age, now),
            now + item.ends_in / message_ages.MILLISECONDS,
        )
        for item in message.quarantined
    ]
    updates += [
        quarantine_updates.ServedUpdate(item.request, message_ages.time_of(item.age, now))
        for item in message.served
    ]
    return updates


def _encode_fingerprints(request: request_content.RequestFingerprints) -> control_pb2.RequestSigns:
    return control_pb2.RequestSigns(
        target=request.target, content=request.content, caller=request.caller
    )


def _decode_fingerprints(request: control_pb2.RequestSigns) -> request_content.RequestFingerprints:
    return request_content.RequestFingerprints(request.target, request.content, request.caller)
