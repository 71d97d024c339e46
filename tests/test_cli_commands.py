import pathlib

import orjson
import pytest

from azurestep import __version__
from azurestep.cli.definition import USAGE
from azurestep.core import STATUSES
from azurestep.status import ExitStatus

from .fixtures_cli import EXAMPLE, RunCommand, WriteConfiguration


def test_version(run_command: RunCommand) -> None:
    result = run_command("--version")
    assert (result.status, result.stdout.strip()) == (ExitStatus.OK, __version__)


def test_help_names_every_exit_status(run_command: RunCommand) -> None:
    result = run_command("--help")
    assert result.stdout == USAGE
    listed = USAGE[USAGE.index("Exit status:") :].split()
    assert {str(status.value) for status in ExitStatus} <= set(listed)
    assert set(STATUSES.values()) <= set(ExitStatus)


@pytest.mark.parametrize(
    "arguments", [[], ["publsh"], ["publish"], ["status", "--nod", "x", "extra"]]
)
def test_wrong_usage(run_command: RunCommand, arguments: list[str]) -> None:
    result = run_command(*arguments)
    assert result.status is ExitStatus.USAGE
    assert "Usage:" in result.stderr


@pytest.mark.parametrize("seconds", ["0", "-1", "nan", "soon", "1e9"])
def test_timeout_must_be_a_time(run_command: RunCommand, seconds: str) -> None:
    result = run_command("publish", EXAMPLE, "--timeout", seconds)
    assert result.status is ExitStatus.USAGE
    assert "Give seconds" in result.stderr


def test_missing_node_names_the_remedy(run_command: RunCommand) -> None:
    result = run_command("status")
    assert result.status is ExitStatus.USAGE
    assert "AZURESTEP_NODE" in result.stderr


@pytest.mark.parametrize(
    "arguments",
    [
        ["--metrics", "127.0.0.1"],
        ["--metrics", "127.0.0.1:0"],
        ["--metrics", "127.0.0.1:1", "--settings", "settings.json"],
        ["--metrics", "127.0.0.1:1", "--node", "http://127.0.0.1:1"],
    ],
)
def test_status_takes_one_valid_address(
    run_command: RunCommand, arguments: list[str]
) -> None:
    """Guards against a guess which of two nodes was meant."""
    result = run_command("status", *arguments)
    assert result.status is ExitStatus.USAGE


def test_status_tells_a_node_on_the_platform_that_is_away(
    run_command: RunCommand,
) -> None:
    """Guards against a traceback where no node listens."""
    result = run_command("status", "--metrics", "127.0.0.1:1")
    assert result.status is ExitStatus.NODE_UNREACHABLE
    assert "127.0.0.1:1" in result.stderr


def test_status_tells_settings_that_can_not_be_used(
    run_command: RunCommand, tmp_path: pathlib.Path
) -> None:
    """Guards against a settings file of the other kind of node."""
    path = tmp_path / "settings.json"
    path.write_text('{"instance": "a"}')
    for result in (
        run_command("status", "--settings", path),
        run_command("status", AZURESTEP_BOOT=str(path)),
    ):
        assert result.status is ExitStatus.INVALID
        assert "deploy/settings.json" in result.stderr


def test_check_tells_each_fault(
    run_command: RunCommand, write_configuration: WriteConfiguration
) -> None:
    path = write_configuration(
        active_preset="carnival", routes=[{"name": "A", "service": "gone"}]
    )
    result = run_command("check", EXAMPLE, path, "--json")
    assert result.status is ExitStatus.INVALID
    first, second = result.json["files"]
    assert first["faults"] == []
    paths = {fault["path"] for fault in second["faults"]}
    assert {"$.active_preset", "$.routes[0].name", "$.routes[0].service"} <= paths
    assert all(fault["remedy"] for fault in second["faults"])


def test_check_tells_settings_from_configurations(
    run_command: RunCommand, tmp_path: pathlib.Path
) -> None:
    path = tmp_path / "settings.json"
    path.write_bytes(
        orjson.dumps({"instance": "a", "data_centre": "b", "hots": "127.0.0.1"})
    )
    result = run_command("check", path, "--json")
    (checked,) = result.json["files"]
    assert checked["kind"] == "settings"
    remedies = {fault["path"]: fault["remedy"] for fault in checked["faults"]}
    assert remedies["$.hots"] == "write 'host'"


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b'{"format": 1, "active_pre',
        b"\xff\xfe{}",
        b"[" * 100_000,
        b'{"a":' * 100_000,
        b"[]",
        b" " * (5 * 1024 * 1024),
        b'{"format": 1, "active_preset": "\xed\xa0\x80"}',
    ],
)
def test_check_survives_bad_bytes(
    run_command: RunCommand, tmp_path: pathlib.Path, raw: bytes
) -> None:
    path = tmp_path / "bad.json"
    path.write_bytes(raw)
    result = run_command("check", path, "--json")
    assert result.status is ExitStatus.INVALID
    (checked,) = result.json["files"]
    assert all(fault["path"].startswith("$") for fault in checked["faults"])


def test_check_names_a_file_that_is_not_there(run_command: RunCommand) -> None:
    result = run_command("check", "/nowhere/at-all.json")
    assert result.status is ExitStatus.INVALID
    assert "name a readable file" in result.stdout


def test_keys_make_a_pair(run_command: RunCommand) -> None:
    key = run_command("keys", "--json").json["fleet_key"]
    assert len(key["public_key"]) == len(key["secret_key"]) == 40


def test_debug_shows_a_traceback(run_command: RunCommand) -> None:
    plain = run_command("node", "/nowhere.json")
    debug = run_command("node", "/nowhere.json", "--debug")
    assert "Traceback" not in plain.stderr
    assert "Traceback" in debug.stderr


def test_operator_settings_give_defaults(
    run_command: RunCommand, tmp_path: pathlib.Path
) -> None:
    path = tmp_path / "operator.json"
    path.write_text('{"node_url": "http://127.0.0.1:1"}')
    result = run_command("status", AZURESTEP_OPERATOR_SETTINGS=str(path))
    assert result.status is ExitStatus.NODE_UNREACHABLE
    assert "127.0.0.1:1" in result.stderr


def test_wrong_operator_settings_name_the_fields(
    run_command: RunCommand, tmp_path: pathlib.Path
) -> None:
    path = tmp_path / "operator.json"
    path.write_text('{"node": "http://127.0.0.1:1"}')
    result = run_command("status", AZURESTEP_OPERATOR_SETTINGS=str(path))
    assert result.status is ExitStatus.INVALID
    assert "node_url" in result.stderr


def test_errors_are_json_for_programs(run_command: RunCommand) -> None:
    result = run_command("status", "--json", "--node", "http://127.0.0.1:1")
    error = orjson.loads(result.stderr)
    assert error["error"] == "NodeUnreachableError"
    assert error["remedy"]
