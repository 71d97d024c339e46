"""``azurestep explain``, ``losses`` and ``faults``: read the nodes' log lines."""

from ...environment import Environment
from ...lines.explanation import explain
from ...lines.faults import find_faults
from ...lines.losses import find_losses
from ...lines.plot import plot_losses
from ...lines.reader import read_files
from ...output import lines  # noqa: F401  (registers its texts)
from ...output.writer import write_result
from ...status import ExitStatus
from ..options import ExplainOptions, FaultsOptions, LossesOptions


def run_explain_command(
    options: ExplainOptions, environment: Environment
) -> ExitStatus:
    """Follow one request through the lines of all nodes."""
    found = read_files(options.files)
    result = explain(options.request_id, found.lines)
    write_result(result, options.as_json, environment)
    return ExitStatus.OK if result.steps else ExitStatus.ERROR


def run_losses_command(options: LossesOptions, environment: Environment) -> ExitStatus:
    """Tell which requests were lost and what decided it."""
    found = read_files(options.files)
    result = find_losses(found.lines, found.unreadable)
    if options.plot is not None:
        plot_losses(result, options.plot)
    write_result(result, options.as_json, environment)
    return ExitStatus.OK


def run_faults_command(options: FaultsOptions, environment: Environment) -> ExitStatus:
    """Tell which faults of the program came; any makes the status one of error."""
    found = read_files(options.files)
    result = find_faults(found.lines, found.damaged)
    write_result(result, options.as_json, environment)
    return ExitStatus.ERROR if result.faults or result.damaged else ExitStatus.OK
