"""Tests of gateway processes on loopback whose targets state in their responses a rate limit, or that they leave."""

import http.client
import os
import pathlib
import signal
import sys
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from gateway_standins import Target  # noqa: E402
from gateway_test import DRAIN_S, GatewayTest, wait_until  # noqa: E402

# Limits that the users require: from STABLE_WINDOW_S after a target first named a limit, it gets in no window of
# WINDOW_S more than `allowed` requests.
STABLE_WINDOW_S = 3.0
WINDOW_S = 4.0

SLOTS = 200


def allowed(limit):
    return 1.5 * limit * WINDOW_S + 5


class Caller:
    """Sends requests to a node, one after the other on one connection, and keeps (sent, ended, status, Retry-After).

    The ids of the attempts begin with the name of the node. It waits as long as a rejection says, but at most
    `longest_wait`.
    """

    def __init__(self, node, path="/board/x", longest_wait=0.05, method="GET"):
        self.node = node
        self.path = path
        self.method = method
        self.longest_wait = longest_wait
        self.results = []
        self.stop = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        connection = None
        while not self.stop.is_set():
            sent = time.monotonic()
            status, retry_after = "closed", None
            try:
                connection = connection or http.client.HTTPConnection(self.node.ip, self.node.callers, timeout=5)
                connection.request(self.method, self.path, None, {
                    "Host": "desk.example", "X-Kumquatdrift-Deadline-Ms": "1900",
                    "X-Kumquatdrift-Attempt-Id": "%s-%s" % (self.node.name, os.urandom(8).hex())})
                response = connection.getresponse()
                response.read()
                status, retry_after = response.status, response.headers["Retry-After"]
            except (OSError, http.client.HTTPException):
                connection.close()
                connection = None
                time.sleep(0.02)
            self.results.append((sent, time.monotonic(), status, retry_after))
            if retry_after:
                time.sleep(min(float(retry_after), self.longest_wait))
        if connection:
            connection.close()


class NoticeTest(GatewayTest):
    def setUp(self):
        super().setUp()
        # The only target of `board`, with so many slots that these don't bound its requests.
        self.targets[2].crash()
        self.target = Target(self.nodes[2].ip, self.nodes[2].reports, "board", SLOTS)
        self.targets[2] = self.target
        wait_until(lambda: self.nodes[0].call(path="/board/x")[0] == 200 and self.target.executions, "it is used")
        self.callers = []
        self.addCleanup(self.end_callers)

    def start_callers(self, nodes, count=12, **options):
        self.callers += [Caller(node, **options) for node in nodes for _ in range(count)]

    def end_callers(self):
        for caller in self.callers:
            caller.stop.set()
        for caller in self.callers:
            caller.thread.join()
        return [result for caller in self.callers for result in caller.results]

    def name_limit(self, limit):
        self.target.notice = [("Server-Limit", str(limit))] if limit is not None else []
        return time.monotonic()

    def arrivals(self, since, nodes=None):
        """Returns the times of the requests at the target that began at some nodes; at all if `nodes` is absent."""
        names = [node.name + "-" for node in nodes or self.nodes]
        return [execution[1] for execution in self.target.executions
                if execution[1] >= since and any(execution[0].startswith(name) for name in names)]

    def assert_limit_is_kept(self, limit, named, nodes=None):
        times = self.arrivals(named + STABLE_WINDOW_S, nodes)
        most = max((sum(start <= each < start + WINDOW_S for each in times) for start in times), default=0)
        print("limit %s: at most %d in %.0f s, allowed %.0f" % (limit, most, WINDOW_S, allowed(limit)), file=sys.stderr)
        self.assertLessEqual(most, allowed(limit))


