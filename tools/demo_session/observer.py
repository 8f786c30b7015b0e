"""Watches every node's /status while the session runs."""
import concurrent.futures
import threading
import time

PERIOD_S = 0.25


class Observer:
    """Notes versions that went back and when each node reached a version."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._pool = concurrent.futures.ThreadPoolExecutor(8)
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._versions = {}
        self._latest = {}
        self.went_back = []
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        self._thread.start()

    def stop(self):
        self._stop.set()
        self._thread.join()
        self._pool.shutdown()

    def latest(self, vm):
        with self._lock:
            return self._latest.get(vm.name)

    def _run(self):
        while not self._stop.wait(PERIOD_S):
            self.look()

    def look(self):
        """Reads every node once; gives those that answered."""
        return [vm for vm, status in
                zip(self._fleet.vms, self._pool.map(self._read, self._fleet.vms))
                if status is not None]

    def _read(self, vm):
        if not vm.node.is_running():
            return None
        status = self._fleet.status(vm, timeout_s=1.0)
        if status is not None:
            self._note(vm, status)
        return status

    def _note(self, vm, status):
        with self._lock:
            self._latest[vm.name] = status
            for entry in status["configurations"]:
                version = entry.get("version")
                if version is None:
                    continue
                key = (vm.name, entry["account"])
                if version < self._versions.get(key, 0):
                    self.went_back.append(
                        f"{vm.name} {entry['account']} {self._versions[key]}->{version}")
                self._versions[key] = max(version, self._versions.get(key, 0))

    def version(self, vm, account):
        """The version in force as last seen."""
        with self._lock:
            return self._versions.get((vm.name, account), 0)

    def wait_in_force(self, account, revision, vms, limit_s):
        """Milliseconds until every one of vms has the revision, and who has not."""
        begin = time.monotonic()
        missing = list(vms)
        while missing and time.monotonic() - begin < limit_s:
            list(self._pool.map(self._read, missing))
            missing = [vm for vm in missing if self.version(vm, account) < revision]
        return (time.monotonic() - begin) * 1000, missing


def move_of(status, account, service, plan):
    """The move's entry in a /status, or None."""
    for move in (status or {}).get("moves", []):
        if (move["account"], move["service"], move["plan"]) == (account, service, plan):
            return move
    return None
