"""Measures a mesh of real processes against plain alternatives in the same run."""

import argparse
import json
import os
import pathlib
import re
import statistics
import subprocess
import time

from mesh import BIN, ROOT, Mesh, load_json, make_fleet, request, wait_until

TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
RESULTS = BIN.parent / "bench" / "results.json"

BASE = {
    "services": {"desk": {"queue_limit": 50}},
    "routes": {
        "read": {"path_prefix": "/read", "methods": ["GET"], "service": "desk", "deadline_ms": 500, "idempotent": True},
        "credit": {"path_prefix": "/credit", "methods": ["POST"], "service": "desk", "deadline_ms": 4000,
                   "idempotent": False, "idempotency_key_header": "idempotency-key"},
    },
}

# The plain alternative: every node polls the log.
POLL = {"distribution": {"source": "log_poll", "log_poll_interval_ms": 1000}}

CONTROL_METRICS = ("member_sent_bytes", "member_received_bytes", "config_log_bytes", "config_received_bytes",
                   "config_sent_bytes")


class Table:
    """Collects rows, prints them and writes them as JSON."""

    def __init__(self, keep):
        """Starts with the rows of the last run if only some groups are measured again."""
        self.rows = json.loads(RESULTS.read_text()) if keep and RESULTS.exists() else []

    def add(self, name, value, unit, baseline=None, target=None, runs=1):
        row = {"name": name, "value": value, "unit": unit, "baseline": baseline, "target": target, "runs": runs}
        self.rows = [other for other in self.rows if other["name"] != name] + [row]
        shown = ["-" if item is None else f"{item:.4g}" if isinstance(item, float) else str(item)
                 for item in (value, baseline, target)]
        print(f"{name:<44} {shown[0]:>12} {unit:<12} baseline {shown[1]:>10}  target {shown[2]:>8}  runs {runs}",
              flush=True)
        RESULTS.parent.mkdir(parents=True, exist_ok=True)
        RESULTS.write_text(json.dumps(self.rows, indent=1) + "\n")


