"""Pages name only tests, scenarios and measurements that exist."""

import pathlib
import re

import pytest

from bench.__main__ import ALL
from bench.deployment import load_deployment, load_settings

ROOT = pathlib.Path(__file__).parent.parent
PROMISES = (ROOT / "docs" / "PROMISES.md").read_text()
PAGES = ("README.md", "CONTRIBUTING.md", "CHANGELOG.md", "docs/CAPACITY.md")


@pytest.mark.parametrize(
    "named", sorted(set(re.findall(r"`(tests/\w+\.py\S*)`", PROMISES)))
)
def test_named_test_exists(named):
    path, _, function = named.partition("::")
    text = (ROOT / path).read_text()
    assert not function or re.search(rf"^(async )?def {function}\(", text, re.MULTILINE)


@pytest.mark.parametrize(
    "title", sorted(set(re.findall(r"Scenario: ([^;|]+?) *[;|]", PROMISES)))
)
def test_named_scenario_exists(title):
    features = (ROOT / "tests" / "scenarios").glob("*.feature")
    found = {
        line.strip().removeprefix("Scenario: ")
        for feature in features
        for line in feature.read_text().splitlines()
        if line.strip().startswith("Scenario: ")
    }
    assert title in found


@pytest.mark.parametrize("page", [*PAGES, "docs/PROMISES.md"])
def test_named_measurement_exists(page):
    named = re.findall(r"make bench ONLY=(\w+)", (ROOT / page).read_text())
    assert set(named) <= set(ALL)


@pytest.mark.parametrize("page", [*PAGES, "docs/PROMISES.md", "docs/GLOSSARY.md"])
def test_links_lead_somewhere(page):
    path = ROOT / page
    for link in re.findall(r"\]\(([^)#]+)[^)]*\)", path.read_text()):
        assert "://" in link or (path.parent / link).exists(), link


@pytest.mark.parametrize("name", ["riddim", "mawga"])
def test_example_settings_are_valid_and_fit_the_deployment(name):
    settings = load_settings(name)
    assert settings.data_centre in load_deployment(name).data_centres
    assert settings.control.push_fan_out > 0


def test_examples_weigh_time_and_bytes_differently():
    riddim = load_settings("riddim").control
    mawga = load_settings("mawga").control
    assert riddim.probe_interval_ms < mawga.probe_interval_ms


@pytest.mark.parametrize("name", ALL)
def test_measurement_is_a_module(name):
    assert (ROOT / "bench" / f"{name}.py").exists()
