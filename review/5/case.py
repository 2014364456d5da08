"""A client's POST reaches a machine that is frozen. The client waits for its
time limit, gives up and cancels the job at another machine, which
acknowledges that. The frozen machine wakes and hands the job in."""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
sys.dont_write_bytecode = True
from deployment import CouldNotRun, main  # noqa: E402

FREEZE_S = 4.0        # As in the site file.
TIME_LIMIT_S = 3.0    # Of the client.
WORK_S = 30.0
# One machine after the other is frozen; those that give the orders at that
# time accept nothing when they wake.
ROUNDS = 4


async def acknowledged_cancel(d, daemons, job):
    """Cancels until a daemon acknowledges it, within ack_ms; returns when."""
    end = d.now() + d.bounds["ack_ms"] / 1000
    while d.now() < end:
        for daemon in daemons:
            answer = await d.cancel(daemon, job)
            if answer and (answer[0] // 100 == 2 or answer[0] == 410):
                return d.now()
        await asyncio.sleep(0.2)
    raise CouldNotRun("no daemon acknowledged the cancellation")


async def one_machine(d, trouble, frozen, others):
    if trouble:
        frozen.signal(signal.SIGSTOP)
        d.record(f"{frozen.name} is frozen")
    frozen_at = d.now()
    await asyncio.sleep(0.2)
    job, answer = await d.submit(frozen, WORK_S)
    if trouble and answer is not None:
        raise CouldNotRun("the frozen machine answered")
    if not trouble and (answer is None or answer[0] != 200):
        raise CouldNotRun("the job was not accepted")
    cancelled_at = await acknowledged_cancel(d, others, job)
    await asyncio.sleep(max(0, frozen_at + FREEZE_S - d.now()))
    frozen.signal(signal.SIGCONT)
    woken_at = d.now()
    d.record(f"{frozen.name} runs")
    # All machines are in touch again after contact_ms. After a further calm
    # stretch of cancel_ms + stop_ms the tasks have to be gone.
    calm_from = max(woken_at, cancelled_at) + d.bounds["contact_ms"] / 1000
    gone_by = calm_from + (d.bounds["cancel_ms"] + d.bounds["stop_ms"]) / 1000
    await asyncio.sleep(gone_by + 0.5 - d.now())
    state = await others[0].call("GET", f"/q/{job}")
    d.record(f"client gets {state and state[1].decode()} to GET {job}")
    violations = [
        f"UNASKED: {task} is at work {d.now() - cancelled_at:.1f} s after the "
        f"cancelling of its job was acknowledged; started "
        f"{d.starts[task][0]['from'] - cancelled_at:.1f} s after it"
        for task in d.at_work(job)]
    # Frees the worker for the next round.
    await d.cancel(others[0], job)
    await asyncio.sleep(1)
    return violations


async def case(d, trouble):
    violations = []
    for daemon in d.daemons[:ROUNDS]:
        others = [o for o in d.daemons if o is not daemon]
        violations += await one_machine(d, trouble, daemon, others)
    return violations


main(case, HERE / "record.txt", zones=["z1", "z2", "z3"],
     daemons=["z1", "z2", "z3"] * 2, workers=6)
