"""Process tests of gateways whose targets send broken answers: no caller gets one as an answer."""

import os
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from gateway_test import GatewayTest  # noqa: E402

CHUNKS = b"2\r\nok\r\n0\r\n\r\n"
# Each one is (version, names of the codings, body).
CODINGS = [("1.1", ["gzip"], b"coded"), ("1.1", ["gzip, chunked"], CHUNKS), ("1.1", ["chunked, gzip"], CHUNKS),
           ("1.1", ["gzip", "chunked"], CHUNKS), ("1.0", ["chunked"], CHUNKS)]
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


if __name__ == "__main__":
    unittest.main()
