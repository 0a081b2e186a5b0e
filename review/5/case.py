"""The machines of a service are restarted in turn, and their backends start again under the ids that they had."""

import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import harness  # noqa: E402

BOUNDS = harness.BOUNDS
FIRST, ADDED = "/catalogo/", "/ajuste/"
MEASURED_S = 15
MIN_REQUESTS = 20
MIN_RATIO = 0.25


def restart(mesh, backend, keeps_id):
    """Restarts a backend and its node as planned work; returns the new backend."""
    node = backend.node
    backend.state = "draining"
    backend.report()
    time.sleep(BOUNDS["drain_s"] + 0.5)
    backend.deregister()
    backend.end("exits after its leave")
    node.signal(signal.SIGTERM)
    node.process.wait()
    mesh.record.write("%s: process ended" % node.name)
    time.sleep(0.5)
    node.start()
    time.sleep(0.5)
    return mesh.add_backend(node, instance=backend.instance if keeps_id else None)


def served_share(mesh, path, start):
    results = [status for client in mesh.clients if client.path.startswith(path)
               for sent, ended, attempt, status in list(client.results) if sent >= start]
    served = sum(status == 200 for status in results)
    mesh.record.write("route %s: %d of %d requests served" % (path, served, len(results)))
    return served / len(results) if results else 0.0, len(results)


def case(mesh, trouble):
    callers = [mesh.add_node("sidecar-alfama-1", "alfama", "balcao"), mesh.add_node("sidecar-belem-1", "belem", "balcao")]
    ateliers = [mesh.add_node("sidecar-alfama-2", "alfama", "atelier"), mesh.add_node("sidecar-graca-1", "graca", "atelier")]
    first = [(FIRST, "idempotent", "balcao", 2)]
    mesh.publish(7, first, ["balcao", "atelier"])
    for node in mesh.nodes:
        node.start()
    for node in callers:
        mesh.add_backend(node)
    leaving = [mesh.add_backend(node) for node in ateliers]
    mesh.wait_ready()
    time.sleep(1)
    mesh.publish(9, first + [(ADDED, "non_idempotent", "atelier", 2)], ["balcao", "atelier"])
    time.sleep(BOUNDS["config_apply_s"] + 1)
    before = mesh.record.now()
    for node in callers:
        mesh.add_client(node, FIRST + "2f")
        mesh.add_client(node, ADDED + "2f", "DELETE")
    time.sleep(BOUNDS["stable_window_s"])
    if min(served_share(mesh, FIRST, before)[0], served_share(mesh, ADDED, before)[0]) < 0.9:
        raise RuntimeError("the routes are not served before the restarts")
    for backend in leaving:
        new = restart(mesh, backend, trouble)
        time.sleep(BOUNDS["stable_window_s"] + 1)
        if "ready" not in new.acknowledged:
            raise RuntimeError("the report of the restarted backend was not acknowledged")
    steady = mesh.record.now()
    time.sleep(MEASURED_S)
    first_share, first_count = served_share(mesh, FIRST, steady)
    added_share, added_count = served_share(mesh, ADDED, steady)
    if added_count < MIN_REQUESTS or first_count < MIN_REQUESTS or added_share >= MIN_RATIO * first_share:
        return []
    return ["CONFIG: in steady state %.0f %% of %d requests on the route that was added later are served, %.0f %% of %d on the "
            "first one" % (100 * added_share, added_count, 100 * first_share, first_count)]


harness.run_case(case, FOLDER)
