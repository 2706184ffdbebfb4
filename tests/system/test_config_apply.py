"""The commands that change the configuration, on a separate site."""

from pathlib import Path

from cleo.testers.application_tester import ApplicationTester

from limedeck.cli.application import build_application
from limedeck_lab.cluster import Cluster
from limedeck_lab.processes import wait_until

DESIRED_CONFIG = """
[[services]]
name = "parcels"
ownership = "keyed"
key_source = "path:2"
slices_per_backend = 8
backend_slots = 4
backend_connections = 60

[[services]]
name = "added"
ownership = "shared"

[[backends]]
id = "parcels-00"
service = "parcels"
address = "{address}"
zone = "north"
"""


def limedeck(cluster: Cluster, command: str) -> ApplicationTester:
    tester = ApplicationTester(build_application())
    tester.execute(f"{command} --server {cluster.addresses[0].operator}")
    return tester


def test_the_configuration_is_changed_by_commands(own_cluster: Cluster, tmp_path: Path) -> None:
    for command in (
        "service create extra --ownership shared --repeatable GET --repeatable PUT",
        "service update extra --ownership shared --backend-slots 3",
        "backend add extra-00 extra 127.0.0.1:9 --zone north",
        "backend drain extra-00",
        "backend remove extra-00",
        "service delete extra",
    ):
        tester = limedeck(own_cluster, command)
        assert tester.status_code == 0, command
        assert "accepted as revision" in tester.io.fetch_output()

    file = tmp_path / "desired.toml"
    file.write_text(DESIRED_CONFIG.format(address=own_cluster.backends[0].address))
    diff = limedeck(own_cluster, f"config diff {file}").io.fetch_output().splitlines()
    assert "+ service added" in diff
    assert "- service filing" in diff
    assert "- backend parcels-01" in diff
    assert not [line for line in diff if line.startswith("~")]
    applied = limedeck(own_cluster, f"config apply {file} --yes")
    assert applied.status_code == 0
    assert "accepted as revision" in applied.io.fetch_output()
    repeated = limedeck(own_cluster, f"config apply {file} --yes")
    assert "holds this already" in repeated.io.fetch_output()

    client = own_cluster.client()
    wait_until(
        lambda: (
            {item.owner for item in client.get_assignment("parcels").boundaries} == {"parcels-00"}
        ),
        "the slices of the removed back ends have moved",
    )
    client.close()
