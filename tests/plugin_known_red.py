import pytest

from tools.known_red import KnownRed, read_known_red

LISTED = pytest.StashKey[list[KnownRed]]()
SEEN = pytest.StashKey[set[str]]()


def pytest_configure(config: pytest.Config) -> None:
    try:
        config.stash[LISTED] = read_known_red()
    except ValueError as error:
        raise pytest.UsageError(str(error)) from error
    config.stash[SEEN] = set()
    config.pluginmanager.register(Watcher(config))


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    by_name = {known.test: known for known in config.stash[LISTED]}
    for item in items:
        known = by_name.get(item.nodeid)
        if known is not None:
            reason = f"{known.cause} (issue {known.issue})"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


class Watcher:
    def __init__(self, config: pytest.Config) -> None:
        self.config = config

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        self.config.stash[SEEN].add(report.nodeid)


def unknown_names(config: pytest.Config) -> list[str]:
    is_whole_run = config.args == config.getini("testpaths")
    if not is_whole_run or config.option.keyword or hasattr(config, "workerinput"):
        return []
    listed = {known.test for known in config.stash[LISTED]}
    return sorted(listed - config.stash[SEEN])


def pytest_sessionfinish(session: pytest.Session) -> None:
    if unknown_names(session.config):
        session.exitstatus = pytest.ExitCode.TESTS_FAILED


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    for known in config.stash[LISTED]:
        terminalreporter.write_line(
            f"KNOWN RED: {known.test}: {known.cause} (issue {known.issue})"
        )
    for name in unknown_names(config):
        terminalreporter.write_line(f"KNOWN-RED.txt names no test: {name}")
