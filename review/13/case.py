"""A target's acknowledged departure, an outage of the store and a kill of all
processes; a heartbeat from before the departure arrives late."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standins-3"))
import mesh as standins

DRAIN_S = standins.BOUNDS["Drain"]
STABILITY_S = 3.0
RESTART_DELAY_S = 0.5
# How long the store is down: from 0.5 s before the departure.
OUTAGE_S = 4.0
# The heartbeat before the departure arrives this much after it.
BEAT_DELAY_S = 5.0
# The target serves on for "many seconds" before it exits.
SERVES_S = 11.0


async def case(make, has_trouble, record):
    mesh = make([("zone-a", "desk"), ("zone-b", "desk"), ("zone-c", "records"),
                 ("zone-a", "records"), ("zone-a", "desk"), ("zone-b", "desk")])
    await mesh.start(work_s=0.2)
    leaving, entry = mesh.targets[0], mesh.nodes[2]
    leaving.stop_beats()
    late_beat = leaving.next_beat()
    down_since = time.monotonic()
    if has_trouble:
        mesh.store.cut(range(len(mesh.nodes)))
        record.add("the store is down")
    await asyncio.sleep(0.5)
    status = await leaving.deregister()
    acknowledged = time.monotonic()
    record.add(f"the departure of {leaving.instance} is answered with {status}")
    if status != 200:
        raise standins.CannotRun("the departure is not acknowledged")
    if has_trouble:
        for node in mesh.nodes:
            node.process.kill()
        for node in mesh.nodes:
            node.process.wait()
        record.add("all processes are killed")
        await asyncio.sleep(RESTART_DELAY_S)
        for node in mesh.nodes:
            node.start(bootstrap=False)
        await asyncio.sleep(OUTAGE_S - (time.monotonic() - down_since))
        mesh.store.heal()
        record.add("the store is up")
    await asyncio.sleep(BEAT_DELAY_S - (time.monotonic() - acknowledged))
    status = await leaving.send_beat(late_beat)
    record.add(f"the late heartbeat {late_beat['Status']['Sequence']} is answered with {status}")
    await mesh.wait_ready(mesh.nodes)
    # From here on all machines are in touch.
    await asyncio.sleep(max(0.0, STABILITY_S + OUTAGE_S - (time.monotonic() - down_since)))
    first = time.monotonic()
    if first < acknowledged + DRAIN_S:
        raise standins.CannotRun("too early")
    lost = await load(mesh, entry, leaving, acknowledged)
    late = [attempt for at, attempt in leaving.runs if at > first]
    record.add(f"requests that reached {leaving.instance} later than Drain after its "
               f"acknowledged departure: {len(late)}; of these lost when it exited: "
               f"{len([attempt for attempt in lost if attempt in late])}")
    return bool(late)


async def load(mesh, entry, leaving, acknowledged):
    """Sends requests until after the target's exit. Returns those without a
    success."""
    exits = asyncio.get_running_loop().create_task(exit_at(leaving, acknowledged + SERVES_S))
    sending = []
    while time.monotonic() < acknowledged + SERVES_S + 0.5:
        sending.append(asyncio.create_task(
            mesh.send(entry, "/desk-once/a", "POST", body=b"x")))
        await asyncio.sleep(0.05)
    ends = await asyncio.gather(*sending)
    await exits
    return [attempt for attempt, status, _ in ends if status != 200]


async def exit_at(target, at):
    await asyncio.sleep(at - time.monotonic())
    await target.exit()


standins.main(case, __file__)