def percentile(values, share):
    """Returns the nearest-rank percentile."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def cpu_seconds(process):
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(process):
    return int(pathlib.Path(f"/proc/{process.pid}/statm").read_text().split()[1]) * PAGE / 1e6


def control_bytes(mesh, node):
    """Returns the control bytes of a node by part since its start, in both directions."""
    text = request("GET", mesh.address(node, "admin"), "/metrics")[2].decode()
    found = dict(re.findall(r"^kumquatdrift_(\w+) ([0-9.e+]+)$", text, re.MULTILINE))
    return {name: float(found[name]) for name in CONTROL_METRICS}


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
    """Publishes a base and returns (version, time in microseconds since the epoch before the call)."""
    path = mesh.directory / "base.json"
    path.write_text(json.dumps(document))
    began = time.time() * 1e6
    done = mesh.ctl("publish", "base", path)
    if done.returncode != 0:
        raise RuntimeError(f"publish failed: {done.stderr}")
    return began


def convergence(mesh, nodes, edits):
    """Publishes edits and returns the seconds from the start of each publish to in force at each node."""
    seconds = []
    for edit in range(edits):
        version = max(mesh.version(node) for node in nodes[:1]) + 1
        began = publish(mesh, {**BASE, "services": {"desk": {"queue_limit": 51 + edit}}})
        if wait_until(lambda: all(mesh.version(node) >= version for node in nodes), 30, 0.2) is None:
            raise RuntimeError("an edit did not come in force everywhere")
        seconds += [(mesh.status(node)["in_force_since_us"] - began) / 1e6 for node in nodes]
        time.sleep(0.3)
    return seconds


def usage(mesh, nodes, seconds, during=None):
    """Returns medians over the nodes: bytes/s by part, percent of a core, MB."""
    before = {node: (control_bytes(mesh, node), cpu_seconds(mesh.processes[node])) for node in nodes}
    began = time.monotonic()
    while time.monotonic() - began < seconds:
        if during:
            during()
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
    """Announces targets that come and go, a share of the fleet each time it is called."""

    def __init__(self, mesh, nodes):
        self.mesh = mesh
        self.nodes = nodes
        self.round = 0

    def announce(self, node, target, state, ttl_ms=60000):
        ip = self.mesh.settings[node]["ip"]
        body = json.dumps({"id": target, "service": "desk", "address": f"{ip}:9", "slots": 10, "state": state,
                           "ttl_ms": ttl_ms})
        request("POST", self.mesh.address(node, "admin"), "/v1/announce", body)

    def __call__(self):
        self.round += 1
        node = self.nodes[self.round % len(self.nodes)]
        self.announce(node, "t1", ("draining", "cold", "ready")[self.round % 3])


def measure_fleets(table, sizes, edits, window):
    """Convergence, control bytes, processor time and memory at several fleet sizes, against polling."""
    found = {}
    for data_centres, per_data_centre in sizes:
        count = data_centres * per_data_centre
        baseline = {}
        for mode, overrides in (("poll", POLL), ("relays", None)):
            with Mesh() as mesh:
                nodes = start_fleet(mesh, data_centres, per_data_centre, overrides)
                churn = Churn(mesh, nodes)
                for node in nodes:
                    churn.announce(node, "t1", "ready")
                time.sleep(5)
                log_before = mesh.log_counters()["reads"]
                rest = usage(mesh, nodes, window)
                reads = (mesh.log_counters()["reads"] - log_before) / window
                busy = usage(mesh, nodes, window, churn)
                seconds = convergence(mesh, nodes, edits)
            found[mode] = {"p50": percentile(seconds, 0.5), "p99": percentile(seconds, 0.99), "rest": rest,
                           "busy": busy, "reads": reads}
            baseline = found["poll"]
        here = found["relays"]
        table.add(f"convergence_p50_s/{count}", here["p50"], "s", baseline["p50"], 4.0, edits)
        table.add(f"convergence_p99_s/{count}", here["p99"], "s", baseline["p99"], 4.0, edits)
        table.add(f"control_bytes_per_node_s/{count}/rest", here["rest"]["bytes"], "B/s",
                  baseline["rest"]["bytes"], 12000)
        table.add(f"control_bytes_per_node_s/{count}/churn", here["busy"]["bytes"], "B/s",
                  baseline["busy"]["bytes"], 12000)
        table.add(f"control_bytes_per_node_s/{count}/churn/largest", here["busy"]["bytes_max"], "B/s",
                  baseline["busy"]["bytes_max"], 12000)
        for name, rate in here["busy"]["parts"].items():
            table.add(f"control_bytes_per_node_s/{count}/churn/{name}", rate, "B/s", baseline["busy"]["parts"][name])
        table.add(f"control_core_percent/{count}/rest", here["rest"]["core"], "% of a core",
                  baseline["rest"]["core"], 1.7)
        table.add(f"control_core_percent/{count}/churn", here["busy"]["core"], "% of a core",
                  baseline["busy"]["core"], 1.7)
        table.add(f"control_rss_mb/{count}", here["busy"]["rss"], "MB", baseline["busy"]["rss"], 64)
        table.add(f"log_reads_per_s/{count}", here["reads"], "reads/s", baseline["reads"])


def measure_slopes(table, window):
    """Memory and processor time for each target, service and edit, with the difference to a bare fleet."""
    def run(document, targets, during=None):
        with Mesh() as mesh:
            nodes = start_fleet(mesh, 3, 4, document=document)
            churn = Churn(mesh, nodes)
            for node in nodes:
                for index in range(targets):
                    churn.announce(node, f"t{index}", "ready")
            time.sleep(6)
            return usage(mesh, nodes, window, (lambda: during(mesh)) if during else None)

    def with_services(count):
        services = {f"service-{index}": {"queue_limit": 50} for index in range(count)}
        routes = {f"route-{index}": {**BASE["routes"]["read"], "path_prefix": f"/{index}",
                                     "service": f"service-{index}"} for index in range(count)}
        return {"services": {**BASE["services"], **services}, "routes": {**BASE["routes"], **routes}}

    edits = iter(range(1000))
    def edit(mesh):
        publish(mesh, {**BASE, "services": {"desk": {"queue_limit": 100 + next(edits)}}})

    bare = run(BASE, 1)
    many = run(BASE, 16)
    table.add("rss_kb_per_target", (many["rss"] - bare["rss"]) * 1000 / (15 * 12), "KB", runs=2)
    wide = run(with_services(150), 1)
    table.add("rss_kb_per_service", (wide["rss"] - bare["rss"]) * 1000 / 150, "KB", runs=2)
    begun = next(edits)
    edited = run(BASE, 1, edit)
    rate = (next(edits) - begun - 1) / window
    table.add("core_ms_per_edit", (edited["core"] - bare["core"]) * 10 / rate, "ms", runs=2)
    table.add("bytes_per_edit", (edited["bytes"] - bare["bytes"]) / rate, "B", runs=2)


def load(address, *options):
    done = subprocess.run([str(part) for part in (BIN / "load_generator", address, *options)], capture_output=True,
                          text=True, timeout=120, check=True)
    return json.loads(done.stdout)


def start_pair(mesh, slots, work_ms, *options):
    """Starts two nodes, with a target at the second, and returns (caller address of the first, target address)."""
    nodes = start_fleet(mesh, 1, 2)
    mesh.start_target(nodes[1], "t1", "desk", "--slots", slots, "--work-ms", work_ms, *options)
    if wait_until(lambda: mesh.call(nodes[0], "GET", "/read")[0] == 200, 15) is None:
        raise RuntimeError("the target did not become ready")
    return nodes, mesh.address(nodes[0], "caller"), f"{mesh.settings[nodes[1]]['ip']}:7600"


def measure_latency(table, rates, runs, seconds):
    """Latency through two nodes against direct calls, alternating; and calls per core second of the nodes."""
    with Mesh() as mesh:
        nodes, entry, direct = start_pair(mesh, 64, 0)
        for rate in rates:
            options = ("--path", "/read", "--rate", rate, "--duration-ms", int(seconds * 1000), "--connections", 32)
            # Measured from the send, so that a late start by the load generator does not count.
            added = {"p50_ms": [], "p99_ms": []}
            plain = {"p50_ms": [], "p99_ms": []}
            per_core = []
            for _ in range(runs):
                straight = load(direct, *options)
                before = sum(cpu_seconds(mesh.processes[node]) for node in nodes)
                through = load(entry, *options)
                spent = sum(cpu_seconds(mesh.processes[node]) for node in nodes) - before
                per_core.append(through["ok"] / max(spent, 1 / TICKS))
                for name in added:
                    added[name].append(through["service_" + name] - straight["service_" + name])
                    plain[name].append(straight["service_" + name])
            for name, values in added.items():
                table.add(f"added_latency_{name}/{rate}", statistics.median(values), "ms",
                          statistics.median(plain[name]), 1.1, runs)
            table.add(f"calls_per_core/{rate}", statistics.median(per_core), "calls/core s", None, None, runs)


def measure_overload(table, seconds):
    """Goodput at twice the capacity, then at half of it, against calls that go to the target directly."""
    slots, work_ms = 10, 20
    capacity = slots * 1000 / work_ms
    with Mesh() as mesh:
        _, entry, direct = start_pair(mesh, slots, work_ms, "--connections", "200")
        twice = ("--path", "/read", "--rate", int(capacity * 2), "--duration-ms", int(seconds * 1000),
                 "--connections", 150, "--timeout-ms", 1000)
        half = ("--path", "/read", "--rate", int(capacity / 2), "--duration-ms", 3000, "--connections", 150,
                "--timeout-ms", 1000)
        plain = load(direct, *twice)
        time.sleep(1)
        during = load(entry, *twice)
        after = load(entry, *half)
    table.add("goodput_at_2x", during["goodput"], "calls/s", plain["goodput"], capacity)
    table.add("goodput_after_2x", after["goodput"], "calls/s", None, capacity / 2)


def measure_storm(table, data_centres, per_data_centre):
    """Kills and restarts all nodes within a second; with relays, and with every node polling the log."""
    found = {}
    for mode, overrides in (("poll", POLL), ("relays", None)):
        with Mesh() as mesh:
            nodes = start_fleet(mesh, data_centres, per_data_centre, overrides)
            time.sleep(5)
            reads = mesh.log_counters()["reads"]
            for node in nodes:
                mesh.processes[node].kill()
            began = time.monotonic()
            for node in nodes:
                mesh.start_node(mesh.settings[node])
            if wait_until(lambda: all(mesh.ready(node) for node in nodes), 60, 0.1) is None:
                raise RuntimeError("the fleet was not ready again within 60 s")
            ready = time.monotonic() - began
            time.sleep(max(0.0, 10 - (time.monotonic() - began)))
            spent = [sum(control_bytes(mesh, node).values()) for node in nodes]
            found[mode] = (ready, statistics.mean(spent), mesh.log_counters()["reads"] - reads)
    count = data_centres * per_data_centre
    names = (("storm_ready_s", "s"), ("storm_bytes_per_node", "B in 10 s"), ("storm_log_reads", "reads in 10 s"))
    for index, (name, unit) in enumerate(names):
        table.add(f"{name}/{count}", found["relays"][index], unit, found["poll"][index])


def measure_claims(table, seconds):
    """Keyed calls through four nodes against the log's rate of one append for each call."""
    with Mesh() as mesh:
        nodes = start_fleet(mesh, 2, 2)
        for node in nodes[1:]:
            mesh.start_target(node, f"t-{node}", "desk", "--slots", 64, "--work-ms", 0)
        wait_until(lambda: mesh.call(nodes[0], "POST", "/credit", b"1", {"idempotency-key": "w"})[0] == 200, 15)
        result = load(mesh.address(nodes[0], "caller"), "--path", "/credit", "--method", "POST", "--body-bytes", 64,
                      "--rate", 1000, "--duration-ms", int(seconds * 1000), "--connections", 200, "--key-header",
                      "idempotency-key", "--timeout-ms", 5000)
    table.add("claims_per_s", result["goodput"], "calls/s", 400.0)
    table.add("claim_latency_p50_ms", result["service_p50_ms"], "ms")
    table.add("claim_latency_p99_ms", result["service_p99_ms"], "ms")


