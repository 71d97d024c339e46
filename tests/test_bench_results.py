"""The arithmetic of the measurements."""

import asyncio
import random

import pytest

from azurestep.config.document import document_to_dict
from azurestep.config.validate import validate
from bench.convergence import summarize
from bench.fleet import Process, ProcessEndedError, free_ports, wait_for_port
from bench.generator import TARGET_SERVICES, changed, generate
from bench.mesh import places
from bench.publishing import Published
from bench.results import fit_line, percentile


def test_a_change_is_everywhere_when_the_last_node_has_it():
    times = [[(5, 1010), (7, 1100)], [(7, 1250)]]
    found = summarize("quiet", [Published(5, 1000), Published(7, 1050)], times)
    assert found.everywhere_max_ms == 250
    assert found.everywhere_p50_ms == 200
    assert found.unfinished == 0


def test_a_change_that_is_missing_somewhere_counts_as_unfinished():
    found = summarize("quiet", [Published(7, 1000)], [[(7, 1100)], [(5, 900)]])
    assert found.unfinished == 1
    assert found.everywhere_max_ms == -1


def test_percentile_takes_the_nearest_rank():
    values = [float(value) for value in range(1, 101)]
    assert percentile(values, 0.99) == 99
    assert percentile(values, 0.5) == 50
    assert percentile([3.0], 0.99) == 3


def test_fit_tells_a_line_from_a_curve():
    assert fit_line([(1, 2), (2, 4), (3, 6)]).fit_ratio > 0.999
    assert fit_line([(1, 1), (2, 4), (3, 1)]).fit_ratio < 0.5


def test_generated_configuration_is_valid_and_of_the_target_size():
    document = generate(1)
    assert len(document_to_dict(document)["services"]) == TARGET_SERVICES
    validate(document).unwrap()
    assert document == generate(1)


def test_generated_changes_stay_valid():
    document = generate(2)
    source = random.Random(2)
    for _ in range(20):
        document = document.with_changes(changed(document, source), [])
        validate(document).unwrap()


def test_places_fill_the_data_centres_evenly():
    found = places(128)
    counts = [sum(p.data_centre == f"dc-{n}" for p in found) for n in (1, 2, 3)]
    assert max(counts) - min(counts) <= 1
    assert len({place.instance for place in found}) == 128


async def test_a_node_that_ends_at_its_start_is_told(tmp_path):
    process = await asyncio.create_subprocess_exec("false")
    await process.wait()
    started = Process("node", process, tmp_path / "node.log")
    started.log.write_text("port in use")
    (port,) = free_ports(1)
    with pytest.raises(ProcessEndedError, match="port in use"):
        await wait_for_port(port, started)
