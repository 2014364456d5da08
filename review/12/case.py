"""An unhealthy worker refuses the tasks that it is to start."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))
from deployment import play  # noqa: E402
from workers import Job  # noqa: E402

WORKERS, TRAFFIC_S, RESTART_S = 8, 60, 3
SHED_SHARE, SPELL_S, PAUSE_S = 0.4, 6.5, 3.5


async def watch(deployment, ends):
    """Starts each process again that has ended by itself, after a while."""
    async def again(daemon):
        await asyncio.sleep(RESTART_S)
        daemon.start(False)
        ended.discard(daemon)

    ended = set()
    while True:
        for daemon in deployment.daemons:
            if daemon not in ended and daemon.process.poll() is not None:
                ended.add(daemon)
                ends[daemon.name] = ends.get(daemon.name, 0) + 1
                deployment.record(f"the process of {daemon.name} has ended by "
                                  f"itself: {daemon.process.returncode}")
                deployment.tasks.append(asyncio.create_task(again(daemon)))
        await asyncio.sleep(0.1)


async def shed(deployment, worker):
    """The worker refuses a share of the starts, for some seconds each time."""
    while True:
        deployment.record(f"{worker.id} answers {SHED_SHARE} of its starts "
                          f"with 503 for {SPELL_S} s")
        worker.shed_share = SHED_SHARE
        await asyncio.sleep(SPELL_S)
        worker.shed_share = 0.0
        await asyncio.sleep(PAUSE_S)


async def scenario(deployment, trouble):
    deployment.publish({"render": {"priority": 1, "max_attempts": 3}})
    await deployment.start(
        [("a", f"r{n // 2}", {"cpu": 64000, "mem_mb": 262144, "gpu": 8})
         for n in range(WORKERS)])
    ends, clients, jobs = {}, [], []
    deployment.tasks.append(asyncio.create_task(watch(deployment, ends)))
    if trouble:
        deployment.tasks.append(asyncio.create_task(
            shed(deployment, deployment.world.workers[0])))
    until = time.monotonic() + TRAFFIC_S
    while time.monotonic() < until:
        job = Job(f"{0x5a00000000000000 + len(jobs):016x}",
                  [{"count": 8, "cpu": 16000, "mem_mb": 1024,
                    "estimate_ms": 1000}], 1)
        jobs.append(job)
        clients.append(asyncio.create_task(deployment.submit("render", job)))
        await asyncio.sleep(0.5)
    await asyncio.gather(*clients)
    accepted = sum(1 for job in jobs if job.accepted_at)
    often = [name for name, count in ends.items() if count >= 3]
    return len(often) < 2, (
        f"processes that have ended by themselves: {ends or 'none'}; "
        f"{accepted} of {len(jobs)} jobs accepted")


sys.exit(play(HERE, scenario))
