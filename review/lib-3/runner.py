"""Stand-in of a runner (PROTOCOL.md): streams numbered events."""

import asyncio
import hashlib
import json
import time

import wire

HEARTBEAT_S = 1.2
QUEUE = 24


def event_data(attempt, number):
    """Returns the data of an event, which depends on the request alone."""
    digest = hashlib.sha256(f"{attempt}/{number}".encode()).hexdigest()
    return digest + digest[:11]


class Runner:
    def __init__(self, store, name, service, slots=8, zone="z1"):
        self.store = store
        self.name = name
        self.service = service
        self.slots = slots
        self.zone = zone
        self.address = ("127.0.0.1", 0)
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.free = asyncio.Semaphore(slots)
        self.running = 0
        self.waiting = 0
        self.connections = set()
        self.server = None
        self.heartbeat = None
        self.events = 20
        self.first_event_s = 0.02
        self.event_s = 0.012
        # Bytes that are added to the data of each event.
        self.padding = 0
        # Seconds after which an idle channel is closed, in Keep-Alive; zero for
        # never.
        self.idle_s = 0
        # Returns whether a sound answer announces the end of its channel.
        self.closes = lambda: False
        # Called with the attempt id and headers; returns None, or bytes to
        # send in place of the response.
        self.spoil = lambda attempt, headers: None
        # Notes each run: attempt id, first event, time.
        self.on_run = lambda attempt, after, headers, body: None
        self.on_end = lambda attempt, complete: None

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(
            self.accept, host, 0, limit=1 << 22, backlog=512)
        self.address = self.server.sockets[0].getsockname()[:2]
        self.register()
        self.heartbeat = asyncio.create_task(self.beat())

    def register(self):
        self.sequence += 1
        self.store.put_now("servers", "", self.name, json.dumps({
            "service": self.service, "addr": "%s:%d" % self.address,
            "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": self.state, "cold_left_ms": 0, "seq": self.sequence,
            "born": self.born, "stage": "dual",
            "models": [{"name": "m", "version": 1, "adapters": []}],
        }).encode())

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    async def leave(self, drain_s):
        """Reports draining, serves for the drain time, then exits."""
        self.state = "draining"
        self.register()
        await asyncio.sleep(drain_s)
        while self.running > 0:
            await asyncio.sleep(0.05)
        await self.stop()
        self.store.remove_now("servers", "", self.name)

    async def stop(self):
        if self.heartbeat is not None:
            self.heartbeat.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.close()

    def load(self):
        return f"{self.running},{self.waiting},{self.slots}"

    def head(self, attempt):
        fields = {"X-Attempt-Id": attempt, "X-Instance-Id": self.name,
                  "X-Instance-Load": self.load()}
        if self.idle_s:
            fields["Keep-Alive"] = f"timeout={self.idle_s}"
        if self.state == "draining":
            fields["Server-Leaving"] = "1"
            fields["Connection"] = "close"
        return fields

    async def accept(self, reader, writer):
        self.connections.add(writer)
        try:
            while await self.serve(reader, writer):
                pass
        except (wire.Closed, OSError, ValueError, asyncio.TimeoutError,
                asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        line, headers = await asyncio.wait_for(
            wire.read_head(reader), self.idle_s or None)
        body = await wire.read_body(reader, headers)
        method, target, _ = line.split(" ")
        attempt = headers.get("x-attempt-id", "")
        if target in ("/healthz", "/-/report"):
            report = {"stage": "dual", "models": [], "busy": False, "seq": 1,
                      "queued": self.waiting, "running": self.running,
                      "kv_used": 0, "kv_total": 100000, "handles": 0}
            writer.write(wire.make_response(
                200, self.head(attempt), json.dumps(report).encode()))
            await writer.drain()
            return True
        if headers.get("x-expect-instance", self.name) != self.name:
            writer.write(wire.make_response(421, {
                "X-Attempt-Id": attempt, "X-Instance-Id": self.name}))
            await writer.drain()
            return True
        if not attempt or self.waiting >= QUEUE:
            fields = self.head(attempt)
            fields["X-Not-Executed"] = "1"
            writer.write(wire.make_response(503 if attempt else 400, fields))
            await writer.drain()
            return True
        self.waiting += 1
        await self.free.acquire()
        self.waiting -= 1
        self.running += 1
        try:
            return await self.run(reader, writer, headers, body, attempt)
        finally:
            self.running -= 1
            self.free.release()

    async def run(self, reader, writer, headers, body, attempt):
        after = int(headers.get("last-event-id", "0") or 0)
        self.on_run(attempt, after, headers, body)
        spoiled = self.spoil(attempt, headers)
        if spoiled is not None:
            writer.write(spoiled)
            await writer.drain()
            self.on_end(attempt, False)
            return True
        await asyncio.sleep(self.first_event_s)
        fields = self.head(attempt)
        if self.closes():
            fields["Connection"] = "close"
        fields["Content-Type"] = "text/event-stream"
        fields["Transfer-Encoding"] = "chunked"
        fields["X-Response-Stamp"] = hashlib.sha256(attempt.encode()).hexdigest()[:24]
        fields["X-Weights-Versions"] = "1"
        writer.write(wire.make_head("HTTP/1.1 200 OK", fields))
        for number in range(after + 1, self.events + 1):
            if reader.at_eof() or writer.is_closing():
                self.on_end(attempt, False)
                return False
            text = event_data(attempt, number) + "x" * self.padding
            data = f"id: {number}\ndata: {text}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.on_end(attempt, True)
        return "Connection" not in fields
