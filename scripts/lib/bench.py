"""Measures a mesh of processes on loopback, and simple baselines in the same run."""

import argparse
import json
import pathlib
import re
import statistics
import subprocess
import time

from gateway_fleet import BINARY, measure_gateway_fleets
from mesh import (BIN, ROOT, TICKS_PER_S, Mesh, cpu_seconds, load_json, make_fleet, request, resident_mb,
                  wait_until)

RESULTS = BIN.parent / "bench" / "results.json"

BASE = {
    "services": {"desk": {"queue_limit": 50}},
    "routes": {
        "read": {"path_prefix": "/read", "methods": ["GET"], "service": "desk", "deadline_ms": 500, "idempotent": True},
        "credit": {"path_prefix": "/credit", "methods": ["POST"], "service": "desk", "deadline_ms": 4000,
                   "idempotent": False, "idempotency_key_header": "idempotency-key"},
    },
}

# Baseline without relays: every node polls the log.
POLL_OVERRIDES = {"distribution": {"source": "log_poll", "log_poll_interval_ms": 1000}}

CONTROL_METRICS = ("member_sent_bytes", "member_received_bytes", "config_log_bytes", "config_received_bytes",
                   "config_sent_bytes")


class Table:
    """Prints each row and stores all rows in a JSON file."""

    def __init__(self, keep_previous):
        """Starts with the rows of the previous run if only some groups are measured."""
        self.rows = json.loads(RESULTS.read_text()) if keep_previous and RESULTS.exists() else []

    def add(self, name, value, unit, baseline=None, target=None, runs=1):
        row = {"name": name, "value": value, "unit": unit, "baseline": baseline, "target": target, "runs": runs}
        self.rows = [other for other in self.rows if other["name"] != name] + [row]
        shown = ["-" if item is None else f"{item:.4g}" if isinstance(item, float) else str(item)
                 for item in (value, baseline, target)]
        print(f"{name:<44} {shown[0]:>12} {unit:<12} baseline {shown[1]:>10}  target {shown[2]:>8}  runs {runs}",
              flush=True)
        RESULTS.parent.mkdir(parents=True, exist_ok=True)
        RESULTS.write_text(json.dumps(self.rows, indent=1) + "\n")


