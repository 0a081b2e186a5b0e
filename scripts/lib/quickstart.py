"""Runs the Lisbon example and prints each expected outcome with the observed one."""

import json
import os
import signal
import sys
import tempfile
import threading
import time

from mesh import ROOT, Mesh, load_json, request, wait_until

EXAMPLE = ROOT / "examples" / "lisbon"
CONVERGENCE_LIMIT_S = 4.0
DRAIN_LIMIT_S = 4.0
PHOTOGRAPH_BYTES = 5 * 1024 * 1024
# Service of the target on each host, by data centre: 8 targets of balcao and 3 of atelier.
SERVICES = {
    "alfama": ["balcao", "balcao", "balcao", "atelier"],
    "belem": ["balcao", "balcao", "balcao", "atelier"],
    "graca": ["balcao", "balcao", "atelier"],
}


class Report:
    """Prints each outcome and counts those that differ from the expected ones."""

    def __init__(self):
        self.failed = 0

    def check(self, description, expected, observed, passed):
        self.failed += 0 if passed else 1
        print(f"{'ok  ' if passed else 'FAIL'} {description}: expected {expected}, observed {observed}", flush=True)


def start(mesh):
    """Starts the nodes, then the log, then the targets. Any other order works as well."""
    nodes = []
    for path in sorted((EXAMPLE / "nodes").glob("*.json")):
        settings = load_json(path)
        mesh.start_node(settings)
        nodes.append(settings["node"])
    mesh.start_log()
    for data_centre, services in SERVICES.items():
        for index, service in enumerate(services, 1):
            node = f"{data_centre}-{index}"
            mesh.start_target(node, f"{service}-{node}", service, "--slots", "20", "--work-ms", "2")
    return nodes


def in_force_everywhere(mesh, nodes, version):
    return all(mesh.version(node) >= version for node in nodes)


def targets_seen(mesh, node):
    members = mesh.status(node)["members"]
    return sum(len(member["targets"]) for member in members if member["status"] == "alive")


def publish(mesh, report, description, *arguments):
    """Publishes a document, waits until it is in force at all nodes, and checks the time against the limit."""
    begin = time.monotonic()
    done = mesh.ctl("publish", *arguments, "--wait", node="alfama-1")
    seconds = time.monotonic() - begin
    report.check(f"publish {description}", f"exit 0, in force everywhere within {CONVERGENCE_LIMIT_S} s",
                 f"exit {done.returncode}, {seconds:.2f} s {done.stderr.strip()}",
                 done.returncode == 0 and seconds < CONVERGENCE_LIMIT_S)


def publish_example(mesh, report, nodes):
    publish(mesh, report, "base", "base", EXAMPLE / "base.json")
    for overlay in sorted((EXAMPLE / "overlays").glob("*.json")):
        publish(mesh, report, f"overlay {overlay.stem}", "overlay", overlay.stem, overlay)
    ready = wait_until(lambda: all(mesh.is_ready(node) for node in nodes), 10)
    report.check("all nodes ready", "11 of 11", f"{sum(mesh.is_ready(node) for node in nodes)} of {len(nodes)}",
                 ready is not None)
    seen = wait_until(lambda: all(targets_seen(mesh, node) == 11 for node in nodes), 10)
    report.check("every node knows every target", "11 targets at 11 nodes",
                 sorted({targets_seen(mesh, node) for node in nodes}), seen is not None)


def publish_second_version(mesh, report, directory):
    document = load_json(EXAMPLE / "base.json")
    document["routes"]["catalogue"]["deadline_ms"] = 1800
    path = os.path.join(directory, "base-2.json")
    with open(path, "w", encoding="utf-8") as file:
        json.dump(document, file)
    publish(mesh, report, "base, second version", "base", path)
    document["routes"]["catalogue"]["service"] = "nowhere"
    with open(path, "w", encoding="utf-8") as file:
        json.dump(document, file)
    rejected = mesh.ctl("publish", "base", path)
    report.check("publish a base whose route names no service", "exit 2, nothing published",
                 f"exit {rejected.returncode}", rejected.returncode == 2)


def read_catalogue(mesh, report, nodes, description):
    statuses = [mesh.call(nodes[index % len(nodes)], "GET", f"/catalogue/gown-{index}")[0] for index in range(200)]
    report.check(description, "200 of 200 answered 200", f"{statuses.count(200)} of {len(statuses)}",
                 statuses.count(200) == len(statuses))


