"""Example deployments: sizes, kinds of request and configuration."""

import pathlib

import attrs
import cattrs
import orjson

from azurestep.config.document import Document
from azurestep.config.validate import read_document

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


@attrs.frozen
class ServiceSize:
    """Backend servers of a service in each data centre."""

    name: str
    backend_servers: int
    slots: int


@attrs.frozen
class RequestKind:
    """A kind of request that callers send."""

    name: str
    method: str
    path: str
    bytes: int


@attrs.frozen
class Deployment:
    """An example deployment."""

    name: str
    data_centres: list[str]
    host: str
    services: list[ServiceSize]
    kinds: list[RequestKind]


def load_deployment(name: str) -> Deployment:
    """Read an example's sizes."""
    raw = (EXAMPLES / name / "deployment.json").read_bytes()
    return cattrs.structure(orjson.loads(raw), Deployment)


def load_configuration(name: str) -> Document:
    """Read an example's configuration."""
    return read_document((EXAMPLES / name / "configuration.json").read_bytes()).unwrap()
