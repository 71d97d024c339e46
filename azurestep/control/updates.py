"""Records that nodes replicate by gossip and broadcasts.

Updates are encoded as positional arrays; a new field must go to the end of its
class and have a default.
"""

from enum import IntEnum

import attrs

from ..settings import Address


class MemberStatus(IntEnum):
    """Status of a member; the higher value wins between equal stamps."""

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
    """A backend server as announced by its node.

    Attributes
    ----------
    service : str
        Service that it provides.
    host, port : str, int
        Address at which it accepts requests.
    incarnation : str
        Identifier of this run of the process.
    slots : int
        Maximum number of concurrent requests.
    status : int
        A ``ServerStatus``.
    instance : str
        Instance that it runs on.
    node_run : str
        Random identifier of this run of its node.
    control_port : int
        Control port of that node, at the same IP address.
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
    """State of a member; gossiped within its data centre.

    Attributes
    ----------
    instance, data_centre, region : str
        Identity and location.
    incarnation : int
        Start of the process in milliseconds since the epoch.
    sequence : int
        Number of changes that the member itself made to this record.
    status : int
        A ``MemberStatus``.
    host, control_port, operator_port : str, int, int
        Addresses.
    servers : list of ServerState
        Backend servers of the same instance.
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
    """Backend servers of a service in one data centre, for remote ones.

    Attributes
    ----------
    stamp : int
        Number of changes so far.
    origin : str
        Instance that published it; breaks ties between equal stamps.
    """

    data_centre: str
    service: str
    stamp: int
    origin: str
    servers: list[ServerState]


@attrs.frozen
class DataCentreReport:
    """Version in force in a data centre, and addresses to contact it.

    Attributes
    ----------
    stamp, origin : int, str
        Order of the reports, and the instance that published this one.
    version, hash : int, bytes
        Version that the report is about.
    members, in_force : int
        Number of live members, and of those that applied the version.
    missing : list of str
        Instances that have not applied it; the list is limited in length.
    first_ms, last_ms : int
        Wall-clock times at which the first and the last instance applied it.
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
    """A run of a backend server that crashed."""

    host: str
    port: int
    incarnation: int


@attrs.frozen
class SuspectRequest:
    """A request that was in flight at backend servers when they crashed.

    Attributes
    ----------
    data_centre, origin : str
        Data centre and instance that detected it.
    service : str
        Service that the request went to.
    fingerprint : int
        Hash that identifies the request.
    stamp : int
        Order of the updates that its origin published about it.
    dead : list of CrashedServer
        Backend servers that crashed while it was in flight.
    refused_for_ms : int
        Remaining time for which it is refused; 0 if it is only suspected.
    """

    data_centre: str
    service: str
    fingerprint: int
    origin: str
    stamp: int
    dead: list[CrashedServer]
    refused_for_ms: int = 0


Update = MemberState | ServiceSummary | DataCentreReport | SuspectRequest
