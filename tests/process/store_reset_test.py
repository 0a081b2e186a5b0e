"""Tests of gateway processes on loopback whose store comes back from an older copy."""

import collections
import http.client
import os
import pathlib
import random
import signal
import sys
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from gateway_test import CONFIG_APPLY_S, GRACE_S, ROUTES, SERVICES, GatewayTest, Node, wait_until  # noqa: E402


class CallerLoop:
    """Sends requests to a node, one after the other, and keeps each status. The ids begin with `name`."""

    def __init__(self, node, path, name="caller"):
        self.statuses = []
        self.name = name
        self.stop = threading.Event()
        self.thread = threading.Thread(target=self.run, args=(node, path), daemon=True)
        self.thread.start()

    def run(self, node, path):
        while not self.stop.is_set():
            try:
                attempt = "%s-%s" % (self.name, os.urandom(8).hex())
                self.statuses.append(node.call(path=path, attempt=attempt)[0])
            except (OSError, http.client.HTTPException):
                pass  # The node is being restarted.
            time.sleep(0.005)

    def end(self):
        self.stop.set()
        self.thread.join()
        return self.statuses


class GatewayStoreReset(GatewayTest):
    """The store comes back from a copy of some seconds ago."""

    # Version 9 adds a route, and moves another one from `desk` to `board`.
    NEW_ROUTES = ROUTES[:2] + ROUTES[3:] + [("/papers/", "upload", "board", 2), ("/new/", "idempotent", "board", 2)]
    LATER_ROUTES = NEW_ROUTES + [("/later/", "idempotent", "board", 2)]

    def setUp(self):
        super().setUp()
        time.sleep(0.3)
        self.copied = time.monotonic()

    def publish_new_version(self):
        self.store.publish(9, self.NEW_ROUTES, SERVICES)
        for node in self.nodes:
            wait_until(lambda: node.call(path="/new/x")[0] == 200, "new route at " + node.name, CONFIG_APPLY_S)

    def go_back(self):
        self.store.go_back(time.monotonic() - self.copied)

    def call_all_nodes(self, path):
        loops = [CallerLoop(node, path) for node in self.nodes]
        for each in loops:
            self.addCleanup(each.stop.set)
        return loops

    def assert_versions_rise(self, node):
        """Checks that the log of a process, from its last start, names only rising versions."""
        lines = node.log().rsplit("event=started", 1)[-1].splitlines()
        versions = [int(line.split("version=")[1].split()[0]) for line in lines if "event=config_in_force" in line]
        self.assertEqual(versions, sorted(set(versions)))
        return versions

    def test_change_below_the_offsets_of_the_readers_is_not_missed(self):
        for number in range(6):
            self.store.put("keyed.op", "other-%d" % number, b"{}")
        self.publish_new_version()
        loops = self.call_all_nodes("/new/x")
        # The new records fill the partition beyond the offsets of the readers before these reconnect.
        with self.store.condition:
            self.go_back()
            self.store.publish(9, self.NEW_ROUTES, SERVICES)
            self.store.publish(12, self.LATER_ROUTES, SERVICES)
            for number in range(20):
                self.store.put("keyed.op", "other-%d" % number, b"{}")
        returned = time.monotonic()
        for node in self.nodes:
            wait_until(lambda: node.call(path="/later/x")[0] == 200, "later route at " + node.name,
                       CONFIG_APPLY_S - (time.monotonic() - returned))
        print("in force everywhere after %.2f s" % (time.monotonic() - returned), file=sys.stderr)
        for each in loops:
            self.assertEqual(set(each.end()), {200})
        for node in self.nodes:
            # The log is written with a short delay.
            wait_until(lambda: "event=config_in_force version=12" in node.log(), "version 12 in the log", 1)
            self.assertEqual(self.assert_versions_rise(node), [5, 9, 12])
            self.assertEqual(node.log().count("event=store_reset old=1 new=2 "), 1)

    def test_node_that_starts_while_the_store_shows_an_older_version_takes_the_newest(self):
        self.publish_new_version()
        loops = self.call_all_nodes("/new/x")
        self.go_back()
        restarted = self.nodes[1]
        moved = CallerLoop(restarted, "/papers/x", "moved")
        self.addCleanup(moved.stop.set)
        restarted.kill()
        restarted.start()
        wait_until(restarted.is_ready, "the restarted node is ready")
        self.assertEqual(restarted.call(path="/new/x")[0], 200)
        time.sleep(1)
        self.store.publish(12, self.LATER_ROUTES, SERVICES)
        for node in self.nodes:
            wait_until(lambda: node.call(path="/later/x")[0] == 200, "later route at " + node.name, CONFIG_APPLY_S)
        statuses = [set(each.end()) for each in [*loops, moved]]
        self.assertNotIn(404, set.union(*statuses))
        self.assertIn(200, moved.statuses)
        for node in self.nodes:
            self.assert_versions_rise(node)
        # The service that version 5 names for the moved route.
        self.assertEqual([attempt for target in self.targets[:2] for attempt, *_ in target.executions
                          if attempt.startswith("moved-")], [])

    def test_starting_node_without_links_does_not_route_by_the_older_version(self):
        self.publish_new_version()
        self.go_back()
        restarted = self.nodes[1]
        restarted.kill()
        for node in (self.nodes[0], self.nodes[2]):
            node.signal(signal.SIGSTOP)
        restarted.start()
        moved = CallerLoop(restarted, "/papers/x", "moved")
        self.addCleanup(moved.stop.set)
        # The node has read version 5 and its target has reported; the others would be awaited for 2 s.
        wait_until(lambda: "event=config_in_force version=5" in restarted.log().rsplit("event=started", 1)[-1],
                   "the older version has been read", 1)
        time.sleep(1)
        for node in (self.nodes[0], self.nodes[2]):
            node.signal(signal.SIGCONT)
        wait_until(lambda: moved.statuses[-1:] == [200], "the moved route is served", CONFIG_APPLY_S)
        self.assertLessEqual(set(moved.end()), {200, 503})
        self.assertGreater(moved.statuses.count(503), 10)
        self.assertEqual([attempt for target in self.targets[:2] for attempt, *_ in target.executions
                          if attempt.startswith("moved-")], [])

    def test_members_and_targets_are_confirmed_or_dropped_within_two_seconds(self):
        limit_s = 2.0
        folder = pathlib.Path(self.nodes[0].path).parent
        added = [Node(folder, number, "a", "board", self.store.address) for number in (4, 5)]
        for node in added:
            self.addCleanup(self.stop, node)
        added[0].start()
        new_target = self.start_target(added[0])
        wait_until(added[0].is_ready, "the added node is ready")
        loops = self.call_all_nodes("/read/x")
        # What the store forgets: the added node. What it shows again: the first target's node, which has stopped.
        left = self.targets[0]
        left.state = "draining"
        time.sleep(0.4)
        self.assertTrue(left.deregister())
        loops[0].end()
        self.nodes[0].signal(signal.SIGTERM)
        self.nodes[0].process.wait(GRACE_S + 1)
        stopped = time.monotonic()
        self.go_back()
        returned = time.monotonic()
        added[1].start()
        wait_until(lambda: added[0].name in {item["key"] for item in self.store.newest("keyed.nodes")["items"]},
                   "the record of the added node is in the store again", limit_s)
        wait_until(lambda: "event=node_reachable node=%s " % added[0].name in added[1].log(),
                   "a node that starts knows the added node", limit_s - (time.monotonic() - returned))
        print("members known after %.2f s" % (time.monotonic() - returned), file=sys.stderr)
        wait_until(added[1].is_ready, "the node that starts is ready", limit_s - (time.monotonic() - returned))
        statuses = [added[1].call(path="/board/x", attempt="board-%d" % number)[0] for number in range(60)]
        time.sleep(limit_s)
        self.assertEqual(set(statuses), {200})
        self.assertIn(True, [attempt.startswith("board-") for attempt, *_ in new_target.executions])
        self.assertEqual({status for each in loops[1:] for status in each.end()}, {200})
        self.assertEqual([execution for execution in left.executions if execution[1] > stopped], [])

    def test_each_node_writes_its_record_again_once(self):
        added = Node(pathlib.Path(self.nodes[0].path).parent, 4, "a", "desk", self.store.address)
        self.addCleanup(self.stop, added)
        added.start()
        self.nodes.append(added)
        wait_until(added.is_ready, "the added node is ready")
        for era in (2, 3):
            self.go_back()
            kept = len(self.store.topics["keyed.nodes"])
            calls = collections.Counter(self.store.calls)
            returned = time.monotonic()
            wait_until(lambda: len(self.store.topics["keyed.nodes"]) == kept + 4, "all nodes have written", 2.0)
            print("all records written after %.2f s" % (time.monotonic() - returned), file=sys.stderr)
            time.sleep(1.5)
            self.assertEqual(len(self.store.topics["keyed.nodes"]), kept + 4)
            self.assertEqual({item["key"] for item in self.store.newest("keyed.nodes")["items"]},
                             {node.name for node in self.nodes})
            made = collections.Counter(self.store.calls) - calls
            print("calls in era %d: %s" % (era, dict(made)), file=sys.stderr)
            self.assertLessEqual(sum(made.values()), 8 * len(self.nodes))
            for node in self.nodes:
                self.assertEqual(node.log().count("event=store_reset old=%d new=%d " % (era - 1, era)), 1)


