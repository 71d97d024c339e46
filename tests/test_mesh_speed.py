"""Backend servers that tell how long work currently takes there."""

import asyncio
import math
from collections import Counter
from collections.abc import Sequence
from random import Random
from typing import Any

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurestep.mesh.backend.run import Run
from azurestep.mesh.decisions.admission import Admission, Refused, Ticket
from azurestep.mesh.decisions.choice import Endpoint, SelectionCriteria, choose_endpoint
from azurestep.mesh.decisions.speed import (
    FULL_WEIGHT_MS,
    NO_WEIGHT_MS,
    NORMAL_RATIO,
    USUAL_INTERVAL_MS,
    UsualRatio,
    WorkSpeed,
    to_normal_ms,
)
from azurestep.mesh.incarnation import Incarnation
from azurestep.mesh.link_messages import ServerSpeed
from azurestep.mesh.links.body_sender import BodySender
from azurestep.mesh.links.decoding import PEER_CONNECTION_SCHEMAS, Decoder
from azurestep.mesh.links.link import PeerLink
from azurestep.mesh.links.server import IncomingLink, IncomingLinks
from azurestep.mesh.messages import (
    DELTA_FEATURE_LEVEL,
    FEATURE_LEVEL,
    PROTOCOL_VERSION,
    Hello,
    Kind,
    State,
)

from .fixtures_inbound import (
    InboundHarness,
    RecordingReceiver,
    make_inbound_harness,
)
from .fixtures_mesh import MeshFleet
from .test_mesh_faults import eventually
from .test_mesh_restart import restart

SPEED_OF_1: list[bytes | None] = [None, b"2,0,4", b"2,0,4,100", b"2,0,4,0", b"2,0,4,x"]
"""Load headers that make no statement about the speed, or say that it is normal."""
LASTING: list[bytes | None] = [b"2,0,4,182", b"2,0,4,55"]
"""Load headers that tell the lasting speed of a machine."""
SETTLED = 200
"""Answers after which a few others hardly move the usual ratio."""


def settle(harness: InboundHarness) -> None:
    """Let the server state for long that its speed is normal."""
    for _ in range(SETTLED):
        harness.loop.now_ms += USUAL_INTERVAL_MS
        harness.inbound.apply_work_ratio(Incarnation(b"i-1"), 1.0)


def at_ratio(ratio: float, stated_ms: float = 0.0) -> WorkSpeed:
    speed = WorkSpeed()
    speed.record(ratio, stated_ms)
    return speed


def ticket(now_ms: float = 0.0, objective_ms: float = 400.0) -> Ticket:
    return Ticket("read", 2, now_ms, now_ms + objective_ms, now_ms + 1200)


def reply(run: Run, load: bytes | None, signed: bool = True) -> None:
    """Answer a request with a load header."""
    connection = run._connection
    assert connection is not None
    lines = [b"HTTP/1.1 200 OK", b"Attempt-Id: " + run.request.request_id]
    if signed:
        lines.append(b"Response-Signature: s1")
    if load is not None:
        lines.append(b"Server-Load: " + load)
    connection.data_received(
        b"\r\n".join([*lines, b"Content-Length: 0", b"", b""]),
    )


def run_once(harness: InboundHarness, run_ms: float, load: bytes | None) -> None:
    """Run a request for some time and answer it."""
    run = harness.submit(RecordingReceiver())
    harness.loop.run_due()
    harness.loop.now_ms += run_ms
    reply(run, load)
    harness.loop.run_due()


# The ratio and its age


def test_a_ratio_loses_its_weight_with_its_age() -> None:
    speed = at_ratio(3.0, 1000.0)
    assert speed.ratio(1000.0 + FULL_WEIGHT_MS) == 3.0
    middle_ms = (FULL_WEIGHT_MS + NO_WEIGHT_MS) / 2
    assert speed.ratio(1000.0 + middle_ms) == pytest.approx(2.0)
    assert speed.ratio(1000.0 + NO_WEIGHT_MS) == NORMAL_RATIO


@given(st.floats(0.01, 100), st.floats(0, 2000), st.floats(0, 2000))
def test_a_ratio_only_moves_towards_normal(
    ratio: float, age_ms: float, later_ms: float
) -> None:
    speed = at_ratio(ratio)
    younger, older = sorted((age_ms, age_ms + later_ms))
    first, second = speed.ratio(younger), speed.ratio(older)
    assert abs(second - NORMAL_RATIO) <= abs(first - NORMAL_RATIO) + 1e-9
    assert min(ratio, 1.0) <= first <= max(ratio, 1.0)