def percentile(values, fraction):
    """Returns the nearest-rank percentile."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def control_bytes(mesh, node):
    """Returns the control bytes that a node has sent and received since its start, by metric."""
    text = request("GET", mesh.address(node, "admin"), "/metrics")[2].decode()
    metrics = dict(re.findall(r"^kumquatdrift_(\w+) ([0-9.e+]+)$", text, re.MULTILINE))
    return {name: float(metrics[name]) for name in CONTROL_METRICS}


def start_fleet(mesh, data_centres, per_data_centre, overrides=None, document=None, options=()):
    """Starts a log and nodes, publishes a document and waits until it is in force everywhere."""
    log_address, fleet = make_fleet(data_centres, per_data_centre, overrides)
    mesh.start_log(log_address, *options)
    for settings in fleet.values():
        mesh.start_node(settings)
        time.sleep(0.02)
    nodes = list(fleet)
    publish(mesh, document or BASE)
    if wait_until(lambda: all(mesh.version(node) >= 1 for node in nodes), 60, 0.2) is None:
        raise RuntimeError("the fleet did not reach the first version")
    return nodes


def publish(mesh, document):
    """Publishes a base and returns the time before the call, in microseconds since the epoch."""
    path = mesh.directory / "base.json"
    path.write_text(json.dumps(document))
    began = time.time() * 1e6
    done = mesh.ctl("publish", "base", path)
    if done.returncode != 0:
        raise RuntimeError(f"publish failed: {done.stderr}")
    return began


def measure_convergence(mesh, nodes, edits):
    """Publishes edits; returns the seconds from each publish until its version is in force, for each edit and node."""
    seconds = []
    for edit in range(edits):
        version = max(mesh.version(node) for node in nodes[:1]) + 1
        began = publish(mesh, {**BASE, "services": {"desk": {"queue_limit": 51 + edit}}})
        if wait_until(lambda: all(mesh.version(node) >= version for node in nodes), 30, 0.2) is None:
            raise RuntimeError("an edit did not come in force everywhere")
        seconds += [(mesh.status(node)["in_force_since_us"] - began) / 1e6 for node in nodes]
        time.sleep(0.3)
    return seconds


def measure_usage(mesh, nodes, seconds, action=None):
    """Measures control bytes/s, percent of a core and resident MB; returns medians and maxima over the nodes.

    Calls the action about every 0.5 s meanwhile.
    """
    before = {node: (control_bytes(mesh, node), cpu_seconds(mesh.processes[node])) for node in nodes}
    began = time.monotonic()
    while time.monotonic() - began < seconds:
        if action:
            action()
        time.sleep(0.5)
    elapsed = time.monotonic() - began
    parts = {name: [] for name in CONTROL_METRICS}
    totals, cores = [], []
    for node in nodes:
        after = control_bytes(mesh, node)
        rates = {name: (after[name] - before[node][0][name]) / elapsed for name in CONTROL_METRICS}
        for name, rate in rates.items():
            parts[name].append(rate)
        totals.append(sum(rates.values()))
        cores.append((cpu_seconds(mesh.processes[node]) - before[node][1]) / elapsed * 100)
    memory = [resident_mb(mesh.processes[node]) for node in nodes]
    return {"bytes": statistics.median(totals), "bytes_max": max(totals), "core": statistics.median(cores),
            "core_max": max(cores), "rss": statistics.median(memory), "rss_max": max(memory),
            "parts": {name: statistics.median(values) for name, values in parts.items()}}


class Churn:
    """Changes the announced state of the target at one node with each call, the nodes in turn."""

    def __init__(self, mesh, nodes):
        self.mesh = mesh
        self.nodes = nodes
        self.calls = 0

    def announce(self, node, target, state, ttl_ms=60000):
        ip = self.mesh.settings[node]["ip"]
        body = json.dumps({"id": target, "service": "desk", "address": f"{ip}:9", "slots": 10, "state": state,
                           "ttl_ms": ttl_ms})
        request("POST", self.mesh.address(node, "admin"), "/v1/announce", body)

    def __call__(self):
        self.calls += 1
        node = self.nodes[self.calls % len(self.nodes)]
        self.announce(node, "t1", ("draining", "cold", "ready")[self.calls % 3])


def measure_fleets(table, sizes, edits, window):
    """Measures convergence, control bytes, CPU time and memory at several fleet sizes, with polling as the baseline."""
    by_mode = {}
    for data_centres, per_data_centre in sizes:
        count = data_centres * per_data_centre
        baseline = {}
        for mode, overrides in (("poll", POLL_OVERRIDES), ("relays", None)):
            with Mesh() as mesh:
                nodes = start_fleet(mesh, data_centres, per_data_centre, overrides)
                churn = Churn(mesh, nodes)
                for node in nodes:
                    churn.announce(node, "t1", "ready")
                time.sleep(5)
                log_before = mesh.log_counters()["reads"]
                idle = measure_usage(mesh, nodes, window)
                reads = (mesh.log_counters()["reads"] - log_before) / window
                busy = measure_usage(mesh, nodes, window, churn)
                seconds = measure_convergence(mesh, nodes, edits)
            by_mode[mode] = {"p50": percentile(seconds, 0.5), "p99": percentile(seconds, 0.99), "idle": idle,
                             "busy": busy, "reads": reads}
            baseline = by_mode["poll"]
        relays = by_mode["relays"]
        table.add(f"convergence_p50_s/{count}", relays["p50"], "s", baseline["p50"], 4.0, edits)
        table.add(f"convergence_p99_s/{count}", relays["p99"], "s", baseline["p99"], 4.0, edits)
        table.add(f"control_bytes_per_node_s/{count}/rest", relays["idle"]["bytes"], "B/s",
                  baseline["idle"]["bytes"], 12000)
        table.add(f"control_bytes_per_node_s/{count}/churn", relays["busy"]["bytes"], "B/s",
                  baseline["busy"]["bytes"], 12000)
        table.add(f"control_bytes_per_node_s/{count}/churn/largest", relays["busy"]["bytes_max"], "B/s",
                  baseline["busy"]["bytes_max"], 12000)
        for name, rate in relays["busy"]["parts"].items():
            table.add(f"control_bytes_per_node_s/{count}/churn/{name}", rate, "B/s", baseline["busy"]["parts"][name])
        table.add(f"control_core_percent/{count}/rest", relays["idle"]["core"], "% of a core",
                  baseline["idle"]["core"], 1.7)
        table.add(f"control_core_percent/{count}/churn", relays["busy"]["core"], "% of a core",
                  baseline["busy"]["core"], 1.7)
        table.add(f"control_rss_mb/{count}", relays["busy"]["rss"], "MB", baseline["busy"]["rss"], 64)
        table.add(f"log_reads_per_s/{count}", relays["reads"], "reads/s", baseline["reads"])


def measure_slopes(table, window):
    """Measures memory and CPU time per target, service and edit, as the difference from a minimal fleet."""
    def run_fleet(document, targets, action=None):
        with Mesh() as mesh:
            nodes = start_fleet(mesh, 3, 4, document=document)
            churn = Churn(mesh, nodes)
            for node in nodes:
                for index in range(targets):
                    churn.announce(node, f"t{index}", "ready")
            time.sleep(6)
            return measure_usage(mesh, nodes, window, (lambda: action(mesh)) if action else None)

    def with_services(count):
        services = {f"service-{index}": {"queue_limit": 50} for index in range(count)}
        routes = {f"route-{index}": {**BASE["routes"]["read"], "path_prefix": f"/{index}",
                                     "service": f"service-{index}"} for index in range(count)}
        return {"services": {**BASE["services"], **services}, "routes": {**BASE["routes"], **routes}}

    edits = iter(range(1000))
    def edit(mesh):
        publish(mesh, {**BASE, "services": {"desk": {"queue_limit": 100 + next(edits)}}})

    minimal = run_fleet(BASE, 1)
    many_targets = run_fleet(BASE, 16)
    table.add("rss_kb_per_target", (many_targets["rss"] - minimal["rss"]) * 1000 / (15 * 12), "KB", runs=2)
    many_services = run_fleet(with_services(150), 1)
    table.add("rss_kb_per_service", (many_services["rss"] - minimal["rss"]) * 1000 / 150, "KB", runs=2)
    first = next(edits)
    edited = run_fleet(BASE, 1, edit)
    rate = (next(edits) - first - 1) / window
    table.add("core_ms_per_edit", (edited["core"] - minimal["core"]) * 10 / rate, "ms", runs=2)
    table.add("bytes_per_edit", (edited["bytes"] - minimal["bytes"]) / rate, "B", runs=2)


def generate_load(address, *options):
    """Runs the load generator and returns its results."""
    done = subprocess.run([str(part) for part in (BIN / "load_generator", address, *options)], capture_output=True,
                          text=True, timeout=120, check=True)
    return json.loads(done.stdout)


def start_pair(mesh, slots, work_ms, *options):
    """Starts two nodes and a target at the second. Returns (nodes, caller address of the first, target address)."""
    nodes = start_fleet(mesh, 1, 2)
    mesh.start_target(nodes[1], "t1", "desk", "--slots", slots, "--work-ms", work_ms, *options)
    if wait_until(lambda: mesh.call(nodes[0], "GET", "/read")[0] == 200, 15) is None:
        raise RuntimeError("the target did not become ready")
    return nodes, mesh.address(nodes[0], "caller"), f"{mesh.settings[nodes[1]]['ip']}:7600"


def measure_latency(table, rates, runs, seconds):
    """Measures the latency that two nodes add to direct calls, in alternating runs, and their calls per core second."""
    with Mesh() as mesh:
        nodes, entry, direct = start_pair(mesh, 64, 0)
        for rate in rates:
            options = ("--path", "/read", "--rate", rate, "--duration-ms", int(seconds * 1000), "--connections", 32)
            # Latencies count from the send, so that late starts of the load generator are left out.
            added = {"p50_ms": [], "p99_ms": []}
            baseline = {"p50_ms": [], "p99_ms": []}
            per_core = []
            for _ in range(runs):
                direct_results = generate_load(direct, *options)
                before = sum(cpu_seconds(mesh.processes[node]) for node in nodes)
                mesh_results = generate_load(entry, *options)
                cpu_time = sum(cpu_seconds(mesh.processes[node]) for node in nodes) - before
                per_core.append(mesh_results["ok"] / max(cpu_time, 1 / TICKS_PER_S))
                for name in added:
                    added[name].append(mesh_results["service_" + name] - direct_results["service_" + name])
                    baseline[name].append(direct_results["service_" + name])
            for name, values in added.items():
                table.add(f"added_latency_{name}/{rate}", statistics.median(values), "ms",
                          statistics.median(baseline[name]), 1.1, runs)
            table.add(f"calls_per_core/{rate}", statistics.median(per_core), "calls/core s", None, None, runs)


def measure_overload(table, seconds):
    """Measures goodput at twice and then at half the capacity, with direct calls to the target as the baseline."""
    slots, work_ms = 10, 20
    capacity = slots * 1000 / work_ms
    with Mesh() as mesh:
        _, entry, direct = start_pair(mesh, slots, work_ms, "--connections", "200")
        twice = ("--path", "/read", "--rate", int(capacity * 2), "--duration-ms", int(seconds * 1000),
                 "--connections", 150, "--timeout-ms", 1000)
        half = ("--path", "/read", "--rate", int(capacity / 2), "--duration-ms", 3000, "--connections", 150,
                "--timeout-ms", 1000)
        baseline = generate_load(direct, *twice)
        time.sleep(1)
        during = generate_load(entry, *twice)
        after = generate_load(entry, *half)
    table.add("goodput_at_2x", during["goodput"], "calls/s", baseline["goodput"], capacity)
    table.add("goodput_after_2x", after["goodput"], "calls/s", None, capacity / 2)


def measure_storm(table, data_centres, per_data_centre):
    """Kills and restarts all nodes together, with relays and, as the baseline, with every node polling the log."""
    by_mode = {}
    for mode, overrides in (("poll", POLL_OVERRIDES), ("relays", None)):
        with Mesh() as mesh:
            nodes = start_fleet(mesh, data_centres, per_data_centre, overrides)
            time.sleep(5)
            reads = mesh.log_counters()["reads"]
            for node in nodes:
                mesh.processes[node].kill()
            began = time.monotonic()
            for node in nodes:
                mesh.start_node(mesh.settings[node])
            if wait_until(lambda: all(mesh.is_ready(node) for node in nodes), 60, 0.1) is None:
                raise RuntimeError("the fleet was not ready again within 60 s")
            seconds_to_ready = time.monotonic() - began
            time.sleep(max(0.0, 10 - (time.monotonic() - began)))
            sent_and_received = [sum(control_bytes(mesh, node).values()) for node in nodes]
            by_mode[mode] = (seconds_to_ready, statistics.mean(sent_and_received),
                             mesh.log_counters()["reads"] - reads)
    count = data_centres * per_data_centre
    names = (("storm_ready_s", "s"), ("storm_bytes_per_node", "B in 10 s"), ("storm_log_reads", "reads in 10 s"))
    for index, (name, unit) in enumerate(names):
        table.add(f"{name}/{count}", by_mode["relays"][index], unit, by_mode["poll"][index])


def measure_claims(table, seconds):
    """Measures keyed calls through four nodes; the baseline is the append rate of the log, at one append per call."""
    with Mesh() as mesh:
        nodes = start_fleet(mesh, 2, 2)
        for node in nodes[1:]:
            mesh.start_target(node, f"t-{node}", "desk", "--slots", 64, "--work-ms", 0)
        wait_until(lambda: mesh.call(nodes[0], "POST", "/credit", b"1", {"idempotency-key": "w"})[0] == 200, 15)
        result = generate_load(mesh.address(nodes[0], "caller"), "--path", "/credit", "--method", "POST",
                               "--body-bytes", 64, "--rate", 1000, "--duration-ms", int(seconds * 1000),
                               "--connections", 200, "--key-header", "idempotency-key", "--timeout-ms", 5000)
    table.add("claims_per_s", result["goodput"], "calls/s", 400.0)
    table.add("claim_latency_p50_ms", result["service_p50_ms"], "ms")
    table.add("claim_latency_p99_ms", result["service_p99_ms"], "ms")


def run_microbenchmark(program, min_time):
    done = subprocess.run([str(BIN / program), "--benchmark_format=json", f"--benchmark_min_time={min_time}"],
                          capture_output=True, text=True, timeout=300, check=True)
    scale = {"ns": 1e-9, "us": 1e-6, "ms": 1e-3, "s": 1.0}
    return {entry["name"]: entry["cpu_time"] * scale[entry["time_unit"]]
            for entry in json.loads(done.stdout)["benchmarks"]}


def measure_functions(table, min_time):
    """Runs the microbenchmarks of single functions, at 150 services and 2,400 targets."""
    folding = run_microbenchmark("bench_config_fold", min_time)
    table.add("fold_edits_per_s/base_patch", 1 / folding["base_patch"], "edits/s", 1 / folding["base_content"])
    table.add("fold_edits_per_s/overlay", 1 / folding["overlay_content"], "edits/s")
    table.add("checkpoint_load_ms", folding["checkpoint_load"] * 1e3, "ms")
    routing = run_microbenchmark("bench_routing", min_time)
    table.add("snapshot_build_ms", routing["snapshot_build"] * 1e3, "ms")
    table.add("snapshot_on_view_change_ms", routing["snapshot_on_view_change"] * 1e3, "ms")
    table.add("match_ns", routing["match"] * 1e9, "ns")
    table.add("choose_ns", routing["choose/all_full:0"] * 1e9, "ns")
    if (BIN / "bench_membership").exists():
        for name, seconds in run_microbenchmark("bench_membership", min_time).items():
            table.add(f"membership/{name}", seconds * 1e6, "us")


def measure_costs(table, min_time):
    """Runs the microbenchmarks of the duties of a gateway node."""
    for name, seconds in run_microbenchmark("bench_gateway_costs", min_time).items():
        table.add(f"costs/{name}", seconds * 1e6, "us")


def measure_examples(table):
    """Measures control bytes, convergence and the detection of a killed node with the settings of the two examples."""
    for example in ("lisbon", "nordeste"):
        path = next(iter(sorted((ROOT / "examples" / example / "nodes").glob("*.json"))))
        settings = load_json(path)
        membership = {name: value for name, value in settings["membership"].items() if name != "seeds"}
        with Mesh() as mesh:
            nodes = start_fleet(mesh, 3, 4, {"membership": membership, "distribution": settings["distribution"]})
            churn = Churn(mesh, nodes)
            for node in nodes:
                churn.announce(node, "t1", "ready")
            time.sleep(10)
            idle = measure_usage(mesh, nodes, 10)
            seconds = measure_convergence(mesh, nodes, 4)
            killed = nodes[6]
            others = [node for node in nodes if node != killed]
            mesh.processes[killed].kill()
            seconds_to_detect = wait_until(lambda: all(is_detected_by(mesh, node, killed) for node in others), 40)
        table.add(f"control_bytes_per_node_s/{example}", idle["bytes"], "B/s", None, 12000)
        table.add(f"convergence_p99_s/{example}", percentile(seconds, 0.99), "s", None, 4.0, 4)
        table.add(f"killed_node_noticed_s/{example}", seconds_to_detect, "s")
        table.add(f"control_core_percent/{example}", idle["core"], "% of a core", None, 1.7)


def is_detected_by(mesh, node, killed):
    """Returns whether a node no longer considers the killed node alive."""
    return all(member["status"] != "alive" for member in mesh.status(node)["members"] if member["node"] == killed)


GROUPS = ("parts", "latency", "overload", "claims", "storm", "slopes", "examples", "fleets", "gateway", "costs")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="small fleets and short runs only")
    parser.add_argument("--only", choices=GROUPS, action="append", help="measure only this group; may be repeated")
    parser.add_argument("--gateway-baseline", type=pathlib.Path, help="gateway binary to compare with in group gateway")
    options = parser.parse_args()
    quick = options.quick
    table = Table(bool(options.only))
    steps = {
        "parts": lambda: measure_functions(table, 0.05 if quick else 0.3),
        "latency": lambda: measure_latency(table, (300,) if quick else (100, 300, 600, 1200), 3, 2 if quick else 4),
        "overload": lambda: measure_overload(table, 3 if quick else 6),
        "claims": lambda: measure_claims(table, 3 if quick else 6),
        "storm": lambda: measure_storm(table, 3, 4 if quick else 16),
        "slopes": lambda: measure_slopes(table, 8 if quick else 10),
        "examples": lambda: measure_examples(table),
        "fleets": lambda: measure_fleets(table, [(3, 4)] if quick else [(3, 4), (3, 16), (3, 40)], 5,
                                         8 if quick else 10),
        "gateway": lambda: measure_gateway_fleets(
            table, [(6, 200)] if quick else [(30, 200), (30, 400), (30, 1612), (100, 1612)], BINARY,
            options.gateway_baseline),
        "costs": lambda: measure_costs(table, 0.05 if quick else 0.3),
    }
    for name in options.only or GROUPS:
        steps[name]()
    print(f"results: {RESULTS}")


if __name__ == "__main__":
    main()
