"""The target's numbers, and what is assumed where it gives none."""

import attrs

from azurestep.once import OnceSettings

DAY_S = 86_400


@attrs.frozen
class Target:
    """What the system has to carry.

    Attributes
    ----------
    nodes, services, regions, data_centres : int
        Size.
    calls_per_s : int
        Calls over the whole fleet.
    call_depth : int
        Longest chain of calls.
    added_p99_ms : float
        Time that a call may gain.
    changes_per_day : int
        Accepted changes of the configuration.
    in_force_s : float
        Time within which a change is in force everywhere.
    processor_ratio : float
        Share of a core that a node may spend on control.
    memory_mb : int
        Memory that a node may use.
    control_bytes_per_s : int
        Control bytes that a node may spend, sent and received together.
    failures_per_day, restarts_per_day : int
        Instances that fail, and that are restarted or replaced.
    """

    nodes: int = 1100
    services: int = 73
    regions: int = 2
    data_centres: int = 6
    calls_per_s: int = 290_000
    call_depth: int = 18
    added_p99_ms: float = 0.76
    changes_per_day: int = 2700
    in_force_s: float = 17.0
    processor_ratio: float = 0.027
    memory_mb: int = 256
    control_bytes_per_s: int = 2000
    failures_per_day: int = 4
    restarts_per_day: int = 240

    @property
    def members(self) -> int:
        """Nodes of a data centre."""
        return self.nodes // self.data_centres

    @property
    def changes_per_s(self) -> float:
        """Mean rate of changes."""
        return self.changes_per_day / DAY_S

    @property
    def restarts_per_s(self) -> float:
        """Mean rate of restarts over the fleet, failures included."""
        return (self.restarts_per_day + self.failures_per_day) / DAY_S

    @property
    def calls_per_node_per_s(self) -> float:
        """Calls that a node takes, if every call passes one node."""
        return self.calls_per_s / self.nodes


@attrs.frozen
class Assumptions:
    """Counts that the target does not give.

    Attributes
    ----------
    member_updates_per_restart : int
        Updates of a member that a restart causes in its data centre: leaving
        servers, left, alive again, suspected and refuted, servers ready.
    summary_updates_per_restart : int
        Updates of a service's summary that a restart causes everywhere.
    reports_per_change : float
        Reports that a data centre publishes for a change, when the runs of
        the scale measurement didn't count them.
    owners : int
        Nodes that own keys at most: one for each slot of the fleet's key space.
    ownership_records_per_owner_per_s : float
        An owner extends its interval of 600 s every 300 s at the latest.
    platform_appends_per_s : int
        What the platform takes: several hundred.
    """

    member_updates_per_restart: int = 6
    summary_updates_per_restart: int = 3
    reports_per_change: float = 3.0
    owners: int = OnceSettings().slot_count
    ownership_records_per_owner_per_s: float = 1 / 300
    platform_appends_per_s: int = 300


TARGET = Target()
ASSUMED = Assumptions()
