"""Process tests of how soon gateways decide by a version that the store has acknowledged, as their callers see it."""

import http.client
import os
import pathlib
import sys
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from gateway_test import CONFIG_APPLY_S, ROUTES, SERVICES, GatewayTest, wait_until  # noqa: E402

# Limit that the users state: time after an impairment from which the bounds hold again.
STABLE_WINDOW_S = 3.0
NEW_ROUTE = ("/new/", "idempotent", "desk", 2)


class GatewayConfigLag(GatewayTest):
    def test_version_is_in_force_in_time_after_connections_to_the_store_went_silent(self):
        self.store.silence_open_connections()
        self.store.publish(6, [*ROUTES, NEW_ROUTE], SERVICES)
        published = time.monotonic()
        for node in self.nodes:
            wait_until(lambda: node.call(path="/new/x")[0] == 200, node.name + " serves the new route",
                       published + max(STABLE_WINDOW_S, CONFIG_APPLY_S) - time.monotonic())

    def test_next_version_is_in_force_in_time_after_the_connections_were_replaced(self):
        self.store.silence_open_connections()
        time.sleep(STABLE_WINDOW_S)
        self.store.publish(6, [*ROUTES, NEW_ROUTE], SERVICES)
        published = time.monotonic()
        for node in self.nodes:
            wait_until(lambda: node.call(path="/new/x")[0] == 200, node.name + " serves the new route",
                       published + CONFIG_APPLY_S - time.monotonic())


class GatewayCallerLimits(GatewayTest):
    def connect(self):
        connection = http.client.HTTPConnection(self.nodes[0].ip, self.nodes[0].callers, timeout=5)
        self.addCleanup(connection.close)
        return connection

    def send(self, connection, size):
        connection.request("POST", "/papers/x", b"x" * size, {
            "Host": "desk.example", "X-Kumquatdrift-Attempt-Id": os.urandom(8).hex(),
            "X-Kumquatdrift-Deadline-Ms": "2000"})
        response = connection.getresponse()
        response.read()
        return response.status

    def publish(self, version, path, **limits):
        """Publishes a version with limits and a route of its own, and waits until the first node has it."""
        self.store.publish(version, [*ROUTES, (path, "idempotent", "desk", 2)], SERVICES, **limits)
        wait_until(lambda: self.nodes[0].call(path=path + "x")[0] == 200, "the version is in force")

    def test_larger_body_limit_holds_on_connections_that_were_open_before(self):
        self.publish(6, "/six/", max_body_bytes=1000)
        connection = self.connect()
        self.assertEqual(self.send(connection, 500), 200)
        self.publish(7, "/seven/", max_body_bytes=100000)
        self.assertEqual(self.send(connection, 5000), 200)

    def test_longer_idle_timeout_holds_on_connections_that_were_open_before(self):
        self.publish(6, "/six/", idle_timeout_s=2)
        connection = self.connect()
        self.assertEqual(self.send(connection, 500), 200)
        self.publish(7, "/seven/", idle_timeout_s=10)
        time.sleep(2.5)
        self.assertEqual(self.send(connection, 500), 200)


if __name__ == "__main__":
    unittest.main()
