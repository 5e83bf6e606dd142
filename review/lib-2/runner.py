"""Stand-in of a model runner, by PROTOCOL.md: streams events, queues a few."""
import asyncio
import json
import time

import http11


class Runner:
    def __init__(self, store, name, service, host, zone="z1", slots=8, queue=24,
                 kv_capacity=101495, event_s=0.004, record=lambda text: None,
                 make_events=None):
        self.store = store
        self.name = name
        self.service = service
        self.host = host
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.kv_capacity = kv_capacity
        self.event_s = event_s
        self.record = record
        self.make_events = make_events or default_events
        self.born = int(time.time() * 1000)
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.seq = 0
        self.arrivals = []   # one dictionary for each request that has run
        self.refusals = []
        self.busy_ids = {}

    async def start(self):
        self.server = await http11.serve(self.host, 0, self.handle)
        self.port = self.server.sockets[0].getsockname()[1]
        await self.check_in()
        self.task = asyncio.create_task(self.keep_registered())

    async def check_in(self):
        self.seq += 1
        await self.store.put("servers", self.name, {
            "service": self.service, "addr": f"{self.host}:{self.port}",
            "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": "ready", "cold_left_ms": 0, "seq": self.seq,
            "born": self.born})

    async def keep_registered(self):
        while True:
            await asyncio.sleep(1.2)
            await self.check_in()

    def load(self):
        return f"{self.running},{self.waiting},{self.slots}"

    def refuse(self, status, attempt):
        headers = {"X-Not-Executed": "1", "X-Instance-Id": self.name,
                   "X-Instance-Load": self.load()}
        if attempt:
            headers["X-Attempt-Id"] = attempt
        return http11.make_response(status, headers)

    async def handle(self, request, writer):
        headers = request.headers
        if request.target == "/healthz":
            return http11.make_response(200, {"X-Instance-Id": self.name,
                                              "X-Instance-Load": self.load()})
        attempt = headers.get("x-attempt-id", "")
        expected = headers.get("x-expect-instance", self.name)
        counts = headers.get("x-token-counts", "0,0").split(",")
        tokens = sum(int(count) for count in counts)
        status = 0
        if expected != self.name:
            status = 421
        elif not attempt:
            status = 400
        elif tokens > self.kv_capacity or self.waiting >= self.queue:
            status = 503
        if status:
            self.refusals.append((status, attempt))
            return self.refuse(status, attempt)
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            self.busy_ids[attempt] = self.busy_ids.get(attempt, 0) + 1
            try:
                await self.run(request, writer, attempt)
            finally:
                self.running -= 1
                self.busy_ids[attempt] -= 1
        return None

    async def run(self, request, writer, attempt):
        after = int(request.headers.get("last-event-id", "0") or 0)
        entry = {"attempt": attempt, "method": request.method,
                 "target": request.target, "after": after,
                 "headers": request.headers, "body": request.body,
                 "at": time.monotonic(), "done": False}
        self.arrivals.append(entry)
        events = self.make_events(attempt)
        writer.write(http11.make_head(200, {
            "X-Attempt-Id": attempt, "X-Response-Stamp": f"{self.name}.{attempt}",
            "X-Instance-Id": self.name, "X-Instance-Load": self.load(),
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked"}))
        for number in range(after + 1, len(events) + 1):
            await asyncio.sleep(self.event_s)
            event = f"id: {number}\ndata: {events[number - 1]}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        entry["done"] = True


def default_events(attempt):
    return [f"{attempt}-{number}" for number in range(1, 21)]


def make_text(attempt, make_events=default_events):
    return "\n".join(make_events(attempt))
