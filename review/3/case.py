"""An urgent job comes on a queue with advice while other work fills the
workers. The process that gives the orders ends by itself.

Two of 33 workers, H and X, are good for the step. On each of them another
urgent task holds one GPU of eight. When the one on H ends, the other work on H
is stopped to make room; before it has stopped, the tickets expire and new
advice is asked for."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
sys.dont_write_bytecode = True
from advisor import Advisor  # noqa: E402
from deployment import CouldNotRun, main  # noqa: E402

WORKERS = 33
H, X = "i-0003", "i-0007"
OTHERS = WORKERS - 2
URGENT_ON_H_S = 6.0   # How long the other urgent task on H works.
SHORT_S = 4.6
LONG_S = 60.0
WAITS_S = 2.1         # The urgent job comes so long before that task ends.
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


async def accepted(d, work_s, **job):
    for daemon in d.daemons * 3:
        if daemon.has_ended():
            continue
        name, answer = await d.submit(daemon, work_s, **job)
        if answer is not None and answer[0] == 200:
            return name, job.get("queue", "q")
        await asyncio.sleep(0.3)
    raise CouldNotRun("no daemon accepts a job")


async def one_round(d, trouble, ends):
    on_h = await accepted(d, URGENT_ON_H_S, gpu=1, queue="v", requires="h")
    jobs = [
        on_h,
        await accepted(d, LONG_S, gpu=1, queue="v", requires="x"),
        await accepted(d, LONG_S, gpu=7, requires="h"),
        await accepted(d, SHORT_S, gpu=7, requires="x")]
    for gpu, work_s in ((4, SHORT_S), (2, LONG_S), (2, LONG_S)):
        jobs.append(await accepted(d, work_s, tasks=OTHERS, gpu=gpu,
                                   requires="a", max_per_server=1))
    count = 4 + 3 * OTHERS
    if not await wait_until(
            lambda: sum(len(w.runs) for w in d.workers) == count, 2.5):
        raise CouldNotRun("the workers are not filled")
    begun = d.tasks_of(on_h[0])[f"{on_h[0]}.0.0.0"][0]["from"]
    await asyncio.sleep(begun + URGENT_ON_H_S - WAITS_S - d.now())
    if trouble:
        jobs.append(await accepted(d, 1.0, queue="u"))
    else:
        d.record("no urgent job comes")
    await asyncio.sleep(WAITS_S + 2)
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
     workers=WORKERS, kinds={H: "h", X: "x"}, stop_s=0.88,
     bounds={"stop_ms": 900},
     advisor=Advisor([H, X], decide_ms=20, each_ms=1, valid_ms=3000))
