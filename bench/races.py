"""Count the updates that racing operators lose, with and without base versions.

Usage:
  races [--quick] [--output FILE]

Options:
  --quick        Fewer edits, for tests.
  --output FILE  JSON of the results [default: bench/results/races.json].

Each operator reads the configuration, edits for a while, then publishes. With
base versions the fold of azurestep decides and a refused operator edits again.
The baseline takes every publication as a whole document: the last write wins.
"""

import heapq
import pathlib
import random
import sys
from functools import singledispatch

import attrs
import docopt
import orjson

from azurestep.config.document import (
    EntryKey,
    Section,
    canonical_json,
    document_from_dict,
)
from azurestep.config.fold import Accepted, ConfigurationFold, FoldState
from azurestep.config.records import (
    EditEntries,
    Entry,
    Publication,
    ReplaceDocument,
    encode_record,
    entries_of,
)
from azurestep.platform.records import LogRecord, Page

SEED = 5
EDITS = 200
QUICK_EDITS = 24
EDIT_MEANS_MS = (50.0, 500.0)
OPERATORS = (2, 4, 8)
LOG_DELAY_MS = 20.0
PLAIN = {
    "format": 1,
    "active_preset": "ordinary",
    "services": [{"name": "catalogue"}],
    "routes": [],
    "presets": [{"name": "ordinary"}],
}


@attrs.frozen
class BaseVersions:
    """A publication is accepted if its base is the version in force."""


@attrs.frozen
class LastWriteWins:
    """A publication replaces whatever is in force."""


Rule = BaseVersions | LastWriteWins


@attrs.frozen
class Race:
    """Operators who publish at the same time."""

    rule: Rule
    operators: int
    edits: int
    edit_mean_ms: float


@attrs.frozen
class Outcome:
    """What became of the edits of a race.

    Attributes
    ----------
    published : int
        Publications appended to the log.
    refused : int
        Publications whose operator was told that another one was first.
    confirmed : int
        Edits that an operator was told are in force.
    lost_updates : int
        Confirmed edits that are not in the last version.
    duration_s : float
        Simulated time until the last edit was confirmed.
    """

    rule: str
    operators: int
    edit_mean_ms: float
    published: int
    refused: int
    confirmed: int
    lost_updates: int
    duration_s: float


@singledispatch
def publication_of(rule: Rule, id: str, base: FoldState, current: int) -> Publication:
    """Return what an operator appends who edited ``base``."""
    raise TypeError(f"{type(rule).__name__} is no rule")


@publication_of.register
def _(rule: BaseVersions, id: str, base: FoldState, current: int) -> Publication:
    return Publication(id, base.version, "operator", EditEntries([_route(id)]))


@publication_of.register
def _(rule: LastWriteWins, id: str, base: FoldState, current: int) -> Publication:
    # A base that always fits takes the rule out of the fold.
    change = ReplaceDocument([*entries_of(base.document), _route(id)])
    return Publication(id, current, "operator", change)


def _route(name: str) -> Entry:
    body = canonical_json(
        {"name": name, "service": "catalogue", "path_prefix": f"/{name}"}
    )
    return Entry(Section.ROUTES.value, name, body.decode())


@attrs.frozen(order=True)
class Edit:
    """An edit that is ready to be appended at a time."""

    at_ms: float
    number: int
    base: FoldState = attrs.field(order=False)


def run(race: Race, seed: int = SEED) -> Outcome:
    """Run one race to its end."""
    source = random.Random(seed)
    fold = ConfigurationFold()
    first = ReplaceDocument(entries_of(document_from_dict(PLAIN)))
    _append(fold, Publication("first", 0, "operator", first))
    waiting = list(range(race.operators, race.edits))
    queue = [
        Edit(source.expovariate(1 / race.edit_mean_ms), number, fold.state)
        for number in range(min(race.operators, race.edits))
    ]
    heapq.heapify(queue)
    published = refused = 0
    confirmed: list[str] = []
    now_ms = 0.0
    while queue:
        edit = heapq.heappop(queue)
        now_ms = edit.at_ms
        id = f"edit-{edit.number}"
        version = fold.state.version
        publication = publication_of(race.rule, id, edit.base, version)
        publication = attrs.evolve(publication, id=f"{id}/{published}")
        published += 1
        number: int | None = edit.number
        if _append(fold, publication):
            confirmed.append(id)
            number = waiting.pop(0) if waiting else None
        else:
            refused += 1
        if number is not None:
            ready_ms = now_ms + LOG_DELAY_MS + source.expovariate(1 / race.edit_mean_ms)
            heapq.heappush(queue, Edit(ready_ms, number, fold.state))
    entries = fold.state.document.entries
    lost = [id for id in confirmed if EntryKey(Section.ROUTES, id) not in entries]
    return Outcome(
        type(race.rule).__name__,
        race.operators,
        race.edit_mean_ms,
        published,
        refused,
        len(confirmed),
        len(lost),
        round(now_ms / 1000, 1),
    )


def _append(fold: ConfigurationFold, publication: Publication) -> bool:
    offset = fold.next_offset
    value = orjson.loads(encode_record(publication))
    page = Page(1, offset + 1, [LogRecord(offset, 0, value)], offset)
    return any(isinstance(event, Accepted) for event in fold.apply_page(page))


def run_all(edits: int) -> list[Outcome]:
    """Run every race of the table."""
    return [
        run(Race(rule, operators, edits, edit_mean_ms))
        for operators in OPERATORS
        for edit_mean_ms in EDIT_MEANS_MS
        for rule in (BaseVersions(), LastWriteWins())
    ]


def print_table(outcomes: list[Outcome]) -> None:
    """Print one line per race."""
    names = [field.name for field in attrs.fields(Outcome)]
    print("  ".join(f"{name:>14}" for name in names))
    for outcome in outcomes:
        print("  ".join(f"{value!s:>14}" for value in attrs.astuple(outcome)))


def main() -> int:
    """Run the races from the command line."""
    options = docopt.docopt(__doc__ or "")
    outcomes = run_all(QUICK_EDITS if options["--quick"] else EDITS)
    print_table(outcomes)
    path = pathlib.Path(options["--output"])
    path.parent.mkdir(parents=True, exist_ok=True)
    plain = [attrs.asdict(outcome) for outcome in outcomes]
    path.write_bytes(orjson.dumps(plain, option=orjson.OPT_INDENT_2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
