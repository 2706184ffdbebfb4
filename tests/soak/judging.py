"""Checks of a soak: the guarantees that nodes give to callers and operators."""

from __future__ import annotations

import collections
import dataclasses
import json
import threading
import time

from tests.soak import callers, limit_judging, statement_judging
from tests.system import platform_site

HELD_UP_GRACE = 0.5
"""Seconds after a pause or a proxy's fault in which a back end may still accept delayed orders.

Ownership is not checked meanwhile.
"""
LEASE_TIME = 2.2
"""Seconds for which a grant runs that was accepted late."""
FAULT_GRACE = 3.0
"""Seconds after an unplanned fault in which guarantees with a time bound are not checked."""
CONFIGURATION_TIME = 2.5
"""Seconds after which a new configuration must be in force."""
CLOSE_RACE_TIME = 0.2
"""Seconds; a request sent this shortly before its connection was closed may not have been read."""
CRASH_UPDATE_TIME = 3.0
"""Seconds after a request has crashed a third back end until all nodes know of it."""
MAX_LATER_CRASHES = 3
EVACUATION_TIME = 4.5
"""Seconds after a zone's evacuation was requested until no request may reach its back ends."""
MAX_REQUESTS_WHILE_COLD = 14
"""Requests that a cold back end may receive in any second from all nodes together."""
MAX_REPORTED = 5
NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses by which a caller is told that its request has not run."""


@dataclasses.dataclass
class Result:
    """The result of a soak."""

    seed: int
    nodes: int
    statuses: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    steps: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    violations: list[str] = dataclasses.field(default_factory=list)

    def as_json(self) -> str:
        """Return one line of JSON."""
        return json.dumps(vars(self))


class JudgedSite(platform_site.Site):
    """A site that does not check ownership while faults delay orders in transit."""

    held_up_until = 0.0

    def __init__(self) -> None:
        super().__init__()
        self.held_up: list[tuple[float, float]] = []
        """Periods (begin, end) in which requests and orders may have been delayed in transit."""

    def record_lost_responses(self, seconds: float) -> None:
        """Record that responses may not arrive for some seconds; orders are not delayed."""
        self.held_up.append((time.monotonic(), time.monotonic() + seconds + HELD_UP_GRACE))

    def record_held_up(self, seconds: float) -> None:
        """Record that a fault delays requests and orders for some seconds from now on."""
        until = time.monotonic() + seconds + HELD_UP_GRACE + LEASE_TIME
        self.held_up.append((time.monotonic(), until))
        self.held_up_until = max(self.held_up_until, until)

    def judge(self) -> None:
        if time.monotonic() > self.held_up_until:
            super().judge()


@dataclasses.dataclass(frozen=True)
class Version:
    """A configuration, which has a route of its own, and when it was written."""

    number: int
    written: float

    @property
    def prefix(self) -> str:
        """The path prefix of the route that only this configuration has."""
        return f"/only-{self.number}/"


class Judge:
    """Checks what callers observed against what happened on the site; thread-safe."""

    def __init__(self, result: Result, site: JudgedSite) -> None:
        self._result = result
        self._site = site
        self._lock = threading.Lock()
        self._unplanned_until = 0.0
        self._newest_seen: dict[str, tuple[int, float]] = {}
        """By node: the newest configuration observed in force, and when."""
        self._versions: list[Version] = []
        self._senders: dict[str, str] = {}
        """By request: the node, with its incarnation, that it was sent to."""
        self._sent: dict[str, statement_judging.SentRequest] = {}
        self._incarnations: collections.Counter[str] = collections.Counter()
        self._unsafe: set[str] = set()
        self._refused: set[str] = set()
        self._lost: list[tuple[str, callers.Outcome]] = []
        self._unread: set[str] = set()
        """Requests that were sent behind one whose response closed the connection."""

    # ------------------------------------------------------------------ faults and changes

    def record_unplanned_fault(self, seconds: float = 0.0) -> None:
        """Record that an unplanned fault lasts for some seconds from now on."""
        with self._lock:
            until = time.monotonic() + seconds + FAULT_GRACE
            self._unplanned_until = max(self._unplanned_until, until)

    def is_calm_since(self, began: float) -> bool:
        """Whether `began` is after the grace period of the last unplanned fault."""
        with self._lock:
            return began > self._unplanned_until

    def record_unlisted_connection(self) -> None:
        """Record that a node connected to an address that no entry names."""
        with self._lock:
            self._result.violations.append("a node connected to an address that no entry names")

    def record_version(self, number: int) -> None:
        """Record that a configuration was written."""
        with self._lock:
            self._versions.append(Version(number, time.monotonic()))

    def versions(self) -> list[Version]:
        """Return the last two configurations that were written, the newest last."""
        with self._lock:
            return self._versions[-2:]

    # ------------------------------------------------------------------ requests of callers

    def record_node_start(self, address: str) -> None:
        """Record that a new incarnation of a node has started at an address."""
        with self._lock:
            self._incarnations[address] += 1

    def record_sent(self, request: str, address: str, is_unsafe: bool) -> None:
        """Record that a request is about to be sent to the node at an address."""
        with self._lock:
            node = f"{address}/{self._incarnations[address]}"
            self._senders[request] = node
            self._sent[request] = statement_judging.SentRequest(node, time.monotonic())
            if is_unsafe:
                self._unsafe.add(request)

    def record_outcome(
        self, request: str, address: str, outcome: callers.Outcome, version: Version | None
    ) -> None:
        """Record how a request ended, and check its response.

        Parameters
        ----------
        version
            The only configuration that has the route of the request; None if all have it.
        """
        if self._site.store.faults:
            # A fault of the store stays queued until a node calls the store, which may be long
            # after it was drawn.
            self.record_unplanned_fault()
        with self._lock:
            key = str(outcome.status) if outcome.status else outcome.ending.value
            self._result.statuses[key] += 1
            if outcome.ending is callers.Ending.RESPONDED:
                self._judge_response(request, outcome, version)
                if version is not None:
                    self._judge_version(address, outcome, version)
            elif outcome.ending is not callers.Ending.NOT_CONNECTED and self._is_calm(outcome):
                self._lost.append((request, outcome))

    def record_pipelined(
        self, requests: list[str], address: str, outcomes: list[callers.Outcome]
    ) -> None:
        """Record how requests ended that were sent at once, in the order in which they were sent.

        Those behind a response that closes the connection count as not read.
        """
        closing = [outcome.closes for outcome in outcomes]
        last = closing.index(True) if True in closing else len(outcomes) - 1
        for request, outcome in zip(requests[: last + 1], outcomes, strict=False):
            self.record_outcome(request, address, outcome, None)
        with self._lock:
            self._unread.update(requests[last + 1 :])
            self._result.statuses["unread"] += len(requests) - last - 1

    def _judge_response(
        self, request: str, outcome: callers.Outcome, version: Version | None
    ) -> None:
        if outcome.status in NOT_RUN_STATUSES:
            self._refused.add(request)
        if outcome.status == 503:
            return
        if outcome.status == 200:
            if outcome.request_id != request or outcome.body != request.encode() + b":":
                self._report(f"answer of another request: {request}")
        elif outcome.status not in (502, 504) and (version is None or outcome.status != 404):
            self._report(f"status {outcome.status}: {request}")

    def _judge_version(self, address: str, outcome: callers.Outcome, version: Version) -> None:
        newest = self._versions[-1]
        if outcome.status == 200:
            seen, since = self._newest_seen.get(address, (0, 0.0))
            if version.number > seen:
                self._newest_seen[address] = (version.number, outcome.ended)
            elif version.number < seen and outcome.began > since:
                self._report(f"configuration {version.number} in force after {seen} at {address}")
        in_force = outcome.began > newest.written + CONFIGURATION_TIME and self._is_calm(outcome)
        if not in_force:
            return
        if version is newest and outcome.status == 404:
            self._report(f"configuration {version.number} not in force at {address}")
        elif version is not newest and outcome.status == 200:
            self._report(f"route of configuration {version.number} still served at {address}")

    def _is_calm(self, outcome: callers.Outcome) -> bool:
        """Whether the request began after the grace period of the last unplanned fault."""
        return outcome.began > self._unplanned_until

    def judge_evacuation(self, runs: list[str]) -> None:
        """Report requests that ran in an evacuated zone, in a time without unplanned faults."""
        with self._lock:
            self.report_all("ran in an evacuated zone", runs)

    def judge_later_crashes(self, body: bytes, later: int) -> None:
        """Check how many back ends a request crashed after all connected nodes must know it."""
        if later > MAX_LATER_CRASHES:
            with self._lock:
                self._report(f"{later} back ends ended under {body!r} after it must be known")

    # ------------------------------------------------------------------ end of the soak

    def judge_end(self) -> None:
        """Make the checks that need the records of the whole soak."""
        ran = collections.Counter(request for request, _ in self._site.runs)
        self.report_all("ran twice", [item for item in sorted(self._unsafe) if ran[item] > 1])
        self.report_all("refused and yet run", [item for item in self._refused if ran[item]])
        unread = sorted(self._unread & self._unsafe)
        self.report_all("not read and yet run", [item for item in unread if ran[item]])
        self.report_all("two owners", [str(pair) for pair in self._site.ownership_conflicts])
        self.report_all("no answer in a calm time", self._lost_in_calm(ran))
        most = self._site.max_requests_while_cold()
        if most > MAX_REQUESTS_WHILE_COLD:
            self._report(f"{most} requests in a second at a cold back end")
        excesses = limit_judging.excesses(self._site.upstreams, self._senders, self._site.held_up)
        self.report_all("above its limit", excesses)
        upstreams, held_up = self._site.upstreams, self._site.held_up
        late = statement_judging.requests_after_leaving(upstreams, self._sent, held_up)
        self.report_all("after its leaving announcement", late)
        during_backoff = statement_judging.requests_during_backoff(upstreams, self._sent, held_up)
        self.report_all("during back-off", during_backoff)
        if not self._site.all_keys_are_owned():
            self._report("a key has no owner after healing")

    def _lost_in_calm(self, ran: collections.Counter[str]) -> list[str]:
        return [
            f"{request} ({outcome.ending.value} after {outcome.ended - outcome.began:.3f} s)"
            for request, outcome in self._lost
            if ran[request] or outcome.ended - outcome.began > CLOSE_RACE_TIME
        ]

    def report_all(self, what: str, items: list[str]) -> None:
        """Report violations of one kind, `MAX_REPORTED` at most."""
        for item in items[:MAX_REPORTED]:
            self._report(f"{what}: {item}")

    def _report(self, text: str) -> None:
        self._result.violations.append(text)
