"""Starts nodes with the command and the settings template of the deploy files,
and holds what the cases share: clients, the record and the end of a case."""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback

import http1
import runner as runners
import store as stores

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
HOST = "review.example"

# Bounds of the sheets of the small deployments (SYSTEM.md).
DRAIN_S = 2.0
CONFIG_APPLY_S = 2.0
FINISH_S = 18.0
CONTACT_S = 3.0
GRACE_S = 8
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304,
          "header_timeout_ms": 3000, "idle_timeout_ms": 15000}

LOCK_PORT = 20999

# A case may run for 120 s; the rest is for its end.
CASE_LIMIT_S = 112.0

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


class NotRun(Exception):
    """The case could not run."""


def find_ports(addresses, count):
    """Returns the first of `count` consecutive ports that are free at all
    addresses, for TCP and UDP."""
    for first in range(21000 + os.getpid() % 5000, 60000, count):
        try:
            for address in addresses:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((address, port))
            return first
        except OSError:
            continue
    raise NotRun("no free ports")


def take_subnet():
    """Returns a socket that holds a loopback subnet, 127.0.N, and N. The nodes
    of two cases that run at the same time have different addresses."""
    for step in range(200):
        subnet = 20 + (os.getpid() + step) % 200
        lock = socket.socket()
        try:
            lock.bind(("127.0.%d.1" % subnet, LOCK_PORT))
            lock.listen()
            return lock, subnet
        except OSError:
            lock.close()
    raise NotRun("no free loopback subnet")


def render(template, values):
    """Fills in the placeholders that deploy/node.toml uses."""

    def look_up(path):
        found = values
        for name in path.split("."):
            found = found[int(name)] if name.isdigit() else found[name]
        return found

    def section(match):
        entries = look_up(match.group(1))
        parts = []
        for index, entry in enumerate(entries):
            text = match.group(2).replace("{{.}}", str(entry))
            last = index == len(entries) - 1
            parts.append(text.replace("{{,}}", "" if last else ","))
        return "".join(parts)

    text = re.sub(r"{{#([\w.]+)}}(.*?){{/\1}}", section, template, flags=re.S)
    return re.sub(r"{{([\w.]+)}}",
                  lambda match: str(look_up(match.group(1))), text)


def read_command():
    with open(os.path.join(ROOT, "deploy", "system.toml")) as source:
        match = re.search(r'^run = "([^"]+)"', source.read(), re.M)
    return match.group(1).split(" ")


class Node:
    def __init__(self, fleet, index, zone):
        self.fleet = fleet
        self.name = "frontend-%s-%d" % (zone, index)
        self.zone = zone
        self.ip = "127.0.%d.%d" % (fleet.subnet, 10 + index)
        self.process = None
        self.output = None

    @property
    def front(self):
        return (self.ip, self.fleet.port + 3)

    @property
    def ready(self):
        return (self.ip, self.fleet.port + 4)

    async def start(self):
        fleet = self.fleet
        values = {
            "node_name": self.name, "ip": self.ip, "zone": self.zone,
            "region": "r1",
            "internal_ports": [fleet.port, fleet.port + 2],
            "seeds": ["%s:%d" % (node.ip, fleet.port + 6)
                      for node in fleet.nodes[:3]],
            "listen": {"front": "%s:%d" % self.front,
                       "ready": "%s:%d" % self.ready,
                       "control": "%s:%d" % (self.ip, fleet.port + 6),
                       "directory": "%s:%d" % (self.ip, fleet.port + 5)},
            "platform": {"addr": "%s:%d" % fleet.store_address,
                         "max_row_bytes": 65536},
            "bounds": {"grace_s": GRACE_S, "cancel_ms": 3000,
                       "status_ttl_s": 120}}
        settings = os.path.join(fleet.folder, self.name + ".toml")
        with open(os.path.join(ROOT, "deploy", "node.toml")) as template:
            text = render(template.read(), values)
        with open(settings, "w") as target:
            target.write(text)
        command = [settings if word.endswith("node.toml") else word
                   for word in read_command()]
        if self.output is None:
            self.output = open(
                os.path.join(fleet.folder, self.name + ".log"), "ab")
        try:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL,
                stdout=self.output, stderr=self.output,
                env={"PATH": os.environ.get("PATH", ""),
                     "HOME": os.environ.get("HOME", "/"),
                     "CHICORYWHARF_BOOT": settings})
        except OSError as failure:
            raise NotRun("cannot start %s: %s" % (command[0], failure)) \
                from None
        fleet.record("%s started" % self.name)

    async def kill(self):
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()
        self.fleet.record("%s killed" % self.name)

    async def is_ready(self):
        status, _, _ = await http1.call(
            self.ready, "GET", "/-/readyz", {"Host": HOST}, limit_s=1.0)
        return status == 200


