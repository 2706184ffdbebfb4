#!/usr/bin/env bash
# Runs all tests in five processes at the same time: most system tests wait rather than compute.
set -uo pipefail
cd "$(dirname "$0")/.."
logs=$(mktemp -d)
trap 'rm -rf "$logs"' EXIT
shards=(
    "tests/contract tests/unit"
    "tests/system/test_[a-f]*.py"
    "tests/system/test_[g-o]*.py tests/system/test_[t-z]*.py"
    "tests/system/test_[p-r]*.py"
    "tests/system/test_s*.py"
)
pids=()
for index in "${!shards[@]}"; do
    # shellcheck disable=SC2086
    .venv/bin/python -m pytest --durations=15 ${shards[$index]} > "$logs/$index" 2>&1 &
    pids+=($!)
done
status=0
for index in "${!shards[@]}"; do
    wait "${pids[$index]}" || status=1
    echo "== ${shards[$index]}"
    cat "$logs/$index"
done
exit "$status"
