"""A node's settings: a TOML file, checked whole before anything starts."""

from __future__ import annotations

from typing import Annotated

import msgspec

from limedeck.errors import InvalidSetting

Address = Annotated[str, msgspec.Meta(pattern=r"^\d+\.\d+\.\d+\.\d+:\d+$")]
Positive = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]


class Section(msgspec.Struct, frozen=True):
    """A table of the settings file; keys it does not know are passed over."""


BYTES_IN_A_MEGABIT = 125_000


class NodeSection(Section, frozen=True):
    """Who this node is and where it listens.

    Parameters
    ----------
    cpu_share, cpus
        It may use this share of a core that is as fast as so many.
    link_mbps
        Megabits a second that its link carries.
    first_start
        The whole system starts for the first time.
    """

    id: str
    zone: str
    ip: str
    callers: Address
    readiness: Address
    first_peer_port: int
    metrics_port: int = 0
    cpu_share: Positive = 1.0
    cpus: Positive = 1.0
    link_mbps: Positive = 10.0
    first_start: bool = True

    @property
    def processor(self) -> float:
        """Cores that this node may use."""
        return self.cpu_share * self.cpus

    @property
    def link(self) -> float:
        """Bytes a second that its link carries."""
        return self.link_mbps * BYTES_IN_A_MEGABIT


class StoreSection(Section, frozen=True):
    """Where the store answers; the time-out is in seconds."""

    address: Address
    timeout: Positive = 1.0
    feed_wait: Positive = 20.0


class RetrySection(Section, frozen=True):
    """What all nodes together may repeat."""

    ratio: NotNegative
    slack: NotNegative
    window: Positive


class StopSection(Section, frozen=True):
    """A planned stop, in seconds.

    Parameters
    ----------
    grace
        After so long the process is killed.
    serving
        Part of the grace during which requests are still passed on; those that come later are told
        that they have not run. Half of the grace is left for the last of them to be answered.
    longest_serving
        They are passed on no longer than this, however long the grace: the platform sends no more
        new connections after two failed readiness checks, one a second.
    finishing
        Part of the grace after which the process ends, whatever is still under way; the rest is
        for writing the last answers and for a slow machine's exit.
    """

    grace: Positive
    serving: Positive = 0.48
    longest_serving: Positive = 2.8
    finishing: Positive = 0.93

    @property
    def serving_time(self) -> float:
        """Seconds from the stop's begin during which requests are passed on."""
        return min(self.grace * self.serving, self.longest_serving)

    @property
    def finishing_time(self) -> float:
        """Seconds from the stop's begin until the process ends at the latest."""
        return self.grace * self.finishing


class OwnershipSection(Section, frozen=True):
    """Bounds that back ends set for leases, in seconds."""

    longest_lease: Positive = 10.0


class LogSection(Section, frozen=True):
    """What is logged.

    Parameters
    ----------
    sample
        One of so many good requests is logged, the same ones on all nodes.
    failures_per_second
        Failed and refused requests that are logged in full.
    """

    level: str = "info"
    sample: int = 500
    failures_per_second: int = 20


class NodeSettings(Section, frozen=True):
    """Everything a node is told before it starts."""

    node: NodeSection
    store: StoreSection
    retries: RetrySection
    stop: StopSection
    ownership: OwnershipSection = OwnershipSection()
    log: LogSection = LogSection()


def load_node_settings(file: str) -> NodeSettings:
    """Read and check a settings file.

    Raises
    ------
    InvalidSetting
        The file cannot be used.
    """
    try:
        with open(file, "rb") as source:
            return msgspec.toml.decode(source.read(), type=NodeSettings)
    except OSError as error:
        raise InvalidSetting(file, "(file)", str(error), "a file to read") from error
    except msgspec.DecodeError as error:
        problem, _, where = str(error).partition(" - at ")
        raise InvalidSetting(file, where.strip("`$.") or "(file)", problem, "see docs") from error
