"""Failure tests of mesh processes: killed and paused nodes, log outages, lost responses, crashing requests."""

import http.client
import json
import pathlib
import signal
import subprocess
import sys
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts" / "lib"))

from mesh import BIN, ROOT, Mesh, make_fleet, request, wait_until  # noqa: E402

# Requirement of the users: a change is in force on every node within 4 s.
CONVERGENCE_LIMIT_S = 4.0

BASE = {
    "services": {"desk": {"queue_limit": 20}},
    "routes": {
        "read": {"path_prefix": "/read", "methods": ["GET"], "service": "desk", "deadline_ms": 3000,
                 "idempotent": True},
        "slow": {"path_prefix": "/slow", "methods": ["GET"], "service": "desk", "deadline_ms": 5000,
                 "idempotent": False},
        "crash": {"path_prefix": "/crash", "methods": ["GET"], "service": "desk", "deadline_ms": 3000,
                  "idempotent": True},
        "credit": {"path_prefix": "/credit", "methods": ["POST"], "service": "desk", "deadline_ms": 4000,
                   "idempotent": False, "idempotency_key_header": "idempotency-key"},
        "paper": {"path_prefix": "/paper", "methods": ["POST"], "service": "desk", "deadline_ms": 30000,
                  "idempotent": False},
    },
}


class MeshTest(unittest.TestCase):
    """Two data centres with two nodes each, and a target on each host except the first."""

    overrides = {"membership": {"probe_interval_ms": 300, "probe_timeout_ms": 100,
                                "suspicion_timeout_ms": 1000, "sync_interval_ms": 1000}}

    def setUp(self):
        self.mesh = Mesh()
        self.addCleanup(self.mesh.stop)
        self.log_address, self.fleet = make_fleet(2, 2, self.overrides)
        self.nodes = list(self.fleet)

    def tearDown(self):
        result = self._outcome.result
        if any(test is self for test, _ in result.failures + result.errors):
            for name, process in self.mesh.processes.items():
                print(f"-- {name}", *process.output().splitlines()[-15:], sep="\n   ", file=sys.stderr)

    def start(self, targets=True):
        self.mesh.start_log(self.log_address)
        for settings in self.fleet.values():
            self.mesh.start_node(settings)
        self.wait_until(lambda: all(self.mesh.version(node) == 0 for node in self.nodes), "all nodes respond")
        self.publish(BASE)
        if targets:
            for node in self.nodes[1:]:
                self.mesh.start_target(node, f"t-{node}", "desk", "--slots", "4", "--work-ms", "5")
            self.wait_until(lambda: self.target_states() == {"ready": 3}, "every node sees three ready targets")

    def publish(self, document, exit_code=0):
        path = self.mesh.directory / "base.json"
        path.write_text(json.dumps(document))
        completed = self.mesh.ctl("publish", "base", path, "--wait", node=self.nodes[0])
        self.assertEqual(completed.returncode, exit_code, completed.stdout + completed.stderr)

    def wait_until(self, condition, description, timeout=10.0):
        """Waits until the condition holds, which fails the test after the timeout; returns the seconds it took."""
        seconds = wait_until(condition, timeout)
        self.assertIsNotNone(seconds, f"not within {timeout} s: {description}")
        return seconds

    def target_states(self):
        """Returns the number of live targets by state, or None unless all nodes agree on it."""
        by_node = []
        for node in self.nodes:
            states = {}
            for member in self.mesh.status(node)["members"]:
                if member["status"] == "alive":
                    for target in member["targets"]:
                        states[target["state"]] = states.get(target["state"], 0) + 1
            by_node.append(states)
        return by_node[0] if all(states == by_node[0] for states in by_node) else None

    def executions(self, request_id):
        """Returns how often the targets that still respond have executed a request."""
        total = 0
        for node in self.nodes[1:]:
            try:
                ledger = request("GET", f"{self.fleet[node]['ip']}:7600", "/ledger", timeout=2)[2]
            except OSError:
                continue
            total += json.loads(ledger).get(request_id, 0)
        return total


