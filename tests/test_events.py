import io
import logging
from collections.abc import Iterator

import orjson
import pytest

from azurestep import events
from azurestep.logs import configure_logs


@pytest.fixture
def stream() -> Iterator[io.StringIO]:
    root = logging.getLogger()
    held = (root.handlers[:], root.level)
    logger = logging.getLogger("azurestep")
    own = (logger.handlers[:], logger.level, logger.propagate)
    yield io.StringIO()
    root.handlers, root.level = held
    logger.handlers, logger.level, logger.propagate = own


def test_json_line_carries_number_and_fields(stream: io.StringIO) -> None:
    configure_logs(stream, "json", "info")
    events.emit(events.MEMBER_DEAD, instance="a")
    line = orjson.loads(stream.getvalue())
    assert (line["event"], line["level"], line["instance"]) == (4003, "warning", "a")


def test_fields_do_not_hide_the_number(stream: io.StringIO) -> None:
    configure_logs(stream, "json", "info")
    events.emit(events.MEMBER_DEAD, level=9, time="x", message="y")
    line = orjson.loads(stream.getvalue())
    assert (line["level"], line["message"]) == ("warning", "member is dead")


def test_human_line(stream: io.StringIO) -> None:
    configure_logs(stream, "human", "info")
    events.emit(events.MEMBER_DEAD, instance="a")
    assert stream.getvalue().endswith("WARNING 4003 member is dead instance=a\n")


def test_level_is_respected(stream: io.StringIO) -> None:
    configure_logs(stream, "json", "warning")
    events.emit(events.NODE_STARTED)
    assert stream.getvalue() == ""


def test_messages_of_libraries_come_in_the_same_form(stream: io.StringIO) -> None:
    configure_logs(stream, "json", "info")
    logging.getLogger("asyncio").warning("slow %s", "callback")
    line = orjson.loads(stream.getvalue())
    assert (line["event"], line["message"]) == (0, "slow callback")


def test_bytes_and_tuples_can_be_logged(stream: io.StringIO) -> None:
    configure_logs(stream, "json", "info")
    events.emit(events.MEMBER_DEAD, hash=b"\xff", faults=(1, 2))
    assert orjson.loads(stream.getvalue())["faults"] == [1, 2]


def test_number_can_be_taken_once() -> None:
    with pytest.raises(ValueError, match="registered twice"):
        events.register(1001, logging.INFO, "another")
