"""A small HTTP/1.1 server and client for the review's stand-ins.

The stand-ins control each byte and the end of each channel, which the
standard library's HTTP modules do not allow."""

import asyncio

MAX_HEAD_BYTES = 65536


class BadAnswer(Exception):
    """Bytes that are no answer in HTTP/1.1."""


class Head:
    def __init__(self, first_line, headers):
        self.first_line = first_line
        self.headers = headers

    def get(self, name, default=""):
        return self.headers.get(name, default)


async def read_head(reader):
    """Reads a head; returns None if the channel ends before its first byte."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as ended:
        if not ended.partial:
            return None
        raise
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return Head(lines[0], headers)


async def read_chunk(reader):
    """Reads one chunk of a body; an empty one is the last."""
    line = await reader.readuntil(b"\r\n")
    size_text = line.strip().split(b";")[0]
    try:
        size = int(size_text, 16)
    except ValueError:
        raise BadAnswer(
            "expected the size of a chunk, found %r" % line[:200]) from None
    data = await reader.readexactly(size)
    if await reader.readexactly(2) != b"\r\n":
        raise BadAnswer("expected the end of a chunk")
    return data


async def read_body(reader, head):
    if "chunked" in head.get("transfer-encoding"):
        body = b""
        while True:
            data = await read_chunk(reader)
            if not data:
                return body
            body += data
    length = head.get("content-length")
    if length:
        return await reader.readexactly(int(length))
    return b""


def make_message(first_line, headers, body):
    lines = [first_line]
    lines += ["%s: %s" % item for item in headers.items()]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


REASONS = {
    200: "OK",
    202: "Accepted",
    404: "Not Found",
    410: "Gone",
    412: "Precondition Failed",
    421: "Misdirected Request",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


def make_answer(status, body=b"", headers=None):
    first_line = "HTTP/1.1 %d %s" % (status, REASONS.get(status, "Other"))
    return make_message(first_line, headers or {}, body)


def abort(writer):
    """Closes a channel at once, without the rest of an answer."""
    writer.transport.abort()


async def serve(address, handler):
    """Serves calls; `handler(head, body, reader, writer)` returns whether the
    channel may carry another request."""

    async def serve_channel(reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head)
                if not await handler(head, body, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, BadAnswer):
            pass
        except asyncio.CancelledError:
            abort(writer)
            return
        finally:
            writer.close()

    return await asyncio.start_server(
        serve_channel, address[0], address[1], limit=MAX_HEAD_BYTES)


class Call:
    """One call on a channel of its own."""

    def __init__(self, reader, writer, head):
        self.reader = reader
        self.writer = writer
        self.head = head

    @property
    def status(self):
        return int(self.head.first_line.split()[1])

    def close(self):
        self.writer.close()


async def open_call(address, method, target, headers, body=b""):
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection(*address, limit=MAX_HEAD_BYTES), 1.0)
    try:
        writer.write(make_message(
            "%s %s HTTP/1.1" % (method, target), headers, body))
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            raise ConnectionError("channel closed without an answer")
    except BaseException:
        writer.close()
        raise
    return Call(reader, writer, head)


async def call(address, method, target, headers, body=b"", limit_s=5.0):
    """Makes a whole call; returns status, headers and body, or status 0 and the
    reason when there was no whole answer."""

    async def run():
        opened = await open_call(address, method, target, headers, body)
        try:
            return opened.status, opened.head.headers, await read_body(
                opened.reader, opened.head)
        finally:
            opened.close()

    try:
        return await asyncio.wait_for(run(), limit_s)
    except asyncio.TimeoutError:
        return 0, {}, b"no answer in time"
    except (OSError, asyncio.IncompleteReadError, BadAnswer) as failure:
        return 0, {}, repr(failure).encode()
