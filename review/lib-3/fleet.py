"""Starts nodes with the command of the deploy file, and their platform."""

import asyncio
import json
import os
import random
import resource
import shutil
import signal
import socket
import tempfile
import time
import tomllib

import store as store_module
import wire

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
INTERNAL_PORTS = 16
FIRST_PORT = 12000
LAST_PORT = 30000
START_LIMIT_S = 10.0


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(host, count):
    """Returns the first of some consecutive ports that are free. They lie below
    those that outgoing connections get, which could take one before the node
    listens."""
    for _ in range(500):
        first = random.randrange(FIRST_PORT, LAST_PORT - count)
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((host, port))
            return first
        except OSError:
            continue
    raise OSError("no free ports")


class Node:
    def __init__(self, name, folder, store_port, host="127.0.0.1", seeds=(),
                 memory_mb=290, max_fds=8200, zone="z1"):
        first = free_ports(host, INTERNAL_PORTS + 4)
        self.name = name
        self.host = host
        self.internal = first
        self.requests = (host, first + INTERNAL_PORTS)
        self.readiness = (host, first + INTERNAL_PORTS + 1)
        self.entry = (host, first + INTERNAL_PORTS + 2)
        self.memory_mb = memory_mb
        self.max_fds = max_fds
        self.process = None
        self.log_path = os.path.join(folder, name + ".log")
        self.settings = os.path.join(folder, name + ".toml")
        listed = ", ".join(f'"{seed}"' for seed in seeds)
        with open(self.settings, "w", encoding="utf-8") as target:
            target.write(f"""[vm]
id = "{name}"
region = "r1"
zone = "{zone}"
address = "{host}"
seeds = [{listed}]

[listen]
requests = "{host}:{self.requests[1]}"
readiness = "{host}:{self.readiness[1]}"
entry_addresses = "{host}:{self.entry[1]}"
first_internal_port = {first}

[store]
address = "127.0.0.1:{store_port}"
record_bytes = 65536

[times]
entry_time_to_live_s = 2
stop_grace_s = 8
cancel_limit_ms = 3000
result_lifetime_s = 120

[limits]
memory_mb = {memory_mb}
""")

    async def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as source:
            run = tomllib.load(source)["roles"]["node"]["run"].split()
        command = [os.path.join(ROOT, run[0])] + [
            self.settings if word.endswith(".toml") else word for word in run[1:]]

        def limit_descriptors():
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.max_fds, self.max_fds))

        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
                preexec_fn=limit_descriptors)

    async def wait_ready(self):
        until = time.monotonic() + START_LIMIT_S
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    async def is_ready(self, limit_s=1.0):
        answer = await wire.call(self.readiness, "GET", "/-/readyz",
                                 {"Host": "node"}, limit_s=limit_s)
        return answer.status == 200

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def resident_mb(self):
        with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as source:
            return int(source.read().split()[1]) * resource.getpagesize() / 1e6

    def send(self, number):
        if self.is_running():
            self.process.send_signal(number)

    async def kill(self):
        if self.is_running():
            self.process.kill()
        if self.process is not None:
            await self.process.wait()


class Fleet:
    """A platform, nodes and a record of what was seen."""

    def __init__(self, record_path):
        self.folder = tempfile.mkdtemp(prefix="chicory-review-")
        self.store = store_module.Store()
        self.nodes = []
        self.runners = []
        self.started = time.monotonic()
        self.record = open(record_path, "w", encoding="utf-8")

    def note(self, text):
        self.record.write(f"{time.monotonic() - self.started:8.3f} {text}\n")

    def configure(self, version, routes, services, **limits):
        bounds = {"max_header_bytes": 16384, "max_body_bytes": 4 << 20,
                  "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        bounds.update(limits)
        self.store.put_now("op", "", "config", json.dumps({
            "version": version, "routes": routes, "services": services,
            "limits": bounds}).encode())
        self.note(f"configuration {version} confirmed")

    async def add_node(self, name, **options):
        node = Node(name, self.folder, self.store.port, **options)
        self.nodes.append(node)
        await node.start()
        return node

    async def close(self):
        for node in self.nodes:
            await node.kill()
        for runner in self.runners:
            try:
                await runner.stop()
            except Exception:  # The stand-in may have stopped already.
                pass
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


STREAM_ROUTE = {
    "name": "ask", "host": "a.example", "prefix": "/ask/",
    "route_kind": "streaming", "service": "llm", "timeout_ms": 5000,
    "target_latency_ms": 300, "itl_target_ms": 300, "priority": 0,
    "max_attempts": 1, "resumable": False, "sticky": True}
BATCH_ROUTE = {
    "name": "draft", "host": "a.example", "prefix": "/draft/",
    "route_kind": "batch", "service": "llm", "timeout_ms": 15000,
    "target_latency_ms": 1000, "completion_target_ms": 18000,
    "retention_s": 60, "priority": 2, "max_attempts": 3, "max_count": 0}
SERVICE = {"name": "llm", "health_path": "/healthz", "engine": {
    "slots": 8, "kv_capacity": 101495}}


def run_case(main):
    """Runs a case and ends with its exit code; 2 when it could not run. A signal
    ends the case and all processes that it started."""
    async def run():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await main()

    code = 2
    try:
        code = asyncio.run(run())
    # A failure of the script itself is no finding.
    except (Exception, asyncio.CancelledError) as failure:
        print(f"the case could not run: {type(failure).__name__} {failure}")
    raise SystemExit(code)
