"""The VMs of both deployments: a node and an upstream in each."""
import dataclasses
import json
import re

import http_json

REGIONS = {"mesqel-gate": 1, "vanua-voice": 5}
START_LIMIT_S = 10


@dataclasses.dataclass
class Vm:
    name: str
    account: str
    region: str
    data_centre: str
    service: str
    version: str
    slots: int
    ip: str
    node: object = None
    upstream: object = None


@dataclasses.dataclass
class Ports:
    """The same on every VM, since every VM has its own loopback address."""
    front: int
    peer: int
    admin: int
    upstream: int
    upstream_admin: int
    platform: int
    platform_admin: int

    @staticmethod
    def from_base(base):
        return Ports(*range(base, base + 7))


def read_json(path):
    """JSON with // comments, as in examples/."""
    text = re.sub(r"^\s*//.*$", "", path.read_text(), flags=re.M)
    return json.loads(text)


def plan_vms(deployment, first_octet, versions):
    """One VM for each target and each of the versions of its service."""
    slots = {service["name"]: service["slots"] for service in deployment["services"]}
    vms = []
    for index, centre in enumerate(deployment["data_centres"]):
        host = 0
        for service, count in centre["targets"].items():
            for version in versions[service]:
                for number in range(count):
                    host += 1
                    vms.append(Vm(
                        name=f"{centre['name']}-{service}-{version}-{number + 1}",
                        account=deployment["account"], region=deployment["region"],
                        data_centre=centre["name"], service=service, version=version,
                        slots=slots[service], ip=f"127.0.{first_octet + index}.{host}"))
    return vms


class Fleet:
    """Starts and ends what runs in the VMs."""

    def __init__(self, table, log_dir, bin_dir, ports, vms, seed):
        self._table = table
        self._log_dir = log_dir
        self._bin = bin_dir
        self._ports = ports
        self._seed = seed
        self.vms = vms
        first = {vm.data_centre: vm for vm in reversed(vms)}
        self._seeds = ",".join(f"{vm.ip}:{ports.peer}" for vm in first.values())

    def start_node(self, vm):
        ports = self._ports
        vm.node = self._table.start(f"node-{vm.name}", [
            str(self._bin / "tarragontray-node"), "--vm", vm.name,
            "--data-centre", vm.data_centre, "--region", vm.region,
            "--front-address", f"{vm.ip}:{ports.front}",
            "--peer-address", f"{vm.ip}:{ports.peer}",
            "--admin-address", f"{vm.ip}:{ports.admin}",
            "--platform", f"127.0.0.1:{ports.platform}", "--seeds", self._seeds,
            "--log-level", "info"])

    def start_upstream(self, vm, service_us, faults="[]"):
        ports = self._ports
        index = self.vms.index(vm)
        vm.upstream = self._table.start(f"upstream-{vm.name}", [
            str(self._bin / "standin-upstream"), "--vm", vm.name,
            "--account", vm.account, "--service", vm.service,
            "--upstream-version", vm.version, "--slots", str(vm.slots),
            "--listen", f"{vm.ip}:{ports.upstream}",
            "--admin", f"{vm.ip}:{ports.upstream_admin}",
            "--node", f"{vm.ip}:{ports.admin}", "--service-us", str(service_us),
            "--seed", str(self._seed * 1000 + index), "--faults", faults,
            "--log-file", str(self.saved_log(vm))])

    def start_platform(self):
        ports = self._ports
        return self._table.start("platform", [
            str(self._bin / "standin-platform"),
            "--listen", f"127.0.0.1:{ports.platform}",
            "--admin", f"127.0.0.1:{ports.platform_admin}"])

    def wait_started(self):
        """Names of the processes that did not say that they are ready."""
        processes = [p for vm in self.vms for p in (vm.node, vm.upstream)]
        return [p.name for p in processes if not p.wait_ready(START_LIMIT_S)]

    def status(self, vm, timeout_s=2.0):
        """The node's /status, or None."""
        code, body = http_json.call("GET", vm.ip, self._ports.admin, "/status",
                                    timeout_s=timeout_s)
        return body if code == 200 else None

    def is_ready(self, vm):
        return http_json.call("GET", vm.ip, self._ports.admin, "/ready")[0] == 200

    def fronts(self, account):
        return ",".join(f"{vm.ip}:{self._ports.front}" for vm in self.vms
                        if vm.account == account)

    def logs(self, account, except_vm):
        return ",".join(f"{vm.ip}:{self._ports.upstream_admin}" for vm in self.vms
                        if vm.account == account and vm is not except_vm)

    def saved_log(self, vm):
        """Where the upstream saves its executions when it is stopped."""
        return self._log_dir / f"executions-{vm.name}.json"


class PlatformClient:
    """Writes objects and sets faults of the platform's stand-in."""

    def __init__(self, ports):
        self._ports = ports
        self._writes = 0

    def put(self, key, body, expected=None):
        """The new revision. Raises when the write is refused."""
        self._writes += 1
        code, answer = http_json.call(
            "PUT", "127.0.0.1", self._ports.platform, f"/v1/objects/{key}",
            {"expected": expected, "operation": f"demo-{self._writes}",
             "body": json.dumps(body)})
        if code != 200:
            raise RuntimeError(f"platform refused {key}: status {code} {answer}")
        return answer["revision"]

    def get(self, key):
        """The object's decoded body, or None."""
        code, answer = http_json.call(
            "GET", "127.0.0.1", self._ports.platform, f"/v1/objects/{key}")
        return json.loads(answer["body"]) if code == 200 else None

    def set_faults(self, **faults):
        code, _ = http_json.call("POST", "127.0.0.1", self._ports.platform_admin,
                                 "/faults", faults)
        if code != 200:
            raise RuntimeError(f"platform stand-in refused faults: status {code}")

    def counts(self):
        return http_json.call("GET", "127.0.0.1", self._ports.platform_admin,
                              "/counts")[1]
