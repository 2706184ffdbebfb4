"""Which requests were under way when back ends ended, and which of them ended those back ends.

Nodes' accounts of an end are joined by the back end's id and the time: it may start again under its
id, and end again. Whatever it was at work on is lost, by the fault of one request at most. That one
is among the lost each time; what only ran beside it is served somewhere sooner or later, or was
lost less often.

What a request is known by is not known beforehand: it may end back ends whoever sends it, or only
as one caller sends it. So a loss is held against all signs of the request, and the narrowest one
that explains the ends is blamed. A wider one is blamed as soon as an end shows that the narrow one
does not explain all of them, and only as long as no request that shares it is served.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from limedeck.forwarding.request_content import RequestFingerprints
from limedeck.identity import NEVER, Seconds

CRASHES_TO_CONVICT = 3
"""Two may be chance: a caller that comes again meets a second one about as often as back ends end
by themselves. Each more costs a back end, and all that it is at work on."""
CRASHES_TO_CONVICT_ALL = 6
"""Two that were lost together so often, and never served, are both refused: none of them has been
of use to its caller, and the next crash would cost others theirs."""
EVIDENCE_LIFE: Seconds = 300.0
"""A request that ends back ends less often than three times in so long is not known by it. Longer
than three times the pauses of a caller that comes again each minute; an estimate."""
ONE_END: Seconds = 2.0
"""Accounts of a back end's end that lie no further apart are about the same end. News of it take
less than a second to all nodes, and a process needs about so long until it ends once more."""
ONE_CAUSE: Seconds = 0.05
"""Back ends that end so close together may have lost their power together: a request that many
callers send at once is then under way at many of them. That counts once against what callers share;
without it the most wanted target of a service that lost all its back ends would be refused."""
MOST_CRASHES = 256
"""Remembered at once, the newest: some 0.1 MB. All back ends of a service of 300 may end."""
MOST_SUSPECTS = 32
"""Requests remembered of one crash. More than a back end's slots and queue together hold."""
MOST_SERVED = 1024
"""Suspects remembered that were served since; some 0.1 MB."""


@dataclass(slots=True)
class Crash:
    """A back end has ended.

    Parameters
    ----------
    at
        When that was found out, on this node's clock.
    lost
        Requests that were lost there, as long as it speaks against any of their signs.
    against
        Their signs by which none was served since.
    """

    backend_id: str
    at: Seconds
    lost: set[RequestFingerprints] = field(default_factory=set)
    against: set[int] = field(default_factory=set)


