"""Operators' objects, their store under races and lost responses, and the settings file."""

from pathlib import Path

import anyio
import pytest

from limedeck.api.peer_pb2 import (
    OWNERSHIP_KEYED,
    OWNERSHIP_SHARED,
    Backend,
    ConfigObject,
    ConfigUpdate,
    Service,
    ServiceLimits,
    SharingRule,
)
from limedeck.config import changes
from limedeck.config.objects import check_backend, complete_service
from limedeck.config.replica import ConfigReplica, UpdateOutcome
from limedeck.config.settings import load_settings
from limedeck.config.store import AcceptedChange, ConfigStore, Planner
from limedeck.errors import (
    ChangeNotAccepted,
    ConfigError,
    InvalidObject,
    InvalidSetting,
    InvariantViolation,
    ObjectNotFound,
    RevisionConflict,
    SettingsError,
)
from tests.unit.faulty_table import FaultyTable


def shared(name: str) -> Service:
    return Service(name=name, sharing=SharingRule(ownership=OWNERSHIP_SHARED))


def change(table: FaultyTable, request_id: str, planner: Planner) -> AcceptedChange:
    return anyio.run(ConfigStore(table).change, request_id, planner)


def current_revision(table: FaultyTable) -> int:
    update = anyio.run(ConfigStore(table).poll, 0)
    return update.revision if update else 0


def test_an_accepted_change_can_be_read() -> None:
    table = FaultyTable()
    accepted = change(table, "r1", changes.create_service(shared("a")))
    assert (accepted.reply.revision, accepted.reply.replayed) == (1, False)
    update = anyio.run(ConfigStore(table).poll, 0)
    assert update is not None and [item.service.name for item in update.objects] == ["a"]


def test_a_repeated_request_id_changes_nothing() -> None:
    table = FaultyTable()
    change(table, "r1", changes.create_service(shared("a")))
    again = change(table, "r1", changes.create_service(shared("a")))
    assert (again.reply.revision, again.reply.replayed, again.update) == (1, True, None)


def test_a_change_whose_response_is_lost_is_accepted() -> None:
    table = FaultyTable()
    table.lost_answers = 1
    accepted = change(table, "r1", changes.create_service(shared("a")))
    assert accepted.reply.revision == 1 == current_revision(table)


def test_a_change_whose_call_is_lost_is_never_accepted() -> None:
    table = FaultyTable()
    table.lost_calls = 1
    with pytest.raises(ChangeNotAccepted):
        change(table, "r1", changes.create_service(shared("a")))
    assert current_revision(table) == 0
    with pytest.raises(ChangeNotAccepted):
        change(table, "r1", changes.create_service(shared("a")))
    assert change(table, "r2", changes.create_service(shared("a"))).reply.revision == 1


def test_a_change_is_not_accepted_while_the_store_is_down() -> None:
    table = FaultyTable()
    table.down = True
    with pytest.raises(ChangeNotAccepted) as caught:
        change(table, "r1", changes.create_service(shared("a")))
    assert caught.value.retry_after > 0


def test_one_of_several_concurrent_updates_wins_and_the_others_conflict() -> None:
    table = FaultyTable()
    change(table, "r0", changes.create_service(shared("a")))
    outcomes: list[AcceptedChange | ConfigError] = []

    async def try_update(request_id: str) -> None:
        planner = changes.update_service(shared("a"), 1)
        try:
            outcomes.append(await ConfigStore(table).change(request_id, planner))
        except ConfigError as error:
            outcomes.append(error)

    async def race() -> None:
        async with anyio.create_task_group() as tasks:
            for number in range(4):
                tasks.start_soon(try_update, f"r{number + 1}")

    anyio.run(race)
    conflicts = [item for item in outcomes if isinstance(item, RevisionConflict)]
    assert len(conflicts) == 3
    assert current_revision(table) == 2


def test_concurrent_changes_of_different_objects_are_all_accepted() -> None:
    table = FaultyTable()

    async def race() -> None:
        async with anyio.create_task_group() as tasks:
            for number in range(5):
                planner = changes.create_service(shared(f"service-{number}"))
                tasks.start_soon(ConfigStore(table).change, f"r{number}", planner)

    anyio.run(race)
    assert current_revision(table) == 5


