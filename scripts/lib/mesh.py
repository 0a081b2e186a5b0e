"""Starts and stops a small mesh of real processes on loopback addresses, for quickstart, tests and bench."""

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
BIN = pathlib.Path(os.environ.get("BUILD_DIR", ROOT / "build")).resolve() / "bin"


def strip_comments(text):
    """Removes line comments that stand alone on a line, as the example files use them."""
    return re.sub(r"^\s*//.*$", "", text, flags=re.MULTILINE)


def load_json(path):
    """Reads a JSON file with comments."""
    return json.loads(strip_comments(pathlib.Path(path).read_text()))


def request(method, address, path, body=None, headers=None, timeout=10.0):
    """Sends one HTTP request and returns (status, headers in lower case, body)."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, {k.lower(): v for k, v in response.getheaders()}, response.read()
    finally:
        connection.close()


def wait_until(condition, timeout, interval=0.05):
    """Polls a condition until it is true; returns the seconds it took, or None after the timeout."""
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
    """Checks whether a TCP and UDP port of a loopback address can be bound."""
    host, port = address.rsplit(":", 1)
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, int(port)))
            except OSError:
                return False
    return True


def free_prefix():
    """Picks the first two bytes after 127 of a range of loopback addresses that is not in use."""
    for _ in range(100):
        prefix = f"127.{random.randint(100, 250)}.{random.randint(1, 250)}"
        if is_free(f"{prefix}.250:7500") and is_free(f"{prefix}.1:7402") and is_free(f"{prefix}.1:7404"):
            return prefix
    raise RuntimeError("no free range of loopback addresses found")


def make_fleet(data_centres, per_data_centre, overrides=None, seed_count=1):
    """Makes settings for a fleet; returns (log address, settings by node). At most 249 nodes."""
    prefix = free_prefix()
    log_address = f"{prefix}.250:7500"
    names = [f"dc{index}" for index in range(1, data_centres + 1)]
    places = [(name, index) for name in names for index in range(1, per_data_centre + 1)]
    ips = {place: f"{prefix}.{number}" for number, place in enumerate(places, 1)}
    seeds = [f"{ips[(name, index)]}:7404" for name in names for index in range(1, seed_count + 1)]
    fleet = {}
    for name, index in places:
        settings = {"node": f"{name}-{index}", "data_centre": name, "ip": ips[(name, index)],
                    "log": {"url": f"http://{log_address}"}, "membership": {"seeds": seeds}}
        for group, members in (overrides or {}).items():
            if isinstance(members, dict):
                settings.setdefault(group, {}).update(members)
            else:
                settings[group] = members
        fleet[settings["node"]] = settings
    return log_address, fleet


class Process:
    """A child process whose output goes to a file."""

    def __init__(self, name, command, directory):
        self.name = name
        self.log_path = pathlib.Path(directory) / f"{name}.log"
        self.log = open(self.log_path, "ab")
        self.child = subprocess.Popen([str(part) for part in command], stdout=self.log, stderr=self.log,
                                      stdin=subprocess.DEVNULL)

    @property
    def pid(self):
        return self.child.pid

    def running(self):
        return self.child.poll() is None

    def send(self, number):
        if self.running():
            self.child.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.child.wait()
        self.log.close()

    def wait(self, timeout):
        return self.child.wait(timeout)

    def output(self):
        return self.log_path.read_text(errors="replace")


class Mesh:
    """A log service, nodes and targets. Use as a context manager; everything it started ends with it."""

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
        """Ends every process of the mesh."""
        for process in self.processes.values():
            process.send(signal.SIGCONT)
            process.send(signal.SIGKILL)
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
        """Starts the simulated log service and waits until it answers."""
        self.log_address = address
        process = self.start("log", [BIN / "log_server", "--listen", address, *options])
        if wait_until(lambda: request("GET", address, "/streams/config")[0] == 200, 10) is None:
            raise RuntimeError(f"log_server did not start: {process.output()}")
        return process

    def log_control(self, **switches):
        """Sets the failure switches of the log service."""
        status, _, body = request("POST", self.log_address, "/control", json.dumps(switches))
        if status != 200:
            raise RuntimeError(f"log control answered {status}: {body}")

    def log_counters(self):
        """Returns the counters of the log service."""
        return json.loads(request("GET", self.log_address, "/control")[2])

    def start_node(self, settings):
        """Starts a node from a settings dictionary."""
        name = settings["node"]
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings, indent=1))
        self.settings[name] = settings
        return self.start(name, [BIN / "kumquatdriftd", "--config", path])

    def address(self, node, listener):
        """Returns IP:PORT of a listener of a node."""
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
        """Returns the configuration version in force at a node, or -1 if it does not answer."""
        try:
            return self.status(node)["version"]
        except (OSError, http.client.HTTPException, ValueError):
            return -1

    def ready(self, node):
        return request("GET", self.address(node, "admin"), "/readyz", timeout=2)[0] == 200

    def call(self, node, method, path, body=None, headers=None, timeout=10.0):
        """Sends a request to the caller listener of a node."""
        return request(method, self.address(node, "caller"), path, body, headers, timeout)

    def call_again(self, node, method, path, body=None, headers=None, tries=5):
        """Sends a request and, while it is refused with a time to come back, sends it again after that time."""
        for _ in range(tries):
            answer = self.call(node, method, path, body, headers)
            if "retry-after" not in answer[1]:
                break
            time.sleep(float(answer[1]["retry-after"]))
        return answer
