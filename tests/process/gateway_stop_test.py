"""Tests of gateway processes on loopback that are stopped while requests wait for a target."""

import contextlib
import http.client
import pathlib
import signal
import sys
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from gateway_test import ROUTES, SERVICES, GatewayTest, wait_until  # noqa: E402

SHORT_GRACE_S = 3.0
LONG_DEADLINE_MS = 9000


class GatewayStop(GatewayTest):
    def setUp(self):
        super().setUp()
        entry = self.nodes[0]
        entry.settings["grace_s"] = SHORT_GRACE_S
        entry.path.write_text(entry.path.read_text().replace('"grace_s": 6.0', '"grace_s": %.1f' % SHORT_GRACE_S))
        entry.signal(signal.SIGHUP)
        wait_until(lambda: "event=reloaded cause=signal" in entry.log(), "the node has reloaded its settings")
        self.store.publish(9, [*ROUTES, ("/deposit/", "non_idempotent", "board", 10)], SERVICES)
        for node in (entry, self.nodes[2]):
            wait_until(lambda: "config_in_force version=9" in node.log(), node.name + " has the new version")

    def occupy_target(self):
        """Sends requests that occupy all slots of the target of the last node until the test ends."""
        release = threading.Event()
        self.addCleanup(release.set)
        self.targets[2].on_request = lambda *_: release.wait(10) and None

        def send_request():
            with contextlib.suppress(OSError, http.client.HTTPException):  # The node is killed at the end.
                self.nodes[2].call("POST", "/deposit/x", deadline_ms=LONG_DEADLINE_MS, timeout=20)

        for _ in range(self.targets[2].slots):
            threading.Thread(target=send_request, daemon=True).start()
        wait_until(lambda: self.targets[2].in_flight == self.targets[2].slots, "the target is busy")

    # Guards against a 502 for a request that waits for a target until its entry node ends (LOST).
    def test_request_that_cannot_start_before_the_end_of_its_entry_node_is_rejected_as_not_run(self):
        self.occupy_target()
        self.nodes[0].signal(signal.SIGTERM)
        stopped = time.monotonic()
        wait_until(lambda: "event=stopping" in self.nodes[0].log(), "the node has handled the signal")
        status, _, fields = self.nodes[0].call("POST", "/deposit/x", "waits", b"x", deadline_ms=LONG_DEADLINE_MS)
        self.assertEqual(status, 503, self.nodes[0].log())
        self.assertIsNotNone(fields["Retry-After"])
        self.assertLess(time.monotonic() - stopped, SHORT_GRACE_S)
        self.assertEqual(self.executions("waits"), 0)
        self.assertEqual(self.nodes[0].process.wait(SHORT_GRACE_S), 0)


if __name__ == "__main__":
    unittest.main(verbosity=2)
