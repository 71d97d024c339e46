"""Runs the measurements and writes their results.

Usage:
  bench [--only NAME]
  bench --list

Options:
  --only NAME  Run one measurement.
  --list       Show the names.
"""

import asyncio
import importlib
import signal
import sys

import docopt
import uvloop

# Modules that are commands of their own, run as such.
COMMANDS = (
    "once",
    "races",
    "rolling",
    "herds",
    "overload",
    "request_path",
    "silent_path",
    "rate_limits",
    "quota_ways",
    "quota_cost",
    "version_spreading",
    "node_size",
    "node_start",
    "placement_model",
    "team_keys",
    "team_shares",
    "calls_model",
    "speed_ways",
    "wave_ways",
)
# Modules with a coroutine function ``run`` that writes the result of that name.
MEASUREMENTS = ("latency", "node_cost", "bad_days", "scale", "baselines", "payments")

ALL = MEASUREMENTS + COMMANDS


async def run(names: tuple[str, ...]) -> None:
    """Run measurements one after the other; a signal ends their processes."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    for name in names:
        print(f"== {name}", flush=True)
        if name in COMMANDS:
            await _run_command(name)
        else:
            await importlib.import_module(f".{name}", __package__).run()
        await asyncio.sleep(1)


async def _run_command(name: str) -> None:
    """Run a module as a command; print how it ended if it failed."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", f"bench.{name}"
    )
    try:
        code = await process.wait()
    except asyncio.CancelledError:
        process.terminate()
        raise
    if code:
        print(f"{name} ended with {code}", flush=True)


def main() -> int:
    """Run from the command line."""
    options = docopt.docopt(__doc__ or "")
    if options["--list"]:
        print("\n".join(ALL))
        return 0
    only = options["--only"]
    if only and only not in ALL:
        print(f"no measurement {only!r}; the names are {', '.join(ALL)}")
        return 1
    uvloop.run(run((only,) if only else ALL))
    return 0


if __name__ == "__main__":
    sys.exit(main())
