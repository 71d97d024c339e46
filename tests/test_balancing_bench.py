"""Results that the quick run of the overload benchmark must reach."""

import orjson
import pytest

from bench import amplification
from bench.overload import main
from bench.overload_runs import Policy, Scenario, run
from bench.quarantine_trial import QuarantinePolicy, QuarantineScenario, Trial

DECISIONS = Policy("decisions", "decisions")
ROUND_ROBIN = Policy("round robin", "round_robin")


def test_quick_run_writes_every_table(tmp_path, capsys):
    output = tmp_path / "overload.json"
    assert main(["--quick", "--output", str(output)]) == 0
    tables = orjson.loads(output.read_bytes())["tables"]
    assert all(tables.values())
    assert len(tables) == 6
    assert "retry amplification" in capsys.readouterr().out


@pytest.mark.parametrize("node_count", [6, 120])
def test_overload_serves_more_than_the_baseline(node_count):
    scenario = Scenario("overload", 4.0, duration_ms=4000.0, node_count=node_count)
    decisions, round_robin = run(scenario, DECISIONS), run(scenario, ROUND_ROBIN)
    assert decisions.good_ratio > 1.1 * round_robin.good_ratio
    assert decisions.good_by_class["payment"] > 0.8
    assert decisions.refusal_p99_ms < 150.0


def test_nothing_is_refused_without_overload():
    scenario = Scenario("usual", 0.8, duration_ms=4000.0, node_count=30)
    assert run(scenario, DECISIONS).refused_ratio < 0.001


def test_the_same_seed_gives_the_same_figures():
    scenario = Scenario("overload", 2.0, usual_ms=500.0, duration_ms=500.0)
    assert run(scenario, DECISIONS) == run(scenario, DECISIONS)


def test_retries_multiply_unless_budget_and_final_header_limit_them():
    no_rules, _, nearest_hop, both_rules = (
        amplification.measure(policy, 6, 1.0, 200) for policy in amplification.POLICIES
    )
    assert no_rules.reached == 64.0
    assert nearest_hop.reached == 2.0
    assert both_rules.reached < 1.2


def test_quarantine_bounds_the_servers_that_one_request_crashes():
    scenario = QuarantineScenario("poison", poison=True, herd=0)
    without = Trial(scenario, QuarantinePolicy("none", 0), 1).run()
    with_quarantine = Trial(scenario, QuarantinePolicy("two", 2), 1).run()
    assert without.taken_down > 20
    assert with_quarantine.taken_down <= 3
