"""Invalid configurations yield faults instead of exceptions."""

from typing import Any

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from azurestep.config.document import Document, EntryKey, Section, document_from_dict
from azurestep.config.validate import read_document, validate

from .fixtures_cli import EXAMPLE

NAMES = st.sampled_from(
    ["name", "services", "routes", "presets", "format", "active_preset", "methods"]
)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(NAMES | st.text(max_size=4), inner, max_size=5)
    ),
    max_leaves=20,
)
KEYS = st.builds(EntryKey, st.sampled_from(Section), st.text(max_size=4))
DETERMINISTIC = settings(derandomize=True, max_examples=300, deadline=None)


def assert_told(result: Any) -> None:
    """Assert that each fault of a failure has a path, a problem and a remedy."""
    if isinstance(result, Success):
        return
    assert result.failure()
    for fault in result.failure():
        assert fault.path.startswith("$")
        assert fault.problem and fault.remedy
        assert "\n" not in str(fault)


@DETERMINISTIC
@given(st.binary(max_size=200))
def test_any_bytes_are_read_or_told(raw: bytes) -> None:
    assert_told(read_document(raw))


@DETERMINISTIC
@given(JSON)
def test_any_json_is_read_or_told(plain: Any) -> None:
    try:
        raw = orjson.dumps(plain)
    except TypeError:
        return
    assert_told(read_document(raw))


@DETERMINISTIC
@given(st.sampled_from(["services", "routes", "presets", "active_preset"]), JSON)
def test_any_part_is_read_or_told(field: str, value: Any) -> None:
    plain = orjson.loads(EXAMPLE.read_bytes())
    plain[field] = value
    try:
        raw = orjson.dumps(plain)
    except TypeError:
        return
    assert_told(read_document(raw))


@DETERMINISTIC
@given(st.dictionaries(KEYS, st.binary(max_size=30) | JSON, max_size=6))
def test_any_entries_are_valid_or_told(entries: dict[EntryKey, Any]) -> None:
    try:
        bodies = {
            key: value if isinstance(value, bytes) else orjson.dumps(value)
            for key, value in entries.items()
        }
    except TypeError:
        return
    assert_told(validate(Document(bodies)))


@pytest.mark.parametrize("cut", range(0, 1000, 37))
def test_truncated_configuration_is_rejected(cut: int) -> None:
    result = read_document(EXAMPLE.read_bytes()[:cut])
    assert isinstance(result, Failure)
    assert_told(result)


def test_entry_with_another_name_than_its_key_is_rejected() -> None:
    document = document_from_dict(orjson.loads(EXAMPLE.read_bytes()))
    body = document.entries[EntryKey(Section.SERVICES, "catalogue")]
    hidden = document.with_changes({EntryKey(Section.SERVICES, "other"): body}, [])
    assert isinstance(validate(document), Success)
    assert isinstance(validate(hidden), Failure)


def test_unknown_fields_are_kept_on_the_log_and_rejected_in_a_file() -> None:
    plain = orjson.loads(EXAMPLE.read_bytes())
    plain["routes"][0]["colour"] = "red"
    assert isinstance(validate(document_from_dict(plain)), Success)
    (fault,) = read_document(orjson.dumps(plain)).failure()
    assert fault.path == "$.routes[0].colour"
