"""A late surplus answer to a rejected request is taken for the answer to its retry."""

from __future__ import annotations

import asyncio
import collections
import random
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import ClassVar

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

NODES = 3
UPSTREAMS = 5
FAULTY = 3
"""Upstreams that send surplus answers: a share of 0.6."""
SURPLUS_SHARE = 0.03
"""Part of their answers that are sent twice, at most; all of these are rejections."""
TROUBLE_S = 5.0
PAUSE_S = 1.0
SECONDS = 85.0
RATE = 90.0
WORK_S = 0.11
HOT_SHARE = 0.35
HOT_KEYS = 200
DEADLINE_S = 3.0
RETRIES = 2
TIMEOUT_S = 1.5
OBJECTIVE_S = 0.522
NOT_RUN = (408, 421, 429, 503)


@dataclass(eq=False)
class FaultyUpstream(standins.Upstream):
    """Sends some rejections a second time: late, in the place where the next answer is expected."""

    answers: int = 0
    surplus: int = 0
    kept: dict[asyncio.StreamWriter, tuple[str, bytes]] = field(default_factory=dict)
    began: ClassVar[float] = 0.0

    async def handle(self, request: standins.Request, writer: asyncio.StreamWriter) -> bytes | None:
        if writer in self.kept:
            rejected, copy = self.kept.pop(writer)
            self.record.write(f"surplus 503 for {rejected} before the answer to {request.id}")
            writer.write(copy)
        response = await super().handle(request, writer)
        if response is not None and request.id and self._is_in_trouble():
            self.answers += 1
            is_rejection = response.split(b" ", 2)[1] == b"503"
            if is_rejection and self.surplus + 1 <= SURPLUS_SHARE * self.answers:
                self.surplus += 1
                self.kept[writer] = (request.id, response)
        return response

    def _is_in_trouble(self) -> bool:
        is_faulty = int(self.name.removeprefix("i-"), 16) <= FAULTY
        is_time = self.began and (time.monotonic() - self.began) % (TROUBLE_S + PAUSE_S) < TROUBLE_S
        return bool(standins.has_trouble() and is_faulty and is_time)


async def case_surplus_rejection(record: standins.Record) -> bool:
    """Send requests that may run once to owners that are full at times."""
    site = standins.Site(record)
    site.add_upstreams(
        "rider-core",
        UPSTREAMS,
        sharded=True,
        kind=FaultyUpstream,
        slots=2,
        queue=2,
        work_s=WORK_S,
    )
    routes = [
        standins.route("r1", "/dispatch/", "rider-core", "unsafe", TIMEOUT_S, OBJECTIVE_S, 0),
        standins.route("r2", "/status/", "rider-core", "safe", TIMEOUT_S, 0.5, 2),
    ]
    site.configure(1, routes)
    source = random.Random(1)
    statuses: dict[str, int] = {}
    once: set[str] = set()

    async def send(method: str, path: str, key: int) -> None:
        """Send one request, and return with it after a refusal as PROTOCOL.md says."""
        end = time.monotonic() + DEADLINE_S
        for _ in range(1 + RETRIES):
            left = end - time.monotonic()
            node = source.choice(site.nodes)
            request_id, status, pause = await site.exchange(node, method, path, left, key)
            statuses[request_id] = status
            if method == "POST":
                once.add(request_id)
            if status not in NOT_RUN:
                return
            await asyncio.sleep(min(pause, (end - time.monotonic()) / 3))

    async with standins.running(site, NODES):
        FaultyUpstream.began = time.monotonic() + 2.0
        sending: set[asyncio.Task[None]] = set()
        for _ in range(int(SECONDS * RATE)):
            is_hot = source.random() < HOT_SHARE
            key = source.randrange(HOT_KEYS) if is_hot else source.randrange(65_536)
            method, path = source.choice([("POST", "/dispatch/a"), ("GET", "/status/a")])
            sending.add(asyncio.create_task(send(method, path, key)))
            await asyncio.sleep(source.expovariate(RATE))
        await asyncio.gather(*sending)
        runs = collections.Counter(item for upstream in site.upstreams for item in upstream.ran)
    twice = sorted(item for item in once if runs[item] > 1)
    refused = sorted(item for item in once if statuses.get(item) in NOT_RUN and runs[item])
    for item in twice:
        record.write(f"TWICE: {item} ran {runs[item]} times, answered {statuses.get(item)}")
    for item in refused:
        record.write(f"REFUSED: {item} was answered {statuses[item]} and ran {runs[item]} times")
    for upstream in site.upstreams:
        record.write(
            f"{upstream.name}: {upstream.surplus} of {upstream.answers} answers sent twice"
        )
    record.write(f"answers: {dict(site.answers)}")
    return bool(twice or refused)


if __name__ == "__main__":
    sys.exit(standins.main(case_surplus_rejection, FOLDER))
