"""``azurestep keys``: make the key pair of a fleet."""

import zmq

from ...environment import Environment
from ...output.results import KeysResult
from ...output.writer import write_result
from ...settings import FleetKey
from ...status import ExitStatus
from ..options import KeysOptions


def run_keys_command(options: KeysOptions, environment: Environment) -> ExitStatus:
    """Write a new CURVE key pair."""
    public, secret = zmq.curve_keypair()
    key = FleetKey(public.decode(), secret.decode())
    write_result(KeysResult(key), options.as_json, environment)
    return ExitStatus.OK
