"""Measures the bytes between the nodes of a gateway fleet on loopback addresses, by number of nodes and of routes."""

import argparse
import collections
import concurrent.futures
import http.client
import json
import multiprocessing
import os
import pathlib
import random
import re
import shutil
import socket
import statistics
import string
import sys
import tempfile
import threading
import time

from mesh import BIN, ROOT, Process, cpu_seconds, free_prefix, request, resident_mb

sys.path.insert(0, str(ROOT / "tests" / "process"))

from gateway_standins import Store  # noqa: E402

BINARY = BIN / "kumquatdrift-gateway"
DATA_CENTRES = ("a", "b", "c")
SERVICES = ("desk", "board")
KINDS = ("idempotent", "non_idempotent", "upload")
NODES_PER_PREFIX = 240

# Limits that the users require.
CONFIG_APPLY_S = 2.0

START_WINDOW_S = 10.0
REST_WINDOW_S = 10.0
CHANGE_WINDOW_S = 10.0
CHANGES = 10
CHANGE_INTERVAL_S = 1.09
CHANGES_WINDOW_S = CHANGES * CHANGE_INTERVAL_S + 5.0
IN_FORCE_TIMEOUT_S = 60.0
SCRAPE_THREADS = 8
# Load average for each processor at which the measurement stops, because others use the machine too: a fleet of 200
# nodes beside several compilers kept reconnecting its links at a load average of 198 on 8 processors.
MAX_LOAD_PER_PROCESSOR = 8

LINK_BYTES = re.compile(r"^gateway_link_bytes_total\{([^}]*)\} (\S+)$", re.MULTILINE)
LABEL = re.compile(r'(\w+)="([^"]*)"')
LOG_TIME = re.compile(r"^time=([0-9.]+) .*?event=(\w+) ")
LOG_NUMBER = re.compile(r" (\w+)=([0-9]+)(?= |$)")


class Document:
    """A configuration with routes of about 150 bytes each, whose names and paths are random letters."""

    def __init__(self, routes, seed):
        self.rng = random.Random(seed)
        self.version = 0
        self.routes = [{"name": self.letters(), "path_prefix": f"/{self.letters()}/",
                        "kind": self.rng.choice(KINDS), "service": self.rng.choice(SERVICES), "timeout_s": 2,
                        "target_latency_s": 1, "priority": 1, "max_attempts": 2} for _ in range(routes)]

    def letters(self):
        return "".join(self.rng.choices(string.ascii_lowercase, k=10))

    def change_route(self):
        self.rng.choice(self.routes)["path_prefix"] = f"/{self.letters()}/"

    def next_version(self):
        """Returns the document as text with the next version number."""
        self.version += 1
        return json.dumps({
            "version": f"{self.version:08x}",
            "services": [{"name": name, "health_path": "/health", "max_connections": 100} for name in SERVICES],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000000, "header_timeout_s": 3,
                       "idle_timeout_s": 15},
            "virtual_hosts": [{"host": "desk.example", "paths": self.routes}]}, separators=(",", ":"))


def serve_store(address, connection):
    """Runs the stand-in of the store with counters of its calls and body bytes, by path and topic."""
    counts = collections.Counter()
    lock = threading.Lock()
    store = Store(*address)

    class CountingHandler(store.server.RequestHandlerClass):
        def reply(self, status, body=b"", fields=()):
            key = re.sub(r"\?.*?topic=([^&]*).*", r" \1", self.path)
            if self.has_disconnected():
                key += " abandoned"
            with lock:
                counts[key + " calls"] += 1
                counts[key + " bytes"] += len(body)
                counts["failures"] += status != 200
            super().reply(status, body, fields)

        def has_disconnected(self):
            """Returns whether the client closed the connection, for example because it cancelled a long poll."""
            try:
                return self.connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
            except BlockingIOError:
                return False
            except OSError:
                return True

    store.server.RequestHandlerClass = CountingHandler
    connection.send(store.address)
    while True:
        try:
            document = connection.recv()
        except EOFError:
            return
        if document is None:
            with lock:
                connection.send(dict(counts))
        else:
            store.put("keyed.op", "config", document.encode())


class StoreProcess:
    """The stand-in of the store in its own process, so that it doesn't share an interpreter with the measurement."""

    def __init__(self, ip):
        self.connection, other = multiprocessing.Pipe()
        self.process = multiprocessing.get_context("spawn").Process(
            target=serve_store, args=((ip, 7500), other), daemon=True)
        self.process.start()
        other.close()
        self.address = self.connection.recv()

    def publish(self, document):
        """Publishes a document and returns the time before the call, in seconds since the epoch."""
        began = time.time()
        self.connection.send(document)
        return began

    def counts(self):
        self.connection.send(None)
        return {**self.connection.recv(), "core_s": cpu_seconds(self.process)}

    def stop(self):
        self.connection.close()
        self.process.kill()
        self.process.join()


