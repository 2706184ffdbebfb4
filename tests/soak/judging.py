"""What a soak holds against the nodes: promises to callers, and to operators."""

from __future__ import annotations

import collections
import dataclasses
import json
import threading
import time

from tests.soak import callers, limit_judging, statement_judging
from tests.system import platform_site

EXCUSE = 0.5
"""Orders that a pause or a proxy held up may be taken so long after; nobody judges them."""
LEASE = 2.2
"""A grant that was taken late runs so long."""
TOUCH = 3.0
"""After an unplanned fault, promises with a time bound bind again so many seconds later."""
CONFIGURED = 2.5
"""Seconds after which a new configuration must be in force."""
CROSSING = 0.2
"""A request that was sent so shortly before its connection ended may not have been read."""
KNOWN = 3.0
"""Seconds after the third back end has ended under a request until all nodes know it."""
MOST_LATER_CRASHES = 3
EVACUATED = 4.5
"""Seconds after a zone's evacuation was asked for until nothing may reach its back ends."""
MOST_WHILE_COLD = 14
"""Requests in any second that a cold back end may get from all nodes."""
MOST_TOLD = 5


@dataclasses.dataclass
class Result:
    """What a soak saw."""

    seed: int
    nodes: int
    statuses: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    steps: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    violations: list[str] = dataclasses.field(default_factory=list)

    def as_json(self) -> str:
        """One line."""
        return json.dumps(vars(self))


class JudgedSite(platform_site.Site):
    """A site whose judge excuses what a fault held up on its way."""

    excused_until = 0.0

    def __init__(self) -> None:
        super().__init__()
        self.held_up: list[tuple[float, float]] = []
        """From when until when requests and orders may have been held up on their way."""

    def excuse(self, seconds: float) -> None:
        """A fault that holds orders up is on for so long."""
        until = time.monotonic() + seconds + EXCUSE + LEASE
        self.held_up.append((time.monotonic(), until))
        self.excused_until = max(self.excused_until, until)

    def judge(self) -> None:
        if time.monotonic() > self.excused_until:
            super().judge()


@dataclasses.dataclass(frozen=True)
class Version:
    """A configuration, and when it was written; it has a route that no other one has."""

    number: int
    written: float

    @property
    def prefix(self) -> str:
        """Of its own route."""
        return f"/only-{self.number}/"


