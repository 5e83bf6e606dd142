"""A TCP proxy before the store whose open channels can go silent."""
import asyncio


class Proxy:
    def __init__(self, target, host="127.0.0.1"):
        self.target = target
        self.host = host
        self.port = None
        self.channels = []

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.host, 0, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            from_store, to_store = await asyncio.open_connection(
                self.target.host, self.target.port)
        except OSError:
            writer.close()
            return
        channel = {"silent": False}
        self.channels.append(channel)
        try:
            await asyncio.gather(
                self.pass_on(channel, reader, to_store),
                self.pass_on(channel, from_store, writer))
        except (ConnectionError, asyncio.CancelledError):
            pass  # A cancelled task has no one who asks for its result.
        finally:
            self.channels.remove(channel)
            to_store.close()
            writer.close()

    @staticmethod
    async def pass_on(channel, source, target):
        while data := await source.read(65536):
            if not channel["silent"]:
                target.write(data)
                await target.drain()
        if not channel["silent"]:
            target.close()

    def silence(self):
        """All open channels deliver nothing further, and stay open; new ones
        work. Returns their number."""
        for channel in self.channels:
            channel["silent"] = True
        return len(self.channels)
