"""Stand-ins for a small deployment on loopback: the metadata store, targets,
clients and the platform's process control. They follow the users' PROTOCOL and
DEPLOY pages. Standard library only; one event loop on the real clock."""
import asyncio
import json
import os
import pathlib
import random
import re
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
NODE = ROOT / "target/bin/tarragontray-mesh-node"
TEMPLATE = ROOT / "deploy/node.settings"
ID = "x-tarragontray-attempt-id"
LEFT = "x-tarragontray-deadline-remaining"
EXPECTED = "x-tarragontray-expected-instance"
SIGNATURE = "x-tarragontray-response-signature"
NOT_EXECUTED = "x-tarragontray-not-executed"
START = time.monotonic()
# Cases that run at the same time use different loopback addresses.
NET = f"127.{64 + os.getpid() % 64}"


def now():
    return time.monotonic() - START


def free_ports(host, count):
    """Ports that are free now for TCP and UDP."""
    found = []
    held = []
    while len(found) < count:
        tcp = socket.socket()
        tcp.bind((host, 0))
        port = tcp.getsockname()[1]
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            udp.bind((host, port))
        except OSError:
            udp.close()
            tcp.close()
            continue
        held += [tcp, udp]
        found.append(port)
    for one in held:
        one.close()
    return found


async def read_message(reader):
    """Reads one request or response: first line, headers, body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def response(status, headers=None, body=b""):
    lines = [f"HTTP/1.1 {status} X"]
    for name, value in (headers or {}).items():
        lines.append(f"{name}: {value}")
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = open(folder / "record.txt", "w", encoding="utf-8")

    def line(self, text):
        self._file.write(f"{now():8.3f} {text}\n")

    def close(self):
        self._file.flush()
        self._file.close()


class Store:
    """The platform's metadata store."""

    def __init__(self, record, host):
        self._record = record
        self.host = host
        self.port = None
        self._revision = 100
        self._objects = {}
        self._events = []
        self._changed = asyncio.Condition()
        self._server = None
        self._is_silent = False

    async def start(self):
        self.port = free_ports(self.host, 1)[0]
        self._server = await asyncio.start_server(self._serve, self.host, self.port)

    def silence(self, is_silent):
        """While silent, the store reads calls and neither does nor answers them."""
        self._is_silent = is_silent
        self._record.line(f"store: {'silent' if is_silent else 'serves again'}")

    def get(self, kind, name):
        return self._objects.get((kind, name))

    async def put(self, kind, name, specification):
        """A write of the operator; returns the revision."""
        held = self._objects.get((kind, name))
        if held is None:
            return await self._change(kind, name, specification, None, True)
        return await self._change(kind, name, specification, held["Status"], False)

    async def _change(self, kind, name, specification, status, is_new):
        async with self._changed:
            held = self._objects.get((kind, name))
            if held and held["Specification"] == specification and held["Status"] == status:
                return held["Metadata"]["Revision"]
            self._revision += 1
            created = self._revision if is_new or held is None \
                else held["Metadata"]["CreatedRevision"]
            self._objects[(kind, name)] = {
                "Metadata": {"Name": name, "Revision": self._revision,
                             "CreatedRevision": created, "Finalizers": [],
                             "DeletionRequested": False},
                "Specification": specification, "Status": status}
            self._events.append((self._revision, kind, self._objects[(kind, name)]))
            self._changed.notify_all()
            return self._revision

    async def _serve(self, reader, writer):
        try:
            while True:
                line, _, body = await read_message(reader)
                if self._is_silent:
                    # Such a connection returns nothing further.
                    await asyncio.sleep(3600)
                method, target, _ = line.split(" ")
                await asyncio.sleep(0.004)
                status, answer = await self._call(method, target, body)
                if self._is_silent:
                    await asyncio.sleep(3600)
                writer.write(response(status, {"Content-Type": "application/json"},
                                      json.dumps(answer).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _call(self, method, target, body):
        path, _, query = target.partition("?")
        parts = path.split("/")[3:]
        asked = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        sent = json.loads(body) if body else {}
        if method == "GET" and name is None:
            if "Watch" in asked:
                return await self._watch(kind, int(asked["Watch"]),
                                         int(asked.get("WaitMs", 0)) / 1000)
            items = [o for (k, n), o in sorted(self._objects.items())
                     if k == kind and n > asked.get("after", "")]
            return 200, {"items": items, "HasMore": False, "At": self._revision}
        if method == "GET":
            held = self.get(kind, name)
            return (200, held) if held else (404, {})
        metadata = sent.get("Metadata") or {}
        name = name or metadata.get("Name")
        held = self.get(kind, name)
        if method == "POST":
            if held:
                return 409, held
            await self._change(kind, name, sent.get("Specification"), None, True)
            return 200, self.get(kind, name)
        if held is None:
            return 404, {}
        expected = metadata.get("Revision", asked.get("Revision"))
        if expected is not None and int(expected) != held["Metadata"]["Revision"]:
            return 409, held
        if method == "PUT" and parts[-1] == "status":
            self._record.line(f"store: status of {kind}/{name} := "
                              f"{json.dumps(sent.get('Status'))}")
            await self._change(kind, name, held["Specification"], sent.get("Status"), False)
        elif method == "PUT":
            await self._change(kind, name, sent.get("Specification"), held["Status"], False)
        return 200, self.get(kind, name)

    async def _watch(self, kind, after, wait):
        def events():
            return [{"Deleted": False, "Object": o}
                    for r, k, o in self._events if k == kind and r > after]
        async with self._changed:
            try:
                await asyncio.wait_for(self._changed.wait_for(events), wait)
            except asyncio.TimeoutError:
                pass
            return 200, {"events": events(), "At": self._revision}


class Target:
    """An application target, with its heartbeats to the node beside it."""

    def __init__(self, record, service, version, address, slots=9, work=None):
        self._record = record
        self.service = service
        self.version = version
        self.address = address
        self.instance = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.slots = slots
        self.state = "ready"
        self.zone = "zone-a"
        self.work = work or (lambda request: 0.2)
        # Decides on the answer: (status, body).
        self.answer = lambda request: (200, b"done " * 20)
        self.runs = []
        self._sequence = 0
        self._free = None
        self._control = None
        self._server = None
        self._beats = None

    async def start(self, control):
        self._free = asyncio.Semaphore(self.slots)
        self._control = control
        self._server = await asyncio.start_server(self._serve, *self.address)
        self._beats = asyncio.create_task(self._beat())

    async def stop(self):
        if self._beats:
            self._beats.cancel()
        if self._server:
            self._server.close()

    def heartbeat(self):
        self._sequence += 1
        return ("POST", f"/api/rpc?call=instances.heartbeat&of={self.instance}", {
            "Address": f"{self.address[0]}:{self.address[1]}",
            "Information": {"Service": self.service, "Version": self.version,
                            "Zone": self.zone, "Slots": self.slots},
            "Status": {"State": self.state, "Sequence": self._sequence,
                       "WarmupRemaining": "0ms"},
            "born": self.born})

    async def tell(self, message):
        """Sends a message to the node; returns the status, None without one."""
        method, target, body = message
        answer = await call(self._control, method, target,
                            {"Content-Type": "application/json"},
                            json.dumps(body).encode(), 1.0)
        return answer.status if answer else None

    async def leave(self):
        """Deregisters, ends the heartbeats; serves on."""
        self._beats.cancel()
        return await self.tell(
            ("POST", f"/api/rpc?call=instances.deregister&of={self.instance}",
             {"born": self.born}))

    async def _beat(self):
        while True:
            await self.tell(self.heartbeat())
            await asyncio.sleep(1.5 * random.uniform(0.95, 1.05)
                                if self._sequence > 1 else 0.5)

    async def _serve(self, reader, writer):
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ")
                if target == "/health":
                    status = 200 if self.state == "ready" else 503
                    writer.write(response(status, {"X-Tarragontray-Instance-Id": self.instance}))
                    continue
                answer = await self._run(method, target, headers, body)
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _run(self, method, target, headers, body):
        identity = headers.get(ID, "")
        if headers.get(EXPECTED, self.instance) != self.instance:
            return response(421, {"X-Tarragontray-Instance-Id": self.instance,
                                  "X-Tarragontray-Attempt-Id": identity})
        arrived = time.monotonic()
        left = int(headers.get(LEFT, 10000)) / 1000
        async with self._free:
            if time.monotonic() - arrived >= left:
                return response(503, {"X-Tarragontray-Not-Executed": "1",
                                      "X-Tarragontray-Attempt-Id": identity})
            self.runs.append((now(), identity, target))
            self._record.line(f"target {self.instance} ({self.service} {self.version}) "
                              f"runs {identity} {method} {target}")
            request = {"method": method, "target": target, "headers": headers, "body": body}
            await asyncio.sleep(min(self.work(request), left))
            status, answer = self.answer(request)
        load = f"{self.slots - self._free._value},0,{self.slots}"
        return response(status, {"X-Tarragontray-Attempt-Id": identity,
                                 "X-Tarragontray-Response-Signature": f"s.{identity}",
                                 "X-Tarragontray-Server-Load": load}, answer)


class Answer:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


async def call(address, method, target, headers, body=b"", limit=5.0):
    """One request on a new connection; None without a complete answer."""
    writer = None
    try:
        async with asyncio.timeout(limit):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{n}: {v}" for n, v in {"Host": "node", **headers}.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            first, answered, answer = await read_message(reader)
            return Answer(int(first.split(" ")[1]), answered, answer)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer:
            writer.close()


class Machine:
    """A sidecar machine: its addresses and the node's process."""

    def __init__(self, world, name, service, host):
        self._world = world
        self.name = name
        self.service = service
        self.host = host
        ports = free_ports(host, 6)
        self.outbound, self.inbound, self.ready, self.control, self.application = \
            [(host, p) for p in ports[:5]]
        self.internal = ports[5]
        self.process = None
        self.descriptors = 4100
        self.zone = "zone-a"

    def fields(self, bootstrap):
        def at(address):
            return f"{address[0]}:{address[1]}"
        return {
            "NodeName": self.name, "Zone": self.zone, "Region": "region-a",
            "Service": self.service, "IpAddress": self.host, "Bootstrap": bootstrap,
            "Listen": {"Outbound": at(self.outbound), "Inbound": at(self.inbound),
                       "Ready": at(self.ready), "Control": at(self.control)},
            "InternalPortRange": [self.internal, self.internal],
            "Platform": {"Address": at((self._world.store.host, self._world.store.port)),
                         "History": "20s"},
            "Bounds": {"Grace": "6s", "BudgetSlack": 60, "BudgetWindow": "10s"}}

    async def start(self, bootstrap):
        path = self._world.temporary / f"{self.name}.settings"
        path.write_text(render(TEMPLATE.read_text(), self.fields(bootstrap)))
        log = open(self._world.temporary / f"{self.name}.log", "ab")
        limit = self.descriptors
        self.process = await asyncio.create_subprocess_exec(
            str(NODE), cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "TARRAGONTRAY_BOOT": str(path)},
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit)))
        log.close()
        self._world.record.line(f"platform: {self.name} started")

    def send_signal(self, number):
        self._world.record.line(f"platform: {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def open_descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


def render(template, fields):
    """Fills in the template of the settings as the platform does."""
    def value(name, scope):
        found = scope
        for part in name.split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part)
            if found is None:
                return None
        return found

    def section(match):
        found = value(match.group(1), fields)
        if not found:
            return ""
        return match.group(2).replace("{{.}}", str(found))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(value(m.group(1), fields)), text)


