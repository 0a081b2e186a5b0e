"""Stand-ins for the review cases 6 to 10: the platform's store, back ends, clients, and the start of gateways.

All run in one event loop, on loopback addresses. The gateways are separate processes, started with the command and the
settings template of the deploy file.
"""

import asyncio
import base64
import collections
import itertools
import json
import os
import pathlib
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "desk.example"
_network = "127.%d.%d" % (random.randrange(20, 250), random.randrange(1, 250))
_numbers = itertools.count(2)


def new_ip():
    return "%s.%d" % (_network, next(_numbers))


def free_ports(ip, count):
    bound = [socket.socket() for _ in range(count)]
    for each in bound:
        each.bind((ip, 0))
    ports = [each.getsockname()[1] for each in bound]
    for each in bound:
        each.close()
    return ports


class Record:
    """The file `record.txt` of a case: one line for each event, with the seconds since the start."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / "record.txt"
        self.output = open(self.path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, event, **fields):
        text = " ".join("%s=%s" % item for item in fields.items())
        self.output.write("%8.3f %s %s\n" % (self.now(), event, text))
        self.output.flush()


async def read_head(reader):
    """Returns the start line and the fields (names in lower case) of a message, or None at the end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    start, *lines = head.split("\r\n")[:-2]
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return start, fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(fields.get("content-length", 0)))


def message(status, fields=(), body=b""):
    lines = ["HTTP/1.1 %d X" % status, *("%s: %s" % field for field in fields), "Content-Length: %d" % len(body)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset(writer):
    """Ends a connection with a reset."""
    raw = writer.get_extra_info("socket")
    if raw is not None and raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Store:
    """The keyed topics of the platform's store. Topics in `down` answer 503; `era` is not stated."""

    def __init__(self):
        self.topics = collections.defaultdict(list)
        self.down = set()
        self.changed = asyncio.Condition()
        self.calls = collections.Counter()

    async def start(self):
        ip = new_ip()
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 22)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                method, target, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                topic = query.get("topic", "")
                self.calls[url.path + " " + topic] += 1
                await asyncio.sleep(0.004)
                status, answer = await self.answer(url.path, topic, query, body)
                writer.write(message(status, [("Content-Type", "application/json")], answer))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, path, topic, query, body):
        if topic in self.down:
            return 503, b"{}"
        records = self.topics[topic]
        if path == "/log-newest":
            items = {}
            for offset, content in enumerate(records):
                items[content[1:1 + content[0]].decode()] = (content[1 + content[0]:], offset)
            return 200, json.dumps({"items": [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in items.items() if value], "has_more": False, "end": len(records)}).encode()
        if path == "/log-read":
            start, end = int(query["from"]), time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            async with self.changed:
                while len(records) <= start and topic not in self.down and (left := end - time.monotonic()) > 0:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        break
            if topic in self.down:
                return 503, b"{}"
            return 200, struct.pack(">QQ", len(records), 0) + b"".join(
                struct.pack(">I", len(content)) + content for content in records[start:])
        if path == "/log-append":
            if "at" in query and int(query["at"]) != len(records):
                return 412, json.dumps({"end": len(records)}).encode()
            offset = len(records)
            while body:
                size = struct.unpack(">I", body[:4])[0]
                records.append(body[4:4 + size])
                body = body[4 + size:]
            await self.notify()
            return 200, json.dumps({"offset": offset, "end": len(records)}).encode()
        return 404, b"{}"

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def set_down(self, topics):
        self.down = set(topics)
        await self.notify()

    async def publish(self, version, services, routes, tenants=(), max_body_bytes=67108864):
        """Publishes a configuration. A route is a dict with the members that the platform's pages name."""
        defaults = {"priority": 1, "max_attempts": 2, "allow_anonymous": False}
        document = {
            "version": "%08x" % version,
            "services": [{"name": name, "health_path": "/health", "max_connections": 450, "protocol": "h1",
                          "tls": False} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": max_body_bytes, "header_timeout_s": 3,
                       "idle_timeout_s": 15},
            "virtual_hosts": [{"host": HOST, "paths": [
                {**defaults, "name": "r%d" % number, **route} for number, route in enumerate(routes)]}]}
        if tenants:
            document["tenants"] = list(tenants)
        key, value = b"config", json.dumps(document).encode()
        self.topics["keyed.op"].append(bytes([len(key)]) + key + value)
        await self.notify()


_instances = itertools.count(1)


