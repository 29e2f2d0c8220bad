"""Stand-ins for the platform's store, plain workers and consumers, and the start of the project's own programs.

Everything listens on loopback addresses. Only the standard library is used.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time

PROJECT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BINARY = os.path.join(PROJECT, "target", "release", "fuchsiabay-gateway")
HEARTBEAT_S = 1.2
# The exit code for a broken rule. `run.sh` turns it into 1.
BROKEN = 10


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} s  {text}\n")
        self.file.flush()


async def read_head(reader):
    """Returns the first line and the header fields of a message, or None at the end of the stream."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


def answer(status, body=b"", headers=()):
    head = f"HTTP/1.1 {status} X\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers)
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Store:
    """The platform's store: keyed topics with one partition, and one group of members."""

    def __init__(self, record):
        self.record = record
        self.topics = {"keyed.op": [], "keyed.servers": []}
        self.changed = asyncio.Condition()
        self.members = {}
        self.generation = 0
        self.parts = 12

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.addr = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def put(self, topic, key, value):
        """Appends a record. `value` is a table, or None to drop the key. Returns when it is acknowledged."""
        data = b"" if value is None else json.dumps(value).encode()
        async with self.changed:
            self.topics[topic].append((key, data))
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                path, _, query = target.partition("?")
                args = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
                writer.write(await self.handle(path, args, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, path, args, body):
        await asyncio.sleep(0.004)
        name = path.rsplit("/", 1)[1]
        if name == "log-newest":
            return self.newest(args["topic"])
        if name == "log-read":
            return await self.read(args)
        if name == "log-join":
            return self.join(json.loads(body))
        if name == "log-leave":
            self.remove(json.loads(body)["member"])
            return answer(200, b"{}")
        if name == "log-owners":
            self.expire()
            owners = self.owners()
            rows = [["fuchsiabay.duties", p, owners[p], 0] for p in range(self.parts) if p in owners]
            return answer(200, json.dumps(rows).encode())
        return answer(404)

    def newest(self, topic):
        items = {}
        log = self.topics[topic]
        for offset, (key, data) in enumerate(log):
            items.pop(key, None)
            if data:
                items[key] = {"key": key, "value": base64.b64encode(data).decode(), "offset": offset}
        page = {"items": sorted(items.values(), key=lambda i: i["key"]), "has_more": False, "end": len(log)}
        return answer(200, json.dumps(page).encode())

    async def read(self, args):
        log, start = self.topics[args["topic"]], int(args["from"])
        wait_s = int(args.get("wait_ms", "0")) / 1000
        if len(log) <= start and wait_s > 0:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait_for(lambda: len(log) > start), wait_s)
                except asyncio.TimeoutError:
                    pass
        out = struct.pack(">QQ", len(log), 0)
        for key, data in log[start:]:
            raw = bytes([len(key)]) + key.encode() + data
            out += struct.pack(">I", len(raw)) + raw
        return answer(200, out)

    def expire(self):
        now = time.monotonic()
        for member in [m for m, until in self.members.items() if until <= now]:
            self.remove(member)

    def remove(self, member):
        if self.members.pop(member, None) is not None:
            self.generation += 1

    def owners(self):
        members = sorted(self.members)
        return {p: members[p % len(members)] for p in range(self.parts)} if members else {}

    def join(self, req):
        self.expire()
        if req["member"] not in self.members:
            self.generation += 1
        self.members[req["member"]] = time.monotonic() + req["ttl_ms"] / 1000
        owners = self.owners()
        mine = [["fuchsiabay.duties", p, 0] for p in range(self.parts) if owners[p] == req["member"]]
        return answer(200, json.dumps({"generation": self.generation, "parts": mine}).encode())


class Worker:
    """A worker of a plain service. It registers in the store, runs requests, and answers 421 to those for another id."""

    def __init__(self, store, record, ident, service, zone, slots=6, work_s=0.015):
        self.store, self.record = store, record
        self.id, self.service, self.zone, self.slots, self.work_s = ident, service, zone, slots, work_s
        self.boot = 0
        self.runs = []
        self.running = 0
        self.server = None

    async def start(self, ip, port, born_ms):
        """Starts a new boot under the same id."""
        self.boot += 1
        self.seq, self.state, self.born = 0, "ready", born_ms
        self.writers = set()
        self.server = await asyncio.start_server(self.serve, ip, port)
        self.addr = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.record(f"worker {self.id} boot {self.boot} starts at {self.addr}, born {born_ms}")
        await self.report()
        self.beats = asyncio.create_task(self.beat())

    async def report(self):
        self.seq += 1
        entry = {
            "service": self.service, "address": self.addr, "zone": self.zone, "version": "1",
            "slots": self.slots, "state": self.state, "cold_left_ms": 0, "seq": self.seq, "born": self.born,
        }
        await self.store.put("keyed.servers", self.id, entry)

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.report()

    def stop(self):
        """Ends the process: nothing more is sent, all connections are lost."""
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        boot = self.boot
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await read_body(reader, headers)
                out = await self.run(line, headers, body)
                if boot != self.boot:
                    return
                writer.write(out)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def run(self, line, headers, body):
        ident = headers.get("request-id", "")
        expected = headers.get("expect-instance")
        if expected and expected != self.id:
            return answer(421, b"", [("Request-Id", ident), ("Not-Executed", "1")])
        self.record(f"worker {self.id} runs {ident} ({line.split(' ')[0]})")
        self.runs.append((self.record.now(), ident, line))
        self.running += 1
        await asyncio.sleep(self.work_s)
        self.running -= 1
        load = f"{self.running},0,{self.slots}"
        return answer(200, b"x" * 800, [("Request-Id", ident), ("Server-Stamp", f"{self.id}.{ident}"), ("Server-Load", load)])


