"""Readings from outside a process: processor time, memory and sockets."""

import asyncio
import os
import pathlib
import re

import attrs

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# IP and TCP headers of a segment, with the timestamp option of TCP.
SEGMENT_HEADER_BYTES = 52


@attrs.frozen
class ProcessUse:
    """What a process has used.

    Attributes
    ----------
    processor_s : float
        Processor time in user and kernel mode since its start.
    resident_mb : float
        Resident memory.
    """

    processor_s: float
    resident_mb: float


def process_use(pid: int) -> ProcessUse:
    """Return what a process has used so far."""
    root = pathlib.Path("/proc") / str(pid)
    fields = (root / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int((root / "statm").read_text().split()[1])
    return ProcessUse(ticks / TICKS_PER_S, pages * PAGE_BYTES / 2**20)


@attrs.frozen
class SocketUse:
    """TCP payload and segments of a process's control connections."""

    sent_bytes: int
    received_bytes: int
    sent_segments: int
    received_segments: int

    @property
    def sent_wire_bytes(self) -> int:
        """Bytes sent with the headers of IP and TCP."""
        return self.sent_bytes + self.sent_segments * SEGMENT_HEADER_BYTES

    @property
    def received_wire_bytes(self) -> int:
        """Bytes received with the headers of IP and TCP."""
        return self.received_bytes + self.received_segments * SEGMENT_HEADER_BYTES


async def socket_use(ports: set[int]) -> dict[int, SocketUse]:
    """Return the use of the connections from or to control ports, by process.

    Only connections that are open count; ``ss`` reads them from the kernel.
    """
    process = await asyncio.create_subprocess_exec(
        "ss", "-tinpOH", stdout=asyncio.subprocess.PIPE
    )
    output, _ = await process.communicate()
    found: dict[int, list[int]] = {}
    for line in output.decode().splitlines():
        fields = line.split()
        ends = {int(end.rpartition(":")[2]) for end in fields[3:5]}
        owner = re.search(r"pid=(\d+)", line)
        if owner is None or not ends & ports:
            continue
        sums = found.setdefault(int(owner[1]), [0, 0, 0, 0])
        for index, name in enumerate(
            ("bytes_sent", "bytes_received", "segs_out", "segs_in")
        ):
            value = re.search(rf"\b{name}:(\d+)", line)
            sums[index] += int(value[1]) if value else 0
    return {pid: SocketUse(*sums) for pid, sums in found.items()}
