from bench.herds import measure


def test_small_data_centre_has_no_false_deaths_or_suspicions():
    result = measure(nodes=12, seed=1)

    assert result.false_deaths == 0
    assert result.deaths_after_heal == 0
    assert result.herd_ms < 60_000
    assert result.silent_suspicions == 0
    assert result.silent_ms < 8_000