class Node:
    """A gateway process, with the events of its log that were read so far."""

    def __init__(self, number, ip, store_address, directory):
        self.name = f"node-{number}"
        self.ip = ip
        self.directory = pathlib.Path(directory)
        self.settings = {
            "node": self.name, "data_centre": DATA_CENTRES[number % len(DATA_CENTRES)], "ip": ip,
            "service": SERVICES[number % len(SERVICES)], "target": f"{ip}:1", "store": store_address,
            "report_interval_s": 0.3, "grace_s": 6.0,
            "listen": {"callers": f"{ip}:7400", "peers": f"{ip}:7401", "reports": f"{ip}:7402", "ready": f"{ip}:7403",
                       "metrics": f"{ip}:7404"},
            "retries": {"share": 0.2, "extra": 60, "window_s": 10}}
        self.settings_path = self.directory / f"{self.name}.json"
        self.settings_path.write_text(json.dumps(self.settings))
        self.process = None
        self.log_offset = 0
        self.in_force = {}
        self.events = collections.Counter()

    def start(self, binary):
        self.process = Process(self.name, [binary, "--settings", self.settings_path], self.directory)

    def read_log(self):
        """Reads the complete lines that were added to the log since the last call."""
        with open(self.process.log_path, "rb") as log:
            log.seek(self.log_offset)
            added = log.read()
        added = added[:added.rfind(b"\n") + 1]
        self.log_offset += len(added)
        for line in added.decode(errors="replace").splitlines():
            found = LOG_TIME.match(line)
            if not found:
                continue
            event = found.group(2)
            self.events[event] += 1
            if event not in ("config_in_force", "config_handed_on"):
                continue
            fields = {name: int(value) for name, value in LOG_NUMBER.findall(line)}
            if event == "config_in_force":
                self.in_force[fields["version"]] = float(found.group(1))
            else:
                self.events["config_handed_on bytes"] += fields.get("bytes", 0)

    def time_in_force(self, version):
        """Returns when this version or a newer one came into force, or None."""
        times = [moment for number, moment in self.in_force.items() if number >= version]
        return min(times) if times else None

    def is_ready(self):
        try:
            return request("GET", f"{self.ip}:7403", "/ready", timeout=2)[0] == 200
        except (OSError, http.client.HTTPException):
            return False

    def sample(self):
        """Returns the counters of the node: bytes by kind and direction, processor time, memory and log events."""
        text = request("GET", f"{self.ip}:7404", "/metrics", timeout=30)[2].decode()
        moment = time.monotonic()
        link_bytes = collections.Counter()
        for labels, value in LINK_BYTES.findall(text):
            values = dict(LABEL.findall(labels))
            link_bytes[values["kind"], values["direction"]] = float(value)
        self.read_log()
        return {"time": moment, "link": link_bytes, "core_s": cpu_seconds(self.process),
                "mb": resident_mb(self.process), "events": self.events.copy()}


