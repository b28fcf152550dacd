"""Stand-ins for the platform's store, engines and clients, and the processes of a small deployment.

They follow the users' pages PROTOCOL and DEPLOY and use the standard library only. All addresses are loopback.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "site.example"
START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return round(time.monotonic() - START, 3)


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """Writes what was sent, answered and run to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def line(self, *parts):
        self.file.write(f"{now():8.3f} " + " ".join(str(part) for part in parts) + "\n")
        self.file.flush()


class Connection:
    """One connection at a server: reads requests, writes answers. A silent one reads and answers nothing more."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.is_silent = False

    async def request(self):
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, target, _ = head[0].split(" ", 2)
        headers = {}
        for field in head[1:]:
            if ":" in field:
                name, value = field.split(":", 1)
                headers[name.strip().lower()] = value.strip()
        body = await self.reader.readexactly(int(headers.get("content-length", 0)))
        return method, target, headers, body

    def answer(self, status, body=b"", headers=()):
        if self.is_silent or self.writer.is_closing():
            return
        text = f"HTTP/1.1 {status} Status\r\n"
        text += "".join(f"{name}: {value}\r\n" for name, value in headers)
        text += f"Content-Length: {len(body)}\r\n\r\n"
        self.writer.write(text.encode("latin-1") + body)

    async def wait_until_closed(self):
        while await self.reader.read(65536):
            pass


class Server:
    """An HTTP/1.1 server on a loopback port. Subclasses handle one request at a time on each connection."""

    def __init__(self):
        self.connections = set()
        self.server = None
        self.port = 0

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def _serve(self, reader, writer):
        connection = Connection(reader, writer)
        self.connections.add(connection)
        try:
            while True:
                request = await connection.request()
                if connection.is_silent:
                    await connection.wait_until_closed()
                    return
                await self.handle(connection, *request)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections.discard(connection)
            writer.close()

    def silence_open_connections(self):
        for connection in self.connections:
            connection.is_silent = True
        return len(self.connections)

    def stop(self):
        """Ends the server as the end of its process does."""
        self.server.close()
        for connection in list(self.connections):
            connection.writer.close()


class Store(Server):
    """The platform's store: one revision counter, leases, watches, conditional transactions."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.last_lease = 0
        self.changed = asyncio.Event()
        self.is_down = False

    async def listen(self, port=0):
        await super().listen(port)
        self.expiry = asyncio.ensure_future(self._expire_forever())
        return self

    def go_down(self):
        """Answers nothing from now on. Channels on which an answer is lost return nothing afterwards either."""
        self.is_down = True
        self.record.line("the store is down, silent")

    def come_back(self):
        self.is_down = False
        self.record.line("the store is back")

    async def _expire_forever(self):
        while True:
            await asyncio.sleep(0.02)
            self._expire()

    def _expire(self):
        if self.is_down:  # leases pause
            for lease, (ttl, until) in self.leases.items():
                self.leases[lease] = (ttl, until + 0.02)
            return
        ended = [lease for lease, (_, until) in self.leases.items() if until <= time.monotonic()]
        for lease in ended:
            del self.leases[lease]
            for key in [key for key, item in self.items.items() if item["lease"] == lease]:
                self.remove(key)

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created_rev"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                           "created_rev": created, "lease": lease}
        self._changed(self.items[key])

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self._changed({"key": key, "revision": self.revision, "removed": True})

    def _changed(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def put_json(self, key, value):
        self.put(key, json.dumps(value).encode())
        self.record.line("store", key, "revision", self.revision, json.dumps(value))

    async def handle(self, connection, method, target, headers, body):
        if self.is_down:
            connection.is_silent = True
            return
        url = urllib.parse.urlsplit(target)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/api/kv-watch":
            status, answer = await self._watch(connection, query)
        else:
            status, answer = self._call(method, url.path, query, json.loads(body) if body else {})
        if self.is_down:
            connection.is_silent = True
        connection.answer(status, json.dumps(answer).encode(), [("Content-Type", "application/json")])

    async def _watch(self, connection, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = time.monotonic() + min(int(query["wait_ms"]), 30000) / 1000
        while True:
            events = [event for event in self.history
                      if event["revision"] > after and event["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _call(self, method, path, query, body):
        if path == "/api/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(query.get("prefix", "")) and key > query.get("after", ""))
            return 200, {"items": [self.items[key] for key in keys[:500]], "truncated": len(keys) > 500,
                         "current_rev": self.revision}
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, current_rev=self.revision)) if item else (404, {})
        if path == "/api/kv-txn":
            return self._transact(body)
        if path == "/api/kv-lease":
            self.last_lease += 1
            ttl = min(max(body["ttl_ms"], 1000), 600000)  # from ttl_min_ms to ten minutes; the answer says what applies
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        ttl = self.leases[lease][0]
        self.leases[lease] = (ttl, time.monotonic() + (0 if method == "DELETE" else ttl / 1000))
        self._expire()
        return 200, {"ttl_ms": ttl}

    def _transact(self, body):
        expected = body.get("expected", [])
        current = {row["key"]: self.items.get(row["key"]) for row in expected}
        if any((current[row["key"]] or {"revision": 0})["revision"] != row["revision"] for row in expected):
            return 412, {"items": [item for item in current.values() if item]}
        writes = body.get("writes", [])
        changed = [write["key"] for write in writes] + body.get("remove", [])
        if any(key.startswith(("op/", "servers/")) for key in changed):
            return 403, {}
        if any(write.get("lease") and write["lease"] not in self.leases for write in writes):
            return 404, {}
        for write in writes:
            self.put(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Engine(Server):
    """A sound engine that streams events, or a plain service if it has no model.

    Keeps the shared parts of prompts under the salt of their request, takes orders for weights one at a time, and
    registers itself every 1.2 s.
    """

    def __init__(self, record, store, name, service, zone, model=None, work_s=0.05, load_s=1.8,
                 slots=128, queue=0):
        super().__init__()
        self.record, self.store, self.name, self.service, self.zone = record, store, name, service, zone
        self.model, self.work_s, self.load_s, self.slots = model, work_s, load_s, slots
        self.queue, self.waiting, self.last_ticket, self.tickets = queue, 0, 0, []
        self.version, self.accepted, self.fence, self.is_loading = 1, 0, 0, False
        self.state = "ready"
        self.beats = 0
        self.entry = None  # as it stands in the store, without its number
        self.born = int(time.time() * 1000)
        self.running = 0
        self.runs = []  # of each run: time, id, version, headers
        self.arrivals = []  # of each request: time, id, whether it ran
        self.parts = {}  # (salt, model, ids of the parts up to it) -> tenant that made it

    async def listen(self, port=0):
        await super().listen(port)
        self.beat_task = asyncio.ensure_future(self._beat_forever())
        return self

    async def _beat_forever(self):
        while True:
            self.beat()
            await asyncio.sleep(1.2)

    def beat(self):
        self.beats += 1
        models = [{"name": self.model, "version": self.version, "adapters": []}] if self.model else []
        value = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slots,
                 "state": self.state, "cold_remaining_ms": 0, "models": models, "born": self.born}
        if value == self.entry:
            return  # the entry changes when more than its number does
        self.entry = dict(value)
        value["seq"] = self.beats
        self.store.put("servers/" + self.name, json.dumps(value).encode())

    def drain(self):
        self.state = "draining"
        self.beat()
        self.record.line("store acknowledges that", self.name, "is draining, revision", self.store.revision)

    async def handle(self, connection, method, target, headers, body):
        if target == "/api/report":
            answer = {"stage": "unified", "models": [{"name": self.model, "version": self.version, "adapters": []}],
                      "busy": self.is_loading, "seq": self.accepted, "queued": 0, "active": self.running,
                      "kv_used": 0, "kv_total": 238579, "handles": 0}
            connection.answer(200, json.dumps(answer).encode(), [("Content-Type", "application/json")])
        elif target == "/api/order":
            connection.answer(self._order(json.loads(body)))
        elif headers.get("x-dragonflyarch-expect-instance", self.name) != self.name:
            connection.answer(421, b"", [("X-Dragonflyarch-Instance-Id", self.name)])
        else:
            await self._serve_request(connection, headers)

    def _order(self, order):
        self.record.line("order at", self.name, json.dumps(order))
        if "holder" not in order or "fencing_token" not in order:
            return 400
        if order["fencing_token"] < self.fence:
            return 412
        self.fence = order["fencing_token"]
        if order["version"] == self.version:
            return 200
        if self.is_loading or order.get("expected", self.accepted) != self.accepted:
            return 409
        self.accepted += 1
        self.is_loading = True
        asyncio.ensure_future(self._load(order["version"]))
        return 202

    async def _load(self, version):
        while self.running:  # "queue": runs finish first
            await asyncio.sleep(0.01)
        await asyncio.sleep(self.load_s)
        self.version, self.is_loading = version, False
        self.parts.clear()
        self.record.line(self.name, "runs version", version)

    def _headers(self, attempt):
        fields = [("X-Dragonflyarch-Attempt-Id", attempt), ("X-Dragonflyarch-Instance-Id", self.name),
                  ("X-Dragonflyarch-Instance-Load", f"{self.running},{self.waiting},{self.slots}")]
        if self.model:
            fields.append(("X-Dragonflyarch-Weight-Versions", self.version))
        return fields

    async def _serve_request(self, connection, headers):
        attempt = headers.get("x-dragonflyarch-attempt-id", "")
        refusal = [("X-Dragonflyarch-Not-Executed", 1)] + self._headers(attempt)
        expected = headers.get("x-dragonflyarch-expect-version")
        if self.model and expected and expected != str(self.version):
            self.arrivals.append((now(), attempt, False))
            connection.answer(421, b"", refusal)
            return
        if not await self._wait_for_slot(connection, expected):
            self.arrivals.append((now(), attempt, False))
            connection.answer(503, b"", refusal)
            return
        self.arrivals.append((now(), attempt, True))
        self.runs.append((now(), attempt, self.version, headers))
        used = self._use_parts(headers) if self.model else []
        self.record.line("run", attempt, "at", self.name, "version", self.version, self.state,
                         "tenant", headers.get("x-dragonflyarch-tenant", "-"),
                         "salt", headers.get("x-dragonflyarch-cache-salt", "-"), *used)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        stamp = self._headers(attempt) + [("X-Dragonflyarch-Response-Stamp", "stamp." + attempt)]
        is_leaving = self.state == "draining"
        if is_leaving:
            stamp.append(("Connection", "close"))
        if self.model:
            body = "".join(f"id: {i}\ndata: token {i}\n\n" for i in (1, 2, 3)).encode()
            connection.answer(200, body, stamp + [("Content-Type", "text/event-stream")])
        else:
            connection.answer(200, b"done by " + self.name.encode(), stamp)
        if is_leaving:
            connection.writer.close()

    async def _wait_for_slot(self, connection, expected):
        """Waits in the queue, in order. False if the request is not to run: no room, an order, or its caller left."""
        if self.is_loading or (self.running >= self.slots and self.waiting >= self.queue):
            return False
        ticket = self.last_ticket = self.last_ticket + 1
        self.tickets.append(ticket)
        self.waiting += 1
        try:
            while self.running >= self.slots or self.tickets[0] != ticket:
                await asyncio.sleep(0.005)
                if self.is_loading or connection.reader.at_eof():
                    return False
            return not expected or expected == str(self.version)
        finally:
            self.waiting -= 1
            self.tickets.remove(ticket)

    def _use_parts(self, headers):
        """Reads the prompt: finds the parts that are kept under its salt, and keeps the others."""
        tenant = headers.get("x-dragonflyarch-tenant", "")
        salt = headers.get("x-dragonflyarch-cache-salt", "")
        ids, notes, found = (), [], True
        for entry in filter(None, headers.get("x-dragonflyarch-prompt-prefix", "").split(",")):
            ids += (entry.split(":")[0],)
            key = (salt, headers.get("x-dragonflyarch-model", ""), ids)
            found = found and key in self.parts
            if found:
                notes.append(f"uses-part {ids[-1]} made-by {self.parts[key]}")
                self.on_use(tenant, self.parts[key], ids[-1])
            else:
                self.parts[key] = tenant
        return notes

    def on_use(self, tenant, maker, part):
        """Called for each kept part that a request uses."""


class Link:
    """A link to a port: a TCP proxy that passes bytes on, in order, after a delay."""

    def __init__(self, port, delay_s):
        self.target, self.delay_s = port, delay_s

    async def listen(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        try:
            onward_reader, onward_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self._pass(reader, onward_writer), self._pass(onward_reader, writer))

    async def _pass(self, reader, writer):
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(65536):
                loop.call_later(self.delay_s, self._write, writer, data)
        except ConnectionError:
            pass
        loop.call_later(self.delay_s, writer.close)

    @staticmethod
    def _write(writer, data):
        if not writer.is_closing():
            writer.write(data)


class Instance:
    """One entry instance: target/dragonflyd with settings made from the template of the deploy file.

    advertised: port of a link that other instances use to reach it; its own port if it is None.
    """

    def __init__(self, record, folder, store, name, zone, zones, peers_port=None, advertised=None):
        self.record, self.name = record, name
        ports = [free_port() for _ in range(5)]
        self.front, self.admin = ports[0], ports[1]
        ports[3] = peers_port or ports[3]
        link = f"peersAdvertised: 127.0.0.1:{advertised}\n" if advertised else ""
        listed = ", ".join(f"{each}: {each}-region" for each in zones)
        self.path = os.path.join(folder, name + ".yaml")
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(f"""interface: forwarding
instance: {name}
region: {zone}-region
dataCentre: {zone}
regions: {{ {listed} }}
listen: 127.0.0.1:{ports[0]}
admin: 127.0.0.1:{ports[1]}
metrics: 127.0.0.1:{ports[2]}
peers: 127.0.0.1:{ports[3]}
tunnels: 127.0.0.1:{ports[4]}
{link}processorShare: 0.25
memory: 260MiB
platform: [ {store.address} ]
http:
  connections: 2000
  connectionsPerAddress: 2000
routing:
  policy: least-cost
  prefixSlots: 16384
drain:
  grace: 8s
forwarding:
  revocationTime: 5000ms
  weightsTime: 15000ms
  drainTime: 3000ms
  orderLease: 3000ms
  storeWritesPerSecond: 400
  retryRatio: 0.2
  retryWindow: 10s
""")
        self.log = open(os.path.join(folder, name + ".log"), "ab")
        self.process = None

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, "target", "dragonflyd"), "--settings", self.path, cwd=ROOT,
            stdout=self.log, stderr=self.log, stdin=asyncio.subprocess.DEVNULL)
        self.record.line("started", self.name, "process", self.process.pid)

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
            self.record.line("killed", self.name)

    async def is_ready(self):
        try:
            status, _, _ = await call("127.0.0.1", self.admin, "GET", "/ready", {}, timeout=1)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            return False

    async def wait_until_ready(self, seconds=15):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False


