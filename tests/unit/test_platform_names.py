"""Only one small package depends on the users' platform."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

SOURCES = Path(__file__).parents[2] / "src"
ADAPTER = SOURCES / "limedeck" / "platform"
MAX_ADAPTER_LINES = 500
NAMES_TEXT = """
x-attempt-id x-deadline-ms x-upstream-signature x-expect-instance x-upstream-load
x-not-executed x-instance-id x-shard-key x-handover rows-tx rows-get rows-feed rows-parts
blob-put blob-get blob-drop blob-list /v1/grant /v1/release key_file
has_more target_version hold_s traffic_split target_latency_s route_type warmup_s_time
ephemeral_ports limedeck_node_file control_plane server-limit server-leaving warmup_per_s
"""
"""Names that only the platform uses; `expected_revision` is also in the operators' calls."""
NAMES = NAMES_TEXT.split()


def python_files() -> Iterator[Path]:
    for file in SOURCES.rglob("*.py"):
        if ADAPTER not in file.parents and not file.name.endswith(("_pb2.py", "_pb2_grpc.py")):
            yield file


def test_names_of_the_platform_appear_only_in_the_adapter() -> None:
    found = []
    for file in python_files():
        text = file.read_text().lower()
        for name in NAMES:
            if re.search(rf"(?<![\w-]){re.escape(name)}(?![\w-])", text):
                found.append(f"{file.relative_to(SOURCES)}: {name}")
    assert found == []


def test_only_the_server_imports_the_adapter() -> None:
    importers = set()
    for file in python_files():
        for node in ast.walk(ast.parse(file.read_text())):
            modules = []
            if isinstance(node, ast.ImportFrom):
                modules = [node.module or ""]
            elif isinstance(node, ast.Import):
                modules = [alias.name for alias in node.names]
            if any(module.startswith("limedeck.platform") for module in modules):
                importers.add(str(file.relative_to(SOURCES)))
    assert importers == {"limedeck/node/server.py"}


def test_the_adapter_is_small() -> None:
    lines = sum(len(file.read_text().splitlines()) for file in ADAPTER.glob("*.py"))
    assert lines < MAX_ADAPTER_LINES
