"""What must hold in the demo, and its summary line."""
import datetime
import json


class Broken(Exception):
    """The session can't go on."""


def wall_text(time):
    return time.strftime("%Y-%m-%dT%H:%M:%S.") + f"{time.microsecond // 1000:03d}Z"


def wall_time(text):
    return datetime.datetime.fromisoformat(text.replace("Z", "+00:00"))


def move_line(move):
    share = 100 * max(move["shares"].values(), default=0)
    line = (f"move {move['account']}/{move['service']} {move['state']} "
            f"largest_share={share:.0f}%")
    if move["state"] == "taken-back":
        line += f" route={move['route']} reason=\"{move['reason']}\""
    return line


def load_line(account, output):
    try:
        report = json.loads(output)
    except ValueError:
        return f"load {account}: no report"
    kinds = " ".join(
        f"{kind['name']}: done={kind['done']} not_run={kind['not_run']} "
        f"unknown={kind['unknown']} lost={kind['lost']} failed={kind['failed']} "
        f"p50={kind['latency']['p50_us']}us p99={kind['latency']['p99_us']}us;"
        for kind in report["kinds"])
    return f"load {account}: calls={report['calls']} {kinds}"


class SessionResult:
    """Collects figures and what broke."""

    def __init__(self):
        self.broken = []
        self._convergence_ms = 0.0
        self._bytes_per_s = 0.0
        self._bad_share = 0.0
        self._in_time = 0
        self._taken_back = 0
        self._totals = dict.fromkeys(
            ("calls", "wrong_answers", "doubled_runs", "false_not_run"), 0)

    def fail(self, text):
        self.broken.append(text)

    def converged(self, spent_ms, missing):
        self._convergence_ms = max(self._convergence_ms, spent_ms)
        if missing:
            self.fail("change not in force on " + " ".join(vm.name for vm in missing))

    def move_ended(self, move, entry, is_good, deadline):
        name = f"{move[0]}/{move[1]}"
        state = entry["state"] if entry else "unknown"
        if not is_good:
            self._taken_back += state == "taken-back"
            if state != "taken-back":
                self.fail(f"bad move of {name} is {state}")
            return
        in_time = state == "done" and wall_time(entry["time"]) <= deadline
        self._in_time += in_time
        if not in_time:
            self.fail(f"good move of {name} is {state} at its deadline")

    def load_ended(self, account, status, output):
        try:
            report = json.loads(output)
        except ValueError:
            self.fail(f"load on {account} gave no report, exit status {status}")
            return
        for name in self._totals:
            self._totals[name] += report[name]
        for text in report["wrong"] + report["broken"]:
            self.fail(f"{account}: {text}")
        if report["logs_missing"]:
            self.fail(f"{account}: {report['logs_missing']} execution logs missing")

    def bad_share(self, output, kinds, version, first_s, last_s):
        """The bad version's part of its service's answers while it moved."""
        try:
            report = json.loads(output)
        except ValueError:
            return
        bad = everything = 0
        for kind in (k for k in report["kinds"] if k["name"] in kinds):
            # Only the bad version fails in this session.
            bad += kind["failed"]
            everything += kind["failed"]
            for entry in kind["timeline"]:
                if first_s <= entry["second"] <= last_s:
                    bad += entry["versions"].get(version, 0)
                    everything += sum(entry["versions"].values())
        self._bad_share = bad / max(1, everything)

    def went_back(self, cases):
        for case in cases:
            self.fail(f"configuration went back: {case}")

    def control_bytes(self, figures, seconds):
        """Sent and received bytes of the nodes, by node and second."""
        total = sum(f["sent_bytes"] + f["received_bytes"] for f in figures)
        self._bytes_per_s = total / max(1, len(figures)) / seconds

    def verdict(self):
        if not self.broken:
            return "everything that must hold held"
        return "BROKEN: " + "; ".join(self.broken)

    def summary(self):
        totals = " ".join(f"{name}={value}" for name, value in self._totals.items())
        return (f"{totals} moves_in_time={self._in_time} moves_taken_back={self._taken_back} "
                f"bad_version_share={self._bad_share:.3f} "
                f"worst_convergence_ms={self._convergence_ms:.0f} "
                f"control_bytes_per_node_s={self._bytes_per_s:.0f} "
                f"broken={len(self.broken)}")