class Fleet:
    def __init__(self, case_folder, zones):
        self.started = time.monotonic()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record_file = open(os.path.join(case_folder, "record.txt"), "w")
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.lock, self.subnet = take_subnet()
        self.store_ip = "127.0.%d.1" % self.subnet
        self.nodes = []
        self.port = 0
        self.nodes = [Node(self, index, zone)
                      for index, zone in enumerate(zones)]
        self.port = find_ports([node.ip for node in self.nodes], 7)
        self.store_address = (self.store_ip, find_ports([self.store_ip], 1))
        self.store = stores.Store(self.record)
        self.runners = []
        self.configuration = None

    def now(self):
        return time.monotonic() - self.started

    def record(self, text):
        self.record_file.write("%8.3f %s\n" % (self.now(), text))
        self.record_file.flush()

    async def put_configuration(self, version, routes, services):
        self.configuration = {
            "version": version,
            "routes": routes,
            "services": [{"name": name, "health_path": "/healthz",
                          "max_conns": 170, "protocol": "h1", "tls": False,
                          "engine": {"slots": 8, "kv_capacity": 134354}}
                         for name in services],
            "limits": LIMITS}
        await self.store.put("op", "config", self.configuration)
        self.record("operator: version %d confirmed: %s" % (
            version, json.dumps([[route["name"], route["service"]]
                                 for route in routes])))

    async def add_runner(self, name, service, zone, **settings):
        ip = "127.0.%d.%d" % (self.subnet, 100 + len(self.runners))
        added = runners.Runner(
            self.record, self.store, name, service, zone,
            (ip, find_ports([ip], 1)), **settings)
        self.runners.append(added)
        await added.start()
        return added

    async def start_nodes(self):
        for node in self.nodes:
            await node.start()
        await self.wait_ready(self.nodes, 20.0)
        # Nodes meet each other before traffic starts, as on the sheets.
        await asyncio.sleep(3.0)

    async def wait_ready(self, nodes, limit_s):
        until = time.monotonic() + limit_s
        for node in nodes:
            while not await node.is_ready():
                if time.monotonic() > until:
                    raise NotRun("%s is not ready" % node.name)
                await asyncio.sleep(0.05)

    async def stop(self, keep_logs):
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                node.process.send_signal(signal.SIGKILL)
                await node.process.wait()
        if keep_logs:
            self.record("logs of the nodes are kept: REVIEW_KEEP is set")
            sys.stderr.write("logs: %s\n" % self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record_file.close()

    def own_ends(self):
        return [node.name for node in self.nodes
                if node.process is not None
                and node.process.returncode is not None]


# Clients.

def make_batch_route(name, prefix, service, **fields):
    route = {"name": name, "host": HOST, "prefix": prefix,
             "route_kind": "batch", "timeout_ms": 15000,
             "target_latency_ms": 400, "completion_target_ms": 18000,
             "retention_s": 60, "priority": 2, "service": service,
             "max_attempts": 3, "max_count": 0, "sticky": True,
             "resumable": True, "itl_target_ms": 300}
    route.update(fields)
    return route


class Job:
    def __init__(self, name, prefix, items, tokens=540):
        self.name = name
        self.prefix = prefix
        self.items = ["%s-i%03d" % (name, number) for number in range(items)]
        self.tokens = tokens
        self.accepted_at = None
        self.results = []

    def body(self):
        return json.dumps({"requests": [
            {"id": item, "path": "%s%s" % (self.prefix, item),
             "headers": {"X-Model": "m", "X-Token-Counts": "250,290",
                         "X-Prefix-Hash": "9c2e41:100,%08x:150" % number},
             "body": base64.b64encode(item.encode()).decode(),
             "tokens": self.tokens}
            for number, item in enumerate(self.items)]}).encode()


async def submit(fleet, job, first, limit_s=8.0):
    """Hands a job in, at other nodes after each failure, as clients do."""
    until = time.monotonic() + limit_s
    body = job.body()
    attempt = first
    while time.monotonic() < until:
        node = fleet.nodes[attempt % len(fleet.nodes)]
        attempt += 1
        status, headers, _ = await http1.call(
            node.front, "POST", job.prefix + job.name,
            {"Host": HOST, "X-Attempt-Id": job.name,
             "Content-Type": "application/json"}, body, limit_s=4.0)
        fleet.record("job %s to %s: %d" % (job.name, node.name, status))
        if status == 202:
            job.accepted_at = time.monotonic()
            return True
        await asyncio.sleep(float(headers.get("retry-after", 0.1)))
    return False


async def read_once(fleet, node, job, after, limit_s=4.0, wait_ms=0):
    headers = {"Host": HOST}
    if wait_ms:
        headers["X-Wait-Ms"] = str(wait_ms)
    status, _, body = await http1.call(
        node.front, "GET", "/-/lots/%s?after=%d" % (job.name, after),
        headers, limit_s=limit_s)
    return status, (json.loads(body) if status == 200 else None)


async def read_new(fleet, node, job, limit_s=4.0):
    """Reads the results that the client of a job has not read yet."""
    while True:
        status, page = await read_once(
            fleet, node, job, len(job.results), limit_s)
        if status != 200:
            return status
        if not page["results"]:
            return 200
        job.results += page["results"]


def run_case(case_file, zones, body):
    """Runs a case: `body(fleet)` returns the list of breaks of the rule."""
    folder = os.path.dirname(os.path.abspath(case_file))

    async def run():
        fleet = Fleet(folder, zones)
        code = EXIT_NOT_RUN
        try:
            await fleet.store.start(fleet.store_address)
            breaks = await asyncio.wait_for(body(fleet), CASE_LIMIT_S)
            for text in breaks:
                fleet.record("BROKEN: " + text)
            code = EXIT_BROKEN if breaks else EXIT_HELD
        except NotRun as failure:
            fleet.record("not run: %s" % failure)
        except asyncio.TimeoutError:
            fleet.record("not run: the case took too long")
        except Exception:
            fleet.record("not run: " + traceback.format_exc())
        fleet.record("exit %d, disruption %s" % (
            code, "on" if fleet.trouble else "off"))
        await fleet.stop(os.environ.get("REVIEW_KEEP") == "1")
        return code

    loop = asyncio.new_event_loop()
    code = loop.run_until_complete(run())
    sys.stdout.flush()
    os._exit(code)
