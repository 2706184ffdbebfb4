"""Ports for processes of a run: nothing else may take them before the process listens.

Found by the fault soak, seed 290143, beside two other soaks: a node ended at its start because its
address was in use, and the run waited two minutes for it. Ports that the system gives out at random
go to outgoing connections and to other runs as well.
"""

from __future__ import annotations

import pathlib
import socket

from limedeck_lab import processes

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
