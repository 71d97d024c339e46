"""The request path: callers, two nodes, a backend server."""

import asyncio

from azurestep.mesh.decisions.pressure import LoadShedder

from .fixtures_mesh import MeshFleet, caller_headers


async def test_read_is_answered_completely(mesh: MeshFleet) -> None:
    for index in range(20):
        status, body = await mesh.get(mesh.instances[0], "/read/1", f"r{index}")
        assert (status, body) == (200, b"hello")


async def test_payment_reaches_a_backend_server_once(mesh: MeshFleet) -> None:
    instance = mesh.instances[1]
    async with mesh.session.post(
        instance.url("/pay/1"), data=b"x" * 5000, headers=caller_headers("p1")
    ) as answer:
        assert answer.status == 200
        assert await answer.read() == b"x" * 5000
    assert sum(item.server.runs["p1"] for item in mesh.instances) == 1


async def test_unknown_path_is_not_found(mesh: MeshFleet) -> None:
    status, _ = await mesh.get(mesh.instances[0], "/none/1", "n1")
    assert status == 404


async def test_backend_server_receives_the_calling_service(mesh: MeshFleet) -> None:
    await mesh.get(mesh.instances[0], "/read/1", "c1")
    received = next(
        item
        for instance in mesh.instances
        for item in instance.server.received
        if item.headers["attempt-id"] == "c1"
    )
    assert received.headers["calling-service"] == "shop"
    assert 0 < int(received.headers["deadline-milliseconds"]) <= 1200


async def test_requests_of_one_connection_run_concurrently(mesh: MeshFleet) -> None:
    for instance in mesh.instances:
        instance.server.work_s = 0.15
    reader, writer = await asyncio.open_connection(mesh.instances[0].host, 7101)
    loop = asyncio.get_running_loop()
    began = loop.time()
    for index in range(4):
        head = "\r\n".join(f"{k}: {v}" for k, v in caller_headers(f"s{index}").items())
        writer.write(f"GET /read/{index} HTTP/1.1\r\n{head}\r\n\r\n".encode())
    names = []
    while len(names) < 4:
        line = (await reader.readline()).decode().lower()
        if line.startswith("attempt-id:"):
            names.append(line.split(":")[1].strip())
    assert names == ["s0", "s1", "s2", "s3"]
    assert loop.time() - began < 0.45
    writer.close()


async def test_backend_server_runs_no_more_than_its_slots(mesh: MeshFleet) -> None:
    for instance in mesh.instances:
        instance.server.work_s = 0.03
    answers = await asyncio.gather(
        *(mesh.get(mesh.instances[i % 3], "/read/1", f"b{i}") for i in range(60))
    )
    assert all(instance.server.most_running <= 4 for instance in mesh.instances)
    assert {status for status, _ in answers} <= {200, 503}


class LowPriorityShedder(LoadShedder):
    """Sheds all requests but those of the highest priority."""

    def shed_ratio(self, service: str, priority: int) -> float:
        return float(priority > 1)


async def test_shed_request_is_refused_with_retry_after(
    mesh: MeshFleet,
) -> None:
    node = mesh.instances[0].node
    node.outbound.load_shedder = LowPriorityShedder()
    url = mesh.instances[0].url("/read/1")
    async with mesh.session.get(url, headers=caller_headers("l1")) as answer:
        assert answer.status == 503
        assert 0 < float(answer.headers["Retry-After"]) < 1
    url = mesh.instances[0].url("/pay/1")
    async with mesh.session.post(url, headers=caller_headers("l2")) as answer:
        assert answer.status == 200
    assert sum(item.server.runs["l1"] for item in mesh.instances) == 0


async def test_refusal_by_all_backend_servers_is_reported_as_lack_of_capacity(
    mesh: MeshFleet,
) -> None:
    for instance in mesh.instances:
        instance.server.work_s = 0.5
    node = mesh.instances[0].node
    calls = [mesh.get(mesh.instances[0], "/read/1", f"f{i}") for i in range(60)]
    answers = await asyncio.gather(*calls)
    refused = [status for status, _ in answers].count(503)
    assert refused >= 20
    (report,) = node.call_context.refusals.report()
    assert report[:2] == ("shop", 2)
    assert report[2] > 0.2
