"""All runners of one service are lost for good. Another member's batch jobs,
whose service is sound and idle, must still run. The check is LOST, `finish_s`."""

import asyncio
import time

import fleet as fleets

ZONES = ["z1", "z2", "z3"]
ITEMS = 10
# Jobs of each member; 40 items wait at each node for the lost service.
JOBS = 12
SUBMIT_GAP_S = 1 / 4.8
RUNNERS_OF_SERVICE = 3
RUNNER = {"slots": 8, "events": 100, "event_s": 0.04, "batch": 2}
# An entry is removed after three check-in intervals of silence.
REMOVED_AFTER_S = 3 * 1.2
LAST_CALM_S = 5.0
LAST_FINISH_S = 3.0
COMPLETION_TARGET_S = 18.0


async def follow(fleet, jobs):
    turn = 0
    while True:
        for job in jobs:
            if job.accepted_at and len(job.results) < len(job.items):
                turn += 1
                await fleets.read_new(
                    fleet, fleet.nodes[turn % len(fleet.nodes)], job)
        await asyncio.sleep(0.5)


async def lose(fleet, runners):
    for runner in runners:
        runner.crash()
        fleet.record("runner %s crashed for good" % runner.name)
    await asyncio.sleep(REMOVED_AFTER_S)
    for runner in runners:
        await fleet.store.remove("servers", runner.name)
    fleet.record("the entries of the lost runners are removed")


async def hand_in(fleet, jobs):
    for number, job in enumerate(jobs):
        if not await fleets.submit(fleet, job, number):
            raise fleets.NotRun("job %s was not accepted" % job.name)
        await asyncio.sleep(SUBMIT_GAP_S)


def list_breaks(fleet, jobs, sound):
    now = time.monotonic()
    runs = [run for runner in fleet.runners for run in runner.runs]
    finished = [run for run in runs
                if run[3] == "completed" and run[2] > now - LAST_FINISH_S]
    busy = sum(len(runner.running) for runner in sound)
    slots = sum(runner.slots for runner in sound)
    fleet.record("runners of svc-b: %d of %d slots taken, %d items finished "
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
                "LOST: job %s of member b is open, %d of its %d items are "
                "neither completed nor errored" % (
                    job.name, len(missing), len(job.items)))
    return breaks


async def run(fleet):
    routes = [fleets.make_batch_route("a-letters", "/a/", "svc-a"),
              fleets.make_batch_route("b-letters", "/b/", "svc-b")]
    await fleet.put_configuration(1, routes, ["svc-a", "svc-b"])
    lost = []
    sound = []
    for index in range(RUNNERS_OF_SERVICE):
        zone = ZONES[index % len(ZONES)]
        lost.append(await fleet.add_runner(
            "i-a%d" % index, "svc-a", zone, **RUNNER))
        sound.append(await fleet.add_runner(
            "i-b%d" % index, "svc-b", zone, **RUNNER))
    await fleet.start_nodes()

    jobs_a = [fleets.Job("a%02d" % number, "/a/", ITEMS)
              for number in range(JOBS)]
    jobs_b = [fleets.Job("b%02d" % number, "/b/", ITEMS)
              for number in range(JOBS)]
    reading = asyncio.create_task(follow(fleet, jobs_a + jobs_b))
    await hand_in(fleet, jobs_a)
    if fleet.trouble:
        await lose(fleet, lost)
    await hand_in(fleet, jobs_b)
    # Traffic has ended; batch jobs have the rest of their 18 s and `finish_s`.
    end = jobs_b[-1].accepted_at + COMPLETION_TARGET_S + fleets.FINISH_S
    while time.monotonic() < end and any(
            len(job.results) < len(job.items) for job in jobs_b):
        await asyncio.sleep(0.2)
    reading.cancel()
    for job in jobs_a + jobs_b:
        await fleets.read_new(fleet, fleet.nodes[0], job)
        fleet.record("job %s: %d of %d results" % (
            job.name, len(job.results), len(job.items)))
    fleet.record("runs at svc-a %d, at svc-b %d" % (
        sum(len(runner.runs) for runner in lost),
        sum(len(runner.runs) for runner in sound)))
    if fleet.own_ends():
        raise fleets.NotRun("ended by themselves: %s" % fleet.own_ends())
    return list_breaks(fleet, jobs_b, sound)


fleets.run_case(__file__, ZONES, run)
