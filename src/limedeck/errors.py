"""The exception hierarchy of limedeck, with `LimedeckError` as its base class."""

from __future__ import annotations

from dataclasses import dataclass


class LimedeckError(Exception):
    """Base class of the errors that limedeck raises."""


@dataclass
class InvariantViolation(LimedeckError):
    """A state machine detected that its state violates an invariant.

    Parameters
    ----------
    invariant
        Name of the invariant, e.g. ``"one-owner-per-key"``.
    detail
        What was found.
    cause
        Identifier of the event that was being handled.
    """

    invariant: str
    detail: str
    cause: str = ""

    def __str__(self) -> str:
        return (
            f"invariant {self.invariant} violated by {self.cause or 'unknown cause'}: {self.detail}"
        )


class SettingsError(LimedeckError):
    """A settings file is invalid."""


@dataclass
class InvalidSetting(SettingsError):
    """A key of a settings file is invalid."""

    file: str
    key: str
    problem: str
    expected: str

    def __str__(self) -> str:
        return f"{self.file}: {self.key}: {self.problem}; expected {self.expected}"


class PlatformError(LimedeckError):
    """A call to one of the platform's services failed."""


@dataclass
class PlatformUnavailable(PlatformError):
    """The platform did not respond; a write may or may not have taken effect."""

    service: str
    reason: str

    def __str__(self) -> str:
        return f"{self.service} is unavailable: {self.reason}"


@dataclass
class PlatformRateLimited(PlatformError):
    """The platform refused the call because of its rate limit; nothing was changed."""

    service: str
    retry_after: float

    def __str__(self) -> str:
        return f"{self.service} is rate-limited; retry after {self.retry_after:.2f} s"


@dataclass
class PlatformProtocolError(PlatformError):
    """A response of the platform, or a row of its store, is invalid."""

    service: str
    reason: str

    def __str__(self) -> str:
        return f"invalid data from {self.service}: {self.reason}"


@dataclass
class UnreadableRetryAfter(LimedeckError):
    """A Retry-After header holds neither a number of seconds nor a date."""

    problem: str

    def __str__(self) -> str:
        return f"cannot parse Retry-After: {self.problem}"


@dataclass
class TransactionConflict(PlatformError):
    """A condition of a transaction did not hold; nothing was written."""

    key: str
    expected_revision: int
    actual_revision: int

    def __str__(self) -> str:
        return f"row {self.key} is at revision {self.actual_revision}, not {self.expected_revision}"


class ConfigError(LimedeckError):
    """A change of the configuration was refused; nothing was changed."""


@dataclass
class InvalidObject(ConfigError):
    """A field of a configuration object is invalid."""

    field: str
    problem: str

    def __str__(self) -> str:
        return f"{self.field}: {self.problem}"


@dataclass
class ObjectNotFound(ConfigError):
    """The object to change does not exist."""

    kind: str
    name: str

    def __str__(self) -> str:
        return f"{self.kind} {self.name} does not exist"


@dataclass
class RevisionConflict(ConfigError):
    """The object has changed since the revision that the change is based on."""

    name: str
    base_revision: int
    current_revision: int

    def __str__(self) -> str:
        return (
            f"{self.name} is at revision {self.current_revision}, "
            f"the change is based on revision {self.base_revision}"
        )


@dataclass
class ChangeNotAccepted(ConfigError):
    """The change was not accepted: the store could not process it now; nothing was changed."""

    reason: str
    retry_after: float

    def __str__(self) -> str:
        return f"not accepted: {self.reason}; try again in {self.retry_after:.1f} s"


@dataclass
class ChangeOutcomeUnknown(ConfigError):
    """The change was sent to the store, but whether it took effect could not be determined."""

    request_id: str

    def __str__(self) -> str:
        return f"outcome of change {self.request_id} is unknown; repeat it with the same request id"


class RoutingError(LimedeckError):
    """A request cannot be routed."""


@dataclass
class UnknownService(RoutingError):
    """No service has this name."""

    name: str

    def __str__(self) -> str:
        return f"no service is named {self.name!r}"


@dataclass
class MissingKey(RoutingError):
    """The request lacks the key by which the service's requests are routed."""

    service: str
    key_source: str

    def __str__(self) -> str:
        return f"service {self.service} takes its key from {self.key_source}, which is missing"


class BackendError(LimedeckError):
    """An attempt to have a back end run a request failed."""


class PeerProtocolError(LimedeckError):
    """Another node sent an invalid frame or message."""
