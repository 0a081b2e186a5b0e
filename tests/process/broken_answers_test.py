"""Process tests of gateways whose targets send broken answers: no caller gets one as an answer."""

import contextlib
import os
import pathlib
import re
import sys
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from gateway_test import ROUTES, SERVICES, GatewayTest, wait_until  # noqa: E402

HEAD = b"HTTP/1.1 200 OK\r\nX-Kumquatdrift-Attempt-Id: ID\r\nX-Kumquatdrift-Response-Signature: sig\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# Each one is (start, bytes that repeat).
ENDLESS = [(b"", b"x"), (HEAD + b"A: ", b"x"), (HEAD, b"A: b\r\n"), (HEAD + b"\r\n", b"x"),
           (HEAD + b"Content-Length: 99999999999\r\n\r\n", b"x"), (CHUNKED, b"1\r\nx\r\n"), (CHUNKED + b"4;a=", b"x"),
           (CHUNKED + b"0\r\n", b"A: b\r\n"), (b"", b"HTTP/1.1 100 Continue\r\n\r\n")]
# Memory that the platform allows a process.
MEMORY_BYTES = 260 * 1024 * 1024
UPLOAD_BYTES = 3_000_000

CHUNKS = b"2\r\nok\r\n0\r\n\r\n"
# Each one is (version, names of the codings, body).
CODINGS = [("1.1", ["gzip"], b"coded"), ("1.1", ["gzip, chunked"], CHUNKS), ("1.1", ["chunked, gzip"], CHUNKS),
           ("1.1", ["gzip", "chunked"], CHUNKS), ("1.0", ["chunked"], CHUNKS)]
NAMES = [b"X Y: 1", b"X\tY: 1", b"X : 1", b"X\x01: 1", b"X\0Y: 1", b"X\x7f: 1", b"X\xff: 1", b": 1",
         b"Content-Length : 2", b"Transfer-Encoding : chunked"]
STATUSES = ["000", "001", "099", "600", "999"]