async def call(host, port, method, target, headers, body=b"", timeout=10):
    """Sends one request on a new connection. Returns status, headers and body; raises if no whole answer comes."""
    async def exchange():
        reader, writer = await asyncio.open_connection(host, port, limit=1 << 22)
        try:
            text = f"{method} {target} HTTP/1.1\r\n"
            fields = dict({"Host": HOST, "Connection": "close", "Content-Length": len(body)}, **headers)
            text += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(text.encode("latin-1") + b"\r\n" + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            received = {}
            for field in head[1:]:
                if ":" in field:
                    name, value = field.split(":", 1)
                    received[name.strip().lower()] = value.strip()
            if received.get("transfer-encoding", "").lower() == "chunked":
                content = b""
                while True:
                    size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                    content += (await reader.readexactly(size + 2))[:size]
                    if not size:
                        break
            else:
                content = await reader.readexactly(int(received.get("content-length", 0)))
            return int(head[0].split(" ")[1]), received, content
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout)


def request_headers(attempt, key=None, deadline_ms=3000, model=None, prompt=None):
    headers = {"X-Dragonflyarch-Attempt-Id": attempt, "X-Dragonflyarch-Deadline-Ms": deadline_ms}
    if key:
        headers["Authorization"] = "Bearer " + key
    if model:
        tokens = sum(int(part.split(":")[1]) for part in prompt.split(","))
        headers.update({"X-Dragonflyarch-Model": model, "X-Dragonflyarch-Token-Usage": f"{tokens},10",
                        "X-Dragonflyarch-Prompt-Prefix": prompt})
    return headers


