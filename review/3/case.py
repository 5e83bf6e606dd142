"""A batch route moves to another service while items wait for slots, and the
runners of the old service drain and leave. The check is LOST, `finish_s`."""

import asyncio
import time

import fleet as fleets

ZONES = ["z1", "z2", "z3"]
JOBS = 12
ITEMS = 10
SUBMIT_GAP_S = 0.2
# 100 events take 4 s, about as long as an item takes on the sheets.
RUNNER = {"slots": 8, "events": 100, "event_s": 0.04, "batch": 2}
RUNNERS_OF_SERVICE = 3
# A leaving runner serves on for `drain_ms` and a little longer.
SERVE_ON_S = fleets.DRAIN_S + 1.0
LEAVE_GAP_S = 1.0
# A result that a client can read within this time after `finish_s` counts.
LAST_CALM_S = 5.0
LAST_FINISH_S = 3.0


def make_route(service):
    return fleets.make_batch_route("letters", "/letters/", service)


async def follow(fleet, jobs, until):
    """Reads each job about twice a second, at another node each time."""
    turn = 0
    while time.monotonic() < until:
        for job in jobs:
            if job.accepted_at and len(job.results) < len(job.items):
                turn += 1
                await fleets.read_new(
                    fleet, fleet.nodes[turn % len(fleet.nodes)], job)
        await asyncio.sleep(0.5)


async def move_route(fleet, old):
    await fleet.put_configuration(
        2, [make_route("svc-new")], ["svc-old", "svc-new"])
    await asyncio.sleep(fleets.CONFIG_APPLY_S)
    leaving = []
    for runner in old:
        leaving.append(asyncio.create_task(runner.drain(SERVE_ON_S)))
        await asyncio.sleep(LEAVE_GAP_S)
    await asyncio.gather(*leaving)


def list_breaks(fleet, jobs, new):
    now = time.monotonic()
    runs = [run for runner in fleet.runners for run in runner.runs]
    finished = [run for run in runs
                if run[3] == "completed" and run[2] > now - LAST_FINISH_S]
    busy = sum(len(runner.running) for runner in new)
    slots = sum(runner.slots for runner in new)
    fleet.record("runners of svc-new: %d of %d slots taken, %d items finished "
                 "in the last 3 s" % (busy, slots, len(finished)))
    breaks = []
    for job in jobs:
        listed = {result["id"] for result in job.results}
        missing = [item for item in job.items if item not in listed]
        had = {run[0] for run in runs
               if run[2] is None or run[2] > now - LAST_CALM_S}
        if missing and not had & set(missing) and not finished \
                and busy * 2 < slots:
            breaks.append(
                "LOST: job %s is open, %d of its %d items are neither "
                "completed nor errored: %s" % (
                    job.name, len(missing), len(job.items),
                    " ".join(missing)))
    return breaks


async def run(fleet):
    await fleet.put_configuration(
        1, [make_route("svc-old")], ["svc-old", "svc-new"])
    old = []
    new = []
    for index in range(RUNNERS_OF_SERVICE):
        zone = ZONES[index % len(ZONES)]
        old.append(await fleet.add_runner(
            "i-old%d" % index, "svc-old", zone, **RUNNER))
        new.append(await fleet.add_runner(
            "i-new%d" % index, "svc-new", zone, **RUNNER))
    await fleet.start_nodes()

    jobs = [fleets.Job("job%02d" % number, "/letters/", ITEMS)
            for number in range(JOBS)]
    reading = asyncio.create_task(follow(fleet, jobs, time.monotonic() + 100))
    for number, job in enumerate(jobs):
        if not await fleets.submit(fleet, job, number):
            raise fleets.NotRun("job %s was not accepted" % job.name)
        await asyncio.sleep(SUBMIT_GAP_S)
    if fleet.trouble:
        await move_route(fleet, old)
    # Traffic has ended; batch jobs have the rest of their 18 s and `finish_s`.
    end = jobs[-1].accepted_at + 18.0 + fleets.FINISH_S
    while time.monotonic() < end and any(
            len(job.results) < len(job.items) for job in jobs):
        await asyncio.sleep(0.2)
    reading.cancel()
    for job in jobs:
        await fleets.read_new(fleet, fleet.nodes[0], job)
        fleet.record("job %s: %d of %d results" % (
            job.name, len(job.results), len(job.items)))
    fleet.record("runs at svc-old %d, at svc-new %d" % (
        sum(len(runner.runs) for runner in old),
        sum(len(runner.runs) for runner in new)))
    if fleet.own_ends():
        raise fleets.NotRun("ended by themselves: %s" % fleet.own_ends())
    return list_breaks(fleet, jobs, new)


fleets.run_case(__file__, ZONES, run)