def test_applied_deltas_give_the_whole_configuration() -> None:
    table = FaultyTable()
    replica = ConfigReplica()
    store = ConfigStore(table)
    for number in range(6):
        change(table, f"c{number}", changes.create_service(shared(f"s-{number}")))
        if number % 2:
            update = anyio.run(store.poll, replica.revision)
            assert update is not None and replica.apply(update) is UpdateOutcome.APPLIED
    change(table, "d", changes.delete_service("s-1", 2))
    update = anyio.run(store.poll, replica.revision)
    assert update is not None and replica.apply(update) is UpdateOutcome.APPLIED
    assert [item.name for item in replica.services()] == ["s-0", "s-2", "s-3", "s-4", "s-5"]


def test_a_replica_never_reverts() -> None:
    replica = ConfigReplica()
    replica.apply(ConfigUpdate(revision=5, objects=[ConfigObject(revision=4, service=shared("a"))]))
    assert replica.apply(ConfigUpdate(revision=4)) is UpdateOutcome.STALE
    assert replica.apply(ConfigUpdate(revision=9, previous_revision=8)) is UpdateOutcome.GAP
    reverted = ConfigObject(revision=3, service=shared("a"))
    with pytest.raises(InvariantViolation):
        replica.apply(ConfigUpdate(revision=6, previous_revision=5, objects=[reverted]))


def keyed(**fields: int | str) -> Service:
    rule = SharingRule(ownership=OWNERSHIP_KEYED, key_source="path:1")
    for name, value in fields.items():
        setattr(rule, name, value)
    return Service(name="a", sharing=rule)


BAD_SERVICES = [
    ("name", shared("")),
    ("name", shared("Upper")),
    ("name", shared("x" * 64)),
    ("sharing.ownership", Service(name="a")),
    ("sharing.key_source", keyed(key_source="path:0")),
    ("sharing.key_source", keyed(key_source="")),
    ("sharing.slices_per_backend", keyed(slices_per_backend=100_000)),
    ("sharing.control_groups", keyed(control_groups=100_000)),
    (
        "limits.maximum_body_bytes",
        Service(
            name="a",
            sharing=SharingRule(ownership=OWNERSHIP_SHARED),
            limits=ServiceLimits(maximum_body_bytes=1 << 40),
        ),
    ),
    (
        "repeatable_methods",
        Service(
            name="a", sharing=SharingRule(ownership=OWNERSHIP_SHARED), repeatable_methods=["get"]
        ),
    ),
]


@pytest.mark.parametrize(("field", "service"), BAD_SERVICES)
def test_an_invalid_service_is_refused_with_its_field(field: str, service: Service) -> None:
    with pytest.raises(InvalidObject) as caught:
        complete_service(service)
    assert caught.value.field == field


@pytest.mark.parametrize(
    "address", ["", "127.0.0.1", "host:80", "127.0.0.1:0", "127.0.0.1:99999", "127.0.0.1:x"]
)
def test_a_back_ends_address_must_be_an_ip_address_and_port(address: str) -> None:
    with pytest.raises(InvalidObject):
        check_backend(Backend(backend_id="b", service="a", address=address))


def test_changes_of_missing_objects_are_refused() -> None:
    table = FaultyTable()
    for planner in (
        changes.update_service(shared("a"), 1),
        changes.delete_service("a", 1),
        changes.add_backend(Backend(backend_id="b", service="a", address="127.0.0.1:1")),
        changes.drain_backend("b", 1),
        changes.remove_backend("b", 1),
    ):
        with pytest.raises(ObjectNotFound):
            change(table, "r", planner)
    assert current_revision(table) == 0


def test_fixed_fields_used_addresses_and_services_with_back_ends_are_protected() -> None:
    table = FaultyTable()
    change(table, "r1", changes.create_service(shared("a")))
    change(
        table,
        "r2",
        changes.add_backend(Backend(backend_id="b", service="a", address="127.0.0.1:1")),
    )
    for planner in (
        changes.update_service(keyed(), 1),
        changes.delete_service("a", 1),
        changes.add_backend(Backend(backend_id="c", service="a", address="127.0.0.1:1")),
    ):
        with pytest.raises(InvalidObject):
            change(table, "r", planner)


