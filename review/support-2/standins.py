"""Stand-ins for the platform, the workers and the consumers, and the runner of the project's entry processes.

Only the Python standard library is used, and only loopback addresses.
"""

import base64
import http.server
import json
import os
import random
import shutil
import signal
import socket
import socketserver
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
GATEWAY = os.path.join(ROOT, "target", "release", "fuchsiabay-gateway")

# The bounds of the site `crackleleaf-bne`.
CONTACT_MS = 3_000
HEARTBEAT_MS = 1_200
GRACE_S = 8
RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S = 0.2, 90, 10

STARTED = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - STARTED


def sleep_until(at):
    time.sleep(max(0.0, at - now()))


class CannotRun(Exception):
    """The case could not be run. Says nothing about the rule."""


class Record:
    """The file that lists what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            self.file.write(f"{now():8.3f} s  {text}\n")
            self.file.flush()


def own_net():
    """A loopback /24 for this run, so that the metrics port of the deploy file is free on each address."""
    return f"127.{random.randint(60, 250)}.{random.randint(1, 250)}"


def free_port(ip):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


# --- the platform's store -------------------------------------------------------------------------------------------


class Store:
    """The platform's store: keyed topics with one partition, and consumer groups."""

    PARTS = 12

    def __init__(self, ip):
        self.cond = threading.Condition()
        self.topics = {"keyed.op": [], "keyed.servers": []}
        self.generation = 0
        self.members = {}  # member -> time at which it expires
        self.known = {}  # member -> generation that it has joined with
        self.owners = {}  # partition -> member
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_):
                pass

            def reply(self, status, body, kind="application/json"):
                if not isinstance(body, bytes):
                    body = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", kind)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def do_GET(self):
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query))
                if url.path == "/fuchsiabay/log-read":
                    wait_s = int(query.get("wait_ms", 0)) / 1000
                    return self.reply(*store.read(query["topic"], int(query["from"]), wait_s))
                if url.path == "/fuchsiabay/log-newest":
                    return self.reply(200, store.newest(query["topic"], query.get("after")))
                if url.path == "/fuchsiabay/log-owners":
                    return self.reply(200, store.list_owners())
                self.reply(404, {})

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])) or b"{}")
                if self.path == "/fuchsiabay/log-join":
                    return self.reply(200, store.join(body))
                if self.path == "/fuchsiabay/log-leave":
                    return self.reply(200, store.leave(body))
                self.reply(404, {})

        class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_):
                pass

        self.server = Server((ip, 0), Handler)
        self.address = "%s:%d" % self.server.server_address
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, topic, key, value):
        """Appends a record. A value of None drops the key. Returns the time of the ack."""
        with self.cond:
            self.topics[topic].append((key, value))
            self.cond.notify_all()
            return now()

    def read(self, topic, start, wait_s):
        until = time.monotonic() + wait_s
        with self.cond:
            while True:
                records = self.topics.get(topic, [])
                left = until - time.monotonic()
                if len(records) > start or left <= 0:
                    break
                self.cond.wait(left)
            parts = [struct.pack(">QQ", len(records), 0)]
            for key, value in records[start:]:
                data = bytes([len(key)]) + key.encode() + (value or b"")
                parts.append(struct.pack(">I", len(data)) + data)
        return 200, b"".join(parts), "application/octet-stream"

    def newest(self, topic, after):
        with self.cond:
            records = self.topics.get(topic, [])
            newest = {}
            for offset, (key, value) in enumerate(records):
                newest[key] = (value, offset)
            keys = sorted(key for key, (value, _) in newest.items() if value is not None)
            if after is not None:
                keys = [key for key in keys if key > after]
            items = [
                {"key": key, "value": base64.b64encode(newest[key][0]).decode(), "offset": newest[key][1]}
                for key in keys[:500]
            ]
            return {"items": items, "has_more": len(keys) > 500, "end": len(records)}

    def join(self, body):
        member = body["member"]
        with self.cond:
            self.expire()
            if member not in self.members:
                self.generation += 1
            self.members[member] = time.monotonic() + body["ttl_ms"] / 1000
            self.known[member] = body["generation"] if member in self.known else self.generation
            self.assign()
            self.known[member] = max(self.known[member], 0)
            parts = [[body["topics"][0], part, 0] for part, owner in sorted(self.owners.items()) if owner == member]
            return {"generation": self.generation, "ttl_ms": body["ttl_ms"], "parts": parts}

    def leave(self, body):
        with self.cond:
            if self.members.pop(body["member"], None) is not None:
                self.known.pop(body["member"], None)
                self.generation += 1
                self.assign()
            return {}

    def expire(self):
        gone = [member for member, until in self.members.items() if until <= time.monotonic()]
        for member in gone:
            del self.members[member]
            self.known.pop(member, None)
            self.generation += 1

    def assign(self):
        """A partition moves once its owner has joined with the generation in which it no longer owns it."""
        names = sorted(self.members)
        for part in range(self.PARTS):
            target = names[part % len(names)] if names else None
            owner = self.owners.get(part)
            if owner in self.members and owner != target and self.known.get(owner, 0) < self.generation:
                continue
            self.owners[part] = target

    def list_owners(self):
        with self.cond:
            self.expire()
            return [["fuchsiabay.duties", part, owner, 0] for part, owner in sorted(self.owners.items()) if owner]


