"""What nodes tell each other of themselves, spread by gossip and broadcasts.

Updates travel as positional arrays inside messages; a new field goes to the end
of a class and has a default.
"""

from enum import IntEnum

import attrs

from ..settings import Address


class MemberStatus(IntEnum):
    """What is believed of a member; a higher value wins at the same stamp."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


LIVE = frozenset({MemberStatus.ALIVE, MemberStatus.SUSPECT})


class ServerStatus(IntEnum):
    """State that a backend server announced."""

    READY = 0
    LEAVING = 1


@attrs.frozen
class ServerState:
    """A backend server as its node announces it.

    Attributes
    ----------
    service : str
        Service that it belongs to.
    host, port : str, int
        Where it takes requests.
    incarnation : str
        Name of this run of its process.
    slots : int
        Requests that it runs at once.
    status : int
        A ``ServerStatus``.
    instance : str
        Instance that it runs on.
    node_run : str
        Random name of this run of the node beside it.
    control_port : int
        Control port of that node, on the same IP number.
    """

    service: str
    host: str
    port: int
    incarnation: str
    slots: int
    status: int = ServerStatus.READY
    instance: str = ""
    node_run: str = ""
    control_port: int = 0


@attrs.frozen
class MemberState:
    """A member and what it announces; gossiped inside its data centre.

    Attributes
    ----------
    instance, data_centre, region : str
        Identity and place.
    incarnation : int
        Start of the process in milliseconds since the epoch.
    sequence : int
        Counts the changes that the member itself made to this record.
    status : int
        A ``MemberStatus``.
    host, control_port, operator_port : str, int, int
        Addresses.
    servers : list of ServerState
        Backend servers beside the node.
    log_reachable : bool
        Whether the member's last read of the platform's log succeeded.
    """

    instance: str
    data_centre: str
    region: str
    incarnation: int
    sequence: int
    status: int
    host: str
    control_port: int
    operator_port: int
    servers: list[ServerState] = attrs.field(factory=list)
    log_reachable: bool = True

    @property
    def address(self) -> Address:
        """Control address of the member."""
        return Address(self.host, self.control_port)


@attrs.frozen
class ServiceSummary:
    """Backend servers of a service in one data centre, for the others.

    Attributes
    ----------
    stamp : int
        Counts the changes.
    origin : str
        Instance that made it; it breaks ties between equal stamps.
    """

    data_centre: str
    service: str
    stamp: int
    origin: str
    servers: list[ServerState]


@attrs.frozen
class DataCentreReport:
    """Which version is in force in a data centre, and where to reach it.

    Attributes
    ----------
    stamp, origin : int, str
        Order among the reports, and who made it.
    version, hash : int, bytes
        Version that the report is about.
    members, in_force : int
        Live members, and those that applied the version.
    missing : list of str
        Some of the instances that have not applied it.
    first_ms, last_ms : int
        Wall-clock time of the first and the last application known.
    contacts : list of Address
        Control addresses of the data centre's bridges.
    """

    data_centre: str
    stamp: int
    origin: str
    version: int
    hash: bytes
    members: int
    in_force: int
    missing: list[str]
    first_ms: int
    last_ms: int
    contacts: list[Address] = attrs.field(factory=list)


@attrs.frozen
class CrashedServer:
    """A run of a backend server that died."""

    host: str
    port: int
    incarnation: int


@attrs.frozen
class SuspectRequest:
    """A request in flight on backend servers as they died.

    Attributes
    ----------
    data_centre, origin : str
        Where it was noticed.
    service : str
        Service that the request went to.
    fingerprint : int
        Which request.
    stamp : int
        Order among what its origin says of it.
    dead : list of CrashedServer
        Backend servers that died with it in flight.
    refused_for_ms : int
        Rest of the refusal; 0 for a mere suspect.
    """

    data_centre: str
    service: str
    fingerprint: int
    origin: str
    stamp: int
    dead: list[CrashedServer]
    refused_for_ms: int = 0


Update = MemberState | ServiceSummary | DataCentreReport | SuspectRequest
