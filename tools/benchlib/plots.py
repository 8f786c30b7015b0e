"""Draws the results with gnuplot as SVG."""
import pathlib
import subprocess

HEAD = """set terminal svg size 800,480 dynamic
set output '{output}'
set title '{title}'
set xlabel '{x}'
set ylabel '{y}'
set key outside
set grid
"""


def _draw(path, title, axes, series):
    """Draws named series of (x, y) points with lines."""
    if not series:
        return
    x, y = axes
    blocks, plots = [], []
    for number, (name, points) in enumerate(sorted(series.items())):
        rows = "\n".join(f"{a} {b}" for a, b in points)
        blocks.append(f"$d{number} << END\n{rows}\nEND\n")
        plots.append(f"$d{number} with linespoints title '{name}'")
    script = "".join(blocks) + HEAD.format(output=path, title=title, x=x, y=y)
    script += "plot " + ", ".join(plots) + "\n"
    subprocess.run(["gnuplot"], input=script.encode(), check=True)


def draw(detail, folder):
    """Writes the drawings of all parts in detail into folder."""
    folder = pathlib.Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    _draw_convergence(detail, folder)
    _draw_control(detail, folder)
    _draw_move(detail, folder)
    _draw_latency(detail, folder)


def _draw_convergence(detail, folder):
    rows = detail.get("control", {}).get("convergence", [])
    if rows:
        _draw(folder / "convergence.svg", "Change in force on every node",
              ("nodes", "seconds"),
              {"one change, longest": [(r["nodes"], max(r["single_s"]))
                                       for r in rows],
               "burst": [(r["nodes"], r["burst_s"]) for r in rows]})


def _draw_control(detail, folder):
    lines = detail.get("control", {}).get("lines", [])
    for field in sorted({line["field"] for line in lines}):
        _draw(folder / f"control-{field}.svg", f"Control of a node, {field}",
              ("nodes", field),
              {f"{line['window']}, {line['role']}": line["points"]
               for line in lines if line["field"] == field})


def _draw_move(detail, folder):
    for fleet in detail.get("control", {}).get("fleets", []):
        if not fleet["move"]:
            continue
        series = {}
        for entry in fleet["move"]["timeline"]:
            total = sum(entry["versions"].values())
            for version, count in entry["versions"].items():
                series.setdefault(version, []).append(
                    (entry["second"], count / total))
        _draw(folder / f"move-{fleet['nodes']}.svg",
              f"Share of calls by version, {fleet['nodes']} nodes",
              ("seconds", "share"), series)


def _draw_latency(detail, folder):
    cells = detail.get("added", {}).get("cells", [])
    for body in sorted({cell["body"] for cell in cells}):
        series = {}
        for cell in (c for c in cells if c["body"] == body):
            for way in ("direct", "through"):
                for key in ("p50_us", "p99_us"):
                    values = sorted(r[way][key] for r in cell["rounds"])
                    series.setdefault(f"{way} {key[:-3]}", []).append(
                        (cell["load"], values[len(values) // 2] / 1000))
        _draw(folder / f"latency-{body}.svg", f"Latency, {body} B answers",
              ("% of capacity", "ms"), series)
