"""Convergence time and control bytes of the two example deployments.

Each runs as real processes, with the data centres and targets of its
examples/*.deployment.json. The shares of moves are in experiments.py.
"""
import dataclasses
import statistics
import time

from benchlib import control, documents
from benchlib.figures import Figure
from benchlib.fleet import Fleet, Processes, Upstream


def _upstreams(account):
    deployment = documents.example(f"{account}.deployment.json")
    return [Upstream(account, service, data_centre=centre["name"],
                     region=deployment["region"])
            for centre in deployment["data_centres"]
            for service, count in centre["targets"].items()
            for _ in range(count)]


def _measure(options, account, plan):
    with Processes(options.build) as processes:
        fleet = Fleet(processes, options.block, _upstreams(account),
                      seed=options.seed)
        fleet.start()
        try:
            revisions = documents.put_examples(fleet, (account,))
            fleet.await_live(control.START_LIMIT_S)
            fleet.await_version(account, revisions[account],
                                control.START_LIMIT_S)
            time.sleep(plan.settle_s)
            times = control.measure_convergence(
                fleet, plan.single_changes, account)
            samples = control.measure(fleet, "rest",
                                      lambda: time.sleep(plan.rest_s))
            samples += control.measure(
                fleet, "change",
                lambda: control.change(fleet, plan.change_s, account))
        finally:
            fleet.stop()
    return times, samples


def _figures(account, times, samples):
    note = (f"{times.nodes} nodes, resolution {times.resolution_s:.3f} s, "
            f"{times.missing} missing")
    figures = [Figure("deployments", f"{account}, one change, longest",
                      max(times.single_s), "s", control.MAX_CONVERGENCE_S,
                      note=f"of {len(times.single_s)}; {note}"),
               Figure("deployments", f"{account}, burst of {control.BURST}",
                      times.burst_s, "s", control.MAX_CONVERGENCE_S,
                      note=note)]
    for window in ("rest", "change"):
        values = [control.value_of(s, "bytes_per_s") for s in samples
                  if s.window == window]
        figures.append(Figure(
            "deployments", f"{account}, {window}, control bytes of a node",
            statistics.fmean(values), "B/s", control.MAX_BYTES_PER_S,
            note=f"most {max(values):.0f}"))
    return figures


def run(options, plan):
    """Gives figures and detail."""
    figures, detail = [], {}
    for account in documents.EXAMPLE_TEMPLATES:
        options.say(f"deployment of {account}")
        times, samples = _measure(options, account, plan)
        figures += _figures(account, times, samples)
        detail[account] = {
            "convergence": dataclasses.asdict(times),
            "samples": [dataclasses.asdict(s) for s in samples]}
    return figures, detail
