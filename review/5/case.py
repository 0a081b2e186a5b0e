"""A request that crashes backends comes again after each of three rolling restarts of the nodes."""

import pathlib
import random
import signal
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import harness  # noqa: E402

STABLE_WINDOW_S = harness.BOUNDS["stable_window_s"]
POISON_PATH = "/reserva/7c"
BACK_AFTER_S = 2
MAX_LATE_RETRIES = 3


class CrashingBackend(harness.Backend):
    """Crashes when it begins to run the request, and is back after some seconds as a new incarnation."""

    def answer(self, line, fields, body):
        if POISON_PATH not in line:
            return super().answer(line, fields, body)
        self.mesh.poisoned.append((self.mesh.record.now(), fields["x-kumquatdrift-attempt-id"], self.instance))
        self.mesh.record.write("backend %s begins to run the crashing request %s" % (
            self.instance, fields["x-kumquatdrift-attempt-id"]))
        self.end("crashes")
        threading.Thread(target=self.restart, daemon=True).start()
        raise harness.Incomplete("crashed")

    def restart(self):
        time.sleep(BACK_AFTER_S)
        self.mesh.add_backend_of(CrashingBackend, self.node, work_s=self.work_s)


def send_poison(node):
    """Sends the request once, on a connection of its own."""
    attempt = "%016x" % random.getrandbits(64)
    status = "closed"
    try:
        with socket.create_connection((node.ip, node.ports["outbound"]), timeout=1) as connection:
            connection.settimeout(3)
            connection.sendall(("POST %s HTTP/1.1\r\nHost: %s\r\nX-Kumquatdrift-Attempt-Id: %s\r\n"
                                "X-Kumquatdrift-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n" % (POISON_PATH, harness.HOST, attempt)).encode())
            status = harness.Stream(connection).read_message()[0].split(" ")[1]
    except (OSError, harness.Incomplete):
        pass
    node.mesh.record.write("client of %s: crashing request %s -> %s" % (node.name, attempt, status))


def case(mesh, trouble):
    mesh.poisoned = []
    nodes = [mesh.add_node("sidecar-alfama-1", "alfama", "balcao"), mesh.add_node("sidecar-belem-1", "belem", "balcao"),
             mesh.add_node("sidecar-graca-1", "graca", "balcao")]
    mesh.publish(7, [("/catalogo/", "idempotent", "balcao", 2), ("/reserva/", "non_idempotent", "balcao", 2)], ["balcao"])
    for node in nodes:
        node.start()
    for node in nodes:
        mesh.add_backend_of(CrashingBackend, node, work_s=0.09)
    mesh.wait_ready()
    for node in nodes:
        mesh.add_client(node, "/reserva/2f", "POST", 4000, 0.05)
    time.sleep(STABLE_WINDOW_S + 1)
    for round_number in range(4):
        if trouble and round_number > 0:
            for node in nodes:
                node.signal(signal.SIGTERM)
                node.process.wait()
                mesh.record.write("%s: process ended" % node.name)
                node.start()
                end = time.monotonic() + 5
                while not node.is_ready() and time.monotonic() < end:
                    time.sleep(0.05)
        time.sleep(STABLE_WINDOW_S + 1)
        # The client comes back at another machine each time.
        for number in range(3):
            send_poison(nodes[number])
            time.sleep(STABLE_WINDOW_S + 0.5)
    times = [when for when, _, _ in mesh.poisoned]
    late = [(when, attempt, instance) for when, attempt, instance in mesh.poisoned
            if len(times) >= 3 and when > times[2] + STABLE_WINDOW_S]
    mesh.record.write("%d crashes, %d of them later than %d s after the third" % (len(times), len(late), STABLE_WINDOW_S))
    lost = [attempt for client in mesh.clients for _, _, attempt, status in client.results if status == 502]
    mesh.record.write("%d other requests were lost with the backends that ran them" % len(lost))
    print(len(times), "crashes,", len(late), "late")
    if len(late) <= MAX_LATE_RETRIES:
        return []
    return ["BUDGET: the request that crashes backends reached %s as %s at %.3f" % (instance, attempt, when)
            for when, attempt, instance in late]


harness.run_case(case, FOLDER)
