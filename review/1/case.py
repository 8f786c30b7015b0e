"""A version is rolled out, taken back by an order for its predecessor, and ordered
again; it now fails half of its requests.

SERIES names other versions: the first one runs at the start, the others are
ordered one after the other, and the last one is bad."""
import asyncio
import os
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from world import (LEFT, LIMITS, Target, World, CannotRun, call, now, route,  # noqa: E402
                   run_case, service)

HOST = "gate.example"
DURATION = 12.0
RATE = 60.0
BAD_SHARE = 0.42
EXPOSE_SHARE = 0.1
EXPOSE_SLACK = 50
SERIES = os.environ.get("SERIES", "v1 v2 v1 v2").split()


class Case:
    def __init__(self, world):
        self.world = world
        self.targets = []
        self.callers = []
        self.sent = 0

    async def add(self, version, count, bootstrap):
        """Starts machines with targets of the version."""
        added = []
        for _ in range(count):
            name = f"box-{len(self.world.machines)}"
            machine = self.world.machine(name, "box-office")
            await machine.start(bootstrap)
            target = Target(self.world.record, "box-office", version, machine.application,
                            work=lambda request: random.uniform(0.05, 0.15))
            await target.start(machine.control)
            added.append((machine, target))
        self.targets += added
        return added

    async def one_request(self):
        machine = random.choice(self.callers)
        identity = f"{random.getrandbits(64):016x}"
        answer = await call(machine.outbound, "GET", "/seats/1", {
            "Host": HOST, "X-Tarragontray-Attempt-Id": identity, LEFT: "2000"}, limit=2.5)
        self.world.record.line(f"client: {identity} by {machine.name} -> "
                               f"{answer.status if answer else 'no answer'}")

    async def traffic(self):
        tasks = set()
        while True:
            task = asyncio.create_task(self.one_request())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            self.sent += 1
            await asyncio.sleep(random.expovariate(RATE))

    async def order(self, version):
        self.world.record.line(f"operator: orders {version}")
        await self.world.store.put("rollouts", "box-office", {
            "Service": "box-office", "NewVersion": version, "Duration": f"{DURATION:.0f}s"})
        return now()

    def state_of(self, version):
        status = self.world.store.get("rollouts", "box-office")["Status"] or {}
        return status.get("State") if status.get("NewVersion") == version else None

    async def outcome(self, version, limit):
        end = now() + limit
        while now() < end:
            if self.state_of(version) in ("completed", "rolled_back"):
                return self.state_of(version), now()
            await asyncio.sleep(0.05)
        return self.state_of(version), now()

    async def stop_targets(self, pairs):
        """Targets end at once; their machines are taken away."""
        for machine, target in pairs:
            await target.stop()
            machine.process.terminate()


async def case(world):
    await world.store.start()
    await world.store.put("config", "main", {"Version": 7, "BaseVersion": 5, "Resources": [
        route("r-seats", HOST, "/seats/", "idempotent", "box-office", "1500ms", "500ms", 2),
        route("r-list", HOST, "/list/", "idempotent", "catalogue", "1500ms", "500ms", 2),
        service("box-office"), service("catalogue"), LIMITS]})
    played = Case(world)
    for number in range(3):
        machine = world.machine(f"cat-{number}", "catalogue")
        await machine.start(True)
        target = Target(world.record, "catalogue", "v1", machine.application)
        await target.start(machine.control)
        played.callers.append(machine)
    current = await played.add(SERIES[0], 3, True)
    await world.wait_ready(world.machines)
    traffic = asyncio.create_task(played.traffic())
    await asyncio.sleep(5)

    for version in SERIES[1:-1]:
        following = await played.add(version, 3, False)
        await asyncio.sleep(1)
        ordered = await played.order(version)
        state, ended = await played.outcome(version, DURATION + 3)
        line = f"order for {version}: {state} after {ended - ordered:.1f} s"
        world.record.line(line)
        print(line)
        if state != "completed":
            raise CannotRun(line)
        await played.stop_targets(current)
        current = following
        await asyncio.sleep(5)

    new = await played.add(SERIES[-1], 3, False)
    if world.is_disturbed:
        for _, target in new:
            target.answer = lambda request: (500, b"bad") if random.random() < BAD_SHARE \
                else (200, b"done " * 20)
    await asyncio.sleep(1)
    ordered = await played.order(SERIES[-1])
    state, ended = await played.outcome(SERIES[-1], DURATION + 3)
    world.record.line(f"order for {SERIES[-1]}: {state} after {ended - ordered:.1f} s")
    if state == "completed":
        await played.stop_targets(current)
    await asyncio.sleep(max(0.0, ordered + DURATION - now()))
    deadline = ordered + DURATION
    traffic.cancel()

    def between(pairs):
        return sum(1 for _, t in pairs for run in t.runs if ordered <= run[0] < deadline)
    all_runs = between(played.targets)
    new_runs = between(new)
    allowed = EXPOSE_SHARE * all_runs + EXPOSE_SLACK
    text = (f"order for {SERIES[-1]}: {state} after {ended - ordered:.1f} s; of {all_runs} runs until "
            f"the deadline the new version got {new_runs}; allowed for a bad one {allowed:.0f}")
    return world.is_disturbed and new_runs > allowed, text


run_case(pathlib.Path(__file__).parent, case)
