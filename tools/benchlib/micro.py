"""Micro-benchmarks and their growth with configuration and fleet size."""
import json
import pathlib
import subprocess

from benchlib.figures import Figure

LIMIT_S = 300
PROGRAMS = ("expansion_benchmark", "view_benchmark",
            "datagram_benchmark", "frame_benchmark", "request_benchmark")
# Work of the request path: the larger fleet may cost it no more. A ratio
# above this is growth; caches make some difference.
MAX_REQUEST_PATH_GROWTH = 2.0
REQUEST_PATH = ("ChooseTarget", "PlanCall", "GuardCall")


def _times(options, program):
    """(name, scale) to nanoseconds of processor time."""
    seconds = "0.05" if options.quick else "0.3"
    options.say(program)
    run = subprocess.run(
        [str(pathlib.Path(options.build) / "bin" / program),
         "--benchmark_format=json", f"--benchmark_min_time={seconds}"],
        capture_output=True, text=True, check=True, timeout=LIMIT_S)
    times = {}
    for row in json.loads(run.stdout)["benchmarks"]:
        name, _, scale = row["name"].rpartition("/")
        if name:
            times[name, int(scale)] = row["cpu_time"]
    return times


def run(options):
    """Gives figures and detail."""
    times = {}
    for program in PROGRAMS:
        times |= _times(options, program)
    figures = []
    for name in sorted({name for name, _ in times}):
        scales = sorted(scale for other, scale in times if other == name)
        first, last = times[name, scales[0]], times[name, scales[-1]]
        path = name.split("/")[0] in REQUEST_PATH
        figures.append(Figure(
            "micro", f"{name}, {scales[-1]} against {scales[0]}",
            last / first, "ratio",
            MAX_REQUEST_PATH_GROWTH if path else None,
            note=", ".join(f"{scale}: {times[name, scale] / 1000:.3g} us"
                           for scale in scales)))
    return figures, {f"{name}/{scale}": value
                     for (name, scale), value in times.items()}
