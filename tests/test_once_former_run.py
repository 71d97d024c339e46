"""Requests for an earlier process of an instance are answered "not owner"."""

import asyncio

import pytest

from azurestep.control.messages import OwnerMessage, PackedCall
from azurestep.environment import Environment
from azurestep.node.messages import OwnerMessageReceived
from azurestep.node.once import OnceService
from azurestep.once.messages import Outcome, Reason
from azurestep.once.peers import ForwardedRequest
from azurestep.settings import Settings

CALL = PackedCall("POST", "/licences", "host", [], b"")
REQUEST = ForwardedRequest("r-1", "fleet", "key", "digest", 1000)


@pytest.fixture
def once() -> OnceService:
    settings = Settings("i-1", "dc-1", "127.0.0.1", 1, 2, 3, 4, "http://127.0.0.1:5")
    return OnceService(settings, Environment(), None, asyncio.Queue(), "run-2")


def test_request_for_a_former_process_is_answered_not_owner(once: OnceService) -> None:
    message = OwnerMessage("run-1", "peer-run", REQUEST, CALL)
    once._take(OwnerMessageReceived("i-2", message))
    reply = once.control.get_nowait()
    assert reply.instance == "i-2"
    assert reply.message.receiver_run == "peer-run"
    assert reply.message.message.reason is Reason.NOT_OWNER
    assert reply.message.message.outcome is Outcome.MAY_HAVE_RUN
    assert once._packed_calls == {}
