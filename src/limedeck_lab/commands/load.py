"""``limedeck-lab demo`` and ``limedeck-lab load``"""

from __future__ import annotations

import json

import anyio
from cleo.commands.command import Command
from cleo.helpers import option

from limedeck_lab.cluster import running_cluster
from limedeck_lab.demo import run_demo
from limedeck_lab.load import LoadGenerator, LoadResult, plan_requests
from limedeck_lab.site import load_site
from limedeck_lab.statistics import percentile

EXIT_OK = 0
EXIT_FAILED = 1


class DemoCommand(Command):
    """Runs a complete site and sends it requests."""

    name = "demo"
    description = "Run a complete site in separate processes and send it requests"
    options = [  # noqa: RUF012
        option("site", None, "Site file", flag=False, default="examples/kostanay.toml"),
        option("requests", None, "Number of requests", flag=False, default="2000"),
    ]

    def handle(self) -> int:
        """Run the site; succeed only if every request has a complete response."""
        site = load_site(self.option("site"))
        with running_cluster(site) as cluster:
            result = anyio.run(run_demo, cluster, int(self.option("requests")), self.line_error)
        for reason, count in sorted(result.reasons.items()):
            self.line_error(f"{count} times: {reason}")
        self.line(json.dumps(result.to_dict()))
        return EXIT_OK if _has_succeeded(result) else EXIT_FAILED


def _has_succeeded(result: LoadResult) -> bool:
    faults = result.wrong + result.duplicated + result.not_run_but_ran
    return result.whole == result.sent and faults == 0


class LoadCommand(Command):
    """Sends a site's requests to running nodes."""

    name = "load"
    description = "Send a site's requests to nodes that are already running"
    options = [  # noqa: RUF012
        option("site", None, "Site file", flag=False, default="examples/kostanay.toml"),
        option("node", None, "A node's caller address", flag=False, multiple=True),
        option("requests", None, "Number of requests", flag=False, default="1000"),
        option("rate", None, "Requests per second; 0 for no limit", flag=False, default="0"),
        option(
            "concurrency", None, "Requests in flight at the same time", flag=False, default="12"
        ),
        option("seed", None, "Seed of the drawn requests", flag=False, default="1"),
    ]

    def handle(self) -> int:
        """Send the requests and print the counts as one JSON line."""
        nodes = self.option("node")
        if not nodes:
            self.line_error("limedeck-lab load: at least one --node is needed")
            return 2
        site = load_site(self.option("site"))
        requests = plan_requests(site, int(self.option("requests")), int(self.option("seed")))
        generator = LoadGenerator(nodes, int(self.option("concurrency")))
        result = anyio.run(generator.run, requests, float(self.option("rate")))
        latencies = sorted(result.latencies)
        record = result.to_dict()
        record["latency_ms"] = {
            "p50": percentile(latencies, 0.5) * 1000,
            "p99": percentile(latencies, 0.99) * 1000,
        }
        record["reasons"] = dict(result.reasons)
        self.line(json.dumps(record))
        return EXIT_OK if result.wrong == 0 else EXIT_FAILED
