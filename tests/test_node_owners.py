import asyncio

from azurestep.control.codec import Envelope
from azurestep.control.messages import OwnerMessage, Sender
from azurestep.environment import Environment
from azurestep.node.control import ControlService
from azurestep.node.messages import OwnerMessageOut
from azurestep.once.messages import Outcome, Reason
from azurestep.once.peers import ForwardedRequest, OwnerAnswer
from azurestep.settings import Settings

SETTINGS = Settings("i-1", "dc-1", "127.0.0.1", 1, 2, 3, 4, "http://127.0.0.1:5")
PEER = Sender("i-2", "dc-2", 1, "127.0.0.1", 7002)


def test_answer_reaches_a_node_that_is_in_no_directory_yet() -> None:
    control = ControlService(SETTINGS, Environment(), asyncio.Queue())
    sent = []
    control.links.send = lambda to, message, on_drop=None: sent.append(to)
    request = ForwardedRequest("r-1", "fleet", "key", "digest", 1000)
    control._take_message(Envelope(PEER, OwnerMessage("run-1", "peer-run", request)))
    answer = OwnerAnswer("r-1", Outcome.MAY_HAVE_RUN, Reason.NOT_OWNER)
    reply = OwnerMessage("peer-run", "run-1", answer)
    control._take(OwnerMessageOut("i-2", reply))
    assert sent == [PEER.address]
