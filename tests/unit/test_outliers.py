"""Tests of the exclusion of back ends that fail more often than others."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from limedeck.ownership import outliers

STEP = 0.25
COUNT = 10
SERVICES = dict.fromkeys(range(COUNT), "s")


def report_attempts(
    detector: outliers.OutlierDetector, failing: dict[int, float], start: float, end: float
) -> list[tuple[float, frozenset[int]]]:
    """Record 40 attempts per step for each back end that is not excluded, a share of them failed.

    Returns the excluded back ends after each step.
    """
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


def test_outlier_is_excluded_and_returns_after_recovery() -> None:
    detector = outliers.OutlierDetector()
    seen = report_attempts(detector, {3: 0.6}, 0.0, 4.0)
    assert any(excluded == {3} for _, excluded in seen)
    assert all(excluded <= {3} for _, excluded in seen)
    sound = report_attempts(detector, {}, 4.0, 4.0 + outliers.MAX_EXCLUSION_TIME + STEP)
    assert sound[-1][1] == frozenset()


def test_repeated_exclusions_grow_up_to_the_limit() -> None:
    seen = report_attempts(outliers.OutlierDetector(), {3: 0.9}, 0.0, 30.0)
    exclusion_times = []
    begin = None
    for now, excluded in seen:
        if 3 in excluded and begin is None:
            begin = now
        elif 3 not in excluded and begin is not None:
            exclusion_times.append(now - begin)
            begin = None
    assert exclusion_times[:3] == [1.5, 3.0, 6.0]
    assert max(exclusion_times) <= outliers.MAX_EXCLUSION_TIME + STEP


def test_failures_of_all_back_ends_exclude_none() -> None:
    seen = report_attempts(outliers.OutlierDetector(), dict.fromkeys(SERVICES, 0.7), 0.0, 10.0)
    assert all(not excluded for _, excluded in seen)


def test_few_attempts_are_not_sufficient() -> None:
    detector = outliers.OutlierDetector()
    for backend in SERVICES:
        detector.record(backend, 4, 3 if backend == 0 else 0, 1.0)
    assert not detector.excluded(SERVICES, 1.0)


def test_back_end_that_is_not_listed_is_forgotten() -> None:
    detector = outliers.OutlierDetector()
    report_attempts(detector, {3: 0.9}, 0.0, 1.0)
    rest = {key: value for key, value in SERVICES.items() if key != 3}
    assert not detector.excluded(rest, 1.0)
    assert not detector.excluded(SERVICES, 1.0)


class OutlierMachine(RuleBasedStateMachine):
    """For any reports at any time, exclusions stay within their limits of number and duration."""

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
