"""Failure tests of gateway processes on loopback, against test doubles of the platform."""

import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from gateway_standins import FakePeer, Store, Target, encode_message  # noqa: E402

ROOT = pathlib.Path(__file__).resolve().parents[2]
BINARY = pathlib.Path(os.environ.get("BUILD_DIR", ROOT / "build")) / "bin" / "kumquatdrift-gateway"

# Limits that the users require.
CONFIG_APPLY_S = 2.0
GRACE_S = 6.0
DRAIN_S = 2.0

SERVICES = ["desk", "board"]
ROUTES = [("/read/", "idempotent", "desk", 2), ("/book/", "non_idempotent", "desk", 2),
          ("/papers/", "upload", "desk", 2), ("/board/", "idempotent", "board", 2)]


def loopback_address(number):
    """Returns an address that only this process uses, so that no other one takes a port which `free_ports` has found."""
    return "127.%d.%d.%d" % (1 + os.getpid() // 250 % 250, os.getpid() % 250, number)


def free_ports(ip, count):
    sockets = [socket.socket() for _ in range(count)]
    for bound in sockets:
        bound.bind((ip, 0))
    ports = [bound.getsockname()[1] for bound in sockets]
    for bound in sockets:
        bound.close()
    return ports


def wait_until(condition, description, timeout=5.0):
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.02)
    raise AssertionError("not within %.1f s: %s" % (timeout, description))


class Node:
    """A gateway process with its settings, on its own loopback address."""

    def __init__(self, folder, number, data_centre, service, store_address):
        self.name = "node-%d" % number
        self.ip = loopback_address(10 + number)
        self.callers, peers, reports, ready, metrics = free_ports(self.ip, 5)
        self.reports = "%s:%d" % (self.ip, reports)
        self.ready, self.metrics = ready, metrics
        self.path = pathlib.Path(folder) / (self.name + ".json")
        self.output = pathlib.Path(folder) / (self.name + ".log")
        self.settings = {
            "node": self.name, "data_centre": data_centre, "ip": self.ip, "service": service,
            "target": "%s:1" % self.ip, "store": store_address, "report_interval_s": 0.3, "grace_s": GRACE_S,
            "listen": {"callers": "%s:%d" % (self.ip, self.callers), "peers": "%s:%d" % (self.ip, peers),
                       "reports": self.reports, "ready": "%s:%d" % (self.ip, ready),
                       "metrics": "%s:%d" % (self.ip, metrics)},
            "retries": {"share": 0.2, "extra": 60, "window_s": 10}}
        self.process = None

    def start(self):
        self.path.write_text(json.dumps(self.settings))
        with open(self.output, "ab") as output:
            self.process = subprocess.Popen([BINARY, "--settings", self.path], stdout=output, stderr=output)
        return self

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def log(self):
        return self.output.read_text(errors="replace")

    def call(self, method="GET", path="/read/x", attempt=None, body=b"", deadline_ms=2000, timeout=5, fields=()):
        """Sends a request on a new connection and returns (status, body, headers)."""
        connection = http.client.HTTPConnection(self.ip, self.callers, timeout=timeout)
        try:
            headers = {"Host": "desk.example", "X-Kumquatdrift-Attempt-Id": attempt or os.urandom(8).hex(),
                       "X-Kumquatdrift-Deadline-Ms": str(deadline_ms)}
            headers.update(fields)
            connection.request(method, path, body or None, headers)
            response = connection.getresponse()
            return response.status, response.read(), response.headers
        finally:
            connection.close()

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(self.ip, self.ready, timeout=1)
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()


