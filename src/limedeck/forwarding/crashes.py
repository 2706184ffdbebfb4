"""Which requests were under way when back ends ended, and which of them ended those back ends.

An incarnation of a back end has an id of its own and ends once, so nodes' accounts of it can be
joined by that id. Whatever it was at work on is lost, by the fault of one request at most. That one
is among the lost each time; what only ran beside it is served somewhere sooner or later, or was
lost less often.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field

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
MOST_CRASHES = 256
"""Remembered at once, the newest: some 0.1 MB. All back ends of a service of 300 may end."""
MOST_SUSPECTS = 32
"""Requests remembered of one crash. More than a back end's slots and queue together hold."""
MOST_SERVED = 1024
"""Suspects remembered that were served since; some 0.1 MB."""


@dataclass(slots=True)
class Crash:
    """One incarnation of a back end has ended.

    Parameters
    ----------
    at
        When that was found out, on this node's clock.
    requests
        Fingerprints of those that were lost there, and were not served since.
    """

    backend_id: str
    at: Seconds
    requests: set[int] = field(default_factory=set)


class CrashEvidence:
    """What is known of crashes, and whom it speaks against."""

    def __init__(self) -> None:
        self._crashes: dict[str, Crash] = {}
        self._suspects: Counter[int] = Counter()
        self._served: dict[int, Seconds] = {}

    def __len__(self) -> int:
        return len(self._crashes)

    def crash(self, backend_id: str) -> Crash | None:
        """Return what is known of one back end's end."""
        return self._crashes.get(backend_id)

    def served_at(self, request: int) -> Seconds:
        """When a suspect was served last."""
        return self._served.get(request, NEVER)

    def unsettled_since(self, request: int, settled: Seconds) -> Seconds:
        """When the last back end ended under a request that may have ended enough of them.

        Never, if others' part in these crashes is known, or they are too few.
        """
        if self._suspects[request] < CRASHES_TO_CONVICT:
            return NEVER
        found = (crash.at for crash in self._crashes.values() if request in crash.requests)
        last = max(found, default=NEVER)
        return last if last > settled else NEVER

    def is_suspect(self, request: int) -> bool:
        """Whether it was lost in a crash and has not been served since."""
        return request in self._suspects

    def note_crash(self, backend_id: str, requests: Collection[int], at: Seconds) -> bool:
        """A back end has ended with these requests under way; tell whether that says anything new.

        What was lost at other nodes is told later, so a crash grows.
        """
        crash = self._crashes.get(backend_id)
        is_new = crash is None
        if crash is None:
            crash = Crash(backend_id, at)
            self._crashes[backend_id] = crash
            while len(self._crashes) > MOST_CRASHES:
                self._drop(next(iter(self._crashes)))
        before = len(crash.requests)
        unserved = sorted(item for item in requests if self.served_at(item) < crash.at)
        # Those which were lost before are the likelier ones.
        unserved.sort(key=self.is_suspect, reverse=True)
        for request in unserved:
            if len(crash.requests) < MOST_SUSPECTS and request not in crash.requests:
                crash.requests.add(request)
                self._suspects[request] += 1
        return is_new or len(crash.requests) > before

    def note_served(self, request: int, at: Seconds) -> bool:
        """A back end has answered it and goes on; tell whether that clears it of anything."""
        self._served.pop(request, None)
        self._served[request] = at
        while len(self._served) > MOST_SERVED:
            del self._served[next(iter(self._served))]
        if not self.is_suspect(request):
            return False
        cleared = [
            crash
            for crash in self._crashes.values()
            if crash.at <= at and request in crash.requests
        ]
        for crash in cleared:
            self._clear(crash, request)
        return bool(cleared)

    def forget_before(self, oldest: Seconds) -> None:
        """Drop what is older."""
        for key in [key for key, crash in self._crashes.items() if crash.at < oldest]:
            self._drop(key)
        for request in [item for item, at in self._served.items() if at < oldest]:
            del self._served[request]

    def newest(self) -> Seconds:
        """When the last crash was found out."""
        return max((crash.at for crash in self._crashes.values()), default=NEVER)

    def culprits(self, known: Collection[int], settled: Seconds) -> list[int]:
        """Return the requests that have surely ended enough back ends.

        One that was lost in many crashes is not blamed for those that another one explains better:
        which was lost in more of them, or is known to end back ends. As long as two were lost in
        the same few crashes, nobody can tell which it was, and neither is blamed.

        Parameters
        ----------
        known
            Requests that are known already to end back ends.
        settled
            Of later crashes it is not known yet what other nodes lost.
        """
        open_cases = [
            crash.requests
            for crash in self._crashes.values()
            if crash.at <= settled and crash.requests and crash.requests.isdisjoint(known)
        ]
        counts = Counter(request for requests in open_cases for request in requests)
        blamed: Counter[int] = Counter()
        for requests in open_cases:
            most = max(counts[request] for request in requests)
            first = [request for request in requests if counts[request] == most]
            if len(first) == 1 or most >= CRASHES_TO_CONVICT_ALL:
                blamed.update(first)
        return sorted(item for item, count in blamed.items() if count >= CRASHES_TO_CONVICT)

    def _drop(self, backend_id: str) -> None:
        crash = self._crashes.pop(backend_id)
        for request in list(crash.requests):
            self._clear(crash, request)

    def _clear(self, crash: Crash, request: int) -> None:
        crash.requests.discard(request)
        self._suspects[request] -= 1
        if not self._suspects[request]:
            del self._suspects[request]
