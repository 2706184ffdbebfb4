"""Histories from log lines: which lines are read, which are included, and how they are worded."""

from __future__ import annotations

import enum
import json
from dataclasses import replace
from pathlib import Path

import pytest

from limedeck.forwarding.commands import RefusalReason
from limedeck.ownership.election_events import (
    Suspicion,
)
from limedeck.ownership.ranges import OwnerChangeCause
from limedeck.routing.outcomes import FailurePhase, Outcome
from limedeck_lab.explain import meanings
from limedeck_lab.explain.log_lines import LogLine, UnreadableLogs, read_logs
from limedeck_lab.explain.sentences import owners_version
from limedeck_lab.explain.stories import NothingFound, story_of_key, story_of_request

TERM_4 = 4 << 32


def line(at: float, node: str, event: str, **fields: object) -> LogLine:
    return LogLine(at, node, event, {"event": event, "clock": at, **fields})


def moved(at: float, first: int, last: int, owner: str, service: str = "s") -> LogLine:
    return line(
        at,
        "leader",
        "owner_changed",
        service=service,
        first=first,
        last=last,
        former="old",
        owner=owner,
        cause="silent",
    )


GIVEN_UP = line(
    100.0,
    "n1",
    "given_up",
    request="r1",
    service="s",
    route="look",
    key=7,
    owners=TERM_4 + 3,
    attempts=1,
    took=0.5,
    outcome="unknown",
    reason="answer-lost",
    retry_after=0.1,
    returned=True,
)
FAILED = line(
    99.8,
    "n1",
    "attempt_failed",
    request="r1",
    backend="b1",
    phase="awaiting",
    problem="connection ended",
)


def texts(lines: list[LogLine], request: str = "r1") -> list[str]:
    return [item.text for item in story_of_request(sorted(lines, key=lambda x: x.at), request)]


def test_history_of_a_request_spans_its_arrival_to_its_end() -> None:
    story = story_of_request([FAILED, GIVEN_UP], "r1")
    assert [item.at for item in story] == [99.5, 99.8, 100.0]
    assert story[0].text == (
        "came in for s, route look, key 7, by owners of term 4, change 3; the client sent it again"
    )
    assert story[1].text == (
        "attempt at b1 failed: it was sent, and no usable answer came (connection ended)"
    )
    assert story[2].text.startswith("given up; a back end may have run it: ")


def test_history_includes_relevant_lines_only() -> None:
    others = [
        line(98.0, "n1", "back_end_gone", backend="b1"),
        line(98.1, "n1", "back_end_gone", backend="b2"),
        line(98.2, "n2", "suspended", seconds=2.0),
        line(98.3, "n1", "suspended", seconds=1.5),
        line(90.0, "n1", "suspended", seconds=9.0),
        line(98.4, "n2", "elected", term=4, why="silent"),
        line(98.5, "n1", "given_up", request="r2", service="s", key=7),
        moved(98.6, 0, 9, "b1"),
        moved(98.7, 10, 20, "b3"),
        moved(98.8, 0, 9, "b4", service="t"),
        moved(101.0, 0, 9, "b5"),
    ]
    story = texts([*others, FAILED, GIVEN_UP])
    assert story[0] == "back_end_gone backend b1"
    assert story[1] == "suspended seconds 1.5"
    assert story[2] == "elected leader of term 4: the one before was silent"
    assert story[3].startswith("keys 0 to 9 go from old to b1: the former owner answered no orders")
    assert len(story) == 4 + 3


def test_history_includes_the_last_owner_change_however_old() -> None:
    story = texts([moved(10.0, 0, 9, "b0"), moved(20.0, 5, 8, "b1"), GIVEN_UP])
    assert [text.split(":")[0] for text in story[:1]] == ["keys 5 to 8 go from old to b1"]
    assert not any("b0" in text for text in story)


def test_repeated_sentences_are_merged() -> None:
    lost = [
        line(
            98.0 + number * 0.1,
            "leader",
            "order_lost",
            service="s",
            kind="grant",
            backend="b1",
            first=0,
            last=9,
            problem="out of time",
        )
        for number in range(15)
    ]
    (repeated, *_) = story_of_request([*lost, GIVEN_UP], "r1")
    assert repeated.times == 15
    assert repeated.shown().endswith("(15 times until 99.400)")


def test_refusal_by_load_estimate_names_the_estimate() -> None:
    limited = line(1.0, "n", "given_up", request="a", reason="limited", backend="b", bound=3.2)
    overloaded = line(
        1.0,
        "n",
        "given_up",
        request="b",
        reason="overloaded",
        backend="b",
        expected=2.5,
        load=9.0,
        load_age=0.1,
    )
    assert "(b takes 3.2 a second)" in texts([limited], "a")[0]
    assert (
        "2.5 s expected with 9.0 requests there, reported 0.1 s ago" in texts([overloaded], "b")[0]
    )