def test_an_older_statement_does_not_replace_a_later_one() -> None:
    speed = at_ratio(2.5, 500.0)
    speed.record(1.0, 400.0)
    speed.record(None, 600.0)
    assert speed.ratio(600.0) == 2.5


@given(st.floats(0.1, 10), st.floats(0.1, 10), st.floats(1, 5000))
def test_a_run_time_at_normal_speed_lies_between_those_of_both_ends(
    start: float, end: float, run_ms: float
) -> None:
    found = to_normal_ms(run_ms, start, end)
    lower, higher = sorted((run_ms / start, run_ms / end))
    assert lower * (1 - 1e-9) <= found <= higher * (1 + 1e-9)


# The node beside the server


def test_a_slow_server_has_a_shorter_queue() -> None:
    def queued(ratio: float) -> int:
        admission = Admission(slots=1, speed=at_ratio(ratio))
        admission.record_run("read", 100.0)
        decisions = [admission.admit(ticket(), 0.0) for _ in range(8)]
        return decisions.count(False)

    assert (queued(1.0), queued(2.5)) == (3, 0)
    assert queued(0.5) > 3


def test_a_waiting_request_that_a_slow_server_can_not_end_is_given_up() -> None:
    admission = Admission(slots=1)
    admission.record_run("read", 600.0)
    waiting = ticket(0.0, 1200.0)
    admission.admit(ticket(0.0, 1200.0), 0.0)
    admission.admit(waiting, 0.0)
    assert admission.find_expiring(10.0) == []
    admission.speed.record(2.5, 10.0)
    assert admission.find_expiring(10.0) == [waiting]


def test_run_times_are_learned_as_at_normal_speed(harness: InboundHarness) -> None:
    settle(harness)
    for _ in range(20):
        run_once(harness, 100.0, b"1,0,4,100")
    for _ in range(6):
        run_once(harness, 250.0, b"1,0,4,250")
    admission = harness.inbound.admission
    # The first slow run began before the node knew, so it counts half.
    assert admission.mean_run_ms("read") == pytest.approx(105.0, rel=0.05)
    now_ms = harness.loop.now_ms
    assert admission.expected_run_ms("read", now_ms) == pytest.approx(258.0, rel=0.05)


def relate(usual: UsualRatio, ratio: float, count: int) -> list[float]:
    """Return a ratio relative to the usual one, as it is stated again and again."""
    begin_ms = usual._counted_ms if math.isfinite(usual._counted_ms) else 0.0
    return [
        usual.relate(ratio, begin_ms + number * USUAL_INTERVAL_MS)
        for number in range(1, count + 1)
    ]


def test_a_lasting_ratio_is_the_usual_one() -> None:
    # The mean run times hold it already, and remote nodes know it from them only.
    for lasting in (0.55, 1.0, 1.82):
        usual = UsualRatio()
        assert set(relate(usual, lasting, 100)) == {1.0}
        assert relate(usual, 2.5 * lasting, 1) == [pytest.approx(2.5, rel=0.01)]


def test_a_server_that_is_slow_at_first_gets_its_usual_ratio_soon() -> None:
    usual = UsualRatio()
    relate(usual, 2.5, 5)
    found = relate(usual, 1.0, 80)
    assert found[0] < 0.5
    assert found[-1] == 1.0


