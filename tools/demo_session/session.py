"""The scenario: both deployments, a good and a bad move, an outage, kills."""
import datetime
import json
import pathlib
import random
import time

import checks
import fleet as fleets
import observer as observers
import processes

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
EXAMPLES = ROOT / "examples"
READY_LIMIT_S = 15
CONVERGENCE_LIMIT_S = 10
DRAIN_LIMIT_S = 15
SERVICE_US = 4000
NODES_KILLED = 3

GOOD = ("mesqel-gate", "box-office", "v1", "v2")
BAD = ("vanua-voice", "booth-desk", "v1", "v2")
# The new booth desk loses two confirmations in five and is slow at them.
BAD_FAULTS = '[{"path": "/sessions", "fail": 0.4, "slow": 4}]'

MIXES = {
    "mesqel-gate": [
        ("seat-map", "fans", "GET", "/seat-maps/7", 6, True),
        ("reseller-seat-map", "resellers", "GET", "/resellers/seat-maps/7", 2, True),
        ("purchase", "fans", "POST", "/purchases", 3, False),
        ("catalogue-lookup", "internal", "GET", "/catalogue/7", 3, True)],
    "vanua-voice": [
        ("open-slots", "members", "GET", "/slots/7", 5, True),
        ("confirm", "members", "POST", "/sessions", 4, False),
        ("roster", "internal", "GET", "/roster/7", 2, True),
        ("session-logs", "directors", "GET", "/logs/7", 2, True)],
}


class Timing:
    """How long each part takes, in seconds."""

    def __init__(self, is_quick):
        self.before_moves = 1 if is_quick else 5
        self.move = 16 if is_quick else 60
        # Below the examples' limit, so that a quick move fits.
        self.hold_ms = 2000 if is_quick else 10000
        self.outage = 5 if is_quick else 25
        self.after = 1 if is_quick else 5
        self.load_limit = 120 if is_quick else 300
        self.rate = 250


