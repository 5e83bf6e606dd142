"""Sound items wait for ever behind items that are larger than any runner."""
import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
from case import (BROKEN, HELD, HOST, NOT_RUN, TROUBLE, main, make_item,
                  read_all, submit)
from fleet import Fleet, make_batch_route, make_config
from runner import Runner, make_text
from store import Store

NODES = 3
RUNNERS = 2
KV_CAPACITY = 134_354
LARGE_TOKENS = 140_000
ITEMS = 10
LARGE_JOBS_EACH = 2
SOUND_JOBS_EACH = 2
FINISH_S = 18
CALM_S = 5
QUIET_S = 3


async def run(record):
    store = Store()
    await store.start()
    runners = [Runner(store, f"i-{n}", "letters", "127.0.0.1", f"z{n + 1}",
                      kv_capacity=KV_CAPACITY) for n in range(RUNNERS)]
    for runner in runners:
        await runner.start()
    await store.put("op", "config", make_config(
        7, [make_batch_route("r-jobs", HOST, "/jobs/", "letters")],
        {"letters": KV_CAPACITY}))
    fleet = Fleet(store, NODES, record=record)
    try:
        await fleet.start()
        if not await fleet.wait_ready():
            return NOT_RUN
        await asyncio.sleep(2)
        return await judge(record, fleet, runners)
    finally:
        await fleet.stop()


async def judge(record, fleet, runners):
    tokens = LARGE_TOKENS if TROUBLE else 350
    for node in fleet.nodes:
        for number in range(LARGE_JOBS_EACH):
            job = f"large{node.name[-1]}{number}"
            status = await submit(node, job, [
                make_item(f"{job}-{at}", tokens) for at in range(ITEMS)])
            record(f"sent {job} of {ITEMS} items with {tokens} tokens each to "
                   f"{node.name}: {status}")
            if status != 202:
                return NOT_RUN
    await asyncio.sleep(1)
    sound = []
    for node in fleet.nodes:
        for number in range(SOUND_JOBS_EACH):
            job = f"sound{node.name[-1]}{number}"
            status = await submit(node, job, [
                make_item(f"{job}-{at}") for at in range(ITEMS)])
            record(f"sent {job} of {ITEMS} items with 350 tokens each to "
                   f"{node.name}: {status}")
            if status != 202:
                return NOT_RUN
            sound.append(job)
    record(f"traffic has ended; finish_s is {FINISH_S}")
    await asyncio.sleep(FINISH_S - CALM_S)
    most_running = 0
    until = time.monotonic() + CALM_S
    while time.monotonic() < until:
        most_running = max(most_running, max(r.running for r in runners))
        await asyncio.sleep(0.02)
    now = time.monotonic()
    had = {entry["attempt"].split("-")[0] for runner in runners
           for entry in runner.arrivals
           if entry["at"] > now - CALM_S or not entry["done"]}
    last_run = max((entry["at"] for runner in runners
                    for entry in runner.arrivals), default=0)
    record(f"in the last {CALM_S} s a runner ran at most {most_running} of 8; "
           f"jobs with an item at a runner: {sorted(had) or 'none'}; the last "
           f"item began {now - last_run:.1f} s ago")
    lost = 0
    for job in sound:
        total, results = await read_all(fleet.nodes, job)
        wrong = [r["id"] for r in results
                 if r["state"] != "completed" or r["text"] != make_text(r["id"])]
        record(f"read {job}: total {total}, listed {len(results)}, wrong {wrong}")
        if total is None or wrong:
            return NOT_RUN
        if job not in had:
            lost += total - len(results)
    for runner in runners:
        record(f"{runner.name} ran {len(runner.arrivals)} requests, refused "
               f"{len(runner.refusals)}")
    broken = lost > 0 and most_running < 4 and now - last_run > QUIET_S
    record(f"LOST: {lost} accepted items are listed neither as completed nor "
           "as errored" if broken else "LOST holds")
    return BROKEN if broken else HELD


main(FOLDER, run)
