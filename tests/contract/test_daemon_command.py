"""The daemon's command line, and a site with a single node."""

import signal
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import httpx
import pytest

from limedeck_lab.cluster import Cluster
from limedeck_lab.site import Site
from tests.system.conftest import SMALL_SITE
from tests.unit.test_config import BAD_SETTINGS, GOOD_SETTINGS

COMMAND = [sys.executable, "-m", "limedeck.daemon.main"]


def check_settings(tmp_path: Path, content: str, *flags: str) -> subprocess.CompletedProcess[str]:
    file = tmp_path / "settings.toml"
    file.write_text(content)
    return subprocess.run(
        [*COMMAND, "--settings", str(file), "--check", *flags],
        capture_output=True,
        text=True,
        timeout=60,
    )


def test_valid_settings_pass_the_check(tmp_path: Path) -> None:
    result = check_settings(tmp_path, GOOD_SETTINGS)
    assert result.returncode == 0
    assert "settings are good" in result.stdout


@pytest.mark.parametrize(("key", "content"), BAD_SETTINGS[:4])
def test_invalid_settings_exit_with_code_2_and_the_reason(
    tmp_path: Path, key: str, content: str
) -> None:
    result = check_settings(tmp_path, content)
    assert result.returncode == 2
    assert f"settings.toml: {key}: " in result.stderr
    assert "expected" in result.stderr


def test_flags_are_validated_like_the_file(tmp_path: Path) -> None:
    result = check_settings(tmp_path, GOOD_SETTINGS, "--peer-address", "nowhere")
    assert result.returncode == 2
    assert "node.peer_address" in result.stderr


def test_settings_are_required() -> None:
    result = subprocess.run(COMMAND, capture_output=True, text=True, timeout=60)
    assert result.returncode == 2


def test_single_node_serves_and_stops_with_code_0(tmp_path: Path) -> None:
    site = Site.model_validate({**SMALL_SITE.model_dump(), "zones": ["only"]})
    cluster = Cluster(site, tmp_path)
    try:
        cluster.start()
        cluster.wait_until_serving(cluster.create_objects())
        (addresses,) = cluster.addresses
        for path in ("/parcels/p/7", "/filing/r"):
            response = httpx.get(f"http://{addresses.caller}{path}")
            assert response.headers["limedeck-outcome"] == "whole"
        process = cluster.nodes[addresses.node_id]
        process.signal(signal.SIGTERM)
        assert process.wait() == 0
        cluster.start_node(replace(addresses))
        cluster.wait_until_serving(1)
    finally:
        cluster.end()
