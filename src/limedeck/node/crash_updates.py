"""What nodes tell each other of back ends that ended, and of requests that ended them."""

from __future__ import annotations

from collections.abc import Iterable

from limedeck.api import control_pb2
from limedeck.forwarding import quarantine, quarantine_updates, request_content
from limedeck.identity import Seconds
from limedeck.node import message_ages


class CrashUpdatePeer:
    """How far the node at the other end of a connection was told."""

    def __init__(self, ledger: quarantine.QuarantineLedger) -> None:
        self._ledger = ledger
        self._told = 0

    def fill(self, message: control_pb2.Report | control_pb2.Status, now: Seconds) -> None:
        """Add what the other node lacks, or a part of it if that is much."""
        news = self.news(now)
        if news is not None:
            message.crash_news.CopyFrom(news)

    def news(self, now: Seconds) -> control_pb2.CrashNews | None:
        """Return what the other node lacks, and note that it was told; None if nothing."""
        news, self._told = self._ledger.updates_since(self._told, self)
        return encoded(news, now) if news else None

    def apply(self, message: control_pb2.CrashNews, now: Seconds) -> None:
        """Take in what the other node tells."""
        self._ledger.apply(decoded(message, now), self, now)


def encoded(
    news: Iterable[quarantine_updates.QuarantineUpdate], now: Seconds
) -> control_pb2.CrashNews:
    """Write news; ages instead of times, since nodes' clocks have nothing in common."""
    message = control_pb2.CrashNews()
    for item in news:
        match item:
            case quarantine_updates.CrashUpdate():
                message.crashes.add(
                    backend=item.backend_id,
                    age=message_ages.age_of(item.at, now),
                    lost=[_written(request) for request in sorted(item.requests)],
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


def decoded(
    message: control_pb2.CrashNews, now: Seconds
) -> list[quarantine_updates.QuarantineUpdate]:
    """Read news: what was served last, so that it clears what is told beside it."""
    news: list[quarantine_updates.QuarantineUpdate] = [
        quarantine_updates.CrashUpdate(
            crash.backend,
            message_ages.time_of(crash.age, now),
            frozenset(_read(request) for request in crash.lost[: quarantine.MAX_LOST_REQUESTS]),
        )
        for crash in message.crashes
    ]
    news += [
        quarantine_updates.Quarantine(
            item.request,
            item.level,
            message_ages.time_of(item.age, now),
            now + item.ends_in / message_ages.MILLISECONDS,
        )
        for item in message.quarantined
    ]
    news += [
        quarantine_updates.ServedUpdate(item.request, message_ages.time_of(item.age, now))
        for item in message.served
    ]
    return news


def _written(request: request_content.RequestFingerprints) -> control_pb2.RequestSigns:
    return control_pb2.RequestSigns(
        target=request.target, content=request.content, caller=request.caller
    )


def _read(request: control_pb2.RequestSigns) -> request_content.RequestFingerprints:
    return request_content.RequestFingerprints(request.target, request.content, request.caller)
