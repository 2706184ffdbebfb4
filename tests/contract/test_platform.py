"""The HTTP adapters for the platform, with the platform stand-in."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import httpx
import pytest
from anyio.from_thread import start_blocking_portal

from limedeck.errors import (
    PlatformProtocolError,
    PlatformRateLimited,
    PlatformUnavailable,
    TransactionConflict,
)
from limedeck.store.table import ABSENT, Condition, Machine, MachineState, Write
from limedeck.store.table_http import HttpMachineList, HttpObjectStore, HttpTransactionalTable
from limedeck_lab.processes import ProcessGroup, answers, free_ports, wait_until

TIMEOUT = 2.0
Run = Callable[..., Any]


@contextmanager
def platform(tmp_path_factory: pytest.TempPathFactory, rate: str) -> Iterator[str]:
    processes = ProcessGroup(tmp_path_factory.mktemp("platform"))
    address = f"127.0.0.1:{free_ports(1)[0]}"
    arguments = ["platform", "--address", address, "--rate", rate]
    processes.start("platform", "limedeck_lab.application", arguments)
    try:
        wait_until(lambda: answers(f"http://{address}/machines/v1"), "the platform answers")
        yield f"http://{address}"
    finally:
        processes.end_all()


@pytest.fixture(scope="module")
def url(tmp_path_factory: pytest.TempPathFactory) -> Iterator[str]:
    with platform(tmp_path_factory, "0") as address:
        yield address


@pytest.fixture(scope="module")
def run() -> Iterator[Run]:
    """A function that calls coroutine functions, all in one event loop."""
    with start_blocking_portal() as portal:
        yield portal.call


@pytest.fixture
def table(url: str) -> HttpTransactionalTable:
    return HttpTransactionalTable(url, TIMEOUT)


@contextmanager
def faults(url: str, **settings: object) -> Iterator[None]:
    httpx.put(f"{url}/lab/v1/faults", json=settings).raise_for_status()
    try:
        yield
    finally:
        httpx.put(f"{url}/lab/v1/faults", json={}).raise_for_status()


def test_rows_are_written_and_read_back(table: HttpTransactionalTable, run: Run) -> None:
    value = bytes(range(256))
    revision = run(table.transact, [Condition("a/1", ABSENT)], [Write("a/1", value)])
    row = run(table.read, ["a/1", "a/none"])
    assert {key: (item.revision, item.value) for key, item in row.items()} == {
        "a/1": (revision, value)
    }


def test_transaction_is_atomic(table: HttpTransactionalTable, run: Run) -> None:
    first = run(table.transact, [], [Write("b/1", b"1"), Write("b/2", b"1")])
    with pytest.raises(TransactionConflict) as caught:
        conditions = [Condition("b/1", first), Condition("b/2", first - 1)]
        run(table.transact, conditions, [Write("b/1", b"2"), Write("b/2", b"2")])
    assert (caught.value.key, caught.value.actual_revision) == ("b/2", first)
    rows = run(table.read_prefix, "b/")
    assert [row.value for row in rows] == [b"1", b"1"]


def test_a_deleted_row_is_absent(table: HttpTransactionalTable, run: Run) -> None:
    revision = run(table.transact, [], [Write("c/1", b"1")])
    run(table.transact, [Condition("c/1", revision)], [Write("c/1", None)])
    assert run(table.read, ["c/1"]) == {}
    run(table.transact, [Condition("c/1", ABSENT)], [Write("c/1", b"2")])


def test_prefix_and_single_rows_are_read_together(table: HttpTransactionalTable, run: Run) -> None:
    run(table.transact, [], [Write("d/1", b"1"), Write("d/2", b"2"), Write("e", b"3")])
    rows = run(table.read_prefix, "d/", ["e"])
    assert sorted(row.key for row in rows) == ["d/1", "d/2", "e"]


def test_a_store_that_is_down_is_unavailable(
    url: str, table: HttpTransactionalTable, run: Run
) -> None:
    with faults(url, down=True), pytest.raises(PlatformUnavailable):
        run(table.read, ["a"])


def test_a_slow_store_is_unavailable_after_the_timeout(url: str, run: Run) -> None:
    short_timeout_table = HttpTransactionalTable(url, 0.1)
    with faults(url, delay_seconds=1.0), pytest.raises(PlatformUnavailable):
        run(short_timeout_table.read, ["a"])


def test_response_can_be_lost_after_the_write(
    url: str, table: HttpTransactionalTable, run: Run
) -> None:
    with faults(url, lost_answers=1), pytest.raises(PlatformUnavailable):
        run(table.transact, [Condition("f", ABSENT)], [Write("f", b"1")])
    assert run(table.read, ["f"])["f"].value == b"1"


def test_refusal_by_rate_limit_has_its_own_error(
    tmp_path_factory: pytest.TempPathFactory, run: Run
) -> None:
    with platform(tmp_path_factory, "0.01") as address:
        table = HttpTransactionalTable(address, TIMEOUT)
        with pytest.raises(PlatformRateLimited) as caught:
            for _ in range(5):
                run(table.read, ["a"])
        assert caught.value.retry_after > 0


def test_an_unreachable_platform_is_unavailable(run: Run) -> None:
    table = HttpTransactionalTable("http://127.0.0.1:1", TIMEOUT)
    with pytest.raises(PlatformUnavailable):
        run(table.read, ["a"])


def test_response_that_violates_the_protocol_has_its_own_error(url: str, run: Run) -> None:
    machines = HttpMachineList(f"{url}/lab", TIMEOUT)
    with pytest.raises(PlatformProtocolError):
        run(machines.machines)


def test_objects_are_stored_and_replaced_and_missing_ones_are_absent(url: str, run: Run) -> None:
    store = HttpObjectStore(url, TIMEOUT)
    run(store.put, "snapshots/1", b"first")
    run(store.put, "snapshots/1", b"second")
    assert run(store.get, "snapshots/1") == b"second"
    assert run(store.get, "snapshots/2") is None
    with faults(url, down=True), pytest.raises(PlatformUnavailable):
        run(store.get, "snapshots/1")


def test_machine_list_reports_leaving_machines(url: str, run: Run) -> None:
    body = {"machine_id": "m1", "address": "127.0.0.1:1", "zone": "z", "state": "leaving"}
    httpx.put(f"{url}/lab/v1/machines", json={"machines": [body]}).raise_for_status()
    machines = run(HttpMachineList(url, TIMEOUT).machines)
    assert machines == [Machine("m1", "127.0.0.1:1", "z", MachineState.LEAVING)]


@pytest.mark.parametrize("path", ["/table/v1/read", "/table/v1/transact", "/lab/v1/faults"])
def test_stand_in_rejects_unreadable_requests(url: str, path: str) -> None:
    method = "PUT" if path.startswith("/lab") else "POST"
    response = httpx.request(method, f"{url}{path}", content=b'{"keys": 7, "down": "x"}')
    assert response.status_code == 400
