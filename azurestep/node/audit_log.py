"""What the writer of the audit trail reads from the platform's log."""

import attrs
from returns.result import Failure, Result, Success

from ..audit.records import STREAM, decode_batch
from ..audit.verdicts import Head, head_of
from ..config.records import STREAM as CONFIGURATION_STREAM
from ..errors import AzurestepError
from ..platform.client import READ_LIMIT_RECORDS, LogClient
from ..platform.records import Page

READ_MAXIMUM_PAGES = 20
AFTER_ALL_RECORDS = 2**62


@attrs.frozen
class HeadsRead:
    """Publications that were read.

    Attributes
    ----------
    heads : list of Head
        In the order of the log.
    lost_records : int
        Records that retention dropped before the first one.
    """

    heads: list[Head]
    lost_records: int


async def read_covered(log: LogClient, data_centre: str) -> Result[int, AzurestepError]:
    """Return the offset that the newest batch of a data centre covers.

    It is 0 if none of the newest ``READ_MAXIMUM_PAGES`` pages holds a batch of that
    data centre.
    """
    end = await log.read(STREAM, AFTER_ALL_RECORDS, limit=1)
    if isinstance(end, Failure):
        return Failure(end.failure())
    first_offset = end.unwrap().first_offset
    before = end.unwrap().next_offset
    for _ in range(READ_MAXIMUM_PAGES):
        start = max(first_offset, before - READ_LIMIT_RECORDS)
        if start >= before:
            break
        result = await log.read(STREAM, start, limit=before - start)
        if isinstance(result, Failure):
            return Failure(result.failure())
        covered = _covered_in(result.unwrap(), data_centre)
        if covered is not None:
            return Success(covered)
        before = start
    return Success(0)


def _covered_in(page: Page, data_centre: str) -> int | None:
    for record in reversed(page.records):
        decoded = decode_batch(record.value)
        if isinstance(decoded, Failure):
            continue
        batch = decoded.unwrap()
        if batch.data_centre == data_centre:
            return batch.covers
    return None


async def read_heads(
    log: LogClient, covered: int, as_of: int
) -> Result[HeadsRead, AzurestepError]:
    """Return the publications after one offset, up to another."""
    heads: list[Head] = []
    lost_records = 0
    offset = covered + 1
    while offset <= as_of:
        result = await log.read(CONFIGURATION_STREAM, offset)
        if isinstance(result, Failure):
            return Failure(result.failure())
        page = result.unwrap()
        if not heads:
            lost_records = max(0, page.first_offset - covered - 1)
        found = [record for record in page.records if record.offset <= as_of]
        heads.extend(head for head in map(head_of, found) if head is not None)
        if not found:
            break
        offset = found[-1].offset + 1
    return Success(HeadsRead(heads, lost_records))
