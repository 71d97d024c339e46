"""Log lines are rate-limited, counted when dropped, and never block."""

import asyncio
import os
import pathlib

import orjson
import pytest

from azurestep.mesh import events
from azurestep.mesh.line_encoding import MAX_LINE_BYTES
from azurestep.mesh.line_writer import (
    BUFFER_LINES,
    BURST_LINES,
    LineWriter,
)
from azurestep.mesh.runtime import Runtime


def test_lines_above_the_rate_are_dropped_and_counted() -> None:
    reader, writer_end = os.pipe()
    os.set_blocking(writer_end, False)
    now_s = 0.0
    writer = LineWriter(writer_end, clock=lambda: now_s)
    for index in range(int(BURST_LINES) + 50):
        writer.add(events.CALL_ENDED, {"id": index})
    assert writer.dropped == 50
    writer.flush()
    now_s = 1.0
    writer.add(events.CALL_ENDED, {"id": "last"})
    writer.flush()
    lines = [orjson.loads(line) for line in os.read(reader, 1 << 20).splitlines()]
    assert [line["lines"] for line in lines if line["event"] == 9006] == [50]


def test_errors_are_written_above_the_rate() -> None:
    writer = LineWriter(clock=lambda: 0.0)
    for index in range(int(BURST_LINES) + 1):
        writer.add(events.CALL_ENDED, {"id": index})
    dropped = writer.dropped
    writer.add(events.VERSION_REJECTED, {"cause": "x"})
    assert writer.dropped == dropped


def test_blocked_reader_does_not_block_the_writer() -> None:
    _, writer_end = os.pipe()
    now_s = 0.0
    writer = LineWriter(writer_end, clock=lambda: now_s)
    writer.open()
    for index in range(20 * BUFFER_LINES):
        now_s += 0.01
        writer.add(events.CALL_ENDED, {"id": index, "text": "x" * 100})
        if index % 100 == 0:
            writer.flush()
    assert writer.dropped > 0


def test_lines_are_written_again_when_the_output_works_again(
    tmp_path: pathlib.Path,
) -> None:
    """An error of the output was raised out of each flush."""
    now_s = 0.0
    writer = LineWriter(os.open("/dev/full", os.O_WRONLY), clock=lambda: now_s)
    writer.open()
    for index in range(3):
        writer.add(events.CALL_ENDED, {"id": index})
        writer.flush()
    assert writer.total_dropped == 3
    path = tmp_path / "output"
    os.dup2(os.open(path, os.O_WRONLY | os.O_CREAT), writer.descriptor)
    for index in range(3, 5):
        writer.add(events.CALL_ENDED, {"id": index})
        writer.flush()
    lines = [orjson.loads(line) for line in path.read_bytes().splitlines()]
    assert [line.get("id") for line in lines if line["event"] != 9006] == [3, 4]
    assert [line["lines"] for line in lines if line["event"] == 9006] == [3]


def test_a_pipe_shared_with_other_processes_stays_blocking() -> None:
    """Standard error may share it, and a full pipe would then raise there."""
    _, writer_end = os.pipe()
    writer = LineWriter(writer_end)
    writer.open()
    assert os.get_blocking(writer_end)
    assert not os.get_blocking(writer.descriptor)


class _Unprintable:
    def __repr__(self) -> str:
        raise ValueError("no text")

    __str__ = __repr__


UNENCODABLE = [1 << 70, "\ud800", _Unprintable(), {1: "x"}, ["\udfff"], {"a": 1 << 64}]


@pytest.mark.parametrize("value", UNENCODABLE)
def test_a_field_that_cannot_be_encoded_raises_out_of_the_log(value: object) -> None:
    """It ended what logged it, and the guard that reported the error as well."""
    reader, writer_end = os.pipe()
    writer = LineWriter(writer_end, clock=lambda: 0.0)
    writer.add(events.CALL_ENDED, {"id": "q1", "status": 200, "x": value})
    writer.flush()
    line = orjson.loads(os.read(reader, 1 << 16))
    assert (line["event"], line["id"], line["status"]) == (9401, "q1", 200)
    assert "x" in line


@pytest.mark.parametrize(
    "value", ["x" * 1_000_000, b"x" * 1_000_000, ["x" * 1000] * 1000, [10**100_000]]
)
def test_lines_are_bounded_in_size(value: object) -> None:
    """The lines that wait for a blocked reader would fill the memory."""
    reader, writer_end = os.pipe()
    os.set_blocking(writer_end, False)
    writer = LineWriter(writer_end, clock=lambda: 0.0)
    writer.add(events.CALL_ENDED, {"id": "q1", "x": value})
    writer.flush()
    text = os.read(reader, 1 << 16)
    assert len(text) <= MAX_LINE_BYTES
    assert orjson.loads(text)["id"] == "q1"


class _UnprintableError(Exception):
    def __str__(self) -> str:
        raise ValueError("no text")

    __repr__ = __str__


async def test_an_error_without_a_text_raises_out_of_the_guard() -> None:
    runtime = Runtime(asyncio.get_running_loop())

    def fail() -> None:
        raise _UnprintableError

    runtime.run_guarded("tick", fail)
    assert runtime.metrics.counters["faults", "tick"] == 1
