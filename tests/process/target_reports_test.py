"""Tests of gateway processes on loopback that get unusual status reports."""

import json
import pathlib
import signal
import socket
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from gateway_standins import Target  # noqa: E402
from gateway_test import GatewayTest, wait_until  # noqa: E402


class GatewayTargetReports(GatewayTest):
    # Guards against an exception of the encoder of leaves, which ended the process with all requests in flight.
    def test_report_with_an_unreadable_id_ends_no_process_and_does_not_replace_the_target(self):
        node, target = self.nodes[0], self.targets[0]
        report = {"service": "desk", "address": target.address, "zone": "z", "version": "v1", "slots": 4,
                  "state": "draining", "cold_left_s": 0, "sequence": 4, "born": target.born + 1000}
        for call, state in (("heartbeat", "draining"), ("heartbeat", "ready"), ("deregister", "draining")):
            content = json.dumps(dict(report, state=state)).encode()
            with socket.create_connection(tuple(node.reports.split(":")), timeout=2) as connection:
                connection.sendall(b"POST /rpc?call=instances." + call.encode() + b"&of=i-\xff\xfe\x80 HTTP/1.1\r\n"
                                   b"Host: x\r\nContent-Length: %d\r\n\r\n" % len(content) + content)
                self.assertIn(b" 400 ", connection.recv(4096))
            self.assertIsNone(node.process.poll())
        self.assertEqual(node.call()[0], 200)
        self.assertNotIn("before=ready cause=new_instance", node.log())

    # Guards against a leave that binds each later start of a target whose clock shows the same time again.
    def test_target_that_starts_again_under_its_id_and_start_is_used_again(self):
        node, target = self.nodes[2], self.targets[2]
        for restarts_node in (False, True):
            target.state = "draining"
            self.assertTrue(target.report())
            self.assertTrue(target.deregister())
            target.crash()
            wait_until(lambda: self.nodes[0].call(path="/board/x")[0] == 503, "the leave is known")
            if restarts_node:
                node.signal(signal.SIGTERM)
                node.process.wait()
                node.start()
                wait_until(node.is_ready, node.name + " is ready")
            target = Target(node.ip, node.reports, "board", instance=target.instance, born=target.born)
            self.targets.append(target)
            for caller in self.nodes:
                wait_until(lambda: caller.call(path="/board/x")[0] == 200, caller.name + " uses the restarted target")


if __name__ == "__main__":
    unittest.main(verbosity=2)
