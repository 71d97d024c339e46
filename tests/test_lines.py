"""``azurestep explain`` and ``azurestep losses``, from lines to text, JSON and plot."""

import asyncio
import io
import pathlib
from datetime import UTC, datetime

import attrs
import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurestep.core import main
from azurestep.environment import Environment
from azurestep.lines.explanation import explain
from azurestep.lines.losses import find_losses
from azurestep.lines.reader import LogLine, decode_line, read_files
from azurestep.lines.verdict import Decision, Outcome, judge
from azurestep.mesh import events
from azurestep.mesh.line_writer import BURST_LINES, RESERVED_LINES, LineWriter

from .fixtures_mesh import MeshFleet

ENDED, REFUSED, FAILED = (
    events.CALL_ENDED.number,
    events.CALL_REFUSED.number,
    events.CALL_FAILED.number,
)


def line(event: int, at_ms: float = 0.0, **fields: object) -> LogLine:
    time = datetime.fromtimestamp(at_ms / 1000, UTC)
    return LogLine(time, event, "", "n-1", **fields)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("found", "outcome", "decision"),
    [
        (line(ENDED, status=200, left_ms=5), Outcome.IN_TIME, Decision.NONE),
        (
            line(ENDED, status=200, left_ms=-5, after_ms=300, waited_ms=200),
            Outcome.LATE,
            Decision.QUEUED,
        ),
        (
            line(ENDED, status=200, left_ms=-5, after_ms=300, ran_ms=290),
            Outcome.LATE,
            Decision.SLOW_RUN,
        ),
        (
            line(ENDED, status=200, left_ms=-5, after_ms=300, ran_ms=60),
            Outcome.LATE,
            Decision.ASKED_BEFORE,
        ),
        (
            line(ENDED, status=200, left_ms=-500, after_ms=70, returned=True),
            Outcome.LATE,
            Decision.CAME_BACK_LATE,
        ),
        (line(ENDED, status=500), Outcome.ERROR, Decision.SERVER_ERROR),
        (line(REFUSED, status=503, reason="PRESSURE"), Outcome.REFUSED, Decision.SHED),
        (line(REFUSED, status=404), Outcome.REFUSED, Decision.NO_ROUTE),
        (
            line(REFUSED, status=401, reason="UNKNOWN_KEY"),
            Outcome.REFUSED,
            Decision.UNKNOWN_KEY,
        ),
        (
            line(REFUSED, status=503, reason="UNKNOWN_KEY"),
            Outcome.REFUSED,
            Decision.KEY_UNDECIDED,
        ),
        (line(REFUSED, status=429, reason="QUOTA"), Outcome.REFUSED, Decision.QUOTA),
        (line(FAILED, reason="TIMEOUT"), Outcome.FAILED, Decision.TIMEOUT),
        (line(FAILED, reason="STOPPING"), Outcome.FAILED, Decision.STOPPED),
        (line(FAILED, reason="NEW"), Outcome.FAILED, Decision.OTHER),
        (line(events.CALLER_DISCONNECTED.number), Outcome.GONE, Decision.CALLER),
    ],
)
def test_each_end_has_a_verdict(
    found: LogLine, outcome: Outcome, decision: Decision
) -> None:
    verdict = judge(found)
    assert verdict is not None
    assert (verdict.outcome, verdict.decision) == (outcome, decision)


def test_every_reason_of_the_node_has_a_decision() -> None:
    unknown = {"BUDGET"}
    for reason in events_reasons() - unknown:
        verdict = judge(line(REFUSED, status=503, reason=reason))
        assert verdict is not None
        assert verdict.decision is not Decision.OTHER, reason


def events_reasons() -> set[str]:
    from azurestep.mesh.messages import Reason

    return {reason.name for reason in Reason}


def test_losses_are_counted_by_route_second_node_and_reason() -> None:
    lines = [
        line(ENDED, 0.0, route="read", status=200, left_ms=10),
        line(REFUSED, 900.0, route="read", status=503, reason="OVERLOADED"),
        line(
            REFUSED,
            1100.0,
            route="read",
            status=503,
            reason="OVERLOADED",
            returned=True,
        ),
        line(REFUSED, 1200.0, route="read", status=503, reason="OVERLOADED"),
        line(9006, 1300.0, lines=7),
    ]
    result = find_losses(lines)
    assert [(one.second, one.attempts, one.returned) for one in result.losses] == [
        (0, 1, 0),
        (1, 2, 1),
    ]
    assert result.routes[0].attempts == 4
    assert result.routes[0].in_time == 1
    assert result.left_out == 7


def test_the_team_that_loses_most_comes_first() -> None:
    lines = [
        line(ENDED, route="read", status=200, left_ms=10, team="riggers"),
        line(REFUSED, route="read", status=429, reason="QUOTA", team="riggers"),
        line(REFUSED, route="read", status=503, reason="OVERLOADED", team="yards"),
        line(REFUSED, route="read", status=503, reason="OVERLOADED", team="yards"),
        line(ENDED, route="read", status=200, left_ms=10, team="dyers"),
        line(REFUSED, route="read", status=401, reason="UNKNOWN_KEY", key="04341156"),
    ]
    teams = find_losses(lines).teams
    assert [(one.team, one.attempts, one.lost, one.decision) for one in teams] == [
        ("yards", 2, 2, Decision.NO_ROOM),
        ("riggers", 2, 1, Decision.QUOTA),
    ]


