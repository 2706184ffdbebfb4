"""Reading of TOML files into validated models."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError

from limedeck.errors import InvalidSetting

WHOLE_FILE = "(file)"
Model = TypeVar("Model", bound=BaseModel)


def read_toml(file: str) -> dict[str, Any]:
    """Read a TOML file.

    Raises
    ------
    InvalidSetting
        The file cannot be read, or is not TOML in UTF-8.
    """
    try:
        return tomllib.loads(Path(file).read_text(encoding="utf-8"))
    except OSError as error:
        reason = error.strerror or type(error).__name__
        raise InvalidSetting(file, WHOLE_FILE, reason, "a readable file") from None
    except UnicodeDecodeError:
        raise InvalidSetting(file, WHOLE_FILE, "is not UTF-8", "a TOML file in UTF-8") from None
    except tomllib.TOMLDecodeError as error:
        raise InvalidSetting(file, WHOLE_FILE, str(error), "a TOML file") from None


def load_model(file: str, model: type[Model]) -> Model:
    """Read a TOML file and validate it as a model.

    Raises
    ------
    InvalidSetting
        The file cannot be read, or has an invalid key; only the first one is reported.
    """
    content = read_toml(file)
    try:
        return model.model_validate(content)
    except ValidationError as error:
        first = error.errors()[0]
        key = ".".join(str(part) for part in first["loc"])
        raise InvalidSetting(file, key, repr(first["input"]), first["msg"]) from None
