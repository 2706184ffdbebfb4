"""The paths of a node to back ends, for tests of parts that use them."""

from __future__ import annotations

from limedeck import http_client
from limedeck.node import (
    backend_paths,
    intermediary_client,
    reachability_monitor,
    state,
    telemetry,
)
from limedeck.platform import headers


def paths_of(
    node: state.NodeState,
    client: http_client.HttpClient,
    monitor: reachability_monitor.ReachabilityMonitor | None = None,
) -> backend_paths.BackendPaths:
    """Return paths on which a node uses one client for back ends and other nodes."""
    counted = telemetry.Telemetry()
    monitor = monitor or reachability_monitor.ReachabilityMonitor(node, client, counted)
    return backend_paths.BackendPaths(
        node.directory,
        headers.PlatformProtocol(),
        client,
        monitor,
        intermediary_client.IntermediaryClient(node.directory.intermediaries, client),
        counted,
    )