# --- workers ----------------------------------------------------------------------------------------------------------


class Request:
    """A request as a worker or a stand-in reads it."""

    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body

    def get(self, name):
        return self.headers.get(name.lower())


def read_request(file):
    line = file.readline()
    if not line:
        return None
    method, target, _ = line.decode().split(" ", 2)
    headers = {}
    while True:
        line = file.readline()
        if not line:
            return None
        line = line.strip()
        if not line:
            break
        name, value = line.decode().split(":", 1)
        headers[name.strip().lower()] = value.strip()
    body = file.read(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


class Worker:
    """A sound worker of a plain service.

    It answers 421 to a request that expects another instance, sheds with `Not-Executed` while `is_full` is set, and crashes under
    the requests that `crashes_under` accepts, to come back at its address as a new instance.
    """

    SLOTS = 6

    def __init__(self, store, record, service, zone, ip, answer, crashes_under=lambda request: False, down_s=2.5):
        self.store, self.record, self.service, self.zone, self.ip = store, record, service, zone, ip
        self.answer, self.crashes_under, self.down_s = answer, crashes_under, down_s
        self.port = free_port(ip)
        self.lock = threading.Lock()
        self.runs = []  # (time, instance, request)
        self.arrivals = []  # (time, instance, request)
        self.is_full = False
        self.is_up = False
        self.registers = True
        self.start()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    def start(self):
        self.id = "i-%010x" % random.getrandbits(40)
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.running = 0
        self.connections = set()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((self.ip, self.port))
        self.listener.listen(128)
        self.is_up = True
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()
        threading.Thread(target=self.heartbeat, args=(self.id,), daemon=True).start()

    def entry(self):
        return {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.SLOTS,
            "state": "ready", "cold_left_ms": 0, "seq": self.seq, "born": self.born,
        }

    def heartbeat(self, instance):
        while self.is_up and self.id == instance:
            self.seq += 1
            if self.registers:
                self.store.put("keyed.servers", instance, json.dumps(self.entry()).encode())
            time.sleep(HEARTBEAT_MS / 1000)
        # The platform removes the entry after three check-in intervals of silence.
        time.sleep(2 * HEARTBEAT_MS / 1000)
        self.store.put("keyed.servers", instance, None)

    def accept(self, listener):
        while True:
            try:
                conn, _ = listener.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections.add(conn)
            threading.Thread(target=self.serve, args=(conn,), daemon=True).start()

    def serve(self, conn):
        file = conn.makefile("rb")
        try:
            while True:
                request = read_request(file)
                if request is None:
                    return
                reply = self.handle(request)
                if reply is None:
                    return
                conn.sendall(reply)
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.connections.discard(conn)
            try:
                file.close()
                conn.close()
            except OSError:
                pass

    def handle(self, request):
        instance = self.id
        self.arrivals.append((now(), instance, request))
        expected = request.get("expect-instance")
        if expected is not None and expected != instance:
            return self.encode(request, 421, [("Instance-Id", instance)], b"")
        if self.is_full or self.running >= self.SLOTS + 24:
            return self.encode(request, 503, [("Not-Executed", "1")], b"")
        self.runs.append((now(), instance, request))
        if self.crashes_under(request):
            self.crash()
            return None
        with self.lock:
            self.running += 1
        status, body = self.answer(request)
        with self.lock:
            self.running -= 1
        stamp = [("Server-Stamp", "%s.%08x" % (instance, random.getrandbits(32))), ("Server-Load", f"{self.running},0,{self.SLOTS}")]
        return self.encode(request, status, stamp, body)

    def encode(self, request, status, headers, body):
        lines = [f"HTTP/1.1 {status} Status"]
        if request.get("request-id"):
            lines.append("Request-Id: " + request.get("request-id"))
        lines += [f"{name}: {value}" for name, value in headers]
        lines += ["Content-Type: text/plain", f"Content-Length: {len(body)}", "", ""]
        return "\r\n".join(lines).encode() + body

    def crash(self):
        with self.lock:
            if not self.is_up:
                return
            self.is_up = False
            connections, self.connections = self.connections, set()
        self.record.write(f"worker {self.id} at {self.address} crashes")
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for conn in connections:
            try:
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                conn.shutdown(socket.SHUT_RD)
                conn.close()
            except OSError:
                pass
            try:
                os.close(conn.detach())
            except OSError:
                pass
        threading.Thread(target=self.return_later, daemon=True).start()

    def return_later(self):
        time.sleep(self.down_s)
        self.start()
        self.record.write(f"worker {self.id} at {self.address} starts")


# --- the entry processes ----------------------------------------------------------------------------------------------


class Entry:
    """One entry process of the project, started as the deploy file says and restarted by the platform when it ends."""

    def __init__(self, folder, store, record, name, zone, ip, ports, seeds):
        self.folder, self.store, self.record, self.name, self.zone, self.ip = folder, store, record, name, zone, ip
        self.ports, self.seeds = ports, seeds
        self.settings = os.path.join(folder, name + ".jsonc")
        self.process = None
        self.started_at = None
        self.is_stopping = False
        self.write_settings()

    def write_settings(self, retry_slack=RETRY_SLACK):
        """Renders platform/settings.template.jsonc as the platform does."""
        values = {
            "node_name": self.name, "zone": self.zone, "listen.ingress": f"{self.ip}:{self.ports['ingress']}",
            "listen.readiness": f"{self.ip}:{self.ports['readiness']}", "ip": self.ip,
            "platform.address": self.store.address, "listen.control": f"{self.ip}:{self.ports['control']}",
            "seeds|json": json.dumps(self.seeds), "internal_ports.0": self.ports["internal"],
            "bounds.retry_ratio": RETRY_RATIO, "bounds.retry_slack": retry_slack,
            "bounds.retry_window_s": RETRY_WINDOW_S, "bounds.grace_s": GRACE_S, "limits.max_fds": 4200,
            "limits.cpus": 1,
        }
        with open(os.path.join(ROOT, "platform", "settings.template.jsonc"), encoding="utf-8") as file:
            text = file.read()
        for section in ("bounds.cold_overage", "bounds.cold_slack"):
            begin, end = "{{#%s}}" % section, "{{/%s}}" % section
            text = text[: text.index(begin)] + text[text.index(end) + len(end) :]
        for name, value in values.items():
            text = text.replace("{{%s}}" % name, str(value))
        partial = self.settings + ".new"
        with open(partial, "w", encoding="utf-8") as file:
            file.write(text)
        os.replace(partial, self.settings)

    def start(self):
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["FUCHSIABAY_SETTINGS"] = self.settings
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [GATEWAY, "entry"], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()
        self.started_at = now()
        self.record.write(f"entry {self.name} starts")

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.record.write(f"entry {self.name} is killed")

    @property
    def ingress(self):
        return (self.ip, self.ports["ingress"])

    def is_ready(self):
        answer = call((self.ip, self.ports["readiness"]), "GET", "/readyz", {"Host": "platform"}, timeout_s=1)
        return answer.status == 200

    def wait_until_ready(self, within_s=15):
        until = now() + within_s
        while now() < until:
            if self.is_ready():
                return
            time.sleep(0.05)
        raise CannotRun(f"{self.name} does not become ready")


class Deployment:
    """The store, the entry processes and the workers of one run."""

    def __init__(self, folder, entries=2):
        if not os.path.exists(GATEWAY):
            raise CannotRun("the programs are not built")
        self.record = Record(folder)
        self.temp = tempfile.mkdtemp(prefix="review-")
        net = own_net()
        self.net = net
        self.store = Store(f"{net}.1")
        ips = [f"{net}.{10 + i}" for i in range(entries)]
        # Ports are the same on all machines.
        ports = {name: free_port(ips[0]) for name in ("ingress", "readiness", "control", "internal")}
        seeds = [f"{ip}:{ports['control']}" for ip in ips[:3]]
        zones = ["seq-a", "seq-b", "seq-c"]
        self.entries = [
            Entry(self.temp, self.store, self.record, f"edge-{i + 1}", zones[i % 3], ip, ports, seeds)
            for i, ip in enumerate(ips)
        ]
        self.workers = []

    def add_worker(self, service, answer, **options):
        i = len(self.workers)
        worker = Worker(
            self.store, self.record, service, ["seq-a", "seq-b", "seq-c"][i % 3], f"{self.net}.{100 + i}", answer, **options
        )
        self.workers.append(worker)
        return worker

    def start(self):
        for entry in self.entries:
            entry.start()
        for entry in self.entries:
            entry.wait_until_ready()

    def close(self):
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                entry.process.kill()
                entry.process.wait()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.temp, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)


