"""Port reservation: no other process may take a port before the process of the run listens on it.

Guards against a node that ends at its start because its address is in use, while the run waits two
minutes for it. The fault soak found this with ephemeral ports, which go to outgoing connections and
to other runs (seed 290143, beside two other soaks), and with a port outside that range, which was
taken between the check and the start of the node (seed 290303, beside two soaks and a CI run). In
that time another run can find the same port free, so runs reserve their ports.
"""

from __future__ import annotations

import pathlib
import socket
import subprocess
import sys

from limedeck_lab import port_locks, processes

EPHEMERAL_PORT_RANGE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_ports_are_below_the_ephemeral_range() -> None:
    lowest = int(EPHEMERAL_PORT_RANGE.read_text().split()[0])
    assert all(1024 < port < lowest for port in processes.free_ports(200))


def test_no_port_is_returned_twice() -> None:
    ports = [port for _ in range(20) for port in processes.free_ports(20)]
    assert len(set(ports)) == len(ports)


def test_a_port_in_use_is_not_free() -> None:
    (port,) = processes.free_ports(1)
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", port))
        listener.listen()
        assert not processes.is_free("127.0.0.1", port)
    assert processes.is_free("127.0.0.1", port)


def test_a_port_reserved_by_another_run_is_not_reserved_again(tmp_path: pathlib.Path) -> None:
    """The port may be free at the check because the other run's process does not listen yet."""
    ours, theirs = port_locks.PortLocks(tmp_path), port_locks.PortLocks(tmp_path)
    assert theirs.try_reserve(12_000)
    assert not ours.try_reserve(12_000)
    assert ours.try_reserve(12_001)
    assert not ours.try_reserve(12_001)
    theirs.release_all()
    assert ours.try_reserve(12_000)


def test_a_reservation_ends_with_its_process_and_is_not_inherited(
    tmp_path: pathlib.Path,
) -> None:
    """A killed run leaves processes and lock files behind."""
    program = (
        "import pathlib, subprocess, sys\n"
        "from limedeck_lab import port_locks\n"
        f"locks = port_locks.PortLocks(pathlib.Path({str(tmp_path)!r}))\n"
        "locks.try_reserve(12_000)\n"
        "child = subprocess.Popen([sys.executable, '-c', 'input()'], stdin=subprocess.PIPE)\n"
        "print(child.pid, flush=True)\n"
        "input()\n"
    )
    run = subprocess.Popen(
        [sys.executable, "-c", program], stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )
    assert run.stdout is not None
    run.stdout.readline()
    locks = port_locks.PortLocks(tmp_path)
    assert not locks.try_reserve(12_000)
    run.kill()
    run.communicate()
    assert locks.try_reserve(12_000)
