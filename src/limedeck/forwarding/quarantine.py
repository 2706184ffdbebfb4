"""Requests that end each back end which runs them: found out, refused for a while, then tried.

Every node keeps a ledger of its own and judges by itself. Nodes tell each other what they have
seen, not whom to blame, so that each knows as soon as it has heard of the crashes, whoever tells
it. The memory is bounded, and so is each message.
"""

from __future__ import annotations

import enum
import itertools
from collections.abc import Iterable
from dataclasses import dataclass, fields

from limedeck.forwarding.crashes import (
    EVIDENCE_LIFE,
    MOST_CRASHES,
    MOST_SERVED,
    ONE_END,
    CrashEvidence,
)
from limedeck.forwarding.hashing import hash_fraction
from limedeck.forwarding.quarantine_updates import (
    BackendEnded,
    CrashUpdate,
    Event,
    Quarantine,
    QuarantineBegan,
    QuarantineEnded,
    QuarantineUpdate,
    ServedUpdate,
)
from limedeck.forwarding.request_content import RequestFingerprints, format_fingerprint
from limedeck.identity import NEVER, Seconds

BASE_QUARANTINE_TIME: Seconds = 120.0
"""A quarantine's length. A trial that fails costs one back end for some 5 s until it is back, warm
and has keys, so one in so long costs 4% of one back end at most; and a caller whose request was
mended at the back ends is not refused for long."""
LONGEST_SPAN: Seconds = 1920.0
"""Each trial that fails doubles the span up to this: half an hour, about the time of a rollout."""
TRIAL_SPREAD: Seconds = 30.0
"""Nodes let a trial through so long after each other at most: the outcome of one is known at all
nodes in about a second, so that hardly more than one back end is lost by it."""
TRIAL_TIME: Seconds = 5.0
"""A node lets one request through in so long while nothing came of the one before; above the time
that callers wait."""
PROBATION = 10.0
"""Spans after its end in which one crash is enough to begin the quarantine anew."""
LOSS_MEMORY: Seconds = ONE_END
"""A connection was lost, and the back end's process is found to have ended within so long: above
the time of two looks at its port."""
GATHERING: Seconds = 0.8
"""A crash is judged so long after it was found out. Until then nodes tell each other what each of
them lost in it; two that were lost at different nodes would each be blamed by its own otherwise.
Above two looks at a port (0.1 s), a report's interval (0.25 s) and a status's (0.3 s)."""
JUDGED_WITHIN: Seconds = GATHERING + 0.15
"""A crash is surely judged so long after it was found out: nodes look ten times a second."""
MAX_LOST_REQUESTS = 64
"""Requests lost at one back end that are remembered until its end is known."""
MOST_QUARANTINED = 2048
"""Remembered at once, the newest; some 0.5 MB, and 50 kB as a row of the store."""
MOST_CHANGES = 2 * (MOST_QUARANTINED + MOST_CRASHES + MOST_SERVED)
"""Remembered until those about what was forgotten are dropped: twice as many as can matter."""
MOST_TOLD = 600
"""Signs of requests that one message names, if it holds more than one item: at most 16 kB. A node
that starts among 2,000 quarantines is told all of them within four messages."""
SIGNS = len(fields(RequestFingerprints))
SAME_END: Seconds = 1.0
"""Two nodes' quarantines of one request are the same if they end within so long of each other."""


class Kind(enum.Enum):
    """What an item of news is about."""

    CRASH = "crash"
    SERVED = "served"
    QUARANTINE = "quarantine"


@dataclass(frozen=True, slots=True)
class _Change:
    version: int
    source: object


_Subject = tuple[Kind, int]
"""What a change is about: a crash by its number, or a sign."""


