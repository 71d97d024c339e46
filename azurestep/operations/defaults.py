"""Defaults of an operator's command line, from a file or the environment."""

import pathlib
from collections.abc import Mapping

import attrs
import cattrs
import orjson

from ..errors import SettingsError, UsageError

SETTINGS_VARIABLE = "AZURESTEP_OPERATOR_SETTINGS"
VARIABLES: dict[str, str] = {
    "node_url": "AZURESTEP_NODE",
    "platform_url": "AZURESTEP_PLATFORM",
    "operator": "AZURESTEP_OPERATOR",
}
FLAGS: dict[str, str] = {
    "node_url": "--node",
    "platform_url": "--platform",
    "operator": "--operator",
}
CONVERTER = cattrs.Converter(forbid_extra_keys=True)


@attrs.frozen
class OperatorSettings:
    """What an operator would otherwise repeat with each command.

    Attributes
    ----------
    node_url : str or None
        Operator endpoint of a node.
    platform_url : str or None
        Base address of the platform's log.
    operator : str or None
        Who publishes.
    """

    node_url: str | None = None
    platform_url: str | None = None
    operator: str | None = None


def read_operator_settings(variables: Mapping[str, str]) -> OperatorSettings:
    """Return the defaults; a variable goes before the file.

    Raises
    ------
    SettingsError
        If the file that the environment names can't be used.
    """
    path = variables.get(SETTINGS_VARIABLE)
    held = _read_file(pathlib.Path(path)) if path else OperatorSettings()
    named = {
        field: variables[name] for field, name in VARIABLES.items() if name in variables
    }
    return attrs.evolve(held, **named)


def _read_file(path: pathlib.Path) -> OperatorSettings:
    try:
        plain = orjson.loads(path.read_bytes())
        return CONVERTER.structure(plain, OperatorSettings)
    except (OSError, orjson.JSONDecodeError, cattrs.BaseValidationError) as error:
        raise SettingsError(
            f"the operator settings {path} can't be used ({_cause_of(error)})",
            f"Correct the file or unset {SETTINGS_VARIABLE}; its fields are "
            + ", ".join(VARIABLES),
        ) from error


def _cause_of(error: Exception) -> str:
    if isinstance(error, cattrs.BaseValidationError):
        return "; ".join(cattrs.transform_error(error, path="$"))
    return str(error)


def require(value: str | None, field: str) -> str:
    """Return a value that the command can't do without.

    Raises
    ------
    UsageError
        If neither the command line nor the defaults give it.
    """
    if value:
        return value
    raise UsageError(
        f"{FLAGS[field]} is missing", f"Give it, or set {VARIABLES[field]}"
    )
