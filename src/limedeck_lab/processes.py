"""Starting, watching and ending the processes of a run, by their ids."""

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

END_PATIENCE = 20.0
POLL_PAUSE = 0.05
USER_TICKS_FIELD = 11
KERNEL_TICKS_FIELD = 12
"""Of /proc/PID/stat, counted after the process's name."""


class ConditionNotMet(LimedeckError):
    """A condition did not come about in the time allowed."""


FIRST_PORT, LAST_PORT = 10_240, 19_999
"""Below those that the system gives to outgoing connections (from 32,768 on) and those of
`free_port_range`: another process could take one between the look and the start of its user."""
_locks = port_locks.PortLocks()


def free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Find ports that are free now, and reserve them for this process and those it starts."""
    found: list[int] = []
    # Other runs on this machine begin elsewhere, whatever seeds they have.
    source = random.SystemRandom()
    while len(found) < count:
        port = source.randint(FIRST_PORT, LAST_PORT)
        if is_free(host, port) and _locks.try_reserve(port):
            found.append(port)
    return found


def free_port_range(count: int, host: str = "127.0.0.1", first: int = 20_000) -> int:
    """Find the first of so many consecutive free ports, below those given out at random."""
    start = first + os.getpid() % 50 * 200
    while not all(is_free(host, start + offset) for offset in range(count)):
        start += count
    return start


def is_free(host: str, port: int) -> bool:
    """Whether a process could listen there now."""
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
        It did not in time.
    """
    give_up_at = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > give_up_at:
            raise ConditionNotMet(what)
        time.sleep(POLL_PAUSE)


def answers(url: str, status: int = 200) -> bool:
    """Whether a GET is answered with a status."""
    try:
        return httpx.get(url, timeout=1.0, trust_env=False, verify=False).status_code == status
    except httpx.HTTPError:
        return False


def processor_seconds(process_id: int) -> float:
    """Processor time that a process has used, in user and kernel."""
    fields = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[USER_TICKS_FIELD]) + int(fields[KERNEL_TICKS_FIELD])
    return ticks / os.sysconf("SC_CLK_TCK")


def resident_bytes(process_id: int) -> int:
    """Memory of a process that is resident."""
    pages = int(Path(f"/proc/{process_id}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


LOG_END = 2_000
"""Bytes of a process's log that an error carries."""


@dataclass
class ManagedProcess:
    """A process that this run has started.

    Parameters
    ----------
    log
        File that its output goes to.
    """

    name: str
    process: subprocess.Popen[bytes]
    log: Path

    @property
    def is_running(self) -> bool:
        """Whether it has not ended."""
        return self.process.poll() is None

    def describe(self) -> str:
        """Tell whether it runs, and the end of its log, for the error of a failed wait."""
        state = "runs" if self.is_running else f"ended with code {self.process.returncode}"
        return f"{self.name} {state}; its log ends with {self.log.read_bytes()[-LOG_END:]!r}"

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal."""
        self.process.send_signal(number)

    def wait(self, timeout: float = END_PATIENCE) -> int:
        """Wait for its end; return its exit code."""
        return self.process.wait(timeout)

    def end(self) -> int:
        """End it, by force if it does not end by itself in time."""
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
    """All processes of a run; ended together, last started first."""

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
