"""Process tests that each form of a proper request that HTTP/1.1 allows is served, on new and on kept connections."""

import os
import pathlib
import socket
import sys
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from gateway_test import GatewayTest  # noqa: E402

# Each form is (name, request line and fields, body).
CHUNKED = b"3\r\nabc\r\n2;name=value\r\nde\r\n0\r\n\r\n"
TRAILED = b"5\r\nabcde\r\n0\r\nX-Trailer: 1\r\n\r\n"
FORMS = [
    ("host with port", "GET /read/x HTTP/1.1\r\nHost: desk.example:80\r\n", b""),
    ("host in capitals", "GET /read/x HTTP/1.1\r\nHost: DESK.Example\r\n", b""),
    ("names in small letters", "GET /read/x HTTP/1.1\r\nhost: desk.example\r\n", b""),
    ("names in capitals", "GET /read/x HTTP/1.1\r\nHOST: desk.example\r\n", b""),
    ("no space after the colon", "GET /read/x HTTP/1.1\r\nHost:desk.example\r\n", b""),
    ("spaces around the value", "GET /read/x HTTP/1.1\r\nHost: \t desk.example \t\r\n", b""),
    ("target with authority", "GET http://desk.example/read/x HTTP/1.1\r\nHost: desk.example\r\n", b""),
    ("query", "GET /read/x?a=b&c=%20d HTTP/1.1\r\nHost: desk.example\r\n", b""),
    ("escaped path", "GET /read/a%2Fb%20c HTTP/1.1\r\nHost: desk.example\r\n", b""),
    ("HTTP/1.0", "GET /read/x HTTP/1.0\r\nHost: desk.example\r\nConnection: keep-alive\r\n", b""),
    ("body with a length", "POST /book/x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 5\r\n", b"abcde"),
    ("empty body", "POST /book/x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 0\r\n", b""),
    ("no body and no length", "POST /book/x HTTP/1.1\r\nHost: desk.example\r\n", b""),
    ("chunks", "POST /book/x HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n", CHUNKED),
    ("coding in capitals", "POST /book/x HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: Chunked\r\n", CHUNKED),
    ("trailer", "POST /book/x HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n", TRAILED),
    ("expectation", "POST /book/x HTTP/1.1\r\nHost: desk.example\r\nExpect: 100-continue\r\nContent-Length: 5\r\n", b"abcde"),
    ("many fields", "GET /read/x HTTP/1.1\r\nHost: desk.example\r\n" + "X-Field: value\r\n" * 80, b""),
]


def read_status(stream):
    """Reads a response and returns its status; skips interim ones."""
    while True:
        status = int(stream.readline().split()[1])
        length = 0
        while (line := stream.readline().strip()):
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                length = int(value)
        stream.read(length)
        if status >= 200:
            return status


class GatewayRequestForms(GatewayTest):
    def connect(self):
        connection = socket.create_connection((self.nodes[0].ip, self.nodes[0].callers), timeout=5)
        self.addCleanup(connection.close)
        return connection, connection.makefile("rb")

    @staticmethod
    def encode(head, body):
        fields = "X-Kumquatdrift-Attempt-Id: %s\r\nX-Kumquatdrift-Deadline-Ms: 2000\r\n\r\n" % os.urandom(8).hex()
        return (head + fields).encode() + body

    def test_each_form_is_served_on_a_new_connection(self):
        for name, head, body in FORMS:
            with self.subTest(name):
                connection, stream = self.connect()
                connection.sendall(self.encode(head, body))
                self.assertEqual(read_status(stream), 200)

    def test_each_form_is_served_on_one_connection_in_small_segments(self):
        connection, stream = self.connect()
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for name, head, body in FORMS:
            if name == "HTTP/1.0":
                continue
            with self.subTest(name):
                message = self.encode(head, body)
                for begin in range(0, len(message), 7 if len(message) < 1000 else 500):
                    connection.sendall(message[begin:begin + (7 if len(message) < 1000 else 500)])
                    time.sleep(0.001)
                self.assertEqual(read_status(stream), 200)


if __name__ == "__main__":
    unittest.main()
