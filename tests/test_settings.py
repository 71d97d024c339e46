import pathlib
import socket
from typing import Any

import orjson
import pytest
from returns.result import Failure, Success

from azurestep.settings import check_settings, settings_of
from azurestep.status import ExitStatus

from .fixtures_cli import RunCommand


@pytest.fixture
def plain() -> dict[str, Any]:
    return {
        "instance": "kgn1-catalogue-1",
        "data_centre": "kgn1",
        "host": "127.0.0.1",
        "traffic_port": 8001,
        "control_port": 8002,
        "operator_port": 8003,
        "announce_port": 8004,
        "platform_url": "http://127.0.0.1:7000",
    }


def remedies_of(plain: dict[str, Any]) -> dict[str, str]:
    result = settings_of(orjson.dumps(plain))
    if isinstance(result, Success):
        return {}
    return {fault.path: fault.remedy for fault in result.failure()}


def test_good_settings(plain: dict[str, Any]) -> None:
    settings = settings_of(orjson.dumps(plain)).unwrap()
    assert settings.control_port == 8002
    assert check_settings(settings) == []


def test_every_fault_is_told_at_once(plain: dict[str, Any]) -> None:
    plain |= {
        "host": "localhost",
        "traffic_port": 0,
        "operator_port": "8003",
        "announce_port": 8002,
        "platform_url": "127.0.0.1:7000",
        "log_level": "inform",
        "log_format": "xml",
        "peers": [{"host": "10.0.0.1", "port": 7}, {"host": "peer", "port": True}],
        "fleet_key": {"public_key": "short", "secret_key": "short"},
        "statsd": {"interval_ms": 0},
        "control": {"probe_intervall_ms": 5, "push_fan_out": 999},
    }
    del plain["instance"]
    remedies = remedies_of(plain)
    assert set(remedies) == {
        "$.instance",
        "$.host",
        "$.traffic_port",
        "$.operator_port",
        "$.announce_port",
        "$.platform_url",
        "$.log_level",
        "$.log_format",
        "$.peers[1].host",
        "$.peers[1].port",
        "$.fleet_key.public_key",
        "$.fleet_key.secret_key",
        "$.statsd.interval_ms",
        "$.control.probe_intervall_ms",
        "$.control.push_fan_out",
    }
    assert all(remedies.values())
    assert remedies["$.control.probe_intervall_ms"] == "write 'probe_interval_ms'"
    assert remedies["$.log_level"] == "write 'info'"


@pytest.mark.parametrize("raw", [b"", b"{", b"\xff", b"[]", b"7", b"[" * 9999])
def test_bad_text_is_a_fault(raw: bytes) -> None:
    result = settings_of(raw)
    assert isinstance(result, Failure)
    assert result.failure()[0].path == "$"


@pytest.mark.parametrize("value", [-1, 0, 3_600_001, 1e300, True, None, "1", [], {}])
def test_durations_are_bounded(plain: dict[str, Any], value: Any) -> None:
    plain["control"] = {"suspicion_ms": value}
    assert "$.control.suspicion_ms" in remedies_of(plain)


def test_node_refuses_wrong_settings(
    run_command: RunCommand, plain: dict[str, Any], tmp_path: pathlib.Path
) -> None:
    path = tmp_path / "settings.json"
    path.write_bytes(orjson.dumps(plain | {"log_level": "loud"}))
    result = run_command("node", path)
    assert result.status is ExitStatus.INVALID
    assert "$.log_level" in result.stderr


def test_port_in_use_names_the_setting(
    run_command: RunCommand, plain: dict[str, Any], tmp_path: pathlib.Path
) -> None:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        ports = []
        for _ in range(3):
            with socket.socket() as free:
                free.bind(("127.0.0.1", 0))
                ports.append(free.getsockname()[1])
        plain |= dict(
            zip(["traffic_port", "control_port", "announce_port"], ports, strict=True)
        )
        plain["operator_port"] = taken.getsockname()[1]
        path = tmp_path / "settings.json"
        path.write_bytes(orjson.dumps(plain))
        result = run_command("node", path)
    assert result.status is ExitStatus.PORT_IN_USE
    last = result.stderr.strip().splitlines()[-1]
    assert "set another operator_port" in last
