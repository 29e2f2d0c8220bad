"""A coordinator that is killed and back within its lease gives out a version again, for another map."""

import os
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-ins-3"))
from standins import *
from engines import *

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RANKS = 2
# The orders without an answer are carried out so much later, by rank: 2 to 12 s.
LATE_S = [4.0, 8.5]
# node_kill without loss of power: the bench starts the process again after 0.5 s.
DOWN_S = 0.5
STREAMS = 4


async def consume(record, entry, name, busy, stop):
    """Sends streams one after the other while `busy` is set."""
    ip, port = entry.ingress.split(":")
    n = 0
    while not stop.is_set():
        await asyncio.sleep(0.02)
        if not busy.is_set():
            continue
        n += 1
        headers = {
            "Request-Id": f"{name}{n:014x}", "Deadline-Ms": "8000", "Authorization": "Bearer key-1", "Model": "m",
            "Token-Count": "700,60", "Prompt-Prefix": f"{name}0{n:x}:40,{name}1{n:x}:660",
        }
        try:
            got = await Consumer(record).call(ip, int(port), "POST /fortunes/x", headers, b"{}")
        except OSError:
            got = None
        record(f"consumer: {headers['Request-Id']} is answered {got[0] if got else 'closed'}")


async def main(record, folder):
    store = Store(record)
    await store.start("127.0.50.1")
    routes = [route("fortunes", "/fortunes/", "stream", "llm", 8000, 400, 2, gap_goal_ms=120, resumable=True)]
    body = config(7, routes, [], [("tenant-1", "key-1")])
    body["services"] = [{"name": "llm", "engine": engine_profile(RANKS)}]
    await store.put("keyed.op", "config", body)
    group = Group(record, store, RANKS)
    for rank in group.ranks:
        await rank.start(f"127.0.51.{rank.number + 1}", 0, unix_ms())
    agent_port = free_port("127.0.51.1")
    agents = [Agent(record, f"side-{r.number}", r, agent_port, folder) for r in group.ranks]
    entries = [Entry(record, f"edge-{n + 1}", f"127.0.52.{n + 1}", "z", store.addr, folder) for n in range(2)]
    tasks = []
    try:
        for agent in agents:
            await agent.start()
        for entry in entries:
            entry.settings["agent_port"] = agent_port
            entry.settings["seeds"] = [e.control for e in entries]
            await entry.start()
        for entry in entries:
            if not await entry.wait_ready():
                raise RuntimeError(f"{entry.name} is not ready")
        await asyncio.sleep(3.0)
        coordinator = next(e for e in entries if e.control == store.owners()[0])
        other = next(e for e in entries if e is not coordinator)
        record(f"{coordinator.name} is the coordinator")
        busy, stop = asyncio.Event(), asyncio.Event()
        tasks.append(asyncio.create_task(group.run()))
        tasks += [asyncio.create_task(consume(record, other, f"{i:02x}", busy, stop)) for i in range(STREAMS)]

        async def until(what, condition, limit_s):
            end = record.now() + limit_s
            while not condition():
                if record.now() > end:
                    raise RuntimeError(f"not seen: {what}")
                await asyncio.sleep(0.005)

        record("experts 0 and 1 are in demand")
        group.hot = [0, 1]
        busy.set()
        await until("the first switch", lambda: all(r.map[0] for r in group.ranks), 15)
        first = group.ranks[0].map[0]

        unanswered = set()

        def silent(rank, order):
            if order["op"] == "prepare" and order["version"] > first and rank.number not in unanswered:
                unanswered.add(rank.number)
                return LATE_S[rank.number]
            return None

        if TROUBLE:
            for rank in group.ranks:
                rank.silent = silent
        record("experts 2 and 3 are in demand")
        group.hot = [2, 3]
        if TROUBLE:
            await until("the prepare orders of the second switch", lambda: len(unanswered) == RANKS, 15)
            await coordinator.kill()
            busy.clear()
            await asyncio.sleep(DOWN_S)
            await coordinator.start()
        else:
            await until("the second switch", lambda: all(r.map[0] > first for r in group.ranks), 15)
            busy.clear()
        await asyncio.sleep(6.0)
        record("experts 32 and 33 are in demand")
        group.hot = [32, 33]
        versions = [r.map[0] for r in group.ranks]
        busy.set()
        await until("another switch", lambda: group.violations or all(r.map[0] > v for r, v in zip(group.ranks, versions)), 20)
        await asyncio.sleep(2.0)
        busy.clear()
        stop.set()
        print(f"MAP: {len(group.violations)} passes began with different maps")
        return BROKEN if group.violations else 0
    finally:
        for task in tasks:
            task.cancel()
        for process in entries + agents:
            await process.stop()
        for rank in group.ranks:
            rank.stop()


if __name__ == "__main__":
    run(main, HERE)