def test_back_ends_are_added_to_the_control_group_with_the_fewest() -> None:
    table = FaultyTable()
    change(table, "r", changes.create_service(keyed(control_groups=3)))
    for number in range(7):
        item = Backend(backend_id=f"b{number}", service="a", address=f"127.0.0.1:{number + 1}")
        change(table, f"r{number}", changes.add_backend(item))
    update = anyio.run(ConfigStore(table).poll, 0)
    assert update is not None
    groups = [item.backend.control_group for item in update.objects if item.HasField("backend")]
    assert sorted(groups) == [0, 0, 0, 1, 1, 2, 2]


def test_applying_a_configuration_creates_and_deletes_objects() -> None:
    table = FaultyTable()
    change(table, "r1", changes.create_service(shared("old")))
    change(table, "r2", changes.create_service(shared("kept")))
    accepted = change(table, "r3", changes.apply_config([shared("kept"), shared("new")], [], 2))
    assert accepted.update is not None
    found = {item.service.name: item.deleted for item in accepted.update.objects}
    assert found == {"new": False, "old": True}
    with pytest.raises(RevisionConflict):
        change(table, "r4", changes.apply_config([], [], 2))


GOOD_SETTINGS = """
[node]
id = "n1"
zone = "north"
peer_address = "127.0.0.1:7100"
caller_address = "127.0.0.1:7200"
operator_address = "127.0.0.1:7300"
admin_address = "127.0.0.1:7400"

[platform]
table_url = "http://127.0.0.1:7000"
object_store_url = "http://127.0.0.1:7000"
machine_list_url = "http://127.0.0.1:7000"
"""

BAD_SETTINGS = [
    ("node.id", GOOD_SETTINGS.replace('id = "n1"', 'id = "N 1"')),
    ("node.zone", GOOD_SETTINGS.replace('zone = "north"\n', "")),
    ("node.peer_address", GOOD_SETTINGS.replace("127.0.0.1:7100", "localhost:7100")),
    ("platform.table_url", GOOD_SETTINGS.replace('table_url = "http://127', 'table_url = "127')),
    ("node.colour", GOOD_SETTINGS.replace("[node]", '[node]\ncolour = "lime"')),
    ("control", GOOD_SETTINGS + "[control]\ntiming = { backend_leese = 3.0 }\n"),
    ("control", GOOD_SETTINGS + "[control]\ntiming = { backend_lease = 0.1 }\n"),
    ("stop.drain_seconds", GOOD_SETTINGS + "[stop]\ndrain_seconds = -1\n"),
    ("log.level", GOOD_SETTINGS + '[log]\nlevel = "loud"\n'),
    ("(file)", "[node"),
]


def write_settings(directory: Path, content: str) -> str:
    file = directory / "settings.toml"
    file.write_text(content)
    return str(file)


def test_flags_override_settings(tmp_path: Path) -> None:
    settings = load_settings(write_settings(tmp_path, GOOD_SETTINGS), {"zone": "south"})
    assert (settings.node.id, settings.node.zone) == ("n1", "south")


@pytest.mark.parametrize(("key", "content"), BAD_SETTINGS)
def test_invalid_settings_are_reported_with_file_key_problem_and_expected_value(
    tmp_path: Path, key: str, content: str
) -> None:
    file = write_settings(tmp_path, content)
    with pytest.raises(InvalidSetting) as caught:
        load_settings(file, {})
    error = caught.value
    assert (error.file, error.key) == (file, key)
    assert error.problem and error.expected


def test_several_invalid_settings_are_reported_together(tmp_path: Path) -> None:
    content = GOOD_SETTINGS.replace("127.0.0.1:7100", "x").replace("127.0.0.1:7200", "y")
    with pytest.raises(ExceptionGroup) as caught:
        load_settings(write_settings(tmp_path, content), {})
    assert len(caught.value.exceptions) == 2
    assert all(isinstance(error, SettingsError) for error in caught.value.exceptions)


def test_a_missing_settings_file_is_an_invalid_setting(tmp_path: Path) -> None:
    with pytest.raises(InvalidSetting):
        load_settings(str(tmp_path / "none.toml"), {})
