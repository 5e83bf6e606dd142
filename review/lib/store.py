"""A stand-in for the platform's metadata store, by PROTOCOL.md, "The platform's
metadata store"."""

import asyncio
import base64
import bisect
import json
import time
import urllib.parse

import http1

ANSWER_S = 0.004
TRANSACTION_S = 0.005
HISTORY_S = 20.0
MAX_ROWS = 500
MAX_PAGE_BYTES = 1000000
MAX_CALL_BYTES = 1 << 20
# The steady clock of the store counts from the store's own start, which lies
# long before the start of the nodes.
CLOCK_START_MS = 40000000


class Store:
    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.changes = []
        self.sorted_keys = {}
        self.version = 100
        self.dropped_version = 100
        self.blobs = {}
        self.started = time.monotonic()
        self.silent = False
        self.changed = asyncio.Condition()
        self.server = None

    async def start(self, address):
        self.server = await http1.serve(address, self.handle)

    def now_ms(self):
        return CLOCK_START_MS + int((time.monotonic() - self.started) * 1000)

    # The operator and the runners write with these.

    async def put(self, table, key, document):
        text = json.dumps(document).encode()
        self.version += 1
        self.write((table, "", key), base64.b64encode(text).decode())
        await self.notify()

    async def remove(self, table, key):
        self.version += 1
        self.write((table, "", key), None)
        await self.notify()

    def write(self, name, value):
        if value is None or name not in self.rows:
            self.sorted_keys.pop(name[:2], None)
        if value is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = (value, self.version)
        now = time.monotonic()
        self.changes.append((self.version, name, value is None, now))
        while now - self.changes[0][3] > HISTORY_S:
            self.dropped_version = self.changes.pop(0)[0]

    def add_old(self, name, value):
        """Adds a row whose write is no longer in the history."""
        self.rows[name] = (value, self.dropped_version)
        self.sorted_keys.pop(name[:2], None)

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, head, body, reader, writer):
        if self.silent:
            # Nothing is done, and the channel delivers nothing further.
            await asyncio.sleep(3600)
        method, target, _ = head.first_line.split(" ")
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(
            query_text, keep_blank_values=True))
        status, document = await self.answer(method, path, query, body)
        if self.silent:
            await asyncio.sleep(3600)
        if isinstance(document, bytes):
            writer.write(http1.make_answer(status, document))
        else:
            document.update(
                {"row_version": document.get("row_version", self.version),
                 "now_ms": self.now_ms()})
            writer.write(http1.make_answer(
                status,
                json.dumps(document).encode(),
                {"Content-Type": "application/json"}))
        await writer.drain()
        return True

    async def answer(self, method, path, query, body):
        if path == "/-/rows-tx" and method == "POST":
            return await self.transact(json.loads(body), len(body))
        if path == "/-/rows-feed":
            return await self.feed(query)
        await asyncio.sleep(ANSWER_S)
        if path == "/-/rows-get":
            return self.get(query)
        if path == "/-/rows-parts":
            parts = sorted({name[1] for name in self.rows
                            if name[0] == query["table"]})
            after = query.get("after")
            if after is not None:
                parts = [part for part in parts if part > after]
            return 200, {"parts": parts[:1000], "has_more": len(parts) > 1000}
        if path.startswith("/-/blob-put/") and method == "PUT":
            name = path.rpartition("/")[2]
            if name in self.blobs:
                return 412, b""
            self.blobs[name] = body
            return 200, b""
        if path.startswith("/-/blob-get/"):
            name = path.rpartition("/")[2]
            if name not in self.blobs:
                return 404, b""
            return 200, self.blobs[name]
        return 404, b""

    def make_row(self, name):
        value, version = self.rows[name]
        return {"table": name[0], "part": name[1], "key": name[2],
                "value": value, "row_version": version}

    async def transact(self, request, size):
        await asyncio.sleep(TRANSACTION_S)
        put = request.get("put", [])
        remove = request.get("remove", [])
        if size > MAX_CALL_BYTES or len(put) + len(remove) > 100:
            return 400, {}

        def name_of(row):
            return row["table"], row.get("part", ""), row["key"]

        if any(row["table"] in ("op", "servers") for row in put + remove):
            return 403, {}
        expected = request.get("expected_rev", [])
        for row in expected:
            found = self.rows.get(name_of(row), ("", 0))[1]
            if found != row["row_version"]:
                return 412, {"rows": [self.make_row(name_of(other))
                                      for other in expected
                                      if name_of(other) in self.rows]}
        self.version += 1
        for row in put:
            self.write(name_of(row), row["value"])
        for row in remove:
            self.write(name_of(row), None)
        version = self.version
        await self.notify()
        return 200, {"row_version": version}

    def keys_of(self, table, part):
        """Returns the keys of a part in order."""
        known = self.sorted_keys.get((table, part))
        if known is None:
            known = sorted(name[2] for name in self.rows
                           if name[:2] == (table, part))
            self.sorted_keys[(table, part)] = known
        return known

    def get(self, query):
        table, part = query["table"], query.get("part", "")
        keys = self.keys_of(table, part)
        first = bisect.bisect_left(keys, query.get("from", ""))
        last = bisect.bisect_left(keys, query["to"]) if "to" in query \
            else len(keys)
        names = [(table, part, key)
                 for key in keys[first:min(last, first + MAX_ROWS + 1)]]
        limit = min(int(query.get("limit", MAX_ROWS)), MAX_ROWS)
        rows = []
        size = 0
        for name in names:
            size += len(self.rows[name][0])
            if len(rows) == limit or (rows and size > MAX_PAGE_BYTES):
                break
            rows.append(self.make_row(name))
        return 200, {"rows": rows, "has_more": len(rows) < len(names)}

    async def feed(self, query):
        table = query["table"]
        after = int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        await asyncio.sleep(ANSWER_S)
        while True:
            if after < self.dropped_version:
                return 410, {}
            found = [change for change in self.changes
                     if change[0] > after and change[1][0] == table]
            left = until - time.monotonic()
            if found or left <= 0:
                break
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        latest = {change[1]: change for change in found}
        rows = []
        for version, name, deleted, _ in sorted(
                latest.values(), key=lambda change: change[0]):
            if deleted:
                rows.append({"table": name[0], "part": name[1],
                             "key": name[2], "row_version": version,
                             "deleted": True})
            else:
                rows.append(self.make_row(name))
        return 200, {"rows": rows}
