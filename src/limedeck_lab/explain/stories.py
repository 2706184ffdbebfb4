"""The history of one request or key: its own log lines and other lines relevant to it."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from limedeck.errors import LimedeckError
from limedeck.identity import Seconds
from limedeck_lab.explain.log_lines import LogLine
from limedeck_lab.explain.sentences import owners_version, sentence

CONTEXT_TIME: Seconds = 5.0
"""Time before a request from which events of its node, leader and back ends are included."""
LEADER_EVENTS = frozenset(
    {"elected", "leadership_ended", "leadership_yielded", "fenced_off", "service_opened"}
)
NODE_EVENTS = frozenset(
    {
        "started",
        "stopping",
        "stopped",
        "configuration",
        "store_lost",
        "store_regained",
        "suspended",
        "leader_link_ended",
        "leader_read",
        "evacuation_began",
        "evacuation_ended",
        "request_broken",
    }
)
KEY_EVENTS = frozenset({"owner_changed", "released", "order_lost", "grant_refused"})
BACKEND_EVENTS = frozenset(
    {
        "back_end_gone",
        "back_end_cold",
        "back_end_crashed",
        "port_looked_at",
        "limit_changed",
        "leaving_changed",
        "rest_began",
        "rest_ended",
        "backend_excluded",
        "backend_taken_back",
    }
)


class NothingFound(LimedeckError):
    """The logs have no lines about the subject."""


@dataclass(frozen=True, slots=True)
class StoryLine:
    """One sentence of a history.

    Parameters
    ----------
    times
        Number of times that the node logged the same, the last time at `until`.
    """

    at: Seconds
    node: str
    text: str
    times: int = 1
    until: Seconds = 0.0

    def shown(self) -> str:
        """Format as a line of text."""
        again = f" ({self.times} times until {self.until:.3f})" if self.times > 1 else ""
        return f"{self.at:10.3f}  {self.node:<16}  {self.text}{again}"


def story_of_request(lines: Sequence[LogLine], request: str) -> list[StoryLine]:
    """Return what happened to a request and why, as far as the logs show.

    Raises
    ------
    NothingFound
        No line has this id; of successful requests only a sample is logged.
    """
    own = [line for line in lines if line.get("request") == request]
    if not own:
        raise NothingFound(f"no line has the request id {request}; successful requests are sampled")
    arrival = min(_arrival(line) for line in own)
    end = own[-1].at
    chosen = list(own)
    for line in lines:
        if arrival - CONTEXT_TIME <= line.at <= end and _is_relevant(line, own):
            chosen.append(line)
    ending = own[-1]
    for line in _last_owner_change(lines, ending, arrival - CONTEXT_TIME):
        chosen.append(line)
    story = [_arrival_line(ending, arrival)] if ending.get("owners") is not None else []
    return _merge_repeated(story + [_story_line(line) for line in _sorted_by_time(chosen)])


def story_of_key(
    lines: Sequence[LogLine], service: str, key: int, since: Seconds, until: Seconds
) -> list[StoryLine]:
    """Return who owned a key, why that changed, and which requests for it failed.

    Raises
    ------
    NothingFound
        No line in this time is about the key.
    """
    chosen = [
        line for line in lines if since <= line.at <= until and _is_about_key(line, service, key)
    ]
    if not chosen:
        raise NothingFound(f"no line is about key {key} of {service} between these times")
    first, last = chosen[0].at, chosen[-1].at
    chosen += [
        line
        for line in lines
        if first - CONTEXT_TIME <= line.at <= last and line.event in LEADER_EVENTS
    ]
    return _merge_repeated([_story_line(line) for line in _sorted_by_time(chosen)])


def _is_about_key(line: LogLine, service: str, key: int) -> bool:
    if line.event in KEY_EVENTS:
        return line.holds_key(service, key)
    return bool(line.get("service") == service and line.get("key") == key)


def _is_relevant(line: LogLine, own: Sequence[LogLine]) -> bool:
    """Whether a line that is not the request's own can explain its outcome."""
    if line.get("request") is not None:
        return False
    if line.event in LEADER_EVENTS:
        return True
    nodes = {item.node for item in own}
    if line.event in NODE_EVENTS:
        return line.node in nodes
    backends = {item.get("backend") for item in own} - {None}
    if line.event in BACKEND_EVENTS:
        return line.node in nodes and line.get("backend") in backends
    ending = own[-1]
    service, key = ending.get("service"), ending.get("key")
    return line.event in KEY_EVENTS and key is not None and line.holds_key(service, key)


def _last_owner_change(lines: Iterable[LogLine], ending: LogLine, before: Seconds) -> list[LogLine]:
    """Return the last change of the key's owner before the lines that are included anyway."""
    service, key = ending.get("service"), ending.get("key")
    if key is None:
        return []
    changes = [
        line
        for line in lines
        if line.event == "owner_changed" and line.at < before and line.holds_key(service, key)
    ]
    return changes[-1:]


def _arrival(line: LogLine) -> Seconds:
    return line.at - (line.get("took") or 0.0)


def _arrival_line(ending: LogLine, arrival: Seconds) -> StoryLine:
    key = ending.get("key")
    keyed = "" if key is None else f", key {key}, by {owners_version(ending.get('owners'))}"
    returned = "; the client sent it again" if ending.get("returned") else ""
    text = f"came in for {ending.get('service')}, route {ending.get('route')}{keyed}{returned}"
    return StoryLine(arrival, ending.node, text)


def _story_line(line: LogLine) -> StoryLine:
    return StoryLine(line.at, line.node, sentence(line))


def _sorted_by_time(lines: Iterable[LogLine]) -> list[LogLine]:
    return sorted(lines, key=lambda line: line.at)


def _merge_repeated(story: list[StoryLine]) -> list[StoryLine]:
    """Merge equal sentences of one node into one, at the time of the first."""
    joined: dict[tuple[str, str], StoryLine] = {}
    for item in sorted(story, key=lambda line: line.at):
        first = joined.setdefault((item.node, item.text), item)
        if first is not item:
            joined[item.node, item.text] = StoryLine(
                first.at, first.node, first.text, first.times + 1, item.at
            )
    return sorted(joined.values(), key=lambda line: line.at)