async def send(record, instance, path, attempt, key=None, deadline_ms=3000, model=None, prompt=None):
    """Sends a client's request to an instance. Returns the status, or 0 if the channel ended without an answer."""
    record.line("send", attempt, path, "to", instance.name)
    try:
        status, headers, body = await call("127.0.0.1", instance.front, "POST", path,
                                           request_headers(attempt, key, deadline_ms, model, prompt),
                                           b"body", deadline_ms / 1000 + 1)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as failure:
        record.line("answer", attempt, "none:", type(failure).__name__)
        return 0
    record.line("answer", attempt, status, json.dumps(body.decode("latin-1"))[:200])
    return status


def route(name, prefix, kind, service, **more):
    return dict({"name": name, "host": HOST, "prefix": prefix, "kind": kind, "service": service, "timeout_ms": 8000,
                 "target_latency_ms": 800, "priority": 1, "max_attempts": 1, "anonymous": False, "sticky": False,
                 "resumable": False}, **more)


LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


def run(case_folder, scenario):
    """Runs scenario(record, folder, trouble), which returns the exit code, and ends all processes that it started."""
    record = Record(case_folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    started = []

    async def limited():
        with tempfile.TemporaryDirectory() as folder:
            try:
                return await asyncio.wait_for(scenario(record, folder, trouble, started), 110)
            finally:
                for instance in started:
                    await instance.kill()

    sys.unraisablehook = lambda _: None  # connections that are still open at the end need no orderly close
    try:
        code = asyncio.run(limited())
    except Exception as failure:  # the case could not run
        record.line("could not run:", repr(failure))
        code = 2
    record.line("exit code", code)
    print("exit code", code, flush=True)
    os._exit(code)