class Judge:
    """Holds what callers saw against what happened; called from several threads."""

    def __init__(self, result: Result, site: JudgedSite) -> None:
        self._result = result
        self._site = site
        self._lock = threading.Lock()
        self._unplanned_until = 0.0
        self._seen: dict[str, tuple[int, float]] = {}
        """By node: the newest configuration that was seen in force, and when."""
        self._versions: list[Version] = []
        self._senders: dict[str, str] = {}
        """By request: the life of the node that it was sent to."""
        self._sent: dict[str, statement_judging.SentRequest] = {}
        self._lives: collections.Counter[str] = collections.Counter()
        self._unsafe: set[str] = set()
        self._refused: set[str] = set()
        self._lost: list[tuple[str, callers.Reply]] = []

    # ------------------------------------------------------------------ what happens

    def note_unplanned(self, seconds: float = 0.0) -> None:
        """A fault that nobody planned is on from now for so long."""
        with self._lock:
            until = time.monotonic() + seconds + TOUCH
            self._unplanned_until = max(self._unplanned_until, until)

    def is_calm_since(self, began: float) -> bool:
        """Whether nothing unplanned has happened from some time before `began` until now."""
        with self._lock:
            return began > self._unplanned_until

    def note_version(self, number: int) -> None:
        """A configuration was written."""
        with self._lock:
            self._versions.append(Version(number, time.monotonic()))

    def versions(self) -> list[Version]:
        """Those that were written last, the newest last."""
        with self._lock:
            return self._versions[-2:]

    # ------------------------------------------------------------------ what callers see

    def note_started(self, address: str) -> None:
        """A node's next life has begun at an address."""
        with self._lock:
            self._lives[address] += 1

    def record_sent(self, request: str, address: str, is_unsafe: bool) -> None:
        """A request is about to be sent to the node at an address."""
        with self._lock:
            node = f"{address}/{self._lives[address]}"
            self._senders[request] = node
            self._sent[request] = statement_judging.SentRequest(node, time.monotonic())
            if is_unsafe:
                self._unsafe.add(request)

    def note_reply(
        self, request: str, address: str, reply: callers.Reply, version: Version | None
    ) -> None:
        """A request has ended.

        Parameters
        ----------
        version
            The configuration that alone has its route; None if all have it.
        """
        if self._site.store.faults:
            # Faults of the store wait until nodes call it, which may be long after they were drawn.
            self.note_unplanned()
        with self._lock:
            shown = str(reply.status) if reply.status else reply.ending.value
            self._result.statuses[shown] += 1
            if reply.ending is callers.Ending.ANSWERED:
                self._judge_answer(request, reply, version)
                if version is not None:
                    self._judge_version(address, reply, version)
            elif reply.ending is not callers.Ending.NOT_CONNECTED and self._is_calm(reply):
                self._lost.append((request, reply))

    def _judge_answer(self, request: str, reply: callers.Reply, version: Version | None) -> None:
        if reply.status == 503:
            self._refused.add(request)
        elif reply.status == 200:
            if reply.request_id != request or reply.body != request.encode() + b":":
                self._blame(f"answer of another request: {request}")
        elif reply.status not in (502, 504) and (version is None or reply.status != 404):
            self._blame(f"status {reply.status}: {request}")

    def _judge_version(self, address: str, reply: callers.Reply, version: Version) -> None:
        newest = self._versions[-1]
        if reply.status == 200:
            seen, since = self._seen.get(address, (0, 0.0))
            if version.number > seen:
                self._seen[address] = (version.number, reply.ended)
            elif version.number < seen and reply.began > since:
                self._blame(f"configuration {version.number} in force after {seen} at {address}")
        in_force = reply.began > newest.written + CONFIGURED and self._is_calm(reply)
        if not in_force:
            return
        if version is newest and reply.status == 404:
            self._blame(f"configuration {version.number} not in force at {address}")
        elif version is not newest and reply.status == 200:
            self._blame(f"route of configuration {version.number} still served at {address}")

    def _is_calm(self, reply: callers.Reply) -> bool:
        """Whether nothing unplanned has happened from some time before until now."""
        return reply.began > self._unplanned_until

    def note_evacuation(self, runs: list[str]) -> None:
        """These requests came to a zone in a calm time, long after its evacuation was asked for."""
        with self._lock:
            self.blame_all("ran in an evacuated zone", runs)

    def note_crashes(self, body: bytes, later: int) -> None:
        """So many back ends ended under a request that all nodes in touch must have known."""
        if later > MOST_LATER_CRASHES:
            with self._lock:
                self._blame(f"{later} back ends ended under {body!r} after it must be known")

    # ------------------------------------------------------------------ the end

    def judge_end(self) -> None:
        """Judge what takes all that ran."""
        ran = collections.Counter(request for request, _ in self._site.runs)
        self.blame_all("ran twice", [item for item in sorted(self._unsafe) if ran[item] > 1])
        self.blame_all("refused and yet run", [item for item in self._refused if ran[item]])
        self.blame_all("two owners", [str(pair) for pair in self._site.two_owners])
        self.blame_all("no answer in a calm time", self._lost_in_calm(ran))
        most = self._site.most_while_cold()
        if most > MOST_WHILE_COLD:
            self._blame(f"{most} requests in a second at a cold back end")
        excesses = limit_judging.excesses(self._site.upstreams, self._senders, self._site.held_up)
        self.blame_all("above its limit", excesses)
        upstreams, held_up = self._site.upstreams, self._site.held_up
        late = statement_judging.requests_after_leaving(upstreams, self._sent, held_up)
        self.blame_all("after its leaving announcement", late)
        during_backoff = statement_judging.requests_during_backoff(upstreams, self._sent, held_up)
        self.blame_all("during back-off", during_backoff)
        if not self._site.everything_is_held():
            self._blame("a key has no owner after healing")

    def _lost_in_calm(self, ran: collections.Counter[str]) -> list[str]:
        return [
            f"{request} ({reply.ending.value} after {reply.ended - reply.began:.3f} s)"
            for request, reply in self._lost
            if ran[request] or reply.ended - reply.began > CROSSING
        ]

    def blame_all(self, what: str, items: list[str]) -> None:
        """Hold several cases of one kind against the nodes."""
        for item in items[:MOST_TOLD]:
            self._blame(f"{what}: {item}")

    def _blame(self, text: str) -> None:
        self._result.violations.append(text)