class GatewayStoreResetRandom(GatewayTest):
    """Random returns from older copies, outages, restarts and changes, from the seed in SEED (1)."""

    LENGTH_S = 12.0

    def setUp(self):
        super().setUp()
        self.seed = int(os.environ.get("SEED", "1"))
        self.random = random.Random(self.seed)
        self.version = 5
        self.routes = ROUTES + [("/new/", "idempotent", "board", 2)]
        self.publish()
        for node in self.nodes:
            wait_until(lambda: node.call(path="/new/x")[0] == 200, "new route at " + node.name, CONFIG_APPLY_S)

    def publish(self):
        """Publishes a version with one more route; its name contains the version."""
        self.version += self.random.randint(1, 4)
        self.routes.append(("/r%d/" % self.version, "idempotent", "board", 2))
        self.store.publish(self.version, self.routes, SERVICES)

    def go_back(self):
        with self.store.condition:
            self.store.go_back(self.random.uniform(0.1, 4))
            if self.random.random() < 0.5:
                self.store.publish(self.version, self.routes, SERVICES)
                for number in range(self.random.randint(0, 30)):
                    self.store.put("keyed.op", "other-%d" % number, b"{}")
                return
        time.sleep(self.random.uniform(0, 0.8))
        self.store.publish(self.version, self.routes, SERVICES)

    def take_down(self):
        self.store.is_down = True
        time.sleep(self.random.uniform(0.1, 1.5))
        if self.random.random() < 0.5:
            self.go_back()
        self.store.is_down = False

    def restart_node(self):
        """Restarts a node if another one keeps the newest version."""
        node = self.random.choice(self.nodes)
        others = [other for other in self.nodes if other is not node]
        if any(other.is_ready() and other.call(path=self.newest_path())[0] == 200 for other in others):
            node.kill()
            node.start()

    def newest_path(self):
        return "/r%d/x" % self.version

    def test_versions_never_go_back_and_all_nodes_agree_at_the_end(self):
        loops = [CallerLoop(node, "/new/x") for node in self.nodes]
        for each in loops:
            self.addCleanup(each.stop.set)
        steps = []
        end = time.monotonic() + self.LENGTH_S
        while time.monotonic() < end:
            step = self.random.choice([self.publish, self.go_back, self.go_back, self.take_down, self.restart_node])
            steps.append(step.__name__)
            step()
            time.sleep(self.random.uniform(0, 0.5))
        self.go_back()
        self.publish()
        returned = time.monotonic()
        message = "seed %d: %s" % (self.seed, " ".join(steps))
        for node in self.nodes:
            wait_until(lambda: node.call(path=self.newest_path())[0] == 200, "%s at %s" % (message, node.name),
                       max(0.1, CONFIG_APPLY_S - (time.monotonic() - returned)))
        agreed = time.monotonic() - returned
        wait_until(lambda: {item["key"] for item in self.store.newest("keyed.nodes")["items"]} ==
                   {node.name for node in self.nodes}, message + ": all records are in the store", 2)
        statuses = [status for each in loops for status in each.end()]
        print("seed %d: %d steps, era %d, agreed after %.2f s, %d requests, %d answered with 200" % (
            self.seed, len(steps), self.store.era, agreed, len(statuses), statuses.count(200)), file=sys.stderr)
        self.assertNotIn(404, statuses, message)
        time.sleep(0.2)
        for node in self.nodes:
            for life in node.log().split("event=started")[1:]:
                versions = [int(line.split("version=")[1].split()[0]) for line in life.splitlines()
                            if "event=config_in_force" in line]
                self.assertEqual(versions, sorted(set(versions)), message)


if __name__ == "__main__":
    unittest.main(verbosity=2)
