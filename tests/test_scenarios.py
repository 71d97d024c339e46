import asyncio
from typing import Any

import orjson
import uuid6
from pytest_bdd import given, parsers, scenarios, then, when

from azurestep.config.document import EntryKey, Section, canonical_json
from azurestep.config.records import EditEntries, Entry, SwitchPreset
from azurestep.operations.publisher import Verdict

from .fixtures_world import Answer, ScenarioContext

scenarios("scenarios")


@given(
    parsers.parse(
        'a fleet of {count:d} data centres with a "{service}" backend server in each'
    )
)
def start_fleet(world: ScenarioContext, count: int, service: str) -> None:
    world.run(world.start([service] * count))


@given(parsers.parse('a fleet with a "{one}" and a "{other}" backend server'))
def start_mixed_fleet(world: ScenarioContext, one: str, other: str) -> None:
    world.run(world.start([one, other]))


@given("the example configuration is in force")
def example_in_force(world: ScenarioContext) -> None:
    world.run(world.publish_example("setup"))
    world.run(world.wait_in_force())


@given("payments are open")
def payments_open(world: ScenarioContext) -> None:
    async def wait() -> None:
        for data_centre in (1, 2):
            opened = 0
            while opened < 8:
                key = str(uuid6.uuid7())
                answer = await world.send(data_centre, "POST", "/licences", key, 1)
                opened = opened + 1 if answer.status == 200 else 0
                await asyncio.sleep(0 if opened else 0.1)

    world.run(asyncio.wait_for(wait(), 30))


@given(parsers.parse("the backend servers take {delay_ms:d} ms for each request"))
def slow_servers(world: ScenarioContext, delay_ms: int) -> None:
    world.delay_ms = delay_ms


@when(parsers.parse('operator "{operator}" publishes the example configuration'))
def publish_example(world: ScenarioContext, operator: str) -> None:
    world.run(world.publish_example(operator))


@when(
    parsers.parse(
        'operators "{one}" and "{other}" change the same version at the same time'
    )
)
def race(world: ScenarioContext, one: str, other: str) -> None:
    async def both() -> list[Verdict]:
        held = await world.clients()[0].configuration()
        changes = [(one, SwitchPreset("peak")), (other, SwitchPreset("maintenance"))]
        results = await asyncio.gather(
            *(
                world.publisher(name).publish(change, held, world.deadline_ms())
                for name, change in changes
            )
        )
        return [result.unwrap() for result in results]

    world.verdicts = world.run(both())


@when(
    parsers.parse(
        'operator "{operator}" publishes a route to a service that does not exist'
    )
)
def publish_broken(world: ScenarioContext, operator: str) -> None:
    async def publish() -> None:
        held = await world.clients()[0].configuration()
        body = canonical_json({"name": "astray", "service": "nowhere"})
        change = EditEntries([Entry(int(Section.ROUTES), "astray", body.decode())])
        result = await world.publisher(operator).publish(
            change, held, world.deadline_ms()
        )
        world.verdicts.append(result.unwrap())

    world.run(publish())


@when(parsers.parse('operator "{operator}" switches the preset to "{preset}"'))
def switch_preset(world: ScenarioContext, operator: str, preset: str) -> None:
    result = world.run(
        world.publisher(operator).switch_preset(preset, world.deadline_ms())
    )
    world.verdicts.append(result.unwrap())


@when(parsers.parse('operator "{operator}" moves the route "{route}" to "{service}"'))
def move_route(world: ScenarioContext, operator: str, route: str, service: str) -> None:
    async def move() -> None:
        held = await world.clients()[0].configuration()
        body = orjson.loads(held.document.entries[EntryKey(Section.ROUTES, route)])
        text = canonical_json(body | {"service": service}).decode()
        change = EditEntries([Entry(int(Section.ROUTES), route, text)])
        result = await world.publisher(operator).publish(
            change, held, world.deadline_ms()
        )
        world.verdicts.append(result.unwrap())
        await world.wait_in_force()

    world.run(move())


@given("the log loses one append answer in ten")
def lose_answers(world: ScenarioContext) -> None:
    world.run(world.set_log_faults({"lose_answer_ratio": 0.1, "seed": 7}))


