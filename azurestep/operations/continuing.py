"""Continuing: go on after the platform's log was restored from a backup."""

import uuid

from returns.result import Failure, Result

from ..config.records import (
    STREAM,
    Checkpoint,
    Filler,
    Record,
    encode_record,
    entries_of,
)
from ..errors import AzurestepError
from ..platform.client import LogClient
from ..platform.records import Receipt
from .node_client import HeldConfiguration


async def continue_log(
    log: LogClient, held: HeldConfiguration, operator: str, deadline_ms: float
) -> Result[int, AzurestepError]:
    """Continue a restored log with what the fleet has in force.

    Fillers bring the log back to the offset that the fleet has read; a
    checkpoint then gives the configuration to nodes that start later. It may be
    repeated, and two operators may do it at once.

    Parameters
    ----------
    log : LogClient
        The platform's log.
    held : HeldConfiguration
        What a node of the fleet holds; take one that has the newest version.
    operator : str
        Who continues the log.
    deadline_ms : float
        Monotonic time after which to give up.

    Returns
    -------
    Result
        Number of fillers, or the error that kept the log from continuing.
    """
    fillers = 0
    while True:
        end = await log.next_offset(STREAM)
        if isinstance(end, Failure):
            return Failure(end.failure())
        if end.unwrap() > held.as_of:
            break
        filler = Filler(uuid.uuid4().hex, operator)
        appended = await _append(log, filler, deadline_ms)
        if isinstance(appended, Failure):
            return Failure(appended.failure())
        fillers += 1
    checkpoint = Checkpoint(
        uuid.uuid4().hex,
        held.as_of,
        held.version,
        entries_of(held.document),
        operator,
    )
    return (await _append(log, checkpoint, deadline_ms)).map(lambda _: fillers)


async def _append(
    log: LogClient, record: Record, deadline_ms: float
) -> Result[Receipt, AzurestepError]:
    return await log.append(STREAM, record.id, encode_record(record), deadline_ms)
