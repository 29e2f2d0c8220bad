"""Stand-ins for a group of model workers that run in lockstep, and the start of the agents beside them."""

import asyncio
import hashlib
import json
import os
import time

from standins import BINARY, PROJECT, Worker, answer, read_body, read_head

# A site's engine: the copy of one expert takes expert_mb * 8 / link_mbps seconds.
EXPERT_MB = 880.0
LINK_MBPS = 180000.0
COPY_S = EXPERT_MB * 8 / LINK_MBPS
SETS = 4
EXPERTS = 64
SPARE = 2
PASS_S = 0.06
# How often the requests choose one of the hot experts in a pass, beside once for each other one.
HOT_PICKS = 100


def engine_profile(ranks):
    return {
        "slots": 12, "kv_capacity": 372000, "link_mbps": LINK_MBPS, "stride": 5, "step_ms": 5.85, "per_seq_ms": 0.355,
        "context_per_k": 0.036, "read_per_s": 61200.0, "usual": {"prompt": 835, "answer": 139}, "sets": SETS,
        "experts": EXPERTS, "placements": EXPERTS // ranks + 4, "spare": SPARE, "expert_mb": EXPERT_MB,
    }


def digest(expert_map):
    return hashlib.sha256(json.dumps(expert_map).encode()).hexdigest()[:8]


class Group:
    """Ranks that begin each pass together. An idle group makes no passes."""

    def __init__(self, record, store, count):
        self.record, self.epoch, self.step, self.violations = record, 1, 100, []
        self.ranks = [Rank(self, store, record, n, count) for n in range(count)]
        # The experts that the requests choose most.
        self.hot = []
        self.ticked = asyncio.Condition()

    async def run(self):
        while True:
            await asyncio.sleep(PASS_S)
            if not any(rank.active for rank in self.ranks):
                continue
            step = self.step + 1
            if any(rank.held == step for rank in self.ranks):
                continue
            self.step = step
            for rank in self.ranks:
                rank.begin(step)
            maps = [rank.map for rank in self.ranks]
            if len(set(maps)) > 1:
                if not self.violations:
                    self.record(f"PASS {step} BEGINS WITH DIFFERENT MAPS: " + ", ".join(
                        f"rank {r.number} version {r.map[0]} content {r.map[1]}" for r in self.ranks))
                self.violations.append(step)
            async with self.ticked:
                self.ticked.notify_all()


