"""A gang of two tasks. The worker of one member crashes, later that of the
other. No run ends `failed`, so the job may not be shown as `failed`."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
import standins  # noqa: E402

GANG = "7a00000000000001"
CRASHES = 2
DOWN_S = 1.0
WORK_S = 12.0


async def until(condition, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        await asyncio.sleep(0.05)
    return False


async def case(world, trouble):
    await world.start(daemons=3, workers=8)
    if not await world.wait_ready():
        return None
    gang = [{"count": 2, "cpu": 26000, "mem_mb": 64000, "gpu": 8,
             "estimate_ms": int(WORK_S * 1000), "gang": True}]
    if not await world.submit(1, GANG, "key-a", gang, WORK_S):
        return None

    def running():
        """The runs of the gang, by task, once all of it is at work."""
        runs = {r.task: r for w in world.workers.values() if w.up
                for r in w.runs.values() if r.task.startswith(GANG)}
        whole = len(runs) == 2 and all(
            r.work_from and time.monotonic() - r.work_from > 3
            for r in runs.values())
        return runs if whole else None

    for number in range(CRASHES if trouble else 0):
        if not await until(running, 30):
            if await world.state(1, GANG, "key-a") == "failed":
                break
            return None
        worker = running()[f"{GANG}.0.0.{number % 2}"].worker
        world.note(f"crash {number + 1}: {worker.name}")
        worker.crash()
        await asyncio.sleep(DOWN_S)
        await worker.start()

    broken, end = "", time.monotonic() + 45
    state = None
    while time.monotonic() < end:
        state = await world.state(1, GANG, "key-a")
        if state in ("failed", "cancelled", 410):
            broken = (f"LOST: the job is shown as {state}; ends of its runs: "
                      f"{ {t: e for t, e in world.ends.items()} }")
            break
        if state == "completed":
            break
        await asyncio.sleep(0.3)
    world.note(f"state: {state}; starts: {world.starts}; ends: {world.ends}")
    return broken


standins.main(case, HERE / "record.txt")
