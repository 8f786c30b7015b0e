"""The worst hour: a data centre of the target's size returns as a herd.

One data centre has as many nodes as each of the target's nine, the others
have few. While a move runs and the platform is out, all nodes of the large
one are killed and started again at once. Their peers must bring them the
versions in force.
"""
import dataclasses
import json
import statistics
import tempfile
import time

from benchlib import control, documents
from benchlib.figures import Figure, percentile
from benchlib.fleet import (DATA_CENTRES, Fleet, Processes,
                            example_upstreams, filler_services)

HERD = 111
OTHERS_PER_DATA_CENTRE = 6
SIZE = HERD + (DATA_CENTRES - 1) * OTHERS_PER_DATA_CENTRE
REST_S = 20
DOWN_S = 8
AFTER_S = 20
RETURN_LIMIT_S = 60


def _upstreams():
    """The box office is outside of the herd's data centre."""
    others = SIZE - HERD
    found = []
    for vm, upstream in enumerate(example_upstreams(SIZE)):
        centre = 2 + vm % (DATA_CENTRES - 1) if vm < others else 1
        found.append(dataclasses.replace(
            upstream, data_centre=f"dc{centre}",
            region=f"region{(centre - 1) // 3 + 1}"))
    return found


def _start(processes, options):
    fleet = Fleet(processes, options.block, _upstreams(), seed=options.seed)
    fleet.start()
    revisions = documents.put_examples(fleet)
    revisions |= documents.put_fillers(fleet, filler_services(SIZE))
    fleet.await_live(control.START_LIMIT_S)
    for account, revision in revisions.items():
        fleet.await_version(account, revision, control.START_LIMIT_S)
    time.sleep(20)
    return fleet


def _rest_figures(samples, herd):
    figures = []
    for role in ("plain", "relay"):
        chosen = [s for s in samples
                  if s.vm in herd and s.is_relay == (role == "relay")]
        for field, (unit, most) in control.FIELDS.items():
            values = [control.value_of(s, field) for s in chosen]
            if values:
                figures.append(Figure(
                    "herd", f"rest, {role} node of {HERD}, {field}",
                    statistics.fmean(values), unit, most,
                    note=f"{len(values)} nodes, most {max(values):.4g}"))
    return figures


def _load(fleet, processes, mix, options, others):
    fronts = ",".join(fleet.front(vm) for vm in others)
    return processes.start(
        "tarragontray-load", f"--nodes={fronts}", f"--mix={mix}",
        "--rate=200", f"--duration-ms={documents.MOVE_SECONDS * 1000}",
        f"--seed={options.seed}", "--output=json")


def _return(fleet, herd, revision):
    """Kills and restarts the herd; gives what it took."""
    fleet.set_platform_faults({"down": "refuse"})
    fleet.kill_nodes(herd)
    time.sleep(DOWN_S)
    others = [vm for vm in range(fleet.size) if vm not in herd]
    before = {vm: (time.monotonic(), fleet.status(vm)["control"])
              for vm in others}
    begin = time.monotonic()
    fleet.restart_nodes(herd)
    started = time.monotonic()
    wait = fleet.await_version("mesqel-gate", revision, RETURN_LIMIT_S, herd)
    served = time.monotonic()
    live = fleet.await_live(RETURN_LIMIT_S, herd)
    known = time.monotonic()
    time.sleep(AFTER_S)
    survivors = {}
    for vm, (moment, first) in before.items():
        last = fleet.status(vm)["control"]
        seconds = time.monotonic() - moment
        survivors[vm] = _rates(first, last, seconds)
    zero = dict.fromkeys(first, 0)
    returned = {vm: _rates(zero, fleet.status(vm)["control"],
                           time.monotonic() - begin) for vm in herd}
    fleet.set_platform_faults({"down": "no"})
    return {"start_s": started - begin, "served_s": served - started,
            "known_s": known - started, "missing": wait.missing,
            "not_known": live.missing, "resolution_s": wait.resolution_s,
            "survivors": survivors, "returned": returned}


def _rates(first, last, seconds):
    """Bytes a second and percent of a core, between two looks."""
    sent = last["sent_bytes"] - first["sent_bytes"]
    received = last["received_bytes"] - first["received_bytes"]
    spent = last["processor_ms"] - first["processor_ms"]
    return {"bytes_per_s": (sent + received) / seconds,
            "core_percent": spent / 10 / seconds, "seconds": seconds}


def _return_figures(result):
    figures = [
        Figure("herd", "all returned nodes serve the version after",
               result["served_s"], "s", control.MAX_CONVERGENCE_S,
               note=f"{HERD} nodes ready after {result['start_s']:.1f} s; "
                    f"resolution {result['resolution_s']:.2f} s"),
        Figure("herd", "returned nodes without the version",
               result["missing"], "nodes", 0),
        Figure("herd", "all returned nodes know all upstreams after",
               result["known_s"], "s",
               note=f"{result['not_known']} nodes do not")]
    for group in ("survivors", "returned"):
        for field, (unit, most) in (
                ("bytes_per_s", control.FIELDS["bytes_per_s"]),
                ("core_percent", control.FIELDS["core_percent"])):
            values = [one[field] for one in result[group].values()]
            seconds = max(one["seconds"] for one in result[group].values())
            figures.append(Figure(
                "herd", f"return, {group}, mean {field}",
                statistics.fmean(values), unit, most,
                note=f"over {seconds:.0f} s; p99 "
                     f"{percentile(values, 0.99):.4g}, "
                     f"most {max(values):.4g}"))
    return figures


def _move_figures(fleet, load):
    kind = load["kinds"][0]
    moves = fleet.status(0)["moves"]
    state = moves[0]["state"] if moves else "none"
    return [Figure("herd", "calls not done during the move",
                   load["calls"] - kind["done"], "calls", 0,
                   note=f"of {load['calls']}; move {state}; "
                        f"{kind['refusals'] or ''}"),
            Figure("herd", "wrong answers", load["wrong_answers"], "", 0)]


def run(options):
    """Gives figures and detail."""
    herd = list(range(SIZE - HERD, SIZE))
    others = list(range(SIZE - HERD))
    with Processes(options.build) as processes, \
            tempfile.NamedTemporaryFile("w", suffix=".json") as mix:
        json.dump(control.MIX, mix)
        mix.flush()
        options.say(f"{HERD} nodes in one data centre, {SIZE} in all")
        fleet = _start(processes, options)
        try:
            rest = control.measure(fleet, "rest", lambda: time.sleep(REST_S))
            revision = fleet.put("configurations/mesqel-gate",
                                 documents.box_office_move(1))
            fleet.await_version("mesqel-gate", revision, RETURN_LIMIT_S)
            load = _load(fleet, processes, mix.name, options, others)
            result = _return(fleet, herd, revision)
            report = json.loads(load.communicate(timeout=90)[0])
            figures = _rest_figures(rest, herd) + _return_figures(result)
            figures += _move_figures(fleet, report)
        finally:
            fleet.stop()
    return figures, {"rest": [dataclasses.asdict(s) for s in rest],
                     "return": result, "load": report}
