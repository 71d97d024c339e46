"""``azurestep publish`` and ``azurestep preset``: change the configuration."""

from collections.abc import Awaitable, Callable

import aiohttp
import attrs
from returns.result import Failure, Result

from ...config.document import Document
from ...config.fold import Accepted, Refused
from ...config.validate import read_document
from ...environment import Environment
from ...errors import AzurestepError, ConfigurationError
from ...faults import Fault
from ...operations.publisher import Publisher, Unchanged, Verdict
from ...operations.waiting import wait_in_force
from ...output.progress import Progress
from ...output.results import PublishResult
from ...output.writer import write_result
from ...status import ExitStatus
from ..options import PresetOptions, PublishOptions
from .files import read_file
from .fleet import Fleet, resolve, run

Outcome = Result[Verdict | Unchanged, AzurestepError]
Publish = Callable[[Publisher, float], Awaitable[Outcome]]


def run_publish_command(
    options: PublishOptions, environment: Environment
) -> ExitStatus:
    """Check a file, publish it and write the true outcome."""
    document = _read_document(options)

    async def publish(publisher: Publisher, deadline_ms: float) -> Outcome:
        return await publisher.publish_document(document, deadline_ms)

    return _run(options, environment, publish)


def run_preset_command(options: PresetOptions, environment: Environment) -> ExitStatus:
    """Publish that another preset is to be in force."""

    async def publish(publisher: Publisher, deadline_ms: float) -> Outcome:
        return await publisher.switch_preset(options.preset, deadline_ms)

    return _run(options, environment, publish)


def _read_document(options: PublishOptions) -> Document:
    raw = read_file(options.file)
    if isinstance(raw, Failure):
        raise _invalid(options, (raw.failure(),))
    result = read_document(raw.unwrap())
    if isinstance(result, Failure):
        raise _invalid(options, result.failure())
    return result.unwrap()


def _invalid(options: PublishOptions, faults: tuple[Fault, ...]) -> ConfigurationError:
    listed = "; ".join(str(fault) for fault in faults)
    return ConfigurationError(
        f"{options.file} has {len(faults)} faults: {listed}",
        "Nothing was published; correct each named field",
    )


def _run(
    options: PublishOptions | PresetOptions, environment: Environment, publish: Publish
) -> ExitStatus:
    result = run(_publish(options, environment, publish))
    write_result(result, options.as_json, environment)
    if result.outcome == "refused":
        return ExitStatus.REFUSED
    return ExitStatus.NOT_IN_FORCE if result.in_force is False else ExitStatus.OK


async def _publish(
    options: PublishOptions | PresetOptions, environment: Environment, publish: Publish
) -> PublishResult:
    deadline_ms = environment.clock.monotonic_ms() + options.timeout_ms
    progress = Progress(environment)
    async with aiohttp.ClientSession() as session:
        fleet = Fleet(session, resolve(options.fleet, environment), environment)
        operator = fleet.operator()
        publisher = Publisher(fleet.log(), fleet.node(), environment, operator)
        progress.show("publishing ...")
        outcome = await publish(publisher, deadline_ms)
        if isinstance(outcome, Failure):
            progress.clear()
            raise outcome.failure()
        result = _result_of(outcome.unwrap())
        if options.wait and result.outcome != "refused":
            waited = await wait_in_force(
                fleet.node(), result.version, deadline_ms, environment, progress.show
            )
            behind = list(waited.behind)
            result = attrs.evolve(result, in_force=waited.is_complete, behind=behind)
        progress.clear()
    return result


def _result_of(outcome: Verdict | Unchanged) -> PublishResult:
    if isinstance(outcome, Unchanged):
        return PublishResult("", "unchanged", outcome.version)
    event = outcome.event
    if isinstance(event, Accepted):
        return PublishResult(event.id, "accepted", event.version, event.preset)
    return _refusal_of(event, outcome)


def _refusal_of(event: Refused, verdict: Verdict) -> PublishResult:
    reason = event.reason
    if verdict.winner is not None:
        reason = (
            f"{reason}; {verdict.winner.operator} published version "
            f"{verdict.winner.version} first; look at it and publish again"
        )
    return PublishResult(
        event.id,
        "refused",
        verdict.version,
        reason=reason,
        faults=list(event.faults),
    )
