from collections.abc import AsyncIterator
from typing import Any

import orjson
import pytest
import pytest_asyncio
from returns.result import Failure

from azurestep.audit.records import Batch, encode_batch
from azurestep.config.records import Publication, SwitchPreset, encode_record
from azurestep.environment import Environment
from azurestep.node.audit_log import read_covered, read_heads
from azurestep.platform.client import LogClient
from standins.log import Faults, LogSettings, LogStandIn
from standins.log_store import Retention

KEPT_RECORDS = 3


@pytest_asyncio.fixture
async def short_log() -> AsyncIterator[LogStandIn]:
    stand_in = LogStandIn(LogSettings(retention=Retention(records=KEPT_RECORDS)))
    await stand_in.start()
    yield stand_in
    await stand_in.close()


@pytest.fixture
def client(short_log: LogStandIn, http: Any) -> LogClient:
    return LogClient(http, short_log.url, Environment())


async def test_dropped_publications_are_counted(client: LogClient) -> None:
    for number in range(1, 9):
        change = Publication(f"p{number}", number - 1, "ana", SwitchPreset("peak"))
        await client.append_attempt("configuration", encode_record(change))
    read = (await read_heads(client, covered=2, as_of=7)).unwrap()
    assert [head.offset for head in read.heads] == [6, 7]
    assert read.lost_records == 3


async def test_newest_batch_of_the_data_centre_counts(client: LogClient) -> None:
    for data_centre, covers in (("kgn1", 4), ("kgn1", 9), ("kgn2", 30)):
        batch = Batch(f"{covers}", data_centre, "a", covers, [])
        await client.append_attempt("audit", encode_batch(batch))
    assert (await read_covered(client, "kgn1")).unwrap() == 9
    assert (await read_covered(client, "kgn3")).unwrap() == 0


async def test_unreachable_log_is_no_answer(
    client: LogClient, short_log: LogStandIn
) -> None:
    await client.append_attempt("audit", orjson.dumps({}))
    short_log.set_faults(Faults(outage=True))
    assert isinstance(await read_covered(client, "kgn1"), Failure)
    assert isinstance(await read_heads(client, 0, 5), Failure)