def reserve(mesh, report):
    """Sends a reservation, then retries it with the same key through a node of another data centre."""
    headers = {"idempotency-key": "reservation-1", "x-request-id": "reservation-1",
               "content-type": "application/json"}
    body = b'{"gown": 17, "fitting": "2026-12-05T10:00"}'
    first = mesh.call("alfama-1", "POST", "/reservations", body, headers)
    report.check("reservation", "200", first[0], first[0] == 200)
    retried = mesh.call_with_retries("belem-2", "POST", "/reservations", body, headers)
    report.check("the same reservation sent again elsewhere", "the first answer",
                 "the first answer" if retried[2] == first[2] else f"{retried[0]} {retried[2][:60]}",
                 retried[0] == first[0] and retried[2] == first[2])
    executions = count_executions(mesh, "reservation-1")
    report.check("runs of the reservation over all targets", "1", executions, executions == 1)


def count_executions(mesh, request_id):
    """Adds up the executions of a request id in the ledgers of all targets that still respond."""
    executions = 0
    for name in mesh.processes:
        if name.startswith("target-"):
            node = name.split("-", 2)[2]
            try:
                ledger = request("GET", f"{mesh.settings[node]['ip']}:7600", "/ledger", timeout=2)[2]
            except OSError:
                continue
            executions += json.loads(ledger).get(request_id, 0)
    return executions


def upload_during_drain(mesh, report):
    """Uploads a photograph slowly while its target starts to drain; the target must receive the whole upload."""
    photograph = os.urandom(PHOTOGRAPH_BYTES)
    direct = request("POST", f"{mesh.settings['belem-4']['ip']}:7600", "/photographs/7", photograph)
    digest = json.loads(direct[2])["digest"]
    outcome = {}

    def slow_body():
        chunk = PHOTOGRAPH_BYTES // 20
        for start_byte in range(0, PHOTOGRAPH_BYTES, chunk):
            yield photograph[start_byte:start_byte + chunk]
            time.sleep(0.1)

    def upload():
        headers = {"content-length": str(PHOTOGRAPH_BYTES), "content-type": "image/jpeg"}
        outcome["response"] = mesh.call("graca-3", "POST", "/photographs/7", slow_body(), headers, timeout=30)

    thread = threading.Thread(target=upload)
    thread.start()
    time.sleep(0.5)
    draining = mesh.processes["target-atelier-graca-3"]
    begin = time.monotonic()
    draining.send_signal(signal.SIGTERM)
    others = ["alfama-1", "belem-1", "graca-1"]
    states = lambda node: [target["state"] for member in mesh.status(node)["members"]
                           for target in member["targets"] if target["id"] == "atelier-graca-3"]
    seconds_to_notice = wait_until(lambda: all(states(node) in ([], ["draining"]) for node in others), 5)
    report.check("draining target noticed in all data centres", f"within {DRAIN_LIMIT_S} s",
                 f"{seconds_to_notice:.2f} s" if seconds_to_notice is not None else "not within 5 s",
                 seconds_to_notice is not None and seconds_to_notice < DRAIN_LIMIT_S)
    thread.join()
    status, _, body = outcome.get("response", (0, {}, b""))
    is_complete = status == 200 and json.loads(body)["digest"] == digest
    report.check("5 MB photograph uploaded while its target drains", "200 and the digest of the whole body",
                 f"{status} and {'the same digest' if is_complete else body[:80]}", is_complete)
    draining.wait(20)
    report.check("drained target ends by itself", "exit 0", f"exit {draining.child.returncode} after "
                 f"{time.monotonic() - begin:.1f} s", draining.child.returncode == 0)


def kill_node(mesh, report, nodes):
    """Kills a node and reads through all others, which must serve every request. Returns the other nodes."""
    mesh.processes["belem-2"].kill()
    rest = [node for node in nodes if node != "belem-2"]
    read_catalogue(mesh, report, rest, "catalogue reads right after a node was killed")
    return rest


def main():
    report = Report()
    began = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="kumquatdrift-") as directory, Mesh(directory) as mesh:
        nodes = start(mesh)
        publish_example(mesh, report, nodes)
        read_catalogue(mesh, report, nodes, "catalogue reads through every node")
        publish_second_version(mesh, report, directory)
        reserve(mesh, report)
        upload_during_drain(mesh, report)
        rest = kill_node(mesh, report, nodes)
        status = mesh.ctl("status", node=rest[0])
        print(status.stdout or status.stderr)
        for node in rest:
            mesh.processes[node].send_signal(signal.SIGTERM)
        codes = [mesh.processes[node].wait(20) for node in rest]
        report.check("nodes drain and end on SIGTERM", "exit 0 of 10", codes, all(code == 0 for code in codes))
        if report.failed:
            for name, process in mesh.processes.items():
                tail = process.output().splitlines()[-5:]
                print(f"-- {name}", *tail, sep="\n   ", file=sys.stderr)
    print(f"{'all outcomes as expected' if not report.failed else f'{report.failed} outcomes differ'}, "
          f"{time.monotonic() - began:.1f} s")
    return 1 if report.failed else 0


if __name__ == "__main__":
    sys.exit(main())
