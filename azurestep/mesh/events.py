"""Numbered log events of the node on the platform."""

import logging

from ..events import Event, register
from .line_writer import LineWriter

STARTED = register(9001, logging.INFO, "sidecar started")
STOPPING = register(9002, logging.INFO, "sidecar is stopping")
STOPPED = register(9003, logging.INFO, "sidecar stopped")
RELOADED = register(9004, logging.INFO, "settings reloaded")
SETTINGS_REFUSED = register(
    9005, logging.ERROR, "settings refused, the former ones stay", "mend the file"
)
TASK_FAILED = register(
    9007,
    logging.ERROR,
    "a part of the node ended by an error",
    "report the cause; restart the node if it does not serve",
)
LOOP_STALLED = register(
    9008,
    logging.WARNING,
    "this node stood still",
    "look at the instance's processor if it comes often",
)
HANDLER_FAILED = register(
    9009,
    logging.ERROR,
    "a request could not be handled, its connection is closed",
    "report the cause: it is an error of the program",
)
FAULT = register(
    9010,
    logging.ERROR,
    "a fault of the program ended one request or one piece of work",
    "report the line with its traceback; the rest of the node goes on",
)
STORE_LOST = register(
    9101,
    logging.WARNING,
    "the platform's store does not answer",
    "nothing, if the store is known to be away; the node serves what it holds",
)
STORE_REACHED = register(9102, logging.INFO, "the platform's store answers again")
VERSION = register(9103, logging.INFO, "configuration in force")
VERSION_REFUSED = register(
    9104,
    logging.ERROR,
    "a configuration can't be read, the former one stays",
    "publish one of the agreed shape",
)
RECORD_UNREADABLE = register(
    9105,
    logging.ERROR,
    "records of the store can't be read, the others hold",
    "find out who wrote to that topic",
)
PEER_LOST = register(
    9201,
    logging.WARNING,
    "a node does not answer",
    "nothing, if that instance was stopped; else look at the network between both",
)
PEER_REACHED = register(9202, logging.INFO, "a node answers")
PEER_MALFORMED = register(
    9203,
    logging.ERROR,
    "a message of a node can't be read",
    "compare the versions of the program on both instances",
)
BACKEND_ANNOUNCED = register(9301, logging.INFO, "backend server announced")
BACKEND_LEAVING = register(9302, logging.INFO, "backend server is leaving")
BACKEND_LOST = register(
    9303,
    logging.WARNING,
    "the backend server takes no connections",
    "look at the backend server; requests go to others until it is back",
)
BACKEND_REACHED = register(9304, logging.INFO, "the backend server takes connections")
BACKEND_REPLACED = register(
    9305, logging.INFO, "another backend server answers at the address"
)
ANNOUNCEMENT_REFUSED = register(
    9306,
    logging.ERROR,
    "an announcement can't be read",
    "compare it with the agreed heartbeat",
)
IDLE_CONNECTION_LOST = register(
    9308, logging.INFO, "the backend server had forgotten an idle connection"
)
CRASH_SUSPECTED = register(
    9309,
    logging.WARNING,
    "the backend server died, and requests were under way",
    "look at the requests that are refused as quarantined, if there are any",
)
BACKEND_LOAD = register(
    9310, logging.INFO, "load of the backend server in the last second"
)
BACKEND_PROBED = register(9307, logging.INFO, "health probe answered")
CALL_ENDED = register(9401, logging.INFO, "request answered")
CALL_REFUSED = register(9402, logging.INFO, "request refused, it has not run")
CALL_FAILED = register(
    9403,
    logging.WARNING,
    "request failed, it may have run",
    "look for its id at the node beside the backend server that the line names",
)
CALLER_DISCONNECTED = register(9404, logging.INFO, "the caller left before the answer")
CALL_RETRIED = register(9405, logging.INFO, "request goes to another backend server")
RUN_REFUSED = register(9501, logging.INFO, "run refused beside the backend server")
RUN_FAILED = register(
    9502,
    logging.WARNING,
    "run without a whole answer",
    "look at the backend server at that time; the reason says how it broke off",
)
UNMATCHED_ANSWER = register(9503, logging.INFO, "answer to another request skipped")
RUN_CANCELLED = register(
    9504, logging.INFO, "run cancelled by the node that sent it, before its answer"
)

WRITER = LineWriter()


def log(event: Event, **fields: object) -> None:
    """Log an event with its fields."""
    WRITER.add(event, fields)


def log_routine(event: Event, **fields: object) -> None:
    """Log what went as it should; it is left out before other lines are."""
    WRITER.add(event, fields, routine=True)
