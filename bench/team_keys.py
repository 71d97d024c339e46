"""Cost of the check of a caller's key, and memory of the directory of teams.

Usage:
  team_keys [--requests N] [--rounds N]

Options:
  --requests N  Requests of one round. [default: 1000]
  --rounds N    Rounds of each kind; the kinds take turns. [default: 300]
"""

import itertools
import secrets
import time
import tracemalloc
from collections.abc import Callable
from functools import partial

import attrs
import docopt

from azurestep.mesh.callers import outbound
from azurestep.platform.headers import CallerFields, read_caller, read_keys
from azurestep.routing.authentication import (
    Access,
    describe_keys,
    effective_priority,
    identify,
)
from azurestep.routing.model import Route, WeightedService
from azurestep.routing.teams import Team, TeamDirectory

from .results import Machine, at_end, machine_facts, percentile, write_result

TEAM_COUNTS = (77, 1000)
"""Teams of a deployment that was asked for, and many more."""
KEYS_PER_TEAM = 2
KEY_BYTES = 16
TARGET_US = 10.0
ROUTE = Route(
    "songs",
    b"songs.example",
    b"/",
    True,
    900.0,
    700.0,
    3,
    2,
    (WeightedService("songs", 1.0),),
)
OTHER_HEADERS = [
    (b"Host", b"songs.example"),
    (b"User-Agent", b"caller/1.0"),
    (b"Accept", b"*/*"),
    (b"Attempt-Id", b"29683ef5197aaf9e"),
    (b"Deadline-Milliseconds", b"900"),
    (b"Content-Type", b"application/json"),
    (b"Content-Length", b"64"),
    (b"X-Trace", b"0af7651916cd43dd8448eb211c80319c"),
]
"""As a caller's request has them, beside its key."""
Headers = list[tuple[bytes, bytes]]
Request = tuple[Headers, CallerFields]
"""Headers of a request, and what any node reads from them first."""


@attrs.frozen
class CheckCost:
    """Processor time of one check, as means over the requests of a round.

    Attributes
    ----------
    kind : str
        Which key a request presents.
    """

    teams: int
    kind: str
    p50_us: float
    p99_us: float


@attrs.frozen
class DirectorySize:
    """Memory that a directory takes, and processor time to build it."""

    teams: int
    keys: int
    kilobytes: float
    build_ms: float


@attrs.frozen
class TeamKeys:
    """Result of the measurement."""

    checks: list[CheckCost]
    directories: list[DirectorySize]
    requests: int
    rounds: int
    target_us: float
    machine: Machine


def fleet_teams(count: int) -> list[tuple[Team, list[bytes]]]:
    """Return teams with random keys."""
    return [
        (
            Team(f"team-{number}", number % 4, 40.0, 80.0),
            [secrets.token_hex(KEY_BYTES).encode() for _ in range(KEYS_PER_TEAM)],
        )
        for number in range(count)
    ]


def size_of(teams: list[tuple[Team, list[bytes]]]) -> DirectorySize:
    """Return what the directory of some teams takes beyond the teams' own names."""
    started_s = time.process_time()
    TeamDirectory.build(teams)
    build_ms = (time.process_time() - started_s) * 1000
    tracemalloc.start()
    copies = [(attrs.evolve(team), keys) for team, keys in teams]
    before, _ = tracemalloc.get_traced_memory()
    directory = TeamDirectory.build(copies)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    team_bytes = sum(team.__sizeof__() for team in directory)
    kilobytes = (after - before + team_bytes) / 1024
    keys = sum(len(one) for _, one in teams)
    return DirectorySize(len(teams), keys, kilobytes, build_ms)


def check(directory: TeamDirectory, request: Request) -> None:
    """Do for one request what ``Outbound`` does only where there are teams."""
    headers, caller = request
    identity = identify(directory, ROUTE, read_keys(headers))
    if identity.access is Access.ALLOWED:
        outbound._with_team(caller, identity)
        effective_priority(ROUTE, identity.team)
    else:
        describe_keys(read_keys(headers))


def requests_with(keys: list[bytes], count: int) -> list[Request]:
    """Return requests that present some keys in turn."""
    chosen = itertools.islice(itertools.cycle(keys), count)
    heads = [
        [*OTHER_HEADERS, (b"Authorization", b"Token " + key)] if key else OTHER_HEADERS
        for key in chosen
    ]
    return [(headers, read_caller(headers)) for headers in heads]


def time_round(work: Callable[[Request], None], requests: list[Request]) -> float:
    """Return the processor time of one request of a round, in microseconds."""
    started_ns = time.process_time_ns()
    for request in requests:
        work(request)
    return (time.process_time_ns() - started_ns) / len(requests) / 1000


def measure_checks(count: int, requests: int, rounds: int) -> list[CheckCost]:
    """Return the cost of the check with each kind of key."""
    teams = fleet_teams(count)
    work = partial(check, TeamDirectory.build(teams))
    held = [key for _, keys in teams for key in keys]
    unknown = [secrets.token_hex(KEY_BYTES).encode() for _ in held]
    kinds = {"known key": held, "unknown key": unknown, "no key": [b""]}
    sent = {kind: requests_with(keys, requests) for kind, keys in kinds.items()}
    times_us: dict[str, list[float]] = {kind: [] for kind in sent}
    for _ in range(rounds):
        for kind, one_round in sent.items():
            times_us[kind].append(time_round(work, one_round))
    return [
        CheckCost(count, kind, percentile(found, 0.5), percentile(found, 0.99))
        for kind, found in times_us.items()
    ]


def main() -> None:
    """Run the measurement from the command line."""
    options = docopt.docopt(__doc__ or "")
    requests, rounds = int(options["--requests"]), int(options["--rounds"])
    machine = machine_facts()
    directories = [size_of(fleet_teams(count)) for count in TEAM_COUNTS]
    checks = [
        cost
        for count in TEAM_COUNTS
        for cost in measure_checks(count, requests, rounds)
    ]
    result = TeamKeys(checks, directories, requests, rounds, TARGET_US, at_end(machine))
    write_result("team_keys", result)
    for cost in checks:
        print(cost)
    for size in directories:
        print(size)


if __name__ == "__main__":
    main()