def test_history_of_a_key_has_owners_orders_and_failed_requests() -> None:
    lines = [
        line(95.0, "n2", "elected", term=4, why="denied"),
        moved(96.0, 0, 9, "b1"),
        moved(97.0, 10, 20, "b2"),
        line(98.0, "leader", "released", service="s", first=0, last=30, backend="b1", status=200),
        GIVEN_UP,
    ]
    story = [item.text for item in story_of_key(lines, "s", 7, 0.0, 200.0)]
    assert len(story) == 4
    assert story[2] == "b1 gave up keys 0 to 30 (status 200)"
    late = story_of_key(lines, "s", 7, 99.0, 200.0)
    assert [item.at for item in late] == [95.0, 100.0]


@pytest.mark.parametrize("request_id", ["r3", "", "7"])
def test_request_without_log_lines_is_not_found(request_id: str) -> None:
    with pytest.raises(NothingFound):
        story_of_request([FAILED, GIVEN_UP], request_id)


def test_key_without_log_lines_is_not_found() -> None:
    with pytest.raises(NothingFound):
        story_of_key([GIVEN_UP, moved(1.0, 0, 9, "b")], "s", 11, 0.0, 200.0)


@pytest.mark.parametrize(
    ("kind", "known"),
    [
        (Outcome, meanings.OUTCOMES),
        (RefusalReason, meanings.REASONS),
        (FailurePhase, meanings.PHASES),
        (OwnerChangeCause, meanings.CAUSES),
        (Suspicion, meanings.SUSPICIONS),
    ],
)
def test_every_enum_member_has_a_meaning(
    kind: type[enum.Enum], known: dict[enum.Enum, str]
) -> None:
    assert set(kind) == known.keys()


def test_unknown_values_are_shown_as_logged() -> None:
    assert meanings.meaning_of_reason("tired") == "tired"
    assert owners_version(0) == "no owners known"


def test_lines_are_read_as_written_by_nodes_or_by_a_collector(tmp_path: Path) -> None:
    own = [
        {"event": "started", "node": "edge-1", "clock": 1.0},
        {"event": "configuration", "version": 3, "clock": 2.0},
    ]
    (tmp_path / "a.log").write_text(
        "\n".join([json.dumps(own[0]), "Traceback: {", "", json.dumps(own[1])])
    )
    (tmp_path / "sub").mkdir()
    (tmp_path / "sub" / "b.log").write_bytes(
        b'1.5 edge-2 {"event": "stopping", "clock": 77.0}\n\xff\xfe{\n{"clock": "x", "event": 1}\n'
    )
    found = read_logs([tmp_path])
    assert [(item.at, item.node, item.event) for item in found] == [
        (1.0, "edge-1", "started"),
        (1.5, "edge-2", "stopping"),
        (2.0, "edge-1", "configuration"),
    ]


def test_files_without_log_lines_are_reported_as_unreadable(tmp_path: Path) -> None:
    (tmp_path / "empty.log").write_text("nothing\n")
    for path in (tmp_path, tmp_path / "none.log"):
        with pytest.raises(UnreadableLogs):
            read_logs([path])


@pytest.mark.parametrize(
    ("status", "evidence", "expected"),
    [
        (503, "stated", "status 503 (b1: turned-away; b2: refused; evidence: stated)"),
        (502, None, "status 502 (b1: turned-away; b2: refused; nothing shows that it did not run)"),
    ],
)
def test_story_of_a_refusal_names_each_attempt_its_evidence_and_the_status(
    status: int, evidence: str | None, expected: str
) -> None:
    fields = GIVEN_UP.fields | {
        "status": status,
        "evidence": evidence,
        "tried": ["b1: turned-away", "b2: refused"],
    }
    refused = replace(GIVEN_UP, fields=fields)
    (story,) = [item for item in story_of_request([refused], "r1") if "status" in item.text]
    assert expected in story.text


def test_story_of_an_attempt_through_another_node_names_that_node() -> None:
    forwarded = line(
        99.9,
        "n1",
        "forwarded_attempt_failed",
        request="r1",
        backend="b1",
        intermediary="127.0.0.7:5",
        problem="unable",
    )
    texts = [item.text for item in story_of_request([forwarded, GIVEN_UP], "r1")]
    assert "attempt at b1 through 127.0.0.7:5 failed: unable" in texts


def test_story_of_a_rejected_attempt_names_the_connection_of_the_response() -> None:
    rejected = line(
        99.9,
        "n1",
        "attempt_failed",
        request="r1",
        backend="b1",
        phase="refused",
        problem="status 503",
        evidence="stated",
        connection=7,
        exchange=2,
    )
    texts = [item.text for item in story_of_request([rejected, GIVEN_UP], "r1")]
    assert any(text.endswith("did not run: stated, exchange 2 on connection 7") for text in texts)
