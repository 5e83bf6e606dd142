"""Small HTTP/1.1 helpers for the stand-ins of the review scripts."""

import asyncio

MAX_BODY_BYTES = 16 << 20


class Closed(Exception):
    """The peer closed the connection."""


async def read_head(reader):
    """Returns the first line and the headers, names in lower case."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as failure:
        raise Closed(str(failure)) from failure
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """Yields the chunks of a chunked body."""
    while True:
        try:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size)
            await reader.readexactly(2)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError) as failure:
            raise Closed(str(failure)) from failure
        if size == 0:
            return
        yield data


async def read_body(reader, headers):
    """Reads the body of a message with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return b"".join([data async for data in read_chunks(reader)])
    length = int(headers.get("content-length", "0"))
    if length > MAX_BODY_BYTES:
        raise Closed("body too long")
    try:
        return await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError) as failure:
        raise Closed(str(failure)) from failure


def make_head(first_line, headers):
    text = first_line + "\r\n"
    for name, value in headers.items():
        text += f"{name}: {value}\r\n"
    return (text + "\r\n").encode("latin-1")


def make_response(status, headers=None, body=b""):
    fields = dict(headers or {})
    fields["Content-Length"] = str(len(body))
    return make_head(f"HTTP/1.1 {status} Status", fields) + body


class Answer:
    """Response of a node as a caller sees it."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.complete = False
        self.failure = ""


async def read_answer(reader, answer):
    line, answer.headers = await read_head(reader)
    answer.status = int(line.split()[1])
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        async for data in read_chunks(reader):
            answer.body += data
    else:
        answer.body = await read_body(reader, answer.headers)
    answer.complete = True


async def call(address, method, target, headers=None, body=b"", limit_s=8.0):
    """Sends a request on a new connection and reads the answer."""
    answer = Answer()
    writer = None

    async def run():
        nonlocal writer
        reader, writer = await asyncio.open_connection(*address, limit=1 << 22)
        fields = dict(headers or {})
        fields["Connection"] = "close"
        if body or method in ("POST", "PUT"):
            fields["Content-Length"] = str(len(body))
        writer.write(make_head(f"{method} {target} HTTP/1.1", fields) + body)
        await writer.drain()
        await read_answer(reader, answer)

    try:
        await asyncio.wait_for(run(), limit_s)
    except (asyncio.TimeoutError, Closed, OSError, ValueError, IndexError) as failure:
        answer.failure = f"{type(failure).__name__} {failure}"
    finally:
        if writer is not None:
            writer.close()
    return answer


class Channel:
    """A channel of a caller that carries one request after the other."""

    def __init__(self, address):
        self.address = address
        self.reader = None
        self.writer = None

    async def call(self, method, target, headers, body=b"", limit_s=8.0):
        answer = Answer()

        async def run():
            if self.writer is None:
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(*self.address, limit=1 << 22), 1.0)
            fields = dict(headers)
            fields["Content-Length"] = str(len(body))
            self.writer.write(make_head(f"{method} {target} HTTP/1.1", fields) + body)
            await self.writer.drain()
            await read_answer(self.reader, answer)

        try:
            await asyncio.wait_for(run(), limit_s)
        except (asyncio.TimeoutError, Closed, OSError, ValueError, IndexError) as failure:
            answer.failure = f"{type(failure).__name__} {failure}"
        if answer.failure or answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None