class Entry:
    """A process of the role `entry`."""

    def __init__(self, record, name, ip, zone, store_addr, folder):
        self.record, self.name, self.ip = record, name, ip
        port = lambda: f"{ip}:{free_port(ip)}"
        self.ingress, self.readiness, self.control = port(), port(), port()
        self.settings = {
            "instance": name, "zone": zone, "listen": self.ingress, "ops_listen": self.readiness,
            "metrics_listen": port(), "store": store_addr, "peer_listen": self.control, "seeds": [],
            "shared_key": "fuchsiabay-entry-instances", "agent_port": free_port(ip), "retry_ratio": 0.2,
            "retry_slack": 90, "retry_window_s": 10, "stop_timeout_s": 8, "max_descriptors": 4200, "processors": 1,
        }
        self.path = os.path.join(folder, f"{name}.jsonc")
        self.log = open(os.path.join(folder, f"{name}.log"), "w", encoding="utf-8")
        self.process = None

    async def start(self):
        with open(self.path, "w", encoding="utf-8") as f:
            json.dump(self.settings, f)
        self.process = await asyncio.create_subprocess_exec(
            BINARY, "entry", "--settings", self.path, stdout=self.log, stderr=self.log, cwd=PROJECT
        )
        self.record(f"entry {self.name} started, pid {self.process.pid}, ingress {self.ingress}")

    def signal(self, number):
        self.record(f"entry {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def wait_ready(self, limit_s=10):
        ip, port = self.readiness.split(":")
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            try:
                got = await Consumer(self.record, quiet=True).call(ip, int(port), "GET /readyz", {})
                if got and got[0] == 200:
                    return True
            except OSError:
                pass
            await asyncio.sleep(0.05)
        return False

    async def state(self):
        ip, port = self.readiness.split(":")
        got = await Consumer(self.record).call(ip, int(port), "GET /state", {})
        return json.loads(got[2])

    async def kill(self):
        """Ends the process at once, as SIGKILL of the platform does."""
        if self.process.returncode is None:
            self.signal(signal.SIGKILL)
        await self.process.wait()

    async def stop(self):
        await self.kill()
        self.log.close()


class Consumer:
    """One connection of a consumer."""

    def __init__(self, record, quiet=False):
        self.record, self.quiet, self.streams = record, quiet, None

    async def open(self, ip, port):
        self.streams = await asyncio.open_connection(ip, port)

    async def call(self, ip, port, request, headers, body=b""):
        """Sends one request. Returns the status, the header fields and the body, or None if the connection ended."""
        if self.streams is None:
            await self.open(ip, port)
        reader, writer = self.streams
        fields = {"Host": "a.example", "Content-Length": str(len(body)), **headers}
        head = f"{request} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields.items()) + "\r\n"
        writer.write(head.encode() + body)
        got = await read_head(reader)
        if got is None:
            self.close()
            return None
        line, fields = got
        data = await read_body(reader, fields)
        if fields.get("connection", "").lower() == "close":
            self.close()
        return int(line.split(" ")[1]), fields, data

    def close(self):
        if self.streams is not None:
            self.streams[1].close()
            self.streams = None


def route(name, prefix, kind, service, timeout_ms=1500, goal_ms=100, attempts=1, **more):
    return {
        "name": name, "host": "a.example", "path_prefix": prefix, "type": kind, "service": service,
        "timeout_ms": timeout_ms, "goal_ms": goal_ms, "attempts": attempts, "priority": 2, "public": False, **more,
    }


def config(version, routes, services, tenants):
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000}
    return {
        "version": version, "routes": routes, "services": [{"name": s} for s in services], "limits": limits,
        "tenants": [{"name": t, "api_keys": [k]} for t, k in tenants],
    }


def unix_ms():
    return int(time.time() * 1000)


def folder():
    return tempfile.TemporaryDirectory(prefix="review-3-")


def run(main, here):
    """Runs a case and exits with its result: `BROKEN` if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(os.path.join(here, "record.txt"))
    # All processes are ended also if the case itself is told to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        with folder() as place:
            result = asyncio.run(asyncio.wait_for(main(record, place), 110))
    except Exception as error:
        record(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        result = 2
    sys.exit(result)
