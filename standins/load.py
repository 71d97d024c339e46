"""Open-loop load generator."""

import asyncio
import random
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import aiohttp
import aiomisc
import attrs
import orjson
import uvloop
from docopt import docopt

from .json_http import structure_json
from .load_plan import LoadPlan, RequestKind
from .load_result import KindTally, LoadResult, Outcome, TimeHistogram
from .load_sender import Call, CallSender, Sent, new_call
from .process import print_line

USAGE = """Send requests at a fixed mean rate and print the result as JSON.

Usage:
  standins.load PLAN

Arguments:
  PLAN    File with the plan as JSON; "-" reads it from standard input.
"""

FINISH_MARGIN_S = 1.0


@attrs.frozen
class Arrival:
    """A request that is due, in seconds after the start of the run."""

    due_s: float
    kind: RequestKind


def arrivals(plan: LoadPlan, random_source: random.Random) -> Iterator[Arrival]:
    """Yield the arrivals of a plan in order of time."""
    weights = [kind.weight for kind in plan.kinds]
    due_s = random_source.expovariate(plan.per_second)
    while due_s < plan.duration_s:
        kind = random_source.choices(plan.kinds, weights)[0]
        yield Arrival(due_s, kind)
        due_s += random_source.expovariate(plan.per_second)


class LoadRun:
    """One run of a plan.

    Parameters
    ----------
    plan : LoadPlan
        What to send.
    sender : CallSender
        Sends each request.
    """

    def __init__(self, plan: LoadPlan, sender: CallSender) -> None:
        self._plan = plan
        self._sender = sender
        self._random = random.Random(plan.seed)
        self._total = KindTally()
        self._kinds = {kind.name: KindTally() for kind in plan.kinds}
        self._start_lag = TimeHistogram()
        self._open: set[asyncio.Task[None]] = set()
        self._started_s = 0.0

    async def run(self) -> LoadResult:
        """Send all requests, and wait for their outcomes within a bound."""
        self._started_s = time.monotonic()
        for arrival in arrivals(self._plan, self._random):
            await self._sleep_until(arrival.due_s)
            self._begin(arrival)
        await self._finish()
        return LoadResult(
            elapsed_s=self._elapsed_s(),
            total=self._total.result(),
            kinds={name: tally.result() for name, tally in self._kinds.items()},
            start_lag=self._start_lag.percentiles(),
        )

    def _elapsed_s(self) -> float:
        return time.monotonic() - self._started_s

    async def _sleep_until(self, due_s: float) -> None:
        left_s = due_s - self._elapsed_s()
        await asyncio.sleep(max(0.0, left_s))

    def _begin(self, arrival: Arrival) -> None:
        for tally in self._tallies(arrival.kind):
            tally.arrivals += 1
        if len(self._open) >= self._plan.max_in_flight:
            self._count(arrival, Sent(Outcome.SKIPPED))
            return
        task = asyncio.create_task(self._call(arrival))
        self._open.add(task)
        task.add_done_callback(self._open.discard)

    async def _call(self, arrival: Arrival) -> None:
        self._start_lag.add(self._elapsed_s() - arrival.due_s)
        try:
            sent = await self._send(new_call(arrival.kind))
        except asyncio.CancelledError:
            self._count(arrival, Sent(Outcome.UNFINISHED))
            raise
        self._count(arrival, sent)

    async def _send(self, call: Call) -> Sent:
        sent = await self._sender.send(call)
        if not call.kind.resend_on_unknown:
            return sent
        for _ in range(call.kind.max_sends - 1):
            if not sent.is_unknown:
                break
            for tally in self._tallies(call.kind):
                tally.resends += 1
            sent = await self._sender.send(call)
        return sent

    def _count(self, arrival: Arrival, sent: Sent) -> None:
        latency_s = self._elapsed_s() - arrival.due_s
        for tally in self._tallies(arrival.kind):
            tally.add(sent.outcome, sent.status, latency_s)

    def _tallies(self, kind: RequestKind) -> tuple[KindTally, KindTally]:
        return self._total, self._kinds[kind.name]

    async def _finish(self) -> None:
        if not self._open:
            return
        bound_s = max(time_bound_s(kind) for kind in self._plan.kinds)
        _, late = await asyncio.wait(self._open, timeout=bound_s + FINISH_MARGIN_S)
        for task in late:
            task.cancel()
        await asyncio.gather(*late, return_exceptions=True)


def time_bound_s(kind: RequestKind) -> float:
    """Return the longest time that a request of a kind may take."""
    sends = kind.max_sends if kind.resend_on_unknown else 1
    return sends * kind.timeout_ms / 1000


async def run_load(plan: LoadPlan) -> LoadResult:
    """Run a plan.

    Parameters
    ----------
    plan : LoadPlan
        What to send.

    Returns
    -------
    LoadResult
        Counts and latencies, in all and per kind.
    """
    connector = aiohttp.TCPConnector(limit=0)
    nodes_source = random.Random(plan.seed + 1)
    async with aiohttp.ClientSession(
        connector=connector, auto_decompress=False
    ) as session:
        sender = CallSender(session, plan.nodes, nodes_source)
        return await LoadRun(plan, sender).run()


def read_plan(name: str) -> LoadPlan:
    """Read a plan from a file, or from standard input if the name is "-"."""
    text = sys.stdin.read() if name == "-" else Path(name).read_text()
    return structure_json(orjson.loads(text), LoadPlan)


def main() -> None:
    """Run a plan from the command line and print its result."""
    arguments = docopt(USAGE)
    plan = read_plan(arguments["PLAN"])
    with aiomisc.entrypoint(
        loop_factory=uvloop.new_event_loop, log_config=False
    ) as loop:
        print_line(loop.run_until_complete(run_load(plan)))


if __name__ == "__main__":
    main()
