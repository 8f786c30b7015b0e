"""A target that is leaving resets the connection of a request instead of
answering it, later than `Drain` after its leave was acknowledged.

With TROUBLE=0 the target answers that request.
"""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from mesh import *

ROUNDS = 5
DRAIN_S = 2.0
LONG_WORK_S = 2.3


async def one_round(mesh, target, has_trouble):
    m1 = mesh.machines[0]
    arrivals = {}

    async def work(target, request, reader, writer):
        attempt = request.get("x-tarragontray-attempt-id")
        is_first = attempt not in arrivals
        arrivals.setdefault(attempt, []).append(now())
        if "/list/long" not in request.first:
            return False
        target.run(request)
        await asyncio.sleep(LONG_WORK_S if is_first else 0.05)
        if has_trouble and is_first:
            mesh.record("reset instead of the answer", target.id, attempt)
            writer.transport.abort()
            return True
        writer.write(target.answer(request))
        await writer.drain()
        return True

    target.hook = work
    client = await Client(mesh, m1).open()
    for _ in range(30):
        await client.call("GET", "/list/short", deadline_ms=5000)
    long_request = asyncio.create_task(client.call("GET", "/list/long", deadline_ms=5000))
    await asyncio.sleep(0.03)
    target.state = "draining"
    while await target.beat() != 200:
        await asyncio.sleep(0.1)
    acknowledged = now()
    mesh.record("acknowledged", target.id, "draining")
    await long_request
    client.close()
    await asyncio.sleep(0.5)
    await post(m1.control, f"/api/rpc?call=instances.deregister&of={target.id}", {"born": target.born})
    await target.stop()
    late = [(at - acknowledged, attempt) for attempt, times in arrivals.items() for at in times
            if at > acknowledged + DRAIN_S]
    return [f"DRAIN: {target.id} was sent {attempt} {after:.2f} s after the acknowledgement that it is draining"
            for after, attempt in late]


async def case(mesh, has_trouble):
    mesh.configure([mesh.route("list", "/list/", "idempotent", "desk", timeout="5000ms")])
    await mesh.start()
    broken = []
    target = mesh.targets[0]
    for number in range(ROUNDS):
        broken += await one_round(mesh, target, has_trouble)
        target = Target(mesh.machines[0], "desk", mesh.record)
        target.id += f"-{number + 2}"
        mesh.targets.append(target)
        await target.start()
        await asyncio.sleep(1)
    await target.stop()
    return broken


main(case, services=("desk", "records"), per_service=1)
