"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""
import asyncio

MAX_HEAD_BYTES = 65536
REASONS = {200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found",
           410: "Gone", 412: "Precondition Failed", 413: "Too Large",
           421: "Misdirected Request", 422: "Unprocessable", 429: "Too Many",
           500: "Error", 503: "Unavailable", 507: "Full"}


class Request:
    def __init__(self, method, target, headers, raw_head):
        self.method = method
        self.target = target
        self.headers = headers
        self.raw_head = raw_head
        self.body = b""


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if not line:
            continue
        name, separator, value = line.partition(":")
        # As RFC 9112 asks of a server: no space before the colon.
        if not separator or name != name.strip() or not name:
            raise ValueError("bad header line")
        headers.setdefault(name.lower(), []).append(value.strip())
    return lines[0], {name: ", ".join(values)
                      for name, values in headers.items()}, raw


async def read_body(reader, headers, until_end=False):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = bytearray()
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return bytes(body)
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_end else b""


async def read_request(reader):
    line, headers, raw = await read_head(reader)
    method, target, version = line.split(" ")
    if not version.startswith("HTTP/1."):
        raise ValueError("no HTTP/1 request")
    request = Request(method, target, headers, raw)
    request.body = await read_body(reader, headers)
    return request


def make_head(status, headers):
    text = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
    for name, value in headers.items():
        text += f"{name}: {value}\r\n"
    return (text + "\r\n").encode("latin-1")


def make_response(status, headers, body=b""):
    return make_head(status, {**headers, "Content-Length": len(body)}) + body


async def serve(host, port, handle):
    """Serves requests in turn on each channel. `handle(request, writer)`
    returns the bytes of the answer, or None if it has written by itself and
    the channel stays open; an exception closes the channel."""

    async def run(reader, writer):
        try:
            while True:
                request = await read_request(reader)
                answer = await handle(request, writer)
                if answer is not None:
                    writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError,
                asyncio.LimitOverrunError, asyncio.CancelledError):
            pass  # A cancelled task has no one who asks for its result.
        finally:
            writer.close()

    return await asyncio.start_server(
        run, host, port, limit=MAX_HEAD_BYTES, backlog=1024)


async def call(host, port, method, target, headers=None, body=b"", limit=30.0):
    """Makes one call on a new channel. Returns (status, headers, body), or
    (0, {}, reason) if there was no complete answer."""
    writer = None
    try:
        async with asyncio.timeout(limit):
            reader, writer = await asyncio.open_connection(
                host, port, limit=MAX_HEAD_BYTES)
            head = f"{method} {target} HTTP/1.1\r\n"
            fields = {"Host": "host.example", **(headers or {})}
            if body or method == "POST":
                fields["Content-Length"] = len(body)
            for name, value in fields.items():
                head += f"{name}: {value}\r\n"
            writer.write((head + "\r\n").encode("latin-1") + body)
            await writer.drain()
            line, found, _ = await read_head(reader)
            return (int(line.split(" ")[1]), found,
                    await read_body(reader, found, until_end=True))
    except (OSError, asyncio.IncompleteReadError, ValueError, TimeoutError,
            asyncio.LimitOverrunError) as failure:
        return 0, {}, repr(failure).encode()
    finally:
        if writer is not None:
            writer.close()