class Configuration(MeshTest):
    # Guards against a node that loses or reverts its version while the log is unavailable, and against a publish
    # that reports success during the outage.
    def test_log_outage_keeps_version_and_rejects_publish(self):
        self.start()
        version = self.mesh.version(self.nodes[0])
        self.mesh.log_control(outage=True)
        time.sleep(1)
        self.publish({**BASE, "routes": {**BASE["routes"], "new": {**BASE["routes"]["read"], "path_prefix": "/n"}}},
                     exit_code=4)
        for node in self.nodes:
            self.assertEqual(self.mesh.version(node), version)
            self.assertEqual(self.mesh.call(node, "GET", "/read")[0], 200)
        self.mesh.log_control(outage=False)
        self.publish({**BASE, "routes": {**BASE["routes"], "new": {**BASE["routes"]["read"], "path_prefix": "/n"}}})
        self.wait_until(lambda: all(self.mesh.version(node) > version for node in self.nodes), "new version everywhere")

    # Guards against an edit that is applied twice, or reported as failed, because the response to its append was
    # lost.
    def test_lost_append_response_publishes_once(self):
        self.start(targets=False)
        self.mesh.log_control(lose_answers=1)
        self.publish({**BASE, "services": {"desk": {"queue_limit": 21}}})
        history = json.loads(self.mesh.ctl("history", "--json").stdout)
        accepted = [entry for entry in history if entry["outcome"] == "accepted"]
        self.assertEqual(len(accepted), 2, history)

    # Guards against a node restarted without local state that serves an older version, or none, while the log is
    # unavailable, although its peers have the version.
    def test_node_restarted_during_outage_takes_version_from_peers(self):
        self.start()
        version = self.mesh.version(self.nodes[0])
        self.mesh.log_control(outage=True)
        self.mesh.processes[self.nodes[1]].kill()
        self.mesh.start_node(self.fleet[self.nodes[1]])
        self.wait_until(lambda: self.mesh.is_ready(self.nodes[1]), "restarted node is ready", 15)
        self.assertEqual(self.mesh.version(self.nodes[1]), version)

    # Guards against a paused node that keeps its old version after it resumes, or returns to an older one.
    def test_paused_node_catches_up(self):
        self.start()
        paused = self.mesh.processes[self.nodes[3]]
        paused.send_signal(signal.SIGSTOP)
        path = self.mesh.directory / "base.json"
        path.write_text(json.dumps({**BASE, "services": {"desk": {"queue_limit": 22}}}))
        self.assertEqual(self.mesh.ctl("publish", "base", path).returncode, 0)
        self.wait_until(lambda: self.mesh.version(self.nodes[0]) == 2, "running node has the second version")
        time.sleep(3)
        paused.send_signal(signal.SIGCONT)
        self.wait_until(lambda: self.mesh.version(self.nodes[3]) == 2, "resumed node has the second version", 15)

    # Guards against a mesh that stays without configuration after all its nodes were killed together.
    def test_all_nodes_restarted_at_once_reach_the_version_again(self):
        self.start()
        for node in self.nodes:
            self.mesh.processes[node].kill()
        for settings in self.fleet.values():
            self.mesh.start_node(settings)
        seconds = self.wait_until(lambda: all(self.mesh.is_ready(node) for node in self.nodes),
                                  "all nodes are ready", 15)
        self.assertLess(seconds, 10.0)

    # Guards against concurrent publishes in which the edit of one operator silently overwrites that of another.
    def test_concurrent_publishes_of_one_document_lose_nothing(self):
        self.start(targets=False)
        results = []

        def publish(limit):
            path = self.mesh.directory / f"base-{limit}.json"
            path.write_text(json.dumps({**BASE, "services": {"desk": {"queue_limit": limit}}}))
            results.append((limit, self.mesh.ctl("publish", "base", path).returncode))

        threads = [threading.Thread(target=publish, args=(limit,)) for limit in range(30, 36)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        history = json.loads(self.mesh.ctl("history", "--json").stdout)
        accepted = [entry for entry in history if entry["outcome"] == "accepted"]
        self.assertEqual(len(accepted) - 1, sum(1 for _, code in results if code == 0), (results, history))
        self.assertTrue(all(code in (0, 3) for _, code in results), results)

    # Guards against command-line output that differs from the state of the nodes, and against a revert that returns
    # to the old version number instead of publishing its content as a new one.
    def test_operator_sees_versions_and_reverts(self):
        self.start(targets=False)
        self.publish({**BASE, "services": {"desk": {"queue_limit": 23}}})
        reverted = self.mesh.ctl("revert", "0", "--wait", node=self.nodes[0])
        self.assertEqual(reverted.returncode, 0, reverted.stderr)
        self.assertEqual({self.mesh.version(node) for node in self.nodes}, {3})
        status = json.loads(self.mesh.ctl("status", "--json", node=self.nodes[0]).stdout)
        self.assertEqual((status["live"], status["newest_version"], status["behind"]), (4, 3, 0))
        shown = json.loads(self.mesh.ctl("show", "--data-centre", "dc1").stdout)
        self.assertEqual(shown["services"]["desk"]["queue_limit"], 20)
        trace = self.mesh.ctl("trace-config", node=self.nodes[2])
        self.assertIn("version in force: 3", trace.stdout)


class Requests(MeshTest):
    # Guards against a credit that is posted twice when its caller retries it through another node.
    def test_same_key_at_two_nodes_runs_once_and_gets_the_same_response(self):
        self.start()
        headers = {"idempotency-key": "k1", "x-request-id": "r1"}
        first = self.mesh.call(self.nodes[0], "POST", "/credit", b"1", headers)
        retried = self.mesh.call_with_retries(self.nodes[3], "POST", "/credit", b"1", headers)
        self.assertEqual((first[0], retried[0]), (200, 200), (first, retried))
        self.assertEqual(first[2], retried[2])
        self.assertEqual(self.executions("r1"), 1)

    # Guards against a second execution when many callers send one key through all nodes at the same moment.
    def test_same_key_at_all_nodes_at_once_runs_once(self):
        self.start()
        statuses = []

        def send(node):
            headers = {"idempotency-key": "k2", "x-request-id": "r2"}
            statuses.append(self.mesh.call(node, "POST", "/credit", b"1", headers)[0])

        threads = [threading.Thread(target=send, args=(node,)) for node in self.nodes * 3]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(self.executions("r2"), 1, statuses)
        self.assertTrue(set(statuses) <= {200, 409, 503}, statuses)

    # Guards against a keyed request that is executed, or reported as possibly executed, while no key can be claimed.
    def test_keyed_request_during_log_outage_is_rejected_as_not_run(self):
        self.start()
        self.mesh.log_control(outage=True)
        status, headers, _ = self.mesh.call(self.nodes[0], "POST", "/credit", b"1",
                                            {"idempotency-key": "k3", "x-request-id": "r3"})
        self.assertEqual(status, 503)
        self.assertEqual(headers.get("x-kumquatdrift-verdict"), "not_run")
        self.assertIn("retry-after", headers)
        self.assertEqual(self.executions("r3"), 0)

    # Guards against a response marked as not run when the target was killed after it had started the request.
    def test_target_killed_during_request_leads_to_may_have_run(self):
        self.start()
        for node in self.nodes[2:]:
            self.mesh.processes[f"target-t-{node}"].kill()
        self.wait_until(lambda: self.target_states() == {"ready": 1}, "one target is ready")
        outcome = {}

        def send():
            outcome["response"] = self.mesh.call(self.nodes[0], "GET", "/slow?ms=2000")

        thread = threading.Thread(target=send)
        thread.start()
        time.sleep(0.7)
        self.mesh.processes[f"target-t-{self.nodes[1]}"].kill()
        begin = time.monotonic()
        thread.join()
        status, headers, _ = outcome["response"]
        self.assertEqual(status, 502, headers)
        self.assertEqual(headers.get("x-kumquatdrift-verdict"), "may_have_run")
        self.assertLess(time.monotonic() - begin, 1.0, "the final response is not immediate")

    # Guards against one request that is retried until it has crashed every target.
    def test_retried_crashing_request_crashes_at_most_two_targets(self):
        self.start()
        for _ in range(8):
            try:
                self.mesh.call(self.nodes[0], "GET", "/crash", timeout=5)
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(0.2)
        alive = [node for node in self.nodes[1:] if self.mesh.processes[f"target-t-{node}"].is_running()]
        self.assertGreaterEqual(len(alive), 1, "the request was not quarantined after two crashes")
        self.assertEqual(self.mesh.call(self.nodes[0], "GET", "/read")[0], 200)

    # Guards against reads that fail or are rejected although other nodes can serve them, when a node is killed.
    def test_reads_survive_a_killed_node(self):
        self.start()
        self.mesh.processes[self.nodes[2]].kill()
        statuses = [self.mesh.call(self.nodes[0], "GET", "/read")[0] for _ in range(100)]
        self.assertEqual(statuses, [200] * 100)

    # Guards against a paused node that holds requests beyond the deadline of their route.
    def test_reads_survive_a_paused_node(self):
        self.start()
        self.mesh.processes[self.nodes[2]].send_signal(signal.SIGSTOP)
        self.wait_until(lambda: [member["status"] for member in self.mesh.status(self.nodes[0])["members"]
                                 if member["node"] == self.nodes[2]] != ["alive"], "paused node is detected")
        statuses = [self.mesh.call(self.nodes[0], "GET", "/read")[0] for _ in range(50)]
        self.assertEqual(statuses, [200] * 50)

    # Guards against uploads that are interrupted when the target, or the node on its host, shuts down gracefully.
    def test_upload_survives_drain_of_target_and_node(self):
        self.start()
        for node in self.nodes[2:]:
            self.mesh.processes[f"target-t-{node}"].send_signal(signal.SIGTERM)
        self.wait_until(lambda: self.target_states() in ({"ready": 1}, {"ready": 1, "draining": 2}),
                        "one target is ready")
        size = 4 * 1024 * 1024
        outcome = {}

        def body():
            for _ in range(16):
                yield bytes(size // 16)
                time.sleep(0.15)

        def send():
            outcome["response"] = self.mesh.call(self.nodes[0], "POST", "/paper", body(),
                                             {"content-length": str(size), "x-request-id": "r9"}, timeout=30)

        thread = threading.Thread(target=send)
        thread.start()
        time.sleep(0.8)
        self.mesh.processes[f"target-t-{self.nodes[1]}"].send_signal(signal.SIGTERM)
        self.mesh.processes[self.nodes[1]].send_signal(signal.SIGTERM)
        thread.join()
        status, headers, content = outcome["response"]
        self.assertEqual(status, 200, (headers, content))
        self.assertEqual(json.loads(content)["bytes"], size)
        self.assertEqual(self.mesh.processes[self.nodes[1]].wait(20), 0)

    # Guards against new requests to a draining target, and against reads that fail because of the drain.
    def test_draining_target_gets_no_new_requests(self):
        self.start()
        draining = self.nodes[1]
        slow_call = threading.Thread(target=lambda: self.mesh.call(draining, "GET", "/slow?ms=2500"))
        slow_call.start()
        time.sleep(0.3)
        self.mesh.processes[f"target-t-{draining}"].send_signal(signal.SIGTERM)
        self.wait_until(lambda: (self.target_states() or {}).get("draining", 0) == 1 or
                        (self.target_states() or {}).get("ready", 0) == 2,
                        "every node knows of the drain", CONVERGENCE_LIMIT_S)
        for index in range(30):
            self.assertEqual(self.mesh.call(self.nodes[0], "GET", "/read", headers={"x-request-id": f"d{index}"})[0],
                             200)
        total = sum(self.executions(f"d{index}") for index in range(30))
        self.assertEqual(total, 30)
        slow_call.join()

    # Guards against a target that has left and is used again after its node, and the node of a caller, restart.
    def test_target_that_left_stays_unused_after_restarts(self):
        self.start()
        gone = self.nodes[1]
        self.mesh.processes[f"target-t-{gone}"].send_signal(signal.SIGTERM)
        self.mesh.processes[f"target-t-{gone}"].wait(10)
        self.wait_until(lambda: (self.target_states() or {}).get("ready", 0) == 2, "every node knows of the leave")
        for node in (gone, self.nodes[0]):
            self.mesh.processes[node].kill()
        for node in (gone, self.nodes[0]):
            self.mesh.start_node(self.fleet[node])
        highest = 0

        def known_to_all():
            nonlocal highest
            states = [member["targets"] for node in self.nodes for member in self.mesh.status(node)["members"]
                      if member["node"] == gone]
            highest = max([highest, *(sum(target["state"] == "ready" for target in targets) for targets in states)])
            return len(states) == 4 and self.target_states() == {"ready": 2}

        self.wait_until(known_to_all, "every node knows the two other targets")
        self.wait_until(lambda: self.mesh.call(self.nodes[0], "GET", "/read")[0] == 200, "the caller's node responds")
        statuses = [self.mesh.call(self.nodes[0], "GET", "/read")[0] for _ in range(30)]
        self.assertEqual(statuses, [200] * 30)
        self.assertEqual(highest, 0)
        self.assertEqual(self.target_states(), {"ready": 2})


class Daemon(unittest.TestCase):
    # Guards against a daemon that accepts invalid settings or reports only the first error.
    def test_check_prints_every_error(self):
        with Mesh() as mesh:
            path = mesh.directory / "bad.json"
            path.write_text('{"node": "UPPER", "ip": 5, "listeners": {"peer": {"port": 0}}, "what": 1}')
            completed = subprocess.run([BIN / "kumquatdriftd", "--config", path, "--check"], capture_output=True,
                                       text=True, timeout=10, check=False)
            self.assertEqual(completed.returncode, 2)
            for setting in ("node", "data_centre", "ip", "listeners.peer.port", "log.url", "what"):
                self.assertIn(f": {setting}: ", completed.stderr)

    # Guards against a node that cannot be stopped while it drains.
    def test_second_signal_stops_immediately(self):
        _, fleet = make_fleet(1, 1)
        settings = next(iter(fleet.values()))
        with Mesh() as mesh:
            process = mesh.start_node(settings)
            wait_until(lambda: request("GET", mesh.address(settings["node"], "admin"), "/healthz")[0] == 200, 10)
            process.send_signal(signal.SIGTERM)
            time.sleep(0.3)
            process.send_signal(signal.SIGTERM)
            self.assertEqual(process.wait(2), 3)

    # Guards against two nodes on one address, which would receive each other's messages.
    def test_second_node_on_the_same_ports_does_not_start(self):
        _, fleet = make_fleet(1, 1)
        settings = next(iter(fleet.values()))
        with Mesh() as mesh:
            mesh.start_node(settings)
            wait_until(lambda: request("GET", mesh.address(settings["node"], "admin"), "/healthz")[0] == 200, 10)
            second = mesh.start_node({**settings, "node": "other"})
            self.assertEqual(second.wait(10), 1)


class Examples(unittest.TestCase):
    # Guards against examples that the programs reject as invalid.
    def test_documents_and_node_settings_are_valid(self):
        for mesh in ("lisbon", "nordeste"):
            folder = ROOT / "examples" / mesh
            overlays = sorted((folder / "overlays").glob("*.json"))
            self.assertEqual(len(overlays), 3)
            completed = subprocess.run([BIN / "kumquatdriftctl", "validate", folder / "base.json", *overlays],
                                       capture_output=True, text=True, timeout=10, check=False)
            self.assertEqual(completed.returncode, 0, completed.stderr)
            for settings in sorted((folder / "nodes").glob("*.json")):
                completed = subprocess.run([BIN / "kumquatdriftd", "--config", settings, "--check"],
                                           capture_output=True, text=True, timeout=10, check=False)
                self.assertEqual(completed.returncode, 0, completed.stderr)


if __name__ == "__main__":
    unittest.main(verbosity=2)
