"""Runs a mesh of processes on loopback addresses, for scripts/quickstart, scripts/bench and the process tests."""

import http.client
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
BIN = pathlib.Path(os.environ.get("BUILD_DIR", ROOT / "build")).resolve() / "bin"


def strip_comments(text):
    """Removes the comment lines that start with //, as in the example files."""
    return re.sub(r"^\s*//.*$", "", text, flags=re.MULTILINE)


def load_json(path):
    """Reads a JSON file that may have comment lines."""
    return json.loads(strip_comments(pathlib.Path(path).read_text()))


def request(method, address, path, body=None, headers=None, timeout=10.0):
    """Sends an HTTP request and returns (status, headers with lower-case names, body)."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, {k.lower(): v for k, v in response.getheaders()}, response.read()
    finally:
        connection.close()


def wait_until(condition, timeout, interval=0.05):
    """Polls a condition until it is true. Returns the seconds it took, or None after the timeout."""
    start = time.monotonic()
    while time.monotonic() - start < timeout:
        try:
            if condition():
                return time.monotonic() - start
        except (OSError, http.client.HTTPException, ValueError):
            pass
        time.sleep(interval)
    return None


def is_free(address):
    """Returns whether the TCP port and the UDP port of an address can both be bound."""
    host, port = address.rsplit(":", 1)
    for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, socket_type) as probe:
            try:
                probe.bind((host, int(port)))
            except OSError:
                return False
    return True


def free_prefix():
    """Returns the first three bytes of a random range of loopback addresses that is not in use."""
    for _ in range(100):
        prefix = f"127.{random.randint(100, 250)}.{random.randint(1, 250)}"
        if is_free(f"{prefix}.250:7500") and is_free(f"{prefix}.1:7402") and is_free(f"{prefix}.1:7404"):
            return prefix
    raise RuntimeError("no free range of loopback addresses found")


def make_fleet(data_centres, per_data_centre, overrides=None, seed_count=1):
    """Creates the settings of a fleet of at most 249 nodes. Returns (log address, settings by node)."""
    prefix = free_prefix()
    log_address = f"{prefix}.250:7500"
    names = [f"dc{index}" for index in range(1, data_centres + 1)]
    positions = [(name, index) for name in names for index in range(1, per_data_centre + 1)]
    ips = {position: f"{prefix}.{number}" for number, position in enumerate(positions, 1)}
    seeds = [f"{ips[(name, index)]}:7404" for name in names for index in range(1, seed_count + 1)]
    fleet = {}
    for name, index in positions:
        settings = {"node": f"{name}-{index}", "data_centre": name, "ip": ips[(name, index)],
                    "log": {"url": f"http://{log_address}"}, "membership": {"seeds": seeds}}
        for group, members in (overrides or {}).items():
            if isinstance(members, dict):
                settings.setdefault(group, {}).update(members)
            else:
                settings[group] = members
        fleet[settings["node"]] = settings
    return log_address, fleet


def cpu_seconds(process):
    """Returns the user and system time of a process."""
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(process):
    """Returns the resident set size of a process."""
    return int(pathlib.Path(f"/proc/{process.pid}/statm").read_text().split()[1]) * PAGE_BYTES / 1e6


class Process:
    """A child process whose output is written to a log file."""

    def __init__(self, name, command, directory):
        self.name = name
        self.log_path = pathlib.Path(directory) / f"{name}.log"
        self.log = open(self.log_path, "ab")
        self.child = subprocess.Popen([str(part) for part in command], stdout=self.log, stderr=self.log,
                                      stdin=subprocess.DEVNULL)

    @property
    def pid(self):
        return self.child.pid

    def is_running(self):
        return self.child.poll() is None

    def send_signal(self, number):
        if self.is_running():
            self.child.send_signal(number)

    def kill(self):
        self.send_signal(signal.SIGKILL)
        self.child.wait()
        self.log.close()

    def wait(self, timeout):
        return self.child.wait(timeout)

    def output(self):
        return self.log_path.read_text(errors="replace")


class Mesh:
    """A log service with nodes and targets. As a context manager, it stops all its processes on exit."""

    def __init__(self, directory=None):
        self.temporary = None if directory else tempfile.TemporaryDirectory(prefix="kumquatdrift-")
        self.directory = pathlib.Path(directory or self.temporary.name)
        self.directory.mkdir(parents=True, exist_ok=True)
        self.processes = {}
        self.settings = {}
        self.log_address = None
        self.lock = threading.Lock()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    def stop(self):
        """Kills all processes of the mesh."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.child.wait()
            process.log.close()
        if self.temporary:
            self.temporary.cleanup()
            self.temporary = None

    def start(self, name, command):
        process = Process(name, command, self.directory)
        with self.lock:
            self.processes[name] = process
        return process

    def start_log(self, address="127.0.0.1:7500", *options):
        """Starts the simulated log service and waits until it responds."""
        self.log_address = address
        process = self.start("log", [BIN / "log_server", "--listen", address, *options])
        if wait_until(lambda: request("GET", address, "/streams/config")[0] == 200, 10) is None:
            raise RuntimeError(f"log_server did not start: {process.output()}")
        return process

    def log_control(self, **changes):
        """Sets limits and simulated faults of the log service."""
        status, _, body = request("POST", self.log_address, "/control", json.dumps(changes))
        if status != 200:
            raise RuntimeError(f"POST /control of the log service failed with status {status}: {body}")

    def log_counters(self):
        """Returns the faults, limits and counters of the log service."""
        return json.loads(request("GET", self.log_address, "/control")[2])

    def start_node(self, settings):
        """Writes the settings of a node to a file and starts the node."""
        name = settings["node"]
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings, indent=1))
        self.settings[name] = settings
        return self.start(name, [BIN / "kumquatdriftd", "--config", path])

    def address(self, node, listener):
        """Returns the address of a listener of a node, as IP:PORT."""
        default = {"caller": 7400, "peer": 7401, "admin": 7402, "control": 7403}[listener]
        settings = self.settings[node]
        port = settings.get("listeners", {}).get(listener, {}).get("port", default)
        return f"{settings['ip']}:{port}"

    def start_target(self, node, target_id, service, *options, port=7600):
        """Starts a target on the host of a node."""
        ip = self.settings[node]["ip"]
        return self.start(f"target-{target_id}", [
            BIN / "target_server", "--listen", f"{ip}:{port}", "--service", service, "--id", target_id,
            "--announce", f"http://{self.address(node, 'admin')}", *options])

    def ctl(self, *arguments, node=None, timeout=30):
        """Runs kumquatdriftctl and returns the completed process."""
        environment = {**os.environ, "KUMQUATDRIFT_LOG": f"http://{self.log_address}"}
        if node:
            environment["KUMQUATDRIFT_NODE"] = f"http://{self.address(node, 'admin')}"
        command = [str(part) for part in (BIN / "kumquatdriftctl", *arguments)]
        return subprocess.run(command, capture_output=True, text=True, timeout=timeout, env=environment,
                              check=False)

    def status(self, node):
        """Returns the status of a node as a dictionary."""
        return json.loads(request("GET", self.address(node, "admin"), "/v1/status", timeout=2)[2])

    def version(self, node):
        """Returns the configuration version in force at a node, or -1 if the node does not respond."""
        try:
            return self.status(node)["version"]
        except (OSError, http.client.HTTPException, ValueError):
            return -1

    def is_ready(self, node):
        return request("GET", self.address(node, "admin"), "/readyz", timeout=2)[0] == 200

    def call(self, node, method, path, body=None, headers=None, timeout=10.0):
        """Sends a request to the caller listener of a node."""
        return request(method, self.address(node, "caller"), path, body, headers, timeout)

    def call_with_retries(self, node, method, path, body=None, headers=None, attempts=5):
        """Sends a request, and retries it after the Retry-After time while the response has that header.

        Sends it at most `attempts` times.
        """
        for _ in range(attempts):
            response = self.call(node, method, path, body, headers)
            if "retry-after" not in response[1]:
                break
            time.sleep(float(response[1]["retry-after"]))
        return response
