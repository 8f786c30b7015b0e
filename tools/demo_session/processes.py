"""The demo's own processes: started here, ended here, by their own ids."""
import subprocess
import threading


class Process:
    """One child process; its output goes to a log file."""

    def __init__(self, name, command, log_path):
        self.name = name
        self._ready = threading.Event()
        self._log = open(log_path, "ab")
        self._child = subprocess.Popen(
            command, stdout=subprocess.PIPE, stderr=self._log, stdin=subprocess.DEVNULL)
        self._output = []
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    def _read(self):
        for line in self._child.stdout:
            self._log.write(line)
            self._log.flush()
            self._output.append(line.decode(errors="replace"))
            if b"ready" in line:
                self._ready.set()

    def wait_ready(self, limit_s):
        """True when the process said that it is ready within the limit."""
        return self._ready.wait(limit_s)

    def is_running(self):
        return self._child.poll() is None

    def kill(self):
        """kill -9: the process gets no chance to say goodbye."""
        self._child.kill()
        self._child.wait()

    def stop(self):
        """Asks for a graceful stop."""
        if self.is_running():
            self._child.terminate()

    def wait(self, limit_s):
        """The exit status, or None when it still runs at the limit."""
        try:
            status = self._child.wait(limit_s)
        except subprocess.TimeoutExpired:
            return None
        self._reader.join(limit_s)
        return status

    def output(self):
        return "".join(self._output)


class ProcessTable:
    """Every process of the session, so that none outlives it."""

    def __init__(self, log_dir):
        self._log_dir = log_dir
        self._all = []

    def start(self, name, command):
        process = Process(name, command, self._log_dir / f"{name}.log")
        self._all.append(process)
        return process

    def end_all(self):
        for process in self._all:
            if process.is_running():
                process.kill()
