"""Measures the calls to the store after it has come back from an older copy, with many gateway processes on loopback.

Run by hand: `python3 tests/process/store_reset_scale.py NODES [ROUTES]`. It reports figures and checks nothing.
"""

import collections
import pathlib
import re
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from gateway_standins import Store  # noqa: E402
from gateway_test import SERVICES, Node, wait_until  # noqa: E402

DATA_CENTRES = "abcdef"
OBSERVED_S = 5.0
# Nodes follow the store in their first 10 s; later, two of each data centre do.
SETTLING_S = 14.0


def version_times(nodes, version):
    """Returns the Unix times at which the nodes put a version in force."""
    pattern = re.compile(r"^time=(\S+) .*event=config_in_force version=%d " % version, re.MULTILINE)
    return [float(found.group(1)) for found in (pattern.search(node.log()) for node in nodes) if found]


def peak_per_second(times):
    return max((sum(start <= other < start + 1 for other in times) for start in times), default=0)


def main():
    count = int(sys.argv[1])
    routes = [("/r%d/" % number, "idempotent", "desk", 2)
              for number in range(int(sys.argv[2]) if len(sys.argv) > 2 else 1600)]
    store = Store()
    store.publish(5, routes, SERVICES)
    with tempfile.TemporaryDirectory() as folder:
        nodes = [Node(folder, number + 1, DATA_CENTRES[number % len(DATA_CENTRES)], "desk", store.address)
                 for number in range(count)]
        try:
            for node in nodes:
                node.start()
            wait_until(lambda: all(node.is_ready() for node in nodes), "all nodes are ready", 60)
            time.sleep(SETTLING_S)
            copied = time.monotonic()
            store.publish(9, routes[1:], SERVICES)
            wait_until(lambda: len(version_times(nodes, 9)) == count, "version 9 everywhere", 20)
            with store.condition:
                store.go_back(time.monotonic() - copied)
                kept = len(store.topics["keyed.nodes"])
                store.publish(9, routes[1:], SERVICES)
                store.publish(12, routes[2:], SERVICES)
                for number in range(20):
                    store.put("keyed.op", "other-%d" % number, b"{}")
            returned, returned_unix = time.monotonic(), time.time()
            time.sleep(OBSERVED_S)
            seen = [each for each in store.responses if returned <= each[0] < returned + OBSERVED_S]
            calls = collections.Counter(path for _, path, _, _ in seen)
            in_force = [when - returned_unix for when in version_times(nodes, 12)]
            rewritten = [when - returned for when in store.append_times["keyed.nodes"][kept:]]
            resets = [node.log().count("event=store_reset ") for node in nodes]
            print("nodes=%d calls=%s bytes=%d writes_per_s_peak=%d reads_per_s_peak=%d statuses=%s" % (
                count, dict(calls), sum(size for *_, size in seen),
                peak_per_second([when for when, path, *_ in seen if path == "/log-append"]),
                peak_per_second([when for when, path, *_ in seen if path != "/log-append"]),
                dict(collections.Counter(status for _, _, status, _ in seen))))
            print("  newest version in force at %d nodes, the last after %.2f s; %d records written again, the last "
                  "after %.2f s; resets noted by a node: %d to %d" % (
                      len(in_force), max(in_force, default=-1), len(rewritten), max(rewritten, default=-1),
                      min(resets), max(resets)))
        finally:
            for node in nodes:
                if node.process and node.process.poll() is None:
                    node.kill()


if __name__ == "__main__":
    main()