class GatewayTargetLimit(NoticeTest):
    LIMIT = 8

    def test_limit_is_kept_over_all_nodes_and_excess_is_rejected_at_once(self):
        named = self.name_limit(self.LIMIT)
        self.start_callers(self.nodes)
        time.sleep(STABLE_WINDOW_S + WINDOW_S + 1)
        results = self.end_callers()
        self.assert_limit_is_kept(self.LIMIT, named)
        served = sum(status == 200 for _, _, status, _ in results)
        self.assertGreaterEqual(served, 0.8 * self.LIMIT * (STABLE_WINDOW_S + WINDOW_S + 1))
        rejected = [(ended - sent, retry_after) for sent, ended, status, retry_after in results if status == 503]
        self.assertLessEqual({status for _, _, status, _ in results}, {200, 503})
        self.assertTrue(all(float(retry_after) > 0 for _, retry_after in rejected))
        # A rejection doesn't wait for the deadline: 1.9 s.
        self.assertLess(sorted(wait for wait, _ in rejected)[len(rejected) * 9 // 10], 0.5)

    def test_limit_is_kept_after_a_restart_of_the_node_of_the_target(self):
        self.target.on_request = lambda *_: time.sleep(0.9)
        named = self.name_limit(self.LIMIT)
        self.start_callers(self.nodes[:2], 30)
        time.sleep(STABLE_WINDOW_S + 1)
        for _ in range(2):
            self.nodes[2].kill()
            self.nodes[2].start()
            time.sleep(2.5)
        self.end_callers()
        self.assert_limit_is_kept(self.LIMIT, named, self.nodes[:2])

    def test_limit_is_kept_after_a_suspension_of_the_node_of_the_target(self):
        named = self.name_limit(self.LIMIT)
        self.start_callers(self.nodes)
        time.sleep(STABLE_WINDOW_S)
        for _ in range(2):
            self.nodes[2].signal(signal.SIGSTOP)
            time.sleep(1.2)
            self.nodes[2].signal(signal.SIGCONT)
            time.sleep(1.5)
        self.end_callers()
        self.assert_limit_is_kept(self.LIMIT, named, self.nodes[:2])

    def test_limit_that_moves_is_followed_and_one_that_goes_is_dropped(self):
        self.name_limit(4 * self.LIMIT)
        self.start_callers(self.nodes)
        time.sleep(1)
        named = self.name_limit(self.LIMIT)
        time.sleep(STABLE_WINDOW_S + WINDOW_S)
        self.name_limit(None)
        lifted = time.monotonic()
        self.assert_limit_is_kept(self.LIMIT, named)
        time.sleep(3)
        self.end_callers()
        self.assertGreater(len(self.arrivals(lifted + 2)), 10 * self.LIMIT)

    def test_target_with_a_limit_of_zero_is_used_again_once_it_names_none(self):
        named = self.name_limit(0)
        self.start_callers(self.nodes)
        time.sleep(STABLE_WINDOW_S + WINDOW_S)
        self.assert_limit_is_kept(0, named)
        lifted = self.name_limit(None)
        wait_until(lambda: len(self.arrivals(lifted)) > 50, "the target is used again", 8)


class GatewayTargetLeaving(NoticeTest):
    def leave(self):
        """Makes the target state that it leaves, while its reports still call it ready, and waits for an answer."""
        self.target.notice = [("Server-Leaving", "1")]
        for node in self.nodes:
            node.call(path="/board/x", attempt=node.name + "-told")
        return time.monotonic()

    def test_leaving_target_gets_no_requests_after_the_drain_time(self):
        self.start_callers(self.nodes, 4)
        time.sleep(0.3)
        told = self.leave()
        time.sleep(DRAIN_S + 1.5)
        self.end_callers()
        self.assertEqual(self.arrivals(told + DRAIN_S), [])

    def test_leaving_target_gets_no_requests_after_a_restart_of_its_node(self):
        self.start_callers(self.nodes, 4)
        time.sleep(0.3)
        told = self.leave()
        self.nodes[2].kill()
        self.nodes[2].start()
        wait_until(self.nodes[2].is_ready, "the node is ready again")
        time.sleep(DRAIN_S + 1.5)
        self.end_callers()
        self.assertEqual(self.arrivals(told + DRAIN_S), [])

    def test_deregistered_target_that_reports_late_gets_no_requests_after_a_restart_of_its_node(self):
        self.start_callers(self.nodes, 4)
        time.sleep(0.3)
        self.assertTrue(self.target.deregister())
        acknowledged = time.monotonic()
        time.sleep(0.3)
        self.nodes[2].kill()
        self.nodes[2].start()
        # Its periodic reports go on, as if they had been delayed.
        wait_until(self.nodes[2].is_ready, "the node is ready again")
        time.sleep(DRAIN_S + 1.5)
        self.end_callers()
        self.assertEqual(self.arrivals(acknowledged + DRAIN_S), [])

    def test_successor_of_a_leaving_target_is_used(self):
        self.leave()
        self.target.crash()
        successor = Target(self.nodes[2].ip, self.nodes[2].reports, "board", SLOTS)
        self.targets.append(successor)
        wait_until(lambda: self.nodes[0].call(path="/board/x")[0] == 200 and successor.executions, "it is used", 8)


if __name__ == "__main__":
    unittest.main(verbosity=2)
