import pathlib

import pytest

from bench.trace import read_trace, record, replay

TRACES = sorted((pathlib.Path(__file__).parent / "traces").glob("*.jsonl"))


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_trace_brings_its_stated_outcomes(path: pathlib.Path) -> None:
    assert list(replay(path)) == []


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_trace_with_another_outcome_is_noticed(
    path: pathlib.Path, tmp_path: pathlib.Path
) -> None:
    header, steps = read_trace(path)
    copy = tmp_path / path.name
    record(copy, header, steps)
    lines = copy.read_text().splitlines()
    lines[-1] = lines[-1].replace('"outputs":[', '"outputs":[{},', 1)
    copy.write_text("\n".join(lines))
    assert len(list(replay(copy))) == 1


def test_traces_cover_the_decisions() -> None:
    assert {read_trace(path)[0]["decision"] for path in TRACES} == {"once", "fold"}
