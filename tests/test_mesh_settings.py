"""Parsing of the settings file."""

import contextlib
import pathlib
import re

import orjson
import pytest

from azurestep.errors import SettingsError
from azurestep.mesh.settings import decode_settings, read_settings

TEMPLATE = pathlib.Path(__file__).parents[1] / "deploy" / "settings.json"
VALUES = {
    "node": "node-1",
    "zone": "dc-1",
    "service": "shop",
    "first_start": True,
    "ip_address": "10.1.0.4",
    "listen_addresses.outbound": "10.1.0.4:8629",
    "listen_addresses.inbound": "10.1.0.4:8624",
    "listen_addresses.ready": "10.1.0.4:8625",
    "listen_addresses.control": "10.1.0.4:8620",
    "application_address": "10.1.0.4:8628",
    "limits.link_mbps": 3.5,
    "limits.file_descriptors": 2048,
    "limits.memory_mb": 300,
    "bounds": {"drain": "2500ms", "retry_budget_ratio": 0.2, "recovery": "15s"},
    "platform": {"address": "10.2.0.7:8627", "form": "log"},
}

OPTIONAL_FIELDS = {"file_descriptors", "memory_mb"}


def rendered() -> dict[str, object]:
    """Render the settings template as the platform does."""
    text = re.sub(
        r"\{\{([^|}]+)\|json\}\}",
        lambda found: orjson.dumps(VALUES[found.group(1)]).decode(),
        TEMPLATE.read_text(),
    )
    fields: dict[str, object] = orjson.loads(text)
    return fields


def test_rendered_template_is_valid() -> None:
    settings = decode_settings(rendered())
    assert settings.caller_address == ("10.1.0.4", 8629)
    assert settings.peer_address == ("10.1.0.4", 8624)
    assert settings.store_address == ("10.2.0.7", 8627)
    assert settings.bounds.drain_ms == 2500.0
    assert settings.bounds.retry_ratio == 0.2
    assert settings.link_mbps == 3.5
    assert settings.file_descriptors == 2048
    assert settings.memory_mb == 300


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("caller_address", "10.1.0.4"),
        ("peer_address", None),
        ("bounds", {"drain": "-1s"}),
        ("store", {}),
        ("metrics_port", "x"),
        ("metrics_port", 0),
        ("metrics_port", 65536),
        ("metrics_port", 10**30),
        ("metrics_port", float("inf")),
        ("metrics_port", True),
        ("ip_address", None),
        ("ip_address", "10.1.0.4\x00"),
        ("caller_address", "10.1.0.4\x00:8629"),
        ("caller_address", "10.1.0.4:\u00b2"),
        ("caller_address", "h\u00f6st:8629"),
        ("bounds", []),
        ("bounds", "2s"),
        ("bounds", None),
        ("bounds", {"drain": -1}),
        ("bounds", {"drain": float("inf")}),
        ("bounds", {"drain": float("nan")}),
        ("bounds", {"drain": [1]}),
        ("store", []),
        ("store", None),
        ("store", {"address": [1]}),
        ("instance", None),
        ("instance", []),
        ("data_centre", {}),
        ("service", ["shop"]),
        ("link_mbps", "wide"),
        ("link_mbps", -1.0),
        ("link_mbps", [1]),
        ("file_descriptors", -1),
        ("file_descriptors", "many"),
        ("memory_mb", -1),
    ],
)
def test_invalid_field_is_rejected_with_a_remedy(field: str, value: object) -> None:
    with pytest.raises(SettingsError) as error:
        decode_settings({**rendered(), field: value})
    assert error.value.remedy


@pytest.mark.parametrize("field", list(rendered()))
@pytest.mark.parametrize(
    "value", [[], [1], 7, -1, float("inf"), "\x00", {"drain": [1]}]
)
def test_a_wrong_shape_raises_an_internal_error(field: str, value: object) -> None:
    """A list of bounds raised AttributeError, which ended the process with 1."""
    with contextlib.suppress(SettingsError):
        decode_settings({**rendered(), field: value})


@pytest.mark.parametrize("fields", [None, [], "x", 7, {}])
def test_a_document_that_is_no_object_is_rejected(fields: object) -> None:
    with pytest.raises(SettingsError):
        decode_settings(fields)  # type: ignore[arg-type]


def test_missing_field_is_rejected() -> None:
    for field in rendered().keys() - OPTIONAL_FIELDS:
        with pytest.raises(SettingsError):
            decode_settings({k: v for k, v in rendered().items() if k != field})


def test_an_unknown_link_rate_is_accepted() -> None:
    assert decode_settings({**rendered(), "link_mbps": None}).link_mbps == 0.0


def test_limits_of_the_instance_may_be_left_out() -> None:
    settings = rendered()
    nulls = decode_settings({**settings, "file_descriptors": None, "memory_mb": None})
    assert (nulls.file_descriptors, nulls.memory_mb) == (0, 0)
    del settings["file_descriptors"], settings["memory_mb"]
    absent = decode_settings(settings)
    assert (absent.file_descriptors, absent.memory_mb) == (0, 0)


def test_invalid_json_and_missing_file_are_rejected(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "settings.json"
    path.write_text("node: 1")
    with pytest.raises(SettingsError):
        read_settings(path)
    with pytest.raises(SettingsError):
        read_settings(tmp_path / "none.json")