@pytest.mark.parametrize(
    ("found", "cause"),
    [
        (
            line(REFUSED, status=401, reason="UNKNOWN_KEY", key="04341156", version=4),
            "Refused: no team holds its key (digest 04341156...) in version 4.",
        ),
        (
            line(REFUSED, status=401, reason="UNKNOWN_KEY", key="none", version=4),
            "Refused: it had no key, and its route is not public in version 4.",
        ),
        (
            line(REFUSED, status=503, reason="UNKNOWN_KEY", key="04341156", version=4),
            "Refused: no team holds its key (digest 04341156...) in version 4, and its"
            " first node knew that it may lack a newer one.",
        ),
        (
            line(REFUSED, status=429, reason="QUOTA", team="riggers", version=4),
            "Refused: it was above the limit of its team riggers in version 4.",
        ),
    ],
)
def test_a_sentence_names_the_team_or_the_key_and_the_version(
    found: LogLine, cause: str
) -> None:
    assert explain("q1", [attrs.evolve(found, id="q1")]).cause == cause


def test_a_step_names_team_limit_and_grant() -> None:
    fields = {"limit_per_s": 40.0, "grant_per_s": 8.5, "grant_age_ms": 70}
    found = line(
        REFUSED,
        status=429,
        reason="QUOTA",
        team="riggers",
        version=4,
        id="q1",
        **fields,
    )
    (step,) = explain("q1", [found]).steps
    assert step.inputs == (
        "QUOTA, team riggers in version 4, limit 40 a second, granted 8.5, 70 ms before"
    )


def test_a_collectors_prefix_names_the_node() -> None:
    text = b'{"time":"2026-01-31T10:00:00Z","event":9001,"message":"started","x":[1]}'
    decoded = decode_line(b"  -9.99 node-4 " + text, "file")
    assert isinstance(decoded, LogLine)
    assert decoded.node == "node-4"
    plain = decode_line(text, "file")
    assert isinstance(plain, LogLine)
    assert plain.node == "file"


@given(st.binary(max_size=200))
def test_any_text_is_a_line_or_none(text: bytes) -> None:
    assert isinstance(decode_line(text, "n"), LogLine | bool)


def test_an_unknown_request_says_so() -> None:
    assert explain("nobody", []).outcome is None


class Written:
    """Lines that a fleet wrote, as a file."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path

    def save(self, capfd: pytest.CaptureFixture[str]) -> None:
        events.WRITER.flush()
        self.path.write_text(capfd.readouterr().out)


@pytest.fixture
def log(tmp_path: pathlib.Path) -> Written:
    return Written(tmp_path / "fleet.log")


def run(*arguments: str) -> tuple[int, str]:
    environment = Environment(stdout=io.StringIO(), stderr=io.StringIO())
    status = main(list(arguments), environment)
    return int(status), environment.stdout.getvalue()  # type: ignore[attr-defined]


async def test_a_refused_request_is_explained_from_the_lines_of_the_fleet(
    mesh: MeshFleet, log: Written, capfd: pytest.CaptureFixture[str]
) -> None:
    for instance in mesh.instances:
        instance.server.work_s = 0.6
        instance.node.inbound.admission.record_run("read", 300.0)

    names = [f"e{index}" for index in range(30)]
    answers = await asyncio.gather(
        *(mesh.get(mesh.instances[0], "/read/1", name) for name in names)
    )
    refused = [
        name for name, (status, _) in zip(names, answers, strict=True) if status == 503
    ]
    log.save(capfd)
    status, text = run("explain", refused[0], str(log.path))
    assert status == 0
    assert "Refused: each of the 3 nodes asked had no slot" in text
    assert "4 ran and" in text
    status, text = run("losses", str(log.path))
    assert "no room at the servers asked" in text
    assert "ran long at the server" in text
    status, text = run("losses", str(log.path), "--json")
    rows = orjson.loads(text)["losses"]
    lost = [row for row in rows if row["decision"] == Decision.NO_ROOM]
    assert sum(row["attempts"] for row in lost) == len(refused)


def test_a_plot_is_drawn(tmp_path: pathlib.Path) -> None:
    text = (
        '{"time":"2026-01-31T10:00:0%d.5Z","event":%d,"message":"m","route":"read",'
        '"status":503,"reason":"%s"}\n'
    )
    source = tmp_path / "node-1.log"
    rows = [(1, "OVERLOADED"), (1, "PRESSURE"), (3, "OVERLOADED")]
    source.write_text("".join(text % (second, REFUSED, why) for second, why in rows))
    picture = tmp_path / "losses.png"
    status, _ = run("losses", str(source), "--plot", str(picture))
    assert status == 0
    assert picture.read_bytes().startswith(b"\x89PNG")


def test_a_file_that_can_not_be_read_is_named(tmp_path: pathlib.Path) -> None:
    status, _ = run("losses", str(tmp_path / "none.log"))
    assert status != 0


def test_damaged_lines_are_counted(tmp_path: pathlib.Path) -> None:
    source = tmp_path / "node-1.log"
    source.write_text('{"time": 5}\nno line\n{"event"\n')
    assert read_files([source]).unreadable == 2


def test_routine_lines_leave_room_for_losses() -> None:
    writer = LineWriter(clock=lambda: 0.0)
    for _ in range(int(BURST_LINES)):
        writer.add(events.CALL_ENDED, {}, routine=True)
    left_out = writer.dropped
    assert left_out == int(RESERVED_LINES) - 1
    for _ in range(200):
        writer.add(events.CALL_REFUSED, {})
    assert writer.dropped == left_out
