"""A small deployment on loopback addresses for the cases of this review.

It starts the mesh node program of the deploy file as separate processes and
provides stand-ins for the platform's store, the targets and the clients. The
stand-ins follow PROTOCOL.md; where that page is silent they behave like a
sound implementation.

Each case creates a Mesh, plays its events and returns True if the rule was
broken. main() translates that to the exit status.
"""
import asyncio
import itertools
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "mesh.example"
ATTEMPT_ID = "x-tarragontray-attempt-id"
REMAINING = "x-tarragontray-deadline-remaining"
SIGNATURE = "X-Tarragontray-Response-Signature"
BEAT_INTERVAL = 1.5
# The bounds of the small deployments' site files.
BOUNDS = {"Grace": "6s", "BudgetSlack": 64, "BudgetWindow": "10s", "Drain": 2.0}
MEMORY_MB = 110


class CannotRun(Exception):
    """The case could not be brought about."""


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


async def read_message(reader):
    """Reads one HTTP/1.1 message. Returns (first line, headers, body)."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


def message(first_line, headers, body=b""):
    text = [first_line] + [f"{name}: {value}" for name, value in headers]
    text.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(text) + "\r\n\r\n").encode("latin-1") + body


class Record:
    """The record of what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def add(self, text):
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
        self._file.flush()