class CrashEvidence:
    """What is known of crashes, and whom it speaks against.

    Crashes are numbered in the order in which this node learned of them.
    """

    def __init__(self) -> None:
        self._crashes: dict[int, Crash] = {}
        self._newest_number = 0
        self._suspects: Counter[int] = Counter()
        self._callers: Counter[int] = Counter()
        self._served: dict[int, Seconds] = {}

    def __len__(self) -> int:
        return len(self._crashes)

    def crash(self, number: int) -> Crash | None:
        """Return what is known of one back end's end."""
        return self._crashes.get(number)

    def find(self, backend_id: str, at: Seconds) -> int | None:
        """Return the number of this back end's end at about this time."""
        for number in reversed(self._crashes):
            crash = self._crashes[number]
            if crash.backend_id == backend_id and abs(crash.at - at) <= ONE_END:
                return number
        return None

    def served_at(self, sign: int) -> Seconds:
        """When a suspect was served last."""
        return self._served.get(sign, NEVER)

    def unsettled_since(self, sign: int, settled: Seconds) -> Seconds:
        """When the last back end ended under a request that may have ended enough of them.

        Never, if others' part in these crashes is known, or they are too few.
        """
        if self._suspects[sign] < CRASHES_TO_CONVICT:
            return NEVER
        found = [crash.at for crash in self._crashes.values() if sign in crash.against]
        if self._weight(sign, found) < CRASHES_TO_CONVICT:
            return NEVER
        last = max(found, default=NEVER)
        return last if last > settled else NEVER

    def is_suspect(self, sign: int) -> bool:
        """Whether a request with it was lost in a crash and none has been served since."""
        return sign in self._suspects

    def note_crash(
        self, backend_id: str, requests: Collection[RequestFingerprints], at: Seconds
    ) -> int:
        """A back end has ended with these requests under way; return the crash's number.

        What was lost at other nodes is told later, so a crash grows.
        """
        number = self.find(backend_id, at)
        if number is None:
            self._newest_number += 1
            number = self._newest_number
            self._crashes[number] = Crash(backend_id, at)
            while len(self._crashes) > MOST_CRASHES:
                self._drop(next(iter(self._crashes)))
        crash = self._crashes[number]
        # Those which were lost before are the likelier ones.
        by_name = sorted(requests)
        by_name.sort(key=self._is_any_suspect, reverse=True)
        for request in by_name:
            if len(crash.lost) < MOST_SUSPECTS and request not in crash.lost:
                self._hold_against(crash, request)
        return number

    def _is_any_suspect(self, request: RequestFingerprints) -> bool:
        return any(self.is_suspect(sign) for sign in request.from_narrowest)

    def _hold_against(self, crash: Crash, request: RequestFingerprints) -> None:
        fingerprints = {sign for sign in request.from_narrowest if self.served_at(sign) < crash.at}
        if not fingerprints:
            return
        crash.lost.add(request)
        self._callers[request.caller] += 1
        self._suspects.update(fingerprints - crash.against)
        crash.against |= fingerprints

    def record_served(self, sign: int, at: Seconds) -> bool:
        """A back end has answered a request with it and goes on; tell whether that clears it."""
        self._served.pop(sign, None)
        self._served[sign] = at
        while len(self._served) > MOST_SERVED:
            del self._served[next(iter(self._served))]
        if not self.is_suspect(sign):
            return False
        cleared = [
            crash for crash in self._crashes.values() if crash.at <= at and sign in crash.against
        ]
        for crash in cleared:
            self._clear(crash, sign)
        return bool(cleared)

    def forget_before(self, oldest: Seconds) -> None:
        """Drop what is older."""
        for number in [key for key, crash in self._crashes.items() if crash.at < oldest]:
            self._drop(number)
        for sign in [item for item, at in self._served.items() if at < oldest]:
            del self._served[sign]

    def newest(self) -> Seconds:
        """When the last crash was found out."""
        return max((crash.at for crash in self._crashes.values()), default=NEVER)

    def culprits(self, known: Collection[int], settled: Seconds) -> list[int]:
        """Return the signs of requests that have surely ended enough back ends.

        One that was lost in many crashes is not blamed for those that another one explains better:
        which was lost in more of them, or is known to end back ends. As long as two were lost in
        the same few crashes, nobody can tell which it was, and neither is blamed.

        Parameters
        ----------
        known
            Signs of requests that are known already to end back ends.
        settled
            Of later crashes it is not known yet what other nodes lost.
        """
        judged = [item for item in self._crashes.values() if item.at <= settled and item.against]
        candidates = [_unexplained(crash, known) for crash in judged]
        times: defaultdict[int, list[Seconds]] = defaultdict(list)
        for crash, fingerprints in zip(judged, candidates, strict=True):
            for sign in fingerprints:
                times[sign].append(crash.at)
        weights = {sign: self._weight(sign, found) for sign, found in times.items()}
        blamed: defaultdict[int, list[Seconds]] = defaultdict(list)
        unexplained: set[int] = set()
        for crash, fingerprints in zip(judged, candidates, strict=True):
            for sign in _likeliest(crash, fingerprints, weights):
                blamed[sign].append(crash.at)
                if crash.against.isdisjoint(known):
                    unexplained.add(sign)
        return sorted(
            sign for sign in unexplained if self._weight(sign, blamed[sign]) >= CRASHES_TO_CONVICT
        )

    def _weight(self, sign: int, times: Iterable[Seconds]) -> int:
        """How many ends at these times count against a sign."""
        found = sorted(times)
        if not self._is_shared(sign):
            return len(found)
        last = NEVER
        weight = 0
        for at in found:
            if at - last > ONE_CAUSE:
                last = at
                weight += 1
        return weight

    def _is_shared(self, sign: int) -> bool:
        """Whether requests of several callers have this sign."""
        return sign not in self._callers

    def _drop(self, number: int) -> None:
        crash = self._crashes.pop(number)
        for sign in list(crash.against):
            self._clear(crash, sign)

    def _clear(self, crash: Crash, sign: int) -> None:
        crash.against.discard(sign)
        cleared = {
            request for request in crash.lost if crash.against.isdisjoint(request.from_narrowest)
        }
        crash.lost -= cleared
        for request in cleared:
            _count_down(self._callers, request.caller)
        _count_down(self._suspects, sign)


def _count_down(counter: Counter[int], sign: int) -> None:
    counter[sign] -= 1
    if not counter[sign]:
        del counter[sign]


def _unexplained(crash: Crash, known: Collection[int]) -> set[int]:
    """Signs that a crash speaks against.

    If the sign of a request is known, that explains the crash; but what ends back ends beyond that
    request may be known by a wider sign of the same one.
    """
    explained = crash.against.intersection(known)
    if not explained:
        return crash.against
    wider: set[int] = set()
    for request in crash.lost:
        for sign in explained.intersection(request.from_narrowest):
            wider.update(request.wider_than(sign))
    return (wider & crash.against) - explained


def _likeliest(crash: Crash, fingerprints: set[int], weights: dict[int, int]) -> set[int]:
    """Signs that are blamed for a crash; none if nobody can tell which."""
    most = max((weights[sign] for sign in fingerprints), default=0)
    found = set()
    for request in crash.lost:
        tied = [
            sign
            for sign in request.from_narrowest
            if sign in fingerprints and weights[sign] == most
        ]
        found.update(tied[:1])
    return found if len(found) == 1 or most >= CRASHES_TO_CONVICT_ALL else set()
