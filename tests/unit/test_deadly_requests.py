"""A request that ends back ends whoever sends it.

What users saw: look-ups of one kind failed in the seconds after each other, and one back end after
the other was gone, though nodes know requests that end back ends and refuse them. In order: callers
at 21 addresses asked for the same target; each of them lost a back end, and each loss was booked on
a request of its own, since the caller's address was a part of what a request is known by; none was
lost three times, so none was ever refused. The cause: one sign, and a narrow one, for what a request
is known by. The evidence: in all five ends that nodes saw, one target was among what was lost, under
22 fingerprints of which one came twice.
"""

from __future__ import annotations

import itertools

import pytest

from limedeck import clock, http_client
from limedeck.forwarding import budget, content, quarantine
from limedeck.model import Backend
from limedeck.node import crash_watch, state, telemetry

BODY = b"{}"


class Story:
    """One node, back ends that end, and the requests that were lost in it."""

    def __init__(self) -> None:
        allowance = budget.RetryAllowance(0.2, 30.0, 10.0)
        self.node = state.NodeState("z1", "n", allowance)
        client = http_client.HttpClient()
        self.watch = crash_watch.CrashWatch(self.node, client, telemetry.Telemetry())
        self.now = clock.steady_clock()
        self._names = (f"b{number}" for number in itertools.count())

    def end(self, *lost: content.RequestContent, back_end: str = "") -> None:
        """A back end ends with these requests under way; a second later all is judged."""
        name = back_end or next(self._names)
        backend = Backend(name, "s", "127.0.0.1:1", "z1", 3)
        for asked in lost:
            self.watch.note_lost(backend, asked)
        self.node.quarantine.note_ended(name, self.now)
        self.pass_time(1.0)

    def pass_time(self, seconds: float) -> None:
        """Let time pass, and judge."""
        self.now += seconds
        self.node.quarantine.handle_tick(self.now)

    def serve(self, asked: content.RequestContent) -> None:
        """A back end has answered this request."""
        quarantine.RequestGuard(self.node.quarantine, asked).note_served(self.now)

    def refuses(self, asked: content.RequestContent) -> bool:
        """Whether the node refuses this request now."""
        guard = quarantine.RequestGuard(self.node.quarantine, asked)
        return guard.refused_for(self.now) is not None


@pytest.fixture
def story(monkeypatch: pytest.MonkeyPatch) -> Story:
    told = Story()
    monkeypatch.setattr(crash_watch, "steady_clock", lambda: told.now)
    return told


def asked_by(caller: int, target: bytes = b"/x", body: bytes = BODY) -> content.RequestContent:
    return content.RequestContent(b"POST", "h", target, f"10.0.0.{caller}", body)


def test_what_ends_back_ends_whoever_sends_it_is_refused_to_all(story: Story) -> None:
    for caller in range(3):
        assert not story.refuses(asked_by(99))
        story.end(asked_by(caller), asked_by(50 + caller, b"/other%d" % caller))
    assert story.refuses(asked_by(99))
    assert not story.refuses(asked_by(51, b"/other1"))
    assert not story.refuses(asked_by(1, b"/x", b"another body"))


def test_a_back_end_that_ends_again_under_its_id_counts_again(story: Story) -> None:
    for _ in range(3):
        story.end(asked_by(1), back_end="b")
        story.pass_time(4.0)
    assert story.refuses(asked_by(1))
