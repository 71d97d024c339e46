import pytest

from tools.known_red import KnownRed, read_known_red

LISTED = pytest.StashKey[list[KnownRed]]()


def pytest_configure(config: pytest.Config) -> None:
    try:
        config.stash[LISTED] = read_known_red()
    except ValueError as error:
        raise pytest.UsageError(str(error)) from error


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    by_name = {known.test: known for known in config.stash[LISTED]}
    found = {item.nodeid for item in items}
    for item in items:
        known = by_name.get(item.nodeid)
        if known is not None:
            reason = f"{known.cause} (issue {known.issue})"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))
    is_whole_run = not config.option.keyword and config.args == config.getini(
        "testpaths"
    )
    unknown = sorted(set(by_name) - found)
    if is_whole_run and unknown:
        raise pytest.UsageError(f"KNOWN-RED.txt names no test: {', '.join(unknown)}")


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    for known in config.stash[LISTED]:
        terminalreporter.write_line(
            f"KNOWN RED: {known.test}: {known.cause} (issue {known.issue})"
        )