class Backend:
    """A sound back end: slots, a short queue, heartbeats, and what the platform's pages ask of each answer."""

    def __init__(self, record, node, service, slots, work_s, on_run=None):
        self.record, self.node, self.service, self.slots, self.work_s = record, node, service, slots, work_s
        self.instance = "i-%04d%04x" % (next(_instances), random.randrange(1 << 16))
        self.on_run = on_run
        self.free = asyncio.Semaphore(slots)
        self.waiting = 0
        self.running = 0
        self.sequence = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.writers = {}
        self.silent = False
        self.runs = []  # (time, attempt id, method, target, fields)
        self.tasks = []

    async def start(self, heartbeats=True):
        ip, port = self.node.app_addr.split(":")
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setblocking(False)
        self.listener.bind((ip, int(port)))
        self.listener.listen(256)
        self.accepting = asyncio.create_task(self.accept())
        if heartbeats:
            self.tasks.append(asyncio.create_task(self.beat_periodically()))
        return self

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self.listener)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            reader = asyncio.StreamReader(limit=1 << 26)
            await loop.connect_accepted_socket(
                lambda reader=reader: asyncio.StreamReaderProtocol(reader, self.serve), connection)

    async def beat_periodically(self):
        while True:
            await self.beat()
            await asyncio.sleep(1.5)

    async def beat(self):
        self.sequence += 1
        body = {"service": self.service, "address": self.node.app_addr, "zone": self.node.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "cold_left_s": 0, "sequence": self.sequence,
                "born": self.born}
        status = await self.call_node("heartbeat", body)
        self.record.write("beat", instance=self.instance, service=self.service, state=self.state, status=status)
        return status

    async def deregister(self):
        status = await self.call_node("deregister", {})
        self.record.write("deregister", instance=self.instance, status=status)
        return status

    async def call_node(self, call, body):
        text = json.dumps(body)
        try:
            ip, port = self.node.control.split(":")
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
            writer.write(("POST /rpc?call=instances.%s&of=%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
                          "Content-Length: %d\r\n\r\n%s" % (call, self.instance, ip, len(text), text)).encode())
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return int(head[0].split()[1]) if head else 0
        except (OSError, asyncio.TimeoutError):
            return 0

    def load(self):
        return "%d,%d,%d" % (self.running, self.waiting, self.slots)

    async def serve(self, reader, writer):
        connection = object()
        self.writers[connection] = writer
        try:
            while head := await read_head(reader):
                if self.silent:
                    await asyncio.Event().wait()
                method, target, _ = head[0].split(" ")
                fields = head[1]
                body = await read_body(reader, fields)
                if target == "/health":
                    healthy = self.state == "ready"
                    writer.write(message(200 if healthy else 503, [("X-Kumquatdrift-Instance-Id", self.instance),
                                                                    ("X-Kumquatdrift-Server-Load", self.load())]))
                    continue
                await self.handle(reader, writer, method, target, fields, body)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            if not self.silent:
                writer.close()
            self.writers.pop(connection, None)

    async def handle(self, reader, writer, method, target, fields, body):
        attempt = fields.get("x-kumquatdrift-attempt-id")
        echo = [("X-Kumquatdrift-Attempt-Id", attempt), ("X-Kumquatdrift-Server-Load", self.load())]
        expected = fields.get("x-kumquatdrift-expect-instance", self.instance)
        if expected != self.instance:
            self.record.write("misdirected", instance=self.instance, expected=expected, id=attempt)
            writer.write(message(421, [*echo, ("X-Kumquatdrift-Instance-Id", self.instance)]))
            return
        if attempt is None or self.waiting >= 4 * self.slots:
            writer.write(message(503 if attempt else 400, [*echo[1:], ("X-Kumquatdrift-Not-Executed", "1")]))
            return
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.runs.append((time.monotonic(), attempt, method, target, fields, body))
            self.record.write("run", service=self.service, instance=self.instance, id=attempt, target=target,
                              tenant=fields.get("x-kumquatdrift-tenant", "-"))
            if self.on_run and await self.on_run(self, attempt, target):
                return
            await asyncio.sleep(self.work_s)
            if self.silent:
                await asyncio.Event().wait()
            writer.write(message(200, [("X-Kumquatdrift-Attempt-Id", attempt),
                                       ("X-Kumquatdrift-Server-Load", self.load()),
                                       ("X-Kumquatdrift-Response-Signature", "sig." + self.instance)],
                                 getattr(self, "body", b"answer of " + self.service.encode())))
            await writer.drain()
        finally:
            self.running -= 1
            self.free.release()

    def fall_silent(self):
        """Stops all answers and heartbeats, and closes nothing. New connections hang, too, as on a dark machine: the
        queue of connections that wait to be accepted is full."""
        self.silent = True
        self.accepting.cancel()
        for task in self.tasks:
            task.cancel()
        self.listener.listen(0)
        self.filling = [socket.socket() for _ in range(4)]
        for each in self.filling:
            each.setblocking(False)
            each.connect_ex(self.listener.getsockname())
        self.record.write("silent", instance=self.instance, service=self.service)

    def give_up_address(self):
        self.listener.close()
        for each in getattr(self, "filling", []):
            each.close()

    def reset_connections(self):
        for writer in list(self.writers.values()):
            reset(writer)

    def crash(self):
        """Ends at once, as a process that crashes: no further heartbeat, each connection is reset."""
        self.accepting.cancel()
        self.listener.close()
        for task in self.tasks:
            task.cancel()
        self.reset_connections()
        self.record.write("crash", instance=self.instance, service=self.service)


