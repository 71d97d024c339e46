import asyncio
import random

import attrs
import orjson
import pytest
from multidict import CIMultiDict, CIMultiDictProxy

from standins.backend_settings import Faults
from standins.load import arrivals, run_load
from standins.load_plan import LoadPlan, RequestKind
from standins.load_result import OutcomeCounts
from standins.load_sender import Call, judge

PAYMENT = RequestKind(
    name="payment", method="POST", path="/buy", new_key=True, service="licensing"
)


def plan_of(server, *kinds, **options):
    options = {"per_second": 400, "duration_s": 0.25, **options}
    return LoadPlan(nodes=(server.url,), kinds=kinds, **options)


def test_arrivals_follow_the_seed_and_the_rate():
    kinds = (RequestKind("a", weight=3), RequestKind("b", weight=1))
    plan = LoadPlan(nodes=(), kinds=kinds, per_second=1000, duration_s=10)
    first = list(arrivals(plan, random.Random(1)))

    assert first == list(arrivals(plan, random.Random(1)))
    assert len(first) == pytest.approx(10_000, rel=0.05)
    share = sum(arrival.kind.name == "a" for arrival in first) / len(first)
    assert share == pytest.approx(0.75, abs=0.03)


@pytest.mark.parametrize(
    ("status", "headers", "outcome"),
    [
        (503, {"Azurestep-Outcome": "not_run", "Azurestep-Not-Run": "1"}, "not_run"),
        (504, {"Azurestep-Outcome": "may_have_run"}, "may_have_run"),
        (422, {"Azurestep-Outcome": "key_reused"}, "error_status"),
        (200, {"Azurestep-Outcome": "ran"}, "ok"),
    ],
)
def test_outcome_follows_what_a_node_says(status, headers, outcome):
    call = Call(RequestKind("payment"))

    assert judge(call, status, CIMultiDictProxy(CIMultiDict(headers)), b"").value == (
        outcome
    )


async def test_counts_whole_answers_per_kind(start_backend_server):
    server = await start_backend_server("licensing", slots=1000, connections=1000)
    track = RequestKind(
        "track", path="/t?bytes=9000", expected_bytes=9000, service="licensing"
    )
    result = await run_load(plan_of(server, PAYMENT, track))

    assert result.total.arrivals == server.counts.requests > 0
    assert result.total.outcomes == OutcomeCounts(ok=result.total.arrivals)
    assert result.total.statuses == {"200": result.total.arrivals}
    payments = result.kinds["payment"]
    assert len(server.runs) == payments.arrivals == payments.latency.count
    assert set(server.runs.values()) == {1}


async def test_counts_refusals_and_errors(start_backend_server):
    server = await start_backend_server("licensing", slots=0)
    resent = attrs.evolve(PAYMENT, resend_on_unknown=True)
    refused = await run_load(plan_of(server, resent))
    server.set_faults(Faults(fast_error_ratio=1.0))
    failed = await run_load(plan_of(server, PAYMENT))

    assert refused.total.outcomes == OutcomeCounts(not_run=refused.total.arrivals)
    assert refused.total.resends == 0
    assert refused.total.refusal_latency.count == refused.total.arrivals
    assert failed.total.outcomes == OutcomeCounts(error_status=failed.total.arrivals)


async def test_sends_again_after_server_errors_only(start_backend_server):
    server = await start_backend_server("licensing", slots=1000)
    kinds = [
        RequestKind(str(status), path=f"/?status={status}", resend_on_unknown=True)
        for status in (404, 502)
    ]
    result = await run_load(plan_of(server, *kinds))

    assert result.kinds["404"].resends == 0
    assert result.kinds["502"].resends == 2 * result.kinds["502"].arrivals > 0


async def test_counts_cut_and_wrong_bodies(start_backend_server):
    server = await start_backend_server("licensing", slots=1000, connections=1000)
    cut = RequestKind("cut", path="/t?bytes=9000&cut_at=10&cut_always=1")
    short = RequestKind("short", path="/t?bytes=8000", expected_bytes=9000)
    crossed = RequestKind("crossed", path="/t?bytes=9", service="another")
    result = await run_load(plan_of(server, cut, short, crossed))

    kinds = result.kinds
    assert kinds["cut"].outcomes == OutcomeCounts(body_cut=kinds["cut"].arrivals)
    for name in ("short", "crossed"):
        arrived = kinds[name].arrivals
        assert kinds[name].outcomes == OutcomeCounts(wrong_answer=arrived)


async def test_sends_again_with_the_same_key_on_timeout(start_backend_server):
    server = await start_backend_server("licensing", slots=1000, connections=1000)
    kind = RequestKind(
        "slow",
        method="POST",
        path="/buy?delay_ms=60000",
        new_key=True,
        timeout_ms=1000,
        resend_on_unknown=True,
        max_sends=2,
    )
    result = await run_load(plan_of(server, kind, duration_s=0.05))

    assert result.total.outcomes == OutcomeCounts(timeout=result.total.arrivals)
    assert result.total.resends == result.total.arrivals > 0
    assert set(server.runs.values()) == {2}


async def test_caps_the_requests_in_flight(start_backend_server):
    server = await start_backend_server("licensing", slots=1000)
    kind = RequestKind("slow", path="/?delay_ms=60000", timeout_ms=2000)
    result = await run_load(plan_of(server, kind, max_in_flight=5, duration_s=0.1))

    assert server.counts.peak_in_flight == 5
    assert result.total.outcomes.timeout == 5
    assert result.total.outcomes.skipped == result.total.arrivals - 5


async def test_counts_nodes_that_are_away(start_backend_server):
    server = await start_backend_server("licensing")
    await server.close()
    result = await run_load(plan_of(server, PAYMENT))

    assert result.total.outcomes.not_connected == result.total.arrivals > 0


async def test_command_line_prints_the_result(start_backend_server, start_process):
    server = await start_backend_server("licensing", slots=1000)
    plan = {
        "nodes": [server.url],
        "kinds": [{"name": "payment", "method": "POST", "new_key": True}],
        "per_second": 50,
        "duration_s": 0.2,
    }
    process = await start_process("standins.load", "-")
    printed, _ = await asyncio.wait_for(process.communicate(orjson.dumps(plan)), 60)
    result = orjson.loads(printed)

    assert process.returncode == 0
    assert result["total"]["outcomes"]["ok"] == len(server.runs) > 0
