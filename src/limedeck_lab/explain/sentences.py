"""Formats log lines as sentences."""

from __future__ import annotations

from collections.abc import Callable

from limedeck_lab.explain.log_lines import LogLine
from limedeck_lab.explain.meanings import (
    meaning_of_cause,
    meaning_of_outcome,
    meaning_of_phase,
    meaning_of_reason,
    meaning_of_suspicion,
)

TERM_BITS = 32
OMITTED_FIELDS = frozenset({"component", "clock", "level", "event", "request", "service"})
"""Fields left out of the sentence for an event that has no format of its own."""


def sentence(line: LogLine) -> str:
    """Format a line as a sentence; list its fields if its event has no format of its own."""
    format_event = _SENTENCES.get(line.event)
    if format_event is not None:
        return format_event(line)
    fields = [
        f"{name} {value}" for name, value in line.fields.items() if name not in OMITTED_FIELDS
    ]
    return " ".join([line.event, *fields])


def owners_version(version: object) -> str:
    """Describe the version of the owners that a node used."""
    if not isinstance(version, int) or version == 0:
        return "no owners known"
    return f"owners of term {version >> TERM_BITS}, change {version % (1 << TERM_BITS)}"


def _request_given_up(line: LogLine) -> str:
    text = f"{meaning_of_outcome(line.get('outcome'))}: {meaning_of_reason(line.get('reason'))}"
    if line.get("bound") is not None:
        text += f" ({line.get('backend')} takes {line.get('bound')} a second)"
    elif line.get("expected") is not None:
        text += (
            f" ({line.get('backend')}: {line.get('expected')} s expected with "
            f"{line.get('load')} requests there, reported {line.get('load_age')} s ago)"
        )
    elif line.get("unavailable") is not None:
        text += f" ({line.get('backend')}: {line.get('unavailable')})"
    text += _evidence(line)
    retry_after = line.get("retry_after")
    return text if retry_after is None else f"{text}; told to come back after {retry_after} s"


def _evidence(line: LogLine) -> str:
    """Describe the status of a refusal, the attempts before it, and what it rests on."""
    if line.get("status") is None:
        return ""
    tried = "; ".join(line.get("tried") or ()) or "no attempt"
    evidence = line.get("evidence")
    shown = "nothing shows that it did not run" if evidence is None else f"evidence: {evidence}"
    return f"; status {line.get('status')} ({tried}; {shown})"


def _caller_left(line: LogLine) -> str:
    tried = "; ".join(line.get("tried") or ()) or "no attempt"
    return f"the caller left before the response ({tried})"


def _forwarded_attempt_failed(line: LogLine) -> str:
    return (
        f"attempt at {line.get('backend')} through {line.get('intermediary')} failed: "
        f"{line.get('problem')}"
    )


def _request_answered(line: LogLine) -> str:
    return f"answered with status {line.get('status')} at attempt {line.get('attempts')}"


def _attempt_failed(line: LogLine) -> str:
    phase = meaning_of_phase(line.get("phase"))
    evidence = line.get("evidence")
    shown = f"; did not run: {evidence}" if evidence is not None else ""
    number = line.get("connection")
    carrier = "" if number is None else f", exchange {line.get('exchange')} on connection {number}"
    return (
        f"attempt at {line.get('backend')} failed: {phase} ({line.get('problem')}){shown}{carrier}"
    )


def _owner_changed(line: LogLine) -> str:
    former = line.get("former") or "nobody"
    return (
        f"keys {line.get('first')} to {line.get('last')} go from {former} to {line.get('owner')}: "
        f"{meaning_of_cause(line.get('cause'))}"
    )


def _order_lost(line: LogLine) -> str:
    keys = f"keys {line.get('first')} to {line.get('last')}"
    return f"{line.get('kind')} of {keys} at {line.get('backend')} was lost ({line.get('problem')})"


def _released(line: LogLine) -> str:
    keys = f"keys {line.get('first')} to {line.get('last')}"
    return f"{line.get('backend')} gave up {keys} (status {line.get('status')})"


def _elected(line: LogLine) -> str:
    return f"elected leader of term {line.get('term')}: {meaning_of_suspicion(line.get('why'))}"


def _leader_read(line: LogLine) -> str:
    return f"reads that {line.get('leader') or 'nobody'} leads, term {line.get('term')}"


def _limit_changed(line: LogLine) -> str:
    limit = line.get("limit")
    takes = "no longer states a limit" if limit is None else f"takes {limit} requests a second"
    return f"{line.get('backend')} {takes}"


def _leaving_changed(line: LogLine) -> str:
    state = "is leaving" if line.get("leaves") else "is no longer leaving"
    return f"{line.get('backend')} {state}"


def _rest_began(line: LogLine) -> str:
    return f"{line.get('backend')} requests a back-off of {line.get('seconds')} s from this node"


def _rest_ended(line: LogLine) -> str:
    return f"{line.get('backend')} serves requests again after its back-off"


def _backend_cold(line: LogLine) -> str:
    return f"{line.get('backend')} is cold for {line.get('seconds')} s"


_SENTENCES: dict[str, Callable[[LogLine], str]] = {
    "given_up": _request_given_up,
    "answered": _request_answered,
    "attempt_failed": _attempt_failed,
    "caller_left": _caller_left,
    "forwarded_attempt_failed": _forwarded_attempt_failed,
    "owner_changed": _owner_changed,
    "order_lost": _order_lost,
    "released": _released,
    "elected": _elected,
    "leader_read": _leader_read,
    "limit_changed": _limit_changed,
    "leaving_changed": _leaving_changed,
    "rest_began": _rest_began,
    "rest_ended": _rest_ended,
    "back_end_cold": _backend_cold,
}
