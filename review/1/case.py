"""A node is killed and starts again while the store is silent. It takes its
configuration from another node and accepts jobs as soon as the store is back.
The check is MIXED: an item is `errored` before its time."""

import asyncio
import base64
import json
import time

import fleet as fleets

ZONES = ["z1", "z2", "z3"]
ITEMS = 10
RUNNER = {"slots": 8, "events": 25, "event_s": 0.02, "batch": 5}
SILENT_S = 7.0
KILL_AFTER_S = 0.5
# A killed process starts again after a short delay.
RESTART_S = 1.0
# Six times the 0.8 jobs a second of the sheet.
SUBMIT_GAP_S = 1 / 4.8
BURST_S = 3.0
# Time from the first send after which an item may be given up.
RETENTION_S = 60.0


async def read_all(fleet, jobs, until):
    while time.monotonic() < until and any(
            len(job.results) < len(job.items) for job in jobs):
        for number, job in enumerate(jobs):
            if job.accepted_at and len(job.results) < len(job.items):
                await fleets.read_new(
                    fleet, fleet.nodes[number % len(fleet.nodes)], job)
        await asyncio.sleep(0.3)


def list_breaks(fleet, jobs):
    breaks = []
    for job in jobs:
        # The runners of this case never answer 422 or 500.
        errored = [result["id"] for result in job.results
                   if result["state"] == "errored"]
        age = time.monotonic() - job.sent_at
        fleet.record("job %s: %d of %d results, %d errored, age %.1f s" % (
            job.name, len(job.results), len(job.items), len(errored), age))
        if errored and age < RETENTION_S:
            breaks.append(
                "MIXED: job %s: %d items are errored %.1f s after the first "
                "send, before retention_s, without a 422 or 500: %s" % (
                    job.name, len(errored), age, " ".join(errored)))
    return breaks


async def run(fleet):
    await fleet.put_configuration(
        1, [fleets.make_batch_route("letters", "/letters/", "svc")], ["svc"])
    for index in range(6):
        await fleet.add_runner(
            "i-%d" % index, "svc", ZONES[index % len(ZONES)], **RUNNER)
    await fleet.start_nodes()

    jobs = []
    sending = []

    def send():
        job = fleets.Job("job%02d" % len(jobs), "/letters/", ITEMS)
        job.sent_at = time.monotonic()
        # The clients of one zone, whose nearest node is the second one.
        sending.append(asyncio.create_task(fleets.submit(fleet, job, 1)))
        jobs.append(job)

    send()
    await asyncio.gather(*sending)
    begun = time.monotonic()
    node = fleet.nodes[1]
    if fleet.trouble:
        fleet.store.silent = True
        fleet.record("the store is silent")
        await asyncio.sleep(KILL_AFTER_S)
        await node.kill()
        await asyncio.sleep(RESTART_S)
        await node.start()
        await fleet.wait_ready([node], 4.0)
        fleet.record("%s is ready" % node.name)
    back = begun + SILENT_S
    await asyncio.sleep(max(0.0, back - BURST_S - time.monotonic()))
    while time.monotonic() < back:
        send()
        await asyncio.sleep(SUBMIT_GAP_S)
    fleet.store.silent = False
    fleet.record("the store serves again")
    await asyncio.gather(*sending)
    await read_all(fleet, jobs, time.monotonic() + fleets.FINISH_S)
    if fleet.own_ends():
        raise fleets.NotRun("ended by themselves: %s" % fleet.own_ends())
    for name, (value, _) in sorted(fleet.store.rows.items()):
        if name[0] == "jobs" and name[2] != "/limit":
            document = json.loads(base64.b64decode(value))
            fleet.record("stored job %s: accepted_ms %d" % (
                name[2], document["accepted_ms"]))
    return list_breaks(fleet, jobs)


fleets.run_case(__file__, ZONES, run)