def micro(program, least_time):
    done = subprocess.run([str(BIN / program), "--benchmark_format=json", f"--benchmark_min_time={least_time}"],
                          capture_output=True, text=True, timeout=300, check=True)
    scale = {"ns": 1e-9, "us": 1e-6, "ms": 1e-3, "s": 1.0}
    return {entry["name"]: entry["cpu_time"] * scale[entry["time_unit"]]
            for entry in json.loads(done.stdout)["benchmarks"]}


def measure_small_parts(table, least_time):
    """Single functions at 150 services and 2,400 targets."""
    folding = micro("bench_config_fold", least_time)
    table.add("fold_edits_per_s/base_patch", 1 / folding["base_patch"], "edits/s", 1 / folding["base_content"])
    table.add("fold_edits_per_s/overlay", 1 / folding["overlay_content"], "edits/s")
    table.add("checkpoint_load_ms", folding["checkpoint_load"] * 1e3, "ms")
    routing = micro("bench_routing", least_time)
    table.add("snapshot_build_ms", routing["snapshot_build"] * 1e3, "ms")
    table.add("snapshot_on_view_change_ms", routing["snapshot_on_view_change"] * 1e3, "ms")
    table.add("match_ns", routing["match"] * 1e9, "ns")
    table.add("choose_ns", routing["choose/all_full:0"] * 1e9, "ns")
    if (BIN / "bench_membership").exists():
        for name, seconds in micro("bench_membership", least_time).items():
            table.add(f"membership/{name}", seconds * 1e6, "us")


