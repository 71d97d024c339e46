from bench import once


def test_quick_run_shows_the_three_ways_side_by_side(capsys):
    report = once.measure(quick=True)
    rows = {row.way: row for row in report.histories}
    assert rows["owned intervals"].keys_over_one == 0
    assert rows["owned intervals"].untrue_not_run == 0
    assert rows["memory owner"].keys_over_one > 0
    served = {outage.way: outage.served_ratio for outage in report.outages}
    assert served["claim on log"] == 0
    assert served["owned intervals"] == 1
    assert {item.way: item.path_appends_per_payment for item in report.outages} == {
        "claim on log": 1,
        "memory owner": 0,
        "owned intervals": 0,
    }
    once.print_report(report)
    assert "owned intervals" in capsys.readouterr().out


def test_a_longer_interval_survives_longer_and_blocks_longer():
    short, long = (once.run_trade(interval_ms, 1) for interval_ms in (20_000, 40_000))
    assert short.interval_ms / 2 <= short.survived_ms[0] < long.survived_ms[0]
    assert short.blocked_ms[0] < long.blocked_ms[0] <= long.interval_ms + 5000
