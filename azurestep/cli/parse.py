"""Parsing of the command line into typed options."""

import contextlib
import math
import pathlib
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any

import docopt

from .. import __version__
from ..environment import Environment
from ..errors import UsageError
from ..standard_streams import write_if_possible
from ..status import ExitStatus
from .definition import SIDECAR_USAGE, USAGE
from .options import (
    AuditOptions,
    AuditQuestion,
    CheckOptions,
    DrainOptions,
    ExplainOptions,
    FaultsOptions,
    FleetOptions,
    KeysOptions,
    LossesOptions,
    NodeOptions,
    Options,
    PresetOptions,
    PublishOptions,
    SidecarOptions,
    StatusOptions,
)

TIMEOUT_MAXIMUM_S = 3600.0
Parsed = dict[str, Any]


def parse_arguments(
    arguments: list[str], environment: Environment
) -> Options | ExitStatus:
    """Return the options, or the exit status if there is nothing to run.

    Raises
    ------
    UsageError
        If the value of an option can't be used.
    """
    if arguments[:1] == ["sidecar"]:
        # docopt takes 12 ms to match the usage of all commands, which is a noticeable
        # part of a node's start, and tells what is wrong with other arguments.
        with contextlib.suppress(docopt.DocoptExit):
            return _sidecar(docopt.docopt(SIDECAR_USAGE, arguments, default_help=False))
    try:
        parsed: Parsed = docopt.docopt(
            USAGE, arguments, default_help=False, version=None
        )
    except docopt.DocoptExit as error:
        text = f"{error.usage}\nSee azurestep --help.\n"
        write_if_possible(text, environment.stderr)
        return ExitStatus.USAGE
    if parsed["--help"]:
        print(USAGE, file=environment.stdout, end="")
        return ExitStatus.OK
    if parsed["--version"]:
        print(__version__, file=environment.stdout)
        return ExitStatus.OK
    name = next(name for name in MAKERS if parsed[name])
    return MAKERS[name](parsed)


def _node(parsed: Parsed) -> Options:
    return NodeOptions(pathlib.Path(parsed["SETTINGS"]))


def _sidecar(parsed: Parsed) -> Options:
    named = parsed["SETTINGS"]
    return SidecarOptions(pathlib.Path(named) if named else None)


def _check(parsed: Parsed) -> Options:
    files = tuple(pathlib.Path(name) for name in parsed["FILE"])
    return CheckOptions(files, parsed["--json"])


def _publish(parsed: Parsed) -> Options:
    return PublishOptions(
        pathlib.Path(parsed["FILE"][0]),
        _fleet(parsed),
        parsed["--wait"],
        _timeout_ms(parsed["--timeout"]),
        parsed["--json"],
    )


def _preset(parsed: Parsed) -> Options:
    return PresetOptions(
        parsed["NAME"],
        _fleet(parsed),
        parsed["--wait"],
        _timeout_ms(parsed["--timeout"]),
        parsed["--json"],
    )


def _status(parsed: Parsed) -> Options:
    named = parsed["--settings"]
    return StatusOptions(
        _fleet(parsed),
        parsed["--json"],
        pathlib.Path(named) if named else None,
        parsed["--metrics"],
    )


def _drain(parsed: Parsed) -> Options:
    return DrainOptions(_fleet(parsed), parsed["--json"])


def _audit(parsed: Parsed) -> Options:
    question = next(item for item in AuditQuestion if parsed[item.value])
    moment = parsed["--at"]
    return AuditOptions(
        question,
        _fleet(parsed),
        None if moment is None else parse_moment_ms(moment),
        parsed["--instance"],
        parsed["--service"],
        parsed["KEY"] or "",
        parsed["--json"],
    )


def _keys(parsed: Parsed) -> Options:
    return KeysOptions(parsed["--json"])


def _explain(parsed: Parsed) -> Options:
    return ExplainOptions(parsed["ID"], _logs(parsed), parsed["--json"])


def _losses(parsed: Parsed) -> Options:
    plot = parsed["--plot"]
    path = pathlib.Path(plot) if plot else None
    return LossesOptions(_logs(parsed), path, parsed["--json"])


def _faults(parsed: Parsed) -> Options:
    return FaultsOptions(_logs(parsed), parsed["--json"])


def _logs(parsed: Parsed) -> tuple[pathlib.Path, ...]:
    return tuple(pathlib.Path(name) for name in parsed["LOG"])


MAKERS: dict[str, Callable[[Parsed], Options]] = {
    "node": _node,
    "sidecar": _sidecar,
    "check": _check,
    "publish": _publish,
    "preset": _preset,
    "status": _status,
    "drain": _drain,
    "audit": _audit,
    "keys": _keys,
    "explain": _explain,
    "losses": _losses,
    "faults": _faults,
}


def _fleet(parsed: Parsed) -> FleetOptions:
    return FleetOptions(parsed["--node"], parsed["--platform"], parsed["--operator"])


def _timeout_ms(text: str) -> int:
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0 < seconds <= TIMEOUT_MAXIMUM_S:
        raise UsageError(
            f"--timeout {text} is no time to wait",
            f"Give seconds, more than 0 and at most {TIMEOUT_MAXIMUM_S:g}",
        )
    return round(seconds * 1000)


def parse_moment_ms(text: str) -> int:
    """Return a moment in milliseconds since the epoch; UTC unless it says so.

    Raises
    ------
    UsageError
        If the text is no moment.

    Examples
    --------
    >>> parse_moment_ms("2026-01-31T23:59:59Z")
    1769903999000
    >>> parse_moment_ms("1769903999000")
    1769903999000
    """
    if text.isascii() and text.isdigit():
        return int(text)
    try:
        moment = datetime.fromisoformat(text)
    except ValueError as error:
        raise UsageError(
            f"--at {text} is no moment",
            "Write it as 2026-01-31T23:59:59Z or in milliseconds since the epoch",
        ) from error
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=UTC)
    return round(moment.timestamp() * 1000)
