"""The capacity page and the results behind it agree."""

import attrs
import pytest

from bench.capacity import BLOCK, BLOCKS, PAGE, render
from bench.capacity_model import read_inputs, role_per_s
from bench.target import TARGET


@pytest.fixture(scope="module")
def inputs():
    return read_inputs()


def test_page_shows_the_figures_of_the_results(inputs):
    text = PAGE.read_text()
    assert render(text, inputs) == text


def test_page_has_every_table():
    named = [match[2] for match in BLOCK.finditer(PAGE.read_text())]
    assert sorted(named) == sorted(BLOCKS)


def test_a_changed_result_changes_the_page(inputs):
    pair = attrs.evolve(inputs.latency.pairs[0], added_p99_ms=123.45)
    pairs = [pair, *inputs.latency.pairs[1:]]
    changed = attrs.evolve(inputs, latency=attrs.evolve(inputs.latency, pairs=pairs))
    text = PAGE.read_text()
    assert "123.45" in render(text, changed)
    assert "123.45" not in text


def test_page_repeats_the_target():
    text = PAGE.read_text()
    for figure in ("1,100", "73", "290,000", "0.76 ms", "2,700", "17 s", "2.7%"):
        assert figure in text
    assert TARGET.members == 183


def test_more_changes_cost_more(inputs):
    once = role_per_s(inputs, "node", 1)
    tenfold = role_per_s(inputs, "node", 10)
    assert tenfold.sent_bytes > once.sent_bytes
    assert tenfold.received_bytes > once.received_bytes
