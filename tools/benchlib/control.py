"""Cost of control and time to convergence of fleets of growing size.

Processor time and bytes are what each node counts for its control thread
(/status, control): UDP with IP and UDP headers, pulls without TCP's headers,
not the platform's HTTP. Platform calls count a waiting watch as one.
"""
import dataclasses
import json
import pathlib
import statistics
import tempfile
import time

from benchlib import documents
from benchlib.figures import Figure, least_squares, percentile
from benchlib.fleet import (DATA_CENTRES, Fleet, Processes, example_upstreams,
                            filler_services)

# The stated target.
TARGET_NODES = 1000
MAX_CORE_PERCENT = 3.4
MAX_MEMORY_MB = 256
MAX_BYTES_PER_S = 3000
MAX_CONVERGENCE_S = 4.0

START_LIMIT_S = 60
CONVERGENCE_LIMIT_S = 30
BURST = 20
CHANGE_INTERVAL_S = 10
CALLS_PER_NODE_AND_S = 2
MIX = [{"name": "seats", "account": "mesqel-gate", "class": "fans",
        "method": "GET", "target": "/seat-maps/7", "weight": 1,
        "idempotent": True, "body_bytes": 0, "answer_bytes": 512,
        "timeout_ms": 600}]


@dataclasses.dataclass
class Plan:
    """Sizes and window lengths of a run."""
    sizes: list
    rest_s: int = 20
    change_s: int = 20
    move_s: int = 30
    settle_s: int = 8
    single_changes: int = 3


@dataclasses.dataclass
class Sample:
    """One node over one window."""
    nodes: int
    window: str
    vm: int
    is_relay: bool
    core_percent: float
    sent_per_s: float
    received_per_s: float
    platform_per_s: float
    memory_mb: float


def memory_mb(pid):
    """Resident memory of a process."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return float("nan")


def _look(fleet):
    """The time and the figures of each node; the time is each node's own."""
    looks = []
    for vm in range(fleet.size):
        status = fleet.status(vm)
        looks.append((time.monotonic(), status["relay"], status["control"]))
    return looks


def _samples(fleet, window, before, after):
    samples = []
    for vm, (first, last) in enumerate(zip(before, after)):
        seconds = last[0] - first[0]

        def rate(name, first=first, last=last, seconds=seconds):
            return (last[2][name] - first[2][name]) / seconds

        samples.append(Sample(
            fleet.size, window, vm, last[1], rate("processor_ms") / 10,
            rate("sent_bytes"), rate("received_bytes"),
            rate("platform_calls"), memory_mb(fleet.nodes[vm].pid)))
    return samples


def measure(fleet, window, work):
    """Samples of all nodes over the time that work takes."""
    before = _look(fleet)
    work()
    return _samples(fleet, window, before, _look(fleet))


