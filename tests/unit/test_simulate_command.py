"""``limedeck-lab simulate``: the product's control under faults, run from the command line."""

from __future__ import annotations

import json

import pytest
from cleo.testers.application_tester import ApplicationTester

from limedeck_lab.application import build_application


def simulate(arguments: str) -> ApplicationTester:
    tester = ApplicationTester(build_application())
    tester.execute(f"simulate {arguments}")
    return tester


def test_runs_are_reported_and_summarised() -> None:
    tester = simulate("--minutes 0.2 --runs 2 --seed 7 --json")
    assert tester.status_code == 0
    first, second, summary = (json.loads(line) for line in tester.io.fetch_output().splitlines())
    assert (first["seed"], second["seed"]) == (7, 8)
    assert (first["nodes"], first["backends"]) == (3, 14)
    assert (summary["runs"], summary["violated_seeds"]) == (2, [])
    assert sum(first["faults"].values()) > 0


def test_sabotage_is_detected_and_sets_exit_code() -> None:
    tester = simulate("--minutes 1 --sabotage grant-before-release")
    assert tester.status_code == 1
    assert "seed 1: two owners" in tester.io.fetch_error()


def test_no_faults_are_injected_with_faults_none() -> None:
    tester = simulate("--minutes 0.1 --faults none --json")
    assert json.loads(tester.io.fetch_output())["faults"] == {}


@pytest.mark.parametrize(
    ("arguments", "problem"),
    [
        ("--faults earthquake", "unknown faults earthquake"),
        ("--sabotage no-fence", "unknown sabotage no-fence"),
        ("--core paxos", "--core paxos"),
        ("--rate 5", "--core voters only"),
        ("--cost", "--core voters only"),
        ("--seed x", "'x'"),
        ("--core voters --faults two_leaders", "unknown faults two_leaders"),
    ],
)
def test_invalid_options_are_rejected(arguments: str, problem: str) -> None:
    tester = simulate(arguments)
    assert tester.status_code == 2
    assert problem in tester.io.fetch_error()


def test_voters_core_runs_the_first_build() -> None:
    tester = simulate("--core voters --minutes 0.5 --faults none --json")
    assert tester.status_code == 0
    assert json.loads(tester.io.fetch_output())["requests"]["sent"] > 0