def answer(attempt, start=b"HTTP/1.1 200 OK", fields=(), body=b"ok", length=b"Content-Length: 2"):
    """Returns an answer that is broken only in what the arguments say."""
    lines = [start, b"X-Kumquatdrift-Attempt-Id: " + attempt.encode(), b"X-Kumquatdrift-Response-Signature: sig",
             *fields, *([length] if length else [])]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class GatewayBrokenAnswers(GatewayTest):
    """The target of the last node sends the answers; callers are at its own node and at another one."""

    def assert_no_answer(self, make_answer, reset=False):
        """Sends a request to each of two nodes; the target answers with the bytes that `make_answer` returns."""
        for node in (self.nodes[2], self.nodes[0]):
            self.targets[2].on_request = lambda handler, attempt: handler.send_raw(make_answer(attempt), reset) or True
            attempt = os.urandom(8).hex()
            status, body, fields = node.call("GET", "/board/x", attempt)
            self.assertEqual((status, body), (502, b""), node.name)
            self.assertNotIn("X-Kumquatdrift-Response-Signature", fields)
            self.assertEqual(self.executions(attempt), 1)
            # A success in between keeps the target from being ejected.
            self.targets[2].on_request = None
            self.assertEqual(node.call("GET", "/board/x")[0], 200)

    def test_answer_with_an_invalid_status_leads_to_502(self):
        for status in STATUSES:
            with self.subTest(status):
                self.assert_no_answer(lambda attempt: answer(attempt, start=b"HTTP/1.1 %s OK" % status.encode()))

    def test_answer_with_an_unsupported_transfer_coding_leads_to_502(self):
        for version, codings, body in CODINGS:
            with self.subTest((version, codings)):
                self.assert_no_answer(lambda attempt: answer(
                    attempt, start=b"HTTP/%s 200 OK" % version.encode(), body=body, length=None,
                    fields=[b"Transfer-Encoding: " + coding.encode() for coding in codings]))

    def test_answer_with_ids_of_two_requests_leads_to_502(self):
        other = b"X-Kumquatdrift-Attempt-Id: another"
        self.assert_no_answer(lambda attempt: answer(attempt, fields=[other]))
        self.assert_no_answer(lambda attempt: answer(attempt, start=b"HTTP/1.1 200 OK\r\n" + other))

    def test_answer_with_an_invalid_field_name_leads_to_502(self):
        for name in NAMES:
            for length in (b"Content-Length: 2", None):
                with self.subTest((name, length)):
                    self.assert_no_answer(lambda attempt: answer(attempt, fields=[name], length=length))

    def test_answer_that_ends_in_its_head_leads_to_502(self):
        whole = len(answer("0" * 16, body=b""))
        for size in (5, 9, 15, 17, 25, 60, whole - 10, whole - 4, whole - 2, whole - 1):
            for reset in (False, True):
                with self.subTest((size, reset)):
                    self.assert_no_answer(lambda attempt: answer(attempt, body=b"")[:size], reset)

    def test_answer_that_ends_in_its_body_leads_to_502(self):
        for fields, body in (([b"Content-Length: 3"], b"ok"), ([b"Transfer-Encoding: chunked"], b"2\r\nok\r\n")):
            for reset in (False, True):
                with self.subTest((fields, reset)):
                    self.assert_no_answer(lambda attempt: answer(attempt, fields=fields, body=body, length=None), reset)
        self.assert_no_answer(lambda attempt: answer(attempt, length=None), reset=True)

    def test_body_without_a_length_that_ends_orderly_is_passed_on(self):
        self.targets[2].on_request = lambda handler, attempt: handler.send_raw(answer(attempt, length=None)) or True
        for node in (self.nodes[2], self.nodes[0]):
            self.assertEqual(node.call("GET", "/board/x")[:2], (200, b"ok"))

    def test_part_of_an_answer_to_an_upload_before_a_reset_leads_to_502(self):
        body = b"x" * UPLOAD_BYTES
        self.store.publish(9, [*ROUTES, ("/scans/", "upload", "board", 5)], SERVICES, max_body_bytes=UPLOAD_BYTES)
        for node in self.nodes:
            wait_until(lambda: "config_in_force version=9" in node.log(), node.name + " has the new version")
        for delay in (0, 0.001, 0.01, 0.1):
            for read in (0, 50_000):
                def answer_early(handler, attempt):
                    handler.rfile.read(read)
                    handler.connection.sendall(answer(attempt, length=None, body=b"part"))
                    time.sleep(delay)
                    handler.send_raw(b"", reset=True)
                    return True

                for node in (self.nodes[2], self.nodes[0]):
                    with self.subTest((delay, read, node.name)):
                        self.targets[2].on_head = answer_early
                        self.assertEqual(node.call("POST", "/scans/x", body=body, deadline_ms=5000)[:2], (502, b""))
                        self.targets[2].on_head = None
                        self.assertEqual(node.call("GET", "/board/x")[0], 200)

    def test_endless_answers_end_no_process(self):
        def call(node, answers):
            answers.append(node.call("GET", "/board/x", deadline_ms=3000)[0])

        for start, repeated in ENDLESS:
            def answer_without_end(handler, attempt):
                handler.close_connection = True
                handler.connection.settimeout(5)
                block = repeated * (65536 // len(repeated))
                with contextlib.suppress(OSError):
                    handler.connection.sendall(start.replace(b"ID", attempt.encode()))
                    while True:
                        handler.connection.sendall(block)
                return True

            with self.subTest((start, repeated)):
                self.targets[2].on_head = answer_without_end
                answers = []
                callers = [threading.Thread(target=call, args=(node, answers)) for node in self.nodes for _ in range(4)]
                for thread in callers:
                    thread.start()
                for thread in callers:
                    thread.join()
                self.assertEqual(len(answers), len(callers))
                self.assertIn(502, answers)
                self.assertLessEqual(set(answers), {502, 503, 504})
        for node in self.nodes:
            self.assertIsNone(node.process.poll())
            peak = re.search(r"VmHWM:\s+(\d+)", pathlib.Path("/proc/%d/status" % node.process.pid).read_text())
            self.assertLess(int(peak.group(1)) * 1024, MEMORY_BYTES)


if __name__ == "__main__":
    unittest.main()
