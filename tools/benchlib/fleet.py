"""A fleet of real node processes on loopback, with one stand-in platform.

VM n listens at 127.(block).(n + 1).1: 8000 front, 8001 peers, 8002 admin,
9000 its upstream, 9001 the upstream's admin. The platform is at 127.(block).0.1.
"""
import dataclasses
import http.client
import json
import pathlib
import re
import signal
import socket
import subprocess
import threading
import time

DATA_CENTRES = 9
REGIONS = 3
READY_LIMIT_S = 30
STOP_LIMIT_S = 10
ANNOUNCE_INTERVAL_S = 1.0
REQUEST_LIMIT_S = 5
# Services of the target; the first four are those of the two examples.
SERVICES = 35
SLOTS = 12


@dataclasses.dataclass(frozen=True)
class Upstream:
    """What a VM runs; a real one is a standin-upstream process."""
    account: str
    service: str
    version: str = "v1"
    is_real: bool = False
    # Empty: by the VM's number.
    data_centre: str = ""
    region: str = ""


def example_upstreams(count):
    """The upstreams of count VMs (10 at least), filled up with further
    services of a third account."""
    box = [Upstream("mesqel-gate", "box-office", "v1", True)] * 3
    box += [Upstream("mesqel-gate", "box-office", "v2", True)] * 3
    named = [Upstream("mesqel-gate", "catalogue"),
             Upstream("vanua-voice", "booth-desk"),
             Upstream("vanua-voice", "studio-records")]
    fillers = filler_services(count)
    rest = count - len(box) - len(named)
    return box + named + [Upstream("filler", fillers[i % len(fillers)])
                          for i in range(rest)]


def filler_services(count):
    """The names of the services that fill a fleet of count VMs."""
    return [f"service-{i}" for i in range(min(SERVICES - 4, count - 9))]