def change(fleet, seconds, account="mesqel-gate"):
    """Writes a change every CHANGE_INTERVAL_S."""
    end = time.monotonic() + seconds
    for number in range(seconds // CHANGE_INTERVAL_S):
        fleet.put(f"configurations/{account}",
                  documents.changed_parameters(account, 700 + number))
        time.sleep(CHANGE_INTERVAL_S)
    time.sleep(max(0.0, end - time.monotonic()))


def _move(fleet, processes, seconds, seed, mix):
    fleet.put("configurations/mesqel-gate", documents.box_office_move(1))
    fronts = ",".join(fleet.front(vm) for vm in range(fleet.size))
    load = processes.start(
        "tarragontray-load", f"--nodes={fronts}", f"--mix={mix}",
        f"--rate={CALLS_PER_NODE_AND_S * fleet.size}",
        f"--duration-ms={seconds * 1000}", f"--seed={seed}",
        "--output=json")
    return json.loads(load.communicate(timeout=seconds + 60)[0])


@dataclasses.dataclass
class Convergence:
    """Times from the accepted write to in force on every node."""
    nodes: int
    single_s: list
    burst_s: float
    resolution_s: float
    missing: int


def _converge(fleet, account, count, first_value):
    """Writes count changes; the time is from the first accepted write."""
    begin = None
    for number in range(count):
        revision = fleet.put(
            f"configurations/{account}",
            documents.changed_parameters(account, first_value + number))
        begin = begin or time.monotonic()
    wait = fleet.await_version(account, revision, CONVERGENCE_LIMIT_S)
    return time.monotonic() - begin, wait


def measure_convergence(fleet, singles, account="mesqel-gate"):
    """Times of single changes and of a burst."""
    times, waits = [], []
    for number in range(singles):
        seconds, wait = _converge(fleet, account, 1, 800 + number)
        times.append(seconds)
        waits.append(wait)
        time.sleep(1)
    burst, wait = _converge(fleet, account, BURST, 900)
    waits.append(wait)
    return Convergence(fleet.size, times, burst,
                       max(one.resolution_s for one in waits),
                       sum(one.missing for one in waits))


def _start(processes, block, size, seed):
    fleet = Fleet(processes, block, example_upstreams(size), seed=seed)
    fleet.start()
    revisions = documents.put_examples(fleet)
    revisions |= documents.put_fillers(fleet, filler_services(size))
    live = fleet.await_live(START_LIMIT_S)
    missing = live.missing
    for account, revision in revisions.items():
        missing += fleet.await_version(account, revision,
                                       START_LIMIT_S).missing
    return fleet, missing


def _run_size(options, plan, size, parts):
    samples, convergence, move = [], None, None
    with Processes(options.build) as processes, \
            tempfile.NamedTemporaryFile("w", suffix=".json") as mix:
        json.dump(MIX, mix)
        mix.flush()
        begin = time.monotonic()
        fleet, missing = _start(processes, options.block, size, options.seed)
        started_s = time.monotonic() - begin
        try:
            time.sleep(plan.settle_s)
            if "convergence" in parts:
                convergence = measure_convergence(fleet, plan.single_changes)
            if "control" in parts:
                samples += measure(fleet, "rest",
                                   lambda: time.sleep(plan.rest_s))
                samples += measure(fleet, "change",
                                   lambda: change(fleet, plan.change_s))
                loads = []
                samples += measure(
                    fleet, "move", lambda: loads.append(_move(
                        fleet, processes, plan.move_s, options.seed,
                        mix.name)))
                move = _move_outcome(fleet, loads[0])
        finally:
            fleet.stop()
        extra = {"nodes": size, "missing_at_start": missing,
                 "started_s": started_s, "move": move,
                 "failed_announcements": fleet.failed_announcements}
    return samples, convergence, extra


def _move_outcome(fleet, load):
    """How the move stood at the end, and what the calls saw."""
    moves = fleet.status(0)["moves"]
    state = moves[0]["state"] if moves else "none"
    kind = load["kinds"][0]
    return {"state": state, "reason": moves[0]["reason"] if moves else "",
            "calls": load["calls"], "wrong": load["wrong_answers"],
            "done": kind["done"], "refusals": kind["refusals"],
            "timeline": kind["timeline"]}


def run(options, plan, parts):
    """Runs the parts ("control", "convergence"); gives figures and detail."""
    samples, convergences, extras = [], [], []
    for size in plan.sizes:
        options.say(f"fleet of {size} nodes")
        more, convergence, extra = _run_size(options, plan, size, parts)
        samples += more
        extras.append(extra)
        if convergence:
            convergences.append(convergence)
    figures = _control_figures(samples) if samples else []
    figures += _start_figures(extras)
    figures += _convergence_figures(convergences)
    return figures, {"samples": [dataclasses.asdict(s) for s in samples],
                     "lines": lines(samples),
                     "convergence": [dataclasses.asdict(c)
                                     for c in convergences],
                     "fleets": extras}


FIELDS = {"core_percent": ("% of a core", MAX_CORE_PERCENT),
          "bytes_per_s": ("B/s", MAX_BYTES_PER_S),
          "memory_mb": ("MB", MAX_MEMORY_MB),
          "platform_per_s": ("calls/s", None)}


def value_of(sample, field):
    """A field of FIELDS of a sample."""
    if field == "bytes_per_s":
        return sample.sent_per_s + sample.received_per_s
    return getattr(sample, field)


def _stewards(samples):
    """Of one window: in each data centre the node that receives the most.

    Reports of a move go to one node of each data centre, its steward; nothing
    else differs as much between nodes.
    """
    most = {}
    for sample in samples:
        centre = sample.vm % DATA_CENTRES
        if centre not in most or (sample.received_per_s
                                  > most[centre].received_per_s):
            most[centre] = sample
    return list(most.values())


def _with_role(samples, window, role):
    """The samples of one size and window whose node has the role."""
    stewards = _stewards(samples) if window == "move" else []
    if role == "steward":
        return stewards
    return [s for s in samples
            if s.is_relay == (role == "relay") and s not in stewards]


def _means(samples, window, role, field):
    """(nodes, mean over the nodes of the role) for each size."""
    points = []
    for size in sorted({s.nodes for s in samples}):
        chosen = [s for s in samples
                  if (s.nodes, s.window) == (size, window)]
        values = [value_of(s, field)
                  for s in _with_role(chosen, window, role)]
        if values:
            points.append((size, statistics.fmean(values)))
    return points


def lines(samples):
    """The fitted line of each window, role and field, with its points."""
    found = []
    for window in ("rest", "change", "move"):
        for role in ("plain", "relay", "steward"):
            for field in FIELDS:
                points = _means(samples, window, role, field)
                # With three relays in a data centre, fleets below this size
                # are of relays alone.
                points = [p for p in points
                          if p[0] > 3 * DATA_CENTRES] or points
                if len(points) < 2:
                    continue
                line = least_squares(points)
                found.append({
                    "window": window, "role": role, "field": field,
                    "points": points, "slope": line.slope,
                    "offset": line.offset, "slope_error": line.slope_error,
                    "at_target": line.at(TARGET_NODES),
                    "error_at_target": line.error_at(TARGET_NODES)})
    return found


def _control_figures(samples):
    figures = []
    largest = max(s.nodes for s in samples)
    for window in ("rest", "change", "move"):
        for field, (unit, most) in FIELDS.items():
            values = [value_of(s, field) for s in samples
                      if (s.nodes, s.window) == (largest, window)]
            figures.append(Figure(
                "control", f"{window}, {largest} nodes, mean {field}",
                statistics.fmean(values), unit, most,
                note=f"p99 {percentile(values, 0.99):.4g}, "
                     f"most {max(values):.4g}"))
    for line in lines(samples):
        unit, most = FIELDS[line["field"]]
        figures.append(Figure(
            "control", f"{line['window']}, {line['role']} node, "
            f"{line['field']} at {TARGET_NODES} nodes",
            line["at_target"], unit, most,
            note=f"slope {line['slope']:.4g} +- {line['slope_error']:.2g} "
                 f"a node, from {line['points'][0][0]} to "
                 f"{line['points'][-1][0]}; +- {line['error_at_target']:.2g}"))
    return figures


def _start_figures(extras):
    return [Figure("control", f"{extra['nodes']} nodes, not whole at start",
                   extra["missing_at_start"], "nodes", 0,
                   note=f"whole after {extra['started_s']:.1f} s; "
                        f"announcements refused "
                        f"{extra['failed_announcements']}; move: "
                        f"{(extra['move'] or {}).get('state', 'none')}")
            for extra in extras]


def _convergence_figures(convergences):
    figures = []
    for one in convergences:
        note = (f"resolution {one.resolution_s:.2f} s, "
                f"{one.missing} nodes missing")
        figures.append(Figure(
            "convergence", f"{one.nodes} nodes, one change, longest",
            max(one.single_s), "s", MAX_CONVERGENCE_S,
            note=f"of {len(one.single_s)}; {note}"))
        figures.append(Figure(
            "convergence", f"{one.nodes} nodes, burst of {BURST}",
            one.burst_s, "s", MAX_CONVERGENCE_S, note=note))
    return figures
