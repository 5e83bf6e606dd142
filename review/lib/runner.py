"""A stand-in for a model runner, by PROTOCOL.md, "Runners"."""

import asyncio
import hashlib
import json
import time

import http1

QUEUE = 24
HEARTBEAT_S = 1.2


def make_event_data(request_id, number, size):
    """Returns the data of an event, which depends on the request alone."""
    seed = hashlib.sha256(
        ("%s/%d" % (request_id, number)).encode()).hexdigest()
    return (seed * (size // len(seed) + 1))[:size]


def make_text(request_id, events, size):
    return "\n".join(
        make_event_data(request_id, number, size)
        for number in range(1, events + 1))


class Runner:
    def __init__(self, record, store, name, service, zone, address, slots=8,
                 events=100, event_s=0.04, event_bytes=75, batch=1):
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.slots = slots
        self.events = events
        self.event_s = event_s
        self.event_bytes = event_bytes
        # Number of events that are sent together.
        self.batch = batch
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.running = {}
        self.waiting = 0
        # Runs as [id, start, end, outcome]; an open run has no end.
        self.runs = []
        self.server = None
        self.beat_task = None
        self.channels = set()

    async def start(self):
        self.server = await http1.serve(self.address, self.handle)
        self.beat_task = asyncio.create_task(self.beat())

    async def register(self):
        self.sequence += 1
        await self.store.put("servers", self.name, {
            "service": self.service,
            "addr": "%s:%d" % self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "stage": "dual",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "born": self.born,
            "seq": self.sequence})

    async def beat(self):
        while True:
            await self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def drain(self, serve_on_s):
        """Reports `draining`, serves on, ends, and leaves the list."""
        self.state = "draining"
        await self.register()
        self.record("runner %s draining" % self.name)
        await asyncio.sleep(serve_on_s)
        self.crash()
        await self.store.remove("servers", self.name)
        self.record("runner %s has left" % self.name)

    def crash(self):
        """Ends at once, with all channels."""
        self.beat_task.cancel()
        self.server.close()
        for writer in list(self.channels):
            http1.abort(writer)

    async def handle(self, head, body, reader, writer):
        self.channels.add(writer)
        try:
            return await self.answer(head, body, reader, writer)
        finally:
            self.channels.discard(writer)

    def base_headers(self, request_id):
        headers = {"X-Attempt-Id": request_id,
                   "X-Instance-Load": "%d,%d,%d" % (
                       len(self.running), self.waiting, self.slots)}
        if self.state == "draining":
            headers["Server-Leaving"] = "1"
        return headers

    async def answer(self, head, body, reader, writer):
        method, target, _ = head.first_line.split(" ")
        request_id = head.get("x-attempt-id")
        headers = self.base_headers(request_id)
        if method == "GET" and target == "/-/report":
            writer.write(http1.make_answer(
                200, json.dumps({"stage": "dual", "models": []}).encode()))
            return True
        if head.get("x-expect-instance", self.name) != self.name:
            headers["X-Not-Executed"] = "1"
            writer.write(http1.make_answer(421, b"", headers))
            return True
        if len(self.running) >= self.slots and self.waiting >= QUEUE:
            headers["X-Not-Executed"] = "1"
            writer.write(http1.make_answer(503, b"", headers))
            return True
        self.waiting += 1
        try:
            while len(self.running) >= self.slots:
                await asyncio.sleep(0.005)
                if reader.at_eof() or writer.transport.is_closing():
                    return False
        finally:
            self.waiting -= 1
        after = int(head.get("last-event-id") or 0)
        key = object()
        run = [request_id, time.monotonic(), None, "running"]
        self.running[key] = run
        self.runs.append(run)
        try:
            run[3] = await self.work(request_id, after, headers, reader, writer)
            return run[3] == "completed"
        except (OSError, asyncio.CancelledError):
            run[3] = "closed"
            raise
        finally:
            run[2] = time.monotonic()
            del self.running[key]

    async def work(self, request_id, after, headers, reader, writer):
        headers["X-Response-Stamp"] = hashlib.sha256(
            (self.name + request_id).encode()).hexdigest()[:24]
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                 "Transfer-Encoding: chunked"]
        lines += ["%s: %s" % item for item in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        number = after + 1
        while number <= self.events:
            until = min(number + self.batch, self.events + 1)
            await asyncio.sleep(self.event_s * (until - number))
            if reader.at_eof() or writer.transport.is_closing():
                return "closed"
            text = "".join(
                "id: %d\ndata: %s\n\n" % (
                    event,
                    make_event_data(request_id, event, self.event_bytes))
                for event in range(number, until)).encode()
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await writer.drain()
            number = until
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return "completed"
