"""Numbered log events of the node, each with a summary and a remedy."""

import logging

from ..events import Event, register
from .line_writer import LineWriter

STARTED = register(9001, logging.INFO, "node started")
STOPPING = register(9002, logging.INFO, "node shutting down")
STOPPED = register(9003, logging.INFO, "node stopped")
RELOADED = register(9004, logging.INFO, "settings reloaded")
SETTINGS_REJECTED = register(
    9005, logging.ERROR, "settings rejected, previous ones kept", "correct the file"
)
TASK_FAILED = register(
    9007,
    logging.ERROR,
    "background task failed with an internal error",
    "report the cause; restart the node if it doesn't serve requests",
)
LOOP_STALLED = register(
    9008,
    logging.WARNING,
    "event loop stalled",
    "check the processor load of the instance if this recurs",
)
HANDLER_FAILED = register(
    9009,
    logging.ERROR,
    "internal error, the connection of the request is closed",
    "report the line with its cause",
)
FAULT = register(
    9010,
    logging.ERROR,
    "internal error, one request or task ended",
    "report the line with its traceback; the node keeps running",
)
SETTINGS_AWAITED = register(
    9021,
    logging.WARNING,
    "start waits for valid settings",
    "correct the file if the start ends with status 3",
)
ADDRESS_AWAITED = register(
    9022,
    logging.WARNING,
    "start waits for a listening address",
    "stop the process that uses the address if the start ends with status 9",
)
STORE_LOST = register(
    9101,
    logging.WARNING,
    "platform store unavailable",
    "none if the outage is known; the node keeps its configuration",
)
STORE_REACHED = register(9102, logging.INFO, "platform store available again")
VERSION = register(9103, logging.INFO, "configuration in force")
VERSION_REJECTED = register(
    9104,
    logging.ERROR,
    "configuration rejected, previous one kept",
    "publish a valid configuration",
)
RECORD_UNREADABLE = register(
    9105,
    logging.ERROR,
    "malformed records in the store ignored",
    "find the writer of the records in that topic",
)
STORE_RETURNED = register(
    9106,
    logging.WARNING,
    "platform store returned from an older copy",
    "check that the latest configuration was published again; the node keeps its own",
)
READER = register(
    9107, logging.INFO, "reader of the data centre's configuration began or ended"
)
VERSION_SENT = register(9108, logging.INFO, "configuration sent to peers")
PEER_LOST = register(
    9201,
    logging.WARNING,
    "peer unreachable",
    "none if that instance was stopped; else check the network between both",
)
PEER_REACHED = register(9202, logging.INFO, "peer connected")
PEER_MALFORMED = register(
    9203,
    logging.ERROR,
    "malformed message from a peer",
    "compare the program versions on both instances",
)
BACKEND_ANNOUNCED = register(9301, logging.INFO, "backend server announced")
BACKEND_LEAVING = register(9302, logging.INFO, "backend server is leaving")
BACKEND_LOST = register(
    9303,
    logging.WARNING,
    "backend server refuses connections",
    "check the backend server; others get its requests until it is back",
)
BACKEND_REACHED = register(9304, logging.INFO, "backend server accepts connections")
BACKEND_REPLACED = register(
    9305, logging.INFO, "another backend server responds at the address"
)
ANNOUNCEMENT_REJECTED = register(
    9306,
    logging.ERROR,
    "announcement rejected",
    "compare it with the agreed heartbeat format",
)
IDLE_CONNECTION_LOST = register(
    9308, logging.INFO, "backend server had closed an idle connection"
)
CRASH_SUSPECTED = register(
    9309,
    logging.WARNING,
    "backend server crashed with requests in flight",
    "check the requests that are refused as quarantined, if any",
)
BACKEND_LOAD = register(9310, logging.INFO, "backend server load in the last second")
BACKEND_RATE_LIMIT = register(
    9311,
    logging.INFO,
    "backend server set or lifted a request rate limit",
    "find out why the backend server needs relief; others get the requests beyond it",
)
BACKEND_NOTICE_MALFORMED = register(
    9312,
    logging.WARNING,
    "malformed notice in an answer of the backend server ignored",
    "correct the header that the backend server sends",
)
BACKEND_NOTICE_UNKNOWN = register(
    9313,
    logging.WARNING,
    "unknown notice in an answer of the backend server",
    "look the header up in the platform's contract; nothing acts on it",
)
BACKEND_SPEED = register(
    9320, logging.INFO, "nearby nodes were told how long work takes"
)
FORMER_RUNS = register(
    9321, logging.INFO, "runs of the node's former process occupy the backend server"
)
BACKEND_PROBED = register(9307, logging.INFO, "health probe answered")
CALL_ENDED = register(9401, logging.INFO, "request answered")
CALL_REFUSED = register(9402, logging.INFO, "request refused before it ran")
CALL_FAILED = register(
    9403,
    logging.WARNING,
    "request failed, it may have run",
    "search the log of the node beside that backend server for the request id",
)
CALLER_DISCONNECTED = register(
    9404, logging.INFO, "caller disconnected before the answer"
)
CALL_RETRIED = register(9405, logging.INFO, "request retried at another backend server")
CALLER_REJECTED = register(
    9406,
    logging.WARNING,
    "request rejected while it was read",
    "compare what the caller sent with the limits of the configuration",
)
CALLER_ENDED = register(
    9411,
    logging.WARNING,
    "connection of a caller reset for the sake of the node",
    "find callers that open many connections or leave their answers unread",
)
RUN_REFUSED = register(
    9501, logging.INFO, "request refused by the node beside the backend server"
)
RUN_FAILED = register(
    9502,
    logging.WARNING,
    "request ended without a complete answer",
    "check the backend server at that time; the reason tells how the request ended",
)
UNMATCHED_ANSWER = register(9503, logging.INFO, "answer to another request discarded")
RUN_CANCELLED = register(
    9504, logging.INFO, "request cancelled by the sending node before the answer"
)
ANSWER_ENDLESS = register(
    9505,
    logging.WARNING,
    "backend server sent bytes that are no answer, without end",
    "check the backend server; its connection was reset and the request failed",
)

ROLLOUT_BEGUN = register(9601, logging.INFO, "roll-out of a version begun")
ROLLOUT_PHASE = register(9602, logging.INFO, "roll-out entered a phase")
ROLLOUT_EVIDENCE = register(9603, logging.INFO, "roll-out decided by these runs")
ROLLOUT_REJECTED = register(
    9604,
    logging.ERROR,
    "malformed order of a roll-out ignored",
    "write the order again with service, new_version and duration",
)

QUOTA_LIMITED = register(
    9701,
    logging.INFO,
    "team has used up its quota",
    "ask the team to send less, or raise its limit in the configuration",
)
QUOTA_RELEASED = register(9702, logging.INFO, "team is below its quota again")
QUOTA_OWNER = register(
    9703, logging.INFO, "node began or ended to be the quota owner of a team"
)

WRITER = LineWriter()


def log(event: Event, **fields: object) -> None:
    """Log an event with its fields."""
    WRITER.add(event, fields)


def log_routine(event: Event, **fields: object) -> None:
    """Log an expected outcome; such lines are dropped before others."""
    WRITER.add(event, fields, routine=True)