def route(name, host, prefix, kind, service, timeout, objective, priority, attempts=2):
    return {"ResourceKind": "Routes", "Metadata": {"Name": name},
            "Specification": {"Host": host, "PathPrefix": prefix, "Kind": kind,
                              "Timeout": timeout, "ObjectiveLatency": objective,
                              "Priority": priority, "Service": service,
                              "MaxAttempts": attempts}}


def service(name):
    return {"ResourceKind": "Services", "Metadata": {"Name": name},
            "Specification": {"HealthPath": "/health", "ConnectionLimit": 130,
                              "Protocol": "h1", "Tls": False}}


LIMITS = {"ResourceKind": "Limits", "Metadata": {},
          "Specification": {"HeaderBytes": 16384, "BodyBytes": 67108864,
                            "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"}}


class World:
    """The deployment of one case."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder).resolve()
        self.record = Record(self.folder)
        self._directory = tempfile.TemporaryDirectory(prefix="review-")
        self.temporary = pathlib.Path(self._directory.name)
        self.store = Store(self.record, f"{NET}.0.1")
        self.machines = []
        self.is_disturbed = os.environ.get("TROUBLE", "1") != "0"

    def machine(self, name, service_name):
        host = f"{NET}.1.{len(self.machines) + 1}"
        made = Machine(self, name, service_name, host)
        self.machines.append(made)
        return made

    async def start_all(self):
        await asyncio.gather(*(m.start(True) for m in self.machines))

    async def wait_ready(self, machines, limit=20.0):
        end = time.monotonic() + limit
        for one in machines:
            while True:
                answer = await call(one.ready, "GET", "/api/readiness", {}, limit=1.0)
                if answer and answer.status == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRun(f"{one.name} was not ready")
                await asyncio.sleep(0.1)

    async def end(self):
        """Ends all processes that were started."""
        for one in self.machines:
            if one.process and one.process.returncode is None:
                try:
                    one.process.kill()
                except ProcessLookupError:
                    pass
        for one in self.machines:
            if one.process:
                await one.process.wait()
        self.record.close()
        self._directory.cleanup()


class CannotRun(Exception):
    """The case could not run."""


def run_case(folder, case):
    """Runs the case and ends this process: 1 if the rule was broken, 0 if it
    held, 2 if the case could not run."""
    if not NODE.exists():
        print("no build: run the deploy file's build first", file=sys.stderr)
        os._exit(2)
    world = World(folder)

    async def limited():
        try:
            async with asyncio.timeout(115):
                is_broken, text = await case(world)
                code = 1 if is_broken else 0
        except (CannotRun, TimeoutError, OSError) as error:
            code, text = 2, f"could not run: {error!r}"
        world.record.line(text)
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(world.temporary, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        await world.end()
        print(text, flush=True)
        # Open connections of stand-ins need no orderly end.
        os._exit(code)

    asyncio.run(limited())
