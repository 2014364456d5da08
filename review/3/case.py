"""Urgent jobs come at once on a queue with advice while other work fills the
workers. The process that gives the orders ends by itself."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
sys.dont_write_bytecode = True
from advisor import Advisor  # noqa: E402
from deployment import CouldNotRun, main  # noqa: E402

WORKERS = 33
ALLOWED = ["i-0003", "i-0007"]
SHORT_S = 4.0
LONG_S = 30.0
BEFORE_END_S = 0.3    # The urgent job comes so long before the short tasks end.
ROUNDS = 8
RESTART_S = 2.5       # The platform starts a process that has ended again.
ENDS = 3              # By rule, so many ends by itself ...
MACHINES = 2          # ... on so many machines are a fault.


async def wait_until(condition, seconds):
    for _ in range(int(seconds / 0.02)):
        if condition():
            return True
        await asyncio.sleep(0.02)
    return False


async def restart_ended(d, ends):
    """Counts the processes that ended by themselves and starts them again."""
    for daemon in d.daemons:
        if daemon.has_ended():
            ends[daemon.name] = ends.get(daemon.name, 0) + 1
            d.record(f"{daemon.name} has ended by itself, exit code "
                     f"{daemon.process.returncode}")
            await asyncio.sleep(RESTART_S)
            daemon.start()
            d.record(f"{daemon.name} is started again")


async def accepted(d, **job):
    for daemon in d.daemons * 3:
        if daemon.has_ended():
            continue
        name, answer = await d.submit(daemon, **job)
        if answer is not None and answer[0] == 200:
            return name
        await asyncio.sleep(0.3)
    raise CouldNotRun("no daemon accepts a job")


async def one_round(d, trouble, ends):
    short = await accepted(d, work_s=SHORT_S, tasks=WORKERS, gpu=4,
                           max_per_server=1)
    long = await accepted(d, work_s=LONG_S, tasks=WORKERS, gpu=4,
                          max_per_server=1)
    if not await wait_until(lambda: len(d.at_work(short)) == WORKERS and
                            len(d.at_work(long)) == WORKERS, 5):
        raise CouldNotRun("the workers are not filled")
    jobs = [(short, "q"), (long, "q")]
    begun = min(s[0]["from"] for s in d.tasks_of(short).values())
    await asyncio.sleep(begun + SHORT_S - BEFORE_END_S - d.now())
    if trouble:
        urgent = await accepted(d, work_s=1.0, queue="u")
        jobs.append((urgent, "u"))
    await asyncio.sleep(2.5)
    await restart_ended(d, ends)
    # Clears the workers for the next round.
    for job, queue in jobs:
        for daemon in d.daemons * 3:
            answer = await d.cancel(daemon, job, queue)
            if answer and answer[0] in (200, 410):
                break
            await asyncio.sleep(0.3)
    if not await wait_until(
            lambda: not any(w.runs for w in d.workers), 10):
        raise CouldNotRun("the workers are not empty")


async def case(d, trouble):
    ends = {}
    for _ in range(ROUNDS):
        await one_round(d, trouble, ends)
        often = [name for name, count in ends.items() if count >= ENDS]
        if len(often) >= MACHINES:
            return [f"Fault: processes on {len(often)} of {len(d.daemons)} "
                    f"machines ended by themselves {ENDS} times: {ends}"]
    d.record(f"processes that ended by themselves: {ends}")
    return []


main(case, HERE / "record.txt", zones=["z1", "z2"],
     daemons=["z1", "z2", "z1", "z2"], cpu_shares=[0.5, 0.5, 0.12, 0.12],
     workers=WORKERS, stop_s=0.88, bounds={"stop_ms": 900},
     advisor=Advisor(ALLOWED, decide_ms=20, each_ms=1, valid_ms=1000))