@when(
    parsers.parse(
        "{operators:d} operators make {count:d} publications each "
        "while the platform stops twice"
    )
)
def race_many(world: ScenarioContext, operators: int, count: int) -> None:
    async def publish_all(name: str) -> None:
        for number in range(count):
            held = await world.clients()[0].configuration()
            body = canonical_json({"name": f"{name}-{number}", "service": "catalogue"})
            entry = Entry(int(Section.ROUTES), f"{name}-{number}", body.decode())
            result = await world.publisher(name).publish(
                EditEntries([entry]), held, world.deadline_ms()
            )
            world.verdicts.append(result.unwrap())

    async def stop_twice() -> None:
        for _ in range(2):
            await asyncio.sleep(1.5)
            await world.set_log_faults({"outage": True, "lose_answer_ratio": 0.1})
            await asyncio.sleep(1.0)
            await world.set_log_faults({"lose_answer_ratio": 0.1, "seed": 7})

    async def race_all() -> None:
        watch = asyncio.create_task(world.watch_versions())
        names = [f"operator-{number}" for number in range(operators)]
        await asyncio.gather(stop_twice(), *(publish_all(name) for name in names))
        fold, _ = await world.fold_whole_log()
        newest = fold.state.version
        await world.wait_until(lambda states: all(s.version == newest for s in states))
        watch.cancel()

    world.run(race_all())


@when("the platform has an outage")
def platform_outage(world: ScenarioContext) -> None:
    world.run(world.set_log_faults({"outage": True}))


@when("the platform is back")
def platform_back(world: ScenarioContext) -> None:
    world.run(world.set_log_faults({"outage": False}))


@when(parsers.parse('a caller sends "{method} {path}" to data centre {number:d}'))
def send(world: ScenarioContext, method: str, path: str, number: int) -> None:
    world.answers.append(world.run(world.send(number, method, path)))


@when(parsers.parse("a caller pays in data centre {number:d}"))
def pay(world: ScenarioContext, number: int) -> None:
    world.answers.append(world.run(world.pay(number)))


@when(
    parsers.parse("the caller sends the same payment again in data centre {number:d}")
)
def pay_again(world: ScenarioContext, number: int) -> None:
    again = world.send(number, "POST", "/licences", world.key, 2)
    world.answers.append(world.run(again))


@when(
    parsers.parse(
        "the caller sends the same key with another path in data centre {number:d}"
    )
)
def pay_otherwise(world: ScenarioContext, number: int) -> None:
    other = world.send(number, "POST", "/licences/other", world.key, 2)
    world.answers.append(world.run(other))


@when("a caller sends one payment to both data centres at the same time")
def pay_twice(world: ScenarioContext) -> None:
    async def both() -> list[Answer]:
        world.key = str(uuid6.uuid7())
        return await asyncio.gather(
            *(world.send(n, "POST", "/licences", world.key, 2) for n in (1, 2))
        )

    world.answers.extend(world.run(both()))


@when("a caller pays in data centre 1 and the node that owns the key is killed")
def pay_and_kill_owner(world: ScenarioContext) -> None:
    async def pay_and_kill() -> None:
        payment = asyncio.create_task(world.pay(1))
        await asyncio.sleep(0.4)
        running = [index for index, count in enumerate(await world.runs()) if count]
        owner = world.fleet.nodes[running[0]] if running else world.fleet.nodes[0]
        owner.process.process.kill()
        await owner.process.process.wait()
        try:
            world.answers.append(await payment)
        except Exception as error:
            world.failures.append(type(error).__name__)

    world.run(pay_and_kill())


@when("the caller sends the same payment again in the other data centre")
def pay_again_elsewhere(world: ScenarioContext) -> None:
    left = world.nodes[0].settings.data_centre
    number = int(left.removeprefix("dc-"))
    again = world.send(number, "POST", "/licences", world.key, 2)
    world.answers.append(world.run(again))


@when(parsers.parse("the backend server of data centre {number:d} leaves"))
def leave(world: ScenarioContext, number: int) -> None:
    async def ask() -> None:
        port = world.port_of(world.servers[number - 1])
        url = f"http://127.0.0.1:{port}/_standin/leave"
        async with world.session.post(url) as response:
            assert response.status < 300

    world.run(ask())


@when(parsers.parse("{seconds:d} seconds pass"))
def wait(world: ScenarioContext, seconds: int) -> None:
    world.run(asyncio.sleep(seconds))


@when(
    parsers.parse('a caller sends {count:d} requests for "{path}" to every data centre')
)
def send_many(world: ScenarioContext, count: int, path: str) -> None:
    async def send_all() -> list[Answer]:
        numbers = [n for n in (1, 2) for _ in range(count)]
        return [await world.send(n, "GET", path) for n in numbers]

    world.answers.extend(world.run(send_all()))


