"""Process tests of gateways beside programs that are faulty: other writers of the store, and targets."""

import http.client
import json
import os
import pathlib
import sys
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from gateway_test import CONFIG_APPLY_S, ROUTES, SERVICES, GatewayTest, wait_until  # noqa: E402

NESTED = b"[" * 100000
RECORD = {"node": "odd", "data_centre": "a", "ip": "127.0.0.1", "port": 1, "service": "desk", "started_ms": 1}


def record(**members):
    return json.dumps({**RECORD, **members}).encode()


# Values of an entry among those of the nodes. JSON allows the numbers, their readers don't.
ODD_VALUES = [
    NESTED, NESTED + b"]" * 100000, b"{\"node\":" * 50000, record(port=70000), record(port=-1), record(port=1.5),
    record(port="1"), record(port=2 ** 80), record(port=None), record(ip="999.1.1.1"), record(ip=["127.0.0.1"]),
    record(ip=""), record(node=7), record(node=""), record(node="x" * 100000), record(started_ms=2 ** 200),
    record(started_ms=-1), record(service={}), record().replace(b'"port": 1', b'"port": 1e999'),
    record().replace(b'"started_ms": 1', b'"started_ms": ' + b"9" * 5000), b"\xff\xfe\x00", b"null", b"{}", b"[]",
]


class GatewayOddEntries(GatewayTest):
    def assert_works(self, version):
        """Checks that no process has ended, and that a new version is in force in time."""
        path = "/version-%d/" % version
        self.store.publish(version, [*ROUTES, (path, "idempotent", "desk", 2)], SERVICES)
        published = time.monotonic()
        for node in self.nodes:
            wait_until(lambda: node.call(path=path + "x")[0] == 200, node.name + " serves the new route",
                       published + CONFIG_APPLY_S - time.monotonic())
            self.assertIsNone(node.process.poll())

    def test_odd_entries_among_the_nodes_end_no_process(self):
        for number, value in enumerate(ODD_VALUES):
            self.store.put("keyed.nodes", "odd-%d" % number, value)
        # A node that starts reads the list.
        self.nodes[0].kill()
        self.nodes[0].start()
        wait_until(self.nodes[0].is_ready, "a node that starts is ready")
        self.assert_works(6)

    def test_odd_entries_of_the_operator_end_no_process_and_hide_no_version(self):
        for value in ODD_VALUES:
            self.store.put("keyed.op", "config", value)
            self.store.put("keyed.op", "other", value)
        self.assert_works(6)

    def test_odd_reports_of_a_target_end_no_process(self):
        for value in ODD_VALUES:
            connection = http.client.HTTPConnection(self.nodes[0].reports, timeout=5)
            try:
                connection.request("POST", "/rpc?call=instances.heartbeat&of=odd", value)
                self.assertEqual(connection.getresponse().status, 400)
            finally:
                connection.close()
        self.assert_works(6)


class GatewayRepeatedRefusal(GatewayTest):
    def test_request_that_ran_is_not_refused_by_a_refusal_that_is_written_once_more(self):
        refusals = {}

        def refuse_then_repeat(handler, attempt):
            earlier = refusals.get(handler)
            if earlier is None:
                refusals[handler] = attempt
                handler.reply(503, b"", [("X-Kumquatdrift-Attempt-Id", attempt), ("X-Kumquatdrift-Not-Executed", "1")])
                return True
            handler.reply(503, b"", [("X-Kumquatdrift-Attempt-Id", earlier), ("X-Kumquatdrift-Not-Executed", "1")])
            ran.append(attempt)
            handler.respond(attempt, b"done")
            return True

        ran = []
        for target in self.targets[:2]:
            target.on_request = refuse_then_repeat
        answers = {}
        for _ in range(30):
            attempt = os.urandom(8).hex()
            answers[attempt] = self.nodes[0].call("POST", "/book/x", attempt, b"once")[0]
        self.assertTrue(ran, "no connection was reused")
        self.assertEqual(len(set(ran)), len(ran), "a request ran twice")
        for attempt in ran:
            self.assertNotIn(answers[attempt], (408, 421, 429, 503))


if __name__ == "__main__":
    unittest.main()
