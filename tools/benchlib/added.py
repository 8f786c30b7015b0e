"""Time that nodes add to a call, and calls a second for a core of a node.

Each round sends the same load once straight to the upstreams and once through
two nodes; rounds of both alternate in one run. The callers enter at the node
of a catalogue VM, so that every call crosses two nodes.

Capacity is that of the one entry node with one traffic thread: the highest
rate of a ladder at which all calls are done and half of them within KNEE_MS.
Slots are ample and service times short, so that neither queueing for slots
nor chance in service times covers what the nodes add.
"""
import dataclasses
import json
import os
import pathlib
import tempfile
import time

from benchlib import documents
from benchlib.figures import Figure
from benchlib.fleet import Fleet, Processes, Upstream

MAX_ADDED_P99_MS = 0.96
START_LIMIT_S = 30
PERCENTILES = ("p50_us", "p99_us", "p999_us")
SLOTS = 400
SERVICE_US = 500
BACKENDS = 4
KNEE_MS = 5
# Calls a second.
LADDER = (500, 1000, 1500, 2000, 3000, 4000, 6000, 8000, 11000, 15000, 20000)
LADDER_S = 1


@dataclasses.dataclass
class Plan:
    """Cells and length of a run."""
    loads: tuple = (10, 50, 80)
    bodies: tuple = (1024, 65536)
    rounds: int = 3
    seconds: int = 3


def _upstreams():
    box = [Upstream("mesqel-gate", "box-office", "v1", True)] * BACKENDS
    return [Upstream("mesqel-gate", "catalogue")] + box


def _mix(body):
    return [{"name": "seats", "account": "mesqel-gate", "class": "fans",
             "method": "GET", "target": "/seat-maps/7", "weight": 1,
             "idempotent": True, "body_bytes": 0, "answer_bytes": body,
             "timeout_ms": 5000}]


def processor_s(pids):
    """Processor time of the processes so far, in seconds."""
    ticks = os.sysconf("SC_CLK_TCK")
    total = 0
    for pid in pids:
        text = pathlib.Path(f"/proc/{pid}/stat").read_text()
        fields = text.rsplit(")", 1)[1].split()
        total += int(fields[11]) + int(fields[12])
    return total / ticks


def _load(processes, addresses, mix, rate, seconds, seed, direct):
    flags = ["--direct"] if direct else []
    child = processes.start(
        "tarragontray-load", f"--nodes={','.join(addresses)}",
        f"--mix={mix}", f"--rate={rate}",
        f"--duration-ms={seconds * 1000}", f"--seed={seed}",
        f"--run=added-{seed}", "--output=json", *flags)
    return json.loads(child.communicate(timeout=seconds + 60)[0])


@dataclasses.dataclass
class Round:
    """One pair of loads."""
    direct: dict
    through: dict
    calls: int
    failed: int
    refusals: dict
    node_s: float


def _round(fleet, processes, mix, rate, plan, seed):
    backends = [fleet.backend(vm) for vm in fleet.backends]
    direct = _load(processes, backends, mix, rate, plan.seconds, seed,
                   True)
    pids = [node.pid for node in fleet.nodes]
    before = processor_s(pids)
    through = _load(processes, [fleet.front(0)], mix, rate, plan.seconds,
                    seed, False)
    spent = processor_s(pids) - before
    kind = through["kinds"][0]
    return Round(direct["kinds"][0]["latency"], kind["latency"],
                 through["calls"], through["calls"] - kind["done"],
                 kind["refusals"], spent)


def _capacity(fleet, processes, mix, seed):
    """The highest rate of the ladder that the path carries."""
    best = LADDER[0]
    for rate in LADDER:
        report = _load(processes, [fleet.front(0)], mix, rate, LADDER_S,
                       seed, False)
        kind = report["kinds"][0]
        late = kind["latency"]["p50_us"] > 1000 * KNEE_MS
        if late or kind["done"] < report["calls"]:
            break
        best = rate
    return best


def _median(values):
    ordered = sorted(values)
    return ordered[len(ordered) // 2]


def _cell(rounds, load, body):
    """Figures of the rounds of one load and body size."""
    name = f"{load} %, {body // 1024} KB"
    figures = []
    for key in PERCENTILES:
        added = [(r.through[key] - r.direct[key]) / 1000 for r in rounds]
        straight = _median([r.direct[key] / 1000 for r in rounds])
        figures.append(Figure(
            "added", f"{name}, {key[:-3]} added", _median(added), "ms",
            MAX_ADDED_P99_MS if key == "p99_us" else None,
            note=f"median of {len(rounds)} rounds, {min(added):.3f} to "
                 f"{max(added):.3f}; straight {straight:.3f}"))
    done = sum(r.calls - r.failed for r in rounds)
    spent = sum(r.node_s for r in rounds)
    figures.append(Figure(
        "added", f"{name}, calls for a core-second of all nodes",
        done / spent if spent else float("nan"), "calls",
        note=f"{done} calls, two nodes on each path"))
    figures.append(Figure("added", f"{name}, calls not done",
                          sum(r.failed for r in rounds), "calls", 0,
                          note=str(_sum_refusals(rounds) or "")))
    return figures


def _sum_refusals(rounds):
    total = {}
    for one in rounds:
        for reason, count in one.refusals.items():
            total[reason] = total.get(reason, 0) + count
    return total


def run(options, plan):
    """Gives figures and detail."""
    figures, detail = [], []
    with Processes(options.build) as processes:
        fleet = Fleet(processes, options.block, _upstreams(),
                      service_us=SERVICE_US, slots=SLOTS, seed=options.seed)
        fleet.start()
        revisions = documents.put_examples(fleet)
        wait = fleet.await_live(START_LIMIT_S)
        ready = fleet.await_version(
            "mesqel-gate", revisions["mesqel-gate"], START_LIMIT_S)
        if not wait.is_done or not ready.is_done:
            raise RuntimeError("the fleet did not become whole")
        time.sleep(3)
        try:
            for body in plan.bodies:
                more, cells = _run_body(options, plan, fleet, processes, body)
                figures += more
                detail += cells
        finally:
            fleet.stop()
    return figures, {"cells": detail}


def _run_body(options, plan, fleet, processes, body):
    """All loads with one size of answers."""
    with tempfile.NamedTemporaryFile("w", suffix=".json") as mix:
        json.dump(_mix(body), mix)
        mix.flush()
        capacity = _capacity(fleet, processes, mix.name, options.seed)
        figures = [Figure("added", f"{body // 1024} KB, capacity of one "
                          "entry node with one traffic thread", capacity,
                          "calls/s", note=f"half within {KNEE_MS} ms")]
        cells = []
        for load in plan.loads:
            rate = capacity * load // 100
            options.say(f"{rate} calls/s, {body} B")
            rounds = [_round(fleet, processes, mix.name, rate, plan,
                             options.seed + number)
                      for number in range(plan.rounds)]
            figures += _cell(rounds, load, body)
            cells.append({"load": load, "body": body, "capacity": capacity,
                          "rounds": [dataclasses.asdict(r) for r in rounds]})
    return figures, cells
