"""Which back ends are passed over for their failures, and for how long."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from limedeck.ownership import outliers

STEP = 0.25
COUNT = 10
SERVICES = dict.fromkeys(range(COUNT), "s")


def feed(
    detector: outliers.OutlierDetector, failing: dict[int, float], start: float, end: float
) -> list[tuple[float, frozenset[int]]]:
    """Four requests a second to each back end that is used, a share of which fails."""
    seen = []
    now = start
    excluded = detector.excluded(SERVICES, now)
    while now < end:
        now += STEP
        for backend in SERVICES:
            if backend not in excluded:
                share = failing.get(backend, 0.0)
                detector.record(backend, round(40 * (1.0 - share)), round(40 * share), now)
        excluded = detector.excluded(SERVICES, now)
        seen.append((now, excluded))
    return seen


def test_one_that_fails_more_often_than_the_others_is_excluded_and_comes_back() -> None:
    detector = outliers.OutlierDetector()
    seen = feed(detector, {3: 0.6}, 0.0, 4.0)
    assert any(excluded == {3} for _, excluded in seen)
    assert all(excluded <= {3} for _, excluded in seen)
    sound = feed(detector, {}, 4.0, 4.0 + outliers.MAX_EXCLUSION_TIME + STEP)
    assert sound[-1][1] == frozenset()


def test_one_that_goes_on_failing_is_excluded_for_longer_each_time() -> None:
    seen = feed(outliers.OutlierDetector(), {3: 0.9}, 0.0, 30.0)
    spans = []
    begin = None
    for now, excluded in seen:
        if 3 in excluded and begin is None:
            begin = now
        elif 3 not in excluded and begin is not None:
            spans.append(now - begin)
            begin = None
    assert spans[:3] == [1.5, 3.0, 6.0]
    assert max(spans) <= outliers.MAX_EXCLUSION_TIME + STEP


def test_errors_that_come_from_all_alike_exclude_nobody() -> None:
    seen = feed(outliers.OutlierDetector(), dict.fromkeys(SERVICES, 0.7), 0.0, 10.0)
    assert all(not excluded for _, excluded in seen)


def test_a_few_failures_are_chance() -> None:
    detector = outliers.OutlierDetector()
    for backend in SERVICES:
        detector.record(backend, 4, 3 if backend == 0 else 0, 1.0)
    assert not detector.excluded(SERVICES, 1.0)


def test_one_that_is_not_listed_any_more_is_forgotten() -> None:
    detector = outliers.OutlierDetector()
    feed(detector, {3: 0.9}, 0.0, 1.0)
    rest = {key: value for key, value in SERVICES.items() if key != 3}
    assert not detector.excluded(rest, 1.0)
    assert not detector.excluded(SERVICES, 1.0)


class OutlierMachine(RuleBasedStateMachine):
    """Any reports at any time: never too many are excluded, and nobody for too long."""

    def __init__(self) -> None:
        super().__init__()
        self.detector = outliers.OutlierDetector()
        self.now = 0.0
        self.since: dict[int, float] = {}

    @rule(
        backend=st.integers(0, COUNT - 1),
        answers=st.integers(0, 30),
        failures=st.integers(0, 30),
    )
    def report(self, backend: int, answers: int, failures: int) -> None:
        self.detector.record(backend, answers, failures, self.now)

    @rule(span=st.sampled_from([0.25, 1.0, 7.0]))
    def pass_time(self, span: float) -> None:
        self.now += span

    @invariant()
    def bounds_hold(self) -> None:
        excluded = self.detector.excluded(SERVICES, self.now)
        assert len(excluded) <= outliers.MAX_EXCLUDED_PART * COUNT
        for backend in list(self.since):
            if backend not in excluded:
                del self.since[backend]
        for backend in excluded:
            since = self.since.setdefault(backend, self.now)
            assert self.now - since <= outliers.MAX_EXCLUSION_TIME


OutlierMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None
)
TestOutlierMachine = OutlierMachine.TestCase
