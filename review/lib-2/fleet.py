"""Starts the program of the deploy file as a small fleet on loopback addresses,
and acts as its platform: settings from the template, restarts, memory limit."""
import asyncio
import os
import re
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from pathlib import Path

import http11

ROOT = Path(__file__).resolve().parents[2]
RESTART_S = 0.5
METRICS_PORT = 9102
# The bounds of the small deployments (sites/).
BOUNDS = {"grace_s": 8, "cancel_ms": 3000, "status_ttl_s": 120,
          "quota_overshoot": 0.1}


def render(template, fields):
    """Fills in a template by the rules of DEPLOY.md, as far as it needs them."""

    def look_up(name, scope):
        if name == ".":
            return scope["."]
        value = scope
        for part in name.split("."):
            if isinstance(value, list) and part.isdigit():
                value = value[int(part)]
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                return None
        return value

    def section(match):
        name, inner = match.group(1), match.group(2)
        value = look_up(name, fields)
        if value in (None, False):
            return ""
        if isinstance(value, list):
            return "".join(
                inner.replace("{{.}}", str(entry)).replace(
                    "{{,}}", "" if at == len(value) - 1 else ",")
                for at, entry in enumerate(value))
        return inner

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                  flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda match: str(look_up(match.group(1), fields)), text)


def find_free_ports(host, count, first, udp=True):
    """Returns the first of `count` neighbouring free ports."""
    while first < 60000:
        try:
            held = []
            for port in range(first, first + count):
                kinds = [socket.SOCK_STREAM] + [socket.SOCK_DGRAM] * udp
                for kind in kinds:
                    held.append(socket.socket(socket.AF_INET, kind))
                    held[-1].bind((host, port))
            return first
        except OSError:
            first += count
        finally:
            for each in held:
                each.close()
    raise RuntimeError("no free ports")


def take_loopback_net():
    """Returns the third number of loopback addresses that no other case uses,
    and the socket that holds it: the metrics port is the same on all machines,
    so each machine needs an address of its own."""
    for net in range(77, 250):
        lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            lock.bind((f"127.0.{net}.1", METRICS_PORT))
            return net, lock
        except OSError:
            lock.close()
    raise RuntimeError("no free loopback addresses")


class Node:
    def __init__(self, fleet, number, zone):
        self.fleet = fleet
        self.name = f"frontend-{zone}-{number}"
        self.zone = zone
        self.ip = f"127.0.{fleet.net}.{number + 10}"
        base = find_free_ports(self.ip, 12, 21000 + 100 * number)
        self.front, self.ready, self.control, self.directory = (
            base, base + 1, base + 2, base + 3)
        self.internal = base + 4
        self.process = None
        self.keep_up = True
        self.ends = []       # (time, reason)
        self.peak_mb = 0.0
        self.log = fleet.folder / f"{self.name}.log"

    def write_settings(self):
        template = (ROOT / self.fleet.role["template"]).read_text()
        seeds = [f"{node.ip}:{node.control}" for node in self.fleet.nodes[:3]]
        fields = {
            "node_name": self.name, "region": "r1", "zone": self.zone,
            "ip": self.ip, "seeds": seeds,
            "internal_ports": [self.internal, self.internal + 7],
            "listen": {"front": f"{self.ip}:{self.front}",
                       "ready": f"{self.ip}:{self.ready}",
                       "control": f"{self.ip}:{self.control}",
                       "directory": f"{self.ip}:{self.directory}"},
            "platform": {"addr": f"{self.fleet.store.host}:"
                                 f"{self.fleet.store.port}",
                         "max_row_bytes": 65536},
            "bounds": BOUNDS, "limits": {"memory_mb": self.fleet.memory_mb}}
        self.settings = self.fleet.folder / f"{self.name}.toml"
        self.settings.write_text(render(template, fields))

    async def start(self):
        self.write_settings()
        words = self.fleet.role["run"].split(" ")
        words = [str(self.settings) if word == "/etc/chicorywharf/node.toml"
                 else word for word in words]
        words[0] = str(ROOT / words[0])
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, stdout=log, stderr=log, cwd=ROOT,
                env={"PATH": os.environ.get("PATH", ""),
                     "CHICORYWHARF_BOOT": str(self.settings)})

    def memory_mb(self):
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
            return int(re.search(r"VmRSS:\s+(\d+)", status).group(1)) / 1024
        except (OSError, AttributeError):
            return 0.0

    def send_signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


