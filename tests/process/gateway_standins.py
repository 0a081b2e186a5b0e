"""Stand-ins of the users' platform on loopback: its store, and targets that report to their node."""

import base64
import collections
import http.server
import json
import socket
import struct
import threading
import time
import urllib.parse
import urllib.request


class quiet_handler(http.server.BaseHTTPRequestHandler):
    """Handler without access log, with kept connections."""

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


class threaded_server(http.server.ThreadingHTTPServer):
    """Server on a free port of an address, in threads of its own."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def __init__(self, address, handler):
        super().__init__(address, handler)
        self.thread = threading.Thread(target=self.serve_forever, kwargs={"poll_interval": 0.02}, daemon=True)
        self.thread.start()

    def handle_error(self, *_):
        pass  # A node that is killed resets its connections.


class store:
    """Keyed topics of the store, as far as the gateway uses them."""

    def __init__(self, ip="127.0.0.1", port=0):
        self.condition = threading.Condition()
        self.topics = collections.defaultdict(list)
        self.calls = collections.Counter()
        self.turned_away = set()
        self.down = False
        owner = self

        class handler(quiet_handler):
            def refused(self):
                if owner.down or self.client_address[0] in owner.turned_away:
                    self.reply(503)
                    return True
                return False

            def do_GET(self):
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query))
                owner.calls[url.path] += 1
                if self.refused():
                    return
                if url.path == "/log-newest":
                    self.reply(200, json.dumps(owner.newest(query["topic"])).encode())
                else:
                    self.reply(200, owner.read(query["topic"], int(query["from"]), int(query.get("wait_ms", 0))))

            def do_POST(self):
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query))
                body = self.rfile.read(int(self.headers["Content-Length"]))
                owner.calls[url.path] += 1
                if self.refused():
                    return
                while body:
                    size = struct.unpack(">I", body[:4])[0]
                    owner.append(query["topic"], body[4:4 + size])
                    body = body[4 + size:]
                self.reply(200, b"{}")

        self.server = threaded_server((ip, port), handler)
        self.address = "%s:%d" % self.server.server_address

    def append(self, topic, content):
        with self.condition:
            self.topics[topic].append(content)
            self.condition.notify_all()

    def put(self, topic, key, value):
        self.append(topic, bytes([len(key)]) + key.encode() + value)

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
        end = time.monotonic() + wait_ms / 1000
        with self.condition:
            while len(self.topics[topic]) <= start and time.monotonic() < end:
                self.condition.wait(end - time.monotonic())
            records = self.topics[topic]
            return struct.pack(">QQ", len(records), 0) + b"".join(
                struct.pack(">I", len(content)) + content for content in records[start:])

    def publish(self, version, routes, services):
        """Writes a configuration: routes are (path, kind, service, timeout in seconds)."""
        self.put("keyed.op", "config", json.dumps({
            "version": "%08x" % version,
            "services": [{"name": name, "health_path": "/health", "max_connections": 100} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000000, "header_timeout_s": 3, "idle_timeout_s": 15},
            "virtual_hosts": [{"host": "desk.example", "paths": [
                {"name": path, "path_prefix": path, "kind": kind, "service": service, "timeout_s": timeout,
                 "target_latency_s": timeout, "priority": 1, "max_attempts": 2}
                for path, kind, service, timeout in routes]}]}).encode())


class target:
    """A target that reports to the node on its host. `behaviour` decides how it answers."""

    def __init__(self, ip, control, service, slots=4):
        self.instance = "i-%s-%d" % (ip, time.monotonic_ns())
        self.control = control
        self.service = service
        self.slots = slots
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.runs = []
        self.stops = []
        self.most_at_once = 0
        self.running = 0
        self.lock = threading.Lock()
        self.behaviour = None
        self.state = "ready"
        self.alive = True
        owner = self

        class handler(quiet_handler):
            def serve(self):
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
                    owner.runs.append((attempt, time.monotonic(), self.headers["X-Kumquatdrift-Caller-Service"], body))
                    owner.running += 1
                    owner.most_at_once = max(owner.most_at_once, owner.running)
                try:
                    if owner.behaviour and owner.behaviour(self, attempt):
                        return
                    self.answer(attempt, b"done " + body)
                finally:
                    with owner.lock:
                        owner.running -= 1

            def answer(self, attempt, body):
                self.reply(200, body, [("X-Kumquatdrift-Attempt-Id", attempt),
                                       ("X-Kumquatdrift-Response-Signature", "sig")])

            do_GET = do_POST = serve

        self.server = threaded_server((ip, 0), handler)
        self.address = "%s:%d" % self.server.server_address
        self.reporter = threading.Thread(target=self.report_on, daemon=True)
        self.reporter.start()

    def report(self):
        """Sends one report; true if it was acknowledged."""
        self.sequence += 1
        return self.tell("heartbeat", {
            "service": self.service, "address": self.address, "zone": "z", "version": "v1", "slots": self.slots,
            "state": self.state, "cold_left_s": 0, "sequence": self.sequence, "born": self.born})

    def leave(self):
        return self.tell("deregister", {})

    def tell(self, call, body):
        request = urllib.request.Request(
            "http://%s/rpc?call=instances.%s&of=%s" % (self.control, call, self.instance),
            json.dumps(body).encode(), {"Content-Type": "application/json"}, method="POST")
        try:
            with urllib.request.urlopen(request, timeout=1) as answer:
                return answer.status == 200
        except OSError:
            return False

    def report_on(self):
        while self.alive:
            if self.state == "ready":
                self.report()
            time.sleep(0.3)

    def crash(self):
        self.alive = False
        self.server.shutdown()
        self.server.server_close()