class Processes:
    """Child processes; leaving the context ends all of them."""

    def __init__(self, build):
        self._bin = pathlib.Path(build) / "bin"
        self._all = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    def start(self, program, *flags, stdout=subprocess.PIPE):
        """Starts a program; the caller reads or awaits it."""
        child = subprocess.Popen([str(self._bin / program), *flags],
                                 stdout=stdout, stderr=subprocess.DEVNULL)
        self._all.append(child)
        return child

    def stop(self):
        """Ends all children: SIGTERM, then SIGKILL."""
        for child in self._all:
            if child.poll() is None:
                child.send_signal(signal.SIGTERM)
        end = time.monotonic() + STOP_LIMIT_S
        for child in self._all:
            try:
                child.wait(max(0.0, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                child.kill()
                child.wait()
            if child.stdout:
                child.stdout.close()
        self._all.clear()


def await_ready(child):
    """Reads the child's ready line."""
    line = child.stdout.readline().decode()
    if "ready" not in line:
        raise RuntimeError(f"{child.args[0]} did not become ready: {line!r}")


class Peer:
    """A kept HTTP connection to one address; not for several threads."""

    def __init__(self, ip, port):
        self._address = (ip, port)
        self._connection = None

    def send(self, method, target, body=None):
        """One request; a broken connection is renewed once."""
        for attempt in range(2):
            try:
                return self._exchange(method, target, body)
            except (http.client.HTTPException, OSError):
                self._connection = None
                if attempt:
                    raise
        return None

    def _exchange(self, method, target, body):
        if self._connection is None:
            self._connection = http.client.HTTPConnection(
                *self._address, timeout=REQUEST_LIMIT_S)
            self._connection.connect()
            self._connection.sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        headers = {"content-type": "application/json"} if body else {}
        self._connection.request(method, target, body, headers)
        answer = self._connection.getresponse()
        return answer.status, answer.read()


class Announcer:
    """Announces upstreams to their nodes each second, from one thread."""

    def __init__(self):
        self._targets = []
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.failed = 0

    def add(self, peer, report):
        """Precondition: not started."""
        self._targets.append((peer, json.dumps(report)))

    def start(self):
        """Starts the thread."""
        self._thread.start()

    def stop(self):
        """Ends the thread."""
        self._stop.set()
        self._thread.join()

    def _run(self):
        while not self._stop.is_set():
            begin = time.monotonic()
            for peer, report in self._targets:
                self._announce(peer, report)
            spent = time.monotonic() - begin
            self._stop.wait(max(0.0, ANNOUNCE_INTERVAL_S - spent))

    def _announce(self, peer, report):
        try:
            status, _ = peer.send("POST", "/v1/upstream", report)
            self.failed += status != 204
        except (http.client.HTTPException, OSError):
            self.failed += 1


class Fleet:
    """Nodes and upstreams over DATA_CENTRES data centres in REGIONS regions."""

    def __init__(self, processes, block, upstreams, service_us=1000,
                 slots=SLOTS, seed=1):
        self._processes = processes
        self._block = block
        self.upstreams = upstreams
        self._service_us = service_us
        self._slots = slots
        self._seed = seed
        self.nodes = []
        self.backends = {}
        self._platform = Peer(self.ip(-1), 7000)
        self._admin = [Peer(self.ip(vm), 8002) for vm in range(self.size)]
        self._announcer = Announcer()

    @property
    def size(self):
        """The number of VMs."""
        return len(self.upstreams)

    def ip(self, vm):
        """The address of a VM; -1: of the platform."""
        return f"127.{self._block}.{vm + 1}.1"

    def front(self, vm):
        """Where the node of a VM takes calls."""
        return f"{self.ip(vm)}:8000"

    def backend(self, vm):
        """Where the upstream of a VM takes calls."""
        return f"{self.ip(vm)}:9000"

    def start(self):
        """Starts all processes; waits until each is ready."""
        platform = self._processes.start(
            "standin-platform", f"--listen={self.ip(-1)}:7000",
            f"--admin={self.ip(-1)}:7001")
        await_ready(platform)
        self.nodes = [self._start_node(vm) for vm in range(self.size)]
        for node in self.nodes:
            await_ready(node)
        for vm, upstream in enumerate(self.upstreams):
            self._start_upstream(vm, upstream)
        for backend in self.backends.values():
            await_ready(backend)
        self._announcer.start()

    def stop(self):
        """Ends the announcements and all processes."""
        self._announcer.stop()
        self._processes.stop()

    @property
    def failed_announcements(self):
        """Announcements that a node did not take."""
        return self._announcer.failed

    def _start_node(self, vm):
        centre = vm % DATA_CENTRES
        upstream = self.upstreams[vm]
        data_centre = upstream.data_centre or f"dc{centre + 1}"
        region = upstream.region or f"region{centre % REGIONS + 1}"
        seeds = f"{self.ip(0)}:8001,{self.ip(1)}:8001"
        return self._processes.start(
            "tarragontray-node", f"--vm=vm{vm}",
            f"--data-centre={data_centre}", f"--region={region}",
            f"--front-address={self.front(vm)}",
            f"--peer-address={self.ip(vm)}:8001",
            f"--admin-address={self.ip(vm)}:8002",
            f"--platform={self.ip(-1)}:7000", f"--seeds={seeds}",
            "--log-level=warning")

    def kill_nodes(self, vms):
        """Ends nodes without a drain, as a failure does."""
        for vm in vms:
            self.nodes[vm].kill()
            self.nodes[vm].wait()

    def restart_nodes(self, vms):
        """Starts nodes again, all at once, on the same addresses."""
        for vm in vms:
            self.nodes[vm] = self._start_node(vm)
        for vm in vms:
            await_ready(self.nodes[vm])

    def set_platform_faults(self, faults):
        """Sets what the platform does wrong from now on."""
        Peer(self.ip(-1), 7001).send("POST", "/faults", json.dumps(faults))

    def _start_upstream(self, vm, upstream):
        if not upstream.is_real:
            self._announcer.add(Peer(self.ip(vm), 8002), {
                "account": upstream.account, "service": upstream.service,
                "version": upstream.version, "state": "live",
                "slots": self._slots, "address": self.backend(vm),
                "running": 0})
            return
        self.backends[vm] = self._processes.start(
            "standin-upstream", f"--listen={self.backend(vm)}",
            f"--admin={self.ip(vm)}:9001", f"--node={self.ip(vm)}:8002",
            f"--vm=vm{vm}", f"--account={upstream.account}",
            f"--service={upstream.service}",
            f"--upstream-version={upstream.version}",
            f"--slots={self._slots}", f"--service-us={self._service_us}",
            f"--seed={self._seed + vm}")

    def put(self, key, value):
        """Writes an object to the platform; gives its revision."""
        body = json.dumps({"expected": None, "operation": "bench",
                           "body": json.dumps(value)})
        status, text = self._platform.send("PUT", f"/v1/objects/{key}", body)
        if status != 200:
            raise RuntimeError(f"platform answered {status}")
        return json.loads(text)["revision"]

    def status_text(self, vm):
        """GET /status of a node, as bytes."""
        return self._admin[vm].send("GET", "/status")[1]

    def status(self, vm):
        """GET /status of a node."""
        return json.loads(self.status_text(vm))

    def statuses(self):
        """GET /status of all nodes, in order."""
        return [self.status(vm) for vm in range(self.size)]

    def await_version(self, account, revision, limit_s, vms=None):
        """Polls until all nodes, or those of vms, serve the revision."""
        pattern = re.compile(
            rb'"account":"%s","version":(\d+)' % account.encode())

        def serves(vm):
            found = pattern.search(self.status_text(vm))
            return bool(found) and int(found.group(1)) >= revision

        return self._await_all(serves, limit_s, vms)

    def await_live(self, limit_s, vms=None):
        """Polls until all nodes, or those of vms, know all upstreams live."""
        def knows(vm):
            text = self.status_text(vm)
            return text.count(b'"upstream_state":"live"') == self.size

        return self._await_all(knows, limit_s, vms)

    def _await_all(self, check, limit_s, vms):
        end = time.monotonic() + limit_s
        left = list(range(self.size) if vms is None else vms)
        longest = 0.0
        while left and time.monotonic() < end:
            begin = time.monotonic()
            left = [vm for vm in left if not check(vm)]
            longest = max(longest, time.monotonic() - begin)
        return Wait(not left, longest, len(left))


@dataclasses.dataclass
class Wait:
    """How a wait for all nodes ended."""
    is_done: bool
    # The longest pass over the nodes that were still asked.
    resolution_s: float
    missing: int
