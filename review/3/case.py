"""A target deregisters while the store is silent; its node is killed and started
again; a heartbeat from before arrives late.

PART=kill leaves out the outage of the store, PART=outage the kill."""
import asyncio
import os
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from world import (LEFT, LIMITS, Target, call, now, route, run_case, service)  # noqa: E402

HOST = "gate.example"
RATE = 40.0
OUTAGE = 4.5
DRAIN = 2.0
STABILITY_WINDOW = 3.0
SERVES_ON = 12.0
PART = os.environ.get("PART", "")


async def case(world):
    await world.store.start()
    await world.store.put("config", "main", {"Version": 7, "BaseVersion": 5, "Resources": [
        route("r-seats", HOST, "/seats/", "idempotent", "box-office", "1500ms", "500ms", 2),
        route("r-list", HOST, "/list/", "idempotent", "catalogue", "1500ms", "500ms", 2),
        service("box-office"), service("catalogue"), LIMITS]})
    desks, callers = [], []
    for number in range(6):
        is_desk = number < 3
        machine = world.machine(f"side-{number}", "box-office" if is_desk else "catalogue")
        await machine.start(True)
        target = Target(world.record, machine.service, "v1", machine.application,
                        work=lambda request: random.uniform(0.1, 0.2))
        await target.start(machine.control)
        (desks if is_desk else callers).append((machine, target))
    await world.wait_ready(world.machines)

    async def request():
        machine = random.choice(callers)[0]
        identity = f"{random.getrandbits(64):016x}"
        answer = await call(machine.outbound, "GET", "/seats/1", {
            "Host": HOST, "X-Tarragontray-Attempt-Id": identity, LEFT: "2000"}, limit=2.5)
        world.record.line(f"client: {identity} by {machine.name} -> "
                          f"{answer.status if answer else 'no answer'}")

    async def traffic():
        tasks = set()
        while True:
            tasks.add(asyncio.create_task(request()))
            tasks = {t for t in tasks if not t.done()}
            await asyncio.sleep(random.expovariate(RATE))

    load = asyncio.create_task(traffic())
    await asyncio.sleep(6)
    machine, target = desks[0]
    has_outage = world.is_disturbed and PART != "kill"
    has_kill = world.is_disturbed and PART != "outage"

    begin = now()
    if has_outage:
        world.store.silence(True)
    await asyncio.sleep(0.3)
    late = target.heartbeat()
    await asyncio.sleep(0.2)
    status = await target.leave()
    acknowledged = now()
    world.record.line(f"target {target.instance}: deregistered, answer {status}")
    if status != 200:
        return False, f"the deregistration was answered with {status}"
    await asyncio.sleep(0.5)
    started = now()
    if has_kill:
        machine.send_signal(signal.SIGKILL)
        await machine.process.wait()
        await asyncio.sleep(0.5)
        await machine.start(False)
        started = now()
    await asyncio.sleep(1.0)
    # The heartbeat that was sent before the deregistration arrives.
    status = await target.tell(late)
    world.record.line(f"target {target.instance}: late heartbeat, answer {status}")
    await asyncio.sleep(max(0.0, begin + OUTAGE - now()))
    restored = now()
    if has_outage:
        world.store.silence(False)
    await asyncio.sleep(max(0.0, acknowledged + SERVES_ON - now()))
    load.cancel()

    def runs_after(time):
        return sum(1 for run in target.runs if run[0] > time)
    in_touch = max(started, restored if has_outage else 0) + STABILITY_WINDOW
    due = acknowledged + DRAIN
    text = (f"requests at the target that had left: {runs_after(due)} later than Drain after "
            f"the acknowledgement, {runs_after(max(due, in_touch))} of them when every machine "
            f"and the store had been undisturbed for StabilityWindow")
    return runs_after(max(due, in_touch)) > 0, text


run_case(pathlib.Path(__file__).parent, case)
