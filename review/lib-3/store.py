"""Stand-in of the platform's metadata store (PROTOCOL.md)."""

import asyncio
import base64
import bisect
import json
import time
import urllib.parse

import wire

MAX_ENTRIES = 100
MAX_CALL_BYTES = 1 << 20
MAX_ROWS = 500
MAX_ROW_BYTES = 65536
TXN_LATENCY_S = 0.005
READ_LATENCY_S = 0.002
OBJECT_LATENCY_S = 0.025


class Store:
    def __init__(self):
        self.rows = {}
        self.changes = {}
        self.version = 1
        self.changed = asyncio.Condition()
        self.objects = {}
        self.server = None
        self.port = 0
        self.started = time.monotonic()
        # Called with the path and the parsed call; may return a status with
        # which the call is refused before it has an effect.
        self.refuse = lambda path, caller: None

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", 0, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    def put_now(self, table, part, key, value):
        """Writes a row, as an operator or a runner does."""
        self.version += 1
        self.write((table, part, key), value)
        self.wake()

    def remove_now(self, table, part, key):
        self.version += 1
        self.write((table, part, key), None)
        self.wake()

    def wake(self):
        async def notify():
            async with self.changed:
                self.changed.notify_all()
        asyncio.get_running_loop().create_task(notify())

    def write(self, name, value):
        if value is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = (value, self.version)
        self.changes.setdefault(name[0], []).append((self.version, name, value))

    def now_ms(self):
        return int((time.monotonic() - self.started) * 1000) + 1_000_000

    @staticmethod
    def show(name, value, version):
        row = {"table": name[0], "part": name[1], "key": name[2],
               "row_version": version}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def reply(self, status, fields):
        fields.setdefault("row_version", self.version)
        fields.setdefault("now_ms", self.now_ms())
        return wire.make_response(
            status, {"Content-Type": "application/json"},
            json.dumps(fields).encode())

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await wire.read_head(reader)
                body = await wire.read_body(reader, headers)
                method, target, _ = line.split(" ")
                writer.write(await self.answer(method, target, headers, body, writer))
                await writer.drain()
        except (wire.Closed, OSError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, headers, body, writer):
        path, _, query = target.partition("?")
        fields = {name: values[0] for name, values in
                  urllib.parse.parse_qs(query, keep_blank_values=True).items()}
        status = self.refuse(path, writer.get_extra_info("peername"))
        if status is not None:
            return self.reply(status, {})
        if path == "/-/rows-tx":
            await asyncio.sleep(TXN_LATENCY_S)
            return self.transact(json.loads(body), len(body))
        if path == "/-/rows-get":
            await asyncio.sleep(READ_LATENCY_S)
            return self.read(fields)
        if path == "/-/rows-parts":
            await asyncio.sleep(READ_LATENCY_S)
            parts = sorted({name[1] for name in self.rows
                            if name[0] == fields["table"]})
            after = fields.get("after")
            if after is not None:
                parts = [part for part in parts if part > after]
            return self.reply(200, {"parts": parts[:1000],
                                    "has_more": len(parts) > 1000})
        if path == "/-/rows-feed":
            return await self.feed(fields)
        await asyncio.sleep(OBJECT_LATENCY_S)
        return self.serve_object(method, path, headers, body)

    def transact(self, call, size):
        entries = [call.get(kind) or [] for kind in ("expected_rev", "put", "remove")]
        if sum(map(len, entries)) > MAX_ENTRIES or size > MAX_CALL_BYTES:
            return self.reply(400, {"error": "too large"})
        found, failed = [], False
        for row in entries[0]:
            name = (row["table"], row.get("part", ""), row["key"])
            value, version = self.rows.get(name, (None, 0))
            failed = failed or version != row["row_version"]
            if value is not None:
                found.append(self.show(name, value, version))
        if failed:
            return self.reply(412, {"rows": found})
        for row in entries[1] + entries[2]:
            if row["table"] in ("op", "servers"):
                return self.reply(403, {})
            if len(base64.b64decode(row.get("value", ""))) > MAX_ROW_BYTES:
                return self.reply(400, {"error": "row too large"})
        self.version += 1
        for row in entries[1]:
            self.write((row["table"], row.get("part", ""), row["key"]),
                       base64.b64decode(row["value"]))
        for row in entries[2]:
            self.write((row["table"], row.get("part", ""), row["key"]), None)
        self.wake()
        return self.reply(200, {})

    def read(self, fields):
        start, end = fields.get("from", ""), fields.get("to", "")
        names = sorted(name for name in self.rows
                       if name[0] == fields["table"]
                       and name[1] == fields.get("part", "")
                       and name[2] >= start and (not end or name[2] < end))
        limit = min(int(fields.get("limit", MAX_ROWS)), MAX_ROWS)
        rows, size = [], 0
        for name in names:
            value, version = self.rows[name]
            size += len(value) * 4 // 3 + 200
            if rows and (len(rows) >= limit or size > MAX_CALL_BYTES):
                break
            rows.append(self.show(name, value, version))
        return self.reply(200, {"rows": rows, "has_more": len(rows) < len(names)})

    async def feed(self, fields):
        after = int(fields["after"])
        until = time.monotonic() + min(int(fields.get("wait_ms", 0)), 30000) / 1000
        while True:
            changes = self.changes.get(fields["table"], [])
            first = bisect.bisect_right(changes, after, key=lambda entry: entry[0])
            left = until - time.monotonic()
            if first < len(changes) or left <= 0:
                break
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        await asyncio.sleep(READ_LATENCY_S)
        changes = self.changes.get(fields["table"], [])
        rows = [self.show(name, value, version)
                for version, name, value in changes[first:first + MAX_ROWS]]
        more = len(changes) - first > MAX_ROWS
        fields = {"rows": rows, "has_more": more}
        if more:
            fields["row_version"] = rows[-1]["row_version"]
        return self.reply(200, fields)

    def serve_object(self, method, path, headers, body):
        kind, _, name = path[3:].partition("/")
        if kind == "blob-put" and method == "PUT":
            if headers.get("if-none-match") == "*" and name in self.objects:
                return self.reply(412, {})
            self.objects[name] = body
            return self.reply(200, {})
        if kind == "blob-get" and name in self.objects:
            return wire.make_response(200, {}, self.objects[name])
        if kind == "blob-drop" and method == "DELETE":
            self.objects.pop(name, None)
            return self.reply(200, {})
        return self.reply(404, {})
