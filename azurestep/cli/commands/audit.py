"""``azurestep audit``: answer from the log what was in force, where and when."""

from collections.abc import Awaitable, Callable

import aiohttp
from returns.result import Failure

from ...audit import queries
from ...audit.answers import (
    DrainsAnswer,
    GapsAnswer,
    PublicationsAnswer,
    RequestAnswer,
    VersionsAnswer,
)
from ...environment import Environment
from ...errors import UsageError
from ...once.key import IdempotencyKey, parse_key
from ...operations.audit_reader import read_ownership, read_whole_trail
from ...output.writer import write_result
from ...platform.client import LogClient
from ...status import ExitStatus
from ..options import AuditOptions, AuditQuestion
from .fleet import Fleet, resolve, run

Answer = VersionsAnswer | PublicationsAnswer | DrainsAnswer | RequestAnswer | GapsAnswer


def run_audit_command(options: AuditOptions, environment: Environment) -> ExitStatus:
    """Read the trail and write the answer."""
    answer = run(_answer(options, environment))
    write_result(answer, options.as_json, environment)
    return ExitStatus.OK


async def _answer(options: AuditOptions, environment: Environment) -> Answer:
    async with aiohttp.ClientSession() as session:
        fleet = Fleet(session, resolve(options.fleet, environment), environment)
        return await QUESTIONS[options.question](options, fleet.log())


async def _versions(options: AuditOptions, log: LogClient) -> Answer:
    trail = await read_whole_trail(log)
    return queries.versions(trail, options.at_ms, options.instance)


async def _publications(options: AuditOptions, log: LogClient) -> Answer:
    return queries.publications(await read_whole_trail(log))


async def _drains(options: AuditOptions, log: LogClient) -> Answer:
    return queries.drains(await read_whole_trail(log))


async def _requests(options: AuditOptions, log: LogClient) -> Answer:
    key = _parse_key(options.key)
    trail = await read_whole_trail(log)
    fold = await read_ownership(log)
    return queries.request(trail, fold, key, options.service)


def _parse_key(text: str) -> IdempotencyKey:
    parsed = parse_key(text)
    if isinstance(parsed, Failure):
        raise UsageError(
            f"{text!r} can't be looked up: {parsed.failure()}",
            "Give the Idempotency-Key of the request, a UUID of version 7",
        )
    return parsed.unwrap()


async def _gaps(options: AuditOptions, log: LogClient) -> Answer:
    return queries.gaps(await read_whole_trail(log))


QUESTIONS: dict[
    AuditQuestion, Callable[[AuditOptions, LogClient], Awaitable[Answer]]
] = {
    AuditQuestion.VERSIONS: _versions,
    AuditQuestion.PUBLICATIONS: _publications,
    AuditQuestion.DRAINS: _drains,
    AuditQuestion.REQUESTS: _requests,
    AuditQuestion.GAPS: _gaps,
}
