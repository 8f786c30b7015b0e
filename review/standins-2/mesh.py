"""Stand-ins for the scripts of the second review: the platform's store, the
targets with their heartbeats, clients, and the start of the project's nodes.

They follow PROTOCOL.md and DEPLOY.md. All addresses are loopback addresses.
Only the Python standard library is used.
"""
import asyncio
import itertools
import json
import os
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
START = time.monotonic()
HOST = "shop.example"


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, *words):
        line = f"{now():9.4f} " + " ".join(str(word) for word in words)
        self.file.write(line + "\n")
        self.file.flush()


class Message:
    """A parsed request or response."""

    def __init__(self, first, headers, body=b"", whole=True):
        self.first = first
        self.headers = headers
        self.body = body
        self.whole = whole

    def get(self, name, default=None):
        name = name.lower()
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return default

    @property
    def status(self):
        return int(self.first.split(" ", 2)[1])


async def read_head(reader):
    """Reads a start line and fields; None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip(), value.strip()))
    return Message(lines[0], headers)


async def read_body(reader, message, is_response=False):
    """Reads the body that belongs to the head."""
    try:
        if "chunked" in (message.get("transfer-encoding") or "").lower():
            parts = []
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                if size == 0:
                    while (await reader.readuntil(b"\r\n")) != b"\r\n":
                        pass
                    break
                parts.append(await reader.readexactly(size))
                await reader.readexactly(2)
            message.body = b"".join(parts)
        elif message.get("content-length") is not None:
            message.body = await reader.readexactly(int(message.get("content-length")))
        elif is_response:
            message.body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        message.whole = False
    return message


async def read_request(reader):
    message = await read_head(reader)
    return message and await read_body(reader, message)


async def read_response(reader):
    message = await read_head(reader)
    return message and await read_body(reader, message, True)


def response(status, body=b"", headers=(), reason="OK"):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's metadata store."""

    def __init__(self, address):
        self.address = address
        self.revision = 1
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()
        self.calls = []
        self.server = None
        # Optional: async (method, path, query, body, apply) -> bytes or None.
        self.hook = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address, limit=1 << 22)

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None or not request.whole:
                    break
                method, target, _ = request.first.split(" ")
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query))
                path = urllib.parse.unquote(path)
                self.calls.append((now(), method, path))
                apply = lambda: self.apply(method, path, query, request.body)
                if self.hook:
                    answer = await self.hook(method, path, query, request.body, apply)
                    if answer is None:
                        break
                else:
                    answer = await apply()
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def answer(self, status, value):
        return response(status, json.dumps(value).encode(), [("Content-Type", "application/json")])

    def change(self, kind, name, item, deleted=False):
        self.revision += 1
        item["Metadata"]["Revision"] = self.revision
        kinds = self.objects.setdefault(kind, {})
        if deleted:
            kinds.pop(name, None)
        else:
            kinds[name] = item
        self.events.append((self.revision, kind, {"Object": json.loads(json.dumps(item)), "Deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, specification):
        """A write of the operator."""
        held = self.objects.get(kind, {}).get(name)
        item = json.loads(json.dumps(held)) if held else {
            "Metadata": {"Name": name, "CreatedRevision": self.revision + 1}, "Status": None}
        item["Specification"] = specification
        self.change(kind, name, item)

    async def apply(self, method, path, query, body):
        parts = path.removeprefix("/api/objects/").split("/")
        kind, name = parts[0], "/".join(parts[1:2])
        is_status = len(parts) > 2 and parts[2] == "status"
        held = self.objects.get(kind, {}).get(name)
        if method == "GET":
            if name:
                return self.answer(200, held) if held else self.answer(404, {})
            if "Watch" in query:
                return await self.watch(kind, int(query["Watch"]), int(query.get("WaitMs", 0)) / 1000)
            names = sorted(n for n in self.objects.get(kind, {}) if n > query.get("after", ""))
            items = [self.objects[kind][n] for n in names]
            return self.answer(200, {"items": items[:500], "HasMore": len(items) > 500, "At": self.revision})
        value = json.loads(body) if body else {}
        expected = value.get("Metadata", {}).get("Revision", query.get("Revision"))
        if method == "POST":
            name = value["Metadata"]["Name"]
            if name in self.objects.get(kind, {}):
                return self.answer(409, self.objects[kind][name])
            item = {"Metadata": {"Name": name, "CreatedRevision": self.revision + 1},
                    "Specification": value.get("Specification"), "Status": value.get("Status")}
            self.change(kind, name, item)
            return self.answer(201, item)
        if held is None:
            return self.answer(404, {})
        if expected is not None and int(expected) != held["Metadata"]["Revision"]:
            return self.answer(409, held)
        item = json.loads(json.dumps(held))
        if method == "DELETE":
            self.change(kind, name, item, True)
            return self.answer(200, item)
        field = "Status" if is_status else "Specification"
        if item.get(field) != value.get(field):
            item[field] = value.get(field)
            self.change(kind, name, item)
        return self.answer(200, item)

    async def watch(self, kind, after, wait):
        end = time.monotonic() + wait
        while True:
            found = [event for revision, k, event in self.events if k == kind and revision > after]
            left = end - time.monotonic()
            if found or left <= 0:
                return self.answer(200, {"events": found, "At": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Target:
    """An application target beside a node, with its heartbeats."""

    def __init__(self, machine, service, record, version="v1", slots=12, work_s=0.05):
        self.machine = machine
        self.service = service
        self.version = version
        self.record = record
        self.slots = slots
        self.work_s = work_s
        self.id = f"i-{machine.name}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []
        self.requests = []
        self.running = 0
        self.state = "ready"
        self.tasks = []
        self.server = None
        # Optional: async (target, request, reader, writer) -> True when it has answered.
        self.hook = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.machine.application, limit=1 << 21)
        self.tasks.append(asyncio.create_task(self.beat_forever()))

    async def beat_forever(self):
        while True:
            await self.beat()
            await asyncio.sleep(1.5)

    async def beat(self):
        self.sequence += 1
        body = {"Address": "%s:%d" % self.machine.application, "born": self.born,
                "Information": {"Service": self.service, "Version": self.version,
                                "Zone": self.machine.zone, "Slots": self.slots},
                "Status": {"State": self.state, "Sequence": self.sequence, "WarmupRemaining": "0ms"}}
        return await post(self.machine.control, f"/api/rpc?call=instances.heartbeat&of={self.id}", body)

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None or not request.whole:
                    break
                path = request.first.split(" ")[1]
                attempt = request.get("x-tarragontray-attempt-id")
                self.requests.append((now(), request))
                if path == "/health":
                    writer.write(response(200, b"", [("X-Tarragontray-Instance-Id", self.id)]))
                    await writer.drain()
                    continue
                expected = request.get("x-tarragontray-expected-instance")
                if expected and expected != self.id:
                    writer.write(response(421, b"", [("X-Tarragontray-Instance-Id", self.id)]))
                    await writer.drain()
                    continue
                if self.hook and await self.hook(self, request, reader, writer):
                    continue
                self.run(request)
                await asyncio.sleep(self.work_s)
                writer.write(self.answer(request))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def run(self, request):
        attempt = request.get("x-tarragontray-attempt-id")
        self.runs.append((now(), attempt, request))
        self.record("run", self.machine.name, self.id, attempt, request.first, f"body={len(request.body)}")

    def answer(self, request, status=200, body=None, extra=()):
        attempt = request.get("x-tarragontray-attempt-id") or ""
        body = f"body of {attempt} by {self.id}\n".encode() if body is None else body
        return response(status, body, [("X-Tarragontray-Attempt-Id", attempt),
                                       ("X-Tarragontray-Response-Signature", f"sig.{self.id}.{attempt}.{len(body)}"),
                                       *extra])

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        self.server.close()


async def post(address, target, body):
    """\return the status, or None without an answer within a second."""
    async def call():
        reader, writer = await asyncio.open_connection(*address)
        text = json.dumps(body).encode() if not isinstance(body, bytes) else body
        writer.write((f"POST {target} HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\n"
                      f"Content-Length: {len(text)}\r\n\r\n").encode() + text)
        answer = await read_response(reader)
        writer.close()
        return answer and answer.status
    try:
        return await asyncio.wait_for(call(), 1)
    except (OSError, asyncio.TimeoutError):
        return None


async def get(address, target):
    async def call():
        reader, writer = await asyncio.open_connection(*address)
        writer.write(f"GET {target} HTTP/1.1\r\nHost: node\r\n\r\n".encode())
        answer = await read_response(reader)
        writer.close()
        return answer
    try:
        return await asyncio.wait_for(call(), 1)
    except (OSError, asyncio.TimeoutError):
        return None


def fill(template, fields):
    """Fills the placeholders and sections of a template as DEPLOY.md says."""
    def look(name, scope):
        if name == ".":
            return scope[-1]
        for level in reversed(scope):
            value = level
            for part in name.split("."):
                value = value.get(part) if isinstance(value, dict) else None
            if value is not None:
                return value
        return None

    def render(text, scope):
        out, position = "", 0
        for found in re.finditer(r"\{\{#([\w.]+)\}\}", text):
            if found.start() < position:
                continue
            out += plain(text[position:found.start()], scope)
            close = "{{/%s}}" % found.group(1)
            end = text.index(close, found.end())
            value = look(found.group(1), scope)
            if value is not None and value is not False:
                out += render(text[found.end():end], scope + [value])
            position = end + len(close)
        return out + plain(text[position:], scope)

    def plain(text, scope):
        def one(found):
            value = look(found.group(1), scope)
            return "" if value is None else str(value)
        return re.sub(r"\{\{([\w.]+)\}\}", one, text)

    return render(template, [fields])


class Machine:
    """A sidecar machine: its addresses, and the node's process."""

    def __init__(self, mesh, number, zone, service):
        self.mesh = mesh
        self.zone = zone
        self.service = service
        self.name = f"m{number}"
        self.ip = f"{mesh.prefix}.{number + 1}"
        self.outbound = (self.ip, mesh.port + 1)
        self.ready = (self.ip, mesh.port + 2)
        self.control = (self.ip, mesh.port + 3)
        self.application = (self.ip, mesh.port + 4)
        self.inbound = (self.ip, mesh.port + 5)
        self.peer = (self.ip, mesh.port + 6)
        self.process = None
        self.is_first = True
        self.settings = os.path.join(mesh.folder, f"{self.name}.settings")
        self.log = open(os.path.join(mesh.folder, f"{self.name}.log"), "ab")

    def fields(self):
        text = lambda address: "%s:%d" % address
        return {"NodeName": self.name, "Zone": self.zone, "Region": "region", "Service": self.service,
                "IpAddress": self.ip, "ApplicationAddress": text(self.application),
                "InternalPortRange": {"0": self.peer[1], "1": self.peer[1] + 15},
                "Listen": {"Outbound": text(self.outbound), "Ready": text(self.ready),
                           "Control": text(self.control), "Inbound": text(self.inbound)},
                "Platform": {"Address": text(self.mesh.store.address), "History": 20000},
                "Bootstrap": self.is_first, "Limits": {"MemoryMb": 260},
                "Bounds": {"Grace": 6000, "BudgetSlack": 60, "BudgetWindow": 10000, **self.mesh.bounds}}

    def start(self):
        template = open(os.path.join(ROOT, "deploy/node.settings"), encoding="utf-8").read()
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(fill(template, self.fields()))
        self.is_first = False
        self.process = subprocess.Popen(
            [os.path.join(ROOT, "target/bin/tarragontray-mesh-node")], cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=self.log, stderr=self.log,
            env={"PATH": os.environ.get("PATH", ""), "TARRAGONTRAY_BOOT": self.settings})
        self.mesh.record("start", self.name, f"pid={self.process.pid}")

    def signal(self, number):
        self.mesh.record("signal", self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    def has_ended(self):
        return self.process.poll() is not None


class Mesh:
    """A small deployment: a store, machines with nodes, and targets."""

    def __init__(self, folder, zones=("a", "b"), services=("desk",), per_service=2, bounds=None):
        self.record = Record(folder)
        self.out = folder
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.bounds = bounds or {}
        self.services = services
        self.version = 1
        self.routes = []
        for _ in range(100):
            self.prefix = f"127.{random.randint(20, 250)}.{random.randint(0, 250)}"
            self.port = random.randint(20000, 30000)
            if self.is_free():
                break
        self.store = Store((f"{self.prefix}.1", self.port))
        self.machines = []
        counts = per_service if isinstance(per_service, list) else [per_service] * len(services)
        for service, count in zip(services, counts):
            for _ in range(count):
                number = len(self.machines) + 1
                self.machines.append(Machine(self, number, zones[number % len(zones)], service))
        self.targets = [Target(machine, machine.service, self.record) for machine in self.machines]

    def is_free(self):
        import socket
        try:
            for number in range(1, 10):
                for port in range(self.port, self.port + 8):
                    with socket.socket() as probe:
                        probe.bind((f"{self.prefix}.{number}", port))
        except OSError:
            return False
        return True

    def route(self, name, prefix, kind, service, timeout="2000ms", attempts=2, priority=1):
        return {"ResourceKind": "Routes", "Metadata": {"Name": name},
                "Specification": {"Host": HOST, "PathPrefix": prefix, "Kind": kind, "Timeout": timeout,
                                  "ObjectiveLatency": "600ms", "Priority": priority, "Service": service,
                                  "MaxAttempts": attempts}}

    def configure(self, routes, limits=None):
        self.version += 1
        resources = list(routes)
        for service in self.services:
            resources.append({"ResourceKind": "Services", "Metadata": {"Name": service},
                              "Specification": {"HealthPath": "/health", "ConnectionLimit": 120,
                                                "Protocol": "h1", "Tls": False}})
        resources.append({"ResourceKind": "Limits", "Metadata": {},
                          "Specification": {"HeaderBytes": 16384, "BodyBytes": 67108864,
                                            "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms", **(limits or {})}})
        self.store.put("config", "main", {"Version": self.version, "Resources": resources})
        self.record("configuration", self.version)

    async def start(self):
        await self.store.start()
        for target in self.targets:
            await target.start()
        for machine in self.machines:
            machine.start()
        await self.until_ready()

    async def until_ready(self, machines=None, limit_s=20):
        """Waits until the machines are ready and use all targets."""
        end = time.monotonic() + limit_s
        for machine in machines or self.machines:
            while True:
                answer = await get(machine.ready, "/api/readiness")
                if answer and answer.status == 200:
                    break
                if time.monotonic() > end:
                    raise Unusable(f"{machine.name} did not become ready")
                await asyncio.sleep(0.05)
        await asyncio.sleep(2.5)

    def end(self):
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Unusable(Exception):
    """The case could not run."""


_ids = itertools.count(1)


def new_id():
    return f"{random.getrandbits(32):08x}{next(_ids):08x}"


def request_text(method, path, attempt, body=b"", deadline_ms=2000, headers=(), length=True):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Tarragontray-Attempt-Id: {attempt}",
             f"X-Tarragontray-Deadline-Remaining: {deadline_ms}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if length and (body or method == "POST"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Client:
    """One connection of a client to the Outbound address of its machine."""

    def __init__(self, mesh, machine):
        self.mesh = mesh
        self.machine = machine

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(*self.machine.outbound, limit=1 << 22), 1)
        return self

    async def call(self, method, path, body=b"", deadline_ms=2000, headers=(), attempt=None):
        """\return (attempt id, answer or None when the connection ended)."""
        attempt = attempt or new_id()
        self.mesh.record("send", self.machine.name, attempt, method, path, f"body={len(body)}")
        self.writer.write(request_text(method, path, attempt, body, deadline_ms, headers))
        try:
            answer = await asyncio.wait_for(read_response(self.reader), deadline_ms / 1000 + 3)
        except asyncio.TimeoutError:
            self.mesh.record("no answer", attempt)
            return attempt, None
        self.mesh.record("answer", attempt, answer.first if answer else "connection ended",
                         f"body={len(answer.body)}" if answer else "")
        return attempt, answer

    def close(self):
        self.writer.close()


def main(case, **settings):
    """Runs a case: async (mesh, has_trouble) -> list of broken promises."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    program = os.path.join(ROOT, "target/bin/tarragontray-mesh-node")
    if not os.access(program, os.X_OK):
        print("the deploy file's build is missing")
        sys.exit(2)
    # Ends the started processes also when the script is terminated.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    mesh = Mesh(folder, **settings)
    try:
        broken = asyncio.run(asyncio.wait_for(case(mesh, has_trouble), 110))
    except (Unusable, OSError, asyncio.TimeoutError) as error:
        mesh.record("could not run:", repr(error))
        print("could not run:", repr(error))
        sys.exit(2)
    finally:
        mesh.end()
    for line in broken:
        mesh.record("BROKEN", line)
        print("BROKEN", line)
    mesh.record("broken" if broken else "held")
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)
