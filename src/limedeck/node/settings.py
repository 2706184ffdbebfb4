"""A node's settings: a TOML file that is validated completely before anything starts."""

from __future__ import annotations

from typing import Annotated

import msgspec

from limedeck import decoding
from limedeck.errors import InvalidSetting
from limedeck.held_memory import MEGABYTE, MemoryLimits, Purpose, limits_for_machine
from limedeck.response_memory import MAX_BYTES

Address = Annotated[str, msgspec.Meta(pattern=r"^\d+\.\d+\.\d+\.\d+:\d+$")]
Positive = Annotated[float, msgspec.Meta(gt=0)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]


class Section(msgspec.Struct, frozen=True):
    """A table of the settings file; unknown keys are ignored."""


BYTES_PER_MEGABIT = 125_000


class NodeSection(Section, frozen=True):
    """The node's identity, the addresses it listens on, and its resources.

    Parameters
    ----------
    intermediary_port
        The port on which the node accepts attempts of other nodes; 0: any free one.
    cpu_share, cpus
        The fraction of the processor that the node may use, and the speed of the processor as a
        multiple of one core.
    link_mbps
        The bandwidth of the node's network link in megabits per second.
    memory_mb
        The machine's memory in megabytes, which bounds what the node holds for callers and back
        ends; zero: only responses that are being received have a bound.
    first_start
        Whether the whole system starts for the first time.
    """

    id: str
    zone: str
    ip: str
    callers: Address
    readiness: Address
    first_peer_port: int
    metrics_port: int = 0
    intermediary_port: int = 0
    cpu_share: Positive = 1.0
    cpus: Positive = 1.0
    link_mbps: Positive = 10.0
    memory_mb: NonNegative = 0.0
    first_start: bool = True

    @property
    def processor(self) -> float:
        """Processor capacity that this node may use, in cores."""
        return self.cpu_share * self.cpus

    @property
    def link(self) -> float:
        """The bandwidth of the node's network link in bytes per second."""
        return self.link_mbps * BYTES_PER_MEGABIT

    @property
    def memory_limits(self) -> MemoryLimits:
        """Bounds of what the node holds for callers and back ends."""
        if not self.memory_mb:
            return MemoryLimits(by_purpose={Purpose.RECEIVED: MAX_BYTES})
        return limits_for_machine(int(self.memory_mb * MEGABYTE), MAX_BYTES)


class StoreSection(Section, frozen=True):
    """The store's address; times are in seconds."""

    address: Address
    timeout: Positive = 1.0
    feed_wait: Positive = 20.0


class RetrySection(Section, frozen=True):
    """The retry budget of all nodes together; the window is in seconds."""

    ratio: NonNegative
    slack: NonNegative
    window: Positive


class StopSection(Section, frozen=True):
    """A graceful shutdown; times are in seconds.

    Parameters
    ----------
    grace
        The process is killed after this time.
    serving
        Fraction of the grace during which requests are still forwarded; later requests are refused
        as not run. Half of the grace remains for the response to the last forwarded request.
    longest_serving
        Upper bound of the time during which requests are forwarded, however long the grace: the
        platform sends no new connections after two failed readiness checks, one per second.
    finishing
        Fraction of the grace after which the process exits even if requests are in flight; the rest
        is for writing the last responses and for the exit on a slow machine.
    """

    grace: Positive
    serving: Positive = 0.48
    longest_serving: Positive = 2.8
    finishing: Positive = 0.93

    @property
    def serving_time(self) -> float:
        """Time from the start of the shutdown during which requests are forwarded, in seconds."""
        return min(self.grace * self.serving, self.longest_serving)

    @property
    def finishing_time(self) -> float:
        """Time from the start of the shutdown until the process exits at the latest, in seconds."""
        return self.grace * self.finishing


class OwnershipSection(Section, frozen=True):
    """Limits that back ends set for leases, in seconds."""

    longest_lease: Positive = 10.0


class LogSection(Section, frozen=True):
    """What a node logs.

    Parameters
    ----------
    sample
        One in this many successful requests is logged; all nodes select the same requests.
    failures_per_second
        Log lines per second for failed and refused requests.
    """

    level: str = "info"
    sample: int = 500
    failures_per_second: int = 20


class NodeSettings(Section, frozen=True):
    """All settings of a node."""

    node: NodeSection
    store: StoreSection
    retries: RetrySection
    stop: StopSection
    ownership: OwnershipSection = OwnershipSection()
    log: LogSection = LogSection()


def _decode_settings(value: bytes) -> NodeSettings:
    return msgspec.toml.decode(value, type=NodeSettings)


def load_node_settings(file: str) -> NodeSettings:
    """Read and validate a settings file.

    Raises
    ------
    InvalidSetting
        The file cannot be read or is invalid.
    """
    try:
        with open(file, "rb") as stream:
            return decoding.decode(_decode_settings, stream.read())
    except OSError as error:
        raise InvalidSetting(file, "(file)", str(error), "a readable file") from error
    except decoding.Undecodable as error:
        problem, _, where = str(error).partition(" - at ")
        raise InvalidSetting(file, where.strip("`$.") or "(file)", problem, "see docs") from error
