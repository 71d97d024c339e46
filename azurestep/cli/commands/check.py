"""``azurestep check``: name every fault of settings and configurations."""

import pathlib

from returns.result import Failure

from ...config.validate import read_document
from ...environment import Environment
from ...faults import Fault
from ...output.results import CheckResult, FileChecked
from ...output.writer import write_result
from ...settings import looks_like_settings, settings_of
from ...status import ExitStatus
from ..options import CheckOptions
from .files import read_file


def run_check_command(options: CheckOptions, environment: Environment) -> ExitStatus:
    """Check every file and write the faults of all of them."""
    files = [check_file(path) for path in options.files]
    write_result(CheckResult(files), options.as_json, environment)
    if any(checked.faults for checked in files):
        return ExitStatus.INVALID
    return ExitStatus.OK


def check_file(path: pathlib.Path) -> FileChecked:
    """Return the faults of one file."""
    raw = read_file(path)
    if isinstance(raw, Failure):
        return FileChecked(str(path), "unreadable", [raw.failure()])
    text = raw.unwrap()
    if looks_like_settings(text):
        return FileChecked(str(path), "settings", _faults_of(settings_of(text)))
    return FileChecked(str(path), "configuration", _faults_of(read_document(text)))


def _faults_of(result: object) -> list[Fault]:
    return list(result.failure()) if isinstance(result, Failure) else []
