"""All daemons lose power while a job whose tasks save their progress runs."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))
from deployment import play  # noqa: E402
from workers import Job  # noqa: E402

OUTAGE_S, RECOVER_S, FINISH_S = 9.5, 12, 14
TRAFFIC_AFTER_S = 25


def progress_text(worked_ms):
    """What a task saves: a JSON text of about 800 bytes."""
    shards = ",".join(
        f'{{"id":"s{n:02d}","offset":"{worked_ms * (n + 3):08x}",'
        f'"sum":"{(worked_ms * 2654435761 + n * 40503) % (1 << 32):08x}"}}'
        for n in range(15))
    return f'{{"worked_ms":{worked_ms},"shards":[{shards}]}}'


async def traffic(deployment, jobs, until):
    """A short job every half second, each with its own client."""
    number, clients = 0, []
    while time.monotonic() < until():
        job = Job(f"{0x5a00000000000000 + number:016x}",
                  [{"count": 1, "cpu": 1000, "mem_mb": 256,
                    "estimate_ms": 500}], 0.5)
        number += 1
        job.sent_at = time.monotonic()
        jobs.append(job)
        clients.append(asyncio.create_task(deployment.submit("short", job)))
        await asyncio.sleep(0.5)
    await asyncio.gather(*clients)


async def scenario(deployment, trouble):
    record = deployment.record
    deployment.publish({"short": {"priority": 1},
                        "bulk": {"priority": 2, "max_attempts": 3}})
    await deployment.start(
        [("a", f"r{n // 3}", {"cpu": 64000, "mem_mb": 262144, "gpu": 8})
         for n in range(6)])
    step = {"count": 94, "cpu": 1000, "mem_mb": 512, "estimate_ms": 25000,
            "saves_progress": True}
    bulk = Job("b000000000000011", [dict(step) for _ in range(3)], 25,
               progress_text)
    record(f"a saved value has {len(progress_text(12345))} bytes")
    jobs, end = [], time.monotonic() + 1000
    sender = asyncio.create_task(traffic(deployment, jobs, lambda: end))
    if not await deployment.submit("bulk", bulk):
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(10)
    record(f"{deployment.world.running(bulk)} tasks of the job run")
    if trouble:
        record("all daemons lose power")
        for daemon in deployment.daemons:
            daemon.kill()
    await asyncio.sleep(OUTAGE_S)
    if trouble:
        for daemon in deployment.daemons:
            daemon.start(False)
        record("all daemons are back")
    back_at = time.monotonic()
    end = back_at + RECOVER_S + TRAFFIC_AFTER_S
    await sender
    late = [j for j in jobs if j.sent_at > back_at + RECOVER_S]
    served = sum(1 for j in late if j.accepted_at)
    before = [j for j in jobs if j.sent_at < back_at - OUTAGE_S - 3]
    record(f"served of the requests sent before the outage: "
           f"{sum(1 for j in before if j.accepted_at)} of {len(before)}; "
           f"{RECOVER_S} s or more after it: {served} of {len(late)}")
    await asyncio.sleep(FINISH_S)
    # Nothing else is left to run, so all capacity is free.
    idle_since, state = time.monotonic(), None
    while time.monotonic() < idle_since + 4:
        state = (await deployment.ask("bulk", bulk))[1] or state
        if deployment.world.running(bulk) or state == "completed":
            break
        await asyncio.sleep(0.1)
    else:
        started = {task.split(".")[0] for _, _, task, _ in
                   deployment.world.starts}
        unstarted = sum(1 for j in jobs
                        if j.accepted_at and j.id not in started)
        return False, (
            f"the accepted job is shown as {state}, and for 4 s none of its "
            f"282 tasks has run on the idle pool; of the short jobs, "
            f"{unstarted} were accepted and have never been started, "
            f"{FINISH_S} s after the end of the traffic; "
            f"{deployment.store.refused} appends were refused")
    if served * 4 < len(late):
        return False, (f"only {served} of {len(late)} requests were served "
                       f"from {RECOVER_S} s after the outage on")
    return True, f"the job is shown as {state}; {served} of {len(late)} served"


sys.exit(play(HERE, scenario))
