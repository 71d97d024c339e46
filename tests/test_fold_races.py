"""Racing publications never lose a confirmed update."""

from bench.races import BaseVersions, LastWriteWins, Race, run


def test_base_versions_prevent_lost_updates():
    with_rule = run(Race(BaseVersions(), 4, 24, 500.0))
    without = run(Race(LastWriteWins(), 4, 24, 500.0))

    assert with_rule.confirmed == without.confirmed == 24
    assert with_rule.lost_updates == 0 < without.lost_updates