class Fleet:
    """Gateway processes in three data centres with one store. As a context manager, it ends its processes on exit.

    The logs stay if a measurement fails or a node does not get a version in time.
    """

    def __init__(self, count, binary):
        self.directory = tempfile.mkdtemp(prefix="kumquatdrift-gateway-")
        self.keeps_logs = False
        self.binary = binary
        self.pool = concurrent.futures.ThreadPoolExecutor(SCRAPE_THREADS)
        prefixes = []
        while len(prefixes) * NODES_PER_PREFIX < count:
            prefix = free_prefix()
            if prefix not in prefixes:
                prefixes.append(prefix)
        self.store = StoreProcess(f"{prefixes[0]}.250")
        self.nodes = [Node(number, f"{prefixes[number // NODES_PER_PREFIX]}.{number % NODES_PER_PREFIX + 1}",
                           self.store.address, self.directory) for number in range(count)]

    def __enter__(self):
        return self

    def __exit__(self, error_type, *_):
        for node in self.nodes:
            if node.process:
                node.process.kill()
        self.store.stop()
        self.pool.shutdown()
        if error_type or self.keeps_logs:
            print(f"logs: {self.directory}", flush=True)
        else:
            shutil.rmtree(self.directory)

    def start(self):
        """Starts all nodes and returns when the first and the last one were started, in seconds since the epoch."""
        began = time.time()
        for node in self.nodes:
            node.start(self.binary)
        return began, time.time()

    def sample(self):
        return list(self.pool.map(Node.sample, self.nodes)), self.store.counts()

    def no_samples(self):
        """Returns the samples of nodes that are about to start."""
        empty = {"time": time.monotonic(), "link": collections.Counter(), "core_s": 0.0, "mb": 0.0,
                 "events": collections.Counter()}
        return [empty] * len(self.nodes), self.store.counts()

    def seconds_in_force(self, version, published):
        """Waits until a version is in force; returns the seconds from its publication for the nodes that have it."""
        while True:
            self.check_machine()
            for node in self.nodes:
                node.read_log()
            times = [node.time_in_force(version) for node in self.nodes]
            if None not in times or time.time() > published + IN_FORCE_TIMEOUT_S:
                self.keeps_logs |= None in times
                return [moment - published for moment in times if moment is not None]
            time.sleep(0.1)

    def seconds_ready(self, began):
        """Waits until all nodes are ready; returns the seconds from their start for the nodes that are."""
        pending, seconds = list(self.nodes), []
        while pending and time.time() < began + IN_FORCE_TIMEOUT_S:
            self.check_machine()
            still_pending = []
            for node, is_ready in zip(pending, self.pool.map(Node.is_ready, pending)):
                if is_ready:
                    seconds.append(time.time() - began)
                else:
                    still_pending.append(node)
            pending = still_pending
            time.sleep(0.02)
        self.keeps_logs |= bool(pending)
        return seconds

    def sleep_until(self, moment):
        while time.time() < moment:
            self.check_machine()
            time.sleep(min(0.5, max(0.0, moment - time.time())))

    def check_machine(self):
        """Raises an error if the machine is overloaded, more than half of its memory is in use or a node has ended."""
        if os.getloadavg()[0] > MAX_LOAD_PER_PROCESSOR * os.cpu_count():
            raise RuntimeError(f"the load average is {os.getloadavg()[0]:.0f}")
        memory = dict(re.findall(r"^(\w+): +(\d+) kB", pathlib.Path("/proc/meminfo").read_text(), re.MULTILINE))
        if int(memory["MemAvailable"]) < int(memory["MemTotal"]) / 2:
            raise RuntimeError("more than half of the memory is in use")
        ended = [node for node in self.nodes if node.process and not node.process.is_running()]
        if ended:
            raise RuntimeError(f"{ended[0].name} ended: {ended[0].process.output()[-500:]}")


def median_and_max(values):
    return {"median": statistics.median(values), "max": max(values)}


def compare(before, after):
    """Returns what the nodes and the store did between two samples."""
    pairs = list(zip(before[0], after[0]))
    seconds = [new["time"] - old["time"] for old, new in pairs]
    link = [new["link"] - old["link"] for old, new in pairs]
    events = sum((new["events"] - old["events"] for old, new in pairs), collections.Counter())
    kinds = sorted({kind for counter in link for kind, _ in counter})
    store = collections.Counter(after[1])
    store.subtract(before[1])
    return {
        "seconds": statistics.median(seconds),
        "bytes_per_node": median_and_max([sum(counter.values()) for counter in link]),
        "bytes_per_node_s": median_and_max([sum(counter.values()) / elapsed
                                            for counter, elapsed in zip(link, seconds)]),
        "by_kind": {kind: {direction: {**median_and_max([counter[kind, direction] for counter in link]),
                                       "sum": sum(counter[kind, direction] for counter in link)}
                           for direction in ("sent", "received")} for kind in kinds},
        "core_percent": median_and_max([100 * (new["core_s"] - old["core_s"]) / elapsed
                                        for (old, new), elapsed in zip(pairs, seconds)]),
        "mb": median_and_max([new["mb"] for _, new in pairs]),
        "events": dict(events),
        "store": {key: value for key, value in sorted(store.items()) if value},
        "load": os.getloadavg()[0],
    }


def in_force_summary(seconds, count):
    return {"p50": statistics.median(seconds) if seconds else None, "last": max(seconds, default=None),
            "missing": count - len(seconds)}


