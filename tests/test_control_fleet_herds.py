"""Mass restarts and partitioned data centres while versions spread."""

import pytest

from bench.fake_fleet import FakeFleet
from bench.fleet_herds import Cut, measure_cut, measure_herd

COUNT = 24
CONVERGED_MS = 17_000


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_mass_restart_converges_during_a_platform_outage(seed):
    result = measure_herd(COUNT, seed)

    assert result.went_back == 0
    assert result.converged_ms <= CONVERGED_MS
    assert result.published_ms <= CONVERGED_MS
    assert result.snapshots_peak_per_s > 0


@pytest.mark.parametrize("cut", Cut)
def test_partitioned_data_centre_converges_during_a_publication(cut):
    result = measure_cut(COUNT, 1, cut)

    assert result.went_back == 0
    assert result.converged_ms <= CONVERGED_MS


def test_fleet_without_platform_and_without_holders_gets_no_version():
    fleet = FakeFleet(COUNT, 1, 3)
    fleet.is_platform_cut = lambda address: True
    fleet.platform.publish()

    with pytest.raises(TimeoutError):
        fleet.run_until(fleet.is_current, 20_000)
