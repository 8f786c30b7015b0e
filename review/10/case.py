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


async def one_round(mesh, targets, number, has_trouble):
    """\return (what was broken, the position of the target that left)."""
    arrivals = {}
    long_at = asyncio.get_running_loop().create_future()

    async def work(target, request, reader, writer):
        attempt = request.get("x-tarragontray-attempt-id")
        is_first = attempt not in arrivals
        arrivals.setdefault(attempt, []).append((now(), target))
        if "/list/long" not in request.first:
            return False
        if is_first:
            long_at.set_result(target)
        target.run(request)
        await asyncio.sleep(LONG_WORK_S if is_first else 0.05)
        if has_trouble and is_first:
            mesh.record("reset instead of the answer", target.id, attempt)
            writer.transport.abort()
            return True
        writer.write(target.answer(request))
        await writer.drain()
        return True

    for target in targets:
        target.hook = work
    client = await Client(mesh, mesh.machines[0]).open()
    for _ in range(90):
        await client.call("GET", "/list/short", deadline_ms=5000)
    long_request = asyncio.create_task(client.call("GET", "/list/long", deadline_ms=5000))
    leaving = await long_at
    leaving.state = "draining"
    while await leaving.beat() != 200:
        await asyncio.sleep(0.1)
    acknowledged = now()
    mesh.record("acknowledged", leaving.id, "draining")
    await long_request
    client.close()
    await asyncio.sleep(0.5)
    await post(leaving.machine.control, f"/api/rpc?call=instances.deregister&of={leaving.id}",
               {"born": leaving.born})
    await leaving.stop()
    late = [(at - acknowledged, attempt) for attempt, times in arrivals.items() for at, target in times
            if target is leaving and at > acknowledged + DRAIN_S]
    mesh.record("round", number, "requests:", len(arrivals), "of these reset: 1" if has_trouble else "")
    return [f"DRAIN: {leaving.id} was sent {attempt} {after:.2f} s after the acknowledgement that it is draining"
            for after, attempt in late], targets.index(leaving)


async def case(mesh, has_trouble):
    mesh.configure([mesh.route("list", "/list/", "idempotent", "desk", timeout="5000ms")])
    await mesh.start()
    broken = []
    targets = list(mesh.targets)
    for number in range(ROUNDS):
        lines, left = await one_round(mesh, targets, number, has_trouble)
        broken += lines
        successor = Target(targets[left].machine, "desk", mesh.record)
        successor.id += f"-{number + 2}"
        targets[left] = successor
        await successor.start()
        await asyncio.sleep(1.5)
    for target in targets:
        await target.stop()
    return broken


main(case, per_service=3)
