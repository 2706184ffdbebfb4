"""Starts, monitors and ends the processes of a run."""

from __future__ import annotations

import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import httpx

from limedeck.errors import LimedeckError
from limedeck_lab import port_locks

STOP_TIMEOUT_SECONDS = 20.0
POLL_INTERVAL_SECONDS = 0.05
USER_TICKS_FIELD = 11
KERNEL_TICKS_FIELD = 12
"""Indexes of fields of /proc/PID/stat, counted from the field after the process's name."""


class ConditionNotMet(LimedeckError):
    """A condition did not hold within the time allowed."""


FIRST_PORT, LAST_PORT = 10_240, 19_999
"""Range of `free_ports`, below the ephemeral ports (from 32,768 on) and the ports of
`free_port_range`: another process could take one of those between the check for a free port and the
start of the process that is to listen on it."""
_locks = port_locks.PortLocks()


def free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Find ports that are free now; reserve them for this process and those it starts."""
    found: list[int] = []
    # Not seeded, so that runs with equal seeds on this machine start at different ports.
    source = random.SystemRandom()
    while len(found) < count:
        port = source.randint(FIRST_PORT, LAST_PORT)
        if is_free(host, port) and _locks.try_reserve(port):
            found.append(port)
    return found


def free_port_range(count: int, host: str = "127.0.0.1", first: int = 20_000) -> int:
    """Find the first of `count` consecutive free ports.

    The search starts below the ephemeral ports, at an offset that depends on the process id.
    """
    start = first + os.getpid() % 50 * 200
    while not all(is_free(host, start + offset) for offset in range(count)):
        start += count
    return start


def is_free(host: str, port: int) -> bool:
    """Whether a process could listen on this port now."""
    with socket.socket() as item:
        item.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            item.bind((host, port))
        except OSError:
            return False
        return True


def wait_until(condition: Callable[[], bool], what: str, timeout: float = 30.0) -> None:
    """Wait until a condition holds.

    Raises
    ------
    ConditionNotMet
        The condition did not hold within `timeout` seconds.
    """
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            raise ConditionNotMet(what)
        time.sleep(POLL_INTERVAL_SECONDS)


def answers(url: str, status: int = 200) -> bool:
    """Whether a GET request gets a response with this status."""
    try:
        return httpx.get(url, timeout=1.0, trust_env=False, verify=False).status_code == status
    except httpx.HTTPError:
        return False


def processor_seconds(process_id: int) -> float:
    """Processor time that a process has used, in user and kernel mode."""
    fields = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[USER_TICKS_FIELD]) + int(fields[KERNEL_TICKS_FIELD])
    return ticks / os.sysconf("SC_CLK_TCK")


def resident_bytes(process_id: int) -> int:
    """Resident memory of a process."""
    pages = int(Path(f"/proc/{process_id}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


LOG_TAIL_BYTES = 2_000
"""Length of the end of a process's log that an error message includes."""


@dataclass
class ManagedProcess:
    """A process that this run has started.

    Parameters
    ----------
    log
        File that receives its standard output and error.
    """

    name: str
    process: subprocess.Popen[bytes]
    log: Path

    @property
    def is_running(self) -> bool:
        """Whether the process still runs."""
        return self.process.poll() is None

    def describe(self) -> str:
        """Describe its state and the end of its log, for error messages."""
        state = "runs" if self.is_running else f"ended with code {self.process.returncode}"
        return f"{self.name} {state}; its log ends with {self.log.read_bytes()[-LOG_TAIL_BYTES:]!r}"

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def wait(self, timeout: float = STOP_TIMEOUT_SECONDS) -> int:
        """Wait until the process ends; return its exit code."""
        return self.process.wait(timeout)

    def end(self) -> int:
        """Terminate the process, with SIGKILL after a time-out; return its exit code."""
        if self.is_running:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGTERM)
        try:
            return self.wait()
        except subprocess.TimeoutExpired:
            self.signal(signal.SIGKILL)
            return self.wait()


@dataclass
class ProcessGroup:
    """All processes of a run, which are ended together in reverse order of their start."""

    directory: Path
    processes: list[ManagedProcess] = field(default_factory=list)

    def start(self, name: str, module: str, arguments: Sequence[str]) -> ManagedProcess:
        """Start a Python module as a process."""
        log = self.directory / f"{name}.log"
        with log.open("ab") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        managed = ManagedProcess(name, process, log)
        self.processes.append(managed)
        return managed

    def end_all(self) -> None:
        """End every process that still runs."""
        for item in reversed(self.processes):
            item.end()