def measure_fleet(binary, count, routes, seed=1, progress=lambda *_: None):
    """Measures a fleet at its start, at rest, after one change and during ten changes; returns results by phase."""
    document = Document(routes, seed)
    results = {"binary": str(binary), "nodes": count, "routes": routes}

    def finish(phase, before, summary):
        results[phase] = {**compare(before, fleet.sample()), **summary}
        progress(phase, results[phase])

    with Fleet(count, binary) as fleet:
        text = document.next_version()
        results["document_bytes"] = len(text)
        fleet.store.publish(text)
        before = fleet.no_samples()
        began, started = fleet.start()
        ready = in_force_summary(fleet.seconds_ready(began), count)
        in_force = in_force_summary(fleet.seconds_in_force(document.version, began), count)
        fleet.sleep_until(began + START_WINDOW_S)
        finish("start", before, {"in_force": in_force, "ready": ready, "start_s": started - began})

        fleet.sleep_until(time.time() + 5)  # Lets configurations arrive that are still on their way.
        before = fleet.sample()
        fleet.sleep_until(time.time() + REST_WINDOW_S)
        finish("rest", before, {})

        before = fleet.sample()
        document.change_route()
        published = fleet.store.publish(document.next_version())
        in_force = in_force_summary(fleet.seconds_in_force(document.version, published), count)
        fleet.sleep_until(published + CHANGE_WINDOW_S)
        finish("change", before, {"in_force": in_force})

        before = fleet.sample()
        publications = []
        for number in range(CHANGES):
            if publications:
                fleet.sleep_until(publications[0][1] + number * CHANGE_INTERVAL_S)
            document.change_route()
            publications.append((document.version + 1, fleet.store.publish(document.next_version())))
        seconds = [moment for version, published in publications
                   for moment in fleet.seconds_in_force(version, published)]
        fleet.sleep_until(publications[0][1] + CHANGES_WINDOW_S)
        finish("changes", before, {"in_force": in_force_summary(seconds, count * CHANGES)})
    return results


def result_rows(results):
    """Returns the rows of the table as (name, value, unit, target)."""
    size = f"{results['nodes']}/{results['routes']}"
    rows = []
    for phase in ("start", "rest", "change", "changes"):
        phase_results = results[phase]

        def add(name, value, unit, target=None):
            rows.append((f"gateway_{phase}/{size}/{name}", value, unit, target))

        if "in_force" in phase_results:
            target = CONFIG_APPLY_S if phase != "start" else None
            add("in_force_p50_s", phase_results["in_force"]["p50"], "s", target)
            add("in_force_last_s", phase_results["in_force"]["last"], "s", target)
            add("not_in_force", phase_results["in_force"]["missing"], "nodes", 0)
        if "ready" in phase_results:
            add("ready_last_s", phase_results["ready"]["last"], "s")
            add("not_ready", phase_results["ready"]["missing"], "nodes", 0)
        for name in ("median", "max"):
            add(f"link_bytes_{name}", phase_results["bytes_per_node_s"][name], "B/s per node")
        handed_on = phase_results["events"].get("config_handed_on bytes")
        if handed_on:
            add("handed_on_bytes_sum", handed_on, "B")
        for kind, by_direction in phase_results["by_kind"].items():
            total = by_direction["sent"]["sum"]
            if total or kind == "configuration":
                add(f"link_bytes_sum/{kind}", total, "B")
        add("core_percent_median", phase_results["core_percent"]["median"], "% of a core")
        add("core_percent_max", phase_results["core_percent"]["max"], "% of a core")
        for key, value in phase_results["store"].items():
            if key.endswith(("calls", "bytes")):
                add(f"store{key.replace(' ', '/')}", value, key.rsplit(" ", 1)[1])
    return rows


def measure_gateway_fleets(table, sizes, binary=BINARY, baseline=None):
    """Measures fleets of the given numbers of nodes and routes, and the same with another binary as the baseline."""
    for count, routes in sizes:
        baselines = {}
        if baseline:
            baselines = {row[0]: row[1] for row in result_rows(measure_fleet(baseline, count, routes))}
        for name, value, unit, target in result_rows(measure_fleet(binary, count, routes)):
            table.add(name, value, unit, baselines.get(name), target)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binary", type=pathlib.Path, action="append", help="gateway to measure; may be repeated")
    parser.add_argument("--nodes", type=int, nargs="+", default=[30])
    parser.add_argument("--routes", type=int, nargs="+", default=[1612])
    parser.add_argument("--output", type=pathlib.Path, help="file to which each result is appended as a line of JSON")
    options = parser.parse_args()
    for count in options.nodes:
        for routes in options.routes:
            for binary in options.binary or [BINARY]:
                print(f"-- {binary}, {count} nodes, {routes} routes", flush=True)
                results = measure_fleet(binary.resolve(), count, routes,
                                        progress=lambda phase, _: print(f"   measured: {phase}", flush=True))
                for name, value, unit, _ in result_rows(results):
                    shown = "-" if value is None else f"{value:.4g}"
                    print(f"{name:<60} {shown:>12} {unit}", flush=True)
                if options.output:
                    with open(options.output, "a", encoding="utf-8") as output:
                        output.write(json.dumps(results) + "\n")


if __name__ == "__main__":
    main()
