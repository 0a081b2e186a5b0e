"""Test doubles of the platform on loopback: its keyed store, and targets that report to the node on their host."""

import base64
import collections
import http.server
import json
import os
import socket
import struct
import threading
import time
import urllib.parse
import urllib.request


class QuietHandler(http.server.BaseHTTPRequestHandler):
    """HTTP handler with keep-alive connections and without an access log."""

    protocol_version = "HTTP/1.1"

    def setup(self):
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def log_message(self, *_):
        pass

    def reply(self, status, body=b"", fields=()):
        self.send_response(status)
        for name, value in fields:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class ThreadedServer(http.server.ThreadingHTTPServer):
    """HTTP server that handles each connection in a thread; port 0 selects a free port."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def __init__(self, address, handler):
        super().__init__(address, handler)
        self.thread = threading.Thread(target=self.serve_forever, kwargs={"poll_interval": 0.02}, daemon=True)
        self.thread.start()

    def handle_error(self, *_):
        pass  # Connections are reset whenever a test kills a node.


class Store:
    """The keyed topics of the store, with the calls that the gateway uses.

    `go_back` makes it the copy of some seconds ago, with a higher era.
    """

    def __init__(self, ip="127.0.0.1", port=0):
        self.condition = threading.Condition()
        self.topics = collections.defaultdict(list)
        self.append_times = collections.defaultdict(list)
        self.era = 1
        self.responses = []  # (time, path, status, bytes of the body)
        self.calls = collections.Counter()
        self.rejected_ips = set()
        self.is_down = False
        self.silenced_at = 0.0
        owner = self

        class Handler(QuietHandler):
            def setup(self):
                super().setup()
                self.opened = time.monotonic()

            def reply(self, status, body=b"", fields=()):
                if self.opened < owner.silenced_at:
                    self.close_connection = True
                    threading.Event().wait()  # Leaves the connection open, without an answer.
                owner.responses.append((time.monotonic(), urllib.parse.urlsplit(self.path).path, status, len(body)))
                super().reply(status, body, [*fields, ("Store-Era", str(owner.era))])

            def reject_if_unavailable(self):
                if owner.is_down or self.client_address[0] in owner.rejected_ips:
                    self.reply(503)
                    return True
                return False

            def do_GET(self):
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query))
                owner.calls[url.path] += 1
                if self.reject_if_unavailable():
                    return
                if url.path == "/log-newest":
                    self.reply(200, json.dumps(owner.newest(query["topic"])).encode())
                else:
                    status, body = owner.read(query["topic"], int(query["from"]), int(query.get("wait_ms", 0)))
                    if status:
                        self.reply(status, body)
                    else:
                        self.close_connection = True

            def do_POST(self):
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query))
                body = self.rfile.read(int(self.headers["Content-Length"]))
                owner.calls[url.path] += 1
                if self.reject_if_unavailable():
                    return
                with owner.condition:
                    end = len(owner.topics[query["topic"]])
                    matches = int(query.get("at", end)) == end
                    while matches and body:
                        size = struct.unpack(">I", body[:4])[0]
                        owner.append(query["topic"], body[4:4 + size])
                        body = body[4 + size:]
                self.reply(200 if matches else 412, json.dumps({"end": end}).encode())

        self.server = ThreadedServer((ip, port), Handler)
        self.address = "%s:%d" % self.server.server_address

    def append(self, topic, content):
        with self.condition:
            self.topics[topic].append(content)
            self.append_times[topic].append(time.monotonic())
            self.condition.notify_all()

    def put(self, topic, key, value):
        self.append(topic, bytes([len(key)]) + key.encode() + value)

    def go_back(self, seconds):
        """Drops what was appended in the last `seconds`, raises the era and closes connections with a pending read."""
        with self.condition:
            self.era += 1
            for topic, times in self.append_times.items():
                kept = sum(when < time.monotonic() - seconds for when in times)
                del times[kept:], self.topics[topic][kept:]
            self.condition.notify_all()

    def silence_open_connections(self):
        """Answers nothing more on the connections that are open now, and closes none of them. New ones work."""
        self.silenced_at = time.monotonic()

    def newest(self, topic):
        with self.condition:
            items = {}
            for offset, content in enumerate(self.topics[topic]):
                size = content[0]
                items[content[1:1 + size].decode()] = (content[1 + size:], offset)
            return {"items": [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                              for key, (value, offset) in items.items()],
                    "has_more": False, "end": len(self.topics[topic])}

    def read(self, topic, start, wait_ms):
        """Returns status and body of the response; status 0 if the connection is to be closed instead."""
        end = time.monotonic() + wait_ms / 1000
        with self.condition:
            era = self.era
            if start > len(self.topics[topic]):
                return 410, b'{"first":0}'
            while len(self.topics[topic]) <= start and time.monotonic() < end and self.era == era:
                self.condition.wait(end - time.monotonic())
            if self.era != era:
                return 0, b""
            records = self.topics[topic]
            return 200, struct.pack(">QQ", len(records), 0) + b"".join(
                struct.pack(">I", len(content)) + content for content in records[start:])

    def publish(self, version, routes, services, max_body_bytes=1000000, idle_timeout_s=15, keys=None, anonymous=()):
        """Publishes a configuration; each route is (path, kind, service, timeout in seconds).

        `keys` holds the keys of each client account by its name; `anonymous` has the paths that need none.
        """
        self.put("keyed.op", "config", json.dumps({
            "version": "%08x" % version,
            "services": [{"name": name, "health_path": "/health", "max_connections": 100} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": max_body_bytes, "header_timeout_s": 3,
                       "idle_timeout_s": idle_timeout_s},
            "tenants": [{"name": name, "api_keys": own} for name, own in (keys or {}).items()],
            "virtual_hosts": [{"host": "desk.example", "paths": [
                {"name": path, "path_prefix": path, "kind": kind, "service": service, "timeout_s": timeout,
                 "target_latency_s": timeout, "priority": 1, "max_attempts": 2, "allow_anonymous": path in anonymous}
                for path, kind, service, timeout in routes]}]}).encode())


class Target:
    """A target that sends heartbeats to the node on its host.

    `on_request(handler, attempt)` runs before the default response; it returns True if it has handled the request.
    `on_head(handler, attempt)` does the same before the body is read.
    """

    on_request = None
    on_head = None

    def __init__(self, ip, reports_address, service, slots=4, version="v1", instance=None, born=None):
        self.instance = instance or "i-%s-%d" % (ip, time.monotonic_ns())
        self.reports_address = reports_address
        self.service = service
        self.version = version
        self.slots = slots
        self.sequence = 0
        self.born = born or int(time.time() * 1000)
        self.executions = []
        self.max_concurrency = 0
        self.in_flight = 0
        self.lock = threading.Lock()
        self.state = "ready"
        self.notice = []  # Further header fields of each response, as (name, value).
        self.is_running = True
        owner = self

        class Handler(QuietHandler):
            def serve(self):
                if owner.on_head and owner.on_head(self, self.headers["X-Kumquatdrift-Attempt-Id"]):
                    return
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                if self.path == "/health":
                    self.reply(200 if owner.state == "ready" else 503, b"",
                               [("X-Kumquatdrift-Instance-Id", owner.instance),
                                ("X-Kumquatdrift-Server-Load", "0,0,%d" % owner.slots)])
                    return
                attempt = self.headers["X-Kumquatdrift-Attempt-Id"]
                if self.headers.get("X-Kumquatdrift-Expect-Instance", owner.instance) != owner.instance:
                    self.reply(421)
                    return
                with owner.lock:
                    owner.executions.append(
                        (attempt, time.monotonic(), self.headers["X-Kumquatdrift-Caller-Service"], body))
                    owner.in_flight += 1
                    owner.max_concurrency = max(owner.max_concurrency, owner.in_flight)
                try:
                    if owner.on_request and owner.on_request(self, attempt):
                        return
                    self.respond(attempt, b"done " + body)
                finally:
                    with owner.lock:
                        owner.in_flight -= 1

            def send_raw(self, content, reset=False):
                """Sends bytes and ends the connection, orderly or with a reset."""
                self.close_connection = True
                try:
                    self.connection.sendall(content)
                    if reset:
                        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                        os.close(self.connection.detach())
                except OSError:
                    pass  # The node has closed the connection.

            def respond(self, attempt, body):
                self.reply(200, body, [("X-Kumquatdrift-Attempt-Id", attempt),
                                       ("X-Kumquatdrift-Response-Signature", "sig"), *owner.notice])

            do_GET = do_POST = serve

        self.server = ThreadedServer((ip, 0), Handler)
        self.address = "%s:%d" % self.server.server_address
        self.report_thread = threading.Thread(target=self.report_periodically, daemon=True)
        self.report_thread.start()

    def report(self):
        """Sends a heartbeat and returns whether the node acknowledged it."""
        self.sequence += 1
        return self.call_node("heartbeat", {
            "service": self.service, "address": self.address, "zone": "z", "version": self.version, "slots": self.slots,
            "state": self.state, "cold_left_s": 0, "sequence": self.sequence, "born": self.born})

    def deregister(self):
        """Deregisters the instance and returns whether the node acknowledged it."""
        return self.call_node("deregister", {})

    def call_node(self, call, body):
        request = urllib.request.Request(
            "http://%s/rpc?call=instances.%s&of=%s" % (self.reports_address, call, self.instance),
            json.dumps(body).encode(), {"Content-Type": "application/json"}, method="POST")
        try:
            with urllib.request.urlopen(request, timeout=1) as response:
                return response.status == 200
        except OSError:
            return False

    def report_periodically(self):
        while self.is_running:
            if self.state == "ready":
                self.report()
            time.sleep(0.3)

    def crash(self):
        self.is_running = False
        self.server.shutdown()
        self.server.server_close()


def encode_varint(number):
    encoded = bytearray()
    while number > 0x7f:
        encoded.append(number & 0x7f | 0x80)
        number >>= 7
    return bytes(encoded + bytes([number]))


def encode_message(fields):
    """Encodes a protobuf message of (number, value) pairs; a value is an integer, or bytes."""
    encoded = b""
    for number, value in fields:
        if isinstance(value, bytes):
            encoded += encode_varint(number << 3 | 2) + encode_varint(len(value)) + value
        else:
            encoded += encode_varint(number << 3) + encode_varint(value)
    return encoded


def decode_bytes_fields(message):
    """Returns the fields of a protobuf message that contain bytes or a message, as (number, value) pairs."""
    fields = []
    position = 0

    def read_varint():
        nonlocal position
        number = shift = 0
        while True:
            byte = message[position]
            position += 1
            number |= (byte & 0x7f) << shift
            shift += 7
            if byte < 0x80:
                return number

    while position < len(message):
        tag = read_varint()
        if tag & 7 == 0:
            read_varint()
        elif tag & 7 == 2:
            size = read_varint()
            fields.append((tag >> 3, message[position:position + size]))
            position += size
        else:
            position += 8 if tag & 7 == 1 else 4
    return fields


class FakePeer:
    """A node that links to another one and answers its pings, but sends no configuration.

    The numbers of the fields are those of `proto/hop.proto`.
    """

    HELLO, PING, PONG = 1, 7, 8

    def __init__(self, name, ip, config_version, node_address):
        self.sockets = [socket.create_server((ip, 0))]
        member = encode_message([
            (1, name.encode()), (2, b"a"), (3, ip.encode()), (4, self.sockets[0].getsockname()[1]),
            (5, int(time.time() * 1000)), (6, 1), (12, config_version)])
        self.hello = encode_message([(self.HELLO, encode_message([(1, member)]))])
        threading.Thread(target=self.accept, daemon=True).start()
        host, port = node_address.split(":")
        self.serve(socket.create_connection((host, int(port))))

    def accept(self):
        try:
            while True:
                self.serve(self.sockets[0].accept()[0])
        except OSError:
            pass  # The listening socket was closed.

    def serve(self, connection):
        self.sockets.append(connection)
        self.send(connection, self.hello)
        threading.Thread(target=self.answer_pings, args=(connection,), daemon=True).start()

    @staticmethod
    def send(connection, frame):
        connection.sendall(struct.pack(">I", len(frame)) + frame)

    def answer_pings(self, connection):
        try:
            with connection.makefile("rb") as stream:
                while prefix := stream.read(4):
                    for number, value in decode_bytes_fields(stream.read(struct.unpack(">I", prefix)[0])):
                        if number == self.PING:
                            self.send(connection, encode_message([(self.PONG, value)]))
        except OSError:
            pass  # The connection was closed.

    def close(self):
        for each in self.sockets:
            try:
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # Already disconnected.
            each.close()
