"""Stand-in of the platform's metadata store, by PROTOCOL.md."""
import asyncio
import base64
import bisect
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

import http11

MAX_ENTRIES = 100
MAX_CALL_BYTES = 1 << 20
MAX_PAGE_ROWS = 500
MAX_PAGE_BYTES = 1 << 20
MAX_STORED_BYTES = 400_000_000
MAX_ROW_BYTES = 65536
MAX_BLOB_BYTES = 8388608
TXN_S = 0.005
BLOB_S = 0.025
BLOB_BYTES_PER_S = 80_000_000
BLOB_PIECE_BYTES = 65536
JSON_HEADERS = {"Content-Type": "application/json"}


class Store:
    def __init__(self, host="127.0.0.1", record=lambda text: None):
        self.host = host
        self.record = record
        self.rows = {}      # (table, part, key) -> (value bytes, version)
        self.blobs = {}
        self.version = 1
        self.history = []   # (version, (table, part, key))
        self.changed = asyncio.Condition()
        self.started = time.monotonic()
        self.stored = 0
        self.blob_free_at = 0.0
        self.full_answers = 0
        self.full_at = None
        self.answer_delay_s = 0.0   # of a slow store, after the work is done
        self.port = None

    async def start(self):
        self.server = await http11.serve(self.host, 0, self.handle)
        self.port = self.server.sockets[0].getsockname()[1]

    def now_ms(self):
        return 1000 + int((time.monotonic() - self.started) * 1000)

    def note_full(self):
        self.full_answers += 1
        self.full_at = self.full_at or time.monotonic()

    def write(self, name, value):
        """Changes a row within the transaction of `self.version`."""
        old = self.rows.pop(name, None)
        self.stored -= len(old[0]) if old else 0
        if value is not None:
            self.rows[name] = (value, self.version)
            self.stored += len(value)
        self.history.append((self.version, name))

    async def put(self, table, key, document, part=""):
        """Writes a row as the operator or a runner does."""
        self.version += 1
        value = None if document is None else json.dumps(document).encode()
        self.write((table, part, key), value)
        async with self.changed:
            self.changed.notify_all()

    def row(self, name):
        found = self.rows.get(name)
        row = {"table": name[0], "part": name[1], "key": name[2]}
        if found is None:
            return {**row, "row_version": self.version, "deleted": True}
        return {**row, "value": base64.b64encode(found[0]).decode(),
                "row_version": found[1]}

    def answer(self, status, **fields):
        document = {**fields, "row_version": self.version,
                    "now_ms": self.now_ms()}
        return http11.make_response(
            status, JSON_HEADERS, json.dumps(document).encode())

    async def handle(self, request, writer):
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in
                 parse_qs(parts.query, keep_blank_values=True).items()}
        path = parts.path
        if path == "/-/rows-tx":
            return await self.transact(request)
        if path == "/-/rows-get":
            await asyncio.sleep(TXN_S)
            return self.read_rows(query)
        if path == "/-/rows-parts":
            await asyncio.sleep(TXN_S)
            names = sorted({name[1] for name in self.rows
                            if name[0] == query["table"]})
            after = query.get("after")
            names = [name for name in names if after is None or name > after]
            return self.answer(200, parts=names[:1000],
                               has_more=len(names) > 1000)
        if path == "/-/rows-feed":
            return await self.follow(query)
        if path.startswith("/-/blob-"):
            return await self.use_blob(request, path, writer)
        return http11.make_response(404, {})

    async def transact(self, request):
        await asyncio.sleep(TXN_S)
        call = json.loads(request.body)
        entries = {kind: call.get(kind, [])
                   for kind in ("expected_rev", "put", "remove")}
        name_of = lambda row: (row["table"], row["part"], row["key"])
        values = {name_of(row): base64.b64decode(row["value"])
                  for row in entries["put"]}
        touched = [*values, *map(name_of, entries["remove"])]
        if (sum(map(len, entries.values())) > MAX_ENTRIES or
                len(request.body) > MAX_CALL_BYTES or
                any(len(value) > MAX_ROW_BYTES for value in values.values()) or
                len({name[1] for name in touched}) > 1):
            return self.answer(400)
        if any(name[0] in ("op", "servers") for name in touched):
            return self.answer(403)
        failed = False
        for row in entries["expected_rev"]:
            found = self.rows.get(name_of(row))
            failed |= (found[1] if found else 0) != row["row_version"]
        if failed:
            rows = [self.row(name_of(row)) for row in entries["expected_rev"]
                    if name_of(row) in self.rows]
            return self.answer(412, rows=rows)
        if values and self.stored >= MAX_STORED_BYTES:
            self.note_full()
            return self.answer(507)
        self.version += 1
        for name, value in values.items():
            self.write(name, value)
        for row in entries["remove"]:
            self.write(name_of(row), None)
        # Without a delay, the newest version is still this transaction's.
        answer = self.answer(200)
        async with self.changed:
            self.changed.notify_all()
        if self.answer_delay_s > 0:
            await asyncio.sleep(self.answer_delay_s)
            answer = self.answer(200)
        return answer

    def read_rows(self, query):
        names = sorted(
            name for name in self.rows
            if name[0] == query["table"] and name[1] == query.get("part", "")
            and name[2] >= query.get("from", "")
            and (not query.get("to") or name[2] < query["to"]))
        rows, size, more = [], 0, False
        limit = min(int(query.get("limit", MAX_PAGE_ROWS)), MAX_PAGE_ROWS)
        for name in names:
            row = self.row(name)
            size += len(row["value"])
            if rows and (len(rows) >= limit or size > MAX_PAGE_BYTES):
                more = True
                break
            rows.append(row)
        return self.answer(200, rows=rows, has_more=more)

    async def follow(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000

        def find():
            start = bisect.bisect_right(
                self.history, after, key=lambda entry: entry[0])
            newest = {}
            for version, name in self.history[start:]:
                if name[0] == table:
                    newest.pop(name, None)
                    newest[name] = version
            return [{**self.row(name), "row_version": version}
                    for name, version in newest.items()]

        rows = find()
        while not rows and (left := until - time.monotonic()) > 0:
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                break
            rows = find()
        return self.answer(200, rows=rows)

    async def share_blob_rate(self, size):
        """All calls share the rate: each waits its turn for the next piece."""
        now = time.monotonic()
        self.blob_free_at = max(self.blob_free_at, now) + size / BLOB_BYTES_PER_S
        if self.blob_free_at > now + 0.002:
            await asyncio.sleep(self.blob_free_at - now)

    async def use_blob(self, request, path, writer):
        call, _, name = path[len("/-/blob-"):].partition("/")
        name = unquote(name)
        await asyncio.sleep(BLOB_S)
        if call == "get":
            if name not in self.blobs:
                return http11.make_response(404, {})
            blob = self.blobs[name]
            writer.write(http11.make_head(200, {"Content-Length": len(blob)}))
            for at in range(0, len(blob), BLOB_PIECE_BYTES):
                await self.share_blob_rate(BLOB_PIECE_BYTES)
                writer.write(blob[at:at + BLOB_PIECE_BYTES])
                await writer.drain()
            return b""
        await self.share_blob_rate(len(request.body))
        if call == "put":
            if request.headers.get("if-none-match") == "*" and name in self.blobs:
                return http11.make_response(412, {})
            if len(request.body) > MAX_BLOB_BYTES:
                return http11.make_response(413, {})
            if self.stored >= MAX_STORED_BYTES:
                self.note_full()
                return http11.make_response(507, {})
            self.stored += len(request.body) - len(self.blobs.get(name, b""))
            self.blobs[name] = request.body
            return http11.make_response(200, {})
        if call == "drop":
            self.stored -= len(self.blobs.pop(name, b""))
            return http11.make_response(200, {})
        if call == "list":
            names = sorted(self.blobs)
            return http11.make_response(
                200, JSON_HEADERS,
                json.dumps({"names": names[:1000],
                            "has_more": len(names) > 1000}).encode())
        return http11.make_response(404, {})