def config(routes, services, version=1):
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    services = [
        {"name": name, "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": False} for name in services
    ]
    body = {"version": version, "routes": routes, "services": services, "limits": limits}
    return json.dumps(body).encode()


def route(name, host, prefix, kind, service, timeout_ms, goal_ms, attempts=2):
    return {
        "name": name, "host": host, "path_prefix": prefix, "type": kind, "timeout_ms": timeout_ms, "goal_ms": goal_ms,
        "priority": 2, "service": service, "attempts": attempts, "public": True, "sticky": False, "resumable": False,
    }


# --- consumers --------------------------------------------------------------------------------------------------------


class Answer:
    """What a consumer has received."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.error = None

    def __str__(self):
        if self.status is None:
            return f"no answer ({self.error})"
        state = "complete" if self.is_complete else f"cut off ({self.error})"
        size = self.headers.get("content-length", "?")
        return f"{self.status}, {len(self.body)} of {size} bytes, {state}"


def request_id():
    return "%016x" % random.getrandbits(64)


def encode_request(method, target, headers, body=b""):
    lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
    if body or method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def read_answer(sock, until, pace=None):
    """Reads one answer. `pace` is called after each read with the number of bytes so far, and may sleep."""
    answer = Answer()
    data = b""
    try:
        while b"\r\n\r\n" not in data:
            sock.settimeout(max(0.01, until - now()))
            part = sock.recv(4096)
            if not part:
                raise ConnectionError("closed by the entry")
            data += part
        head, data = data.split(b"\r\n\r\n", 1)
        lines = head.decode().split("\r\n")
        answer.status = int(lines[0].split(" ")[1])
        answer.headers = {k.strip().lower(): v.strip() for k, v in (line.split(":", 1) for line in lines[1:])}
        length = int(answer.headers["content-length"])
        while len(data) < length:
            if pace is not None:
                pace(len(data))
            answer.body = data
            sock.settimeout(max(0.01, until - now()))
            part = sock.recv(min(4096, length - len(data)))
            if not part:
                raise ConnectionError("closed by the entry")
            data += part
        answer.body = data[:length]
        answer.is_complete = True
    except socket.timeout:
        answer.error = "time limit of the consumer"
    except (OSError, ConnectionError) as error:
        answer.error = str(error)
    return answer


def call(address, method, target, headers, body=b"", timeout_s=2.0):
    """Sends one request on a new connection."""
    until = now() + timeout_s
    try:
        with socket.create_connection(address, timeout=min(1.0, timeout_s)) as sock:
            sock.sendall(encode_request(method, target, headers, body))
            return read_answer(sock, until)
    except OSError as error:
        answer = Answer()
        answer.error = str(error)
        return answer


def main(folder, run):
    """Runs a case and exits with its result: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # Ends the processes that were started, as an exception does.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        is_broken = run(folder, trouble)
    except Exception as error:  # Anything unexpected says nothing about the rule.
        print(f"cannot run: {error!r}", file=sys.stderr)
        os._exit(2)
    sys.stdout.flush()
    os._exit(1 if is_broken else 0)
