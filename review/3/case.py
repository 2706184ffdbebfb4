"""An entry of another writer that cannot be read ends every node."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

NODES = 3
SECONDS = 20.0
RATE = 30.0
UNREADABLE_ENTRY = b'{"labels":' + b"[" * 1200
"""1,210 bytes of cut-off JSON; a row may have 65,536."""


async def case_unreadable_entry(record: standins.Record) -> bool:
    """Write one unreadable entry beside those of the upstreams, and watch the processes."""
    site = standins.Site(record)
    site.add_upstreams("parcel-registry", 3, sharded=True)
    site.add_upstreams("plan-archive", 3, sharded=False)
    site.configure(
        1,
        [
            standins.route("r1", "/lookup/", "parcel-registry", "safe", 1.2),
            standins.route("r2", "/view/", "plan-archive", "safe", 1.2),
        ],
    )
    async with standins.running(site, NODES):
        source = random.Random(1)
        sending: set[asyncio.Task[int]] = set()
        for number in range(int(SECONDS * RATE)):
            if number == int(2 * RATE) and standins.has_trouble():
                record.write(f"another writer puts servers/i-other: {UNREADABLE_ENTRY[:20]!r}...")
                site.store.put("servers", "i-other", UNREADABLE_ENTRY)
            node = source.choice(site.nodes)
            path, key = source.choice([("/lookup/a", source.randrange(65_536)), ("/view/a", None)])
            sending.add(asyncio.create_task(site.send(node, "GET", path, 1.2, key)))
            await asyncio.sleep(1.0 / RATE)
        await asyncio.gather(*sending)
        for node in site.nodes:
            record.write(f"node {node.number}: {node.own_ends} ends by itself")
            if node.own_ends:
                record.write(f"end of its log: {site.log_tail(node)}")
        record.write(f"answers: {dict(site.answers)}")
        return standins.breaks_fault_rule(site)


if __name__ == "__main__":
    sys.exit(standins.main(case_unreadable_entry, FOLDER))
