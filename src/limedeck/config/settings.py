"""The daemon's settings: a TOML file that is validated as a whole before anything starts."""

from __future__ import annotations

import dataclasses
from typing import Annotated, Any, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError, model_validator
from pydantic_settings import BaseSettings, PydanticBaseSettingsSource, SettingsConfigDict

from limedeck.config.objects import require_address
from limedeck.config.toml_files import WHOLE_FILE, read_toml
from limedeck.control.timing import ControlLimits, ControlTiming
from limedeck.errors import InvalidObject, InvalidSetting, SettingsError
from limedeck.routing.request import RoutingLimits

NAME_PATTERN = r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"


def _check_address(value: str) -> str:
    try:
        require_address("address", value)
    except InvalidObject as error:
        raise ValueError(f"{error.problem}, such as 127.0.0.1:7100") from error
    return value


Address = Annotated[str, AfterValidator(_check_address)]
Url = Annotated[str, Field(pattern=r"^https?://[^/]+$")]


def _check_overrides(
    table: str, overrides: dict[str, float] | dict[str, int], defaults: object
) -> None:
    known = {field.name for field in dataclasses.fields(defaults)}  # type: ignore[arg-type]
    for name, value in overrides.items():
        if name not in known:
            raise ValueError(f"{table}.{name} is unknown, use one of {', '.join(sorted(known))}")
        if value <= 0:
            raise ValueError(f"{table}.{name} must be greater than zero")


class Section(BaseModel):
    """A table of the settings file; unknown keys are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class NodeSettings(Section):
    """Identity and addresses of this node."""

    id: str = Field(pattern=NAME_PATTERN)
    zone: str = Field(pattern=NAME_PATTERN)
    peer_address: Address
    peer_listen_address: Address | None = None
    caller_address: Address
    operator_address: Address
    admin_address: Address
    seeds: list[Address] = []


class PlatformSettings(Section):
    """URLs of the platform's services, and the timeout of calls to them."""

    table_url: Url
    object_store_url: Url
    machine_list_url: Url
    timeout_seconds: float = Field(default=1.0, gt=0, le=60)


class LogSettings(Section):
    """Format and level of the log."""

    format: Literal["json", "console"] = "json"
    level: Literal["debug", "info", "warning", "error"] = "info"


class StopSettings(Section):
    """Durations of the phases of a planned stop."""

    notice_seconds: float = Field(default=1.0, ge=0, le=60)
    drain_seconds: float = Field(default=30.0, gt=0, le=600)


class ControlSettings(Section):
    """Overrides of `ControlTiming` and `ControlLimits`, by field name."""

    timing: dict[str, float] = {}
    limits: dict[str, int] = {}

    @model_validator(mode="after")
    def _check_values(self) -> ControlSettings:
        _check_overrides("timing", self.timing, ControlTiming())
        _check_overrides("limits", self.limits, ControlLimits())
        effective = self.to_timing()
        if effective.backend_lease <= 2 * effective.lease_renewal_interval:
            raise ValueError("timing.backend_lease must exceed twice timing.lease_renewal_interval")
        if effective.election_timeout <= 2 * effective.heartbeat_interval:
            raise ValueError("timing.election_timeout must exceed twice timing.heartbeat_interval")
        return self

    def to_timing(self) -> ControlTiming:
        """Return the timing with the overrides applied."""
        return dataclasses.replace(ControlTiming(), **self.timing)

    def to_limits(self) -> ControlLimits:
        """Return the limits with the overrides applied."""
        return dataclasses.replace(ControlLimits(), **self.limits)


class RoutingSettings(Section):
    """HTTP client and limits of this node's router."""

    backend_client: Literal["aiohttp", "httpx"] = "aiohttp"
    longest_wait_seconds: float = Field(default=4.0, gt=0, le=600)
    waiting_requests: int = Field(default=1_000, ge=1, le=1_000_000)

    def to_limits(self) -> RoutingLimits:
        """Return the router's limits."""
        return RoutingLimits(self.longest_wait_seconds, self.waiting_requests)


class DaemonSettings(BaseSettings):
    """All settings of a daemon."""

    model_config = SettingsConfigDict(extra="forbid", frozen=True)

    node: NodeSettings
    platform: PlatformSettings
    log: LogSettings = LogSettings()
    stop: StopSettings = StopSettings()
    control: ControlSettings = ControlSettings()
    routing: RoutingSettings = RoutingSettings()

    @classmethod
    def settings_customise_sources(
        cls,
        settings_cls: type[BaseSettings],
        init_settings: PydanticBaseSettingsSource,
        env_settings: PydanticBaseSettingsSource,
        dotenv_settings: PydanticBaseSettingsSource,
        file_secret_settings: PydanticBaseSettingsSource,
    ) -> tuple[PydanticBaseSettingsSource, ...]:
        """Use only values from the file and the flags, never from the environment."""
        return (init_settings,)


def load_settings(file: str, overrides: dict[str, str]) -> DaemonSettings:
    """Read and validate a settings file.

    Parameters
    ----------
    file
        Path of a TOML file.
    overrides
        Values for the ``[node]`` table that were given as flags.

    Raises
    ------
    SettingsError
        The file is invalid; an exception group with one error per key if several are.
    """
    content = read_toml(file)
    node = content.setdefault("node", {})
    if isinstance(node, dict):
        node.update(overrides)
    try:
        return DaemonSettings(**content)
    except ValidationError as error:
        problems = [_invalid_setting(file, dict(item)) for item in error.errors()]
        if len(problems) == 1:
            raise problems[0] from None
        raise ExceptionGroup("invalid settings", problems) from None


def _invalid_setting(file: str, item: dict[str, Any]) -> SettingsError:
    key = ".".join(str(part) for part in item["loc"]) or WHOLE_FILE
    kind = item["type"]
    if kind == "missing":
        return InvalidSetting(file, key, "is missing", "a value")
    if kind == "extra_forbidden":
        return InvalidSetting(file, key, "is not a known key", "a documented key")
    problem = f"{item['input']!r} is invalid"
    return InvalidSetting(file, key, problem, _expected_text(item))


def _expected_text(item: dict[str, Any]) -> str:
    message = str(item["msg"])
    for prefix in ("Input should be ", "Value error, ", "String should "):
        message = message.removeprefix(prefix)
    return message
