"""Ports for processes of a run: nothing else may take them before the process listens.

Found by the fault soak, seed 290143, beside two other soaks: a node ended at its start because its
address was in use, and the run waited two minutes for it. Ports that the system gives out at random
go to outgoing connections and to other runs as well. Seed 290303, beside two soaks and a CI run,
found the same among ports that the system does not give out: another run had looked meanwhile.
"""

from __future__ import annotations

import pathlib
import socket
import subprocess
import sys

from limedeck_lab import port_locks, processes

GIVEN_OUT_AT_RANDOM = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_ports_are_not_those_that_the_system_gives_out_at_random() -> None:
    lowest = int(GIVEN_OUT_AT_RANDOM.read_text().split()[0])
    assert all(1024 < port < lowest for port in processes.free_ports(200))


def test_no_port_is_told_twice() -> None:
    told = [port for _ in range(20) for port in processes.free_ports(20)]
    assert len(set(told)) == len(told)


def test_a_port_that_is_taken_is_passed_over() -> None:
    (port,) = processes.free_ports(1)
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", port))
        taken.listen()
        assert not processes.is_free("127.0.0.1", port)
    assert processes.is_free("127.0.0.1", port)


def test_a_port_that_another_run_has_reserved_is_passed_over(tmp_path: pathlib.Path) -> None:
    """It may be free when this run looks: the other one's process has not begun to listen."""
    ours, theirs = port_locks.PortLocks(tmp_path), port_locks.PortLocks(tmp_path)
    assert theirs.try_reserve(12_000)
    assert not ours.try_reserve(12_000)
    assert ours.try_reserve(12_001)
    assert not ours.try_reserve(12_001)
    theirs.release_all()
    assert ours.try_reserve(12_000)


def test_a_reservation_ends_with_its_process_and_is_not_left_to_those_it_started(
    tmp_path: pathlib.Path,
) -> None:
    """A run that was killed leaves processes and files behind."""
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
