"""Messages between the tasks of one node."""

import attrs

from ..audit.records import Item
from ..control.messages import AuditItems, AuditReceipt, OwnerMessage
from ..control.updates import DataCentreReport, ServerState
from ..once.messages import Input
from ..platform.records import Page
from ..traffic.directory import Directory
from ..traffic.pool import QuarantineReport
from ..traffic.table import RoutingTable


@attrs.frozen
class ServersChanged:
    """The backend servers beside the node changed."""

    servers: list[ServerState]


@attrs.frozen
class PageRead:
    """The log answered a read."""

    page: Page


@attrs.frozen
class LogLost:
    """A read of the log failed."""

    cause: str


@attrs.frozen
class QuarantineNoticed:
    """The proxy noticed a request that crashes backend servers."""

    report: QuarantineReport


@attrs.frozen
class LeaveRequested:
    """The node is to leave the membership."""


@attrs.frozen
class OwnershipPageRead:
    """The log answered a read of the ownership stream."""

    page: Page


@attrs.frozen
class OwnerMessageOut:
    """A message of the at-most-once decision to another node.

    Attributes
    ----------
    request_id : str
        Request to report if the message can't be sent; empty for none.
    """

    instance: str
    message: OwnerMessage
    request_id: str = ""


@attrs.frozen
class OwnerMessageReceived:
    """A message of the at-most-once decision from another node."""

    instance: str
    message: OwnerMessage


@attrs.frozen
class OwnershipAllowed:
    """The service of the local backend server takes payments."""


@attrs.frozen
class AuditOut:
    """A message about audit items for an instance of this data centre."""

    instance: str
    message: AuditItems | AuditReceipt


ControlInput = (
    QuarantineNoticed
    | AuditOut
    | ServersChanged
    | PageRead
    | LogLost
    | LeaveRequested
    | OwnershipPageRead
    | OwnerMessageOut
)


@attrs.frozen
class ItemArose:
    """Something happened at this node that belongs in the audit trail."""

    item: Item


@attrs.frozen
class AuditMessageReceived:
    """A message about audit items came from another node."""

    instance: str
    message: AuditItems | AuditReceipt


AuditInput = ItemArose | AuditMessageReceived


@attrs.frozen
class TableReady:
    """A new routing table is to be put in force."""

    table: RoutingTable


@attrs.frozen
class DirectoryReady:
    """The backend servers of the services changed."""

    directory: Directory


@attrs.frozen
class QuarantineLearned:
    """Another node noticed a request that crashes backend servers."""

    report: QuarantineReport


TrafficInput = TableReady | DirectoryReady | QuarantineLearned


@attrs.frozen
class MemberView:
    """A member as the status page shows it."""

    instance: str
    status: str
    servers: int
    log_reachable: bool


@attrs.frozen
class NodeStatus:
    """State of a node as the operators' endpoint shows it.

    Attributes
    ----------
    version : int
        Version in force at this node; 0 for none.
    hash : str
        Hash of that version, in hexadecimal.
    as_of : int
        Offset of the log up to which the version is known to be current.
    preset : str
        Preset in force; empty for none.
    log_age_ms : int or None
        Time since the log, or a peer that reads it, was last heard.
    """

    instance: str
    data_centre: str
    version: int
    hash: str
    as_of: int
    preset: str
    is_reader: bool
    is_bridge: bool
    in_flight: int
    members: list[MemberView]
    reports: list[DataCentreReport]


OnceInput = Input | OwnerMessageReceived | OwnershipAllowed
