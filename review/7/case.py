"""A node is stopped by SIGTERM while a client sends it a request and the target
beside it is still at work on another one.

The nodes m1 to m4 are stopped in turn, round after round. Each is alone in its
zone, so that its clients still get work while it isn't ready ("This does not
apply if fewer than half of the zone's nodes are in").
"""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from mesh import *

ROUNDS = 11
STOPPED = 4
# Least time between the stops of two nodes.
GAP_S = 1.3
# The site's event-list works for 2.4 s at most.
LONG_WORK_S = 2.35
# The long request is sent this long after the SIGTERM.
LONG_AT_S = 1.2
PURCHASE_WORK_S = 1.1
PURCHASE_BYTES = 24000
# The purchase's first byte is sent this long after the SIGTERM, its last byte
# UPLOAD_S later.
PURCHASE_AT_S = 2.85
UPLOAD_S = 0.3


async def work(target, request, reader, writer):
    """Long reviews at m1, purchases at the other targets."""
    target.run(request)
    await asyncio.sleep(LONG_WORK_S if "/review/" in request.first else PURCHASE_WORK_S)
    writer.write(target.answer(request))
    await writer.drain()
    target.record("run ends", target.id, request.get("x-tarragontray-attempt-id"))
    return True


async def review(mesh, machine, service):
    client = await Client(mesh, machine).open()
    result = await client.call("GET", f"/review/{service}/1", deadline_ms=5000)
    client.close()
    return result


async def purchase(mesh, machine):
    """\return (id, answer, time of the last byte); no time when the connection
    ended before."""
    attempt = new_id()
    body = b"x" * PURCHASE_BYTES
    client = await Client(mesh, machine).open()
    text = request_text("POST", "/buy/1", attempt, body, 2500)
    mesh.record("send", machine.name, attempt, "POST /buy/1", f"body={len(body)}", "first byte")
    pieces = 6
    size = len(text) // pieces + 1
    try:
        for at in range(0, len(text), size):
            client.writer.write(text[at:at + size])
            await client.writer.drain()
            if at + size < len(text):
                await asyncio.sleep(UPLOAD_S / (pieces - 1))
    except ConnectionError:
        # The request wasn't read whole, so that the rule doesn't count it.
        mesh.record("cut while being sent", attempt)
        client.close()
        return attempt, None, None
    last = now()
    mesh.record("sent", attempt, "last byte")
    try:
        answer = await asyncio.wait_for(read_response(client.reader), 5)
    except asyncio.TimeoutError:
        answer = None
    mesh.record("answer", attempt, answer.first if answer else "the connection ended without an answer")
    client.close()
    return attempt, answer, last


async def wait_for_turn(turns, lock=asyncio.Lock()):
    """Returns GAP_S after the call before it at the earliest."""
    async with lock:
        await asyncio.sleep(max(0, turns[-1] + GAP_S - now()) if turns else 0)
        turns.append(now())


async def one_stop(mesh, machine, turns, has_trouble):
    """Stops the node of a machine and starts it again. \return what was broken."""
    await wait_for_turn(turns)
    stopped = now()
    if has_trouble:
        machine.signal(signal.SIGTERM)
    await asyncio.sleep(LONG_AT_S)
    long_request = asyncio.create_task(review(mesh, mesh.machines[-1], machine.service))
    await asyncio.sleep(PURCHASE_AT_S - LONG_AT_S)
    attempt, answer, last = await purchase(mesh, machine)
    ended = now()
    await long_request
    await asyncio.sleep(0.5)
    if has_trouble:
        while not machine.has_ended():
            await asyncio.sleep(0.05)
        mesh.record("ended", machine.name, f"status={machine.process.returncode}")
        machine.start()
        await mesh.until_ready([machine])
    runs = [t.id for t in mesh.targets for _, a, _ in t.runs if a == attempt]
    if answer is None and last is not None and runs:
        return [f"LOST: {attempt} was read whole and run by {runs[0]}; its last byte was sent "
                f"{last - stopped:.2f} s after the SIGTERM, and the connection ended without an answer "
                f"{ended - stopped:.2f} s after it"]
    return []


async def stop_again_and_again(mesh, number, turns, has_trouble):
    broken = []
    for _ in range(ROUNDS):
        broken += await one_stop(mesh, mesh.machines[number], turns, has_trouble)
    return broken


async def case(mesh, has_trouble):
    for target in mesh.targets:
        target.hook = work
    mesh.configure([*(mesh.route(service, f"/review/{service}/", "idempotent", service, timeout="5000ms")
                      for service in RECORDS),
                    mesh.route("buy", "/buy/", "non_idempotent", "desk", timeout="1500ms")])
    await mesh.start()
    turns = []
    broken = await asyncio.gather(*(stop_again_and_again(mesh, number, turns, has_trouble)
                                    for number in range(STOPPED)))
    return [line for lines in broken for line in lines]


RECORDS = tuple(f"records-{number + 1}" for number in range(STOPPED))
main(case, zones=("e", "a", "b", "c", "d", "e"), services=(*RECORDS, "desk"), per_service=[1] * STOPPED + [2])
