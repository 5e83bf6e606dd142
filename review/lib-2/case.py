"""What the cases share: the record, the exit code, calls for batch jobs."""
import asyncio
import base64
import json
import os
import sys
import time
import traceback
from pathlib import Path

import http11

HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "jobs.example"


class Record:
    """Writes record.txt beside the case, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()
        self(f"TROUBLE={1 if TROUBLE else 0}")

    def __call__(self, text):
        line = f"{time.monotonic() - self.started:8.2f}  {text}"
        print(line, file=self.file, flush=True)


def make_item(item, tokens=350, body=b"x" * 200, prompt=None, headers=None):
    prompt = prompt if prompt is not None else tokens - 100
    return {"id": item, "path": f"/jobs/{item}",
            "headers": {"X-Model": "m",
                        "X-Token-Counts": f"{prompt},{tokens - prompt}",
                        "X-Prefix-Hash": f"5c1e07a2:100,{item}:{prompt - 100}",
                        **(headers or {})},
            "body": base64.b64encode(body).decode(), "tokens": tokens}


async def submit(node, job, items, limit=8.0):
    body = json.dumps({"requests": items}).encode()
    status, _, _ = await http11.call(
        node.ip, node.front, "POST", f"/jobs/{job}",
        {"Host": HOST, "X-Attempt-Id": job,
         "Content-Type": "application/json"}, body, limit)
    return status


async def read_results(node, job, after=0, wait_ms=0, limit=3.0):
    """Returns (status, document)."""
    headers = {"Host": HOST}
    if wait_ms:
        headers["X-Wait-Ms"] = str(wait_ms)
    status, _, body = await http11.call(
        node.ip, node.front, "GET", f"/-/lots/{job}?after={after}", headers,
        b"", limit)
    return status, json.loads(body) if status == 200 else {}


async def read_all(nodes, job, limit=10.0):
    """Reads a job from the start, again after each failure, at any node.
    Returns (total, results), or (None, []) if it can't be read."""
    until = time.monotonic() + limit
    results, at = [], 0
    while time.monotonic() < until:
        status, found = await read_results(
            nodes[at % len(nodes)], job, len(results))
        if status != 200:
            at += 1
            await asyncio.sleep(0.2)
            continue
        results += found["results"]
        if not found["results"]:
            return found["total"], results
    return None, results


def main(folder, run):
    """Runs a case: `run(record)` returns an exit code."""
    record = Record(folder)
    try:
        code = asyncio.run(run(record))
    except Exception:
        record("the case could not run:\n" + traceback.format_exc())
        code = NOT_RUN
    record(f"exit {code}")
    sys.exit(code)
