"""Attribution of back-end crashes to the requests that were in flight in them.

Nodes' reports of a crash are joined by the back end's id and the time, since a back end may start
again under its id and crash again. All requests in flight in a crash are lost, but at most one of
them caused it. That request is among the lost ones of each such crash; a request that only ran
beside it is served somewhere sooner or later, or is lost in fewer crashes.

Which part of a request causes a crash is not known beforehand: it may crash back ends whoever sends
it, or only as one caller sends it. So each loss counts against all fingerprints of the request, and
the narrowest fingerprint that explains the crashes is blamed. A wider one is blamed as soon as a
crash shows that the narrow one does not explain all of them, and only as long as no request that
shares it is served.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from limedeck.forwarding.request_content import RequestFingerprints
from limedeck.identity import NEVER, Seconds

MIN_CRASHES = 3
"""Crashes after which a request is quarantined. Two may be chance: a request that its caller
retries meets a second crash about as often as back ends crash by themselves. Each further crash
costs a back end and all of its requests in flight."""
MIN_CRASHES_IF_TIED = 6
"""Crashes after which requests that were lost in the same crashes, and never served, are all
quarantined: none of them has been of use to its caller, and the next crash would cost other callers
theirs."""
EVIDENCE_LIFETIME: Seconds = 300.0
"""Time for which crashes are remembered. A request that causes fewer than three crashes in this
time is not detected. Above three times the pause of a caller that retries each minute."""
SAME_CRASH_WINDOW: Seconds = 2.0
"""Reports of crashes of one back end that are no further apart are about the same crash. A report
reaches all nodes in less than a second, and a process takes about this long until it can crash once
more."""
COMMON_CAUSE_WINDOW: Seconds = 0.05
"""Back ends that crash this close together may have a common cause, such as a loss of power; a
request that many callers send at once is then in flight at many of them. Such crashes count once
against fingerprints that callers share. Otherwise the most requested target of a service that lost
all its back ends would be refused."""
MAX_CRASHES = 256
"""Crashes remembered at once, the newest; about 0.1 MB. All back ends of a service of 300 may
crash."""
MAX_LOST_PER_CRASH = 32
"""Requests remembered per crash; more than the slots and the queue of a back end hold."""
MAX_SERVED = 1024
"""Suspects remembered that have been served since their crash; about 0.1 MB."""


@dataclass(slots=True)
class Crash:
    """A crash of a back end.

    Parameters
    ----------
    at
        When it was detected, on this node's clock.
    lost
        Requests that were lost in it and still have a fingerprint in `suspects`.
    suspects
        Fingerprints of lost requests under which no request has been served since.
    """

    backend_id: str
    at: Seconds
    lost: set[RequestFingerprints] = field(default_factory=set)
    suspects: set[int] = field(default_factory=set)


class CrashEvidence:
    """Known crashes and the requests that may have caused them.

    Crashes are numbered in the order in which this node learned of them.
    """

    def __init__(self) -> None:
        self._crashes: dict[int, Crash] = {}
        self._last_number = 0
        self._suspects: Counter[int] = Counter()
        self._callers: Counter[int] = Counter()
        self._served: dict[int, Seconds] = {}

    def __len__(self) -> int:
        return len(self._crashes)

    def crash(self, number: int) -> Crash | None:
        """Return the crash with a number, if it is remembered."""
        return self._crashes.get(number)

    def find(self, backend_id: str, at: Seconds) -> int | None:
        """Return the number of the crash of a back end at about this time."""
        for number in reversed(self._crashes):
            crash = self._crashes[number]
            if crash.backend_id == backend_id and abs(crash.at - at) <= SAME_CRASH_WINDOW:
                return number
        return None

    def served_at(self, fingerprint: int) -> Seconds:
        """Return when a request with a suspect fingerprint was last served."""
        return self._served.get(fingerprint, NEVER)

    def unevaluated_since(self, fingerprint: int, settled: Seconds) -> Seconds:
        """Return when a request was last lost, if it may have caused enough crashes; else `NEVER`.

        `NEVER` also if all of these crashes have been evaluated.

        Parameters
        ----------
        settled
            Crashes up to this time have been evaluated.
        """
        if self._suspects[fingerprint] < MIN_CRASHES:
            return NEVER
        found = [crash.at for crash in self._crashes.values() if fingerprint in crash.suspects]
        if self._weight(fingerprint, found) < MIN_CRASHES:
            return NEVER
        last = max(found, default=NEVER)
        return last if last > settled else NEVER

    def is_suspect(self, fingerprint: int) -> bool:
        """Whether requests with a fingerprint were lost in a crash and none was served since."""
        return fingerprint in self._suspects

    def record_crash(
        self, backend_id: str, requests: Collection[RequestFingerprints], at: Seconds
    ) -> int:
        """Record a crash with these requests in flight, and return its number.

        Requests that other nodes lost in the same crash are added when they are reported.
        """
        number = self.find(backend_id, at)
        if number is None:
            self._last_number += 1
            number = self._last_number
            self._crashes[number] = Crash(backend_id, at)
            while len(self._crashes) > MAX_CRASHES:
                self._remove(next(iter(self._crashes)))
        crash = self._crashes[number]
        # Requests that were lost before are the likelier causes.
        candidates = sorted(requests)
        candidates.sort(key=self._is_any_suspect, reverse=True)
        for request in candidates:
            if len(crash.lost) < MAX_LOST_PER_CRASH and request not in crash.lost:
                self._add_lost_request(crash, request)
        return number

    def _is_any_suspect(self, request: RequestFingerprints) -> bool:
        return any(self.is_suspect(fingerprint) for fingerprint in request.from_narrowest)

    def _add_lost_request(self, crash: Crash, request: RequestFingerprints) -> None:
        fingerprints = {
            fingerprint
            for fingerprint in request.from_narrowest
            if self.served_at(fingerprint) < crash.at
        }
        if not fingerprints:
            return
        crash.lost.add(request)
        self._callers[request.caller] += 1
        self._suspects.update(fingerprints - crash.suspects)
        crash.suspects |= fingerprints

    def record_served(self, fingerprint: int, at: Seconds) -> bool:
        """Record that a request with a fingerprint was served; return whether that clears it."""
        self._served.pop(fingerprint, None)
        self._served[fingerprint] = at
        while len(self._served) > MAX_SERVED:
            del self._served[next(iter(self._served))]
        if not self.is_suspect(fingerprint):
            return False
        cleared = [
            crash
            for crash in self._crashes.values()
            if crash.at <= at and fingerprint in crash.suspects
        ]
        for crash in cleared:
            self._clear(crash, fingerprint)
        return bool(cleared)

    def drop_before(self, oldest: Seconds) -> None:
        """Drop crashes and responses that are older than a time."""
        for number in [key for key, crash in self._crashes.items() if crash.at < oldest]:
            self._remove(number)
        for fingerprint in [item for item, at in self._served.items() if at < oldest]:
            del self._served[fingerprint]

    def newest_crash_at(self) -> Seconds:
        """Return when the last crash was detected."""
        return max((crash.at for crash in self._crashes.values()), default=NEVER)

    def fingerprints_to_quarantine(self, known: Collection[int], settled: Seconds) -> list[int]:
        """Return the fingerprints of requests that caused enough crashes to be quarantined.

        A request that was lost in many crashes is not blamed for those that another request
        explains better: one that was lost in more of them, or is known to crash back ends. As long
        as two requests were lost in the same few crashes, the cause is ambiguous and neither is
        blamed.

        Parameters
        ----------
        known
            Fingerprints of requests that are known to crash back ends.
        settled
            Later crashes are left out, since it is not known yet what other nodes lost in them.
        """
        settled_crashes = [
            item for item in self._crashes.values() if item.at <= settled and item.suspects
        ]
        candidates = [_unexplained(crash, known) for crash in settled_crashes]
        times: defaultdict[int, list[Seconds]] = defaultdict(list)
        for crash, fingerprints in zip(settled_crashes, candidates, strict=True):
            for fingerprint in fingerprints:
                times[fingerprint].append(crash.at)
        weights = {
            fingerprint: self._weight(fingerprint, found) for fingerprint, found in times.items()
        }
        attributed: defaultdict[int, list[Seconds]] = defaultdict(list)
        unexplained: set[int] = set()
        for crash, fingerprints in zip(settled_crashes, candidates, strict=True):
            for fingerprint in _attributed_to(crash, fingerprints, weights):
                attributed[fingerprint].append(crash.at)
                if crash.suspects.isdisjoint(known):
                    unexplained.add(fingerprint)
        return sorted(
            fingerprint
            for fingerprint in unexplained
            if self._weight(fingerprint, attributed[fingerprint]) >= MIN_CRASHES
        )

    def _weight(self, fingerprint: int, times: Iterable[Seconds]) -> int:
        """Count the crashes at these times that count against a fingerprint."""
        found = sorted(times)
        if not self._is_shared(fingerprint):
            return len(found)
        last = NEVER
        weight = 0
        for at in found:
            if at - last > COMMON_CAUSE_WINDOW:
                last = at
                weight += 1
        return weight

    def _is_shared(self, fingerprint: int) -> bool:
        """Whether requests of several callers share a fingerprint."""
        return fingerprint not in self._callers

    def _remove(self, number: int) -> None:
        crash = self._crashes.pop(number)
        for fingerprint in list(crash.suspects):
            self._clear(crash, fingerprint)

    def _clear(self, crash: Crash, fingerprint: int) -> None:
        crash.suspects.discard(fingerprint)
        cleared = {
            request for request in crash.lost if crash.suspects.isdisjoint(request.from_narrowest)
        }
        crash.lost -= cleared
        for request in cleared:
            _decrement(self._callers, request.caller)
        _decrement(self._suspects, fingerprint)


def _decrement(counter: Counter[int], fingerprint: int) -> None:
    counter[fingerprint] -= 1
    if not counter[fingerprint]:
        del counter[fingerprint]


def _unexplained(crash: Crash, known: Collection[int]) -> set[int]:
    """Return the fingerprints that may explain a crash.

    A known fingerprint explains the crash. What crashes back ends may still be wider than that
    request, so the wider fingerprints of the same request remain candidates.
    """
    explained = crash.suspects.intersection(known)
    if not explained:
        return crash.suspects
    wider: set[int] = set()
    for request in crash.lost:
        for fingerprint in explained.intersection(request.from_narrowest):
            wider.update(request.wider_than(fingerprint))
    return (wider & crash.suspects) - explained


def _attributed_to(crash: Crash, fingerprints: set[int], weights: dict[int, int]) -> set[int]:
    """Return the fingerprints that are blamed for a crash; none if the cause is ambiguous."""
    most = max((weights[fingerprint] for fingerprint in fingerprints), default=0)
    found = set()
    for request in crash.lost:
        tied = [
            fingerprint
            for fingerprint in request.from_narrowest
            if fingerprint in fingerprints and weights[fingerprint] == most
        ]
        found.update(tied[:1])
    return found if len(found) == 1 or most >= MIN_CRASHES_IF_TIED else set()