class Fleet:
    def __init__(self, store, count, memory_mb=290, record=print,
                 zones=("z1", "z2", "z3"), enforce_memory=True):
        self.store = store
        self.memory_mb = memory_mb
        self.record = record
        self.net, self.net_lock = take_loopback_net()
        self.enforce_memory = enforce_memory
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.role = deploy["roles"]["node"]
        self.nodes = []
        for number in range(count):
            self.nodes.append(Node(self, number, zones[number % len(zones)]))
        self.started = time.monotonic()

    def elapsed(self):
        return time.monotonic() - self.started

    async def start(self):
        for node in self.nodes:
            await node.start()
        self.watch = asyncio.create_task(self.watch_nodes())

    async def wait_ready(self, limit=15.0):
        """Returns whether all nodes became ready without a second start."""
        until = time.monotonic() + limit
        for node in self.nodes:
            while (await http11.call(node.ip, node.ready, "GET", "/-/readyz",
                                     limit=1.0))[0] != 200:
                if time.monotonic() > until:
                    return False
                await asyncio.sleep(0.1)
        return not any(node.ends for node in self.nodes)

    async def watch_nodes(self):
        """The platform: ends a process over its memory, restarts what ended."""
        while True:
            for node in self.nodes:
                if not node.keep_up or node.process is None:
                    continue
                if node.process.returncode is not None:
                    code = node.process.returncode
                    if not node.ends or node.ends[-1][2] != node.process.pid:
                        node.ends.append((self.elapsed(), f"exit {code}",
                                          node.process.pid))
                        self.record(f"{self.elapsed():.2f} {node.name} ended "
                                    f"by itself with code {code}")
                    node.process = None
                    asyncio.create_task(self.restart_later(node))
                    continue
                used = node.memory_mb()
                node.peak_mb = max(node.peak_mb, used)
                if self.enforce_memory and used > self.memory_mb:
                    node.ends.append((self.elapsed(), f"memory {used:.0f} MB",
                                      node.process.pid))
                    self.record(f"{self.elapsed():.2f} {node.name} holds "
                                f"{used:.0f} MB of {self.memory_mb}: killed by "
                                "the platform")
                    node.send_signal(signal.SIGKILL)
                    await node.process.wait()
            await asyncio.sleep(0.01)

    async def restart_later(self, node):
        await asyncio.sleep(RESTART_S)
        if node.keep_up and node.process is None:
            await node.start()

    async def stop(self):
        if hasattr(self, "watch"):
            self.watch.cancel()
        for node in self.nodes:
            node.keep_up = False
            node.send_signal(signal.SIGKILL)
            if node.process is not None:
                await node.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def make_config(version, routes, services, max_body_bytes=4194304):
    """Returns op/config; `services` maps a name to its memory in tokens."""
    return {
        "version": version, "routes": routes,
        "services": [
            {"name": name, "health_path": "/healthz", "max_conns": 170,
             "protocol": "h1", "tls": False,
             "engine": {"slots": 8, "kv_capacity": capacity}}
            for name, capacity in services.items()],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": max_body_bytes,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def make_batch_route(name, host, prefix, service, **more):
    return {"name": name, "host": host, "prefix": prefix, "route_kind": "batch",
            "timeout_ms": 15000, "target_latency_ms": 400, "priority": 2,
            "service": service, "max_attempts": 3, "sticky": True,
            "completion_target_ms": 18000, "retention_s": 60, "max_count": 0,
            **more}
