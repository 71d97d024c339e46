"""Nodes that are killed at once and come back cold, on the model of waves of demand."""

import gc
from random import Random
from typing import Any

import attrs

from azurestep.mesh.decisions import choice
from azurestep.mesh.decisions.admission import Admission, Ticket
from azurestep.mesh.decisions.choice import MeanRunTimes
from azurestep.mesh.decisions.speed import UsualRatio, WorkSpeed

from .speed_model import LOCAL_WAY_MS, SLOTS, Asking, Fleet, Server
from .wave_model import FLEET, PERIOD_MS, Placement, WaveModel, WaveOutcome


@attrs.frozen
class Kill:
    """A share of the nodes that is killed at once, and comes back cold."""

    share: float
    at_ms: float = PERIOD_MS / 4  # the first data centre has its peak
    down_ms: float = 1500.0
    cold_ms: float = 2000.0
    counted_ms: float = 5000.0


class ColdServer(Server):
    """A server that works at half its speed for a while after its start."""

    cold_until_ms = 0.0
    dead = False

    def end_ms(self, start_ms: float, work_ms: float) -> float:
        """Return when work ends that starts at a time."""
        if start_ms < self.cold_until_ms:
            end_ms = super().end_ms(start_ms, work_ms * choice.COLD_RUN_FACTOR)
            if end_ms > self.cold_until_ms:
                done = (self.cold_until_ms - start_ms) / (end_ms - start_ms)
                return super().end_ms(self.cold_until_ms, work_ms * (1 - done))
            return end_ms
        return super().end_ms(start_ms, work_ms)


class KillModel(WaveModel):
    """Discrete events of one run in which a share of the nodes is killed.

    Requests of callers at killed nodes are lost, and the slots that they hold elsewhere
    are free at once. Requests that wait at a killed server are asked again elsewhere,
    those that run there are lost.
    """

    def __init__(
        self,
        chooses: Placement,
        utilization: float,
        seed: int,
        fleet: Fleet,
        kill: Kill,
    ) -> None:
        self.kill = kill
        self._killed_ms: dict[int, float] = {}
        super().__init__(chooses, utilization, seed, fleet)
        self.counted_from_ms = kill.at_ms

    def _make_server(self, index: int) -> Server:
        made = super()._make_server(index)
        return ColdServer(made.index, made.speed, made.random, made.data_centre)

    def _schedule_arrivals(self) -> None:
        super()._schedule_arrivals()
        self._at(self.kill.at_ms, self._kill)

    def _answer(self, asking: Asking, in_flight: int, mean_ms: float) -> None:
        if not self._is_lost(asking):
            super()._answer(asking, in_flight, mean_ms)

    def _ask_again(self, asking: Asking, in_flight: int) -> None:
        if not self._is_lost(asking):
            super()._ask_again(asking, in_flight)

    def _offer(self, asking: Asking, server: Server) -> None:
        if server.dead:  # type: ignore[attr-defined]
            self._refuse(asking, server)
        elif not self._is_lost(asking):
            super()._offer(asking, server)

    def _end(
        self, server: Server, ticket: Ticket, start_ms: float, start_ratio: float
    ) -> None:
        if ticket in server.admission.running:
            super()._end(server, ticket, start_ms, start_ratio)

    def _cut(
        self, server: Server, ticket: Ticket, start_ms: float, start_ratio: float
    ) -> None:
        if ticket in server.admission.running:
            super()._cut(server, ticket, start_ms, start_ratio)

    def _report(self, server: Server, local: bool) -> None:
        if server.dead:  # type: ignore[attr-defined]
            self._skip_report(server, local)
        else:
            super()._report(server, local)

    def _is_lost(self, asking: Asking) -> bool:
        """Whether the node that a caller asked was killed since."""
        return asking.sent_ms <= self._killed_ms.get(asking.node.index, -1.0)

    def _kill(self) -> None:
        """Kill nodes with their servers; links close at once."""
        draws = Random(f"{self.seed} kill")
        count = round(self.kill.share * len(self.servers))
        killed: list[Any] = draws.sample(self.servers, count)
        for server in killed:
            server.dead = True
            self._alive[server.data_centre].remove(self.nodes[server.index])
        for node in self.nodes:
            for server in killed:
                node.endpoints[server.index].open = False
        dead = {one.index for one in killed}
        self._killed_ms.update((index, self.now_ms) for index in dead)
        for server in self.servers:
            admission = server.admission
            for ticket in [*admission.waiting, *admission.running]:
                owner: Any = ticket.owner
                if self._is_lost(owner):
                    admission.remove(ticket)
                elif server.index not in dead:
                    continue
                elif ticket in admission.running:
                    owner.selector.release()
                else:
                    self._at(
                        self.now_ms + LOCAL_WAY_MS,
                        lambda owner=owner: self._ask_again(owner, 0),
                    )
        for server in killed:
            server.admission = Admission(slots=SLOTS)
            server.usual, server.stated = UsualRatio(), WorkSpeed()
            after_ms = self.kill.down_ms * draws.uniform(0.8, 1.2)
            self._at(
                self.now_ms + after_ms, lambda server=server: self._come_back(server)
            )

    def _come_back(self, server: Any) -> None:
        """Start a node and its server without what they knew."""
        node = self.nodes[server.index]
        cold_until_ms = self.now_ms + self.kill.cold_ms
        server.dead, server.cold_until_ms = False, cold_until_ms
        node.mean_run_times = MeanRunTimes()
        self._alive[server.data_centre].append(node)
        for other in self.nodes:
            told = other.endpoints[server.index]
            told.open, told.cold_until_ms = True, cold_until_ms
            told.mean_run_ms.clear()
            told.update_load(0, self.now_ms)
        for one in node.endpoints:
            one.own_in_flight = one.own_in_flight_at_report = 0
            one.mean_run_ms.clear()
            in_flight = self.servers[int(str(one.key))].admission.in_flight
            one.update_load(in_flight, self.now_ms)


def play(
    chooses: Placement,
    utilization: float,
    seed: int,
    fleet: Fleet = FLEET,
    kill: Kill | None = None,
) -> WaveOutcome:
    """Play a load once."""
    gc.disable()  # a run is over before its memory matters
    if kill:
        fleet = attrs.evolve(fleet, length_ms=kill.at_ms + kill.counted_ms)
    try:
        if kill:
            return KillModel(chooses, utilization, seed, fleet, kill).play()
        return WaveModel(chooses, utilization, seed, fleet).play()
    finally:
        gc.enable()
        gc.collect()