class QuarantineLedger:
    """One node's knowledge of requests that end back ends.

    Parameters
    ----------
    node_id
        Nodes let trials through at different times.

    Attributes
    ----------
    events
        What happened since the host last emptied this list, for its log.
    version
        Rises with everything that is worth telling others.
    """

    def __init__(self, node_id: str) -> None:
        self._node_id = node_id
        self._evidence = CrashEvidence()
        self._losses: dict[str, dict[RequestFingerprints, Seconds]] = {}
        self._quarantines: dict[int, Quarantine] = {}
        self._trials: dict[int, Seconds] = {}
        self._changes: dict[_Subject, _Change] = {}
        self._unjudged = False
        self.version = 0
        self.events: list[Event] = []

    # ------------------------------------------------------------------ requests

    @property
    def refuses_any(self) -> bool:
        """Whether any request is refused; if not, nobody needs its fingerprint to send it."""
        return bool(self._quarantines)

    @property
    def suspects_any(self) -> bool:
        """Whether there is anything against any request that its answer would clear it of."""
        return bool(self._quarantines or len(self._evidence))

    def refused_for(self, request: int, now: Seconds) -> Seconds | None:
        """How long a request is refused from now on; None if it may be sent."""
        found = self._quarantines.get(request)
        if found is None:
            return None
        trial = found.ends + TRIAL_SPREAD * self._spread(request)
        trial = max(trial, self._trials.get(request, NEVER) + TRIAL_TIME)
        return trial - now if trial > now else None

    def blocked_until(self, request: int, now: Seconds) -> Seconds | None:
        """Until when a request waits for the judgement on it; None if it need not wait.

        Three back ends have ended with it under way, and nobody knows yet whether by its fault. In
        that time its caller would come twice more, and end as many back ends as it has attempts.
        """
        since = self._evidence.unsettled_since(request, now - JUDGED_WITHIN)
        return None if since == NEVER else since + JUDGED_WITHIN

    def record_sent(self, request: int, now: Seconds) -> None:
        """It is sent to a back end."""
        if request in self._quarantines:
            self._trials[request] = now

    def record_served(self, request: int, now: Seconds) -> None:
        """A back end has answered it."""
        if request in self._quarantines or self._evidence.is_suspect(request):
            self._take_served(ServedUpdate(request, now), None)

    # ------------------------------------------------------------------ back ends

    def record_lost_request(
        self, backend_id: str, request: RequestFingerprints, now: Seconds
    ) -> None:
        """The connection to a back end was lost while it was at work on a request."""
        if self._evidence.find(backend_id, now) is not None:
            self._take_crash(CrashUpdate(backend_id, now, frozenset({request})), None, now)
            return
        losses = self._losses.setdefault(backend_id, {})
        if len(losses) < MAX_LOST_REQUESTS:
            losses[request] = now

    def record_process_exit(self, backend_id: str, now: Seconds) -> None:
        """A back end's process has ended."""
        if backend_id in self._losses:
            self._take_crash(CrashUpdate(backend_id, now, frozenset()), None, now)

    def record_alive(self, backend_id: str) -> None:
        """A back end's process goes on: what was lost there is not the fault of a request."""
        self._losses.pop(backend_id, None)

    def handle_tick(self, now: Seconds) -> None:
        """Judge what is known by now, and drop what has become worthless."""
        self._forget_old(now)
        if not self._unjudged:
            return
        settled = now - GATHERING
        self._unjudged = self._evidence.newest() > settled
        for request in self._evidence.culprits(self._quarantines.keys(), settled):
            self._begin(request, 0, now)

    def _forget_old(self, now: Seconds) -> None:
        self._evidence.forget_before(now - EVIDENCE_LIFE)
        for backend_id, losses in list(self._losses.items()):
            if max(losses.values()) < now - LOSS_MEMORY:
                del self._losses[backend_id]
        for item in list(self._quarantines.values()):
            if now > item.ends + PROBATION * _span(item.level):
                self._drop(item.request)
        if len(self._changes) > MOST_CHANGES:
            for key in [key for key in self._changes if self._item(key) is None]:
                del self._changes[key]

    # ------------------------------------------------------------------ other nodes

    @property
    def count(self) -> int:
        """How many requests are refused, or on probation."""
        return len(self._quarantines)

    def quarantines(self) -> list[Quarantine]:
        """Return all that are known, probations included."""
        return list(self._quarantines.values())

    def updates_since(self, told: int, peer: object) -> tuple[list[QuarantineUpdate], int]:
        """Return what changed after a version, the oldest first, and up to which version that is.

        Parameters
        ----------
        peer
            It needs no news that came from itself.
        """
        found: list[QuarantineUpdate] = []
        size = 0
        for key, change in self._changes_after(told):
            item = self._item(key)
            if item is not None and change.source is not peer:
                size += _size(item)
                if found and size > MOST_TOLD:
                    return found, told
                found.append(item)
            told = change.version
        return found, told

    def _changes_after(self, told: int) -> list[tuple[_Subject, _Change]]:
        """Return later changes, the oldest first; a leader asks this for each follower."""
        newest_first = reversed(self._changes.items())
        later = list(itertools.takewhile(lambda item: item[1].version > told, newest_first))
        later.reverse()
        return later

    def apply(self, news: Iterable[QuarantineUpdate], source: object, now: Seconds) -> None:
        """Take in what another node has told, or the store."""
        for item in news:
            match item:
                case CrashUpdate():
                    self._take_crash(item, source, now)
                case ServedUpdate():
                    self._take_served(item, source)
                case Quarantine():
                    self._take_quarantine(item, source)

    # ------------------------------------------------------------------ inside

    def _take_crash(self, item: CrashUpdate, source: object, now: Seconds) -> None:
        own = {
            request
            for request, at in self._losses.pop(item.backend_id, {}).items()
            if at > now - LOSS_MEMORY
        }
        known = self._evidence.find(item.backend_id, item.at)
        known_losses = self._lost_in(known)
        number = self._evidence.note_crash(item.backend_id, item.requests | own, item.at)
        losses = self._lost_in(number)
        if known is not None and losses == known_losses:
            return
        # Whoever told of the crash may lack what others lost in it.
        is_all_told = losses <= item.requests
        self._note_change((Kind.CRASH, number), source if is_all_told else None)
        if known is None:
            self.events.append(BackendEnded(item.backend_id, len(item.requests | own)))
        self._unjudged = True
        self._judge_trials(number, now)

    def _lost_in(self, number: int | None) -> frozenset[RequestFingerprints]:
        crash = None if number is None else self._evidence.crash(number)
        return frozenset() if crash is None else frozenset(crash.lost)

    def _take_served(self, item: ServedUpdate, source: object) -> None:
        found = self._quarantines.get(item.request)
        released = found is not None and item.at > found.began
        if released:
            self._drop(item.request)
            self.events.append(QuarantineEnded(item.request))
        cleared = self._evidence.record_served(item.request, item.at)
        if cleared or released:
            self._note_change((Kind.SERVED, item.request), source)

    def _take_quarantine(self, item: Quarantine, source: object) -> None:
        if self._evidence.served_at(item.request) > item.began:
            return
        known = self._quarantines.get(item.request)
        is_newer = known is None or (item.level, item.ends) > (known.level, known.ends + SAME_END)
        if is_newer:
            self._put(item, source)

    def _judge_trials(self, number: int, now: Seconds) -> None:
        """Refuse again what was tried after its quarantine, and has ended a back end."""
        crash = self._evidence.crash(number)
        if crash is None:
            return
        for sign in crash.against:
            found = self._quarantines.get(sign)
            if found is not None and crash.at > found.ends:
                self._begin(sign, found.level + 1, now)

    def _begin(self, request: int, level: int, now: Seconds) -> None:
        self._put(Quarantine(request, level, now, now + _span(level)), None)

    def _put(self, item: Quarantine, source: object) -> None:
        self._drop(item.request)
        self._quarantines[item.request] = item
        self._note_change((Kind.QUARANTINE, item.request), source)
        self.events.append(QuarantineBegan(item, from_peer=source is not None))
        while len(self._quarantines) > MOST_QUARANTINED:
            self._drop(next(iter(self._quarantines)))

    def _drop(self, request: int) -> None:
        self._quarantines.pop(request, None)
        self._trials.pop(request, None)

    def _note_change(self, key: _Subject, source: object) -> None:
        self.version += 1
        self._changes.pop(key, None)
        self._changes[key] = _Change(self.version, source)

    def _item(self, key: _Subject) -> QuarantineUpdate | None:
        match key:
            case (Kind.CRASH, number):
                crash = self._evidence.crash(number)
                if crash is None:
                    return None
                return CrashUpdate(crash.backend_id, crash.at, frozenset(crash.lost))
            case (Kind.SERVED, sign):
                at = self._evidence.served_at(sign)
                return ServedUpdate(sign, at) if at > NEVER else None
            case (Kind.QUARANTINE, sign):
                return self._quarantines.get(sign)
        return None

    def _spread(self, request: int) -> float:
        return hash_fraction(f"{self._node_id}{format_fingerprint(request)}".encode())


def _size(item: QuarantineUpdate) -> int:
    """How many signs an item names; a crash that names none counts too."""
    return 1 + SIGNS * len(item.requests) if isinstance(item, CrashUpdate) else 1


def _span(level: int) -> Seconds:
    return min(BASE_QUARANTINE_TIME * 2.0 ** min(level, 10), LONGEST_SPAN)