class GatewayTest(unittest.TestCase):
    """Three nodes in two data centres, each with one target: `desk` at the first two nodes, `board` at the third."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.store = Store()
        self.nodes = [Node(folder.name, 1, "a", "desk", self.store.address),
                      Node(folder.name, 2, "b", "desk", self.store.address),
                      Node(folder.name, 3, "b", "board", self.store.address)]
        self.targets = []
        self.store.publish(5, ROUTES, SERVICES)
        for node in self.nodes:
            self.addCleanup(self.stop, node)
            node.start()
        # The first target starts last: a node that knows it serves `/read/` without knowing the second one.
        others = [self.start_target(node) for node in self.nodes[1:]]
        for node in self.nodes:
            wait_until(node.is_ready, node.name + " is ready")
            for path in ("/read/x", "/board/x"):
                wait_until(lambda: node.call(path=path)[0] == 200, "%s serves %s" % (node.name, path))
        self.targets = [self.start_target(self.nodes[0]), *others]
        wait_until(lambda: self.nodes[0].call()[0] == 200 and self.targets[0].executions, "node-1 uses its own target")

    def start_target(self, node):
        return Target(node.ip, node.reports, node.settings["service"])

    def stop(self, node):
        """Kills a node, and prints the end of its log if the test has failed."""
        if node.process.poll() is None:
            node.kill()
        if any(test is self for test, _ in self._outcome.result.failures + self._outcome.result.errors):
            print("-- " + node.name, *node.log().splitlines()[-12:], sep="\n   ", file=sys.stderr)

    def executions(self, attempt):
        """Returns how often the targets have executed an attempt."""
        return sum(execution[0] == attempt for target in self.targets for execution in target.executions)


class GatewayRequests(GatewayTest):
    def test_request_is_forwarded_to_the_node_of_its_target(self):
        status, body, fields = self.nodes[0].call(
            "POST", "/board/x", "id-1", b"hello", fields={"X-Kumquatdrift-Caller-Service": "forged"})
        self.assertEqual((status, body), (200, b"done hello"))
        self.assertEqual(fields["X-Kumquatdrift-Response-Signature"], "sig")
        executions = [execution for execution in self.targets[2].executions if execution[0] == "id-1"]
        self.assertEqual([(execution[2], execution[3]) for execution in executions], [("desk", b"hello")])

    # Guards against long answers that say `Content-Length: 0`, from the target of the node itself and of another one.
    def test_answer_of_each_size_arrives_whole_and_is_framed_by_its_length(self):
        for size in (0, 1, 16383, 16384, 16385, 90000, 1000000):
            body = os.urandom(size)
            for target in self.targets:
                target.on_request = lambda handler, attempt, body=body: handler.respond(attempt, body) or True
            for node in self.nodes:
                for path in ("/read/x", "/board/x"):
                    status, received, fields = node.call(path=path)
                    self.assertEqual((status, fields["Content-Length"]), (200, str(size)))
                    self.assertEqual(received, body)

    def test_unknown_route_gets_404_and_known_route_200(self):
        self.assertEqual(self.nodes[0].call(path="/nowhere/x")[0], 404)
        self.assertEqual(self.nodes[0].call(path="/read/x")[0], 200)

    def test_slots_are_never_exceeded_and_no_request_runs_twice(self):
        self.targets[0].on_request = self.targets[1].on_request = lambda *_: time.sleep(0.05)
        statuses = []

        def send_requests(node, caller):
            for index in range(10):
                statuses.append(node.call("POST", "/book/x", "id-%s-%d-%d" % (node.name, caller, index), b"x")[0])

        threads = [threading.Thread(target=send_requests, args=(node, caller), daemon=True)
                   for node in self.nodes for caller in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertLessEqual(set(statuses), {200, 503})
        self.assertGreater(statuses.count(200), 200)
        for target in self.targets:
            self.assertLessEqual(target.max_concurrency, target.slots)
            attempts = [execution[0] for execution in target.executions if execution[0].startswith("id-")]
            self.assertEqual(len(attempts), len(set(attempts)))

    def test_lost_response_retries_only_idempotent_requests(self):
        def close_connection(handler, _):
            handler.connection.shutdown(socket.SHUT_RDWR)
            handler.close_connection = True
            return True

        for target in self.targets[:2]:
            target.on_request = close_connection
        self.assertEqual(self.nodes[0].call("POST", "/book/x", "once", b"x")[0], 502)
        self.assertEqual(self.executions("once"), 1)
        self.targets[1].on_request = None
        self.assertEqual(self.nodes[0].call("GET", "/read/x", "again")[0], 200)
        self.assertLessEqual(self.executions("again"), 2)

    def test_shedding_target_leads_to_503_with_retry_after(self):
        def shed(handler, _):
            handler.reply(503, b"", [("X-Kumquatdrift-Not-Executed", "1")])
            return True

        def shed_with_id(handler, attempt):
            handler.reply(503, b"", [("X-Kumquatdrift-Not-Executed", "1"), ("X-Kumquatdrift-Attempt-Id", attempt)])
            return True

        for target in self.targets[:2]:
            target.on_request = shed_with_id
        status, _, fields = self.nodes[0].call("POST", "/book/x", "shed", b"x")
        self.assertEqual(status, 503)
        self.assertGreater(float(fields["Retry-After"]), 0)
        # Without the id, a refusal on a used connection proves nothing; idempotent requests need no proof.
        for target in self.targets[:2]:
            target.on_request = shed
        self.assertEqual(self.nodes[0].call("GET", "/read/x", "shed-read")[0], 503)
        statuses = [self.nodes[0].call("POST", "/book/x", f"shed-{number}", b"x")[0] for number in range(4)]
        self.assertLessEqual(statuses.count(502), 2, statuses)
        self.assertEqual(statuses[-1], 503)

    def test_caller_disconnect_cancels_the_request_at_a_remote_target(self):
        disconnected = threading.Event()

        def wait_for_disconnect(handler, attempt):
            if attempt != "disconnects":
                return False
            handler.connection.settimeout(5)
            try:
                if handler.connection.recv(1) == b"":
                    disconnected.set()
            except OSError:
                disconnected.set()
            handler.close_connection = True
            return True

        self.targets[2].on_request = wait_for_disconnect
        connection = socket.create_connection((self.nodes[0].ip, self.nodes[0].callers))
        connection.sendall(b"GET /board/x HTTP/1.1\r\nHost: desk.example\r\nX-Kumquatdrift-Attempt-Id: disconnects\r\n"
                           b"X-Kumquatdrift-Deadline-Ms: 4000\r\n\r\n")
        wait_until(lambda: self.executions("disconnects") == 1, "the request runs")
        connection.close()
        self.assertTrue(disconnected.wait(0.5))

    def test_route_timeout_ends_with_504(self):
        self.targets[2].on_request = lambda *_: time.sleep(3)
        start = time.monotonic()
        self.assertEqual(self.nodes[0].call(path="/board/x", deadline_ms=9000)[0], 504)
        self.assertLess(time.monotonic() - start, 2.5)

    def test_log_line_of_a_request_names_the_cause(self):
        self.targets[2].on_request = lambda *_: time.sleep(3)
        self.nodes[0].call(path="/board/x", attempt="slow-1", deadline_ms=300)
        lines = lambda node, event: [line for line in node.log().splitlines()
                                     if "event=%s id=slow-1 " % event in line]
        wait_until(lambda: lines(self.nodes[0], "request_done"), "the entry node logs the end of the request")
        done = lines(self.nodes[0], "request_done")
        self.assertEqual(len(done), 1)
        for field in ("outcome=failed status=504 ", " node=node-3 ", "may_have_run=true", "limit_ms=300"):
            self.assertIn(field, done[0])
        # The time limit expires at both nodes at the same moment. If the entry node is first, it cancels the request
        # at the target's node; if the target's node is first, it logs the timeout.
        if "cause=time_over " not in done[0]:
            self.assertIn('cause="no answer in time" ', done[0])
            wait_until(lambda: lines(self.nodes[2], "run_ended"), "the target's node logs the end of the request")
            self.assertIn("end=timed_out", lines(self.nodes[2], "run_ended")[0])

    def test_metrics_count_requests(self):
        connection = http.client.HTTPConnection(self.nodes[0].ip, self.nodes[0].metrics, timeout=2)
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
        connection.close()
        self.assertIn('gateway_requests_total{outcome="answered"}', text)
        self.assertIn("gateway_request_seconds_bucket", text)


class GatewayMembership(GatewayTest):
    def test_deregistered_target_gets_no_requests_after_the_drain_time(self):
        deregistered = self.targets[0]
        deregistered.state = "draining"
        time.sleep(0.4)
        self.assertTrue(deregistered.deregister())
        acknowledged = time.monotonic()
        while time.monotonic() < acknowledged + DRAIN_S + 1:
            for node in self.nodes:
                self.assertEqual(node.call()[0], 200)
        late = [execution for execution in deregistered.executions if execution[1] > acknowledged + DRAIN_S]
        self.assertEqual(late, [])

    def test_crashed_target_is_avoided_and_its_successor_used(self):
        self.targets[0].crash()
        for _ in range(20):
            self.assertEqual(self.nodes[0].call()[0], 200)
        successor = Target(self.nodes[0].ip, self.nodes[0].reports, "desk")
        self.targets.append(successor)
        wait_until(lambda: self.nodes[0].call()[0] == 200 and successor.executions, "the successor is used")

    def test_configuration_reaches_node_that_the_store_rejects(self):
        self.nodes[0].kill()
        self.nodes[0].start()
        wait_until(self.nodes[0].is_ready, "the first node is ready again")
        wait_until(lambda: self.nodes[1].call()[0] == 200, "the second node serves")
        # All nodes connect to the store from 127.0.0.1, so it rejects all of them. The restarted second node must
        # receive the version from a peer.
        ip = self.nodes[1].ip
        self.store.rejected_ips.add("127.0.0.1")
        self.nodes[1].kill()
        self.nodes[1].start()
        wait_until(self.nodes[1].is_ready, "%s is ready without the store" % ip, 4)
        wait_until(lambda: self.nodes[1].call(path="/board/x")[0] == 200, "the node serves")

    def test_new_version_is_in_force_everywhere_and_old_one_never_returns(self):
        self.store.publish(9, ROUTES + [("/new/", "idempotent", "board", 2)], SERVICES)
        published = time.monotonic()
        for node in self.nodes:
            wait_until(lambda: node.call(path="/new/x")[0] == 200, "new route at " + node.name, CONFIG_APPLY_S)
        self.assertLess(time.monotonic() - published, CONFIG_APPLY_S)
        self.store.publish(7, ROUTES, SERVICES)
        self.store.put("keyed.op", "config", b"invalid")
        time.sleep(1)
        for node in self.nodes:
            self.assertEqual(node.call(path="/new/x")[0], 200)
            self.assertIn("config_refused", node.log())

    def test_malformed_report_is_rejected_and_the_node_keeps_serving(self):
        for body in (b"\xff\xfe", b"[]", b'{"service": 7, "slots": "x", "state": "ready"}'):
            connection = http.client.HTTPConnection(*self.nodes[0].reports.split(":"), timeout=2)
            connection.request("POST", "/rpc?call=instances.heartbeat&of=i-foreign", body)
            self.assertEqual(connection.getresponse().status, 400)
            connection.close()
        self.assertEqual(self.nodes[0].call()[0], 200)


class GatewayLaggingConfiguration(GatewayTest):
    def connect_peer(self, name, number, config_version):
        """Links a peer to the first node and waits until that node has received its record."""
        peer = FakePeer(name, loopback_address(number), config_version, self.nodes[0].settings["listen"]["peers"])
        self.addCleanup(peer.close)
        wait_until(lambda: "event=node_reachable node=%s " % name in self.nodes[0].log(), name + " is reachable")

    def test_unknown_route_gets_503_while_a_newer_version_is_known(self):
        # All nodes connect to the store from 127.0.0.1, so it rejects all of them.
        self.store.rejected_ips.add("127.0.0.1")
        self.connect_peer("same-version", 30, 5)
        self.assertEqual(self.nodes[0].call(path="/new/x")[0], 404)
        self.connect_peer("newer-version", 31, 6)
        status, _, fields = self.nodes[0].call(path="/new/x")
        self.assertEqual(status, 503)
        self.assertGreater(float(fields["Retry-After"]), 0)
        self.assertEqual(self.nodes[0].call(path="/read/x")[0], 200)


class GatewayProcess(GatewayTest):
    def test_stop_under_load_aborts_no_request(self):
        for target in self.targets:
            target.on_request = lambda *_: time.sleep(0.1)
        outcomes = {}
        stop = threading.Event()

        def send_requests():
            while not stop.is_set():
                attempt = os.urandom(8).hex()
                try:
                    outcomes[attempt] = self.nodes[0].call(attempt=attempt)[0]
                except (OSError, http.client.HTTPException):
                    outcomes[attempt] = "closed"
                    time.sleep(0.02)

        threads = [threading.Thread(target=send_requests, daemon=True) for _ in range(4)]
        self.addCleanup(stop.set)
        for thread in threads:
            thread.start()
        time.sleep(0.3)
        self.nodes[0].signal(signal.SIGTERM)
        wait_until(lambda: not self.nodes[0].is_ready(), "the node is not ready", 1)
        self.nodes[0].process.wait(GRACE_S)
        stop.set()
        for thread in threads:
            thread.join()
        # A request sent while the node closes its connection is not read, so it is not executed. Each executed request
        # gets its response.
        self.assertLessEqual(set(outcomes.values()), {200, 503, "closed"})
        self.assertIn(503, outcomes.values())
        for attempt, outcome in outcomes.items():
            self.assertEqual(self.executions(attempt), 1 if outcome == 200 else 0, outcome)
        self.assertEqual(self.nodes[0].process.returncode, 0)

    def test_stop_completes_a_response_that_its_caller_reads_slowly(self):
        size = 8_000_000

        def send_long_response(handler, attempt):
            handler.respond(attempt, b"x" * size)
            return True

        self.targets[0].on_request = send_long_response
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        caller.connect((self.nodes[0].ip, self.nodes[0].callers))
        caller.sendall(b"GET /read/x HTTP/1.1\r\nHost: desk.example\r\nX-Kumquatdrift-Attempt-Id: long\r\n"
                       b"X-Kumquatdrift-Deadline-Ms: 2000\r\n\r\n")
        received = len(caller.recv(1000))
        self.nodes[0].signal(signal.SIGTERM)
        stopped = time.monotonic()
        # Less than half has been read when the node no longer accepts requests, 2.6 s after the signal.
        while time.monotonic() < stopped + 4:
            received += len(caller.recv(20_000))
            time.sleep(0.02)
        while block := caller.recv(1_000_000):
            received += len(block)
        self.assertGreater(received, size)
        self.assertEqual(self.nodes[0].process.wait(GRACE_S), 0)

    def test_stop_completes_a_response_to_a_node_whose_link_is_slow(self):
        size = 8_000_000

        def send_long_response(handler, attempt):
            handler.respond(attempt, b"x" * size)
            return True

        node = self.nodes[2]
        self.targets[2].on_request = send_long_response
        peer = FakePeer("slow-peer", loopback_address(40), 5, node.settings["listen"]["peers"])
        self.addCleanup(peer.close)
        link = socket.socket()
        self.addCleanup(link.close)
        link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        link.connect((node.ip, int(node.settings["listen"]["peers"].split(":")[1])))
        FakePeer.send(link, peer.hello)
        FakePeer.send(link, encode_message([(3, encode_message([
            (1, 1), (2, b"board"), (3, b"long"), (4, b"GET"), (5, b"/board/x"),
            (6, b"X-Kumquatdrift-Attempt-Id: long\r\n"), (8, 2000), (9, 2000), (12, b"desk")]))]))
        received = len(link.recv(1000))
        wait_until(lambda: self.executions("long") == 1, "the request runs")
        node.signal(signal.SIGTERM)
        stopped = time.monotonic()
        try:
            while time.monotonic() < stopped + 4:
                received += len(link.recv(20_000))
                time.sleep(0.02)
            while block := link.recv(1_000_000):
                received += len(block)
        except ConnectionResetError:
            pass  # After its last byte, the node may reset the link.
        self.assertGreater(received, size)
        self.assertEqual(node.process.wait(GRACE_S), 0)

    def test_suspended_node_serves_again(self):
        self.nodes[0].signal(signal.SIGSTOP)
        time.sleep(2.5)
        self.store.publish(9, ROUTES, SERVICES)
        self.nodes[0].signal(signal.SIGCONT)
        wait_until(lambda: self.nodes[0].call(path="/board/x")[0] == 200, "the node serves", 3)
        self.assertIn("event=suspended", self.nodes[0].log())
        wait_until(lambda: "config_in_force version=9" in self.nodes[0].log(), "the new version is in force",
                   CONFIG_APPLY_S)

    def test_settings_are_reloaded(self):
        self.nodes[0].settings["service"] = "board"
        self.nodes[0].path.write_text(json.dumps(self.nodes[0].settings))
        self.nodes[0].signal(signal.SIGHUP)
        wait_until(lambda: "event=reloaded cause=signal service=board" in self.nodes[0].log(),
                   "the node has reloaded its settings")
        self.nodes[0].path.write_text("invalid")
        self.nodes[0].signal(signal.SIGHUP)
        wait_until(lambda: "event=reload_failed" in self.nodes[0].log(), "the failed reload is logged")
        self.assertEqual(self.nodes[0].call(path="/board/x")[0], 200)
        self.assertEqual(self.targets[2].executions[-1][2], "board")

    def test_invalid_settings_are_reported_with_the_reason(self):
        path = self.nodes[0].path.with_suffix(".bad")
        path.write_text('{"node": "n"}')
        completed = subprocess.run([BINARY, "--settings", path, "--check"], capture_output=True, text=True,
                                   check=False)
        self.assertEqual(completed.returncode, 2)
        self.assertIn("/data_centre is missing", completed.stderr)


if __name__ == "__main__":
    unittest.main(verbosity=2)
