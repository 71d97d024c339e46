"""Control bytes, processor time and memory of nodes over a stretch of time."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs

from .mesh import Mesh, Reading
from .probes import SocketUse

TAIL_S = 8.0
Activity = Callable[[], Awaitable[int]]


@attrs.frozen
class Window:
    """What the nodes spent over a stretch of time.

    Frame bytes are the bodies counted by ``LinkCounters``. Wire bytes are the
    kernel's count for control connections: frames, ZMTP and CURVE framing,
    handshakes, and 52 bytes of IP and TCP headers per segment.

    Attributes
    ----------
    label : str
        What went on.
    nodes, events : int
        Size of the fleet, and how many times something happened to it.
    duration_s : float
        Length of the window, with the time it takes to settle afterwards.
    sent_bytes_per_s, received_bytes_per_s : float
        Frame bytes of a node, mean over the nodes.
    sent_maximum_bytes_per_s, received_maximum_bytes_per_s : float
        The same of the busiest node.
    sent_frames_per_s, received_frames_per_s : float
        Frames of a node, mean over the nodes.
    sent_wire_bytes_per_s, received_wire_bytes_per_s : float
        Wire bytes of a node, mean over the nodes.
    processor_ratio, processor_maximum_ratio : float
        Share of a core, mean and busiest node.
    resident_mb, resident_maximum_mb : float
        Resident memory at the end, mean and largest.
    log_reads, log_appends, log_out_bytes : int
        Work of the log stand-in in the window.
    """

    label: str
    nodes: int
    events: int
    duration_s: float
    sent_bytes_per_s: float
    received_bytes_per_s: float
    sent_maximum_bytes_per_s: float
    received_maximum_bytes_per_s: float
    sent_frames_per_s: float
    received_frames_per_s: float
    sent_wire_bytes_per_s: float
    received_wire_bytes_per_s: float
    processor_ratio: float
    processor_maximum_ratio: float
    resident_mb: float
    resident_maximum_mb: float
    log_reads: int
    log_appends: int
    log_out_bytes: int


async def measure(mesh: Mesh, label: str, activity: Activity) -> Window:
    """Read all counters before and after an activity and its aftermath.

    Parameters
    ----------
    mesh : Mesh
        Fleet to read.
    label : str
        Name of the window.
    activity : callable
        Does something and returns how many times it did so.
    """
    loop = asyncio.get_running_loop()
    log_before = await mesh.read_log()
    sockets_before = await mesh.read_sockets()
    before = await mesh.read()
    start_s = loop.time()
    events = await activity()
    await asyncio.sleep(TAIL_S)
    after = await mesh.read()
    sockets = await mesh.read_sockets()
    log = await mesh.read_log()
    duration_s = loop.time() - start_s
    spent = [_difference(*pair) for pair in zip(before, after, strict=True)]
    wire = [
        _wire_difference(sockets_before.get(pid), sockets[pid])
        for pid in (node.process.process.pid for node in mesh.nodes)
        if pid in sockets
    ]
    return Window(
        label,
        len(spent),
        events,
        duration_s,
        _mean(r.sent_bytes for r in spent) / duration_s,
        _mean(r.received_bytes for r in spent) / duration_s,
        max(r.sent_bytes for r in spent) / duration_s,
        max(r.received_bytes for r in spent) / duration_s,
        _mean(r.sent_frames for r in spent) / duration_s,
        _mean(r.received_frames for r in spent) / duration_s,
        _mean(use[0] for use in wire) / duration_s,
        _mean(use[1] for use in wire) / duration_s,
        _mean(r.processor_s for r in spent) / duration_s,
        max(r.processor_s for r in spent) / duration_s,
        _mean(r.resident_mb for r in after),
        max(r.resident_mb for r in after),
        log["reads"] - log_before["reads"],
        log["appends"] - log_before["appends"],
        log["out_bytes"] - log_before["out_bytes"],
    )


def _difference(before: Reading, after: Reading) -> Reading:
    """Return what was spent; a restarted node counts from its start."""
    is_restarted = after.sent_bytes < before.sent_bytes
    base = Reading(0, 0, 0, 0, 0.0, 0.0) if is_restarted else before
    return Reading(
        after.sent_bytes - base.sent_bytes,
        after.received_bytes - base.received_bytes,
        after.sent_frames - base.sent_frames,
        after.received_frames - base.received_frames,
        after.processor_s - base.processor_s,
        after.resident_mb,
    )


def _wire_difference(before: SocketUse | None, after: SocketUse) -> tuple[int, int]:
    """Return wire bytes sent and received; closed connections drop out."""
    base = before or SocketUse(0, 0, 0, 0)
    return (
        max(0, after.sent_wire_bytes - base.sent_wire_bytes),
        max(0, after.received_wire_bytes - base.received_wire_bytes),
    )


def _mean(values: "object") -> float:
    listed = [float(value) for value in values]  # type: ignore[attr-defined]
    return sum(listed) / len(listed) if listed else 0.0