class Rank(Worker):
    """A model worker. `silent` decides for an order whether it gets no answer, and returns after how long it is carried out."""

    def __init__(self, group, store, record, number, count):
        super().__init__(store, record, f"i-rank-{number}", "llm", "z", slots=12)
        self.group, self.number = group, number
        share = EXPERTS // count
        self.map = (0, "map 0")
        self.experts = [list(range(number * share, (number + 1) * share)) for _ in range(SETS)]
        self.counts = [0] * (SETS * EXPERTS)
        self.prepared = self.armed = self.held = None
        self.highest = self.accepted = self.active = 0
        self.silent = lambda rank, order: None
        # Decides for an answer to a target after which time a second copy follows, if any.
        self.doubled = lambda rank, target: None
        self.answers = 0

    def begin(self, step):
        if self.armed and self.armed[1] == step:
            version, _, content, self.experts = self.armed
            self.map, self.armed, self.prepared = (version, content), None, None
            self.record(f"rank {self.number}: pass {step} begins with version {version}, content {content}")
        for n in range(SETS * EXPERTS):
            weight = HOT_PICKS if n % EXPERTS in self.group.hot else 1
            self.counts[n] += self.active * weight

    def carry_out(self, order):
        """Carries an order out, as PROTOCOL.md says. Returns the status."""
        step = self.group.step
        if order.get("epoch", self.group.epoch) != self.group.epoch:
            return 409
        if order["op"] == "prepare":
            version, content = order["version"], digest(order["map"])
            if self.prepared and self.prepared[:2] == (version, content):
                return 200
            if version <= self.highest or self.armed:
                return 409
            mine = [ranks[self.number] for ranks in order["map"]]
            new = [len(set(m) - set(have)) for m, have in zip(mine, self.experts)]
            if max(new) > SPARE:
                return 409
            self.highest = version
            self.prepared = (version, content, mine, time.monotonic() + sum(new) * COPY_S)
            return 202
        if order["op"] == "arm":
            version, at = order["version"], order["step"]
            if self.armed and self.armed[:2] == (version, at):
                return 200
            if not self.is_prepared() or self.prepared[0] != version or at <= step:
                return 409
            self.armed = (version, at, self.prepared[1], self.prepared[2])
            return 202
        if order["op"] == "disarm":
            if self.map[0] == order["version"]:
                return 409
            if not self.armed or self.armed[0] != order["version"]:
                return 200
            self.armed = None
            return 202
        if order["op"] == "hold":
            if self.held == order["step"]:
                return 200
            if order["step"] <= step or self.held is not None:
                return 409
            self.held = order["step"]
            return 202
        if order["op"] == "go":
            if self.held != order["step"]:
                return 200
            self.held = None
            return 202
        return 400

    def is_prepared(self):
        return self.prepared is not None and self.prepared[3] <= time.monotonic()

    async def carry_out_later(self, order, text, after_s):
        await asyncio.sleep(after_s)
        self.record(f"rank {self.number}: {text}, sent {after_s:.1f} s ago, is carried out: {self.carry_out(order)}")

    async def handle_order(self, body):
        """Returns the status, or None if the order gets no answer."""
        order = json.loads(body)
        what = [f"{key} {order[key]}" for key in ("version", "step") if key in order]
        if "map" in order:
            what.append(f"content {digest(order['map'])}")
        text = " ".join([order["op"], *what])
        after_s = self.silent(self, order)
        if after_s is not None:
            self.record(f"rank {self.number}: {text} gets no answer")
            asyncio.create_task(self.carry_out_later(order, text, after_s))
            return None
        status = self.carry_out(order)
        self.accepted += status == 202
        self.record(f"rank {self.number}: {text} -> {status}")
        return status

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await read_body(reader, headers)
                target = line.split(" ")[1]
                self.answers += 1
                out = None
                if target == "/fuchsiabay/report":
                    out = answer(200, json.dumps(self.state_body()).encode())
                elif target.startswith("/fuchsiabay/picked"):
                    out = answer(200, json.dumps(self.picked("lists" in target)).encode())
                elif target == "/fuchsiabay/order":
                    status = await self.handle_order(body)
                    if status is None:
                        await reader.read()
                        return
                    out = answer(status)
                if out is not None:
                    writer.write(out)
                    after_s = self.doubled(self, target)
                    if after_s is not None:
                        asyncio.create_task(self.send_again(writer, target, out, after_s))
                else:
                    await self.stream(headers, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def send_again(self, writer, target, out, after_s):
        await asyncio.sleep(after_s)
        self.record(f"rank {self.number}: a second copy of an answer to {target} is sent, {after_s * 1000:.0f} ms after the first one")
        if not writer.is_closing():
            writer.write(out)

    def state_body(self):
        return {
            "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False, "seq": self.accepted,
            "queued": 0, "active": self.active, "kv_used": 0, "kv_total": 372000, "handles": 0, "born": self.born, "pace": 1.0,
            "group": {"name": "g-0", "epoch": self.group.epoch, "rank": self.number, "state": "open"},
            "size": len(self.group.ranks), "step": self.group.step, "map": self.map[0], "held": self.held,
            "prepared": {"version": self.prepared[0], "experts": self.prepared[2]} if self.is_prepared() else None,
            "armed": {"version": self.armed[0], "step": self.armed[1]} if self.armed else None,
        }

    def picked(self, with_lists):
        out = {"step": self.group.step, "epoch": self.group.epoch, "born": self.born}
        if with_lists:
            return {**out, "map": {"version": self.map[0], "experts": self.experts}, "prepared": None}
        return {**out, "counts": self.counts}

    async def stream(self, headers, writer):
        """Runs a request: one event a pass."""
        ident = headers.get("request-id", "")
        if headers.get("expect-instance", self.id) != self.id:
            writer.write(answer(421, b"", [("Request-Id", ident), ("Not-Executed", "1")]))
            return
        self.runs.append((self.record.now(), ident, "stream"))
        first = int(headers.get("last-event-id", "0")) + 1
        fields = f"Request-Id: {ident}\r\nServer-Stamp: {self.id}.{ident}\r\nContent-Type: text/event-stream\r\n"
        writer.write(f"HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n".encode())
        self.active += 1
        try:
            for n in range(first, 13):
                async with self.group.ticked:
                    await self.group.ticked.wait()
                event = f"id: {n}\ndata: piece {n}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        finally:
            self.active -= 1


class Agent:
    """A process of the role `agent` beside a rank."""

    def __init__(self, record, name, rank, port, folder):
        self.record, self.name = record, name
        ip = rank.addr.split(":")[0]
        self.path = os.path.join(folder, f"{name}.jsonc")
        with open(self.path, "w", encoding="utf-8") as f:
            json.dump({"instance": name, "ip": ip, "agent_port": port, "engine": rank.addr}, f)
        self.log = open(os.path.join(folder, f"{name}.log"), "w", encoding="utf-8")

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            BINARY, "agent", "--settings", self.path, stdout=self.log, stderr=self.log, cwd=PROJECT)
        self.record(f"agent {self.name} started, pid {self.process.pid}")

    async def stop(self):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        self.log.close()
