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

# Modules with a coroutine function ``run`` that writes the result of that name.
MEASUREMENTS = ("latency", "node_cost", "bad_days", "scale", "baselines", "payments")


async def run(names: tuple[str, ...]) -> None:
    """Run measurements one after the other; a signal ends their processes."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    for name in names:
        print(f"== {name}", flush=True)
        await importlib.import_module(f".{name}", __package__).run()
        await asyncio.sleep(1)


def main() -> int:
    """Run from the command line."""
    options = docopt.docopt(__doc__ or "")
    if options["--list"]:
        print("\n".join(MEASUREMENTS))
        return 0
    only = options["--only"]
    if only and only not in MEASUREMENTS:
        print(f"no measurement {only!r}; the names are {', '.join(MEASUREMENTS)}")
        return 1
    uvloop.run(run((only,) if only else MEASUREMENTS))
    return 0


if __name__ == "__main__":
    sys.exit(main())