class Store:
    """The platform's metadata store. Each node reaches it at an address of its
    own, so that single nodes can be cut off from it."""

    def __init__(self, record):
        self._record = record
        self.revision = 100
        self.objects = {}
        self.events = {}
        self._changed = asyncio.Condition()
        self.cut_off = set()
        self._writers = {}

    async def listen(self, node):
        server = await asyncio.start_server(
            lambda reader, writer: self._serve(node, reader, writer), "127.0.0.1", 0)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def cut(self, nodes):
        """The store's answers and requests to it no longer pass."""
        self.cut_off |= set(nodes)

    def heal(self):
        self.cut_off.clear()
        # A connection on which an answer was lost returns nothing further.
        for writers in self._writers.values():
            for writer in writers:
                writer.transport.abort()
        self._writers.clear()

    async def put(self, kind, name, specification=None, status=None):
        async with self._changed:
            self._store(kind, name, specification, status)
            self._changed.notify_all()

    def _store(self, kind, name, specification, status=None):
        self.revision += 1
        known = self.objects.setdefault(kind, {})
        entry = known.get(name) or {
            "Metadata": {"Name": name, "CreatedRevision": self.revision,
                         "Finalizers": [], "DeletionRequested": False},
            "Specification": None, "Status": None}
        entry = json.loads(json.dumps(entry))
        entry["Metadata"]["Revision"] = self.revision
        if specification is not None:
            entry["Specification"] = specification
        if status is not None:
            entry["Status"] = status
        known[name] = entry
        self.events.setdefault(kind, []).append((self.revision, entry))
        return entry

    async def _serve(self, node, reader, writer):
        self._writers.setdefault(node, set()).add(writer)
        try:
            while True:
                line, _, body = await read_message(reader)
                if node in self.cut_off:
                    await asyncio.sleep(3600)
                status, answer = await self._answer(line, body)
                if node in self.cut_off:
                    await asyncio.sleep(3600)
                writer.write(message(f"HTTP/1.1 {status} X", [
                    ("Content-Type", "application/json")],
                    json.dumps(answer).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, line, body):
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        arguments = dict(part.split("=", 1) for part in query.split("&") if part)
        parts = path.removeprefix("/api/objects/").split("/")
        kind = parts[0]
        known = self.objects.setdefault(kind, {})
        if method == "GET" and "Watch" in arguments:
            return 200, await self._watch(
                kind, int(arguments["Watch"]), int(arguments.get("WaitMs", 0)))
        if method == "GET" and len(parts) == 1:
            items = [known[name] for name in sorted(known)
                     if name > arguments.get("after", "")]
            return 200, {"items": items, "HasMore": False, "At": self.revision}
        if method == "GET":
            entry = known.get(parts[1])
            return (200, entry) if entry else (404, {})
        content = json.loads(body or b"{}")
        metadata = content.get("Metadata", {})
        name = parts[1] if len(parts) > 1 else metadata["Name"]
        held = known.get(name)
        if method == "POST" and held:
            return 409, held
        if method == "PUT" and not held:
            return 404, {}
        if method == "PUT" and metadata.get("Revision") not in (
                None, held["Metadata"]["Revision"]):
            return 409, held
        async with self._changed:
            if parts[-1] == "status":
                entry = self._store(kind, name, None, content.get("Status"))
            else:
                entry = self._store(kind, name, content.get("Specification"))
            self._changed.notify_all()
        self._record.add(f"store {method} {path} revision {self.revision}")
        return 200, entry

    async def _watch(self, kind, after, wait_ms):
        def pending():
            return [entry for revision, entry in self.events.get(kind, [])
                    if revision > after]
        async with self._changed:
            try:
                await asyncio.wait_for(
                    self._changed.wait_for(pending), wait_ms / 1000)
            except asyncio.TimeoutError:
                pass
        return {"events": [{"Deleted": False, "Object": entry}
                           for entry in pending()], "At": self.revision}


class Target:
    """An application target beside a node. work_s: how long a request runs."""

    _instances = itertools.count(1)

    def __init__(self, record, service, work_s=0.1):
        self._record = record
        self.service = service
        self.instance = f"i-{next(self._instances):04x}{os.getpid():x}"
        self.born = int(time.time() * 1000)
        self.work_s = work_s
        self.sequence = 0
        self.state = "ready"
        self.runs = []
        self.node = None
        self._server = None
        self._writers = set()
        self._beats = None

    async def listen(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def start_beats(self, node):
        self.node = node
        self._beats = asyncio.create_task(self._beat())

    def stop_beats(self):
        self._beats.cancel()

    def next_beat(self):
        """The next heartbeat, which may be sent late."""
        self.sequence += 1
        return {"Address": self.address, "born": self.born,
                "Information": {"Service": self.service, "Version": "v1",
                                "Zone": self.node.zone, "Slots": 9},
                "Status": {"State": self.state, "Sequence": self.sequence,
                           "WarmupRemaining": "0ms"}}

    async def send_beat(self, content):
        return await self._call("heartbeat", content)

    async def deregister(self):
        """Returns the status of the answer, or None."""
        return await self._call("deregister", {"born": self.born})

    async def _call(self, call, content):
        body = json.dumps(content).encode()
        try:
            answer = await asyncio.wait_for(request(
                self.node.control, "POST",
                f"/api/rpc?call=instances.{call}&of={self.instance}",
                [("Content-Type", "application/json")], body), 1.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None
        return answer.status

    async def _beat(self):
        while True:
            await self.send_beat(self.next_beat())
            await asyncio.sleep(BEAT_INTERVAL)

    async def exit(self):
        """The process ends: its connections close without answers."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._record.add(f"target {self.instance} exits")

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                await self._run(line, headers, body, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _run(self, line, headers, body, writer):
        attempt = headers.get(ATTEMPT_ID, "")
        expected = headers.get("x-tarragontray-expected-instance")
        if expected is not None and expected != self.instance:
            writer.write(message("HTTP/1.1 421 Misdirected Request", [
                ("X-Tarragontray-Instance-Id", self.instance),
                ("X-Tarragontray-Attempt-Id", attempt)]))
            return
        self.runs.append((time.monotonic(), attempt))
        self._record.add(f"target {self.instance} runs {attempt}: {line}")
        await asyncio.sleep(self.work_s)
        headers = [("X-Tarragontray-Attempt-Id", attempt), (SIGNATURE, "s." + attempt),
                   ("X-Tarragontray-Server-Load", "0,0,9")]
        writer.write(message("HTTP/1.1 200 OK", headers, attempt.encode()))
        await writer.drain()


class Answer:
    def __init__(self, line, headers, body):
        self.status = int(line.split(" ")[1])
        self.headers = headers
        self.body = body


async def request(address, method, target, headers, body=b""):
    """Sends one request on a new connection and reads the answer."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(message(f"{method} {target} HTTP/1.1",
                             [("Host", HOST)] + headers, body))
        return Answer(*await read_message(reader))
    finally:
        writer.close()


class Node:
    """One machine: the mesh node's process."""

    def __init__(self, mesh, index, zone, service, store_address):
        self.index = index
        self.name = f"machine-{index}"
        self.zone = zone
        self.service = service
        # A loopback address of its own, as each machine has one.
        self.ip = f"127.{64 + os.getpid() % 64}.{os.getpid() // 64 % 250}.{index + 1}"
        ports = [free_port(self.ip) for _ in range(4)]
        self.outbound, self.control, self.ready = (
            f"{self.ip}:{port}" for port in ports[:3])
        self._peer_port = ports[3]
        self._store_address = store_address
        self._mesh = mesh
        self.process = None

    def start(self, bootstrap):
        values = {
            "NodeName": self.name, "Zone": self.zone, "Region": "region-1",
            "Service": self.service, "IpAddress": self.ip,
            "Listen.Outbound": self.outbound, "Listen.Control": self.control,
            "Listen.Ready": self.ready, "InternalPortRange.0": self._peer_port,
            "Platform.Address": self._store_address, "Platform.History": "20s",
            "Limits.MemoryMb": MEMORY_MB, "Bounds.Grace": BOUNDS["Grace"],
            "Bounds.BudgetSlack": BOUNDS["BudgetSlack"],
            "Bounds.BudgetWindow": BOUNDS["BudgetWindow"],
            "Bootstrap": bootstrap}
        path = os.path.join(self._mesh.folder, self.name + ".settings")
        with open(path, "w", encoding="utf-8") as out:
            out.write(fill(self._mesh.template, values))
        log = open(os.path.join(self._mesh.folder, self.name + ".log"), "ab")
        environment = {"PATH": os.environ["PATH"], "HOME": self._mesh.folder,
                       "LANG": "C", "TARRAGONTRAY_BOOT": path}
        self.process = subprocess.Popen(
            self._mesh.command, cwd=ROOT, env=environment, stdout=log,
            stderr=subprocess.STDOUT, start_new_session=True)
        log.close()

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(
                request(self.ready, "GET", "/api/readiness", []), 1.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200


def fill(template, values):
    """Fills in the settings template as DEPLOY.md describes it."""
    def section(match):
        value = values.get(match.group(1))
        if not value:
            return ""
        return re.sub(r"\{\{\.\}\}", str(value), match.group(2))
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                  flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(values[m.group(1)]), text)


class Mesh:
    """A deployment. machines: a list of (zone, service)."""

    def __init__(self, folder, record, machines):
        self.folder = folder
        self.record = record
        self.machines = machines
        self.nodes = []
        self.targets = []
        self._attempts = itertools.count(1)
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as source:
            role = tomllib.load(source)["roles"]["node"]
        self.command = role["run"].split(" ")
        if not os.path.exists(os.path.join(ROOT, self.command[0])):
            raise CannotRun(f"{self.command[0]} is not built")
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as source:
            self.template = source.read()

    async def start(self, work_s=0.1):
        self.store = Store(self.record)
        await self.store.put("config", "main", configuration(
            sorted({service for _, service in self.machines})))
        for index, (zone, service) in enumerate(self.machines):
            address = await self.store.listen(index)
            node = Node(self, index, zone, service, address)
            target = Target(self.record, service, work_s)
            await target.listen()
            node.start(bootstrap=True)
            self.nodes.append(node)
            self.targets.append(target)
        for node, target in zip(self.nodes, self.targets):
            target.start_beats(node)
        await self.wait_ready(self.nodes)
        # The nodes know each other's targets after at most two heartbeats.
        await asyncio.sleep(2 * BEAT_INTERVAL + 1)

    async def wait_ready(self, nodes, limit_s=20):
        end = time.monotonic() + limit_s
        for node in nodes:
            while not await node.is_ready():
                if time.monotonic() > end:
                    raise CannotRun(f"{node.name} is not ready")
                await asyncio.sleep(0.1)

    async def send(self, node, route, method="GET", deadline_ms=3000, headers=(),
                   body=b""):
        """One client attempt. Returns (attempt id, status or None, answer)."""
        attempt = f"{os.getpid():x}-{next(self._attempts):04x}"
        fields = [("X-Tarragontray-Attempt-Id", attempt),
                  ("X-Tarragontray-Deadline-Remaining", str(deadline_ms))]
        self.record.add(f"client sends {attempt}: {method} {route} at {node.name}")
        try:
            answer = await asyncio.wait_for(
                request(node.outbound, method, route, fields + list(headers), body),
                deadline_ms / 1000)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            self.record.add(f"client gets no answer to {attempt}: {type(error).__name__}")
            return attempt, None, None
        self.record.add(f"client gets {answer.status} for {attempt}")
        return attempt, answer.status, answer

    def stop(self):
        for node in self.nodes:
            if node.is_running():
                node.kill()


def configuration(services):
    resources = []
    for service in services:
        resources.append({
            "ResourceKind": "Services", "Metadata": {"Name": service},
            "Specification": {"HealthPath": "/health", "ConnectionLimit": 130,
                              "Protocol": "h1", "Tls": False}})
        for kind, timeout in (("idempotent", "1500ms"), ("non_idempotent", "2000ms")):
            prefix = f"/{service}-{'safe' if kind == 'idempotent' else 'once'}/"
            resources.append({
                "ResourceKind": "Routes", "Metadata": {"Name": f"r-{service}-{kind}"},
                "Specification": {
                    "Host": HOST, "PathPrefix": prefix, "Kind": kind,
                    "Timeout": timeout, "ObjectiveLatency": "500ms", "Priority": 1,
                    "Service": service, "MaxAttempts": 2}})
    resources.append({
        "ResourceKind": "Limits", "Metadata": {},
        "Specification": {"HeaderBytes": 16384, "BodyBytes": 67108864,
                          "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"}})
    return {"Version": 7, "BaseVersion": 0, "Resources": resources}


def main(case, script, limit_s=110):
    """Runs a case: case(mesh_factory, has_trouble, record) returns whether the
    rule was broken."""
    folder = tempfile.mkdtemp(prefix="mesh-case-")
    record = Record(os.path.join(os.path.dirname(os.path.abspath(script)), "record.txt"))
    # run.sh says "calm" for TROUBLE=0.
    has_trouble = sys.argv[1:] != ["calm"]
    meshes = []

    def make(machines):
        meshes.append(Mesh(folder, record, machines))
        return meshes[-1]

    status = NOT_RUN
    try:
        is_broken = asyncio.run(asyncio.wait_for(
            case(make, has_trouble, record), limit_s))
        status = BROKEN if is_broken else HELD
    except (CannotRun, asyncio.TimeoutError) as error:
        record.add(f"cannot run: {error!r}")
    finally:
        for mesh in meshes:
            mesh.stop()
        if os.environ.get("KEEP"):
            print("logs:", folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    record.add(f"exit status {status}")
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[status])
    sys.exit(status)