def measure_examples(table):
    """Control bytes, convergence and detection of a killed node with the settings of the two examples."""
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
            rest = usage(mesh, nodes, 10)
            seconds = convergence(mesh, nodes, 4)
            gone = nodes[6]
            rest_of_nodes = [node for node in nodes if node != gone]
            mesh.processes[gone].kill()
            noticed = wait_until(lambda: all(is_noticed(mesh, node, gone) for node in rest_of_nodes), 40)
        table.add(f"control_bytes_per_node_s/{example}", rest["bytes"], "B/s", None, 12000)
        table.add(f"convergence_p99_s/{example}", percentile(seconds, 0.99), "s", None, 4.0, 4)
        table.add(f"killed_node_noticed_s/{example}", noticed, "s")
        table.add(f"control_core_percent/{example}", rest["core"], "% of a core", None, 1.7)


def is_noticed(mesh, node, gone):
    """Checks whether a node no longer takes another for alive."""
    return all(member["status"] != "alive" for member in mesh.status(node)["members"] if member["node"] == gone)


GROUPS = ("parts", "latency", "overload", "claims", "storm", "slopes", "examples", "fleets")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="small fleets and short runs only")
    parser.add_argument("--only", choices=GROUPS, action="append", help="measure only this group; may be repeated")
    chosen = parser.parse_args()
    quick = chosen.quick
    table = Table(bool(chosen.only))
    steps = {
        "parts": lambda: measure_small_parts(table, 0.05 if quick else 0.3),
        "latency": lambda: measure_latency(table, (300,) if quick else (100, 300, 600, 1200), 3, 2 if quick else 4),
        "overload": lambda: measure_overload(table, 3 if quick else 6),
        "claims": lambda: measure_claims(table, 3 if quick else 6),
        "storm": lambda: measure_storm(table, 3, 4 if quick else 16),
        "slopes": lambda: measure_slopes(table, 8 if quick else 10),
        "examples": lambda: measure_examples(table),
        "fleets": lambda: measure_fleets(table, [(3, 4)] if quick else [(3, 4), (3, 16), (3, 40)], 5,
                                         8 if quick else 10),
    }
    for name in chosen.only or GROUPS:
        steps[name]()
    print(f"results: {RESULTS}")


if __name__ == "__main__":
    main()