class Session:
    def __init__(self, options, log_dir):
        self._begin = time.monotonic()
        self._options = options
        self._log_dir = log_dir
        self._timing = Timing(options.quick)
        self._random = random.Random(options.seed)
        self._table = processes.ProcessTable(log_dir)
        ports = fleets.Ports.from_base(options.port_base)
        self._platform = fleets.PlatformClient(ports)
        self._fleet = fleets.Fleet(self._table, log_dir, options.bin, ports,
                                   self._plan_vms(), options.seed)
        self._observer = observers.Observer(self._fleet)
        # One VM that carries the good version is drained near the end.
        self._leaving = self._random.choice(
            [vm for vm in self._fleet.vms
             if (vm.account, vm.service, vm.version) == (GOOD[0], GOOD[1], GOOD[3])])
        self._result = checks.SessionResult()
        self._loads = {}

    def say(self, text):
        print(f"{time.monotonic() - self._begin:7.2f} s  {text}", flush=True)

    @staticmethod
    def _plan_vms():
        vms = []
        for account, octet in fleets.REGIONS.items():
            deployment = fleets.read_json(EXAMPLES / f"{account}.deployment.json")
            moving = {service for owner, service, _, _ in (GOOD, BAD) if owner == account}
            versions = {service["name"]: ["v1", "v2"] if service["name"] in moving
                        else ["v1"] for service in deployment["services"]}
            vms += fleets.plan_vms(deployment, octet, versions)
        return vms

    def run(self):
        try:
            self._start()
            self._start_load()
            time.sleep(self._timing.before_moves)
            self._move()
            self._kill_during_outage()
            self._drain()
            time.sleep(self._timing.after)
            self._end_load()
            self._measure()
            self._stop_all()
        except checks.Broken as broken:
            self._result.fail(str(broken))
        finally:
            self._table.end_all()
        self.say(self._result.verdict())
        print(self._result.summary(), flush=True)
        return self._result.broken

    def _start(self):
        platform = self._fleet.start_platform()
        if not platform.wait_ready(fleets.START_LIMIT_S):
            raise checks.Broken("the platform's stand-in did not start")
        self._write_configurations()
        for vm in self._fleet.vms:
            self._fleet.start_node(vm)
            is_bad = (vm.account, vm.service, vm.version) == (BAD[0], BAD[1], BAD[3])
            self._fleet.start_upstream(vm, SERVICE_US, BAD_FAULTS if is_bad else "[]")
        missing = self._fleet.wait_started()
        if missing:
            raise checks.Broken(f"did not start: {' '.join(missing)}")
        self.say(f"started nodes={len(self._fleet.vms)} upstreams={len(self._fleet.vms)}")
        late = self._wait_ready(self._fleet.vms)
        if late:
            raise checks.Broken(f"not ready within {READY_LIMIT_S} s: {' '.join(late)}")
        self.say("every node has its configurations in force")
        self._observer.start()

    def _write_configurations(self):
        self._revisions = {}
        for account in fleets.REGIONS:
            template = fleets.read_json(EXAMPLES / f"{account}.template.json")
            key = f"templates/{template['name']}/{template['version']}"
            limits = template["moves"]
            limits["min_hold_ms"] = min(limits["min_hold_ms"], self._timing.hold_ms)
            self._platform.put(key, template, 0)
            parameters = fleets.read_json(EXAMPLES / f"{account}.parameters.json")
            for service in parameters["services"]:
                for owner, name, _, to in (GOOD, BAD):
                    if (account, service["name"]) == (owner, name):
                        service["live_versions"].append(to)
            self._write(account, parameters, 0)
            self.say(f"wrote {key} and configurations/{account}")

    def _write(self, account, parameters, expected):
        revision = self._platform.put(f"configurations/{account}", parameters, expected)
        self._revisions[account] = (revision, parameters)
        return revision

    def _wait_ready(self, vms):
        """Names of the nodes that are not ready at the limit."""
        limit = time.monotonic() + READY_LIMIT_S
        waiting = list(vms)
        while waiting and time.monotonic() < limit:
            waiting = [vm for vm in waiting if not self._fleet.is_ready(vm)]
            if waiting:
                time.sleep(0.05)
        return [vm.name for vm in waiting]

    def _start_load(self):
        self._load_begin = time.monotonic()
        for account, kinds in MIXES.items():
            mix = [{"name": name, "account": account, "class": caller_class,
                    "method": method, "target": target, "weight": weight,
                    "idempotent": is_idempotent, "timeout_ms": 2000,
                    "body_bytes": 0 if method == "GET" else 200, "answer_bytes": 1024}
                   for name, caller_class, method, target, weight, is_idempotent in kinds]
            path = self._log_dir / f"{account}.mix.json"
            path.write_text(json.dumps(mix))
            rate = self._options.rate or self._timing.rate
            saved = (["--saved-logs", str(self._fleet.saved_log(self._leaving))]
                     if account == self._leaving.account else [])
            self._loads[account] = self._table.start(f"load-{account}", [
                str(self._options.bin / "tarragontray-load"),
                "--nodes", self._fleet.fronts(account),
                "--logs", self._fleet.logs(account, self._leaving), "--mix", str(path),
                "--rate", str(rate),
                "--duration-ms", str(self._timing.load_limit * 1000),
                "--seed", str(self._options.seed), "--run", account,
                "--output", "json", *saved])
            self.say(f"load on {account}: {rate} calls/s")

    def _move(self):
        self._move_begin = time.monotonic()
        start = datetime.datetime.now(datetime.timezone.utc)
        deadline = start + datetime.timedelta(seconds=self._timing.move)
        for account, service, from_version, to_version in (GOOD, BAD):
            revision, parameters = self._revisions[account]
            for entry in parameters["services"]:
                if entry["name"] == service:
                    entry["last_plan"] = 1
                    entry["move"] = {"plan": 1, "from": from_version, "to": to_version,
                                     "start": checks.wall_text(start),
                                     "deadline": checks.wall_text(deadline),
                                     "hold_ms": self._timing.hold_ms}
            begin = time.monotonic()
            new = self._write(account, parameters, revision)
            _, missing = self._observer.wait_in_force(
                account, new, self._fleet.vms, CONVERGENCE_LIMIT_S)
            self._result.converged((time.monotonic() - begin) * 1000, missing)
            self.say(f"move of {account}/{service} {from_version}->{to_version} in force on "
                     f"{len(self._fleet.vms) - len(missing)} nodes after "
                     f"{(time.monotonic() - begin) * 1000:.0f} ms")
        self._follow_moves(deadline)
        self._move_end = time.monotonic()

    def _follow_moves(self, deadline):
        """Prints each change of a move until both have ended or are overdue."""
        shown = {}
        grace = datetime.timedelta(seconds=3)
        while datetime.datetime.now(datetime.timezone.utc) < deadline + grace:
            states = {}
            for move in (GOOD, BAD):
                entry = self._any_status_of(move)
                if entry is None:
                    continue
                line = checks.move_line(entry)
                if shown.get(move) != line:
                    shown[move] = line
                    self.say(line)
                states[move] = entry["state"]
            if len(states) == 2 and set(states.values()) <= {"done", "taken-back"}:
                break
            time.sleep(0.2)
        for move in (GOOD, BAD):
            self._result.move_ended(move, self._any_status_of(move), move is GOOD, deadline)

    def _any_status_of(self, move):
        """The move as a node of its account sees it."""
        for vm in self._fleet.vms:
            if vm.account == move[0] and vm.node.is_running():
                entry = observers.move_of(self._observer.latest(vm), move[0], move[1], 1)
                if entry is not None:
                    return entry
        return None

    def _kill_during_outage(self):
        self._platform.set_faults(down="refuse")
        self.say("platform out: connections are refused")
        killed = self._random.sample(self._fleet.vms, NODES_KILLED)
        for vm in killed:
            vm.node.kill()
            self.say(f"killed node {vm.name}")
        time.sleep(self._timing.outage / 4)
        for vm in killed:
            self._fleet.start_node(vm)
        begin = time.monotonic()
        late = self._wait_ready(killed)
        if late:
            self._result.fail(f"not ready again while the platform is out: {' '.join(late)}")
        self.say(f"{len(killed) - len(late)} killed nodes are ready again after "
                 f"{(time.monotonic() - begin) * 1000:.0f} ms, without the platform")
        time.sleep(max(0.0, self._timing.outage * 3 / 4 - (time.monotonic() - begin)))
        self._platform.set_faults(down="no")
        self.say("platform back")
        self._change_after_outage()

    def _change_after_outage(self):
        account = GOOD[0]
        revision, parameters = self._revisions[account]
        parameters["values"]["fan-weight"] = 6
        begin = time.monotonic()
        new = self._write(account, parameters, revision)
        _, missing = self._observer.wait_in_force(
            account, new, self._fleet.vms, CONVERGENCE_LIMIT_S)
        spent = (time.monotonic() - begin) * 1000
        self._result.converged(spent, missing)
        self.say(f"change after the outage in force on "
                 f"{len(self._fleet.vms) - len(missing)} nodes after {spent:.0f} ms")

    def _drain(self):
        vm = self._leaving
        begin = time.monotonic()
        vm.upstream.stop()
        vm.node.stop()
        statuses = [vm.upstream.wait(DRAIN_LIMIT_S), vm.node.wait(DRAIN_LIMIT_S)]
        if statuses != [0, 0]:
            self._result.fail(f"drain of {vm.name}: exit statuses {statuses}")
        self.say(f"drained {vm.name}: upstream and node ended with {statuses} after "
                 f"{(time.monotonic() - begin) * 1000:.0f} ms")

    def _measure_bad_share(self, output):
        service_kinds = [kind[0] for kind in MIXES[BAD[0]] if kind[0] != "session-logs"]
        first = int(self._move_begin - self._load_begin)
        last = int(self._move_end - self._load_begin) + 1
        self._result.bad_share(output, service_kinds, BAD[3], first, last)

    def _end_load(self):
        for load in self._loads.values():
            load.stop()
        for account, load in self._loads.items():
            status = load.wait(30)
            self._result.load_ended(account, status, load.output())
            if account == BAD[0]:
                self._measure_bad_share(load.output())
            self.say(checks.load_line(account, load.output()))

    def _stop_all(self):
        """Every process but the platform's stand-in must end with status 0."""
        running = [p for vm in self._fleet.vms for p in (vm.upstream, vm.node)
                   if p.is_running()]
        for process in running:
            process.stop()
        limit = time.monotonic() + DRAIN_LIMIT_S
        failed = [p.name for p in running
                  if p.wait(max(0.1, limit - time.monotonic())) != 0]
        if failed:
            self._result.fail("did not end with status 0: " + " ".join(failed))
        self.say(f"stopped {len(running) - len(failed)} of {len(running)} "
                 "nodes and upstreams with status 0")

    def _measure(self):
        self._observer.stop()
        self._result.went_back(self._observer.went_back)
        figures = [self._observer.latest(vm) for vm in self._fleet.vms]
        self._result.control_bytes([f["control"] for f in figures if f is not None],
                                   time.monotonic() - self._begin)
        counts = self._platform.counts()
        self.say("platform calls: " + " ".join(f"{k}={v}" for k, v in counts.items()))


def run(options, log_dir):
    """Runs the session; gives what broke."""
    return Session(options, log_dir).run()
