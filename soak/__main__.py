"""Command of the soak."""

import asyncio
import pathlib
import signal
import sys
import time
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

from docopt import docopt

from .plan import Plan, draw
from .report import write
from .run import Result, play

USAGE = """Run real nodes under random faults and check the promises.

Usage:
  soak [--seeds LIST] [--nodes N] [--faults N] [--notices N] [--teams N]
       [--apart N] [--takeovers N] [--returns N] [--reloads N] [--quota RATE]
       [--at-once N] [--report FILE]

Options:
  --seeds LIST    Seeds, as 3,7,20-29, or the number of fresh ones, as x5 [default: x3].
  --nodes N       Nodes of each run [default: 5].
  --faults N      Faults of each run [default: 8].
  --notices N     Limits and leavings that servers tell in answers, and returns of the
                  store from a copy, of each run [default: 0].
  --teams N       Keys added and removed, wrong keys, teams that send several times
                  their usual, and slow servers, of each run; with 0 the configuration
                  has no teams [default: 0].
  --apart N       Keys removed while the store refuses two nodes, of each run; with
                  some, the configuration has teams [default: 0].
  --takeovers N   Stops of nodes while a team sends too much: of one, of two in turn, of
                  a frozen one, and one that is killed in its stop, of each run; with
                  some, the configuration has teams [default: 0].
  --returns N     Returns of nodes while a team sends too much: of one, of one that is
                  killed again, with the node killed that owned meanwhile, and of one
                  that the store refuses, of each run; with some, the configuration has
                  teams [default: 0].
  --reloads N     Settings files that are rewritten in pieces, and stops, both beside
                  signals in series, of each run [default: 0].
  --quota RATE    Requests a second that each team is allowed, and its burst; 0 for no
                  limit. A team sends some 50 a second, and 180 in a surge [default: 0].
  --at-once N     Runs at the same time [default: 2].
  --report FILE   Report with plots, as HTML.
"""


def parse_seeds(text: str) -> list[int]:
    """Return the seeds that a list names.

    Examples
    --------
    >>> parse_seeds("3,7-9")
    [3, 7, 8, 9]
    >>> len(parse_seeds("x4"))
    4
    """
    if text.startswith("x"):
        first = time.time_ns() // 1000 % 1_000_000_000
        return list(range(first, first + int(text[1:])))
    seeds: list[int] = []
    for part in text.split(","):
        first_text, _, last_text = part.partition("-")
        seeds += range(int(first_text), int(last_text or first_text) + 1)
    return seeds


async def play_all(
    seeds: list[int], plan_of: Callable[[int], Plan], at_once: int
) -> list[Result]:
    """Play the plans of all seeds, some at the same time."""
    slots = asyncio.Queue[int]()
    for slot in range(at_once):
        slots.put_nowait(slot)

    async def one(seed: int) -> Result:
        slot = await slots.get()
        try:
            result = await play(plan_of(seed), slot)
        finally:
            slots.put_nowait(slot)
        print(line_of(result), flush=True)
        return result

    return list(await asyncio.gather(*(one(seed) for seed in seeds)))


async def _until_signalled(
    playing: Coroutine[Any, Any, list[Result]],
) -> list[Result]:
    """Play, and end all processes that were started if SIGTERM comes meanwhile."""
    task = asyncio.ensure_future(playing)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


def line_of(result: Result) -> str:
    """Return one line on a run."""
    kinds = " ".join(type(fault).__name__ for fault in result.plan.faults)
    if not result.broken:
        return f"seed {result.plan.seed}: kept, {len(result.seen.calls)} calls; {kinds}"
    cases = "; ".join(
        f"{name} {len(found)}: {found[0]}" for name, found in result.broken.items()
    )
    return f"seed {result.plan.seed}: BROKEN {cases}; {kinds}; logs in {result.logs}"


def main() -> int:
    """Run the command; 1 if a promise was broken."""
    arguments = docopt(USAGE)
    plan_of = partial(
        draw,
        instances=int(arguments["--nodes"]),
        faults=int(arguments["--faults"]),
        notices=int(arguments["--notices"]),
        teams=int(arguments["--teams"]),
        apart=int(arguments["--apart"]),
        takeovers=int(arguments["--takeovers"]),
        returns=int(arguments["--returns"]),
        reloads=int(arguments["--reloads"]),
        quota_per_s=float(arguments["--quota"]),
    )
    seeds = parse_seeds(arguments["--seeds"])
    playing = play_all(seeds, plan_of, int(arguments["--at-once"]))
    results = asyncio.run(_until_signalled(playing))
    failed = [result for result in results if result.broken]
    print(f"{len(results)} seeds, {len(failed)} with a broken promise")
    if arguments["--report"]:
        report = pathlib.Path(arguments["--report"])
        report.parent.mkdir(parents=True, exist_ok=True)
        report.write_text(write(results))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
