"""The fault soak's own parts: its proxy, and a judge that sees what is broken."""

from __future__ import annotations

import pathlib

import anyio
import anyio.abc
import pytest

from limedeck_lab import processes
from tests.soak import proxy, soak
from tests.system import platform_site

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def echo(stream: anyio.abc.SocketStream) -> None:
    async with stream:
        async for data in stream:
            await stream.send(data)


@pytest.mark.parametrize(
    ("mode", "answered"),
    [
        (proxy.Mode.PASS, True),
        (proxy.Mode.DELAY, True),
        (proxy.Mode.CUT_REPLIES, False),
        (proxy.Mode.SILENT, False),
    ],
)
async def test_a_proxy_does_what_its_mode_says(mode: proxy.Mode, answered: bool) -> None:
    ports = processes.free_ports(2)
    target, shown = (f"127.0.0.1:{port}" for port in ports)
    item = proxy.FaultyProxy(shown, target, mode)
    ended = anyio.Event()
    async with anyio.create_task_group() as tasks:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=ports[0])
        tasks.start_soon(listener.serve, echo)
        tasks.start_soon(item.serve, ended)
        await anyio.sleep(0.1)
        async with await anyio.connect_tcp("127.0.0.1", ports[1]) as stream:
            await stream.send(b"x")
            got = b""
            with anyio.move_on_after(3.0 if answered else 0.8):
                got = await stream.receive()
            assert got == (b"x" if answered else b"")
            await item.reset_all()
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                await stream.receive()
        ended.set()
        tasks.cancel_scope.cancel()


def planted(site: soak.JudgedSite) -> list[tuple[str, str]]:
    for name in ("i-1", "i-2"):
        upstream = platform_site.Upstream(name, "keyed", True, "127.0.0.1:1", site)
        upstream.held = {(0, 9): (1, 1e12)}
        site.upstreams.append(upstream)
    site.judge()
    return site.two_owners


def test_the_judge_sees_two_owners() -> None:
    assert planted(soak.JudgedSite()) == [("i-1", "i-2")]


def test_orders_that_a_fault_held_up_are_excused() -> None:
    site = soak.JudgedSite()
    site.excuse(60.0)
    assert planted(site) == []


def test_the_end_is_judged(tmp_path: pathlib.Path) -> None:
    run = soak.Soak(1, tmp_path)
    run._unsafe, run._refused = {"a", "b"}, {"c"}
    run.site.runs += [("a", "i-1"), ("a", "i-2"), ("b", "i-1"), ("c", "i-1")]
    run._blame_runs()
    assert run.result.violations == ["ran twice: a", "refused and yet run: c"]