@pytest.mark.parametrize("answers_per_s", [20, 400])
def test_a_slow_phase_hardly_moves_the_usual_ratio(answers_per_s: int) -> None:
    usual = UsualRatio()
    relate(usual, 1.0, SETTLED)
    begin_ms = usual._counted_ms
    for number in range(answers_per_s * 6 // 10):
        last = usual.relate(2.5, begin_ms + number * 1000 / answers_per_s)
    assert last > 2.3


def test_an_answer_without_a_signature_changes_no_speed(
    harness: InboundHarness,
) -> None:
    settle(harness)
    run = harness.submit(RecordingReceiver())
    harness.loop.run_due()
    reply(run, b"1,0,4,250", signed=False)
    assert harness.inbound.admission.speed.ratio(harness.loop.now_ms) == 1.0


def test_another_incarnation_changes_no_speed(harness: InboundHarness) -> None:
    settle(harness)
    harness.inbound.apply_work_ratio(Incarnation(b"i-2"), 2.5)
    assert harness.inbound.admission.speed.ratio(harness.loop.now_ms) == 1.0
    harness.inbound.apply_work_ratio(Incarnation(b"i-1"), 2.5)
    assert harness.inbound.admission.speed.ratio(harness.loop.now_ms) > 2.4


def test_a_new_incarnation_begins_at_normal_speed(harness: InboundHarness) -> None:
    settle(harness)
    harness.inbound.apply_work_ratio(Incarnation(b"i-1"), 2.5)
    harness.inbound.backend.confirm_instance("i-2", harness.loop.now_ms)
    harness.inbound.tick()
    assert harness.inbound.admission.speed.ratio(harness.loop.now_ms) == 1.0


def play(
    seed: int, loads: Sequence[bytes | None], speed: WorkSpeed | None = None
) -> list[object]:
    """Return the decisions of a node on a random history of one backend server."""
    random, statements = Random(seed), Random(seed)
    harness = make_inbound_harness(slots=3)
    if speed is not None:
        harness.inbound.admission.speed = speed
    found: list[object] = []
    runs: list[tuple[Run, RecordingReceiver]] = []
    for _ in range(120):
        harness.after(random.choice((0.0, 5.0, 30.0, 90.0)))
        if random.random() < 0.6:
            receiver = RecordingReceiver()
            may_wait = random.random() < 0.8
            run = harness.submit(
                receiver, random.uniform(100.0, 900.0), may_wait=may_wait
            )
            runs.append((run, receiver))
        harness.loop.run_due()
        sent = [run for run, _ in runs if run._connection is not None and not run.done]
        if sent and random.random() < 0.7:
            reply(random.choice(sent), statements.choice(loads))
            harness.loop.run_due()
        admission = harness.inbound.admission
        found += [
            [tuple(receiver.outcomes) for _, receiver in runs[-8:]],
            (len(admission.running), admission.in_flight),
            admission.mean_run_ms("read"),
            admission.estimate_retry_after_ms(harness.loop.now_ms),
            admission.estimate_end_ms(ticket(harness.loop.now_ms), harness.loop.now_ms),
        ]
    return found


class ConstantSpeed(WorkSpeed):
    """Ignores statements, as a node does that reads no fourth figure."""

    def record(self, ratio: float | None, stated_ms: float) -> None:
        """Ignore the ratio."""

    def ratio(self, now_ms: float) -> float:
        return 1.0


@pytest.mark.parametrize("seed", range(25))
def test_servers_without_a_statement_are_served_as_before(seed: int) -> None:
    reference = play(seed, [None], ConstantSpeed())
    for load in [*SPEED_OF_1, *LASTING]:
        assert play(seed, [load]) == reference
    assert play(seed, SPEED_OF_1) == reference
    assert play(seed, [b"2,0,4,100", b"2,0,4,250"]) != reference


# Selection


@pytest.mark.parametrize("seed", range(25))
def test_selection_among_servers_without_a_statement_is_as_before(seed: int) -> None:
    random = Random(seed)
    criteria = SelectionCriteria("shop", "read", 400.0, 150.0, 1.5, "dc-1")

    def choices(speeds: list[WorkSpeed]) -> list[object]:
        history = Random(seed)
        endpoints = [
            Endpoint(index, "shop", Incarnation(b"%d" % index), "dc-1", slots=4)
            for index in range(len(speeds))
        ]
        found = []
        for step in range(200):
            one = history.choice(endpoints)
            one.update_load(history.randrange(9))
            one.mean_run_ms["read"] = history.uniform(50.0, 400.0)
            for endpoint, speed in zip(endpoints, speeds, strict=True):
                endpoint.speed = speed
            chosen = choose_endpoint(endpoints, criteria, set(), step * 10.0, history)
            found.append(chosen and chosen.key)
        return found

    count = random.randrange(2, 12)
    reference = choices([ConstantSpeed() for _ in range(count)])
    assert choices([WorkSpeed() for _ in range(count)]) == reference
    assert choices([at_ratio(1.0) for _ in range(count)]) == reference


def test_a_slow_server_is_avoided_while_its_ratio_counts() -> None:
    slow = Endpoint("slow", "shop", Incarnation(b"s"), "dc-1", slots=4)
    other = Endpoint("other", "shop", Incarnation(b"o"), "dc-1", slots=4, in_flight=2)
    criteria = SelectionCriteria("shop", "read", 400.0, 150.0, 1.5, "dc-1")
    slow.speed = at_ratio(2.5)

    def chosen(now_ms: float) -> set[object]:
        found = [
            choose_endpoint([slow, other], criteria, set(), now_ms, Random(seed))
            for seed in range(20)
        ]
        return {one.key for one in found if one is not None}

    assert chosen(0.0) == {"other"}
    assert chosen(NO_WEIGHT_MS) == {"slow"}


# Messages between nodes


class MemoryTransport:
    """Keeps what is written to a link."""

    def __init__(self) -> None:
        self.data = b""

    def is_closing(self) -> bool:
        return False

    def write(self, data: bytes) -> None:
        self.data += data

    def get_write_buffer_size(self) -> int:
        return 0


@attrs.define(eq=False)
class LinksHarness:
    """A node with one link from each of several peers."""

    harness: InboundHarness
    links: IncomingLinks
    transports: dict[str, MemoryTransport] = attrs.field(factory=dict)

    def connect(self, name: str, data_centre: str, level: int) -> None:
        link = IncomingLink(self.links)
        transport: Any = MemoryTransport()
        link.connection_made(transport)
        self.transports[name] = transport
        address = (f"10.0.0.{len(self.transports)}", 7102)
        link._on_hello(0, Hello(PROTOCOL_VERSION, address, data_centre, 5, 1, level))

    def state_after(self, pause_ms: float, ratio: float | None) -> None:
        """Advance the clock, apply an answer and broadcast the state."""
        self.harness.loop.now_ms += pause_ms
        self.harness.inbound.apply_work_ratio(Incarnation(b"i-1"), ratio)
        self.links.broadcast_state()

    def speeds(self, name: str) -> list[float]:
        """Return the ratios that a peer was sent since the last call."""
        transport = self.transports[name]
        found = Decoder(PEER_CONNECTION_SCHEMAS).feed(transport.data)
        transport.data = b""
        return [
            round(one.work_ratio, 1) for _, one in found if isinstance(one, ServerSpeed)
        ]


@pytest.fixture
def near(harness: InboundHarness) -> LinksHarness:
    inbound = harness.inbound

    def state() -> State:
        in_flight = inbound.admission.in_flight
        return State(
            "shop", b"i-1", 0, True, 4, in_flight, 0.0, 1, True, False, 0.0, (), ()
        )

    links = IncomingLinks(
        inbound.runtime,
        inbound,
        lambda: Hello(PROTOCOL_VERSION, ("10.0.0.9", 7102), "dc-0", 1, 1, 3),
        state,
        lambda hello: None,
        lambda: 0,
        inbound.condition,
        "dc-0",
    )
    settle(harness)
    made = LinksHarness(harness, links)
    made.connect("near", "dc-0", FEATURE_LEVEL)
    made.connect("former", "dc-0", DELTA_FEATURE_LEVEL)
    made.connect("far", "dc-1", FEATURE_LEVEL)
    links.broadcast_state()
    for name in made.transports:
        made.speeds(name)
    return made


def test_a_speed_is_sent_nearby_and_to_nodes_that_know_it(near: LinksHarness) -> None:
    near.state_after(500.0, 2.5)
    assert near.speeds("near") == [2.5]
    assert near.speeds("former") == near.speeds("far") == []


def test_small_changes_of_the_speed_are_not_sent(near: LinksHarness) -> None:
    for ratio in (1.2, 0.85, 1.24):
        near.state_after(500.0, ratio)
    assert near.speeds("near") == []


def test_a_speed_is_sent_at_most_with_every_load_report(near: LinksHarness) -> None:
    for step in range(40):
        near.state_after(50.0, 2.5 if step % 2 else 1.0)
    assert 1 <= len(near.speeds("near")) <= 40 * 50 / 200 + 1


def test_the_end_of_a_slow_phase_is_sent(near: LinksHarness) -> None:
    near.state_after(500.0, 2.5)
    near.state_after(250.0, 1.0)
    assert near.speeds("near") == [2.5, 1.0]


def test_a_lasting_ratio_is_sent_again_when_it_has_lost_its_weight(
    near: LinksHarness,
) -> None:
    # Without it, a server that stays slow would count as normal after 0.6 s.
    for _ in range(20):
        near.state_after(100.0, 2.5)
    sent = near.speeds("near")
    assert min(sent) > 2.0
    assert 3 <= len(sent) <= 2000 / FULL_WEIGHT_MS


def test_a_ratio_that_nobody_confirms_is_not_sent_again(near: LinksHarness) -> None:
    near.state_after(500.0, 2.5)
    for _ in range(20):
        near.state_after(100.0, None)
    assert near.speeds("near") == [2.5]


def test_a_new_link_is_told_of_a_slow_server(near: LinksHarness) -> None:
    near.state_after(500.0, 2.5)
    near.connect("late", "dc-0", FEATURE_LEVEL)
    near.connect("later", "dc-1", FEATURE_LEVEL)
    assert near.speeds("late") == [2.5]
    assert near.speeds("later") == []


@pytest.mark.parametrize("load", [*SPEED_OF_1, *LASTING])
def test_no_message_for_servers_without_a_statement(
    near: LinksHarness, load: bytes | None
) -> None:
    near.harness.inbound.usual_ratio = UsualRatio()
    for _ in range(10):
        run_once(near.harness, 150.0, load)
        near.state_after(100.0, None)
    assert near.speeds("near") == []


def test_a_peer_ages_the_ratio_from_when_the_server_said_so(
    harness: InboundHarness,
) -> None:
    listener: Any = None
    runtime = harness.inbound.runtime
    link = PeerLink(runtime, ("10.0.0.2", 7102), listener, BodySender(runtime))
    connection: Any = link.connection
    link.on_speed(connection, ServerSpeed(2.5, 250.0))
    now_ms = harness.loop.now_ms
    assert link.endpoint.speed.ratio(now_ms) == 2.5
    assert link.endpoint.speed.age_ms(now_ms) == 250.0
    assert link.endpoint.speed.ratio(now_ms + 200.0) < 2.0
    assert link.endpoint.speed.ratio(now_ms + 350.0) == 1.0


def test_no_statement_has_an_infinite_age() -> None:
    assert WorkSpeed().age_ms(5.0) == math.inf


def test_a_refusal_names_a_longer_wait_at_a_slow_server() -> None:
    waits = []
    for ratio in (1.0, 2.5):
        admission = Admission(slots=1, speed=at_ratio(ratio))
        admission.record_run("read", 30.0)
        decisions = [admission.admit(ticket(), 0.0) for _ in range(40)]
        refused = next(one for one in decisions if isinstance(one, Refused))
        queue_ms = 30.0 * len(admission.waiting)
        waits.append((refused.retry_after_ms - 40.0) / queue_ms)
    assert waits == pytest.approx([1.0, 2.5])


# Whole nodes


@pytest.fixture
def sent_kinds(monkeypatch: pytest.MonkeyPatch) -> Counter[Kind]:
    """Count the messages that nodes send on links that peers opened."""
    kinds: Counter[Kind] = Counter()
    original = IncomingLink.send

    def send(link: IncomingLink, kind: Kind, *fields: object) -> None:
        kinds[kind] += 1
        original(link, kind, *fields)

    monkeypatch.setattr(IncomingLink, "send", send)
    return kinds


async def send_reads(mesh: MeshFleet, prefix: str) -> None:
    for number in range(60):
        caller = mesh.instances[number % len(mesh.instances)]
        status, _ = await mesh.get(caller, "/read/1", f"{prefix}{number}")
        assert status == 200


async def test_nodes_nearby_learn_that_a_server_is_slow(
    mesh: MeshFleet, sent_kinds: Counter[Kind], monkeypatch: pytest.MonkeyPatch
) -> None:
    learned: dict[PeerLink, float] = {}
    original = PeerLink.on_speed

    def on_speed(link: PeerLink, connection: Any, speed: ServerSpeed) -> None:
        original(link, connection, speed)
        learned[link] = link.endpoint.speed.ratio(link.runtime.now_ms())

    monkeypatch.setattr(PeerLink, "on_speed", on_speed)
    slow, _, near = mesh.instances
    for instance in mesh.instances:
        instance.server.work_percent = 100
        instance.server.work_s = 0.01
    for turn in range(4):
        await send_reads(mesh, f"normal{turn}-")
    assert sent_kinds[Kind.SERVER_SPEED] == 0
    slow.server.work_percent = 250
    address = slow.node.settings.peer_address
    link = near.node.members.links[address]
    turns = 0
    async with asyncio.timeout(10):
        while link not in learned:
            turns += 1
            await send_reads(mesh, f"slow{turns}-")
    assert set(learned) == {link}
    assert learned[link] > 1.5


async def test_nodes_send_no_speed_of_servers_without_a_statement(
    mesh: MeshFleet, sent_kinds: Counter[Kind]
) -> None:
    for _ in range(3):
        await send_reads(mesh, f"q{sum(sent_kinds.values())}-")
    assert sent_kinds[Kind.SERVER_SPEED] == 0


async def test_a_restarted_node_learns_the_speed_from_its_first_probe(
    mesh: MeshFleet,
) -> None:
    instance = mesh.instances[0]
    instance.server.work_percent = 250
    await restart(mesh, instance)
    usual = instance.node.inbound.usual_ratio
    await eventually(lambda: usual._count > 0)
    assert usual._value == 2.5