def fill(template, fields):
    """Fills the placeholders that `deploy/settings.json` uses."""
    def value_of(found):
        name, _, form = found.group(1).partition("|")
        value = fields
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return json.dumps(value) if form == "json" else "" if value is None else str(value)

    text = re.sub(r"\{\{([^}]*)\}\}", value_of, template)
    if "{{" in text:
        raise RuntimeError("the template has placeholders of another kind")
    return text


BOUNDS = {"grace_s": 6, "budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 60}


class Node:
    """A machine with one gateway process; its back end is at `app_addr`."""

    def __init__(self, folder, record, number, zone, service, store, bounds=None, memory_mb=260, heartbeat_s=1.5):
        self.folder, self.record, self.zone, self.service = folder, record, zone, service
        self.name = "sidecar-%s-%d" % (zone, number)
        self.ip = new_ip()
        self.outbound, inbound, control, ready, app = free_ports(self.ip, 5)
        self.control, self.ready = "%s:%d" % (self.ip, control), ready
        self.app_addr = "%s:%d" % (self.ip, app)
        self.fields = {
            "node_name": self.name, "zone": zone, "ip": self.ip, "service": service, "app_addr": self.app_addr,
            "listen": {"outbound": "%s:%d" % (self.ip, self.outbound), "inbound": "%s:%d" % (self.ip, inbound),
                       "control": self.control, "ready": "%s:%d" % (self.ip, ready)},
            "platform": {"address": store.address}, "heartbeat_s": heartbeat_s,
            "bounds": {**BOUNDS, **(bounds or {})}, "limits": {"memory_mb": memory_mb, "max_fds": 4100}}
        self.process = None

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]
        path = pathlib.Path(self.folder) / (self.name + ".conf")
        path.write_text(fill((ROOT / deploy["template"]).read_text(), self.fields))
        program, *arguments = deploy["run"].split(" ")
        arguments = [str(path) if each == "/etc/kumquatdrift/boot.conf" else each for each in arguments]
        log = open(pathlib.Path(self.folder) / (self.name + ".log"), "ab")
        environment = {"PATH": os.environ["PATH"], "HOME": self.folder, "KUMQUATDRIFT_SETTINGS": str(path)}
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / program), *arguments, cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()
        self.record.write("started", node=self.name, pid=self.process.pid)

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    async def kill(self):
        if self.is_running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()
            self.record.write("killed", node=self.name)

    async def is_ready(self):
        answer = await call(self.ip, self.ready, "GET", "/ready", {}, timeout=1)
        return answer[0] == 200

    async def send(self, method, target, attempt, limit_ms, body=b"", fields=None):
        """Sends a request as a client on this machine; returns (status, fields, body); status 0 without an answer."""
        return await call(self.ip, self.outbound, method, target,
                          {"Host": HOST, "X-Kumquatdrift-Attempt-Id": attempt,
                           "X-Kumquatdrift-Deadline-Ms": str(limit_ms), **(fields or {})}, body, limit_ms / 1000)


async def call(ip, port, method, target, fields, body=b"", timeout=5.0):
    """Sends one request on a new connection."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port, limit=1 << 26)
            lines = ["%s %s HTTP/1.1" % (method, target), *("%s: %s" % item for item in fields.items())]
            if body or method == "POST":
                lines.append("Content-Length: %d" % len(body))
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            if body:
                writer.write(body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return 0, {}, b""
            return int(head[0].split()[1]), head[1], await read_body(reader, head[1])
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.transport.abort()


async def wait_until(condition, timeout, what):
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if await condition():
            return
        await asyncio.sleep(0.05)
    raise RuntimeError("not within %.1f s: %s" % (timeout, what))


_attempts = itertools.count(1)


def new_attempt():
    return "%08x%08x" % (random.randrange(1 << 32), next(_attempts))


def run_case(folder, case):
    """Runs a case, and exits with 1 if it reports a broken rule, 0 if the rule held, and 2 if it couldn't run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    nodes = []

    async def run():
        # Tasks of open connections are cancelled at the end of a case.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        try:
            async with asyncio.timeout(115):
                with tempfile.TemporaryDirectory() as temporary:
                    try:
                        return await case(record, temporary, nodes, trouble)
                    finally:
                        for node in nodes:
                            await node.kill()
                        if keep := os.environ.get("KEEP_LOGS"):
                            os.system("cp %s/*.log %s/" % (temporary, keep))
        except Exception as error:  # Whatever fails here isn't the gateway's rule.
            print("could not run: %s: %s" % (type(error).__name__, error))
            record.write("could_not_run", error=repr(error))
            return None

    broken = asyncio.run(run())
    if broken is None:
        sys.exit(2)
    print("rule broken" if broken else "rule held")
    record.write("verdict", broken=bool(broken))
    sys.exit(1 if broken else 0)
