import pathlib
import re
from typing import Any

import attrs
import orjson
import pytest

from azurestep.events import REGISTRY, REMEDIES
from azurestep.metrics import METRICS
from azurestep.operations.defaults import OperatorSettings
from azurestep.settings import Settings, settings_of
from azurestep.shape import shape_of
from tools.pages import TABLES, replace_table

DOCS = pathlib.Path(__file__).parents[1] / "docs"


def rows_of(page: str) -> list[list[str]]:
    lines = (DOCS / page).read_text().splitlines()
    rows = [line.strip("|").split("|") for line in lines if line.startswith("| ")]
    return [[cell.strip() for cell in row] for row in rows]


@pytest.mark.parametrize("page", sorted(TABLES))
def test_table_is_the_one_that_make_pages_writes(page: str) -> None:
    text = (DOCS / page).read_text()
    assert replace_table(text, TABLES[page]()) == text


def test_events_and_page_name_the_same_numbers() -> None:
    rows = {row[0]: row for row in rows_of("EVENTS.md")[1:]}
    assert set(rows) == {str(number) for number in REGISTRY}
    for event in REGISTRY.values():
        assert rows[str(event.number)][2] == event.summary


def test_every_warning_says_what_to_do() -> None:
    warnings = [event for event in REGISTRY.values() if event.level >= 30]
    assert warnings
    assert [event.number for event in warnings if not REMEDIES[event.number]] == []


def test_metrics_and_page_name_the_same() -> None:
    rows = {row[0].strip("`"): row for row in rows_of("METRICS.md")[1:]}
    assert set(rows) == set(METRICS)
    assert all(rows[name][2] == metric.unit for name, metric in METRICS.items())


def fields_of(kind: type, prefix: str = "") -> dict[str, "attrs.Attribute[Any]"]:
    found = {}
    for field in attrs.fields(attrs.resolve_types(kind)):
        found[f"{prefix}{field.name}"] = field
        for part in (field.type, *getattr(field.type, "__args__", ())):
            if isinstance(part, type) and attrs.has(part):
                is_list = str(field.type).startswith("list")
                join = "[]." if is_list else "."
                found |= fields_of(part, f"{prefix}{field.name}{join}")
    return found


def test_settings_and_page_name_the_same() -> None:
    found = rows_of("SETTINGS.md")
    rows = {row[0].strip("`"): row for row in found[1:] if len(row) == 6}
    fields = fields_of(Settings)
    assert set(rows) == set(fields)
    operator = {row[0].strip("`") for row in found if len(row) == 4} - {"field"}
    assert operator == {field.name for field in attrs.fields(OperatorSettings)}
    for name, field in fields.items():
        bounds = shape_of(field).bounds
        if bounds is not None and field.type is int:
            low, high = rows[name][4].split(" to ")
            assert (float(low), float(high)) == (bounds.low, bounds.high)
        assert rows[name][5], f"{name} has no meaning"


def test_example_of_the_page_is_valid() -> None:
    (text,) = re.findall(r"```json\n(.*?)```", (DOCS / "SETTINGS.md").read_text(), re.S)
    plain = orjson.loads(text)
    plain["fleet_key"] = None
    assert settings_of(orjson.dumps(plain)).unwrap().instance == "kgn1-licensing-1"