@when(
    parsers.parse(
        "the node of data centre {number:d} is asked to stop during "
        '{count:d} requests for "{path}"'
    )
)
def stop_during(world: ScenarioContext, number: int, count: int, path: str) -> None:
    async def stop() -> None:
        node = world.node_of(number)
        tasks = [
            asyncio.create_task(world.send(number, "GET", path)) for _ in range(count)
        ]
        await asyncio.sleep(0.3)
        node.process.process.terminate()
        world.answers.extend(await asyncio.gather(*tasks))

    world.run(stop())


@then("the publication is accepted")
def accepted(world: ScenarioContext) -> None:
    assert world.verdicts[-1].is_accepted


@then("exactly one of the publications is accepted")
def one_accepted(world: ScenarioContext) -> None:
    assert sorted(v.is_accepted for v in world.verdicts) == [False, True]
    world.verdicts.sort(key=lambda verdict: verdict.is_accepted)


@then("the publication is refused with a JSON path")
def refused(world: ScenarioContext) -> None:
    event: Any = world.verdicts[-1].event
    assert not world.verdicts[-1].is_accepted
    assert [fault.path for fault in event.faults] == ["$.routes[0].service"]


@then("the version in force is unchanged")
def unchanged(world: ScenarioContext) -> None:
    async def check() -> None:
        await asyncio.sleep(0.5)
        versions = {state.version for state in await world.statuses()}
        assert versions == {world.verdicts[0].event.version}

    world.run(check())


@then("the version is in force on every instance")
def in_force(world: ScenarioContext) -> None:
    world.run(world.wait_in_force())


@then("each operator got the true outcome of each publication")
def true_outcomes(world: ScenarioContext) -> None:
    _, outcomes = world.run(world.fold_whole_log())
    told = {v.id: type(v.event).__name__ for v in world.verdicts}
    assert len(told) == 101
    assert {id: outcomes[id] for id in told} == told
    assert "Refused" in told.values()


@then("every instance holds the newest version and its hash")
def newest_everywhere(world: ScenarioContext) -> None:
    fold, _ = world.run(world.fold_whole_log())
    newest = (fold.state.version, fold.state.document.hash.hex())
    held = {(state.version, state.hash) for state in world.run(world.statuses())}
    assert held == {newest}


@then("no instance ever went back")
def never_back(world: ScenarioContext) -> None:
    assert len(world.seen_versions) == 2
    for versions in world.seen_versions.values():
        assert versions == sorted(versions)
        assert len(set(versions)) > 3


@then("every instance holds the same hash")
def same_hash(world: ScenarioContext) -> None:
    assert len({state.hash for state in world.run(world.statuses())}) == 1


@then("the answer says not run")
def not_run(world: ScenarioContext) -> None:
    assert world.answers[-1].outcome == "not_run"


@then("the answer says when to come back")
def come_back(world: ScenarioContext) -> None:
    assert world.answers[-1].retry_after_ms > 0


@then(parsers.parse("the answer has status {status:d}"))
def has_status(world: ScenarioContext, status: int) -> None:
    assert world.answers[-1].status == status, world.answers[-1]


@then(parsers.parse("every answer has status {status:d}"))
def all_have_status(world: ScenarioContext, status: int) -> None:
    assert {answer.status for answer in world.answers} == {status}


@then("both answers are the same")
def same_answers(world: ScenarioContext) -> None:
    one, other = world.answers[-2:]
    assert one.status == other.status == 200
    assert orjson.loads(one.body) == orjson.loads(other.body)


@then("the payment ran once")
def ran_once(world: ScenarioContext) -> None:
    assert sum(world.run(world.runs())) == 1


@then("the payment ran once at most")
def ran_once_at_most(world: ScenarioContext) -> None:
    assert sum(world.run(world.runs())) <= 1


@then("no answer says that the payment did not run")
def no_false_not_run(world: ScenarioContext) -> None:
    ran = sum(world.run(world.runs())) > 0
    assert not ran or all(a.outcome != "not_run" for a in world.answers)


@then(parsers.parse("the backend server of data centre {number:d} ran none of them"))
def ran_none(world: ScenarioContext, number: int) -> None:
    instances = {orjson.loads(answer.body)["instance"] for answer in world.answers}
    assert instances
    assert f"127.0.0.1:{world.port_of(world.servers[number - 1])}" not in instances


@then("the node ends by itself")
def node_ends(world: ScenarioContext) -> None:
    node = next(n for n in world.fleet.nodes if n.settings.data_centre == "dc-1")
    code = world.run(asyncio.wait_for(node.process.process.wait(), 40))
    assert code == 0
