"""Some workers are lost for good, silently, just before jobs come. The jobs
that were placed on them have not begun, but the queue's `waiting` leaves them
out."""

import asyncio
import json
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
sys.dont_write_bytecode = True
from deployment import CouldNotRun, main  # noqa: E402

WORKERS = 28
LOST = 4              # 4 of 28 workers: a share of 0.143.
WORK_S = 4.0
WATCH_S = 9.0


async def case(d, trouble):
    # Every worker is known to work: each one runs a short job.
    first = [await d.submit(d.daemons[n % 3], 0.5) for n in range(WORKERS)]
    if any(answer is None or answer[0] != 200 for _, answer in first):
        raise CouldNotRun("a job was not accepted")
    await asyncio.sleep(3)
    if trouble:
        for worker in d.workers[5:5 + LOST]:
            worker.die()
            d.record(f"{worker.name} is lost for good")
    accepted = {}
    jobs = await asyncio.gather(
        *(d.submit(d.daemons[n % 3], WORK_S) for n in range(WORKERS)))
    for job, answer in jobs:
        if answer is not None and answer[0] == 200:
            accepted[job] = d.now()
    if len(accepted) < WORKERS:
        raise CouldNotRun("a job was not accepted")
    violations = []
    old_enough = d.bounds["visible_ms"] / 1000 + 2
    end = d.now() + WATCH_S
    while d.now() < end:
        await asyncio.sleep(0.25)
        for daemon in d.daemons:
            asked = d.now()
            answer = await daemon.call("GET", "/q/")
            # Jobs that had not begun even when the answer came.
            not_begun = [j for j, at in accepted.items()
                         if at < asked - old_enough and not d.tasks_of(j)]
            d.record(f"{daemon.name} answers "
                     f"{answer and answer[1].decode()}; accepted over "
                     f"{old_enough:.0f} s before and not begun: "
                     f"{len(not_begun)}")
            if answer is None or answer[0] != 200:
                continue
            waiting = json.loads(answer[1])["waiting"]
            if waiting < len(not_begun) / 2:
                violations.append(
                    f"MIXED: {daemon.name} gives {waiting} as waiting while "
                    f"{len(not_begun)} jobs have not begun")
    return violations


main(case, HERE / "record.txt", zones=["z1", "z2", "z3"],
     daemons=["z1", "z2", "z3"], workers=WORKERS)
