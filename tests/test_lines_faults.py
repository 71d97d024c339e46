"""``azurestep faults``, from the lines of nodes to text, JSON and exit status."""

import pathlib
from typing import Any

import orjson
import pytest

from azurestep.lines.faults import FAULT_EVENTS, find_faults
from azurestep.mesh import events
from azurestep.mesh.callers.call import Call
from azurestep.status import ExitStatus

from .fixtures_mesh import MeshFleet
from .test_lines import Written, line, run
from .test_mesh_containment import FAULTY, inject_fault, of_call

FAULT, MALFORMED = events.FAULT.number, events.PEER_MALFORMED.number


def text(event: int, second: int, prefix: str = "", **fields: Any) -> str:
    head = {"time": f"2026-01-31T10:00:0{second}.5Z", "event": event, "message": "m"}
    return prefix + orjson.dumps({**head, **fields}).decode() + "\n"


@pytest.fixture
def source(tmp_path: pathlib.Path) -> pathlib.Path:
    return tmp_path / "node-1.log"


def test_faults_are_counted_by_event_node_and_place() -> None:
    lines = [
        line(FAULT, 1.0, place="tick", cause="first"),
        line(FAULT, 2.0, place="tick", cause="second"),
        line(FAULT, 3.0, place="link_in", cause="third"),
        line(MALFORMED, 4.0, cause="fourth"),
        line(events.CALL_ENDED.number, 5.0),
    ]
    found = find_faults(lines).faults
    assert [(one.event, one.place, one.count, one.cause) for one in found] == [
        (FAULT, "tick", 2, "first"),
        (FAULT, "link_in", 1, "third"),
        (MALFORMED, "", 1, "fourth"),
    ]


def test_all_events_that_tell_of_a_fault_of_the_program_are_counted() -> None:
    assert set(FAULT_EVENTS) == {9007, 9009, 9010, 9203}


def test_lines_without_a_fault_exit_with_zero(source: pathlib.Path) -> None:
    source.write_text(text(events.CALL_ENDED.number, 1))
    status, shown = run("faults", str(source))
    assert (status, shown) == (ExitStatus.OK, "No fault of the program.\n")
    status, shown = run("faults", str(source), "--json")
    assert orjson.loads(shown) == {"faults": [], "unreadable": 0, "damaged": 0}


def test_a_collectors_prefix_names_the_node(source: pathlib.Path) -> None:
    source.write_text(
        text(FAULT, 2, "  2.50 node-4 ", place="tick", cause="KeyError('b')")
        + text(FAULT, 1, "  1.50 node-4 ", place="tick", cause="KeyError('a')")
        + text(FAULT, 1, " -0.50 node-5 ", place="tick", cause="KeyError('c')")
    )
    status, shown = run("faults", str(source))
    assert status == ExitStatus.ERROR
    assert [row.split() for row in shown.splitlines()[1:3]] == [
        ["9010", "node-4", "tick", "2", "KeyError('a')"],
        ["9010", "node-5", "tick", "1", "KeyError('c')"],
    ]


def test_damaged_lines_are_told(source: pathlib.Path) -> None:
    source.write_text('{"event"\n')
    status, shown = run("faults", str(source))
    assert status == ExitStatus.OK
    assert "can't be read: 1; 0 of them" in shown


def test_a_fault_in_a_line_that_was_cut_is_not_passed_over(
    source: pathlib.Path,
) -> None:
    source.write_text(text(FAULT, 1, cause="KeyError()")[:-20] + "\n")
    status, shown = run("faults", str(source))
    assert status == ExitStatus.ERROR
    assert "can't be read: 1; 1 of them" in shown


async def test_a_fault_of_a_fleet_is_shown_with_its_traceback(
    mesh: MeshFleet,
    source: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    capfd: pytest.CaptureFixture[str],
) -> None:
    inject_fault(monkeypatch, Call, "on_answer", of_call)
    assert (await mesh.get(mesh.instances[0], "/read/1", FAULTY.decode()))[0] == 502
    Written(source).save(capfd)
    status, shown = run("faults", str(source))
    assert status == ExitStatus.ERROR
    assert "KeyError('injected fault')" in shown
    assert "in on_answer" in shown or "in faulty" in shown
    _, explained = run("explain", FAULTY.decode(), str(source))
    assert "a fault of the program came" in explained
