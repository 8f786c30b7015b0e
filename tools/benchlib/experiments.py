"""The experiments in virtual time: moves, distribution, requests.

Their figures are exact for a seed. Bounds are the stated target's, or the
baseline's figure in the same run.
"""
import json
import pathlib
import subprocess

from benchlib.figures import Figure

LIMIT_S = 3600
MAX_CONVERGENCE_MS = 4000
MAX_BYTES_PER_S = 3000
TARGET_NODES = 1000
DATA_CENTRES = 9
# Nodes and data centres of the two example deployments.
DEPLOYMENTS = {"mesqel-gate": (10, 4), "vanua-voice": (12, 4)}


def _output(options, program, *flags):
    path = pathlib.Path(options.build) / "bin" / program
    options.say(" ".join([program, *flags]))
    run = subprocess.run([str(path), *flags, "--json"], capture_output=True,
                         text=True, check=True, timeout=LIMIT_S)
    return run.stdout


def moves(options):
    """Shares of good versions done in time and of bad ones taken back."""
    seeds = 3 if options.quick else 10
    rows = json.loads(_output(
        options, "tarragontray-experiment-moves", f"--seeds={seeds}",
        f"--first-seed={options.seed}"))
    found = {(row["policy"], row["kind"]): row for row in rows}
    ours, baseline = "sequential", "fixed-step"
    figures = []
    for kind, field, name in (("all-good", "done_in_time", "done in time"),
                              ("all-bad", "taken_back", "taken back")):
        row, other = found[ours, kind], found[baseline, kind]
        share = row[field] / row["moves"]
        least = other[field] / other["moves"]
        figures.append(Figure("moves", f"{kind}, {name}", share, "share",
                              least=least,
                              note=f"{row[field]} of {row['moves']}; "
                                   f"baseline {least:.3f}"))
    bad = found[ours, "all-bad"]
    figures.append(Figure("moves", "all-bad, stopped after, median",
                          bad["stop_seconds_p50"], "s",
                          note=f"most {bad['stop_seconds_max']:.1f}"))
    return figures, rows


def _spreads(options, sizes, centres):
    text = _output(options, "tarragontray-experiment-distribution",
                   f"--sizes={sizes}", f"--data-centres={centres}",
                   "--detection-nodes=0", f"--seed={options.seed}")
    return [json.loads(line) | {"data_centres": centres}
            for line in text.splitlines()]


def _spread_figures(name, row):
    figures = [Figure("distribution", f"{name}, control bytes, mean",
                      row["mean_bytes_s"], "B/s",
                      MAX_BYTES_PER_S,
                      note=f"most of a node {row['max_bytes_s']:.0f}; "
                           f"platform {row['platform_calls_s']:.2f} calls/s")]
    if row["scenario"] != "rest":
        figures.append(Figure(
            "distribution", f"{name}, in force everywhere, longest",
            row["max_ms"], "ms", MAX_CONVERGENCE_MS,
            note=f"p50 {row['p50_ms']:.0f}, p99 {row['p99_ms']:.0f}"))
        figures.append(Figure("distribution", f"{name}, missing",
                              row["missing"], "", 0))
    return figures


def distribution(options):
    """Spread in fleets of growing size and in both deployments."""
    figures, rows = _spread(options, "40,160")
    for account, (nodes, centres) in DEPLOYMENTS.items():
        more = _spreads(options, str(nodes), centres)
        rows += more
        for row in more:
            if row["way"] == "gossip" and row["scenario"] != "return":
                figures += _spread_figures(f"{account}, {row['scenario']}",
                                           row)
    return figures, rows


def target_size(options):
    """Spread at the size of the target; takes many minutes."""
    return _spread(options, str(TARGET_NODES))


def _spread(options, sizes):
    rows = _spreads(options, sizes, DATA_CENTRES)
    figures = []
    for row in rows:
        if row["way"] == "gossip":
            name = f"{row['nodes']} nodes, {row['scenario']}"
            figures += _spread_figures(name, row)
    return figures, rows


def requests(options):
    """Policies of requests against their baselines."""
    result = json.loads(_output(options, "tarragontray-experiment-requests",
                                f"--seed={options.seed}"))
    figures = []
    loads = {}
    for row in result["loads"]:
        loads.setdefault(row["load"], []).append(row)
    for load, (ours, baseline) in sorted(loads.items()):
        name = f"load {load:g}"
        figures.append(Figure(
            "requests", f"{name}, p99 of steady accounts against baseline",
            ours["steady_p99_ms"] / baseline["steady_p99_ms"], "ratio", 1,
            note=f"{ours['steady_p99_ms']:.1f} ms"))
        figures.append(Figure(
            "requests", f"{name}, least done share of a steady account",
            min(ours["account_done"][:2]), "share",
            least=min(baseline["account_done"][:2]),
            note="bound: the baseline's"))
    return figures, result
